//! The viewers' side: the listener and the connections that viewers' sessions come in on. A connection that
//! says nothing, or nothing that can be answered, is closed; a full table makes room.
use super::line::{Got, Line};
use super::part::{Part, Ready};
use super::poll::{Token, Watched};
use super::shared::{Due, Heard, Shared};
use crate::director::{Director, Input, ViewerLink};
use crate::interface::{Micros, RequestId};
use crate::platform::viewer::{self, FromViewer};
use slog::{debug, info, warn};
use socket2::{Domain, Protocol, Socket, Type};
use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::net::{SocketAddr, TcpListener};

const BACKLOG: i32 = 1024;
/// Connections taken in one turn at most, so that a crowd does not keep those that are up waiting.
const ACCEPT_MOST: usize = 128;
/// A viewers' connection that does not read is closed from so many unwritten bytes.
const UNWRITTEN_MOST: usize = 128 * 1024;
/// Pause of the listener when no descriptor is left, or no connection can make room yet.
const ACCEPT_PAUSE_US: Micros = 20_000;
/// A connection has so long to bring its first bytes before it may make room for another.
const FIRST_US: Micros = 100_000;
/// By then a connection has said something that is answered, or is closed; the same holds for the rest of a
/// message that has begun.
const SILENT_US: Micros = 1_500_000;
/// Between further looks at a connection.
const LOOK_US: Micros = 500_000;
/// A connection without a session is closed by its viewer after 4 s; held longer it is closed from here.
const IDLE_US: Micros = 6_000_000;
/// Set-ups that can't be used after which a connection is closed; one that stands begins the count anew.
const SPURNED_MOST: u32 = 32;
/// How long a release waits for a connection from viewers to be sent on.
const RELEASE_KEPT_US: Micros = 8_000_000;
const RELEASES_KEPT: usize = 20_000;

/// A connection from viewers.
struct Caller {
    line: Line,
    since: Micros,
    heard_at: Micros,
    /// Since when part of a message waits for the rest.
    partial_since: Option<Micros>,
    /// It is a viewer's: it brought a set-up, or sessions that play. What ends a session goes out on such
    /// ones alone, for the front asks on others whether the director takes clients, and reads nothing else.
    viewer: bool,
    /// Something was said on it, or it brought sessions that play.
    answered: bool,
    /// A session of it has stood.
    stood: bool,
    spurned: u32,
}

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
    listener: Watched<TcpListener>,
    callers: BTreeMap<Token, Caller>,
    most: usize,
    kept: VecDeque<(Micros, Vec<u8>)>,
    /// With something that can't be read: closed when what came ahead of it has been answered.
    ending: Vec<Token>,
    /// No connections are taken any more.
    shut: bool,
}

impl Viewers {
    /// Takes connections from a listener; holds so many at most.
    pub fn on(shared: &mut Shared, listener: TcpListener, most: usize) -> io::Result<Self> {
        listener.set_nonblocking(true)?;
        let listener = shared.poll.watch(listener, false)?;
        Ok(Viewers {
            listener,
            callers: BTreeMap::new(),
            most,
            kept: VecDeque::new(),
            ending: Vec::new(),
            shut: false,
        })
    }

