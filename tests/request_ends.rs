//! Connections that the director closes while something on them is not over: behind what can't be read or used, with
//! a client that reads slowly, or with half a request; and releases that overtake their answers.
mod common;
mod rig;
use rig::*;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// By then a connection that has said nothing whole is closed.
const SILENT: Duration = Duration::from_millis(1_500);

/// A session that is over at its streamer is released to its client within this.
const RELEASED: Duration = Duration::from_secs(1);

fn ends(viewer: &mut TcpStream) {
    assert_eq!(viewer.read(&mut [0; 64]).unwrap_or(0), 0, "ended, and nothing more said");
}

#[test]
fn a_request_ahead_of_what_cannot_be_read_gets_its_answer() {
    let rig = Rig::start();
    let mut viewer = rig.viewer();
    let garbage = [0, 3, 1, 2, 3];
    viewer.write_all(&[&set_up(0x201, "replay")[..], &garbage].concat()).expect("written");
    let mut streamer = rig.streamer();
    assert!(read_rtsp(&mut streamer).starts_with("SETUP"));
    std::thread::sleep(Duration::from_millis(50)); // many turns later
    streamer.write_all(&established_response(0x201, "answer")).expect("written");
    assert_eq!(read_message(&mut viewer).0, 9, "served");
    ends(&mut viewer);
}

/// The session was over as soon as it stood, and its release went out on another connection than its answer.
#[test]
fn a_release_right_behind_its_answer_is_on_the_same_connection_though_that_is_being_ended() {
    let rig = Rig::start();
    let mut other = rig.viewer();
    other.write_all(&set_up(0x20f, "unheard-of")).expect("written");
    assert_eq!(read_message(&mut other).1, 0x20f, "it could be told, too");
    let mut viewer = rig.viewer();
    let garbage = [0, 3, 1, 2, 3];
    viewer.write_all(&[&set_up(0x202, "replay")[..], &garbage].concat()).expect("written");
    let mut streamer = rig.streamer();
    read_rtsp(&mut streamer);
    streamer.write_all(&[established_response(0x202, "answer"), teardown(0x202)].concat()).expect("written");
    for kind in [9, 12] {
        let heard = read_message(&mut viewer);
        assert_eq!((heard.0, heard.1), (kind, 0x202));
    }
    ends(&mut viewer);
}

