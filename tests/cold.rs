//! Cold streamers: the pace of set-ups that all controllers keep together, and the turns of the controllers.
mod common;
use common::*;
use stonewharf::*;

/// Times of the set-ups that all controllers send to one cold streamer, with a request at each of them every
/// `interval` microseconds.
fn cold_set_ups(settings: &Settings, interval: u64, prepare: impl Fn(&mut Controller)) -> Vec<u64> {
    let controllers = settings.controllers;
    let mut fleet: Vec<Controller> = (0..controllers)
        .map(|me| {
            let mut controller =
                Controller::new(Settings { controller_index: me, ..settings.clone() }, 1, 0).unwrap();
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
            if let Some(streamer) = sent_to(&out) {
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

/// Checks that there are set-ups at all, and at most `max_per_s` of them in any second.
fn assert_paced(set_ups: &[u64], max_per_s: usize) {
    assert!(!set_ups.is_empty(), "a cold streamer gets set-ups");
    for from in set_ups {
        let burst = set_ups.iter().filter(|t| *t >= from && **t < from + S).count();
        assert!(burst <= max_per_s, "{burst} set-ups in a second");
    }
}

/// Lists one streamer that has just started.
fn list_cold_streamer(controller: &mut Controller) {
    let cold = Entry { started_at: Some(99 * S), ..entry(0, 0) };
    controller.handle(99 * S, Event::List { scope: ListScope::Full, entries: vec![cold] }, &mut Vec::new());
}

#[test]
fn all_controllers_together_keep_the_pace_of_a_cold_streamer() {
    for controllers in [1, 2, 3, 7, 20, 24, 30, 40] {
        // 40 streams over a warm-up of 10 s, from half the capacity, at most twice that: 4 in any second.
        let set = Settings { controllers, ..settings(idempotent_classes()) };
        assert_paced(&cold_set_ups(&set, 20_000, list_cold_streamer), 4);
    }
}

/// Each of a hundred controllers had one turn of 71 ms in seven seconds. At a request or two a second each,
/// new streamers stayed almost empty through their warm-up while the others ran out of room.
#[test]
fn many_controllers_with_few_requests_each_use_the_pace_of_a_cold_streamer() {
    // 200 streams over a warm-up of 10 s, from half the capacity, at most twice that: 20 in any second.
    let set = Settings { controllers: 100, max_streams_by_kind: vec![200], ..settings(idempotent_classes()) };
    assert_paced(&cold_set_ups(&set, 20_000, list_cold_streamer), 20);
    let set_ups = cold_set_ups(&set, 700_000, list_cold_streamer).iter().filter(|t| **t < 108 * S).count();
    assert!(set_ups >= 24, "{set_ups} set-ups in 8 s of 1,100 requests");
}

/// Seen in herd+mass: seven in ten of 300 directors restarted at once, without a handover, and took every
/// streamer for cold through a whole warm-up. A third of the viewers who came back to them were refused while
/// links were half empty. The list gives start times to all directors alike; a restarted director paces only
/// the streamers that the list shows as started.
#[test]
fn a_restarted_director_takes_only_listed_starts_for_cold() {
    // A fleet of a thousand times the usual size, so that the estimates of 300 controllers leave room.
    let (fleet_kb, rack_kb, weight_kb) = (12e6, 12e6, 3e6);
    let set = Settings {
        controllers: 300,
        controller_index: 7,
        fleet_kb,
        rack_kb,
        weight_kb,
        ..settings(idempotent_classes())
    };
    let mut controller = Controller::new(set, 1, 99 * S).unwrap();
    let started = Entry { started_at: Some(98 * S), ..entry(3, 0) };
    let entries = vec![entry(0, 0), entry(1, 0), entry(2, 0), started];
    controller.handle(99 * S, Event::List { scope: ListScope::Cached, entries }, &mut Vec::new());
    let mut streamers = Vec::new();
    for id in 0..30u64 {
        let mut out = Vec::new();
        let now = 100 * S + id * 30_000;
        controller.handle(now, Event::Inbound(request(id, 0)), &mut out);
        if let Some(streamer) = sent_to(&out) {
            let started = Event::Started { request: RequestId(id), streamer, latency_us: 20_000 };
            controller.handle(now + 20_000, started, &mut Vec::new());
            streamers.push(streamer);
        }
    }
    assert_eq!(streamers.len(), 30, "all are placed, not {}", streamers.len());
    let at_started = streamers.iter().filter(|s| s.0 == 3).count();
    assert!(at_started <= 1, "the streamer that started keeps its pace: {streamers:?}");
}

/// A restarted director cannot know whether its previous process used the current turn at a cold streamer, so
/// it waits for the next one. Without this the pace was exceeded just after such a restart (the property test
/// of the halls failed for 3 of 400 seeds, each time there).
#[test]
fn a_restarted_director_waits_for_the_next_cold_turn() {
    let set = Settings { controllers: 2, ..settings(idempotent_classes()) };
    let list = || Event::List {
        scope: ListScope::Cached,
        entries: vec![Entry { started_at: Some(99 * S), ..entry(0, 0) }],
    };
    let mut previous = Controller::new(set.clone(), 1, 99 * S).unwrap();
    previous.handle(99 * S, list(), &mut Vec::new());
    let used_turn = (0..80u64).map(|i| 100 * S + i * 10_000).find(|now| {
        let mut out = Vec::new();
        previous.handle(*now, Event::Inbound(request(*now, 0)), &mut out);
        sent_to(&out).is_some()
    });
    let used_at = used_turn.expect("a turn of its own");
    let mut restarted = Controller::new(set, 2, used_at + 1_000).unwrap();
    restarted.handle(used_at + 1_000, list(), &mut Vec::new());
    let mut out = Vec::new();
    restarted.handle(used_at + 2_000, Event::Inbound(request(1, 0)), &mut out);
    assert!(sent_to(&out).is_none(), "the current turn was used already: {out:?}");
}

/// Seen in ice9910: turns at the same time for all streamers left a restarted controller idle half the time.
#[test]
fn cold_turns_of_neighbouring_cells_differ() {
    let set = Settings { controllers: 2, ..settings(idempotent_classes()) };
    let mut controller = Controller::new(set, 1, 99 * S).unwrap();
    let entries = (0..4).map(|i| entry(i, i)).collect();
    controller.handle(99 * S, Event::List { scope: ListScope::Cached, entries }, &mut Vec::new());
    for id in 0..4u64 {
        let mut out = Vec::new();
        controller.handle(100 * S + id * 800_000, Event::Inbound(request(id, 0)), &mut out);
        assert!(sent_to(&out).is_some(), "request {id}: it is this controller's turn at some holder");
    }
}
