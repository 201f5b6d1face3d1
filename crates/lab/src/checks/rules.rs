//! The platform's rules at viewers and streamers.
use super::{Book, Checked, SECOND};
use crate::history::{Asked, Final, History, LogLine, SetUp};
use std::collections::{BTreeMap, BTreeSet};

/// By how much an answer may be late and is not lost (the bench's term for a late answer).
const LATE_MOST_US: u64 = SECOND / 2;
/// After a streamer was told as leaving it takes no set-up: the platform's grace time and slack, and the
/// relays'.
const DRAINED_US: u64 = SECOND + SECOND / 4;
/// What a give-up may come later than the next set-up, on another link: the relays' turns.
const SWAPPED_US: u64 = 50_000;
/// The settings that the lab gives all directors: what a cold streamer begins with, and what it falls under.
const COLD_FROM: f64 = 0.4;
const FALL: f64 = 3.0;

/// Whether a request's director was hindered by the lab while it was open.
fn hindered(history: &History, a: &Asked, until: u64) -> bool {
    let me = format!("d{}", a.director);
    history.held(&["dead", "leaving", "stop"], &me, a.at.saturating_sub(SECOND / 10), until)
}

pub(super) fn answers(book: &mut Book<'_>, out: &mut Checked) {
    let history = book.history;
    let seconds = ((history.ended.saturating_sub(history.began)) / SECOND + 1) as usize;
    (out.goodput, out.refusals) = (vec![0; seconds], vec![0; seconds]);
    for a in &history.asked {
        out.asked += 1;
        let due = a.at + history.deadline_us;
        book.looked("one_final_answer", a.finals.len() as f64);
        if a.finals.len() > 1 {
            let what =
                format!("request {} at d{} got {} answers: {:?}", a.id, a.director, a.finals.len(), a.finals);
            book.wrong("one_final_answer", a.finals[1].0, what, &[a.director]);
        }
        let Some((at, end)) = a.finals.first().copied() else {
            let until = a.broke_at.unwrap_or(due + LATE_MOST_US).max(due);
            if hindered(history, a, until + SECOND) {
                out.excused += 1;
            } else {
                book.looked("answered_in_time", f64::INFINITY);
                let what = format!("request {} at d{} was never answered", a.id, a.director);
                book.wrong("answered_in_time", due, what, &[a.director]);
            }
            continue;
        };
        let late = at.saturating_sub(due);
        if late <= LATE_MOST_US || !hindered(history, a, at) {
            book.looked("answered_in_time", late as f64 / 1e3);
        }
        if late > LATE_MOST_US && !hindered(history, a, at) {
            let what = format!("request {} at d{} was answered {} ms late", a.id, a.director, late / 1_000);
            book.wrong("answered_in_time", at, what, &[a.director]);
        }
        let second = (at.saturating_sub(history.began) / SECOND) as usize;
        let counted = match end {
            Final::Served => {
                out.served += 1;
                Some(&mut out.goodput)
            }
            Final::Refused => {
                out.refused += 1;
                Some(&mut out.refusals)
            }
            Final::Failed => {
                out.failed += 1;
                None
            }
        };
        if let Some(slot) = counted.and_then(|c| c.get_mut(second)) {
            *slot += 1;
        }
    }
}

pub(super) fn set_ups(book: &mut Book<'_>) {
    let history = book.history;
    let mut times: BTreeMap<&str, Vec<(u64, usize)>> = BTreeMap::new();
    for s in history.set_ups.iter().filter(|s| s.class == "replay") {
        times.entry(&s.id).or_default().push((s.at, s.streamer));
        book.looked("replay_never_lowest", 0.0);
        if s.rung == Some(0) {
            let what = format!("session {} of replay is set up on the lowest rung at s{}", s.id, s.streamer);
            book.wrong("replay_never_lowest", s.at, what, &[]);
        }
    }
    for (id, at) in times {
        book.looked("no_second_paid_set_up", at.len() as f64);
        if at.len() > 1 {
            let what = format!("paid session {id} is set up {} times, at streamers {at:?}", at.len());
            book.wrong("no_second_paid_set_up", at[1].0, what, &[]);
        }
    }
}

