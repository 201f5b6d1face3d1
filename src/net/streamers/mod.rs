//! The streamers' side: for each streamer of the list a pool of connections, what is queued on them, and
//! the signs that tell a silent streamer from a lost one. Which streamer gets what is decided elsewhere.
mod exchange;
mod link;
mod ways;

use super::part::{Part, Ready};
use super::poll::Token;
use super::shared::{Due, Shared};
use crate::director::{Attempt, Director, Input, SetUp, UnsentReason};
use crate::interface::{Entry, ListScope, LoadReport, Micros, Outcome, RequestId, Standing, StreamerId};
use crate::platform::rtsp;
use crate::settings::TransportSettings;
use link::{MessageInProgress, QueuedMessage, StreamerConnection};
use slog::info;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;

/// Between looks at the connections.
const CHECK_INTERVAL_US: Micros = 250_000;
/// A give-up that is not written after this is carried out by closing its connection.
const CANCEL_WRITE_TIMEOUT_US: Micros = 100_000;
/// A set-up goes on a connection whose streamer was heard of so lately, else on a new one: a streamer that
/// can't be reached then proves it.
const RECENT_INPUT_US: Micros = 1_000_000;
/// A streamer with sessions that has been silent for so long is checked by a new connection.
const SILENCE_CHECK_US: Micros = 2_000_000;
/// Its sessions are lost when no connection has come up for so long.
const UNREACHABLE_LOST_US: Micros = 1_500_000;
/// The same where connections are refused: its process does not run.
const REFUSED_LOST_US: Micros = 500_000;
/// Between attempts to connect to a streamer on behalf of its sessions.
const REDIAL_INTERVAL_US: Micros = 250_000;
/// The same on behalf of releases alone, and how long those are kept.
const CONTROL_REDIAL_DELAY_US: Micros = 2_000_000;
const CONTROL_RETENTION_US: Micros = 60_000_000;
/// Messages that wait on one connection, and words kept for a streamer without one, at most.
const MAX_QUEUED_MESSAGES: usize = 4096;
/// Given-up set-ups after which a connection takes no new ones.
const MAX_CANCELLED_SET_UPS: usize = 256;

/// What is known of a streamer's address and of the way to it.
#[derive(Default)]
struct Pool {
    address: Option<SocketAddr>,
    standing: Standing,
    connections: BTreeSet<Token>,
    /// Releases and rungs that wait for a connection.
    unsent_control: VecDeque<(Micros, Vec<u8>, Option<RequestId>)>,
    last_received_at: Micros,
    failing_since: Option<Micros>,
    dial_refused: bool,
    /// A connection was cut since the last one was begun: a release may have been lost with it.
    input_may_be_lost: bool,
    next_dial_at: Micros,
}

/// All connections to streamers.
pub struct Streamers {
    pools: BTreeMap<StreamerId, Pool>,
    connections: BTreeMap<Token, StreamerConnection>,
    /// Connections that became ready to be written to in this turn.
    writable: BTreeSet<Token>,
    transport: TransportSettings,
    max_connections: usize,
    last_probe_id: u64,
}

impl Streamers {
    /// None yet; so many connections at most.
    pub fn new(transport: TransportSettings, max_connections: usize) -> Self {
        let (pools, connections, writable) = Default::default();
        Streamers { pools, connections, writable, transport, max_connections, last_probe_id: 0 }
    }

    /// Begins to look after the connections.
    pub fn start(&self, shared: &mut Shared) {
        shared.wake(CHECK_INTERVAL_US, Due::Watch);
    }

    /// Takes the list's news.
    pub fn apply_list(&mut self, shared: &mut Shared, scope: ListScope, entries: &[(Entry, SocketAddr)]) {
        if scope != ListScope::Delta {
            let listed: BTreeSet<_> = entries.iter().map(|e| e.0.streamer).collect();
            let absent = self.pools.keys().filter(|s| !listed.contains(s));
            let absent: Vec<_> = absent.copied().collect();
            absent.into_iter().for_each(|streamer| self.remove_streamer(shared, streamer));
        }
        for (entry, address) in entries {
            if entry.standing == Standing::Gone {
                self.remove_streamer(shared, entry.streamer);
                continue;
            }
            // An address that a new streamer has is no longer another's.
            let has_same_address = |(s, p): (&StreamerId, &Pool)| {
                (p.address == Some(*address) && *s != entry.streamer).then_some(*s)
            };
            let previous: Vec<_> = self.pools.iter().filter_map(has_same_address).collect();
            previous.into_iter().for_each(|streamer| self.remove_streamer(shared, streamer));
            let pool = self.pools.entry(entry.streamer).or_default();
            pool.standing = entry.standing;
            if pool.address.replace(*address).is_some_and(|previous| previous != *address) {
                self.close_connections(shared, entry.streamer);
            } else if entry.standing != Standing::Up {
                self.withdraw_set_ups(shared, entry.streamer);
            }
        }
    }

