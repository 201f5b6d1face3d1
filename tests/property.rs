//! Long random sequences of legal events, with fixed seeds, against an independent check of the rules.
mod common;
use common::*;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{RngCore, SeedableRng};
use std::collections::BTreeMap;
use stonewharf::*;

/// What the check knows of a request that is open or whose attempt has not ended.
#[derive(Clone)]
struct RequestState {
    request: Request,
    /// The streamer of the attempt or session, and whether it plays.
    in_flight: Option<(StreamerId, bool)>,
    attempts: u32,
    may_have_run: bool,
    answered: bool,
    rung: usize,
}

/// Runs one sequence and checks every action.
fn run_sequence(seed: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut random = |n: u64| rng.next_u64() % n;
    let mut paid = class(2.0, Effect::AtMostOnce);
    (paid.lowest_rung, paid.max_sessions_per_title) = (1, 4);
    let classes = vec![paid, class(1.0, Effect::Idempotent)];
    let budget =
        AttemptBudget { base_attempts: 3.0, per_request: 0.2, window_us: 5 * S, max_dial_delay_us: 0 };
    let settings = Settings {
        attempt_budget: (seed.is_multiple_of(2)).then_some(budget),
        report_mode: if seed.is_multiple_of(3) { ReportMode::ProbeOnly } else { ReportMode::InAnswers },
        probes: seed.is_multiple_of(3),
        ..common::settings(classes.clone())
    };
    let mut bench = Harness::new(settings.clone());
    let mut open: BTreeMap<RequestId, RequestState> = BTreeMap::new();
    let mut standing: BTreeMap<StreamerId, Standing> =
        (0..4).map(|i| (StreamerId(i), Standing::Up)).collect();
    let (mut request_times, mut retry_times): (Vec<u64>, Vec<u64>) = (vec![], vec![]);
    let mut probes: Vec<StreamerId> = vec![];
    for step in 0..4_000u64 {
        bench.now += random(60_000);
        let active: Vec<RequestId> =
            open.iter().filter(|(_, state)| state.in_flight.is_some()).map(|(id, _)| *id).collect();
        let pick = |n: u64| active.get(n as usize % active.len().max(1)).copied();
        let actions = match random(10) {
            0..=3 => {
                let mut r = request(step + 1, random(2) as usize);
                (r.max_rung, r.left_us) = (random(4) as usize, random(4 * S));
                let new = RequestState {
                    rung: classes[r.class.0].lowest_rung,
                    request: r.clone(),
                    in_flight: None,
                    attempts: 0,
                    may_have_run: false,
                    answered: false,
                };
                open.insert(r.id, new);
                request_times.push(bench.now);
                bench.request_session(r)
            }
            4 => {
                let id = StreamerId(random(4) as u32);
                let now =
                    [Standing::Up, Standing::Up, Standing::Draining, Standing::Gone][random(4) as usize];
                standing.insert(id, now);
                let e = Entry { standing: now, started_at: Some(bench.now), ..entry(id.0, id.0) };
                bench.handle(Event::List { scope: ListScope::Delta, entries: vec![e] })
            }
            5 | 6 => match pick(random(1 << 32)) {
                Some(id) if open[&id].in_flight.is_some_and(|o| !o.1) => {
                    let state = open.get_mut(&id).unwrap();
                    let at = state.in_flight.unwrap().0;
                    (state.in_flight, state.answered) = (Some((at, true)), true);
                    bench.report_started(id.0, at)
                }
                Some(id) => {
                    let kind =
                        [NoteKind::Delivered, NoteKind::LinkUse, NoteKind::UplinkUse][random(3) as usize];
                    let value = random(150) as f64 / 100.0;
                    bench.report_note(id.0, open[&id].in_flight.unwrap().0, kind, value)
                }
                None => vec![],
            },
            7 | 8 => match pick(random(1 << 32)) {
                Some(id) => {
                    let state = open.get_mut(&id).unwrap();
                    let (at, playing) = state.in_flight.take().unwrap();
                    let outcomes = [
                        Outcome::Failed,
                        Outcome::QueueFull,
                        Outcome::TimedOut,
                        Outcome::ConnectError,
                        Outcome::Reset,
                    ];
                    let outcome = if playing { Outcome::Ok } else { outcomes[random(5) as usize] };
                    state.may_have_run |= !outcome.never_ran();
                    let last = state.answered;
                    bench.report_ended(id.0, at, outcome, last)
                }
                None => vec![],
            },
            _ => match probes.pop() {
                Some(streamer) => {
                    let outcome = [Outcome::Ok, Outcome::TimedOut][random(2) as usize];
                    let load = Some(random(150) as f64 / 100.0);
                    let report = LoadReport { link: load, uplink: load, ..LoadReport::default() };
                    bench.handle(Event::Probed { streamer, outcome, report })
                }
                None => bench.fire_timer_after(0),
            },
        };
        for action in &actions {
            match action {
                Action::Send { request, streamer, try_for_us } => {
                    let state = open.get_mut(request).expect("known");
                    assert!(
                        state.in_flight.is_none() && !state.answered,
                        "one attempt at a time, none after the answer"
                    );
                    assert!(
                        *try_for_us <= state.request.left_us.max(1),
                        "the time-out stays within the viewer's time"
                    );
                    assert_eq!(standing[streamer], Standing::Up, "no set-up at a draining or gone streamer");
                    let paid = classes[state.request.class.0].effect == Effect::AtMostOnce;
                    assert!(!(paid && state.may_have_run), "an at-most-once set-up is not repeated");
                    (state.in_flight, state.attempts) = (Some((*streamer, false)), state.attempts + 1);
                    if state.attempts > 1 {
                        retry_times.push(bench.now);
                        let within =
                            |times: &[u64]| times.iter().filter(|t| **t + 5 * S > bench.now).count() as f64;
                        let max_retries = 3.0 + 0.2 * within(&request_times);
                        assert!(
                            settings.attempt_budget.is_none() || within(&retry_times) <= max_retries,
                            "retry budget"
                        );
                    }
                }
                Action::Rate { request, rung } => {
                    let state = open.get_mut(request).expect("known");
                    let floor = classes[state.request.class.0].lowest_rung;
                    assert!(*rung >= floor && *rung <= state.request.max_rung, "lowest and best rung");
                    state.rung = *rung;
                }
                Action::Refuse { request, .. } | Action::EndFailed(request) => {
                    let state = open.get_mut(request).expect("known");
                    assert!(
                        !state.answered && state.in_flight.is_none(),
                        "one answer, with no attempt in flight"
                    );
                    state.answered = true;
                    let refused = matches!(action, Action::Refuse { .. });
                    let paid = classes[state.request.class.0].effect == Effect::AtMostOnce;
                    assert!(
                        !(refused && paid && state.may_have_run),
                        "no refusal of a set-up that may have run"
                    );
                }
                Action::Probe(streamer) => probes.push(*streamer),
                _ => {}
            }
        }
        for state in open.values().filter(|_| probes.is_empty()) {
            assert!(
                state.answered || state.in_flight.is_some(),
                "no request waits without an attempt or a probe"
            );
        }
        for title in 0..5 {
            let seated = |state: &&RequestState| {
                state.in_flight.is_some() && state.request.class.0 == 0 && state.request.title.0 == title
            };
            assert!(open.values().filter(seated).count() <= 4, "seats");
        }
        open.retain(|_, state| state.in_flight.is_some() || !state.answered);
    }
}

#[test]
fn rules_hold_on_random_event_sequences() {
    for seed in 0..12 {
        run_sequence(seed);
    }
}
