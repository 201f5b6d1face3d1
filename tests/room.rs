//! Floods and crowds of clients: what makes room, what keeps it, and that nobody who asked stays without an answer.
mod common;
mod rig;
use rig::*;
use std::collections::BTreeMap;
use std::io::Write;
use std::net::TcpStream;

/// Connections that the rig's director holds for viewers: half of its 128 descriptors less its own.
const MAX_VIEWER_CONNECTIONS: usize = 44;

/// Asks whether clients are taken, and hears yes.
fn check_health(viewer: &mut TcpStream, id: u64) {
    viewer.write_all(&message(52, id, &[(58, &[0])])).expect("written");
    assert_eq!(hear(viewer), (53, id, vec![58, 0, 1, 1]));
}

/// A full table made room by the connection that was longest unheard of, though a message had come on it: it
/// was met before that was read.
#[test]
fn a_received_message_is_processed_before_its_connection_is_evicted() {
    let rig = Rig::with_door();
    let mut connections: Vec<TcpStream> = Vec::new();
    while rig.figure("viewers_shed") == 0 {
        assert!(connections.len() < 1_000, "it is never full");
        connections.push(rig.viewer());
        let last = connections.len() - 1;
        check_health(&mut connections[last], last as u64 + 1);
    }
    // The first made room. The second is the longest unheard of now.
    rig.stop();
    let newcomer = rig.viewer();
    connections[1].write_all(&message(52, 0x2000, &[(58, &[0])])).expect("written");
    rig.go_on();
    assert_eq!(hear(&mut connections[1]), (53, 0x2000, vec![58, 0, 1, 1]), "heard, not closed");
    drop(newcomer);
}

/// The list's source is down and idle clients take every place that they can get: requests are served all the
/// same, and the source is found again when it is back.
#[test]
fn idle_connections_block_neither_requests_nor_discovery() {
    let rig = Rig::with_door();
    drop(accept(&rig.bulletin)); // it broke off, and answers nobody from now on
    let idle: Vec<TcpStream> = (0..3 * MAX_VIEWER_CONNECTIONS).map(|_| rig.viewer()).collect();
    let mut viewer = rig.viewer();
    viewer.write_all(&set_up(0xf1, "replay")).expect("written");
    let mut streamer = rig.streamer();
    read_rtsp(&mut streamer);
    streamer.write_all(&stands(0xf1, "answer")).expect("written");
    assert_eq!(hear(&mut viewer).0, 9, "served");
    let mut discovery = accept(&rig.bulletin);
    let draining = member("s-1", rig.streamer.local_addr().expect("bound"), "terminating");
    let event = format!("{{\"no\":2,\"roster\":{{\"members\":[{draining}]}}}}\n");
    discovery.write_all(event.as_bytes()).expect("written");
    until("the list is followed again", || rig.figure("out_of_rotation") == 1);
    assert_eq!(rig.figure("descriptors_out"), 0, "none was missing");
    drop(idle);
}

/// Thousands of requests at once on one connection: each is answered, most are refused at once, and none twice.
#[test]
fn each_request_of_a_flood_on_one_connection_is_answered_once() {
    const REQUESTS: u64 = 3_000;
    let rig = Rig::start();
    let viewer = rig.viewer();
    let mut sender = viewer.try_clone().expect("cloned");
    let sending = std::thread::spawn(move || {
        for id in 1..=REQUESTS {
            sender.write_all(&set_up(id, "seat-view")).expect("written");
        }
    });
    let mut streamer = rig.streamer();
    let receiving = std::thread::spawn(move || {
        let mut viewer = viewer;
        let mut answer_counts: BTreeMap<u64, u32> = BTreeMap::new();
        while answer_counts.len() < REQUESTS as usize {
            let (kind, id, _) = hear(&mut viewer);
            assert!([9, 12].contains(&kind), "an answer");
            *answer_counts.entry(id).or_default() += 1;
        }
        answer_counts
    });
    sending.join().expect("all sent");
    drop(read_rtsp(&mut streamer));
    drop(streamer); // what is out breaks, and is answered, too
    let answer_counts = receiving.join().expect("all answered");
    assert!(answer_counts.values().all(|count| *count == 1), "each once");
}

/// A crowd of new connections with a request each: each gets an answer, whether the table was full or not.
#[test]
fn each_request_of_a_burst_of_connections_is_answered() {
    let rig = Rig::start();
    rig.stop();
    let mut new_connections: Vec<TcpStream> = (0..4 * MAX_VIEWER_CONNECTIONS).map(|_| rig.viewer()).collect();
    for (id, viewer) in new_connections.iter_mut().enumerate() {
        viewer.write_all(&set_up(0x3000 + id as u64, "nobody's")).expect("written");
    }
    rig.go_on();
    for (id, viewer) in new_connections.iter_mut().enumerate() {
        assert_eq!(hear(viewer), (12, 0x3000 + id as u64, vec![58, 0, 1, 41]));
    }
}

/// A full table closed the connection of a viewer that was in the middle of reading its answers.
#[test]
fn a_connection_with_partly_written_answers_is_not_evicted() {
    let rig = Rig::with_door_and(&common::settings_with_long_timeouts());
    let HalfWritten { mut viewer, answers, .. } = half_written(&rig);
    let connections_before = rig.figure("viewer_connections");
    rig.stop();
    let new_connections: Vec<TcpStream> = (0..4 * MAX_VIEWER_CONNECTIONS).map(|_| rig.viewer()).collect();
    rig.go_on();
    until("the table is full", || rig.figure("viewer_connections") > connections_before);
    for _ in 0..answers {
        assert_eq!(hear(&mut viewer).0, 9, "whole");
    }
    drop(new_connections);
}