    /// A streamer that is gone: its connections and its sessions are, too.
    fn remove_streamer(&mut self, shared: &mut Shared, streamer: StreamerId) {
        self.close_connections(shared, streamer);
        if self.pools.remove(&streamer).is_some() {
            shared.inputs.push(Input::Lost(streamer));
        }
    }

    /// Takes back what waits to be set up at a streamer that drains.
    fn withdraw_set_ups(&mut self, shared: &mut Shared, streamer: StreamerId) {
        let connections = self.pools.get(&streamer).map(|p| p.connections.clone()).unwrap_or_default();
        for token in connections {
            let Some(connection) = self.connections.get_mut(&token) else { continue };
            let mut withdrawn = Vec::new();
            if let Some(MessageInProgress::SetUp(attempt)) = connection.writing.clone()
                && connection.withdraw_unwritten(attempt)
            {
                withdrawn.push(attempt);
            }
            connection.queue.retain(|message| match message {
                QueuedMessage::SetUp { attempt, .. } => {
                    withdrawn.push(*attempt);
                    false
                }
                _ => true,
            });
            for attempt in withdrawn {
                connection.open_attempts.remove(&attempt.session);
                shared.inputs.push(Input::Unsent(attempt, UnsentReason::Withdrawn));
            }
        }
    }

    fn close_connections(&mut self, shared: &mut Shared, streamer: StreamerId) {
        let connections = self.pools.get(&streamer).map(|p| p.connections.clone()).unwrap_or_default();
        connections.into_iter().for_each(|token| self.close(shared, token));
    }

    /// Passes a set-up on.
    pub fn send_set_up(&mut self, shared: &mut Shared, set_up: SetUp) {
        let SetUp { streamer, attempt, rung, until, send_by, parcel } = set_up;
        let session = attempt.session;
        let token = match self.connection_for(shared, streamer, Some(session)) {
            Ok(token) => token,
            Err(why) => return shared.inputs.push(Input::Unsent(attempt, why)),
        };
        if let Some(connection) = self.connections.get_mut(&token) {
            (connection.last_used_at, connection.carried_set_up) = (shared.now, true);
            connection.open_attempts.insert(session, (attempt.number, false));
            connection.queue.push_back(QueuedMessage::SetUp { attempt, rung, until, send_by, parcel });
        }
        self.write_queue(shared, token);
    }

    /// Gives an attempt up; an input tells when that is done, and whether it had ever left.
    pub fn cancel_attempt(&mut self, shared: &mut Shared, streamer: StreamerId, attempt: Attempt) {
        let session = attempt.session;
        let connections = self.pools.get(&streamer).map(|p| p.connections.clone()).unwrap_or_default();
        let carries_attempt = |t: &Token| {
            let open = self.connections.get(t).and_then(|c| c.open_attempts.get(&session));
            open.is_some_and(|(number, _)| *number == attempt.number)
        };
        let Some(token) = connections.into_iter().find(carries_attempt) else {
            shared.inputs.push(Input::GaveUp(attempt)); // its connection is closed: that gave it up
            return;
        };
        let Some(connection) = self.connections.get_mut(&token) else { return };
        let started = connection.open_attempts.remove(&session).is_some_and(|(_, started)| started);
        if started && !connection.withdraw_unwritten(attempt) {
            connection.cancelled.insert(session);
            connection.queue.push_back(QueuedMessage::Cancel(attempt));
            shared.wake(CANCEL_WRITE_TIMEOUT_US, Due::GiveUp(token, attempt));
            self.write_queue(shared, token);
        } else {
            connection
                .queue
                .retain(|s| !matches!(s, QueuedMessage::SetUp { attempt: a, .. } if *a == attempt));
            shared.inputs.push(Input::Unsent(attempt, UnsentReason::NoConnection));
        }
    }

