//! Clients of one run: each has one connection at a time, asks on it for as long as it is open, and comes again at
//! once. What they send and hear is written down; some of them misbehave by the run's dice.
use super::plan::Dice;
use std::collections::BTreeMap;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const STEP: Duration = Duration::from_millis(2);
/// Longer deadlines are stated by the settings alone, so that a run comes to its end.
pub const LONGEST_WAIT_MS: u64 = 2_500;

/// Where directors take clients now, each with the number of its process; none while it is away.
pub type Directors = Arc<Mutex<Vec<Option<(SocketAddr, usize)>>>>;

/// What all clients of a run share.
#[derive(Clone)]
pub struct World {
    pub directors: Directors,
    pub ids: Arc<AtomicU64>,
    pub stop: Arc<AtomicBool>,
    pub classes: Vec<&'static str>,
    pub deadline: Duration,
}

/// A message that a client heard of a session.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Heard {
    Served(String),
    /// Refused, failed or released.
    Ended,
    Moved,
}

/// One request, and all that was heard of it.
#[derive(Clone, Debug)]
pub struct Asked {
    pub id: u64,
    /// The process that it was sent to.
    pub process: usize,
    pub wait: Duration,
    /// When its last byte was written.
    pub at: Instant,
    /// When its client gave it up, or closed its connection.
    pub left: Option<Instant>,
    /// When its connection was ended by the director.
    pub ended: Option<Instant>,
    pub heard: Vec<(Instant, Heard)>,
}

/// What one client wrote down.
#[derive(Default)]
pub struct Book {
    pub asked: BTreeMap<u64, Asked>,
    /// What it heard of other clients' sessions, whose connections are gone.
    pub others: Vec<(u64, Instant, Heard)>,
}

/// How a connection is used.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Manner {
    Plain,
    /// Requests are written in pieces.
    Pieces,
    /// Requests are given up early.
    Impatient,
    /// It is closed or reset right behind a request.
    Rude,
    /// Something unreadable comes behind its requests.
    Garbles,
}

struct Client {
    world: World,
    dice: Dice,
    stream: TcpStream,
    process: usize,
    manner: Manner,
    bytes: Vec<u8>,
    /// Requests of this connection, by id.
    mine: Vec<u64>,
    /// Its own side has ended, so far as it will write anything.
    silent: bool,
}

/// Plays one client until the run stops, and as long as answers may still come.
pub fn play(world: World, mut dice: Dice, extra: Duration) -> Book {
    let mut records = Book::default();
    while !world.stop.load(Ordering::SeqCst) {
        let at = world.directors.lock().expect("held").clone();
        let first = dice.from(0, at.len() as u64 - 1) as usize;
        let found = (0..at.len()).find_map(|i| at[(first + i) % at.len()]);
        let Some((address, process)) = found else {
            std::thread::sleep(STEP);
            continue;
        };
        let Ok(stream) = TcpStream::connect_timeout(&address, Duration::from_millis(200)) else {
            std::thread::sleep(STEP);
            continue;
        };
        let _ = (stream.set_nodelay(true), stream.set_read_timeout(Some(STEP)));
        let manner = match dice.from(1, 10) {
            1 | 2 => Manner::Pieces,
            3 => Manner::Impatient,
            4 => Manner::Rude,
            5 => Manner::Garbles,
            _ => Manner::Plain,
        };
        let dice = Dice::new(dice.from(0, u64::MAX - 1), 0);
        let world = world.clone();
        let (bytes, mine) = Default::default();
        Client { world, dice, stream, process, manner, bytes, mine, silent: false }.run(&mut records, extra);
    }
    records
}

impl Client {
    fn run(mut self, records: &mut Book, extra: Duration) {
        let most = self.dice.from(1, 60);
        let mut next = Instant::now();
        let mut stopped = None;
        loop {
            if self.world.stop.load(Ordering::SeqCst) {
                stopped.get_or_insert_with(Instant::now);
            }
            if stopped.is_some_and(|at: Instant| at.elapsed() > extra) {
                self.over(records, false);
                return;
            }
            if !self.hear(records) {
                return;
            }
            let may_ask = stopped.is_none() && !self.silent && (self.mine.len() as u64) < most;
            if may_ask && next <= Instant::now() {
                next = Instant::now() + self.dice.millis(2, 60);
                if !self.ask(records) {
                    return;
                }
            }
            if self.mine.len() as u64 >= most && self.rests(records) {
                let quiet = self.dice.one_in(200);
                if quiet {
                    return; // nothing is open and nothing stands: closed in order
                }
            }
        }
    }

    /// Whether nothing of this connection is open or stands.
    fn rests(&self, records: &Book) -> bool {
        self.mine.iter().all(|id| {
            let heard = records.asked.get(id).map(|asked| asked.heard.as_slice()).unwrap_or_default();
            matches!(heard.last(), Some((_, Heard::Ended | Heard::Moved)))
        })
    }

