//! A viewer connection whose answers stay queued at the director, because the viewer does not read them.
use super::*;

/// A viewer connection with unread answers.
pub struct UnreadAnswers {
    pub viewer: TcpStream,
    pub streamer: TcpStream,
    /// Number of answers sent on it.
    pub answers: u64,
    /// Id of its first session.
    pub first: u64,
}

/// Opens a connection that is not read and fills it nearly to the point at which the director would close it.
pub fn unread_answers(rig: &Rig) -> UnreadAnswers {
    // A first connection shows how many answers the socket buffers hold before too many are queued at the
    // director.
    let mut full_viewer = non_reading_viewer(rig.address);
    full_viewer.write_all(&set_up(1, "replay")).expect("written");
    let mut streamer = rig.streamer();
    read_rtsp(&mut streamer);
    streamer.write_all(&established_response(1, "answer")).expect("written");
    wait_until("the request is answered", || rig.metric("served") == 1);
    let max_answers =
        send_long_answers(rig, &mut full_viewer, &mut streamer, |_| rig.metric("overfull") == 0);
    for _ in 0..released_sessions(rig) {
        assert!(read_rtsp(&mut streamer).starts_with("TEARDOWN"));
    }
    let mut viewer = non_reading_viewer(rig.address);
    let first = rig.metric("served") + 1;
    let answers = send_long_answers(rig, &mut viewer, &mut streamer, |answers| answers < max_answers - 4);
    UnreadAnswers { viewer, streamer, answers, first }
}

/// Returns the number of sessions that were released because their answers were not delivered.
fn released_sessions(rig: &Rig) -> u64 {
    wait_until("sessions are released as undelivered", || rig.metric("undelivered") > 0);
    rig.metric("undelivered")
}

/// Establishes sessions with long answers for a viewer that does not read, as long as `more` returns true.
/// Returns their number.
fn send_long_answers(
    rig: &Rig,
    viewer: &mut TcpStream,
    streamer: &mut TcpStream,
    more: impl Fn(u64) -> bool,
) -> u64 {
    let description = "a".repeat(15_000);
    let before = rig.metric("served");
    let mut answers = 0;
    while more(answers) {
        answers += 1;
        assert!(answers < 2_000, "the connection never gets full");
        let id = before + answers;
        viewer.write_all(&set_up(id, "replay")).expect("written");
        read_rtsp(streamer);
        streamer.write_all(&established_response(id, &description)).expect("written");
        wait_until("the request is answered", || rig.metric("served") == id);
    }
    answers
}