#[test]
fn a_request_beside_too_many_unusable_ones_gets_its_answer() {
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

/// Answers pile up at the director, beyond what it keeps for a client that does not read, while a request is open.
#[test]
fn a_request_on_a_connection_that_reads_slowly_gets_its_answer() {
    let rig = Rig::with_admin_and_settings(&common::settings_with_long_timeouts());
    let UnreadAnswers { mut viewer, mut streamer, answers, first } = unread_answers(&rig);
    let (open, served) = (first + 9_000, rig.metric("served"));
    viewer.write_all(&set_up(open, "replay")).expect("written");
    read_rtsp(&mut streamer);
    let long = "a".repeat(15_000);
    let more = 20;
    for id in open + 1..=open + more {
        viewer.write_all(&set_up(id, "replay")).expect("written");
        read_rtsp(&mut streamer);
    }
    for id in open + 1..=open + more {
        streamer.write_all(&established_response(id, &long)).expect("written");
    }
    wait_until("all others are answered", || rig.metric("served") == served + more);
    streamer.write_all(&established_response(open, "answer")).expect("written");
    for _ in 0..answers + more {
        assert_eq!(read_message(&mut viewer).0, 9, "whole");
    }
    assert_eq!(read_message(&mut viewer).0, 9, "the last one, too");
}

/// The second half of a request comes after the time in which a new connection has to have said something.
#[test]
fn half_a_request_as_its_connection_falls_due_for_silence_is_waited_for() {
    let rig = Rig::start();
    let mut viewer = rig.viewer();
    let whole = set_up(0x221, "nobody's");
    std::thread::sleep(SILENT - Duration::from_millis(300));
    viewer.write_all(&whole[..30]).expect("written");
    std::thread::sleep(Duration::from_millis(600));
    viewer.write_all(&whole[30..]).expect("the connection stays");
    assert_eq!(read_message(&mut viewer), (12, 0x221, vec![58, 0, 1, 41]));
}

/// A full table: a connection in the middle of bringing a request is not the one that is closed.
#[test]
fn a_connection_with_half_a_request_makes_no_room() {
    let rig = Rig::with_admin();
    let mut half = rig.viewer();
    let whole = set_up(0x231, "nobody's");
    half.write_all(&whole[..30]).expect("written");
    std::thread::sleep(Duration::from_millis(200)); // longest unheard of, and past its first time
    let crowd: Vec<TcpStream> = (0..200).map(|_| rig.viewer()).collect();
    wait_until("some made room", || rig.metric("viewers_shed") > 20);
    half.write_all(&whole[30..]).expect("the connection stays");
    assert_eq!(read_message(&mut half), (12, 0x231, vec![58, 0, 1, 41]));
    drop(crowd);
}

/// A session's release came on another connection, ahead of the answer that it stands, and was dropped: the client
/// was told that it stands and never that it is over.
#[test]
fn a_release_that_overtakes_its_answer_is_told_after_it() {
    let one_each = common::SETTINGS_JSON.replace(r#""multiplex": 32"#, r#""multiplex": 1"#);
    let rig = Rig::with_admin_and_settings(&one_each);
    let mut viewer = rig.viewer();
    viewer.write_all(&set_up(0x241, "replay")).expect("written");
    let mut first = rig.streamer();
    read_rtsp(&mut first);
    viewer.write_all(&set_up(0x242, "replay")).expect("written");
    let mut second = rig.streamer();
    read_rtsp(&mut second);
    second.write_all(&teardown(0x241)).expect("written");
    second.write_all(&established_response(0x242, "answer")).expect("written");
    assert_eq!(read_message(&mut viewer).1, 0x242, "the release was heard before this");
    first.write_all(&established_response(0x241, "answer")).expect("written");
    let (kind, id, _) = read_message(&mut viewer);
    assert_eq!((kind, id), (9, 0x241));
    viewer.set_read_timeout(Some(Duration::from_secs(1))).expect("set");
    let (kind, id, parameters) = read_message(&mut viewer);
    assert_eq!((kind, id, parameters), (12, 0x241, vec![58, 0, 1, 16]), "and its end");
}

/// A release was lost with the connection that brought something unreadable. Streamers say it again on the next one
/// that is opened; none was, since another one was open.
#[test]
fn a_release_lost_with_a_spoilt_connection_is_asked_for_on_a_new_one() {
    let one_each = common::SETTINGS_JSON.replace(r#""multiplex": 32"#, r#""multiplex": 1"#);
    let rig = Rig::with_admin_and_settings(&one_each);
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
    let spoilt = Instant::now();
    let mut third = rig.streamer();
    assert!(spoilt.elapsed() < RELEASED, "begun within the time of a release");
    third.write_all(&teardown(0x251)).expect("written");
    let (kind, id, parameters) = read_message(&mut viewer);
    assert_eq!((kind, id, parameters), (12, 0x251, vec![58, 0, 1, 16]), "its end");
}

/// The same with one that was closed to make room for a connection to a streamer, where all others are in use.
#[test]
fn a_release_lost_with_a_connection_that_made_room_is_asked_for_on_a_new_one() {
    let one_each = common::settings_with_long_timeouts().replace(r#""multiplex": 4096"#, r#""multiplex": 1"#);
    let rig = Rig::with_admin_and_settings(&one_each);
    let mut viewer = rig.viewer();
    viewer.write_all(&set_up(0x261, "replay")).expect("written");
    let mut first = rig.streamer();
    read_rtsp(&mut first);
    first.write_all(&established_response(0x261, "answer")).expect("written");
    assert_eq!(read_message(&mut viewer).0, 9);
    // One more on the same connection, and one each on all others that there may be.
    let mut asked = 0;
    while rig.metric("withdrawn") == 0 {
        viewer.write_all(&set_up(0x1000 + asked, "replay")).expect("written");
        asked += 1;
        wait_until("it is sent", || rig.metric("relayed") == asked + 1 || rig.metric("withdrawn") > 0);
    }
    assert_eq!(read_message(&mut viewer).0, 12, "the last one found no connection");
    read_rtsp(&mut first);
    first.write_all(&established_response(0x1000, "answer")).expect("written");
    assert_eq!(read_message(&mut viewer).0, 9);
    let mut others: Vec<TcpStream> = (2..asked).map(|_| rig.streamer()).collect();
    // The next one goes to another streamer, whose connection needs a place.
    let next = bind_listener();
    let at = |of: &std::net::TcpListener| of.local_addr().expect("bound");
    let members = [member("s-1", at(&rig.streamer), "terminating"), member("s-2", at(&next), "in_service")];
    let mut discovery = accept(&rig.discovery);
    let event = format!(r#"{{"no":2,"roster":{{"members":[{}]}}}}"#, members.join(","));
    discovery.write_all(format!("{event}\n").as_bytes()).expect("written");
    wait_until("it is in the list", || rig.metric("registry_entries") == 2);
    viewer.write_all(&set_up(0x2000, "replay")).expect("written");
    let _other_streamer = accept(&next);
    ends(&mut first);
    let mut second = others.remove(0);
    read_rtsp(&mut second);
    second.write_all(&established_response(0x1001, "answer")).expect("written"); // a place for a new one
    let answered = Instant::now();
    let mut another = rig.streamer();
    assert!(answered.elapsed() < RELEASED, "begun within the time of a release");
    another.write_all(&teardown(0x261)).expect("written");
    assert_eq!(read_message(&mut viewer).1, 0x1001);
    assert_eq!(read_message(&mut viewer), (12, 0x261, vec![58, 0, 1, 16]), "its end");
}
