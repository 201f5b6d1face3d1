//! A model of what the director balances: halls, racks, uplinks, links, cold streamers, a late list, and
//! viewers who come again, in simulated time round the real core (module and ledger). For sizes that sockets
//! don't reach. One seed gives one course. It decides nothing, reads no files and no clock: text goes in and
//! out.
//!
//! Left out on purpose: bytes, connections' tables, CPU time, titles that only some streamers hold.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod audit;
mod members;
mod report;
mod rollout;
mod run;
mod scenario;
mod world;

pub use audit::Broken;
pub use members::{Membership, Plan, Trouble, members};
pub use report::{ReportError, compare, html};
pub use rollout::{Rolled, RolloutPlan, release, replacement};
pub use run::{Outcome, Sample, run};
pub use scenario::{Incident, Kind, Scenario, ScenarioError};
