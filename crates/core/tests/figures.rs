//! Tests of `figures`.
use std::ops::AddAssign;
use stonewharf_core::director::*;

#[test]
fn one_name_is_one_place_and_text_shows_what_was_counted() {
    let figures = Figures::default();
    let (mut one, again) = (figures.count("operations.pay per view.fulfilled"), figures.count("b"));
    one += 3;
    figures.count("operations.pay per view.fulfilled").clone().add_assign(4);
    figures.level("open_requests", 14);
    figures.level("open_requests", 2);
    assert_eq!((one.get(), again.get()), (7, 0));
    assert_eq!(figures.text(), "svc.b=0\nsvc.open_requests=2\nsvc.operations.pay per view.fulfilled=7\n");
}
