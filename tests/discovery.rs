//! The list of streamers from a source that breaks off, repeats itself, leaves gaps, says what is of no use or
//! moves in mid-line. The source is played by hand and acts on what the director asks.
mod common;
mod rig;
use rig::*;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// The next connection to the source, and what it asked for.
fn asked(source: &TcpListener) -> (TcpStream, String) {
    let stream = accept(source);
    let mut line = String::new();
    BufReader::new(stream.try_clone().expect("cloned")).read_line(&mut line).expect("a line");
    (stream, line.trim().to_owned())
}

/// An event about the rig's one streamer.
fn event(rig: &Rig, no: u64, whole: bool, phase: &str) -> String {
    let streamer = member("s-1", rig.streamer.local_addr().expect("bound"), phase);
    format!(
        "{{\"no\":{no},\"roster\":{{\"revision\":{no},\"complete\":{whole},\"members\":[{streamer}]}}}}\n"
    )
}

/// A set-up is refused, since the list has nobody left who takes any; looked at until the event is obeyed.
fn nobody_takes_set_ups(rig: &Rig) {
    wait_until("the drain is obeyed", || rig.metric("out_of_rotation") == 1);
    let mut viewer = rig.viewer();
    viewer.write_all(&set_up(0xf1, "replay")).expect("written");
    let (kind, id, parameters) = read_message(&mut viewer);
    assert_eq!((kind, id, &parameters[..4]), (12, 0xf1, &[58, 0, 1, 42][..]), "refused at once");
}

/// The source that keeps no old events sent a whole list in their place: it was taken for a gap, asked for
/// again, and sent again, for good.
#[test]
fn a_whole_list_after_a_gap_stands_for_what_came_before() {
    let rig = Rig::with_admin();
    let (mut source, ask) = asked(&rig.discovery);
    assert_eq!(ask, "after 1");
    source.write_all(event(&rig, 7, true, "terminating").as_bytes()).expect("written");
    source.write_all(b"7\n").expect("written");
    nobody_takes_set_ups(&rig);
    drop(source);
    assert_eq!(asked(&rig.discovery).1, "after 7");
}

/// A change after a gap is no whole list: what is missing is asked for again, and requests are served meanwhile.
#[test]
fn a_change_after_a_gap_is_asked_for_again() {
    let rig = Rig::with_admin();
    let (mut source, _) = asked(&rig.discovery);
    source.write_all(event(&rig, 3, false, "terminating").as_bytes()).expect("written");
    assert_eq!(source.read(&mut [0]).unwrap_or(0), 0, "closed by the director");
    let (mut source, ask) = asked(&rig.discovery);
    assert_eq!(ask, "after 1");
    let mut viewer = rig.viewer();
    viewer.write_all(&set_up(0xf2, "replay")).expect("written");
    assert!(read_rtsp(&mut rig.streamer()).starts_with("SETUP"), "served by the last list");
    let both = event(&rig, 2, false, "in_service") + &event(&rig, 3, false, "terminating");
    source.write_all(both.as_bytes()).expect("written");
    nobody_takes_set_ups(&rig);
}

/// Broken off in the middle of a line, then numbers that repeat and go back: every event counts once.
#[test]
fn a_line_cut_short_is_asked_for_again_and_repeats_count_once() {
    let rig = Rig::with_admin();
    let (mut source, _) = asked(&rig.discovery);
    let drains = event(&rig, 2, false, "terminating");
    source.write_all(&drains.as_bytes()[..40]).expect("written");
    drop(source);
    let (mut source, ask) = asked(&rig.discovery);
    assert_eq!(ask, "after 1", "half an event is none");
    source.write_all(drains.as_bytes()).expect("written");
    nobody_takes_set_ups(&rig);
    // Older ones again, and a last number that goes back: nothing is undone, and the connection stays.
    let again = event(&rig, 1, true, "in_service") + &event(&rig, 2, false, "in_service") + "1\n0\n";
    source.write_all(again.as_bytes()).expect("written");
    source.write_all(event(&rig, 3, false, "terminating").as_bytes()).expect("written");
    wait_until("the next event is taken", || rig.metric("list_changes") == 3);
    nobody_takes_set_ups(&rig);
}

