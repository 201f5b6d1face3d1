//! Clients that close, reset or give up, and streamers whose answers and breaks cross them. Each bad order is
//! forced: the director is stopped, both sides act, and it meets all of it in one turn.
mod common;
mod rig;
use rig::*;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;

/// A set-up that is on its way to a connection that can't come up yet.
fn waiting_for_a_connection(rig: &Rig, id: u64, class: &str) -> (TcpStream, TcpStream) {
    let filler = hold_back(&rig.streamer);
    let mut viewer = rig.viewer();
    viewer.write_all(&set_up(id, class)).expect("written");
    until("it is sent", || rig.figure("sent") == 1);
    (viewer, filler)
}

/// Closes a connection so that its peer sees a reset, behind what was written before.
fn reset(stream: TcpStream) {
    socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO)).expect("set");
}

fn is_for(message: &str, id: u64) -> bool {
    message.contains(&format!("Session: {id:016x}"))
}

/// The connection came up in the same turn as the viewer's close: the set-up was written before the close was
/// heard.
#[test]
fn a_set_up_that_waits_for_its_connection_does_not_go_out_once_its_viewer_has_closed() {
    let rig = Rig::with_door_and(&common::settings_with_long_timeouts());
    let (viewer, _filler) = waiting_for_a_connection(&rig, 0xc1, "replay");
    rig.stop();
    rig.close(viewer);
    drop(accept(&rig.streamer)); // the one that filled the queue
    let mut streamer = rig.streamer(); // the director's comes up while it stands still
    rig.go_on();
    let mut other = rig.viewer();
    other.write_all(&set_up(0xc2, "replay")).expect("written");
    let first = read_rtsp(&mut streamer);
    assert!(first.starts_with("SETUP") && is_for(&first, 0xc2), "nothing went out before: {first}");
}

/// The same with a give-up on a connection that stays open.
#[test]
fn a_set_up_that_waits_for_its_connection_does_not_go_out_once_its_viewer_gave_it_up() {
    let rig = Rig::with_door_and(&common::settings_with_long_timeouts());
    let (mut viewer, _filler) = waiting_for_a_connection(&rig, 0xc3, "replay");
    rig.stop();
    viewer.write_all(&message(12, 0xc3, &[(58, &[16])])).expect("written");
    drop(accept(&rig.streamer));
    let mut streamer = rig.streamer();
    rig.go_on();
    viewer.write_all(&set_up(0xc4, "replay")).expect("written");
    let first = read_rtsp(&mut streamer);
    assert!(first.starts_with("SETUP") && is_for(&first, 0xc4), "nothing went out before: {first}");
}

