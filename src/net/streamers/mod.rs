//! Connections to streamers: a pool per listed streamer, the messages queued on its connections, and the
//! detection of lost streamers as opposed to silent ones. The core decides which streamer receives what.
mod connection;
mod control;
mod input_loss;
mod io;
mod pool;

use super::component::{Component, Ready};
use super::poll::Token;
use super::shared::{Deadline, Shared};
use crate::director::{Attempt, Director, Input, SetUp, UnsentReason};
use crate::interface::{Entry, ListScope, LoadReport, Micros, Outcome, RequestId, Standing, StreamerId};
use crate::settings::TransportSettings;
use connection::{MessageInProgress, OpenAttempt, QueuedMessage, StreamerConnection};
pub use control::ControlMessage;
use input_loss::InputLoss;
use slog::{debug, info};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;

/// Interval between checks of all connections.
const CHECK_INTERVAL_US: Micros = 250_000;
/// A cancellation that is not written within this time is carried out by closing its connection.
const CANCEL_WRITE_TIMEOUT_US: Micros = 100_000;
/// A set-up uses an open connection only if something was received on it within this time, else a new one:
/// an unreachable streamer shows by the failure of the new connection.
const RECENT_INPUT_US: Micros = 1_000_000;
/// A streamer that has sessions but has been silent for this long is checked with a new connection.
const SILENCE_CHECK_US: Micros = 2_000_000;
/// A streamer's sessions count as lost when no connection could be established for this long.
const UNREACHABLE_LOST_US: Micros = 1_500_000;
/// The same where connections are refused, that is, where the streamer's process does not run.
const REFUSED_LOST_US: Micros = 500_000;
/// Interval between attempts to connect to a streamer that has sessions.
const REDIAL_INTERVAL_US: Micros = 250_000;
/// Additional delay before a connection attempt that only serves to send control messages.
const CONTROL_REDIAL_DELAY_US: Micros = 2_000_000;
/// How long control messages are kept for a streamer without a connection.
const CONTROL_RETENTION_US: Micros = 60_000_000;
/// Maximum number of messages queued on one connection, and of control messages kept for a streamer without
/// one.
const MAX_QUEUED_MESSAGES: usize = 4096;
/// Number of cancelled set-ups after which a connection accepts no new ones.
const MAX_CANCELLED_SET_UPS: usize = 256;

/// A streamer's address, its connections and what is known of its reachability.
#[derive(Default)]
struct Pool {
    address: Option<SocketAddr>,
    standing: Standing,
    connections: BTreeSet<Token>,
    /// Releases and rung changes that wait for a connection, with the time at which they were queued.
    unsent_control: VecDeque<(Micros, ControlMessage)>,
    last_received_at: Micros,
    /// Start of the first failed connection attempt since the streamer was last heard from.
    failing_since: Option<Micros>,
    dial_refused: bool,
    /// Connections that ended with input that may not have been read: a release may have been lost with it.
    input_loss: InputLoss,
    next_dial_at: Micros,
}

impl Pool {
    /// Records that the streamer's last input may have been lost with, or on, a connection.
    fn record_input_loss(&mut self, shared: &mut Shared, streamer: StreamerId) {
        shared.counters.inputs_lost += 1;
        debug!(shared.log, "input of a streamer may be lost"; "streamer" => streamer.0);
        self.input_loss.record(shared.now);
    }

    /// Keeps a control message until there is a connection. If too many are kept, the message is dropped.
    fn keep_unsent(&mut self, shared: &mut Shared, message: ControlMessage) {
        if self.unsent_control.len() < MAX_QUEUED_MESSAGES {
            self.unsent_control.push_back((shared.now, message));
        } else {
            shared.counters.control_dropped += 1;
        }
    }
}

/// All connections to streamers.
pub struct Streamers {
    pools: BTreeMap<StreamerId, Pool>,
    connections: BTreeMap<Token, StreamerConnection>,
    /// Connections that became writable in this turn.
    writable: BTreeSet<Token>,
    transport: TransportSettings,
    max_connections: usize,
    last_probe_id: u64,
}

impl Streamers {
    /// Creates the pools, still empty, with a limit on the total number of connections.
    pub fn new(transport: TransportSettings, max_connections: usize) -> Self {
        let (pools, connections, writable) = Default::default();
        Streamers { pools, connections, writable, transport, max_connections, last_probe_id: 0 }
    }

    /// Starts the periodic checks of the connections.
    pub fn start(&self, shared: &mut Shared) {
        shared.schedule(CHECK_INTERVAL_US, Deadline::CheckStreamers);
    }

    /// Applies an update of the streamer list.
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
            // An address that a new streamer uses no longer belongs to any other streamer.
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

    /// Removes a streamer together with its connections, and reports its sessions as lost.
    fn remove_streamer(&mut self, shared: &mut Shared, streamer: StreamerId) {
        self.close_connections(shared, streamer);
        if self.pools.remove(&streamer).is_some() {
            shared.inputs.push(Input::Lost(streamer));
        }
    }

    /// Withdraws the set-ups that have not been sent yet, because their streamer is draining.
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

    /// Sends a set-up to its streamer.
    pub fn send_set_up(&mut self, shared: &mut Shared, set_up: SetUp) {
        let SetUp { streamer, attempt, rung, until, send_by, parcel } = set_up;
        let session = attempt.session;
        let token = match self.connection_for(shared, streamer, Some(session)) {
            Ok(token) => token,
            Err(why) => return shared.inputs.push(Input::Unsent(attempt, why)),
        };
        if let Some(connection) = self.connections.get_mut(&token) {
            (connection.last_used_at, connection.carried_set_up) = (shared.now, true);
            let open = OpenAttempt { number: attempt.number, until, started: false };
            connection.open_attempts.insert(session, open);
            connection.queue.push_back(QueuedMessage::SetUp { attempt, rung, until, send_by, parcel });
        }
        self.write_queue(shared, token);
    }

