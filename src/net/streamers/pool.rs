//! The connection pools of the streamers: choice of a connection, dialling and redialling, and detection of
//! lost streamers.
use super::super::connection::Connection;
use super::super::poll::Token;
use super::super::shared::{Deadline, Shared};
use super::connection::StreamerConnection;
use super::control::WrittenControl;
use super::{
    CONTROL_REDIAL_DELAY_US, MAX_CANCELLED_SET_UPS, MAX_QUEUED_MESSAGES, Pool, RECENT_INPUT_US,
    REDIAL_INTERVAL_US, REFUSED_LOST_US, SILENCE_CHECK_US, UNREACHABLE_LOST_US,
};
use super::{CONTROL_RETENTION_US, Streamers};
use crate::director::{Input, UnsentReason};
use crate::interface::{Micros, RequestId, StreamerId};
use crate::platform::rtsp::MessageDecoder;
use slog::{debug, warn};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::io;

impl Streamers {
    /// The connection for a set-up or a load probe: a suitable existing one, else a new one.
    pub(super) fn connection_for(
        &mut self,
        shared: &mut Shared,
        streamer: StreamerId,
        session: Option<RequestId>,
    ) -> Result<Token, UnsentReason> {
        let pool = self.pools.get(&streamer).ok_or(UnsentReason::Withdrawn)?;
        // If new connections have a price, open ones are used as long as connection attempts to the streamer
        // have not failed.
        let trusted = self.transport.handshake_price > 0.0 && pool.failing_since.is_none();
        let is_suitable = |c: &&StreamerConnection| {
            let recently_used =
                c.last_used_at.saturating_add(self.transport.connection_reuse_us()) > shared.now;
            let streamer_alive = trusted || c.last_received_at.saturating_add(RECENT_INPUT_US) > shared.now;
            let session_unknown = session.is_none_or(|s| !c.has_carried(s));
            let has_capacity = c.open_attempts.len() < self.transport.set_ups_per_connection
                && c.queue.len() < MAX_QUEUED_MESSAGES
                && c.cancelled.len() < MAX_CANCELLED_SET_UPS;
            session_unknown && has_capacity && (!c.connected || (recently_used && streamer_alive))
        };
        let connections = pool.connections.iter().filter_map(|t| self.connections.get(t)).filter(is_suitable);
        match connections
            .max_by_key(|c| (c.connected, c.carried_set_up, c.last_received_at))
            .map(|c| c.socket.token())
        {
            Some(token) => Ok(token),
            None => self.dial(shared, streamer),
        }
    }

    /// The connection for a control message: of the established ones, the one that was received on last.
    pub(super) fn control_connection(&self, pool: &Pool) -> Option<Token> {
        let connected =
            pool.connections.iter().filter_map(|t| self.connections.get(t)).filter(|c| c.connected);
        connected
            .filter(|c| c.queue.len() < MAX_QUEUED_MESSAGES)
            .max_by_key(|c| c.last_received_at)
            .map(|c| c.socket.token())
    }

    /// Starts a new connection. A lack of local resources says nothing about the streamer, and is reported as
    /// `Withdrawn`.
    pub(super) fn dial(&mut self, shared: &mut Shared, streamer: StreamerId) -> Result<Token, UnsentReason> {
        if self.connections.len() >= self.max_connections {
            let unused = |c: &&StreamerConnection| {
                let has_unwritten = !c.queue.is_empty() || c.socket.unwritten_len() > 0;
                c.connected && c.open_attempts.is_empty() && c.probes.is_empty() && !has_unwritten
            };
            let oldest = self.connections.values().filter(unused).min_by_key(|c| c.last_used_at);
            let oldest = oldest.map(|c| c.socket.token()).ok_or(UnsentReason::Withdrawn)?;
            self.close_to_make_room(shared, oldest);
        }
        let pool = self.pools.get_mut(&streamer).ok_or(UnsentReason::Withdrawn)?;
        pool.next_dial_at = shared.now.saturating_add(REDIAL_INTERVAL_US);
        let losses_at_begin = pool.input_loss.count();
        let socket = match Connection::connect(&mut shared.poll, pool.address.ok_or(UnsentReason::Withdrawn)?)
        {
            Ok(socket) => socket,
            Err(why) if why.kind() == io::ErrorKind::ConnectionRefused => {
                self.dial_failed(shared, streamer, shared.now, &why);
                return Err(UnsentReason::NoConnection);
            }
            Err(why) => {
                shared.counters.descriptors_out += 1;
                warn!(shared.log, "cannot start a connection to the streamer: {why}";
                    "streamer" => streamer.0);
                return Err(UnsentReason::Withdrawn);
            }
        };
        let token = socket.token();
        pool.connections.insert(token);
        let connection = StreamerConnection {
            streamer,
            socket,
            decoder: MessageDecoder::default(),
            connected: false,
            queue: VecDeque::new(),
            writing: None,
            open_attempts: BTreeMap::new(),
            cancelled: BTreeSet::new(),
            rejected: VecDeque::new(),
            written_control: WrittenControl::default(),
            probes: BTreeSet::new(),
            carried_set_up: false,
            last_used_at: shared.now,
            last_received_at: 0,
            overdue_since: None,
            doubted: false,
            input_unparseable: false,
            input_complete: false,
            losses_at_begin,
        };
        self.connections.insert(token, connection);
        shared.counters.streamer_connections += 1;
        shared.schedule(self.transport.dial_timeout_us, Deadline::Connect(token));
        Ok(token)
    }

    /// Closes a connection to make room for another. A release that crosses the close is repeated on a new
    /// connection.
    fn close_to_make_room(&mut self, shared: &mut Shared, token: Token) {
        self.read(shared, token);
        self.close(shared, token);
    }

