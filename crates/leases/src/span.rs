//! How long a lease is, by the holder's clock and by the giver's.
use serde::{Deserialize, Serialize};
use stonewharf_core::Micros;

/// The shortest lease, milliseconds: several exchanges have to fit.
const SHORTEST_MS: u64 = 300;
/// The longest, milliseconds: for so long nobody takes over.
const LONGEST_MS: u64 = 60_000;
/// The most that a clock may be said to run wrong, percent.
const DRIFT_MOST: f64 = 20.0;

/// A length that can't be, and what is allowed.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum SpanError {
    /// The lease.
    #[error("is {0} ms; {SHORTEST_MS} to {LONGEST_MS} is allowed, the same in all files")]
    Length(u64),
    /// The drift.
    #[error("is {0} percent; 0 to {DRIFT_MOST} is allowed, no less than clocks here run wrong")]
    Drift(f64),
}

/// A lease's length on both sides, microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Deserialize, Serialize)]
pub struct Span {
    /// For the holder, from when it asked: shorter than stated.
    pub holder: Micros,
    /// For the giver, from when it answered: longer than stated.
    pub giver: Micros,
}

impl Span {
    /// Of a stated length (milliseconds), where clocks run wrong by at most so many percent.
    pub fn new(ms: u64, drift_percent: f64) -> Result<Span, SpanError> {
        if !(SHORTEST_MS..=LONGEST_MS).contains(&ms) {
            return Err(SpanError::Length(ms));
        }
        if !(0.0..=DRIFT_MOST).contains(&drift_percent) {
            return Err(SpanError::Drift(drift_percent));
        }
        let (us, drift) = (ms as f64 * 1e3, drift_percent / 100.0);
        Ok(Span { holder: (us * (1.0 - drift)) as Micros, giver: (us * (1.0 + drift)).ceil() as Micros })
    }

    /// How often the holder asks anew: two answers may fail to come.
    pub fn ask_every(self) -> Micros {
        self.holder / 3
    }
}
