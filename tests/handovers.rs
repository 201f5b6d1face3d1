//! Sessions that are handed over at a streamer of which discovery has not told yet, without sockets.
mod common;
use common::ledger::{VIEWER_LINK, ready_director, run_turn, session_request};
use common::*;
use stonewharf::director::*;
use stonewharf::*;

/// A streamer that is not listed at first.
const LATE: StreamerId = StreamerId(9);
/// Time within which discovery tells of a change, after it could not be reached.
const TOLD_WITHIN_US: Micros = 6 * S;
/// Most sessions that wait.
const MAX_WAITING: u64 = 4_096;

fn handed_over(id: u64) -> Input {
    Input::Playing { link: VIEWER_LINK, request: request(id, 0), streamer: LATE }
}

fn viewer_end(id: u64) -> Input {
    Input::ViewerLeft(ViewerLink(1), RequestId(id))
}

fn listed(standing: Standing) -> Input {
    let mut late = entry(LATE.0, 1);
    late.standing = standing;
    Input::List { scope: ListScope::Delta, entries: vec![late] }
}

fn at_late(id: u64) -> SessionAtStreamer {
    SessionAtStreamer { session: RequestId(id), streamer: LATE }
}

/// Whether the director is woken for a session by this time.
fn due(id: u64) -> Input {
    Input::Due(DeadlineKind::Handover(at_late(id)))
}

fn cut(id: u64) -> Output {
    Output::Release(VIEWER_LINK, RequestId(id), SessionEnd::Cut)
}

/// The session was over for its viewer at once, and its streamer was told nothing.
#[test]
fn a_session_at_a_streamer_that_is_not_told_yet_stands_once_it_is() {
    let (mut director, now) = ready_director();
    for id in 1..=2 {
        assert!(run_turn(&mut director, now, handed_over(id)).is_empty());
        assert!(run_turn(&mut director, now, handed_over(id)).is_empty(), "a hand-over may be repeated");
    }
    assert!(director.holds(RequestId(1)) && director.open_requests() == 2);
    let duplicate = run_turn(&mut director, now, session_request(1, 0));
    assert_eq!(duplicate, [Output::Spurn(VIEWER_LINK, RequestId(1))]);
    let outputs = director.turn(now + S, [listed(Standing::Up)]);
    assert!(outputs.contains(&Output::Attend(LATE)));
    assert_eq!((director.sessions_at(LATE), director.open_requests()), (2, 2));
    assert_eq!(run_turn(&mut director, now + S, viewer_end(1)), [Output::Drop(LATE, RequestId(1))]);
    assert!(run_turn(&mut director, now + TOLD_WITHIN_US, due(2)).is_empty(), "it stands");
}

/// Its rung is the one that the previous process recorded, and passes to the next one in either state.
#[test]
fn a_waiting_session_keeps_its_rung() {
    let (mut director, now) = ready_director();
    director.set_inherited_rungs(vec![(RequestId(1), 3)]);
    run_turn(&mut director, now, handed_over(1));
    assert_eq!(director.handover(now).rungs, [(RequestId(1), 3)]);
    run_turn(&mut director, now, listed(Standing::Up));
    assert_eq!(director.handover(now).rungs, [(RequestId(1), 3)]);
}

/// Its viewer ends it before the hand-over, or while it waits: the streamer is told as soon as it is known.
#[test]
fn a_waiting_session_that_its_viewer_ends_is_ended_at_its_streamer() {
    let (mut director, now) = ready_director();
    run_turn(&mut director, now, viewer_end(1));
    for id in 1..=2 {
        assert!(run_turn(&mut director, now, handed_over(id)).is_empty());
    }
    assert!(run_turn(&mut director, now, viewer_end(2)).is_empty());
    assert_eq!(director.open_requests(), 0);
    assert_eq!(director.handover(now).released, [at_late(1), at_late(2)], "the next process has to know");
    let outputs = run_turn(&mut director, now + S, listed(Standing::Up));
    assert_eq!(outputs, [Output::Drop(LATE, RequestId(1)), Output::Drop(LATE, RequestId(2))]);
}

/// The previous process says that it has ended the session, or that its viewer has, after the hand-over.
#[test]
fn a_waiting_session_that_the_previous_process_has_ended_is_ended_at_its_streamer() {
    let (mut director, now) = ready_director();
    (1..=2).for_each(|id| drop(run_turn(&mut director, now, handed_over(id))));
    let (ended, released) = (vec![RequestId(1)], vec![at_late(2)]);
    run_turn(&mut director, now, Input::Inherited(Handover { ended, released, ..Handover::default() }));
    assert_eq!(director.open_requests(), 0);
    let outputs = run_turn(&mut director, now + S, listed(Standing::Up));
    assert_eq!(outputs, [Output::Drop(LATE, RequestId(1)), Output::Drop(LATE, RequestId(2))]);
}

/// Discovery does not tell of the streamer in time: the viewer is told that the session is over, within 8 s of the
/// hand-over, and the streamer as soon as it is known.
#[test]
fn a_session_whose_streamer_is_not_told_in_time_is_over_on_both_sides() {
    let (mut director, now) = ready_director();
    run_turn(&mut director, now, handed_over(1));
    assert!(run_turn(&mut director, now + TOLD_WITHIN_US - 1, due(1)).is_empty(), "discovery may still tell");
    assert_eq!(run_turn(&mut director, now + TOLD_WITHIN_US, due(1)), [cut(1)]);
    assert_eq!(director.open_requests(), 0);
    let outputs = run_turn(&mut director, now + 20 * S, listed(Standing::Up));
    assert_eq!(outputs, [Output::Drop(LATE, RequestId(1))]);
}

/// A streamer that is gone, or never told of, leaves nothing behind.
#[test]
fn a_session_whose_streamer_is_gone_is_over_and_forgotten() {
    let (mut director, now) = ready_director();
    run_turn(&mut director, now, handed_over(1));
    assert_eq!(run_turn(&mut director, now, listed(Standing::Gone)), [cut(1)]);
    run_turn(&mut director, now, handed_over(2));
    run_turn(&mut director, now + TOLD_WITHIN_US, due(2));
    let outputs = run_turn(&mut director, now + TOLD_WITHIN_US + 60 * S, due(2));
    assert_eq!(outputs, [Output::Forget(LATE)], "its name, too");
}

/// At the end of a process without a successor, viewers of waiting sessions are told.
#[test]
fn a_waiting_session_is_released_at_the_end_of_the_process() {
    let (mut director, now) = ready_director();
    run_turn(&mut director, now, handed_over(1));
    assert_eq!(director.close(false), [cut(1)]);
}

/// Hand-overs at streamers that nobody knows are bounded: further ones are over at once, which is logged once.
#[test]
fn waiting_sessions_are_bounded() {
    let (mut director, now) = ready_director();
    let outputs = director.turn(now, (0..MAX_WAITING + 10).map(handed_over));
    let over: Vec<&Output> = outputs.iter().filter(|output| matches!(output, Output::Release(..))).collect();
    assert_eq!(over, (MAX_WAITING..MAX_WAITING + 10).map(cut).collect::<Vec<_>>().iter().collect::<Vec<_>>());
    assert_eq!(outputs.iter().filter(|output| matches!(output, Output::Log(_))).count(), 1);
    assert_eq!(director.open_requests(), MAX_WAITING as usize);
}
