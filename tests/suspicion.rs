//! Tests of how failures bar a streamer, and of how the suspicion against it ends.
mod common;
use common::*;
use stonewharf::*;

#[test]
fn a_failing_streamer_is_barred_until_its_suspicion_decays() {
    let mut bench = Harness::new(settings(idempotent_classes()));
    bench.serve_each_title();
    let bad = sent_to(&bench.request_session(request(1, 0))).expect("sent");
    let out = bench.report_ended(1, bad, Outcome::Failed, false);
    assert!(out.iter().any(|a| matches!(a, Action::Log(l) if l.contains("suspected"))));
    for id in 2..20 {
        assert_ne!(sent_to(&bench.request_session(request(id, 0))), Some(bad));
    }
    bench.now += 60 * S;
    let used_again = (20..60).any(|id| {
        let out = bench.request_session(request(id, 0));
        sent_to(&out) == Some(bad)
    });
    assert!(used_again, "suspicion decays");
}

/// A zone that came back stayed almost empty for many seconds: failures of its streamers from before their
/// restart still cost as much in placement as a quarter of a link in use.
#[test]
fn a_restart_clears_the_suspicion_of_a_streamer() {
    let mut bench = Harness::new(Settings { warm_up_us: S / 10, ..settings(idempotent_classes()) });
    let bad = sent_to(&bench.request_session(request(1, 0))).expect("sent");
    bench.report_ended(1, bad, Outcome::ConnectError, true);
    let restarted = Entry { started_at: Some(bench.now), ..entry(bad.0, bad.0) };
    bench.handle(Event::List { scope: ListScope::Delta, entries: vec![restarted] });
    bench.now += S;
    let used = (2..40).any(|id| {
        let at = sent_to(&bench.request_session(request(id, 0))).expect("sent");
        bench.report_ended(id, at, Outcome::Canceled, true);
        at == bad
    });
    assert!(used, "the restarted streamer is chosen like any other");
}

/// A barred streamer stayed unused for half a minute after its failure ended: trials were permitted, but its
/// suspicion ranked it last. A probe does not clear it, since a stalled streamer answers probes too.
#[test]
fn a_barred_streamer_gets_a_trial_from_a_request_that_can_still_be_retried() {
    let mut bench =
        Harness::new(settings(vec![class(1.0, Effect::Idempotent), class(1.0, Effect::AtMostOnce)]));
    bench.serve_each_title();
    let bad = sent_to(&bench.request_session(request(1, 0))).expect("sent");
    bench.report_ended(1, bad, Outcome::Failed, true);
    bench.handle(Event::Probed { streamer: bad, outcome: Outcome::Ok, report: LoadReport::default() });
    bench.now += 2 * S;
    assert_ne!(
        sent_to(&bench.request_session(request(2, 1))),
        Some(bad),
        "no trial by an at-most-once request"
    );
    assert_ne!(
        sent_to(&bench.request_session(Request { left_us: S / 2, ..request(3, 0) })),
        Some(bad),
        "nor with little time"
    );
    assert_eq!(
        sent_to(&bench.request_session(request(4, 0))),
        Some(bad),
        "a trial by a request that can be retried"
    );
    assert_ne!(sent_to(&bench.request_session(request(5, 0))), Some(bad), "one trial at a time");
    bench.report_started(4, bad);
    let cleared = (6..20).any(|id| sent_to(&bench.request_session(request(id, 1))) == Some(bad));
    assert!(cleared, "a session that starts clears the suspicion");
}

/// Requests for titles that do not exist got an error from every healthy streamer. This barred all streamers,
/// and the requests counted as arrivals. No session of such a title ever starts.
#[test]
fn a_title_without_a_started_session_adds_no_suspicion_and_no_arrivals() {
    let mut bench = Harness::new(settings(idempotent_classes()));
    bench.serve_each_title();
    let unknown = |id| Request { title: TitleId(77), viewer: ViewerId(77), max_rung: 0, ..request(id, 0) };
    for id in 1..40 {
        let mut at = sent_to(&bench.request_session(unknown(id))).expect("no streamer is barred");
        let mut attempts = 1;
        while let Some(next) = sent_to(&bench.report_ended(id, at, Outcome::Failed, false)) {
            (at, attempts) = (next, attempts + 1);
        }
        assert_eq!(attempts, 2, "a third error would tell nothing new");
    }
    let open = (100..200).filter(|id| sent_to(&bench.request_session(unknown(*id))).is_some()).count();
    assert_eq!(open, 16, "few of them are in flight at a time");
    let out = bench.request_session(request(300, 0));
    assert!(sent_to(&out).is_some(), "a title of which a session has started is not delayed by them");
}
