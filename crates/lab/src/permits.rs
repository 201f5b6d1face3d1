//! What has to hold where directors agree on who may be out (S1 of the fleet's safety lines), read from what
//! processes truly did: when they left and when they served again; and what they logged of the agreed state.
use crate::checks::Book;
use crate::history::LogLine;
use std::collections::{BTreeMap, BTreeSet};

const SECOND: u64 = 1_000_000;
/// A director that is gone is known to be so to the agreed state: found by the fleet, and agreed.
const KNOWN_US: u64 = 5 * SECOND;
/// A drain is in force at all directors: asked for by learners four times a second, and a set-up's own time.
const IN_FORCE_US: u64 = SECOND;

/// A director out by permit: who, which permit, from when until it served again.
struct OutBy {
    director: usize,
    number: u64,
    from: u64,
    until: u64,
}

pub(crate) fn check(book: &mut Book<'_>) {
    let out = out_by_permit(book);
    budgets(book, &out);
    numbers(book, &out);
    beside_lost(book);
    leaders(book);
    orders(book);
    drained(book);
}

fn out_by_permit(book: &Book<'_>) -> Vec<OutBy> {
    let log = &book.history.log;
    let leaves = log.iter().filter(|l| l.msg == "leaves by permit");
    let of = |l: &LogLine| {
        let back = log.iter().filter(|s| s.director == l.director && s.msg == "serves" && s.at > l.at);
        OutBy {
            director: l.director,
            number: l.keys.get("permit").and_then(|n| n.as_u64()).unwrap_or(0),
            from: l.at,
            until: back.map(|s| s.at).min().unwrap_or(u64::MAX),
        }
    };
    leaves.map(of).collect()
}

/// Never more out by permit than the budget, in the fleet and in each hall; halls are dealt in turn.
fn budgets(book: &mut Book<'_>, out: &[OutBy]) {
    for one in out {
        let at_once: Vec<&OutBy> = out.iter().filter(|o| o.from <= one.from && one.from < o.until).collect();
        let of_hall = at_once.iter().filter(|o| o.director % 2 == one.director % 2).count();
        book.looked("out_within_budget", at_once.len() as f64);
        if at_once.len() > book.history.out_most || of_hall > book.history.out_of_hall_most {
            let names: Vec<String> =
                at_once.iter().map(|o| format!("d{} by {}", o.director, o.number)).collect();
            let what = format!("out by permit at one time: {} ({of_hall} of a hall)", names.join(", "));
            let who: Vec<usize> = at_once.iter().map(|o| o.director).collect();
            book.wrong("out_within_budget", one.from, what, &who);
        }
    }
}

/// Lines of the record that give a permit: number, name, and when the first director knew.
fn given(book: &Book<'_>) -> BTreeMap<u64, BTreeMap<String, u64>> {
    let mut given: BTreeMap<u64, BTreeMap<String, u64>> = BTreeMap::new();
    for line in book.history.log.iter().filter(|l| l.msg == "rollout") {
        let words: Vec<&str> = line.text("what").split(' ').collect();
        if let ["permit", number, "for", ..] = words[..]
            && let Ok(number) = number.parse()
        {
            let first =
                given.entry(number).or_default().entry(line.text("member").to_owned()).or_insert(line.at);
            *first = line.at.min(*first);
        }
    }
    given
}

/// All directors know the same permits, numbers grow with time, and nobody leaves twice by one or by one that
/// was not given to it.
fn numbers(book: &mut Book<'_>, out: &[OutBy]) {
    let given = given(book);
    let mut last = 0;
    for (number, names) in &given {
        book.looked("permits_agree", *number as f64);
        let first = names.values().copied().min().unwrap_or(0);
        if names.len() != 1 || first + SECOND < last {
            let names: Vec<&String> = names.keys().collect();
            book.wrong(
                "permits_agree",
                first,
                format!("permit {number} was given to {names:?}, out of order"),
                &[],
            );
        }
        last = last.max(first);
    }
    let mut used = BTreeSet::new();
    for one in out {
        let holder = given.get(&one.number).is_some_and(|n| n.contains_key(&format!("d{}", one.director)));
        book.looked("permits_shown", one.number as f64);
        if !holder || !used.insert(one.number) {
            let what =
                format!("d{} left by permit {}, which is not its own or was used", one.director, one.number);
            book.wrong("permits_shown", one.from, what, &[one.director]);
        }
    }
}

