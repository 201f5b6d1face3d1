//! One connection to a streamer: what is queued, written and open on it, and what its messages mean to the
//! core.
use super::super::connection::Connection;
use super::super::shared::Shared;
use crate::director::{Attempt, Input, Parcel, SessionEnd};
use crate::interface::{Micros, Outcome, RequestId, StreamerId};
use crate::platform::rtsp::FromStreamer;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;

pub enum Saying {
    SetUp {
        attempt: Attempt,
        rung: usize,
        until: Micros,
        /// Its first byte must have left by then.
        send_by: Micros,
        parcel: Rc<Parcel>,
    },
    GiveUp(Attempt),
    /// A word; with a session, one that this director says by its own will.
    Word(Vec<u8>, Option<RequestId>),
}

#[derive(Clone, PartialEq, Eq)]
pub enum Writing {
    SetUp(Attempt),
    GiveUp(Attempt),
    Word(Vec<u8>, Option<RequestId>),
}

/// One connection to a streamer.
pub struct Link {
    pub streamer: StreamerId,
    pub line: Connection,
    pub up: bool,
    pub queue: VecDeque<Saying>,
    /// What is being written, where that matters.
    pub writing: Option<Writing>,
    /// Open set-ups: number of the attempt, and whether a byte of it has left.
    pub open: BTreeMap<RequestId, (u32, bool)>,
    pub given_up: BTreeSet<RequestId>,
    pub tests: BTreeSet<RequestId>,
    /// It has carried a set-up.
    pub carried: bool,
    pub used_at: Micros,
    pub heard_at: Micros,
    /// Something came on it that can't be read.
    pub spoilt: bool,
    /// It ended with what its streamer wrote last perhaps unread: by a reset, or behind what can't be read.
    pub cut: bool,
}

impl Link {
    /// Takes a set-up back that is being written, if not a byte of it has left.
    pub fn take_back(&mut self, attempt: Attempt) -> bool {
        let back = self.writing == Some(Writing::SetUp(attempt)) && self.line.discard_unsent();
        if back {
            self.writing = None;
        }
        back
    }

    /// Turns a streamer's message into what the core hears.
    pub fn hear(&mut self, shared: &mut Shared, message: FromStreamer) {
        let streamer = self.streamer;
        let input = match message {
            FromStreamer::Stands(session, description) => {
                let number = self.answered(session);
                Input::Stands { streamer, session, number, description }
            }
            FromStreamer::TurnedAway(session, outcome, report) => {
                let number = self.answered(session);
                Input::TurnedAway { streamer, session, number, outcome, report }
            }
            FromStreamer::Released(session, cause, description, report) => {
                let why = match cause {
                    Some(16) => SessionEnd::Ended,
                    Some(31) => SessionEnd::Left,
                    _ => SessionEnd::Cut,
                };
                let number = self.open.remove(&session).map(|o| o.0);
                Input::Released { streamer, session, number, why, description, report }
            }
            FromStreamer::Tested(id, passed, report) => {
                if !self.tests.remove(&id) {
                    return;
                }
                let outcome = if passed { Outcome::Ok } else { Outcome::Failed };
                Input::Probed { streamer, outcome, report }
            }
            FromStreamer::Noted(session, Some(kind), value) => {
                Input::Noted { streamer, session, kind, value }
            }
            // Asked for only where sessions outlive their director.
            FromStreamer::Over(session) if shared.ownership.is_some() => Input::DropHeard(session),
            FromStreamer::Noted(_, None, _) | FromStreamer::Over(_) | FromStreamer::Idle => return,
        };
        shared.inputs.push(input);
    }

    /// The open attempt that an answer on this connection is for; none where that was given up.
    pub fn answered(&mut self, session: RequestId) -> Option<u32> {
        self.given_up.remove(&session);
        self.open.remove(&session).map(|o| o.0)
    }
}
