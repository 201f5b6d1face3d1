//! The leader's analysis of a wave: compares the share of requests served by the changed directors with that
//! of the unchanged directors of the same halls over the same time. Only the leader holds the counts; a new
//! leader starts its watch anew.
//!
//! The test statistic is the difference of the shares served, stratified by hall with Cochran-Mantel-Haenszel
//! weights (Cochran, Biometrics 10, 1954); its standard error uses shares shrunk slightly towards one half
//! (Agresti, Coull, The American Statistician 52, 1998). It is evaluated at the end of the watch period and
//! after each further period, at most five times: testing continuously would in the end pass a harmful change
//! by chance. A wave passes at a look that rules out a loss of [`NON_INFERIORITY_MARGIN`] (one-sided, 95%
//! over all five looks, by Bonferroni). It halts where the loss is greater than chance explains, either at a
//! look or between looks by a stricter bound that allows for continuous testing, and in any case after the
//! fifth look.
use crate::release::Release;
use crate::rollout::Rollout;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Loss of served requests, as a fraction of all requests, that a wave must be shown not to reach.
pub const NON_INFERIORITY_MARGIN: f64 = 0.05;
/// Normal quantile for a pass, one-sided 99%: five looks together keep 95%.
const PASS_Z: f64 = 2.326;
/// Normal quantile for a halt between looks: some hundred evaluations together stay under 1%.
const EARLY_HALT_Z: f64 = 4.0;
/// Normal quantile for a halt at a look: 99.9%.
const LOOK_HALT_Z: f64 = 3.09;
/// A smaller loss is harmless, however significant, and does not halt a wave.
const MIN_HARMFUL_LOSS: f64 = 0.01;
/// Minimum number of requests at changed directors before a loss can halt a wave.
const MIN_CHANGED_REQUESTS: f64 = 20.0;
/// Maximum number of looks, one per watch period; a wave that is still undecided then halts.
const MAX_LOOKS: u64 = 5;
/// Counts older than this come from a director that has stopped reporting and are ignored.
const MAX_COUNT_AGE_MS: u64 = 3_000;

/// Request counts of a director since the start of its incarnation.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
pub struct Health {
    /// Incarnation that counted.
    pub incarnation: u64,
    /// Requests received.
    pub taken: u64,
    /// Requests served in time.
    pub served: u64,
    /// Requests refused.
    pub refused: u64,
    /// Requests answered as failed.
    pub failed: u64,
    /// Requests abandoned by their viewers before an answer.
    pub unanswered: u64,
}

/// Result of watching a wave.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// The changed directors do as well as the unchanged ones.
    Passed,
    /// They do worse, or there is too little data to tell; the reason.
    Halt(String),
}

/// First and latest counts of a director during a watch.
#[derive(Clone, Copy)]
struct CountRange {
    first: Health,
    last: Health,
    received_ms: u64,
}

/// Comparison of changed and unchanged directors during one watch.
#[derive(Default)]
pub struct WaveAnalysis {
    watch: u64,
    /// Looks made in this watch so far.
    looks: u64,
    counts: BTreeMap<String, CountRange>,
    /// Requests taken and served by unchanged directors in earlier waves, by hall: the baseline for the last
    /// wave.
    earlier_unchanged: BTreeMap<String, (f64, f64)>,
}

impl WaveAnalysis {
    /// Records the counts that a director reported.
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

    /// Discards counts and looks when another watch begins.
    fn start_watch(&mut self, watch: u64) {
        if self.watch != watch {
            (self.watch, self.looks) = (watch, 0);
            self.counts.clear();
        }
    }

    /// The verdict on the watched wave; `None` if watching goes on.
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
            // No baseline: all directors are changed, and this leader has not seen the earlier waves.
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

    /// Requests taken and served in this watch, per hall, by changed and by unchanged directors.
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
