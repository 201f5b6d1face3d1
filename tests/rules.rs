//! Each of the six rules, and regressions of the decision module, on hand-written events.
mod common;
use common::*;
use stonewharf::*;

#[test]
fn a_request_is_retried_and_gets_one_final_answer() {
    let mut bench = Harness::new(settings(idempotent_classes()));
    let mut at = sent_to(&bench.request_session(request(1, 0))).expect("sent");
    for _ in 0..3 {
        at = sent_to(&bench.report_ended(1, at, Outcome::QueueFull, false)).expect("sent again elsewhere");
    }
    let out = bench.report_ended(1, at, Outcome::QueueFull, false);
    assert!(
        sent_to(&out).is_none() && refused(&out),
        "all attempts are used: refused at once, with a hold-off"
    );
    assert!(
        bench.report_ended(1, at, Outcome::QueueFull, false).is_empty(),
        "nothing after the final answer"
    );
}

#[test]
fn a_retry_uses_another_streamer_and_stays_within_the_deadline() {
    let mut bench = Harness::new(settings(idempotent_classes()));
    let mut r = request(1, 0);
    r.left_us = 100_000;
    let out = bench.request_session(r);
    let first = sent_to(&out).expect("sent");
    assert!(out.iter().any(|a| matches!(a, Action::Send { try_for_us, .. } if *try_for_us <= 100_000)));
    bench.now += 50_000;
    let out = bench.report_ended(1, first, Outcome::ConnectError, false);
    assert_ne!(sent_to(&out).expect("sent again"), first);
    assert!(out.iter().any(|a| matches!(a, Action::Send { try_for_us, .. } if *try_for_us <= 50_000)));
    bench.now += 50_000;
    let out = bench.report_ended(1, first, Outcome::TimedOut, false);
    assert!(sent_to(&out).is_none() && (refused(&out) || failed(&out)), "no time left: answered at once");
}

#[test]
fn an_at_most_once_set_up_that_may_have_run_is_neither_retried_nor_refused() {
    for outcome in [Outcome::Failed, Outcome::TimedOut, Outcome::Reset, Outcome::Canceled] {
        let mut bench = Harness::new(settings(vec![class(1.0, Effect::AtMostOnce)]));
        let at = sent_to(&bench.request_session(request(1, 0))).expect("sent");
        let out = bench.report_ended(1, at, outcome, false);
        assert!(sent_to(&out).is_none() && !refused(&out) && failed(&out), "{outcome:?}: {out:?}");
    }
    let mut bench = Harness::new(settings(vec![class(1.0, Effect::AtMostOnce)]));
    let at = sent_to(&bench.request_session(request(1, 0))).expect("sent");
    assert!(
        sent_to(&bench.report_ended(1, at, Outcome::QueueFull, false)).is_some(),
        "it provably never ran"
    );
}

#[test]
fn a_deduplicated_set_up_is_retried_only_in_its_cell_and_repeat_window() {
    let mut c = class(1.0, Effect::Deduplicated);
    (c.dedup_scope, c.repeat_window_us) = (DedupScope::Cell, S);
    let mut bench = Harness::new(settings(vec![c]));
    bench.handle(Event::List { scope: ListScope::Delta, entries: (4..8).map(|i| entry(i, i - 4)).collect() });
    let first = sent_to(&bench.request_session(request(1, 0))).expect("sent");
    let out = bench.report_ended(1, first, Outcome::TimedOut, false);
    if let Some(next) = sent_to(&out) {
        assert_eq!(next.0 % 4, first.0 % 4, "same cell");
    }
    bench.now += 2 * S;
    let out = bench.report_ended(1, first, Outcome::TimedOut, false);
    assert!(sent_to(&out).is_none() && !refused(&out) && failed(&out), "after its repeat window: {out:?}");
}

