//! Tests of `metrics`.
use std::ops::AddAssign;
use stonewharf_core::director::*;

#[test]
fn one_name_is_one_place_and_text_shows_what_was_counted() {
    let metrics = MetricsRegistry::default();
    let (mut one, again) = (metrics.counter("operations.pay per view.fulfilled"), metrics.counter("b"));
    one += 3;
    metrics.counter("operations.pay per view.fulfilled").clone().add_assign(4);
    metrics.set_gauge("open_requests", 14);
    metrics.set_gauge("open_requests", 2);
    assert_eq!((one.get(), again.get()), (7, 0));
    assert_eq!(metrics.render(), "svc.b=0\nsvc.open_requests=2\nsvc.operations.pay per view.fulfilled=7\n");
}
