//! Ends of sessions while one process of a director replaces another: each of the two is told what only the other
//! one knows.
mod common;
mod rig;
use rig::*;
use std::io::Write;
use std::net::TcpStream;

/// Sends the viewer's end of sessions, and returns once the process has read it.
fn end_sessions(viewer: &mut TcpStream, ids: &[u64]) {
    for id in ids {
        viewer.write_all(&message(12, *id, &[(58, &[16])])).expect("written");
    }
    viewer.write_all(&message(52, 7, &[(58, &[0])])).expect("written");
    assert_eq!(read_message(viewer).0, 53);
}

/// Reads the next message to a streamer and returns the session that it releases.
fn read_teardown(streamer: &mut TcpStream) -> u64 {
    let request = read_rtsp(streamer);
    assert!(request.starts_with("TEARDOWN"), "{request}");
    let session = request.split("Session: ").nth(1).and_then(|rest| rest.get(..16)).expect("a session");
    u64::from_str_radix(session, 16).expect("hexadecimal")
}

/// Sends the set-ups that hand sessions over, on a new connection, which it returns.
fn hand_over(new: &Rig, ids: impl IntoIterator<Item = u64>) -> TcpStream {
    let mut platform = new.viewer();
    for id in ids {
        platform.write_all(&handed_over_session(id, "s-1")).expect("written");
    }
    platform
}

/// Viewers ended sessions at the new process, before and after the old one was told to stop. The new one did not
/// hold them yet and forgot it, and they were left standing.
#[test]
fn sessions_that_viewers_end_during_a_replacement_are_not_left_standing() {
    let OldProcess { socket, mut old, mut viewer, mut streamer } = start_old_process();
    for id in 0xc3..0xc8 {
        establish_session(&mut viewer, &mut streamer, id);
    }
    let new = Rig::on_listener(&socket, &old.streamer, &old.discovery);
    old.suspend(); // the new process accepts this connection
    let mut early = new.viewer();
    end_sessions(&mut early, &[0xc1]);
    old.resume();
    old.signal("-TERM");
    next_line(&mut old.log, "asked to end");
    end_sessions(&mut new.viewer(), &[0xc3, 0xc4]);
    end_sessions(&mut new.viewer(), &[0xc5]);
    streamer.write_all(&established_response(0xc2, "answer")).expect("written");
    assert_eq!(read_message(&mut viewer).0, 9);
    end_sessions(&mut early, &[0xc2]); // its set-up was out at the old process
    assert_closed(viewer);
    assert!(old.child.wait().expect("ended").success());
    let mut platform = hand_over(&new, 0xc1..0xc8);
    let mut streamer = new.streamer();
    let mut ended: Vec<u64> = (0..5).map(|_| read_teardown(&mut streamer)).collect();
    ended.sort_unstable();
    assert_eq!(ended, [0xc1, 0xc2, 0xc3, 0xc4, 0xc5]);
    // The others stand, and end as their viewers say.
    end_sessions(&mut platform, &[0xc6]);
    assert_eq!(read_teardown(&mut streamer), 0xc6);
    assert_eq!(new.metric("open_requests"), 1);
}

/// A viewer ended a session of the new process on a connection to the old one, which still accepted viewers. The
/// old one forgot it, and the session was left standing.
#[test]
fn a_session_of_the_new_process_that_is_ended_at_the_old_one_is_not_left_standing() {
    let OldProcess { socket, mut old, mut viewer, mut streamer } = start_old_process();
    streamer.write_all(&established_response(0xc2, "answer")).expect("written");
    assert_eq!(read_message(&mut viewer).0, 9);
    let new = Rig::on_listener(&socket, &old.streamer, &old.discovery);
    let (_new_viewer, mut new_streamer) = establish_on_new_process(&new, &old, 0xd1);
    end_sessions(&mut viewer, &[0xd1]);
    old.signal("-TERM");
    assert_closed(viewer);
    assert!(old.child.wait().expect("ended").success());
    assert_eq!(read_teardown(&mut new_streamer), 0xd1);
    wait_until("the session has ended", || new.metric("open_requests") == 0);
}

