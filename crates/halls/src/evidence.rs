//! Evidence for and against the loss of one hall: a sequential probability ratio test (Wald, "Sequential
//! Tests of Statistical Hypotheses", Annals of Mathematical Statistics 16, 1945) over signs from different
//! streamers. A streamer counts once, with its latest sign, so that one bad streamer never loses a hall.
//! Decides nothing.
use std::collections::BTreeMap;
use stonewharf_core::{Micros, StreamerId};

/// What a streamer just showed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sign {
    /// It answered, whatever it said: it can be reached.
    Reachable,
    /// No connection to it came up, or one was refused.
    Unreachable,
    /// It can perhaps be reached and says nothing: a set-up or load test ran out of time.
    Silent,
    /// A connection broke, or its sessions were cut.
    Cut,
}

/// Chance of a sign from a streamer of a hall that is lost.
const IF_LOST: f64 = 0.95;

impl Sign {
    /// Chance of the sign from a streamer picked from a hall that is whole. The operators saw up to 18% of
    /// streamers stand still at once; processes that restart, and so break connections, come in waves.
    fn if_whole(self) -> f64 {
        match self {
            Sign::Unreachable => 0.05,
            Sign::Silent => 0.18,
            Sign::Cut => 0.3,
            Sign::Reachable => 0.95,
        }
    }

    /// Log of the likelihood ratio, lost over whole.
    fn weight(self) -> f64 {
        match self {
            Sign::Reachable => ((1.0 - IF_LOST) / self.if_whole()).ln(),
            bad => (IF_LOST / bad.if_whole()).ln(),
        }
    }
}

/// The signs of one hall since the first bad one that still counts.
#[derive(Clone, Debug, Default)]
pub struct Evidence {
    bad: BTreeMap<StreamerId, (Micros, Sign)>,
    /// Streamers that answered after the first bad sign; before it nobody needs to be remembered.
    good: BTreeMap<StreamerId, Micros>,
}

impl Evidence {
    /// Takes a sign; those older than `span` no longer count.
    pub fn take(&mut self, now: Micros, streamer: StreamerId, sign: Sign, span: Micros) {
        if sign == Sign::Reachable {
            self.bad.remove(&streamer);
            if !self.bad.is_empty() {
                self.good.insert(streamer, now);
            }
        } else {
            self.good.remove(&streamer);
            // The heavier sign stays: a streamer that can't be reached does not become likelier for a
            // time-out.
            let weight = |s: Sign| s.weight();
            let kept = self.bad.get(&streamer).filter(|b| weight(b.1) > weight(sign)).map_or(sign, |b| b.1);
            self.bad.insert(streamer, (now, kept));
        }
        self.fade(now, span);
    }

    /// Forgets what is older than `span`, and the good signs with the last bad one.
    pub fn fade(&mut self, now: Micros, span: Micros) {
        if self.bad.is_empty() {
            return self.good.clear();
        }
        self.bad.retain(|_, b| b.0 + span >= now);
        self.good.retain(|_, at| *at + span >= now);
        if self.bad.is_empty() {
            self.good.clear();
        }
    }

    /// Forgets a streamer that leaves as planned: its silence tells nothing of the hall.
    pub fn forget(&mut self, streamer: StreamerId) {
        self.bad.remove(&streamer);
        self.good.remove(&streamer);
    }

    /// Starts over.
    pub fn clear(&mut self) {
        self.bad.clear();
        self.good.clear();
    }

    /// How many different streamers show a bad sign.
    pub fn against(&self) -> usize {
        self.bad.len()
    }

    /// Log of the likelihood ratio, lost over whole; 0 without evidence.
    pub fn ratio(&self) -> f64 {
        let bad: f64 = self.bad.values().map(|b| b.1.weight()).sum();
        bad + self.good.len() as f64 * Sign::Reachable.weight()
    }

    /// The ratio from which a hall is taken for lost at a chance of a false alarm (Wald's upper bound, with
    /// 0.95 for the power of the test).
    pub fn bound(false_alarm: f64) -> f64 {
        (IF_LOST / false_alarm).ln()
    }
}
