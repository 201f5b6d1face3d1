//! Property test of the session ledger without sockets: random steps are checked against a model of the
//! session states, message crossings that are easy to get wrong among them.
mod common;
use common::ledger::{VIEWER_LINK, established, ready_director, session_request};
use common::*;
use quickcheck::{Gen, QuickCheck};
use std::collections::BTreeMap;
use stonewharf::director::*;
use stonewharf::*;

/// What the model knows of a session: its attempt in flight, and whether it is answered or may have run.
#[derive(Default)]
struct SessionModel {
    class: usize,
    in_flight: Option<(StreamerId, Attempt, Micros)>,
    canceling: bool,
    may_have_run: bool,
    established_at: Option<StreamerId>,
    answered: bool,
    viewer_left: bool,
}

/// Runs steps against a director, acting as its transport, and checks each output against the model.
fn run_steps(steps: &[(u8, u8, u8)]) -> Result<(), String> {
    let (mut director, mut now) = ready_director();
    let mut sessions: BTreeMap<RequestId, SessionModel> = BTreeMap::new();
    let mut standings = [Standing::Up; 4];
    let mut timers: Deadlines<DeadlineKind> = Deadlines::default();
    let final_wait_us = steps.len() as u64 * 20_000 + 40 * S;
    for step in 0..steps.len() + 1 {
        let last = step == steps.len();
        let (kind, session_byte, detail_byte) = steps.get(step).copied().unwrap_or_default();
        now += if last { final_wait_us } else { u64::from(detail_byte) * 2_000 };
        run_until_idle(&mut director, &mut sessions, &standings, &mut timers, (now, session_byte), vec![])
            .map_err(|why| format!("step {step}: {why}"))?;
        let mut inputs = Vec::new();
        let id = RequestId(u64::from(session_byte % 8) + 8 * (step as u64 / 64));
        let at = StreamerId(u32::from(detail_byte % 4));
        let model = sessions.get(&id);
        let in_flight = model.and_then(|m| m.in_flight);
        match (kind % 12, in_flight) {
            _ if last => {}
            (0..=3, _) if model.is_none() => {
                sessions.insert(
                    id,
                    SessionModel { class: usize::from(detail_byte % 2), ..SessionModel::default() },
                );
                inputs.push(session_request(id.0, usize::from(detail_byte % 2)));
            }
            (4, Some((streamer, attempt, _))) => {
                inputs.push(established(streamer, attempt, Some(attempt.number)))
            }
            (5, Some((streamer, attempt, _))) => {
                let outcomes = [Outcome::QueueFull, Outcome::Failed, Outcome::Ignored, Outcome::Reset];
                let outcome = outcomes[usize::from(detail_byte % 4)];
                let (session, number, report) = (id, Some(attempt.number), LoadReport::default());
                inputs.push(Input::TurnedAway { streamer, session, number, outcome, report });
            }
            (6, Some((_, attempt, _))) => inputs.push(match detail_byte % 3 {
                0 => Input::Broken(attempt),
                1 => Input::Unsent(attempt, UnsentReason::NoConnection),
                _ => Input::Unsent(attempt, UnsentReason::Withdrawn),
            }),
            (7, _) => inputs.push(Input::ViewerLeft(VIEWER_LINK, id)),
            (8, _) => {
                let (why, report) = (
                    [SessionEnd::Ended, SessionEnd::Cut, SessionEnd::Left][usize::from(detail_byte % 3)],
                    Default::default(),
                );
                let number = in_flight.filter(|o| o.0 == at).map(|o| o.1.number);
                let (session, description) = (id, Description::new());
                inputs.push(Input::Released { streamer: at, session, number, why, description, report });
            }
            (9, _) => inputs.push(Input::Lost(at)),
            (10, _) => {
                let mut e = entry(at.0, at.0);
                e.standing = [Standing::Up, Standing::Draining][usize::from(session_byte % 2)];
                standings[at.0 as usize] = e.standing;
                inputs.push(Input::List { scope: ListScope::Delta, entries: vec![e] });
            }
            // An answer for an attempt that was canceled, or that never existed.
            (11, _) => inputs.push(established(at, Attempt { session: id, number: 0 }, None)),
            _ => {}
        }
        run_until_idle(&mut director, &mut sessions, &standings, &mut timers, (now, session_byte), inputs)
            .map_err(|why| format!("step {step}: {why}"))?;
    }
    let unanswered = sessions.values().filter(|m| !m.answered && !m.viewer_left).count();
    if unanswered > 0 || director.pending_requests() > 0 {
        return Err(format!(
            "{unanswered} requests were never answered, the director holds {} as pending",
            director.pending_requests()
        ));
    }
    Ok(())
}

/// Feeds the transport's reactions back to the director until none is left, as in a turn of the event loop.
fn run_until_idle(
    director: &mut Director,
    sessions: &mut BTreeMap<RequestId, SessionModel>,
    standings: &[Standing; 4],
    timers: &mut Deadlines<DeadlineKind>,
    (now, selector): (Micros, u8),
    mut inputs: Vec<Input>,
) -> Result<(), String> {
    loop {
        while let Some(due) = timers.pop_due(now) {
            inputs.push(Input::Due(due));
        }
        if inputs.is_empty() {
            return Ok(());
        }
        inputs.iter().for_each(|input| observe_input(sessions, input));
        for output in director.turn(now, std::mem::take(&mut inputs)) {
            check_output(sessions, standings, now, &output).map_err(|why| format!("{why} at {output:?}"))?;
            match output {
                Output::Wake(at, due) => timers.set(at, due),
                Output::GiveUp(_, attempt) if selector % 3 == 0 => {
                    inputs.push(Input::Unsent(attempt, UnsentReason::NoConnection));
                }
                Output::GiveUp(_, attempt) => inputs.push(Input::GaveUp(attempt)),
                Output::Probe(streamer) => {
                    let report = LoadReport { link: Some(0.3), ..LoadReport::default() };
                    inputs.push(Input::Probed { streamer, outcome: Outcome::Ok, report });
                }
                _ => {}
            }
        }
    }
}

