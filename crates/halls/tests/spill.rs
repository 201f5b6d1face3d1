//! Tests of `spill`.
use stonewharf_core::*;
use stonewharf_halls::*;

const SECOND: Micros = 1_000_000;

#[test]
fn what_is_used_never_passes_the_part_and_comes_back() {
    let mut s = SpillBudget::new(0);
    s.set_share(1_000.0, f64::INFINITY, 4.0);
    for id in 0..10 {
        if let Some(most) = s.max_rate_kb(0, RequestId(id), 100.0) {
            assert!(most <= 250.0, "an even share");
            s.record_set_up(0, RequestId(id), most);
        }
    }
    assert!((s.used_kb() - 1_000.0).abs() < 1e-6);
    assert_eq!(s.max_rate_kb(0, RequestId(99), 100.0), None);
    (0..10).for_each(|id| s.remove(RequestId(id)));
    assert_eq!(s.used_kb(), 0.0);
}

#[test]
fn a_shortage_takes_from_the_part_and_quiet_brings_it_back() {
    let mut s = SpillBudget::new(0);
    s.set_share(1_000.0, f64::INFINITY, 1.0);
    s.record_set_up(0, RequestId(1), 100.0);
    s.back_off(0, 0.7);
    s.back_off(SECOND / 2, 0.7);
    assert!((s.limit_kb(0) - 700.0).abs() < 1e-6, "once a second at most");
    assert!((s.limit_kb(6 * SECOND) - 1_000.0).abs() < 1e-6);
}

#[test]
fn the_rate_is_kept() {
    let mut s = SpillBudget::new(0);
    s.set_share(1e9, 2.0, 1.0);
    let mut sent = 0;
    for i in 0..100u64 {
        let now = i * SECOND / 10;
        if s.max_rate_kb(now, RequestId(i), 1.0).is_some() {
            s.record_set_up(now, RequestId(i), 1.0);
            sent += 1;
        }
    }
    assert!((20..=21).contains(&sent), "{sent}");
}
