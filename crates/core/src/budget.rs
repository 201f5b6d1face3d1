//! The retry budget, which a deployment may set for attempts after a request's first.
use crate::interface::Micros;

/// A retry budget: how many attempts after the first all requests together may make within a time window.
#[derive(Clone, Copy, Debug)]
pub struct AttemptBudget {
    /// Retries allowed regardless of the traffic.
    pub base_attempts: f64,
    /// Further retries allowed for each request accepted within the window.
    pub per_request: f64,
    /// Length of the window.
    pub window_us: Micros,
    /// How long an attempt may wait for its connection before its bytes are sent. The budget is counted when
    /// they are sent, so an attempt counts for this much longer, and a request for this much shorter.
    pub max_dial_delay_us: Micros,
}

impl AttemptBudget {
    /// The times since which retries, and accepted requests, count for an attempt that is sent now.
    pub fn window_starts(&self, now: Micros) -> (Micros, Micros) {
        let attempts = now.saturating_sub(self.window_us.saturating_add(self.max_dial_delay_us));
        let requests = now.saturating_add(self.max_dial_delay_us).saturating_sub(self.window_us);
        (attempts, requests)
    }
}
