//! Tests of `giver`.
use stonewharf_leases::*;

fn ask(name: &str, life: u64, number: u64) -> Ask {
    Ask { name: name.into(), life, number }
}

#[test]
fn nothing_is_given_without_reign_or_confirmation_and_nothing_closed_before_it_ran_out() {
    let mut giver = Giver::new(Span { holder: 900, giver: 1_100 });
    giver.ask(ask("d1", 5, 1));
    assert!(!giver.confirm(), "no reign");
    assert_eq!(giver.close(0, "d1", 5), Err(NotYet::NoGiver));
    giver.reigns(1_000, 3);
    giver.ask(ask("d1", 5, 2));
    assert!(giver.confirm() && !giver.confirm(), "one confirmation at a time");
    giver.ask(ask("d1", 5, 3));
    assert_eq!(giver.confirmed(1_200), vec![ask("d1", 5, 2)], "a later question waits for the next one");
    assert_eq!(giver.close(1_900, "d1", 5), Err(NotYet::Former(2_100)));
    assert_eq!(giver.close(2_200, "d1", 5), Err(NotYet::Runs(2_300)));
    assert!(giver.confirm());
    assert!(giver.confirmed(2_250).is_empty(), "it gets no more while it is about to be closed");
    assert_eq!(giver.close(2_300, "d1", 5), Ok(3));
    giver.ask(ask("d1", 6, 1));
    assert!(giver.confirm());
    assert_eq!(giver.confirmed(2_400).len(), 1, "a later life is another");
    giver.ends();
    assert_eq!(giver.close(9_000, "d1", 6), Err(NotYet::NoGiver));
}

#[test]
fn a_former_life_is_waited_out_though_a_later_one_was_given_a_lease() {
    let mut giver = Giver::new(Span { holder: 900, giver: 1_100 });
    giver.reigns(0, 1);
    for (life, at) in [(5, 1_200), (6, 1_500)] {
        giver.ask(ask("d1", life, 1));
        assert!(giver.confirm());
        assert_eq!(giver.confirmed(at).len(), 1);
    }
    assert_eq!(giver.close(1_600, "d1", 5), Err(NotYet::Runs(2_300)));
    assert_eq!(giver.close(2_300, "d1", 5), Ok(1), "the later one goes on");
    giver.ask(ask("d1", 5, 9));
    assert!(giver.confirm() && giver.confirmed(2_400).is_empty());
}

#[test]
fn an_unconfirmed_round_gives_nothing_and_one_spared_is_given_again() {
    let mut giver = Giver::new(Span { holder: 900, giver: 1_100 });
    giver.reigns(0, 1);
    giver.ask(ask("d1", 5, 1));
    assert!(giver.confirm());
    giver.unconfirmed();
    assert!(giver.confirmed(10).is_empty());
    assert!(giver.close(20, "d1", 5).is_err());
    giver.spare("d1", 5);
    giver.ask(ask("d1", 5, 2));
    assert!(giver.confirm());
    assert_eq!(giver.confirmed(30).len(), 1);
}
