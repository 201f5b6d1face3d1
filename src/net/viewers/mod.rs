//! Viewer connections: the listener and the connections on which viewers request sessions.
//!
//! A connection on which nothing is received, or nothing that can be answered, is closed. When the limit on
//! connections is reached, an idle connection is evicted for a new one.
mod closing;
mod connection;
mod sends;

use super::component::{Component, Ready};
use super::connection::{Connection, ReadOutcome};
use super::poll::{Registered, Token};
use super::shared::{Deadline, Event, Shared};
use crate::director::{Director, ViewerLink};
use crate::interface::Micros;
use crate::platform::viewer::{self, ViewerMessage};
pub use connection::CloseReason;
use connection::{ConnectionState, MESSAGE_TIMEOUT_US, ViewerConnection};
use slog::{debug, warn};
use socket2::{Domain, Protocol, Socket, Type};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};

const LISTEN_BACKLOG: i32 = 1024;
/// Maximum number of connections accepted per event-loop turn, so that a burst of new connections does not
/// delay the established ones.
const MAX_ACCEPTS_PER_TURN: usize = 128;
/// Pause in accepting when no file descriptor is left or no connection can be evicted yet.
const ACCEPT_PAUSE_US: Micros = 20_000;
/// Maximum number of connections tried per eviction. A connection on which a message has arrived is not
/// closed.
const MAX_EVICTION_TRIES: usize = 16;
/// Interval between checks of a connection, after the first one.
const CHECK_INTERVAL_US: Micros = 500_000;

/// Opens a listening socket.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    socket.listen(LISTEN_BACKLOG)?;
    Ok(socket.into())
}

/// The listener and the viewer connections.
pub struct Viewers {
    /// `None` once the grace period at shutdown is over.
    listener: Option<Registered<TcpListener>>,
    connections: BTreeMap<Token, ViewerConnection>,
    max_connections: usize,
    /// Ends of sessions that wait for a viewer connection to be sent on, with the time of queueing.
    queued_releases: VecDeque<(Micros, Vec<u8>)>,
    /// Connections to be shut down once nothing on them is pending or unwritten.
    closing: BTreeSet<Token>,
    /// Connections with messages that were read and that the ledger has not processed yet. Until it has, it
    /// does not know the requests among them.
    unprocessed: BTreeSet<Token>,
    /// Whether no more connections are accepted.
    stopped_accepting: bool,
}

impl Viewers {
    /// Accepts connections from a listener, up to `max_connections` at a time.
    pub fn new(shared: &mut Shared, listener: TcpListener, max_connections: usize) -> io::Result<Self> {
        listener.set_nonblocking(true)?;
        let listener = shared.poll.register(listener, false)?;
        Ok(Viewers {
            listener: Some(listener),
            connections: BTreeMap::new(),
            max_connections,
            queued_releases: VecDeque::new(),
            closing: BTreeSet::new(),
            unprocessed: BTreeSet::new(),
            stopped_accepting: false,
        })
    }

    /// Returns the address of the listener.
    pub fn address(&self) -> io::Result<SocketAddr> {
        let listener = self.listener.as_ref().ok_or(io::ErrorKind::NotConnected)?;
        listener.source().local_addr()
    }

