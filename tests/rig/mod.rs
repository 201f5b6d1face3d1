//! A director as a process, with its streamer, its bulletin and its viewers played by hand. Every wait here ends
//! at something that happens; the time limits are only for what never does.
#![allow(dead_code)]
mod half_written;

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
pub use half_written::{HalfWritten, half_written};

pub const LONG: Duration = Duration::from_secs(30);
/// The state of a connection whose other side has ended, in the kernel's table.
const CLOSE_WAIT: &str = "08";
/// Sets the level of the directors' logs, which a test that fails prints.
const LOG_LEVEL: &str = "STONEWHARF_TEST_LOG";
static NEXT: AtomicU64 = AtomicU64::new(1);

/// A director as a process, with its streamer and its bulletin.
pub struct Rig {
    pub child: Child,
    pub at: SocketAddr,
    /// Where its operators call, if it has a door.
    pub door: Option<SocketAddr>,
    pub log: BufReader<std::process::ChildStderr>,
    pub streamer: Arc<TcpListener>,
    pub bulletin: Arc<TcpListener>,
    pub folder: PathBuf,
}

pub fn listener() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").expect("a port")
}

/// The next connection; fails where none comes.
pub fn accept(listener: &TcpListener) -> TcpStream {
    listener.set_nonblocking(true).expect("set");
    let until = std::time::Instant::now() + LONG;
    loop {
        match listener.accept() {
            Ok((stream, _)) => {
                stream.set_nonblocking(false).expect("set");
                return stream;
            }
            Err(_) if std::time::Instant::now() < until => std::thread::sleep(Duration::from_millis(2)),
            Err(why) => panic!("no connection: {why}"),
        }
    }
}

/// Looks until something holds; fails where it never does.
pub fn until(what: &str, holds: impl Fn() -> bool) {
    let end = std::time::Instant::now() + LONG;
    while !holds() {
        assert!(std::time::Instant::now() < end, "never: {what}");
        std::thread::sleep(Duration::from_millis(2));
    }
}

/// Keeps connections to a listener from coming up until the returned one, which fills its queue, is accepted.
pub fn hold_back(listener: &TcpListener) -> TcpStream {
    socket2::SockRef::from(listener).listen(0).expect("a queue of one");
    TcpStream::connect(listener.local_addr().expect("bound")).expect("queued")
}

pub fn member(id: &str, at: SocketAddr, phase: &str) -> String {
    member_of(id, at, phase, "hall-a", "two-core")
}

/// The same in another hall, of another kind.
pub fn member_of(id: &str, at: SocketAddr, phase: &str, hall: &str, kind: &str) -> String {
    format!(
        r#"{{"id":"{id}","host_port":"{at}","locality":"{hall}","flavor":"{kind}","cell":0,"phase":"{phase}",
        "size":1,"up_since_ms":0}}"#
    )
    .replace('\n', "")
}

impl Rig {
    pub fn start() -> Rig {
        Rig::with(common::SETTINGS_JSON)
    }

    pub fn with(settings: &str) -> Rig {
        How::new(settings).start()
    }

    /// With a door for operators.
    pub fn with_door() -> Rig {
        Rig::with_door_and(common::SETTINGS_JSON)
    }

    pub fn with_door_and(settings: &str) -> Rig {
        How { door: true, ..How::new(settings) }.start()
    }

    /// With a door, on a listening socket that this process holds, as another one before it may do.
    pub fn on(held: &TcpListener, streamer: &Arc<TcpListener>, bulletin: &Arc<TcpListener>) -> Rig {
        let (streamer, bulletin) = (Arc::clone(streamer), Arc::clone(bulletin));
        How { door: true, held: Some(held), streamer, bulletin, ..How::new(common::SETTINGS_JSON) }.start()
    }

    /// Started as the deploy file's `run` says, from the root of the repository, for a deployment with this hall
    /// and kind of streamer.
    pub fn deployed(settings: &str, hall: &str, kind: &str) -> Rig {
        let deploy = std::fs::read_to_string("deploy/balancer.toml").expect("the deploy file");
        let run = deploy.lines().find_map(|l| l.strip_prefix("run = \"exec ")).expect("run ends by exec");
        let run = run.split('"').next().expect("quoted");
        let mut words = run.split(' ').map(str::to_owned);
        assert_eq!(words.next().as_deref(), Some("target/release/stonewharf"));
        How { arguments: words.collect(), hall, kind, ..How::new(settings) }.start()
    }

