//! One connection to a streamer: its message queue, its open attempts, and the translation of the streamer's
//! messages into inputs of the core.
use super::super::connection::Connection;
use super::super::shared::Shared;
use super::SILENCE_CHECK_US;
use super::control::{ControlMessage, WrittenControl};
use super::input_loss::LossCount;
use crate::director::{Attempt, Input, Parcel, SessionAtStreamer, SessionEnd};
use crate::interface::{Micros, Outcome, RequestId, StreamerId};
use crate::platform::rtsp::{self, FromStreamer, MessageDecoder};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;

/// Number of sessions remembered in [`StreamerConnection::rejected`]. Second answers come within
/// milliseconds.
const MAX_REJECTED_SET_UPS: usize = 256;

/// A message that waits to be written.
pub enum QueuedMessage {
    SetUp {
        attempt: Attempt,
        rung: usize,
        until: Micros,
        /// Latest time to send the first byte.
        send_by: Micros,
        parcel: Rc<Parcel>,
    },
    Cancel(Attempt),
    Control(ControlMessage),
}

/// The message that is being written.
#[derive(Clone, PartialEq, Eq)]
pub enum MessageInProgress {
    SetUp(Attempt),
    Cancel(Attempt),
    Control(ControlMessage),
}

/// A set-up without an answer.
#[derive(Clone, Copy)]
pub struct OpenAttempt {
    /// Number of the attempt.
    pub number: u32,
    /// When the director stops waiting for the answer.
    pub until: Micros,
    /// Whether the set-up was handed to the socket.
    pub started: bool,
}

/// One connection to a streamer.
pub struct StreamerConnection {
    pub streamer: StreamerId,
    pub socket: Connection,
    pub decoder: MessageDecoder,
    pub connected: bool,
    pub queue: VecDeque<QueuedMessage>,
    /// The message that was last handed to the socket, until it is completely written.
    pub writing: Option<MessageInProgress>,
    /// Open set-ups.
    pub open_attempts: BTreeMap<RequestId, OpenAttempt>,
    /// Sessions whose set-ups were cancelled and that have not been answered since.
    pub cancelled: BTreeSet<RequestId>,
    /// Sessions whose set-ups were answered or released without having been established, the latest last. A
    /// second answer to one of them could not be told from the answer to a further attempt on this
    /// connection.
    pub rejected: VecDeque<RequestId>,
    /// Control messages that the streamer may not have read.
    pub written_control: WrittenControl,
    /// Load probes without an answer yet.
    pub probes: BTreeSet<RequestId>,
    /// Whether a set-up was ever queued on it.
    pub carried_set_up: bool,
    pub last_used_at: Micros,
    pub last_received_at: Micros,
    /// Since when the rest of a message, or an answer whose time is up, is due and no message has come.
    pub overdue_since: Option<Micros>,
    /// It was recorded as a loss of input that no message has come since `overdue_since`.
    pub doubted: bool,
    /// It received data that could not be parsed.
    pub input_unparseable: bool,
    /// All that the streamer sent on it has been read: it ended in order after a whole message, or was idle.
    /// Otherwise its last messages may be lost with the connection.
    pub input_complete: bool,
    /// Losses of the streamer's input before the connection was begun.
    pub losses_at_begin: LossCount,
}

impl StreamerConnection {
    /// Withdraws a set-up that is being written, if no byte of it has been sent. Tells whether it did.
    pub fn withdraw_unwritten(&mut self, attempt: Attempt) -> bool {
        let withdrawn =
            self.writing == Some(MessageInProgress::SetUp(attempt)) && self.socket.discard_unsent();
        if withdrawn {
            self.writing = None;
        }
        withdrawn
    }

    /// Records what a read brought: whether messages were among it, and whether part of one is left.
    pub fn record_received(&mut self, now: Micros, messages: bool) {
        if messages {
            (self.last_received_at, self.overdue_since, self.doubted) = (now, None, false);
        }
        if self.socket.has_partial_message() {
            self.overdue_since.get_or_insert(now);
        }
    }

    /// Whether a message has been overdue on it for so long that what follows it may be lost as well. Returns
    /// true once.
    pub fn becomes_doubtful(&mut self, now: Micros) -> bool {
        let overdue = self.overdue_since.is_some_and(|since| since.saturating_add(SILENCE_CHECK_US) <= now);
        overdue && !std::mem::replace(&mut self.doubted, true)
    }

    /// Translates a streamer's message into an input of the core.
    pub fn handle_message(&mut self, shared: &mut Shared, message: FromStreamer) {
        let streamer = self.streamer;
        let input = match message {
            FromStreamer::Established(session, description) => {
                let number = self.take_open_attempt(session);
                Input::Stands { streamer, session, number, description }
            }
            FromStreamer::Rejected(session, outcome, report) => {
                let number = self.take_open_attempt(session);
                self.record_rejected(session);
                Input::TurnedAway { streamer, session, number, outcome, report }
            }
            FromStreamer::Released(session, cause, description, report) => {
                let why = match cause {
                    Some(rtsp::CAUSE_COMPLETED) => SessionEnd::Ended,
                    Some(rtsp::CAUSE_RELEASED) => SessionEnd::Left,
                    _ => SessionEnd::Cut,
                };
                let number = self.open_attempts.remove(&session).map(|attempt| attempt.number);
                if number.is_some() {
                    self.record_rejected(session);
                }
                Input::Released { streamer, session, number, why, description, report }
            }
            FromStreamer::ProbeAnswered(id, succeeded, report) => {
                if !self.probes.remove(&id) {
                    return;
                }
                let outcome = if succeeded { Outcome::Ok } else { Outcome::Failed };
                Input::Probed { streamer, outcome, report }
            }
            FromStreamer::Note(session, Some(kind), value) => Input::Noted { streamer, session, kind, value },
            FromStreamer::ReleaseAcknowledged(session) => {
                self.written_control.acknowledged(session);
                // Only needed where sessions outlive their director.
                if shared.ownership.is_none() {
                    return;
                }
                Input::DropHeard(SessionAtStreamer { session, streamer })
            }
            FromStreamer::Note(_, None, _) | FromStreamer::Irrelevant => return,
        };
        shared.inputs.push(input);
    }

    fn record_rejected(&mut self, session: RequestId) {
        if self.rejected.len() >= MAX_REJECTED_SET_UPS {
            self.rejected.pop_front();
        }
        self.rejected.push_back(session);
    }

    /// Returns whether a set-up of this session was sent on it before, so that a late answer to that one
    /// could be taken for the answer to a further one.
    pub fn has_carried(&self, session: RequestId) -> bool {
        self.open_attempts.contains_key(&session)
            || self.cancelled.contains(&session)
            || self.rejected.contains(&session)
    }

    /// Closes the open attempt that an answer on this connection belongs to, and returns its number; `None`
    /// if the attempt was cancelled.
    pub fn take_open_attempt(&mut self, session: RequestId) -> Option<u32> {
        if self.cancelled.remove(&session) {
            self.record_rejected(session);
        }
        self.open_attempts.remove(&session).map(|attempt| attempt.number)
    }
}
