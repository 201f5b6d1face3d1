//! Runs a director as a process and lets a test play its streamer, its discovery source and its viewers.
//!
//! Every wait ends with an observable event. The time limits only bound waits for events that never happen.
#![allow(dead_code)]
pub mod inherit;
mod sessions;
mod unread_answers;

use crate::common;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

#[allow(unused_imports)]
pub use sessions::*;
#[allow(unused_imports)]
pub use unread_answers::{UnreadAnswers, unread_answers};

/// Time limit of each wait.
pub const TIMEOUT: Duration = Duration::from_secs(30);
/// State of a connection whose peer has shut down its side, in `/proc/net/tcp`.
const TCP_CLOSE_WAIT: &str = "08";
/// Environment variable that sets the log level of the directors. A failing test prints the log.
const LOG_LEVEL_VARIABLE: &str = "STONEWHARF_TEST_LOG";
static NEXT_FOLDER_ID: AtomicU64 = AtomicU64::new(1);

/// A director process, with the listeners of its streamer and its discovery source.
pub struct Rig {
    pub child: Child,
    /// Address on which viewers connect.
    pub address: SocketAddr,
    /// Address of the admin interface, if enabled.
    pub admin: Option<SocketAddr>,
    /// The director's standard error.
    pub log: BufReader<std::process::ChildStderr>,
    pub streamer: Arc<TcpListener>,
    pub discovery: Arc<TcpListener>,
    pub folder: PathBuf,
}

/// Listens on a free port.
pub fn bind_listener() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").expect("a port")
}

/// Accepts the next connection. Fails if none arrives in time.
pub fn accept(listener: &TcpListener) -> TcpStream {
    listener.set_nonblocking(true).expect("set");
    let deadline = std::time::Instant::now() + TIMEOUT;
    loop {
        match listener.accept() {
            Ok((stream, _)) => {
                stream.set_nonblocking(false).expect("set");
                return stream;
            }
            Err(_) if std::time::Instant::now() < deadline => std::thread::sleep(Duration::from_millis(2)),
            Err(why) => panic!("no connection: {why}"),
        }
    }
}

/// Waits until a condition holds. Fails if it does not hold in time.
pub fn wait_until(what: &str, holds: impl Fn() -> bool) {
    let deadline = std::time::Instant::now() + TIMEOUT;
    while !holds() {
        assert!(std::time::Instant::now() < deadline, "timed out waiting until {what}");
        std::thread::sleep(Duration::from_millis(2));
    }
}

/// Keeps connections to a listener from being established until the returned one, which fills its accept
/// queue, is accepted.
pub fn fill_accept_queue(listener: &TcpListener) -> TcpStream {
    socket2::SockRef::from(listener).listen(0).expect("a queue of one");
    TcpStream::connect(listener.local_addr().expect("bound")).expect("queued")
}

/// A streamer's entry in the streamer list.
pub fn member(id: &str, at: SocketAddr, phase: &str) -> String {
    member_of(id, at, phase, "hall-a", "two-core")
}

/// A streamer's entry in the streamer list, with its zone and kind.
pub fn member_of(id: &str, at: SocketAddr, phase: &str, zone: &str, kind: &str) -> String {
    format!(
        r#"{{"id":"{id}","host_port":"{at}","locality":"{zone}","flavor":"{kind}","cell":0,"phase":"{phase}",
        "size":1,"up_since_ms":0}}"#
    )
    .replace('\n', "")
}

impl Rig {
    /// Starts a director with the common settings.
    pub fn start() -> Rig {
        Rig::with_settings(common::SETTINGS_JSON)
    }

    /// Starts a director with the given settings.
    pub fn with_settings(settings: &str) -> Rig {
        RigOptions::new(settings).start()
    }

    /// Starts a director with an admin interface.
    pub fn with_admin() -> Rig {
        Rig::with_admin_and_settings(common::SETTINGS_JSON)
    }

    /// Starts a director with an admin interface and the given settings.
    pub fn with_admin_and_settings(settings: &str) -> Rig {
        RigOptions { admin: true, ..RigOptions::new(settings) }.start()
    }

