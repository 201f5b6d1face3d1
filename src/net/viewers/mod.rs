//! The viewers' side: the listener and the connections that viewers' sessions come in on. A connection that
//! says nothing, or nothing that can be answered, is closed; a full table makes room.
mod caller;
mod closing;
mod sends;

use super::component::{Component, Ready};
use super::connection::{Connection, ReadOutcome};
use super::poll::{Registered, Token};
use super::shared::{Deadline, Event, Shared};
use crate::director::{Director, ViewerLink};
use crate::interface::Micros;
use crate::platform::viewer::{self, FromViewer};
use caller::{Caller, CloseReason, FIRST_US, SILENT_US, Stage};
use slog::{debug, warn};
use socket2::{Domain, Protocol, Socket, Type};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};

const BACKLOG: i32 = 1024;
/// Connections taken in one turn at most, so that a crowd does not keep those that are up waiting.
const ACCEPT_MOST: usize = 128;
/// Pause of the listener when no descriptor is left, or no connection can make room yet.
const ACCEPT_PAUSE_US: Micros = 20_000;
/// Connections that are looked at to make room for one, where messages keep coming on them.
const ROOM_TRIES: usize = 16;
/// Between further looks at a connection.
const LOOK_US: Micros = 500_000;
/// Listens on an address.
pub fn listen(at: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(at), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.bind(&at.into())?;
    socket.listen(BACKLOG)?;
    Ok(socket.into())
}

/// Listener and connections of the viewers.
pub struct Viewers {
    /// None once the grace period is over.
    listener: Option<Registered<TcpListener>>,
    callers: BTreeMap<Token, Caller>,
    most: usize,
    kept: VecDeque<(Micros, Vec<u8>)>,
    /// Connections that are to be ended once nothing on them is open or unwritten.
    closing: BTreeSet<Token>,
    /// No connections are taken any more.
    shut: bool,
}

impl Viewers {
    /// Takes connections from a listener; holds so many at most.
    pub fn on(shared: &mut Shared, listener: TcpListener, most: usize) -> io::Result<Self> {
        listener.set_nonblocking(true)?;
        let listener = shared.poll.register(listener, false)?;
        Ok(Viewers {
            listener: Some(listener),
            callers: BTreeMap::new(),
            most,
            kept: VecDeque::new(),
            closing: BTreeSet::new(),
            shut: false,
        })
    }

    /// Where it listens.
    pub fn address(&self) -> io::Result<SocketAddr> {
        let listener = self.listener.as_ref().ok_or(io::ErrorKind::NotConnected)?;
        listener.source().local_addr()
    }

    /// Takes the connections that wait. A full table makes room for them.
    fn accept(&mut self, shared: &mut Shared, director: &Director) {
        for _ in 0..ACCEPT_MOST {
            if self.callers.len() >= self.most && !self.make_room(shared, director) {
                return self.pause(shared); // the backlog keeps them
            }
            let Some(listener) = &self.listener else { return };
            match listener.source().accept() {
                Ok((stream, _)) => self.welcome(shared, stream),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return,
                Err(e) if e.kind() == io::ErrorKind::ConnectionAborted => {}
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(why) => {
                    shared.counters.descriptors_out += 1;
                    if self.make_room(shared, director) {
                        continue;
                    }
                    warn!(shared.log, "no connection can be taken: {why}");
                    return self.pause(shared);
                }
            }
        }
    }

    fn welcome(&mut self, shared: &mut Shared, stream: TcpStream) {
        let line = match Connection::accepted(&mut shared.poll, stream) {
            Ok(line) => line,
            Err(why) => {
                return warn!(shared.log, "a connection from viewers could not be set up: {why}");
            }
        };
        shared.counters.viewer_connections += 1;
        let token = line.token();
        self.callers.insert(token, Caller::new(line, shared.now));
        shared.schedule(SILENT_US, Deadline::ViewerConnection(token));
    }

    /// Closes a connection on which no request waits, if it had its time to bring one: best one on which no
    /// session ever stood, the longest unheard of first. What has come on it meanwhile is heard instead.
    fn make_room(&mut self, shared: &mut Shared, director: &Director) -> bool {
        for _ in 0..ROOM_TRIES {
            let least = self.callers.iter().filter(|(t, c)| {
                director.requests_and_sessions_on(ViewerLink(**t)).0 == 0 && c.may_make_room(shared.now)
            });
            let least = least.min_by_key(|(_, c)| (c.stood, c.heard_at)).map(|(t, _)| *t);
            let Some(token) = least else { return false };
            let more = self.hears_more(shared, token);
            if !more && self.callers.get(&token).is_some_and(|c| c.may_make_room(shared.now)) {
                self.shed(shared, token, CloseReason::Room);
                return true;
            }
        }
        false
    }

    /// Reads what has come on a connection that is about to be closed, and tells whether that was a message
    /// or its end: then it is not closed from here.
    fn hears_more(&mut self, shared: &mut Shared, token: Token) -> bool {
        let heard = shared.events.len();
        self.exchange(shared, Ready { token, readable: true, writable: false });
        shared.events.len() > heard
    }

    fn shed(&mut self, shared: &mut Shared, token: Token, why: CloseReason) {
        shared.counters.viewers_shed += 1;
        self.close(shared, token, why);
    }

