//! The session ledger without sockets: crossings of messages that are easy to get wrong, one test for each.
mod common;
use common::ledger::{VIEWER_LINK, established, find_set_up, ready_director, run_turn, session_request};
use common::*;
use std::rc::Rc;
use stonewharf::director::*;
use stonewharf::*;

/// A streamer that sets up a session of which the viewer wants nothing more sends a single release with the
/// description. Treated as a reset, it made every streamer suspect and cost paid viewers their only attempt.
#[test]
fn a_session_released_with_its_answer_is_answered_and_released() {
    let (mut director, now) = ready_director();
    let (streamer, attempt, _) =
        find_set_up(&run_turn(&mut director, now, session_request(1, 0))).expect("a set-up");
    let (session, number, report) = (attempt.session, Some(attempt.number), LoadReport::default());
    let (why, description) = (SessionEnd::Ended, b"as made".to_vec());
    let outputs =
        run_turn(&mut director, now, Input::Released { streamer, session, number, why, description, report });
    let answer = Output::Answer(VIEWER_LINK, session, b"as made".to_vec());
    assert_eq!(outputs, [answer, Output::Release(VIEWER_LINK, session, SessionEnd::Ended)]);
}

/// A session id that is in use on another connection is rejected, and the second connection cannot end the
/// first one's session. On the same connection both requests fail, since the viewer could not tell their
/// answers apart. Before, neither request was answered.
#[test]
fn a_duplicate_session_id_is_rejected_without_touching_another_connections_session() {
    let (mut director, now) = ready_director();
    let (streamer, attempt, _) =
        find_set_up(&run_turn(&mut director, now, session_request(1, 0))).expect("a set-up");
    let (id, other_link) = (attempt.session, ViewerLink(8));
    let duplicate = Input::Wanted { link: other_link, request: request(1, 1), parcel: Rc::default() };
    assert_eq!(run_turn(&mut director, now, duplicate), [Output::Spurn(other_link, id)]);
    assert!(run_turn(&mut director, now, Input::ViewerLeft(other_link, id)).is_empty());
    let answer = Output::Answer(VIEWER_LINK, id, b"as made".to_vec());
    assert_eq!(run_turn(&mut director, now, established(streamer, attempt, Some(0))), [answer]);
    assert_eq!(
        (director.requests_and_sessions_on(VIEWER_LINK), director.requests_and_sessions_on(other_link)),
        ((0, 1), (0, 0))
    );

    let (at, attempt, _) =
        find_set_up(&run_turn(&mut director, now, session_request(2, 0))).expect("a set-up");
    let outputs = run_turn(&mut director, now, session_request(2, 1));
    assert_eq!(outputs, [Output::GiveUp(at, attempt), Output::Spurn(VIEWER_LINK, attempt.session)]);
    assert!(run_turn(&mut director, now, Input::GaveUp(attempt)).is_empty());
    assert_eq!(director.pending_requests(), 0);
}

/// Hundreds of simultaneous requests on one connection crowded out the answers to all other connections.
#[test]
fn requests_over_the_limit_of_one_connection_are_refused_at_once() {
    let (mut director, now) = ready_director();
    let outputs = director.turn(now, (0..300).map(|id| session_request(id, 0)));
    let refused: Vec<u64> = outputs
        .iter()
        .filter_map(|output| if let Output::Refuse(_, id, _) = output { Some(id.0) } else { None })
        .collect();
    assert!((256..300).all(|id| refused.contains(&id)), "{refused:?}");
}

/// One unreadable answer was treated as a restart: its streamer was barred and then treated as cold, with
/// almost no capacity during its warm-up. The attempt may have run, so a paid viewer is told that it
/// failed.
#[test]
fn an_unreadable_answer_fails_its_attempt_without_barring_the_streamer() {
    let (mut director, now) = ready_director();
    let (streamer, attempt, _) =
        find_set_up(&run_turn(&mut director, now, session_request(1, 0))).expect("a set-up");
    assert_eq!(
        run_turn(&mut director, now, Input::Spoilt(attempt)),
        [Output::Fail(VIEWER_LINK, attempt.session)]
    );
    let used_again = (2..40).any(|id| {
        let set_up = find_set_up(&run_turn(&mut director, now, session_request(id, 0)));
        set_up.is_some_and(|(at, attempt, _)| {
            run_turn(&mut director, now, established(at, attempt, Some(0)));
            at == streamer
        })
    });
    assert!(used_again, "the streamer is still used");
}

/// Streamers come and go under new names for as long as the director runs, so a table of all names ever seen
/// would grow without bound. The id of a forgotten name is not assigned again.
#[test]
fn a_forgotten_name_is_removed_and_its_id_is_not_reused() {
    let mut names = settings::Interner::default();
    let ids: Vec<u32> = ["a", "b"].iter().map(|n| names.intern(n)).collect();
    names.remove(ids[0]);
    assert_eq!((names.get("a"), names.resolve(ids[0]), names.get("b")), (None, None, Some(ids[1])));
    assert!(!ids.contains(&names.intern("a")));
}

/// A cancellation crosses a late answer: the session is released at its streamer, and its viewer is sent
/// nothing more.
#[test]
fn a_late_answer_releases_its_session_and_is_not_forwarded() {
    let (mut director, now) = ready_director();
    let (streamer, attempt, until) =
        find_set_up(&run_turn(&mut director, now, session_request(1, 0))).expect("a set-up");
    let outputs = run_turn(&mut director, until, Input::Due(DeadlineKind::Attempt(attempt)));
    assert_eq!(
        outputs,
        [Output::GiveUp(streamer, attempt)],
        "nothing else before the cancellation is written"
    );
    let outputs = run_turn(&mut director, until, Input::GaveUp(attempt));
    assert_eq!(
        outputs,
        [Output::Fail(VIEWER_LINK, attempt.session)],
        "the attempt may have run: failed, not refused"
    );
    let outputs = run_turn(&mut director, until + 1, established(streamer, attempt, None));
    assert_eq!(outputs, [Output::Drop(streamer, attempt.session)]);
}

