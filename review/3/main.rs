//! Case 3: while the process of a director is replaced, viewers end sessions; the streamers are never told.
#[path = "../rig/rig.rs"]
mod rig;
#[path = "../rig/streamer.rs"]
mod streamer;
#[path = "../rig/viewer.rs"]
mod viewer;
use rig::*;
use std::net::SocketAddr;
use std::sync::Arc;
use streamer::*;
use viewer::*;

/// Sessions that stand; the first half is ended by its viewers during the replacement.
const SESSIONS: u64 = 6;
const FIRST: u64 = 0x9b1f_03aa_5c7e_1000;
/// A set-up that is under way at the old process; its streamer takes longer than usual.
const SLOW: u64 = 0x9b1f_03aa_5c7e_2000;
const SLOW_MS: u64 = 1_200;
/// After SIGTERM the viewers end their sessions so much later.
const END_AFTER_MS: u64 = 300;
/// SIGKILL: the longest deadline and 0.7 s after SIGTERM.
const KILL_AFTER_MS: u64 = 3_700;
/// For 5 s after the old process some rules are not checked; a release is due within 1 s, at the latest 8 s.
const JUDGED_AFTER_MS: u64 = 9_000;

fn hex(session: u64) -> String {
    format!("{session:016x}")
}

/// Waits until a viewer's connection is closed by the director, at most so long; then the viewer closes it.
fn wait_closed(viewers: &mut Vec<Viewer>, at_most_ms: u64) {
    let until = now_ms() + at_most_ms;
    while now_ms() < until && !viewers.is_empty() {
        viewers.retain_mut(|v| {
            let _ = v.read_one(5);
            !v.closed
        });
    }
}

fn main() {
    let dir = std::env::var("CASE_TMP").unwrap_or_else(|_| cannot_run("CASE_TMP is not set"));
    open_record(&std::env::var("RECORD").unwrap_or_else(|_| format!("{dir}/record.txt")));
    note(&format!("trouble: {}", trouble()));
    let plan = |session: &str, _: u32, _: &str| vec![(if session == hex(SLOW) { SLOW_MS } else { 40 }, 200)];
    let streamers = ["s-1", "s-2"].map(|id| Streamer::start(id, listen(), Arc::new(plan)));
    let entry = |i: usize| member(&streamers[i].id, streamers[i].address, "hall-a", i as u32, "in_service");
    let known = vec![event(1, &format!("{},{}", entry(0), entry(1)))];
    let torn = |session: u64| {
        let of = |e: &Seen| e.what == "TEARDOWN" && e.session == hex(session);
        streamers.iter().any(|s| s.seen().iter().any(of))
    };
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
    let mut viewers = Vec::new();
    for session in FIRST..FIRST + SESSIONS {
        let mut viewer = Viewer::must_connect(at);
        viewer.set_up(session, if session % 2 == 0 { "replay" } else { "seat-view" }, 3000, "");
        if viewer.read_one(3500).is_none_or(|m| m.kind != 9) {
            cannot_run("a session could not be set up");
        }
        viewers.push(viewer);
    }
    let mut busy = Viewer::must_connect(at);
    busy.send(52, 1, &[(58, &[0])]);
    let _ = busy.read_one(1000); // this connection is the old process's
    let mut new = None;
    if trouble() {
        let admin = free_address();
        new = Some(Director::start(&dir, &env(admin), Some(socket())));
        wait_yes(admin);
    }
    busy.set_up(SLOW, "replay", 3000, "");
    sleep_ms(50);
    let told_to_end = now_ms();
    if trouble() {
        old.signal("TERM");
    }
    wait_closed(&mut viewers, END_AFTER_MS);
    note(&format!(
        "{} of {SESSIONS} viewers' connections are still open; the others were closed",
        viewers.len()
    ));
    drop(viewers);
    // The first half of the viewers end their sessions, each on a connection of its own.
    let ended: Vec<u64> = (FIRST..FIRST + SESSIONS / 2).collect();
    for session in &ended {
        let mut viewer = Viewer::must_connect(at);
        viewer.release(*session);
        sleep_ms(100);
    }
    let answer = busy.read_one(3000);
    note(&format!("the set-up under way was answered: {}", answer.is_some_and(|m| m.kind == 9)));
    wait_closed(&mut vec![busy], 100);
    if trouble() {
        while !old.has_ended() && now_ms() < told_to_end + KILL_AFTER_MS {
            sleep_ms(5);
        }
        note(if old.has_ended() { "the old process has ended" } else { "SIGKILL to the old process" });
        drop(old);
        // What still stands passes to the new process.
        let mut platform = Viewer::must_connect(at);
        let standing = |s: &Streamer| s.standing().into_iter().map(|x| (s.id.clone(), x)).collect::<Vec<_>>();
        for (streamer, session) in streamers.iter().flat_map(standing) {
            let number = u64::from_str_radix(&session, 16).unwrap_or(0);
            let class = if number % 2 == 0 { "replay" } else { "seat-view" };
            platform.set_up(number, class, 20_000, &format!(";at:{streamer}"));
        }
        sleep_ms(200);
        new.as_ref().inspect(|n| n.signal("USR1"));
        // A check that the hand-over works: the viewers of the second half end their sessions later.
        for session in FIRST + SESSIONS / 2..FIRST + SESSIONS {
            Viewer::must_connect(at).release(session);
        }
        sleep_ms(1_000);
        if !(FIRST + SESSIONS / 2..FIRST + SESSIONS).all(torn) {
            cannot_run("the hand-over itself does not work");
        }
        note("sessions ended after the hand-over were released at their streamer");
    }
    sleep_ms(JUDGED_AFTER_MS);
    let mut broken = 0;
    for session in &ended {
        if let Some(s) = streamers.iter().find(|s| !torn(*session) && s.standing().contains(&hex(*session))) {
            broken += 1;
            note(&format!(
                "BROKEN: session {session:016x} was ended by its viewer and still stands at {}",
                s.id
            ));
        }
    }
    note(&format!("{broken} of {} sessions that their viewers ended are left standing", ended.len()));
    println!("{broken} of {} sessions that their viewers ended are left standing", ended.len());
    finish(i32::from(broken > 0));
}
