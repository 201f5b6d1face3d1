//! The leader's judgement of a wave: requests served by its changed directors against those served by the
//! unchanged ones of the same halls in the same time. Kept by the leader alone; another begins its watch
//! anew.
//!
//! The test: the difference of the shares served, hall by hall, weighted as by Cochran, Mantel and Haenszel
//! (Cochran, Biometrics 10, 1954), with its standard error from shares drawn a little towards the middle
//! (Agresti, Coull, The American Statistician 52, 1998). It is looked at when the watch is over, and again
//! after each further watch, five times at most: looking all the time would pass by luck in the end what does
//! harm. A wave passes at a look that rules out a loss of [`NON_INFERIORITY_MARGIN`] (one-sided, 95% over all
//! five looks, by Bonferroni); it halts at a look, or in between by a bound that stands looking all the time,
//! where the loss is more than chance gives, and after the fifth look in any case.
use crate::release::Release;
use crate::rollout::Rollout;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// The loss that must not be missed: part of all requests.
pub const NON_INFERIORITY_MARGIN: f64 = 0.05;
/// One-sided 99%: five looks together keep 95%.
const PASS_Z: f64 = 2.326;
/// At each of some hundred looks together under 1%.
const EARLY_HALT_Z: f64 = 4.0;
/// At a look: 99.9%.
const LOOK_HALT_Z: f64 = 3.09;
/// A difference smaller than this harms nobody, however sure it is.
const MIN_HARMFUL_LOSS: f64 = 0.01;
/// Requests of the changed ones from which on a difference is looked at.
const MIN_CHANGED_REQUESTS: f64 = 20.0;
/// Looks, each a watch after the one before; a wave that can't be told by then halts.
const MAX_LOOKS: u64 = 5;
/// A count older than this is of a director that no longer tells.
const MAX_COUNT_AGE_MS: u64 = 3_000;

/// What a director counted since the start of its life.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
pub struct Health {
    /// Its life.
    pub incarnation: u64,
    /// Requests taken.
    pub taken: u64,
    /// Of them served in time.
    pub served: u64,
    /// Refused.
    pub refused: u64,
    /// Answered as failed.
    pub failed: u64,
    /// Given up by their viewers before an answer.
    pub unanswered: u64,
}

/// What a wave came to.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// It is as good as the others.
    Passed,
    /// It is not, or can't be told.
    Halt(String),
}

#[derive(Clone, Copy)]
struct CountRange {
    first: Health,
    last: Health,
    received_ms: u64,
}

/// The judgement of one watch.
#[derive(Default)]
pub struct WaveAnalysis {
    watch: u64,
    /// Looks of this watch so far.
    looks: u64,
    counts: BTreeMap<String, CountRange>,
    /// Shares served by unchanged ones in earlier waves, by hall: what the last wave is held against.
    earlier_unchanged: BTreeMap<String, (f64, f64)>,
}

impl WaveAnalysis {
    /// A director's counts came in.
    pub fn record(&mut self, now_ms: u64, state: &Rollout, name: &str, health: Health) {
        let Some(release) = state.release.as_ref().filter(|r| r.is_watched()) else { return };
        self.start_watch(release.watches);
        let initial = CountRange { first: health, last: health, received_ms: now_ms };
        let counted = self.counts.entry(name.to_owned()).or_insert(initial);
        if counted.first.incarnation != health.incarnation {
            *counted = initial;
        }
        (counted.last, counted.received_ms) = (health, now_ms);
    }

    /// Another watch begins with no counts and no looks.
    fn start_watch(&mut self, watch: u64) {
        if self.watch != watch {
            (self.watch, self.looks) = (watch, 0);
            self.counts.clear();
        }
    }

