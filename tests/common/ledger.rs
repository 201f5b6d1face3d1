//! Helpers for tests that drive a director's core without sockets.
use super::*;
use std::rc::Rc;
use stonewharf::director::*;

/// The viewer connection on which [`session_request`] sends its requests.
pub const VIEWER_LINK: ViewerLink = ViewerLink(7);

/// Time after which the director no longer treats its own state as uncertain because of its recent start.
const STARTUP_US: Micros = 20 * S;

/// A director without a streamer list. Sessions of class 0 are paid and may be set up at most once; class 1
/// is idempotent.
pub fn new_director() -> Director {
    let mut paid_class = class(2.0, Effect::AtMostOnce);
    paid_class.lowest_rung = 1;
    let director_settings = settings(vec![paid_class, class(1.0, Effect::Idempotent)]);
    Director::new(director_settings, 1, 0).expect("settings")
}

/// A director with a list of four streamers, and a time past its start-up phase.
pub fn ready_director() -> (Director, Micros) {
    let mut director = new_director();
    let streamer_list = |scope| Input::List { scope, entries: (0..4).map(|i| entry(i, i)).collect() };
    director.turn(0, [streamer_list(ListScope::Full)]);
    (director, STARTUP_US)
}

/// A viewer's request for a session.
pub fn session_request(id: u64, class: usize) -> Input {
    Input::Wanted { link: VIEWER_LINK, request: request(id, class), parcel: Rc::default() }
}

/// The streamer, the attempt and the deadline of the set-up among the outputs.
pub fn find_set_up(outputs: &[Output]) -> Option<(StreamerId, Attempt, Micros)> {
    outputs.iter().find_map(|output| match output {
        Output::SetUp(SetUp { streamer, attempt, until, .. }) => Some((*streamer, *attempt, *until)),
        _ => None,
    })
}

/// Runs one turn; leaves out deadlines, log lines and [`Output::Attend`].
pub fn run_turn(director: &mut Director, now: Micros, input: Input) -> Vec<Output> {
    let outputs = director.turn(now, [input]);
    outputs
        .into_iter()
        .filter(|output| !matches!(output, Output::Wake(..) | Output::Log(_) | Output::Attend(_)))
        .collect()
}

/// A streamer's answer that the session of an attempt is established.
pub fn established(streamer: StreamerId, attempt: Attempt, number: Option<u32>) -> Input {
    Input::Stands { streamer, session: attempt.session, number, description: b"as made".to_vec() }
}
