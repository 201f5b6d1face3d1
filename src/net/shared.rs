//! What all parts of the loop work with in a turn.
use super::hand::ActPermission;
use super::poll::{Poll, Token};
use crate::director::{self, Attempt, Counters, Deadlines, Input, ViewerLink};
use crate::interface::{Micros, RequestId};
use crate::platform::bulletin::Notice;
use crate::platform::door::Call;
use crate::platform::viewer::FromViewer;
use slog::Logger;

/// Every deadline of the program, the core's among them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Due {
    /// The core's own.
    Core(director::DeadlineKind),
    /// A connection to a streamer must be up by now.
    Dial(Token),
    /// A load test must be answered by now.
    Probe(Token, RequestId),
    /// A give-up must be written by now.
    GiveUp(Token, Attempt),
    /// Look after the connections to streamers.
    Watch,
    /// Look after the bulletin.
    Bulletin,
    /// Look after a connection from viewers.
    Viewer(Token),
    /// Take connections again.
    Accept,
    /// Look after a connection at the operators' door.
    Door(Token),
    /// Look after viewers that are being sent away.
    Away,
    /// The fleet has something to do.
    Fleet,
    /// The agreed log has something to do.
    Agreed,
    /// Look after a link to a peer.
    Peer(Token),
    /// The grace period after SIGTERM is over, or the time for the last messages after it.
    Quit,
    /// The time for clients to end their connections after the grace period is over.
    Closing,
}

/// What a part heard that needs names or settings before the core can hear it.
pub enum Heard {
    /// A message from viewers.
    Viewer(ViewerLink, FromViewer),
    /// A connection that its viewer has closed, behind its last message.
    Closed(Token),
    /// An event of the bulletin.
    Notice(Notice),
    /// A call at the operators' door.
    Call(Token, Call),
}

/// The loop's tools, and what it has gathered for the core.
pub struct Shared {
    /// The poller.
    pub poll: Poll,
    /// All deadlines.
    pub deadlines: Deadlines<Due>,
    /// What the core is to hear this turn.
    pub inputs: Vec<Input>,
    /// What has been heard and not yet taken in, in order.
    pub heard: Vec<Heard>,
    /// What is counted, by the core and by the transport.
    pub counters: Counters,
    /// The program's log.
    pub log: Logger,
    /// The time of this turn.
    pub now: Micros,
    /// What is asked, as bytes go out, of sessions that may be another director's by then; none where
    /// sessions end with their director.
    pub leave: Option<ActPermission>,
}

impl Shared {
    /// Whether what this director does to a session by its own will may go out now.
    pub fn may_act(&self, session: RequestId) -> bool {
        self.leave.as_ref().is_none_or(|leave| leave.may_act(session))
    }

    /// Sets a deadline from now.
    pub fn wake(&mut self, after: Micros, due: Due) {
        self.deadlines.set(self.now.saturating_add(after), due);
    }
}
