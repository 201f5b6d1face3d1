//! Tests of the constraints that halls put on set-ups.
use stonewharf_core::*;
use stonewharf_halls::{HallPreference, HallSettings, HallState, Halls};

const SECOND: Micros = 1_000_000;
const HALL_A: ZoneId = ZoneId(0);
const HALL_B: ZoneId = ZoneId(1);

/// Halls as a director of hall A sees them: streamers 0, 2, 4 and 6 are in hall A, the odd ones in hall B.
fn halls(config: HallSettings) -> Halls {
    let class = |effect, lowest_rung| Class {
        worth: 1.0,
        target_us: SECOND,
        effect,
        dedup_scope: DedupScope::All,
        repeat_window_us: 0,
        scale: 1.0,
        lowest_rung,
        highest_rung: 1,
        max_sessions_per_title: 0,
        live: false,
    };
    let settings = Settings {
        controllers: 2,
        classes: vec![class(Effect::AtMostOnce, 1), class(Effect::Idempotent, 0)],
        ladder_kb: vec![100.0, 300.0],
        ladder_worth: vec![0.3, 1.0],
        fleet_kb: 8_000.0,
        rack_kb: 4_000.0,
        racks: 2,
        cells: 2,
        weight_kb: 1_000.0,
        warm_up_us: 10 * SECOND,
        cold_capacity_fraction: 0.5,
        zone: HALL_A,
        ..Settings::default()
    };
    let class = |name: &str| ["replay", "seat-view"].iter().position(|n| *n == name);
    let zone = |name: &str| if name == "hall-a" { HALL_A } else { HALL_B };
    let mut halls = Halls::new(config, &settings, 0, class, zone);
    let entries = (0..8).map(|i| entry(i, Standing::Up, None)).collect();
    observe(&mut halls, 0, Event::List { scope: ListScope::Full, entries });
    halls
}

fn entry(i: u32, standing: Standing, started_at: Option<Micros>) -> Entry {
    let (zone, cell) = (ZoneId(i % 2), i % 2);
    Entry { streamer: StreamerId(i), zone, kind: None, cell, standing, weight: 1.0, started_at }
}

fn observe(halls: &mut Halls, now: Micros, event: Event) -> Vec<String> {
    let mut log = Vec::new();
    halls.observe_event(now, &event, &mut |line| log.push(line));
    log
}

fn connect_result(halls: &mut Halls, now: Micros, streamer: u32, connected: bool) -> Vec<String> {
    observe(halls, now, Event::ConnectResult { streamer: StreamerId(streamer), connected })
}

fn lose_hall(halls: &mut Halls, now: Micros, hall: u32) {
    (0..3).for_each(|i| drop(connect_result(halls, now, hall + 2 * i, false)));
}

fn request(id: u64, class: usize, returned: bool) -> Request {
    Request {
        id: RequestId(id),
        class: ClassId(class),
        max_rung: 1,
        left_us: 3 * SECOND,
        returned,
        ..Request::default()
    }
}

fn constraints(halls: &Halls, now: Micros, request: &Request, streamer: u32) -> Constraints {
    halls.constraints(now, request, StreamerId(streamer))
}

#[test]
fn tiers_follow_the_class_order_or_else_the_preference() {
    let order = [("replay".to_owned(), vec!["hall-b".to_owned(), "hall-a".to_owned()])].into();
    let names = vec!["hall-a".to_owned(), "hall-b".to_owned()];
    let halls = halls(HallSettings { prefer: HallPreference::Home, order, names, ..HallSettings::default() });
    let tier = |class, streamer| constraints(&halls, SECOND, &request(1, class, false), streamer).tier;
    assert_eq!((tier(0, 0), tier(0, 1)), (1, 0), "replay: hall-b first");
    assert_eq!((tier(1, 0), tier(1, 1)), (0, 1), "seat-view: home first");
}

