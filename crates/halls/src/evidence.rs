//! Evidence for and against the loss of one hall: a sequential probability ratio test (Wald, "Sequential
//! Tests of Statistical Hypotheses", Annals of Mathematical Statistics 16, 1945) over signs from different
//! streamers. A streamer counts once, with its latest sign, so that one bad streamer never loses a hall.
//! Decides nothing.
use std::collections::BTreeMap;
use stonewharf_core::{Micros, StreamerId};

/// What a streamer just showed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Observation {
    /// It answered, whatever it said: it can be reached.
    Reachable,
    /// No connection to it came up, or one was refused.
    Unreachable,
    /// It can perhaps be reached and says nothing: a set-up or load test ran out of time.
    TimedOut,
    /// A connection broke, or its sessions were cut.
    ConnectionLost,
}

/// Chance of a sign from a streamer of a hall that is lost.
const PROBABILITY_IF_LOST: f64 = 0.95;

impl Observation {
    /// Chance of the sign from a streamer picked from a hall that is whole. The operators saw up to 18% of
    /// streamers stand still at once; processes that restart, and so break connections, come in waves.
    fn probability_if_healthy(self) -> f64 {
        match self {
            Observation::Unreachable => 0.05,
            Observation::TimedOut => 0.18,
            Observation::ConnectionLost => 0.3,
            Observation::Reachable => 0.95,
        }
    }

    /// Log of the likelihood ratio, lost over whole.
    fn log_likelihood_ratio(self) -> f64 {
        match self {
            Observation::Reachable => ((1.0 - PROBABILITY_IF_LOST) / self.probability_if_healthy()).ln(),
            failure => (PROBABILITY_IF_LOST / failure.probability_if_healthy()).ln(),
        }
    }
}

/// The signs of one hall since the first bad one that still counts.
#[derive(Clone, Debug, Default)]
pub struct Evidence {
    failing: BTreeMap<StreamerId, (Micros, Observation)>,
    /// Streamers that answered after the first bad sign; before it nobody needs to be remembered.
    answering: BTreeMap<StreamerId, Micros>,
}

impl Evidence {
    /// Takes a sign; those older than `max_age` no longer count.
    pub fn record(&mut self, now: Micros, streamer: StreamerId, observation: Observation, max_age: Micros) {
        if observation == Observation::Reachable {
            self.failing.remove(&streamer);
            if !self.failing.is_empty() {
                self.answering.insert(streamer, now);
            }
        } else {
            self.answering.remove(&streamer);
            // The heavier sign stays: a streamer that can't be reached does not become likelier for a
            // time-out.
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

    /// Forgets what is older than `max_age`, and the good signs with the last bad one.
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

    /// Forgets a streamer that leaves as planned: its silence tells nothing of the hall.
    pub fn forget(&mut self, streamer: StreamerId) {
        self.failing.remove(&streamer);
        self.answering.remove(&streamer);
    }

    /// Starts over.
    pub fn clear(&mut self) {
        self.failing.clear();
        self.answering.clear();
    }

    /// How many different streamers show a bad sign.
    pub fn failing_streamers(&self) -> usize {
        self.failing.len()
    }

    /// Log of the likelihood ratio, lost over whole; 0 without evidence.
    pub fn log_likelihood_ratio(&self) -> f64 {
        let failing: f64 = self.failing.values().map(|entry| entry.1.log_likelihood_ratio()).sum();
        failing + self.answering.len() as f64 * Observation::Reachable.log_likelihood_ratio()
    }

    /// The ratio from which a hall is taken for lost at a chance of a false alarm (Wald's upper bound, with
    /// 0.95 for the power of the test).
    pub fn loss_threshold(false_alarm: f64) -> f64 {
        (PROBABILITY_IF_LOST / false_alarm).ln()
    }
}
