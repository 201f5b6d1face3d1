//! A streamer: RTSP on one thread, every set-up counted, and ways to fail on command.
use socket2::{Domain, Socket, Type};
use std::collections::BTreeMap;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// How a streamer behaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Mode {
    /// It answers.
    Answers = 0,
    /// Nothing comes from it; new connections never come up.
    Silent = 1,
    /// Its process is gone: connections break, new ones are refused.
    Refuses = 2,
    /// It takes connections and set-ups, and answers none.
    Stalls = 3,
    /// It ends.
    Ends = 4,
}

/// One set-up that came whole.
#[derive(Clone, Debug)]
pub struct SetUp {
    /// When.
    pub at: Instant,
    /// Which session.
    pub session: String,
    /// Its class, as named.
    pub class: String,
    /// The rung it starts at; `None` where the message had none.
    pub rung: Option<usize>,
    /// When the attempt was over here: answered, given up, or its connection closed.
    pub over: Option<Instant>,
    /// The connection that it came on.
    on: usize,
}

/// A scripted streamer.
pub struct Streamer {
    /// Where it listens.
    pub address: SocketAddr,
    set_ups: Arc<Mutex<Vec<SetUp>>>,
    mode: Arc<AtomicU8>,
    thread: Option<JoinHandle<()>>,
}

/// Connections that may wait to be taken, and those that fill the queue of a silent streamer. The system lets
/// one more in than it is told.
const BACKLOG: i32 = 8;
const FILLERS: usize = 12;

fn listen(at: SocketAddr) -> TcpListener {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    socket.set_reuse_address(true).expect("set");
    socket.bind(&at.into()).expect("bound");
    socket.listen(BACKLOG).expect("listens");
    socket.set_nonblocking(true).expect("set");
    socket.into()
}

impl Streamer {
    /// A streamer whose sessions last for `life`.
    pub fn start(life: Duration) -> Streamer {
        let listener = listen("127.0.0.1:0".parse().expect("an address"));
        let address = listener.local_addr().expect("bound");
        let (set_ups, mode) = (Arc::new(Mutex::new(Vec::new())), Arc::new(AtomicU8::new(0)));
        let (book, told) = (Arc::clone(&set_ups), Arc::clone(&mode));
        let thread = thread::spawn(move || serve(listener, address, life, &book, &told));
        Streamer { address, set_ups, mode, thread: Some(thread) }
    }

    /// Changes how it behaves. One that was silent or gone comes back without its sessions.
    pub fn set(&self, mode: Mode) {
        self.mode.store(mode as u8, Ordering::SeqCst);
    }

    /// All set-ups so far.
    pub fn set_ups(&self) -> Vec<SetUp> {
        self.set_ups.lock().expect("held").clone()
    }
}

impl Drop for Streamer {
    fn drop(&mut self) {
        self.set(Mode::Ends);
        let _ = self.thread.take().map(JoinHandle::join);
    }
}

struct Connection {
    stream: TcpStream,
    bytes: Vec<u8>,
}

