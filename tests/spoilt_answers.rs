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

/// A streamer's answer to a set-up in which a part was replaced on its way.
fn spoilt_answer(id: u64, part: &str, replacement: &[u8]) -> Vec<u8> {
    let answer = established_response(id, "v=0\r\nc=IN IP4 127.0.0.1\r\n");
    let at = answer.windows(part.len()).position(|window| window == part.as_bytes()).expect("there");
    [&answer[..at], replacement, &answer[at + part.len()..]].concat()
}

/// Expects that an answer is not passed on: the request has failed, and the connection to the streamer ends.
fn expect_failure(id: u64, answer: &[u8]) {
    let rig = Rig::with_admin();
    let (mut viewer, mut streamer) = with_open_set_up(&rig, id, "replay");
    streamer.write_all(answer).expect("written");
    let shown = String::from_utf8_lossy(answer);
    assert_eq!(read_message(&mut viewer).0, 12, "not passed on as served: {shown:?}");
    assert_eq!((rig.metric("malformed"), rig.metric("spoilt")), (1, 1), "{shown:?}");
    assert_closed(streamer);
}

/// `review/8`: the line with the length of an answer could not be read. The answer was passed on as served, with an
/// empty description that no streamer had made.
#[test]
fn an_answer_whose_length_is_unreadable_is_not_passed_on() {
    let replacements: [&[u8]; 9] = [
        b"Content-Length: \xff\xfe\r\n",
        b"Content-Lenght: 25\r\n",
        b"",
        b"Content-Length: +25\r\n",
        b"Content-Length: 2 5\r\n",
        b"Content-Length: 0x19\r\n",
        b"Content-Length:\r\n",
        b"Content-Length: 25\r\nContent-Length: 25\r\n",
        b"Content-Length: 25\r\ncontent-length: 0\r\n",
    ];
    for replacement in replacements {
        expect_failure(0x721, &spoilt_answer(0x721, "Content-Length: 25\r\n", replacement));
    }
}

/// The length of an answer was too short or too long: it was passed on as served with a description that was cut, or that
/// had the next message in it.
#[test]
fn an_answer_whose_length_does_not_fit_is_not_passed_on() {
    for length in ["0", "12", "20", "24"] {
        let replacement = format!("Content-Length: {length}\r\n");
        let answer = spoilt_answer(0x731, "Content-Length: 25\r\n", replacement.as_bytes());
        if length != "24" {
            expect_failure(0x731, &answer);
        }
        // What follows the rest does not make it good.
        expect_failure(0x731, &[answer, b"x".to_vec()].concat());
    }
    for (length, next) in
        [(27, teardown(0x7)), (53, teardown(0x7)), (99, established_response(0x7, "answer"))]
    {
        let replacement = format!("Content-Length: {length}\r\n");
        let answer = spoilt_answer(0x732, "Content-Length: 25\r\n", replacement.as_bytes());
        expect_failure(0x732, &[answer, next].concat());
    }
}

/// Descriptions are opaque: one that resembles a message is passed on, and so are answers right behind each other.
#[test]
fn answers_with_any_description_are_passed_on() {
    let rig = Rig::with_admin();
    let mut viewer = rig.viewer();
    let descriptions = [
        "a=control:rtsp://media/x\r\nRTSP/1.0\tis no start line\r\n",
        "TEARDOWN rtsp://media/",
        "\r\n\r\n",
        "",
    ];
    let mut streamer = None;
    let mut answers = Vec::new();
    for (index, description) in descriptions.iter().enumerate() {
        viewer.write_all(&set_up(0x741 + index as u64, "seat-view")).expect("written");
        let streamer = streamer.get_or_insert_with(|| rig.streamer());
        assert!(read_rtsp(streamer).starts_with("SETUP"));
        answers.push(established_response(0x741 + index as u64, description));
    }
    answers.push(note(0x741));
    streamer.expect("connected").write_all(&answers.concat()).expect("written");
    for (index, description) in descriptions.iter().enumerate() {
        let (kind, id, parameters) = read_message(&mut viewer);
        assert_eq!((kind, id), (9, 0x741 + index as u64));
        assert_eq!(&parameters[3..], description.as_bytes());
    }
    assert_eq!(rig.metric("malformed"), 0);
}
