//! Failures found at size: many controllers, each alone with its own events.
mod common;
use common::*;
use stonewharf::*;

/// Steps of 200 controllers, each with one session at `rung`, that all hear the same notes, then sweep.
fn steps_together(rung: f64, notes: &[(NoteKind, f64)], sweeps: usize) -> usize {
    let steps_of = |me| {
        let mut b = harness_with_session(settings_of_controller(me, 200), rung);
        for (kind, value) in notes {
            b.report_note(1, StreamerId(0), *kind, *value);
        }
        (0..sweeps).map(|_| rate_changes(&b.fire_timer_after(250_000))).sum::<usize>()
    };
    (0..200).map(steps_of).sum()
}

#[test]
fn many_controllers_together_step_down_by_about_the_excess() {
    let steps = steps_together(2.0, &[(NoteKind::LinkUse, 1.1)], 4);
    assert!(steps > 5 && steps < 120, "each takes its part of the excess, once a report: {steps} of 200");
}

#[test]
fn many_controllers_together_step_up_though_each_part_is_under_a_step() {
    let steps = steps_together(1.0, &[(NoteKind::LinkUse, 0.5), (NoteKind::UplinkUse, 0.6)], 1);
    assert!(steps > 5 && steps < 150, "some step up, not all: {steps} of 200");
}

/// Controllers that ask for loads make up for those that don't; where none asks, ten times each part was ten
/// times too much: in the first second after a handover hundreds of sessions went up, and racks ran short.
#[test]
fn many_controllers_that_ask_for_no_load_step_up_by_their_own_part_alone() {
    let ups = |probe_price: f64| -> usize {
        let set = |me| {
            let full = Settings { rack_kb: 228_000.0, ..settings_of_controller(me, 200) };
            Settings { probes: true, probe_price, report_mode: ReportMode::ProbeOnly, ..full }
        };
        let up = |me: u32| {
            let mut b = harness_with_session(set(me), 2.0);
            b.now += 30 * S;
            rate_changes(&b.fire_timer_after(250_000))
        };
        (0..200).map(up).sum()
    };
    let (asked, silent) = (ups(0.01), ups(0.08));
    assert!(silent * 2 < asked && silent > 5, "{silent} of 200 go up, {asked} where loads are asked for");
}

/// Own sessions times a hundred are off by a quarter at some twenty: controllers that saw too few by chance stepped
/// up on racks that were full, while the others, by the same counts, step nothing down.
#[test]
fn a_guess_by_few_own_sessions_steps_up_only_with_its_spread_as_margin() {
    let up = |sessions: u64| {
        let own = sessions as f64 * 200.0 * 100.0;
        let set = Settings {
            probes: true,
            probe_price: 0.08,
            fleet_kb: own / 0.7,
            rack_kb: own / 0.7,
            ..settings_of_controller(0, 100)
        };
        let set = Settings { weight_kb: own, report_mode: ReportMode::ProbeOnly, ..set };
        let (mut b, _) = Harness::at_start(set, 1);
        for id in 0..sessions {
            b.handle(Event::Preexisting(request(id, 0), StreamerId(id as u32 % 4)));
            b.report_note(id, StreamerId(id as u32 % 4), NoteKind::Rung, 1.0);
        }
        b.now = 50 * S;
        (0..40).map(|_| rate_changes(&b.fire_timer_after(250_000))).sum::<usize>()
    };
    assert_eq!(up(9), 0, "0.7 by nine sessions may be 0.93");
    assert!(up(400) > 0, "0.7 by 400 is under 0.74");
}

#[test]
fn own_counts_alone_step_nothing_down() {
    let mut b = harness_with_session(settings_of_controller(0, 50), 3.0);
    assert_eq!(
        rate_changes(&b.fire_timer_after(250_000)),
        0,
        "50 times own use is over the link, but nobody reported it"
    );
}

#[test]
fn a_request_waits_for_a_probe_but_not_for_a_lost_one() {
    let set = Settings { probes: true, report_mode: ReportMode::ProbeOnly, ..settings_of_controller(0, 50) };
    let mut b = Harness::new(set);
    let out = b.request_session(request(1, 0));
    let asked = out.iter().find_map(|a| if let Action::Probe(at) = a { Some(*at) } else { None });
    let full = asked.expect("asks before it sends");
    assert!(sent_to(&out).is_none() && !refused(&out));
    let report = LoadReport { link: Some(1.0), ..LoadReport::default() };
    let out = b.handle(Event::Probed { streamer: full, outcome: Outcome::Ok, report });
    assert!(sent_to(&out).is_some_and(|at| at != full), "decides by the answer, at once: {out:?}");
    b.report_started(1, sent_to(&out).expect("sent"));
    assert!(sent_to(&b.request_session(request(2, 0))).is_none(), "asks again");
    // Two are asked at most, and neither holds it for more than half a second.
    let sends = (0..5).filter(|_| sent_to(&b.fire_timer_after(250_000)).is_some()).count();
    assert_eq!(sends, 1, "a probe that never came back does not hold it");
}