/// What is lost without a permit counts: none is given that passes a budget beside directors that had truly
/// been gone for long enough to be known.
fn beside_lost(book: &mut Book<'_>) {
    let history = book.history;
    let gone = |at: u64| {
        let dead = history.faults.iter().filter(move |f| f.what == "dead");
        dead.filter(move |f| f.from + KNOWN_US < at && at < f.until).flat_map(|f| f.who.iter().cloned())
    };
    for (number, names) in given(book) {
        for (name, at) in names {
            let mut out: BTreeSet<String> = gone(at).collect();
            out.insert(name);
            book.looked("lost_count_as_out", out.len() as f64);
            if out.len() > history.out_most {
                let what = format!("permit {number} was given while these were out: {out:?}");
                book.wrong("lost_count_as_out", at, what, &[]);
            }
        }
    }
}

/// One leader in a term.
fn leaders(book: &mut Book<'_>) {
    let mut terms: BTreeMap<u64, (String, u64)> = BTreeMap::new();
    let history = book.history;
    for line in history.log.iter().filter(|l| l.msg == "agreed log: leader") {
        let term = line.keys.get("term").and_then(|t| t.as_u64()).unwrap_or(0);
        let leader = line.text("leader").to_owned();
        if term == 0 || leader.is_empty() {
            continue;
        }
        book.looked("one_leader_a_term", term as f64);
        let (known, _) = terms.entry(term).or_insert((leader.clone(), line.at));
        if *known != leader {
            let what = format!("{known} and {leader} led in term {term}");
            book.wrong("one_leader_a_term", line.at, what, &[line.director]);
        }
    }
}

/// When streamers were drained and opened, by the record, each once.
fn changed(book: &Book<'_>, begins: &str) -> BTreeSet<(u64, usize)> {
    let of = |l: &LogLine| {
        let streamer: usize = l.text("member").strip_prefix("s-")?.parse().ok()?;
        let agreed_ms = l.keys.get("agreed_ms").and_then(|at| at.as_u64())?;
        (l.msg == "rollout" && l.text("what").starts_with(begins)).then_some((agreed_ms * 1_000, streamer))
    };
    book.history.log.iter().filter_map(of).collect()
}

/// Whether the director that set a session up had served for less time than a drain takes to be in force.
fn just_started(book: &Book<'_>, id: &str, at: u64) -> bool {
    let bare = |id: &str| id.trim_start_matches('0').to_owned();
    let asked = book.history.asked.iter().find(|a| bare(&a.id) == bare(id));
    let serves = |l: &&LogLine| l.msg == "serves" && l.at <= at && at < l.at + IN_FORCE_US;
    asked.is_some_and(|a| book.history.log.iter().filter(serves).any(|l| l.director == a.director))
}

/// No set-up goes to a drained streamer once the drain is in force, and after its opening all directors
/// together keep its cold pace.
fn drained(book: &mut Book<'_>) {
    let history = book.history;
    let opened = changed(book, "opened, cold");
    for (from, streamer) in changed(book, "drained by permit") {
        let until = opened.iter().find(|(at, s)| *s == streamer && *at > from).map_or(u64::MAX, |o| o.0);
        let inside = |at: u64| at > from + IN_FORCE_US && at < until;
        book.looked("drained_closed", 0.0);
        for s in history.set_ups.iter().filter(|s| s.streamer == streamer && inside(s.at)) {
            if just_started(book, &s.id, s.at) {
                continue; // it has not yet heard what is agreed
            }
            book.looked("drained_closed", (s.at - from) as f64 / 1e3);
            let what = format!("s{streamer} takes session {} while it is drained", s.id);
            book.wrong("drained_closed", s.at, what, &[]);
        }
    }
    for (at, streamer) in opened {
        crate::checks::cold_pace(book, streamer, at);
    }
}

/// What persons ordered came to what it had to.
fn orders(book: &mut Book<'_>) {
    for ordered in &book.history.ordered {
        book.looked("orders", ordered.until.saturating_sub(ordered.at) as f64 / 1e3);
        let fits = match ordered.expect.as_str() {
            "done" => ordered.done,
            "refused" => !ordered.done,
            _ => true,
        };
        if !fits || !ordered.text.contains(&ordered.says) {
            let what = format!("{}: {}", ordered.args.join(" "), ordered.text.trim());
            book.wrong("orders", ordered.at, what, &[ordered.director]);
        }
    }
}
