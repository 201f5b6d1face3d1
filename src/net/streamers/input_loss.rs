//! Records that the last input from a streamer may have been lost with a connection.
//!
//! A streamer sends a release on an open connection and once more on the next connection that is opened to
//! it. If the first one is lost, only a further connection brings the release. The loss therefore stays on
//! record until a connection is established that was begun after the loss; an attempt that fails changes
//! nothing.
use crate::interface::Micros;

/// Time within which a viewer has to be told of the end of its session. While it has not passed, connections
/// are retried at the shortest interval.
const RELEASE_TIME_LIMIT_US: Micros = 8_000_000;
/// Interval between attempts to connect within the time limit.
const RETRY_INTERVAL_US: Micros = 250_000;
/// Interval between attempts to connect after the time limit.
const LATE_RETRY_INTERVAL_US: Micros = 2_000_000;

/// The number of losses of a streamer's input at one time. A connection remembers the number at its begin.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct LossCount(u64);

/// The losses of one streamer's input.
#[derive(Debug, Default)]
pub struct InputLoss {
    losses: LossCount,
    /// The losses that a later connection has made up for.
    recovered: LossCount,
    /// Time of the first loss that is not made up for.
    since: Option<Micros>,
    /// When a connection was last begun to make up for a loss.
    retried_at: Option<Micros>,
    overdue_reported: bool,
}

impl InputLoss {
    /// Records that a connection ended with input that may not have been read.
    pub fn record(&mut self, now: Micros) {
        self.losses.0 += 1;
        self.since.get_or_insert(now);
    }

    /// The number of losses so far, for a connection that is begun now.
    pub fn count(&self) -> LossCount {
        self.losses
    }

    /// Records that a connection was established that was begun at `count_at_begin`. Returns whether it made
    /// up for a loss. Losses after its begin stay on record: the streamer may have opened it before them.
    pub fn connection_established(&mut self, count_at_begin: LossCount) -> bool {
        let made_up_for = count_at_begin > self.recovered;
        self.recovered = self.recovered.max(count_at_begin);
        if self.recovered == self.losses {
            (self.since, self.retried_at, self.overdue_reported) = (None, None, false);
        }
        made_up_for
    }

    /// Whether a connection is to be begun now to make up for a loss.
    pub fn retry_is_due(&self, now: Micros) -> bool {
        let Some(since) = self.since else { return false };
        let in_time = since.saturating_add(RELEASE_TIME_LIMIT_US) > now;
        let interval = if in_time { RETRY_INTERVAL_US } else { LATE_RETRY_INTERVAL_US };
        self.retried_at.is_none_or(|at| at.saturating_add(interval) <= now)
    }

    /// Records that a connection was begun, or could not be, to make up for a loss.
    pub fn retried(&mut self, now: Micros) {
        self.retried_at = Some(now);
    }

    /// Returns true once when a loss has not been made up for within the time limit.
    pub fn report_overdue(&mut self, now: Micros) -> bool {
        let overdue = self.since.is_some_and(|since| since.saturating_add(RELEASE_TIME_LIMIT_US) <= now);
        overdue && !std::mem::replace(&mut self.overdue_reported, true)
    }
}

#[cfg(test)]
mod tests;