/// The same with the list's word that the streamer drains.
#[test]
fn a_set_up_that_waits_for_its_connection_does_not_go_out_once_its_streamer_drains() {
    let rig = Rig::with_door_and(&common::settings_with_long_timeouts());
    let mut discovery = accept(&rig.bulletin);
    let (mut viewer, _filler) = waiting_for_a_connection(&rig, 0xc5, "replay");
    rig.stop();
    let draining = member("s-1", rig.streamer.local_addr().expect("bound"), "terminating");
    let event = format!(r#"{{"no":2,"roster":{{"members":[{draining}]}}}}"#);
    drop(accept(&rig.streamer));
    let mut streamer = rig.streamer();
    discovery.write_all(format!("{event}\n").as_bytes()).expect("written");
    rig.go_on();
    let (kind, id, parameters) = hear(&mut viewer);
    assert_eq!((kind, id, &parameters[..4]), (12, 0xc5, &[58, 0, 1, 42][..]), "refused: it never ran");
    drop(rig);
    assert_eq!(streamer.read(&mut [0; 64]).unwrap_or(0), 0, "nothing went out");
}

/// The answer and the viewer's close met in one turn: the session was left standing with nobody to end it.
#[test]
fn a_session_answered_as_its_viewer_closes_is_released_at_its_streamer() {
    let rig = Rig::start();
    let mut viewer = rig.viewer();
    viewer.write_all(&set_up(0xc6, "replay")).expect("written");
    let mut streamer = rig.streamer();
    read_rtsp(&mut streamer);
    rig.stop();
    streamer.write_all(&stands(0xc6, "answer")).expect("written");
    rig.close(viewer);
    rig.go_on();
    let mut other = rig.viewer();
    other.write_all(&set_up(0xc7, "replay")).expect("written");
    let first = read_rtsp(&mut streamer);
    assert!(first.starts_with("TEARDOWN") && is_for(&first, 0xc6), "{first}");
    assert!(is_for(&read_rtsp(&mut streamer), 0xc7));
}

/// The answer had been written when its viewer reset the connection without having read it: the session was left
/// standing with nobody to end it. A viewer that had read it hears of the end.
#[test]
fn a_session_whose_answer_was_not_read_before_a_reset_is_released_on_both_sides() {
    let rig = Rig::with_door();
    let mut viewer = rig.viewer();
    viewer.write_all(&set_up(0xcc, "replay")).expect("written");
    let mut streamer = rig.streamer();
    read_rtsp(&mut streamer);
    let mut other = rig.viewer();
    other.write_all(&set_up(0xcd, "unheard-of")).expect("written");
    assert_eq!(hear(&mut other).1, 0xcd, "a viewer's connection, too");
    streamer.write_all(&stands(0xcc, "answer")).expect("written");
    viewer.peek(&mut [0]).expect("the answer is there");
    drop(viewer); // with the answer unread: a reset
    let first = read_rtsp(&mut streamer);
    assert!(first.starts_with("TEARDOWN") && is_for(&first, 0xcc), "{first}");
    assert_eq!(hear(&mut other), (12, 0xcc, vec![58, 0, 1, 41]));
}

/// The viewer left while the request was out: the attempt is cancelled, and an answer that crosses that is
/// released, whichever comes first.
#[test]
fn an_attempt_is_cancelled_as_its_viewer_closes_and_a_crossing_answer_is_released() {
    let rig = Rig::start();
    let mut viewer = rig.viewer();
    viewer.write_all(&set_up(0xc8, "replay")).expect("written");
    let mut streamer = rig.streamer();
    read_rtsp(&mut streamer);
    rig.stop();
    rig.close(viewer);
    streamer.write_all(&stands(0xc8, "answer")).expect("written");
    rig.go_on();
    let ended = read_rtsp(&mut streamer);
    assert!(ended.starts_with("TEARDOWN") && is_for(&ended, 0xc8), "{ended}");
}

/// A whole request and the end of input in one read, half a request and the end: dropped as the viewer's doing,
/// nothing is sent, and the next request is served.
#[test]
fn a_request_with_the_end_of_input_behind_it_begins_no_attempt() {
    let rig = Rig::start();
    rig.stop();
    for (id, length) in [(0xc9, usize::MAX), (0xca, 40)] {
        let bytes = set_up(id, "replay");
        let mut viewer = rig.viewer();
        viewer.write_all(&bytes[..length.min(bytes.len())]).expect("written");
    }
    rig.go_on();
    let mut viewer = rig.viewer();
    viewer.write_all(&set_up(0xcb, "replay")).expect("written");
    let mut streamer = rig.streamer();
    let first = read_rtsp(&mut streamer);
    assert!(first.starts_with("SETUP") && is_for(&first, 0xcb), "{first}");
}

/// While something waited to be written to a streamer, a break of the connection was met by the write first,
/// and the answer that had come before the break was thrown away.
#[test]
fn an_answer_ahead_of_a_break_is_heard_though_more_was_to_be_written() {
    let rig = Rig::with_door_and(&common::settings_with_long_timeouts());
    socket2::SockRef::from(&*rig.streamer).set_recv_buffer_size(4_096).expect("set");
    let mut viewer = rig.viewer();
    viewer.write_all(&set_up(0xcf, "replay")).expect("written");
    let mut streamer = rig.streamer();
    read_rtsp(&mut streamer);
    streamer.write_all(&stands(0xcf, "answer")).expect("written"); // few wait for a title that never stood
    assert_eq!(hear(&mut viewer).0, 9);
    viewer.write_all(&set_up(0xd0, "replay")).expect("written");
    read_rtsp(&mut streamer);
    // More than the machine keeps for a streamer that does not read.
    let long = vec![b'o'; 15_000];
    let figures = b"home:0;copies:1;top:1;viewer:00000000b4d65521";
    let waiting: u64 = 250;
    for id in 0..waiting {
        let parameters: [(u8, &[u8]); 5] =
            [(16, b"replay"), (19, b"20000"), (28, b"7f3a"), (31, figures), (61, &long)];
        viewer.write_all(&message(1, 0x1_0000 + id, &parameters)).expect("written");
    }
    until("all are sent", || rig.figure("sent") == waiting + 2);
    assert!(rig.figure("relayed") < waiting + 2, "some wait to be written");
    rig.stop();
    streamer.write_all(&stands(0xd0, "answer")).expect("written");
    reset(streamer);
    rig.go_on();
    let first = (0..=waiting).map(|_| hear(&mut viewer)).find(|answer| answer.1 == 0xd0);
    assert_eq!(first.map(|answer| answer.0), Some(9), "it stands");
}

/// Answers that a viewer never read were thrown away with its connection, and their sessions left standing.
#[test]
fn sessions_whose_answers_could_not_leave_are_released_at_their_streamer() {
    let mut rig = Rig::with_door_and(&common::settings_with_long_timeouts());
    let viewer = rig.viewer();
    let mut streamer = None;
    let long = "a".repeat(15_000);
    let mut said = 0;
    // One that reads nothing: its window closes, then the machine's buffer is full, then the director's.
    while rig.figure("overfull") == 0 {
        said += 1;
        assert!(said < 2_000, "it is never closed");
        (&viewer).write_all(&set_up(said, "replay")).expect("written");
        let streamer = streamer.get_or_insert_with(|| rig.streamer());
        read_rtsp(streamer);
        streamer.write_all(&stands(said, &long)).expect("written");
        until("answered", || rig.figure("served") == said);
    }
    next_line(&mut rig.log, "viewers do not read");
    let released = read_rtsp(streamer.as_mut().expect("connected"));
    assert!(released.starts_with("TEARDOWN"), "{released}");
    until("all that had not left are", || rig.figure("undelivered") > 1);
}

/// A reset while answers are half written: their sessions are ended at the streamer, and so is the one that the
/// viewer had given up just before, which was thrown away with the connection.
#[test]
fn a_reset_behind_half_written_answers_leaves_nothing_standing() {
    let rig = Rig::with_door_and(&common::settings_with_long_timeouts());
    let HalfWritten { mut viewer, mut streamer, first, .. } = half_written(&rig);
    let undelivered = rig.figure("undelivered");
    rig.stop();
    viewer.write_all(&message(12, first, &[(58, &[16])])).expect("written");
    reset(viewer);
    rig.go_on();
    let ended = read_rtsp(&mut streamer);
    assert!(ended.starts_with("TEARDOWN") && is_for(&ended, first), "as the viewer asked: {ended}");
    until("those that had not left are, too", || rig.figure("undelivered") > undelivered);
    assert!(read_rtsp(&mut streamer).starts_with("TEARDOWN"));
}
