//! The terms that halls state for a set-up, case by case.
use stonewharf_core::*;
use stonewharf_halls::{HallPreference, HallSettings, HallState, Halls};

const S: Micros = 1_000_000;
const A: ZoneId = ZoneId(0);
const B: ZoneId = ZoneId(1);

/// Halls as a director of hall A sees them: streamers 0, 2, 4, 6 stand in A, the odd ones in B.
fn halls(own: HallSettings) -> Halls {
    let class = |effect, lowest_rung| Class {
        worth: 1.0,
        target_us: S,
        effect,
        dedup_scope: DedupScope::All,
        repeat_window_us: 0,
        scale: 1.0,
        lowest_rung,
        highest_rung: 1,
        max_sessions_per_title: 0,
        live: false,
    };
    let set = Settings {
        controllers: 2,
        classes: vec![class(Effect::AtMostOnce, 1), class(Effect::Idempotent, 0)],
        ladder_kb: vec![100.0, 300.0],
        ladder_worth: vec![0.3, 1.0],
        fleet_kb: 8_000.0,
        rack_kb: 4_000.0,
        racks: 2,
        cells: 2,
        weight_kb: 1_000.0,
        warm_up_us: 10 * S,
        cold_capacity_fraction: 0.5,
        zone: A,
        ..Settings::default()
    };
    let class = |name: &str| ["replay", "seat-view"].iter().position(|n| *n == name);
    let zone = |name: &str| if name == "hall-a" { A } else { B };
    let mut halls = Halls::new(own, &set, 0, class, zone);
    let entries = (0..8).map(|i| entry(i, Standing::Up, None)).collect();
    tell(&mut halls, 0, Event::List { scope: ListScope::Full, entries });
    halls
}

fn entry(i: u32, standing: Standing, started_at: Option<Micros>) -> Entry {
    let (zone, cell) = (ZoneId(i % 2), i % 2);
    Entry { streamer: StreamerId(i), zone, kind: None, cell, standing, weight: 1.0, started_at }
}

fn tell(halls: &mut Halls, now: Micros, event: Event) -> Vec<String> {
    let mut news = Vec::new();
    halls.observe_event(now, &event, &mut |line| news.push(line));
    news
}

fn contact(halls: &mut Halls, now: Micros, streamer: u32, up: bool) -> Vec<String> {
    tell(halls, now, Event::ConnectResult { streamer: StreamerId(streamer), connected: up })
}

fn lose(halls: &mut Halls, now: Micros, hall: u32) {
    (0..3).for_each(|i| drop(contact(halls, now, hall + 2 * i, false)));
}

fn wanted(id: u64, class: usize, returned: bool) -> Request {
    Request {
        id: RequestId(id),
        class: ClassId(class),
        max_rung: 1,
        left_us: 3 * S,
        returned,
        ..Request::default()
    }
}

fn terms(halls: &Halls, now: Micros, request: &Request, streamer: u32) -> Constraints {
    halls.constraints(now, request, StreamerId(streamer))
}

#[test]
fn tiers_follow_the_order_of_a_class_and_else_the_preference() {
    let order = [("replay".to_owned(), vec!["hall-b".to_owned(), "hall-a".to_owned()])].into();
    let names = vec!["hall-a".to_owned(), "hall-b".to_owned()];
    let h = halls(HallSettings { prefer: HallPreference::Home, order, names, ..HallSettings::default() });
    let tier = |class, streamer| terms(&h, S, &wanted(1, class, false), streamer).tier;
    assert_eq!((tier(0, 0), tier(0, 1)), (1, 0), "replay: hall-b first");
    assert_eq!((tier(1, 0), tier(1, 1)), (0, 1), "seat-view: home first");
}