fn serve(
    listener: TcpListener,
    address: SocketAddr,
    life: Duration,
    book: &Mutex<Vec<SetUp>>,
    told: &AtomicU8,
) {
    let mut listener = Some(listener);
    let mut connections: BTreeMap<usize, Connection> = BTreeMap::new();
    let mut sessions: BTreeMap<String, (Instant, usize)> = BTreeMap::new();
    // Held, and not looked at, for as long as it is silent.
    let mut fillers: Vec<Socket> = Vec::new();
    let (mut next, mut before) = (0, Mode::Answers as u8);
    loop {
        let mode = told.load(Ordering::SeqCst);
        if mode == Mode::Ends as u8 {
            return;
        }
        if mode != before {
            if before == Mode::Silent as u8 || before == Mode::Refuses as u8 {
                // It starts anew: what it held is gone.
                fillers.clear();
                (connections, sessions) = Default::default();
                over(book, |_| true);
                drop(listener.take());
                listener = Some(listen(address));
            }
            if mode == Mode::Refuses as u8 {
                (connections, sessions, listener) = Default::default();
                over(book, |_| true);
            }
            if mode == Mode::Silent as u8 {
                fillers.extend((0..FILLERS).map(|_| filler(address)));
            }
            before = mode;
        }
        thread::sleep(Duration::from_millis(1));
        if mode == Mode::Silent as u8 || mode == Mode::Refuses as u8 {
            continue;
        }
        while let Some(Ok((stream, _))) = listener.as_ref().map(TcpListener::accept) {
            stream.set_nonblocking(true).expect("set");
            connections.insert(next, Connection { stream, bytes: Vec::new() });
            next += 1;
        }
        let mut ended = Vec::new();
        for (number, connection) in &mut connections {
            let mut part = [0; 16_384];
            match connection.stream.read(&mut part) {
                Ok(0) => ended.push(*number),
                Ok(n) => connection.bytes.extend(&part[..n]),
                Err(why) if why.kind() == ErrorKind::WouldBlock => {}
                Err(_) => ended.push(*number),
            }
            while let Some(message) = take(&mut connection.bytes) {
                let answers = mode == Mode::Answers as u8;
                let reply = heard(&message, *number, life, answers, book, &mut sessions);
                let _ = reply.map(|reply| connection.stream.write_all(reply.as_bytes()));
            }
        }
        for number in ended {
            connections.remove(&number);
            over(book, |s| s.on == number);
        }
        if mode == Mode::Answers as u8 {
            let now = Instant::now();
            let over: Vec<String> = sessions.iter().filter(|s| s.1.0 <= now).map(|s| s.0.clone()).collect();
            for session in over {
                let Some((_, on)) = sessions.remove(&session) else { continue };
                let say = format!(
                    "TEARDOWN rtsp://media/x RTSP/1.0\r\nCSeq: 2\r\nSession: {session}\r\n\
                     Reason: cause=16\r\n\
                     Content-Length: 0\r\n\r\n"
                );
                // On the connection of its set-up, or else on any that is open.
                let on =
                    if connections.contains_key(&on) { Some(on) } else { connections.keys().next().copied() };
                let connection = on.and_then(|on| connections.get_mut(&on));
                let _ = connection.map(|c| c.stream.write_all(say.as_bytes()));
            }
        }
    }
}

/// Attempts that are over now, where they were not yet.
fn over(book: &Mutex<Vec<SetUp>>, which: impl Fn(&SetUp) -> bool) {
    let now = Instant::now();
    let mut book = book.lock().expect("held");
    // The latest alone may still be out: attempts are short, and a run is long.
    let recent = book.len().saturating_sub(4_096);
    let out = book[recent..].iter_mut().filter(|s| s.over.is_none() && which(s));
    out.for_each(|s| s.over = Some(now));
}

/// A connection that takes a place in the queue of a listener that takes none.
fn filler(address: SocketAddr) -> Socket {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    socket.set_nonblocking(true).expect("set");
    let _ = socket.connect(&address.into());
    socket
}

/// The next whole message, head and body as text.
fn take(bytes: &mut Vec<u8>) -> Option<String> {
    let head = bytes.windows(4).position(|w| w == b"\r\n\r\n")? + 4;
    let text = String::from_utf8_lossy(&bytes[..head]).to_string();
    let length = field(&text, "Content-Length").and_then(|l| l.parse().ok()).unwrap_or(0);
    if bytes.len() < head + length {
        return None;
    }
    let rest = bytes.split_off(head + length);
    let whole = std::mem::replace(bytes, rest);
    Some(String::from_utf8_lossy(&whole).to_string())
}

fn field(message: &str, name: &str) -> Option<String> {
    let value = |line: &str| line.split_once(": ").filter(|f| f.0 == name).map(|f| f.1.to_owned());
    message.lines().find_map(value)
}

fn heard(
    message: &str,
    on: usize,
    life: Duration,
    answers: bool,
    book: &Mutex<Vec<SetUp>>,
    sessions: &mut BTreeMap<String, (Instant, usize)>,
) -> Option<String> {
    let session = field(message, "Session").unwrap_or_default();
    let number = field(message, "CSeq").unwrap_or_default();
    let ok = |more: &str, body: &str| {
        let length = body.len();
        format!(
            "RTSP/1.0 200 OK\r\nCSeq: {number}\r\nSession: {session}\r\n{more}\
             Content-Length: {length}\r\n\r\n{body}"
        )
    };
    let now = Instant::now();
    match message.split(' ').next()? {
        "SETUP" => {
            let class = field(message, "Priority-Class").unwrap_or_default();
            let rung = field(message, "X-Quality").and_then(|r| r.parse().ok());
            let over = answers.then_some(now);
            book.lock().expect("held").push(SetUp {
                at: now,
                session: session.clone(),
                class,
                rung,
                over,
                on,
            });
            answers.then(|| {
                sessions.insert(session.clone(), (now + life, on));
                ok("", "v=0")
            })
        }
        "TEARDOWN" => {
            sessions.remove(&session);
            over(book, |s| s.session == session);
            answers.then(|| ok("", ""))
        }
        "OPTIONS" => answers.then(|| ok("P-Load: load_share:0.3\r\n", "")),
        _ => None,
    }
}
