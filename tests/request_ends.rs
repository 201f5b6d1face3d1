//! Requests that are pending when the director closes their connection: after malformed or unusable messages,
//! with a client that reads slowly, or with a partly received request. Also releases that arrive before their
//! answers or are lost.
mod common;
mod rig;
use rig::*;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// Time after which a connection is closed on which no complete message was received.
const FIRST_MESSAGE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Time limit for reporting the end of a session at its streamer to its client.
const RELEASE_TIME_LIMIT: Duration = Duration::from_secs(1);

fn expect_end_of_stream(viewer: &mut TcpStream) {
    assert_eq!(
        viewer.read(&mut [0; 64]).unwrap_or(0),
        0,
        "the connection is closed, and no more data was sent"
    );
}

#[test]
fn a_request_before_malformed_data_is_answered() {
    let rig = Rig::start();
    let mut viewer = rig.viewer();
    let malformed = [0, 3, 1, 2, 3];
    viewer.write_all(&[&set_up(0x201, "replay")[..], &malformed].concat()).expect("written");
    let mut streamer = rig.streamer();
    assert!(read_rtsp(&mut streamer).starts_with("SETUP"));
    std::thread::sleep(Duration::from_millis(50)); // many turns of the event loop
    streamer.write_all(&established_response(0x201, "answer")).expect("written");
    assert_eq!(read_message(&mut viewer).0, 9, "served");
    expect_end_of_stream(&mut viewer);
}

/// A session ended as soon as it was established, and its release was sent on another connection than its
/// answer.
#[test]
fn a_release_right_after_its_answer_uses_the_same_closing_connection() {
    let rig = Rig::start();
    let mut other = rig.viewer();
    other.write_all(&set_up(0x20f, "unheard-of")).expect("written");
    assert_eq!(read_message(&mut other).1, 0x20f, "the release could be sent on this connection, too");
    let mut viewer = rig.viewer();
    let malformed = [0, 3, 1, 2, 3];
    viewer.write_all(&[&set_up(0x202, "replay")[..], &malformed].concat()).expect("written");
    let mut streamer = rig.streamer();
    read_rtsp(&mut streamer);
    streamer.write_all(&[established_response(0x202, "answer"), teardown(0x202)].concat()).expect("written");
    for kind in [9, 12] {
        let heard = read_message(&mut viewer);
        assert_eq!((heard.0, heard.1), (kind, 0x202));
    }
    expect_end_of_stream(&mut viewer);
}

#[test]
fn a_pending_request_is_answered_despite_too_many_unusable_ones() {
    let rig = Rig::start();
    let mut viewer = rig.viewer();
    viewer.write_all(&set_up(0x211, "replay")).expect("written");
    let mut streamer = rig.streamer();
    read_rtsp(&mut streamer);
    for id in 0x300..0x340 {
        viewer.write_all(&set_up(id, "nobody's")).expect("written");
    }
    std::thread::sleep(Duration::from_millis(50));
    streamer.write_all(&established_response(0x211, "answer")).expect("written");
    loop {
        match read_message(&mut viewer) {
            (kind, 0x211, _) => break assert_eq!(kind, 9, "served"),
            (kind, id, _) => assert!(kind == 12 && (0x300..0x340).contains(&id)),
        }
    }
}

/// While a request is pending, unwritten answers accumulate at the director beyond the limit for a client
/// that does not read.
#[test]
fn a_pending_request_of_a_slow_reader_is_answered() {
    let rig = Rig::with_admin_and_settings(&common::settings_with_long_timeouts());
    let UnreadAnswers { mut viewer, mut streamer, answers, first } = unread_answers(&rig);
    let (pending_id, served) = (first + 9_000, rig.metric("served"));
    viewer.write_all(&set_up(pending_id, "replay")).expect("written");
    read_rtsp(&mut streamer);
    let long_description = "a".repeat(15_000);
    let further_requests = 20;
    for id in pending_id + 1..=pending_id + further_requests {
        viewer.write_all(&set_up(id, "replay")).expect("written");
        read_rtsp(&mut streamer);
    }
    for id in pending_id + 1..=pending_id + further_requests {
        streamer.write_all(&established_response(id, &long_description)).expect("written");
    }
    wait_until("all others are answered", || rig.metric("served") == served + further_requests);
    streamer.write_all(&established_response(pending_id, "answer")).expect("written");
    for _ in 0..answers + further_requests {
        assert_eq!(read_message(&mut viewer).0, 9, "complete");
    }
    assert_eq!(read_message(&mut viewer).0, 9, "the last answer is complete, too");
}

