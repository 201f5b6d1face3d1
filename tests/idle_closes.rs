//! Connections that the director closes by its own decision while a message on them arrives. The crossing is
//! forced: the process is stopped until the time of the decision has passed, and then meets the message and the
//! decision in one turn.
mod common;
mod rig;
use rig::*;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::time::Duration;

/// Time after which a new connection without a message is checked, and a little more.
const FIRST_CHECK: Duration = Duration::from_millis(1_700);
/// Time after which unused connections are closed when clients are sent away, and a little more.
const UNUSED_CLOSE: Duration = Duration::from_millis(700);
/// Time after the lame-duck call at which no connection may be in use.
const LAME_DUCK_CHECK: Duration = Duration::from_secs(4);
/// Time without any message or progress after which a connection is closed, and several checks more.
const IDLE_TIMEOUT: Duration = Duration::from_millis(7_500);
/// Answer to a set-up of a class that does not exist.
const FAILED: [u8; 4] = [58, 0, 1, 41];

/// A viewer connection on which half of a request was read, and the other half.
fn half_a_request(rig: &Rig, id: u64) -> (TcpStream, Vec<u8>) {
    let mut viewer = rig.viewer();
    viewer.write_all(&set_up(id, "unheard-of")).expect("written");
    assert_eq!(read_message(&mut viewer), (12, id, FAILED.to_vec()));
    let request = set_up(id + 1, "unheard-of");
    let (first, rest) = request.split_at(30);
    viewer.write_all(first).expect("written");
    (viewer, rest.to_vec())
}

/// Writes to a viewer connection while the process is stopped, and lets it go on after a time.
fn write_while_stopped(rig: &Rig, viewer: &mut TcpStream, bytes: &[u8], stopped_for: Duration) {
    rig.suspend();
    viewer.write_all(bytes).expect("written");
    std::thread::sleep(stopped_for);
    rig.resume();
}

/// The check of a new connection asked the ledger before the request read in the same turn had reached it: the
/// request was set up at a streamer, and its connection closed without an answer.
#[test]
fn a_request_read_in_the_turn_of_the_first_message_check_is_answered() {
    let rig = Rig::with_admin();
    let mut viewer = rig.viewer();
    let accepted = rig.metric("viewer_connections");
    assert_eq!(accepted, 1);
    write_while_stopped(&rig, &mut viewer, &set_up(0x501, "replay"), FIRST_CHECK);
    let mut streamer = rig.streamer();
    assert!(read_rtsp(&mut streamer).starts_with("SETUP"));
    streamer.write_all(&established_response(0x501, "answer")).expect("written");
    assert_eq!(read_message(&mut viewer).0, 9, "served");
}

/// The same with a request that is written over the time of the first checks.
#[test]
fn a_request_completed_in_the_turn_of_a_later_check_is_answered() {
    let rig = Rig::with_admin();
    let mut viewer = rig.viewer();
    let request = set_up(0x511, "unheard-of");
    for part in request.chunks(30) {
        viewer.write_all(part).expect("written");
        if part.len() == 30 {
            std::thread::sleep(Duration::from_millis(400));
        }
    }
    assert_eq!(read_message(&mut viewer), (12, 0x511, FAILED.to_vec()));
    let mut viewer = rig.viewer();
    let (first, rest) = request.split_at(30);
    viewer.write_all(first).expect("written");
    wait_until("it is accepted", || rig.metric("viewer_connections") == 2);
    write_while_stopped(&rig, &mut viewer, rest, FIRST_CHECK);
    assert_eq!(read_message(&mut viewer), (12, 0x511, FAILED.to_vec()));
}

/// A lame duck closed a connection in the turn in which a request on it was read.
#[test]
fn a_request_completed_as_a_lame_duck_closes_unused_connections_is_answered() {
    let rig = Rig::with_admin();
    let (mut viewer, rest) = half_a_request(&rig, 0x520);
    assert_eq!(rig.admin_call("PUT", "/_lameduck/on").0, 200);
    write_while_stopped(&rig, &mut viewer, &rest, UNUSED_CLOSE);
    assert_eq!(read_message(&mut viewer), (12, 0x521, FAILED.to_vec()));
    assert_eq!(viewer.read(&mut [0; 64]).unwrap_or(0), 0, "closed afterwards");
}

/// The same during the grace period after SIGTERM.
#[test]
fn a_request_completed_as_a_stopping_process_closes_unused_connections_is_answered() {
    let mut rig = Rig::with_admin();
    let (mut viewer, rest) = half_a_request(&rig, 0x530);
    rig.signal("-TERM");
    next_line(&mut rig.log, "asked to end");
    write_while_stopped(&rig, &mut viewer, &rest, UNUSED_CLOSE);
    assert_eq!(read_message(&mut viewer), (12, 0x531, FAILED.to_vec()));
}

/// A replaced process closes all unused connections at once, and did so with the request just read; the viewer
/// sent it again to the new process, which set it up a second time.
#[test]
fn a_request_completed_as_a_replaced_process_closes_its_connections_is_answered() {
    let socket = bind_listener();
    let mut old = Rig::on_listener(&socket, &Arc::new(bind_listener()), &Arc::new(bind_listener()));
    let (mut viewer, rest) = half_a_request(&old, 0x540);
    old.signal("-TERM");
    next_line(&mut old.log, "asked to end");
    write_while_stopped(&old, &mut viewer, &rest, Duration::from_millis(100));
    assert_eq!(read_message(&mut viewer), (12, 0x541, FAILED.to_vec()));
}

