//! The director's one clock.
use crate::interface::Micros;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// Unix time, read once, and the monotonic clock from there on: it never goes back, and starts of streamers
/// before our own lie in its past.
#[derive(Clone)]
pub struct Clock {
    start_unix_us: Micros,
    started: Instant,
}

impl Clock {
    /// Reads Unix time, this once.
    pub fn start() -> Self {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { start_unix_us: since_epoch.as_micros() as Micros, started: Instant::now() }
    }

    /// Now, in microseconds of Unix time.
    pub fn now(&self) -> Micros {
        self.start_unix_us.saturating_add(self.started.elapsed().as_micros() as Micros)
    }
}
