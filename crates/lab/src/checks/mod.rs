//! What has to hold in every run, read from its history alone: the platform's rules at viewers and
//! streamers, and who knew what of the fleet when. Each check counts what it looked at; one that looked at
//! nothing says so.
mod fleet;
mod rules;

use crate::history::{History, LogLine};
use fleet::{losses, removals, twins, views};
use hdrhistogram::Histogram;
pub(crate) use rules::cold_pace;
use rules::{answers, attempts, cold, drains, reloads, set_ups};
use serde::Serialize;
use std::collections::BTreeMap;

const SECOND: u64 = 1_000_000;

/// Something that should not have been.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Offence {
    /// When, seconds after the viewers began.
    pub at_s: f64,
    /// What, with the processes in it.
    pub what: String,
    /// Lines of the log round it.
    pub lines: Vec<String>,
}

/// One check.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Check {
    /// How much it looked at.
    pub looked_at: u64,
    /// How much of that was wrong.
    pub offences: u64,
    /// Its worst figure, in the check's own unit (milliseconds, or times).
    pub worst: f64,
    /// The first offence.
    pub first: Option<Offence>,
}

/// Quantiles of times, milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Times {
    /// How many.
    pub count: u64,
    /// The median.
    pub p50_ms: u64,
    /// The 99th percentile.
    pub p99_ms: u64,
    /// The longest.
    pub most_ms: u64,
}

/// All checks of a run.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Checked {
    /// Whether all held.
    pub valid: bool,
    /// Rules of the platform broken.
    pub rules_broken: u64,
    /// Each check, by name.
    pub checks: BTreeMap<String, Check>,
    /// From the loss of a member to each other's finding it.
    pub detection: Times,
    /// From the end of a fault to equal views.
    pub recovery: Times,
    /// From the loss of a director to each takeover of its estate.
    pub control: Times,
    /// Share of the sessions of killed directors that played on, and of those whose viewers heard of their
    /// end within a second.
    pub plays_on: f64,
    /// See `plays_on`.
    pub viewers_told: f64,
    /// Requests asked, served, refused, failed, and without an answer because their director was gone.
    pub asked: u64,
    /// See `asked`.
    pub served: u64,
    /// See `asked`.
    pub refused: u64,
    /// See `asked`.
    pub failed: u64,
    /// See `asked`.
    pub excused: u64,
    /// Requests served in each second.
    pub goodput: Vec<u64>,
    /// Requests refused in each second.
    pub refusals: Vec<u64>,
    /// By how much the lab was late at most, milliseconds.
    pub late_ms: u64,
}

/// The longest time that is told apart, milliseconds.
const LONGEST_MS: u64 = 3_600_000;

/// The checks that are rules of the platform.
const RULES: [&str; 9] = [
    "one_final_answer",
    "answered_in_time",
    "one_attempt_at_a_time",
    "no_second_paid_set_up",
    "replay_never_lowest",
    "drains",
    "cold_pace",
    "one_hand",
    "paid_viewer_once",
];

pub(crate) struct Book<'a> {
    pub history: &'a History,
    checks: BTreeMap<String, Check>,
}

impl Book<'_> {
    pub fn looked(&mut self, name: &str, worst: f64) {
        let check = self.checks.entry(name.to_owned()).or_insert(Check {
            looked_at: 0,
            offences: 0,
            worst: 0.0,
            first: None,
        });
        check.looked_at += 1;
        check.worst = check.worst.max(worst);
    }

    pub fn wrong(&mut self, name: &str, at: u64, what: String, who: &[usize]) {
        let lines = lines_round(self.history, at, who);
        let at_s = (at as f64 - self.history.began as f64) / SECOND as f64;
        if let Some(check) = self.checks.get_mut(name) {
            check.offences += 1;
            if check.first.as_ref().is_none_or(|f| f.at_s > at_s) {
                check.first = Some(Offence { at_s, what, lines });
            }
        }
    }
}

fn lines_round(history: &History, at: u64, who: &[usize]) -> Vec<String> {
    let near = |l: &&LogLine| l.at + 2 * SECOND >= at && l.at <= at + SECOND / 2;
    let of = |l: &&LogLine| who.is_empty() || who.contains(&l.director);
    let told = |l: &LogLine| {
        let s = (l.at as f64 - history.began as f64) / SECOND as f64;
        let keys = ["member", "more", "in", "what", "leader"].map(|k| l.text(k)).join(" ");
        format!("{s:8.3} d{} {} {}", l.director, l.msg, keys.trim())
    };
    let lines: Vec<String> = history.log.iter().filter(near).filter(of).map(told).collect();
    lines.into_iter().rev().take(12).rev().collect()
}

/// Checks a run.
pub fn check(history: &History) -> Checked {
    let mut book = Book { history, checks: BTreeMap::new() };
    let mut out = Checked { late_ms: history.late_us / 1_000, ..Checked::default() };
    answers(&mut book, &mut out);
    set_ups(&mut book);
    attempts(&mut book);
    drains(&mut book);
    cold(&mut book);
    book.looked("no_crash", history.crashed.len() as f64);
    for (i, word) in &history.crashed {
        book.wrong("no_crash", history.closed, format!("d{i} ended by itself: {word}"), &[*i]);
    }
    if history.fleet {
        let mut found = Histogram::<u64>::new_with_max(LONGEST_MS, 3).ok();
        let mut equal = found.clone();
        losses(&mut book, &mut found);
        removals(&mut book);
        views(&mut book, &mut equal);
        twins(&mut book);
        if history.voters > 0 {
            crate::permits::check(&mut book);
        }
        (out.detection, out.recovery) = (times(found), times(equal));
    }
    if history.continuity {
        let mut control = Histogram::<u64>::new_with_max(LONGEST_MS, 3).ok();
        let figures = crate::estates::check(&mut book, &mut control);
        (out.plays_on, out.viewers_told, out.control) = (figures.plays_on, figures.told, times(control));
    }
    reloads(&mut book);
    out.rules_broken = RULES.iter().filter_map(|r| book.checks.get(*r)).map(|c| c.offences).sum();
    out.valid = book.checks.values().all(|c| c.offences == 0);
    out.checks = book.checks;
    out
}

fn times(histogram: Option<Histogram<u64>>) -> Times {
    let Some(h) = histogram.filter(|h| !h.is_empty()) else { return Times::default() };
    Times {
        count: h.len(),
        p50_ms: h.value_at_quantile(0.5),
        p99_ms: h.value_at_quantile(0.99),
        most_ms: h.max(),
    }
}
