//! Viewers that close, reset or cancel while answers or resets from streamers cross them. Each bad order is
//! forced: the director process is stopped, both sides act, and it then sees everything in one turn.
mod common;
mod rig;
use rig::*;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;

/// Requests a session whose set-up waits for a connection to the streamer, which cannot be established
/// until the second returned stream, which fills the listener's queue, is accepted. The first is the
/// viewer's connection.
fn set_up_waiting_for_a_connection(rig: &Rig, id: u64, class: &str) -> (TcpStream, TcpStream) {
    let backlog_filler = fill_accept_queue(&rig.streamer);
    let mut viewer = rig.viewer();
    viewer.write_all(&set_up(id, class)).expect("written");
    wait_until("the set-up is sent", || rig.metric("sent") == 1);
    (viewer, backlog_filler)
}

/// Closes a connection so that its peer sees a reset after the data written before.
fn close_with_reset(stream: TcpStream) {
    socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO)).expect("set");
}

/// Whether an RTSP message concerns the session.
fn is_for(message: &str, id: u64) -> bool {
    message.contains(&format!("Session: {id:016x}"))
}

/// The connection to the streamer came up in the same turn as the viewer's close, and the set-up was written
/// before the close was processed.
#[test]
fn a_set_up_waiting_for_a_connection_is_not_sent_after_its_viewer_closed() {
    let rig = Rig::with_admin_and_settings(&common::settings_with_long_timeouts());
    let (viewer, _backlog_filler) = set_up_waiting_for_a_connection(&rig, 0xc1, "replay");
    rig.suspend();
    rig.close_viewer(viewer);
    drop(accept(&rig.streamer)); // the connection that filled the queue
    let mut streamer = rig.streamer(); // the director's own, established while the process is stopped
    rig.resume();
    let mut other = rig.viewer();
    other.write_all(&set_up(0xc2, "replay")).expect("written");
    let request = read_rtsp(&mut streamer);
    assert!(request.starts_with("SETUP") && is_for(&request, 0xc2), "nothing was sent before: {request}");
}

/// The same race with a cancellation by the viewer on a connection that stays open.
#[test]
fn a_set_up_waiting_for_a_connection_is_not_sent_after_its_viewer_canceled() {
    let rig = Rig::with_admin_and_settings(&common::settings_with_long_timeouts());
    let (mut viewer, _backlog_filler) = set_up_waiting_for_a_connection(&rig, 0xc3, "replay");
    rig.suspend();
    viewer.write_all(&message(12, 0xc3, &[(58, &[16])])).expect("written");
    drop(accept(&rig.streamer));
    let mut streamer = rig.streamer();
    rig.resume();
    viewer.write_all(&set_up(0xc4, "replay")).expect("written");
    let request = read_rtsp(&mut streamer);
    assert!(request.starts_with("SETUP") && is_for(&request, 0xc4), "nothing was sent before: {request}");
}

