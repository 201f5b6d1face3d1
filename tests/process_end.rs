//! Requests that arrive around the end of the process: read as the grace period ends, sent while the last
//! answers are written, waiting in the accept queue, or pending at the earliest kill. The critical order is
//! forced by suspending the director.
mod common;
mod rig;
use rig::*;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// Deadline of all classes in `common::SETTINGS_JSON`.
const DEADLINE: Duration = Duration::from_millis(600);
/// A platform kills the process no earlier than this after SIGTERM plus the longest deadline.
const KILL_AFTER_DEADLINE: Duration = Duration::from_millis(700);
/// A client resends a set-up that crosses a close by at most this much.
const CROSSING: Duration = Duration::from_millis(50);
/// Well within every grace period in these tests.
const WITHIN_GRACE: Duration = Duration::from_millis(800);
/// Well after every grace period in these tests.
const AFTER_GRACE: Duration = Duration::from_millis(1_350);

/// Establishes a session, so that its connection is kept until the end. Returns viewer and streamer
/// connection.
fn established_session(rig: &Rig, id: u64) -> (TcpStream, TcpStream) {
    let mut viewer = rig.viewer();
    viewer.write_all(&set_up(id, "replay")).expect("written");
    let mut streamer = rig.streamer();
    read_rtsp(&mut streamer);
    streamer.write_all(&established_response(id, "answer")).expect("written");
    assert_eq!(read_message(&mut viewer).0, 9);
    (viewer, streamer)
}

/// Sends SIGTERM and waits until the director has noticed it. Returns the time then.
fn send_sigterm(rig: &mut Rig) -> Instant {
    rig.signal("-TERM");
    next_line(&mut rig.log, "asked to end");
    Instant::now()
}

fn sleep_until(at: Instant) {
    std::thread::sleep(at.saturating_duration_since(Instant::now()));
}

/// Returns the type of the final answer to a request. Messages about other sessions on the connection are
/// skipped.
fn final_answer(viewer: &mut TcpStream, id: u64) -> u8 {
    loop {
        let (kind, session, _) = read_message(viewer);
        if session == id {
            return kind;
        }
    }
}

/// Guards against losing a request that is read in the turn in which the grace period ends.
#[test]
fn a_request_read_in_the_turn_that_ends_the_grace_period_is_answered() {
    let mut rig = Rig::start();
    let (mut viewer, _streamer) = established_session(&rig, 0x101);
    let noticed = send_sigterm(&mut rig);
    sleep_until(noticed + WITHIN_GRACE);
    rig.suspend();
    viewer.write_all(&set_up(0x102, "seat-view")).expect("written");
    sleep_until(noticed + AFTER_GRACE);
    rig.resume();
    assert_eq!(final_answer(&mut viewer, 0x102), 12, "refused or failed, but answered");
    next_line(&mut rig.log, "ended");
}

/// Guards against losing requests on connections that wait in the accept queue as the grace period ends.
#[test]
fn a_connection_waiting_to_be_accepted_as_the_grace_period_ends_is_answered() {
    let mut rig = Rig::start();
    let _session = established_session(&rig, 0x111);
    let noticed = send_sigterm(&mut rig);
    sleep_until(noticed + WITHIN_GRACE);
    rig.suspend();
    let mut viewers: Vec<TcpStream> = (0..20).map(|_| rig.viewer()).collect();
    for (id, viewer) in (0x112..).zip(&mut viewers) {
        viewer.write_all(&set_up(id, "seat-view")).expect("written");
    }
    sleep_until(noticed + AFTER_GRACE);
    rig.resume();
    for (id, viewer) in (0x112..).zip(&mut viewers) {
        assert_eq!(final_answer(viewer, id), 12, "refused or failed, but answered");
    }
}