    /// Starts a director with an admin interface on a listening socket that it inherits from this process.
    /// Other directors may have inherited the same socket before.
    pub fn on_listener(
        inherited: &TcpListener,
        streamer: &Arc<TcpListener>,
        discovery: &Arc<TcpListener>,
    ) -> Rig {
        let (streamer, discovery) = (Arc::clone(streamer), Arc::clone(discovery));
        RigOptions {
            admin: true,
            inherited: Some(inherited),
            streamer,
            discovery,
            ..RigOptions::new(common::SETTINGS_JSON)
        }
        .start()
    }

    /// Starts a director with the `run` command of the deploy file, from the root of the repository, for a
    /// deployment with this zone and kind of streamer.
    pub fn start_as_deployed(settings: &str, zone: &str, kind: &str) -> Rig {
        let deploy = std::fs::read_to_string("deploy/balancer.toml").expect("the deploy file");
        let run = deploy.lines().find_map(|l| l.strip_prefix("run = \"exec ")).expect("run ends by exec");
        let run = run.split('"').next().expect("quoted");
        let mut words = run.split(' ').map(str::to_owned);
        assert_eq!(words.next().as_deref(), Some("target/release/stonewharf"));
        RigOptions { arguments: words.collect(), zone, kind, ..RigOptions::new(settings) }.start()
    }

    /// Makes a call at the admin interface. Returns status and body; the connection ends with the response.
    pub fn admin_call(&self, method: &str, path: &str) -> (u16, String) {
        let mut stream = TcpStream::connect(self.admin.expect("an admin interface")).expect("connected");
        stream.set_read_timeout(Some(TIMEOUT)).expect("set");
        write!(stream, "{method} {path} HTTP/1.1\r\nHost: here\r\n\r\n").expect("written");
        read_http_response(stream)
    }

    /// Opens a viewer connection.
    pub fn viewer(&self) -> TcpStream {
        let stream = TcpStream::connect(self.address).expect("connected");
        stream.set_read_timeout(Some(TIMEOUT)).expect("set");
        stream
    }

    /// Accepts the director's next connection to the streamer.
    pub fn streamer(&self) -> TcpStream {
        let stream = accept(&self.streamer);
        stream.set_read_timeout(Some(TIMEOUT)).expect("set");
        stream
    }

    /// Suspends the process and returns once it is stopped. It processes everything that arrives from then on
    /// in one turn after [`Rig::resume`].
    pub fn suspend(&self) {
        self.signal("-STOP");
        let file = format!("/proc/{}/stat", self.child.id());
        let state = || std::fs::read_to_string(&file).expect("the process exists");
        wait_until("the process is stopped", || {
            state().rsplit(')').next().is_some_and(|rest| rest.starts_with(" T"))
        });
    }

    /// Closes a viewer connection and returns once the kernel has received the end of it on the director's
    /// side. On a busy machine this may take a moment even over loopback.
    pub fn close_viewer(&self, viewer: TcpStream) {
        let port = |at: SocketAddr| format!(":{:04X}", at.port());
        let (here, there) = (port(self.address), port(viewer.local_addr().expect("bound")));
        drop(viewer);
        let received = |line: &str| {
            let columns: Vec<&str> = line.split_whitespace().collect();
            let column = |index: usize| columns.get(index).copied().unwrap_or_default();
            column(1).ends_with(&here) && column(2).ends_with(&there) && column(3) == TCP_CLOSE_WAIT
        };
        wait_until("the end of the connection is received", || {
            std::fs::read_to_string("/proc/net/tcp").expect("readable").lines().any(received)
        });
    }

    /// Resumes a suspended process.
    pub fn resume(&self) {
        self.signal("-CONT");
    }

    /// Reads a metric at the admin interface.
    pub fn metric(&self, name: &str) -> u64 {
        let (_, body) = self.admin_call("GET", "/_vars");
        let value =
            |line: &str| line.strip_prefix("svc.")?.strip_prefix(name)?.strip_prefix('=')?.parse().ok();
        body.lines().find_map(value).expect("the metric exists")
    }

