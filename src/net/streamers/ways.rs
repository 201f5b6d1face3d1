//! The ways to streamers: which connection is used, when a new one is begun, and which streamer is lost.
use super::super::connection::Connection;
use super::super::poll::Token;
use super::super::shared::{Deadline, Shared};
use super::link::Link;
use super::{
    GIVEN_UP_MOST, HEARD_US, LOST_US, Pool, QUEUE_MOST, REDIAL_US, REDIAL_WORDS_US, REFUSED_US, SILENT_US,
};
use super::{Streamers, WORDS_KEPT_US};
use crate::director::{Input, UnsentReason};
use crate::interface::{Micros, RequestId, StreamerId};
use slog::{debug, warn};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::io;

impl Streamers {
    /// The connection for a set-up or a test: one that is up and certain, else a new one.
    pub(super) fn link_for(
        &mut self,
        shared: &mut Shared,
        streamer: StreamerId,
        session: Option<RequestId>,
    ) -> Result<Token, UnsentReason> {
        let pool = self.pools.get(&streamer).ok_or(UnsentReason::Withdrawn)?;
        // Where new connections have a price, one is used as long as nothing speaks against its streamer.
        let trusted = self.transport.handshake_price > 0.0 && pool.failing_since.is_none();
        let fits = |l: &&Link| {
            let lately = l.used_at.saturating_add(self.transport.connection_reuse_us()) > shared.now;
            let heard = trusted || l.heard_at.saturating_add(HEARD_US) > shared.now;
            let apart = session.is_none_or(|s| !l.given_up.contains(&s) && !l.open.contains_key(&s));
            let room = l.open.len() < self.transport.set_ups_per_connection
                && l.queue.len() < QUEUE_MOST
                && l.given_up.len() < GIVEN_UP_MOST;
            apart && room && (!l.up || (lately && heard))
        };
        let links = pool.links.iter().filter_map(|t| self.links.get(t)).filter(fits);
        match links.max_by_key(|l| (l.up, l.carried, l.heard_at)).map(|l| l.line.token()) {
            Some(token) => Ok(token),
            None => self.dial(shared, streamer),
        }
    }

    /// The connection for a word: any that is up, best the one heard of last.
    pub(super) fn up_link(&self, pool: &Pool) -> Option<Token> {
        let up = pool.links.iter().filter_map(|t| self.links.get(t)).filter(|l| l.up);
        up.filter(|l| l.queue.len() < QUEUE_MOST).max_by_key(|l| l.heard_at).map(|l| l.line.token())
    }

    /// Begins a new connection. What only this machine lacks for it says nothing of the streamer.
    pub(super) fn dial(&mut self, shared: &mut Shared, streamer: StreamerId) -> Result<Token, UnsentReason> {
        if self.links.len() >= self.most {
            let unused = |l: &&Link| {
                let waits = !l.queue.is_empty() || l.line.unwritten_len() > 0;
                l.up && l.open.is_empty() && l.tests.is_empty() && !waits
            };
            let oldest = self.links.values().filter(unused).min_by_key(|l| l.used_at);
            let oldest = oldest.map(|l| l.line.token()).ok_or(UnsentReason::Withdrawn)?;
            self.make_room(shared, oldest);
        }
        let pool = self.pools.get_mut(&streamer).ok_or(UnsentReason::Withdrawn)?;
        pool.dial_at = shared.now.saturating_add(REDIAL_US);
        pool.cut = false;
        let line = match Connection::connect(&mut shared.poll, pool.address.ok_or(UnsentReason::Withdrawn)?) {
            Ok(line) => line,
            Err(why) if why.kind() == io::ErrorKind::ConnectionRefused => {
                self.dial_failed(shared, streamer, shared.now, &why);
                return Err(UnsentReason::NoConnection);
            }
            Err(why) => {
                shared.counters.descriptors_out += 1;
                warn!(shared.log, "no connection can be begun: {why}"; "streamer" => streamer.0);
                return Err(UnsentReason::Withdrawn);
            }
        };
        let token = line.token();
        pool.links.insert(token);
        let link = Link {
            streamer,
            line,
            up: false,
            queue: VecDeque::new(),
            writing: None,
            open: BTreeMap::new(),
            given_up: BTreeSet::new(),
            tests: BTreeSet::new(),
            carried: false,
            used_at: shared.now,
            heard_at: 0,
            spoilt: false,
            cut: false,
        };
        self.links.insert(token, link);
        shared.counters.streamer_connections += 1;
        shared.schedule(self.transport.dial_timeout_us, Deadline::Connect(token));
        Ok(token)
    }

