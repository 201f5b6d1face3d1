//! Tests of the evidence for the loss of a hall.
use stonewharf_core::*;
use stonewharf_halls::*;

const SECOND: Micros = 1_000_000;

fn is_lost(evidence: &Evidence) -> bool {
    evidence.log_likelihood_ratio() >= Evidence::loss_threshold(0.001)
}

#[test]
fn three_unreachable_streamers_are_a_loss_but_one_is_not() {
    let mut evidence = Evidence::default();
    (0..50).for_each(|i| evidence.record(i * 1_000, StreamerId(1), Observation::Unreachable, 5 * SECOND));
    assert!(!is_lost(&evidence), "one streamer, however often");
    evidence.record(60_000, StreamerId(2), Observation::Unreachable, 5 * SECOND);
    assert!(!is_lost(&evidence));
    evidence.record(70_000, StreamerId(3), Observation::Unreachable, 5 * SECOND);
    assert!(is_lost(&evidence));
}

#[test]
fn a_hall_of_which_half_answers_is_not_lost() {
    let mut evidence = Evidence::default();
    for i in 0..10 {
        evidence.record(i * 1_000, StreamerId(i as u32), Observation::Unreachable, 5 * SECOND);
        evidence.record(i * 1_000, StreamerId(100 + i as u32), Observation::Reachable, 5 * SECOND);
    }
    assert!(!is_lost(&evidence));
}

#[test]
fn answers_before_the_first_failure_do_not_hide_a_loss() {
    let mut evidence = Evidence::default();
    (0..20).for_each(|i| evidence.record(i, StreamerId(i as u32), Observation::Reachable, 5 * SECOND));
    (0..3).for_each(|i| {
        evidence.record(SECOND + i, StreamerId(i as u32), Observation::Unreachable, 5 * SECOND)
    });
    assert!(is_lost(&evidence));
}

#[test]
fn expired_observations_do_not_count() {
    let mut evidence = Evidence::default();
    evidence.record(0, StreamerId(1), Observation::Unreachable, 5 * SECOND);
    evidence.record(SECOND, StreamerId(2), Observation::Unreachable, 5 * SECOND);
    evidence.record(7 * SECOND, StreamerId(3), Observation::Unreachable, 5 * SECOND);
    assert_eq!(evidence.failing_streamers(), 1);
}