#[test]
fn a_lost_hall_admits_only_trials_that_can_be_retried() {
    let mut halls = halls(HallSettings::default());
    lose_hall(&mut halls, SECOND, 1);
    assert!(matches!(halls.state(HALL_B), HallState::Lost { .. }));
    assert!(!constraints(&halls, SECOND, &request(1, 1, false), 1).allowed);
    assert!(constraints(&halls, SECOND, &request(1, 1, false), 0).allowed);
    let later = SECOND + 2 * SECOND;
    let (idempotent, paid) = (request(2, 1, false), request(3, 0, false));
    let trial = constraints(&halls, later, &idempotent, 1);
    assert!(
        trial.allowed && trial.tier < constraints(&halls, later, &idempotent, 0).tier,
        "a trial goes first"
    );
    assert!(!constraints(&halls, later, &paid, 1).allowed, "a paid session is never used as a trial");
    halls.attempt_sent(later, &idempotent, StreamerId(1), 0);
    assert!(!constraints(&halls, later, &request(4, 1, false), 1).allowed, "one trial at a time");
}

#[test]
fn if_all_halls_seem_lost_none_is_closed() {
    let mut halls = halls(HallSettings::default());
    lose_hall(&mut halls, SECOND, 1);
    lose_hall(&mut halls, SECOND, 0);
    for streamer in 0..8 {
        assert!(constraints(&halls, SECOND, &request(1, 0, false), streamer).allowed);
    }
}

#[test]
fn spilled_sessions_stay_within_the_share() {
    let mut halls = halls(HallSettings { spill_share: 0.5, ..HallSettings::default() });
    lose_hall(&mut halls, SECOND, 1);
    // Half of hall A's 4,000 kB a second, for one of two directors.
    let share_kb = 1_000.0;
    let mut admitted = 0;
    for id in 0..50 {
        let request = request(id, 1, true);
        observe(&mut halls, SECOND, Event::Inbound(request.clone()));
        let constraints = constraints(&halls, SECOND, &request, 0);
        if constraints.allowed {
            assert!(constraints.max_rate_kb <= share_kb - halls.spill().used_kb() + 1e-9);
            halls.attempt_sent(SECOND, &request, StreamerId(0), 0);
            admitted += 1;
        }
    }
    assert_eq!(admitted, 10, "ten sessions of 100 kB a second");
    halls.rung_changed(RequestId(0), 1);
    assert!((halls.spill().used_kb() - 1_200.0).abs() < 1e-9, "the higher rate is counted");
    let (outcome, report) = (Outcome::Ok, LoadReport::default());
    let (request, streamer) = (RequestId(0), StreamerId(0));
    observe(&mut halls, SECOND, Event::Ended { request, attempt: 0, streamer, outcome, last: true, report });
    assert!((halls.spill().used_kb() - 900.0).abs() < 1e-9, "and an ended session no longer");
}

#[test]
fn draining_is_no_evidence_but_a_hall_without_streamers_is_lost() {
    let mut halls = halls(HallSettings::default());
    // Streamers with sessions stay known after they are gone.
    for i in [1, 3, 5] {
        halls.attempt_sent(SECOND, &request(u64::from(i), 1, false), StreamerId(i), 0);
    }
    let entries = [1, 3, 5].map(|i| entry(i, Standing::Draining, None)).to_vec();
    observe(&mut halls, SECOND, Event::List { scope: ListScope::Delta, entries });
    lose_hall(&mut halls, SECOND, 1);
    assert!(
        !matches!(halls.state(HALL_B), HallState::Lost { .. }),
        "draining streamers are no evidence about the hall"
    );
    let entries = [1, 3, 5, 7].map(|i| entry(i, Standing::Gone, None)).to_vec();
    let log = observe(&mut halls, SECOND, Event::List { scope: ListScope::Delta, entries });
    assert!(log.iter().any(|l| l.contains("discovery lists no running streamer")), "{log:?}");
    let entries = [1, 3].map(|i| entry(i, Standing::Up, Some(3 * SECOND))).to_vec();
    let log = observe(&mut halls, 4 * SECOND, Event::List { scope: ListScope::Delta, entries });
    assert!(log.iter().any(|l| l.contains("returns")), "{log:?}");
}

#[test]
fn disabled_halls_constrain_nothing() {
    let mut halls = halls(HallSettings { enabled: false, ..HallSettings::default() });
    lose_hall(&mut halls, SECOND, 1);
    assert_eq!(constraints(&halls, SECOND, &request(1, 0, true), 1), Constraints::NONE);
}