    /// Closes a connection for another one. A release that crosses the close is said again on a new one.
    fn make_room(&mut self, shared: &mut Shared, token: Token) {
        self.read(shared, token);
        self.links.get_mut(&token).into_iter().for_each(|link| link.cut = true);
        self.down(shared, token);
    }

    pub(super) fn dial_failed(
        &mut self,
        shared: &mut Shared,
        streamer: StreamerId,
        since: Micros,
        why: &io::Error,
    ) {
        shared.counters.dials_failed += 1;
        shared.inputs.push(Input::Contact { streamer, up: false });
        debug!(shared.log, "no connection: {why}"; "streamer" => streamer.0);
        let Some(pool) = self.pools.get_mut(&streamer) else { return };
        pool.dial_at = shared.now.saturating_add(REDIAL_US);
        let refused = why.kind() == io::ErrorKind::ConnectionRefused;
        if refused && pool.links.iter().any(|t| self.links.get(t).is_some_and(|l| l.up)) {
            pool.heard_at = shared.now; // it runs, only takes no more connections
        }
        pool.refused = refused;
        pool.failing_since.get_or_insert(since);
    }

    /// A connection that has not come up in time never does.
    pub(super) fn dial_due(&mut self, shared: &mut Shared, token: Token) {
        if self.links.get(&token).is_some_and(|l| !l.up) {
            self.never_up(shared, token, &io::ErrorKind::TimedOut.into());
        }
    }

    pub(super) fn never_up(&mut self, shared: &mut Shared, token: Token, why: &io::Error) {
        let Some(streamer) = self.links.get(&token).map(|l| l.streamer) else { return };
        let since = self.links.get(&token).map_or(0, |l| l.used_at);
        self.down(shared, token);
        self.dial_failed(shared, streamer, since, why);
    }

    /// Looks after all connections: keeps one to each streamer with sessions, checks on silent ones, closes
    /// idle ones before their streamer does.
    pub(super) fn watch(&mut self, shared: &mut Shared, standing_at: impl Fn(StreamerId) -> usize) {
        let now = shared.now;
        let idle = |l: &&Link| {
            l.up && l.open.is_empty()
                && l.tests.is_empty()
                && l.queue.is_empty()
                && l.line.unwritten_len() == 0
                && l.used_at.saturating_add(self.transport.idle_timeout_us / 5 * 4) <= now
                && standing_at(l.streamer) == 0
        };
        let idle: Vec<Token> = self.links.values().filter(idle).map(|l| l.line.token()).collect();
        idle.into_iter().for_each(|token| self.down(shared, token));
        let ids: Vec<StreamerId> = self.pools.keys().copied().collect();
        for streamer in ids {
            let Some(pool) = self.pools.get_mut(&streamer) else { continue };
            while pool.unsaid.front().is_some_and(|kept| kept.0.saturating_add(WORDS_KEPT_US) <= now) {
                pool.unsaid.pop_front();
            }
            let sessions = standing_at(streamer) > 0;
            let links = || pool.links.iter().filter_map(|t| self.links.get(t));
            let dialing = links().any(|l| !l.up);
            let silent = sessions && pool.heard_at.saturating_add(SILENT_US) <= now;
            let failing = pool.failing_since.filter(|since| sessions && pool.heard_at <= *since);
            let patience = if pool.refused { REFUSED_US } else { LOST_US };
            if failing.is_some_and(|since| since.saturating_add(patience) <= now) {
                warn!(shared.log, "lost, its sessions are released"; "streamer" => streamer.0);
                pool.failing_since = None;
                self.close_links(shared, streamer);
                shared.inputs.push(Input::Lost(streamer));
                continue;
            }
            let words = !pool.unsaid.is_empty() && pool.dial_at.saturating_add(REDIAL_WORDS_US) <= now;
            let unattended = pool.links.is_empty() && (sessions || words);
            // A streamer says releases again on the next connection, and there alone.
            let cut = sessions && pool.cut;
            if !dialing && (unattended || silent || cut) && pool.dial_at <= now {
                let _ = self.dial(shared, streamer); // the next watch tries again
            }
        }
    }
}
