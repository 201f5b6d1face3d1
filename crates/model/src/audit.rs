//! Watches a run for broken promises: answers, attempts, paid set-ups, floors, and the pace at cold
//! streamers. Counts only; what it sees comes from the world, never from the directors' own books.
use serde::Serialize;
use std::collections::{BTreeMap, VecDeque};
use stonewharf_core::Micros;

/// Promises broken, by kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Broken {
    /// Requests answered twice.
    pub answered_twice: u64,
    /// Requests of a running director that were not answered before the viewer gave up.
    pub unanswered: u64,
    /// Set-ups sent while another of the same request was out.
    pub two_out: u64,
    /// Paid requests set up, or refused, after an attempt that may have run.
    pub paid_twice: u64,
    /// Sessions that played under their class's floor.
    pub under_floor: u64,
    /// Cold streamers that were pushed over.
    pub pushed_over: u64,
}

impl Broken {
    /// All together.
    pub fn total(&self) -> u64 {
        self.answered_twice
            + self.unanswered
            + self.two_out
            + self.paid_twice
            + self.under_floor
            + self.pushed_over
    }
}

/// Set-ups that cold streamers were sent lately.
#[derive(Default)]
pub(crate) struct Pace {
    sent: BTreeMap<usize, VecDeque<Micros>>,
    /// The largest number in any window over what was allowed in it.
    pub(crate) peak: f64,
}

impl Pace {
    /// Books a set-up to a cold streamer that may take `allowed` in a window; returns whether it fell over.
    pub(crate) fn sent(&mut self, now: Micros, streamer: usize, window: Micros, allowed: f64) -> bool {
        let sent = self.sent.entry(streamer).or_default();
        sent.push_back(now);
        while sent.front().is_some_and(|at| *at + window <= now) {
            sent.pop_front();
        }
        // A single set-up is no pace, however slow the streamer: the rule counts whole ones.
        let ratio = sent.len() as f64 / allowed.max(1.0);
        self.peak = self.peak.max(ratio);
        ratio > 1.0
    }
}
