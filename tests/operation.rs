//! The days of operation on real processes: the operators' door, figures that are true, clients sent away and
//! taken again, and one process replaced by another. Viewers, streamer and front are played by hand.
mod common;
mod rig;
use rig::*;
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;

/// Whether the director says at the clients' address that it takes clients; each time on a new connection, as
/// the front asks.
fn says_yes(rig: &Rig) -> bool {
    let mut front = rig.viewer();
    front.write_all(&message(52, 7, &[(58, &[0])])).expect("written");
    match read_message(&mut front) {
        (53, 7, parameters) => parameters == [58, 0, 1, 1],
        other => panic!("the front heard {other:?}"),
    }
}

/// A set-up that its streamer has and has not answered.
fn in_flight(viewer: &mut TcpStream, streamer: &mut TcpStream, id: u64) {
    viewer.write_all(&set_up(id, "replay")).expect("written");
    assert!(read_rtsp(streamer).starts_with("SETUP "));
}

/// A session that stands.
fn standing(viewer: &mut TcpStream, streamer: &mut TcpStream, id: u64) {
    in_flight(viewer, streamer, id);
    streamer.write_all(&established_response(id, "answer")).expect("written");
    assert_eq!(read_message(viewer).0, 9);
}

/// The first session, on connections of its own.
fn first(rig: &Rig, id: u64) -> (TcpStream, TcpStream) {
    let mut viewer = rig.viewer();
    viewer.write_all(&set_up(id, "replay")).expect("written");
    let mut streamer = rig.streamer();
    read_rtsp(&mut streamer);
    streamer.write_all(&established_response(id, "answer")).expect("written");
    assert_eq!(read_message(&mut viewer).0, 9);
    (viewer, streamer)
}

fn closed(mut stream: TcpStream) {
    assert_eq!(stream.read(&mut [0; 64]).unwrap_or(0), 0, "closed, and nothing said before");
}

/// At the set-up of a session that plays already there is no answer.
fn handed(id: u64, at: &str) -> Vec<u8> {
    let figures = format!("home:0;copies:1;top:1;viewer:00000000b4d65521;at:{at}");
    message(
        1,
        id,
        &[(16, b"replay"), (19, b"20000"), (28, b"7f3a"), (31, figures.as_bytes()), (61, b"offer")],
    )
}

fn vars(rig: &Rig) -> BTreeMap<String, u64> {
    let (status, body) = rig.admin_call("GET", "/_vars");
    assert_eq!(status, 200);
    let pair = |line: &str| {
        let (name, value) = line.split_once('=').expect("name=value");
        (name.to_owned(), value.parse().expect("a whole number"))
    };
    body.lines().map(pair).collect()
}

#[test]
fn the_door_answers_each_call_once_and_says_no_to_all_else() {
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
    let door = rig.admin.expect("a door");
    for (said, status) in [(&b"\x16\x03\x01 no HTTP\r\n\r\n"[..], 400), (&[b'A'; 5_000], 431)] {
        let mut stream = TcpStream::connect(door).expect("taken");
        stream.write_all(said).expect("written");
        assert_eq!(read_http_response(stream).0, status);
    }
    // Cut at every byte, and with more behind it than is asked for.
    let mut stream = TcpStream::connect(door).expect("taken");
    for byte in b"GET /_ready?now HTTP/1.1\r\nHost: x\r\n\r\nGET /_ready HTTP/1.1\r\n\r\n" {
        stream.write_all(&[*byte]).expect("written");
    }
    assert_eq!(read_http_response(stream).0, 200);
    assert!(says_yes(&rig), "none of it touched the clients' side");
}

/// A thousand callers that say nothing or half a call, more than there are places: the next one is answered,
/// and the viewers are served meanwhile.
#[test]
fn callers_that_say_nothing_keep_nobody_out() {
    let rig = Rig::with_admin();
    let door = rig.admin.expect("a door");
    let mut idle = Vec::new();
    for i in 0..1_000 {
        let mut stream = TcpStream::connect(door).expect("taken or queued");
        if i % 2 == 0 {
            stream.write_all(b"GET /_va").expect("written");
        }
        idle.push(stream);
        if i % 100 == 99 {
            assert_eq!(rig.admin_call("GET", "/_vars").0, 200);
            assert!(says_yes(&rig));
        }
    }
    // Told, not judged: a busy machine is no fault of the door's.
    let mut took: Vec<_> = (0..200)
        .map(|_| {
            let asked = std::time::Instant::now();
            assert_eq!(rig.admin_call("GET", "/_ready").0, 200);
            asked.elapsed()
        })
        .collect();
    took.sort_unstable();
    println!("a call beside 1,000 idle callers: p50 {:?}, p99 {:?}", took[100], took[198]);
    assert_eq!(rig.admin_call("PUT", "/_lameduck/off").0, 200);
    let held = std::fs::read_dir(format!("/proc/{}/fd", rig.child.id())).expect("descriptors").count();
    assert!(held < 64, "{held} descriptors are held with 1,000 callers at the door");
}

