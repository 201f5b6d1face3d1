//! The block `out` of the operator file: how much may be out of service at a time.
use serde::{Deserialize, Serialize};

/// Disruption budgets. The leader puts the budgets of its own file in force; if files differ, a change of
/// leader changes the budgets, and the audit log records it.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct DisruptionBudgets {
    /// Maximum number of directors out at once in the fleet, by permit or lost. 0 to 1,000.
    pub directors: u32,
    /// Maximum number of directors out at once in one hall. 0 to 1,000.
    pub directors_of_hall: u32,
    /// Minimum time between two permits, milliseconds. 0 to 3,600,000.
    pub step_ms: u64,
    /// Time after which a permit whose holder is not back is overdue, milliseconds; no more permits are
    /// granted then until an operator resumes. 1,000 to 86,400,000.
    pub longest_ms: u64,
    /// Maximum number of streamers out at once, drained or not in service on the list. 0 to 4,000.
    pub streamers: u32,
    /// Maximum share of the fleet's link capacity out with them, percent. 0 to 100.
    pub streamers_percent: u32,
    /// Maximum share of a hall's link capacity out, percent; 100 allows draining a whole hall. 0 to 100.
    pub hall_percent: u32,
    /// Maximum share of a rack's link capacity out, percent; 100 allows draining a whole rack. 0 to 100.
    pub rack_percent: u32,
    /// Like `longest_ms`, for a drained streamer. 1,000 to 604,800,000.
    pub streamers_longest_ms: u64,
    /// Time for which a director that was told to end by a signal waits for a permit, milliseconds. 0 to
    /// 60,000.
    pub ask_ms: u64,
}

impl Default for DisruptionBudgets {
    fn default() -> Self {
        DisruptionBudgets {
            directors: 1,
            directors_of_hall: 1,
            step_ms: 2_000,
            longest_ms: 300_000,
            streamers: 1,
            streamers_percent: 20,
            hall_percent: 50,
            rack_percent: 100,
            streamers_longest_ms: 3_600_000,
            ask_ms: 2_000,
        }
    }
}

/// A setting whose value is out of range.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{key} is {value}; {min} to {max} is allowed")]
pub struct SettingError {
    /// Key within the block.
    pub key: String,
    value: u64,
    min: u64,
    max: u64,
}

impl DisruptionBudgets {
    /// Validates all values.
    pub fn check(&self) -> Result<(), SettingError> {
        let all = [
            ("directors", self.directors.into(), 0, 1_000),
            ("directors_of_hall", self.directors_of_hall.into(), 0, 1_000),
            ("step_ms", self.step_ms, 0, 3_600_000),
            ("longest_ms", self.longest_ms, 1_000, 86_400_000),
            ("streamers", self.streamers.into(), 0, 4_000),
            ("streamers_percent", self.streamers_percent.into(), 0, 100),
            ("hall_percent", self.hall_percent.into(), 0, 100),
            ("rack_percent", self.rack_percent.into(), 0, 100),
            ("streamers_longest_ms", self.streamers_longest_ms, 1_000, 604_800_000),
            ("ask_ms", self.ask_ms, 0, 60_000),
        ];
        match all.into_iter().find(|(_, value, min, max)| !(min..=max).contains(&value)) {
            Some((key, value, min, max)) => Err(SettingError { key: key.into(), value, min, max }),
            None => Ok(()),
        }
    }
}
