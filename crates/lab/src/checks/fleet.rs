//! Who knew what of the fleet, and when.
use super::{Book, SECOND};
use crate::history::{History, Interval, LogLine};
use hdrhistogram::Histogram;
use std::collections::{BTreeMap, BTreeSet};

/// A process that stood still, or a link that was bad, may be taken as lost for so long after.
const AFTERMATH_US: u64 = 4 * SECOND;
/// A stop shorter than this removes nobody.
const SHORT_STOP_US: u64 = SECOND;

fn names(history: &History) -> Vec<String> {
    (0..history.directors).map(|i| format!("d{i}")).collect()
}

/// Whether a link fault stood between two directors at any time of a span, either way.
fn parted(history: &History, a: &str, b: &str, from: u64, until: u64) -> bool {
    let names = |list: &[String], name: &str| list.iter().any(|n| n == name);
    history.faults.iter().any(|f| {
        matches!(f.what.as_str(), "cut" | "reset")
            && f.from <= until
            && f.until >= from
            && ((names(&f.who, a) && names(&f.to, b)) || (names(&f.who, b) && names(&f.to, a)))
    })
}

/// Spans in which a director can't be reached by an observer: dead, stopped for long, or cut off from it
/// together with more than itself.
fn gone<'a>(history: &'a History, me: &str, by: &str) -> Vec<&'a Interval> {
    let names = |list: &[String], name: &str| list.iter().any(|n| n == name);
    (history.faults.iter())
        .filter(|f| match f.what.as_str() {
            "dead" => names(&f.who, me),
            "stop" => names(&f.who, me) && f.until - f.from >= 2 * SHORT_STOP_US,
            "cut" => {
                let whole = f.who.len() + f.to.len() >= history.directors && !f.one_way;
                let (mine, theirs) = if names(&f.who, me) { (&f.who, &f.to) } else { (&f.to, &f.who) };
                whole && names(mine, me) && names(theirs, by) && theirs.len() > 1
            }
            _ => false,
        })
        .collect()
}

/// Each director finds each one that is gone, in time.
pub(super) fn losses(book: &mut Book<'_>, found: &mut Option<Histogram<u64>>) {
    let history = book.history;
    let within = (history.found_within_s * SECOND as f64) as u64;
    for me in names(history) {
        for by in names(history).iter().filter(|by| **by != me) {
            let observer: usize = by[1..].parse().unwrap_or_default();
            for span in gone(history, &me, by) {
                if span.until.saturating_sub(span.from) < within + SECOND / 2 {
                    continue; // it was back before anybody had to know
                }
                let watches = !history.held(&["dead", "stop", "leaving"], by, span.from, span.from + within)
                    && (span.what == "cut" || !parted(history, by, &me, span.from, span.from + within));
                // Already gone for another reason.
                let before = gone(history, &me, by).iter().any(|o| o.from < span.from && o.until > span.from);
                if !watches || before {
                    continue;
                }
                let told = history.log.iter().find(|l| {
                    l.director == observer
                        && matches!(l.msg.as_str(), "fleet: lost" | "fleet: left")
                        && l.text("member") == me
                        && l.at >= span.from
                        && l.at <= span.until + SECOND
                });
                let took = told.map_or(u64::MAX, |l| l.at - span.from);
                book.looked("losses_found", if told.is_some() { took as f64 / 1e3 } else { f64::INFINITY });
                if let (Some(h), Some(_)) = (found.as_mut(), told) {
                    h.saturating_record(took / 1_000);
                }
                if took > within {
                    let what =
                        format!("{by} did not find that {me} is gone ({}) within {within} us", span.what);
                    book.wrong("losses_found", span.from + within, what, &[observer]);
                }
            }
        }
    }
}

