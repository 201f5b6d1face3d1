//! Tests of `duration`.
use stonewharf_leases::*;

#[test]
fn both_sides_allow_for_drift_and_values_out_of_range_are_refused() {
    let duration = LeaseDuration::new(1_000, 1.0).expect("allowed");
    assert_eq!((duration.holder, duration.grantor), (990_000, 1_010_000));
    assert!(duration.request_interval() * 3 <= duration.holder);
    assert_eq!(LeaseDuration::new(10, 1.0), Err(LeaseDurationError::Length(10)));
    let why = LeaseDuration::new(1_000, 50.0).expect_err("too much").to_string();
    assert!(why.contains("0 to 20"), "{why}");
}
