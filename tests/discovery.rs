//! The streamer list from a discovery source that disconnects, repeats events, leaves gaps, sends unusable
//! lines or changes its address in the middle of an event. The tests simulate the source, which reacts to the
//! director's requests.
mod common;
mod rig;
use rig::*;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Accepts the director's next connection and reads its request.
fn accept_request(source: &TcpListener) -> (TcpStream, String) {
    let stream = accept(source);
    let mut line = String::new();
    BufReader::new(stream.try_clone().expect("clone the stream"))
        .read_line(&mut line)
        .expect("read the request");
    (stream, line.trim().to_owned())
}

/// Formats an event about the rig's only streamer as a line.
fn event_line(rig: &Rig, no: u64, full: bool, phase: &str) -> String {
    let streamer = member("s-1", rig.streamer.local_addr().expect("bound"), phase);
    format!("{{\"no\":{no},\"roster\":{{\"revision\":{no},\"complete\":{full},\"members\":[{streamer}]}}}}\n")
}

/// Waits until the drain takes effect, then checks that a set-up is refused, as no streamer accepts any.
fn assert_set_ups_refused(rig: &Rig) {
    wait_until("the drain takes effect", || rig.metric("out_of_rotation") == 1);
    let mut viewer = rig.viewer();
    viewer.write_all(&set_up(0xf1, "replay")).expect("written");
    let (kind, id, parameters) = read_message(&mut viewer);
    assert_eq!((kind, id, &parameters[..4]), (12, 0xf1, &[58, 0, 1, 42][..]), "refused at once");
}

/// A source that keeps no old events sends a full list in their place. The list was taken for a gap,
/// requested again and sent again, endlessly.
#[test]
fn a_full_list_after_a_gap_replaces_the_missing_events() {
    let rig = Rig::with_admin();
    let (mut source, request) = accept_request(&rig.discovery);
    assert_eq!(request, "after 1");
    source.write_all(event_line(&rig, 7, true, "terminating").as_bytes()).expect("written");
    source.write_all(b"7\n").expect("written");
    assert_set_ups_refused(&rig);
    drop(source);
    assert_eq!(accept_request(&rig.discovery).1, "after 7");
}

/// A delta after a gap does not replace the missing events: they are requested again, and viewers are served
/// meanwhile.
#[test]
fn events_missing_before_a_delta_are_requested_again() {
    let rig = Rig::with_admin();
    let (mut source, _) = accept_request(&rig.discovery);
    source.write_all(event_line(&rig, 3, false, "terminating").as_bytes()).expect("written");
    assert_eq!(source.read(&mut [0]).unwrap_or(0), 0, "closed by the director");
    let (mut source, request) = accept_request(&rig.discovery);
    assert_eq!(request, "after 1");
    let mut viewer = rig.viewer();
    viewer.write_all(&set_up(0xf2, "replay")).expect("written");
    assert!(read_rtsp(&mut rig.streamer()).starts_with("SETUP"), "served with the last list");
    let missing = event_line(&rig, 2, false, "in_service") + &event_line(&rig, 3, false, "terminating");
    source.write_all(missing.as_bytes()).expect("written");
    assert_set_ups_refused(&rig);
}

/// The connection ends in the middle of a line, then event numbers repeat and go back: each event is applied
/// once.
#[test]
fn a_truncated_event_is_requested_again_and_duplicates_are_ignored() {
    let rig = Rig::with_admin();
    let (mut source, _) = accept_request(&rig.discovery);
    let drain = event_line(&rig, 2, false, "terminating");
    source.write_all(&drain.as_bytes()[..40]).expect("written");
    drop(source);
    let (mut source, request) = accept_request(&rig.discovery);
    assert_eq!(request, "after 1", "a partial event does not count");
    source.write_all(drain.as_bytes()).expect("written");
    assert_set_ups_refused(&rig);
    // Older events and heartbeats with lower numbers undo nothing, and the connection stays open.
    let duplicates =
        event_line(&rig, 1, true, "in_service") + &event_line(&rig, 2, false, "in_service") + "1\n0\n";
    source.write_all(duplicates.as_bytes()).expect("written");
    source.write_all(event_line(&rig, 3, false, "terminating").as_bytes()).expect("written");
    wait_until("the next event is applied", || rig.metric("list_changes") == 3);
    assert_set_ups_refused(&rig);
}

/// A source that kept sending unreadable lines was contacted again every 50 ms by every director.
#[test]
fn reconnection_backs_off_while_events_are_unusable() {
    let rig = Rig::with_admin();
    let mut started_at = Instant::now();
    for connection in 0..6 {
        let (mut source, request) = accept_request(&rig.discovery);
        assert_eq!(request, "after 1");
        if connection == 0 {
            started_at = Instant::now();
        }
        source.write_all(b"{\"no\":2,\"roster\":7}\n").expect("written");
    }
    // The delays are 50, 100, 200, 400 and 800 ms. Without the backoff they would add up to 250 ms.
    assert!(started_at.elapsed() >= Duration::from_millis(1_500), "{:?}", started_at.elapsed());
    // A usable event resets the delay, so that the source is contacted promptly if it disconnects again.
    let (mut source, _) = accept_request(&rig.discovery);
    source.write_all(event_line(&rig, 2, false, "terminating").as_bytes()).expect("written");
    assert_set_ups_refused(&rig);
}

