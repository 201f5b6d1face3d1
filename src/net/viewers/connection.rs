//! One connection from viewers: its buffers, what it brought so far, and which messages have not left it yet.
use crate::interface::{Micros, RequestId};
use crate::net::line::Line;
use std::collections::VecDeque;

/// A connection has so long to bring its first bytes before it may make room for another.
pub const NEW_CONNECTION_GRACE_US: Micros = 100_000;
/// A connection without a session is closed by its viewer after 4 s; held longer it is closed from here.
pub const IDLE_TIMEOUT_US: Micros = 6_000_000;

/// Part of a message that has been read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PartialMessage {
    /// When its first bytes came.
    pub started_at: Micros,
    /// When its last bytes came.
    pub last_read_at: Micros,
}

/// A client that does not read what waits for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Stall {
    /// Since when.
    pub since: Micros,
    /// Bytes that had left by then.
    pub written_total: u64,
}

/// A message that has not left its connection whole, and must not be lost with it.
pub enum UnsentMessage {
    /// The answer that this session stands.
    Answer(RequestId),
    /// What ends a session.
    Release(Vec<u8>),
}

/// By then a connection has said something that is answered, or is closed; the same holds for the next bytes
/// of a message that has begun.
pub const MESSAGE_TIMEOUT_US: Micros = 1_500_000;
/// The next bytes of a message that has begun may take so long before its connection makes room for another.
const PARTIAL_MESSAGE_GRACE_US: Micros = 500_000;

/// An answer older than this was read before its connection was reset.
const ASSUMED_READ_AFTER_US: Micros = 500_000;

/// Why a connection from viewers is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// Its client has closed it, or it broke.
    Gone,
    /// It brought what can't be read.
    Malformed,
    /// Nothing on it could be used.
    Unusable,
    /// It had said nothing in its time, held a message back, or had nothing on it for long.
    Silent,
    /// Another connection needs its place.
    Room,
    /// Clients are sent away.
    Drain,
    /// The process ends.
    End,
}

/// How far a connection is on its way to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionState {
    /// It is in use.
    Open,
    /// It is ended as soon as what was taken on it is answered and written.
    Closing {
        /// Why.
        reason: CloseReason,
        /// Since when.
        since: Micros,
    },
    /// This side has ended. What the client still sends is dropped until it ends its own.
    HalfClosed {
        /// Why.
        reason: CloseReason,
        /// By when the client must have ended its side.
        deadline: Micros,
    },
}

/// A connection from viewers.
pub struct Connection {
    pub line: Line,
    pub accepted_at: Micros,
    pub last_message_at: Micros,
    /// Since when its client, for whom too much waits, has read nothing; until it has read some nothing more
    /// is read from it.
    pub stalled: Option<Stall>,
    /// Bytes read, as of the last look.
    read_total: u64,
    /// The part of a message that waits for the rest.
    pub partial: Option<PartialMessage>,
    /// It is a viewer's: it brought a set-up, or sessions that play. What ends a session goes out on such
    /// ones alone, for the front asks on others whether the director takes clients, and reads nothing else.
    pub is_viewer: bool,
    /// Something was said on it, or it brought sessions that play.
    pub answered: bool,
    /// A session of it has stood.
    pub had_session: bool,
    pub unusable_set_ups: u32,
    pub state: ConnectionState,
    /// It has ended or can't be written to, and is closed as soon as what came on it has been heard.
    pub broken: bool,
    /// It was reset: what was written to it lately may never have been read.
    pub reset: bool,
    /// Sessions whose answers were written to it lately, oldest first.
    recent_answers: VecDeque<(Micros, RequestId)>,
    /// Messages that matter beyond this connection, each with the count of bytes at which it ends.
    unsent: VecDeque<(u64, UnsentMessage)>,
}

impl Connection {
    /// A connection that was just taken.
    pub fn new(line: Line, now: Micros) -> Self {
        Connection {
            line,
            accepted_at: now,
            last_message_at: now,
            stalled: None,
            read_total: 0,
            partial: None,
            is_viewer: false,
            answered: false,
            had_session: false,
            unusable_set_ups: 0,
            state: ConnectionState::Open,
            broken: false,
            reset: false,
            recent_answers: VecDeque::new(),
            unsent: VecDeque::new(),
        }
    }

