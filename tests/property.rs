//! Long random legal event sequences, fixed seeds, against an independent check of the rules.
mod common;
use common::*;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{RngCore, SeedableRng};
use std::collections::BTreeMap;
use stonewharf::*;

#[derive(Clone)]
struct Open {
    request: Request,
    out_at: Option<(StreamerId, bool)>, // where, and whether it plays
    attempts: u32,
    may_have_run: bool,
    answered: bool,
    rung: usize,
}

fn play(seed: u64) {
    let mut dice = ChaCha8Rng::seed_from_u64(seed);
    let mut roll = |n: u64| dice.next_u64() % n;
    let mut paid = class(2.0, Effect::AtMostOnce);
    (paid.lowest_rung, paid.max_sessions_per_title) = (1, 4);
    let classes = vec![paid, class(1.0, Effect::Idempotent)];
    let budget = AttemptBudget { free: 3.0, per_request: 0.2, span_us: 5 * S, delay_us: 0 };
    let set = Settings {
        attempt_budget: (seed.is_multiple_of(2)).then_some(budget),
        report_mode: if seed.is_multiple_of(3) { ReportMode::ProbeOnly } else { ReportMode::InAnswers },
        probes: seed.is_multiple_of(3),
        ..settings(classes.clone())
    };
    let mut b = Harness::new(set.clone());
    let mut open: BTreeMap<RequestId, Open> = BTreeMap::new();
    let mut standing: BTreeMap<StreamerId, Standing> =
        (0..4).map(|i| (StreamerId(i), Standing::Up)).collect();
    let (mut taken, mut extra): (Vec<u64>, Vec<u64>) = (vec![], vec![]);
    let mut probes: Vec<StreamerId> = vec![];
    for step in 0..4_000u64 {
        b.now += roll(60_000);
        let busy: Vec<RequestId> =
            open.iter().filter(|(_, o)| o.out_at.is_some()).map(|(id, _)| *id).collect();
        let pick = |n: u64| busy.get(n as usize % busy.len().max(1)).copied();
        let actions = match roll(10) {
            0..=3 => {
                let mut r = request(step + 1, roll(2) as usize);
                (r.max_rung, r.left_us) = (roll(4) as usize, roll(4 * S));
                let new = Open {
                    rung: classes[r.class.0].lowest_rung,
                    request: r.clone(),
                    out_at: None,
                    attempts: 0,
                    may_have_run: false,
                    answered: false,
                };
                open.insert(r.id, new);
                taken.push(b.now);
                b.request_session(r)
            }
            4 => {
                let id = StreamerId(roll(4) as u32);
                let now = [Standing::Up, Standing::Up, Standing::Draining, Standing::Gone][roll(4) as usize];
                standing.insert(id, now);
                let e = Entry { standing: now, started_at: Some(b.now), ..entry(id.0, id.0) };
                b.handle(Event::List { scope: ListScope::Delta, entries: vec![e] })
            }
            5 | 6 => match pick(roll(1 << 32)) {
                Some(id) if open[&id].out_at.is_some_and(|o| !o.1) => {
                    let o = open.get_mut(&id).unwrap();
                    let at = o.out_at.unwrap().0;
                    (o.out_at, o.answered) = (Some((at, true)), true);
                    b.report_started(id.0, at)
                }
                Some(id) => {
                    let kind =
                        [NoteKind::Delivered, NoteKind::LinkUse, NoteKind::UplinkUse][roll(3) as usize];
                    let value = roll(150) as f64 / 100.0;
                    b.report_note(id.0, open[&id].out_at.unwrap().0, kind, value)
                }
                None => vec![],
            },
            7 | 8 => match pick(roll(1 << 32)) {
                Some(id) => {
                    let o = open.get_mut(&id).unwrap();
                    let (at, playing) = o.out_at.take().unwrap();
                    let outcomes = [
                        Outcome::Failed,
                        Outcome::QueueFull,
                        Outcome::TimedOut,
                        Outcome::ConnectError,
                        Outcome::Reset,
                    ];
                    let outcome = if playing { Outcome::Ok } else { outcomes[roll(5) as usize] };
                    o.may_have_run |= !outcome.never_ran();
                    let last = o.answered;
                    b.report_ended(id.0, at, outcome, last)
                }
                None => vec![],
            },
            _ => match probes.pop() {
                Some(streamer) => {
                    let outcome = [Outcome::Ok, Outcome::TimedOut][roll(2) as usize];
                    let load = Some(roll(150) as f64 / 100.0);
                    let report = LoadReport { link: load, uplink: load, ..LoadReport::default() };
                    b.handle(Event::Probed { streamer, outcome, report })
                }
                None => b.fire_timer_after(0),
            },
        };
        for action in &actions {
            match action {
                Action::Send { request, streamer, try_for_us } => {
                    let o = open.get_mut(request).expect("known");
                    assert!(
                        o.out_at.is_none() && !o.answered,
                        "one attempt at a time, none after the answer"
                    );
                    assert!(*try_for_us <= o.request.left_us.max(1), "within the viewer's time");
                    assert_eq!(standing[streamer], Standing::Up, "nothing to a streamer that leaves");
                    let paid = classes[o.request.class.0].effect == Effect::AtMostOnce;
                    assert!(!(paid && o.may_have_run), "no set-up twice");
                    (o.out_at, o.attempts) = (Some((*streamer, false)), o.attempts + 1);
                    if o.attempts > 1 {
                        extra.push(b.now);
                        let within =
                            |times: &[u64]| times.iter().filter(|t| **t + 5 * S > b.now).count() as f64;
                        let most = 3.0 + 0.2 * within(&taken);
                        assert!(set.attempt_budget.is_none() || within(&extra) <= most, "ration of attempts");
                    }
                }
                Action::Rate { request, rung } => {
                    let o = open.get_mut(request).expect("known");
                    let floor = classes[o.request.class.0].lowest_rung;
                    assert!(*rung >= floor && *rung <= o.request.max_rung, "floor and best rung");
                    o.rung = *rung;
                }
                Action::Refuse { request, .. } | Action::EndFailed(request) => {
                    let o = open.get_mut(request).expect("known");
                    assert!(!o.answered && o.out_at.is_none(), "one answer, with nothing out");
                    o.answered = true;
                    let refused = matches!(action, Action::Refuse { .. });
                    let paid = classes[o.request.class.0].effect == Effect::AtMostOnce;
                    assert!(!(refused && paid && o.may_have_run), "no refusal of what may have run");
                }
                Action::Probe(streamer) => probes.push(*streamer),
                _ => {}
            }
        }
        for o in open.values().filter(|_| probes.is_empty()) {
            assert!(o.answered || o.out_at.is_some(), "nothing is held without an attempt or a probe");
        }
        for title in 0..5 {
            let seated =
                |o: &&Open| o.out_at.is_some() && o.request.class.0 == 0 && o.request.title.0 == title;
            assert!(open.values().filter(seated).count() <= 4, "seats");
        }
        open.retain(|_, o| o.out_at.is_some() || !o.answered);
    }
}

#[test]
fn rules_hold_on_random_sequences() {
    for seed in 0..12 {
        play(seed);
    }
}
