//! The paper's pools: values worked out by hand, and the split against exhaustive search.
use stonewharf::{erlang_payoff, split_slots};

#[test]
fn payoff_by_hand() {
    // a = 2, n = 2: P(n) = (4/2) / (1 + 2 + 2) = 0.4, carried 1.2.
    assert!((erlang_payoff(2.0, 2, 3.0, 0.0) - 3.6).abs() < 1e-12);
    assert!((erlang_payoff(2.0, 2, 3.0, 0.5) - 3.4).abs() < 1e-12);
    // a = 1, n = 1: half is lost. No slots: all is lost.
    assert!((erlang_payoff(1.0, 1, 1.0, 0.0) - 0.5).abs() < 1e-12);
    assert_eq!(erlang_payoff(1.0, 0, 1.0, 0.0), 0.0);
}

#[test]
fn large_pools_stay_finite() {
    let payoff = erlang_payoff(90_000.0, 100_000, 1.0, 0.0);
    assert!(payoff.is_finite() && (payoff - 90_000.0).abs() < 1.0);
}

#[test]
fn split_equals_exhaustive_search() {
    for (loads, slots) in [
        (vec![(3.0, 1.0), (1.5, 2.0), (4.0, 0.7)], 8),
        (vec![(0.2, 5.0), (9.0, 1.0), (2.0, 2.5)], 11),
        (vec![(6.0, 1.0), (6.0, 1.0), (1.0, 9.0)], 5),
    ] {
        let split = split_slots(&loads, slots);
        assert_eq!(split.iter().sum::<usize>(), slots);
        let value = |s: &[usize]| -> f64 {
            loads.iter().zip(s).map(|(&(a, w), &n)| erlang_payoff(a, n, w, 0.0)).sum()
        };
        let mut best = 0.0f64;
        for i in 0..=slots {
            for j in 0..=slots - i {
                best = best.max(value(&[i, j, slots - i - j]));
            }
        }
        assert!((value(&split) - best).abs() < 1e-9, "{split:?}: {} < {best}", value(&split));
    }
}
