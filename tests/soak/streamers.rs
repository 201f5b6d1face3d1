//! Streamers that misbehave by the run's dice, and write down what came to them and what they made of it.
use super::plan::Dice;
use std::collections::BTreeMap;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

const STEP: Duration = Duration::from_millis(1);

/// What a streamer is told to do.
#[derive(Default)]
pub struct Orders {
    pub hang: AtomicBool,
    pub away: AtomicBool,
    pub ends: AtomicBool,
}

/// What came to a streamer for one session, and what it made of it.
#[derive(Clone, Debug, Default)]
pub struct Seen {
    /// When set-ups for it came whole, as far as the streamer was reading.
    pub set_ups: Vec<Instant>,
    /// Descriptions that it answered with.
    pub made: Vec<String>,
    /// When the release of a session that stood had been written.
    pub released: Option<Instant>,
}

pub type Records = BTreeMap<u64, Seen>;

pub struct Streamer {
    /// Where each director reaches it, so that it knows whose a connection is.
    pub at: Vec<SocketAddr>,
    pub orders: Arc<Orders>,
    thread: JoinHandle<Records>,
}

impl Streamer {
    pub fn start(mut dice: Dice, directors: usize) -> Streamer {
        let listeners: Vec<TcpListener> =
            (0..directors).map(|_| TcpListener::bind("127.0.0.1:0").expect("a port")).collect();
        let at: Vec<SocketAddr> = listeners.iter().map(|l| l.local_addr().expect("bound")).collect();
        let orders = Arc::new(Orders::default());
        let told = Arc::clone(&orders);
        let run = Run::new(at.clone(), listeners);
        let thread = thread::spawn(move || run.run(&told, &mut dice));
        Streamer { at, orders, thread }
    }

    pub fn end(self) -> Records {
        self.orders.ends.store(true, Ordering::SeqCst);
        self.thread.join().expect("it ran")
    }
}

struct Connection {
    /// Which director it comes from.
    director: usize,
    stream: TcpStream,
    bytes: Vec<u8>,
    out: Vec<Due>,
    gone: bool,
}

/// Bytes that are written when their time has come; none: the connection is cut then.
struct Due {
    at: Instant,
    bytes: Vec<u8>,
    /// The session that they release.
    releases: Option<u64>,
}

impl Connection {
    fn say(&mut self, at: Instant, bytes: Vec<u8>) {
        self.out.push(Due { at, bytes, releases: None });
    }
}

struct Standing {
    director: usize,
    on: usize,
    until: Instant,
}

struct Run {
    at: Vec<SocketAddr>,
    listeners: Vec<TcpListener>,
    connections: BTreeMap<usize, Connection>,
    next: usize,
    standing: BTreeMap<u64, Standing>,
    /// Releases, each with its director, until the next connection from there: they are said on it, too.
    said: Vec<(usize, u64)>,
    records: Records,
}

impl Run {
    fn new(at: Vec<SocketAddr>, listeners: Vec<TcpListener>) -> Run {
        listeners.iter().for_each(|listener| listener.set_nonblocking(true).expect("set"));
        let (connections, standing, said, records) = Default::default();
        Run { at, listeners, connections, next: 0, standing, said, records }
    }

    fn run(mut self, told: &Orders, dice: &mut Dice) -> Records {
        while !told.ends.load(Ordering::SeqCst) {
            thread::sleep(STEP);
            if told.away.load(Ordering::SeqCst) {
                self.die();
                continue;
            }
            if self.listeners.is_empty() {
                self.listen();
            }
            if told.hang.load(Ordering::SeqCst) {
                continue;
            }
            self.accept();
            self.read(dice);
            self.end_sessions();
            self.write();
        }
        self.records
    }

    /// The process dies: its connections are reset and its sessions cut.
    fn die(&mut self) {
        self.listeners.clear();
        for connection in std::mem::take(&mut self.connections).into_values() {
            let _ = socket2::SockRef::from(&connection.stream).set_linger(Some(Duration::ZERO));
        }
        self.standing.clear();
        self.said.clear();
    }