/// A session ended at its streamer after the old process had ended its side of all viewers' connections. Its release
/// waited for a next connection, which only the new process gets, and its viewer was never told.
#[test]
fn a_release_that_the_old_process_could_not_send_is_sent_by_the_new_one() {
    let OldProcess { socket, mut old, mut viewer, mut streamer } = start_old_process();
    streamer.write_all(&established_response(0xc2, "answer")).expect("written");
    assert_eq!(read_message(&mut viewer).0, 9);
    let new = Rig::on_listener(&socket, &old.streamer, &old.discovery);
    old.signal("-TERM");
    next_line(&mut old.log, "asked to end");
    assert_eq!(
        std::io::Read::read(&mut viewer, &mut [0; 64]).unwrap_or(0),
        0,
        "the old process ends its side"
    );
    streamer.write_all(&teardown(0xc1)).expect("written");
    wait_until("the old process has read the release", || old.metric("ended") == 1);
    drop(viewer);
    assert!(old.child.wait().expect("ended").success());
    let mut new_viewer = new.viewer();
    new_viewer.write_all(&set_up(0xd1, "unheard-of")).expect("written");
    let mut told: Vec<(u8, u64)> =
        (0..2).map(|_| read_message(&mut new_viewer)).map(|m| (m.0, m.1)).collect();
    told.sort_unstable();
    assert_eq!(told, [(12, 0xc1), (12, 0xd1)], "the end of the session, and the answer");
}

/// The old process ended a session for its viewer, and could not tell the streamer before its own end. The session
/// still played, was handed over, and was left standing.
#[test]
fn a_session_whose_streamer_was_not_told_of_its_end_is_ended_by_the_new_process() {
    let OldProcess { socket, mut old, mut viewer, mut streamer } = start_old_process();
    streamer.write_all(&established_response(0xc2, "answer")).expect("written");
    assert_eq!(read_message(&mut viewer).0, 9);
    let new = Rig::on_listener(&socket, &old.streamer, &old.discovery);
    let backlog_filler = fill_accept_queue(&old.streamer);
    drop(streamer); // and no new connection comes up
    end_sessions(&mut viewer, &[0xc1]);
    old.signal("-TERM");
    assert_closed(viewer);
    assert!(old.child.wait().expect("ended").success());
    while let Ok((stream, _)) = old.streamer.accept() {
        drop(stream); // the connections that filled the queue
    }
    drop(backlog_filler);
    let _platform = hand_over(&new, [0xc1, 0xc2]);
    let mut streamer = new.streamer();
    assert_eq!(read_teardown(&mut streamer), 0xc1);
    assert_eq!(new.metric("open_requests"), 1);
}

/// A session was handed over at a streamer of which discovery told a moment later: its viewer was told at once that
/// it was over, and the streamer nothing. The same in a takeover, where sessions take the same way into the ledger.
#[test]
fn a_session_that_is_handed_over_before_discovery_tells_of_its_streamer_stands() {
    let rig = Rig::with_admin();
    let mut discovery = accept(&rig.discovery);
    let late_streamer = bind_listener();
    let mut platform = rig.viewer();
    for id in [0xe1, 0xe2] {
        platform.write_all(&handed_over_session(id, "s-2")).expect("written");
    }
    end_sessions(&mut platform, &[0xe1]); // no other message came before the answer to the test
    let members = member("s-2", late_streamer.local_addr().expect("bound"), "in_service");
    let event = format!("{{\"no\":2,\"roster\":{{\"members\":[{members}]}}}}\n");
    discovery.write_all(event.as_bytes()).expect("written");
    let mut streamer = accept(&late_streamer);
    streamer.set_read_timeout(Some(TIMEOUT)).expect("set");
    assert_eq!(read_teardown(&mut streamer), 0xe1, "ended while it waited");
    end_sessions(&mut platform, &[0xe2]);
    assert_eq!(read_teardown(&mut streamer), 0xe2, "stood");
}

