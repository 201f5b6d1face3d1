//! The retry budget that a deployment may state for attempts past a request's first.
use crate::interface::Micros;

/// The retry budget: how many attempts past a request's first all requests together may make in a span.
#[derive(Clone, Copy, Debug)]
pub struct AttemptBudget {
    /// Allowed however light the traffic.
    pub base_attempts: f64,
    /// Allowed in addition for each request taken in the span.
    pub per_request: f64,
    /// The span.
    pub window_us: Micros,
    /// How long an attempt may wait for its connection before its bytes go out. The budget is counted when
    /// they do, so that an attempt counts for so much longer, and a request for so much shorter.
    pub max_dial_delay_us: Micros,
}

impl AttemptBudget {
    /// The moments since which further attempts, and requests taken, count for an attempt that is sent now.
    pub fn window_starts(&self, now: Micros) -> (Micros, Micros) {
        let attempts = now.saturating_sub(self.window_us.saturating_add(self.max_dial_delay_us));
        let requests = now.saturating_add(self.max_dial_delay_us).saturating_sub(self.window_us);
        (attempts, requests)
    }
}
