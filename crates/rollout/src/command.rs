//! Commands of the replicated state and its replies. Times are Unix milliseconds by the clock of the leader
//! at that time; the state's own time is the latest one received and never goes back.
use crate::release::ReleasePlan;
use crate::rollout::Permit;
use crate::settings::DisruptionBudgets;
use serde::{Deserialize, Serialize};
use std::fmt;

/// Whether the fleet sees a director in service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Standing {
    /// It has been in service for at least a second.
    Serving,
    /// It is lost, has left, or has not started yet.
    Absent,
}

/// The streamers that a drain or an undrain covers.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub enum DrainScope {
    /// One streamer, by its name on the list.
    Streamer(String),
    /// All streamers of a rack.
    Rack(u32),
    /// All streamers of a hall.
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

/// A streamer as it stands on the leader's list of streamers.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct ListedStreamer {
    /// Name on the list.
    pub name: String,
    /// Hall of the streamer.
    pub hall: String,
    /// Rack of the streamer.
    pub rack: u32,
    /// Link capacity, kB/s.
    pub kb: u64,
    /// Whether it is in service.
    pub up: bool,
    /// Whether the platform removed it permanently.
    pub gone: bool,
}

/// A command to the replicated state, carried by a log entry.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub enum Command {
    /// Advances the state's time.
    Time {
        /// Unix milliseconds.
        now_ms: u64,
    },
    /// Puts other budgets in force.
    Budgets(DisruptionBudgets),
    /// Reports a director as the leader's membership view has it.
    Seen {
        /// Name of the director.
        name: String,
        /// Hall of the director.
        hall: String,
        /// Incarnation that was observed.
        incarnation: u64,
        /// Whether it is in service.
        standing: Standing,
        /// Version of the program that it runs.
        version: String,
        /// Digest of its settings, in hexadecimal.
        settings: String,
        /// Unix milliseconds.
        now_ms: u64,
    },
    /// Requests a permit for a director to leave, on its own behalf or an operator's.
    Ask {
        /// Name of the director that leaves.
        name: String,
        /// Who requested it, and why, for the audit log.
        by: String,
        /// Unix milliseconds.
        now_ms: u64,
    },
    /// Returns a permit whose holder stays in service after all.
    Return {
        /// Name of the director.
        name: String,
        /// Permit number.
        number: u64,
    },
    /// Removes a director or streamer that is gone permanently, so that it no longer counts as out.
    Forget {
        /// Name of the director or streamer.
        name: String,
        /// Who issued the command.
        by: String,
    },
    /// Grants no more permits until an operator resumes.
    Halt {
        /// Who issued the command.
        by: String,
    },
    /// Resumes after a halt.
    Resume {
        /// Who issued the command.
        by: String,
    },
    /// Reports streamers as the leader's list has them.
    Streamers {
        /// The streamers that differ from the state.
        seen: Vec<ListedStreamer>,
        /// Duration of a streamer's warm-up, milliseconds.
        warm_up_ms: u64,
        /// Unix milliseconds.
        now_ms: u64,
    },
    /// Drains streamers: no new session is placed on them.
    Drain {
        /// The streamers.
        scope: DrainScope,
        /// Who requested it.
        by: String,
        /// Unix milliseconds.
        now_ms: u64,
    },
    /// Starts a release.
    ReleaseStart {
        /// The plan of the release.
        plan: ReleasePlan,
        /// Who issued the command.
        by: String,
        /// Unix milliseconds.
        now_ms: u64,
    },
    /// Requests a permit for a supervisor to restart a director as part of the release.
    ReleaseStep {
        /// Name of the director.
        name: String,
        /// Who requests it.
        by: String,
        /// Unix milliseconds.
        now_ms: u64,
    },
    /// Reports that the watched wave passed the leader's comparison with the unchanged directors.
    ReleasePassed {
        /// Number of the watch ([`Release::watches`](crate::Release::watches)) that passed.
        watch: u64,
        /// Unix milliseconds.
        now_ms: u64,
    },
    /// Halts the release.
    ReleaseHalt {
        /// The reason, or who issued the command.
        why: String,
        /// Unix milliseconds.
        now_ms: u64,
    },
    /// Resumes after a halt.
    ReleaseResume {
        /// Who issued the command.
        by: String,
        /// Unix milliseconds.
        now_ms: u64,
    },
    /// Rolls the release back.
    ReleaseBack {
        /// Who issued the command.
        by: String,
        /// Unix milliseconds.
        now_ms: u64,
    },
    /// Reopens drained streamers: new sessions are placed on them as on cold streamers.
    Open {
        /// The streamers.
        scope: DrainScope,
        /// Who issued the command.
        by: String,
        /// Unix milliseconds.
        now_ms: u64,
    },
}

/// Why a request was refused.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub enum Refusal {
    /// The fleet does not know the director, or no streamer is in the scope.
    Unknown,
    /// The director is not in service itself.
    Absent,
    /// Permits are halted, for this reason.
    Halted(String),
    /// The fleet's budget is used up: the directors that are out, and the budget.
    Fleet(Vec<String>, u32),
    /// The hall's budget is used up: the hall, its directors that are out, and the budget.
    Hall(String, Vec<String>, u32),
    /// The minimum time between permits has not passed: milliseconds left.
    TooSoon(u64),
    /// The budget of streamers is exceeded: how many would be out, which are out, and the budget.
    Streamers(u32, Vec<String>, u32),
    /// The release does not allow it, for this reason.
    Release(String),
    /// A budget of link capacity is exceeded: of what, the percentage that would be out, and the budget.
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

/// The result of a command.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub enum Reply {
    /// The command is in effect.
    Done,
    /// The permit, granted now or earlier.
    Permit(Permit),
    /// The request was refused.
    Refused(Refusal),
    /// This version of the program cannot decode the command.
    Unreadable,
    /// The streamers are drained, now or earlier, under one permit.
    Drained {
        /// Permit number.
        number: u64,
        /// The streamers.
        names: Vec<String>,
    },
}

impl Command {
    /// Encodes it for the log.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_allocvec(self).unwrap_or_default()
    }
}

impl Reply {
    /// Encodes it for the log.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_allocvec(self).unwrap_or_default()
    }

    /// Decodes a reply; bytes that cannot be decoded give [`Reply::Unreadable`].
    pub fn decode(bytes: &[u8]) -> Reply {
        postcard::from_bytes(bytes).unwrap_or(Reply::Unreadable)
    }
}
