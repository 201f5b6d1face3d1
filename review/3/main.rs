//! Case 3: a director's process is replaced before discovery has told the new one of a streamer; the sessions there
//! are cut for their viewers and left standing at the streamer.
#[path = "../rig/rig.rs"]
mod rig;
#[path = "../rig/streamer.rs"]
mod streamer;
#[path = "../rig/viewer.rs"]
mod viewer;
use rig::*;
use std::collections::BTreeSet;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;
use streamer::*;
use viewer::*;

/// Sessions that stand as the process is replaced.
const SESSIONS: u64 = 6;
const FIRST: u64 = 0x9b1f_03aa_5c7e_5000;
/// So late discovery answers the new process: under the 2 s after which its news counts as told, and under the second
/// in which it says something.
const DISCOVERY_MS: u64 = 600;
/// SIGKILL: the longest deadline and 0.7 s after SIGTERM.
const KILL_AFTER_MS: u64 = 3_700;
/// For 5 s after the old process some rules are not checked; a release is due within 1 s, at the latest 8 s.
const JUDGED_AFTER_MS: u64 = 9_000;

fn ready(admin: SocketAddr) -> bool {
    let Ok(mut stream) = TcpStream::connect_timeout(&admin, Duration::from_secs(1)) else { return false };
    let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
    let _ = write!(stream, "GET /_ready HTTP/1.1\r\nHost: director\r\n\r\n");
    let mut head = [0; 12];
    stream.read_exact(&mut head).is_ok() && head.starts_with(b"HTTP/1.1 2")
}

fn main() {
    let dir = std::env::var("CASE_TMP").unwrap_or_else(|_| cannot_run("CASE_TMP is not set"));
    open_record(&std::env::var("RECORD").unwrap_or_else(|_| format!("{dir}/record.txt")));
    note(&format!("trouble: {}", trouble()));
    let streamers = ["s-1", "s-2"]
        .map(|id| Streamer::start(id, listen(), Arc::new(|_: &str, _, _: &str| vec![(40, 200)])));
    let entry = |i: usize| member(&streamers[i].id, streamers[i].address, "hall-a", i as u32, "in_service");
    // The configuration knows of s-1; s-2 comes into service later, while the director serves.
    let known = vec![event(1, &entry(0))];
    let bulletin = Bulletin::start(known.clone());
    let clients = listen(); // held by the platform, on days of replacement
    let at = address_of(&clients);
    let config = format!("{dir}/config.json");
    let written = std::fs::write(&config, configuration("n0", at, bulletin.address, &known, 1024));
    written.unwrap_or_else(|why| cannot_run(&why.to_string()));
    let env = |admin: SocketAddr| {
        [
            ("LB_NAME", "n0".to_owned()),
            ("LB_LISTEN", at.to_string()),
            ("LB_CONFIG", config.clone()),
            ("LB_ADMIN_ADDR", admin.to_string()),
        ]
    };
    let socket = || clients.try_clone().unwrap_or_else(|why| cannot_run(&why.to_string()));
    let mut old = Director::start(&dir, &env(free_address()), Some(socket()));
    wait_ready(at);
    bulletin.add(&entry(1));
    sleep_ms(500);
    for session in FIRST..FIRST + SESSIONS {
        let mut viewer = Viewer::must_connect(at);
        viewer.set_up(session, if session % 2 == 0 { "replay" } else { "seat-view" }, 3000, "");
        if viewer.read_one(3500).is_none_or(|m| m.kind != 9) {
            cannot_run("a session could not be set up");
        }
    }
    let at_second = streamers[1].standing();
    if at_second.is_empty() {
        cannot_run("no session stands at s-2");
    }
    let mut new = None;
    if trouble() {
        bulletin.first_line_after_ms.store(DISCOVERY_MS, Ordering::SeqCst);
        let admin = free_address();
        new = Some(Director::start(&dir, &env(admin), Some(socket())));
        let until = now_ms() + 6_000;
        while !ready(admin) {
            if now_ms() > until {
                cannot_run("the new process is not ready");
            }
            sleep_ms(20);
        }
        note("the new process says yes to /_ready");
        let told_to_end = now_ms();
        old.signal("TERM");
        while !old.has_ended() && now_ms() < told_to_end + KILL_AFTER_MS {
            sleep_ms(5);
        }
        note(if old.has_ended() { "the old process has ended" } else { "SIGKILL to the old process" });
        drop(old);
    }
    // What still stands passes to the new process. Without the replacement the process that serves is handed the same
    // sessions, which it holds already.
    let mut front = Viewer::must_connect(at);
    for s in &streamers {
        for session in s.standing() {
            let number = u64::from_str_radix(&session, 16).unwrap_or(0);
            let class = if number % 2 == 0 { "replay" } else { "seat-view" };
            front.set_up(number, class, 20_000, &format!(";at:{}", s.id));
        }
    }
    // For the next seconds viewers only listen: which sessions does the director say are over?
    let (since, mut over) = (now_ms(), BTreeSet::new());
    while now_ms() < since + 3_000 {
        over.extend(front.read_one(100).filter(|m| m.kind == 12).map(|m| m.session));
    }
    // A check that the hand-over works at s-1: its viewers end their sessions.
    let torn =
        |s: &Streamer, session: &str| s.seen().iter().any(|e| e.what == "TEARDOWN" && e.session == *session);
    let at_first = streamers[0].standing();
    for session in &at_first {
        Viewer::must_connect(at).release(u64::from_str_radix(session, 16).unwrap_or(0));
    }
    sleep_ms(1_000);
    if !at_first.iter().all(|session| torn(&streamers[0], session)) {
        cannot_run("the hand-over itself does not work");
    }
    sleep_ms((since + JUDGED_AFTER_MS).saturating_sub(now_ms()));
    let mut broken = 0;
    for session in &at_second {
        let number = u64::from_str_radix(session, 16).unwrap_or(0);
        if over.contains(&number)
            && !torn(&streamers[1], session)
            && streamers[1].standing().contains(session)
        {
            broken += 1;
            note(&format!(
                "BROKEN: the director has told the viewer that {session} is over; it still stands at s-2"
            ));
        }
    }
    let words = format!(
        "{broken} of {} sessions at s-2 are over for their viewers and left standing",
        at_second.len()
    );
    note(&words);
    println!("{words}");
    drop(new);
    finish(i32::from(broken > 0));
}
