//! Limits how many directors and streamers may be out of service at a time. A director asks for a permit
//! before it leaves; permits are given from one replicated state, while the members that are out, by permit
//! or lost, stay within the budgets of the fleet and of each hall (S1 of the fleet's safety rules). Permit
//! numbers only grow. A permit is released only on proof that its holder is back in service: never by a
//! timeout, by silence or by a change of leader.
//!
//! There are three parts: [`Rollout`] is the replicated state, changed only by [`Command`]s in log order;
//! [`Reconciler`] runs at the leader and proposes commands for members that are lost or back and for the
//! passing of time; [`PermitHolder`] runs at each director and handles its own departure. Drains of streamers
//! are part of the same state and reach the decision module through [`Drains`], as placement limits. The
//! crate does no I/O: it owns no socket, file or clock.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod command;
mod drains;
mod holder;
mod judge;
mod release;
mod rollout;
mod settings;
mod streamers;
mod watch;

pub use command::{Command, DrainScope, ListedStreamer, Refusal, Reply, Standing};
pub use drains::{Drains, SharedDrains};
pub use holder::{HolderAction, PermitHolder};
pub use judge::{Health, NON_INFERIORITY_MARGIN, Verdict, WaveAnalysis};
pub use release::{ChangedDirector, Phase, PlanError, Release, ReleasePlan};
pub use rollout::{AuditEntry, Director, Permit, Rollout};
pub use settings::{DisruptionBudgets, SettingError};
pub use streamers::{Streamer, StreamerPermit};
pub use watch::{Member, Reconciler};
