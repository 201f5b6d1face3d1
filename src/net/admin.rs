//! The server of the admin interface: its listener and its connections.
//!
//! It owns the sockets and their timeouts; requests are passed on as [`Event::AdminRequest`] and carried out
//! elsewhere. An idle connection holds a slot for a limited time, and is evicted for a new one when all slots
//! are in use.
use super::component::{Component, Ready};
use super::connection::{Connection, ReadOutcome};
use super::poll::{Registered, Token};
use super::read_buffer::FramingError;
use super::shared::{Deadline, Event, Shared};
use crate::director::Director;
use crate::interface::Micros;
use crate::platform::admin::{self, AdminError};
use slog::{debug, warn};
use std::collections::BTreeMap;
use std::io;
use std::net::TcpListener;

/// Maximum number of open connections, which also bounds the descriptors in use.
const MAX_CONNECTIONS: usize = 24;
/// Maximum number of descriptors in use: the connections and the listener.
pub const MAX_DESCRIPTORS: usize = MAX_CONNECTIONS + 1;
/// Time that a connection has to send its request before it may be evicted. With all slots held by idle
/// connections, more than a thousand new ones per second are still accepted.
const REQUEST_GRACE_US: Micros = 15_000;
/// Time after which a connection is closed in any state.
const MAX_CONNECTION_AGE_US: Micros = 5_000_000;
/// Pause in accepting connections while all slots are in use.
const ACCEPT_PAUSE_US: Micros = 5_000;

/// Progress of a connection's request.
#[derive(Clone, Copy, PartialEq, Eq)]
enum RequestState {
    /// The request has not been received completely.
    Reading,
    /// The request was received; it is answered in the same turn of the loop.
    Pending,
    /// The response is queued or sent; the client may still have to read it.
    Responded,
}

/// A connection of a client.
struct AdminConnection {
    socket: Connection,
    accepted_at: Micros,
    state: RequestState,
}

/// Server of the admin interface.
pub struct AdminServer {
    listener: Registered<TcpListener>,
    connections: BTreeMap<Token, AdminConnection>,
}

impl AdminServer {
    /// Creates a server that accepts connections from `listener`.
    pub fn new(shared: &mut Shared, listener: TcpListener) -> io::Result<Self> {
        listener.set_nonblocking(true)?;
        Ok(AdminServer { listener: shared.poll.register(listener, false)?, connections: BTreeMap::new() })
    }

