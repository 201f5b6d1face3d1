//! Tests of `evidence`.
use stonewharf_core::*;
use stonewharf_halls::*;

const S: Micros = 1_000_000;

fn lost(e: &Evidence) -> bool {
    e.log_likelihood_ratio() >= Evidence::loss_threshold(0.001)
}

#[test]
fn three_streamers_that_cannot_be_reached_are_a_loss_and_one_never_is() {
    let mut e = Evidence::default();
    (0..50).for_each(|i| e.record(i * 1_000, StreamerId(1), Observation::Unreachable, 5 * S));
    assert!(!lost(&e), "one streamer, however often");
    e.record(60_000, StreamerId(2), Observation::Unreachable, 5 * S);
    assert!(!lost(&e));
    e.record(70_000, StreamerId(3), Observation::Unreachable, 5 * S);
    assert!(lost(&e));
}

#[test]
fn half_a_hall_that_answers_is_no_loss() {
    let mut e = Evidence::default();
    for i in 0..10 {
        e.record(i * 1_000, StreamerId(i as u32), Observation::Unreachable, 5 * S);
        e.record(i * 1_000, StreamerId(100 + i as u32), Observation::Reachable, 5 * S);
    }
    assert!(!lost(&e));
}

#[test]
fn answers_from_before_the_first_failure_do_not_hide_a_cut() {
    let mut e = Evidence::default();
    (0..20).for_each(|i| e.record(i, StreamerId(i as u32), Observation::Reachable, 5 * S));
    (0..3).for_each(|i| e.record(S + i, StreamerId(i as u32), Observation::Unreachable, 5 * S));
    assert!(lost(&e));
}

#[test]
fn old_signs_do_not_count() {
    let mut e = Evidence::default();
    e.record(0, StreamerId(1), Observation::Unreachable, 5 * S);
    e.record(S, StreamerId(2), Observation::Unreachable, 5 * S);
    e.record(7 * S, StreamerId(3), Observation::Unreachable, 5 * S);
    assert_eq!(e.failing_streamers(), 1);
}
