//! Connections that the director closes while something on them is not over: behind what can't be read or used, with
//! a client that reads slowly, or with half a request; and releases that overtake their answers.
mod common;
mod rig;
use rig::*;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// By then a connection that has said nothing whole is closed.
const FIRST_MESSAGE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// A session that is over at its streamer is released to its client within this.
const RELEASE_TIME_LIMIT: Duration = Duration::from_secs(1);

fn expect_end_of_stream(viewer: &mut TcpStream) {
    assert_eq!(viewer.read(&mut [0; 64]).unwrap_or(0), 0, "ended, and nothing more said");
}

#[test]
fn a_request_before_malformed_data_is_answered() {
    let rig = Rig::start();
    let mut viewer = rig.viewer();
    let malformed = [0, 3, 1, 2, 3];
    viewer.write_all(&[&set_up(0x201, "replay")[..], &malformed].concat()).expect("written");
    let mut streamer = rig.streamer();
    assert!(read_rtsp(&mut streamer).starts_with("SETUP"));
    std::thread::sleep(Duration::from_millis(50)); // many turns later
    streamer.write_all(&stands(0x201, "answer")).expect("written");
    assert_eq!(hear(&mut viewer).0, 9, "served");
    expect_end_of_stream(&mut viewer);
}

/// The session was over as soon as it stood, and its release went out on another connection than its answer.
#[test]
fn a_release_right_after_its_answer_uses_the_same_closing_connection() {
    let rig = Rig::start();
    let mut other = rig.viewer();
    other.write_all(&set_up(0x20f, "unheard-of")).expect("written");
    assert_eq!(hear(&mut other).1, 0x20f, "it could be told, too");
    let mut viewer = rig.viewer();
    let malformed = [0, 3, 1, 2, 3];
    viewer.write_all(&[&set_up(0x202, "replay")[..], &malformed].concat()).expect("written");
    let mut streamer = rig.streamer();
    read_rtsp(&mut streamer);
    streamer.write_all(&[stands(0x202, "answer"), over(0x202)].concat()).expect("written");
    for kind in [9, 12] {
        let heard = hear(&mut viewer);
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
    streamer.write_all(&stands(0x211, "answer")).expect("written");
    loop {
        match hear(&mut viewer) {
            (kind, 0x211, _) => break assert_eq!(kind, 9, "served"),
            (kind, id, _) => assert!(kind == 12 && (0x300..0x340).contains(&id)),
        }
    }
}

/// Answers pile up at the director, beyond what it keeps for a client that does not read, while a request is open.
#[test]
fn a_pending_request_of_a_slow_reader_is_answered() {
    let rig = Rig::with_door_and(&common::settings_with_long_timeouts());
    let HalfWritten { mut viewer, mut streamer, answers, first } = half_written(&rig);
    let (pending_id, served) = (first + 9_000, rig.figure("served"));
    viewer.write_all(&set_up(pending_id, "replay")).expect("written");
    read_rtsp(&mut streamer);
    let long_description = "a".repeat(15_000);
    let further_requests = 20;
    for id in pending_id + 1..=pending_id + further_requests {
        viewer.write_all(&set_up(id, "replay")).expect("written");
        read_rtsp(&mut streamer);
    }
    for id in pending_id + 1..=pending_id + further_requests {
        streamer.write_all(&stands(id, &long_description)).expect("written");
    }
    until("all others are answered", || rig.figure("served") == served + further_requests);
    streamer.write_all(&stands(pending_id, "answer")).expect("written");
    for _ in 0..answers + further_requests {
        assert_eq!(hear(&mut viewer).0, 9, "whole");
    }
    assert_eq!(hear(&mut viewer).0, 9, "the last one, too");
}

/// The second half of a request comes after the time in which a new connection has to have said something.
#[test]
fn a_partial_request_extends_the_first_message_timeout() {
    let rig = Rig::start();
    let mut viewer = rig.viewer();
    let request = set_up(0x221, "nobody's");
    std::thread::sleep(FIRST_MESSAGE_TIMEOUT - Duration::from_millis(300));
    viewer.write_all(&request[..30]).expect("written");
    std::thread::sleep(Duration::from_millis(600));
    viewer.write_all(&request[30..]).expect("the connection stays");
    assert_eq!(hear(&mut viewer), (12, 0x221, vec![58, 0, 1, 41]));
}

/// A full table: a connection in the middle of bringing a request is not the one that is closed.
#[test]
fn a_connection_with_a_partial_request_is_not_evicted() {
    let rig = Rig::with_door();
    let mut partial = rig.viewer();
    let request = set_up(0x231, "nobody's");
    partial.write_all(&request[..30]).expect("written");
    std::thread::sleep(Duration::from_millis(200)); // longest unheard of, and past its first time
    let new_connections: Vec<TcpStream> = (0..200).map(|_| rig.viewer()).collect();
    until("some made room", || rig.figure("viewers_shed") > 20);
    partial.write_all(&request[30..]).expect("the connection stays");
    assert_eq!(hear(&mut partial), (12, 0x231, vec![58, 0, 1, 41]));
    drop(new_connections);
}

/// A session's release came on another connection, ahead of the answer that it stands, and was dropped: the client
/// was told that it stands and never that it is over.
#[test]
fn a_release_received_before_its_answer_is_sent_after_it() {
    let one_set_up_per_connection = common::SETTINGS_JSON.replace(r#""multiplex": 32"#, r#""multiplex": 1"#);
    let rig = Rig::with_door_and(&one_set_up_per_connection);
    let mut viewer = rig.viewer();
    viewer.write_all(&set_up(0x241, "replay")).expect("written");
    let mut first = rig.streamer();
    read_rtsp(&mut first);
    viewer.write_all(&set_up(0x242, "replay")).expect("written");
    let mut second = rig.streamer();
    read_rtsp(&mut second);
    second.write_all(&over(0x241)).expect("written");
    second.write_all(&stands(0x242, "answer")).expect("written");
    assert_eq!(hear(&mut viewer).1, 0x242, "the release was heard before this");
    first.write_all(&stands(0x241, "answer")).expect("written");
    let (kind, id, _) = hear(&mut viewer);
    assert_eq!((kind, id), (9, 0x241));
    viewer.set_read_timeout(Some(Duration::from_secs(1))).expect("set");
    let (kind, id, parameters) = hear(&mut viewer);
    assert_eq!((kind, id, parameters), (12, 0x241, vec![58, 0, 1, 16]), "and its end");
}

/// A release was lost with the connection that brought something unreadable. Streamers say it again on the next one
/// that is opened; none was, since another one was open.
#[test]
fn a_release_lost_to_malformed_data_is_received_on_a_new_connection() {
    let one_set_up_per_connection = common::SETTINGS_JSON.replace(r#""multiplex": 32"#, r#""multiplex": 1"#);
    let rig = Rig::with_door_and(&one_set_up_per_connection);
    let mut viewer = rig.viewer();
    viewer.write_all(&set_up(0x251, "replay")).expect("written");
    let mut first = rig.streamer();
    read_rtsp(&mut first);
    viewer.write_all(&set_up(0x252, "replay")).expect("written");
    let mut second = rig.streamer();
    read_rtsp(&mut second);
    first.write_all(&stands(0x251, "answer")).expect("written");
    assert_eq!(hear(&mut viewer).0, 9);
    first.write_all(&[b"SPOILT\r\n\r\n".to_vec(), over(0x251)].concat()).expect("written");
    let failed_at = Instant::now();
    let mut third = rig.streamer();
    assert!(failed_at.elapsed() < RELEASE_TIME_LIMIT, "begun within the time of a release");
    third.write_all(&over(0x251)).expect("written");
    let (kind, id, parameters) = hear(&mut viewer);
    assert_eq!((kind, id, parameters), (12, 0x251, vec![58, 0, 1, 16]), "its end");
}

/// The same with one that was closed to make room for a connection to a streamer, where all others are in use.
#[test]
fn a_release_lost_to_an_eviction_is_received_on_a_new_connection() {
    let one_set_up_per_connection =
        common::settings_with_long_timeouts().replace(r#""multiplex": 4096"#, r#""multiplex": 1"#);
    let rig = Rig::with_door_and(&one_set_up_per_connection);
    let mut viewer = rig.viewer();
    viewer.write_all(&set_up(0x261, "replay")).expect("written");
    let mut first = rig.streamer();
    read_rtsp(&mut first);
    first.write_all(&stands(0x261, "answer")).expect("written");
    assert_eq!(hear(&mut viewer).0, 9);
    // One more on the same connection, and one each on all others that there may be.
    let mut requested = 0;
    while rig.figure("withdrawn") == 0 {
        viewer.write_all(&set_up(0x1000 + requested, "replay")).expect("written");
        requested += 1;
        until("it is sent", || rig.figure("relayed") == requested + 1 || rig.figure("withdrawn") > 0);
    }
    assert_eq!(hear(&mut viewer).0, 12, "the last one found no connection");
    read_rtsp(&mut first);
    first.write_all(&stands(0x1000, "answer")).expect("written");
    assert_eq!(hear(&mut viewer).0, 9);
    let mut others: Vec<TcpStream> = (2..requested).map(|_| rig.streamer()).collect();
    // The next one goes to another streamer, whose connection needs a place.
    let second_listener = listener();
    let address = |listener: &std::net::TcpListener| listener.local_addr().expect("bound");
    let members = [
        member("s-1", address(&rig.streamer), "terminating"),
        member("s-2", address(&second_listener), "in_service"),
    ];
    let mut discovery = accept(&rig.bulletin);
    let event = format!(r#"{{"no":2,"roster":{{"members":[{}]}}}}"#, members.join(","));
    discovery.write_all(format!("{event}\n").as_bytes()).expect("written");
    until("it is in the list", || rig.figure("registry_entries") == 2);
    viewer.write_all(&set_up(0x2000, "replay")).expect("written");
    let _other_streamer = accept(&second_listener);
    expect_end_of_stream(&mut first);
    let mut second = others.remove(0);
    read_rtsp(&mut second);
    second.write_all(&stands(0x1001, "answer")).expect("written"); // a place for a new one
    let answered_at = Instant::now();
    let mut replacement = rig.streamer();
    assert!(answered_at.elapsed() < RELEASE_TIME_LIMIT, "begun within the time of a release");
    replacement.write_all(&over(0x261)).expect("written");
    assert_eq!(hear(&mut viewer).1, 0x1001);
    assert_eq!(hear(&mut viewer), (12, 0x261, vec![58, 0, 1, 16]), "its end");
}
