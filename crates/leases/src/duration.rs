//! Duration of a lease, as the holder and as the grantor count it.
use serde::{Deserialize, Serialize};
use stonewharf_core::Micros;

/// The shortest lease, milliseconds: several message exchanges have to fit into it.
const MIN_LEASE_MS: u64 = 300;
/// The longest lease, milliseconds: no takeover can happen before it has expired.
const MAX_LEASE_MS: u64 = 60_000;
/// The largest clock drift that can be configured, percent.
const MAX_DRIFT_PERCENT: f64 = 20.0;

/// A lease duration or clock drift out of range.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum LeaseDurationError {
    /// The lease duration is out of range.
    #[error("is {0} ms; {MIN_LEASE_MS} to {MAX_LEASE_MS} is allowed, the same in all files")]
    Length(u64),
    /// The clock drift is out of range.
    #[error("is {0} percent; 0 to {MAX_DRIFT_PERCENT} is allowed, no less than clocks here run wrong")]
    Drift(f64),
}

/// Duration of a lease on both sides, microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Deserialize, Serialize)]
pub struct LeaseDuration {
    /// For the holder, counted from the request: shorter than configured.
    pub holder: Micros,
    /// For the grantor, counted from the answer: longer than configured.
    #[serde(rename = "giver")]
    pub grantor: Micros,
}

impl LeaseDuration {
    /// Duration for a lease of `ms` milliseconds where clocks drift by at most `drift_percent`.
    pub fn new(ms: u64, drift_percent: f64) -> Result<LeaseDuration, LeaseDurationError> {
        if !(MIN_LEASE_MS..=MAX_LEASE_MS).contains(&ms) {
            return Err(LeaseDurationError::Length(ms));
        }
        if !(0.0..=MAX_DRIFT_PERCENT).contains(&drift_percent) {
            return Err(LeaseDurationError::Drift(drift_percent));
        }
        let (us, drift) = (ms as f64 * 1e3, drift_percent / 100.0);
        Ok(LeaseDuration {
            holder: (us * (1.0 - drift)) as Micros,
            grantor: (us * (1.0 + drift)).ceil() as Micros,
        })
    }

    /// Interval between the holder's requests: two answers in a row may be lost before the lease expires.
    pub fn request_interval(self) -> Micros {
        self.holder / 3
    }
}