#[test]
fn draining_and_gone_streamers_get_no_set_ups() {
    for standing in [Standing::Draining, Standing::Gone] {
        let mut bench = Harness::new(settings(idempotent_classes()));
        let out: Vec<Entry> = (0..3).map(|i| Entry { standing, ..entry(i, i) }).collect();
        bench.handle(Event::List { scope: ListScope::Delta, entries: out });
        for id in 1..12 {
            if let Some(at) = sent_to(&bench.request_session(request(id, 0))) {
                assert_eq!(at, StreamerId(3));
            }
        }
    }
    let mut bench = Harness::new(settings(idempotent_classes()));
    bench.handle(Event::List { scope: ListScope::Full, entries: vec![entry(2, 2)] });
    assert_eq!(
        sent_to(&bench.request_session(request(1, 0))),
        Some(StreamerId(2)),
        "gone: not in a full list"
    );
}

#[test]
fn only_holders_of_the_title_get_set_ups() {
    let mut bench = Harness::new(settings(idempotent_classes()));
    for id in 1..30 {
        let mut r = request(id, 0);
        (r.start_cell, r.cells_in_row) = (3, 2);
        if let Some(at) = sent_to(&bench.request_session(r)) {
            assert!(at.0 == 3 || at.0 == 0, "cells 3 and 0 hold the title, not {at:?}");
        }
    }
}

#[test]
fn rungs_stay_between_the_lowest_and_the_viewers_best() {
    let mut c = class(1.0, Effect::Idempotent);
    c.lowest_rung = 1;
    let mut bench = Harness::new(settings(vec![c]));
    let mut r = request(1, 0);
    r.max_rung = 2;
    let mut out = bench.request_session(r);
    let at = sent_to(&out).expect("sent");
    out.extend(bench.report_started(1, at));
    for _ in 0..30 {
        out.extend(bench.report_note(1, at, NoteKind::Delivered, 0.5));
        out.extend(bench.fire_timer_after(S));
    }
    let after_overload = out.len();
    for _ in 0..100 {
        out.extend(bench.report_note(1, at, NoteKind::LinkUse, 0.05));
        out.extend(bench.report_note(1, at, NoteKind::UplinkUse, 0.05));
        out.extend(bench.fire_timer_after(S));
    }
    let rungs = |a: &[Action]| -> Vec<usize> {
        a.iter().filter_map(|a| if let Action::Rate { rung, .. } = a { Some(*rung) } else { None }).collect()
    };
    assert!(rungs(&out).iter().all(|r| (1..=2).contains(r)), "{:?}", rungs(&out));
    assert!(rungs(&out[..after_overload]).contains(&1), "stepped down after short delivery");
    assert!(rungs(&out[after_overload..]).contains(&2), "stepped up when room returned");
}

#[test]
fn seats_count_set_ups_in_flight_and_sessions_taken_over() {
    let mut c = class(1.0, Effect::Idempotent);
    c.max_sessions_per_title = 3;
    let mut bench = Harness::new(settings(vec![c]));
    let title = |id| Request { title: TitleId(9), ..request(id, 0) };
    bench.handle(Event::Preexisting(title(1), StreamerId(0)));
    assert!(sent_to(&bench.request_session(title(2))).is_some());
    let at = sent_to(&bench.request_session(title(3))).expect("third seat");
    assert!(refused(&bench.request_session(title(4))), "all seats are taken");
    bench.handle(Event::ClientGone(RequestId(3)));
    assert!(refused(&bench.request_session(title(5))), "the client left, the set-up is still in flight");
    bench.report_ended(3, at, Outcome::Canceled, true);
    assert!(sent_to(&bench.request_session(title(6))).is_some());
}

#[test]
fn retries_stay_within_the_retry_budget() {
    let budget =
        AttemptBudget { base_attempts: 2.0, per_request: 0.1, window_us: 10 * S, max_dial_delay_us: 0 };
    let mut bench = Harness::new(Settings { attempt_budget: Some(budget), ..settings(idempotent_classes()) });
    let mut retries = 0;
    for id in 1..=20 {
        if let Some(at) = sent_to(&bench.request_session(request(id, 0))) {
            retries += usize::from(sent_to(&bench.report_ended(id, at, Outcome::QueueFull, false)).is_some());
        }
    }
    assert!((2..=4).contains(&retries), "2 plus a tenth of 20, not {retries}");
}