    /// Accepts the waiting connections, evicting idle ones when the limit is reached.
    fn accept(&mut self, shared: &mut Shared, director: &Director) {
        for _ in 0..MAX_ACCEPTS_PER_TURN {
            if self.connections.len() >= self.max_connections && !self.evict_one(shared, director) {
                return self.pause_accepting(shared); // they wait in the backlog
            }
            let Some(listener) = &self.listener else { return };
            match listener.source().accept() {
                Ok((stream, _)) => self.add_connection(shared, stream),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return,
                Err(error) if error.kind() == io::ErrorKind::ConnectionAborted => {}
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) => {
                    shared.counters.descriptors_out += 1;
                    if self.evict_one(shared, director) {
                        continue;
                    }
                    warn!(shared.log, "cannot accept a viewer connection: {error}");
                    return self.pause_accepting(shared);
                }
            }
        }
    }

    fn add_connection(&mut self, shared: &mut Shared, stream: TcpStream) {
        let socket = match Connection::accepted(&mut shared.poll, stream) {
            Ok(socket) => socket,
            Err(error) => {
                return warn!(shared.log, "cannot set up an accepted viewer connection: {error}");
            }
        };
        shared.counters.viewer_connections += 1;
        let token = socket.token();
        self.connections.insert(token, ViewerConnection::new(socket, shared.now));
        shared.schedule(MESSAGE_TIMEOUT_US, Deadline::ViewerConnection(token));
    }

    /// Closes one connection that is not in use and had time to send a request, if there is any. Connections
    /// that never had a session come first, then those whose last message is oldest. A connection on which a
    /// message has arrived meanwhile is read instead of closed.
    fn evict_one(&mut self, shared: &mut Shared, director: &Director) -> bool {
        for _ in 0..MAX_EVICTION_TRIES {
            let candidates = self.connections.iter().filter(|(token, connection)| {
                connection.is_evictable(shared.now) && !self.is_in_use(director, **token)
            });
            let oldest = candidates.min_by_key(|(_, c)| (c.had_session, c.last_message_at)).map(|(t, _)| *t);
            let Some(token) = oldest else { return false };
            let is_evictable = |connection: &ViewerConnection, now| connection.is_evictable(now);
            if self.must_stay_open(shared, director, token, is_evictable) {
                continue;
            }
            shared.counters.viewers_shed += 1;
            self.close(shared, token, CloseReason::Room);
            return true;
        }
        false
    }

    /// Checks the timeouts of a connection, and closes it if one has expired.
    fn check_connection(&mut self, shared: &mut Shared, token: Token, director: &Director) {
        if self.close_stalled(shared, token) {
            return;
        }
        let Some(connection) = self.connections.get(&token) else { return };
        match connection.state {
            ConnectionState::Open => {}
            ConnectionState::Closing { .. } => {
                return shared.schedule(CHECK_INTERVAL_US, Deadline::ViewerConnection(token));
            }
            ConnectionState::HalfClosed { reason, deadline } if deadline <= shared.now => {
                self.read_and_write(shared, Ready { token, readable: true, writable: false });
                return self.close(shared, token, reason);
            }
            ConnectionState::HalfClosed { .. } => return,
        }
        let (_, sessions) = director.requests_and_sessions_on(ViewerLink(token));
        let is_overdue = |connection: &ViewerConnection, now| connection.is_overdue(now, sessions);
        if is_overdue(connection, shared.now) && !self.must_stay_open(shared, director, token, is_overdue) {
            shared.counters.viewers_shed += 1;
            return self.shut_down_write(shared, token, CloseReason::Silent);
        }
        shared.schedule(CHECK_INTERVAL_US, Deadline::ViewerConnection(token));
    }

    /// Stops accepting for a short time. Without the pause the waiting connections would wake the event loop
    /// again immediately.
    fn pause_accepting(&mut self, shared: &mut Shared) {
        let paused = self.listener.as_mut().is_some_and(|l| l.set_interest(false, false).is_ok());
        if paused {
            shared.schedule(ACCEPT_PAUSE_US, Deadline::ResumeAccept);
        }
    }

    /// Stops accepting for good, because new connections belong to another process.
    pub fn stop_accepting(&mut self, shared: &Shared) {
        self.stopped_accepting = true;
        let Some(listener) = &mut self.listener else { return };
        if let Err(error) = listener.set_interest(false, false) {
            warn!(shared.log, "cannot stop polling the viewer listener: {error}");
        }
    }

    fn is_listener(&self, token: Token) -> bool {
        self.listener.as_ref().is_some_and(|listener| listener.token() == token)
    }

    /// Returns the number of connections.
    pub fn connection_count(&self) -> usize {
        self.connections.len()
    }

    /// Closes the connections that are not in use; unless `all` is set, only those without a session. A
    /// connection on which a message has arrived meanwhile is read instead of closed. A new connection first
    /// has time to send its first message.
    pub fn close_idle_connections(&mut self, shared: &mut Shared, director: &Director, all: bool) {
        let tokens: Vec<Token> = self.connections.keys().copied().collect();
        for token in tokens {
            let (_, sessions) = director.requests_and_sessions_on(ViewerLink(token));
            let may_close = |connection: &ViewerConnection, now| {
                let sessions_allow = all || sessions == 0;
                sessions_allow && connection.may_be_sent_away(now)
            };
            if !self.must_stay_open(shared, director, token, may_close) {
                shared.counters.viewers_sent_away += 1;
                self.shut_down_write(shared, token, CloseReason::Drain);
            }
        }
    }

    /// Resumes accepting after a pause.
    fn resume_accepting(&mut self, shared: &mut Shared, director: &Director) {
        if self.stopped_accepting {
            return;
        }
        let Some(listener) = &mut self.listener else { return };
        if let Err(error) = listener.set_interest(true, false) {
            warn!(shared.log, "cannot resume polling the viewer listener: {error}");
        }
        self.accept(shared, director);
    }

    /// Reads from and writes to a connection that is ready. Complete messages are passed on, followed by
    /// [`Event::ViewerClosed`] if the viewer has closed the connection.
    fn read_and_write(&mut self, shared: &mut Shared, Ready { token, readable, writable }: Ready) {
        let Some(connection) = self.connections.get_mut(&token) else { return };
        if writable && let Err(error) = connection.write(shared.now) {
            debug!(shared.log, "viewer connection failed: {error}");
            (connection.broken, connection.reset) = (true, true); // data received before is still processed
        }
        if !readable && !connection.broken {
            return self.resume_reading(shared, token);
        }
        let read_result = connection.socket.read();
        connection.reset |= read_result.is_err();
        if !connection.accepts_messages() {
            connection.socket.discard_read();
            connection.broken |= !matches!(read_result, Ok(ReadOutcome::Open));
            if connection.broken {
                shared.events.push(Event::ViewerClosed(token));
            }
            return;
        }
        let (mut messages, parse_error) = connection.socket.take_messages(&mut viewer::MessageDecoder);
        if connection.is_half_closed() {
            // Nothing can be answered any more. A viewer sends such a request again on a new connection.
            messages.retain(|message| !message.wants_answer());
        }
        connection.record_read(shared.now, !messages.is_empty());
        let newly_identified =
            !connection.is_viewer && messages.iter().any(|m| matches!(m, ViewerMessage::SetUp(_)));
        connection.is_viewer |= newly_identified;
        connection.broken |= !matches!(read_result, Ok(ReadOutcome::Open));
        let broken = connection.broken;
        if let Some(error) = parse_error {
            shared.counters.malformed += 1;
            debug!(shared.log, "closing a viewer connection after a malformed message: {error}");
            connection.socket.discard_read();
            self.begin_close(shared, token, CloseReason::Malformed);
        }
        if let Err(error) = &read_result {
            debug!(shared.log, "viewer connection failed: {error}");
        }
        if !messages.is_empty() {
            self.unprocessed.insert(token);
        }
        shared
            .events
            .extend(messages.into_iter().map(|message| Event::ViewerMessage(ViewerLink(token), message)));
        if broken {
            shared.events.push(Event::ViewerClosed(token));
        } else if newly_identified {
            self.send_queued_releases(shared);
        }
    }

    /// Closes a connection that the viewer has closed.
    pub fn handle_peer_close(&mut self, shared: &mut Shared, token: Token) {
        self.close(shared, token, CloseReason::Gone);
    }
}

impl Component for Viewers {
    fn owns(&self, token: Token) -> bool {
        self.connections.contains_key(&token) || self.is_listener(token)
    }

    fn on_ready(&mut self, shared: &mut Shared, director: &Director, ready: Ready) {
        if self.is_listener(ready.token) {
            self.accept(shared, director);
        } else {
            self.read_and_write(shared, ready);
        }
    }

    fn on_deadline(&mut self, shared: &mut Shared, director: &Director, due: Deadline) -> bool {
        match due {
            Deadline::ViewerConnection(token) => self.check_connection(shared, token, director),
            Deadline::ResumeAccept => self.resume_accepting(shared, director),
            _ => return false,
        }
        true
    }
}
