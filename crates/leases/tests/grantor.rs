//! Tests of `grantor`.
use stonewharf_leases::*;

fn request(name: &str, incarnation: u64, number: u64) -> LeaseRequest {
    LeaseRequest { name: name.into(), incarnation, number }
}

#[test]
fn no_grant_without_term_and_confirmation_and_no_close_before_the_lease_expires() {
    let mut grantor = LeaseGrantor::new(LeaseDuration { holder: 900, grantor: 1_100 });
    grantor.request(request("d1", 5, 1));
    assert!(!grantor.begin_confirmation(), "no term");
    assert_eq!(grantor.try_close(0, "d1", 5), Err(CloseError::NotGrantor));
    grantor.begin_term(1_000, 3);
    grantor.request(request("d1", 5, 2));
    assert!(grantor.begin_confirmation() && !grantor.begin_confirmation(), "one confirmation at a time");
    grantor.request(request("d1", 5, 3));
    assert_eq!(
        grantor.confirmation_succeeded(1_200),
        vec![request("d1", 5, 2)],
        "a later request waits for the next confirmation"
    );
    assert_eq!(grantor.try_close(1_900, "d1", 5), Err(CloseError::EarlierGrantor(2_100)));
    assert_eq!(grantor.try_close(2_200, "d1", 5), Err(CloseError::MayBeActive(2_300)));
    assert!(grantor.begin_confirmation());
    assert!(
        grantor.confirmation_succeeded(2_250).is_empty(),
        "no lease for an incarnation that is about to be closed"
    );
    assert_eq!(grantor.try_close(2_300, "d1", 5), Ok(3));
    grantor.request(request("d1", 6, 1));
    assert!(grantor.begin_confirmation());
    assert_eq!(grantor.confirmation_succeeded(2_400).len(), 1, "a later incarnation gets its own lease");
    grantor.end_term();
    assert_eq!(grantor.try_close(9_000, "d1", 6), Err(CloseError::NotGrantor));
}

#[test]
fn an_earlier_incarnation_has_to_expire_even_if_a_later_one_got_a_lease() {
    let mut grantor = LeaseGrantor::new(LeaseDuration { holder: 900, grantor: 1_100 });
    grantor.begin_term(0, 1);
    for (incarnation, at) in [(5, 1_200), (6, 1_500)] {
        grantor.request(request("d1", incarnation, 1));
        assert!(grantor.begin_confirmation());
        assert_eq!(grantor.confirmation_succeeded(at).len(), 1);
    }
    assert_eq!(grantor.try_close(1_600, "d1", 5), Err(CloseError::MayBeActive(2_300)));
    assert_eq!(grantor.try_close(2_300, "d1", 5), Ok(1), "the later one may go on");
    grantor.request(request("d1", 5, 9));
    assert!(grantor.begin_confirmation() && grantor.confirmation_succeeded(2_400).is_empty());
}

#[test]
fn a_failed_confirmation_grants_nothing_and_a_canceled_close_allows_grants_again() {
    let mut grantor = LeaseGrantor::new(LeaseDuration { holder: 900, grantor: 1_100 });
    grantor.begin_term(0, 1);
    grantor.request(request("d1", 5, 1));
    assert!(grantor.begin_confirmation());
    grantor.confirmation_failed();
    assert!(grantor.confirmation_succeeded(10).is_empty());
    assert!(grantor.try_close(20, "d1", 5).is_err());
    grantor.cancel_close("d1", 5);
    grantor.request(request("d1", 5, 2));
    assert!(grantor.begin_confirmation());
    assert_eq!(grantor.confirmation_succeeded(30).len(), 1);
}