    /// Cancels an attempt. An input reports when that is done, and whether any byte of it had been sent.
    pub fn cancel_attempt(&mut self, shared: &mut Shared, streamer: StreamerId, attempt: Attempt) {
        let session = attempt.session;
        let connections = self.pools.get(&streamer).map(|p| p.connections.clone()).unwrap_or_default();
        let carries_attempt = |t: &Token| {
            let open = self.connections.get(t).and_then(|c| c.open_attempts.get(&session));
            open.is_some_and(|open| open.number == attempt.number)
        };
        let Some(token) = connections.into_iter().find(carries_attempt) else {
            shared.inputs.push(Input::GaveUp(attempt)); // the close of its connection cancelled it
            return;
        };
        let Some(connection) = self.connections.get_mut(&token) else { return };
        let open = connection.open_attempts.remove(&session);
        let started = open.is_some_and(|open| open.started);
        if started && !connection.withdraw_unwritten(attempt) {
            if open.is_some_and(|open| open.until <= shared.now) {
                connection.overdue_since.get_or_insert(shared.now);
            }
            connection.cancelled.insert(session);
            connection.queue.push_back(QueuedMessage::Cancel(attempt));
            shared.schedule(CANCEL_WRITE_TIMEOUT_US, Deadline::Cancel(token, attempt));
            self.write_queue(shared, token);
        } else {
            connection
                .queue
                .retain(|m| !matches!(m, QueuedMessage::SetUp { attempt: a, .. } if *a == attempt));
            shared.inputs.push(Input::Unsent(attempt, UnsentReason::NoConnection));
        }
    }

    /// Closes a connection on which a cancellation still waits to be written, which cancels the attempt, too.
    fn handle_cancel_deadline(&mut self, shared: &mut Shared, token: Token, attempt: Attempt) {
        let Some(connection) = self.connections.get(&token) else { return };
        let is_queued = |m: &QueuedMessage| matches!(m, QueuedMessage::Cancel(a) if *a == attempt);
        if connection.writing == Some(MessageInProgress::Cancel(attempt))
            || connection.queue.iter().any(is_queued)
        {
            shared.counters.overfull += 1;
            let streamer = connection.streamer.0;
            info!(shared.log, "cancellation not written in time; closing the connection";
                "streamer" => streamer);
            self.read(shared, token); // answers to other attempts on it count
            self.close(shared, token);
        }
    }

    /// Sends a control message. One that concerns a session is sent only while this director may act on it.
    pub fn send_control(&mut self, shared: &mut Shared, streamer: StreamerId, message: ControlMessage) {
        let token = self.pools.get(&streamer).and_then(|p| self.control_connection(p));
        match token.and_then(|token| Some((token, self.connections.get_mut(&token)?))) {
            Some((token, connection)) => {
                connection.queue.push_back(QueuedMessage::Control(message));
                self.write_queue(shared, token);
            }
            None => {
                if let Some(pool) = self.pools.get_mut(&streamer) {
                    pool.keep_unsent(shared, message);
                }
                self.ensure_connected(shared, streamer);
            }
        }
    }

    /// Sends a load probe to a streamer.
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
            connection.queue.push_back(QueuedMessage::Control(ControlMessage::Probe(id)));
            let dial_allowance_us = if connection.connected { 0 } else { self.transport.dial_timeout_us };
            shared.schedule(self.transport.dial_timeout_us + dial_allowance_us, Deadline::Probe(token, id));
        }
        self.write_queue(shared, token);
    }

    /// Reports a load probe that was not answered in time.
    fn handle_probe_deadline(&mut self, shared: &mut Shared, token: Token, id: RequestId) {
        let Some(connection) = self.connections.get_mut(&token) else { return };
        if connection.probes.remove(&id) {
            let (streamer, report) = (connection.streamer, LoadReport::default());
            shared.inputs.push(Input::Probed { streamer, outcome: Outcome::TimedOut, report });
        }
    }

    /// Ensures that messages about the sessions at a streamer can arrive: dials if it has no connection.
    pub fn ensure_connected(&mut self, shared: &mut Shared, streamer: StreamerId) {
        let Some(pool) = self.pools.get(&streamer) else { return };
        if pool.connections.is_empty() && pool.next_dial_at <= shared.now {
            let _ = self.dial(shared, streamer); // the periodic check retries
        }
    }
}

impl Component for Streamers {
    fn owns(&self, token: Token) -> bool {
        self.connections.contains_key(&token)
    }

    fn on_ready(&mut self, shared: &mut Shared, _: &Director, ready: Ready) {
        self.handle_ready(shared, ready);
    }

    fn on_deadline(&mut self, shared: &mut Shared, director: &Director, due: Deadline) -> bool {
        match due {
            Deadline::Connect(token) => self.handle_dial_deadline(shared, token),
            Deadline::Probe(token, id) => self.handle_probe_deadline(shared, token, id),
            Deadline::Cancel(token, attempt) => self.handle_cancel_deadline(shared, token, attempt),
            Deadline::CheckStreamers => {
                self.check_connections(shared, |s| director.sessions_at(s));
                shared.schedule(CHECK_INTERVAL_US, Deadline::CheckStreamers);
            }
            _ => return false,
        }
        true
    }
}
