//! Cold streamers: the pace that all controllers together keep, and whose turn it is.
mod common;
use common::*;
use stonewharf::*;

/// All controllers together on one cold streamer, with a request for it every so often at each.
fn cold_set_ups(settings: &Settings, interval: u64, prepare: impl Fn(&mut Controller)) -> Vec<u64> {
    let controllers = settings.controllers;
    let mut fleet: Vec<Controller> = (0..controllers)
        .map(|me| {
            let mut controller = Controller::new(Settings { me, ..settings.clone() }, 1, 0).unwrap();
            prepare(&mut controller);
            controller
        })
        .collect();
    let mut set_ups = Vec::new();
    for step in 0..250u64 {
        for (me, controller) in fleet.iter_mut().enumerate() {
            let now = 100 * S + step * interval + me as u64 * interval / u64::from(controllers);
            let mut out = Vec::new();
            controller.handle(now, Event::Inbound(request(step + 1, 0)), &mut out);
            if let Some(streamer) = sent(&out) {
                set_ups.push(now);
                let (request, report) = (RequestId(step + 1), LoadReport::default());
                let outcome = Outcome::QueueFull;
                let ended = Event::Ended { request, attempt: 0, streamer, outcome, last: true, report };
                controller.handle(now, ended, &mut Vec::new());
            }
        }
    }
    set_ups
}

fn assert_paced(set_ups: &[u64], max_per_s: usize) {
    assert!(!set_ups.is_empty(), "a cold streamer gets set-ups");
    for from in set_ups {
        let burst = set_ups.iter().filter(|t| *t >= from && **t < from + S).count();
        assert!(burst <= max_per_s, "{burst} set-ups in a second");
    }
}

fn list_cold_streamer(controller: &mut Controller) {
    let cold = Entry { started_at: Some(99 * S), ..entry(0, 0) };
    controller.handle(99 * S, Event::List { scope: ListScope::Full, entries: vec![cold] }, &mut Vec::new());
}

#[test]
fn all_controllers_together_keep_the_pace_of_a_cold_streamer() {
    for controllers in [1, 2, 3, 7, 20, 24, 30, 40] {
        // 40 streams over 10 s of warm-up, half of it at first, twice that at most: 4 in any second.
        let set = Settings { controllers, ..settings(idempotent()) };
        assert_paced(&cold_set_ups(&set, 20_000, list_cold_streamer), 4);
    }
}

/// One turn of 71 ms in seven seconds for each of a hundred controllers: at a request or two a second each, new
/// streamers stood all but empty through their warm-up while the others ran short.
#[test]
// 200 streams over 10 s of warm-up, half of it at first, twice that at most: 20 in any second.
fn many_controllers_with_few_requests_each_use_the_pace_of_a_cold_streamer() {
    let set = Settings { controllers: 100, kinds_streams: vec![200], ..settings(idempotent()) };
    assert_paced(&cold_set_ups(&set, 20_000, list_cold_streamer), 20);
    let set_ups = cold_set_ups(&set, 700_000, list_cold_streamer).iter().filter(|t| **t < 108 * S).count();
    assert!(set_ups >= 24, "{set_ups} set-ups in 8 s of 1,100 requests");
}

/// herd+mass: seven in ten of 300 directors restarted at once, with nothing handed over, and took every
/// streamer for cold through a whole warm-up: a third of the viewers who came back to them were refused while
/// links stood half empty. The list tells starts to all directors alike, and a restarted one paces only those.
#[test]
// A fleet a thousand times the usual one, so that 300 controllers' guesses by own sessions leave room.
fn a_restarted_director_takes_only_listed_starts_for_cold() {
    let (fleet_kb, rack_kb, weight_kb) = (12e6, 12e6, 3e6);
    let set = Settings { controllers: 300, me: 7, fleet_kb, rack_kb, weight_kb, ..settings(idempotent()) };
    let mut controller = Controller::new(set, 1, 99 * S).unwrap();
    let started = Entry { started_at: Some(98 * S), ..entry(3, 0) };
    let entries = vec![entry(0, 0), entry(1, 0), entry(2, 0), started];
    controller.handle(99 * S, Event::List { scope: ListScope::Cached, entries }, &mut Vec::new());
    let mut streamers = Vec::new();
    for id in 0..30u64 {
        let mut out = Vec::new();
        let now = 100 * S + id * 30_000;
        controller.handle(now, Event::Inbound(request(id, 0)), &mut out);
        if let Some(streamer) = sent(&out) {
            let started = Event::Started { request: RequestId(id), streamer, latency_us: 20_000 };
            controller.handle(now + 20_000, started, &mut Vec::new());
            streamers.push(streamer);
        }
    }
    assert_eq!(streamers.len(), 30, "all are placed, not {}", streamers.len());
    let at_started = streamers.iter().filter(|s| s.0 == 3).count();
    assert!(at_started <= 1, "the streamer that started keeps its pace: {streamers:?}");
}

/// One that starts again in its place can't know whether the one before it took the turn at a cold streamer that
/// is open: it waits for the next. All together kept the pace but just after such a restart (the halls'
/// property test failed for 3 of 400 seeds, each time there).
#[test]
fn a_restarted_director_waits_for_the_next_cold_turn() {
    let set = Settings { controllers: 2, ..settings(idempotent()) };
    let list = || Event::List {
        scope: ListScope::Cached,
        entries: vec![Entry { started_at: Some(99 * S), ..entry(0, 0) }],
    };
    let mut previous = Controller::new(set.clone(), 1, 99 * S).unwrap();
    previous.handle(99 * S, list(), &mut Vec::new());
    let used_turn = (0..80u64).map(|i| 100 * S + i * 10_000).find(|now| {
        let mut out = Vec::new();
        previous.handle(*now, Event::Inbound(request(*now, 0)), &mut out);
        sent(&out).is_some()
    });
    let used_at = used_turn.expect("a turn of its own");
    let mut restarted = Controller::new(set, 2, used_at + 1_000).unwrap();
    restarted.handle(used_at + 1_000, list(), &mut Vec::new());
    let mut out = Vec::new();
    restarted.handle(used_at + 2_000, Event::Inbound(request(1, 0)), &mut out);
    assert!(sent(&out).is_none(), "the current turn was used already: {out:?}");
}

/// ice9910: turns of all streamers at the same time left a restarted controller idle half the time.
#[test]
fn cold_turns_of_neighbouring_cells_differ() {
    let set = Settings { controllers: 2, ..settings(idempotent()) };
    let mut controller = Controller::new(set, 1, 99 * S).unwrap();
    let entries = (0..4).map(|i| entry(i, i)).collect();
    controller.handle(99 * S, Event::List { scope: ListScope::Cached, entries }, &mut Vec::new());
    for id in 0..4u64 {
        let mut out = Vec::new();
        controller.handle(100 * S + id * 800_000, Event::Inbound(request(id, 0)), &mut out);
        assert!(sent(&out).is_some(), "request {id}: it is this controller's turn at some holder");
    }
}
