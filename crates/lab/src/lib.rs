//! The lab: several processes of the program on loopback, every link between them led through relays,
//! faults by schedule or drawn from a seed, and checks of what the processes wrote and the stand-ins
//! counted. It signals only processes that it started, by id. Checks never ask a process what it hopes.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod checks;
mod estates;
mod history;
mod permits;
mod relay;
mod report;
mod run;
mod scenario;
mod viewers;
mod world;

pub use checks::{Check, Checked, Offence, check};
pub use history::{Act, Asked, Final, History, Interval, LogLine, Ordered, SetUp, Told};
pub use relay::{Damage, Relays};
pub use report::{ReportError, html};
pub use run::{LabError, Verdict, recheck, run};
pub use scenario::{Fault, Kind, Scenario};
