//! State that all components of the event loop share: poller, deadlines, queued inputs and events, counters.
use super::hand::ActPermission;
use super::poll::{Poll, Token};
use crate::director::{self, Attempt, Counters, Deadlines, Input, ViewerLink};
use crate::interface::{Micros, RequestId};
use crate::platform::admin::AdminRequest;
use crate::platform::discovery;
use crate::platform::viewer::ViewerMessage;
use slog::Logger;

/// Kinds of deadline, including the core's.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Deadline {
    /// A deadline that the core set.
    Core(director::DeadlineKind),
    /// Time limit for establishing a connection to a streamer.
    Connect(Token),
    /// Time limit for the answer to a load probe.
    Probe(Token, RequestId),
    /// Time limit for writing the cancellation of an attempt.
    Cancel(Token, Attempt),
    /// Check the connections to streamers.
    CheckStreamers,
    /// Check the connection to discovery.
    Discovery,
    /// Check a viewer connection.
    ViewerConnection(Token),
    /// Resume accepting viewer connections.
    ResumeAccept,
    /// Resume accepting connections at the admin interface, or close one of them.
    AdminConnection(Token),
    /// Poll the lifecycle, which tells which viewer connections to close.
    LifecyclePoll,
    /// Look for what the previous process of this director has left.
    EstatePoll,
    /// The fleet membership has work to do.
    Fleet,
    /// The replicated log has work to do.
    Agreement,
    /// Check a connection to a peer.
    PeerConnection(Token),
    /// The grace period after SIGTERM has ended, or the time for the last messages after it.
    PhaseEnd,
    /// The time for clients to close their connections after the grace period has ended.
    Closing,
}

/// An event from a component that needs names or settings before it can become an input for the core.
pub enum Event {
    /// A message on a viewer connection.
    ViewerMessage(ViewerLink, ViewerMessage),
    /// A connection was closed by its viewer. Queued after the last message on it.
    ViewerClosed(Token),
    /// An event from discovery.
    Discovery(discovery::Event),
    /// A request at the admin interface.
    AdminRequest(Token, AdminRequest),
}

/// State that the components share, and the inputs and events that they have queued.
pub struct Shared {
    /// The poller of the event loop.
    pub poll: Poll,
    /// All deadlines.
    pub deadlines: Deadlines<Deadline>,
    /// Inputs for the core in this turn.
    pub inputs: Vec<Input>,
    /// Events that have not been processed yet, in order.
    pub events: Vec<Event>,
    /// Counters of the core and the transport.
    pub counters: Counters,
    /// The log.
    pub log: Logger,
    /// The time of this turn.
    pub now: Micros,
    /// Checks, at the moment bytes are written, whether a session still belongs to this director or already
    /// to another one. `None` if sessions end with their director.
    pub ownership: Option<ActPermission>,
}

impl Shared {
    /// Returns whether a message that this director sends about a session on its own initiative may be
    /// written now.
    pub fn may_act(&self, session: RequestId) -> bool {
        self.ownership.as_ref().is_none_or(|permission| permission.may_act(session))
    }

    /// Sets a deadline that passes `after` from now.
    pub fn schedule(&mut self, after: Micros, deadline: Deadline) {
        self.deadlines.set(self.now.saturating_add(after), deadline);
    }
}