/// The same race with a streamer list update that says the streamer is draining.
#[test]
fn a_set_up_waiting_for_a_connection_is_not_sent_to_a_draining_streamer() {
    let rig = Rig::with_admin_and_settings(&common::settings_with_long_timeouts());
    let mut discovery = accept(&rig.discovery);
    let (mut viewer, _backlog_filler) = set_up_waiting_for_a_connection(&rig, 0xc5, "replay");
    rig.suspend();
    let draining = member("s-1", rig.streamer.local_addr().expect("bound"), "terminating");
    let roster = format!(r#"{{"no":2,"roster":{{"members":[{draining}]}}}}"#);
    drop(accept(&rig.streamer));
    let mut streamer = rig.streamer();
    discovery.write_all(format!("{roster}\n").as_bytes()).expect("written");
    rig.resume();
    let (kind, id, parameters) = read_message(&mut viewer);
    assert_eq!(
        (kind, id, &parameters[..4]),
        (12, 0xc5, &[58, 0, 1, 42][..]),
        "refused, since the attempt never ran"
    );
    drop(rig);
    assert_eq!(streamer.read(&mut [0; 64]).unwrap_or(0), 0, "nothing was sent");
}

/// The answer and the viewer's close arrived in one turn, and the session stayed established with nobody to
/// end it.
#[test]
fn a_session_answered_while_its_viewer_closes_is_released_at_its_streamer() {
    let rig = Rig::start();
    let mut viewer = rig.viewer();
    viewer.write_all(&set_up(0xc6, "replay")).expect("written");
    let mut streamer = rig.streamer();
    read_rtsp(&mut streamer);
    rig.suspend();
    streamer.write_all(&established_response(0xc6, "answer")).expect("written");
    rig.close_viewer(viewer);
    rig.resume();
    let mut other = rig.viewer();
    other.write_all(&set_up(0xc7, "replay")).expect("written");
    let request = read_rtsp(&mut streamer);
    assert!(request.starts_with("TEARDOWN") && is_for(&request, 0xc6), "{request}");
    assert!(is_for(&read_rtsp(&mut streamer), 0xc7));
}

/// The viewer reset its connection after the answer was written and before it was read, and the session
/// stayed established with nobody to end it. The end is also sent to the viewer, in case it did read the
/// answer.
#[test]
fn a_session_whose_answer_was_unread_at_a_reset_is_released_on_both_sides() {
    let rig = Rig::with_admin();
    let mut viewer = rig.viewer();
    viewer.write_all(&set_up(0xcc, "replay")).expect("written");
    let mut streamer = rig.streamer();
    read_rtsp(&mut streamer);
    let mut other = rig.viewer();
    other.write_all(&set_up(0xcd, "unheard-of")).expect("written");
    assert_eq!(read_message(&mut other).1, 0xcd, "this is a viewer's connection, too");
    streamer.write_all(&established_response(0xcc, "answer")).expect("written");
    viewer.peek(&mut [0]).expect("the answer is there");
    drop(viewer); // with the answer unread, this sends a reset
    let request = read_rtsp(&mut streamer);
    assert!(request.starts_with("TEARDOWN") && is_for(&request, 0xcc), "{request}");
    assert_eq!(read_message(&mut other), (12, 0xcc, vec![58, 0, 1, 41]));
}

/// The viewer closed while the attempt was in flight: the attempt is canceled, and the session of an answer
/// that crosses the close is released, whichever is processed first.
#[test]
fn an_answer_crossing_its_viewers_close_is_released_at_its_streamer() {
    let rig = Rig::start();
    let mut viewer = rig.viewer();
    viewer.write_all(&set_up(0xc8, "replay")).expect("written");
    let mut streamer = rig.streamer();
    read_rtsp(&mut streamer);
    rig.suspend();
    rig.close_viewer(viewer);
    streamer.write_all(&established_response(0xc8, "answer")).expect("written");
    rig.resume();
    let request = read_rtsp(&mut streamer);
    assert!(request.starts_with("TEARDOWN") && is_for(&request, 0xc8), "{request}");
}

/// A whole request with the end of input in one read, or half a request with the end of input: the viewer has
/// left, so the request is dropped, no attempt is sent, and the next request is served.
#[test]
fn a_request_followed_by_end_of_input_starts_no_attempt() {
    let rig = Rig::start();
    rig.suspend();
    for (id, length) in [(0xc9, usize::MAX), (0xca, 40)] {
        let bytes = set_up(id, "replay");
        let mut viewer = rig.viewer();
        viewer.write_all(&bytes[..length.min(bytes.len())]).expect("written");
    }
    rig.resume();
    let mut viewer = rig.viewer();
    viewer.write_all(&set_up(0xcb, "replay")).expect("written");
    let mut streamer = rig.streamer();
    let request = read_rtsp(&mut streamer);
    assert!(request.starts_with("SETUP") && is_for(&request, 0xcb), "{request}");
}

/// While data waited to be written to a streamer, a reset of the connection was noticed by the write first,
/// and an answer that had arrived before the reset was discarded.
#[test]
fn an_answer_before_a_reset_is_read_despite_pending_writes() {
    let rig = Rig::with_admin_and_settings(&common::settings_with_long_timeouts());
    socket2::SockRef::from(&*rig.streamer).set_recv_buffer_size(4_096).expect("set");
    let mut viewer = rig.viewer();
    viewer.write_all(&set_up(0xcf, "replay")).expect("written");
    let mut streamer = rig.streamer();
    read_rtsp(&mut streamer);
    // Few set-ups may wait for a title of which no session has been established yet.
    streamer.write_all(&established_response(0xcf, "answer")).expect("written");
    assert_eq!(read_message(&mut viewer).0, 9);
    viewer.write_all(&set_up(0xd0, "replay")).expect("written");
    read_rtsp(&mut streamer);
    // More than the kernel buffers for a streamer that does not read.
    let long_description = vec![b'o'; 15_000];
    let figures = b"home:0;copies:1;top:1;viewer:00000000b4d65521";
    let queued_set_ups: u64 = 250;
    for id in 0..queued_set_ups {
        let parameters: [(u8, &[u8]); 5] =
            [(16, b"replay"), (19, b"20000"), (28, b"7f3a"), (31, figures), (61, &long_description)];
        viewer.write_all(&message(1, 0x1_0000 + id, &parameters)).expect("written");
    }
    wait_until("all set-ups are sent", || rig.metric("sent") == queued_set_ups + 2);
    assert!(rig.metric("relayed") < queued_set_ups + 2, "some set-ups wait to be written");
    rig.suspend();
    streamer.write_all(&established_response(0xd0, "answer")).expect("written");
    close_with_reset(streamer);
    rig.resume();
    let answer = (0..=queued_set_ups).map(|_| read_message(&mut viewer)).find(|message| message.1 == 0xd0);
    assert_eq!(answer.map(|message| message.0), Some(9), "the session is established");
}

/// Answers that a viewer never read were discarded with its connection, and their sessions stayed
/// established.
#[test]
fn sessions_with_undelivered_answers_are_released_at_their_streamer() {
    let mut rig = Rig::with_admin_and_settings(&common::settings_with_long_timeouts());
    let viewer = rig.viewer();
    let mut streamer = None;
    let long_description = "a".repeat(15_000);
    let mut sent_count = 0;
    // The viewer reads nothing: its receive window closes, then the kernel's send buffer fills, then the
    // director's.
    while rig.metric("overfull") == 0 {
        sent_count += 1;
        assert!(sent_count < 2_000, "the connection is never closed");
        (&viewer).write_all(&set_up(sent_count, "replay")).expect("written");
        let streamer = streamer.get_or_insert_with(|| rig.streamer());
        read_rtsp(streamer);
        streamer.write_all(&established_response(sent_count, &long_description)).expect("written");
        wait_until("the request is answered", || rig.metric("served") == sent_count);
    }
    next_line(&mut rig.log, "viewer connection stalled");
    let request = read_rtsp(streamer.as_mut().expect("connected"));
    assert!(request.starts_with("TEARDOWN"), "{request}");
    wait_until("all sessions with undelivered answers are released", || rig.metric("undelivered") > 1);
}

/// A reset while answers are half written: their sessions are released at the streamer, and so is the session
/// that the viewer ended just before the reset. That message used to be discarded with the connection.
#[test]
fn a_reset_during_half_written_answers_leaves_no_session_established() {
    let rig = Rig::with_admin_and_settings(&common::settings_with_long_timeouts());
    let UnreadAnswers { mut viewer, mut streamer, first, .. } = unread_answers(&rig);
    let undelivered = rig.metric("undelivered");
    rig.suspend();
    viewer.write_all(&message(12, first, &[(58, &[16])])).expect("written");
    close_with_reset(viewer);
    rig.resume();
    let request = read_rtsp(&mut streamer);
    assert!(
        request.starts_with("TEARDOWN") && is_for(&request, first),
        "released as the viewer asked: {request}"
    );
    wait_until("sessions with undelivered answers are released, too", || {
        rig.metric("undelivered") > undelivered
    });
    assert!(read_rtsp(&mut streamer).starts_with("TEARDOWN"));
}
