//! A stand-in streamer that follows the protocol page. What it answers may be spoilt on its way by a `Spoiler`,
//! which stands for the network between it and the director.
use crate::base::Record;
use std::collections::{BTreeMap, BTreeSet};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// What becomes of the bytes of an answer that a session stands.
pub enum Passage {
    /// They arrive as they are.
    Whole,
    /// These arrive in their place.
    Spoilt(Vec<u8>),
    /// They arrive so much later.
    Late(Duration),
    /// The streamer is full (453).
    Full,
    /// Empty lines arrive in their place, and keep coming for so long.
    EmptyLines(Duration),
}

/// Decides what becomes of the answer to a set-up: streamer, session, and the bytes.
pub type Spoiler = Arc<dyn Fn(&str, u64, &[u8]) -> Passage + Send + Sync>;

/// How a streamer works.
#[derive(Clone)]
pub struct Habits {
    /// How long a set-up takes: the least, and how much more, in milliseconds.
    pub set_up_ms: (u64, u64),
    /// How long a session plays, by its id.
    pub plays: Arc<dyn Fn(u64) -> Duration + Send + Sync>,
    pub spoiler: Spoiler,
}

/// A connection from the director.
struct Link {
    stream: Option<TcpStream>,
    open: bool,
    /// Nothing reaches the director on it any more.
    useless: bool,
}

impl Link {
    /// Writes a message to the director; one on a useless connection is lost on the way.
    fn write(&mut self, bytes: &[u8]) {
        if let Some(stream) = self.stream.as_mut().filter(|_| self.open && !self.useless) {
            let _ = stream.write_all(bytes);
        }
    }
}

/// A session from its set-up on.
pub struct Session {
    pub description: Vec<u8>,
    link: usize,
    pub stands: bool,
    /// When it came to its end, and whether the director has released it.
    pub ended: Option<Instant>,
    pub released_by_director: bool,
}

#[derive(Default)]
struct State {
    links: Vec<Link>,
    sessions: BTreeMap<u64, Session>,
    /// Releases that are repeated on the next connection that is opened.
    repeat: Vec<Vec<u8>>,
    /// Ports of this stand-in's own connections, which fill the queue.
    own: BTreeSet<u16>,
    /// The network resets this link as the streamer writes its next release on it.
    reset: Option<usize>,
}

/// A streamer.
#[derive(Clone)]
pub struct Streamer {
    pub name: String,
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
    /// New connections come up late while this is set.
    late: Arc<AtomicBool>,
}

unsafe extern "C" {
    fn listen(socket: i32, backlog: i32) -> i32;
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const Linger, length: u32) -> i32;
}

struct Message {
    first: String,
    session: u64,
    cseq: String,
    reason: Option<String>,
    body: usize,
}

fn read_message(lines: &mut BufReader<TcpStream>) -> Option<Message> {
    let mut message =
        Message { first: String::new(), session: 0, cseq: String::new(), reason: None, body: 0 };
    if lines.read_line(&mut message.first).ok()? == 0 {
        return None;
    }
    loop {
        let mut line = String::new();
        if lines.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let Some((name, value)) = line.trim().split_once(": ") else { break };
        match name {
            "Session" => message.session = u64::from_str_radix(value, 16).ok()?,
            "CSeq" => message.cseq = value.to_owned(),
            "Reason" => message.reason = Some(value.to_owned()),
            "Content-Length" => message.body = value.parse().ok()?,
            _ => {}
        }
    }
    let mut body = vec![0; message.body];
    lines.read_exact(&mut body).ok()?;
    message.first = message.first.trim().to_owned();
    Some(message)
}

#[repr(C)]
struct Linger {
    on: i32,
    seconds: i32,
}

/// Has a connection reset by its last close.
fn reset_at_close(stream: &TcpStream) {
    let linger = Linger { on: 1, seconds: 0 };
    // SAFETY: SOL_SOCKET (1) and SO_LINGER (13) take such a value, which lives long enough.
    unsafe { setsockopt(stream.as_raw_fd(), 1, 13, &linger, 8) };
    let _ = stream.shutdown(Shutdown::Read); // its reader ends, and closes its side of it
}

fn release(session: u64) -> Vec<u8> {
    format!(
        "TEARDOWN rtsp://media/session RTSP/1.0\r\nCSeq: 7\r\nSession: {session:016x}\r\nReason: cause=16\r\nContent-Length: 0\r\n\r\n"
    )
    .into_bytes()
}

