//! The streamers' side: for each streamer of the list a pool of connections, what is queued on them, and
//! the signs that tell a silent streamer from a lost one. Which streamer gets what is decided elsewhere.
mod exchange;
mod link;
mod ways;

use super::component::{Component, Ready};
use super::poll::Token;
use super::shared::{Deadline, Shared};
use crate::director::{Attempt, Director, Input, SetUp, UnsentReason};
use crate::interface::{Entry, ListScope, LoadReport, Micros, Outcome, RequestId, Standing, StreamerId};
use crate::platform::rtsp;
use crate::settings::TransportSettings;
use link::{Link, Saying, Writing};
use slog::info;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;

/// Between looks at the connections.
const WATCH_US: Micros = 250_000;
/// A give-up that is not written after this is carried out by closing its connection.
const GIVE_UP_US: Micros = 100_000;
/// A set-up goes on a connection whose streamer was heard of so lately, else on a new one: a streamer that
/// can't be reached then proves it.
const HEARD_US: Micros = 1_000_000;
/// A streamer with sessions that has been silent for so long is checked by a new connection.
const SILENT_US: Micros = 2_000_000;
/// Its sessions are lost when no connection has come up for so long.
const LOST_US: Micros = 1_500_000;
/// The same where connections are refused: its process does not run.
const REFUSED_US: Micros = 500_000;
/// Between attempts to connect to a streamer on behalf of its sessions.
const REDIAL_US: Micros = 250_000;
/// The same on behalf of releases alone, and how long those are kept.
const REDIAL_WORDS_US: Micros = 2_000_000;
const WORDS_KEPT_US: Micros = 60_000_000;
/// Messages that wait on one connection, and words kept for a streamer without one, at most.
const QUEUE_MOST: usize = 4096;
/// Given-up set-ups after which a connection takes no new ones.
const GIVEN_UP_MOST: usize = 256;

/// What is known of a streamer's address and of the way to it.
#[derive(Default)]
struct Pool {
    address: Option<SocketAddr>,
    standing: Standing,
    links: BTreeSet<Token>,
    /// Releases and rungs that wait for a connection.
    unsaid: VecDeque<(Micros, Vec<u8>, Option<RequestId>)>,
    heard_at: Micros,
    failing_since: Option<Micros>,
    refused: bool,
    /// A connection was cut since the last one was begun: a release may have been lost with it.
    cut: bool,
    dial_at: Micros,
}

/// All connections to streamers.
pub struct Streamers {
    pools: BTreeMap<StreamerId, Pool>,
    links: BTreeMap<Token, Link>,
    /// Connections that became ready to be written to in this turn.
    writable: BTreeSet<Token>,
    transport: TransportSettings,
    most: usize,
    last_test: u64,
}

impl Streamers {
    /// None yet; so many connections at most.
    pub fn new(transport: TransportSettings, most: usize) -> Self {
        let (pools, links, writable) = Default::default();
        Streamers { pools, links, writable, transport, most, last_test: 0 }
    }

    /// Begins to look after the connections.
    pub fn begin(&self, shared: &mut Shared) {
        shared.schedule(WATCH_US, Deadline::CheckStreamers);
    }

    /// Takes the list's news.
    pub fn list(&mut self, shared: &mut Shared, scope: ListScope, entries: &[(Entry, SocketAddr)]) {
        if scope != ListScope::Delta {
            let named: BTreeSet<_> = entries.iter().map(|e| e.0.streamer).collect();
            let absent = self.pools.keys().filter(|s| !named.contains(s));
            let absent: Vec<_> = absent.copied().collect();
            absent.into_iter().for_each(|streamer| self.forget(shared, streamer));
        }
        for (entry, address) in entries {
            if entry.standing == Standing::Gone {
                self.forget(shared, entry.streamer);
                continue;
            }
            // An address that a new streamer has is no longer another's.
            let before = |(s, p): (&StreamerId, &Pool)| {
                (p.address == Some(*address) && *s != entry.streamer).then_some(*s)
            };
            let before: Vec<_> = self.pools.iter().filter_map(before).collect();
            before.into_iter().for_each(|streamer| self.forget(shared, streamer));
            let pool = self.pools.entry(entry.streamer).or_default();
            pool.standing = entry.standing;
            if pool.address.replace(*address).is_some_and(|was| was != *address) {
                self.close_links(shared, entry.streamer);
            } else if entry.standing != Standing::Up {
                self.withdraw(shared, entry.streamer);
            }
        }
    }

