//! Retries, and answers from streamers that are late, duplicated, truncated or missing. The viewer gets one
//! correct final answer, and there is no second attempt if an earlier one may have run or if the streamers
//! would no longer recognise the repeat.
mod common;
mod rig;
use rig::*;
use std::io::{Read, Write};
use std::time::{Duration, Instant};

/// RigOptions long the streamers of these tests recognise a repeated set-up.
const REPEAT_WINDOW: Duration = Duration::from_millis(300);

/// Settings with a deduplicated class `seat-view`, a short repeat window and a long dial timeout.
fn settings_with_short_repeat_window() -> String {
    let window = REPEAT_WINDOW.as_micros();
    let seat_view = r#""target_us": 300000, "deadline_us": 600000, "effect": "idempotent""#;
    let times = r#""target_us": 30000000, "deadline_us": 9000000"#;
    let deduplicated = format!(r#"{times}, "effect": "deduplicated", "repeat_window_us": {window}"#);
    common::SETTINGS_JSON
        .replace(r#""dial_timeout_us": 250000"#, r#""dial_timeout_us": 20000000"#)
        .replace(seat_view, &deduplicated)
}

fn rejection(status: u16, session: u64) -> Vec<u8> {
    let head = format!("RTSP/1.0 {status} No\r\nCSeq: 1\r\n");
    format!("{head}Session: {session:016x}\r\nContent-Length: 0\r\n\r\n").into()
}

/// A retry that was decided on within the repeat window used to be written whenever its connection came up,
/// even after the window.
#[test]
fn a_retry_whose_connection_comes_up_after_the_repeat_window_is_not_sent() {
    let rig = Rig::with_admin_and_settings(&settings_with_short_repeat_window());
    let mut discovery = accept(&rig.discovery);
    let mut viewer = rig.viewer();
    viewer.write_all(&set_up(0x51, "seat-view")).expect("written");
    let mut first = rig.streamer();
    read_rtsp(&mut first);
    let first_sent_at = Instant::now();
    let second = bind_listener();
    let filler = fill_accept_queue(&second);
    let added = member("s-2", second.local_addr().expect("bound"), "in_service");
    let event = format!("{{\"no\":2,\"roster\":{{\"members\":[{added}]}}}}\n");
    discovery.write_all(event.as_bytes()).expect("written");
    wait_until("both streamers are listed", || rig.metric("registry_entries") == 2);
    first.write_all(&rejection(500, 0x51)).expect("written"); // the attempt may have run
    wait_until("the retry waits for its connection", || rig.metric("sent_again") == 1);
    wait_until("the repeat window has passed", || first_sent_at.elapsed() > REPEAT_WINDOW);
    drop(filler);
    drop(accept(&second));
    let mut retry = accept(&second);
    let answer = read_message(&mut viewer);
    assert_eq!((answer.0, answer.1), (12, 0x51), "one final answer");
    drop(rig);
    assert_eq!(retry.read(&mut [0; 64]).unwrap_or(0), 0, "the retry is not sent");
}

/// The same retry is sent within the window.
#[test]
fn a_retry_within_the_repeat_window_is_sent() {
    let rig = Rig::with_admin_and_settings(
        &settings_with_short_repeat_window()
            .replace("\"repeat_window_us\": 300000", "\"repeat_window_us\": 9e7"),
    );
    let mut discovery = accept(&rig.discovery);
    let mut viewer = rig.viewer();
    viewer.write_all(&set_up(0x52, "seat-view")).expect("written");
    let mut first = rig.streamer();
    read_rtsp(&mut first);
    let second = bind_listener();
    let added = member("s-2", second.local_addr().expect("bound"), "in_service");
    let event = format!("{{\"no\":2,\"roster\":{{\"members\":[{added}]}}}}\n");
    discovery.write_all(event.as_bytes()).expect("written");
    wait_until("both streamers are listed", || rig.metric("registry_entries") == 2);
    first.write_all(&rejection(500, 0x52)).expect("written");
    assert!(read_rtsp(&mut accept(&second)).starts_with("SETUP"));
}

/// An answer that is truncated at any byte proves nothing about an at-most-once set-up: the set-up fails, is
/// answered once and not retried, and the next request is not affected.
#[test]
fn an_at_most_once_set_up_with_a_truncated_answer_fails_once() {
    let answer = established_response(0x61, "answer");
    for cut in 0..answer.len() {
        let rig = Rig::start();
        let mut viewer = rig.viewer();
        viewer.write_all(&set_up(0x61, "replay")).expect("written");
        let mut streamer = rig.streamer();
        read_rtsp(&mut streamer);
        streamer.write_all(&answer[..cut]).expect("written");
        drop(streamer);
        assert_eq!(read_message(&mut viewer), (12, 0x61, vec![58, 0, 1, 41]), "truncated at {cut}");
        viewer.write_all(&message(52, 9, &[(58, &[0])])).expect("written");
        assert_eq!(read_message(&mut viewer).0, 53, "no further answer, truncated at {cut}");
    }
}

/// Of two answers to a set-up, in the same read or in separate ones, the first one counts, whether the second
/// is a success or a rejection.
#[test]
fn a_second_answer_to_a_set_up_is_ignored() {
    for (separately, second) in [
        (false, established_response(0x62, "again")),
        (true, established_response(0x62, "again")),
        (true, rejection(453, 0x62)),
    ] {
        let rig = Rig::start();
        let mut viewer = rig.viewer();
        viewer.write_all(&set_up(0x62, "replay")).expect("written");
        let mut streamer = rig.streamer();
        read_rtsp(&mut streamer);
        let first = established_response(0x62, "answer");
        let expected = (9, 0x62, [&[61, 0, 6][..], b"answer"].concat());
        if separately {
            streamer.write_all(&first).expect("written");
            assert_eq!(read_message(&mut viewer), expected);
            streamer.write_all(&second).expect("written");
        } else {
            streamer.write_all(&[first, second].concat()).expect("written");
            assert_eq!(read_message(&mut viewer), expected);
        }
        streamer.write_all(&teardown(0x62)).expect("written");
        assert_eq!(
            read_message(&mut viewer),
            (12, 0x62, vec![58, 0, 1, 16]),
            "the release follows, with nothing in between"
        );
    }
}

/// A success answer to a cancelled attempt is not forwarded; its session is released at the streamer.
#[test]
fn an_answer_after_the_cancellation_is_released_at_the_streamer() {
    let rig = Rig::start();
    let mut viewer = rig.viewer();
    viewer.write_all(&set_up(0x63, "replay")).expect("written");
    let mut streamer = rig.streamer();
    read_rtsp(&mut streamer);
    viewer.write_all(&message(12, 0x63, &[(58, &[16])])).expect("written");
    let cancellation = read_rtsp(&mut streamer);
    assert!(cancellation.starts_with("TEARDOWN") && !cancellation.contains("Reason"), "{cancellation}");
    streamer.write_all(&established_response(0x63, "answer")).expect("written");
    let release = read_rtsp(&mut streamer);
    assert!(release.starts_with("TEARDOWN") && release.contains("Reason"), "{release}");
    viewer.write_all(&message(52, 9, &[(58, &[0])])).expect("written");
    assert_eq!(read_message(&mut viewer).0, 53, "the viewer got no answer");
}

/// A connection that is not established within the dial timeout proves that nothing ran: the at-most-once
/// set-up is refused, so that the viewer may retry. A connection that is established later is not used for
/// it.
#[test]
fn an_at_most_once_set_up_whose_connection_is_never_established_is_refused() {
    let rig = Rig::start();
    let _filler = fill_accept_queue(&rig.streamer);
    let mut viewer = rig.viewer();
    viewer.write_all(&set_up(0x64, "replay")).expect("written");
    let (kind, id, parameters) = read_message(&mut viewer);
    assert_eq!((kind, id, &parameters[..4]), (12, 0x64, &[58, 0, 1, 42][..]));
}

/// A connection that is established late, but within the dial timeout, carries the set-up that waited for it.
#[test]
fn a_set_up_is_sent_on_a_connection_that_is_established_late() {
    let rig = Rig::with_admin_and_settings(&settings_with_short_repeat_window());
    let filler = fill_accept_queue(&rig.streamer);
    let mut viewer = rig.viewer();
    viewer.write_all(&set_up(0x65, "replay")).expect("written");
    wait_until("the set-up is sent", || rig.metric("sent") == 1);
    drop(filler);
    drop(accept(&rig.streamer));
    let mut streamer = rig.streamer();
    assert!(read_rtsp(&mut streamer).starts_with("SETUP"));
    streamer.write_all(&established_response(0x65, "answer")).expect("written");
    assert_eq!(read_message(&mut viewer).0, 9);
}

/// A streamer's second rejection came a moment late, after the next attempt of the same session had been sent on the
/// same connection: it was taken for the answer to that one, and a paid session was set up twice.
#[test]
fn a_late_second_rejection_does_not_end_the_next_attempt_at_the_same_streamer() {
    let rig = Rig::with_admin();
    let mut viewer = rig.viewer();
    viewer.write_all(&set_up(0x61, "replay")).expect("written");
    let mut first = rig.streamer();
    assert!(read_rtsp(&mut first).starts_with("SETUP"));
    first.write_all(&rejection(454, 0x61)).expect("written"); // it never left, and may be sent again
    wait_until("the set-up is sent again", || rig.metric("sent_again") == 1);
    let (sent, strays) = (rig.metric("sent"), rig.metric("strays"));
    first.write_all(&rejection(454, 0x61)).expect("written");
    wait_until("the second rejection is ignored", || rig.metric("strays") == strays + 1);
    assert_eq!(rig.metric("sent"), sent, "no further attempt while this one is out");
    let mut second = rig.streamer();
    assert!(read_rtsp(&mut second).starts_with("SETUP"), "on another connection");
    second.write_all(&established_response(0x61, "answer")).expect("written");
    assert_eq!(read_message(&mut viewer).0, 9);
}
