//! What one process of a director leaves to the next one is passed on as what it is: of a session, or of a session at one
//! streamer. Without sockets.
mod common;
use common::ledger::{VIEWER_LINK, established, find_set_up, ready_director, run_turn, session_request};
use common::*;
use stonewharf::director::*;
use stonewharf::*;

/// How long ends are kept for a replacement.
const KEPT_US: Micros = 19_700_000;
const ID: RequestId = RequestId(1);

fn at(streamer: StreamerId) -> SessionAtStreamer {
    SessionAtStreamer { session: ID, streamer }
}

fn handed_over(streamer: StreamerId) -> Input {
    Input::Playing { link: VIEWER_LINK, request: request(ID.0, 1), streamer }
}

fn released(streamer: StreamerId, why: SessionEnd) -> Input {
    let (description, report) = (Description::new(), LoadReport::default());
    Input::Released { streamer, session: ID, number: None, why, description, report }
}

/// A session whose first attempt was canceled at one streamer and that is established at another.
struct LateAnswer {
    director: Director,
    now: Micros,
    late: StreamerId,
    playing: StreamerId,
}

/// Cancels an attempt as its time is up, and returns the next one.
fn next_attempt(director: &mut Director, until: Micros, attempt: Attempt) -> (StreamerId, Attempt, Micros) {
    run_turn(director, until, Input::Due(DeadlineKind::Attempt(attempt)));
    find_set_up(&run_turn(director, until, Input::GaveUp(attempt))).expect("a further attempt")
}

impl LateAnswer {
    fn new() -> LateAnswer {
        let (mut director, now) = ready_director();
        let (late, first, until) =
            find_set_up(&run_turn(&mut director, now, session_request(ID.0, 1))).expect("a set-up");
        let (playing, second, _) = next_attempt(&mut director, until, first);
        assert_ne!(late, playing);
        run_turn(&mut director, until, established(playing, second, Some(second.number)));
        let outputs = run_turn(&mut director, until, established(late, first, None));
        assert_eq!(outputs, [Output::Drop(late, ID)], "released where it was answered late");
        LateAnswer { director, now: until, late, playing }
    }

    /// A process that replaces another one, with what that one leaves.
    fn successor_of(mut predecessor: Director, now: Micros) -> Director {
        let (mut director, _) = ready_director();
        run_turn(&mut director, now, Input::Inherited(predecessor.handover(now)));
        director
    }
}

/// The session was ended where it played, and its viewer was not told. In whichever order the sessions come, and after
/// one replacement or two.
#[test]
fn a_release_at_one_streamer_does_not_end_the_session_at_another() {
    for replacements in 1..=2 {
        for late_first in [false, true] {
            let LateAnswer { mut director, now, late, playing } = LateAnswer::new();
            for _ in 0..replacements {
                director = LateAnswer::successor_of(director, now);
            }
            let mut inputs = [(playing, vec![]), (late, vec![Output::Drop(late, ID)])];
            if late_first {
                inputs.reverse();
            }
            for (streamer, expected) in inputs {
                assert_eq!(run_turn(&mut director, now, handed_over(streamer)), expected);
                assert_eq!(run_turn(&mut director, now, handed_over(streamer)), expected, "repeated");
            }
            assert_eq!((director.open_requests(), director.sessions_at(playing)), (1, 1));
            let ends = run_turn(&mut director, now, Input::ViewerLeft(VIEWER_LINK, ID));
            assert_eq!(ends, [Output::Drop(playing, ID)]);
        }
    }
}

/// The end of the session itself holds wherever it plays.
#[test]
fn a_session_that_its_viewer_ended_is_ended_at_each_streamer_after_a_replacement() {
    let LateAnswer { mut director, now, late, playing } = LateAnswer::new();
    run_turn(&mut director, now, Input::ViewerLeft(VIEWER_LINK, ID));
    let mut director = LateAnswer::successor_of(director, now);
    for streamer in [playing, late] {
        assert_eq!(run_turn(&mut director, now, handed_over(streamer)), [Output::Drop(streamer, ID)]);
    }
    assert_eq!(director.open_requests(), 0);
}

/// A session that was released at a streamer may stand there again, under the same id.
#[test]
fn a_session_that_stands_where_it_was_released_before_is_not_handed_over_as_released() {
    let (mut director, now) = ready_director();
    let entries = vec![entry(0, 0)];
    run_turn(&mut director, now, Input::List { scope: ListScope::Full, entries });
    let establish = |director: &mut Director| {
        let (streamer, attempt, _) =
            find_set_up(&run_turn(director, now, session_request(ID.0, 1))).expect("a set-up");
        run_turn(director, now, established(streamer, attempt, Some(attempt.number)));
        streamer
    };
    let streamer = establish(&mut director);
    run_turn(&mut director, now, Input::ViewerLeft(VIEWER_LINK, ID));
    assert_eq!(director.handover(now).released, [at(streamer)]);
    assert_eq!(establish(&mut director), streamer);
    assert_eq!(director.handover(now).released, []);
    let mut director = LateAnswer::successor_of(director, now);
    assert!(run_turn(&mut director, now, handed_over(streamer)).is_empty());
    assert_eq!(director.open_requests(), 1);
}