/// Records in the model that an attempt has ended.
fn end_attempt(
    sessions: &mut BTreeMap<RequestId, SessionModel>,
    session: &RequestId,
    number: u32,
    may_have_run: bool,
) {
    let attempt = Attempt { session: *session, number };
    if let Some(m) = sessions.get_mut(session).filter(|m| m.in_flight.is_some_and(|o| o.1 == attempt)) {
        (m.in_flight, m.canceling) = (None, false);
        m.may_have_run |= may_have_run;
    }
}

/// Updates the model for an input to the director.
fn observe_input(sessions: &mut BTreeMap<RequestId, SessionModel>, input: &Input) {
    match input {
        Input::ViewerLeft(_, id) => {
            let Some(m) = sessions.get_mut(id) else { return };
            m.viewer_left |= !m.answered;
            m.established_at = None;
        }
        Input::Unsent(attempt, _) => end_attempt(sessions, &attempt.session, attempt.number, false),
        Input::GaveUp(attempt) | Input::Broken(attempt) => {
            end_attempt(sessions, &attempt.session, attempt.number, true)
        }
        Input::TurnedAway { session, number: Some(number), outcome, .. } => {
            end_attempt(sessions, session, *number, !outcome.never_ran());
        }
        Input::Released { session, number, streamer, .. } => {
            let Some(m) = sessions.get_mut(session) else { return };
            m.established_at = m.established_at.filter(|at| at != streamer);
            if let Some(number) = number.filter(|_| !m.canceling) {
                end_attempt(sessions, session, number, true);
            }
        }
        _ => {}
    }
}

/// Checks an output of the director against the model, and updates the model for it.
fn check_output(
    sessions: &mut BTreeMap<RequestId, SessionModel>,
    standings: &[Standing; 4],
    now: Micros,
    output: &Output,
) -> Result<(), &'static str> {
    let ensure = |ok: bool, why| if ok { Ok(()) } else { Err(why) };
    match output {
        Output::SetUp(SetUp { streamer, attempt, until, .. }) => {
            let m = sessions.get_mut(&attempt.session).ok_or("a set-up for an unknown session")?;
            ensure(m.in_flight.is_none(), "two attempts in flight at once")?;
            ensure(!m.answered && !m.viewer_left, "a set-up after the final answer")?;
            ensure(m.class == 1 || !m.may_have_run, "a paid set-up that may have run is sent again")?;
            ensure(standings[streamer.0 as usize] == Standing::Up, "a set-up to a draining streamer")?;
            ensure(*until > now, "a set-up whose deadline has passed")?;
            m.in_flight = Some((*streamer, *attempt, *until));
        }
        Output::GiveUp(_, attempt) => {
            let m = sessions.get_mut(&attempt.session).ok_or("a cancellation for an unknown session")?;
            // The attempt may have ended by itself in the same turn, after its deadline passed.
            ensure(m.in_flight.is_none_or(|o| o.1 == *attempt), "a cancellation of another attempt")?;
            m.canceling = m.in_flight.is_some();
        }
        Output::Answer(_, id, _) | Output::Refuse(_, id, _) | Output::Fail(_, id) => {
            let m = sessions.get_mut(id).ok_or("an answer for an unknown session")?;
            ensure(!m.answered, "a second answer")?;
            ensure(!m.viewer_left, "an answer to a viewer that has left")?;
            m.answered = true;
            if let Output::Answer(_, _, description) = output {
                ensure(description == b"as made", "an answer with a description that no streamer sent")?;
                ensure(!m.canceling, "an answer from a canceled attempt")?;
                m.established_at = m.in_flight.take().map(|o| o.0);
                ensure(m.established_at.is_some(), "an answer without an attempt")?;
            }
            let refused = matches!(output, Output::Refuse(..));
            ensure(
                !refused || m.class == 1 || !m.may_have_run,
                "a paid set-up that may have run is refused",
            )?;
        }
        Output::Release(_, id, _) => {
            let m = sessions.get_mut(id).ok_or("a release of an unknown session")?;
            ensure(m.answered, "a release before the final answer")?;
        }
        _ => {}
    }
    Ok(())
}

/// Checks the invariants of the ledger for any inputs in any order: one final answer, one attempt at a
/// time, no paid set-up sent twice, nothing sent to a draining streamer, and no request left unanswered.
#[test]
fn random_steps_preserve_the_ledger_invariants() {
    let check_steps = |steps: Vec<(u8, u8, u8)>| match run_steps(&steps) {
        Ok(()) => quickcheck::TestResult::passed(),
        Err(why) => quickcheck::TestResult::error(why),
    };
    let property: fn(Vec<(u8, u8, u8)>) -> quickcheck::TestResult = check_steps;
    QuickCheck::new().rng(Gen::from_size_and_seed(400, 5)).tests(400).max_tests(400).quickcheck(property);
}
