//! Signals that come at the worst moment: in the middle of a start, between accept and read, with answers half
//! written. The order is forced by files that block, by stopping the director, or by lines of its log.
mod common;
mod rig;
use rig::*;
use std::fs::OpenOptions;
use std::io::{BufReader, Write};
use std::os::unix::process::ExitStatusExt;
use std::process::{Command, Stdio};

/// Starts a director on a configuration that comes through a pipe, and sends it a signal before the first byte.
fn signalled_at_the_start(signal: &str) -> Rig {
    let mut rig = Rig::start(); // its configuration is used again, at an address of its own
    let file = rig.folder.join("config.json");
    let text = std::fs::read_to_string(&file).expect("there");
    let (pipe, whole) = (rig.folder.join("pipe.json"), rig.folder.join("whole.json"));
    assert!(Command::new("mkfifo").arg(&pipe).status().expect("run").success());
    std::fs::write(&whole, &text).expect("written");
    let mut command = Command::new(env!("CARGO_BIN_EXE_stonewharf"));
    let mut child = command.env("LB_CONFIG", &pipe).stderr(Stdio::piped()).spawn().expect("started");
    let mut writer = OpenOptions::new().write(true).open(&pipe).expect("opened as the director opens it");
    std::fs::rename(&whole, &pipe).expect("a reload reads a plain file");
    std::mem::swap(&mut rig.child, &mut child);
    let _ = child.kill();
    let _ = child.wait();
    rig.signal(signal);
    writer.write_all(text.as_bytes()).expect("written");
    drop(writer);
    rig.log = BufReader::new(rig.child.stderr.take().expect("piped"));
    rig
}

/// SIGHUP ended a process that had not yet come to handle it, as if it had crashed.
#[test]
fn sighup_in_the_middle_of_a_start_is_followed_once_it_serves() {
    let mut rig = signalled_at_the_start("-HUP");
    next_line(&mut rig.log, "serves");
    next_line(&mut rig.log, "the configuration was read again");
}

/// SIGTERM did the same; it is an orderly end, with the grace time before it.
#[test]
fn sigterm_in_the_middle_of_a_start_is_an_orderly_end() {
    let mut rig = signalled_at_the_start("-TERM");
    next_line(&mut rig.log, "asked to end");
    next_line(&mut rig.log, "ended");
    let status = rig.child.wait().expect("ended");
    assert!(status.success(), "no signal ended it: {:?}", status.signal());
}

/// SIGTERM between accept and read, with half a request read, and with an attempt out; a second SIGTERM in the
/// grace time. All are answered, and so is what comes on the open connections after it.
#[test]
fn what_was_taken_before_sigterm_is_answered_and_a_second_one_changes_nothing() {
    let mut rig = Rig::start();
    let mut out = rig.viewer();
    out.write_all(&set_up(0xe1, "seat-view")).expect("written");
    let mut streamer = rig.streamer();
    read_rtsp(&mut streamer);
    let (mut half, whole) = (rig.viewer(), set_up(0xe2, "seat-view"));
    half.write_all(&whole[..30]).expect("written");
    rig.stop();
    let mut unread = rig.viewer();
    unread.write_all(&set_up(0xe3, "seat-view")).expect("written");
    rig.signal("-TERM");
    rig.go_on();
    next_line(&mut rig.log, "asked to end");
    rig.signal("-TERM");
    half.write_all(&whole[30..]).expect("written");
    streamer.write_all(&stands(0xe1, "answer")).expect("written");
    for viewer in [&mut out, &mut half, &mut unread] {
        let answer = hear(viewer);
        if answer.1 != 0xe1 {
            assert_eq!((answer.0, &answer.2[..3]), (12, &[58, 0, 1][..]), "one answer, whatever it is");
        }
    }
    out.write_all(&message(52, 9, &[(58, &[0])])).expect("written");
    assert_eq!(hear(&mut out), (53, 9, vec![58, 0, 1, 0]), "open connections are still answered");
    next_line(&mut rig.log, "ended");
    assert!(rig.child.wait().expect("ended").success());
}

/// SIGTERM and SIGHUP in one turn: both are followed, and the end stays orderly.
#[test]
fn sigterm_beside_sighup_is_an_orderly_end() {
    let mut rig = Rig::start();
    rig.stop();
    rig.signal("-HUP");
    rig.signal("-TERM");
    rig.go_on();
    next_line(&mut rig.log, "asked to end");
    next_line(&mut rig.log, "the configuration was read again");
    next_line(&mut rig.log, "ended");
    assert!(rig.child.wait().expect("ended").success());
}

/// Answers that the viewer's machine had no room for were thrown away as the process ended.
#[test]
fn answers_that_are_half_written_at_the_end_are_written_out() {
    let mut rig = Rig::with_door_and(&common::settings_with_long_timeouts());
    let HalfWritten { mut viewer, answers, .. } = half_written(&rig);
    rig.signal("-TERM");
    next_line(&mut rig.log, "waits for its last messages to be written");
    for _ in 0..answers {
        assert_eq!(hear(&mut viewer).0, 9, "whole");
    }
    next_line(&mut rig.log, "ended");
}
