//! A director's core without sockets, for tests of its ledger.
use super::*;
use std::rc::Rc;
use stonewharf::director::*;

/// The connection that all requests come on.
pub const LINK: ViewerLink = ViewerLink(7);

pub fn director() -> Director {
    let mut paid = class(2.0, Effect::AtMostOnce);
    paid.lowest_rung = 1;
    let set = settings(vec![paid, class(1.0, Effect::Idempotent)]);
    Director::new(set, 1, 0).expect("settings")
}

/// A director with its list, its clock past the doubts of its own start.
pub fn ready() -> (Director, Micros) {
    let mut d = director();
    let list = |scope| Input::List { scope, entries: (0..4).map(|i| entry(i, i)).collect() };
    d.turn(0, [list(ListScope::Full)]);
    (d, 20 * S)
}

pub fn wanted(id: u64, class: usize) -> Input {
    Input::Wanted { link: LINK, request: request(id, class), parcel: Rc::default() }
}

/// The set-up among what is to be done.
pub fn sent(deeds: &[Deed]) -> Option<(StreamerId, Attempt, Micros)> {
    deeds.iter().find_map(|d| match d {
        Deed::SetUp(SetUp { streamer, attempt, until, .. }) => Some((*streamer, *attempt, *until)),
        _ => None,
    })
}

/// One turn, without deadlines and lines for the log.
pub fn turn(d: &mut Director, now: Micros, input: Input) -> Vec<Deed> {
    let deeds = d.turn(now, [input]);
    deeds.into_iter().filter(|d| !matches!(d, Deed::Wake(..) | Deed::Log(_) | Deed::Attend(_))).collect()
}

pub fn stands(streamer: StreamerId, attempt: Attempt, number: Option<u32>) -> Input {
    Input::Stands { streamer, session: attempt.session, number, description: b"as made".to_vec() }
}
