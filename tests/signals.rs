//! Signals that arrive at critical moments: during startup, between accept and read, and while answers are
//! partly written. The order is enforced by blocking files, by stopping the director, or by lines of its log.
mod common;
mod rig;
use rig::*;
use std::fs::OpenOptions;
use std::io::{BufReader, Write};
use std::os::unix::process::ExitStatusExt;
use std::process::{Command, Stdio};

/// Starts a director that reads its configuration from a pipe, and signals it before the first byte.
fn start_and_signal_before_configuration(signal: &str) -> Rig {
    let mut rig = Rig::start(); // its configuration is reused by the second process, with its own address
    let file = rig.folder.join("config.json");
    let text = std::fs::read_to_string(&file).expect("there");
    let (pipe, plain_file) = (rig.folder.join("pipe.json"), rig.folder.join("whole.json"));
    assert!(Command::new("mkfifo").arg(&pipe).status().expect("run").success());
    std::fs::write(&plain_file, &text).expect("written");
    let mut command = Command::new(env!("CARGO_BIN_EXE_stonewharf"));
    let mut child = command.env("LB_CONFIG", &pipe).stderr(Stdio::piped()).spawn().expect("started");
    let mut writer = OpenOptions::new().write(true).open(&pipe).expect("the director opens the pipe");
    std::fs::rename(&plain_file, &pipe).expect("replaced by a plain file for a reload");
    std::mem::swap(&mut rig.child, &mut child);
    let _ = child.kill();
    let _ = child.wait();
    rig.signal(signal);
    writer.write_all(text.as_bytes()).expect("written");
    drop(writer);
    rig.log = BufReader::new(rig.child.stderr.take().expect("piped"));
    rig
}

/// Guards against SIGHUP terminating a process that has not installed its handler yet, like a crash.
#[test]
fn sighup_during_startup_is_handled_once_serving() {
    let mut rig = start_and_signal_before_configuration("-HUP");
    next_line(&mut rig.log, "serves");
    next_line(&mut rig.log, "the configuration was read again");
}

/// Guards against the same fault with SIGTERM, which has to cause an orderly shutdown after the grace period.
#[test]
fn sigterm_during_startup_is_an_orderly_shutdown() {
    let mut rig = start_and_signal_before_configuration("-TERM");
    next_line(&mut rig.log, "asked to end");
    next_line(&mut rig.log, "ended");
    let status = rig.child.wait().expect("ended");
    assert!(status.success(), "the process was terminated by a signal: {:?}", status.signal());
}

/// SIGTERM arrives between accept and read, with a request partly read and with an attempt outstanding; a
/// second SIGTERM arrives in the grace period. All requests are answered, and so is what arrives later on the
/// open connections.
#[test]
fn requests_received_before_sigterm_are_answered_and_a_second_one_is_ignored() {
    let mut rig = Rig::start();
    let mut outstanding = rig.viewer();
    outstanding.write_all(&set_up(0xe1, "seat-view")).expect("written");
    let mut streamer = rig.streamer();
    read_rtsp(&mut streamer);
    let (mut partial, whole_request) = (rig.viewer(), set_up(0xe2, "seat-view"));
    partial.write_all(&whole_request[..30]).expect("written");
    rig.suspend();
    let mut unread = rig.viewer();
    unread.write_all(&set_up(0xe3, "seat-view")).expect("written");
    rig.signal("-TERM");
    rig.resume();
    next_line(&mut rig.log, "asked to end");
    rig.signal("-TERM");
    partial.write_all(&whole_request[30..]).expect("written");
    streamer.write_all(&established_response(0xe1, "answer")).expect("written");
    for viewer in [&mut outstanding, &mut partial, &mut unread] {
        let answer = read_message(viewer);
        if answer.1 != 0xe1 {
            assert_eq!((answer.0, &answer.2[..3]), (12, &[58, 0, 1][..]), "exactly one answer, of any kind");
        }
    }
    outstanding.write_all(&message(52, 9, &[(58, &[0])])).expect("written");
    assert_eq!(
        read_message(&mut outstanding),
        (53, 9, vec![58, 0, 1, 0]),
        "open connections are still answered"
    );
    next_line(&mut rig.log, "ended");
    assert!(rig.child.wait().expect("ended").success());
}

/// SIGTERM and SIGHUP arrive in one turn: both are handled, and the shutdown is orderly.
#[test]
fn sigterm_together_with_sighup_is_an_orderly_shutdown() {
    let mut rig = Rig::start();
    rig.suspend();
    rig.signal("-HUP");
    rig.signal("-TERM");
    rig.resume();
    next_line(&mut rig.log, "asked to end");
    next_line(&mut rig.log, "the configuration was read again");
    next_line(&mut rig.log, "ended");
    assert!(rig.child.wait().expect("ended").success());
}

/// Guards against discarding, at exit, answers that did not fit into the viewer's receive buffer.
#[test]
fn partly_written_answers_are_completed_before_exit() {
    let mut rig = Rig::with_admin_and_settings(&common::settings_with_long_timeouts());
    let UnreadAnswers { mut viewer, answers, .. } = unread_answers(&rig);
    rig.signal("-TERM");
    next_line(&mut rig.log, "waits for its last messages to be written");
    for _ in 0..answers {
        assert_eq!(read_message(&mut viewer).0, 9, "a complete answer");
    }
    next_line(&mut rig.log, "ended");
}
