//! Sessions that survive the loss of their director.
//!
//! Each director's *session set* (attempts in flight and established sessions) is copied to two *replicas*.
//! The director acts on it only under a *lease*. When an incarnation of a director is lost and its lease has
//! expired, the incarnation is *closed*, once, in the replicated log, and each part of its session set goes
//! to one *successor* under an epoch. A successor fetches the records from the replicas and copies them to
//! its own; only when that is agreed as complete do the sessions enter its decision module, in the same way
//! as sessions handed over at a start. Attempts that were in flight are first ended at their streamer, and
//! their end confirmed. Paid sessions are registered by viewer and title before they are set up, so that a
//! viewer who returns to any director does not get a second session beside one that may still run.
//!
//! Safety rule S6: at any time at most one director acts on a session on its own initiative. What a director
//! decided before its lease expired is not sent afterwards (`Coordinator::may_act`, checked as bytes are
//! written). No answer to a viewer waits for any of this. The crate owns no socket, file or clock.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod command;
mod coordinator;
mod grantor;
mod limits;
mod member;
mod message;
mod own_sessions;
mod ownership;
mod record;
mod registry;
mod replica;
mod settings;
mod takeover;

pub use command::{Command, DirectorId, Refusal, Reply};
#[cfg(feature = "planted")]
pub use coordinator::PlantedFault;
pub use coordinator::{Action, Coordinator, LocalDirector, LogEvent};
pub use limits::SharedCoordinator;
pub use member::Member;
pub use message::{EndKind, Message, RegisteredSession, UnreadableMessage};
pub use ownership::{OwnershipState, Takeover};
pub use record::{Id, Record, RequestSummary, Stage, part};
pub use replica::{Replica, ReplicaStore};
pub use settings::{ContinuitySettings, SettingError};