    /// A call at the door: status and body. The connection ends with the answer.
    pub fn call(&self, method: &str, path: &str) -> (u16, String) {
        let mut stream = TcpStream::connect(self.door.expect("a door")).expect("taken");
        stream.set_read_timeout(Some(LONG)).expect("set");
        write!(stream, "{method} {path} HTTP/1.1\r\nHost: here\r\n\r\n").expect("written");
        answered(stream)
    }

    pub fn viewer(&self) -> TcpStream {
        let stream = TcpStream::connect(self.at).expect("taken");
        stream.set_read_timeout(Some(LONG)).expect("set");
        stream
    }

    pub fn streamer(&self) -> TcpStream {
        let stream = accept(&self.streamer);
        stream.set_read_timeout(Some(LONG)).expect("set");
        stream
    }

    /// Stops the process, and returns once it stands still: all that comes from then on it meets in one turn.
    pub fn stop(&self) {
        self.signal("-STOP");
        let file = format!("/proc/{}/stat", self.child.id());
        let state = || std::fs::read_to_string(&file).expect("it runs");
        until("it stands still", || state().rsplit(')').next().is_some_and(|rest| rest.starts_with(" T")));
    }

    /// Closes a viewer's connection, and returns once the director's machine has its end: the two are on loopback,
    /// but on a busy machine what one side sends may reach the other later.
    pub fn close(&self, viewer: TcpStream) {
        let port = |at: SocketAddr| format!(":{:04X}", at.port());
        let (here, there) = (port(self.at), port(viewer.local_addr().expect("bound")));
        drop(viewer);
        let came = |line: &str| {
            let words: Vec<&str> = line.split_whitespace().collect();
            let at = |index: usize| words.get(index).copied().unwrap_or_default();
            at(1).ends_with(&here) && at(2).ends_with(&there) && at(3) == CLOSE_WAIT
        };
        until("its end came", || {
            std::fs::read_to_string("/proc/net/tcp").expect("it is there").lines().any(came)
        });
    }

    /// Lets a stopped process go on.
    pub fn go_on(&self) {
        self.signal("-CONT");
    }

    /// A figure at the door.
    pub fn figure(&self, name: &str) -> u64 {
        let (_, body) = self.call("GET", "/_vars");
        let of = |line: &str| line.strip_prefix("svc.")?.strip_prefix(name)?.strip_prefix('=')?.parse().ok();
        body.lines().find_map(of).expect("a figure")
    }

    pub fn signal(&self, name: &str) {
        let sent = Command::new("kill").args([name, &self.child.id().to_string()]).status();
        assert!(sent.expect("sent").success());
    }
}

/// How a director is started.
struct How<'a> {
    settings: &'a str,
    arguments: Vec<String>,
    hall: &'a str,
    kind: &'a str,
    held: Option<&'a TcpListener>,
    streamer: Arc<TcpListener>,
    bulletin: Arc<TcpListener>,
    door: bool,
}

impl<'a> How<'a> {
    fn new(settings: &'a str) -> Self {
        let (streamer, bulletin) = (Arc::new(listener()), Arc::new(listener()));
        let (hall, kind, arguments) = ("hall-a", "two-core", Vec::new());
        How { settings, arguments, hall, kind, held: None, streamer, bulletin, door: false }
    }

