//! Tests of `holder`.
use stonewharf_leases::*;

#[test]
fn leave_counts_from_the_question_and_a_late_answer_gives_no_more() {
    let duration = LeaseDuration { holder: 900, grantor: 1_100 };
    let mut holder = LeaseHolder::new(duration, 0);
    let first = holder.poll_request(0).expect("at once");
    assert!(holder.poll_request(100).is_none() && !holder.is_valid(100));
    let second = holder.poll_request(300).expect("again");
    holder.apply_grant(second);
    assert_eq!(holder.valid_until(), 1_200);
    holder.apply_grant(first);
    assert_eq!(holder.valid_until(), 1_200, "an older question's answer takes nothing away");
    assert!(holder.is_valid(1_199) && !holder.is_valid(1_200));
    let third = holder.poll_request(600).expect("again");
    holder.relinquish(700);
    holder.apply_grant(third);
    assert!(!holder.is_valid(700), "what was given up does not come back by an old answer");
}
