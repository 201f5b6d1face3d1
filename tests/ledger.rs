//! The session ledger without sockets: a model of a session's states against random steps, and the crossings
//! that are easy to get wrong.
mod common;
use common::*;
use quickcheck::{Gen, QuickCheck};
use std::collections::BTreeMap;
use std::rc::Rc;
use stonewharf::director::*;
use stonewharf::*;

const LINK: ViewerLink = ViewerLink(7);

fn director() -> Director {
    let mut paid = class(2.0, Effect::AtMostOnce);
    paid.lowest_rung = 1;
    let set = settings(vec![paid, class(1.0, Effect::Idempotent)]);
    Director::new(set, 1, 0).expect("settings")
}

/// A director with its list, its clock past the doubts of its own start.
fn ready() -> (Director, Micros) {
    let mut d = director();
    let list = |scope| Input::List { scope, entries: (0..4).map(|i| entry(i, i)).collect() };
    d.turn(0, [list(ListScope::Full)]);
    (d, 20 * S)
}

fn wanted(id: u64, class: usize) -> Input {
    Input::Wanted { link: LINK, request: request(id, class), parcel: Rc::default() }
}

/// The set-up among what is to be done.
fn sent(deeds: &[Deed]) -> Option<(StreamerId, Attempt, Micros)> {
    deeds.iter().find_map(|d| match d {
        Deed::SetUp { streamer, attempt, until, .. } => Some((*streamer, *attempt, *until)),
        _ => None,
    })
}

/// One turn, without deadlines and lines for the log.
fn turn(d: &mut Director, now: Micros, input: Input) -> Vec<Deed> {
    let deeds = d.turn(now, [input]);
    deeds.into_iter().filter(|d| !matches!(d, Deed::Wake(..) | Deed::Log(_) | Deed::Attend(_))).collect()
}

fn stands(streamer: StreamerId, attempt: Attempt, number: Option<u32>) -> Input {
    Input::Stands { streamer, session: attempt.session, number, description: b"as made".to_vec() }
}

/// What the model knows of a session: who is owed what, and what may have run where.
#[derive(Default)]
struct Model {
    class: usize,
    out: Option<(StreamerId, Attempt, Micros)>,
    giving_up: bool,
    may_have_run: bool,
    stands: Option<StreamerId>,
    answered: bool,
    left: bool,
}

