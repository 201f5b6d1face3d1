//! Tests of `holder`.
use stonewharf_leases::*;

#[test]
fn a_lease_counts_from_its_request_and_a_late_grant_does_not_extend_it() {
    let duration = LeaseDuration { holder: 900, grantor: 1_100 };
    let mut holder = LeaseHolder::new(duration, 0);
    let first = holder.poll_request(0).expect("due at once");
    assert!(holder.poll_request(100).is_none() && !holder.is_valid(100));
    let second = holder.poll_request(300).expect("due again");
    holder.apply_grant(second);
    assert_eq!(holder.valid_until(), 1_200);
    holder.apply_grant(first);
    assert_eq!(holder.valid_until(), 1_200, "the grant of an older request does not shorten the lease");
    assert!(holder.is_valid(1_199) && !holder.is_valid(1_200));
    let third = holder.poll_request(600).expect("due again");
    holder.relinquish(700);
    holder.apply_grant(third);
    assert!(!holder.is_valid(700), "an old grant does not restore a relinquished lease");
}
