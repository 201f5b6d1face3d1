//! The viewers' side: the listener and the connections that viewers' sessions come in on.
use super::line::{Got, Line};
use super::poll::{Token, Watched};
use super::shared::{Due, Shared};
use crate::director::{Input, ViewerLink};
use crate::interface::Micros;
use crate::platform::viewer::{self, FromViewer};
use slog::{info, warn};
use socket2::{Domain, Protocol, Socket, Type};
use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::net::{SocketAddr, TcpListener};

const BACKLOG: i32 = 1024;
/// A viewers' connection that does not read is closed from so many unwritten bytes.
const UNWRITTEN_MOST: usize = 1 << 20;
/// Pause of the listener when no descriptor is left.
const ACCEPT_PAUSE_US: Micros = 50_000;
/// How long a release waits for a connection from viewers to be sent on.
const RELEASE_KEPT_US: Micros = 8_000_000;
const RELEASES_KEPT: usize = 20_000;

/// Listener and connections of the viewers.
pub struct Viewers {
    listener: Watched<TcpListener>,
    lines: BTreeMap<Token, Line>,
    most: usize,
    kept: VecDeque<(Micros, Vec<u8>)>,
}

impl Viewers {
    /// Listens on an address; holds so many connections at most.
    pub fn listen(shared: &mut Shared, at: SocketAddr, most: usize) -> io::Result<Self> {
        let socket = Socket::new(Domain::for_address(at), Type::STREAM, Some(Protocol::TCP))?;
        socket.set_reuse_address(true)?;
        socket.set_nonblocking(true)?;
        socket.bind(&at.into())?;
        socket.listen(BACKLOG)?;
        let listener = shared.poll.watch(TcpListener::from(socket), false)?;
        Ok(Viewers { listener, lines: BTreeMap::new(), most, kept: VecDeque::new() })
    }

    /// Where it listens.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.listener.source().local_addr()
    }

    /// Whether a token is the listener's.
    pub fn is_listener(&self, token: Token) -> bool {
        self.listener.token() == token
    }

    /// Whether a token is one of the connections'.
    pub fn has(&self, token: Token) -> bool {
        self.lines.contains_key(&token)
    }

    /// Takes the connections that wait, as many as there are descriptors for.
    pub fn accept(&mut self, shared: &mut Shared) {
        while self.lines.len() < self.most {
            match self.listener.source().accept() {
                Ok((stream, _)) => match Line::accepted(&mut shared.poll, stream) {
                    Ok(line) => {
                        shared.counters.viewer_connections += 1;
                        let token = line.token();
                        self.lines.insert(token, line);
                        self.deliver_kept(shared);
                    }
                    Err(why) => warn!(shared.log, "a connection from viewers could not be set up: {why}"),
                },
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return,
                Err(e) if e.kind() == io::ErrorKind::ConnectionAborted => {}
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(why) => {
                    shared.counters.descriptors_out += 1;
                    warn!(shared.log, "no connection can be taken: {why}");
                    return self.pause(shared);
                }
            }
        }
        self.pause(shared);
    }

    /// Without a pause the waiting connections would wake the loop again at once.
    fn pause(&mut self, shared: &mut Shared) {
        if self.listener.interest(false, false).is_ok() {
            shared.wake(ACCEPT_PAUSE_US, Due::Accept);
        }
    }

    /// Takes connections again after a pause.
    pub fn resume(&mut self, shared: &mut Shared) {
        if let Err(why) = self.listener.interest(true, false) {
            warn!(shared.log, "the listener can't be watched: {why}");
        }
        self.accept(shared);
    }

    /// Reads and writes a connection that is ready; returns the whole messages that came.
    pub fn ready(
        &mut self,
        shared: &mut Shared,
        token: Token,
        readable: bool,
        writable: bool,
    ) -> Vec<FromViewer> {
        let Some(line) = self.lines.get_mut(&token) else { return Vec::new() };
        let mut messages = Vec::new();
        let mut broken = None;
        if writable && let Err(why) = line.write() {
            broken = Some(why.to_string());
        }
        while readable && broken.is_none() {
            let got = line.read();
            match line.take(viewer::read) {
                Ok(whole) => messages.extend(whole),
                Err(why) => {
                    shared.counters.malformed += 1;
                    warn!(shared.log, "malformed message from viewers, connection closed: {why}");
                    broken = Some(String::new());
                }
            }
            match got {
                Ok(Got::Bytes) => break,
                Ok(Got::End) => broken = Some(String::new()),
                Err(why) => broken = Some(why.to_string()),
            }
        }
        if let Some(why) = broken {
            if !why.is_empty() {
                info!(shared.log, "a connection from viewers broke: {why}");
            }
            self.lines.remove(&token);
        }
        messages
    }

    /// Sends a final answer, or another word that matters on its own connection alone.
    pub fn say(&mut self, shared: &mut Shared, link: ViewerLink, bytes: &[u8]) {
        let _ = self.say_on(shared, link.0, bytes);
    }

    /// Sends what ends a session: on its own connection, else on any, else on the next that comes.
    pub fn release(&mut self, shared: &mut Shared, link: ViewerLink, bytes: Vec<u8>) {
        if self.say_on(shared, link.0, &bytes) {
            return;
        }
        let others: Vec<Token> = self.lines.keys().rev().copied().collect();
        if others.into_iter().any(|other| self.say_on(shared, other, &bytes)) {
            return;
        }
        if self.kept.len() < RELEASES_KEPT {
            self.kept.push_back((shared.now, bytes));
        }
    }

    fn say_on(&mut self, shared: &mut Shared, token: Token, bytes: &[u8]) -> bool {
        let Some(line) = self.lines.get_mut(&token) else { return false };
        line.put(bytes);
        let written = line.write();
        let overfull = line.unwritten() > UNWRITTEN_MOST;
        match written {
            Ok(_) if !overfull => return true,
            Ok(_) => {
                shared.counters.overfull += 1;
                warn!(shared.log, "viewers do not read, connection closed");
            }
            Err(why) => info!(shared.log, "a connection from viewers broke: {why}"),
        }
        self.lines.remove(&token);
        shared.inputs.push(Input::LinkLost(ViewerLink(token)));
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