/// Plays steps against a director, as its transport, and checks each deed against the model.
fn play(steps: &[(u8, u8, u8)]) -> Result<(), String> {
    let (mut d, mut now) = ready();
    let mut all: BTreeMap<RequestId, Model> = BTreeMap::new();
    let mut up = [Standing::Up; 4];
    let mut timers: Deadlines<Due> = Deadlines::default();
    let quiet = steps.len() as u64 * 20_000 + 40 * S;
    for step in 0..steps.len() + 1 {
        let last = step == steps.len();
        let (kind, a, b) = steps.get(step).copied().unwrap_or_default();
        now += if last { quiet } else { u64::from(b) * 2_000 };
        settle(&mut d, &mut all, &up, &mut timers, (now, a), vec![])
            .map_err(|why| format!("step {step}: {why}"))?;
        let mut inputs = Vec::new();
        let id = RequestId(u64::from(a % 8) + 8 * (step as u64 / 64));
        let at = StreamerId(u32::from(b % 4));
        let known = all.get(&id);
        let out = known.and_then(|m| m.out);
        match (kind % 12, out) {
            _ if last => {}
            (0..=3, _) if known.is_none() => {
                all.insert(id, Model { class: usize::from(b % 2), ..Model::default() });
                inputs.push(wanted(id.0, usize::from(b % 2)));
            }
            (4, Some((streamer, attempt, _))) => inputs.push(stands(streamer, attempt, Some(attempt.number))),
            (5, Some((streamer, attempt, _))) => {
                let outcomes = [Outcome::QueueFull, Outcome::Failed, Outcome::Ignored, Outcome::Reset];
                let outcome = outcomes[usize::from(b % 4)];
                let (session, number, report) = (id, Some(attempt.number), LoadReport::default());
                inputs.push(Input::TurnedAway { streamer, session, number, outcome, report });
            }
            (6, Some((_, attempt, _))) => inputs.push(match b % 3 {
                0 => Input::Broken(attempt),
                1 => Input::Unsent(attempt, Unsent::NoConnection),
                _ => Input::Unsent(attempt, Unsent::Withdrawn),
            }),
            (7, _) => inputs.push(Input::ViewerLeft(LINK, id)),
            (8, _) => {
                let (why, report) =
                    ([Over::Ended, Over::Cut, Over::Left][usize::from(b % 3)], Default::default());
                let number = out.filter(|o| o.0 == at).map(|o| o.1.number);
                let (session, description) = (id, Description::new());
                inputs.push(Input::Released { streamer: at, session, number, why, description, report });
            }
            (9, _) => inputs.push(Input::Lost(at)),
            (10, _) => {
                let mut e = entry(at.0, at.0);
                e.standing = [Standing::Up, Standing::Draining][usize::from(a % 2)];
                up[at.0 as usize] = e.standing;
                inputs.push(Input::List { scope: ListScope::Delta, entries: vec![e] });
            }
            // A word of an attempt that was given up, or of none at all.
            (11, _) => inputs.push(stands(at, Attempt { session: id, number: 0 }, None)),
            _ => {}
        }
        settle(&mut d, &mut all, &up, &mut timers, (now, a), inputs)
            .map_err(|why| format!("step {step}: {why}"))?;
    }
    let unanswered = all.values().filter(|m| !m.answered && !m.left).count();
    if unanswered > 0 || d.owed() > 0 {
        return Err(format!("{unanswered} requests were never answered, {} are on the books", d.owed()));
    }
    Ok(())
}

/// Transport and ledger answer each other until nothing is left, as in a turn of the loop.
fn settle(
    d: &mut Director,
    all: &mut BTreeMap<RequestId, Model>,
    up: &[Standing; 4],
    timers: &mut Deadlines<Due>,
    (now, dice): (Micros, u8),
    mut inputs: Vec<Input>,
) -> Result<(), String> {
    loop {
        while let Some(due) = timers.due(now) {
            inputs.push(Input::Due(due));
        }
        if inputs.is_empty() {
            return Ok(());
        }
        inputs.iter().for_each(|input| hear(all, input));
        for deed in d.turn(now, std::mem::take(&mut inputs)) {
            check(all, up, now, &deed).map_err(|why| format!("{why} at {deed:?}"))?;
            match deed {
                Deed::Wake(at, due) => timers.set(at, due),
                Deed::GiveUp(_, attempt) if dice % 3 == 0 => {
                    inputs.push(Input::Unsent(attempt, Unsent::NoConnection));
                }
                Deed::GiveUp(_, attempt) => inputs.push(Input::GaveUp(attempt)),
                Deed::Probe(streamer) => {
                    let report = LoadReport { link: Some(0.3), ..LoadReport::default() };
                    inputs.push(Input::Probed { streamer, outcome: Outcome::Ok, report });
                }
                _ => {}
            }
        }
    }
}

/// An attempt is over.
fn over(all: &mut BTreeMap<RequestId, Model>, session: &RequestId, number: u32, ran: bool) {
    let attempt = Attempt { session: *session, number };
    if let Some(m) = all.get_mut(session).filter(|m| m.out.is_some_and(|o| o.1 == attempt)) {
        (m.out, m.giving_up) = (None, false);
        m.may_have_run |= ran;
    }
}

