//! Bytes from streamers that are no messages, or spoilt ones: what is held of them is bounded, and nothing of them is
//! passed on as good.
mod common;
mod rig;
use rig::*;
use std::io::Write;
use std::net::TcpStream;

/// Bytes of empty lines that a streamer may send between two messages.
const MAX_EMPTY_LINE_BYTES: usize = 16 * 1024;

/// A director with a set-up that has reached its streamer.
fn with_open_set_up(rig: &Rig, id: u64, class: &str) -> (TcpStream, TcpStream) {
    let mut viewer = rig.viewer();
    viewer.write_all(&set_up(id, class)).expect("written");
    let mut streamer = rig.streamer();
    assert!(read_rtsp(&mut streamer).starts_with("SETUP"));
    (viewer, streamer)
}

/// `review/7`: an answer arrived as line ends that kept coming. The director held every one of them and read them again
/// in each turn, until it was over its limit.
#[test]
fn endless_empty_lines_from_a_streamer_end_the_connection() {
    for (index, pattern) in ["\r\n", "\n", "\r"].into_iter().enumerate() {
        let rig = Rig::with_admin();
        let (mut viewer, mut streamer) = with_open_set_up(&rig, 0x701 + index as u64, "replay");
        let lines = pattern.repeat(MAX_EMPTY_LINE_BYTES);
        let refused = (0..256).any(|_| streamer.write_all(lines.as_bytes()).is_err());
        assert!(refused, "{pattern:?}: the connection is closed");
        assert_eq!(read_message(&mut viewer).0, 12, "the request is answered");
        assert_eq!((rig.metric("malformed"), rig.metric("spoilt")), (1, 1));
    }
}

/// Empty lines between messages stay allowed.
#[test]
fn empty_lines_between_messages_are_passed_over() {
    let rig = Rig::with_admin();
    let (mut viewer, mut streamer) = with_open_set_up(&rig, 0x711, "replay");
    for _ in 0..3 {
        streamer.write_all("\r\n".repeat(MAX_EMPTY_LINE_BYTES / 16).as_bytes()).expect("written");
        std::thread::sleep(std::time::Duration::from_millis(10));
    }
    streamer.write_all(&established_response(0x711, "answer")).expect("written");
    assert_eq!(read_message(&mut viewer).0, 9);
    streamer.write_all("\r\n".repeat(MAX_EMPTY_LINE_BYTES / 4).as_bytes()).expect("written");
    streamer.write_all(&teardown(0x711)).expect("written");
    assert_eq!(read_message(&mut viewer), (12, 0x711, vec![58, 0, 1, 16]));
    assert_eq!(rig.metric("malformed"), 0);
}
