//! Floods and crowds of clients: what makes room, what keeps it, and that nobody who asked stays without an answer.
mod common;
mod rig;
use rig::*;
use std::collections::BTreeMap;
use std::io::Write;
use std::net::TcpStream;

/// Connections that the rig's director holds for viewers: half of its 128 descriptors less its own.
const HELD: usize = 44;

/// Asks whether clients are taken, and hears yes.
fn asks(viewer: &mut TcpStream, id: u64) {
    viewer.write_all(&message(52, id, &[(58, &[0])])).expect("written");
    assert_eq!(read_message(viewer), (53, id, vec![58, 0, 1, 1]));
}

/// A full table made room by the connection that was longest unheard of, though a message had come on it: it
/// was met before that was read.
#[test]
fn a_request_that_has_come_is_heard_before_its_connection_makes_room() {
    let rig = Rig::with_admin();
    let mut table: Vec<TcpStream> = Vec::new();
    while rig.metric("viewers_shed") == 0 {
        assert!(table.len() < 1_000, "it is never full");
        table.push(rig.viewer());
        let last = table.len() - 1;
        asks(&mut table[last], last as u64 + 1);
    }
    // The first made room. The second is the longest unheard of now.
    rig.suspend();
    let newcomer = rig.viewer();
    table[1].write_all(&message(52, 0x2000, &[(58, &[0])])).expect("written");
    rig.resume();
    assert_eq!(read_message(&mut table[1]), (53, 0x2000, vec![58, 0, 1, 1]), "heard, not closed");
    drop(newcomer);
}

/// The list's source is down and idle clients take every place that they can get: requests are served all the
/// same, and the source is found again when it is back.
#[test]
fn idle_clients_leave_room_for_service_and_discovery() {
    let rig = Rig::with_admin();
    drop(accept(&rig.discovery)); // it broke off, and answers nobody from now on
    let idle: Vec<TcpStream> = (0..3 * HELD).map(|_| rig.viewer()).collect();
    let mut viewer = rig.viewer();
    viewer.write_all(&set_up(0xf1, "replay")).expect("written");
    let mut streamer = rig.streamer();
    read_rtsp(&mut streamer);
    streamer.write_all(&established_response(0xf1, "answer")).expect("written");
    assert_eq!(read_message(&mut viewer).0, 9, "served");
    let mut source = accept(&rig.discovery);
    let draining = member("s-1", rig.streamer.local_addr().expect("bound"), "terminating");
    let event = format!("{{\"no\":2,\"roster\":{{\"members\":[{draining}]}}}}\n");
    source.write_all(event.as_bytes()).expect("written");
    wait_until("the list is followed again", || rig.metric("out_of_rotation") == 1);
    assert_eq!(rig.metric("descriptors_out"), 0, "none was missing");
    drop(idle);
}

/// Thousands of requests at once on one connection: each is answered, most are refused at once, and none twice.
#[test]
fn a_flood_of_requests_on_one_connection_is_answered_whole() {
    const FLOOD: u64 = 3_000;
    let rig = Rig::start();
    let viewer = rig.viewer();
    let mut sender = viewer.try_clone().expect("cloned");
    let sends = std::thread::spawn(move || {
        for id in 1..=FLOOD {
            sender.write_all(&set_up(id, "seat-view")).expect("written");
        }
    });
    let mut streamer = rig.streamer();
    let answers = std::thread::spawn(move || {
        let mut viewer = viewer;
        let mut heard: BTreeMap<u64, u32> = BTreeMap::new();
        while heard.len() < FLOOD as usize {
            let (kind, id, _) = read_message(&mut viewer);
            assert!([9, 12].contains(&kind), "an answer");
            *heard.entry(id).or_default() += 1;
        }
        heard
    });
    sends.join().expect("all sent");
    drop(read_rtsp(&mut streamer));
    drop(streamer); // what is out breaks, and is answered, too
    let heard = answers.join().expect("all answered");
    assert!(heard.values().all(|times| *times == 1), "each once");
}

/// A crowd of new connections with a request each: each gets an answer, whether the table was full or not.
#[test]
fn a_crowd_of_new_connections_is_answered_whole() {
    let rig = Rig::start();
    rig.suspend();
    let mut crowd: Vec<TcpStream> = (0..4 * HELD).map(|_| rig.viewer()).collect();
    for (id, viewer) in crowd.iter_mut().enumerate() {
        viewer.write_all(&set_up(0x3000 + id as u64, "nobody's")).expect("written");
    }
    rig.resume();
    for (id, viewer) in crowd.iter_mut().enumerate() {
        assert_eq!(read_message(viewer), (12, 0x3000 + id as u64, vec![58, 0, 1, 41]));
    }
}

/// A full table closed the connection of a viewer that was in the middle of reading its answers.
#[test]
fn a_connection_with_half_written_answers_makes_no_room() {
    let rig = Rig::with_admin_and_settings(&common::settings_with_long_timeouts());
    let UnreadAnswers { mut viewer, answers, .. } = unread_answers(&rig);
    let before = rig.metric("viewer_connections");
    rig.suspend();
    let crowd: Vec<TcpStream> = (0..4 * HELD).map(|_| rig.viewer()).collect();
    rig.resume();
    wait_until("the table is full", || rig.metric("viewer_connections") > before);
    for _ in 0..answers {
        assert_eq!(read_message(&mut viewer).0, 9, "whole");
    }
    drop(crowd);
}
