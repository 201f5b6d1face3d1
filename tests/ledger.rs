//! The session ledger without sockets: a model of a session's states against random steps, and the crossings
//! that are easy to get wrong.
mod common;
use common::ledger::{LINK, ready, stands, wanted};
use common::*;
use quickcheck::{Gen, QuickCheck};
use std::collections::BTreeMap;
use stonewharf::director::*;
use stonewharf::*;

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
        Deed::SetUp(SetUp { streamer, attempt, until, .. }) => {
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
