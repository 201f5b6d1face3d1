//! Tests of `duty`.
use stonewharf_core::Micros;
use stonewharf_core::director::{Close, Duty, Stance};

const S: Micros = 1_000_000;

#[test]
fn calls_change_the_stance_once_and_are_refused_at_the_end() {
    let mut duty = Duty::new(3 * S, false);
    assert!(duty.takes_clients() && duty.look_after().is_none());
    assert_eq!(duty.lame(S, false), Ok(()), "it serves already");
    assert_eq!(duty.lame(2 * S, true), Ok(()));
    assert_eq!(duty.lame(3 * S, true), Ok(()), "said twice");
    assert_eq!(duty.stance(), Stance::Away { since: 2 * S, hurried: false }, "the first word counts");
    assert!(!duty.takes_clients() && duty.listens() && duty.look_after().is_some());
    assert_eq!(duty.lame(4 * S, false), Ok(()));
    assert!(duty.takes_clients());
    assert!(duty.end(5 * S) && !duty.end(6 * S), "told to end once");
    assert_eq!(duty.ends_at(), Some(8 * S));
    for on in [true, false] {
        let why = duty.lame(7 * S, on).expect_err("it ends");
        assert!(why.to_string().contains("ask the one"), "says what to do: {why}");
    }
    assert!(!duty.takes_clients() && duty.ending());
}

/// What is closed when, for each stance: at the call, when the front has heard, before it looks.
#[test]
fn connections_are_closed_when_the_front_has_heard_and_all_of_them_before_it_looks() {
    let closes = |duty: &mut Duty| -> Vec<(Close, bool)> {
        let at = [0, 499, 500, 3_699, 3_700, 3_880, 3_900];
        let leaves = at.map(|ms| duty.leave(10 * S + ms * 1_000));
        leaves.into_iter().map(|l| (l.close, l.hurry)).collect()
    };
    use Close::{All, None, Unused};
    let mut serving = Duty::new(3 * S, false);
    assert!(closes(&mut serving).iter().all(|c| *c == (None, false)));
    let mut away = Duty::new(3 * S, false);
    away.lame(10 * S, true).expect("it serves");
    let kinds = [None, None, Unused, Unused, All, All, All];
    let hurried = [false, false, false, false, false, true, false];
    assert_eq!(closes(&mut away), kinds.into_iter().zip(hurried).collect::<Vec<_>>());
    let mut ending = Duty::new(3 * S, false);
    ending.end(10 * S);
    let kinds = [None, None, Unused, Unused, Unused, Unused, Unused].map(|c| (c, false));
    assert_eq!(closes(&mut ending), kinds.to_vec());
    let mut heir = Duty::new(3 * S, true);
    heir.end(10 * S);
    assert!(closes(&mut heir).iter().all(|c| *c == (All, false)));
}

#[test]
fn only_with_an_heir_the_end_comes_early_takes_no_connections_and_leaves_what_stands() {
    for heir in [false, true] {
        let mut duty = Duty::new(3 * S, heir);
        assert!(duty.listens() && !duty.done(0));
        duty.lame(S, true).expect("it serves");
        assert!(duty.listens() && !duty.done(0), "sent away, it may still be asked");
        duty.end(2 * S);
        assert_eq!((duty.listens(), duty.done(0), duty.done(1)), (!heir, heir, false));
        assert_eq!(duty.bequeaths(), heir);
    }
}

/// Sent away again and again, each time is hurried once.
#[test]
fn each_time_is_hurried_once() {
    let mut duty = Duty::new(3 * S, false);
    let mut hurries = 0;
    for round in 0..3 {
        duty.lame(round * 10 * S, true).expect("it serves");
        for ms in 0..5_000 {
            hurries += u32::from(duty.leave(round * 10 * S + ms * 1_000).hurry);
        }
        duty.lame(round * 10 * S + 5 * S, false).expect("it serves");
    }
    assert_eq!(hurries, 3);
}
