//! Tests of the metrics registry.
use std::ops::AddAssign;
use stonewharf_core::director::*;

#[test]
fn metrics_of_one_name_share_a_value_that_is_rendered() {
    let metrics = MetricsRegistry::default();
    let (mut first, other) = (metrics.counter("operations.pay per view.fulfilled"), metrics.counter("b"));
    first += 3;
    metrics.counter("operations.pay per view.fulfilled").clone().add_assign(4);
    metrics.set_gauge("open_requests", 14);
    metrics.set_gauge("open_requests", 2);
    assert_eq!((first.get(), other.get()), (7, 0));
    assert_eq!(metrics.render(), "svc.b=0\nsvc.open_requests=2\nsvc.operations.pay per view.fulfilled=7\n");
}