    /// A give-up that a connection still holds back is carried out by closing it.
    fn cancel_deadline(&mut self, shared: &mut Shared, token: Token, attempt: Attempt) {
        let Some(connection) = self.connections.get(&token) else { return };
        let is_queued = |s: &QueuedMessage| matches!(s, QueuedMessage::Cancel(a) if *a == attempt);
        if connection.writing == Some(MessageInProgress::Cancel(attempt))
            || connection.queue.iter().any(is_queued)
        {
            shared.counters.overfull += 1;
            let streamer = connection.streamer.0;
            info!(shared.log, "a give-up can't be written, connection closed"; "streamer" => streamer);
            self.close(shared, token);
        }
    }

    /// Releases a session that stands, or sets its rung. `acting_on`: the session, where this director does
    /// so by its own will.
    pub fn send_control(
        &mut self,
        shared: &mut Shared,
        streamer: StreamerId,
        bytes: Vec<u8>,
        acting_on: Option<RequestId>,
    ) {
        let token = self.pools.get(&streamer).and_then(|p| self.control_connection(p));
        match token.and_then(|token| Some((token, self.connections.get_mut(&token)?))) {
            Some((token, connection)) => {
                connection.queue.push_back(QueuedMessage::Control(bytes, acting_on));
                self.write_queue(shared, token);
            }
            None => {
                if let Some(pool) =
                    self.pools.get_mut(&streamer).filter(|p| p.unsent_control.len() < MAX_QUEUED_MESSAGES)
                {
                    pool.unsent_control.push_back((shared.now, bytes, acting_on));
                }
                self.ensure_connected(shared, streamer);
            }
        }
    }

    /// Asks a streamer for its load.
    pub fn probe(&mut self, shared: &mut Shared, streamer: StreamerId) {
        let token = match self.connection_for(shared, streamer, None) {
            Ok(token) => token,
            Err(why) => {
                let outcome =
                    if why == UnsentReason::NoConnection { Outcome::ConnectError } else { Outcome::Ignored };
                let report = LoadReport::default();
                return shared.inputs.push(Input::Probed { streamer, outcome, report });
            }
        };
        self.last_probe_id += 1;
        let id = RequestId(self.last_probe_id);
        if let Some(connection) = self.connections.get_mut(&token) {
            connection.last_used_at = shared.now;
            connection.probes.insert(id);
            connection.queue.push_back(QueuedMessage::Control(rtsp::load_probe(id), None));
            let dial_allowance_us = if connection.connected { 0 } else { self.transport.dial_timeout_us };
            shared.wake(self.transport.dial_timeout_us + dial_allowance_us, Due::Probe(token, id));
        }
        self.write_queue(shared, token);
    }

    /// A load test without an answer.
    fn probe_deadline(&mut self, shared: &mut Shared, token: Token, id: RequestId) {
        let Some(connection) = self.connections.get_mut(&token) else { return };
        if connection.probes.remove(&id) {
            let (streamer, report) = (connection.streamer, LoadReport::default());
            shared.inputs.push(Input::Probed { streamer, outcome: Outcome::TimedOut, report });
        }
    }

    /// Sees to it that what concerns the sessions at a streamer can come in.
    pub fn ensure_connected(&mut self, shared: &mut Shared, streamer: StreamerId) {
        let Some(pool) = self.pools.get(&streamer) else { return };
        if pool.connections.is_empty() && pool.next_dial_at <= shared.now {
            let _ = self.dial(shared, streamer); // the watch tries again
        }
    }
}

impl Part for Streamers {
    fn owns(&self, token: Token) -> bool {
        self.connections.contains_key(&token)
    }

    fn ready(&mut self, shared: &mut Shared, _: &Director, ready: Ready) {
        self.handle_ready(shared, ready);
    }

    fn due(&mut self, shared: &mut Shared, director: &Director, due: Due) -> bool {
        match due {
            Due::Dial(token) => self.dial_deadline(shared, token),
            Due::Probe(token, id) => self.probe_deadline(shared, token, id),
            Due::GiveUp(token, attempt) => self.cancel_deadline(shared, token, attempt),
            Due::Watch => {
                self.check_connections(shared, |s| director.sessions_at(s));
                shared.wake(CHECK_INTERVAL_US, Due::Watch);
            }
            _ => return false,
        }
        true
    }
}