    /// Listens at its addresses again. One may be taken for a moment by an outgoing connection: tried again then.
    fn listen(&mut self) {
        for at in &self.at {
            let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None);
            let socket = socket.expect("a socket");
            socket.set_reuse_address(true).expect("set");
            if socket.bind(&(*at).into()).is_err() || socket.listen(128).is_err() {
                return self.listeners.clear();
            }
            socket.set_nonblocking(true).expect("set");
            self.listeners.push(socket.into());
        }
    }

    fn accept(&mut self) {
        for (director, listener) in self.listeners.iter().enumerate() {
            while let Ok((stream, _)) = listener.accept() {
                stream.set_nonblocking(true).expect("set");
                stream.set_nodelay(true).expect("set");
                let (bytes, out) = Default::default();
                let mut connection = Connection { director, stream, bytes, out, gone: false };
                for (_, session) in self.said.extract_if(.., |said| said.0 == director) {
                    connection.say(Instant::now(), release(session));
                }
                self.connections.insert(self.next, connection);
                self.next += 1;
            }
        }
    }

    fn read(&mut self, dice: &mut Dice) {
        let numbers: Vec<usize> = self.connections.keys().copied().collect();
        for number in numbers {
            let Some(connection) = self.connections.get_mut(&number) else { continue };
            let mut part = [0; 16_384];
            match connection.stream.read(&mut part) {
                Ok(0) => connection.gone = true,
                Ok(length) => connection.bytes.extend(&part[..length]),
                Err(why) if why.kind() == ErrorKind::WouldBlock => {}
                Err(_) => connection.gone = true,
            }
            while let Some(message) = self.connections.get_mut(&number).and_then(|c| take(&mut c.bytes)) {
                self.heard(number, &message, dice);
            }
        }
        self.connections.retain(|_, connection| !connection.gone);
    }

    fn heard(&mut self, number: usize, message: &str, dice: &mut Dice) {
        let now = Instant::now();
        let session = field(message, "Session").and_then(|id| u64::from_str_radix(&id, 16).ok()).unwrap_or(0);
        if message.starts_with("TEARDOWN") {
            self.standing.remove(&session);
        }
        if !message.starts_with("SETUP") {
            return;
        }
        let record = self.records.entry(session).or_default();
        record.set_ups.push(now);
        let made = format!("made:{session:016x}:{}:{}", self.at[0].port(), record.set_ups.len());
        let Some(connection) = self.connections.get_mut(&number) else { return };
        let slowest = if dice.one_in(6) { 900 } else { 20 };
        let at = now + dice.millis(0, slowest);
        let answer = reply(200, session, &made);
        match dice.from(1, 24) {
            1 => connection.say(at, reply(453, session, "")),
            2 => connection.say(at, reply(500, session, "")),
            3 => {} // it never answers
            4 => cut(connection, at, &answer, dice),
            5 => {
                let _ = socket2::SockRef::from(&connection.stream).set_linger(Some(Duration::ZERO));
                connection.gone = true;
            }
            throw => {
                if throw == 6 {
                    connection.say(at + dice.millis(0, 30), answer.clone()); // a second one
                }
                if throw == 7 {
                    connection.say(at, b"SPOILT\r\n\r\n".to_vec());
                    return;
                }
                let (first, rest) = answer.split_at(dice.from(1, answer.len() as u64 - 1) as usize);
                connection.say(at, first.to_vec());
                connection.say(at, rest.to_vec());
                record.made.push(made);
                let lasts = if dice.one_in(4) { dice.millis(1, 30) } else { dice.millis(300, 4_000) };
                let director = connection.director;
                self.standing.insert(session, Standing { director, on: number, until: at + lasts });
            }
        }
    }

    /// Sessions that come to their end are released on the connection of their set-up, or else on any.
    fn end_sessions(&mut self) {
        let now = Instant::now();
        let over: Vec<u64> = self.standing.iter().filter(|s| s.1.until <= now).map(|s| *s.0).collect();
        for session in over {
            let Some(Standing { director, on, .. }) = self.standing.get(&session) else { continue };
            let own = self.connections.contains_key(on).then_some(*on);
            let other = || Some(*self.connections.iter().find(|c| c.1.director == *director)?.0);
            let Some(on) = own.or_else(other) else { continue };
            let Some(connection) = self.connections.get_mut(&on) else { continue };
            connection.out.push(Due { at: now, bytes: release(session), releases: Some(session) });
            self.standing.remove(&session);
        }
    }

    fn write(&mut self) {
        let now = Instant::now();
        for (number, connection) in &mut self.connections {
            connection.out.sort_by_key(|due| due.at);
            while connection.out.first().is_some_and(|due| due.at <= now) && !connection.gone {
                let Due { bytes, releases, .. } = connection.out.remove(0);
                connection.gone = bytes.is_empty() || connection.stream.write_all(&bytes).is_err();
                let Some(session) = releases else { continue };
                if connection.gone {
                    let director = connection.director;
                    let standing = Standing { director, on: *number, until: now };
                    self.standing.insert(session, standing); // said again on another
                } else {
                    self.records.entry(session).or_default().released = Some(now);
                    self.said.push((connection.director, session));
                }
            }
        }
        self.connections.retain(|_, connection| !connection.gone);
    }
}

