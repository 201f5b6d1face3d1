//! The relays that all links of a run go through: one thread, TCP and UDP, each relay from one that is
//! named to another. What is done to a link holds at once, also for connections that are up. It changes no
//! bytes.
mod carry;

use mio::net::{TcpListener, TcpStream, UdpSocket};
use mio::{Events, Interest, Poll, Token};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{Rng, SeedableRng};
use socket2::SockRef;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// Bytes that wait for one direction of a connection before its source is read no more.
const WAITING_MOST: usize = 256 * 1024;
/// What a lost segment costs on a connection: a common retransmission time-out (RFC 6298, section 2).
const RETRANSMIT: Duration = Duration::from_millis(200);
const CHUNK: usize = 16 * 1024;

/// What is done to links.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Damage {
    /// Nothing passes; what is up stays up.
    pub cut: bool,
    /// Connections are reset, datagrams lost.
    pub reset: bool,
    /// Share of datagrams lost; of chunks on connections, delayed.
    pub loss: f64,
    /// What everything takes longer.
    pub delay: Duration,
    /// By how much that varies.
    pub jitter: Duration,
    /// Share of datagrams that comes twice.
    pub twice: f64,
    /// Bytes a second of connections; 0: no limit.
    pub bytes_per_s: f64,
}

/// What a datagram relay knows of a target that may start anew elsewhere.
type Targets = BTreeMap<String, SocketAddr>;

#[derive(Default)]
struct Shared {
    /// By number of the fault: from, to, what.
    damages: Vec<(u64, Vec<String>, Vec<String>, Damage)>,
    targets: Targets,
    /// By where a datagram or connection comes from: who that is.
    sources: HashMap<IpAddr, String>,
    fresh: Vec<Relay>,
    over: bool,
    late: Duration,
    datagrams: u64,
    lost: u64,
}

enum Relay {
    /// Connections to `to`, from `from` or from whoever its address tells.
    Tcp { listener: TcpListener, from: Option<String>, to: String },
    /// Datagrams to `to`.
    Udp { socket: UdpSocket, to: String },
}

/// The relays of a run.
pub struct Relays {
    shared: Arc<Mutex<Shared>>,
    thread: Option<JoinHandle<()>>,
}

impl Relays {
    /// Begins with none. `seed` is for losses and delays.
    pub fn start(seed: u64) -> io::Result<Relays> {
        let shared = Arc::new(Mutex::new(Shared::default()));
        let poll = Poll::new()?;
        let told = Arc::clone(&shared);
        let thread = thread::spawn(move || {
            let dice = ChaCha8Rng::seed_from_u64(seed);
            Engine {
                poll,
                told,
                dice,
                next: 0,
                relays: HashMap::new(),
                pairs: HashMap::new(),
                ends: HashMap::new(),
                held: BTreeMap::new(),
                number: 0,
            }
            .run();
        });
        Ok(Relays { shared, thread: Some(thread) })
    }

    fn with<T>(&self, act: impl FnOnce(&mut Shared) -> T) -> T {
        act(&mut self.shared.lock().unwrap_or_else(|poisoned| poisoned.into_inner()))
    }

    /// Where `to` is, now.
    pub fn target(&self, to: &str, at: SocketAddr) {
        self.with(|s| s.targets.insert(to.to_owned(), at));
    }

    /// Who connects and sends from an address.
    pub fn source(&self, from: &str, ip: IpAddr) {
        self.with(|s| s.sources.insert(ip, from.to_owned()));
    }

    /// A relay for connections to `to`; returns where it listens. Without `from` their address tells it.
    pub fn tcp(&self, from: Option<&str>, to: &str) -> io::Result<SocketAddr> {
        let listener = TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0)))?;
        let at = listener.local_addr()?;
        self.with(|s| {
            s.fresh.push(Relay::Tcp { listener, from: from.map(str::to_owned), to: to.to_owned() })
        });
        Ok(at)
    }

    /// A relay for connections and datagrams to `to` on one port.
    pub fn both(&self, to: &str) -> io::Result<SocketAddr> {
        for _ in 0..64 {
            let listener = TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0)))?;
            let at = listener.local_addr()?;
            let Ok(socket) = UdpSocket::bind(at) else { continue };
            self.with(|s| {
                s.fresh.push(Relay::Tcp { listener, from: None, to: to.to_owned() });
                s.fresh.push(Relay::Udp { socket, to: to.to_owned() });
            });
            return Ok(at);
        }
        Err(io::ErrorKind::AddrInUse.into())
    }

    /// Does something to the links from some to others.
    pub fn damage(&self, number: u64, from: &[String], to: &[String], damage: &Damage) {
        self.with(|s| s.damages.push((number, from.to_vec(), to.to_vec(), damage.clone())));
    }

    /// Ends what was done under a number.
    pub fn mend(&self, number: u64) {
        self.with(|s| s.damages.retain(|d| d.0 != number));
    }

    /// By how much the relays were late at most, and datagrams seen and lost.
    pub fn counts(&self) -> (Duration, u64, u64) {
        self.with(|s| (s.late, s.datagrams, s.lost))
    }
}