#[test]
fn a_lost_hall_is_shut_but_for_trials_that_do_no_harm() {
    let mut h = halls(HallSettings::default());
    lose(&mut h, S, 1);
    assert!(matches!(h.state(B), HallState::Lost { .. }));
    assert!(!terms(&h, S, &wanted(1, 1, false), 1).allowed);
    assert!(terms(&h, S, &wanted(1, 1, false), 0).allowed);
    let later = S + 2 * S;
    let (harmless, paid) = (wanted(2, 1, false), wanted(3, 0, false));
    let trial = terms(&h, later, &harmless, 1);
    assert!(trial.allowed && trial.tier < terms(&h, later, &harmless, 0).tier, "a trial goes first");
    assert!(!terms(&h, later, &paid, 1).allowed, "a paid session is no trial");
    h.attempt_sent(later, &harmless, StreamerId(1), 0);
    assert!(!terms(&h, later, &wanted(4, 1, false), 1).allowed, "one trial at a time");
}

#[test]
fn where_all_halls_seem_lost_none_is_shut() {
    let mut h = halls(HallSettings::default());
    lose(&mut h, S, 1);
    lose(&mut h, S, 0);
    for streamer in 0..8 {
        assert!(terms(&h, S, &wanted(1, 0, false), streamer).allowed);
    }
}

#[test]
fn what_spills_stays_within_the_part_and_starts_low() {
    let mut h = halls(HallSettings { spill_share: 0.5, ..HallSettings::default() });
    lose(&mut h, S, 1);
    // Half of hall A's 4,000 kB a second, for one of two directors.
    let part = 1_000.0;
    let mut taken = 0;
    for id in 0..50 {
        let request = wanted(id, 1, true);
        tell(&mut h, S, Event::Inbound(request.clone()));
        let t = terms(&h, S, &request, 0);
        if t.allowed {
            assert!(t.max_rate_kb <= part - h.spill().used_kb() + 1e-9);
            h.attempt_sent(S, &request, StreamerId(0), 0);
            taken += 1;
        }
    }
    assert_eq!(taken, 10, "ten sessions of 100 kB a second");
    h.rung_changed(RequestId(0), 1);
    assert!((h.spill().used_kb() - 1_200.0).abs() < 1e-9, "a step up is booked");
    let (outcome, report) = (Outcome::Ok, LoadReport::default());
    let (request, streamer) = (RequestId(0), StreamerId(0));
    tell(&mut h, S, Event::Ended { request, attempt: 0, streamer, outcome, last: true, report });
    assert!((h.spill().used_kb() - 900.0).abs() < 1e-9, "and an end as well");
}

#[test]
fn a_planned_stop_is_no_evidence_and_an_emptied_hall_is_lost_at_once() {
    let mut h = halls(HallSettings::default());
    // Sessions stand there, so that the streamers stay known.
    for i in [1, 3, 5] {
        h.attempt_sent(S, &wanted(u64::from(i), 1, false), StreamerId(i), 0);
    }
    let entries = [1, 3, 5].map(|i| entry(i, Standing::Draining, None)).to_vec();
    tell(&mut h, S, Event::List { scope: ListScope::Delta, entries });
    lose(&mut h, S, 1);
    assert!(!matches!(h.state(B), HallState::Lost { .. }), "those that drain say nothing of the hall");
    let entries = [1, 3, 5, 7].map(|i| entry(i, Standing::Gone, None)).to_vec();
    let news = tell(&mut h, S, Event::List { scope: ListScope::Delta, entries });
    assert!(news.iter().any(|l| l.contains("discovery lists no running streamer")), "{news:?}");
    let entries = [1, 3].map(|i| entry(i, Standing::Up, Some(3 * S))).to_vec();
    let news = tell(&mut h, 4 * S, Event::List { scope: ListScope::Delta, entries });
    assert!(news.iter().any(|l| l.contains("returns")), "{news:?}");
}

#[test]
fn settings_that_turn_it_off_free_all_terms() {
    let mut h = halls(HallSettings { enabled: false, ..HallSettings::default() });
    lose(&mut h, S, 1);
    assert_eq!(terms(&h, S, &wanted(1, 0, true), 1), Constraints::NONE);
}