fn hear(all: &mut BTreeMap<RequestId, Model>, input: &Input) {
    match input {
        Input::ViewerLeft(_, id) => {
            let Some(m) = all.get_mut(id) else { return };
            m.left |= !m.answered;
            m.stands = None;
        }
        Input::Unsent(attempt, _) => over(all, &attempt.session, attempt.number, false),
        Input::GaveUp(attempt) | Input::Broken(attempt) => over(all, &attempt.session, attempt.number, true),
        Input::TurnedAway { session, number: Some(number), outcome, .. } => {
            over(all, session, *number, !outcome.never_ran());
        }
        Input::Released { session, number, streamer, .. } => {
            let Some(m) = all.get_mut(session) else { return };
            m.stands = m.stands.filter(|at| at != streamer);
            if let Some(number) = number.filter(|_| !m.giving_up) {
                over(all, session, number, true);
            }
        }
        _ => {}
    }
}

fn check(
    all: &mut BTreeMap<RequestId, Model>,
    up: &[Standing; 4],
    now: Micros,
    deed: &Deed,
) -> Result<(), &'static str> {
    let need = |ok: bool, why| if ok { Ok(()) } else { Err(why) };
    match deed {
        Deed::SetUp { streamer, attempt, until, .. } => {
            let m = all.get_mut(&attempt.session).ok_or("a set-up for nobody")?;
            need(m.out.is_none(), "two attempts out at once")?;
            need(!m.answered && !m.left, "a set-up after the answer")?;
            need(m.class == 1 || !m.may_have_run, "a paid set-up that may have run is sent again")?;
            need(up[streamer.0 as usize] == Standing::Up, "a set-up to a streamer that drains")?;
            need(*until > now, "a set-up without time")?;
            m.out = Some((*streamer, *attempt, *until));
        }
        Deed::GiveUp(_, attempt) => {
            let m = all.get_mut(&attempt.session).ok_or("a give-up for nobody")?;
            // In the same turn the attempt may have ended by itself after its time was up.
            need(m.out.is_none_or(|o| o.1 == *attempt), "a give-up of another attempt")?;
            m.giving_up = m.out.is_some();
        }
        Deed::Answer(_, id, _) | Deed::Refuse(_, id, _) | Deed::Fail(_, id) => {
            let m = all.get_mut(id).ok_or("an answer to nobody")?;
            need(!m.answered, "a second answer")?;
            need(!m.left, "an answer to a viewer that has left")?;
            m.answered = true;
            if let Deed::Answer(_, _, description) = deed {
                need(description == b"as made", "an answer that no streamer made")?;
                need(!m.giving_up, "an answer of an attempt that was given up")?;
                m.stands = m.out.take().map(|o| o.0);
                need(m.stands.is_some(), "an answer of no attempt")?;
            }
            let refused = matches!(deed, Deed::Refuse(..));
            need(!refused || m.class == 1 || !m.may_have_run, "a paid set-up that may have run is refused")?;
        }
        Deed::Release(_, id, _) => {
            let m = all.get_mut(id).ok_or("a release to nobody")?;
            need(m.answered, "a release before the answer")?;
        }
        _ => {}
    }
    Ok(())
}

/// Guards the promises of the ledger, whatever comes in and in whatever order: one final answer, one attempt
/// at a time, no paid set-up twice, nothing sent to a streamer that drains, nothing left unanswered.
#[test]
fn random_steps_keep_the_ledgers_promises() {
    let holds = |steps: Vec<(u8, u8, u8)>| match play(&steps) {
        Ok(()) => quickcheck::TestResult::passed(),
        Err(why) => quickcheck::TestResult::error(why),
    };
    let property: fn(Vec<(u8, u8, u8)>) -> quickcheck::TestResult = holds;
    QuickCheck::new().rng(Gen::from_size_and_seed(400, 5)).tests(400).max_tests(400).quickcheck(property);
}

/// A streamer sets up a session whose viewer wants nothing more of it, and says so in one release with the
/// description. Taken for a reset it made every streamer suspect and cost paid viewers their only set-up.
#[test]
fn a_session_that_ends_as_it_begins_is_answered_and_released() {
    let (mut d, now) = ready();
    let (streamer, attempt, _) = sent(&turn(&mut d, now, wanted(1, 0))).expect("a set-up");
    let (session, number, report) = (attempt.session, Some(attempt.number), LoadReport::default());
    let (why, description) = (Over::Ended, b"as made".to_vec());
    let deeds = turn(&mut d, now, Input::Released { streamer, session, number, why, description, report });
    let answer = Deed::Answer(LINK, session, b"as made".to_vec());
    assert_eq!(deeds, [answer, Deed::Release(LINK, session, Over::Ended)]);
}

