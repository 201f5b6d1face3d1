//! A director process on loopback sockets, with viewers, a streamer and the bulletin simulated by the test.
//! Every wait ends with an event; the time limits only catch events that never happen.
mod common;
mod rig;
use rig::*;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::process::{Command, Stdio};
use std::time::Duration;

#[test]
fn messages_that_arrive_in_pieces_set_up_and_release_a_session() {
    let rig = Rig::start();
    let mut viewer = rig.viewer();
    viewer.write_all(&message(52, 9, &[(58, &[0])])).expect("written");
    assert_eq!(read_message(&mut viewer), (53, 9, vec![58, 0, 1, 1]), "the health check passes");
    for piece in set_up(0xa1, "replay").chunks(7) {
        viewer.write_all(piece).expect("written");
    }
    let mut streamer = rig.streamer();
    let asked = read_rtsp(&mut streamer);
    assert!(asked.starts_with("SETUP rtsp://media/7f3a RTSP/1.0\r\n"), "{asked}");
    assert!(asked.contains("X-Quality: 1\r\n") && asked.ends_with("\r\n\r\noffer"), "{asked}");
    for piece in established_response(0xa1, "answer").chunks(11) {
        streamer.write_all(piece).expect("written");
    }
    assert_eq!(read_message(&mut viewer), (9, 0xa1, [&[61, 0, 6][..], b"answer"].concat()));
    // A release may arrive on any connection and be sent on any: the first viewer closes its own below.
    let mut other = rig.viewer();
    other.write_all(&set_up(0xa0, "unheard-of")).expect("written");
    assert_eq!(read_message(&mut other).0, 12);
    // A connection with nothing but health checks belongs to the front end, which reads no other messages.
    let mut front = rig.viewer();
    front.write_all(&message(52, 10, &[(58, &[0])])).expect("written");
    assert_eq!(read_message(&mut front).0, 53);
    // The end of a closed connection may arrive after later data of another connection (seen once in CI).
    viewer.shutdown(Shutdown::Write).expect("shut");
    assert_eq!(viewer.read(&mut [0]).expect("closed"), 0, "the director closes it as well");
    streamer.write_all(&teardown(0xa1)).expect("written");
    assert_eq!(read_message(&mut other), (12, 0xa1, vec![58, 0, 1, 16]));
    front.write_all(&message(52, 11, &[(58, &[0])])).expect("written");
    assert_eq!(read_message(&mut front).1, 11, "no other message arrived in between");
}

