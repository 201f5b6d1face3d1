//! Clients that close, reset or give up, and streamers whose answers and breaks cross them. Each bad order is
//! forced: the director is stopped, both sides act, and it meets all of it in one turn.
mod common;
mod rig;
use rig::*;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;

/// A set-up that is on its way to a connection that can't come up yet.
fn set_up_waiting_for_a_connection(rig: &Rig, id: u64, class: &str) -> (TcpStream, TcpStream) {
    let backlog_filler = hold_back(&rig.streamer);
    let mut viewer = rig.viewer();
    viewer.write_all(&set_up(id, class)).expect("written");
    until("it is sent", || rig.figure("sent") == 1);
    (viewer, backlog_filler)
}

/// Closes a connection so that its peer sees a reset, behind what was written before.
fn close_with_reset(stream: TcpStream) {
    socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO)).expect("set");
}

fn is_for(message: &str, id: u64) -> bool {
    message.contains(&format!("Session: {id:016x}"))
}

/// The connection came up in the same turn as the viewer's close: the set-up was written before the close was
/// heard.
#[test]
fn a_set_up_waiting_for_a_connection_is_not_sent_after_its_viewer_closed() {
    let rig = Rig::with_door_and(&common::patient());
    let (viewer, _backlog_filler) = set_up_waiting_for_a_connection(&rig, 0xc1, "replay");
    rig.stop();
    rig.close(viewer);
    drop(accept(&rig.streamer)); // the one that filled the queue
    let mut streamer = rig.streamer(); // the director's comes up while it stands still
    rig.go_on();
    let mut other = rig.viewer();
    other.write_all(&set_up(0xc2, "replay")).expect("written");
    let request = read_rtsp(&mut streamer);
    assert!(request.starts_with("SETUP") && is_for(&request, 0xc2), "nothing went out before: {request}");
}

/// The same with a give-up on a connection that stays open.
#[test]
fn a_set_up_waiting_for_a_connection_is_not_sent_after_its_viewer_canceled() {
    let rig = Rig::with_door_and(&common::patient());
    let (mut viewer, _backlog_filler) = set_up_waiting_for_a_connection(&rig, 0xc3, "replay");
    rig.stop();
    viewer.write_all(&message(12, 0xc3, &[(58, &[16])])).expect("written");
    drop(accept(&rig.streamer));
    let mut streamer = rig.streamer();
    rig.go_on();
    viewer.write_all(&set_up(0xc4, "replay")).expect("written");
    let request = read_rtsp(&mut streamer);
    assert!(request.starts_with("SETUP") && is_for(&request, 0xc4), "nothing went out before: {request}");
}

