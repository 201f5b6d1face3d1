//! The viewers of a run: one crowd a director, at a steady pace, each request by the platform's binary
//! messages. Those turned away come again after the time they were told. Every answer that comes is written
//! down.
use crate::history::{Asked, Final, Told};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// How long a viewer waits for its answer.
pub const DEADLINE: Duration = Duration::from_millis(1_500);
/// How long a crowd waits for what is owed, after it has stopped asking.
const OWED: Duration = Duration::from_secs(4);
/// Between tries to reach a director.
const RETRY: Duration = Duration::from_millis(100);
/// A viewer whose director is gone comes again after so long at least, and so much more by its number.
const AGAIN_MS: (u64, u64) = (50, 3_000);
/// One in so many viewers whose session plays comes again all the same when its director is gone.
const IMPATIENT: u64 = 3;

/// The Unix time, microseconds.
pub fn unix_us() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_micros() as u64
}

/// What all crowds of a run share.
#[derive(Clone)]
pub struct Crowds {
    /// Where each director takes viewers, while it runs.
    pub at: Arc<Mutex<Vec<Option<SocketAddr>>>>,
    ids: Arc<AtomicU64>,
    stop: Arc<AtomicBool>,
}

impl Crowds {
    /// For so many directors.
    pub fn new(directors: usize, seed: u64) -> Crowds {
        Crowds {
            at: Arc::new(Mutex::new(vec![None; directors])),
            ids: Arc::new(AtomicU64::new((seed << 40) | 1)),
            stop: Arc::default(),
        }
    }

    /// No more requests from here on.
    pub fn stop(&self) {
        self.stop.store(true, Ordering::SeqCst);
    }

    /// Begins one crowd: so many requests a second, at a director first and at the next where that is gone.
    pub fn begin(&self, director: usize, per_s: f64) -> JoinHandle<(Vec<Asked>, Vec<Told>)> {
        let crowds = self.clone();
        thread::spawn(move || Crowd::new(crowds, director, per_s).run())
    }
}

struct Crowd {
    crowds: Crowds,
    home: usize,
    gap: Duration,
    stream: Option<(TcpStream, usize)>,
    bytes: Vec<u8>,
    asked: Vec<Asked>,
    /// What was heard of the end of sessions.
    told: Vec<Told>,
    open: BTreeMap<u64, usize>,
    /// Sessions that stand: who watches, and whether it is paid.
    standing: BTreeMap<u64, (u64, bool)>,
    /// Sessions that were answered and not released, also those of a director that is gone.
    stood: BTreeSet<u64>,
    /// Viewers that come again: when, whether they want what is paid, and who.
    again: VecDeque<(Instant, bool, u64)>,
    next: Instant,
}

impl Crowd {
    fn new(crowds: Crowds, home: usize, per_s: f64) -> Crowd {
        let gap = Duration::from_secs_f64(1.0 / per_s.max(0.001));
        Crowd {
            crowds,
            home,
            gap,
            stream: None,
            bytes: Vec::new(),
            asked: Vec::new(),
            told: Vec::new(),
            open: BTreeMap::new(),
            standing: BTreeMap::new(),
            stood: BTreeSet::new(),
            again: VecDeque::new(),
            next: Instant::now(),
        }
    }

    fn run(mut self) -> (Vec<Asked>, Vec<Told>) {
        let mut stopped = None;
        loop {
            if self.crowds.stop.load(Ordering::SeqCst) {
                stopped.get_or_insert_with(Instant::now);
            }
            if stopped.is_some_and(|at| self.open.is_empty() || at.elapsed() > OWED) {
                return (self.asked, self.told);
            }
            self.go_home();
            if self.stream.is_none() && !self.connect() {
                self.next = self.next.max(Instant::now());
                thread::sleep(RETRY);
                continue;
            }
            if stopped.is_none() {
                self.ask_due();
            }
            self.hear();
        }
    }

    /// Leaves the director that stood in once the crowd's own takes viewers again, and nothing is owed: else
    /// a director that was restarted would never be asked again.
    fn go_home(&mut self) {
        let away = self.stream.as_ref().is_some_and(|(_, at)| *at != self.home);
        if away && self.open.is_empty() {
            let at = self.crowds.at.lock().unwrap_or_else(|p| p.into_inner());
            if at.get(self.home).copied().flatten().is_some() {
                self.stream = None; // what it has standing there plays on
            }
        }
    }

    /// Connects to the crowd's director, else to the next one that takes viewers.
    fn connect(&mut self) -> bool {
        let at = self.crowds.at.lock().unwrap_or_else(|p| p.into_inner()).clone();
        for i in 0..at.len() {
            let director = (self.home + i) % at.len();
            let Some(address) = at[director] else { continue };
            if let Ok(stream) = TcpStream::connect_timeout(&address, Duration::from_millis(200))
                && stream.set_nodelay(true).is_ok()
                && stream.set_read_timeout(Some(Duration::from_millis(2))).is_ok()
            {
                self.bytes.clear();
                self.stream = Some((stream, director));
                return true;
            }
        }
        false
    }

    fn ask_due(&mut self) {
        let now = Instant::now();
        while self.next <= now {
            self.next += self.gap;
            let id = self.crowds.ids.fetch_add(1, Ordering::Relaxed);
            self.ask(id, id.is_multiple_of(3), false, id);
        }
        while self.again.front().is_some_and(|a| a.0 <= now) {
            let Some((_, paid, viewer)) = self.again.pop_front() else { break };
            let id = self.crowds.ids.fetch_add(1, Ordering::Relaxed);
            self.ask(id, paid, true, viewer);
        }
    }