/// An attempt that waits for its connection is sent later than it was decided. One decided just after the
/// window of earlier attempts could still share a window with them, counted when the bytes are sent.
#[test]
fn a_retry_counts_for_the_window_plus_the_longest_dial_delay() {
    for (after, allowed) in [(10 * S + S / 5, false), (10 * S + S / 4 + 1, true)] {
        let budget = AttemptBudget {
            base_attempts: 1.0,
            per_request: 0.0,
            window_us: 10 * S,
            max_dial_delay_us: S / 4,
        };
        let mut bench =
            Harness::new(Settings { attempt_budget: Some(budget), ..settings(idempotent_classes()) });
        let retried = |bench: &mut Harness, id| {
            let at = sent_to(&bench.request_session(request(id, 0))).expect("sent");
            sent_to(&bench.report_ended(id, at, Outcome::QueueFull, false)).is_some()
        };
        assert!(retried(&mut bench, 1), "the first is within the budget");
        assert!(!retried(&mut bench, 2), "the second is over the budget");
        bench.now += after;
        assert_eq!(retried(&mut bench, 3), allowed, "after {after} us");
    }
}

/// Requests were refused for lack of room while sessions played at high rungs. One step down from there frees
/// the lowest rate of several sessions. No session is stepped down where that loses more than it earns.
#[test]
fn a_request_without_room_steps_a_session_down_where_that_earns_more() {
    let request_of = |class: usize| {
        let classes = vec![idempotent_class(1.0), idempotent_class(0.1)];
        let (weight_kb, fleet_kb, rack_kb) = (850.0, 3400.0, 3400.0);
        let mut bench = Harness::new(Settings { weight_kb, fleet_kb, rack_kb, ..settings(classes) });
        bench.serve_each_title();
        for id in 1..=4 {
            bench.handle(Event::Preexisting(request(id, 0), StreamerId(id as u32 - 1)));
            bench.report_note(id, StreamerId(id as u32 - 1), NoteKind::Rung, 3.0);
        }
        bench.now += 4 * S;
        bench.request_session(request(50, class))
    };
    let out = request_of(0);
    let stepped_down = |a: &Action| matches!(a, Action::Rate { request, rung: 2 } if request.0 <= 4);
    assert!(sent_to(&out).is_some() && out.iter().filter(|a| stepped_down(a)).count() == 1, "{out:?}");
    let out = request_of(1);
    assert!(refused(&out) && rate_changes(&out) == 0, "{out:?}");
}

/// At a probe price of 0.08 of a session's worth, a hundred controllers with a session or two a second each
/// spent 0.09 of the result on probes and gained nothing.
#[test]
fn probes_that_cost_more_than_they_gain_are_not_sent() {
    let probes_at = |probe_price| {
        let set = Settings {
            probes: true,
            report_mode: ReportMode::ProbeOnly,
            probe_price,
            ..settings_of_controller(0, 100)
        };
        let mut bench = Harness::new(set);
        let out: Vec<_> = (0..10)
            .flat_map(|id| [bench.request_session(request(id, 0)), bench.fire_timer_after(S)].concat())
            .collect();
        out.iter().filter(|a| matches!(a, Action::Probe(_))).count()
    };
    assert_eq!((probes_at(0.01) > 0, probes_at(0.08)), (true, 0));
}

#[test]
fn full_links_refuse_at_once_and_keep_room_for_the_class_of_higher_worth() {
    let mut bench =
        Harness::new(settings(vec![class(1.0, Effect::Idempotent), class(9.0, Effect::Idempotent)]));
    let mut id = 0;
    let mut last_refused = false;
    while id < 400 {
        id += 1;
        let out = bench.request_session(request(id, 0));
        match sent_to(&out) {
            Some(at) => drop(bench.report_started(id, at)),
            None => {
                last_refused = refused(&out);
                break;
            }
        }
    }
    assert!(last_refused, "no room: refused with a hold-off, in the same call");
    let out = bench.request_session(request(1_000, 1));
    assert!(sent_to(&out).is_some(), "room is kept for the class of higher worth: {out:?}");
}

