//! Operation of real processes: the admin interface, metrics, lame duck, shutdown, and the replacement of one
//! process by another. The tests simulate the viewers, the streamer and the front end.
mod common;
mod rig;
use rig::*;
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::TcpStream;

/// Returns whether the director reports at the viewers' address that it accepts clients. Uses a new
/// connection each time, as the front end does.
fn accepts_clients(rig: &Rig) -> bool {
    let mut front_end = rig.viewer();
    front_end.write_all(&message(52, 7, &[(58, &[0])])).expect("written");
    match read_message(&mut front_end) {
        (53, 7, parameters) => parameters == [58, 0, 1, 1],
        other => panic!("the front end received {other:?}"),
    }
}

fn metrics(rig: &Rig) -> BTreeMap<String, u64> {
    let (status, body) = rig.admin_call("GET", "/_vars");
    assert_eq!(status, 200);
    let parse_line = |line: &str| {
        let (name, value) = line.split_once('=').expect("name=value");
        (name.to_owned(), value.parse().expect("a whole number"))
    };
    body.lines().map(parse_line).collect()
}

#[test]
fn admin_requests_are_answered_once_and_invalid_ones_rejected() {
    let rig = Rig::with_admin();
    assert_eq!(rig.admin_call("GET", "/_ready").0, 200);
    for (method, path, status) in [
        ("PUT", "/_ready", 405),
        ("GET", "/_lameduck/on", 405),
        ("GET", "/_lameduck", 404),
        ("GET", "/", 404),
        ("DELETE", "/_vars", 405),
    ] {
        assert_eq!(rig.admin_call(method, path).0, status, "{method} {path}");
    }
    let address = rig.admin.expect("an admin address");
    for (request, status) in [(&b"\x16\x03\x01 no HTTP\r\n\r\n"[..], 400), (&[b'A'; 5_000], 431)] {
        let mut stream = TcpStream::connect(address).expect("connected");
        stream.write_all(request).expect("written");
        assert_eq!(read_http_response(stream).0, status);
    }
    // Sent byte by byte, with a second request behind the first.
    let mut stream = TcpStream::connect(address).expect("connected");
    for byte in b"GET /_ready?now HTTP/1.1\r\nHost: x\r\n\r\nGET /_ready HTTP/1.1\r\n\r\n" {
        stream.write_all(&[*byte]).expect("written");
    }
    assert_eq!(read_http_response(stream).0, 200);
    assert!(accepts_clients(&rig), "viewers are not affected");
}

/// A thousand admin connections without a complete request, more than there are slots: the next request is
/// answered, and viewers are served meanwhile.
#[test]
fn idle_admin_connections_do_not_block_new_ones() {
    let rig = Rig::with_admin();
    let address = rig.admin.expect("an admin address");
    let mut idle = Vec::new();
    for i in 0..1_000 {
        let mut stream = TcpStream::connect(address).expect("connected or queued");
        if i % 2 == 0 {
            stream.write_all(b"GET /_va").expect("written");
        }
        idle.push(stream);
        if i % 100 == 99 {
            assert_eq!(rig.admin_call("GET", "/_vars").0, 200);
            assert!(accepts_clients(&rig));
        }
    }
    // Printed and not asserted: on a busy machine the latency may be high without a fault in the server.
    let mut latencies: Vec<_> = (0..200)
        .map(|_| {
            let started_at = std::time::Instant::now();
            assert_eq!(rig.admin_call("GET", "/_ready").0, 200);
            started_at.elapsed()
        })
        .collect();
    latencies.sort_unstable();
    println!("request beside 1,000 idle connections: p50 {:?}, p99 {:?}", latencies[100], latencies[198]);
    assert_eq!(rig.admin_call("PUT", "/_lameduck/off").0, 200);
    let descriptors = std::fs::read_dir(format!("/proc/{}/fd", rig.child.id())).expect("descriptors").count();
    assert!(descriptors < 64, "{descriptors} descriptors in use with 1,000 admin connections");
}

#[test]
fn without_an_address_there_is_no_admin_interface() {
    let mut rig = Rig::start();
    let without = std::fs::read_dir(format!("/proc/{}/fd", rig.child.id())).expect("descriptors").count();
    let other = Rig::with_admin();
    let with = std::fs::read_dir(format!("/proc/{}/fd", other.child.id())).expect("descriptors").count();
    assert_eq!(with, without + 1, "only the listener is added");
    rig.signal("-USR1");
    assert!(next_line(&mut rig.log, "counters").contains("calls=0"));
}

