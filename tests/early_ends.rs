//! Ends of sessions that reach a director before the session does, without sockets.
mod common;
use common::ledger::{VIEWER_LINK, established, find_set_up, ready_director, run_turn, session_request};
use common::*;
use stonewharf::director::*;
use stonewharf::*;

/// Most ends that are kept.
const MAX_ENDS: u64 = 4_096;
/// The longest time from the start of a process to its predecessor's kill: 6 s until it is ready, then 5.7 s.
const REPLACEMENT_US: Micros = 11_700_000;
/// The streamer of the handed-over sessions.
const STREAMER: StreamerId = StreamerId(2);

fn handed_over(id: u64) -> Input {
    Input::Playing { link: VIEWER_LINK, request: request(id, 0), streamer: STREAMER }
}

fn viewer_end(link: usize, id: u64) -> Input {
    Input::ViewerLeft(ViewerLink(link), RequestId(id))
}

fn release(id: u64) -> Input {
    let (session, number, why) = (RequestId(id), None, SessionEnd::Ended);
    let (description, report) = (Description::new(), LoadReport::default());
    Input::Released { streamer: STREAMER, session, number, why, description, report }
}

/// A viewer ended its session at the new process of a director, which did not hold it yet and forgot the end: the
/// session was left standing once it was handed over.
#[test]
fn a_session_that_its_viewer_ended_before_the_hand_over_is_ended_at_its_streamer() {
    let (mut director, now) = ready_director();
    for (id, link) in [(1, 1), (2, 2), (3, 2)] {
        assert!(run_turn(&mut director, now, viewer_end(link, id)).is_empty());
    }
    for id in 1..=3 {
        let outputs = run_turn(&mut director, now + REPLACEMENT_US, handed_over(id));
        assert_eq!(outputs, [Output::Drop(STREAMER, RequestId(id))]);
        let repeated = run_turn(&mut director, now + REPLACEMENT_US, handed_over(id));
        assert_eq!(repeated, [Output::Drop(STREAMER, RequestId(id))], "a hand-over may be repeated");
    }
    assert_eq!(director.open_requests(), 0);
    assert!(run_turn(&mut director, now + REPLACEMENT_US, handed_over(4)).is_empty());
    assert_eq!(director.open_requests(), 1, "others stand");
}

/// Both sides have ended the session: neither is owed a message.
#[test]
fn a_session_that_both_sides_ended_before_the_hand_over_is_over() {
    let (mut director, now) = ready_director();
    run_turn(&mut director, now, viewer_end(1, 1));
    run_turn(&mut director, now, release(1));
    assert!(run_turn(&mut director, now, handed_over(1)).is_empty());
    assert_eq!(director.open_requests(), 0);
}

/// An end that was kept must not end a later session with the same id, whoever sent it.
#[test]
fn an_end_that_was_kept_does_not_end_a_session_that_is_set_up_anew() {
    let (mut director, now) = ready_director();
    run_turn(&mut director, now, viewer_end(1, 1));
    (0..4).for_each(|streamer| {
        let (session, number, why) = (RequestId(1), None, SessionEnd::Ended);
        let (description, report) = (Description::new(), LoadReport::default());
        let streamer = StreamerId(streamer);
        run_turn(&mut director, now, Input::Released { streamer, session, number, why, description, report });
    });
    let (streamer, attempt, _) =
        find_set_up(&run_turn(&mut director, now, session_request(1, 0))).expect("a set-up");
    let outputs = run_turn(&mut director, now, established(streamer, attempt, Some(0)));
    assert_eq!(outputs, [Output::Answer(VIEWER_LINK, RequestId(1), b"as made".to_vec())]);
    assert_eq!(director.open_requests(), 1);
    let outputs = run_turn(&mut director, now, viewer_end(1, 1));
    assert_eq!(outputs, [Output::Drop(streamer, RequestId(1))], "its own end counts");
}

