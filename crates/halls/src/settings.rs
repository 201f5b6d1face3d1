//! The block `halls` of the operator file: keys, units, ranges and defaults.
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::ops::RangeInclusive;

/// Which halls are preferred for a session if no order is configured for its class.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum HallPreference {
    /// No hall is preferred; price and load decide.
    #[default]
    None,
    /// The director's own hall is preferred to the others.
    Home,
}

/// The block `halls` of the operator file.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct HallSettings {
    /// Whether halls limit the placement of sessions at all.
    pub enabled: bool,
    /// Which halls are preferred.
    pub prefer: HallPreference,
    /// The order of halls for each class, by name; halls that are left out come last.
    pub order: BTreeMap<String, Vec<String>>,
    /// Share of the remaining halls' link and uplink capacity that sessions from a lost hall may use, 0 to 1.
    pub spill_share: f64,
    /// Set-ups a second that may spill over, for the whole fleet; 0 means limited by `spill_share` alone.
    pub spill_rate: f64,
    /// Factor on each director's share of the spill limit when a hall in use is short of capacity, 0.1 to 1.
    pub back_off: f64,
    /// Probability that a healthy hall is judged lost by chance (Wald's α), 1e-9 to 0.1.
    pub false_alarm: f64,
    /// How long an observation counts as evidence, in milliseconds, 500 to 60,000.
    pub evidence_ms: u64,
    /// Time between trials of a lost hall by one director, in milliseconds, 250 to 60,000. It doubles with
    /// each trial, up to four times this value.
    pub trial_ms: u64,
    /// Number of steps of a return, 1 to 32. Together they last as long as the warm-up of a streamer.
    pub return_steps: u32,
    /// Longest duration of a return after failed returns, as a multiple of the warm-up, 1 to 64. Each failed
    /// return doubles it.
    pub slowest_return: u32,
    /// Seconds without a failed return after which one of them is forgotten, 1 to 3,600.
    pub quiet_s: u64,
    /// The names of the halls; if empty, those in the deployment's settings.
    pub names: Vec<String>,
}

impl Default for HallSettings {
    fn default() -> Self {
        HallSettings {
            enabled: true,
            prefer: HallPreference::None,
            order: BTreeMap::new(),
            spill_share: 0.8,
            spill_rate: 0.0,
            back_off: 0.5,
            false_alarm: 0.001,
            evidence_ms: 5_000,
            trial_ms: 2_000,
            return_steps: 4,
            slowest_return: 2,
            quiet_s: 30,
            names: Vec::new(),
        }
    }
}

/// A setting with an invalid value.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{key} is {found}; {allowed}")]
pub struct SettingError {
    /// The key, as a path from the block `halls` on.
    pub key: String,
    /// The value that was found.
    pub found: String,
    /// Which values are allowed.
    pub allowed: String,
}

impl HallSettings {
    /// Checks that all values are within their ranges, that no hall appears twice in an order, and that
    /// `names`, if not empty, declares all halls of an order.
    pub fn check(&self) -> Result<(), SettingError> {
        fn within<T: PartialOrd + std::fmt::Display>(
            key: &str,
            found: T,
            range: RangeInclusive<T>,
            unit: &str,
        ) -> Result<(), SettingError> {
            if range.contains(&found) {
                return Ok(());
            }
            let allowed = format!("{} to {}{unit} is allowed", range.start(), range.end());
            Err(SettingError { key: key.into(), found: found.to_string(), allowed })
        }
        within("spill_share", self.spill_share, 0.0..=1.0, " (a share)")?;
        within("spill_rate", self.spill_rate, 0.0..=1e6, " set-ups a second")?;
        within("back_off", self.back_off, 0.1..=1.0, " (a share)")?;
        within("false_alarm", self.false_alarm, 1e-9..=0.1, " (a chance)")?;
        within("evidence_ms", self.evidence_ms, 500..=60_000, " milliseconds")?;
        within("trial_ms", self.trial_ms, 250..=60_000, " milliseconds")?;
        within("return_steps", self.return_steps, 1..=32, " steps")?;
        within("slowest_return", self.slowest_return, 1..=64, " times the warm-up")?;
        within("quiet_s", self.quiet_s, 1..=3_600, " seconds")?;
        for (class, halls) in &self.order {
            for (i, hall) in halls.iter().enumerate() {
                let key = format!("order.{class}");
                if !self.names.is_empty() && !self.names.contains(hall) {
                    let allowed = format!("names declares {}", self.names.join(", "));
                    return Err(SettingError { key, found: format!("unknown hall {hall:?}"), allowed });
                }
                if halls[..i].contains(hall) {
                    let allowed = "each hall may appear in an order once".to_owned();
                    return Err(SettingError { key, found: format!("{hall:?} twice"), allowed });
                }
            }
        }
        Ok(())
    }
}
