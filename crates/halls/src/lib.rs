//! Detects the loss and the return of a hall, and limits where set-ups go meanwhile. Each hall has a state
//! (healthy, suspect, lost, returning), judged by evidence from different streamers. The resulting
//! constraints on set-ups reach the core through [`stonewharf_core::PlacementLimits`]: tiers of preference,
//! a limit on the sessions that spill over from a lost hall, and a return in steps. The crate owns no
//! sessions, answers no requests, does no I/O and reads no clock; each director judges alone, by the events
//! that it receives.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod evidence;
mod hall;
mod limits;
mod settings;
mod spill;

pub use evidence::{Evidence, Observation};
pub use hall::{Hall, HallState, Transition};
pub use limits::{Halls, SharedHalls};
pub use settings::{HallPreference, HallSettings, SettingError};
pub use spill::SpillBudget;