    /// Sends a signal to the process.
    pub fn signal(&self, name: &str) {
        let sent = Command::new("kill").args([name, &self.child.id().to_string()]).status();
        assert!(sent.expect("sent").success());
    }
}

/// Options for starting a director.
struct RigOptions<'a> {
    settings: &'a str,
    arguments: Vec<String>,
    zone: &'a str,
    kind: &'a str,
    inherited: Option<&'a TcpListener>,
    streamer: Arc<TcpListener>,
    discovery: Arc<TcpListener>,
    admin: bool,
}

impl<'a> RigOptions<'a> {
    fn new(settings: &'a str) -> Self {
        let (streamer, discovery) = (Arc::new(bind_listener()), Arc::new(bind_listener()));
        let (zone, kind, arguments) = ("hall-a", "two-core", Vec::new());
        RigOptions { settings, arguments, zone, kind, inherited: None, streamer, discovery, admin: false }
    }

    fn start(self) -> Rig {
        let RigOptions { settings, arguments, zone, kind, inherited, streamer, discovery, admin } = self;
        let folder = std::env::temp_dir().join(format!(
            "stonewharf-test-{}-{}",
            std::process::id(),
            NEXT_FOLDER_ID.fetch_add(1, Ordering::Relaxed)
        ));
        std::fs::create_dir_all(&folder).expect("a folder");
        let members = member_of("s-1", streamer.local_addr().expect("bound"), "in_service", zone, kind);
        let listen = inherited.map_or("127.0.0.1:0".into(), |h| h.local_addr().expect("bound").to_string());
        let config = format!(
            r#"{{"name":"n0","listen":"{listen}","seed":"8c1f30d27a5be964",
            "limits":{{"cores":1.0,"memory_mb":192,"sockets":128}},"bulletin":"{}",
            "known":{{"no":1,"items":[{{"no":1,
            "roster":{{"revision":1,"complete":true,"members":[{members}]}}}}]}},
            "settings":{settings}}}"#,
            discovery.local_addr().expect("bound")
        );
        let file = folder.join("config.json");
        std::fs::write(&file, config).expect("written");
        let mut command = Command::new(env!("CARGO_BIN_EXE_stonewharf"));
        command.args(arguments).env("LB_CONFIG", &file).stderr(Stdio::piped());
        if let Ok(level) = std::env::var(LOG_LEVEL_VARIABLE) {
            command.args(["serve", "--log-level", &level]);
        }
        if admin {
            command.env("LB_ADMIN_ADDR", "127.0.0.1:0");
        }
        if let Some(inherited) = inherited {
            // The child inherits the descriptor under the same number.
            command.env("LB_INHERITED_FD", inherited.as_raw_fd().to_string());
            // Processes that inherit the same socket share a folder.
            let shared = std::env::temp_dir().join(format!(
                "stonewharf-held-{}-{}",
                std::process::id(),
                inherited.as_raw_fd()
            ));
            std::fs::create_dir_all(&shared).expect("a folder");
            command.env("TMPDIR", shared);
        }
        let mut child = inherit::start_with(inherited, || command.spawn()).expect("started");
        let mut log = BufReader::new(child.stderr.take().expect("piped"));
        let admin = admin.then(|| parse_address(&next_line(&mut log, "admin interface listens")));
        let address = parse_address(&next_line(&mut log, "serves"));
        Rig { child, address, admin, log, streamer, discovery, folder }
    }
}