/// The streamer at which the session was released is not listed yet at the new process.
#[test]
fn a_release_at_a_streamer_that_is_not_told_yet_waits_for_it_alone() {
    let (mut director, now) = ready_director();
    let unlisted = StreamerId(9);
    let playing = StreamerId(1);
    let left = Handover { released: vec![at(unlisted)], ..Handover::default() };
    run_turn(&mut director, now, Input::Inherited(left));
    assert!(run_turn(&mut director, now, handed_over(unlisted)).is_empty());
    assert!(run_turn(&mut director, now, handed_over(playing)).is_empty());
    assert_eq!((director.open_requests(), director.sessions_at(playing)), (1, 1), "it plays elsewhere");
    assert_eq!(director.handover(now).released, [at(unlisted)], "the next process has to know");
    let entries = vec![entry(unlisted.0, 1)];
    let outputs = run_turn(&mut director, now, Input::List { scope: ListScope::Delta, entries });
    assert_eq!(outputs, [Output::Drop(unlisted, ID)]);
    assert_eq!(director.open_requests(), 1);
}

/// The name of a streamer that discovery does not list is not forgotten while a release there is kept: the session that
/// is handed over under that name would be another streamer's.
#[test]
fn the_name_of_a_streamer_is_kept_as_long_as_a_release_there() {
    let (mut director, now) = ready_director();
    let unlisted = StreamerId(9);
    let left = Handover { released: vec![at(unlisted)], ..Handover::default() };
    run_turn(&mut director, now, Input::Inherited(left));
    let other = Input::Playing { link: VIEWER_LINK, request: request(2, 1), streamer: unlisted };
    run_turn(&mut director, now, other);
    assert!(run_turn(&mut director, now, Input::LaidDown(vec![RequestId(2)])).is_empty(), "not forgotten");
    run_turn(&mut director, now, handed_over(unlisted));
    let due = Input::Due(DeadlineKind::Handover(at(unlisted)));
    assert_eq!(run_turn(&mut director, now + KEPT_US + 60 * S, due), [Output::Forget(unlisted)]);
}

/// A streamer's release that reached a process before the session did, as that process was replaced in turn.
#[test]
fn a_streamers_release_passes_to_the_next_process_with_its_streamer() {
    let (mut director, now) = ready_director();
    let (playing, other) = (StreamerId(1), StreamerId(2));
    run_turn(&mut director, now, released(playing, SessionEnd::Ended));
    run_turn(&mut director, now, released(other, SessionEnd::Cut));
    let mut director = LateAnswer::successor_of(LateAnswer::successor_of(director, now), now);
    let outputs = run_turn(&mut director, now, handed_over(playing));
    assert_eq!(outputs, [Output::Release(VIEWER_LINK, ID, SessionEnd::Ended)]);

    let (mut director, _) = ready_director();
    run_turn(&mut director, now, released(other, SessionEnd::Cut));
    let mut director = LateAnswer::successor_of(director, now);
    assert!(run_turn(&mut director, now, handed_over(playing)).is_empty(), "released elsewhere");
    assert_eq!(director.open_requests(), 1);
}

/// A session that waits for its streamer was released by it at the process before: its viewer is told.
#[test]
fn a_waiting_session_that_its_streamer_released_is_over_for_its_viewer() {
    let (mut director, now) = ready_director();
    let unlisted = StreamerId(9);
    run_turn(&mut director, now, handed_over(unlisted));
    let released_by_streamers = vec![(at(unlisted), SessionEnd::Ended)];
    let left = Handover { released_by_streamers, ..Handover::default() };
    let outputs = run_turn(&mut director, now, Input::Inherited(left));
    assert_eq!(outputs, [Output::Release(VIEWER_LINK, ID, SessionEnd::Ended), Output::Forget(unlisted)]);
    assert_eq!(director.open_requests(), 0);
}

/// A release at a streamer by the process before must not end what is set up there anew, or held there.
#[test]
fn a_release_by_the_process_before_does_not_end_a_session_that_is_set_up_anew() {
    let (mut director, now) = ready_director();
    let (streamer, attempt, _) =
        find_set_up(&run_turn(&mut director, now, session_request(ID.0, 1))).expect("a set-up");
    let left = || Handover { released: (0..4).map(|i| at(StreamerId(i))).collect(), ..Handover::default() };
    run_turn(&mut director, now, Input::Inherited(left()));
    run_turn(&mut director, now, established(streamer, attempt, Some(0)));
    run_turn(&mut director, now, Input::Inherited(left()));
    assert!(run_turn(&mut director, now, handed_over(streamer)).is_empty());
    assert_eq!(director.open_requests(), 1);
}

/// A process that is replaced before its sessions are handed over passes their rungs on, for a limited time.
#[test]
fn rungs_of_sessions_that_were_not_handed_over_yet_pass_to_the_next_process() {
    let (mut director, now) = ready_director();
    let left = Handover { rungs: vec![(ID, 3)], ..Handover::default() };
    run_turn(&mut director, now, Input::Inherited(left));
    assert_eq!(director.handover(now).rungs, [(ID, 3)]);
    assert_eq!(director.handover(now + KEPT_US).rungs, []);
}