/// Guards against losing a request while the process waits for a client that does not read its answers: other
/// clients continue to send until their connection is closed.
#[test]
fn a_request_sent_while_the_last_answers_are_written_is_answered_unless_its_connection_closed_before() {
    let mut rig = Rig::with_admin_and_settings(&common::settings_with_long_timeouts());
    let UnreadAnswers { viewer: _unread_viewer, mut streamer, first, .. } = unread_answers(&rig);
    let mut viewer = rig.viewer();
    viewer.write_all(&set_up(first + 9_000, "replay")).expect("written");
    read_rtsp(&mut streamer);
    streamer.write_all(&established_response(first + 9_000, "answer")).expect("written");
    assert_eq!(read_message(&mut viewer).0, 9);
    send_sigterm(&mut rig);
    next_line(&mut rig.log, "waits for its last messages to be written");
    viewer.set_read_timeout(Some(CROSSING)).expect("set");
    // The release of the session arrives, and then the end of the connection or nothing for now.
    let closed = loop {
        match viewer.read(&mut [0; 1_024]) {
            Ok(0) => break true,
            Ok(_) => {}
            Err(_) => break false,
        }
    };
    if !closed {
        viewer.set_read_timeout(Some(TIMEOUT)).expect("set");
        viewer.write_all(&set_up(first + 9_001, "replay")).expect("written");
        assert_eq!(final_answer(&mut viewer, first + 9_001), 12, "refused or failed, but answered");
    }
}

/// Guards against running into the kill: an idle director notices SIGTERM later than a busy one.
#[test]
fn an_idle_director_exits_before_the_earliest_kill() {
    for _ in 0..4 {
        let mut rig = Rig::start();
        let (viewer, _streamer) = established_session(&rig, 0x121);
        std::thread::sleep(Duration::from_millis(20)); // until the director is idle again
        let signalled = Instant::now();
        rig.signal("-TERM");
        sleep_until(signalled + DEADLINE + KILL_AFTER_DEADLINE);
        let exit_status = rig.child.try_wait().expect("waited");
        assert!(exit_status.is_some(), "the process still runs at the earliest kill");
        drop(viewer);
    }
}

/// Guards against losing requests of a client that continues to send on its connection until it is closed.
/// Only requests that cross the close may stay without an answer.
#[test]
fn every_request_sent_before_the_earliest_kill_is_answered_or_crosses_the_close() {
    let rig = Rig::start();
    let (viewer, _streamer) = established_session(&rig, 0x131);
    let mut writer = viewer.try_clone().expect("cloned");
    let sender = std::thread::spawn(move || {
        let mut sent = Vec::new();
        for id in 0x1_0000_u64.. {
            if writer.write_all(&set_up(id, "seat-view")).is_err() {
                break;
            }
            sent.push((id, Instant::now()));
            std::thread::sleep(Duration::from_millis(5));
        }
        sent
    });
    std::thread::sleep(Duration::from_millis(30));
    let signalled = Instant::now();
    rig.signal("-TERM");
    let reader = std::thread::spawn(move || {
        let mut viewer = viewer;
        let mut answered = std::collections::BTreeSet::new();
        let mut length = [0; 2];
        while viewer.read_exact(&mut length).is_ok() {
            let mut body = vec![0; usize::from(u16::from_be_bytes(length))];
            viewer.read_exact(&mut body).expect("no message is truncated");
            answered.insert(u64::from_be_bytes(body[1..9].try_into().expect("eight bytes")));
        }
        let closed = Instant::now();
        let _ = viewer.shutdown(std::net::Shutdown::Both);
        (answered, closed)
    });
    sleep_until(signalled + DEADLINE + KILL_AFTER_DEADLINE);
    rig.signal("-KILL");
    let (answered, closed) = reader.join().expect("read");
    let sent = sender.join().expect("sent");
    let lost: Vec<_> =
        sent.iter().filter(|(id, at)| !answered.contains(id) && *at + CROSSING < closed).collect();
    assert!(lost.is_empty(), "{} of {} requests lost: {lost:?}, closed {closed:?}", lost.len(), sent.len());
}
