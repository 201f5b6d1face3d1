//! How connections from viewers are ended in order: this side first, once all that was taken is answered and
//! written; then what the client still sends is read and dropped until it ends its own side. A socket that is
//! closed with unread bytes is reset, and a reset takes back what the client has not read yet.
use super::Viewers;
use super::connection::{CloseReason, ConnectionState};
use crate::director::{Director, ViewerLink};
use crate::interface::Micros;
use crate::net::part::Ready;
use crate::net::poll::Token;
use crate::net::shared::{Due, Shared};
use slog::{debug, warn};
use std::io::ErrorKind;

/// How long a client has to end its side after this one has been ended.
const PEER_CLOSE_TIMEOUT_US: Micros = 500_000;
/// A message that has begun is waited for so long on a connection that is to be ended.
const PARTIAL_MESSAGE_WAIT_US: Micros = 60_000;
/// What keeps coming on a connection at the process's end is answered for so long.
const SHUTDOWN_READ_LIMIT_US: Micros = 1_500_000;

impl Viewers {
    /// Reads all that waits as the grace period ends: the connections in the backlog, and what has come on
    /// each. Takes no connections afterwards.
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

    /// Takes all connections that wait, though the table be full: they are all ended soon.
    fn accept_all(&mut self, shared: &mut Shared) {
        loop {
            let Some(listener) = &self.listener else { return };
            match listener.source().accept() {
                Ok((stream, _)) => self.add_connection(shared, stream),
                Err(error) if error.kind() == ErrorKind::WouldBlock => return,
                Err(error)
                    if matches!(error.kind(), ErrorKind::ConnectionAborted | ErrorKind::Interrupted) => {}
                Err(error) => return warn!(shared.log, "connections in the backlog can't be taken: {error}"),
            }
        }
    }

    /// Begins to end all connections, since the process ends.
    pub fn close_all(&mut self, shared: &Shared) {
        let tokens: Vec<Token> = self.connections.keys().copied().collect();
        tokens.into_iter().for_each(|token| self.begin_close(shared, token, CloseReason::End));
    }

    /// Begins to end a connection, as soon as nothing on it is open or unwritten.
    pub(super) fn begin_close(&mut self, shared: &Shared, token: Token, reason: CloseReason) {
        let Some(connection) = self.connections.get_mut(&token).filter(|c| c.state == ConnectionState::Open)
        else {
            return;
        };
        connection.state = ConnectionState::Closing { reason, since: shared.now };
        self.closing.insert(token);
    }

    /// Ends this side of the connections on which nothing is open or unwritten any more.
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
            let pending =
                director.requests_and_sessions_on(ViewerLink(token)).0 > 0 || connection.line.unwritten() > 0;
            let within = |timeout: Micros| since.saturating_add(timeout) > shared.now;
            let may_await_partial = connection.accepts_messages() && within(PARTIAL_MESSAGE_WAIT_US);
            let keeps_reading = reason == CloseReason::End && within(SHUTDOWN_READ_LIMIT_US);
            if pending
                || may_await_partial && connection.line.partial()
                || keeps_reading && self.read_before_close(shared, token)
            {
                continue;
            }
            let has_partial =
                self.connections.get(&token).is_some_and(|connection| connection.line.partial());
            if !(may_await_partial && has_partial) {
                self.shut_down_write(shared, token, reason);
            }
        }
    }

    /// Ends this side of a connection.
    pub(super) fn shut_down_write(&mut self, shared: &mut Shared, token: Token, reason: CloseReason) {
        self.closing.remove(&token);
        let Some(connection) = self.connections.get_mut(&token) else { return };
        debug!(shared.log, "this side of a connection from viewers is ended"; "connection" => token,
            "why" => ?reason);
        if connection.line.finish().is_err() {
            return self.close(shared, token, reason); // it has broken
        }
        let deadline = shared.now.saturating_add(PEER_CLOSE_TIMEOUT_US);
        connection.state = ConnectionState::HalfClosed { reason, deadline };
        shared.deadlines.set(deadline, Due::Viewer(token));
    }
}
