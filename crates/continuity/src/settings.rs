//! The block `continuity` of the operator file.
use serde::{Deserialize, Serialize};
use stonewharf_core::Micros;
use stonewharf_leases::{LeaseDuration, LeaseDurationError};

/// The block `continuity`. Without it sessions end with their director.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct ContinuitySettings {
    /// Whether session continuity is on.
    pub enabled: bool,
    /// Duration of the lease on a session set, milliseconds; the same in all files. 300 to 60,000.
    pub lease_ms: u64,
    /// The largest clock drift, percent. 0 to 20.
    pub drift_percent: f64,
    /// Sessions per successor; a larger session set is split into more parts. 1 to 100,000.
    #[serde(rename = "heir_most")]
    pub sessions_per_successor: usize,
    /// The largest number of sessions that this director holds, including those taken over. 1 to 1,000,000.
    #[serde(rename = "sessions_most")]
    pub max_sessions: usize,
    /// How long returning viewers of paid titles are refused if all directors that could know whether a
    /// session of theirs still runs were lost at about the same time, milliseconds. 0 to 3,600,000.
    #[serde(rename = "unknown_ms")]
    pub unknown_hold_off_ms: u64,
    /// Period over which sessions that exceed a successor's capacity are released, so that their viewers do
    /// not all return at once, milliseconds. 0 to 60,000.
    #[serde(rename = "spread_ms")]
    pub release_spread_ms: u64,
}

impl Default for ContinuitySettings {
    fn default() -> Self {
        ContinuitySettings {
            enabled: true,
            lease_ms: 1_500,
            drift_percent: 1.0,
            sessions_per_successor: 1_000,
            max_sessions: 20_000,
            unknown_hold_off_ms: 60_000,
            release_spread_ms: 4_000,
        }
    }
}

/// A setting out of range, with its key.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[error("{key} {what}")]
pub struct SettingError {
    /// The key within the block.
    pub key: &'static str,
    /// What is wrong, and which values are allowed.
    pub what: String,
}

impl ContinuitySettings {
    /// Checks that all values are in range.
    pub fn check(&self) -> Result<(), SettingError> {
        let wrong = |key, what: String| Err(SettingError { key, what });
        if let Err(why) = LeaseDuration::new(self.lease_ms, self.drift_percent) {
            let key = if matches!(why, LeaseDurationError::Length(_)) { "lease_ms" } else { "drift_percent" };
            return wrong(key, why.to_string());
        }
        let figures = [
            ("heir_most", self.sessions_per_successor as u64, 1, 100_000),
            ("sessions_most", self.max_sessions as u64, 1, 1_000_000),
            ("unknown_ms", self.unknown_hold_off_ms, 0, 3_600_000),
            ("spread_ms", self.release_spread_ms, 0, 60_000),
        ];
        match figures.iter().find(|(_, x, least, most)| !(least..=most).contains(&x)) {
            Some((key, x, least, most)) => wrong(key, format!("is {x}; {least} to {most} is allowed")),
            None => Ok(()),
        }
    }

    /// Duration of the lease on both sides; the shortest one if the settings were not checked.
    pub fn lease_duration(&self) -> LeaseDuration {
        let usual = LeaseDuration { holder: 297_000, grantor: 303_000 };
        LeaseDuration::new(self.lease_ms, self.drift_percent).unwrap_or(usual)
    }

    /// See `release_spread_ms`.
    pub fn release_spread_us(&self) -> Micros {
        self.release_spread_ms.saturating_mul(1_000)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_value_out_of_range_is_named_with_its_allowed_range() {
        assert_eq!(ContinuitySettings::default().check(), Ok(()));
        let set = ContinuitySettings { lease_ms: 5, ..Default::default() };
        let why = set.check().expect_err("too short").to_string();
        assert!(why.starts_with("lease_ms is 5 ms; 300 to 60000"), "{why}");
        let set = ContinuitySettings { sessions_per_successor: 0, ..Default::default() };
        let why = set.check().expect_err("none").to_string();
        assert!(why.starts_with("heir_most is 0; 1 to 100000"), "{why}");
    }
}
