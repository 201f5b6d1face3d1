//! Many clients or requests at once: which connections are evicted, and that every request is answered.
mod common;
mod rig;
use rig::*;
use std::collections::BTreeMap;
use std::io::Write;
use std::net::TcpStream;

/// Viewer connections that the director under test accepts: half of its 128 file descriptors less its own.
const MAX_VIEWER_CONNECTIONS: usize = 44;

/// Runs a health check and expects that clients are accepted.
fn check_health(viewer: &mut TcpStream, id: u64) {
    viewer.write_all(&message(52, id, &[(58, &[0])])).expect("written");
    assert_eq!(read_message(viewer), (53, id, vec![58, 0, 1, 1]));
}

/// At the limit on connections the one with the oldest last message was evicted although a new message had
/// arrived on it, because the eviction was made before that message was read.
#[test]
fn a_received_message_is_processed_before_its_connection_is_evicted() {
    let rig = Rig::with_admin();
    let mut connections: Vec<TcpStream> = Vec::new();
    while rig.metric("viewers_shed") == 0 {
        assert!(connections.len() < 1_000, "the limit is never reached");
        connections.push(rig.viewer());
        let last = connections.len() - 1;
        check_health(&mut connections[last], last as u64 + 1);
    }
    // The first connection was evicted. The second one now has the oldest last message.
    rig.suspend();
    let newcomer = rig.viewer();
    connections[1].write_all(&message(52, 0x2000, &[(58, &[0])])).expect("written");
    rig.resume();
    assert_eq!(read_message(&mut connections[1]), (53, 0x2000, vec![58, 0, 1, 1]), "answered, not closed");
    drop(newcomer);
}

/// Discovery is down and idle clients take all connections that they can get: requests are still served, and
/// discovery is connected again once it is back.
#[test]
fn idle_connections_block_neither_requests_nor_discovery() {
    let rig = Rig::with_admin();
    drop(accept(&rig.discovery)); // discovery fails and does not respond from now on
    let idle: Vec<TcpStream> = (0..3 * MAX_VIEWER_CONNECTIONS).map(|_| rig.viewer()).collect();
    let mut viewer = rig.viewer();
    viewer.write_all(&set_up(0xf1, "replay")).expect("written");
    let mut streamer = rig.streamer();
    read_rtsp(&mut streamer);
    streamer.write_all(&established_response(0xf1, "answer")).expect("written");
    assert_eq!(read_message(&mut viewer).0, 9, "served");
    let mut discovery = accept(&rig.discovery);
    let draining = member("s-1", rig.streamer.local_addr().expect("bound"), "terminating");
    let event = format!("{{\"no\":2,\"roster\":{{\"members\":[{draining}]}}}}\n");
    discovery.write_all(event.as_bytes()).expect("written");
    wait_until("updates of the list are received again", || rig.metric("out_of_rotation") == 1);
    assert_eq!(rig.metric("descriptors_out"), 0, "no descriptor was missing");
    drop(idle);
}

/// Thousands of requests at once on one connection: each is answered exactly once, most of them by an
/// immediate refusal.
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
            let (kind, id, _) = read_message(&mut viewer);
            assert!([9, 12].contains(&kind), "an answer");
            *answer_counts.entry(id).or_default() += 1;
        }
        answer_counts
    });
    sending.join().expect("all sent");
    drop(read_rtsp(&mut streamer));
    drop(streamer); // attempts in flight fail, and their requests are answered, too
    let answer_counts = receiving.join().expect("all answered");
    assert!(answer_counts.values().all(|count| *count == 1), "each request is answered once");
}

/// A burst of new connections with one request each: each gets an answer, also beyond the limit on
/// connections.
#[test]
fn each_request_of_a_burst_of_connections_is_answered() {
    let rig = Rig::start();
    rig.suspend();
    let mut new_connections: Vec<TcpStream> = (0..4 * MAX_VIEWER_CONNECTIONS).map(|_| rig.viewer()).collect();
    for (id, viewer) in new_connections.iter_mut().enumerate() {
        viewer.write_all(&set_up(0x3000 + id as u64, "nobody's")).expect("written");
    }
    rig.resume();
    for (id, viewer) in new_connections.iter_mut().enumerate() {
        assert_eq!(read_message(viewer), (12, 0x3000 + id as u64, vec![58, 0, 1, 41]));
    }
}

/// At the limit on connections the connection of a viewer was evicted while the viewer was reading its
/// answers.
#[test]
fn a_connection_with_partly_written_answers_is_not_evicted() {
    let rig = Rig::with_admin_and_settings(&common::settings_with_long_timeouts());
    let UnreadAnswers { mut viewer, answers, .. } = unread_answers(&rig);
    let connections_before = rig.metric("viewer_connections");
    rig.suspend();
    let new_connections: Vec<TcpStream> = (0..4 * MAX_VIEWER_CONNECTIONS).map(|_| rig.viewer()).collect();
    rig.resume();
    wait_until("the limit is reached", || rig.metric("viewer_connections") > connections_before);
    for _ in 0..answers {
        assert_eq!(read_message(&mut viewer).0, 9, "complete");
    }
    drop(new_connections);
}
