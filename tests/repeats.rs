//! Attempts that follow others, and answers that come late, twice, cut short or never: one truthful final answer,
//! and no second attempt where an earlier one may have run or its repeat would no longer be known for one.
mod common;
mod rig;
use rig::*;
use std::io::{Read, Write};
use std::time::{Duration, Instant};

/// How long streamers recognise a repeat, in these tests.
const REPEAT_WINDOW: Duration = Duration::from_millis(300);

/// Settings whose class `seat-view` is deduplicated for a short time, with connections that may come up late.
fn short_window() -> String {
    let window = REPEAT_WINDOW.as_micros();
    let seat_view = r#""target_us": 300000, "deadline_us": 600000, "effect": "idempotent""#;
    let short = format!(
        r#""target_us": 30000000, "deadline_us": 9000000, "effect": "deduplicated", "repeat_window_us": {window}"#
    );
    common::SETTINGS_JSON
        .replace(r#""dial_timeout_us": 250000"#, r#""dial_timeout_us": 20000000"#)
        .replace(seat_view, &short)
}

fn refused_with(status: u16, session: u64) -> Vec<u8> {
    let first = format!("RTSP/1.0 {status} No\r\nCSeq: 1\r\n");
    format!("{first}Session: {session:016x}\r\nContent-Length: 0\r\n\r\n").into()
}

/// The repeat was decided on within the window and written whenever its connection came up.
#[test]
fn a_repeat_whose_connection_comes_up_past_the_window_is_not_sent() {
    let rig = Rig::with_admin_and_settings(&short_window());
    let mut discovery = accept(&rig.discovery);
    let mut viewer = rig.viewer();
    viewer.write_all(&set_up(0x51, "seat-view")).expect("written");
    let mut first = rig.streamer();
    read_rtsp(&mut first);
    let sent = Instant::now();
    let second = bind_listener();
    let filler = fill_accept_queue(&second);
    let added = member("s-2", second.local_addr().expect("bound"), "in_service");
    let event = format!("{{\"no\":2,\"roster\":{{\"members\":[{added}]}}}}\n");
    discovery.write_all(event.as_bytes()).expect("written");
    wait_until("both are listed", || rig.metric("registry_entries") == 2);
    first.write_all(&refused_with(500, 0x51)).expect("written"); // it may have run
    wait_until("the repeat waits for its connection", || rig.metric("sent_again") == 1);
    wait_until("the window is over", || sent.elapsed() > REPEAT_WINDOW);
    drop(filler);
    drop(accept(&second));
    let mut repeat = accept(&second);
    let answer = read_message(&mut viewer);
    assert_eq!((answer.0, answer.1), (12, 0x51), "one final answer");
    drop(rig);
    assert_eq!(repeat.read(&mut [0; 64]).unwrap_or(0), 0, "nothing was sent");
}

/// Within the window the same repeat goes out.
#[test]
fn a_repeat_within_the_window_is_sent() {
    let rig = Rig::with_admin_and_settings(
        &short_window().replace("\"repeat_window_us\": 300000", "\"repeat_window_us\": 9e7"),
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
    wait_until("both are listed", || rig.metric("registry_entries") == 2);
    first.write_all(&refused_with(500, 0x52)).expect("written");
    assert!(read_rtsp(&mut accept(&second)).starts_with("SETUP"));
}

/// An answer to a paid set-up that is cut at any byte proves nothing: it has failed, said once, and is not sent
/// again; the next request is not touched by it.
#[test]
fn a_paid_answer_cut_at_any_byte_has_failed_once() {
    let answer = established_response(0x61, "answer");
    for cut in 0..answer.len() {
        let rig = Rig::start();
        let mut viewer = rig.viewer();
        viewer.write_all(&set_up(0x61, "replay")).expect("written");
        let mut streamer = rig.streamer();
        read_rtsp(&mut streamer);
        streamer.write_all(&answer[..cut]).expect("written");
        drop(streamer);
        assert_eq!(read_message(&mut viewer), (12, 0x61, vec![58, 0, 1, 41]), "cut at {cut}");
        viewer.write_all(&message(52, 9, &[(58, &[0])])).expect("written");
        assert_eq!(read_message(&mut viewer).0, 53, "nothing more about it, cut at {cut}");
    }
}

/// A second answer behind the first, of either kind, in the same read or later: the first one counts.
#[test]
fn of_two_answers_the_first_counts() {
    for (late, seconds) in [
        (false, established_response(0x62, "again")),
        (true, established_response(0x62, "again")),
        (true, refused_with(453, 0x62)),
    ] {
        let rig = Rig::start();
        let mut viewer = rig.viewer();
        viewer.write_all(&set_up(0x62, "replay")).expect("written");
        let mut streamer = rig.streamer();
        read_rtsp(&mut streamer);
        let first = established_response(0x62, "answer");
        let answered = (9, 0x62, [&[61, 0, 6][..], b"answer"].concat());
        if late {
            streamer.write_all(&first).expect("written");
            assert_eq!(read_message(&mut viewer), answered);
            streamer.write_all(&seconds).expect("written");
        } else {
            streamer.write_all(&[first, seconds].concat()).expect("written");
            assert_eq!(read_message(&mut viewer), answered);
        }
        streamer.write_all(&teardown(0x62)).expect("written");
        assert_eq!(
            read_message(&mut viewer),
            (12, 0x62, vec![58, 0, 1, 16]),
            "then its end, and nothing between"
        );
    }
}

/// An answer to an attempt that was given up is released at its streamer and not passed on.
#[test]
fn an_answer_after_the_give_up_is_released() {
    let rig = Rig::start();
    let mut viewer = rig.viewer();
    viewer.write_all(&set_up(0x63, "replay")).expect("written");
    let mut streamer = rig.streamer();
    read_rtsp(&mut streamer);
    viewer.write_all(&message(12, 0x63, &[(58, &[16])])).expect("written");
    let given_up = read_rtsp(&mut streamer);
    assert!(given_up.starts_with("TEARDOWN") && !given_up.contains("Reason"), "{given_up}");
    streamer.write_all(&established_response(0x63, "answer")).expect("written");
    let released = read_rtsp(&mut streamer);
    assert!(released.starts_with("TEARDOWN") && released.contains("Reason"), "{released}");
    viewer.write_all(&message(52, 9, &[(58, &[0])])).expect("written");
    assert_eq!(read_message(&mut viewer).0, 53, "nothing of it reached the viewer");
}

/// A connection that does not come up in its time proves that nothing ran: a paid viewer is refused, and may
/// come again. What comes up late is not used for it.
#[test]
fn a_paid_set_up_whose_connection_never_comes_up_is_refused() {
    let rig = Rig::start();
    let _filler = fill_accept_queue(&rig.streamer);
    let mut viewer = rig.viewer();
    viewer.write_all(&set_up(0x64, "replay")).expect("written");
    let (kind, id, parameters) = read_message(&mut viewer);
    assert_eq!((kind, id, &parameters[..4]), (12, 0x64, &[58, 0, 1, 42][..]));
}

/// A connection that comes up late, but within its time, carries the set-up that waited for it.
#[test]
fn a_set_up_goes_out_on_a_connection_that_comes_up_late() {
    let rig = Rig::with_admin_and_settings(&short_window());
    let filler = fill_accept_queue(&rig.streamer);
    let mut viewer = rig.viewer();
    viewer.write_all(&set_up(0x65, "replay")).expect("written");
    wait_until("it is sent", || rig.metric("sent") == 1);
    drop(filler);
    drop(accept(&rig.streamer));
    let mut streamer = rig.streamer();
    assert!(read_rtsp(&mut streamer).starts_with("SETUP"));
    streamer.write_all(&established_response(0x65, "answer")).expect("written");
    assert_eq!(read_message(&mut viewer).0, 9);
}