    /// Looks after a connection: closes one that has said nothing in its time, holds a message back, or has
    /// had nothing on it for long.
    fn look(&mut self, shared: &mut Shared, token: Token, director: &Director) {
        if self.close_stalled(shared, token) {
            return;
        }
        let Some(caller) = self.callers.get(&token) else { return };
        match caller.stage {
            Stage::Open => {}
            Stage::Closing { .. } => return shared.schedule(LOOK_US, Deadline::ViewerConnection(token)),
            Stage::Finished { why, until } if until <= shared.now => return self.close(shared, token, why),
            Stage::Finished { .. } => return,
        }
        let (open, standing) = director.requests_and_sessions_on(ViewerLink(token));
        let overdue = |caller: &Caller| caller.overdue(shared.now, standing);
        if open == 0 && overdue(caller) {
            let more = self.hears_more(shared, token);
            if !more && self.callers.get(&token).is_some_and(|c| c.overdue(shared.now, standing)) {
                shared.counters.viewers_shed += 1;
                return self.finish(shared, token, CloseReason::Silent);
            }
        }
        shared.schedule(LOOK_US, Deadline::ViewerConnection(token));
    }

    /// Without a pause the waiting connections would wake the loop again at once.
    fn pause(&mut self, shared: &mut Shared) {
        let paused = self.listener.as_mut().is_some_and(|l| l.set_interest(false, false).is_ok());
        if paused {
            shared.schedule(ACCEPT_PAUSE_US, Deadline::ResumeAccept);
        }
    }

    /// Takes no further connections: they are another process's.
    pub fn shut(&mut self, shared: &Shared) {
        self.shut = true;
        let Some(listener) = &mut self.listener else { return };
        if let Err(why) = listener.set_interest(false, false) {
            warn!(shared.log, "the listener is still watched: {why}");
        }
    }

    fn listens_on(&self, token: Token) -> bool {
        self.listener.as_ref().is_some_and(|listener| listener.token() == token)
    }

    /// Connections that are held.
    pub fn held(&self) -> usize {
        self.callers.len()
    }

    /// Sends viewers away: closes the connections on which no request is open and nothing is on its way,
    /// where `all` is false only those without a session. What has come meanwhile is heard instead. A new one
    /// has its time to bring its first message.
    pub fn send_away(&mut self, shared: &mut Shared, director: &Director, all: bool) {
        let quiet = |(token, c): (&Token, &Caller)| {
            let settled = c.answered || c.since.saturating_add(FIRST_US) <= shared.now;
            let (open, standing) = director.requests_and_sessions_on(ViewerLink(*token));
            let quiet = c.stage == Stage::Open && settled && c.line.unwritten_len() == 0;
            (open == 0 && (all || standing == 0) && quiet).then_some(*token)
        };
        let quiet: Vec<Token> = self.callers.iter().filter_map(quiet).collect();
        for token in quiet {
            let more = self.hears_more(shared, token);
            let partial = self.callers.get(&token).is_some_and(|c| c.line.has_partial_message());
            if !more && !partial {
                shared.counters.viewers_sent_away += 1;
                self.finish(shared, token, CloseReason::Drain);
            }
        }
    }

    /// Takes connections again after a pause.
    fn resume(&mut self, shared: &mut Shared, director: &Director) {
        if self.shut {
            return;
        }
        let Some(listener) = &mut self.listener else { return };
        if let Err(why) = listener.set_interest(true, false) {
            warn!(shared.log, "the listener can't be watched: {why}");
        }
        self.accept(shared, director);
    }

    /// Reads and writes a connection that is ready; what came whole is heard, and behind it that its viewer
    /// has closed it.
    fn exchange(&mut self, shared: &mut Shared, Ready { token, readable, writable }: Ready) {
        let Some(caller) = self.callers.get_mut(&token) else { return };
        if writable && let Err(why) = caller.line.write() {
            debug!(shared.log, "a connection from viewers broke: {why}");
            (caller.broken, caller.reset) = (true, true); // what came on it before is still heard
        }
        if !readable && !caller.broken {
            return self.resume_reading(shared, token);
        }
        let got = caller.line.read();
        caller.reset |= got.is_err();
        if !caller.takes_messages() {
            caller.line.discard_read();
            caller.broken |= !matches!(got, Ok(ReadOutcome::Open));
            if caller.broken {
                shared.events.push(Event::ViewerClosed(token));
            }
            return;
        }
        let (whole, bad) = caller.line.take_messages(viewer::read);
        caller.heard(shared.now, !whole.is_empty());
        let shown = !caller.viewer && whole.iter().any(|m| matches!(m, FromViewer::SetUp(_)));
        caller.viewer |= shown;
        caller.broken |= !matches!(got, Ok(ReadOutcome::Open));
        let broken = caller.broken;
        if let Some(why) = bad {
            shared.counters.malformed += 1;
            debug!(shared.log, "malformed message from viewers, connection closed: {why}");
            caller.line.discard_read();
            self.begin_close(shared, token, CloseReason::Malformed);
        }
        if let Err(why) = &got {
            debug!(shared.log, "a connection from viewers broke: {why}");
        }
        shared
            .events
            .extend(whole.into_iter().map(|message| Event::ViewerMessage(ViewerLink(token), message)));
        if broken {
            shared.events.push(Event::ViewerClosed(token));
        } else if shown {
            self.deliver_kept(shared);
        }
    }

    /// Closes a connection that its viewer has closed.
    pub fn ended(&mut self, shared: &mut Shared, token: Token) {
        self.close(shared, token, CloseReason::Gone);
    }
}

impl Component for Viewers {
    fn owns(&self, token: Token) -> bool {
        self.callers.contains_key(&token) || self.listens_on(token)
    }

    fn on_ready(&mut self, shared: &mut Shared, director: &Director, ready: Ready) {
        if self.listens_on(ready.token) {
            self.accept(shared, director);
        } else {
            self.exchange(shared, ready);
        }
    }

    fn on_deadline(&mut self, shared: &mut Shared, director: &Director, deadline: Deadline) -> bool {
        match deadline {
            Deadline::ViewerConnection(token) => self.look(shared, token, director),
            Deadline::ResumeAccept => self.resume(shared, director),
            _ => return false,
        }
        true
    }
}
