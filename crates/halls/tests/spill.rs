//! Tests of the spill budget.
use stonewharf_core::*;
use stonewharf_halls::*;

const SECOND: Micros = 1_000_000;

#[test]
fn used_rate_stays_within_the_share_and_is_given_back() {
    let mut budget = SpillBudget::new(0);
    budget.set_share(1_000.0, f64::INFINITY, 4.0);
    for id in 0..10 {
        if let Some(rate_kb) = budget.max_rate_kb(0, RequestId(id), 100.0) {
            assert!(rate_kb <= 250.0, "more than an equal part of the share");
            budget.record_set_up(0, RequestId(id), rate_kb);
        }
    }
    assert!((budget.used_kb() - 1_000.0).abs() < 1e-6);
    assert_eq!(budget.max_rate_kb(0, RequestId(99), 100.0), None);
    (0..10).for_each(|id| budget.remove(RequestId(id)));
    assert_eq!(budget.used_kb(), 0.0);
}

#[test]
fn a_shortage_reduces_the_share_until_it_recovers() {
    let mut budget = SpillBudget::new(0);
    budget.set_share(1_000.0, f64::INFINITY, 1.0);
    budget.record_set_up(0, RequestId(1), 100.0);
    budget.back_off(0, 0.7);
    budget.back_off(SECOND / 2, 0.7);
    assert!((budget.limit_kb(0) - 700.0).abs() < 1e-6, "once a second at most");
    assert!((budget.limit_kb(6 * SECOND) - 1_000.0).abs() < 1e-6);
}

#[test]
fn set_ups_stay_within_the_configured_rate() {
    let mut budget = SpillBudget::new(0);
    budget.set_share(1e9, 2.0, 1.0);
    let mut sent = 0;
    for i in 0..100u64 {
        let now = i * SECOND / 10;
        if budget.max_rate_kb(now, RequestId(i), 1.0).is_some() {
            budget.record_set_up(now, RequestId(i), 1.0);
            sent += 1;
        }
    }
    assert!((20..=21).contains(&sent), "{sent}");
}
