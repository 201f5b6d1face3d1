//! What one director's part in estates wants done, and what it has to tell.
use crate::command::Command;
use crate::message::{EndKind, Message};
use crate::record::{Id, Record};

/// Who this director is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LocalDirector {
    /// Its name.
    pub name: String,
    /// Its hall.
    pub hall: String,
    /// The life of its process.
    pub incarnation: u64,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Tell another director.
    Send(String, Message),
    /// Have this agreed.
    Propose(Command),
    /// Have the voters confirm that this director leads; the answer goes to [`crate::Hand::confirmed`].
    ConfirmLeadership,
    /// These sessions are this director's from now on.
    Adopt(Vec<(Id, Record)>),
    /// Have a session ended at its streamer; its proof goes to [`crate::Hand::settled`].
    EndAtStreamer(Id, String),
    /// End a session that stands here, since its viewer came again elsewhere.
    EndForReturn(Id),
    /// Release an inherited session for which there is no room, at both sides.
    Release(Id, Record),
    /// These sessions are another director's from now on: forget them, and touch nothing of them.
    Forget(Vec<Id>),
    /// Something that another director heard on a session of this one.
    MisroutedEnd(Id, String, EndKind),
    /// Log what has changed.
    Log(LogEvent),
}

/// What has changed, for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LogEvent {
    /// It may act on its estate of this life.
    LeaseAcquired(u64),
    /// It may not: the lease ran out, with so many sessions.
    LeaseExpired(usize),
    /// Its estate of a life is another's: so many sessions.
    HandedOver(u64, usize),
    /// It takes over: whose, which life, under which epoch.
    TakeoverStarted(String, u64, u64),
    /// It has taken over, so many sessions, of them with an attempt out, and whether keepers had everything;
    /// `None`: they had nothing.
    TakeoverDone {
        /// Whose.
        owner: String,
        /// Under which epoch.
        epoch: u64,
        /// Sessions.
        sessions: usize,
        /// With an attempt out.
        out: usize,
        /// See above.
        complete: Option<bool>,
    },
    /// Its keepers.
    ReplicasChosen(Vec<String>),
    /// A keeper lags, and is replaced.
    ReplicaLags(String),
    /// This director gives leases.
    GrantorTermStarted(u64),
    /// A life is to be closed.
    Closing(String, u64),
    /// An attempt that was out is proven to be over.
    EndConfirmed(Id),
    /// It could not be proven.
    EndUnconfirmed(Id),
}

/// An error that is planted on purpose, to see that checks find it.
#[cfg(feature = "planted")]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlantedFault {
    /// A life is closed as soon as it seems lost, whatever its lease.
    CloseBeforeExpiry,
    /// An heir acts on what it fetched before that is agreed.
    ActBeforeAgreed,
    /// A viewer who comes again is served at once.
    ServeReturnAtOnce,
    /// Bytes go out by a lease that has run out.
    IgnoreLeaseExpiry,
}
