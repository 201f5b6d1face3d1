//! What one process leaves to the next: the rungs of the sessions that stand.
mod common;
use common::*;
use stonewharf::director::{DeadlineKind, Director, Input, Output, ViewerLink};
use stonewharf::*;

/// The rungs that a director sets within 2 s of a hand-over of sessions that play at the top rung.
fn rungs_set_after_hand_over(inherited: &[(RequestId, usize)]) -> Vec<usize> {
    let mut director = Director::new(settings(vec![class(1.0, Effect::Idempotent)]), 7, 0).expect("settings");
    let entries = (0..4).map(|i| entry(i, i)).collect();
    director.turn(0, [Input::List { scope: ListScope::Full, entries }]);
    director.set_inherited_rungs(inherited.to_vec());
    let playing =
        |id| Input::Playing { link: ViewerLink(1), request: request(id, 0), streamer: StreamerId(0) };
    // Long after the start of all clocks, as it is in service.
    let mut outputs = director.turn(100 * S, (1..=3).map(playing));
    for tick in 1..8 {
        outputs
            .extend(director.turn(100 * S + tick * 250_000, [Input::Due(DeadlineKind::Timer(TimerTag(1)))]));
    }
    let rung_set = |output: &Output| if let Output::Rung(_, _, rung) = output { Some(*rung) } else { None };
    outputs.iter().filter_map(rung_set).collect()
}

/// The new process took all sessions for such at the lowest rung, and by wanting each a rung up set it to the second
/// lowest: 195 of 240 within a second, and half a minute until they rose again.
#[test]
fn sessions_handed_over_keep_their_rung() {
    let inherited: Vec<_> = (1..=3).map(|id| (RequestId(id), 3)).collect();
    assert_eq!(rungs_set_after_hand_over(&inherited), Vec::<usize>::new());
    assert!(rungs_set_after_hand_over(&[]).contains(&1), "without it they are set down: this test can fail");
}

/// What is told of rungs, and set, is what is left.
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
    assert_eq!(director.sessions_to_hand_over(), vec![(RequestId(1), 0), (RequestId(2), 3)]);
    director.turn(S, [Input::ViewerLeft(ViewerLink(1), RequestId(1))]);
    assert_eq!(director.sessions_to_hand_over(), vec![(RequestId(2), 3)]);
    let outputs = director.close(true);
    assert!(
        !outputs.iter().any(|output| matches!(output, Output::Release(..) | Output::Drop(..))),
        "{outputs:?}"
    );
}