/// Nobody is taken as lost that lives, runs and is reached by most.
pub(super) fn removals(book: &mut Book<'_>) {
    let history = book.history;
    for l in history.log.iter().filter(|l| l.msg == "fleet: lost") {
        book.looked("no_wrong_removal", 0.0);
        let me = l.text("member");
        let from = l.at.saturating_sub(AFTERMATH_US);
        let ill = history.faults.iter().any(|f| {
            let long = f.until.saturating_sub(f.from) >= SHORT_STOP_US;
            matches!(f.what.as_str(), "dead" | "leaving" | "twin" | "noise")
                && f.who.iter().any(|w| w == me)
                && f.from <= l.at
                && f.until >= from
                || f.what == "stop"
                    && long
                    && f.who.iter().any(|w| w == me)
                    && f.from <= l.at
                    && f.until >= from
        });
        let others = names(history).into_iter().filter(|n| n != me);
        let cut = others.filter(|n| parted(history, n, me, from, l.at)).count();
        if !ill && 2 * cut < history.directors - 1 {
            let what = format!("d{} takes {me} as lost, which lives and is reached by most", l.director);
            book.wrong("no_wrong_removal", l.at, what, &[l.director]);
        }
    }
}

/// Views of all directors that run are the same again after each fault, in time.
pub(super) fn views(book: &mut Book<'_>, equal: &mut Option<Histogram<u64>>) {
    let history = book.history;
    let within = (history.equal_within_s * SECOND as f64) as u64;
    let matters = |f: &&Interval| {
        matches!(f.what.as_str(), "dead" | "stop" | "cut" | "bad" | "reset" | "twin" | "noise" | "leaving")
            && (f.who.iter().chain(&f.to)).any(|n| n.starts_with('d'))
    };
    let faults: Vec<&Interval> = history.faults.iter().filter(matters).collect();
    let ends: BTreeSet<u64> = faults.iter().map(|f| f.until).filter(|t| *t < history.closed).collect();
    for end in ends {
        let changes = faults.iter().flat_map(|f| [f.from, f.until]);
        let next = changes.filter(|t| *t > end).min().unwrap_or(history.closed).min(history.closed);
        let calm = !faults.iter().any(|f| f.from < end && f.until > end && f.what != "dead");
        if !calm || next < end + within {
            continue; // something else went wrong meanwhile, or the run was over
        }
        // A director whose name a later process took over is in the fleet no more, and says so.
        let replaced = |i: usize| {
            let said = |l: &LogLine| l.director == i && l.msg == "fleet: a later process bears our name";
            history.log.iter().any(said)
        };
        let alive: Vec<usize> = (0..history.directors)
            .filter(|i| !replaced(*i))
            .filter(|i| !history.held(&["dead", "stop", "leaving"], &format!("d{i}"), end + 1, next))
            .collect();
        let mut digests: BTreeMap<usize, &str> = BTreeMap::new();
        let mut since = None;
        let mut started = false;
        for l in history.log.iter().filter(|l| l.msg == "fleet view" && alive.contains(&l.director)) {
            if l.at > next {
                break;
            }
            if l.at > end && !started {
                started = true;
                since = same(&digests, alive.len()).then_some(end);
            }
            digests.insert(l.director, l.text("digest"));
            if l.at > end {
                match (same(&digests, alive.len()), since) {
                    (true, None) => since = Some(l.at),
                    (false, _) => since = None,
                    _ => {}
                }
            }
        }
        if !started {
            since = same(&digests, alive.len()).then_some(end);
        }
        let took = since.map_or(u64::MAX, |at| at - end);
        book.looked("views_equal", if since.is_some() { took as f64 / 1e3 } else { f64::INFINITY });
        if let (Some(h), Some(_)) = (equal.as_mut(), since) {
            h.saturating_record(took / 1_000);
        }
        if took > within {
            let what = format!("views differ {} ms after a fault was over: {digests:?}", within / 1_000);
            book.wrong("views_equal", end + within, what, &alive);
        }
    }
}

fn same(digests: &BTreeMap<usize, &str>, all: usize) -> bool {
    digests.len() == all && digests.values().collect::<BTreeSet<_>>().len() == 1
}

/// Two processes under one name are found, and said by somebody.
pub(super) fn twins(book: &mut Book<'_>) {
    let history = book.history;
    for twin in history.faults.iter().filter(|f| f.what == "twin") {
        book.looked("twins_said", 0.0);
        let said = |l: &LogLine| {
            l.at >= twin.from
                && l.at <= twin.until + SECOND
                && matches!(
                    l.msg.as_str(),
                    "fleet: two processes bear one name" | "fleet: a later process bears our name"
                )
        };
        if !history.log.iter().any(said) {
            let what = format!("nobody said that two processes bear the name of {:?}", twin.who);
            book.wrong("twins_said", twin.until, what, &[]);
        }
    }
}