/// A cancellation that cannot be written delays the next attempt, but not the final answer at the deadline.
#[test]
fn the_final_answer_does_not_wait_for_an_unwritten_cancellation() {
    let (mut director, now) = ready_director();
    let (streamer, attempt, until) =
        find_set_up(&run_turn(&mut director, now, session_request(1, 1))).expect("a set-up");
    assert_eq!(
        run_turn(&mut director, until, Input::Due(DeadlineKind::Attempt(attempt))),
        [Output::GiveUp(streamer, attempt)]
    );
    let outputs = run_turn(&mut director, now + 4 * S, Input::Due(DeadlineKind::Answer(attempt.session)));
    assert_eq!(outputs, [Output::Fail(VIEWER_LINK, attempt.session)]);
    assert!(run_turn(&mut director, now + 4 * S, Input::GaveUp(attempt)).is_empty());
}

/// Sessions established before a streamer's process started were lost with the previous process. Sessions
/// set up on the new process before its start time was reported are kept.
#[test]
fn a_restart_ends_only_sessions_established_before_it() {
    let (mut director, now) = ready_director();
    let (streamer, attempt, _) =
        find_set_up(&run_turn(&mut director, now, session_request(1, 0))).expect("a set-up");
    run_turn(&mut director, now, established(streamer, attempt, Some(0)));
    let restarted = |at| Entry { started_at: Some(at), ..entry(streamer.0, streamer.0) };
    let list_update = |at| Input::List { scope: ListScope::Delta, entries: vec![restarted(at)] };
    run_turn(&mut director, now + 1, list_update(now - S));
    assert_eq!(director.sessions_at(streamer), 1);
    let outputs = run_turn(&mut director, now + 2, list_update(now + 1));
    assert!(outputs.contains(&Output::Release(VIEWER_LINK, attempt.session, SessionEnd::Cut)));
    assert_eq!(director.sessions_at(streamer), 0);
}

/// The margin for the final answer applies only in the ledger. When it was deducted from the time limit
/// that the controller is told, limits just over one second fell below the one second that the controller
/// requires for probing a streamer first, and hardly any load test was sent.
#[test]
fn the_controller_gets_the_full_time_limit_and_attempts_end_before_it() {
    let mut probe_settings = settings(vec![class(1.0, Effect::AtMostOnce)]);
    (probe_settings.probes, probe_settings.report_mode) = (true, ReportMode::ProbeOnly);
    let mut director = Director::new(probe_settings, 1, 0).expect("settings");
    let entries = (0..4).map(|i| entry(i, i)).collect();
    run_turn(&mut director, 0, Input::List { scope: ListScope::Full, entries });
    let (link, parcel, now) = (VIEWER_LINK, Rc::default(), 20 * S);
    let request = Request { left_us: S + 18_000, ..request(1, 0) };
    let outputs = run_turn(&mut director, now, Input::Wanted { link, request, parcel });
    let [Output::Probe(streamer)] = outputs[..] else { panic!("not probed first: {outputs:?}") };
    let (outcome, report) = (Outcome::Failed, LoadReport::default());
    let mut outputs = run_turn(&mut director, now + 1, Input::Probed { streamer, outcome, report });
    if let [Output::Probe(streamer)] = outputs[..] {
        outputs = run_turn(&mut director, now + 2, Input::Probed { streamer, outcome, report });
    }
    let (_, _, until) = find_set_up(&outputs).expect("a set-up");
    assert!(until < now + S, "the answer must be sent before the viewer's time is up");
}

/// A viewer that is never told that its session is established never ends it, so the director ends it, once.
#[test]
fn a_session_with_an_undelivered_answer_is_released_at_its_streamer() {
    let (mut director, now) = ready_director();
    let (streamer, attempt, _) =
        find_set_up(&run_turn(&mut director, now, session_request(1, 0))).expect("a set-up");
    let outputs = run_turn(&mut director, now, established(streamer, attempt, Some(attempt.number)));
    assert!(outputs.iter().any(|output| matches!(output, Output::Answer(..))));
    let release = Output::Drop(streamer, attempt.session);
    assert_eq!(run_turn(&mut director, now, Input::Undelivered(attempt.session)), vec![release]);
    assert_eq!(run_turn(&mut director, now, Input::Undelivered(attempt.session)), vec![], "already ended");
    assert_eq!(director.sessions_at(streamer), 0);
}

/// When a viewer leaves before its set-up has a connection, that says nothing about the streamer: the
/// controller is told that the attempt was never sent, not that the connection failed.
#[test]
fn a_viewer_leaving_before_its_set_up_is_sent_does_not_count_against_the_streamer() {
    let (mut director, now) = ready_director();
    for id in 1..=40 {
        let Some((streamer, attempt, _)) = find_set_up(&run_turn(&mut director, now, session_request(id, 0)))
        else {
            panic!("request {id} was not sent");
        };
        let outputs = run_turn(&mut director, now, Input::ViewerLeft(VIEWER_LINK, attempt.session));
        assert!(outputs.contains(&Output::GiveUp(streamer, attempt)));
        run_turn(&mut director, now, Input::Unsent(attempt, UnsentReason::NoConnection));
    }
    assert_eq!(director.streamer_counts().1, 0, "no streamer is avoided");
}
