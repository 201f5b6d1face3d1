//! One connection from viewers: its buffers, what it brought so far, and which messages have not left it yet.
use crate::interface::{Micros, RequestId};
use crate::net::connection::Connection;
use std::collections::VecDeque;

/// A connection has so long to bring its first bytes before it may make room for another.
pub const FIRST_US: Micros = 100_000;
/// A connection without a session is closed by its viewer after 4 s; held longer it is closed from here.
pub const IDLE_US: Micros = 6_000_000;

/// Part of a message that has been read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Partial {
    /// When its first bytes came.
    pub since: Micros,
    /// When its last bytes came.
    pub at: Micros,
}

/// A client that does not read what waits for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Stall {
    /// Since when.
    pub since: Micros,
    /// Bytes that had left by then.
    pub written: u64,
}

/// A message that has not left its connection whole, and must not be lost with it.
pub enum Unsent {
    /// The answer that this session stands.
    Answer(RequestId),
    /// What ends a session.
    Release(Vec<u8>),
}

/// By then a connection has said something that is answered, or is closed; the same holds for the next bytes
/// of a message that has begun.
pub const SILENT_US: Micros = 1_500_000;
/// The next bytes of a message that has begun may take so long before its connection makes room for another.
const PIECE_US: Micros = 500_000;

/// An answer older than this was read before its connection was reset.
const UNREAD_US: Micros = 500_000;

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
pub enum Stage {
    /// It is in use.
    Open,
    /// It is ended as soon as what was taken on it is answered and written.
    Closing {
        /// Why.
        why: CloseReason,
        /// Since when.
        since: Micros,
    },
    /// This side has ended. What the client still sends is dropped until it ends its own.
    Finished {
        /// Why.
        why: CloseReason,
        /// By when the client must have ended its side.
        until: Micros,
    },
}

/// A connection from viewers.
pub struct Caller {
    pub line: Connection,
    pub since: Micros,
    pub heard_at: Micros,
    /// Since when its client, for whom too much waits, has read nothing; until it has read some nothing more
    /// is read from it.
    pub stalled: Option<Stall>,
    /// Bytes read, as of the last look.
    read_total: u64,
    /// The part of a message that waits for the rest.
    pub partial: Option<Partial>,
    /// It is a viewer's: it brought a set-up, or sessions that play. What ends a session goes out on such
    /// ones alone, for the front asks on others whether the director takes clients, and reads nothing else.
    pub viewer: bool,
    /// Something was said on it, or it brought sessions that play.
    pub answered: bool,
    /// A session of it has stood.
    pub stood: bool,
    pub spurned: u32,
    pub stage: Stage,
    /// It has ended or can't be written to, and is closed as soon as what came on it has been heard.
    pub broken: bool,
    /// It was reset: what was written to it lately may never have been read.
    pub reset: bool,
    /// Sessions whose answers were written to it lately, oldest first.
    answers: VecDeque<(Micros, RequestId)>,
    /// Messages that matter beyond this connection, each with the count of bytes at which it ends.
    unsent: VecDeque<(u64, Unsent)>,
}

impl Caller {
    /// A connection that was just taken.
    pub fn new(line: Connection, now: Micros) -> Self {
        Caller {
            line,
            since: now,
            heard_at: now,
            stalled: None,
            read_total: 0,
            partial: None,
            viewer: false,
            answered: false,
            stood: false,
            spurned: 0,
            stage: Stage::Open,
            broken: false,
            reset: false,
            answers: VecDeque::new(),
            unsent: VecDeque::new(),
        }
    }

    /// Notes what a read has brought: bytes or none, whole messages among them or not.
    pub fn heard(&mut self, now: Micros, whole: bool) {
        let read = self.line.read_total();
        if std::mem::replace(&mut self.read_total, read) == read {
            return;
        }
        if whole {
            self.heard_at = now;
            self.partial = None;
        }
        if self.line.has_partial_message() {
            let since = self.partial.map_or(now, |partial| partial.since);
            self.partial = Some(Partial { since, at: now });
        }
    }

    /// Whether it is to be closed if no request waits on it: its client has said nothing in its time, goes
    /// no further with a message, or has had nothing on it for long.
    pub fn overdue(&self, now: Micros, standing: usize) -> bool {
        let over = |since: Micros, span: Micros| since.saturating_add(span) <= now;
        match self.partial {
            Some(partial) => over(partial.at, SILENT_US) || over(partial.since, IDLE_US),
            None => {
                let silent = !self.answered && over(self.since, SILENT_US);
                silent || standing == 0 && over(self.heard_at, IDLE_US)
            }
        }
    }

    /// Whether it may be closed for another one if no request waits on it: it had its time to bring
    /// something, what came on it in this turn has been answered, and its viewer is not in the middle of
    /// reading or of bringing a message.
    pub fn may_make_room(&self, now: Micros) -> bool {
        let writing = self.partial.is_some_and(|partial| partial.at.saturating_add(PIECE_US) > now);
        if writing {
            return false;
        }
        let read = self.answered || self.since.saturating_add(FIRST_US) <= now;
        let reading = self.line.unwritten_len() > 0 && self.heard_at.saturating_add(IDLE_US) > now;
        read && !reading && !self.broken && self.heard_at < now
    }

    /// Whether what comes on it is still taken as messages: behind what can't be read there are none.
    pub fn takes_messages(&self) -> bool {
        match self.stage {
            Stage::Open => true,
            Stage::Closing { why, .. } => why != CloseReason::Malformed,
            Stage::Finished { .. } => false,
        }
    }

    /// Whether something can still be said on it.
    pub fn takes_writes(&self) -> bool {
        !self.broken && !matches!(self.stage, Stage::Finished { .. })
    }

    /// Adds a message to what is to be written.
    pub fn put(&mut self, bytes: &[u8], matters: Option<Unsent>) {
        self.answered = true;
        let written = self.line.written_total();
        while self.unsent.front().is_some_and(|(end, _)| *end <= written) {
            self.unsent.pop_front();
        }
        self.line.queue(bytes);
        let end = self.line.queued_total();
        self.unsent.extend(matters.map(|message| (end, message)));
    }

    /// Notes that the answer to a request is put on it.
    pub fn answers(&mut self, now: Micros, id: RequestId) {
        while self.answers.front().is_some_and(|(at, _)| at.saturating_add(UNREAD_US) <= now) {
            self.answers.pop_front();
        }
        self.answers.push_back((now, id));
    }

    /// Sessions whose answers a reset may have kept from being read.
    pub fn unread(&self, now: Micros) -> Vec<RequestId> {
        let lately = self.answers.iter().filter(|(at, _)| self.reset && at.saturating_add(UNREAD_US) > now);
        lately.map(|(_, id)| *id).collect()
    }

    /// The messages that matter and have not left whole.
    pub fn into_unsent(self) -> impl Iterator<Item = Unsent> {
        let written = self.line.written_total();
        self.unsent.into_iter().filter(move |(end, _)| *end > written).map(|(_, message)| message)
    }
}