/// Guards against opening a connection for nearly every set-up, at 8 points of a session's worth each. This
/// happened with a hundred directors of one or two sessions a second each: none had heard from a given
/// streamer within the last second.
#[test]
fn an_idle_connection_is_reused_where_a_handshake_has_a_cost() {
    let rig = Rig::with_settings(
        &common::SETTINGS_JSON.replace(r#""deductions": {}"#, r#""deductions": {"handshake": 0.08}"#),
    );
    let mut viewer = rig.viewer();
    viewer.write_all(&set_up(0xa5, "seat-view")).expect("written");
    let mut streamer = rig.streamer();
    read_rtsp(&mut streamer);
    streamer.write_all(&established_response(0xa5, "answer")).expect("written");
    assert_eq!(read_message(&mut viewer).0, 9);
    streamer.write_all(&teardown(0xa5)).expect("written");
    assert_eq!(read_message(&mut viewer), (12, 0xa5, vec![58, 0, 1, 16]));
    std::thread::sleep(Duration::from_millis(1500)); // longer than a connection counts as recently active
    viewer.write_all(&set_up(0xa6, "replay")).expect("written");
    assert!(read_rtsp(&mut streamer).contains("Session: 00000000000000a6"), "on the same connection");
}

/// If the connection breaks after a set-up was written, its result is unknown: a paid viewer is answered
/// "failed".
#[test]
fn a_paid_set_up_whose_connection_broke_fails_and_is_not_refused() {
    let rig = Rig::start();
    let mut viewer = rig.viewer();
    viewer.write_all(&set_up(0xa2, "replay")).expect("written");
    let mut streamer = rig.streamer();
    read_rtsp(&mut streamer);
    drop(streamer);
    assert_eq!(read_message(&mut viewer), (12, 0xa2, vec![58, 0, 1, 41]));
}

/// A malformed message closes its connection; the process and all other connections continue. A set-up of an
/// unknown class is answered, and its connection stays open.
#[test]
fn a_malformed_message_closes_only_its_connection() {
    let rig = Rig::start();
    let (mut well_formed, mut malformed) = (rig.viewer(), rig.viewer());
    malformed.write_all(&[0xff; 64]).expect("written");
    assert_eq!(malformed.read(&mut [0; 8]).unwrap_or(0), 0, "closed");
    well_formed.write_all(&set_up(0xa3, "unheard-of")).expect("written");
    assert_eq!(read_message(&mut well_formed), (12, 0xa3, vec![58, 0, 1, 41]));
    well_formed.write_all(&set_up(0xa4, "seat-view")).expect("written");
    let mut streamer = rig.streamer();
    read_rtsp(&mut streamer);
    streamer.write_all(b"NOT RTSP AT ALL\r\n\r\n").expect("written");
    // The set-up may have run, but a repeat is harmless: refused at once, as there is no other streamer.
    let (kind, session, parameters) = read_message(&mut well_formed);
    assert_eq!((kind, session, &parameters[..4]), (12, 0xa4, &[58, 0, 1, 42][..]));
}

/// Guards against keeping connections forever that sent nothing, a partial message or only unusable ones:
/// many of them kept all others out. What can be answered is answered, and no session is set up for it.
#[test]
fn an_unusable_viewer_connection_is_answered_or_closed() {
    let rig = Rig::start();
    let (silent, mut partial, mut unusable) = (rig.viewer(), rig.viewer(), rig.viewer());
    partial.write_all(&set_up(0xb1, "replay")[..40]).expect("written");
    let out_of_range = b"home:9999;copies:1;top:1;viewer:00000000b4d65521";
    let bad_parameters = [(16, &b"replay"[..]), (28, b"7f3a"), (31, out_of_range)];
    // Complete messages ahead of unreadable data are processed.
    unusable
        .write_all(&[message(1, 0xb2, &bad_parameters), message(99, 0xb3, &[]), vec![0, 0]].concat())
        .expect("written");
    for id in [0xb2, 0xb3] {
        assert_eq!(read_message(&mut unusable), (12, id, vec![58, 0, 1, 41]));
    }
    for mut stream in [silent, partial, unusable] {
        assert_eq!(stream.read(&mut [0; 8]).unwrap_or(0), 0, "closed");
    }
    let waiting_connections: Vec<_> = (0..64).map(|_| rig.viewer()).collect();
    let mut health_check = rig.viewer();
    health_check.write_all(&message(52, 10, &[(58, &[0])])).expect("written");
    assert_eq!(
        read_message(&mut health_check),
        (53, 10, vec![58, 0, 1, 1]),
        "an idle connection is closed to make room"
    );
    drop(waiting_connections);
    // A connection that keeps sending unusable requests is closed after some answers.
    let mut answers = 0;
    let mut repeating = rig.viewer();
    while repeating.write_all(&set_up(0xb4, "unheard-of")).is_ok()
        && repeating.read(&mut [0; 17]).unwrap_or(0) > 0
    {
        answers += 1;
        assert!(answers < 100, "the connection is never closed");
    }
    assert!(answers > 1);
}

/// Guards against a full connection table closing connections that were accepted but never read, with set-ups
/// on them. This happened when hundreds of viewers connected at once.
#[test]
fn new_connections_do_not_evict_one_that_was_never_read() {
    let rig = Rig::start();
    rig.signal("-STOP"); // all connections are waiting when it continues
    let mut health_check = rig.viewer();
    health_check.write_all(&message(52, 11, &[(58, &[0])])).expect("written");
    let waiting_connections: Vec<_> = (0..100).map(|_| rig.viewer()).collect();
    rig.signal("-CONT");
    assert_eq!(read_message(&mut health_check), (53, 11, vec![58, 0, 1, 1]));
    drop(waiting_connections);
}

/// The director requests the bulletin events after the last known one, also after an interruption. A streamer
/// that is reported as draining gets no more set-ups.
#[test]
fn the_bulletin_resumes_after_the_last_event_and_drains_apply() {
    let rig = Rig::start();
    let draining = member("s-1", rig.streamer.local_addr().expect("bound"), "terminating");
    let event = format!(r#"{{"no":2,"roster":{{"revision":2,"complete":false,"members":[{draining}]}}}}"#);
    for (expected, response) in [("after 1", format!("{event}\n{event}\n2\n")), ("after 2", "2\n".into())] {
        let mut stream = accept(&rig.discovery);
        assert_eq!(requested_position(&stream), expected);
        stream.write_all(response.as_bytes()).expect("written");
    }
    let mut viewer = rig.viewer();
    viewer.write_all(&set_up(0xa5, "replay")).expect("written");
    let (kind, session, parameters) = read_message(&mut viewer);
    assert_eq!(
        (kind, session, &parameters[..4]),
        (12, 0xa5, &[58, 0, 1, 42][..]),
        "refused at once, as the only streamer drains"
    );
}

fn requested_position(stream: &TcpStream) -> String {
    let mut line = String::new();
    BufReader::new(stream.try_clone().expect("cloned")).read_line(&mut line).expect("a line");
    line.trim().to_owned()
}

/// Guards against SIGHUP terminating the process. A reload must keep sessions and connections, keep the old
/// configuration if the new one is invalid, and resume the bulletin at its new address after the last event.
#[test]
fn sighup_follows_the_new_bulletin_and_keeps_connections() {
    let mut rig = Rig::start();
    let mut viewer = rig.viewer();
    viewer.write_all(&message(52, 9, &[(58, &[0])])).expect("written");
    assert_eq!(read_message(&mut viewer).0, 53);
    let mut old_connection = accept(&rig.discovery);
    assert_eq!(requested_position(&old_connection), "after 1");
    old_connection.write_all(b"{\"no\":2}\n2\n").expect("written");
    let file = rig.folder.join("config.json");
    let text = std::fs::read_to_string(&file).expect("there");
    std::fs::write(&file, text.replace("at_most_once", "whenever")).expect("written");
    rig.signal("-HUP");
    next_line(&mut rig.log, "the old configuration stays");
    let new_bulletin = bind_listener();
    let [old_address, new_address] =
        [&rig.discovery, &new_bulletin].map(|l| l.local_addr().expect("bound").to_string());
    std::fs::write(&file, text.replace(&old_address, &new_address)).expect("written");
    rig.signal("-HUP");
    assert_eq!(requested_position(&accept(&new_bulletin)), "after 2");
    viewer.write_all(&message(52, 10, &[(58, &[0])])).expect("written");
    assert_eq!(read_message(&mut viewer), (53, 10, vec![58, 0, 1, 1]), "the connection stays open");
}

/// After SIGTERM connections and requests are still accepted and answered. Established sessions are released
/// at the end, and the counters are logged, as they are on SIGUSR1.
#[test]
fn sigterm_answers_requests_and_releases_sessions_before_exit() {
    let mut rig = Rig::start();
    let mut viewer = rig.viewer();
    viewer.write_all(&set_up(0xa6, "replay")).expect("written");
    let mut streamer = rig.streamer();
    read_rtsp(&mut streamer);
    streamer.write_all(&established_response(0xa6, "answer")).expect("written");
    assert_eq!(read_message(&mut viewer).0, 9);
    rig.signal("-USR1");
    assert!(next_line(&mut rig.log, "counters").contains("served=1"));
    rig.signal("-TERM");
    next_line(&mut rig.log, "asked to end");
    let mut late = rig.viewer();
    late.write_all(&set_up(0xa7, "nobody's")).expect("written");
    assert_eq!(read_message(&mut late), (12, 0xa7, vec![58, 0, 1, 41]));
    assert_eq!(read_message(&mut viewer), (12, 0xa6, vec![58, 0, 1, 41]), "released at shutdown");
    assert!(next_line(&mut rig.log, "ended").contains("taken=1"));
    assert!(rig.child.wait().expect("ended").success());
}

/// Guards against sockets other than TCP and UDP over IPv4, which the fleet's platform does not permit: a
/// socket pair that woke the event loop for signals was a Unix socket. Signals must still be handled.
#[test]
fn the_process_opens_only_ipv4_sockets() {
    let mut rig = Rig::start();
    let _viewer = rig.viewer();
    let inodes = |table: &str| -> Vec<String> {
        let text = std::fs::read_to_string(format!("/proc/net/{table}")).unwrap_or_default();
        let column = if table == "unix" { 6 } else { 9 };
        text.lines().skip(1).filter_map(|l| l.split_whitespace().nth(column).map(str::to_owned)).collect()
    };
    let (unix, tcp6, udp6) = (inodes("unix"), inodes("tcp6"), inodes("udp6"));
    let fds = std::fs::read_dir(format!("/proc/{}/fd", rig.child.id())).expect("its descriptors");
    let mut sockets = 0;
    for fd in fds.flatten() {
        let link = std::fs::read_link(fd.path()).map(|l| l.display().to_string()).unwrap_or_default();
        let Some(inode) = link.strip_prefix("socket:[").and_then(|l| l.strip_suffix(']')) else { continue };
        sockets += 1;
        assert!(!unix.iter().any(|i| i == inode), "a Unix socket: {link}");
        assert!(!tcp6.iter().chain(&udp6).any(|i| i == inode), "an IPv6 socket: {link}");
    }
    assert!(sockets >= 2, "the listener and the viewer connection are found ({sockets})");
    rig.signal("-USR1");
    next_line(&mut rig.log, "counters");
}

/// If standard error is closed, log lines are lost but service continues.
#[test]
fn a_closed_standard_error_does_not_stop_the_service() {
    let mut rig = Rig::start();
    let mut exited_process = Command::new("true").stderr(Stdio::piped()).spawn().expect("started");
    let unrelated_stderr = exited_process.stderr.take().expect("piped");
    drop(std::mem::replace(&mut rig.log, BufReader::new(unrelated_stderr)));
    let mut viewer = rig.viewer();
    rig.signal("-USR1");
    for id in 1..30 {
        viewer.write_all(&set_up(id, "unheard-of")).expect("written");
        assert_eq!(read_message(&mut viewer).1, id);
    }
    exited_process.wait().expect("ended");
    assert!(rig.child.try_wait().expect("asked").is_none(), "the director is still running");
}

/// A director that cannot start prints the reason in one line.
#[test]
fn a_bad_configuration_exits_with_one_line_of_error() {
    let file = std::env::temp_dir().join(format!("stonewharf-test-bad-{}.json", std::process::id()));
    std::fs::write(&file, "{\"name\":7}").expect("written");
    for config in [Some(file.as_path()), Some(std::path::Path::new("/nowhere/at/all.json")), None] {
        let mut command = Command::new(env!("CARGO_BIN_EXE_stonewharf"));
        command.env_remove("LB_CONFIG");
        config.map(|file| command.env("LB_CONFIG", file));
        let output = command.output().expect("ran");
        let stderr = String::from_utf8_lossy(&output.stderr).to_string();
        assert!(!output.status.success());
        assert!(stderr.starts_with("stonewharf: ") && stderr.lines().count() == 1, "{stderr}");
    }
    let _ = std::fs::remove_file(file);
}
