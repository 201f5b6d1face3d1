//! What the agreed state is told, and what it answers. Times are Unix milliseconds of whoever led then; the
//! state's own time is the latest that it was told and never goes back.
use crate::release::ReleasePlan;
use crate::rollout::Permit;
use crate::settings::DisruptionBudgets;
use serde::{Deserialize, Serialize};
use std::fmt;

/// How the fleet sees a director.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Standing {
    /// It serves, and passed its first second of doing so.
    Serving,
    /// It is lost, left, or not there yet.
    Absent,
}

/// Which streamers.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub enum DrainScope {
    /// One, by its name on the list.
    Streamer(String),
    /// All of a rack.
    Rack(u32),
    /// All of a hall.
    Hall(String),
}

impl fmt::Display for DrainScope {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            DrainScope::Streamer(name) => write!(f, "streamer {name}"),
            DrainScope::Rack(rack) => write!(f, "rack {rack}"),
            DrainScope::Hall(hall) => write!(f, "hall {hall}"),
        }
    }
}

/// A streamer as the leader's list has it.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct ListedStreamer {
    /// Its name on the list.
    pub name: String,
    /// Its hall.
    pub hall: String,
    /// Its rack.
    pub rack: u32,
    /// Its link, kB a second.
    pub kb: u64,
    /// It is in service.
    pub up: bool,
    /// The platform took it out for good.
    pub gone: bool,
}

/// A command, as an entry of the log carries it.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub enum Command {
    /// Time is now at least so late.
    Time {
        /// Unix milliseconds.
        now_ms: u64,
    },
    /// Other budgets are in force.
    Budgets(DisruptionBudgets),
    /// What the leader's view says of a director.
    Seen {
        /// Who.
        name: String,
        /// Its hall.
        hall: String,
        /// The life that is seen.
        incarnation: u64,
        /// How.
        standing: Standing,
        /// The program's version that it runs.
        version: String,
        /// Digest of its settings, hexadecimal.
        settings: String,
        /// Unix milliseconds.
        now_ms: u64,
    },
    /// A director wants to leave, or is wanted to.
    Ask {
        /// Who leaves.
        name: String,
        /// Who asked, and why, for the record.
        by: String,
        /// Unix milliseconds.
        now_ms: u64,
    },
    /// The holder of a permit stays after all.
    Return {
        /// Who.
        name: String,
        /// The permit.
        number: u64,
    },
    /// A director that is gone for good counts no longer.
    Forget {
        /// Who.
        name: String,
        /// Who says so.
        by: String,
    },
    /// Nothing is given until a person resumes.
    Halt {
        /// Who says so.
        by: String,
    },
    /// It goes on.
    Resume {
        /// Who says so.
        by: String,
    },
    /// What the leader's list says of streamers.
    Streamers {
        /// Those of whom the state says something else.
        seen: Vec<ListedStreamer>,
        /// How long a streamer is cold, milliseconds.
        warm_up_ms: u64,
        /// Unix milliseconds.
        now_ms: u64,
    },
    /// No new session is to go to these.
    Drain {
        /// Which.
        scope: DrainScope,
        /// Who asked.
        by: String,
        /// Unix milliseconds.
        now_ms: u64,
    },
    /// A release begins.
    ReleaseStart {
        /// What and how.
        plan: ReleasePlan,
        /// Who says so.
        by: String,
        /// Unix milliseconds.
        now_ms: u64,
    },
    /// A supervisor wants to restart a director for the release.
    ReleaseStep {
        /// Which director.
        name: String,
        /// Who asks.
        by: String,
        /// Unix milliseconds.
        now_ms: u64,
    },
    /// The leader found a wave as good as the unchanged.
    ReleasePassed {
        /// The watch that it judged.
        watch: u64,
        /// Unix milliseconds.
        now_ms: u64,
    },
    /// The release moves on no further.
    ReleaseHalt {
        /// Why, or who says so.
        why: String,
        /// Unix milliseconds.
        now_ms: u64,
    },
    /// It goes on.
    ReleaseResume {
        /// Who says so.
        by: String,
        /// Unix milliseconds.
        now_ms: u64,
    },
    /// What was changed is taken back.
    ReleaseBack {
        /// Who says so.
        by: String,
        /// Unix milliseconds.
        now_ms: u64,
    },
    /// Sessions may go there again, as to cold ones.
    Open {
        /// Which.
        scope: DrainScope,
        /// Who says so.
        by: String,
        /// Unix milliseconds.
        now_ms: u64,
    },
}

/// Why there is no permit.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub enum Refusal {
    /// The fleet does not know this director.
    Unknown,
    /// It is not in service itself.
    Absent,
    /// Nothing is given: why.
    Halted(String),
    /// The fleet's budget: out, by these, and the budget.
    Fleet(Vec<String>, u32),
    /// The hall's budget.
    Hall(String, Vec<String>, u32),
    /// The time between steps has not passed: milliseconds that are left.
    TooSoon(u64),
    /// The budget of streamers: so many would be out, these are, and the budget.
    Streamers(u32, Vec<String>, u32),
    /// The release does not allow it: why.
    Release(String),
    /// A share of links: of what, percent that would be out, and the budget.
    Share(String, u32, u32),
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Refusal::Unknown => write!(f, "the fleet knows no such director"),
            Refusal::Absent => write!(f, "it is not in service"),
            Refusal::Halted(why) => write!(f, "halted: {why}"),
            Refusal::Fleet(out, budget) => {
                write!(
                    f,
                    "budget of the fleet: {budget} may be out, and {} are: {}",
                    out.len(),
                    out.join(" ")
                )
            }
            Refusal::Hall(hall, out, budget) => write!(
                f,
                "budget of hall {hall:?}: {budget} may be out, and {} are: {}",
                out.len(),
                out.join(" ")
            ),
            Refusal::Streamers(after, out, budget) => write!(
                f,
                "budget of streamers: {budget} may be out, {after} would be; out are: {}",
                out.join(" ")
            ),
            Refusal::Release(why) => f.write_str(why),
            Refusal::Share(what, after, budget) => {
                write!(f, "budget of {what}: {budget}% of its links may be out, {after}% would be")
            }
            Refusal::TooSoon(remaining_ms) => {
                write!(f, "the time between two steps has {remaining_ms} ms left")
            }
        }
    }
}

/// What became of a command.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub enum Reply {
    /// It is so now.
    Done,
    /// A permit, given now or before.
    Permit(Permit),
    /// There is none.
    Refused(Refusal),
    /// The command can't be read by this version of the program.
    Unreadable,
    /// These are drained, now or before, by one permit.
    Drained {
        /// The permit.
        number: u64,
        /// Which.
        names: Vec<String>,
    },
}

impl Command {
    /// As bytes.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_allocvec(self).unwrap_or_default()
    }
}

impl Reply {
    /// As bytes.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_allocvec(self).unwrap_or_default()
    }

    /// From bytes.
    pub fn decode(bytes: &[u8]) -> Reply {
        postcard::from_bytes(bytes).unwrap_or(Reply::Unreadable)
    }
}