/// An answer that is cut at any byte, with its connection.
fn cut(connection: &mut Connection, at: Instant, answer: &[u8], dice: &mut Dice) {
    let length = dice.from(1, answer.len() as u64 - 1) as usize;
    connection.say(at, answer[..length].to_vec());
    connection.say(at, Vec::new());
}

fn release(session: u64) -> Vec<u8> {
    let first = "TEARDOWN rtsp://media/x RTSP/1.0\r\nCSeq: 2\r\n";
    format!("{first}Session: {session:016x}\r\nReason: cause=16\r\nContent-Length: 0\r\n\r\n").into()
}

fn reply(code: u16, session: u64, body: &str) -> Vec<u8> {
    let length = body.len();
    format!(
        "RTSP/1.0 {code} x\r\nCSeq: 1\r\nSession: {session:016x}\r\nContent-Length: {length}\r\n\r\n{body}"
    )
    .into()
}

/// The next whole message, head and body as text.
fn take(bytes: &mut Vec<u8>) -> Option<String> {
    let head = bytes.windows(4).position(|w| w == b"\r\n\r\n")? + 4;
    let text = String::from_utf8_lossy(&bytes[..head]).to_string();
    let length: usize = field(&text, "Content-Length").and_then(|l| l.parse().ok()).unwrap_or(0);
    if bytes.len() < head + length {
        return None;
    }
    let rest = bytes.split_off(head + length);
    Some(String::from_utf8_lossy(&std::mem::replace(bytes, rest)).to_string())
}

fn field(message: &str, name: &str) -> Option<String> {
    message.lines().find_map(|line| line.split_once(": ").filter(|f| f.0 == name).map(|f| f.1.to_owned()))
}

/// Discovery: numbered events, told to whoever asks for those after a number; silent or down when told so.
pub struct Discovery {
    pub at: SocketAddr,
    pub down: Arc<AtomicBool>,
    pub silent: Arc<AtomicBool>,
    events: Arc<Mutex<Vec<(u64, String)>>>,
}

impl Discovery {
    pub fn start() -> Discovery {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let at = listener.local_addr().expect("bound");
        let events: Arc<Mutex<Vec<(u64, String)>>> = Arc::default();
        let (down, silent): (Arc<AtomicBool>, Arc<AtomicBool>) = Default::default();
        let (told, is_down, is_silent) = (Arc::clone(&events), Arc::clone(&down), Arc::clone(&silent));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (told, down, silent) = (Arc::clone(&told), Arc::clone(&is_down), Arc::clone(&is_silent));
                thread::spawn(move || tell(stream, &told, &down, &silent));
            }
        });
        Discovery { at, down, silent, events }
    }

    /// Adds an event with these members, and returns its number.
    pub fn event(&self, members: &str) -> u64 {
        let mut events = self.events.lock().expect("held");
        let no = events.len() as u64 + 2; // the configuration holds the first
        let text =
            format!(r#"{{"no":{no},"roster":{{"revision":{no},"complete":false,"members":[{members}]}}}}"#);
        events.push((no, text));
        no
    }
}

fn tell(mut stream: TcpStream, told: &Mutex<Vec<(u64, String)>>, down: &AtomicBool, silent: &AtomicBool) {
    let mut asked = Vec::new();
    let mut byte = [0];
    while asked.last() != Some(&b'\n') {
        match stream.read(&mut byte) {
            Ok(1) => asked.push(byte[0]),
            _ => return,
        }
    }
    let asked = String::from_utf8_lossy(&asked).to_string();
    let mut after: u64 = asked.trim().trim_start_matches("after ").parse().unwrap_or(1);
    while !down.load(Ordering::SeqCst) {
        if !silent.load(Ordering::SeqCst) {
            let news = told.lock().expect("held").clone();
            let last = after;
            for (no, text) in news.into_iter().filter(|event| event.0 > last) {
                if writeln!(stream, "{text}").is_err() {
                    return;
                }
                after = no;
            }
            if writeln!(stream, "{after}").is_err() {
                return;
            }
        }
        thread::sleep(Duration::from_millis(100));
    }
}
