//! Case 1: a request that is written over 2 s on a new connection is read, and its connection is closed without an
//! answer.
#[path = "../rig/rig.rs"]
mod rig;
#[path = "../rig/streamer.rs"]
mod streamer;
#[path = "../rig/viewer.rs"]
mod viewer;
use rig::*;
use std::io::Write;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};
use streamer::*;
use viewer::*;

/// Requests, each on a new connection, 20 a second.
const REQUESTS: u64 = 240;
const BETWEEN_MS: u64 = 50;
/// Over how long a request is written, and in how many parts of like length.
const OVER_MS: u64 = 2_000;
const PARTS: usize = 9;
const FIRST: u64 = 0x9b1f_03aa_5c7e_6000;
/// "If a set-up crosses such a close within 50 ms, it is sent again on a new connection, once."
const CROSSES_MS: u128 = 50;

fn class(session: u64) -> &'static str {
    if session % 2 == 0 {
        "replay"
    } else {
        "seat-view"
    }
}

/// How long a viewer waits before it sends again.
const LOOK_MS: u64 = 40;

/// What became of a request on its connection.
#[derive(PartialEq)]
enum Outcome {
    Answered,
    /// The connection ended without an answer; nothing shows that the request was read.
    Closed,
    /// The same, and its set-up had come to a streamer.
    ReadAndClosed,
    /// It could not be written whole.
    NotTaken,
}

/// Plays one request.
fn request(at: SocketAddr, session: u64, streamers: &[Streamer]) -> Outcome {
    let mut viewer = Viewer::must_connect(at);
    let (start, bytes) = (Instant::now(), set_up(session, class(session), 3000, ""));
    let parts = if trouble() { PARTS } else { 1 };
    for part in 0..parts {
        let due = Duration::from_millis(OVER_MS) * part as u32 / (parts.max(2) as u32 - 1);
        thread::sleep(due.saturating_sub(start.elapsed()));
        let from = bytes.len() * part / parts;
        if viewer.stream.write_all(&bytes[from..bytes.len() * (part + 1) / parts]).is_err() {
            note(&format!("viewer: {session:016x} could not be written whole"));
            return Outcome::NotTaken;
        }
    }
    let sent = Instant::now();
    note(&format!(
        "viewer -> the last byte of set-up {session:016x}, {} ms after its connection came up",
        start.elapsed().as_millis()
    ));
    let answer = viewer.read_one(3_600).filter(|m| m.session == session);
    let (mut outcome, mut last) = (Outcome::Answered, answer.clone());
    if answer.is_none() {
        let after = sent.elapsed();
        note(&format!(
            "viewer: the connection of {session:016x} has ended ({}) after {} us without an answer",
            viewer.closed,
            after.as_micros()
        ));
        // Whether the director had read it: its set-up is at a streamer before it is sent again.
        sleep_ms(LOOK_MS);
        let hex = format!("{session:016x}");
        let read = streamers.iter().any(|s| s.seen().iter().any(|e| e.what == "SETUP" && e.session == hex));
        outcome = if read { Outcome::ReadAndClosed } else { Outcome::Closed };
        if after.as_millis() <= CROSSES_MS {
            viewer = Viewer::must_connect(at);
            note(&format!("viewer: {session:016x} is sent again on a new connection"));
            viewer.set_up(session, class(session), 3000, "");
            last = viewer.read_one(3_600);
        }
    }
    if last.is_some_and(|m| m.kind == 9) {
        viewer.release(session);
    }
    outcome
}

fn main() {
    let dir = std::env::var("CASE_TMP").unwrap_or_else(|_| cannot_run("CASE_TMP is not set"));
    open_record(&std::env::var("RECORD").unwrap_or_else(|_| format!("{dir}/record.txt")));
    note(&format!("trouble: {}", trouble()));
    let streamers: Arc<Vec<Streamer>> = Arc::new(
        (0..6)
            .map(|i| {
                Streamer::start(&format!("s-{i}"), listen(), Arc::new(|_: &str, _, _: &str| vec![(40, 200)]))
            })
            .collect(),
    );
    let entry = |(i, s): (usize, &Streamer)| member(&s.id, s.address, "hall-a", i as u32 % 3, "in_service");
    let known = vec![event(1, &streamers.iter().enumerate().map(entry).collect::<Vec<_>>().join(","))];
    let bulletin = Bulletin::start(known.clone());
    let at = free_address();
    let config = format!("{dir}/config.json");
    let written = std::fs::write(&config, configuration("n0", at, bulletin.address, &known, 1024));
    written.unwrap_or_else(|why| cannot_run(&why.to_string()));
    let env = [("LB_NAME", "n0".into()), ("LB_LISTEN", at.to_string()), ("LB_CONFIG", config)];
    let director = Director::start(&dir, &env, None);
    wait_ready(at);
    let mut requests = Vec::new();
    for i in 0..REQUESTS {
        sleep_ms(BETWEEN_MS);
        let streamers = Arc::clone(&streamers);
        requests.push((FIRST + i, thread::spawn(move || request(at, FIRST + i, &streamers))));
    }
    let (mut answered, mut lost, mut unanswered) = (0, 0, 0);
    for (session, played) in requests {
        match played.join().unwrap_or_else(|_| cannot_run("a viewer failed")) {
            Outcome::Answered => answered += 1,
            Outcome::NotTaken => {}
            Outcome::Closed => unanswered += 1,
            Outcome::ReadAndClosed => {
                lost += 1;
                note(&format!("BROKEN: {session:016x} was read and set up at a streamer; its connection ended without an answer"));
            }
        }
    }
    if answered == 0 {
        cannot_run("no request was answered");
    }
    director.signal("USR1");
    sleep_ms(100);
    drop(director);
    let words = format!(
        "of {REQUESTS} requests {answered} were answered; {lost} were read and their connections ended without an answer, {unanswered} more had no answer"
    );
    note(&words);
    println!("{words}");
    finish(i32::from(lost > 0))
}
