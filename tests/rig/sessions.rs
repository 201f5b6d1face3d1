//! Sessions of one director process, and the replacement of that process by another on the same socket.
use super::*;

/// Sends a set-up that reaches the streamer and is not answered yet.
pub fn start_attempt(viewer: &mut TcpStream, streamer: &mut TcpStream, id: u64) {
    viewer.write_all(&set_up(id, "replay")).expect("written");
    assert!(read_rtsp(streamer).starts_with("SETUP "));
}

/// Sends a set-up and establishes its session.
pub fn establish_session(viewer: &mut TcpStream, streamer: &mut TcpStream, id: u64) {
    start_attempt(viewer, streamer, id);
    streamer.write_all(&established_response(id, "answer")).expect("written");
    assert_eq!(read_message(viewer).0, 9);
}

/// Establishes the first session, on new connections of a viewer and the streamer.
pub fn connect_and_establish(rig: &Rig, id: u64) -> (TcpStream, TcpStream) {
    let mut viewer = rig.viewer();
    viewer.write_all(&set_up(id, "replay")).expect("written");
    let mut streamer = rig.streamer();
    read_rtsp(&mut streamer);
    streamer.write_all(&established_response(id, "answer")).expect("written");
    assert_eq!(read_message(&mut viewer).0, 9);
    (viewer, streamer)
}

pub fn assert_closed(mut stream: TcpStream) {
    assert_eq!(stream.read(&mut [0; 64]).unwrap_or(0), 0, "closed without a further message");
}

/// The set-up message that hands over an established session. It is not answered.
pub fn handed_over_session(id: u64, at: &str) -> Vec<u8> {
    let text = format!("home:0;copies:1;top:1;viewer:00000000b4d65521;at:{at}");
    message(1, id, &[(16, b"replay"), (19, b"20000"), (28, b"7f3a"), (31, text.as_bytes()), (61, b"offer")])
}

/// The process to be replaced, and connections to it.
pub struct OldProcess {
    pub socket: TcpListener,
    pub old: Rig,
    pub viewer: TcpStream,
    pub streamer: TcpStream,
}

/// Starts a director on a listening socket held by the test, with a session and an attempt in flight.
pub fn start_old_process() -> OldProcess {
    let socket = bind_listener();
    let old = Rig::on_listener(&socket, &Arc::new(bind_listener()), &Arc::new(bind_listener()));
    let (mut viewer, mut streamer) = connect_and_establish(&old, 0xc1);
    start_attempt(&mut viewer, &mut streamer, 0xc2);
    OldProcess { socket, old, viewer, streamer }
}

/// Establishes a session at the new process while the old one still accepts connections from the same socket;
/// the old one is stopped meanwhile, so that the new one accepts this connection.
pub fn establish_on_new_process(new: &Rig, old: &Rig, id: u64) -> (TcpStream, TcpStream) {
    old.signal("-STOP");
    let connections = connect_and_establish(new, id);
    old.signal("-CONT");
    connections
}