/// A hundred controllers spread their few sessions over all streamers and opened a new connection for nearly
/// each; own sessions on a link were taken for a sign of others there, which drove them further apart.
#[test]
fn where_connections_cost_each_controller_keeps_to_a_few_streamers() {
    let used = |handshake_price: f64| {
        let mut used = std::collections::BTreeSet::new();
        for me in 0..50 {
            let (mut b, _) = Harness::at_start(
                Settings { handshake_price, ..settings_of_controller(me, 50) },
                u64::from(me),
            );
            b.handle(Event::List {
                scope: ListScope::Full,
                entries: (0..20).map(|i| entry(i, i % 4)).collect(),
            });
            b.now = 20 * S;
            for id in 0..16 {
                b.now += S / 2;
                let at = sent_to(&b.request_session(request(id, 0))).expect("sent");
                b.report_started(id, at);
                b.report_ended(id, at, Outcome::Ok, true);
                used.insert((me, at));
            }
        }
        let streamers = used.iter().map(|u| u.1).collect::<std::collections::BTreeSet<_>>().len();
        (used.len(), streamers)
    };
    let (free, priced) = (used(0.0), used(0.08));
    assert!(priced.0 * 2 < free.0, "connections {priced:?}, {free:?} where they cost nothing");
    assert!(priced.1 >= 15, "they do not herd: {} of 20 streamers are used", priced.1);
}

/// A hundredth of the fleet's sessions tells its load to within some 40 in 100: a controller with a few more than
/// its part took a half empty fleet for full and refused, while nobody had told it of any link.
#[test]
fn where_no_load_is_asked_for_a_few_own_sessions_too_many_refuse_nobody() {
    let turned_away = |reports| {
        let set = Settings {
            probes: true,
            probe_price: 0.08,
            report_mode: reports,
            ..settings_of_controller(0, 100)
        };
        let (mut b, _) = Harness::at_start(set, 1);
        for id in 0..4 {
            b.handle(Event::Preexisting(request(id, 0), StreamerId(id as u32)));
            b.report_note(id, StreamerId(id as u32), NoteKind::Rung, 2.0);
        }
        b.now = S;
        refused(&b.request_session(request(9, 0)))
    };
    assert!(turned_away(ReportMode::InAnswers), "own sessions times a hundred fill all links");
    assert!(!turned_away(ReportMode::ProbeOnly));
}

#[test]
fn pools_of_many_controllers_together_are_the_fleets_slots() {
    let part = |me: u32, controllers: u32| -> usize {
        let set = Settings { controller_index: me, controllers, ..settings_of_controller(0, 300) };
        let (_, logs) = Harness::at_start(set, u64::from(me));
        let log = logs.iter().find_map(|a| if let Action::Log(t) = a { Some(t.clone()) } else { None });
        let digits = log.map_or(String::from("0"), |t| t.split(['[', ']']).nth(1).unwrap().to_string());
        digits.parse().unwrap()
    };
    let (fleet, parts) = (part(0, 1), (0..300).map(|me| part(me, 300)).sum::<usize>());
    assert!(fleet > 20 && parts.abs_diff(fleet) * 2 < fleet, "{parts} in 300 parts of {fleet}");
}

#[test]
fn a_dearer_class_starts_at_a_higher_rate() {
    let classes = vec![class(1.0, Effect::Idempotent), class(3.0, Effect::Idempotent)];
    let start = |class: usize| {
        let mut b = Harness::new(Settings {
            controllers: 50,
            classes: classes.clone(),
            ..settings_of_controller(0, 50)
        });
        let report = LoadReport { link: Some(0.7), uplink: Some(0.7), ..LoadReport::default() };
        for at in 0..4 {
            b.handle(Event::Probed { streamer: StreamerId(at), outcome: Outcome::Ok, report });
        }
        let out = b.request_session(request(1, class));
        assert!(sent_to(&out).is_some(), "{out:?}");
        out.iter()
            .find_map(|a| if let Action::Rate { rung, .. } = a { Some(*rung) } else { None })
            .unwrap_or(0)
    };
    assert!(start(1) > start(0), "rates in proportion to worth: {} and {}", start(1), start(0));
}

#[test]
fn sessions_of_a_tenant_far_past_its_share_step_down_before_others() {
    let tenants = vec![Tenant { quota_per_s: 1.0 }, Tenant { quota_per_s: 1_000.0 }];
    let mut b = Harness::new(Settings { tenants, ..settings_of_controller(0, 2) });
    for id in 1..=40 {
        let mut r = request(id, 0);
        r.tenant = Some(TenantId(usize::from(id <= 2)));
        if let Some(at) = sent_to(&b.request_session(r)) {
            b.report_started(id, at);
            b.report_note(id, at, NoteKind::Rung, 2.0);
        }
    }
    b.now += 2 * S;
    let mut first = None;
    for at in 0..4 {
        b.report_note(1, StreamerId(at), NoteKind::LinkUse, 1.3);
    }
    for action in b.fire_timer_after(250_000) {
        if let (Action::Rate { request, .. }, None) = (action, first) {
            first = Some(request.0);
        }
    }
    assert!(first.is_some_and(|id| id > 2), "the one past its share first: {first:?}");
}
