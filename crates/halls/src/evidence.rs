//! Evidence for and against the loss of one hall: a sequential probability ratio test (Wald, "Sequential
//! Tests of Statistical Hypotheses", Annals of Mathematical Statistics 16, 1945) over observations of
//! different streamers. A streamer counts once, with its latest observation, so that a single failing
//! streamer never makes a hall count as lost. The decision itself is made in `hall`.
use std::collections::BTreeMap;
use stonewharf_core::{Micros, StreamerId};

/// The outcome of a contact with a streamer, as far as it shows whether the streamer can be reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Observation {
    /// It answered, successfully or with an error.
    Reachable,
    /// A connection to it failed or was refused.
    Unreachable,
    /// A set-up or load test timed out, though the streamer may be reachable.
    TimedOut,
    /// A connection broke, or its sessions were cut off.
    ConnectionLost,
}

/// Probability of a failure when contacting a streamer of a lost hall.
const PROBABILITY_IF_LOST: f64 = 0.95;

impl Observation {
    /// Probability of the observation at a random streamer of a healthy hall. Operators have seen up to 18%
    /// of the streamers hang at once; process restarts, which break connections, come in waves.
    fn probability_if_healthy(self) -> f64 {
        match self {
            Observation::Unreachable => 0.05,
            Observation::TimedOut => 0.18,
            Observation::ConnectionLost => 0.3,
            Observation::Reachable => 0.95,
        }
    }

    /// Logarithm of the likelihood ratio, lost over healthy.
    fn log_likelihood_ratio(self) -> f64 {
        match self {
            Observation::Reachable => ((1.0 - PROBABILITY_IF_LOST) / self.probability_if_healthy()).ln(),
            failure => (PROBABILITY_IF_LOST / failure.probability_if_healthy()).ln(),
        }
    }
}

/// The observations of one hall since the oldest failure that has not expired.
#[derive(Clone, Debug, Default)]
pub struct Evidence {
    failing: BTreeMap<StreamerId, (Micros, Observation)>,
    /// Streamers that answered after the first failure; answers before it do not count.
    answering: BTreeMap<StreamerId, Micros>,
}

impl Evidence {
    /// Records an observation, and drops those older than `max_age`.
    pub fn record(&mut self, now: Micros, streamer: StreamerId, observation: Observation, max_age: Micros) {
        if observation == Observation::Reachable {
            self.failing.remove(&streamer);
            if !self.failing.is_empty() {
                self.answering.insert(streamer, now);
            }
        } else {
            self.answering.remove(&streamer);
            // The stronger failure stays: a time-out after a failed connection does not make it likelier
            // that the streamer can be reached.
            let weight = |o: Observation| o.log_likelihood_ratio();
            let kept = self
                .failing
                .get(&streamer)
                .filter(|known| weight(known.1) > weight(observation))
                .map_or(observation, |known| known.1);
            self.failing.insert(streamer, (now, kept));
        }
        self.expire(now, max_age);
    }

    /// Drops observations older than `max_age`, and all answers once no failure is left.
    pub fn expire(&mut self, now: Micros, max_age: Micros) {
        if self.failing.is_empty() {
            return self.answering.clear();
        }
        self.failing.retain(|_, entry| entry.0 + max_age >= now);
        self.answering.retain(|_, at| *at + max_age >= now);
        if self.failing.is_empty() {
            self.answering.clear();
        }
    }

    /// Drops a streamer that leaves as planned: its failures are no evidence about the hall.
    pub fn forget(&mut self, streamer: StreamerId) {
        self.failing.remove(&streamer);
        self.answering.remove(&streamer);
    }

    /// Drops all observations.
    pub fn clear(&mut self) {
        self.failing.clear();
        self.answering.clear();
    }

    /// The number of different streamers whose latest contact failed.
    pub fn failing_streamers(&self) -> usize {
        self.failing.len()
    }

    /// Logarithm of the likelihood ratio of all observations, lost over healthy; 0 without evidence.
    pub fn log_likelihood_ratio(&self) -> f64 {
        let failing: f64 = self.failing.values().map(|entry| entry.1.log_likelihood_ratio()).sum();
        failing + self.answering.len() as f64 * Observation::Reachable.log_likelihood_ratio()
    }

    /// The log-likelihood ratio from which a hall counts as lost, for a given probability of a false alarm
    /// (Wald's upper bound, with 0.95 as the power of the test).
    pub fn loss_threshold(false_alarm: f64) -> f64 {
        (PROBABILITY_IF_LOST / false_alarm).ln()
    }
}
