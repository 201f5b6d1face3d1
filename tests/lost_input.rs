//! Releases that are lost with a connection to a streamer. The streamer repeats them on the next connection that is
//! opened to it, so the director has to open one, however often that fails.
mod common;
mod rig;
use rig::*;
use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Time within which a viewer has to be told of the end of its session: 8 s, and 50 ms on sockets.
const RELEASE_TIME_LIMIT: Duration = Duration::from_millis(8_050);
/// Interval of the notes that keep a connection to a streamer in use.
const NOTE_INTERVAL: Duration = Duration::from_millis(100);

/// A director with two connections to its streamer: a session is established on each.
struct TwoConnections {
    rig: Rig,
    viewer: TcpStream,
    first: Option<TcpStream>,
    second: TcpStream,
}

/// The session on the first connection, and the one on the second.
const FIRST_SESSION: u64 = 0x501;
const SECOND_SESSION: u64 = 0x502;

impl TwoConnections {
    fn start() -> TwoConnections {
        let settings = common::SETTINGS_JSON.replace(r#""multiplex": 32"#, r#""multiplex": 1"#);
        let rig = Rig::with_admin_and_settings(&settings);
        let mut viewer = rig.viewer();
        viewer.write_all(&set_up(FIRST_SESSION, "replay")).expect("written");
        let mut first = rig.streamer();
        read_rtsp(&mut first);
        viewer.write_all(&set_up(SECOND_SESSION, "replay")).expect("written");
        let mut second = rig.streamer();
        read_rtsp(&mut second);
        for (stream, id) in [(&mut first, FIRST_SESSION), (&mut second, SECOND_SESSION)] {
            stream.write_all(&established_response(id, "answer")).expect("written");
            assert_eq!(read_message(&mut viewer).0, 9);
        }
        TwoConnections { rig, viewer, first: Some(first), second }
    }

    /// Resets the first connection, with the release of its session. Returns when.
    fn reset_first(&mut self) -> Instant {
        let first = self.first.take().expect("not reset before");
        socket2::SockRef::from(&first).set_linger(Some(Duration::ZERO)).expect("set");
        Instant::now()
    }

    /// Keeps the second connection in use until an attempt to connect has failed.
    fn wait_for_failed_attempt(&mut self) {
        while self.rig.metric("dials_failed") < 1 {
            self.send_note();
            std::thread::sleep(NOTE_INTERVAL);
        }
    }

    /// Accepts the director's next connection within the time limit of a release, while the second connection
    /// is in use.
    fn next_connection(&mut self, listener: &TcpListener, lost_at: Instant) -> Option<TcpStream> {
        listener.set_nonblocking(true).expect("set");
        let mut noted_at = lost_at;
        while lost_at.elapsed() < RELEASE_TIME_LIMIT {
            if let Ok((stream, _)) = listener.accept() {
                stream.set_nonblocking(false).expect("set");
                stream.set_read_timeout(Some(TIMEOUT)).expect("set");
                return Some(stream);
            }
            if noted_at.elapsed() > NOTE_INTERVAL {
                noted_at = Instant::now();
                self.send_note();
            }
            std::thread::sleep(Duration::from_millis(2));
        }
        None
    }

    /// Sends a note on the second connection.
    fn send_note(&mut self) {
        self.second.write_all(&note(SECOND_SESSION)).expect("written");
    }

    /// Repeats the release on a new connection, and expects that its viewer is told.
    fn repeat_release(&mut self, stream: &mut TcpStream) {
        stream.write_all(&teardown(FIRST_SESSION)).expect("written");
        assert_eq!(read_message(&mut self.viewer), (12, FIRST_SESSION, vec![58, 0, 1, 16]), "its end");
    }
}

/// `review/10`: a release was lost with a connection that was reset, the connection that was opened for it came up
/// too late, and no other one was opened while a further connection to the streamer was in use.
#[test]
fn a_lost_release_is_received_although_the_next_connection_comes_up_late() {
    let mut streamer = TwoConnections::start();
    let listener = Arc::clone(&streamer.rig.streamer);
    let _backlog_filler = fill_accept_queue(&listener);
    let lost_at = streamer.reset_first();
    streamer.wait_for_failed_attempt();
    drop(accept(&listener)); // the connection that filled the queue
    let mut next = streamer.next_connection(&listener, lost_at).expect("a connection within the time limit");
    streamer.repeat_release(&mut next);
}

/// The same where the streamer refuses the next connection.
#[test]
fn a_lost_release_is_received_although_the_next_connection_is_refused() {
    let mut streamer = TwoConnections::start();
    let address = streamer.rig.streamer.local_addr().expect("bound");
    streamer.rig.streamer = Arc::new(bind_listener()); // the streamer's own is closed
    let lost_at = streamer.reset_first();
    streamer.wait_for_failed_attempt();
    let listener = TcpListener::bind(address).expect("free again");
    let mut next = streamer.next_connection(&listener, lost_at).expect("a connection within the time limit");
    streamer.repeat_release(&mut next);
}

/// The same where the next connection is reset as soon as it is established, before the release is repeated on it.
#[test]
fn a_lost_release_is_received_although_the_next_connection_is_reset_at_once() {
    let mut streamer = TwoConnections::start();
    let listener = Arc::clone(&streamer.rig.streamer);
    let lost_at = streamer.reset_first();
    let next = streamer.next_connection(&listener, lost_at).expect("a connection within the time limit");
    socket2::SockRef::from(&next).set_linger(Some(Duration::ZERO)).expect("set");
    drop(next);
    let mut third = streamer.next_connection(&listener, lost_at).expect("another one within the time limit");
    streamer.repeat_release(&mut third);
}

/// A message stops short and its connection stays open: what the streamer sends on it after that is lost. No other one was
/// opened while a further connection to the streamer was in use.
#[test]
fn a_release_lost_behind_a_message_that_stops_short_is_received() {
    let mut streamer = TwoConnections::start();
    let listener = Arc::clone(&streamer.rig.streamer);
    let first = streamer.first.as_mut().expect("open");
    first.write_all(&teardown(FIRST_SESSION)[..40]).expect("written");
    let lost_at = Instant::now();
    let mut next = streamer.next_connection(&listener, lost_at).expect("a connection within the time limit");
    streamer.repeat_release(&mut next);
}

/// The same where an answer never arrives: nothing that follows it on that connection does either.
#[test]
fn a_release_lost_behind_an_answer_that_never_arrives_is_received() {
    let mut streamer = TwoConnections::start();
    let listener = Arc::clone(&streamer.rig.streamer);
    // The connection that was received on last is used first.
    let first = streamer.first.as_mut().expect("open");
    first.write_all(&note(FIRST_SESSION)).expect("written");
    wait_until("the note is read", || streamer.rig.metric("notes") == 1);
    let attributes = b"home:0;copies:1;top:1;viewer:00000000b4d65521";
    let parameters: [(u8, &[u8]); 5] =
        [(16, b"replay"), (19, b"300"), (28, b"7f3a"), (31, attributes), (61, b"offer")];
    streamer.viewer.write_all(&message(1, 0x503, &parameters)).expect("written");
    assert!(read_rtsp(first).starts_with("SETUP"));
    let lost_at = Instant::now();
    assert_eq!(read_message(&mut streamer.viewer).0, 12, "its time is up");
    let mut next = streamer.next_connection(&listener, lost_at).expect("a connection within the time limit");
    streamer.repeat_release(&mut next);
}

/// Neither a set-up that is given up by its viewer nor a quiet connection costs a new connection.
#[test]
fn a_quiet_connection_on_which_nothing_is_due_is_not_doubted() {
    let mut streamer = TwoConnections::start();
    let first = streamer.first.as_mut().expect("open");
    first.write_all(&note(FIRST_SESSION)).expect("written");
    wait_until("the note is read", || streamer.rig.metric("notes") == 1);
    streamer.viewer.write_all(&set_up(0x504, "replay")).expect("written");
    assert!(read_rtsp(first).starts_with("SETUP"));
    streamer.viewer.write_all(&message(12, 0x504, &[(58, &[16])])).expect("written");
    assert!(read_rtsp(first).starts_with("TEARDOWN"));
    let since = Instant::now();
    while since.elapsed() < Duration::from_secs(4) {
        streamer.send_note();
        std::thread::sleep(NOTE_INTERVAL);
    }
    assert_eq!(streamer.rig.metric("streamer_connections"), 2);
}
