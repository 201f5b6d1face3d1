//! The Erlang-loss pools: payoffs calculated by hand, and the split compared with an exhaustive search.
use stonewharf::{erlang_payoff, split_slots};

#[test]
fn payoff_equals_values_calculated_by_hand() {
    // Offered load a = 2, n = 2 slots: blocking P(n) = (4/2) / (1 + 2 + 2) = 0.4, carried load 1.2.
    assert!((erlang_payoff(2.0, 2, 3.0, 0.0) - 3.6).abs() < 1e-12);
    assert!((erlang_payoff(2.0, 2, 3.0, 0.5) - 3.4).abs() < 1e-12);
    // a = 1, n = 1: half of the load is lost. Without slots all of it is.
    assert!((erlang_payoff(1.0, 1, 1.0, 0.0) - 0.5).abs() < 1e-12);
    assert_eq!(erlang_payoff(1.0, 0, 1.0, 0.0), 0.0);
}

#[test]
fn payoff_of_a_large_pool_is_finite() {
    let payoff = erlang_payoff(90_000.0, 100_000, 1.0, 0.0);
    assert!(payoff.is_finite() && (payoff - 90_000.0).abs() < 1.0);
}

#[test]
fn split_is_as_good_as_an_exhaustive_search() {
    for (loads, slots) in [
        (vec![(3.0, 1.0), (1.5, 2.0), (4.0, 0.7)], 8),
        (vec![(0.2, 5.0), (9.0, 1.0), (2.0, 2.5)], 11),
        (vec![(6.0, 1.0), (6.0, 1.0), (1.0, 9.0)], 5),
    ] {
        let split = split_slots(&loads, slots);
        assert_eq!(split.iter().sum::<usize>(), slots);
        let payoff = |split: &[usize]| -> f64 {
            loads.iter().zip(split).map(|(&(offered, worth), &n)| erlang_payoff(offered, n, worth, 0.0)).sum()
        };
        let mut best = 0.0f64;
        for i in 0..=slots {
            for j in 0..=slots - i {
                best = best.max(payoff(&[i, j, slots - i - j]));
            }
        }
        assert!((payoff(&split) - best).abs() < 1e-9, "{split:?}: {} < {best}", payoff(&split));
    }
}
