//! What a coordinator wants done, and the events that it reports.
use crate::command::Command;
use crate::message::{EndKind, Message};
use crate::record::{Id, Record};

/// This director.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LocalDirector {
    /// Its name.
    pub name: String,
    /// Its hall.
    pub hall: String,
    /// The incarnation of its process.
    pub incarnation: u64,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a message to another director.
    Send(String, Message),
    /// Propose a command to the replicated log.
    Propose(Command),
    /// Have the voters confirm that this director leads; the result goes to
    /// [`crate::Coordinator::leadership_confirmed`].
    ConfirmLeadership,
    /// These sessions are this director's from now on.
    Adopt(Vec<(Id, Record)>),
    /// Have a session ended at its streamer; the confirmation goes to [`crate::Coordinator::end_confirmed`].
    EndAtStreamer(Id, String),
    /// End a session that is established here, because its viewer returned elsewhere.
    EndForReturn(Id),
    /// Release a session that was taken over and exceeds the capacity, at viewer and streamer.
    Release(Id, Record),
    /// These sessions are another director's from now on: forget them, and change nothing about them.
    Forget(Vec<Id>),
    /// The end of one of this director's sessions, as received by another director.
    MisroutedEnd(Id, String, EndKind),
    /// Log an event.
    Log(LogEvent),
}

/// An event for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LogEvent {
    /// The director may act on the session set of this incarnation.
    LeaseAcquired(u64),
    /// The lease expired, with this many sessions.
    LeaseExpired(usize),
    /// The session set of this incarnation, with this many sessions, belongs to other directors.
    HandedOver(u64, usize),
    /// A takeover has started: owner, incarnation and epoch.
    TakeoverStarted(String, u64, u64),
    /// A takeover is complete.
    TakeoverDone {
        /// The former owner.
        owner: String,
        /// The epoch.
        epoch: u64,
        /// Established sessions.
        sessions: usize,
        /// Sessions with an attempt in flight.
        out: usize,
        /// Whether the replica was complete; `None`: there was none.
        complete: Option<bool>,
    },
    /// The replicas of this director's session set.
    ReplicasChosen(Vec<String>),
    /// A replica lags, and is replaced.
    ReplicaLags(String),
    /// This director grants leases, in this term.
    GrantorTermStarted(u64),
    /// An incarnation is to be closed.
    Closing(String, u64),
    /// The end of a session is confirmed by its streamer.
    EndConfirmed(Id),
    /// The end of a session could not be confirmed.
    EndUnconfirmed(Id),
}

/// A fault planted on purpose, to show that the checks find it.
#[cfg(feature = "planted")]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlantedFault {
    /// An incarnation is closed as soon as it seems lost, whatever its lease.
    CloseBeforeExpiry,
    /// A successor acts on the records that it fetched before the takeover is agreed as complete.
    ActBeforeAgreed,
    /// A returning viewer is served at once.
    ServeReturnAtOnce,
    /// Bytes are sent under an expired lease.
    IgnoreLeaseExpiry,
}
