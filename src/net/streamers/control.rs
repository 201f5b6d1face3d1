//! Messages to streamers that are neither set-ups nor cancellations, and which of them may be unread.
use crate::director::Input;
use crate::interface::{Micros, RequestId, StreamerId};
use crate::platform::rtsp;
use std::collections::VecDeque;

/// Time after which a written message counts as read.
const ASSUMED_READ_AFTER_US: Micros = 8_000_000;
/// Most written messages that are remembered for one connection; the oldest ones count as read.
const MAX_WRITTEN: usize = 256;

/// A message to a streamer that is neither a set-up nor a cancellation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ControlMessage {
    /// Releases a session.
    Release(RequestId),
    /// Sets the rung of a session.
    SetRung(RequestId, usize),
    /// Requests a load report.
    Probe(RequestId),
}

impl ControlMessage {
    /// Encodes it.
    pub fn encode(self) -> Vec<u8> {
        match self {
            ControlMessage::Release(session) => rtsp::release(session),
            ControlMessage::SetRung(session, rung) => rtsp::set_rung(session, rung),
            ControlMessage::Probe(id) => rtsp::load_probe(id),
        }
    }

    /// The input that tells the core that a streamer may not have read it.
    pub fn into_unread_input(self, streamer: StreamerId) -> Option<Input> {
        match self {
            ControlMessage::Release(session) => Some(Input::ReleaseUnread(streamer, session)),
            ControlMessage::SetRung(session, _) => Some(Input::RungUnread(streamer, session)),
            ControlMessage::Probe(_) => None,
        }
    }

    /// The session that the director acts on by its own decision, if any.
    pub fn session(self) -> Option<RequestId> {
        match self {
            ControlMessage::Release(session) | ControlMessage::SetRung(session, _) => Some(session),
            ControlMessage::Probe(_) => None,
        }
    }
}

/// The messages about sessions that were last written to a connection, and that its streamer may not have
/// read.
#[derive(Debug, Default)]
pub struct WrittenControl(VecDeque<(Micros, ControlMessage)>);

impl WrittenControl {
    /// Records a message that has been written completely.
    pub fn record(&mut self, now: Micros, message: ControlMessage) {
        if message.session().is_none() {
            return;
        }
        if self.0.len() >= MAX_WRITTEN {
            self.0.pop_front();
        }
        self.0.push_back((now, message));
    }

    /// Records that the streamer acknowledged the release of a session. It has read what was written before.
    pub fn acknowledged(&mut self, session: RequestId) {
        let is_release =
            |(_, message): &(Micros, ControlMessage)| *message == ControlMessage::Release(session);
        if let Some(index) = self.0.iter().position(is_release) {
            self.0.drain(..=index);
        }
    }

    /// The messages that may be unread when the connection is lost now.
    pub fn unread(&self, now: Micros) -> impl Iterator<Item = ControlMessage> {
        let recent = self.0.iter().filter(move |(at, _)| at.saturating_add(ASSUMED_READ_AFTER_US) > now);
        recent.map(|(_, message)| *message)
    }
}

#[cfg(test)]
mod tests;
