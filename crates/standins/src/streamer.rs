//! A streamer: RTSP on one thread, every set-up counted, and ways to fail on command.
use socket2::{Domain, Socket, Type};
use std::collections::BTreeMap;
use std::io::{ErrorKind, Read, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream};
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
    /// It answers, and says each second of all its sessions that it delivers too little.
    Short = 5,
}

/// How a session was over at its streamer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// It came to its end.
    Natural,
    /// A director released it.
    Released,
    /// The streamer's process was gone.
    Gone,
}

/// What a director did to a session.
#[derive(Clone, Debug)]
pub struct Act {
    /// When.
    pub at: Instant,
    /// Which session.
    pub session: String,
    /// From where.
    pub by: IpAddr,
    /// "rung" or "release".
    pub what: &'static str,
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
    /// From where.
    pub by: IpAddr,
    /// It was answered, and stood from then on.
    pub stands: bool,
    /// When it was over after it had stood, and how.
    pub ended: Option<(Instant, End)>,
    /// The connection that it came on.
    on: usize,
}

/// What is written down.
#[derive(Default)]
struct Books {
    set_ups: Vec<SetUp>,
    acts: Vec<Act>,
}

impl Books {
    fn ended(&mut self, session: &str, how: End) {
        let now = Instant::now();
        let of = |s: &&mut SetUp| s.session == session && s.stands && s.ended.is_none();
        self.set_ups.iter_mut().rev().find(of).into_iter().for_each(|s| s.ended = Some((now, how)));
    }

    /// Attempts that are over now, where they were not yet.
    fn over(&mut self, which: impl Fn(&SetUp) -> bool) {
        let now = Instant::now();
        // The latest alone may still be out: attempts are short, and a run is long.
        let recent = self.set_ups.len().saturating_sub(4_096);
        let out = self.set_ups[recent..].iter_mut().filter(|s| s.over.is_none() && which(s));
        out.for_each(|s| s.over = Some(now));
    }
}

/// A scripted streamer.
pub struct Streamer {
    /// Where it listens.
    pub address: SocketAddr,
    books: Arc<Mutex<Books>>,
    mode: Arc<AtomicU8>,
    thread: Option<JoinHandle<()>>,
}

/// Connections that may wait to be taken, and those that fill the queue of a silent streamer. The system lets
/// one more in than it is told.
const BACKLOG: i32 = 8;
const FILLERS: usize = 12;
/// Between notes of short delivery.
const NOTES: Duration = Duration::from_secs(1);

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
        let (books, mode) = (Arc::new(Mutex::new(Books::default())), Arc::new(AtomicU8::new(0)));
        let (book, told) = (Arc::clone(&books), Arc::clone(&mode));
        let thread = thread::spawn(move || serve(listener, address, life, &book, &told));
        Streamer { address, books, mode, thread: Some(thread) }
    }

    /// Changes how it behaves. One that was silent or gone comes back without its sessions.
    pub fn set(&self, mode: Mode) {
        self.mode.store(mode as u8, Ordering::SeqCst);
    }

    /// All set-ups so far.
    pub fn set_ups(&self) -> Vec<SetUp> {
        self.books.lock().expect("held").set_ups.clone()
    }

    /// What directors did to its sessions so far.
    pub fn acts(&self) -> Vec<Act> {
        self.books.lock().expect("held").acts.clone()
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
    by: IpAddr,
    bytes: Vec<u8>,
}

fn serve(listener: TcpListener, address: SocketAddr, life: Duration, book: &Mutex<Books>, told: &AtomicU8) {
    let mut listener = Some(listener);
    let mut connections: BTreeMap<usize, Connection> = BTreeMap::new();
    let mut sessions: BTreeMap<String, (Instant, usize)> = BTreeMap::new();
    // Held, and not looked at, for as long as it is silent.
    let mut fillers: Vec<Socket> = Vec::new();
    let (mut next, mut before) = (0, Mode::Answers as u8);
    let mut told_at = Instant::now();
    loop {
        let mode = told.load(Ordering::SeqCst);
        if mode == Mode::Ends as u8 {
            return;
        }
        if mode != before {
            if before == Mode::Silent as u8 || before == Mode::Refuses as u8 {
                // It starts anew: what it held is gone.
                fillers.clear();
                connections = BTreeMap::new();
                gone(book, &mut sessions);
                drop(listener.take());
                listener = Some(listen(address));
            }
            if mode == Mode::Refuses as u8 {
                (connections, listener) = Default::default();
                gone(book, &mut sessions);
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
            let by = stream.peer_addr().map_or(IpAddr::V4(Ipv4Addr::UNSPECIFIED), |at| at.ip());
            connections.insert(next, Connection { stream, by, bytes: Vec::new() });
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
                let answers = mode == Mode::Answers as u8 || mode == Mode::Short as u8;
                let from = (*number, connection.by);
                let reply = heard(&message, from, life, answers, book, &mut sessions);
                let _ = reply.map(|reply| connection.stream.write_all(reply.as_bytes()));
            }
        }
        for number in ended {
            connections.remove(&number);
            book.lock().expect("held").over(|s| s.on == number);
        }
        if mode == Mode::Answers as u8 || mode == Mode::Short as u8 {
            let now = Instant::now();
            let over: Vec<String> = sessions.iter().filter(|s| s.1.0 <= now).map(|s| s.0.clone()).collect();
            for session in over {
                let Some((_, on)) = sessions.remove(&session) else { continue };
                book.lock().expect("held").ended(&session, End::Natural);
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
            if mode == Mode::Short as u8 && told_at.elapsed() >= NOTES {
                told_at = now;
                for (session, (_, on)) in &sessions {
                    let say = format!(
                        "ANNOUNCE rtsp://media/x RTSP/1.0\r\nCSeq: 4\r\nSession: {session}\r\n\
                         Warning-Word: served\r\nX-Reading: 0.7\r\nContent-Length: 0\r\n\r\n"
                    );
                    let connection = connections.get_mut(on);
                    let _ = connection.map(|c| c.stream.write_all(say.as_bytes()));
                }
            }
        }
    }
}

/// The process is gone, and all that it ran.
fn gone(book: &Mutex<Books>, sessions: &mut BTreeMap<String, (Instant, usize)>) {
    let mut book = book.lock().expect("held");
    book.over(|_| true);
    std::mem::take(sessions).into_keys().for_each(|session| book.ended(&session, End::Gone));
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
    (on, by): (usize, IpAddr),
    life: Duration,
    answers: bool,
    book: &Mutex<Books>,
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
            book.lock().expect("held").set_ups.push(SetUp {
                at: now,
                session: session.clone(),
                class,
                rung,
                over,
                by,
                stands: answers,
                ended: None,
                on,
            });
            answers.then(|| {
                sessions.insert(session.clone(), (now + life, on));
                ok("", "v=0")
            })
        }
        "TEARDOWN" => {
            let mut book = book.lock().expect("held");
            if sessions.remove(&session).is_some() {
                book.ended(&session, End::Released);
            }
            book.over(|s| s.session == session);
            book.acts.push(Act { at: now, session: session.clone(), by, what: "release" });
            answers.then(|| ok("", ""))
        }
        "SET_PARAMETER" => {
            let mut book = book.lock().expect("held");
            book.acts.push(Act { at: now, session: session.clone(), by, what: "rung" });
            None
        }
        "OPTIONS" => answers.then(|| ok("P-Load: load_share:0.3\r\n", "")),
        _ => None,
    }
}