/// A viewer ends its session on the connection that the director is closing. Everything that was read there
/// after the director had ended its side was thrown away, and the session was left standing.
#[test]
fn a_release_that_crosses_the_close_of_its_connection_ends_its_session() {
    let socket = bind_listener();
    let old = Rig::on_listener(&socket, &Arc::new(bind_listener()), &Arc::new(bind_listener()));
    let mut viewer = old.viewer();
    viewer.write_all(&set_up(0x550, "replay")).expect("written");
    let mut streamer = old.streamer();
    read_rtsp(&mut streamer);
    streamer.write_all(&established_response(0x550, "answer")).expect("written");
    assert_eq!(read_message(&mut viewer).0, 9);
    let mut busy = old.viewer();
    busy.write_all(&set_up(0x551, "replay")).expect("written");
    assert!(read_rtsp(&mut streamer).starts_with("SETUP"));
    old.signal("-TERM");
    assert_eq!(viewer.read(&mut [0; 64]).unwrap_or(0), 0, "the director has ended its side");
    viewer.write_all(&message(12, 0x550, &[(58, &[16])])).expect("written");
    let request = read_rtsp(&mut streamer);
    assert!(request.starts_with("TEARDOWN") && request.contains("0000000000000550"), "{request}");
}

/// A connection without a session was closed after its idle time though answers on it were still to be written
/// to a client that reads slowly.
#[test]
fn a_connection_with_unwritten_answers_is_not_closed_as_idle() {
    let rig = Rig::with_admin_and_settings(&common::settings_with_long_timeouts());
    let UnreadAnswers { mut viewer, mut streamer, answers, first } = unread_answers(&rig);
    let (sessions, ended) = (first..first + answers, rig.metric("ended"));
    sessions.clone().for_each(|id| streamer.write_all(&teardown(id)).expect("written"));
    wait_until("the sessions have ended", || rig.metric("ended") == ended + answers);
    // The client reads a little at a time.
    let mut read = Vec::new();
    let mut part = [0; 4_096];
    for _ in 0..IDLE_TIMEOUT.as_millis() / 250 {
        std::thread::sleep(Duration::from_millis(250));
        let length = viewer.read(&mut part).expect("readable");
        read.extend(&part[..length]);
    }
    let mut messages = Vec::new();
    let mut rest = read.as_slice().chain(&viewer);
    while messages.len() < 2 * answers as usize {
        let mut length = [0; 2];
        rest.read_exact(&mut length).expect("all answers and releases are written");
        let mut body = vec![0; usize::from(u16::from_be_bytes(length))];
        rest.read_exact(&mut body).expect("a whole message");
        messages.push(body[0]);
    }
    assert_eq!(messages.iter().filter(|kind| **kind == 9).count() as u64, answers);
}

/// A streamer's connection was closed as idle in the turn in which the answer to the last set-up on it was read,
/// as the ledger did not have the session yet.
#[test]
fn a_streamer_connection_is_not_closed_as_idle_with_an_answer_just_read() {
    let short_keepalive =
        common::SETTINGS_JSON.replace(r#""keepalive_us": 15000000"#, r#""keepalive_us": 1000000"#);
    let rig = Rig::with_settings(&short_keepalive);
    let mut viewer = rig.viewer();
    viewer.write_all(&set_up(0x560, "replay")).expect("written");
    let mut streamer = rig.streamer();
    read_rtsp(&mut streamer);
    std::thread::sleep(Duration::from_secs(1)); // the last set-up on the connection was long ago
    rig.suspend();
    streamer.write_all(&established_response(0x560, "answer")).expect("written");
    std::thread::sleep(Duration::from_millis(300)); // the next check of the connections is due
    rig.resume();
    assert_eq!(read_message(&mut viewer).0, 9);
    viewer.write_all(&message(12, 0x560, &[(58, &[16])])).expect("written");
    assert!(read_rtsp(&mut streamer).starts_with("TEARDOWN"), "on the same connection");
}

/// `review/9`: as a lame duck the director closed a connection only if no request on it was open at a poll. One with
/// requests in quick succession was served for as long as the call was in force.
#[test]
fn a_lame_duck_closes_a_connection_on_which_requests_keep_coming() {
    let rig = Rig::with_admin();
    let mut viewer = rig.viewer();
    let mut sender = viewer.try_clone().expect("cloned");
    assert_eq!(rig.admin_call("PUT", "/_lameduck/on").0, 200);
    let called_at = std::time::Instant::now();
    let sending = std::thread::spawn(move || {
        let mut sent = Vec::new();
        for id in 0x9000_u64.. {
            // The streamer answers none of them, so that one is open at all times.
            if called_at.elapsed() > LAME_DUCK_CHECK || sender.write_all(&set_up(id, "replay")).is_err() {
                break;
            }
            sent.push((id, std::time::Instant::now()));
            std::thread::sleep(Duration::from_millis(20));
        }
        sent
    });
    let mut answered = std::collections::BTreeSet::new();
    let mut length = [0; 2];
    while viewer.read_exact(&mut length).is_ok() {
        let mut body = vec![0; usize::from(u16::from_be_bytes(length))];
        viewer.read_exact(&mut body).expect("a whole message");
        assert_eq!(body[0], 12, "no session stands");
        let id = u64::from_be_bytes(body[1..9].try_into().expect("eight bytes"));
        assert!(answered.insert(id), "answered once");
    }
    let closed_at = std::time::Instant::now();
    assert!(closed_at - called_at < LAME_DUCK_CHECK, "open {:?} after the call", closed_at - called_at);
    drop(viewer);
    for (id, at) in sending.join().expect("sent") {
        // What crosses the close is sent again elsewhere.
        assert!(answered.contains(&id) || at + Duration::from_millis(50) > closed_at, "{id:x} is unanswered");
    }
}