#[test]
fn without_an_address_there_is_no_door() {
    let mut rig = Rig::start();
    let fds = std::fs::read_dir(format!("/proc/{}/fd", rig.child.id())).expect("descriptors").count();
    let door = Rig::with_admin();
    let with = std::fs::read_dir(format!("/proc/{}/fd", door.child.id())).expect("descriptors").count();
    assert_eq!(with, fds + 1, "its listener, and nothing else");
    rig.signal("-USR1");
    assert!(next_line(&mut rig.log, "counters").contains("calls=0"));
}

/// Each way that a request can end, against what the viewers and the streamer of this test counted.
#[test]
fn figures_tell_what_was_counted_outside() {
    let once = common::SETTINGS_JSON.replace(r#""max_attempts": 4"#, r#""max_attempts": 1"#);
    let rig = Rig::with_admin_and_settings(&once);
    let (mut viewer, mut streamer) = first(&rig, 0x10);
    let mut relayed = 1;
    for id in 0x11..0x18 {
        standing(&mut viewer, &mut streamer, id);
        relayed += 1;
    }
    for id in 0x11..0x15 {
        streamer.write_all(&teardown(id)).expect("written");
        assert_eq!(read_message(&mut viewer).0, 12);
    }
    in_flight(&mut viewer, &mut streamer, 0x40);
    relayed += 1;
    // An error of a paid one: failed. It speaks against the only streamer: the next one is refused at once.
    viewer.write_all(&set_up(0x31, "replay")).expect("written");
    read_rtsp(&mut streamer);
    relayed += 1;
    let no = b"RTSP/1.0 500 Error\r\nCSeq: 1\r\nSession: 0000000000000031\r\nContent-Length: 0\r\n\r\n";
    streamer.write_all(no).expect("written");
    for (id, cause) in [(0x31, 41), (0x32, 42)] {
        if id == 0x32 {
            viewer.write_all(&set_up(id, "seat-view")).expect("written");
        }
        let (kind, of, parameters) = read_message(&mut viewer);
        assert_eq!((kind, of, parameters[3]), (12, id, cause));
    }
    let seen = vars(&rig);
    let of = |name: &str| seen.get(name).copied().unwrap_or_else(|| panic!("no {name} in {seen:?}"));
    assert_eq!(of("svc.operations.replay.fulfilled"), 8);
    assert_eq!(of("svc.operations.replay.faulted"), 1);
    assert_eq!(of("svc.operations.replay.throttled"), 0);
    assert_eq!(of("svc.operations.seat-view.throttled"), 1);
    assert_eq!(of("svc.relayed"), relayed);
    assert_eq!(of("svc.open_requests"), 4 + 1, "sessions that stand, and the one that waits");
    assert_eq!(of("svc.registry_entries"), 1);
    assert_eq!(of("svc.out_of_rotation"), 1, "its errors speak against the one streamer");
}

/// Sent away: the front hears no at once; what is in flight is answered once; a connection with nothing on it
/// is closed; one with a session is kept, so that its end reaches its viewer. Then all come back.
#[test]
fn clients_are_sent_away_and_taken_again() {
    let rig = Rig::with_admin();
    let (mut viewer, mut streamer) = first(&rig, 0xa1);
    let mut unused = rig.viewer();
    unused.write_all(&set_up(0xb0, "unheard-of")).expect("written");
    assert_eq!(read_message(&mut unused).0, 12);
    in_flight(&mut viewer, &mut streamer, 0xa2);
    assert_eq!(rig.admin_call("PUT", "/_lameduck/on").0, 200);
    assert!(!says_yes(&rig) && rig.admin_call("GET", "/_ready").0 == 503);
    closed(unused);
    streamer.write_all(&established_response(0xa2, "answer")).expect("written");
    assert_eq!(read_message(&mut viewer), (9, 0xa2, [&[61, 0, 6][..], b"answer"].concat()));
    // The front goes on asking, each time on a new connection; the end of a session is none of its business.
    streamer.write_all(&teardown(0xa1)).expect("written");
    assert!(!says_yes(&rig));
    assert_eq!(read_message(&mut viewer), (12, 0xa1, vec![58, 0, 1, 16]));
    // All connections are closed before the front looks; what ends then waits for the viewers to come back.
    closed(viewer);
    streamer.write_all(&teardown(0xa2)).expect("written");
    assert!(!says_yes(&rig));
    assert_eq!(rig.admin_call("PUT", "/_lameduck/off").0, 200);
    assert!(says_yes(&rig) && rig.admin_call("GET", "/_ready").0 == 200);
    let mut back = rig.viewer();
    back.write_all(&set_up(0xa3, "replay")).expect("written");
    assert_eq!(read_message(&mut back), (12, 0xa2, vec![58, 0, 1, 16]), "what waited comes first");
    read_rtsp(&mut streamer);
    streamer.write_all(&established_response(0xa3, "answer")).expect("written");
    assert_eq!(read_message(&mut back).0, 9);
}

/// A request in flight as clients are taken again, its connection among those that were kept.
#[test]
fn what_is_in_flight_as_clients_are_taken_again_is_answered_once() {
    let rig = Rig::with_admin();
    let (mut viewer, mut streamer) = first(&rig, 0xa1);
    assert_eq!(rig.admin_call("PUT", "/_lameduck/on").0, 200);
    in_flight(&mut viewer, &mut streamer, 0xa2);
    assert_eq!(rig.admin_call("PUT", "/_lameduck/off").0, 200);
    streamer.write_all(&established_response(0xa2, "answer")).expect("written");
    assert_eq!(read_message(&mut viewer).0, 9);
    standing(&mut viewer, &mut streamer, 0xa3); // nothing came between
}

/// At its end a director that has no heir keeps the connections with sessions, and answers what still comes.
#[test]
fn calls_at_the_end_are_refused_with_what_to_do() {
    let mut rig = Rig::with_admin();
    rig.signal("-TERM");
    next_line(&mut rig.log, "asked to end");
    let (status, body) = rig.admin_call("PUT", "/_lameduck/off");
    assert!(status == 409 && body.contains("ask the one that serves after it"), "{status} {body}");
    assert!(rig.admin_call("GET", "/_ready").0 == 503 && !says_yes(&rig));
}

/// A planned restart: a viewer goes on sending on its connection for as long as that stays open. All that it sent
/// is answered once, but for one that may cross the close, and the end of its session comes on that connection;
/// a connection with nothing on it is closed meanwhile, so that nothing more is sent there.
#[test]
fn at_a_planned_restart_what_viewers_go_on_sending_is_answered() {
    let mut rig = Rig::with_admin();
    let (mut viewer, _streamer) = first(&rig, 0xe0);
    let mut unused = rig.viewer();
    unused.write_all(&set_up(0xb0, "unheard-of")).expect("written");
    assert_eq!(read_message(&mut unused).0, 12);
    rig.signal("-TERM");
    next_line(&mut rig.log, "asked to end");
    let (mut sent, mut answered, mut released) = (0_u64, 0_u64, false);
    // The director closes with the release of the session behind the last answer.
    loop {
        // More of no use would close the connection.
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
        let of = u64::from_be_bytes(body[1..9].try_into().expect("eight bytes"));
        if of == 0xe0 {
            released = true;
        } else {
            assert_eq!(of, 0xf000 + sent, "each is answered once, in order");
            answered += 1;
        }
    }
    assert!(
        released && answered > 10 && sent - answered <= 1,
        "{sent} sent, {answered} answered, {released}"
    );
    closed(unused);
    assert!(rig.child.wait().expect("ended").success());
}

struct Pair {
    held: TcpListener,
    old: Rig,
    viewer: TcpStream,
    streamer: TcpStream,
}

/// A director on a listening socket that the platform holds, with a session and a set-up in flight.
fn before_the_upgrade() -> Pair {
    let held = bind_listener();
    let old = Rig::on_listener(&held, &Arc::new(bind_listener()), &Arc::new(bind_listener()));
    let (mut viewer, mut streamer) = first(&old, 0xc1);
    in_flight(&mut viewer, &mut streamer, 0xc2);
    Pair { held, old, viewer, streamer }
}

/// The old one answers what it has, once, closes its connections as they fall quiet, and ends by itself; the
/// session goes on, is handed to the new one, and its end reaches the viewer through that.
#[test]
fn an_upgrade_loses_nothing() {
    let Pair { held, mut old, mut viewer, mut streamer } = before_the_upgrade();
    let new = Rig::on_listener(&held, &old.streamer, &old.discovery);
    assert_eq!(new.admin_call("GET", "/_ready").0, 200, "it takes clients at once");
    old.signal("-TERM");
    next_line(&mut old.log, "asked to end");
    // New connections are the new one's: it alone says yes.
    for _ in 0..20 {
        assert!(says_yes(&new));
    }
    streamer.write_all(&established_response(0xc2, "answer")).expect("written");
    assert_eq!(read_message(&mut viewer).0, 9);
    closed(viewer);
    assert!(old.child.wait().expect("ended").success(), "by itself");
    // The streamer was told nothing of an end: its connection just closes.
    closed(streamer);
    let mut viewer = new.viewer();
    for id in [0xc1, 0xc2] {
        viewer.write_all(&handed(id, "s-1")).expect("written");
    }
    let mut streamer = new.streamer();
    for id in [0xc1, 0xc2] {
        streamer.write_all(&teardown(id)).expect("written");
        assert_eq!(read_message(&mut viewer), (12, id, vec![58, 0, 1, 16]));
    }
}

/// A release that comes to the new one before the session is handed to it: the viewer hears of it all the same.
#[test]
fn a_release_ahead_of_its_hand_over_is_not_lost() {
    let Pair { held, mut old, mut viewer, mut streamer } = before_the_upgrade();
    let new = Rig::on_listener(&held, &old.streamer, &old.discovery);
    streamer.write_all(&established_response(0xc2, "answer")).expect("written");
    assert_eq!(read_message(&mut viewer).0, 9);
    let mut other = new_session(&new, &old, 0xd1);
    old.signal("-TERM");
    closed(viewer);
    assert!(old.child.wait().expect("ended").success());
    other.1.write_all(&teardown(0xc1)).expect("written"); // on the one connection that is open now
    standing(&mut other.0, &mut other.1, 0xd2); // it was read before this
    let mut viewer = new.viewer();
    viewer.write_all(&handed(0xc1, "s-1")).expect("written");
    assert_eq!(read_message(&mut viewer), (12, 0xc1, vec![58, 0, 1, 16]));
}

/// A session at the new one while the old one still takes connections from the same socket: the old one is
/// stopped, so that the new one takes this.
fn new_session(new: &Rig, old: &Rig, id: u64) -> (TcpStream, TcpStream) {
    old.signal("-STOP");
    let both = first(new, id);
    old.signal("-CONT");
    both
}

/// The new process never says yes: the old one is told nothing and serves on.
#[test]
fn an_upgrade_whose_new_process_never_says_yes_changes_nothing() {
    let Pair { held, old, mut viewer, mut streamer } = before_the_upgrade();
    let out = std::process::Command::new(env!("CARGO_BIN_EXE_stonewharf"))
        .env("LB_CONFIG", old.folder.join("config.json"))
        .env("LB_ADMIN_ADDR", old.admin.expect("a door").to_string()) // taken
        .env("LB_INHERITED_FD", std::os::fd::AsRawFd::as_raw_fd(&held).to_string())
        .output()
        .expect("ran");
    let said = String::from_utf8_lossy(&out.stderr);
    assert!(!out.status.success() && said.contains("can't listen on"), "{said}");
    streamer.write_all(&established_response(0xc2, "answer")).expect("written");
    assert_eq!(read_message(&mut viewer).0, 9);
    assert!(says_yes(&old));
    standing(&mut viewer, &mut streamer, 0xc3);
}

/// The new process says yes and is killed at once: what the old one has it still answers, once.
#[test]
fn an_upgrade_whose_new_process_crashes_after_its_yes_loses_nothing_of_the_old_one() {
    let Pair { held, mut old, mut viewer, mut streamer } = before_the_upgrade();
    let mut new = Rig::on_listener(&held, &old.streamer, &old.discovery);
    assert_eq!(new.admin_call("GET", "/_ready").0, 200);
    new.child.kill().expect("killed");
    old.signal("-TERM");
    next_line(&mut old.log, "asked to end");
    streamer.write_all(&established_response(0xc2, "answer")).expect("written");
    assert_eq!(read_message(&mut viewer).0, 9);
    closed(viewer);
    assert!(old.child.wait().expect("ended").success());
    // Whoever connected meanwhile waits at the socket, and a third process serves it.
    let mut waiting = TcpStream::connect(held.local_addr().expect("bound")).expect("queued");
    waiting.set_read_timeout(Some(TIMEOUT)).expect("set");
    waiting.write_all(&message(52, 8, &[(58, &[0])])).expect("written");
    let _third = Rig::on_listener(&held, &old.streamer, &old.discovery);
    assert_eq!(read_message(&mut waiting), (53, 8, vec![58, 0, 1, 1]));
}