/// A streamer in a test with two of them.
struct NamedStreamer {
    name: &'static str,
    listener: std::sync::Arc<std::net::TcpListener>,
}

/// Tells a process of the second streamer.
fn list_second_streamer(rig: &Rig, second: &NamedStreamer) -> TcpStream {
    let mut discovery = accept(&rig.discovery);
    let members = member(second.name, second.listener.local_addr().expect("bound"), "in_service");
    let event = format!("{{\"no\":2,\"roster\":{{\"members\":[{members}]}}}}\n");
    discovery.write_all(event.as_bytes()).expect("written");
    wait_until("the second streamer is listed", || rig.metric("registry_entries") == 2);
    discovery
}

/// Accepts the next connection to either streamer, which is the first of the returned ones.
fn accept_either<'a>(
    one: &'a NamedStreamer,
    other: &'a NamedStreamer,
) -> (TcpStream, &'a NamedStreamer, &'a NamedStreamer) {
    for listener in [&one.listener, &other.listener] {
        listener.set_nonblocking(true).expect("set");
    }
    let started = std::time::Instant::now();
    while started.elapsed() < TIMEOUT {
        for (streamer, rest) in [(one, other), (other, one)] {
            if let Ok((stream, _)) = streamer.listener.accept() {
                stream.set_nonblocking(false).expect("set");
                stream.set_read_timeout(Some(TIMEOUT)).expect("set");
                return (stream, streamer, rest);
            }
        }
        std::thread::sleep(std::time::Duration::from_millis(2));
    }
    panic!("no connection to either streamer");
}

/// `review/6`: a set-up was answered late at one streamer, released there, and stood at another one. As the process
/// was replaced, the new one released the session where it played, and its viewer was not told.
#[test]
fn a_session_that_was_answered_late_at_another_streamer_stands_after_the_hand_over() {
    let socket = bind_listener();
    let discovery = std::sync::Arc::new(bind_listener());
    let first = NamedStreamer { name: "s-1", listener: std::sync::Arc::new(bind_listener()) };
    let second = NamedStreamer { name: "s-2", listener: std::sync::Arc::new(bind_listener()) };
    let mut old = Rig::on_listener(&socket, &first.listener, &discovery);
    let _old_discovery = list_second_streamer(&old, &second);
    let mut viewer = old.viewer();
    viewer.write_all(&set_up(0xf1, "seat-view")).expect("written");
    let (mut late, late_streamer, playing_streamer) = accept_either(&first, &second);
    assert!(read_rtsp(&mut late).starts_with("SETUP"));
    let mut playing = accept(&playing_streamer.listener);
    assert!(read_rtsp(&mut playing).starts_with("SETUP"), "a further attempt");
    playing.write_all(&established_response(0xf1, "answer")).expect("written");
    assert_eq!(read_message(&mut viewer).0, 9);
    assert_eq!(read_teardown(&mut late), 0xf1, "the first attempt is cancelled");
    late.write_all(&established_response(0xf1, "late")).expect("written");
    assert_eq!(read_teardown(&mut late), 0xf1, "the late answer is released");

    let new = Rig::on_listener(&socket, &first.listener, &discovery);
    let _new_discovery = list_second_streamer(&new, &second);
    old.signal("-TERM");
    assert_closed(viewer);
    assert!(old.child.wait().expect("ended").success());
    let mut platform = new.viewer();
    platform.write_all(&handed_over_session(0xf1, playing_streamer.name)).expect("written");
    end_sessions(&mut platform, &[]);
    assert_eq!(new.metric("open_requests"), 1, "it stands");
    // What still plays at the streamer that answered late is ended there, and only there.
    platform.write_all(&handed_over_session(0xf1, late_streamer.name)).expect("written");
    assert_eq!(read_teardown(&mut accept(&late_streamer.listener)), 0xf1);
    assert_eq!(new.metric("open_requests"), 1, "it stands still");
    let mut playing = accept(&playing_streamer.listener);
    end_sessions(&mut platform, &[0xf1]);
    assert_eq!(read_teardown(&mut playing), 0xf1, "its viewer ends it");
}
