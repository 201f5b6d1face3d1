//! State of one viewer connection: its buffers, what has been received on it, and which messages have not
//! been written completely.
use crate::interface::{Micros, RequestId};
use crate::net::connection::Connection;
use std::collections::VecDeque;
use std::io;

/// Time for a new connection to send its first bytes before it may be evicted.
pub const NEW_CONNECTION_GRACE_US: Micros = 100_000;
/// Time without a message after which a connection without a session is closed. Viewers close such
/// connections after 4 s themselves. Also the longest time for receiving one message.
pub const IDLE_TIMEOUT_US: Micros = 6_000_000;

/// Receive times of a message that has not been read completely.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PartialMessage {
    /// When its first bytes were read.
    pub started_at: Micros,
    /// When its latest bytes were read.
    pub last_read_at: Micros,
}

/// A client that does not read the data written for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Stall {
    /// Start of the period in which it has read nothing.
    pub since: Micros,
    /// Total number of bytes written by then.
    pub written_total: u64,
}

/// A message that must not be lost if its connection breaks before the message is written completely.
pub enum UnsentMessage {
    /// The answer that this session is established.
    Answer(RequestId),
    /// The encoded message that ends a session.
    Release(Vec<u8>),
}

/// Time for a new connection to send a first message that gets an answer, and for a partly received message
/// to continue. After that the connection is closed.
pub const MESSAGE_TIMEOUT_US: Micros = 1_500_000;
/// Time for a client to take some of the data that is written for it before its connection may be closed with
/// the rest unwritten. The socket's buffers may hold megabytes ahead of that data.
pub const WRITE_TIMEOUT_US: Micros = 30_000_000;
/// Time for a partly received message to continue before its connection may be evicted.
const PARTIAL_MESSAGE_GRACE_US: Micros = 500_000;

/// Age from which an answer counts as read, even if its connection was reset afterwards.
const ASSUMED_READ_AFTER_US: Micros = 500_000;

/// Why a viewer connection is closed. Log records contain the variant names.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// The client closed it, or it failed.
    Gone,
    /// It carried data that could not be parsed.
    Malformed,
    /// Too many set-ups on it were unusable.
    Unusable,
    /// No first message, no further part of a message, or no message for long.
    Silent,
    /// It was evicted in favour of a new connection.
    Room,
    /// The director sends its clients away, as a lame duck or before it stops.
    Drain,
    /// The process is shutting down.
    End,
}

/// How far the close of a connection has progressed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionState {
    /// In use.
    Open,
    /// To be shut down as soon as all requests received on it are answered and the answers written.
    Closing {
        /// Why it is closed.
        reason: CloseReason,
        /// When the close began.
        since: Micros,
    },
    /// Shut down for writing. Until the client closes its side, messages that want no answer are processed,
    /// and others are discarded.
    HalfClosed {
        /// Why it is closed.
        reason: CloseReason,
        /// Latest time for the client to close its side.
        deadline: Micros,
    },
}

/// A viewer connection.
pub struct ViewerConnection {
    pub socket: Connection,
    pub accepted_at: Micros,
    /// When a complete message was last read; initially when the connection was accepted.
    pub last_message_at: Micros,
    /// When the client last took data that was written for it, or data began to wait for it.
    last_progress_at: Micros,
    /// Set while reading is paused because too much data waits to be read by the client.
    pub stalled: Option<Stall>,
    /// Total number of bytes read, as of the last [`ViewerConnection::record_read`].
    read_total: u64,
    /// Set while the last message has not been received completely.
    pub partial: Option<PartialMessage>,
    /// Whether it is known to be a viewer's: a set-up or a handed-over session was received on it. The end of
    /// a session that was requested on another connection is sent only on such connections: the front end
    /// uses its own for health checks and reads nothing else on them.
    pub is_viewer: bool,
    /// Whether a message was sent on it, or a handed-over session was received, which needs no answer.
    pub answered: bool,
    /// Whether a session requested on it has been established.
    pub had_session: bool,
    /// Unusable set-ups since the last one that was answered with an established session.
    pub unusable_set_ups: u32,
    pub state: ConnectionState,
    /// Whether the client closed it or it failed. It is closed once the messages received on it are
    /// processed.
    pub broken: bool,
    /// Whether it was reset: the client may not have read what was written shortly before.
    pub reset: bool,
    /// Sessions whose success answers were queued recently, with the time, oldest first.
    recent_answers: VecDeque<(Micros, RequestId)>,
    /// Messages that must not be lost with the connection, each with the total number of bytes queued up to
    /// its end.
    unsent: VecDeque<(u64, UnsentMessage)>,
}