/// Of one session one attempt at a time is out: the one before was answered or given up at its streamer
/// before the next came whole to another. Both travel on links of their own, so the lab's relays may swap
/// them by what they delay.
pub(super) fn attempts(book: &mut Book<'_>) {
    let history = book.history;
    let slowed = history.faults.iter().any(|f| matches!(f.what.as_str(), "bad" | "cut"));
    let mut last: BTreeMap<&str, &SetUp> = BTreeMap::new();
    for s in &history.set_ups {
        book.looked("one_attempt_at_a_time", 0.0);
        if let Some(before) = last.insert(&s.id, s) {
            let overlap = before.over.is_none_or(|over| over > s.at + SWAPPED_US);
            if overlap && !slowed {
                let what = format!(
                    "session {} comes to s{} while it is out at s{}",
                    s.id, s.streamer, before.streamer
                );
                book.wrong("one_attempt_at_a_time", s.at, what, &[]);
            }
        }
    }
}

/// A streamer that has just started takes no more set-ups in any second, of all directors together, than its
/// settings allow for as warm as it is when that second ends.
pub(super) fn cold(book: &mut Book<'_>) {
    let history = book.history;
    for restart in history.faults.iter().filter(|f| f.what == "restart") {
        let cold: BTreeSet<usize> =
            restart.who.iter().filter_map(|n| n.strip_prefix('s')?.parse().ok()).collect();
        cold.into_iter().for_each(|streamer| cold_pace(book, streamer, restart.until));
    }
}

/// The set-ups of a streamer that is cold from a moment on, of all directors together.
pub(crate) fn cold_pace(book: &mut Book<'_>, streamer: usize, back: u64) {
    let history = book.history;
    let warm = back + history.warm_up_us;
    let times: Vec<u64> = (history.set_ups.iter())
        .filter(|s| s.streamer == streamer && s.at >= back && s.at < warm)
        .map(|s| s.at)
        .collect();
    for (n, last) in times.iter().enumerate() {
        let window = times[..=n].iter().rev().take_while(|at| **at + SECOND > *last).count() as f64;
        // By the present capacity: what it can do as this one comes.
        let warmed = COLD_FROM + (1.0 - COLD_FROM) * (last - back) as f64 / history.warm_up_us as f64;
        let allowed = FALL * f64::from(history.streams) / (history.warm_up_us as f64 / 1e6) * warmed;
        book.looked("cold_pace", window / allowed);
        if window > allowed.max(1.0) {
            let what = format!("s{streamer} takes {window} set-ups in a second, {allowed:.1} allowed");
            book.wrong("cold_pace", *last, what, &[]);
        }
    }
}

pub(super) fn drains(book: &mut Book<'_>) {
    let history = book.history;
    for drain in history.faults.iter().filter(|f| f.what == "drain") {
        let drained: BTreeSet<usize> =
            drain.who.iter().filter_map(|n| n.strip_prefix('s')?.parse().ok()).collect();
        // A director that the news can't reach yet is told nothing.
        let cut =
            history.faults.iter().any(|f| matches!(f.what.as_str(), "cut" | "silent" | "reset" | "bad"));
        for s in history.set_ups.iter().filter(|s| drained.contains(&s.streamer)) {
            book.looked("drains", 0.0);
            if s.at > drain.from + DRAINED_US && !cut {
                let what = format!("s{} takes session {} after it was told as leaving", s.streamer, s.id);
                book.wrong("drains", s.at, what, &[]);
            }
        }
    }
}

pub(super) fn reloads(book: &mut Book<'_>) {
    let history = book.history;
    for reload in history.faults.iter().filter(|f| f.what == "reload") {
        for me in &reload.who {
            book.looked("reloads_said", 0.0);
            let said = |l: &LogLine| {
                format!("d{}", l.director) == *me
                    && l.at >= reload.from
                    && (l.msg.starts_with("the old configuration stays") || l.msg.contains("was read again"))
            };
            if !history.log.iter().any(said) {
                let what = format!("{me} said nothing of the file after SIGHUP");
                book.wrong("reloads_said", reload.from, what, &[]);
            }
        }
    }
}
