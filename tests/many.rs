//! Failures that appear with many controllers, each of which sees only its own events.
mod common;
use common::*;
use stonewharf::*;

/// Number of rung changes by 200 controllers, each with one session at `rung`, that all receive the same
/// notes and then run their periodic timer `sweeps` times.
fn steps_together(rung: f64, notes: &[(NoteKind, f64)], sweeps: usize) -> usize {
    let steps_of = |index| {
        let mut harness = harness_with_session(settings_of_controller(index, 200), rung);
        for (kind, value) in notes {
            harness.report_note(1, StreamerId(0), *kind, *value);
        }
        (0..sweeps).map(|_| rate_changes(&harness.fire_timer_after(250_000))).sum::<usize>()
    };
    (0..200).map(steps_of).sum()
}

#[test]
fn many_controllers_together_step_down_by_about_the_excess() {
    let steps = steps_together(2.0, &[(NoteKind::LinkUse, 1.1)], 4);
    assert!(
        steps > 5 && steps < 120,
        "each corrects its part of the excess, once for each report: {steps} of 200"
    );
}

#[test]
fn many_controllers_together_step_up_although_each_share_is_less_than_a_step() {
    let steps = steps_together(1.0, &[(NoteKind::LinkUse, 0.5), (NoteKind::UplinkUse, 0.6)], 1);
    assert!(steps > 5 && steps < 150, "some step up, but not all: {steps} of 200");
}

/// Controllers that probe for load step up by ten times their share, to make up for those that do not. Where
/// no controller probed, this was ten times too much: hundreds of sessions stepped up within the first second
/// after a handover, and racks were overloaded.
#[test]
fn controllers_that_do_not_probe_step_up_only_by_their_own_share() {
    let step_ups = |probe_price: f64| -> usize {
        let set = |index| {
            let full = Settings { rack_kb: 228_000.0, ..settings_of_controller(index, 200) };
            Settings { probes: true, probe_price, report_mode: ReportMode::ProbeOnly, ..full }
        };
        let step_up = |index: u32| {
            let mut harness = harness_with_session(set(index), 2.0);
            harness.now += 30 * S;
            rate_changes(&harness.fire_timer_after(250_000))
        };
        (0..200).map(step_up).sum()
    };
    let (with_probes, without_probes) = (step_ups(0.01), step_ups(0.08));
    assert!(
        without_probes * 2 < with_probes && without_probes > 5,
        "{without_probes} of 200 step up, {with_probes} with probes"
    );
}

/// A load estimate of own sessions times one hundred controllers is wrong by a quarter at about twenty
/// sessions. Controllers that had too few sessions by chance stepped up on full racks, and nothing
/// compensated for it, since the others step nothing down by such an estimate.
#[test]
fn an_estimate_from_few_sessions_steps_up_only_with_its_spread_as_margin() {
    let step_up = |sessions: u64| {
        let own_load_kb = sessions as f64 * 200.0 * 100.0;
        let set = Settings {
            probes: true,
            probe_price: 0.08,
            fleet_kb: own_load_kb / 0.7,
            rack_kb: own_load_kb / 0.7,
            ..settings_of_controller(0, 100)
        };
        let set = Settings { weight_kb: own_load_kb, report_mode: ReportMode::ProbeOnly, ..set };
        let (mut harness, _) = Harness::at_start(set, 1);
        for id in 0..sessions {
            harness.handle(Event::Preexisting(request(id, 0), StreamerId(id as u32 % 4)));
            harness.report_note(id, StreamerId(id as u32 % 4), NoteKind::Rung, 1.0);
        }
        harness.now = 50 * S;
        (0..40).map(|_| rate_changes(&harness.fire_timer_after(250_000))).sum::<usize>()
    };
    assert_eq!(step_up(9), 0, "an estimate of 0.7 from nine sessions may be 0.93");
    assert!(step_up(400) > 0, "an estimate of 0.7 from 400 sessions is below 0.74");
}

#[test]
fn own_session_counts_alone_cause_no_step_down() {
    let mut harness = harness_with_session(settings_of_controller(0, 50), 3.0);
    assert_eq!(
        rate_changes(&harness.fire_timer_after(250_000)),
        0,
        "50 times the own load exceeds the link, but no report says so"
    );
}

#[test]
fn a_request_waits_for_a_probe_but_not_for_a_lost_one() {
    let set = Settings { probes: true, report_mode: ReportMode::ProbeOnly, ..settings_of_controller(0, 50) };
    let mut harness = Harness::new(set);
    let out = harness.request_session(request(1, 0));
    let probed = out.iter().find_map(|a| if let Action::Probe(at) = a { Some(*at) } else { None });
    let full = probed.expect("probes before it sends");
    assert!(sent_to(&out).is_none() && !refused(&out));
    let report = LoadReport { link: Some(1.0), ..LoadReport::default() };
    let out = harness.handle(Event::Probed { streamer: full, outcome: Outcome::Ok, report });
    assert!(
        sent_to(&out).is_some_and(|at| at != full),
        "decides at once, by the result of the probe: {out:?}"
    );
    harness.report_started(1, sent_to(&out).expect("sent"));
    assert!(sent_to(&harness.request_session(request(2, 0))).is_none(), "probes again");
    // At most two streamers are probed, and each probe delays the request by at most half a second.
    let sends = (0..5).filter(|_| sent_to(&harness.fire_timer_after(250_000)).is_some()).count();
    assert_eq!(sends, 1, "a lost probe does not block the request");
}