/// The second part of a request arrives after the time limit for the first message on a new connection.
#[test]
fn a_partial_request_extends_the_first_message_timeout() {
    let rig = Rig::start();
    let mut viewer = rig.viewer();
    let request = set_up(0x221, "nobody's");
    std::thread::sleep(FIRST_MESSAGE_TIMEOUT - Duration::from_millis(300));
    viewer.write_all(&request[..30]).expect("written");
    std::thread::sleep(Duration::from_millis(600));
    viewer.write_all(&request[30..]).expect("the connection stays open");
    assert_eq!(read_message(&mut viewer), (12, 0x221, vec![58, 0, 1, 41]));
}

/// At the limit on connections, a connection with a partly received request must not be the one that is
/// evicted.
#[test]
fn a_connection_with_a_partial_request_is_not_evicted() {
    let rig = Rig::with_admin();
    let mut partial = rig.viewer();
    let request = set_up(0x231, "nobody's");
    partial.write_all(&request[..30]).expect("written");
    std::thread::sleep(Duration::from_millis(200)); // it is the oldest, past its grace period
    let new_connections: Vec<TcpStream> = (0..200).map(|_| rig.viewer()).collect();
    wait_until("some connections are evicted", || rig.metric("viewers_shed") > 20);
    partial.write_all(&request[30..]).expect("the connection stays open");
    assert_eq!(read_message(&mut partial), (12, 0x231, vec![58, 0, 1, 41]));
    drop(new_connections);
}