    fn accept(&mut self, shared: &mut Shared) {
        loop {
            if self.connections.len() >= MAX_CONNECTIONS && !self.evict_connection(shared) {
                return self.pause_accepting(shared); // further connections wait in the backlog
            }
            match self.listener.source().accept() {
                Ok((stream, _)) => match Connection::accepted(&mut shared.poll, stream) {
                    Ok(socket) => {
                        let token = socket.token();
                        self.connections.insert(
                            token,
                            AdminConnection { socket, accepted_at: shared.now, state: RequestState::Reading },
                        );
                        shared.schedule(MAX_CONNECTION_AGE_US, Deadline::AdminConnection(token));
                        // The request has usually arrived already.
                        self.handle_io(shared, Ready { token, readable: true, writable: false });
                    }
                    Err(error) => warn!(shared.log, "can't set up an admin connection: {error}"),
                },
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return,
                Err(error) if error.kind() == io::ErrorKind::ConnectionAborted => {}
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) => {
                    shared.counters.descriptors_out += 1;
                    if self.evict_connection(shared) {
                        continue;
                    }
                    warn!(shared.log, "can't accept an admin connection: {error}");
                    return self.pause_accepting(shared);
                }
            }
        }
    }

    /// Closes the oldest connection that may be evicted, preferably one that was answered. Returns whether
    /// there was one.
    fn evict_connection(&mut self, shared: &mut Shared) -> bool {
        let evictable = |connection: &&AdminConnection| match connection.state {
            RequestState::Reading => connection.accepted_at.saturating_add(REQUEST_GRACE_US) <= shared.now,
            RequestState::Pending => false,
            RequestState::Responded => true,
        };
        let oldest = self
            .connections
            .values()
            .filter(evictable)
            .min_by_key(|connection| (connection.state == RequestState::Reading, connection.accepted_at));
        let oldest = oldest.map(|connection| connection.socket.token());
        oldest.inspect(|token| self.close(shared, *token)).is_some()
    }

    fn pause_accepting(&mut self, shared: &mut Shared) {
        if self.listener.set_interest(false, false).is_ok() {
            shared.schedule(ACCEPT_PAUSE_US, Deadline::AdminConnection(self.listener.token()));
        }
    }

    fn close(&mut self, shared: &mut Shared, token: Token) {
        if let Some(connection) = self.connections.remove(&token) {
            shared.counters.calls_unusable += u64::from(connection.state == RequestState::Reading);
        }
    }

    fn handle_io(&mut self, shared: &mut Shared, Ready { token, readable, writable }: Ready) {
        if writable {
            self.flush(shared, token);
        }
        let Some(connection) = self.connections.get_mut(&token).filter(|_| readable) else { return };
        let read_result = connection.socket.read();
        if connection.state != RequestState::Reading {
            // One request per connection. Further input is read and discarded, so that the client can read
            // its response.
            connection.socket.discard_read();
        } else {
            match connection.socket.take_message(&mut admin::RequestDecoder) {
                Ok(Some(request)) => {
                    shared.counters.calls += 1;
                    connection.state = RequestState::Pending;
                    shared.events.push(Event::AdminRequest(token, request));
                }
                Ok(None) => {}
                Err(FramingError::Malformed(error)) => self.reject(shared, token, error),
                Err(FramingError::TooLong(_)) => self.reject(shared, token, AdminError::HeadTooLong),
            }
        }
        // A client that has shut down its sending side may still read the response.
        let finished = |connection: &AdminConnection| {
            connection.state == RequestState::Reading
                || (connection.state == RequestState::Responded && connection.socket.unwritten_len() == 0)
        };
        let ended =
            matches!(read_result, Ok(ReadOutcome::Eof)) && self.connections.get(&token).is_some_and(finished);
        if ended || read_result.is_err() {
            self.close(shared, token);
        }
    }

    fn reject(&mut self, shared: &mut Shared, token: Token, error: AdminError) {
        debug!(shared.log, "invalid admin request: {error}");
        shared.counters.calls_unusable += 1;
        self.respond(shared, token, error.status(), &format!("{error}\n"));
    }

    /// Sends the response to a connection's request.
    pub fn respond(&mut self, shared: &mut Shared, token: Token, status: u16, body: &str) {
        let Some(connection) = self.connections.get_mut(&token) else { return };
        connection.state = RequestState::Responded;
        connection.socket.queue(&admin::encode_response(status, body));
        self.flush(shared, token);
    }

    fn flush(&mut self, shared: &mut Shared, token: Token) {
        let Some(connection) =
            self.connections.get_mut(&token).filter(|connection| connection.state == RequestState::Responded)
        else {
            return;
        };
        let result = match connection.socket.write() {
            Ok(true) => connection.socket.shutdown_write(),
            Ok(false) => return,
            Err(error) => Err(error),
        };
        if let Err(error) = result {
            debug!(shared.log, "admin connection lost: {error}");
            self.close(shared, token);
        }
    }
}

impl Component for AdminServer {
    fn owns(&self, token: Token) -> bool {
        self.connections.contains_key(&token) || self.listener.token() == token
    }

    fn on_ready(&mut self, shared: &mut Shared, _: &Director, ready: Ready) {
        if self.listener.token() == ready.token {
            self.accept(shared);
        } else {
            self.handle_io(shared, ready);
        }
    }

    fn on_deadline(&mut self, shared: &mut Shared, _: &Director, due: Deadline) -> bool {
        let Deadline::AdminConnection(token) = due else { return false };
        if self.listener.token() == token {
            if let Err(error) = self.listener.set_interest(true, false) {
                warn!(shared.log, "can't resume accepting admin connections: {error}");
            }
            self.accept(shared);
        } else {
            self.close(shared, token);
        }
        true
    }
}
