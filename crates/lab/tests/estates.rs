//! The checks of sessions that outlive their director: what is right passes, each planted error is caught.
use stonewharf_lab::{Act, Asked, Final, History, SetUp, Told, check};

mod common;
use common::{S, T, line, right};

/// Sessions that outlive d2, killed at 5 s: twenty-five stood there, d1 takes them over and acts on them.
fn outlived() -> History {
    let mut history = right();
    history.continuity = true;
    history.plays_on = 0.98;
    for n in 0..25_u64 {
        let id = format!("b{n}");
        history.asked.push(Asked {
            id: id.clone(),
            viewer: format!("v{n}"),
            paid: true,
            director: 2,
            at: T + 4 * S,
            finals: vec![(T + 4 * S + 1_000, Final::Served)],
            broke_at: None,
        });
        history.set_ups.push(SetUp {
            streamer: 1,
            id: id.clone(),
            class: "replay".into(),
            rung: Some(1),
            at: T + 4 * S,
            over: Some(T + 4 * S),
            by: Some(2),
            stands: true,
            ended: Some(T + 9 * S),
            how: "natural".into(),
        });
        let (at, what) = (T + 8 * S, "rung".to_owned());
        history.acts.push(Act { streamer: 1, id: id.clone(), by: Some(1), at, what });
        history.told.push(Told { id, at: T + 9 * S + 1_000 });
    }
    let keys: &[(&str, &str)] = &[("owner", "d2")];
    let mut over = line(1, T + 7 * S, "estate: taken over", keys);
    over.keys.insert("epoch".into(), 1.into());
    history.log.push(over);
    history
}

fn caught_outlived(name: &str, plant: impl FnOnce(&mut History)) {
    let mut history = outlived();
    plant(&mut history);
    let checked = check(&history);
    assert!(!checked.valid && checked.checks[name].offences > 0, "{name}: {:?}", checked.checks);
}

#[test]
fn sessions_that_outlive_their_director_pass_and_their_figures_are_told() {
    let checked = check(&outlived());
    assert!(checked.valid, "{:?}", checked.checks);
    assert_eq!((checked.plays_on, checked.viewers_told, checked.control.count), (1.0, 1.0, 1));
    assert_eq!(checked.control.p50_ms, 2_000);
    for name in ["one_hand", "paid_viewer_once", "taken_over_once", "plays_on"] {
        assert!(checked.checks[name].looked_at > 0, "{name}");
    }
}

#[test]
fn a_director_that_acts_after_its_heir_is_caught() {
    caught_outlived("one_hand", |h| {
        let (by, at) = (Some(2), T + 8 * S + S / 2);
        h.acts.push(Act { streamer: 1, id: "b3".into(), by, at, what: "release".into() });
    });
}

#[test]
fn an_estate_that_two_take_over_is_caught() {
    caught_outlived("taken_over_once", |h| {
        let mut over = line(0, T + 8 * S, "estate: taken over", &[("owner", "d2")]);
        over.keys.insert("epoch".into(), 1.into());
        h.log.push(over);
    });
}

#[test]
fn a_viewer_set_up_beside_its_own_paid_session_is_caught() {
    caught_outlived("paid_viewer_once", |h| {
        h.asked.push(Asked {
            id: "c1".into(),
            viewer: "v3".into(),
            paid: true,
            at: T + 6 * S,
            ..h.asked[0].clone()
        });
        let beside = SetUp { id: "c1".into(), at: T + 6 * S, by: Some(0), ..h.set_ups[4].clone() };
        h.set_ups.push(beside);
    });
}

#[test]
fn sessions_that_end_with_their_director_are_caught() {
    caught_outlived("plays_on", |h| {
        for s in h.set_ups.iter_mut().filter(|s| s.by == Some(2)).take(2) {
            (s.how, s.ended) = ("released".into(), Some(T + 7 * S));
        }
    });
}

#[test]
fn a_run_that_shows_too_little_does_not_pass() {
    caught_outlived("one_hand", |h| {
        h.acts.clear();
        h.set_ups.iter_mut().for_each(|s| s.by = None);
    });
    caught_outlived("taken_over_once", |h| h.log.retain(|l| l.msg != "estate: taken over"));
    caught_outlived("plays_on", |h| h.set_ups.truncate(5));
}
