//! What has to hold of sessions that outlive their director (S6), read from what streamers took, what viewers
//! heard, and when processes truly ran.
use crate::checks::Book;
use crate::history::{History, SetUp};
use hdrhistogram::Histogram;
use std::collections::{BTreeMap, BTreeSet};

const SECOND: u64 = 1_000_000;
/// A viewer is told of the end of its session within so long (PROTOCOL, the rules on sockets).
const TOLD_US: u64 = SECOND;
/// The same where nobody could tell, since its director had just been lost.
const TOLD_LATE_US: u64 = 8 * SECOND;
/// Nobody has the sessions of one that was killed for so long.
const NOBODY_US: u64 = 5 * SECOND;
/// Bytes that a director wrote may be under way for so long, through relays.
const UNDER_WAY_US: u64 = 50_000;
/// A run that says less of it than this says nothing.
const ACTS_LEAST: u64 = 20;
const SESSIONS_LEAST: u64 = 20;

/// Figures of a run.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Figures {
    /// Share of the sessions of killed directors that played on, and of those whose viewers were told of the
    /// end in time.
    pub plays_on: f64,
    /// See above.
    pub told: f64,
}

pub(crate) fn check(book: &mut Book<'_>, control: &mut Option<Histogram<u64>>) -> Figures {
    one_hand(book);
    taken_over_once(book, control);
    viewers_once(book);
    play_on(book)
}

/// Each session's directors, as its streamer saw them act: one that another has followed does nothing more.
fn one_hand(book: &mut Book<'_>) {
    let history = book.history;
    let mut acts: BTreeMap<&str, Vec<(u64, usize, &str)>> = BTreeMap::new();
    for s in &history.set_ups {
        acts.entry(&s.id).or_default().extend(s.by.map(|by| (s.at, by, "set-up")));
    }
    for a in &history.acts {
        acts.entry(&a.id).or_default().extend(a.by.map(|by| (a.at, by, a.what.as_str())));
    }
    let mut judged = 0;
    for (id, mut acts) in acts {
        acts.sort_unstable();
        let mut followed: BTreeMap<usize, u64> = BTreeMap::new();
        for pair in acts.windows(2) {
            let ((_, before, _), (at, by, _)) = (pair[0], pair[1]);
            if before != by {
                followed.entry(before).or_insert(at);
            }
        }
        for (at, by, what) in acts {
            book.looked("one_hand", 0.0);
            judged += 1;
            let late = followed.get(&by).is_some_and(|since| at > since + UNDER_WAY_US);
            if late {
                let what = format!("d{by} acts ({what}) on session {id} after another director did");
                book.wrong("one_hand", at, what, &[by]);
            }
        }
    }
    few(book, "one_hand", judged, ACTS_LEAST);
}

/// A check that judged too little holds nothing.
fn few(book: &mut Book<'_>, name: &str, judged: u64, least: u64) {
    if judged < least {
        book.looked(name, 0.0);
        let what = format!("{name} judged {judged} events only; {least} are wanted, so run it longer");
        book.wrong(name, book.history.closed, what, &[]);
    }
}

/// An epoch is one director's, and a session that was taken over is taken over by one at a time.
fn taken_over_once(book: &mut Book<'_>, control: &mut Option<Histogram<u64>>) {
    let history = book.history;
    let mut epochs: BTreeMap<u64, usize> = BTreeMap::new();
    for l in history.log.iter().filter(|l| l.msg == "estate: taken over") {
        let epoch = l.keys.get("epoch").and_then(|e| e.as_u64()).unwrap_or(0);
        book.looked("taken_over_once", 0.0);
        if let Some(other) = epochs.insert(epoch, l.director) {
            let what = format!("epoch {epoch} is taken over by d{other} and by d{}", l.director);
            book.wrong("taken_over_once", l.at, what, &[other, l.director]);
        }
        let owner = l.text("owner").to_owned();
        let gone = history.faults.iter().filter(|f| {
            matches!(f.what.as_str(), "dead" | "stop" | "leaving") && f.who.contains(&owner) && f.from <= l.at
        });
        if let (Some(from), Some(h)) = (gone.map(|f| f.from).max(), control.as_mut()) {
            h.saturating_record(l.at.saturating_sub(from) / 1_000);
        }
    }
    let killed = history.faults.iter().filter(|f| f.what == "dead").count() as u64;
    if killed > 0 {
        few(book, "taken_over_once", epochs.len() as u64, 1);
    }
}