    /// A streamer that is gone: its connections and its sessions are, too.
    fn forget(&mut self, shared: &mut Shared, streamer: StreamerId) {
        self.close_links(shared, streamer);
        if self.pools.remove(&streamer).is_some() {
            shared.inputs.push(Input::Lost(streamer));
        }
    }

    /// Takes back what waits to be set up at a streamer that drains.
    fn withdraw(&mut self, shared: &mut Shared, streamer: StreamerId) {
        let links = self.pools.get(&streamer).map(|p| p.links.clone()).unwrap_or_default();
        for token in links {
            let Some(link) = self.links.get_mut(&token) else { continue };
            let mut back = Vec::new();
            if let Some(Writing::SetUp(attempt)) = link.writing.clone()
                && link.take_back(attempt)
            {
                back.push(attempt);
            }
            link.queue.retain(|saying| match saying {
                Saying::SetUp { attempt, .. } => {
                    back.push(*attempt);
                    false
                }
                _ => true,
            });
            for attempt in back {
                link.open.remove(&attempt.session);
                shared.inputs.push(Input::Unsent(attempt, UnsentReason::Withdrawn));
            }
        }
    }

    fn close_links(&mut self, shared: &mut Shared, streamer: StreamerId) {
        let links = self.pools.get(&streamer).map(|p| p.links.clone()).unwrap_or_default();
        links.into_iter().for_each(|token| self.down(shared, token));
    }

    /// Passes a set-up on.
    pub fn set_up(&mut self, shared: &mut Shared, set_up: SetUp) {
        let SetUp { streamer, attempt, rung, until, send_by, parcel } = set_up;
        let session = attempt.session;
        let token = match self.link_for(shared, streamer, Some(session)) {
            Ok(token) => token,
            Err(why) => return shared.inputs.push(Input::Unsent(attempt, why)),
        };
        if let Some(link) = self.links.get_mut(&token) {
            (link.used_at, link.carried) = (shared.now, true);
            link.open.insert(session, (attempt.number, false));
            link.queue.push_back(Saying::SetUp { attempt, rung, until, send_by, parcel });
        }
        self.pump(shared, token);
    }

    /// Gives an attempt up; an input tells when that is done, and whether it had ever left.
    pub fn give_up(&mut self, shared: &mut Shared, streamer: StreamerId, attempt: Attempt) {
        let session = attempt.session;
        let links = self.pools.get(&streamer).map(|p| p.links.clone()).unwrap_or_default();
        let has = |t: &Token| {
            let open = self.links.get(t).and_then(|l| l.open.get(&session));
            open.is_some_and(|o| o.0 == attempt.number)
        };
        let Some(token) = links.into_iter().find(has) else {
            shared.inputs.push(Input::GaveUp(attempt)); // its connection is closed: that gave it up
            return;
        };
        let Some(link) = self.links.get_mut(&token) else { return };
        let left = link.open.remove(&session).is_some_and(|o| o.1);
        if left && !link.take_back(attempt) {
            link.given_up.insert(session);
            link.queue.push_back(Saying::GiveUp(attempt));
            shared.schedule(GIVE_UP_US, Deadline::Cancel(token, attempt));
            self.pump(shared, token);
        } else {
            link.queue.retain(|s| !matches!(s, Saying::SetUp { attempt: a, .. } if *a == attempt));
            shared.inputs.push(Input::Unsent(attempt, UnsentReason::NoConnection));
        }
    }

