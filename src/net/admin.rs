//! The operators' door: its listener and the callers on it. It owns their sockets and their time; what a call
//! does is said by whoever hears it. Callers that say nothing cost a place for a while, and give it up to the
//! next one where all are taken.
use super::line::{Got, Line};
use super::part::{Part, Ready};
use super::poll::{Token, Watched};
use super::shared::{Due, Heard, Shared};
use crate::director::Director;
use crate::interface::Micros;
use crate::platform::admin::{self, AdminError};
use slog::{debug, warn};
use std::collections::BTreeMap;
use std::io;
use std::net::TcpListener;

/// Callers held at once, and with them the descriptors that the door needs, its listener among them.
const MAX_CONNECTIONS: usize = 24;
/// Descriptors of the door.
pub const MAX_DESCRIPTORS: usize = MAX_CONNECTIONS + 1;
/// A caller has so long to say its first word before it may make room for another: with all places taken by
/// callers that say nothing, more than a thousand a second are let through.
const REQUEST_GRACE_US: Micros = 15_000;
/// A caller is closed after so long, whatever it said.
const MAX_CONNECTION_AGE_US: Micros = 5_000_000;
/// Pause of the listener while all places are taken.
const ACCEPT_PAUSE_US: Micros = 5_000;

/// How far a caller is.
#[derive(Clone, Copy, PartialEq, Eq)]
enum RequestState {
    /// Its call has not come whole.
    Reading,
    /// Its call waits for the answer, in this turn.
    Pending,
    /// It has its answer; what is left is that it reads it.
    Responded,
}

/// A connection.
struct Connection {
    line: Line,
    accepted_at: Micros,
    state: RequestState,
}

/// The door.
pub struct AdminServer {
    listener: Watched<TcpListener>,
    connections: BTreeMap<Token, Connection>,
}

impl AdminServer {
    /// Takes calls from a listener.
    pub fn new(shared: &mut Shared, listener: TcpListener) -> io::Result<Self> {
        listener.set_nonblocking(true)?;
        Ok(AdminServer { listener: shared.poll.watch(listener, false)?, connections: BTreeMap::new() })
    }

    fn accept(&mut self, shared: &mut Shared) {
        loop {
            if self.connections.len() >= MAX_CONNECTIONS && !self.evict_connection(shared) {
                return self.pause_accepting(shared); // the backlog keeps them
            }
            match self.listener.source().accept() {
                Ok((stream, _)) => match Line::accepted(&mut shared.poll, stream) {
                    Ok(line) => {
                        let token = line.token();
                        self.connections.insert(
                            token,
                            Connection { line, accepted_at: shared.now, state: RequestState::Reading },
                        );
                        shared.wake(MAX_CONNECTION_AGE_US, Due::Door(token));
                        // A caller mostly has its call ready.
                        self.handle_io(shared, Ready { token, readable: true, writable: false });
                    }
                    Err(error) => warn!(shared.log, "a caller could not be taken: {error}"),
                },
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return,
                Err(error) if error.kind() == io::ErrorKind::ConnectionAborted => {}
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) => {
                    shared.counters.descriptors_out += 1;
                    if self.evict_connection(shared) {
                        continue;
                    }
                    warn!(shared.log, "no call can be taken: {error}");
                    return self.pause_accepting(shared);
                }
            }
        }
    }

    /// Lets the caller go that is here longest, if it had its time; best one that was answered.
    fn evict_connection(&mut self, shared: &mut Shared) -> bool {
        let evictable = |connection: &&Connection| match connection.state {
            RequestState::Reading => connection.accepted_at.saturating_add(REQUEST_GRACE_US) <= shared.now,
            RequestState::Pending => false,
            RequestState::Responded => true,
        };
        let oldest = self
            .connections
            .values()
            .filter(evictable)
            .min_by_key(|connection| (connection.state == RequestState::Reading, connection.accepted_at));
        let oldest = oldest.map(|connection| connection.line.token());
        oldest.inspect(|token| self.close(shared, *token)).is_some()
    }

    fn pause_accepting(&mut self, shared: &mut Shared) {
        if self.listener.interest(false, false).is_ok() {
            shared.wake(ACCEPT_PAUSE_US, Due::Door(self.listener.token()));
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
        let read = connection.line.read();
        if connection.state != RequestState::Reading {
            // One call a connection: what else it says is read, so that it can read its answer, and dropped.
            connection.line.discard();
        } else {
            match connection.line.take_one(admin::parse_request) {
                Ok(Some(request)) => {
                    shared.counters.calls += 1;
                    connection.state = RequestState::Pending;
                    shared.heard.push(Heard::Call(token, request));
                }
                Ok(None) => {}
                Err(error) => self.reject(shared, token, error),
            }
        }
        // One that has ended its own side may still read the answer that is on its way to it.
        let finished = |connection: &Connection| {
            connection.state == RequestState::Reading
                || (connection.state == RequestState::Responded && connection.line.unwritten() == 0)
        };
        let ended = matches!(read, Ok(Got::End)) && self.connections.get(&token).is_some_and(finished);
        if ended || read.is_err() {
            self.close(shared, token);
        }
    }

    fn reject(&mut self, shared: &mut Shared, token: Token, error: AdminError) {
        debug!(shared.log, "a call can't be answered: {error}");
        shared.counters.calls_unusable += 1;
        self.respond(shared, token, error.status(), &format!("{error}\n"));
    }

    /// Answers a call.
    pub fn respond(&mut self, shared: &mut Shared, token: Token, status: u16, body: &str) {
        let Some(connection) = self.connections.get_mut(&token) else { return };
        connection.state = RequestState::Responded;
        connection.line.put(&admin::encode_response(status, body));
        self.flush(shared, token);
    }

    fn flush(&mut self, shared: &mut Shared, token: Token) {
        let Some(connection) =
            self.connections.get_mut(&token).filter(|connection| connection.state == RequestState::Responded)
        else {
            return;
        };
        let result = match connection.line.write() {
            Ok(true) => connection.line.finish(),
            Ok(false) => return,
            Err(error) => Err(error),
        };
        if let Err(error) = result {
            debug!(shared.log, "a caller is gone: {error}");
            self.close(shared, token);
        }
    }
}

impl Part for AdminServer {
    fn owns(&self, token: Token) -> bool {
        self.connections.contains_key(&token) || self.listener.token() == token
    }

    fn ready(&mut self, shared: &mut Shared, _: &Director, ready: Ready) {
        if self.listener.token() == ready.token {
            self.accept(shared);
        } else {
            self.handle_io(shared, ready);
        }
    }

    fn due(&mut self, shared: &mut Shared, _: &Director, due: Due) -> bool {
        let Due::Door(token) = due else { return false };
        if self.listener.token() == token {
            if let Err(error) = self.listener.interest(true, false) {
                warn!(shared.log, "the operators' door can't be watched: {error}");
            }
            self.accept(shared);
        } else {
            self.close(shared, token);
        }
        true
    }
}