/// The same with the list's word that the streamer drains.
#[test]
fn a_set_up_waiting_for_a_connection_is_not_sent_to_a_draining_streamer() {
    let rig = Rig::with_door_and(&common::patient());
    let mut discovery = accept(&rig.bulletin);
    let (mut viewer, _backlog_filler) = set_up_waiting_for_a_connection(&rig, 0xc5, "replay");
    rig.stop();
    let draining = member("s-1", rig.streamer.local_addr().expect("bound"), "terminating");
    let roster = format!(r#"{{"no":2,"roster":{{"members":[{draining}]}}}}"#);
    drop(accept(&rig.streamer));
    let mut streamer = rig.streamer();
    discovery.write_all(format!("{roster}\n").as_bytes()).expect("written");
    rig.go_on();
    let (kind, id, parameters) = hear(&mut viewer);
    assert_eq!((kind, id, &parameters[..4]), (12, 0xc5, &[58, 0, 1, 42][..]), "refused: it never ran");
    drop(rig);
    assert_eq!(streamer.read(&mut [0; 64]).unwrap_or(0), 0, "nothing went out");
}

/// The answer and the viewer's close met in one turn: the session was left standing with nobody to end it.
#[test]
fn a_session_answered_while_its_viewer_closes_is_released_at_its_streamer() {
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
    let request = read_rtsp(&mut streamer);
    assert!(request.starts_with("TEARDOWN") && is_for(&request, 0xc6), "{request}");
    assert!(is_for(&read_rtsp(&mut streamer), 0xc7));
}

/// The answer had been written when its viewer reset the connection without having read it: the session was left
/// standing with nobody to end it. A viewer that had read it hears of the end.
#[test]
fn a_session_whose_answer_was_unread_at_a_reset_is_released_on_both_sides() {
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
    let request = read_rtsp(&mut streamer);
    assert!(request.starts_with("TEARDOWN") && is_for(&request, 0xcc), "{request}");
    assert_eq!(hear(&mut other), (12, 0xcc, vec![58, 0, 1, 41]));
}

/// The viewer left while the request was out: the attempt is cancelled, and an answer that crosses that is
/// released, whichever comes first.
#[test]
fn an_answer_crossing_its_viewers_close_is_released_at_its_streamer() {
    let rig = Rig::start();
    let mut viewer = rig.viewer();
    viewer.write_all(&set_up(0xc8, "replay")).expect("written");
    let mut streamer = rig.streamer();
    read_rtsp(&mut streamer);
    rig.stop();
    rig.close(viewer);
    streamer.write_all(&stands(0xc8, "answer")).expect("written");
    rig.go_on();
    let request = read_rtsp(&mut streamer);
    assert!(request.starts_with("TEARDOWN") && is_for(&request, 0xc8), "{request}");
}

/// A whole request and the end of input in one read, half a request and the end: dropped as the viewer's doing,
/// nothing is sent, and the next request is served.
#[test]
fn a_request_followed_by_end_of_input_starts_no_attempt() {
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
    let request = read_rtsp(&mut streamer);
    assert!(request.starts_with("SETUP") && is_for(&request, 0xcb), "{request}");
}

/// While something waited to be written to a streamer, a break of the connection was met by the write first,
/// and the answer that had come before the break was thrown away.
#[test]
fn an_answer_before_a_reset_is_read_despite_pending_writes() {
    let rig = Rig::with_door_and(&common::patient());
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
    let long_description = vec![b'o'; 15_000];
    let figures = b"home:0;copies:1;top:1;viewer:00000000b4d65521";
    let queued_set_ups: u64 = 250;
    for id in 0..queued_set_ups {
        let parameters: [(u8, &[u8]); 5] =
            [(16, b"replay"), (19, b"20000"), (28, b"7f3a"), (31, figures), (61, &long_description)];
        viewer.write_all(&message(1, 0x1_0000 + id, &parameters)).expect("written");
    }
    until("all are sent", || rig.figure("sent") == queued_set_ups + 2);
    assert!(rig.figure("relayed") < queued_set_ups + 2, "some wait to be written");
    rig.stop();
    streamer.write_all(&stands(0xd0, "answer")).expect("written");
    close_with_reset(streamer);
    rig.go_on();
    let answer = (0..=queued_set_ups).map(|_| hear(&mut viewer)).find(|message| message.1 == 0xd0);
    assert_eq!(answer.map(|message| message.0), Some(9), "it stands");
}

/// Answers that a viewer never read were thrown away with its connection, and their sessions left standing.
#[test]
fn sessions_with_undelivered_answers_are_released_at_their_streamer() {
    let mut rig = Rig::with_door_and(&common::patient());
    let viewer = rig.viewer();
    let mut streamer = None;
    let long_description = "a".repeat(15_000);
    let mut sent_count = 0;
    // One that reads nothing: its window closes, then the machine's buffer is full, then the director's.
    while rig.figure("overfull") == 0 {
        sent_count += 1;
        assert!(sent_count < 2_000, "it is never closed");
        (&viewer).write_all(&set_up(sent_count, "replay")).expect("written");
        let streamer = streamer.get_or_insert_with(|| rig.streamer());
        read_rtsp(streamer);
        streamer.write_all(&stands(sent_count, &long_description)).expect("written");
        until("answered", || rig.figure("served") == sent_count);
    }
    next_line(&mut rig.log, "viewers do not read");
    let request = read_rtsp(streamer.as_mut().expect("connected"));
    assert!(request.starts_with("TEARDOWN"), "{request}");
    until("all that had not left are", || rig.figure("undelivered") > 1);
}

/// A reset while answers are half written: their sessions are ended at the streamer, and so is the one that the
/// viewer had given up just before, which was thrown away with the connection.
#[test]
fn a_reset_during_half_written_answers_leaves_no_session_established() {
    let rig = Rig::with_door_and(&common::patient());
    let HalfWritten { mut viewer, mut streamer, first, .. } = half_written(&rig);
    let undelivered = rig.figure("undelivered");
    rig.stop();
    viewer.write_all(&message(12, first, &[(58, &[16])])).expect("written");
    close_with_reset(viewer);
    rig.go_on();
    let request = read_rtsp(&mut streamer);
    assert!(request.starts_with("TEARDOWN") && is_for(&request, first), "as the viewer asked: {request}");
    until("those that had not left are, too", || rig.figure("undelivered") > undelivered);
    assert!(read_rtsp(&mut streamer).starts_with("TEARDOWN"));
}
