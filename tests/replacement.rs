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
