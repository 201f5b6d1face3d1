//! Sessions that outlive their director.
//!
//! Each director's *estate* (attempts that are out, sessions that stand) is kept at two *keepers*. It acts on
//! it only under a *lease*; when its life is lost and that lease has run out, the life is *closed*, once, in
//! the agreed log, and each part of its estate goes to one *heir* under an epoch. An heir fetches what was
//! kept, hands it to its own keepers, and only when that is agreed as done do the sessions enter its module,
//! as what is handed over at a start. Attempts that were out are first ended at their streamer, and proven to
//! be. Paid sessions are marked by viewer and title before they are set up, so that a viewer who comes again
//! anywhere is not set up beside what may still run.
//!
//! S6 of the safety lines: at each instant at most one director acts on a session by its own will. What a
//! director decided before its lease ran out does not go out after (`Hand::may_act`, asked as bytes go out).
//! No viewer's answer waits for any of this. Owns no socket, file or clock.
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