/// What the previous process leaves: a viewer's end applies to a session that is held, and its own releases only to
/// those that are handed over, since a held one was set up anew under the same id.
#[test]
fn ends_that_the_previous_process_leaves_apply_to_the_sessions_that_they_are_meant_for() {
    let (mut director, now) = ready_director();
    let mut streamers = Vec::new();
    for id in 1..=2 {
        let (streamer, attempt, _) =
            find_set_up(&run_turn(&mut director, now, session_request(id, 0))).expect("a set-up");
        run_turn(&mut director, now, established(streamer, attempt, Some(0)));
        streamers.push(streamer);
    }
    let at = |session, streamer| SessionAtStreamer { session: RequestId(session), streamer };
    let released = vec![at(2, streamers[1]), at(4, STREAMER)];
    let (rungs, ended) = (vec![(RequestId(5), 2)], [1, 3].map(RequestId).to_vec());
    let left = Handover { rungs, ended, released, ..Handover::default() };
    let outputs = run_turn(&mut director, now, Input::Inherited(left));
    assert_eq!(outputs, [Output::Drop(streamers[0], RequestId(1))]);
    for id in [3, 4] {
        assert_eq!(run_turn(&mut director, now, handed_over(id)), [Output::Drop(STREAMER, RequestId(id))]);
    }
    assert!(run_turn(&mut director, now, handed_over(5)).is_empty());
    assert_eq!(director.handover(now).rungs.len(), 2, "2 and 5 stand");
}

/// Ends of nothing are dropped after the time of a replacement.
#[test]
fn ends_are_kept_for_a_limited_time() {
    let (mut director, now) = ready_director();
    run_turn(&mut director, now, viewer_end(1, 1));
    run_turn(&mut director, now, release(2));
    let later = now + REPLACEMENT_US + 10 * S;
    for id in 1..=2 {
        assert!(run_turn(&mut director, later, handed_over(id)).is_empty());
    }
    assert_eq!(director.open_requests(), 2);
}

/// A stranger that sends ends of nothing pushes out its own ones, and the overflow is logged once and counted.
#[test]
fn a_flood_of_ends_pushes_out_only_its_own() {
    let (mut director, now) = ready_director();
    (0..50).for_each(|id| drop(run_turn(&mut director, now, viewer_end(1, id))));
    (50..100).for_each(|id| drop(run_turn(&mut director, now, release(id))));
    let flood = |link| (0..2 * MAX_ENDS).map(move |i| viewer_end(link, 10_000 * link as u64 + i));
    let outputs = director.turn(now + 1, (2..6).flat_map(flood));
    let logged = outputs.iter().filter(|output| matches!(output, Output::Log(_))).count();
    assert_eq!(logged, 1, "{logged} lines for one overflow");
    assert_eq!(director.counters().ends_kept.get(), 100 + 8 * MAX_ENDS);
    assert_eq!(director.counters().ends_dropped.get(), 100 + 7 * MAX_ENDS);
    for id in 0..100 {
        director.turn(now + 2, [handed_over(id)]);
        assert_eq!(director.open_requests(), 0, "the end of {id} is still known");
    }
}

/// A process that leaves its sessions to a successor heard nothing of their ends any more as it closed its
/// connections: they were handed over, and left standing, or their viewers were not told.
#[test]
fn sessions_that_end_while_a_replaced_process_closes_are_ended_on_both_sides() {
    let (mut director, now) = ready_director();
    let mut streamers = Vec::new();
    for id in 1..=4 {
        let (streamer, attempt, _) =
            find_set_up(&run_turn(&mut director, now, session_request(id, 0))).expect("a set-up");
        run_turn(&mut director, now, established(streamer, attempt, Some(0)));
        streamers.push(streamer);
    }
    assert!(director.close(true).is_empty(), "the sessions go on");
    let (session, number, why) = (RequestId(2), None, SessionEnd::Cut);
    let (description, report) = (Description::new(), LoadReport::default());
    let released = Input::Released { streamer: streamers[1], session, number, why, description, report };
    let inputs = vec![viewer_end(9, 1), released, Input::Undelivered(RequestId(3)), viewer_end(9, 77)];
    let outputs = director.turn_after_close(now, inputs, true);
    assert_eq!(
        outputs,
        [
            Output::Drop(streamers[0], RequestId(1)),
            Output::Release(VIEWER_LINK, RequestId(2), SessionEnd::Cut),
            Output::Drop(streamers[2], RequestId(3)),
        ]
    );
    let left: Vec<_> = director.handover(now).rungs.into_iter().map(|(id, _)| id).collect();
    assert_eq!(left, [RequestId(4)]);
}
