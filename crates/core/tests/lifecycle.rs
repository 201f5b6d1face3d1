//! Tests of the director's lifecycle states.
use stonewharf_core::Micros;
use stonewharf_core::director::{CloseScope, Lifecycle, LifecycleState};

const S: Micros = 1_000_000;

#[test]
fn lame_duck_calls_are_idempotent_and_refused_while_stopping() {
    let mut lifecycle = Lifecycle::new(3 * S, false);
    assert!(lifecycle.accepts_clients() && lifecycle.poll_interval().is_none());
    assert_eq!(lifecycle.set_lame_duck(S, false), Ok(()), "it is serving already");
    assert_eq!(lifecycle.set_lame_duck(2 * S, true), Ok(()));
    assert_eq!(lifecycle.set_lame_duck(3 * S, true), Ok(()), "repeated call");
    assert_eq!(
        lifecycle.state(),
        LifecycleState::LameDuck { since: 2 * S, pending_expired: false },
        "the first call sets the time"
    );
    assert!(
        !lifecycle.accepts_clients()
            && lifecycle.accepts_connections()
            && lifecycle.poll_interval().is_some()
    );
    assert_eq!(lifecycle.set_lame_duck(4 * S, false), Ok(()));
    assert!(lifecycle.accepts_clients());
    assert!(lifecycle.stop(5 * S) && !lifecycle.stop(6 * S), "only the first stop request has an effect");
    assert_eq!(lifecycle.stop_deadline(), Some(8 * S));
    for on in [true, false] {
        let why = lifecycle.set_lame_duck(7 * S, on).expect_err("it is stopping");
        assert!(why.to_string().contains("ask the one"), "the error names the remedy: {why}");
    }
    assert!(!lifecycle.accepts_clients() && lifecycle.is_stopping());
}

/// Polls each state at the call, once the front end knows, and before it checks for open connections.
#[test]
fn connections_are_closed_at_the_time_that_each_state_sets() {
    let closes = |lifecycle: &mut Lifecycle| -> Vec<(CloseScope, bool)> {
        let at = [0, 499, 500, 3_699, 3_700, 3_880, 3_900];
        let actions = at.map(|ms| lifecycle.poll(10 * S + ms * 1_000));
        actions.into_iter().map(|actions| (actions.close, actions.expire_pending)).collect()
    };
    use CloseScope::{All, None, Unused};
    let mut serving = Lifecycle::new(3 * S, false);
    assert!(closes(&mut serving).iter().all(|c| *c == (None, false)));
    let mut lame_duck = Lifecycle::new(3 * S, false);
    lame_duck.set_lame_duck(10 * S, true).expect("it is serving");
    let kinds = [None, None, Unused, Unused, All, All, All];
    let expirations = [false, false, false, false, false, true, false];
    assert_eq!(closes(&mut lame_duck), kinds.into_iter().zip(expirations).collect::<Vec<_>>());
    let mut stopping = Lifecycle::new(3 * S, false);
    stopping.stop(10 * S);
    let kinds = [None, None, Unused, Unused, Unused, Unused, Unused].map(|c| (c, false));
    assert_eq!(closes(&mut stopping), kinds.to_vec());
    let mut with_successor = Lifecycle::new(3 * S, true);
    with_successor.stop(10 * S);
    assert!(closes(&mut with_successor).iter().all(|c| *c == (All, false)));
}

#[test]
fn only_a_director_with_a_successor_stops_early_and_hands_over_sessions() {
    for has_successor in [false, true] {
        let mut lifecycle = Lifecycle::new(3 * S, has_successor);
        assert!(lifecycle.accepts_connections() && !lifecycle.may_stop_early(0));
        lifecycle.set_lame_duck(S, true).expect("it is serving");
        assert!(
            lifecycle.accepts_connections() && !lifecycle.may_stop_early(0),
            "a lame duck still serves requests"
        );
        lifecycle.stop(2 * S);
        assert_eq!(
            (lifecycle.accepts_connections(), lifecycle.may_stop_early(0), lifecycle.may_stop_early(1)),
            (!has_successor, has_successor, false)
        );
        assert_eq!(lifecycle.hands_over_sessions(), has_successor);
    }
}

/// With several lame-duck periods, pending requests expire once in each of them.
#[test]
fn pending_requests_expire_once_in_each_lame_duck_period() {
    let mut lifecycle = Lifecycle::new(3 * S, false);
    let mut expirations = 0;
    for round in 0..3 {
        lifecycle.set_lame_duck(round * 10 * S, true).expect("it is serving");
        for ms in 0..5_000 {
            expirations += u32::from(lifecycle.poll(round * 10 * S + ms * 1_000).expire_pending);
        }
        lifecycle.set_lame_duck(round * 10 * S + 5 * S, false).expect("it is serving");
    }
    assert_eq!(expirations, 3);
}
