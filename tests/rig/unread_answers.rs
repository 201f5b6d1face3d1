//! A viewer's connection on which answers wait at the director, since nobody reads them.
use super::*;

/// Such a connection.
pub struct UnreadAnswers {
    pub viewer: TcpStream,
    pub streamer: TcpStream,
    /// How many answers were given on it.
    pub answers: u64,
    /// The first session of it.
    pub first: u64,
}

/// Brings a connection that nobody reads near the point at which the director would close it.
pub fn unread_answers(rig: &Rig) -> UnreadAnswers {
    // A first connection tells how many answers the machines keep before too much waits at the director.
    let mut full_viewer = non_reading_viewer(rig.address);
    full_viewer.write_all(&set_up(1, "replay")).expect("written");
    let mut streamer = rig.streamer();
    read_rtsp(&mut streamer);
    streamer.write_all(&established_response(1, "answer")).expect("written");
    wait_until("answered", || rig.metric("served") == 1);
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

/// Sessions that were ended because their answers had not left.
fn released_sessions(rig: &Rig) -> u64 {
    wait_until("some are", || rig.metric("undelivered") > 0);
    rig.metric("undelivered")
}

/// Sets sessions up for a viewer that reads nothing, with long answers, as long as `more` says; tells how many.
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
        assert!(answers < 2_000, "it is never full");
        let id = before + answers;
        viewer.write_all(&set_up(id, "replay")).expect("written");
        read_rtsp(streamer);
        streamer.write_all(&established_response(id, &description)).expect("written");
        wait_until("answered", || rig.metric("served") == id);
    }
    answers
}