impl Drop for Rig {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        if std::thread::panicking() {
            let mut rest = Vec::new();
            let _ = self.log.read_to_end(&mut rest);
            println!("rest of the director's log:\n{}", String::from_utf8_lossy(&rest));
        }
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Reads log lines up to the next one that contains `text`, and returns it.
pub fn next_line(log: &mut impl BufRead, text: &str) -> String {
    let mut line = String::new();
    while log.read_line(&mut line).expect("readable") > 0 {
        if line.contains(text) {
            return line;
        }
        line.clear();
    }
    panic!("no line contains {text:?}");
}

/// Encodes a viewer message.
pub fn message(kind: u8, session: u64, parameters: &[(u8, &[u8])]) -> Vec<u8> {
    let mut body = vec![kind];
    body.extend(session.to_be_bytes());
    for (code, value) in parameters {
        body.push(*code);
        body.extend((value.len() as u16).to_be_bytes());
        body.extend(*value);
    }
    [&(body.len() as u16).to_be_bytes()[..], &body].concat()
}

/// Encodes a viewer's set-up request.
pub fn set_up(session: u64, class: &str) -> Vec<u8> {
    let session_parameters = b"home:0;copies:1;top:1;viewer:00000000b4d65521";
    message(
        1,
        session,
        &[(16, class.as_bytes()), (19, b"20000"), (28, b"7f3a"), (31, session_parameters), (61, b"offer")],
    )
}

/// Opens a viewer connection with a small receive buffer, for a viewer that does not read for a while.
pub fn non_reading_viewer(at: SocketAddr) -> TcpStream {
    use socket2::{Domain, Socket, Type};
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    socket.set_recv_buffer_size(4_096).expect("set");
    socket.connect(&at.into()).expect("connected");
    socket.set_read_timeout(Some(TIMEOUT)).expect("set");
    socket.into()
}

/// Reads the next message to a viewer. Returns its type, session and parameters.
pub fn read_message(stream: &mut TcpStream) -> (u8, u64, Vec<u8>) {
    let mut length = [0; 2];
    stream.read_exact(&mut length).expect("a message");
    let mut body = vec![0; usize::from(u16::from_be_bytes(length))];
    stream.read_exact(&mut body).expect("a whole message");
    let session = u64::from_be_bytes(body[1..9].try_into().expect("eight bytes"));
    (body[0], session, body[9..].to_vec())
}

/// Reads the next message to a streamer as text.
pub fn read_rtsp(stream: &mut TcpStream) -> String {
    let mut bytes = Vec::new();
    let mut byte = [0];
    let length = loop {
        stream.read_exact(&mut byte).expect("a message");
        bytes.push(byte[0]);
        if bytes.ends_with(b"\r\n\r\n") {
            let text = String::from_utf8_lossy(&bytes).to_string();
            let length = text.split("Content-Length: ").nth(1).and_then(|t| t.split('\r').next());
            break length.and_then(|l| l.parse().ok()).expect("a length");
        }
    };
    let mut body: Vec<u8> = vec![0; length];
    stream.read_exact(&mut body).expect("a body");
    String::from_utf8_lossy(&[bytes, body].concat()).to_string()
}

/// Encodes a streamer's response that a session is established.
pub fn established_response(session: u64, body: &str) -> Vec<u8> {
    let length = body.len();
    format!("RTSP/1.0 200 OK\r\nCSeq: 1\r\nSession: {session:016x}\r\nContent-Length: {length}\r\n\r\n{body}")
        .into()
}

/// Encodes a streamer's message that a session has ended.
pub fn teardown(session: u64) -> Vec<u8> {
    let first = "TEARDOWN rtsp://media/x RTSP/1.0\r\nCSeq: 2\r\n";
    format!("{first}Session: {session:016x}\r\nReason: cause=16\r\nContent-Length: 0\r\n\r\n").into()
}

/// Encodes a streamer's note on a session that plays.
pub fn note(session: u64) -> Vec<u8> {
    let first = "ANNOUNCE rtsp://media/x RTSP/1.0\r\nCSeq: 9\r\n";
    let fields = "Warning-Word: served\r\nX-Reading: 1\r\nContent-Length: 0";
    format!("{first}Session: {session:016x}\r\n{fields}\r\n\r\n").into()
}

/// Reads a whole response of the admin interface. Returns status and body.
pub fn read_http_response(mut stream: TcpStream) -> (u16, String) {
    let mut text = String::new();
    stream.read_to_string(&mut text).expect("an answer");
    let (head, body) = text.split_once("\r\n\r\n").expect("a head");
    (head.split(' ').nth(1).and_then(|s| s.parse().ok()).expect("a status"), body.to_owned())
}

/// Parses the address in a log line.
fn parse_address(line: &str) -> SocketAddr {
    let at = line.split("at: ").nth(1).and_then(|t| t.split(',').next()).expect("an address");
    at.trim().parse().expect("an address")
}