/// A number that is open on another connection is refused to the second one, which can't end the first either;
/// on the same connection both have failed, since the viewer can't tell them apart. Neither was answered.
#[test]
fn a_taken_number_is_answered_and_leaves_the_others_session_alone() {
    let (mut d, now) = ready();
    let (streamer, attempt, _) = sent(&turn(&mut d, now, wanted(1, 0))).expect("a set-up");
    let (id, other) = (attempt.session, ViewerLink(8));
    let again = Input::Wanted { link: other, request: request(1, 1), parcel: Rc::default() };
    assert_eq!(turn(&mut d, now, again), [Deed::Spurn(other, id)]);
    assert!(turn(&mut d, now, Input::ViewerLeft(other, id)).is_empty());
    let answer = Deed::Answer(LINK, id, b"as made".to_vec());
    assert_eq!(turn(&mut d, now, stands(streamer, attempt, Some(0))), [answer]);
    assert_eq!((d.on_link(LINK), d.on_link(other)), ((0, 1), (0, 0)));

    let (at, attempt, _) = sent(&turn(&mut d, now, wanted(2, 0))).expect("a set-up");
    let deeds = turn(&mut d, now, wanted(2, 1));
    assert_eq!(deeds, [Deed::GiveUp(at, attempt), Deed::Spurn(LINK, attempt.session)]);
    assert!(turn(&mut d, now, Input::GaveUp(attempt)).is_empty());
    assert_eq!(d.owed(), 0);
}

/// Hundreds of requests at once on one connection crowded out all others' answers.
#[test]
fn what_one_connection_asks_beyond_its_part_is_refused_at_once() {
    let (mut d, now) = ready();
    let deeds = d.turn(now, (0..300).map(|id| wanted(id, 0)));
    let refused: Vec<u64> =
        deeds.iter().filter_map(|d| if let Deed::Refuse(_, id, _) = d { Some(id.0) } else { None }).collect();
    assert!((256..300).all(|id| refused.contains(&id)), "{refused:?}");
}

/// One answer that could not be read was taken for a restart: its streamer was barred and, as if cold, had next
/// to nothing for its warm-up. The attempt may have run, so a paid viewer is told that it failed.
#[test]
fn a_spoilt_answer_fails_its_attempt_and_bars_nobody() {
    let (mut d, now) = ready();
    let (streamer, attempt, _) = sent(&turn(&mut d, now, wanted(1, 0))).expect("a set-up");
    assert_eq!(turn(&mut d, now, Input::Spoilt(attempt)), [Deed::Fail(LINK, attempt.session)]);
    let again = (2..40).any(|id| {
        let set_up = sent(&turn(&mut d, now, wanted(id, 0)));
        set_up.is_some_and(|(at, attempt, _)| {
            turn(&mut d, now, stands(at, attempt, Some(0)));
            at == streamer
        })
    });
    assert!(again, "it is used as before");
}

/// Streamers come and go under new names for as long as the director runs: a table of all that were ever
/// seen would grow without end. A number is not given out twice.
#[test]
fn a_name_that_is_gone_is_dropped_for_good() {
    let mut names = settings::Names::default();
    let ids: Vec<u32> = ["a", "b"].iter().map(|n| names.id(n)).collect();
    names.forget(ids[0]);
    assert_eq!((names.known("a"), names.name(ids[0]), names.known("b")), (None, None, Some(ids[1])));
    assert!(!ids.contains(&names.id("a")));
}