    /// Sends one request; false when the connection is over.
    fn ask(&mut self, records: &mut Book) -> bool {
        let id = self.world.ids.fetch_add(1, Ordering::Relaxed);
        let most = (self.world.deadline.as_millis() as u64).min(LONGEST_WAIT_MS);
        let wait = self.dice.millis(most / 4, most);
        let class = self.world.classes[self.dice.from(0, self.world.classes.len() as u64 - 1) as usize];
        let message = set_up(id, class, wait, self.dice.one_in(8));
        if !self.write(&message) {
            return self.over(records, true);
        }
        let process = self.process;
        let asked =
            Asked { id, process, wait, at: Instant::now(), left: None, ended: None, heard: Vec::new() };
        records.asked.insert(id, asked);
        self.mine.push(id);
        match self.manner {
            Manner::Impatient if self.dice.one_in(3) => {
                std::thread::sleep(self.dice.millis(0, 40));
                let given_up = message_of(12, id, &[(58, &[16])]);
                records.asked.entry(id).and_modify(|asked| asked.left = Some(Instant::now()));
                self.write(&given_up) || self.over(records, true)
            }
            Manner::Rude if self.dice.one_in(8) => {
                if self.dice.one_in(2) {
                    let _ = socket2::SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
                }
                self.over(records, false)
            }
            Manner::Garbles if self.dice.one_in(12) => {
                self.silent = true;
                self.write(&[0, 2, 7, 7]) || self.over(records, true)
            }
            _ => true,
        }
    }

    fn write(&mut self, message: &[u8]) -> bool {
        if self.manner != Manner::Pieces {
            return self.stream.write_all(message).is_ok();
        }
        let mut rest = message;
        while !rest.is_empty() {
            let length = self.dice.from(1, rest.len() as u64) as usize;
            if self.stream.write_all(&rest[..length]).is_err() {
                return false;
            }
            rest = &rest[length..];
            if !rest.is_empty() {
                std::thread::sleep(self.dice.millis(0, 25));
            }
        }
        true
    }

    /// The connection is over: by the director, or by this client, which leaves what is open on it.
    fn over(&mut self, records: &mut Book, by_director: bool) -> bool {
        let now = Instant::now();
        for id in &self.mine {
            let Some(asked) = records.asked.get_mut(id) else { continue };
            if by_director {
                asked.ended.get_or_insert(now);
            } else {
                asked.left.get_or_insert(now);
            }
        }
        false
    }

    /// Hears what has come; false when the connection is over.
    fn hear(&mut self, records: &mut Book) -> bool {
        let mut part = [0; 4_096];
        let ended = loop {
            match self.stream.read(&mut part) {
                Ok(0) => break true,
                Ok(length) => self.bytes.extend(&part[..length]),
                Err(why) if matches!(why.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => break false,
                Err(why) if why.kind() == ErrorKind::Interrupted => {}
                Err(_) => break true,
            }
        };
        self.take_messages(records);
        !ended || self.over(records, true)
    }

    fn take_messages(&mut self, records: &mut Book) {
        while let Some(length) = self.bytes.first_chunk::<2>().map(|l| usize::from(u16::from_be_bytes(*l))) {
            assert!(length >= 9, "a director's message of {length} bytes");
            if self.bytes.len() < 2 + length {
                break;
            }
            let body: Vec<u8> = self.bytes.drain(..2 + length).skip(2).collect();
            let id = u64::from_be_bytes(body[1..9].try_into().expect("eight bytes"));
            let heard = match body[0] {
                9 => Heard::Served(String::from_utf8_lossy(body.get(12..).unwrap_or_default()).into()),
                12 => Heard::Ended,
                51 => Heard::Moved,
                _ => continue,
            };
            match records.asked.get_mut(&id) {
                Some(asked) => asked.heard.push((Instant::now(), heard)),
                None => records.others.push((id, Instant::now(), heard)),
            }
        }
    }
}

fn set_up(id: u64, class: &str, wait: Duration, again: bool) -> Vec<u8> {
    let title = format!("{:016x}", id % 7);
    let again = if again { ";again:1" } else { "" };
    let figures = format!("home:0;copies:1;top:1;viewer:{id:016x}{again}");
    let wait = wait.as_millis().to_string();
    let parameters: [(u8, &[u8]); 5] = [
        (16, class.as_bytes()),
        (19, wait.as_bytes()),
        (28, title.as_bytes()),
        (31, figures.as_bytes()),
        (61, b"offer"),
    ];
    message_of(1, id, &parameters)
}

fn message_of(kind: u8, id: u64, parameters: &[(u8, &[u8])]) -> Vec<u8> {
    let mut body = vec![kind];
    body.extend(id.to_be_bytes());
    for (code, value) in parameters {
        body.push(*code);
        body.extend((value.len() as u16).to_be_bytes());
        body.extend(*value);
    }
    [&(body.len() as u16).to_be_bytes()[..], &body].concat()
}
