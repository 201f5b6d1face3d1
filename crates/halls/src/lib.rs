//! Loss and return of a hall. Keeps for each hall a state (whole, doubtful, lost, returning) judged by
//! evidence over different streamers, and states terms for set-ups through the core's seam
//! ([`stonewharf_core::PlacementLimits`]): tiers of preference, a limit on what spills across, and a return
//! in steps. Owns no sessions, answers no request, does no I/O and reads no clock; every controller judges
//! alone, by what it is told.
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