    /// What the wave that is watched came to; none: it is watched on.
    pub fn verdict(&mut self, now_ms: u64, state: &Rollout) -> Option<Verdict> {
        let release = state.release.as_ref().filter(|r| r.is_watched())?;
        let since = release.watched_since?;
        let watched_ms = now_ms.saturating_sub(since);
        self.start_watch(release.watches);
        let looks_due = (watched_ms / release.plan.watch_ms.max(1)).min(MAX_LOOKS);
        let at_look = looks_due > self.looks;
        self.looks = self.looks.max(looks_due);
        let (mut weight, mut difference, mut variance, mut requests) = (0.0, 0.0, 0.0, 0.0);
        for (hall, [changed, unchanged]) in self.requests_by_hall(now_ms, state, release) {
            let unchanged = if unchanged.0 > 0.0 {
                self.earlier_unchanged.insert(hall, unchanged);
                unchanged
            } else {
                self.earlier_unchanged.get(&hall).copied().unwrap_or_default()
            };
            if changed.0 <= 0.0 || unchanged.0 <= 0.0 {
                continue;
            }
            let ((changed_total, changed_served), (unchanged_total, unchanged_served)) = (changed, unchanged);
            let hall_weight = changed_total * unchanged_total / (changed_total + unchanged_total);
            let share_variance = |n: f64, x: f64| {
                let p = (x + 1.0) / (n + 2.0);
                p * (1.0 - p) / n
            };
            weight += hall_weight;
            requests += changed_total;
            difference += hall_weight * (unchanged_served / unchanged_total - changed_served / changed_total);
            variance += hall_weight
                * hall_weight
                * (share_variance(changed_total, changed_served)
                    + share_variance(unchanged_total, unchanged_served));
        }
        let at_last_look = at_look && looks_due == MAX_LOOKS;
        if weight <= 0.0 {
            // Nobody to compare with: all are changed, and whoever leads has not seen the waves before.
            let all_changed = release
                .order
                .iter()
                .all(|n| state.directors.get(n).is_some_and(|d| release.plan.is_applied_to(d)));
            return match (looks_due > 0 && all_changed, at_last_look) {
                (true, _) => Some(Verdict::Passed),
                (false, true) => Some(Verdict::Halt("no requests to judge it by".into())),
                _ => None,
            };
        }
        let (loss, error) = (difference / weight, variance.sqrt() / weight);
        let summary = || {
            format!(
                "its directors serve {:.1}% less than the unchanged, of {requests:.0} requests",
                loss * 100.0
            )
        };
        let halt_z = if at_look { LOOK_HALT_Z } else { EARLY_HALT_Z };
        if requests >= MIN_CHANGED_REQUESTS && loss > MIN_HARMFUL_LOSS && loss > halt_z * error {
            return Some(Verdict::Halt(summary()));
        }
        if at_look && loss + PASS_Z * error < NON_INFERIORITY_MARGIN {
            return Some(Verdict::Passed);
        }
        at_last_look.then(|| Verdict::Halt(format!("too few requests to rule out a loss: {}", summary())))
    }

    /// Requests taken and served in this watch, by hall, of changed and of unchanged directors.
    fn requests_by_hall(
        &self,
        now_ms: u64,
        state: &Rollout,
        release: &Release,
    ) -> BTreeMap<String, [(f64, f64); 2]> {
        let members: BTreeSet<&String> = release.changed.keys().collect();
        let mut halls: BTreeMap<String, [(f64, f64); 2]> = BTreeMap::new();
        for (name, counted) in &self.counts {
            let Some(director) = state.directors.get(name) else { continue };
            if counted.received_ms.saturating_add(MAX_COUNT_AGE_MS) < now_ms {
                continue;
            }
            let group = usize::from(!members.contains(name));
            let totals = &mut halls.entry(director.hall.clone()).or_default()[group];
            let answered = |h: &Health| h.served + h.refused + h.failed + h.unanswered;
            let all = answered(&counted.last).saturating_sub(answered(&counted.first));
            let served = counted.last.served.saturating_sub(counted.first.served);
            totals.0 += all as f64;
            totals.1 += served.min(all) as f64;
        }
        halls
    }
}