#[test]
fn invalid_values_do_no_harm() {
    let mut bench = Harness::new(settings(idempotent_classes()));
    let at = sent_to(&bench.request_session(request(1, 0))).expect("sent");
    bench.report_started(1, at);
    for v in [f64::NAN, f64::INFINITY, -1.0, 1e300, 0.0] {
        for kind in [NoteKind::Delivered, NoteKind::Rung, NoteKind::LinkUse, NoteKind::UplinkUse] {
            bench.report_note(1, at, kind, v);
            bench.report_note(77, StreamerId(99), kind, v);
        }
        let report = LoadReport { streams: Some(v), link_capped: Some(v), link: Some(v), uplink: Some(v) };
        bench.handle(Event::Probed { streamer: at, outcome: Outcome::Ok, report });
        bench.fire_timer_after(0);
    }
    bench.handle(Event::List { scope: ListScope::Failed, entries: vec![] });
    bench.handle(Event::List { scope: ListScope::Full, entries: vec![] });
    bench.report_ended(99, StreamerId(42), Outcome::Reset, true);
    assert!(refused(&bench.request_session(request(2, 0))), "no streamer is left");
}

#[test]
fn each_kind_of_invalid_settings_has_its_error() {
    let err = |s: Settings| Controller::new(s, 1, 0).err();
    assert_eq!(err(settings(vec![])), Some(SettingsError::NoClasses));
    assert_eq!(
        err(Settings { ladder_kb: vec![], ..settings(idempotent_classes()) }),
        Some(SettingsError::BadLadder)
    );
    let mut c = class(1.0, Effect::Idempotent);
    c.lowest_rung = 9;
    assert_eq!(err(settings(vec![c])), Some(SettingsError::NoRung(0)));
    let none = Some(SettingsError::NoSuchController { index: 3, controllers: 2 });
    assert_eq!(err(Settings { controller_index: 3, controllers: 2, ..settings(idempotent_classes()) }), none);
    assert!(err(Settings { rack_kb: f64::NAN, ..settings(idempotent_classes()) }).is_some());
}

#[test]
fn the_same_events_give_the_same_actions() {
    let run = || {
        let mut bench = Harness::new(settings(idempotent_classes()));
        let mut all = Vec::new();
        for id in 1..100 {
            all.extend(bench.request_session(request(id, 0)));
            all.extend(bench.fire_timer_after(100_000));
        }
        all
    };
    assert_eq!(run(), run());
}

#[test]
fn an_idle_pool_lends_its_slots_while_links_have_room() {
    let mut bench =
        Harness::new(settings(vec![class(1.0, Effect::Idempotent), class(9.0, Effect::Idempotent)]));
    let small = |id| Request { max_rung: 0, ..request(id, 0) };
    bench.serve_each_title();
    let sent_all = (1..=30).filter(|id| sent_to(&bench.request_session(small(*id))).is_some()).count();
    // Split by worth, the class of lower worth owns a tenth of the slots, at most 15. The rest is borrowed.
    assert_eq!(sent_all, 30);
    let at = StreamerId(0);
    for id in 1..=30 {
        bench.report_note(id, at, NoteKind::UplinkUse, 0.99);
    }
    assert!(refused(&bench.request_session(small(99))), "a borrowed slot needs room on the uplink");
}

#[test]
fn discovery_on_request_is_repeated_after_a_failed_call() {
    let subscribes = |actions: &[Action]| actions.iter().any(|a| matches!(a, Action::Subscribe));
    let set = Settings { discovery_on_request: true, ..settings(idempotent_classes()) };
    let mut c = Controller::new(set, 1, 0).unwrap();
    let mut out = Vec::new();
    c.handle(0, Event::List { scope: ListScope::Cached, entries: vec![entry(0, 0)] }, &mut out);
    assert!(subscribes(&out));
    out.clear();
    c.handle(S, Event::Timer(TimerTag(1)), &mut out);
    assert!(!subscribes(&out), "not again so soon");
    c.handle(S, Event::List { scope: ListScope::Failed, entries: vec![] }, &mut out);
    c.handle(S + 250_000, Event::Timer(TimerTag(1)), &mut out);
    assert!(subscribes(&out), "again after a failed call");
}