/// Compares the metrics, for each way a request can end, with what this test's viewers and streamer counted.
#[test]
fn metrics_match_the_requests_that_peers_counted() {
    let single_attempt = common::SETTINGS_JSON.replace(r#""max_attempts": 4"#, r#""max_attempts": 1"#);
    let rig = Rig::with_admin_and_settings(&single_attempt);
    let (mut viewer, mut streamer) = connect_and_establish(&rig, 0x10);
    let mut relayed = 1;
    for id in 0x11..0x18 {
        establish_session(&mut viewer, &mut streamer, id);
        relayed += 1;
    }
    for id in 0x11..0x15 {
        streamer.write_all(&teardown(id)).expect("written");
        assert_eq!(read_message(&mut viewer).0, 12);
    }
    start_attempt(&mut viewer, &mut streamer, 0x40);
    relayed += 1;
    // A paid request fails at an error, which counts against the only streamer: the next is refused at once.
    viewer.write_all(&set_up(0x31, "replay")).expect("written");
    read_rtsp(&mut streamer);
    relayed += 1;
    let error = b"RTSP/1.0 500 Error\r\nCSeq: 1\r\nSession: 0000000000000031\r\nContent-Length: 0\r\n\r\n";
    streamer.write_all(error).expect("written");
    for (id, cause) in [(0x31, 41), (0x32, 42)] {
        if id == 0x32 {
            viewer.write_all(&set_up(id, "seat-view")).expect("written");
        }
        let (kind, session, parameters) = read_message(&mut viewer);
        assert_eq!((kind, session, parameters[3]), (12, id, cause));
    }
    let metrics = metrics(&rig);
    let value = |name: &str| metrics.get(name).copied().unwrap_or_else(|| panic!("no {name} in {metrics:?}"));
    assert_eq!(value("svc.operations.replay.fulfilled"), 8);
    assert_eq!(value("svc.operations.replay.faulted"), 1);
    assert_eq!(value("svc.operations.replay.throttled"), 0);
    assert_eq!(value("svc.operations.seat-view.throttled"), 1);
    assert_eq!(value("svc.relayed"), relayed);
    assert_eq!(value("svc.open_requests"), 4 + 1, "established sessions and a pending request");
    assert_eq!(value("svc.registry_entries"), 1);
    assert_eq!(value("svc.out_of_rotation"), 1, "the only streamer, after its errors");
}

/// Lame duck: the front end is told at once that no clients are accepted; an attempt in flight is answered
/// once; a connection without sessions is closed, and one with a session kept for its release.
/// Then clients are accepted again.
#[test]
fn lame_duck_closes_idle_connections_and_can_be_left() {
    let rig = Rig::with_admin();
    let (mut viewer, mut streamer) = connect_and_establish(&rig, 0xa1);
    let mut idle_viewer = rig.viewer();
    idle_viewer.write_all(&set_up(0xb0, "unheard-of")).expect("written");
    assert_eq!(read_message(&mut idle_viewer).0, 12);
    start_attempt(&mut viewer, &mut streamer, 0xa2);
    assert_eq!(rig.admin_call("PUT", "/_lameduck/on").0, 200);
    assert!(!accepts_clients(&rig) && rig.admin_call("GET", "/_ready").0 == 503);
    assert_closed(idle_viewer);
    streamer.write_all(&established_response(0xa2, "answer")).expect("written");
    assert_eq!(read_message(&mut viewer), (9, 0xa2, [&[61, 0, 6][..], b"answer"].concat()));
    // The front end keeps asking on new connections, which do not receive the releases of sessions.
    streamer.write_all(&teardown(0xa1)).expect("written");
    assert!(!accepts_clients(&rig));
    assert_eq!(read_message(&mut viewer), (12, 0xa1, vec![58, 0, 1, 16]));
    // All connections are closed before the front end checks; later releases wait until the viewers return.
    assert_closed(viewer);
    streamer.write_all(&teardown(0xa2)).expect("written");
    assert!(!accepts_clients(&rig));
    assert_eq!(rig.admin_call("PUT", "/_lameduck/off").0, 200);
    assert!(accepts_clients(&rig) && rig.admin_call("GET", "/_ready").0 == 200);
    let mut returned_viewer = rig.viewer();
    returned_viewer.write_all(&set_up(0xa3, "replay")).expect("written");
    assert_eq!(
        read_message(&mut returned_viewer),
        (12, 0xa2, vec![58, 0, 1, 16]),
        "the waiting release comes first"
    );
    read_rtsp(&mut streamer);
    streamer.write_all(&established_response(0xa3, "answer")).expect("written");
    assert_eq!(read_message(&mut returned_viewer).0, 9);
}

/// A request is in flight, on a connection that was kept, when clients are accepted again.
#[test]
fn an_attempt_in_flight_when_lame_duck_ends_is_answered_once() {
    let rig = Rig::with_admin();
    let (mut viewer, mut streamer) = connect_and_establish(&rig, 0xa1);
    assert_eq!(rig.admin_call("PUT", "/_lameduck/on").0, 200);
    start_attempt(&mut viewer, &mut streamer, 0xa2);
    assert_eq!(rig.admin_call("PUT", "/_lameduck/off").0, 200);
    streamer.write_all(&established_response(0xa2, "answer")).expect("written");
    assert_eq!(read_message(&mut viewer).0, 9);
    establish_session(&mut viewer, &mut streamer, 0xa3); // no other message came before
}

/// A director that shuts down without a successor keeps connections with sessions and still answers requests.
#[test]
fn leaving_lame_duck_during_shutdown_is_refused() {
    let mut rig = Rig::with_admin();
    rig.signal("-TERM");
    next_line(&mut rig.log, "asked to end");
    let (status, body) = rig.admin_call("PUT", "/_lameduck/off");
    assert!(status == 409 && body.contains("ask the one that serves after it"), "{status} {body}");
    assert!(rig.admin_call("GET", "/_ready").0 == 503 && !accepts_clients(&rig));
}

/// Planned restart: a viewer keeps sending while its connection is open. Every request is answered once, but
/// for one that may cross the close, and the release of its session arrives on that connection. A connection
/// without sessions is closed meanwhile, so that nothing more is sent there.
#[test]
fn requests_sent_during_shutdown_are_answered() {
    let mut rig = Rig::with_admin();
    let (mut viewer, _streamer) = connect_and_establish(&rig, 0xe0);
    let mut idle_viewer = rig.viewer();
    idle_viewer.write_all(&set_up(0xb0, "unheard-of")).expect("written");
    assert_eq!(read_message(&mut idle_viewer).0, 12);
    rig.signal("-TERM");
    next_line(&mut rig.log, "asked to end");
    let (mut sent, mut answered, mut released) = (0_u64, 0_u64, false);
    // The director releases the session after the last answer, then closes the connection.
    loop {
        // More unusable requests would close the connection.
        if sent == answered && sent < 24 {
            sent += 1;
            if viewer.write_all(&set_up(0xf000 + sent, "nobody's")).is_err() {
                break;
            }
        }
        let mut length = [0; 2];
        if viewer.read_exact(&mut length).is_err() {
            break;
        }
        let mut body = vec![0; usize::from(u16::from_be_bytes(length))];
        viewer.read_exact(&mut body).expect("a whole message");
        let session = u64::from_be_bytes(body[1..9].try_into().expect("eight bytes"));
        if session == 0xe0 {
            released = true;
        } else {
            assert_eq!(session, 0xf000 + sent, "each request is answered once, in order");
            answered += 1;
        }
    }
    assert!(
        released && answered > 10 && sent - answered <= 1,
        "{sent} sent, {answered} answered, {released}"
    );
    assert_closed(idle_viewer);
    assert!(rig.child.wait().expect("ended").success());
}

/// The old process answers its pending requests once, closes connections as they become idle, and exits. Its
/// sessions go on, are handed over to the new process, and their releases reach the viewer through that.
#[test]
fn an_upgrade_preserves_requests_and_sessions() {
    let OldProcess { socket, mut old, mut viewer, mut streamer } = start_old_process();
    let new = Rig::on_listener(&socket, &old.streamer, &old.discovery);
    assert_eq!(new.admin_call("GET", "/_ready").0, 200, "it accepts clients at once");
    old.signal("-TERM");
    next_line(&mut old.log, "asked to end");
    // New connections reach the new process, the only one that accepts clients.
    for _ in 0..20 {
        assert!(accepts_clients(&new));
    }
    streamer.write_all(&established_response(0xc2, "answer")).expect("written");
    assert_eq!(read_message(&mut viewer).0, 9);
    assert_closed(viewer);
    assert!(old.child.wait().expect("ended").success(), "it exits by itself");
    // The streamer is not told to end the sessions: its connection just closes.
    assert_closed(streamer);
    let mut viewer = new.viewer();
    for id in [0xc1, 0xc2] {
        viewer.write_all(&handed_over_session(id, "s-1")).expect("written");
    }
    let mut streamer = new.streamer();
    for id in [0xc1, 0xc2] {
        streamer.write_all(&teardown(id)).expect("written");
        assert_eq!(read_message(&mut viewer), (12, id, vec![58, 0, 1, 16]));
    }
}

/// A release reaches the new process before the session is handed over to it: the viewer still receives it.
#[test]
fn a_release_received_before_the_hand_over_is_delivered() {
    let OldProcess { socket, mut old, mut viewer, mut streamer } = start_old_process();
    let new = Rig::on_listener(&socket, &old.streamer, &old.discovery);
    streamer.write_all(&established_response(0xc2, "answer")).expect("written");
    assert_eq!(read_message(&mut viewer).0, 9);
    let (mut new_viewer, mut new_streamer) = establish_on_new_process(&new, &old, 0xd1);
    old.signal("-TERM");
    assert_closed(viewer);
    assert!(old.child.wait().expect("ended").success());
    new_streamer.write_all(&teardown(0xc1)).expect("written"); // on the only connection that is open now
    establish_session(&mut new_viewer, &mut new_streamer, 0xd2); // the release was read before this
    let mut viewer = new.viewer();
    viewer.write_all(&handed_over_session(0xc1, "s-1")).expect("written");
    assert_eq!(read_message(&mut viewer), (12, 0xc1, vec![58, 0, 1, 16]));
}

/// The new process never becomes ready: the old one gets no signal and continues to serve.
#[test]
fn an_upgrade_whose_new_process_fails_to_start_changes_nothing() {
    let OldProcess { socket, old, mut viewer, mut streamer } = start_old_process();
    let mut command = std::process::Command::new(env!("CARGO_BIN_EXE_stonewharf"));
    command
        .env("LB_CONFIG", old.folder.join("config.json"))
        .env("LB_ADMIN_ADDR", old.admin.expect("an admin address").to_string()) // in use
        .env("LB_INHERITED_FD", std::os::fd::AsRawFd::as_raw_fd(&socket).to_string());
    let output = inherit::start_with(Some(&socket), || command.output()).expect("ran");
    let stderr = String::from_utf8_lossy(&output.stderr);
    assert!(!output.status.success() && stderr.contains("can't listen on"), "{stderr}");
    streamer.write_all(&established_response(0xc2, "answer")).expect("written");
    assert_eq!(read_message(&mut viewer).0, 9);
    assert!(accepts_clients(&old));
    establish_session(&mut viewer, &mut streamer, 0xc3);
}

/// The new process becomes ready and is killed at once: the old one still answers its pending requests once.
#[test]
fn a_crash_of_the_new_process_does_not_affect_the_old_one() {
    let OldProcess { socket, mut old, mut viewer, mut streamer } = start_old_process();
    let mut new = Rig::on_listener(&socket, &old.streamer, &old.discovery);
    assert_eq!(new.admin_call("GET", "/_ready").0, 200);
    new.child.kill().expect("killed");
    old.signal("-TERM");
    next_line(&mut old.log, "asked to end");
    streamer.write_all(&established_response(0xc2, "answer")).expect("written");
    assert_eq!(read_message(&mut viewer).0, 9);
    assert_closed(viewer);
    assert!(old.child.wait().expect("ended").success());
    // A viewer that connects meanwhile waits in the socket's backlog until a third process serves it.
    let mut waiting_viewer = TcpStream::connect(socket.local_addr().expect("bound")).expect("queued");
    waiting_viewer.set_read_timeout(Some(TIMEOUT)).expect("set");
    waiting_viewer.write_all(&message(52, 8, &[(58, &[0])])).expect("written");
    let _third_process = Rig::on_listener(&socket, &old.streamer, &old.discovery);
    assert_eq!(read_message(&mut waiting_viewer), (53, 8, vec![58, 0, 1, 1]));
}