    /// Closes an idle connection, unless a message has arrived on it meanwhile.
    fn close_unless_received(&mut self, shared: &mut Shared, token: Token) {
        self.read(shared, token);
        let Some(connection) = self.connections.get_mut(&token) else { return };
        if connection.last_received_at < shared.now {
            connection.input_complete = !connection.socket.has_partial_message();
            // An orderly close delivers what was written.
            connection.written_control = WrittenControl::default();
            self.close(shared, token);
        }
    }

    /// Records a loss of input for each connection on which a message is overdue. A message that stops short
    /// or never arrives shows that nothing else may arrive on that connection, though it stays open and
    /// others to the same streamer are in use.
    fn doubt_overdue_connections(&mut self, shared: &mut Shared) {
        for connection in self.connections.values_mut().filter(|connection| connection.connected) {
            if connection.becomes_doubtful(shared.now)
                && let Some(pool) = self.pools.get_mut(&connection.streamer)
            {
                pool.record_input_loss(shared, connection.streamer);
            }
        }
    }

    /// Records a failed connection attempt that began at `since`.
    pub(super) fn dial_failed(
        &mut self,
        shared: &mut Shared,
        streamer: StreamerId,
        since: Micros,
        why: &io::Error,
    ) {
        shared.counters.dials_failed += 1;
        shared.inputs.push(Input::Contact { streamer, up: false });
        debug!(shared.log, "connection to streamer failed: {why}"; "streamer" => streamer.0);
        let Some(pool) = self.pools.get_mut(&streamer) else { return };
        pool.next_dial_at = shared.now.saturating_add(REDIAL_INTERVAL_US);
        let refused = why.kind() == io::ErrorKind::ConnectionRefused;
        if refused && pool.connections.iter().any(|t| self.connections.get(t).is_some_and(|c| c.connected)) {
            pool.last_received_at = shared.now; // it is running, but accepts no more connections
        }
        pool.dial_refused = refused;
        pool.failing_since.get_or_insert(since);
    }

    /// Abandons a connection that was not established within the dial timeout.
    pub(super) fn handle_dial_deadline(&mut self, shared: &mut Shared, token: Token) {
        if self.connections.get(&token).is_some_and(|c| !c.connected) {
            self.connect_failed(shared, token, &io::ErrorKind::TimedOut.into());
        }
    }

    /// Closes a connection that could not be established.
    pub(super) fn connect_failed(&mut self, shared: &mut Shared, token: Token, why: &io::Error) {
        let Some(streamer) = self.connections.get(&token).map(|c| c.streamer) else { return };
        let since = self.connections.get(&token).map_or(0, |c| c.last_used_at);
        self.close(shared, token);
        self.dial_failed(shared, streamer, since, why);
    }

    /// Checks all connections: keeps one to each streamer with sessions, dials silent streamers, and closes
    /// idle connections before their streamer does.
    pub(super) fn check_connections(
        &mut self,
        shared: &mut Shared,
        sessions_at: impl Fn(StreamerId) -> usize,
    ) {
        let now = shared.now;
        let is_idle = |c: &&StreamerConnection| {
            c.connected
                && c.open_attempts.is_empty()
                && c.probes.is_empty()
                && c.queue.is_empty()
                && c.socket.unwritten_len() == 0
                && c.last_used_at.saturating_add(self.transport.idle_timeout_us / 5 * 4) <= now
                && sessions_at(c.streamer) == 0
                && c.last_received_at < now // the ledger has processed what was received
        };
        let idle: Vec<Token> = self.connections.values().filter(is_idle).map(|c| c.socket.token()).collect();
        idle.into_iter().for_each(|token| self.close_unless_received(shared, token));
        self.doubt_overdue_connections(shared);
        let ids: Vec<StreamerId> = self.pools.keys().copied().collect();
        for streamer in ids {
            let Some(pool) = self.pools.get_mut(&streamer) else { continue };
            while pool
                .unsent_control
                .front()
                .is_some_and(|(queued_at, ..)| queued_at.saturating_add(CONTROL_RETENTION_US) <= now)
            {
                pool.unsent_control.pop_front();
                shared.counters.control_dropped += 1;
            }
            let has_sessions = sessions_at(streamer) > 0;
            let pool_connections = || pool.connections.iter().filter_map(|t| self.connections.get(t));
            let dialing = pool_connections().any(|c| !c.connected);
            let silent = has_sessions && pool.last_received_at.saturating_add(SILENCE_CHECK_US) <= now;
            let failing = pool.failing_since.filter(|since| has_sessions && pool.last_received_at <= *since);
            let loss_delay_us = if pool.dial_refused { REFUSED_LOST_US } else { UNREACHABLE_LOST_US };
            if failing.is_some_and(|since| since.saturating_add(loss_delay_us) <= now) {
                warn!(shared.log, "streamer is lost; releasing its sessions"; "streamer" => streamer.0);
                pool.failing_since = None;
                self.close_connections(shared, streamer);
                shared.inputs.push(Input::Lost(streamer));
                continue;
            }
            let control_due = !pool.unsent_control.is_empty()
                && pool.next_dial_at.saturating_add(CONTROL_REDIAL_DELAY_US) <= now;
            let needs_connection = pool.connections.is_empty() && (has_sessions || control_due);
            let input_lost = has_sessions && pool.input_loss.retry_is_due(now);
            if input_lost && pool.input_loss.report_overdue(now) {
                warn!(shared.log, "no new connection to a streamer; a release may be lost";
                    "streamer" => streamer.0);
            }
            if !dialing && (needs_connection || silent || input_lost) && pool.next_dial_at <= now {
                if input_lost {
                    pool.input_loss.retried(now);
                }
                let _ = self.dial(shared, streamer); // the next check retries
            }
        }
    }
}
