//! The operators' door: its listener and the callers on it. It owns their sockets and their time; what a call
//! does is said by whoever hears it. Callers that say nothing cost a place for a while, and give it up to the
//! next one where all are taken.
use super::component::{Component, Ready};
use super::connection::{Connection, ReadOutcome};
use super::poll::{Registered, Token};
use super::shared::{Deadline, Event, Shared};
use crate::director::Director;
use crate::interface::Micros;
use crate::platform::door::{self, CallError};
use slog::{debug, warn};
use std::collections::BTreeMap;
use std::io;
use std::net::TcpListener;

/// Callers held at once, and with them the descriptors that the door needs, its listener among them.
const CALLERS_MOST: usize = 24;
/// Descriptors of the door.
pub const DESCRIPTORS: usize = CALLERS_MOST + 1;
/// A caller has so long to say its first word before it may make room for another: with all places taken by
/// callers that say nothing, more than a thousand a second are let through.
const FIRST_US: Micros = 15_000;
/// A caller is closed after so long, whatever it said.
const STAYS_US: Micros = 5_000_000;
/// Pause of the listener while all places are taken.
const PAUSE_US: Micros = 5_000;

/// How far a caller is.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Stage {
    /// Its call has not come whole.
    Asking,
    /// Its call waits for the answer, in this turn.
    Heard,
    /// It has its answer; what is left is that it reads it.
    Told,
}

/// A caller.
struct Caller {
    line: Connection,
    since: Micros,
    stage: Stage,
}

/// The door.
pub struct Door {
    listener: Registered<TcpListener>,
    callers: BTreeMap<Token, Caller>,
}

impl Door {
    /// Takes calls from a listener.
    pub fn on(shared: &mut Shared, listener: TcpListener) -> io::Result<Self> {
        listener.set_nonblocking(true)?;
        Ok(Door { listener: shared.poll.register(listener, false)?, callers: BTreeMap::new() })
    }

    fn accept(&mut self, shared: &mut Shared) {
        loop {
            if self.callers.len() >= CALLERS_MOST && !self.make_room(shared) {
                return self.pause(shared); // the backlog keeps them
            }
            match self.listener.source().accept() {
                Ok((stream, _)) => match Connection::accepted(&mut shared.poll, stream) {
                    Ok(line) => {
                        let token = line.token();
                        self.callers.insert(token, Caller { line, since: shared.now, stage: Stage::Asking });
                        shared.schedule(STAYS_US, Deadline::AdminConnection(token));
                        // A caller mostly has its call ready.
                        self.exchange(shared, Ready { token, readable: true, writable: false });
                    }
                    Err(why) => warn!(shared.log, "a caller could not be taken: {why}"),
                },
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return,
                Err(e) if e.kind() == io::ErrorKind::ConnectionAborted => {}
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(why) => {
                    shared.counters.descriptors_out += 1;
                    if self.make_room(shared) {
                        continue;
                    }
                    warn!(shared.log, "no call can be taken: {why}");
                    return self.pause(shared);
                }
            }
        }
    }

    /// Lets the caller go that is here longest, if it had its time; best one that was answered.
    fn make_room(&mut self, shared: &mut Shared) -> bool {
        let had = |c: &&Caller| match c.stage {
            Stage::Asking => c.since.saturating_add(FIRST_US) <= shared.now,
            Stage::Heard => false,
            Stage::Told => true,
        };
        let least = self.callers.values().filter(had).min_by_key(|c| (c.stage == Stage::Asking, c.since));
        let least = least.map(|c| c.line.token());
        least.inspect(|token| self.close(shared, *token)).is_some()
    }

    fn pause(&mut self, shared: &mut Shared) {
        if self.listener.set_interest(false, false).is_ok() {
            shared.schedule(PAUSE_US, Deadline::AdminConnection(self.listener.token()));
        }
    }

    fn close(&mut self, shared: &mut Shared, token: Token) {
        if let Some(caller) = self.callers.remove(&token) {
            shared.counters.calls_unusable += u64::from(caller.stage == Stage::Asking);
        }
    }

    fn exchange(&mut self, shared: &mut Shared, Ready { token, readable, writable }: Ready) {
        if writable {
            self.flush(shared, token);
        }
        let Some(caller) = self.callers.get_mut(&token).filter(|_| readable) else { return };
        let got = caller.line.read();
        if caller.stage != Stage::Asking {
            // One call a connection: what else it says is read, so that it can read its answer, and dropped.
            caller.line.discard_read();
        } else {
            match caller.line.take_message(door::read) {
                Ok(Some(call)) => {
                    shared.counters.calls += 1;
                    caller.stage = Stage::Heard;
                    shared.events.push(Event::AdminCall(token, call));
                }
                Ok(None) => {}
                Err(why) => self.refuse(shared, token, why),
            }
        }
        // One that has ended its own side may still read the answer that is on its way to it.
        let done =
            |c: &Caller| c.stage == Stage::Asking || (c.stage == Stage::Told && c.line.unwritten_len() == 0);
        let over = matches!(got, Ok(ReadOutcome::Eof)) && self.callers.get(&token).is_some_and(done);
        if over || got.is_err() {
            self.close(shared, token);
        }
    }

    fn refuse(&mut self, shared: &mut Shared, token: Token, why: CallError) {
        debug!(shared.log, "a call can't be answered: {why}");
        shared.counters.calls_unusable += 1;
        self.answer(shared, token, why.status(), &format!("{why}\n"));
    }

    /// Answers a call.
    pub fn answer(&mut self, shared: &mut Shared, token: Token, status: u16, body: &str) {
        let Some(caller) = self.callers.get_mut(&token) else { return };
        caller.stage = Stage::Told;
        caller.line.queue(&door::answer(status, body));
        self.flush(shared, token);
    }

    fn flush(&mut self, shared: &mut Shared, token: Token) {
        let Some(caller) = self.callers.get_mut(&token).filter(|c| c.stage == Stage::Told) else { return };
        let ended = match caller.line.write() {
            Ok(true) => caller.line.shutdown_write(),
            Ok(false) => return,
            Err(why) => Err(why),
        };
        if let Err(why) = ended {
            debug!(shared.log, "a caller is gone: {why}");
            self.close(shared, token);
        }
    }
}

impl Component for Door {
    fn owns(&self, token: Token) -> bool {
        self.callers.contains_key(&token) || self.listener.token() == token
    }

    fn on_ready(&mut self, shared: &mut Shared, _: &Director, ready: Ready) {
        if self.listener.token() == ready.token {
            self.accept(shared);
        } else {
            self.exchange(shared, ready);
        }
    }

    fn on_deadline(&mut self, shared: &mut Shared, _: &Director, deadline: Deadline) -> bool {
        let Deadline::AdminConnection(token) = deadline else { return false };
        if self.listener.token() == token {
            if let Err(why) = self.listener.set_interest(true, false) {
                warn!(shared.log, "the operators' door can't be watched: {why}");
            }
            self.accept(shared);
        } else {
            self.close(shared, token);
        }
        true
    }
}
