//! One connection from viewers: its buffers, what it brought so far, and which messages have not left it yet.
use crate::interface::{Micros, RequestId};
use crate::net::line::Line;
use std::collections::VecDeque;

/// A message that has not left its connection whole, and must not be lost with it.
pub enum Unsent {
    /// The answer that this session stands.
    Answer(RequestId),
    /// What ends a session.
    Release(Vec<u8>),
}

/// A connection from viewers.
pub struct Caller {
    pub line: Line,
    pub since: Micros,
    pub heard_at: Micros,
    /// Since when part of a message waits for the rest.
    pub partial_since: Option<Micros>,
    /// It is a viewer's: it brought a set-up, or sessions that play. What ends a session goes out on such
    /// ones alone, for the front asks on others whether the director takes clients, and reads nothing else.
    pub viewer: bool,
    /// Something was said on it, or it brought sessions that play.
    pub answered: bool,
    /// A session of it has stood.
    pub stood: bool,
    pub spurned: u32,
    /// It has ended or can't be written to, and is closed as soon as what came on it has been heard.
    pub broken: bool,
    /// Messages that matter beyond this connection, each with the count of bytes at which it ends.
    unsent: VecDeque<(u64, Unsent)>,
}

impl Caller {
    /// A connection that was just taken.
    pub fn new(line: Line, now: Micros) -> Self {
        Caller {
            line,
            since: now,
            heard_at: now,
            partial_since: None,
            viewer: false,
            answered: false,
            stood: false,
            spurned: 0,
            broken: false,
            unsent: VecDeque::new(),
        }
    }

    /// Adds a message to what is to be written.
    pub fn put(&mut self, bytes: &[u8], matters: Option<Unsent>) {
        self.answered = true;
        let written = self.line.written_total();
        while self.unsent.front().is_some_and(|(end, _)| *end <= written) {
            self.unsent.pop_front();
        }
        self.line.put(bytes);
        let end = self.line.put_total();
        self.unsent.extend(matters.map(|message| (end, message)));
    }

    /// The messages that matter and have not left whole.
    pub fn into_unsent(self) -> impl Iterator<Item = Unsent> {
        let written = self.line.written_total();
        self.unsent.into_iter().filter(move |(end, _)| *end > written).map(|(_, message)| message)
    }
}