/// A hundred controllers spread their few sessions over all streamers and opened a new connection for nearly
/// every session. Own sessions on a link were taken as evidence of other controllers' sessions there, which
/// spread them even more.
#[test]
fn with_costly_handshakes_each_controller_uses_few_streamers() {
    let used = |handshake_price: f64| {
        let mut used = std::collections::BTreeSet::new();
        for index in 0..50 {
            let (mut harness, _) = Harness::at_start(
                Settings { handshake_price, ..settings_of_controller(index, 50) },
                u64::from(index),
            );
            harness.handle(Event::List {
                scope: ListScope::Full,
                entries: (0..20).map(|i| entry(i, i % 4)).collect(),
            });
            harness.now = 20 * S;
            for id in 0..16 {
                harness.now += S / 2;
                let at = sent_to(&harness.request_session(request(id, 0))).expect("sent");
                harness.report_started(id, at);
                harness.report_ended(id, at, Outcome::Ok, true);
                used.insert((index, at));
            }
        }
        let streamers = used.iter().map(|u| u.1).collect::<std::collections::BTreeSet<_>>().len();
        (used.len(), streamers)
    };
    let (free, priced) = (used(0.0), used(0.08));
    assert!(
        priced.0 * 2 < free.0,
        "connections and streamers: {priced:?}, {free:?} where connections cost nothing"
    );
    assert!(priced.1 >= 15, "the controllers choose different streamers: {} of 20 are used", priced.1);
}

/// One hundredth of the fleet's sessions gives its load to within about 40 %. A controller with a few
/// sessions more than its share took a half-empty fleet for full and refused requests, although no report had
/// said that any link was full.
#[test]
fn in_probe_only_mode_a_few_extra_sessions_cause_no_refusal() {
    let is_refused = |report_mode| {
        let set = Settings { probes: true, probe_price: 0.08, report_mode, ..settings_of_controller(0, 100) };
        let (mut harness, _) = Harness::at_start(set, 1);
        for id in 0..4 {
            harness.handle(Event::Preexisting(request(id, 0), StreamerId(id as u32)));
            harness.report_note(id, StreamerId(id as u32), NoteKind::Rung, 2.0);
        }
        harness.now = S;
        refused(&harness.request_session(request(9, 0)))
    };
    assert!(is_refused(ReportMode::InAnswers), "the own sessions times one hundred fill all links");
    assert!(!is_refused(ReportMode::ProbeOnly));
}

#[test]
fn pools_of_many_controllers_add_up_to_the_fleets_slots() {
    let slots = |index: u32, controllers: u32| -> usize {
        let set = Settings { controller_index: index, controllers, ..settings_of_controller(0, 300) };
        let (_, logs) = Harness::at_start(set, u64::from(index));
        let log = logs.iter().find_map(|a| if let Action::Log(t) = a { Some(t.clone()) } else { None });
        let digits = log.map_or(String::from("0"), |t| t.split(['[', ']']).nth(1).unwrap().to_string());
        digits.parse().unwrap()
    };
    let (fleet, parts) = (slots(0, 1), (0..300).map(|index| slots(index, 300)).sum::<usize>());
    assert!(
        fleet > 20 && parts.abs_diff(fleet) * 2 < fleet,
        "300 controllers have {parts} slots in total, one alone {fleet}"
    );
}

#[test]
fn a_class_worth_more_starts_at_a_higher_rung() {
    let classes = vec![class(1.0, Effect::Idempotent), class(3.0, Effect::Idempotent)];
    let start = |class: usize| {
        let mut harness = Harness::new(Settings {
            controllers: 50,
            classes: classes.clone(),
            ..settings_of_controller(0, 50)
        });
        let report = LoadReport { link: Some(0.7), uplink: Some(0.7), ..LoadReport::default() };
        for at in 0..4 {
            harness.handle(Event::Probed { streamer: StreamerId(at), outcome: Outcome::Ok, report });
        }
        let out = harness.request_session(request(1, class));
        assert!(sent_to(&out).is_some(), "{out:?}");
        out.iter()
            .find_map(|a| if let Action::Rate { rung, .. } = a { Some(*rung) } else { None })
            .unwrap_or(0)
    };
    assert!(start(1) > start(0), "rates are proportional to worth: {} and {}", start(1), start(0));
}

#[test]
fn sessions_of_a_tenant_far_over_its_quota_step_down_first() {
    let tenants = vec![Tenant { quota_per_s: 1.0 }, Tenant { quota_per_s: 1_000.0 }];
    let mut harness = Harness::new(Settings { tenants, ..settings_of_controller(0, 2) });
    for id in 1..=40 {
        let mut request = request(id, 0);
        request.tenant = Some(TenantId(usize::from(id <= 2)));
        if let Some(at) = sent_to(&harness.request_session(request)) {
            harness.report_started(id, at);
            harness.report_note(id, at, NoteKind::Rung, 2.0);
        }
    }
    harness.now += 2 * S;
    let mut first = None;
    for at in 0..4 {
        harness.report_note(1, StreamerId(at), NoteKind::LinkUse, 1.3);
    }
    for action in harness.fire_timer_after(250_000) {
        if let (Action::Rate { request, .. }, None) = (action, first) {
            first = Some(request.0);
        }
    }
    assert!(first.is_some_and(|id| id > 2), "a session of the tenant over its quota is first: {first:?}");
}
