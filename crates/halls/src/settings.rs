//! The settings of this part, as the operator file gives them: names, units, ranges, defaults. No decisions.
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::ops::RangeInclusive;

/// Which halls come first for a session, where no order is stated for its class.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum HallPreference {
    /// All halls are alike; price and load decide.
    #[default]
    None,
    /// The director's own hall, then the others.
    Home,
}

/// The block `halls` of the operator file.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct HallSettings {
    /// Whether any of this is in force.
    pub enabled: bool,
    /// Which halls come first.
    pub prefer: HallPreference,
    /// An order of halls for classes, by name; halls left out come last.
    pub order: BTreeMap<String, Vec<String>>,
    /// Share of the standing halls' links and uplinks that sessions from a lost hall may fill, 0 to 1.
    pub spill_share: f64,
    /// Set-ups a second, over the fleet, that may spill; 0 = bounded by the share alone.
    pub spill_rate: f64,
    /// What a shortage in a hall that stands leaves of each director's part, 0.1 to 1.
    pub back_off: f64,
    /// Chance that a whole hall is taken for lost by one run of bad luck (Wald's α), 1e-9 to 0.1.
    pub false_alarm: f64,
    /// For how long a sign counts, milliseconds, 500 to 60,000.
    pub evidence_ms: u64,
    /// Time between trials of a lost hall by one director, milliseconds, 250 to 60,000; doubles up to
    /// fourfold.
    pub trial_ms: u64,
    /// Steps of a return, 1 to 32; together they last the settings' warm-up.
    pub return_steps: u32,
    /// How many times as long a return may take after drops, 1 to 64; each drop doubles it.
    pub slowest_return: u32,
    /// Seconds without a drop after which one is forgotten, 1 to 3,600.
    pub quiet_s: u64,
    /// The halls, by name; none stands for those that the deployment's settings have.
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

/// A setting that can't be, with the key it stands under.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{key} is {found}; {allowed}")]
pub struct SettingError {
    /// The key, as a path from the block `halls` on.
    pub key: String,
    /// What stands there.
    pub found: String,
    /// What may stand there.
    pub allowed: String,
}

impl HallSettings {
    /// Whether all values are within their ranges, no hall stands twice in an order, and all halls of an
    /// order are declared where any are.
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
                    let allowed = "each hall may stand in an order once".to_owned();
                    return Err(SettingError { key, found: format!("{hall:?} twice"), allowed });
                }
            }
        }
        Ok(())
    }
}