/// A source that stops sending is detected by its missing heartbeats, even though its connection stays open.
#[test]
fn a_connection_without_heartbeats_is_closed() {
    let rig = Rig::start();
    let (mut source, _) = accept_request(&rig.discovery);
    source.write_all(b"1\n").expect("written");
    assert_eq!(source.read(&mut [0]).unwrap_or(0), 0, "closed by the director");
    assert_eq!(accept_request(&rig.discovery).1, "after 1");
}

/// Empty lines counted as heartbeats: a source that sent nothing else was listened to for good.
#[test]
fn a_connection_with_empty_lines_in_place_of_heartbeats_is_closed() {
    let rig = Rig::start();
    let (mut source, _) = accept_request(&rig.discovery);
    let stopped = std::sync::atomic::AtomicBool::new(false);
    std::thread::scope(|scope| {
        scope.spawn(|| {
            while !stopped.load(std::sync::atomic::Ordering::SeqCst) && source.write_all(b"\n\n").is_ok() {
                std::thread::sleep(Duration::from_millis(100));
            }
        });
        rig.discovery.set_nonblocking(true).expect("set");
        let started = Instant::now();
        let mut next = None;
        while next.is_none() && started.elapsed() < Duration::from_secs(6) {
            next = rig.discovery.accept().ok();
            std::thread::sleep(Duration::from_millis(10));
        }
        stopped.store(true, std::sync::atomic::Ordering::SeqCst);
        assert!(next.is_some(), "another connection within 6 s");
    });
}

/// A source that said its first line later than the time allowed between lines was given up each time, and never
/// heard: the director went on sending to a streamer that drained.
#[test]
fn a_source_whose_first_line_is_slow_is_heard() {
    let rig = Rig::with_admin();
    let event = event_line(&rig, 2, false, "terminating");
    let discovery = Arc::clone(&rig.discovery);
    std::thread::spawn(move || {
        loop {
            let (mut stream, _) = accept_request(&discovery);
            std::thread::sleep(Duration::from_millis(2_500));
            let _ = stream.write_all(event.as_bytes()); // given up, perhaps
        }
    });
    wait_until("the drain is heard", || rig.metric("out_of_rotation") == 1);
}

/// SIGHUP changes the source's address while the old source is in the middle of an event: nothing more from
/// the old source is applied, and no event is lost.
#[test]
fn sighup_during_an_event_discards_the_part_from_the_old_source() {
    let rig = Rig::with_admin();
    let (mut old_source, _) = accept_request(&rig.discovery);
    let in_service = event_line(&rig, 2, false, "in_service");
    old_source.write_all(&in_service.as_bytes()[..40]).expect("written");
    let new_listener = bind_listener();
    let file = rig.folder.join("config.json");
    let text = std::fs::read_to_string(&file).expect("readable");
    let [old_address, new_address] =
        [&*rig.discovery, &new_listener].map(|listener| listener.local_addr().expect("bound").to_string());
    std::fs::write(&file, text.replace(&old_address, &new_address)).expect("written");
    rig.suspend();
    // When the director resumes, the signal and the rest of the event on the old connection are both pending.
    rig.signal("-HUP");
    let _ = old_source.write_all(&in_service.as_bytes()[40..]);
    rig.resume();
    let (mut new_source, request) = accept_request(&new_listener);
    assert_eq!(request, "after 1", "the partial event from the old source does not count");
    new_source.write_all(event_line(&rig, 2, false, "terminating").as_bytes()).expect("written");
    assert_set_ups_refused(&rig);
}

/// A reload with the configuration of another deployment or another director changes nothing: neither its
/// discovery address nor its classes are applied.
#[test]
fn a_reload_of_a_foreign_configuration_changes_nothing() {
    let mut rig = Rig::start();
    let (_source, _) = accept_request(&rig.discovery);
    let file = rig.folder.join("config.json");
    let text = std::fs::read_to_string(&file).expect("readable");
    let new_listener = bind_listener();
    let [old_address, new_address] =
        [&*rig.discovery, &new_listener].map(|listener| listener.local_addr().expect("bound").to_string());
    let with_new_address = text.replace(&old_address, &new_address);
    let foreign_configurations = [
        (with_new_address.replace("seat-view", "highlight"), "classes are those of another deployment"),
        (
            with_new_address.replace("two-core", "six-core"),
            "kinds of streamers are those of another deployment",
        ),
        (with_new_address.replace(r#""name":"n0""#, r#""name":"n9""#), "that of director \"n9\""),
    ];
    for (foreign, reason) in foreign_configurations {
        assert_ne!(foreign, with_new_address);
        std::fs::write(&file, foreign).expect("written");
        rig.signal("-HUP");
        let logged = next_line(&mut rig.log, "configuration");
        assert!(logged.contains("the old configuration stays") && logged.contains(reason), "{logged}");
    }
    let mut viewer = rig.viewer();
    viewer.write_all(&set_up(0xf3, "highlight")).expect("written");
    assert_eq!(
        read_message(&mut viewer),
        (12, 0xf3, vec![58, 0, 1, 41]),
        "the other deployment's class is unknown"
    );
    viewer.write_all(&set_up(0xf4, "seat-view")).expect("written");
    assert!(
        read_rtsp(&mut rig.streamer()).contains("Priority-Class: seat-view\r\n"),
        "the director's own classes stay"
    );
    new_listener.set_nonblocking(true).expect("set");
    assert!(new_listener.accept().is_err(), "the other source was not contacted");
}