    fn ask(&mut self, id: u64, paid: bool, again: bool, viewer: u64) {
        let Some((stream, director)) = &mut self.stream else { return };
        let sent = stream.write_all(&message(id, if paid { "replay" } else { "seat-view" }, again, viewer));
        if sent.is_err() {
            return self.broke();
        }
        let (director, at) = (*director, unix_us());
        self.open.insert(id, self.asked.len());
        let (id, viewer) = (format!("{id:016x}"), format!("{viewer:016x}"));
        self.asked.push(Asked { id, viewer, paid, director, at, finals: Vec::new(), broke_at: None });
    }

    /// The connection is gone: what is open on it has no answer to come.
    fn broke(&mut self) {
        self.stream = None;
        let now = unix_us();
        for (_, index) in std::mem::take(&mut self.open) {
            let asked = &mut self.asked[index];
            asked.broke_at = Some(now);
            let viewer = u64::from_str_radix(&asked.viewer, 16).unwrap_or(0);
            let paid = asked.paid;
            self.comes_again(paid, viewer);
        }
        for (id, (viewer, paid)) in std::mem::take(&mut self.standing) {
            if (id / 3).is_multiple_of(IMPATIENT) {
                self.comes_again(paid, viewer);
            }
        }
        self.again.make_contiguous().sort_by_key(|a| a.0);
    }

    fn comes_again(&mut self, paid: bool, viewer: u64) {
        let wait = AGAIN_MS.0 + viewer.wrapping_mul(7_919) % AGAIN_MS.1;
        self.again.push_back((Instant::now() + Duration::from_millis(wait), paid, viewer));
    }

    fn hear(&mut self) {
        let Some((stream, _)) = &mut self.stream else { return };
        let mut part = [0; 4096];
        match stream.read(&mut part) {
            Ok(0) => return self.broke(),
            Ok(n) => self.bytes.extend(&part[..n]),
            Err(why) if matches!(why.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
            Err(why) if why.kind() == ErrorKind::Interrupted => {}
            Err(_) => return self.broke(),
        }
        while let Some(length) = self.bytes.first_chunk::<2>().map(|l| usize::from(u16::from_be_bytes(*l))) {
            if self.bytes.len() < 2 + length || length < 9 {
                break;
            }
            let body: Vec<u8> = self.bytes.drain(..2 + length).skip(2).collect();
            self.heard(&body);
        }
    }

    fn heard(&mut self, body: &[u8]) {
        let Some(id) = body.get(1..9).and_then(|b| b.try_into().ok()).map(u64::from_be_bytes) else { return };
        let (cause, hold_off) = parameters(body.get(9..).unwrap_or_default());
        let end = match body[0] {
            9 => Final::Served,
            12 if matches!(cause, Some(34 | 42 | 102)) => Final::Refused,
            12 => Final::Failed,
            _ => return,
        };
        if end != Final::Served && !self.open.contains_key(&id) {
            self.told.push(Told { id: format!("{id:016x}"), at: unix_us() });
            self.standing.remove(&id);
            if self.stood.remove(&id) {
                return; // it stood, and is over
            }
        }
        // A second answer to what is closed belongs to the same request: it is written down as such.
        let index = self.open.remove(&id).or_else(|| {
            let text = format!("{id:016x}");
            self.asked.iter().rposition(|a| a.id == text)
        });
        let Some(index) = index else { return };
        self.asked[index].finals.push((unix_us(), end));
        let viewer = u64::from_str_radix(&self.asked[index].viewer, 16).unwrap_or(0);
        if end == Final::Served {
            self.standing.insert(id, (viewer, self.asked[index].paid));
            self.stood.insert(id);
        }
        if end == Final::Refused {
            let wait = Duration::from_millis(hold_off.unwrap_or(500).clamp(50, 10_000));
            self.again.push_back((Instant::now() + wait, self.asked[index].paid, viewer));
            self.again.make_contiguous().sort_by_key(|a| a.0);
        }
    }
}

/// The cause of a release, and the time to stay away.
fn parameters(mut bytes: &[u8]) -> (Option<u8>, Option<u64>) {
    let (mut cause, mut hold_off) = (None, None);
    while let Some((head, rest)) = bytes.split_first_chunk::<3>() {
        let length = usize::from(u16::from_be_bytes([head[1], head[2]]));
        let value = rest.get(..length).unwrap_or_default();
        match head[0] {
            58 => cause = value.first().copied(),
            34 => hold_off = std::str::from_utf8(value).ok().and_then(|t| t.parse().ok()),
            _ => {}
        }
        bytes = rest.get(length..).unwrap_or_default();
    }
    (cause, hold_off)
}

fn message(id: u64, class: &str, again: bool, viewer: u64) -> Vec<u8> {
    let title = format!("{:016x}", viewer % 7);
    let again = if again { ";again:1" } else { "" };
    let figures = format!("home:0;copies:1;top:1;viewer:{viewer:016x}{again}");
    let wait = DEADLINE.as_millis().to_string();
    let parameters: [(u8, &[u8]); 5] = [
        (16, class.as_bytes()),
        (19, wait.as_bytes()),
        (28, title.as_bytes()),
        (31, figures.as_bytes()),
        (61, b"offer"),
    ];
    let mut body = vec![1];
    body.extend(id.to_be_bytes());
    for (code, value) in parameters {
        body.push(code);
        body.extend((value.len() as u16).to_be_bytes());
        body.extend(value);
    }
    [&(body.len() as u16).to_be_bytes()[..], &body].concat()
}
