//! How long a lease is, by the holder's clock and by the giver's.
use serde::{Deserialize, Serialize};
use stonewharf_core::Micros;

/// The shortest lease, milliseconds: several exchanges have to fit.
const MIN_LEASE_MS: u64 = 300;
/// The longest, milliseconds: for so long nobody takes over.
const MAX_LEASE_MS: u64 = 60_000;
/// The most that a clock may be said to run wrong, percent.
const MAX_DRIFT_PERCENT: f64 = 20.0;

/// A length that can't be, and what is allowed.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum LeaseDurationError {
    /// The lease.
    #[error("is {0} ms; {MIN_LEASE_MS} to {MAX_LEASE_MS} is allowed, the same in all files")]
    Length(u64),
    /// The drift.
    #[error("is {0} percent; 0 to {MAX_DRIFT_PERCENT} is allowed, no less than clocks here run wrong")]
    Drift(f64),
}

/// A lease's length on both sides, microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Deserialize, Serialize)]
pub struct LeaseDuration {
    /// For the holder, from when it asked: shorter than stated.
    pub holder: Micros,
    /// For the giver, from when it answered: longer than stated.
    #[serde(rename = "giver")]
    pub grantor: Micros,
}

impl LeaseDuration {
    /// Of a stated length (milliseconds), where clocks run wrong by at most so many percent.
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

    /// How often the holder asks anew: two answers may fail to come.
    pub fn request_interval(self) -> Micros {
        self.holder / 3
    }
}