/// How long a set-up ran, or may have run, at its streamer.
fn ran(s: &SetUp, closed: u64) -> (u64, u64) {
    let until = if s.stands { s.ended } else { s.over };
    (s.at, until.unwrap_or(closed))
}

/// No viewer's paid session is set up while another of the same viewer may run.
fn viewers_once(book: &mut Book<'_>) {
    let history = book.history;
    let viewer: BTreeMap<&str, &str> =
        history.asked.iter().map(|a| (a.id.as_str(), a.viewer.as_str())).collect();
    let mut of: BTreeMap<&str, Vec<&SetUp>> = BTreeMap::new();
    for s in history.set_ups.iter().filter(|s| s.class == "replay") {
        if let Some(viewer) = viewer.get(s.id.as_str()) {
            of.entry(viewer).or_default().push(s);
        }
    }
    for (viewer, set_ups) in of {
        for (n, s) in set_ups.iter().enumerate() {
            book.looked("paid_viewer_once", 0.0);
            let beside = set_ups[..n].iter().find(|b| ran(b, history.closed).1 > s.at);
            if let Some(b) = beside {
                let what = format!(
                    "viewer {viewer} is set up as {} at s{} while {} may run at s{}",
                    s.id, s.streamer, b.id, b.streamer
                );
                let who: Vec<usize> = [s.by, b.by].into_iter().flatten().collect();
                book.wrong("paid_viewer_once", s.at, what, &who);
            }
        }
    }
}

/// Sessions that stood at a director as it was killed: they come to their own end, and their viewers hear of
/// that in time.
fn play_on(book: &mut Book<'_>) -> Figures {
    let history = book.history;
    let (mut stood, mut played, mut ended, mut told) = (0_u64, 0_u64, 0_u64, 0_u64);
    let mut heard: BTreeMap<&str, u64> = BTreeMap::new();
    for t in &history.told {
        let at = heard.entry(&t.id).or_insert(t.at);
        *at = t.at.min(*at);
    }
    let kills: Vec<(usize, u64)> = (history.faults.iter())
        .filter(|f| f.what == "dead" && f.from > history.began)
        .flat_map(|f| f.who.iter().map(|who| (who, f.from)))
        .filter_map(|(who, at)| Some((who.strip_prefix('d')?.parse().ok()?, at)))
        .collect();
    let mut counted: BTreeSet<&str> = BTreeSet::new();
    for (director, at) in kills {
        let here =
            |s: &&SetUp| s.by == Some(director) && s.stands && s.at < at && ran(s, history.closed).1 > at;
        for s in history.set_ups.iter().filter(here) {
            // A streamer that was lost meanwhile ends its sessions, whoever has them.
            if !counted.insert(&s.id) || s.how == "gone" {
                continue;
            }
            let viewer_left = came_again(history, &s.id, at);
            if viewer_left {
                continue; // it is ended on purpose, for its viewer
            }
            stood += 1;
            let natural = s.how == "natural" || s.ended.is_none();
            played += u64::from(natural);
            book.looked("plays_on", 0.0);
            if let Some(end) = s.ended.filter(|end| natural && end + TOLD_LATE_US < history.ended) {
                ended += 1;
                let most = if end < at + NOBODY_US { TOLD_LATE_US } else { TOLD_US };
                let within = heard.get(s.id.as_str()).is_some_and(|t| *t <= end + most);
                told += u64::from(within);
            }
        }
    }
    let share = |n: u64, of: u64| if of == 0 { 1.0 } else { n as f64 / of as f64 };
    let figures = Figures { plays_on: share(played, stood), told: share(told, ended) };
    if history.faults.iter().any(|f| f.what == "dead") {
        few(book, "plays_on", stood, SESSIONS_LEAST);
    }
    if figures.plays_on < history.plays_on {
        book.looked("plays_on", 0.0);
        let what = format!("{played} of {stood} sessions of killed directors played on");
        book.wrong("plays_on", history.closed, what, &[]);
    }
    figures
}

/// Whether the viewer of a session asked anew while it stood.
fn came_again(history: &History, id: &str, since: u64) -> bool {
    let viewer = history.asked.iter().find(|a| a.id == id).map(|a| &a.viewer);
    history.asked.iter().any(|a| Some(&a.viewer) == viewer && a.id != id && a.at >= since)
}
