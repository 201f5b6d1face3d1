//! One connection to a streamer: what is queued, written and open on it, and what its messages mean to the
//! core.
use super::super::line::Line;
use super::super::shared::Shared;
use crate::director::{Attempt, Input, Parcel, SessionEnd};
use crate::interface::{Micros, Outcome, RequestId, StreamerId};
use crate::platform::rtsp::{self, FromStreamer};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;

pub enum QueuedMessage {
    SetUp {
        attempt: Attempt,
        rung: usize,
        until: Micros,
        /// Its first byte must have left by then.
        send_by: Micros,
        parcel: Rc<Parcel>,
    },
    Cancel(Attempt),
    /// A word; with a session, one that this director says by its own will.
    Control(Vec<u8>, Option<RequestId>),
}

#[derive(Clone, PartialEq, Eq)]
pub enum MessageInProgress {
    SetUp(Attempt),
    Cancel(Attempt),
    Control(Vec<u8>, Option<RequestId>),
}

/// One connection to a streamer.
pub struct StreamerConnection {
    pub streamer: StreamerId,
    pub socket: Line,
    pub connected: bool,
    pub queue: VecDeque<QueuedMessage>,
    /// What is being written, where that matters.
    pub writing: Option<MessageInProgress>,
    /// Open set-ups: number of the attempt, and whether a byte of it has left.
    pub open_attempts: BTreeMap<RequestId, (u32, bool)>,
    pub cancelled: BTreeSet<RequestId>,
    pub probes: BTreeSet<RequestId>,
    /// It has carried a set-up.
    pub carried_set_up: bool,
    pub last_used_at: Micros,
    pub last_received_at: Micros,
    /// Something came on it that can't be read.
    pub input_unparseable: bool,
    /// It ended with what its streamer wrote last perhaps unread: by a reset, or behind what can't be read.
    pub input_may_be_lost: bool,
}

impl StreamerConnection {
    /// Takes a set-up back that is being written, if not a byte of it has left.
    pub fn withdraw_unwritten(&mut self, attempt: Attempt) -> bool {
        let withdrawn = self.writing == Some(MessageInProgress::SetUp(attempt)) && self.socket.take_back();
        if withdrawn {
            self.writing = None;
        }
        withdrawn
    }

    /// Turns a streamer's message into what the core hears.
    pub fn handle_message(&mut self, shared: &mut Shared, message: FromStreamer) {
        let streamer = self.streamer;
        let input = match message {
            FromStreamer::Established(session, description) => {
                let number = self.take_open_attempt(session);
                Input::Stands { streamer, session, number, description }
            }
            FromStreamer::Rejected(session, outcome, report) => {
                let number = self.take_open_attempt(session);
                Input::TurnedAway { streamer, session, number, outcome, report }
            }
            FromStreamer::Released(session, cause, description, report) => {
                let why = match cause {
                    Some(rtsp::CAUSE_COMPLETED) => SessionEnd::Ended,
                    Some(rtsp::CAUSE_RELEASED) => SessionEnd::Left,
                    _ => SessionEnd::Cut,
                };
                let number = self.open_attempts.remove(&session).map(|(number, _)| number);
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
            // Asked for only where sessions outlive their director.
            FromStreamer::ReleaseAcknowledged(session) if shared.leave.is_some() => Input::DropHeard(session),
            FromStreamer::Note(_, None, _)
            | FromStreamer::ReleaseAcknowledged(_)
            | FromStreamer::Irrelevant => return,
        };
        shared.inputs.push(input);
    }

    /// The open attempt that an answer on this connection is for; none where that was given up.
    pub fn take_open_attempt(&mut self, session: RequestId) -> Option<u32> {
        self.cancelled.remove(&session);
        self.open_attempts.remove(&session).map(|(number, _)| number)
    }
}