impl Drop for Relays {
    fn drop(&mut self) {
        self.with(|s| s.over = true);
        let _ = self.thread.take().map(JoinHandle::join);
    }
}

/// One direction of a connection.
#[derive(Default)]
struct Way {
    waiting: VecDeque<(Instant, Vec<u8>)>,
    bytes: usize,
    ended: bool,
    /// The last release: a connection keeps its order.
    last: Option<Instant>,
    /// Since when a limit of bytes a second counts, and what has passed.
    paced: Option<(Instant, f64)>,
}

struct Pair {
    names: [String; 2],
    streams: [Option<TcpStream>; 2],
    tokens: [usize; 2],
    /// From the one who connected, and to it.
    ways: [Way; 2],
    readable: [bool; 2],
}

struct Engine {
    poll: Poll,
    told: Arc<Mutex<Shared>>,
    dice: ChaCha8Rng,
    next: usize,
    relays: HashMap<usize, Relay>,
    pairs: HashMap<usize, Pair>,
    /// Which pair and side a token is.
    ends: HashMap<usize, (usize, usize)>,
    held: BTreeMap<(Instant, u64), (usize, SocketAddr, Vec<u8>)>,
    number: u64,
}

impl Engine {
    fn token(&mut self) -> usize {
        self.next += 1;
        self.next
    }