    /// Where it listens.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.listener.source().local_addr()
    }

    /// Takes the connections that wait. A full table makes room for them.
    fn accept(&mut self, shared: &mut Shared, director: &Director) {
        for _ in 0..ACCEPT_MOST {
            if self.callers.len() >= self.most && !self.make_room(shared, director) {
                return self.pause(shared); // the backlog keeps them
            }
            match self.listener.source().accept() {
                Ok((stream, _)) => match Line::accepted(&mut shared.poll, stream) {
                    Ok(line) => self.take(shared, line),
                    Err(why) => warn!(shared.log, "a connection from viewers could not be set up: {why}"),
                },
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

    fn take(&mut self, shared: &mut Shared, line: Line) {
        shared.counters.viewer_connections += 1;
        let (token, now) = (line.token(), shared.now);
        let caller = Caller {
            line,
            since: now,
            heard_at: now,
            partial_since: None,
            viewer: false,
            answered: false,
            stood: false,
            spurned: 0,
        };
        self.callers.insert(token, caller);
        shared.wake(SILENT_US, Due::Viewer(token));
    }

    /// Closes a connection on which no request waits, if it had its time to bring one: best one on which no
    /// session ever stood, the longest unheard of first.
    fn make_room(&mut self, shared: &mut Shared, director: &Director) -> bool {
        let free = |t: &Token| director.on_link(ViewerLink(*t)).0 == 0;
        let read = |c: &Caller| c.answered || c.since.saturating_add(FIRST_US) <= shared.now;
        let free = self.callers.iter().filter(|(t, c)| read(c) && free(t));
        let least = free.min_by_key(|(_, c)| (c.stood, c.heard_at)).map(|(t, _)| *t);
        least.inspect(|token| self.shed(shared, *token)).is_some()
    }

    fn shed(&mut self, shared: &mut Shared, token: Token) {
        shared.counters.viewers_shed += 1;
        self.close(shared, token);
    }

    fn close(&mut self, shared: &mut Shared, token: Token) {
        if self.callers.remove(&token).is_some() {
            shared.inputs.push(Input::LinkLost(ViewerLink(token)));
        }
    }

    /// Looks after a connection: closes one that has said nothing in its time, holds a message back, or has
    /// had nothing on it for long.
    fn look(&mut self, shared: &mut Shared, token: Token, director: &Director) {
        let Some(caller) = self.callers.get(&token) else { return };
        let (open, standing) = director.on_link(ViewerLink(token));
        let over = |since: Micros, span: Micros| since.saturating_add(span) <= shared.now;
        let held_back = caller.partial_since.is_some_and(|since| over(since, SILENT_US));
        let silent = !caller.answered && over(caller.since, SILENT_US);
        let idle = standing == 0 && over(caller.heard_at, IDLE_US);
        if open == 0 && (silent || held_back || idle) {
            debug!(shared.log, "a silent connection from viewers is closed");
            return self.shed(shared, token);
        }
        shared.wake(LOOK_US, Due::Viewer(token));
    }

    /// Without a pause the waiting connections would wake the loop again at once.
    fn pause(&mut self, shared: &mut Shared) {
        if self.listener.interest(false, false).is_ok() {
            shared.wake(ACCEPT_PAUSE_US, Due::Accept);
        }
    }

    /// Takes no further connections: they are another process's.
    pub fn shut(&mut self, shared: &Shared) {
        self.shut = true;
        if let Err(why) = self.listener.interest(false, false) {
            warn!(shared.log, "the listener is still watched: {why}");
        }
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
            let (open, standing) = director.on_link(ViewerLink(*token));
            (open == 0 && (all || standing == 0) && settled && c.line.unwritten() == 0).then_some(*token)
        };
        let quiet: Vec<Token> = self.callers.iter().filter_map(quiet).collect();
        for token in quiet {
            let heard = shared.heard.len();
            self.exchange(shared, Ready { token, readable: true, writable: false });
            let partial = self.callers.get(&token).is_some_and(|c| c.line.partial());
            if shared.heard.len() == heard && !partial {
                shared.counters.viewers_sent_away += 1;
                self.close(shared, token);
            }
        }
    }

    /// Takes connections again after a pause.
    fn resume(&mut self, shared: &mut Shared, director: &Director) {
        if self.shut {
            return;
        }
        if let Err(why) = self.listener.interest(true, false) {
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
            return shared.heard.push(Heard::Closed(token));
        }
        if !readable {
            return;
        }
        let got = caller.line.read();
        let (whole, bad) = caller.line.take(viewer::read);
        if !whole.is_empty() {
            caller.heard_at = shared.now;
            caller.partial_since = None;
        }
        let shown = !caller.viewer && whole.iter().any(|m| matches!(m, FromViewer::SetUp(_)));
        caller.viewer |= shown;
        if caller.line.partial() {
            caller.partial_since.get_or_insert(shared.now);
        }
        if let Some(why) = bad {
            shared.counters.malformed += 1;
            debug!(shared.log, "malformed message from viewers, connection closed: {why}");
            self.ending.push(token);
        }
        if let Err(why) = &got {
            debug!(shared.log, "a connection from viewers broke: {why}");
        }
        shared.heard.extend(whole.into_iter().map(|message| Heard::Viewer(ViewerLink(token), message)));
        if !matches!(got, Ok(Got::Bytes)) {
            shared.heard.push(Heard::Closed(token));
        } else if shown {
            self.deliver_kept(shared);
        }
    }

    /// Closes a connection that its viewer has closed.
    pub fn ended(&mut self, shared: &mut Shared, token: Token) {
        self.close(shared, token);
    }

    /// A connection brought a session that plays already and wants no answer.
    pub fn brought(&mut self, link: ViewerLink) {
        if let Some(caller) = self.callers.get_mut(&link.0) {
            (caller.answered, caller.stood, caller.viewer) = (true, true, true);
        }
    }

    /// Sends the answer that a session stands.
    pub fn stands(&mut self, shared: &mut Shared, link: ViewerLink, bytes: &[u8]) {
        if let Some(caller) = self.callers.get_mut(&link.0) {
            (caller.stood, caller.spurned) = (true, 0);
        }
        self.say(shared, link, bytes);
    }

    /// Answers a set-up that can't be used; a connection that goes on with them is closed.
    pub fn spurn(&mut self, shared: &mut Shared, link: ViewerLink, id: RequestId) {
        self.say(shared, link, &viewer::release(id, viewer::CAUSE_FAILED));
        let Some(caller) = self.callers.get_mut(&link.0) else { return };
        caller.spurned += 1;
        if caller.spurned >= SPURNED_MOST {
            info!(shared.log, "nothing on a connection from viewers can be used, closed");
            self.shed(shared, link.0);
        }
    }

    /// Sends a final answer, or another word that matters on its own connection alone.
    pub fn say(&mut self, shared: &mut Shared, link: ViewerLink, bytes: &[u8]) {
        let _ = self.say_on(shared, link.0, bytes);
    }

    /// Sends what ends a session: on its own connection, else on any, else on the next that comes.
    pub fn release(&mut self, shared: &mut Shared, link: ViewerLink, bytes: Vec<u8>) {
        if !self.ending.contains(&link.0) && self.say_on(shared, link.0, &bytes) {
            return;
        }
        // Only on those that are known for viewers': one that has brought nothing yet may be the front's.
        let others = self.callers.iter().filter(|(t, c)| c.viewer && !self.ending.contains(t));
        let mut others: Vec<_> = others.map(|(t, c)| (c.stood, c.heard_at, *t)).collect();
        others.sort_unstable_by(|a, b| b.cmp(a));
        if others.into_iter().any(|other| self.say_on(shared, other.2, &bytes)) {
            return;
        }
        if self.kept.len() < RELEASES_KEPT {
            self.kept.push_back((shared.now, bytes));
        }
    }

    fn say_on(&mut self, shared: &mut Shared, token: Token, bytes: &[u8]) -> bool {
        let Some(caller) = self.callers.get_mut(&token) else { return false };
        caller.answered = true;
        caller.line.put(bytes);
        let written = caller.line.write();
        let overfull = caller.line.unwritten() > UNWRITTEN_MOST;
        match written {
            Ok(_) if !overfull => return true,
            Ok(_) => {
                shared.counters.overfull += 1;
                warn!(shared.log, "viewers do not read, connection closed");
            }
            Err(why) => debug!(shared.log, "a connection from viewers broke: {why}"),
        }
        self.close(shared, token);
        false
    }

    fn deliver_kept(&mut self, shared: &mut Shared) {
        for (since, bytes) in std::mem::take(&mut self.kept) {
            if since.saturating_add(RELEASE_KEPT_US) > shared.now {
                self.release(shared, ViewerLink(0), bytes);
            }
        }
    }
}

impl Part for Viewers {
    fn owns(&self, token: Token) -> bool {
        self.callers.contains_key(&token) || self.listener.token() == token
    }

    fn ready(&mut self, shared: &mut Shared, director: &Director, ready: Ready) {
        if self.listener.token() == ready.token {
            self.accept(shared, director);
        } else {
            self.exchange(shared, ready);
        }
    }

    fn due(&mut self, shared: &mut Shared, director: &Director, due: Due) -> bool {
        match due {
            Due::Viewer(token) => self.look(shared, token, director),
            Due::Accept => self.resume(shared, director),
            _ => return false,
        }
        true
    }

    /// Closes the connections with something that can't be read.
    fn turned(&mut self, shared: &mut Shared) {
        std::mem::take(&mut self.ending).into_iter().for_each(|token| self.close(shared, token));
    }
}
