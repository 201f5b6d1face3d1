//! The session ledger without sockets: crossings that are easy to get wrong, one by one.
mod common;
use common::ledger::{LINK, ready, sent, stands, turn, wanted};
use common::*;
use std::rc::Rc;
use stonewharf::director::*;
use stonewharf::*;

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
    let mut names = settings::Interner::default();
    let ids: Vec<u32> = ["a", "b"].iter().map(|n| names.intern(n)).collect();
    names.remove(ids[0]);
    assert_eq!((names.get("a"), names.resolve(ids[0]), names.get("b")), (None, None, Some(ids[1])));
    assert!(!ids.contains(&names.intern("a")));
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
    (set.probes, set.report_mode) = (true, ReportMode::ProbeOnly);
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

/// A viewer that is never told that its session stands never ends it: it is ended from here, once.
#[test]
fn a_session_whose_answer_did_not_leave_is_ended_at_its_streamer() {
    let (mut d, now) = ready();
    let (streamer, attempt, _) = sent(&turn(&mut d, now, wanted(1, 0))).expect("sent");
    let deeds = turn(&mut d, now, stands(streamer, attempt, Some(attempt.number)));
    assert!(deeds.iter().any(|deed| matches!(deed, Deed::Answer(..))));
    let ended = Deed::Drop(streamer, attempt.session);
    assert_eq!(turn(&mut d, now, Input::Undelivered(attempt.session)), vec![ended]);
    assert_eq!(turn(&mut d, now, Input::Undelivered(attempt.session)), vec![], "over already");
    assert_eq!(d.standing_at(streamer), 0);
}

/// A viewer that left before its set-up had a connection says nothing of the streamer: the module hears that the
/// attempt never left, not that no connection came up.
#[test]
fn a_viewer_that_leaves_before_its_set_up_went_out_blames_no_streamer() {
    let (mut d, now) = ready();
    for id in 1..=40 {
        let Some((streamer, attempt, _)) = sent(&turn(&mut d, now, wanted(id, 0))) else {
            panic!("request {id} was not sent");
        };
        let deeds = turn(&mut d, now, Input::ViewerLeft(LINK, attempt.session));
        assert!(deeds.contains(&Deed::GiveUp(streamer, attempt)));
        turn(&mut d, now, Input::Unsent(attempt, Unsent::NoConnection));
    }
    assert_eq!(d.listed().1, 0, "none is avoided");
}