    /// Notes what a read has brought: bytes or none, whole messages among them or not.
    pub fn record_read(&mut self, now: Micros, has_messages: bool) {
        let read_total = self.line.read_total();
        if std::mem::replace(&mut self.read_total, read_total) == read_total {
            return;
        }
        if has_messages {
            self.last_message_at = now;
            self.partial = None;
        }
        if self.line.partial() {
            let started_at = self.partial.map_or(now, |partial| partial.started_at);
            self.partial = Some(PartialMessage { started_at, last_read_at: now });
        }
    }

    /// Whether it is to be closed if no request waits on it: its client has said nothing in its time, goes
    /// no further with a message, or has had nothing on it for long.
    pub fn is_overdue(&self, now: Micros, sessions: usize) -> bool {
        let elapsed = |since: Micros, timeout: Micros| since.saturating_add(timeout) <= now;
        match self.partial {
            Some(partial) => {
                elapsed(partial.last_read_at, MESSAGE_TIMEOUT_US)
                    || elapsed(partial.started_at, IDLE_TIMEOUT_US)
            }
            None => {
                let silent = !self.answered && elapsed(self.accepted_at, MESSAGE_TIMEOUT_US);
                silent || sessions == 0 && elapsed(self.last_message_at, IDLE_TIMEOUT_US)
            }
        }
    }

    /// Whether it may be closed for another one if no request waits on it: it had its time to bring
    /// something, what came on it in this turn has been answered, and its viewer is not in the middle of
    /// reading or of bringing a message.
    pub fn is_evictable(&self, now: Micros) -> bool {
        let is_sending = self
            .partial
            .is_some_and(|partial| partial.last_read_at.saturating_add(PARTIAL_MESSAGE_GRACE_US) > now);
        if is_sending {
            return false;
        }
        let past_grace = self.answered || self.accepted_at.saturating_add(NEW_CONNECTION_GRACE_US) <= now;
        let is_reading =
            self.line.unwritten() > 0 && self.last_message_at.saturating_add(IDLE_TIMEOUT_US) > now;
        past_grace && !is_reading && !self.broken && self.last_message_at < now
    }

    /// Whether what comes on it is still taken as messages: behind what can't be read there are none.
    pub fn accepts_messages(&self) -> bool {
        match self.state {
            ConnectionState::Open => true,
            ConnectionState::Closing { reason, .. } => reason != CloseReason::Malformed,
            ConnectionState::HalfClosed { .. } => false,
        }
    }

    /// Whether something can still be said on it.
    pub fn is_writable(&self) -> bool {
        !self.broken && !matches!(self.state, ConnectionState::HalfClosed { .. })
    }

    /// Adds a message to what is to be written.
    pub fn queue(&mut self, bytes: &[u8], tracked: Option<UnsentMessage>) {
        self.answered = true;
        let written_total = self.line.written_total();
        while self.unsent.front().is_some_and(|(end, _)| *end <= written_total) {
            self.unsent.pop_front();
        }
        self.line.put(bytes);
        let end = self.line.put_total();
        self.unsent.extend(tracked.map(|message| (end, message)));
    }

    /// Notes that the answer to a request is put on it.
    pub fn record_answer(&mut self, now: Micros, id: RequestId) {
        while self
            .recent_answers
            .front()
            .is_some_and(|(at, _)| at.saturating_add(ASSUMED_READ_AFTER_US) <= now)
        {
            self.recent_answers.pop_front();
        }
        self.recent_answers.push_back((now, id));
    }

    /// Sessions whose answers a reset may have kept from being read.
    pub fn possibly_unread_answers(&self, now: Micros) -> Vec<RequestId> {
        let recent = self
            .recent_answers
            .iter()
            .filter(|(at, _)| self.reset && at.saturating_add(ASSUMED_READ_AFTER_US) > now);
        recent.map(|(_, id)| *id).collect()
    }

    /// The messages that matter and have not left whole.
    pub fn into_unsent(self) -> impl Iterator<Item = UnsentMessage> {
        let written_total = self.line.written_total();
        self.unsent.into_iter().filter(move |(end, _)| *end > written_total).map(|(_, message)| message)
    }
}
