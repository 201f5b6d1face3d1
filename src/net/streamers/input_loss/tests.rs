//! Tests of the record of lost input: what makes up for a loss, and how often that is tried.
use super::*;

const SECOND: Micros = 1_000_000;

/// The record was cleared as an attempt to connect began, so that an attempt that failed made nothing up.
#[test]
fn only_an_established_connection_makes_up_for_a_loss() {
    let mut loss = InputLoss::default();
    assert!(!loss.retry_is_due(0), "nothing is lost");
    loss.record(SECOND);
    for attempt in 0..20 {
        let now = SECOND + attempt * RETRY_INTERVAL_US;
        assert!(loss.retry_is_due(now), "attempt {attempt}");
        loss.retried(now);
        assert!(!loss.retry_is_due(now + RETRY_INTERVAL_US - 1));
    }
    assert!(loss.connection_established(loss.count()));
    assert!(!loss.retry_is_due(100 * SECOND));
    assert!(!loss.connection_established(loss.count()), "made up for already");
}

/// The streamer may have accepted a connection under way before it sent what was lost on the other one.
#[test]
fn a_connection_begun_before_a_loss_does_not_make_up_for_it() {
    let mut loss = InputLoss::default();
    let before = loss.count();
    loss.record(SECOND);
    assert!(!loss.connection_established(before));
    assert!(loss.retry_is_due(SECOND));
    let between = loss.count();
    loss.record(2 * SECOND);
    assert!(loss.connection_established(between), "for the first loss");
    assert!(loss.retry_is_due(3 * SECOND), "the second one is still open");
    assert!(loss.connection_established(loss.count()));
    assert!(!loss.retry_is_due(4 * SECOND));
}

/// A streamer that accepts no further connection is not dialled at the shortest interval for good.
#[test]
fn after_the_time_limit_connections_are_retried_more_rarely_and_it_is_reported_once() {
    let mut loss = InputLoss::default();
    loss.record(0);
    loss.retried(RELEASE_TIME_LIMIT_US);
    assert!(!loss.report_overdue(RELEASE_TIME_LIMIT_US - 1));
    assert!(loss.report_overdue(RELEASE_TIME_LIMIT_US));
    assert!(!loss.report_overdue(RELEASE_TIME_LIMIT_US + 1));
    assert!(!loss.retry_is_due(RELEASE_TIME_LIMIT_US + LATE_RETRY_INTERVAL_US - 1));
    assert!(loss.retry_is_due(RELEASE_TIME_LIMIT_US + LATE_RETRY_INTERVAL_US));
    loss.connection_established(loss.count());
    loss.record(20 * SECOND);
    assert!(!loss.report_overdue(20 * SECOND), "a new loss has its own time");
}