impl ViewerConnection {
    /// Creates the state of a connection that was just accepted.
    pub fn new(socket: Connection, now: Micros) -> Self {
        ViewerConnection {
            socket,
            accepted_at: now,
            last_message_at: now,
            last_progress_at: now,
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

    /// Updates the receive times after a read. `has_messages` says whether it completed any message.
    pub fn record_read(&mut self, now: Micros, has_messages: bool) {
        let read_total = self.socket.read_total();
        if std::mem::replace(&mut self.read_total, read_total) == read_total {
            return;
        }
        if has_messages {
            self.last_message_at = now;
            self.partial = None;
        }
        if self.socket.has_partial_message() {
            let started_at = self.partial.map_or(now, |partial| partial.started_at);
            self.partial = Some(PartialMessage { started_at, last_read_at: now });
        }
    }

    /// Returns whether the connection is to be closed, provided that it is not in use: its client has sent
    /// no first message in time, does not continue a partial message, or has sent no message for long and
    /// has no session.
    pub fn is_overdue(&self, now: Micros, sessions: usize) -> bool {
        let elapsed = |since: Micros, timeout: Micros| since.saturating_add(timeout) <= now;
        if self.has_unwritten(now, WRITE_TIMEOUT_US) {
            return false;
        }
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

    /// Returns whether the connection may be closed in favour of another one, provided that it is not in use:
    /// it had time to send a request, and its viewer is not in the middle of reading or of sending a message.
    pub fn is_evictable(&self, now: Micros) -> bool {
        let is_sending = self
            .partial
            .is_some_and(|partial| partial.last_read_at.saturating_add(PARTIAL_MESSAGE_GRACE_US) > now);
        !is_sending && !self.has_unwritten(now, IDLE_TIMEOUT_US) && self.is_past_grace(now)
    }

    /// Returns whether the connection may be closed because clients are sent away, provided that it is not in
    /// use: it had time to send a request, and no message is partly received or waits to be written.
    pub fn may_be_sent_away(&self, now: Micros) -> bool {
        let is_idle = !self.socket.has_partial_message() && !self.has_unwritten(now, WRITE_TIMEOUT_US);
        self.state == ConnectionState::Open && is_idle && self.is_past_grace(now)
    }

    fn is_past_grace(&self, now: Micros) -> bool {
        self.answered || self.accepted_at.saturating_add(NEW_CONNECTION_GRACE_US) <= now
    }

    /// Returns whether data waits to be written to a client that has taken some within a time.
    pub fn has_unwritten(&self, now: Micros, within: Micros) -> bool {
        self.socket.unwritten_len() > 0 && self.last_progress_at.saturating_add(within) > now
    }

    /// Writes as much as the socket accepts.
    pub fn write(&mut self, now: Micros) -> io::Result<bool> {
        let written_total = self.socket.written_total();
        let result = self.socket.write();
        if self.socket.written_total() != written_total {
            self.last_progress_at = now;
        }
        result
    }

    /// Returns whether received data is still parsed. After malformed data no message boundary can be found.
    pub fn accepts_messages(&self) -> bool {
        match self.state {
            ConnectionState::Open => true,
            ConnectionState::Closing { reason, .. } | ConnectionState::HalfClosed { reason, .. } => {
                reason != CloseReason::Malformed
            }
        }
    }

    /// Returns whether it was shut down for writing.
    pub fn is_half_closed(&self) -> bool {
        matches!(self.state, ConnectionState::HalfClosed { .. })
    }

    /// Returns whether messages can still be sent on it.
    pub fn is_writable(&self) -> bool {
        !self.broken && !self.is_half_closed()
    }

    /// Queues a message for writing. `tracked` describes it if it must not be lost with the connection.
    pub fn queue(&mut self, now: Micros, bytes: &[u8], tracked: Option<UnsentMessage>) {
        self.answered = true;
        if self.socket.unwritten_len() == 0 {
            self.last_progress_at = now;
        }
        let written_total = self.socket.written_total();
        while self.unsent.front().is_some_and(|(end, _)| *end <= written_total) {
            self.unsent.pop_front();
        }
        self.socket.queue(bytes);
        let end = self.socket.queued_total();
        self.unsent.extend(tracked.map(|message| (end, message)));
    }

    /// Records that the success answer to a request was queued.
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

    /// Returns the sessions whose success answers may not have been read because of a reset.
    pub fn possibly_unread_answers(&self, now: Micros) -> Vec<RequestId> {
        let recent = self
            .recent_answers
            .iter()
            .filter(|(at, _)| self.reset && at.saturating_add(ASSUMED_READ_AFTER_US) > now);
        recent.map(|(_, id)| *id).collect()
    }

    /// Returns the tracked messages that have not been written completely.
    pub fn into_unsent(self) -> impl Iterator<Item = UnsentMessage> {
        let written_total = self.socket.written_total();
        self.unsent.into_iter().filter(move |(end, _)| *end > written_total).map(|(_, message)| message)
    }
}