/// A give-up and a late answer cross: the session is released at its streamer, its viewer hears nothing more.
#[test]
fn a_late_answer_is_released_and_not_passed_on() {
    let (mut d, now) = ready();
    let (streamer, attempt, until) = sent(&turn(&mut d, now, wanted(1, 0))).expect("a set-up");
    let deeds = turn(&mut d, until, Input::Due(Due::Attempt(attempt)));
    assert_eq!(deeds, [Deed::GiveUp(streamer, attempt)], "nothing else before the give-up is written");
    let deeds = turn(&mut d, until, Input::GaveUp(attempt));
    assert_eq!(deeds, [Deed::Fail(LINK, attempt.session)], "it may have run: failed, not refused");
    let deeds = turn(&mut d, until + 1, stands(streamer, attempt, None));
    assert_eq!(deeds, [Deed::Drop(streamer, attempt.session)]);
}

/// A give-up that can't be written holds the next send, but not the final answer at the end of the time.
#[test]
fn the_answer_does_not_wait_for_a_give_up_that_cannot_be_written() {
    let (mut d, now) = ready();
    let (streamer, attempt, until) = sent(&turn(&mut d, now, wanted(1, 1))).expect("a set-up");
    assert_eq!(turn(&mut d, until, Input::Due(Due::Attempt(attempt))), [Deed::GiveUp(streamer, attempt)]);
    let deeds = turn(&mut d, now + 4 * S, Input::Due(Due::Answer(attempt.session)));
    assert_eq!(deeds, [Deed::Fail(LINK, attempt.session)]);
    assert!(turn(&mut d, now + 4 * S, Input::GaveUp(attempt)).is_empty());
}

/// What stood before a streamer's process started is lost with the process before; what was set up on the
/// new one before its start was told is not.
#[test]
fn a_restart_loses_what_stood_before_it_only() {
    let (mut d, now) = ready();
    let (streamer, attempt, _) = sent(&turn(&mut d, now, wanted(1, 0))).expect("a set-up");
    turn(&mut d, now, stands(streamer, attempt, Some(0)));
    let restarted = |at| Entry { started_at: Some(at), ..entry(streamer.0, streamer.0) };
    let news = |at| Input::List { scope: ListScope::Delta, entries: vec![restarted(at)] };
    turn(&mut d, now + 1, news(now - S));
    assert_eq!(d.standing_at(streamer), 1);
    let deeds = turn(&mut d, now + 2, news(now + 1));
    assert!(deeds.contains(&Deed::Release(LINK, attempt.session, Over::Cut)));
    assert_eq!(d.standing_at(streamer), 0);
}

/// The margin for an answer at the end of the viewer's time is the ledger's own: taken off what the module is
/// told, it put waits just over the module's one second for asking a streamer first under that bound, and
/// hardly a load test was sent.
#[test]
fn the_module_is_told_the_whole_time_and_attempts_end_before_it() {
    let mut set = settings(vec![class(1.0, Effect::AtMostOnce)]);
    (set.probes, set.reports) = (true, ReportMode::ProbeOnly);
    let mut d = Director::new(set, 1, 0).expect("settings");
    let entries = (0..4).map(|i| entry(i, i)).collect();
    turn(&mut d, 0, Input::List { scope: ListScope::Full, entries });
    let (link, parcel, now) = (LINK, Rc::default(), 20 * S);
    let request = Request { left_us: S + 18_000, ..request(1, 0) };
    let deeds = turn(&mut d, now, Input::Wanted { link, request, parcel });
    let [Deed::Probe(streamer)] = deeds[..] else { panic!("not asked first: {deeds:?}") };
    let (outcome, report) = (Outcome::Failed, LoadReport::default());
    let mut deeds = turn(&mut d, now + 1, Input::Probed { streamer, outcome, report });
    if let [Deed::Probe(streamer)] = deeds[..] {
        deeds = turn(&mut d, now + 2, Input::Probed { streamer, outcome, report });
    }
    let (_, _, until) = sent(&deeds).expect("a set-up");
    assert!(until < now + S, "the answer must be out before the viewer's time is up");
}
