//! Close of viewer connections by the director's own decision, and graceful close.
//!
//! What the ledger knows of a connection lags behind what was read on it: messages wait among the events and
//! inputs of a turn. Every decision to close therefore asks [`Viewers::is_in_use`], which counts them.
//!
//! A connection is shut down for writing once all requests received on it are answered and the answers
//! written. Until the client closes its side, requests that it still sends are discarded, and messages that
//! want no answer, such as the end of a session, are processed. Closing a socket with unread data would
//! reset the connection, and a reset discards data that the client has not read yet.
use super::Viewers;
use super::connection::{CloseReason, ConnectionState, ViewerConnection, WRITE_TIMEOUT_US};
use crate::director::{Director, ViewerLink};
use crate::interface::Micros;
use crate::net::component::Ready;
use crate::net::poll::Token;
use crate::net::shared::{Deadline, Shared};
use slog::{debug, warn};
use std::io::ErrorKind;

/// Time for a client to close its side after the connection was shut down for writing.
const PEER_CLOSE_TIMEOUT_US: Micros = 500_000;
/// Time for a partly received message to be completed on a connection that is to be closed.
const PARTIAL_MESSAGE_WAIT_US: Micros = 60_000;
/// Time during which messages that keep arriving on a connection at shutdown are still answered.
const SHUTDOWN_READ_LIMIT_US: Micros = 1_500_000;

impl Viewers {
    /// Accepts the connections in the backlog and reads from all connections, as the grace period ends. No
    /// connections are accepted afterwards.
    pub fn read_all(&mut self, shared: &mut Shared) {
        if !self.stopped_accepting {
            self.accept_all(shared);
        }
        self.listener = None;
        let tokens: Vec<Token> = self.connections.keys().copied().collect();
        for token in tokens {
            self.read_and_write(shared, Ready { token, readable: true, writable: false });
        }
    }

    /// Accepts all waiting connections, even beyond the limit, since all of them are closed soon.
    fn accept_all(&mut self, shared: &mut Shared) {
        loop {
            let Some(listener) = &self.listener else { return };
            match listener.source().accept() {
                Ok((stream, _)) => self.add_connection(shared, stream),
                Err(error) if error.kind() == ErrorKind::WouldBlock => return,
                Err(error)
                    if matches!(error.kind(), ErrorKind::ConnectionAborted | ErrorKind::Interrupted) => {}
                Err(error) => {
                    return warn!(shared.log, "cannot accept the connections in the backlog: {error}");
                }
            }
        }
    }

    /// Begins to close all connections. Each is shut down for writing at the end of the first turn in which
    /// no request on it is open.
    pub fn close_all(&mut self, shared: &Shared, reason: CloseReason) {
        let tokens: Vec<Token> = self.connections.keys().copied().collect();
        tokens.into_iter().for_each(|token| self.begin_close(shared, token, reason));
    }

    /// Marks a connection to be shut down once nothing on it is pending or unwritten.
    pub(super) fn begin_close(&mut self, shared: &Shared, token: Token, reason: CloseReason) {
        let Some(connection) = self.connections.get_mut(&token).filter(|c| c.state == ConnectionState::Open)
        else {
            return;
        };
        connection.state = ConnectionState::Closing { reason, since: shared.now };
        self.closing.insert(token);
    }

    /// Returns whether a connection must not be closed now by the director's decision: a request on it is
    /// open, a message on it was read that the ledger has not processed yet, or it has ended already and its
    /// end waits to be processed.
    pub(super) fn is_in_use(&self, director: &Director, token: Token) -> bool {
        let Some(connection) = self.connections.get(&token) else { return true };
        self.unprocessed.contains(&token)
            || director.requests_and_sessions_on(ViewerLink(token)).0 > 0
            || connection.broken
    }

    /// Reads what has arrived on a connection that is about to be closed because of a condition. Returns
    /// whether it must stay open: it is in use, or the condition does not hold, before or after the read.
    pub(super) fn must_stay_open(
        &mut self,
        shared: &mut Shared,
        director: &Director,
        token: Token,
        condition: impl Fn(&ViewerConnection, Micros) -> bool,
    ) -> bool {
        let stays_open = |viewers: &Viewers, shared: &Shared| {
            viewers.is_in_use(director, token)
                || viewers.connections.get(&token).is_none_or(|c| !condition(c, shared.now))
        };
        if stays_open(self, shared) {
            return true;
        }
        self.read_and_write(shared, Ready { token, readable: true, writable: false });
        stays_open(self, shared)
    }

    /// Records that the ledger has processed all messages read so far.
    pub fn record_processed(&mut self) {
        self.unprocessed.clear();
    }

    /// Shuts down the closing connections on which nothing is pending or unwritten any more.
    pub fn advance_closing(&mut self, shared: &mut Shared, director: &Director) {
        let tokens: Vec<Token> = self.closing.iter().copied().collect();
        for token in tokens {
            let Some(connection) = self.connections.get(&token) else {
                self.closing.remove(&token);
                continue;
            };
            let ConnectionState::Closing { reason, since } = connection.state else {
                self.closing.remove(&token);
                continue;
            };
            let within = |timeout: Micros| since.saturating_add(timeout) > shared.now;
            let may_await_partial = connection.accepts_messages() && within(PARTIAL_MESSAGE_WAIT_US);
            let keeps_reading = reason == CloseReason::End && within(SHUTDOWN_READ_LIMIT_US);
            if self.is_in_use(director, token)
                || connection.has_unwritten(shared.now, WRITE_TIMEOUT_US)
                || may_await_partial && connection.socket.has_partial_message()
            {
                continue;
            }
            if keeps_reading {
                self.read_and_write(shared, Ready { token, readable: true, writable: false });
                if self.is_in_use(director, token) {
                    continue;
                }
            }
            let has_partial = self
                .connections
                .get(&token)
                .is_some_and(|connection| connection.socket.has_partial_message());
            if !(may_await_partial && has_partial) {
                shared.counters.viewers_sent_away += u64::from(reason == CloseReason::Drain);
                self.shut_down_write(shared, token, reason);
            }
        }
    }

    /// Shuts a connection down for writing. It is closed once the client has closed its side.
    pub(super) fn shut_down_write(&mut self, shared: &mut Shared, token: Token, reason: CloseReason) {
        self.closing.remove(&token);
        debug_assert!(!self.unprocessed.contains(&token), "a message on the connection is not processed yet");
        let Some(connection) = self.connections.get_mut(&token) else { return };
        debug!(shared.log, "viewer connection shut down for writing"; "connection" => token,
            "why" => ?reason);
        if connection.socket.shutdown_write().is_err() {
            return self.close(shared, token, reason); // the connection has failed
        }
        let deadline = shared.now.saturating_add(PEER_CLOSE_TIMEOUT_US);
        connection.state = ConnectionState::HalfClosed { reason, deadline };
        shared.deadlines.set(deadline, Deadline::ViewerConnection(token));
    }
}