/// A release arrived on another connection before the answer that its session is established, and was
/// discarded: the client received the answer and never the end of the session.
#[test]
fn a_release_received_before_its_answer_is_sent_after_it() {
    let one_set_up_per_connection = common::SETTINGS_JSON.replace(r#""multiplex": 32"#, r#""multiplex": 1"#);
    let rig = Rig::with_admin_and_settings(&one_set_up_per_connection);
    let mut viewer = rig.viewer();
    viewer.write_all(&set_up(0x241, "replay")).expect("written");
    let mut first = rig.streamer();
    read_rtsp(&mut first);
    viewer.write_all(&set_up(0x242, "replay")).expect("written");
    let mut second = rig.streamer();
    read_rtsp(&mut second);
    second.write_all(&teardown(0x241)).expect("written");
    second.write_all(&established_response(0x242, "answer")).expect("written");
    assert_eq!(read_message(&mut viewer).1, 0x242, "the release was processed before this");
    first.write_all(&established_response(0x241, "answer")).expect("written");
    let (kind, id, _) = read_message(&mut viewer);
    assert_eq!((kind, id), (9, 0x241));
    viewer.set_read_timeout(Some(Duration::from_secs(1))).expect("set");
    let (kind, id, parameters) = read_message(&mut viewer);
    assert_eq!((kind, id, parameters), (12, 0x241, vec![58, 0, 1, 16]), "then its end");
}

/// A release was lost with a streamer connection that was closed after malformed data. Streamers repeat it on
/// the next connection that is opened to them, but none was opened because another one was still open.
#[test]
fn a_release_lost_to_malformed_data_is_received_on_a_new_connection() {
    let one_set_up_per_connection = common::SETTINGS_JSON.replace(r#""multiplex": 32"#, r#""multiplex": 1"#);
    let rig = Rig::with_admin_and_settings(&one_set_up_per_connection);
    let mut viewer = rig.viewer();
    viewer.write_all(&set_up(0x251, "replay")).expect("written");
    let mut first = rig.streamer();
    read_rtsp(&mut first);
    viewer.write_all(&set_up(0x252, "replay")).expect("written");
    let mut second = rig.streamer();
    read_rtsp(&mut second);
    first.write_all(&established_response(0x251, "answer")).expect("written");
    assert_eq!(read_message(&mut viewer).0, 9);
    first.write_all(&[b"SPOILT\r\n\r\n".to_vec(), teardown(0x251)].concat()).expect("written");
    let failed_at = Instant::now();
    let mut third = rig.streamer();
    assert!(failed_at.elapsed() < RELEASE_TIME_LIMIT, "connected within the time limit of a release");
    third.write_all(&teardown(0x251)).expect("written");
    let (kind, id, parameters) = read_message(&mut viewer);
    assert_eq!((kind, id, parameters), (12, 0x251, vec![58, 0, 1, 16]), "its end");
}

/// The same with a streamer connection that was evicted in favour of a connection to another streamer while
/// all other connections were in use.
#[test]
fn a_release_lost_to_an_eviction_is_received_on_a_new_connection() {
    let one_set_up_per_connection =
        common::settings_with_long_timeouts().replace(r#""multiplex": 4096"#, r#""multiplex": 1"#);
    let rig = Rig::with_admin_and_settings(&one_set_up_per_connection);
    let mut viewer = rig.viewer();
    viewer.write_all(&set_up(0x261, "replay")).expect("written");
    let mut first = rig.streamer();
    read_rtsp(&mut first);
    first.write_all(&established_response(0x261, "answer")).expect("written");
    assert_eq!(read_message(&mut viewer).0, 9);
    // Another set-up on the same connection, and one on each further connection up to the limit.
    let mut requested = 0;
    while rig.metric("withdrawn") == 0 {
        viewer.write_all(&set_up(0x1000 + requested, "replay")).expect("written");
        requested += 1;
        wait_until("it is sent or withdrawn", || {
            rig.metric("relayed") == requested + 1 || rig.metric("withdrawn") > 0
        });
    }
    assert_eq!(read_message(&mut viewer).0, 12, "no connection was available for the last one");
    read_rtsp(&mut first);
    first.write_all(&established_response(0x1000, "answer")).expect("written");
    assert_eq!(read_message(&mut viewer).0, 9);
    let mut others: Vec<TcpStream> = (2..requested).map(|_| rig.streamer()).collect();
    // The next one goes to another streamer, for whose connection another one must be evicted.
    let second_listener = bind_listener();
    let address = |listener: &std::net::TcpListener| listener.local_addr().expect("bound");
    let members = [
        member("s-1", address(&rig.streamer), "terminating"),
        member("s-2", address(&second_listener), "in_service"),
    ];
    let mut discovery = accept(&rig.discovery);
    let event = format!(r#"{{"no":2,"roster":{{"members":[{}]}}}}"#, members.join(","));
    discovery.write_all(format!("{event}\n").as_bytes()).expect("written");
    wait_until("the second streamer is listed", || rig.metric("registry_entries") == 2);
    viewer.write_all(&set_up(0x2000, "replay")).expect("written");
    let _other_streamer = accept(&second_listener);
    expect_end_of_stream(&mut first);
    let mut second = others.remove(0);
    read_rtsp(&mut second);
    second.write_all(&established_response(0x1001, "answer")).expect("written"); // this connection may now be evicted
    let answered_at = Instant::now();
    let mut replacement = rig.streamer();
    assert!(answered_at.elapsed() < RELEASE_TIME_LIMIT, "connected within the time limit of a release");
    replacement.write_all(&teardown(0x261)).expect("written");
    assert_eq!(read_message(&mut viewer).1, 0x1001);
    assert_eq!(read_message(&mut viewer), (12, 0x261, vec![58, 0, 1, 16]), "its end");
}
