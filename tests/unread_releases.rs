//! Releases and rung changes that a streamer may not have read because their connection ended. They are sent again on
//! another connection.
mod common;
mod rig;
use common::S;
use common::ledger::{VIEWER_LINK, established, find_set_up, ready_director, run_turn, session_request};
use rig::*;
use std::io::Write;
use std::net::TcpStream;
use std::time::Duration;
use stonewharf::director::*;
use stonewharf::*;

/// Closes a connection so that its peer sees a reset.
fn reset(stream: TcpStream) {
    socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO)).expect("set");
}

/// Reads messages to a streamer up to the release of a session.
fn read_release(streamer: &mut TcpStream, id: u64) {
    let release = |text: &str| text.starts_with("TEARDOWN") && text.contains(&format!("Session: {id:016x}"));
    let mut messages = (0..1_000).map(|_| read_rtsp(streamer));
    assert!(messages.any(|text| release(&text)), "the session is released");
}

/// The message by which a viewer gives a set-up up, or ends its session.
fn viewer_end(id: u64) -> Vec<u8> {
    message(12, id, &[(58, &[16])])
}

/// A release waited to be written as its connection ended. It waited on for the next new connection, up to a minute,
/// although another one was open: with no session left at the streamer, none is opened for it.
#[test]
fn a_release_that_waits_as_its_connection_ends_is_sent_on_another_open_one() {
    let rig = Rig::with_admin_and_settings(&common::settings_with_long_timeouts());
    socket2::SockRef::from(&*rig.streamer).set_recv_buffer_size(4_096).expect("set");
    let (mut viewer, mut first) = connect_and_establish(&rig, 0x601);
    // A second set-up under an id that was cancelled on the first connection needs another one.
    viewer.write_all(&set_up(0x602, "replay")).expect("written");
    read_rtsp(&mut first);
    viewer.write_all(&viewer_end(0x602)).expect("written");
    read_rtsp(&mut first);
    viewer.write_all(&set_up(0x602, "replay")).expect("written");
    let mut second = rig.streamer();
    read_rtsp(&mut second);
    viewer.write_all(&viewer_end(0x602)).expect("written");
    read_rtsp(&mut second);
    // The connection that was received on last is used first.
    first.write_all(&note(0x601)).expect("written");
    wait_until("the note is read", || rig.metric("notes") == 1);
    // More than the kernel buffers for a streamer that does not read the first connection.
    let long_description = vec![b'o'; 15_000];
    let attributes = b"home:0;copies:1;top:1;viewer:00000000b4d65521";
    for id in 0..250 {
        let parameters: [(u8, &[u8]); 5] =
            [(16, b"replay"), (19, b"20000"), (28, b"7f3a"), (31, attributes), (61, &long_description)];
        viewer.write_all(&message(1, 0x1_0000 + id, &parameters)).expect("written");
    }
    wait_until("all set-ups are sent", || rig.metric("sent") == 253);
    viewer.write_all(&viewer_end(0x601)).expect("written");
    wait_until("the session is over", || rig.metric("viewer_ended") == 1);
    reset(first);
    read_release(&mut second, 0x601);
}

/// A release was written to a connection that the streamer reset before it read it. It was not sent again, and the
/// session was left standing at the streamer.
#[test]
fn a_release_that_is_unread_at_a_reset_is_sent_again() {
    let settings = common::SETTINGS_JSON.replace(r#""multiplex": 32"#, r#""multiplex": 1"#);
    let rig = Rig::with_admin_and_settings(&settings);
    let mut viewer = rig.viewer();
    let mut streamers = Vec::new();
    for id in [0x611, 0x612] {
        viewer.write_all(&set_up(id, "replay")).expect("written");
        streamers.push(rig.streamer());
        read_rtsp(streamers.last_mut().expect("connected"));
    }
    for (streamer, id) in streamers.iter_mut().zip([0x611, 0x612]) {
        streamer.write_all(&established_response(id, "answer")).expect("written");
        assert_eq!(read_message(&mut viewer).0, 9);
    }
    viewer.write_all(&viewer_end(0x611)).expect("written");
    let last_received_on = streamers.remove(1);
    last_received_on.peek(&mut [0]).expect("the release is there");
    reset(last_received_on);
    read_release(&mut streamers[0], 0x611);
}

/// The same where the streamer ends the connection in order, but without having read what was written last.
#[test]
fn a_release_that_crosses_the_end_of_its_connection_is_sent_again() {
    let rig = Rig::with_admin();
    let (mut viewer, streamer) = connect_and_establish(&rig, 0x621);
    rig.suspend();
    viewer.write_all(&viewer_end(0x621)).expect("written");
    streamer.shutdown(std::net::Shutdown::Write).expect("shut down");
    rig.resume();
    wait_until("the session is over", || rig.metric("viewer_ended") == 1);
    drop(streamer);
    read_release(&mut rig.streamer(), 0x621);
}

/// A release that is sent again must not end another attempt at the same streamer, and a rung that is sent again is the
/// one in force.
#[test]
fn what_is_sent_again_fits_the_state_of_its_session() {
    let (mut director, now) = ready_director();
    let (streamer, attempt, _) =
        find_set_up(&run_turn(&mut director, now, session_request(1, 0))).expect("a set-up");
    let id = attempt.session;
    let other = StreamerId(streamer.0 + 1);
    let unread = |at| Input::ReleaseUnread(at, id);
    assert!(run_turn(&mut director, now, unread(streamer)).is_empty(), "it is being set up there");
    assert_eq!(run_turn(&mut director, now, unread(other)), [Output::Drop(other, id)]);
    run_turn(&mut director, now, established(streamer, attempt, Some(0)));
    assert!(run_turn(&mut director, now, unread(streamer)).is_empty(), "it plays there");
    let rung_unread = |at| Input::RungUnread(at, id);
    let (kind, value) = (NoteKind::Rung, 2.0);
    run_turn(&mut director, now, Input::Noted { streamer, session: id, kind, value });
    assert_eq!(run_turn(&mut director, now, rung_unread(streamer)), [Output::Rung(streamer, id, 2)]);
    assert!(run_turn(&mut director, now, rung_unread(other)).is_empty());
    run_turn(&mut director, now + S, Input::ViewerLeft(VIEWER_LINK, id));
    assert!(run_turn(&mut director, now + S, rung_unread(streamer)).is_empty(), "it is over");
    assert_eq!(run_turn(&mut director, now + S, unread(streamer)), [Output::Drop(streamer, id)]);
}