    fn chance(&mut self) -> f64 {
        (self.dice.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }

    fn run(mut self) {
        let mut events = Events::with_capacity(1024);
        loop {
            let busy =
                !self.held.is_empty() || self.pairs.values().any(|p| p.ways.iter().any(|w| w.bytes > 0));
            let wait = Duration::from_millis(if busy { 1 } else { 5 });
            let before = Instant::now();
            if self.poll.poll(&mut events, Some(wait)).is_err() {
                continue; // interrupted
            }
            let late = before.elapsed().saturating_sub(wait + Duration::from_millis(1));
            let (fresh, over) = {
                let mut told = self.told.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
                told.late = told.late.max(late);
                (std::mem::take(&mut told.fresh), told.over)
            };
            if over {
                return;
            }
            fresh.into_iter().for_each(|relay| self.begin(relay));
            let ready: Vec<usize> = events.iter().map(|e| e.token().0).collect();
            for token in ready {
                if self.relays.contains_key(&token) {
                    self.relay(token);
                } else if let Some((pair, side)) = self.ends.get(&token).copied()
                    && let Some(p) = self.pairs.get_mut(&pair)
                {
                    p.readable[side] = true;
                }
            }
            self.release();
            let pairs: Vec<usize> = self.pairs.keys().copied().collect();
            pairs.into_iter().for_each(|pair| self.pump(pair));
        }
    }

    fn begin(&mut self, mut relay: Relay) {
        let token = self.token();
        let registered = match &mut relay {
            Relay::Tcp { listener, .. } => {
                self.poll.registry().register(listener, Token(token), Interest::READABLE)
            }
            Relay::Udp { socket, .. } => {
                self.poll.registry().register(socket, Token(token), Interest::READABLE)
            }
        };
        if registered.is_ok() {
            self.relays.insert(token, relay);
        }
    }

    /// All that is done to what goes from one to another, together.
    fn damage(&self, from: &str, to: &str) -> Damage {
        let told = self.told.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        let mut all = Damage::default();
        let names = |list: &[String], name: &str| list.iter().any(|n| n == name);
        for (.., d) in told.damages.iter().filter(|(_, a, b, _)| names(a, from) && names(b, to)) {
            all.cut |= d.cut;
            all.reset |= d.reset;
            all.loss = 1.0 - (1.0 - all.loss) * (1.0 - d.loss);
            all.delay += d.delay;
            all.jitter += d.jitter;
            all.twice = all.twice.max(d.twice);
            if d.bytes_per_s > 0.0 {
                all.bytes_per_s =
                    if all.bytes_per_s > 0.0 { all.bytes_per_s.min(d.bytes_per_s) } else { d.bytes_per_s };
            }
        }
        all
    }

    fn relay(&mut self, token: usize) {
        loop {
            let Some(relay) = self.relays.get(&token) else { return };
            match relay {
                Relay::Tcp { listener, from, to } => {
                    let Ok((stream, peer)) = listener.accept() else { return };
                    let (from, to) = (from.clone(), to.clone());
                    let from = from.or_else(|| self.source(peer.ip())).unwrap_or_default();
                    self.connect(stream, from, to);
                }
                Relay::Udp { socket, to } => {
                    let mut bytes = vec![0; 65_536];
                    let Ok((length, peer)) = socket.recv_from(&mut bytes) else { return };
                    bytes.truncate(length);
                    let to = to.clone();
                    let from = self.source(peer.ip()).unwrap_or_default();
                    self.datagram(token, &from, &to, bytes);
                }
            }
        }
    }

    fn source(&self, ip: IpAddr) -> Option<String> {
        let told = self.told.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        told.sources.get(&ip).cloned()
    }

    fn target(&self, to: &str) -> Option<SocketAddr> {
        let told = self.told.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        told.targets.get(to).copied()
    }

    fn datagram(&mut self, relay: usize, from: &str, to: &str, bytes: Vec<u8>) {
        let damage = self.damage(from, to);
        let lost = damage.cut || damage.reset || (damage.loss > 0.0 && self.chance() < damage.loss);
        {
            let mut told = self.told.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
            told.datagrams += 1;
            told.lost += u64::from(lost);
        }
        let Some(target) = self.target(to).filter(|_| !lost) else { return };
        let copies = if damage.twice > 0.0 && self.chance() < damage.twice { 2 } else { 1 };
        for _ in 0..copies {
            let wait = damage.delay + damage.jitter.mul_f64(self.chance());
            self.number += 1;
            self.held.insert((Instant::now() + wait, self.number), (relay, target, bytes.clone()));
        }
    }

    fn release(&mut self) {
        let now = Instant::now();
        while let Some(entry) = self.held.first_entry().filter(|e| e.key().0 <= now) {
            let (relay, target, bytes) = entry.remove();
            if let Some(Relay::Udp { socket, .. }) = self.relays.get(&relay) {
                let _ = socket.send_to(&bytes, target); // lost, as on any network
            }
        }
    }

    fn connect(&mut self, mut near: TcpStream, from: String, to: String) {
        let damage = self.damage(&from, &to);
        if damage.reset {
            let _ = SockRef::from(&near).set_linger(Some(Duration::ZERO)); // a close is a reset now
            return;
        }
        let Some(target) = self.target(&to) else { return };
        let _ = near.set_nodelay(true);
        let pair = self.token();
        let (a, b) = (self.token(), self.token());
        let both = Interest::READABLE | Interest::WRITABLE;
        if self.poll.registry().register(&mut near, Token(a), both).is_err() {
            return;
        }
        // Through a cut the far side is not reached until it is over: the near one is half open.
        let far = if damage.cut { None } else { self.dial(&from, target, b) };
        if far.is_none() && !damage.cut {
            return; // refused at once
        }
        self.ends.insert(a, (pair, 0));
        self.ends.insert(b, (pair, 1));
        let readable = [true, true];
        let (names, streams, tokens) = ([from, to], [Some(near), far], [a, b]);
        self.pairs.insert(pair, Pair { names, streams, tokens, ways: Default::default(), readable });
    }

    fn pump(&mut self, number: usize) {
        let Some(mut pair) = self.pairs.remove(&number) else { return };
        let there = self.damage(&pair.names[0], &pair.names[1]);
        let back = self.damage(&pair.names[1], &pair.names[0]);
        if there.reset || back.reset {
            for stream in pair.streams.iter().flatten() {
                let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
            }
            return self.forget(&pair);
        }
        if pair.streams[1].is_none() && !there.cut {
            pair.streams[1] =
                self.target(&pair.names[1]).and_then(|to| self.dial(&pair.names[0], to, pair.tokens[1]));
            if pair.streams[1].is_none() {
                return self.forget(&pair);
            }
        }
        let mut alive = true;
        for (side, damage) in [(0, &there), (1, &back)] {
            alive &= self.carry(&mut pair, side, damage);
        }
        let done = |w: &Way| w.ended && w.bytes == 0;
        if !alive || pair.ways.iter().all(done) {
            return self.forget(&pair);
        }
        self.pairs.insert(number, pair);
    }

    fn forget(&mut self, pair: &Pair) {
        for token in pair.tokens {
            self.ends.remove(&token);
        }
    }
}
