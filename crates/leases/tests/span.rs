//! Tests of `span`.
use stonewharf_leases::*;

#[test]
fn both_sides_allow_for_drift_and_what_cannot_be_is_refused() {
    let span = Span::new(1_000, 1.0).expect("allowed");
    assert_eq!((span.holder, span.giver), (990_000, 1_010_000));
    assert!(span.ask_every() * 3 <= span.holder);
    assert_eq!(Span::new(10, 1.0), Err(SpanError::Length(10)));
    let why = Span::new(1_000, 50.0).expect_err("too much").to_string();
    assert!(why.contains("0 to 20"), "{why}");
}