    /// A give-up that a connection still holds back is carried out by closing it.
    fn give_up_due(&mut self, shared: &mut Shared, token: Token, attempt: Attempt) {
        let Some(link) = self.links.get(&token) else { return };
        let waits = |s: &Saying| matches!(s, Saying::GiveUp(a) if *a == attempt);
        if link.writing == Some(Writing::GiveUp(attempt)) || link.queue.iter().any(waits) {
            shared.counters.overfull += 1;
            info!(shared.log, "a give-up can't be written, connection closed"; "streamer" => link.streamer.0);
            self.down(shared, token);
        }
    }

    /// Releases a session that stands, or sets its rung. `acts`: the session, where this director does so by
    /// its own will.
    pub fn word(
        &mut self,
        shared: &mut Shared,
        streamer: StreamerId,
        bytes: Vec<u8>,
        acts: Option<RequestId>,
    ) {
        let up = self.pools.get(&streamer).and_then(|p| self.up_link(p));
        match up.and_then(|token| Some((token, self.links.get_mut(&token)?))) {
            Some((token, link)) => {
                link.queue.push_back(Saying::Word(bytes, acts));
                self.pump(shared, token);
            }
            None => {
                if let Some(pool) = self.pools.get_mut(&streamer).filter(|p| p.unsaid.len() < QUEUE_MOST) {
                    pool.unsaid.push_back((shared.now, bytes, acts));
                }
                self.attend(shared, streamer);
            }
        }
    }

    /// Asks a streamer for its load.
    pub fn probe(&mut self, shared: &mut Shared, streamer: StreamerId) {
        let token = match self.link_for(shared, streamer, None) {
            Ok(token) => token,
            Err(why) => {
                let outcome =
                    if why == UnsentReason::NoConnection { Outcome::ConnectError } else { Outcome::Ignored };
                let report = LoadReport::default();
                return shared.inputs.push(Input::Probed { streamer, outcome, report });
            }
        };
        self.last_test += 1;
        let id = RequestId(self.last_test);
        if let Some(link) = self.links.get_mut(&token) {
            link.used_at = shared.now;
            link.tests.insert(id);
            link.queue.push_back(Saying::Word(rtsp::load_test(id), None));
            let dialing = if link.up { 0 } else { self.transport.dial_timeout_us };
            shared.schedule(self.transport.dial_timeout_us + dialing, Deadline::Probe(token, id));
        }
        self.pump(shared, token);
    }

    /// A load test without an answer.
    fn probe_due(&mut self, shared: &mut Shared, token: Token, id: RequestId) {
        let Some(link) = self.links.get_mut(&token) else { return };
        if link.tests.remove(&id) {
            let (streamer, report) = (link.streamer, LoadReport::default());
            shared.inputs.push(Input::Probed { streamer, outcome: Outcome::TimedOut, report });
        }
    }

    /// Sees to it that what concerns the sessions at a streamer can come in.
    pub fn attend(&mut self, shared: &mut Shared, streamer: StreamerId) {
        let Some(pool) = self.pools.get(&streamer) else { return };
        if pool.links.is_empty() && pool.dial_at <= shared.now {
            let _ = self.dial(shared, streamer); // the watch tries again
        }
    }
}

impl Component for Streamers {
    fn owns(&self, token: Token) -> bool {
        self.links.contains_key(&token)
    }

    fn on_ready(&mut self, shared: &mut Shared, _: &Director, ready: Ready) {
        self.exchange(shared, ready);
    }

    fn on_deadline(&mut self, shared: &mut Shared, director: &Director, deadline: Deadline) -> bool {
        match deadline {
            Deadline::Connect(token) => self.dial_due(shared, token),
            Deadline::Probe(token, id) => self.probe_due(shared, token, id),
            Deadline::Cancel(token, attempt) => self.give_up_due(shared, token, attempt),
            Deadline::CheckStreamers => {
                self.watch(shared, |s| director.sessions_at(s));
                shared.schedule(WATCH_US, Deadline::CheckStreamers);
            }
            _ => return false,
        }
        true
    }
}
