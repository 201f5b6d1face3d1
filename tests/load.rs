//! What load reports and status notes tell the decision module about links and uplinks, and what they do not.
mod common;
use common::*;
use stonewharf::*;

/// Load reports from before a handover showed empty links, because its sessions were not there yet. The rack
/// that was probed first was overloaded within two seconds, and its sessions got less than their rate.
#[test]
fn a_load_report_older_than_a_handover_is_ignored() {
    let mut harness = harness_with_session(settings_of_controller(0, 2), 3.0);
    harness.now = S / 2;
    let low_load = LoadReport { link: Some(0.1), uplink: Some(0.1), ..LoadReport::default() };
    let mut sessions_sent_to_it = |now| {
        harness.now = now;
        harness.handle(Event::Preexisting(request(now, 0), StreamerId(0)));
        harness.now += S / 4;
        harness.handle(Event::Probed { streamer: StreamerId(0), outcome: Outcome::Ok, report: low_load });
        (0..8)
            .filter(|id| sent_to(&harness.request_session(request(now + 10 + id, 0))) == Some(StreamerId(0)))
            .count()
    };
    assert_eq!(sessions_sent_to_it(30 * S), 0, "it has the highest load by the own session counts");
}

/// A streamer that stalled although its link was not full was taken for an overloaded uplink: the estimated
/// load of its rack rose to 15, the sessions at healthy streamers of the rack were stepped down to the lowest
/// rung, and none of these streamers was used for 12 s.
#[test]
fn a_stalled_streamer_does_not_mark_its_uplink_as_overloaded() {
    let mut harness = Harness::new(settings(idempotent_classes()));
    let low_load = LoadReport { link: Some(0.5), uplink: Some(0.5), ..LoadReport::default() };
    for at in 0..4 {
        harness.handle(Event::Probed { streamer: StreamerId(at), outcome: Outcome::Ok, report: low_load });
    }
    let placed: Vec<_> =
        (1..=8).filter_map(|id| Some((id, sent_to(&harness.request_session(request(id, 0)))?))).collect();
    placed.iter().for_each(|(id, at)| drop(harness.report_started(*id, *at)));
    let (stalled, at) = placed[0];
    harness.now += 2 * S;
    let mut actions = Vec::new();
    for _ in 0..4 {
        harness.report_note(stalled, at, NoteKind::Delivered, 0.05);
        actions.extend(harness.fire_timer_after(250_000));
    }
    let other_sessions = placed.iter().filter(|p| p.1 != at).map(|p| RequestId(p.0)).collect::<Vec<_>>();
    let has_step =
        |id: &RequestId| actions.iter().any(|a| matches!(a, Action::Rate { request, .. } if request == id));
    assert!(!other_sessions.is_empty() && !other_sessions.iter().any(has_step), "{actions:?}");
    let next = sent_to(&harness.request_session(Request { left_us: S / 2, ..request(20, 0) }));
    assert!(next.is_some_and(|next| next != at), "another streamer is used: {next:?}");
}

/// Notes of incomplete delivery counted against each streamer's link although all streamers of the rack got
/// the same share: other streamers behind the same overloaded uplink were taken to be free. After delivery
/// was complete again, the uplink was considered full for long.
#[test]
fn short_delivery_at_several_streamers_of_a_rack_counts_against_its_uplink() {
    let mut harness = Harness::new(Settings { racks: 2, rack_kb: 6_000.0, ..settings(idempotent_classes()) });
    harness
        .handle(Event::List { scope: ListScope::Full, entries: (0..8).map(|i| entry(i, i % 4)).collect() });
    // Streamers with an even number are in one rack, of which 0 and 2 have one session each. The rack of the
    // others has more.
    for (id, at) in [(1, 0), (2, 2), (3, 1), (4, 3), (5, 5), (6, 7), (7, 1), (8, 3)] {
        harness.handle(Event::Preexisting(request(id, 0), StreamerId(at)));
        harness.report_note(id, StreamerId(at), NoteKind::Rung, f64::from(at % 2 * 2));
    }
    harness.now += 2 * S;
    let rack_of_request =
        |harness: &mut Harness, id: u64| sent_to(&harness.request_session(request(id, 0))).map(|at| at.0 % 2);
    assert_eq!(rack_of_request(&mut harness, 20), Some(0), "the rack with the lower load");
    [(1, 0), (2, 2)]
        .iter()
        .for_each(|(id, at)| drop(harness.report_note(*id, StreamerId(*at), NoteKind::Delivered, 0.8)));
    assert_eq!(rack_of_request(&mut harness, 21), Some(1), "its unused streamers are behind the same uplink");
    harness.now += 2 * S;
    [(1, 0), (2, 2)]
        .iter()
        .for_each(|(id, at)| drop(harness.report_note(*id, StreamerId(*at), NoteKind::Delivered, 1.0)));
    assert_eq!(rack_of_request(&mut harness, 22), Some(0), "complete delivery clears the earlier notes");
}
