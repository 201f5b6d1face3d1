//! Hand-over of established sessions and their rungs from one process to its successor.
mod common;
use common::*;
use stonewharf::director::{DeadlineKind, Director, Input, Output, ViewerLink};
use stonewharf::*;

/// Returns the rungs that a director sets within 2 s after sessions at the top rung are handed over to it.
fn rungs_set_after_hand_over(inherited: &[(RequestId, usize)]) -> Vec<usize> {
    let mut director = Director::new(settings(vec![class(1.0, Effect::Idempotent)]), 7, 0).expect("settings");
    let entries = (0..4).map(|i| entry(i, i)).collect();
    director.turn(0, [Input::List { scope: ListScope::Full, entries }]);
    director.set_inherited_rungs(inherited.to_vec());
    let playing =
        |id| Input::Playing { link: ViewerLink(1), request: request(id, 0), streamer: StreamerId(0) };
    // A time long after the clocks started, as in production.
    let mut outputs = director.turn(100 * S, (1..=3).map(playing));
    for tick in 1..8 {
        outputs
            .extend(director.turn(100 * S + tick * 250_000, [Input::Due(DeadlineKind::Timer(TimerTag(1)))]));
    }
    let rung_set = |output: &Output| if let Output::Rung(_, _, rung) = output { Some(*rung) } else { None };
    outputs.iter().filter_map(rung_set).collect()
}

/// Guards against the successor assuming the lowest rung for all sessions: by raising each by one rung it
/// lowered them to the second lowest, 195 of 240 within a second, and they took half a minute to recover.
#[test]
fn sessions_handed_over_keep_their_rung() {
    let inherited: Vec<_> = (1..=3).map(|id| (RequestId(id), 3)).collect();
    assert_eq!(rungs_set_after_hand_over(&inherited), Vec::<usize>::new());
    assert!(
        rungs_set_after_hand_over(&[]).contains(&1),
        "without inherited rungs they are lowered, so the check above can fail"
    );
}

/// A hand-over covers the established sessions, at the rungs that were reported or set last.
#[test]
fn established_sessions_are_handed_over_with_their_reported_rungs() {
    let mut director = Director::new(settings(vec![class(1.0, Effect::Idempotent)]), 7, 0).expect("settings");
    let entries = (0..4).map(|i| entry(i, i)).collect();
    director.turn(0, [Input::List { scope: ListScope::Full, entries }]);
    let playing =
        |id| Input::Playing { link: ViewerLink(1), request: request(id, 0), streamer: StreamerId(0) };
    director.turn(S, [playing(1), playing(2)]);
    let (streamer, kind) = (StreamerId(0), NoteKind::Rung);
    director.turn(S, [Input::Noted { streamer, session: RequestId(2), kind, value: 3.0 }]);
    assert_eq!(director.handover(S).rungs, vec![(RequestId(1), 0), (RequestId(2), 3)]);
    director.turn(S, [Input::ViewerLeft(ViewerLink(1), RequestId(1))]);
    assert_eq!(director.handover(S).rungs, vec![(RequestId(2), 3)]);
    let outputs = director.close(true);
    assert!(
        !outputs.iter().any(|output| matches!(output, Output::Release(..) | Output::Drop(..))),
        "{outputs:?}"
    );
}