impl Streamer {
    /// Starts a streamer on a free port.
    pub fn start(name: &str, habits: Habits, record: Record) -> Streamer {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("bound");
        let streamer =
            Streamer { name: name.to_owned(), address, state: Arc::default(), late: Arc::default() };
        let serving = streamer.clone();
        // SAFETY: the descriptor is that of a listening socket. A queue of one, so that it can be full.
        unsafe { listen(listener.as_raw_fd(), 0) };
        listener.set_nonblocking(true).expect("set");
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(1));
                if serving.late.load(Ordering::Acquire) {
                    continue;
                }
                let Ok((stream, from)) = listener.accept() else { continue };
                if serving.state.lock().unwrap().own.remove(&from.port()) {
                    continue;
                }
                let _ = stream.set_nonblocking(false);
                let (streamer, habits, record) = (serving.clone(), habits.clone(), record.clone());
                let _ = stream.set_nodelay(true);
                let link = streamer.add_link(&stream, &record);
                thread::spawn(move || streamer.serve(stream, link, &habits, &record));
            }
        });
        streamer
    }

    fn add_link(&self, stream: &TcpStream, record: &Record) -> usize {
        let mut state = self.state.lock().unwrap();
        let stream = stream.try_clone().expect("a clone");
        let mut link = Link { stream: Some(stream), open: true, useless: false };
        let number = state.links.len();
        record.say(format!("{} link {number} opened", self.name));
        for bytes in state.repeat.drain(..) {
            record.say(format!("{} link {number} -> release again", self.name));
            link.write(&bytes);
        }
        state.links.push(link);
        number
    }

    fn serve(&self, stream: TcpStream, link: usize, habits: &Habits, record: &Record) {
        let mut lines = BufReader::new(stream);
        while let Some(message) = read_message(&mut lines) {
            let Message { session, cseq, .. } = &message;
            let method = message.first.split(' ').next().unwrap_or_default().to_owned();
            if method != "OPTIONS" {
                record.say(format!("{} link {link} <- {method} {session:016x}", self.name));
            }
            match method.as_str() {
                "SETUP" => self.set_up(*session, link, habits, record),
                "TEARDOWN" => {
                    let answer = format!(
                        "RTSP/1.0 200 OK\r\nCSeq: {cseq}\r\nSession: {session:016x}\r\nContent-Length: 0\r\n\r\n"
                    );
                    let mut state = self.state.lock().unwrap();
                    if let Some(of) = state.sessions.get_mut(session).filter(|s| s.ended.is_none()) {
                        // Of a set-up: it is given up. Of a session that stands: it is cut.
                        (of.ended, of.released_by_director) = (Some(Instant::now()), true);
                    }
                    state.links[link].write(answer.as_bytes());
                }
                "OPTIONS" => {
                    let answer = format!(
                        "RTSP/1.0 200 OK\r\nCSeq: {cseq}\r\nSession: {session:016x}\r\nP-Load: util:0.20;x1:0.20\r\nContent-Length: 0\r\n\r\n"
                    );
                    self.state.lock().unwrap().links[link].write(answer.as_bytes());
                }
                _ => {}
            }
        }
        let mut state = self.state.lock().unwrap();
        state.links[link].open = false;
        if let Some(stream) = &state.links[link].stream {
            let _ = stream.shutdown(Shutdown::Both);
        }
        // Set-ups that are open on it are given up; sessions that stand go on.
        for of in state.sessions.values_mut().filter(|s| s.link == link && !s.stands && s.ended.is_none()) {
            of.ended = Some(Instant::now());
        }
        record.say(format!("{} link {link} closed by the director", self.name));
    }

    fn set_up(&self, id: u64, link: usize, habits: &Habits, record: &Record) {
        let description =
            format!("v=0\r\no={}\r\ns={id:016x}\r\nc=IN IP4 127.0.0.1\r\n", self.name).into_bytes();
        let session = Session { description, link, stands: false, ended: None, released_by_director: false };
        self.state.lock().unwrap().sessions.insert(id, session);
        let (least, more) = habits.set_up_ms;
        let takes = Duration::from_millis(least + id.wrapping_mul(0x9e37_79b9_7f4a_7c15) % (more + 1));
        let (streamer, habits, record) = (self.clone(), habits.clone(), record.clone());
        thread::spawn(move || {
            thread::sleep(takes);
            if streamer.establish(id, &habits, &record) {
                thread::sleep((habits.plays)(id));
                streamer.end(id, &record);
            }
        });
    }

    /// Answers a set-up, unless it was given up.
    fn establish(&self, id: u64, habits: &Habits, record: &Record) -> bool {
        let mut state = self.state.lock().unwrap();
        let Some(session) = state.sessions.get_mut(&id).filter(|s| s.ended.is_none()) else { return false };
        session.stands = true;
        let (link, body) = (session.link, session.description.clone());
        let head = format!(
            "RTSP/1.0 200 OK\r\nCSeq: 1\r\nSession: {id:016x}\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        let whole = [head.into_bytes(), body].concat();
        match (habits.spoiler)(&self.name, id, &whole) {
            Passage::Whole => {
                record.say(format!("{} link {link} -> 200 {id:016x}", self.name));
                state.links[link].write(&whole);
            }
            Passage::Spoilt(bytes) => {
                let shown = String::from_utf8_lossy(&bytes).replace("\r\n", " | ");
                record.say(format!("{} link {link} -> 200 {id:016x}, spoilt on its way: {shown}", self.name));
                state.links[link].write(&bytes);
            }
            Passage::Full => {
                state.sessions.entry(id).and_modify(|s| (s.stands, s.ended) = (false, Some(Instant::now())));
                record.say(format!("{} link {link} -> 453 {id:016x}", self.name));
                let line = format!(
                    "RTSP/1.0 453 Full\r\nCSeq: 1\r\nSession: {id:016x}\r\nContent-Length: 0\r\n\r\n"
                );
                state.links[link].write(line.as_bytes());
                return false;
            }
            Passage::EmptyLines(span) => {
                record.say(format!(
                    "{} link {link} -> 200 {id:016x}, spoilt: empty lines that keep coming",
                    self.name
                ));
                state.links[link].useless = true;
                let Some(mut stream) = state.links[link].stream.as_ref().and_then(|s| s.try_clone().ok())
                else {
                    return true;
                };
                let (name, record) = (self.name.clone(), record.clone());
                thread::spawn(move || {
                    let (until, lines) = (Instant::now() + span, b"\r\n".repeat(16 * 1024));
                    let mut sent = 0;
                    while Instant::now() < until && stream.write_all(&lines).is_ok() {
                        sent += lines.len();
                    }
                    record.say(format!("{name} link {link}: {} MB of empty lines were sent", sent >> 20));
                });
            }
            Passage::Late(by) => {
                record.say(format!("{} link {link} -> 200 {id:016x}, late by {by:?}", self.name));
                let (streamer, record) = (self.clone(), record.clone());
                thread::spawn(move || {
                    thread::sleep(by);
                    record.say(format!("{} link {link}: the late 200 {id:016x} arrives", streamer.name));
                    streamer.state.lock().unwrap().links[link].write(&whole);
                });
            }
        }
        true
    }

    /// A session that still plays comes to its end: released on the connection of its set-up, or else on any
    /// open one, and on the next one that is opened.
    fn end(&self, id: u64, record: &Record) {
        let mut state = self.state.lock().unwrap();
        let Some(session) = state.sessions.get_mut(&id).filter(|s| s.ended.is_none()) else { return };
        session.ended = Some(Instant::now());
        let own = session.link;
        let open = if state.links[own].open { Some(own) } else { state.links.iter().position(|l| l.open) };
        let bytes = release(id);
        if let Some(link) = open {
            let lost = if state.links[link].useless { ", lost on its way" } else { "" };
            record.say(format!("{} link {link} -> release {id:016x}{lost}", self.name));
            if state.reset.take_if(|due| *due == link).is_some() {
                record
                    .say(format!("{} link {link} is reset with it; new ones come up 0.9 s late", self.name));
                self.late_for(Duration::from_millis(900), &mut state);
                state.links[link].open = false;
                state.links[link].stream.take().iter().for_each(reset_at_close);
            } else {
                state.links[link].write(&bytes);
            }
        }
        state.repeat.push(bytes);
    }

    /// From now on, for a time, new connections to it come up late: its queue is full.
    fn late_for(&self, time: Duration, state: &mut State) {
        self.late.store(true, Ordering::Release);
        if let Ok(own) = TcpStream::connect(self.address) {
            state.own.insert(own.local_addr().expect("bound").port());
            let late = Arc::clone(&self.late);
            thread::spawn(move || {
                thread::sleep(time);
                late.store(false, Ordering::Release);
                drop(own);
            });
        }
    }

    /// Resets a link at the next release that the streamer writes on it.
    pub fn reset_at_release(&self, link: usize) {
        self.state.lock().unwrap().reset = Some(link);
    }

    /// The number of links that are open, and that were ever.
    pub fn links(&self) -> (usize, usize) {
        let state = self.state.lock().unwrap();
        (state.links.iter().filter(|l| l.open).count(), state.links.len())
    }

    /// The sessions that stand.
    pub fn standing(&self) -> Vec<u64> {
        let state = self.state.lock().unwrap();
        let standing = state.sessions.iter().filter(|(_, s)| s.stands && s.ended.is_none());
        standing.map(|(id, _)| *id).collect()
    }

    /// Looks at a session.
    pub fn session<T>(&self, id: u64, look: impl FnOnce(&Session) -> T) -> Option<T> {
        self.state.lock().unwrap().sessions.get(&id).map(look)
    }
}