    fn start(self) -> Rig {
        let How { settings, arguments, hall, kind, held, streamer, bulletin, door } = self;
        let folder = std::env::temp_dir().join(format!(
            "stonewharf-test-{}-{}",
            std::process::id(),
            NEXT.fetch_add(1, Ordering::Relaxed)
        ));
        std::fs::create_dir_all(&folder).expect("a folder");
        let members = member_of("s-1", streamer.local_addr().expect("bound"), "in_service", hall, kind);
        let listen = held.map_or("127.0.0.1:0".into(), |h| h.local_addr().expect("bound").to_string());
        let config = format!(
            r#"{{"name":"n0","listen":"{listen}","seed":"8c1f30d27a5be964",
            "limits":{{"cores":1.0,"memory_mb":192,"sockets":128}},"bulletin":"{}",
            "known":{{"no":1,"items":[{{"no":1,"roster":{{"revision":1,"complete":true,"members":[{members}]}}}}]}},
            "settings":{settings}}}"#,
            bulletin.local_addr().expect("bound")
        );
        let file = folder.join("config.json");
        std::fs::write(&file, config).expect("written");
        let mut command = Command::new(env!("CARGO_BIN_EXE_stonewharf"));
        command.args(arguments).env("LB_CONFIG", &file).stderr(Stdio::piped());
        if let Ok(level) = std::env::var(LOG_LEVEL) {
            command.args(["serve", "--log-level", &level]);
        }
        if door {
            command.env("LB_ADMIN_ADDR", "127.0.0.1:0");
        }
        if let Some(held) = held {
            // Handed down under its own number.
            rustix::io::fcntl_setfd(held, rustix::io::FdFlags::empty()).expect("handed down");
            command.env("LB_INHERITED_FD", held.as_raw_fd().to_string());
            // The processes share a folder.
            let shared = std::env::temp_dir().join(format!(
                "stonewharf-held-{}-{}",
                std::process::id(),
                held.as_raw_fd()
            ));
            std::fs::create_dir_all(&shared).expect("a folder");
            command.env("TMPDIR", shared);
        }
        let mut child = command.spawn().expect("started");
        let mut log = BufReader::new(child.stderr.take().expect("piped"));
        let door = door.then(|| address(&next_line(&mut log, "operators call")));
        let at = address(&next_line(&mut log, "serves"));
        Rig { child, at, door, log, streamer, bulletin, folder }
    }
}

impl Drop for Rig {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        if std::thread::panicking() {
            let mut rest = Vec::new();
            let _ = self.log.read_to_end(&mut rest);
            println!("the director's log, what the test had not read:\n{}", String::from_utf8_lossy(&rest));
        }
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

pub fn next_line(log: &mut impl BufRead, with: &str) -> String {
    let mut line = String::new();
    while log.read_line(&mut line).expect("readable") > 0 {
        if line.contains(with) {
            return line;
        }
        line.clear();
    }
    panic!("no line with {with:?}");
}

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

pub fn set_up(session: u64, class: &str) -> Vec<u8> {
    let figures = b"home:0;copies:1;top:1;viewer:00000000b4d65521";
    message(
        1,
        session,
        &[(16, class.as_bytes()), (19, b"20000"), (28, b"7f3a"), (31, figures), (61, b"offer")],
    )
}

/// A viewer that reads nothing for now, and whose machine keeps little for it.
pub fn deaf_viewer(at: SocketAddr) -> TcpStream {
    use socket2::{Domain, Socket, Type};
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    socket.set_recv_buffer_size(4_096).expect("set");
    socket.connect(&at.into()).expect("taken");
    socket.set_read_timeout(Some(LONG)).expect("set");
    socket.into()
}

/// The next message to a viewer: type, session, parameters.
pub fn hear(stream: &mut TcpStream) -> (u8, u64, Vec<u8>) {
    let mut length = [0; 2];
    stream.read_exact(&mut length).expect("a message");
    let mut body = vec![0; usize::from(u16::from_be_bytes(length))];
    stream.read_exact(&mut body).expect("a whole message");
    let session = u64::from_be_bytes(body[1..9].try_into().expect("eight bytes"));
    (body[0], session, body[9..].to_vec())
}

/// The next message to a streamer, as text.
pub fn read_rtsp(stream: &mut TcpStream) -> String {
    let mut bytes = Vec::new();
    let mut one = [0];
    let length = loop {
        stream.read_exact(&mut one).expect("a message");
        bytes.push(one[0]);
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

pub fn stands(session: u64, body: &str) -> Vec<u8> {
    let length = body.len();
    format!("RTSP/1.0 200 OK\r\nCSeq: 1\r\nSession: {session:016x}\r\nContent-Length: {length}\r\n\r\n{body}")
        .into()
}

pub fn over(session: u64) -> Vec<u8> {
    let first = "TEARDOWN rtsp://media/x RTSP/1.0\r\nCSeq: 2\r\n";
    format!("{first}Session: {session:016x}\r\nReason: cause=16\r\nContent-Length: 0\r\n\r\n").into()
}

/// The answer at the door, whole.
pub fn answered(mut stream: TcpStream) -> (u16, String) {
    let mut text = String::new();
    stream.read_to_string(&mut text).expect("an answer");
    let (head, body) = text.split_once("\r\n\r\n").expect("a head");
    (head.split(' ').nth(1).and_then(|s| s.parse().ok()).expect("a status"), body.to_owned())
}

fn address(line: &str) -> SocketAddr {
    let at = line.split("at: ").nth(1).and_then(|t| t.split(',').next()).expect("an address");
    at.trim().parse().expect("an address")
}