/// A source that goes on with what can't be read was asked again every 50 ms by every director.
#[test]
fn a_source_of_no_use_is_asked_less_and_less_often() {
    let rig = Rig::with_admin();
    let mut since = Instant::now();
    for connection in 0..6 {
        let (mut source, ask) = asked(&rig.discovery);
        assert_eq!(ask, "after 1");
        if connection == 0 {
            since = Instant::now();
        }
        source.write_all(b"{\"no\":2,\"roster\":7}\n").expect("written");
    }
    // 50, 100, 200, 400 and 800 ms lie between them; at the first wait each time it would be 250 ms.
    assert!(since.elapsed() >= Duration::from_millis(1_500), "{:?}", since.elapsed());
    // One that is of use again ends that: it is asked at once when it breaks off.
    let (mut source, _) = asked(&rig.discovery);
    source.write_all(event(&rig, 2, false, "terminating").as_bytes()).expect("written");
    nobody_takes_set_ups(&rig);
}

/// A source that says nothing more is noticed by its missing heartbeat, though its connection stays open.
#[test]
fn a_source_that_falls_silent_for_good_is_left() {
    let rig = Rig::start();
    let (mut source, _) = asked(&rig.discovery);
    source.write_all(b"1\n").expect("written");
    assert_eq!(source.read(&mut [0]).unwrap_or(0), 0, "closed by the director");
    assert_eq!(asked(&rig.discovery).1, "after 1");
}

/// SIGHUP moves the list's source while the old one is half-way through an event: nothing of the old one counts
/// after that, and nothing is lost.
#[test]
fn sighup_in_the_middle_of_an_event_takes_it_from_the_new_source_alone() {
    let rig = Rig::with_admin();
    let (mut old, _) = asked(&rig.discovery);
    let stays = event(&rig, 2, false, "in_service");
    old.write_all(&stays.as_bytes()[..40]).expect("written");
    let moved = bind_listener();
    let file = rig.folder.join("config.json");
    let text = std::fs::read_to_string(&file).expect("there");
    let [was, is] = [&*rig.discovery, &moved].map(|l| l.local_addr().expect("bound").to_string());
    std::fs::write(&file, text.replace(&was, &is)).expect("written");
    rig.suspend();
    // Both wait when it goes on: the signal, and the rest of the event on the old connection.
    rig.signal("-HUP");
    let _ = old.write_all(&stays.as_bytes()[40..]);
    rig.resume();
    let (mut new, ask) = asked(&moved);
    assert_eq!(ask, "after 1", "nothing of the old one was taken");
    new.write_all(event(&rig, 2, false, "terminating").as_bytes()).expect("written");
    nobody_takes_set_ups(&rig);
}

/// A configuration of another deployment, or another director's, changes nothing: neither its source of the
/// list nor its classes are taken over.
#[test]
fn a_reload_of_anothers_configuration_changes_nothing() {
    let mut rig = Rig::start();
    let (_source, _) = asked(&rig.discovery);
    let file = rig.folder.join("config.json");
    let text = std::fs::read_to_string(&file).expect("there");
    let moved = bind_listener();
    let [was, is] = [&*rig.discovery, &moved].map(|l| l.local_addr().expect("bound").to_string());
    let elsewhere = text.replace(&was, &is);
    let others = [
        (elsewhere.replace("seat-view", "highlight"), "classes are those of another deployment"),
        (elsewhere.replace("two-core", "six-core"), "kinds of streamers are those of another deployment"),
        (elsewhere.replace(r#""name":"n0""#, r#""name":"n9""#), "that of director \"n9\""),
    ];
    for (other, line) in others {
        assert_ne!(other, elsewhere);
        std::fs::write(&file, other).expect("written");
        rig.signal("-HUP");
        let said = next_line(&mut rig.log, "configuration");
        assert!(said.contains("the old configuration stays") && said.contains(line), "{said}");
    }
    let mut viewer = rig.viewer();
    viewer.write_all(&set_up(0xf3, "highlight")).expect("written");
    assert_eq!(read_message(&mut viewer), (12, 0xf3, vec![58, 0, 1, 41]), "no class of the other one");
    viewer.write_all(&set_up(0xf4, "seat-view")).expect("written");
    assert!(
        read_rtsp(&mut rig.streamer()).contains("Priority-Class: seat-view\r\n"),
        "those of its own stay"
    );
    moved.set_nonblocking(true).expect("set");
    assert!(moved.accept().is_err(), "the other source was not asked");
}
