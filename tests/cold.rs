//! Cold streamers: the pace that all controllers together keep, and whose turn it is.
mod common;
use common::*;
use stonewharf::*;

/// All controllers together on one cold streamer, with a request for it every so often at each.
fn cold_sends(set: &Settings, every: u64, make: impl Fn(&mut Controller)) -> Vec<u64> {
    let controllers = set.controllers;
    let mut fleet: Vec<Controller> = (0..controllers)
        .map(|me| {
            let mut c = Controller::new(Settings { controller_index: me, ..set.clone() }, 1, 0).unwrap();
            make(&mut c);
            c
        })
        .collect();
    let mut sends = Vec::new();
    for step in 0..250u64 {
        for (me, c) in fleet.iter_mut().enumerate() {
            let now = 100 * S + step * every + me as u64 * every / u64::from(controllers);
            let mut out = Vec::new();
            c.handle(now, Event::Inbound(request(step + 1, 0)), &mut out);
            if let Some(streamer) = sent_to(&out) {
                sends.push(now);
                let (request, report) = (RequestId(step + 1), LoadReport::default());
                let outcome = Outcome::QueueFull;
                let e = Event::Ended { request, attempt: 0, streamer, outcome, last: true, report };
                c.handle(now, e, &mut Vec::new());
            }
        }
    }
    sends
}

fn assert_paced(sends: &[u64], most: usize) {
    assert!(!sends.is_empty(), "a cold streamer is not starved");
    for from in sends {
        let burst = sends.iter().filter(|t| *t >= from && **t < from + S).count();
        assert!(burst <= most, "{burst} set-ups in a second");
    }
}

fn told_cold(c: &mut Controller) {
    let cold = Entry { started_at: Some(99 * S), ..entry(0, 0) };
    c.handle(99 * S, Event::List { scope: ListScope::Full, entries: vec![cold] }, &mut Vec::new());
}

#[test]
fn a_cold_streamer_is_not_pushed_over_by_all_together() {
    for controllers in [1, 2, 3, 7, 20, 24, 30, 40] {
        // 40 streams over 10 s of warm-up, half of it at first, twice that at most: 4 in any second.
        let set = Settings { controllers, ..settings(idempotent_classes()) };
        assert_paced(&cold_sends(&set, 20_000, told_cold), 4);
    }
}

/// One turn of 71 ms in seven seconds for each of a hundred controllers: at a request or two a second each, new
/// streamers stood all but empty through their warm-up while the others ran short.
#[test]
fn the_pace_of_a_cold_streamer_is_used_by_many_controllers_with_little_each() {
    // 200 streams over 10 s of warm-up, half of it at first, twice that at most: 20 in any second.
    let set = Settings { controllers: 100, max_streams_by_kind: vec![200], ..settings(idempotent_classes()) };
    assert_paced(&cold_sends(&set, 20_000, told_cold), 20);
    let few = cold_sends(&set, 700_000, told_cold).iter().filter(|t| **t < 108 * S).count();
    assert!(few >= 24, "{few} set-ups in 8 s of 1,100 requests");
}

/// herd+mass: seven in ten of 300 directors restarted at once, with nothing handed over, and took every
/// streamer for cold through a whole warm-up: a third of the viewers who came back to them were refused while
/// links stood half empty. The list tells starts to all directors alike, and a restarted one paces only those.
#[test]
fn after_an_own_restart_the_list_alone_tells_who_is_cold() {
    // A fleet a thousand times the usual one, so that 300 controllers' guesses by own sessions leave room.
    let (fleet_kb, rack_kb, weight_kb) = (12e6, 12e6, 3e6);
    let set = Settings {
        controllers: 300,
        controller_index: 7,
        fleet_kb,
        rack_kb,
        weight_kb,
        ..settings(idempotent_classes())
    };
    let mut c = Controller::new(set, 1, 99 * S).unwrap();
    let started = Entry { started_at: Some(98 * S), ..entry(3, 0) };
    let entries = vec![entry(0, 0), entry(1, 0), entry(2, 0), started];
    c.handle(99 * S, Event::List { scope: ListScope::Cached, entries }, &mut Vec::new());
    let mut at = Vec::new();
    for id in 0..30u64 {
        let mut out = Vec::new();
        let now = 100 * S + id * 30_000;
        c.handle(now, Event::Inbound(request(id, 0)), &mut out);
        if let Some(streamer) = sent_to(&out) {
            let started = Event::Started { request: RequestId(id), streamer, latency_us: 20_000 };
            c.handle(now + 20_000, started, &mut Vec::new());
            at.push(streamer);
        }
    }
    assert_eq!(at.len(), 30, "all are placed, not {}", at.len());
    assert!(at.iter().filter(|s| s.0 == 3).count() <= 1, "the one that started keeps its pace: {at:?}");
}

/// One that starts again in its place can't know whether the one before it took the turn at a cold streamer that
/// is open: it waits for the next. All together kept the pace but just after such a restart (the halls'
/// property test failed for 3 of 400 seeds, each time there).
#[test]
fn a_director_that_starts_again_waits_for_the_next_turn() {
    let set = Settings { controllers: 2, ..settings(idempotent_classes()) };
    let list = || Event::List {
        scope: ListScope::Cached,
        entries: vec![Entry { started_at: Some(99 * S), ..entry(0, 0) }],
    };
    let mut before = Controller::new(set.clone(), 1, 99 * S).unwrap();
    before.handle(99 * S, list(), &mut Vec::new());
    let took = (0..80u64).map(|i| 100 * S + i * 10_000).find(|now| {
        let mut out = Vec::new();
        before.handle(*now, Event::Inbound(request(*now, 0)), &mut out);
        sent_to(&out).is_some()
    });
    let took = took.expect("a turn of its own");
    let mut again = Controller::new(set, 2, took + 1_000).unwrap();
    again.handle(took + 1_000, list(), &mut Vec::new());
    let mut out = Vec::new();
    again.handle(took + 2_000, Event::Inbound(request(1, 0)), &mut out);
    assert!(sent_to(&out).is_none(), "the open turn was taken already: {out:?}");
}

/// ice9910: turns of all streamers at the same time left a restarted controller idle half the time.
#[test]
fn cold_turns_of_neighbouring_cells_differ() {
    let set = Settings { controllers: 2, ..settings(idempotent_classes()) };
    let mut c = Controller::new(set, 1, 99 * S).unwrap();
    let entries = (0..4).map(|i| entry(i, i)).collect();
    c.handle(99 * S, Event::List { scope: ListScope::Cached, entries }, &mut Vec::new());
    for id in 0..4u64 {
        let mut out = Vec::new();
        c.handle(100 * S + id * 800_000, Event::Inbound(request(id, 0)), &mut out);
        assert!(sent_to(&out).is_some(), "request {id}: some holder's turn is ours");
    }
}
