//! Tests of `holder`.
use stonewharf_leases::*;

#[test]
fn leave_counts_from_the_question_and_a_late_answer_gives_no_more() {
    let span = Span { holder: 900, giver: 1_100 };
    let mut holder = Holder::new(span, 0);
    let first = holder.ask(0).expect("at once");
    assert!(holder.ask(100).is_none() && !holder.holds(100));
    let second = holder.ask(300).expect("again");
    holder.granted(second);
    assert_eq!(holder.until(), 1_200);
    holder.granted(first);
    assert_eq!(holder.until(), 1_200, "an older question's answer takes nothing away");
    assert!(holder.holds(1_199) && !holder.holds(1_200));
    let third = holder.ask(600).expect("again");
    holder.drop_it(700);
    holder.granted(third);
    assert!(!holder.holds(700), "what was given up does not come back by an old answer");
}
