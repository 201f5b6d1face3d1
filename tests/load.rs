//! What reports and notes say of links and uplinks, and what they do not.
mod common;
use common::*;
use stonewharf::*;

/// Reports made before the sessions of a handover were there told of empty links: the rack that was asked first
/// was flooded in the first two seconds and delivered short.
#[test]
fn a_report_older_than_the_handover_is_not_believed() {
    let mut b = harness_with_session(settings_of_controller(0, 2), 3.0);
    b.now = S / 2;
    let calm = LoadReport { link: Some(0.1), uplink: Some(0.1), ..LoadReport::default() };
    let mut flooded = |now| {
        b.now = now;
        b.handle(Event::Preexisting(request(now, 0), StreamerId(0)));
        b.now += S / 4;
        b.handle(Event::Probed { streamer: StreamerId(0), outcome: Outcome::Ok, report: calm });
        (0..8)
            .filter(|id| sent_to(&b.request_session(request(now + 10 + id, 0))) == Some(StreamerId(0)))
            .count()
    };
    assert_eq!(flooded(30 * S), 0, "it is the fullest by own account");
}

/// One streamer that stalled with its link clear was taken for a short uplink: the account of its rack went to
/// 15, its healthy neighbours' sessions were stepped to the floor, and nothing was sent to any for 12 s.
#[test]
fn a_stalled_streamer_is_not_taken_for_a_short_uplink() {
    let mut b = Harness::new(settings(idempotent_classes()));
    let calm = LoadReport { link: Some(0.5), uplink: Some(0.5), ..LoadReport::default() };
    for at in 0..4 {
        b.handle(Event::Probed { streamer: StreamerId(at), outcome: Outcome::Ok, report: calm });
    }
    let placed: Vec<_> =
        (1..=8).filter_map(|id| Some((id, sent_to(&b.request_session(request(id, 0)))?))).collect();
    placed.iter().for_each(|(id, at)| drop(b.report_started(*id, *at)));
    let (stalled, at) = placed[0];
    b.now += 2 * S;
    let mut steps = Vec::new();
    for _ in 0..4 {
        b.report_note(stalled, at, NoteKind::Delivered, 0.05);
        steps.extend(b.fire_timer_after(250_000));
    }
    let elsewhere = placed.iter().filter(|p| p.1 != at).map(|p| RequestId(p.0)).collect::<Vec<_>>();
    let stepped =
        |id: &RequestId| steps.iter().any(|a| matches!(a, Action::Rate { request, .. } if request == id));
    assert!(!elsewhere.is_empty() && !elsewhere.iter().any(stepped), "{steps:?}");
    let next = sent_to(&b.request_session(Request { left_us: S / 2, ..request(20, 0) }));
    assert!(next.is_some_and(|next| next != at), "the others are used, the stalled one is not: {next:?}");
}

/// Notes of short delivery were put down to each streamer's link although its whole rack got the same share: its
/// neighbours, behind the same short uplink, were taken for free. Once whole again it was held full for long.
#[test]
fn streamers_of_a_rack_that_are_short_together_are_short_of_its_uplink() {
    let mut b = Harness::new(Settings { racks: 2, rack_kb: 6_000.0, ..settings(idempotent_classes()) });
    b.handle(Event::List { scope: ListScope::Full, entries: (0..8).map(|i| entry(i, i % 4)).collect() });
    // Streamers with an even number are in one rack; 0 and 2 hold a session each, the others' rack many.
    for (id, at) in [(1, 0), (2, 2), (3, 1), (4, 3), (5, 5), (6, 7), (7, 1), (8, 3)] {
        b.handle(Event::Preexisting(request(id, 0), StreamerId(at)));
        b.report_note(id, StreamerId(at), NoteKind::Rung, f64::from(at % 2 * 2));
    }
    b.now += 2 * S;
    let rack = |b: &mut Harness, id: u64| sent_to(&b.request_session(request(id, 0))).map(|at| at.0 % 2);
    assert_eq!(rack(&mut b, 20), Some(0), "the emptier one");
    [(1, 0), (2, 2)]
        .iter()
        .for_each(|(id, at)| drop(b.report_note(*id, StreamerId(*at), NoteKind::Delivered, 0.8)));
    assert_eq!(rack(&mut b, 21), Some(1), "its free streamers are behind the same uplink");
    b.now += 2 * S;
    [(1, 0), (2, 2)]
        .iter()
        .for_each(|(id, at)| drop(b.report_note(*id, StreamerId(*at), NoteKind::Delivered, 1.0)));
    assert_eq!(rack(&mut b, 22), Some(0), "whole again: what was told before is forgotten");
}
