//! The director's clock.
use crate::interface::Micros;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// Unix time, read once at startup and advanced by the monotonic clock.
///
/// It never goes back, and streamers that started before this process have start times in its past.
#[derive(Clone)]
pub struct Clock {
    start_unix_us: Micros,
    started: Instant,
}

impl Clock {
    /// Starts the clock at the current Unix time.
    pub fn start() -> Self {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { start_unix_us: since_epoch.as_micros() as Micros, started: Instant::now() }
    }

    /// Returns the current Unix time in microseconds.
    pub fn now(&self) -> Micros {
        self.start_unix_us.saturating_add(self.started.elapsed().as_micros() as Micros)
    }
}
