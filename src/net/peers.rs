//! The peers' side: one UDP socket and one listener on the address of the block `fleet`, and links to few
//! peers at a time. Reads and writes what the fleet says; what a peer does costs bounded memory and a bounded
//! part of a turn. Exists only where the fleet is on. Decides nothing.
mod frame;

use super::component::{Component, Ready};
use super::connection::{Connection, ReadOutcome};
use super::poll::{Registered, Token};
use super::shared::{Deadline, Shared};
use crate::director::Director;
use crate::interface::Micros;
use frame::FrameDecoder;
use slog::{Logger, debug, info, warn};
use socket2::{Domain, Protocol, Socket, Type};
use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::net::{IpAddr, SocketAddr, SocketAddrV4, TcpListener, UdpSocket};
use stonewharf_fleet::{DATAGRAM_MOST, Deed, FRAME_MOST, Fleet, Life, News, Phase, Refused, Reply, View};

/// Datagrams taken in one turn at most: a flood on this port leaves the turn to viewers.
const DATAGRAMS_MOST: usize = 256;
/// Frames taken from one link in one turn at most.
const FRAMES_MOST: usize = 64;
/// Links that come in, and that go out, at most.
const LINKS_MOST: usize = 16;
/// Connections taken in one turn at most.
const ACCEPT_MOST: usize = 16;
/// What may wait for one peer, bytes.
const QUEUE_MOST: usize = 2 * FRAME_MOST;
/// A link must be up by then.
const DIAL_US: Micros = 500_000;
/// A link on which nothing whole came or went for so long is closed; a peer that trickles is none the better.
const IDLE_US: Micros = 5_000_000;
/// A link that broke is not dialled again before: half of it is chance.
const REDIAL_US: Micros = 1_000_000;
/// A director that nobody asked for anything is taken to serve after so long.
const SERVES_US: Micros = 1_000_000;
/// Members that a line of the log lists at most.
const LISTED_MOST: usize = 64;
/// Refused messages are logged so far apart at least.
const COMPLAIN_US: Micros = 10_000_000;

/// Descriptors that this part may hold.
pub const DESCRIPTORS: usize = 2 + 2 * LINKS_MOST;

/// A link: in or out, with what waits for it.
struct Link {
    line: Connection,
    /// Where it leads; `None` for one that came in.
    to: Option<SocketAddrV4>,
    up: bool,
    queue: VecDeque<(Vec<u8>, bool)>,
    queued: usize,
    /// When something whole last came or went.
    used_at: Micros,
}

/// What was refused, by reason, and what was dropped.
#[derive(Default)]
struct Refusals {
    by: BTreeMap<Refused, u64>,
    dropped: u64,
    told_at: Micros,
    told: u64,
}

/// What came in for another part.
pub enum Handed {
    /// A word of another director, by name.
    Word(String, Vec<u8>),
    /// A person's order, and the link to answer on.
    Order(Token, Vec<u8>),
}

/// The sockets of the fleet.
pub struct Peers {
    fleet: Fleet,
    socket: Registered<UdpSocket>,
    listener: Registered<TcpListener>,
    own: IpAddr,
    links: BTreeMap<Token, Link>,
    /// Where no link goes before a time.
    broken: BTreeMap<SocketAddrV4, Micros>,
    refusals: Refusals,
    handed: Vec<Handed>,
    began: Micros,
    told_version: Option<u64>,
    /// The deadline that is set.
    due_at: Micros,
}

impl Peers {
    /// Listens for peers.
    pub fn listen(shared: &mut Shared, at: SocketAddrV4, fleet: Fleet) -> io::Result<Peers> {
        let at = SocketAddr::V4(at);
        let socket = Socket::new(Domain::IPV4, Type::STREAM, Some(Protocol::TCP))?;
        socket.set_reuse_address(true)?;
        socket.set_nonblocking(true)?;
        socket.bind(&at.into())?;
        socket.listen(ACCEPT_MOST as i32)?;
        let listener = TcpListener::from(socket);
        let at = listener.local_addr()?; // with the port that was chosen, where none was stated
        let socket = UdpSocket::bind(at)?;
        socket.set_nonblocking(true)?;
        let listener = shared.poll.register(listener, false)?;
        let socket = shared.poll.register(socket, false)?;
        let me = fleet.me();
        info!(shared.log, "listens for peers"; "peers_at" => %at, "member" => &*me.name,
            "incarnation" => me.incarnation, "at_us" => shared.now);
        let now = shared.now;
        let mut peers = Peers {
            fleet,
            socket,
            listener,
            own: at.ip(),
            links: BTreeMap::new(),
            broken: BTreeMap::new(),
            refusals: Refusals::default(),
            handed: Vec::new(),
            began: now,
            told_version: None,
            due_at: Micros::MAX,
        };
        peers.schedule(shared);
        Ok(peers)
    }

    /// What came in for another part since the last call.
    pub fn handed(&mut self) -> Vec<Handed> {
        std::mem::take(&mut self.handed)
    }

    /// Sends words of another part to directors by name.
    pub fn post(&mut self, shared: &mut Shared, words: Vec<(String, Vec<u8>)>) {
        if !words.is_empty() {
            words.iter().for_each(|(name, bytes)| self.fleet.post(shared.now, name, bytes));
            self.carry_out(shared);
        }
    }

    /// Answers a person's order, where the link is still there.
    pub fn ordered(&mut self, shared: &mut Shared, token: Token, json: &str) {
        if self.links.contains_key(&token) {
            let frame = self.fleet.ordered(shared.now, json);
            self.queue(shared, token, frame, false);
            self.pump(shared, token);
        }
    }

    /// A word that was handed on can't be read.
    pub fn unreadable(&mut self) {
        self.refused(Some(Refused::Unreadable));
    }

    /// What this director sees of the others.
    pub fn view(&self, shared: &Shared) -> View {
        self.fleet.view(shared.now)
    }

    /// Counts the changes of that view.
    pub fn version(&self) -> u64 {
        self.fleet.version()
    }

    /// This director, as it presents itself.
    pub fn me(&self) -> &Life {
        self.fleet.me()
    }

    /// This director is asked for sessions: it serves.
    pub fn serves(&mut self, now: Micros) {
        if self.fleet.me().phase == Phase::Starting {
            self.fleet.phase(now, Phase::Serving);
        }
    }

    /// It was asked to end.
    pub fn leaving(&mut self, now: Micros) {
        self.fleet.phase(now, Phase::Leaving);
    }

    /// Other settings are in force.
    pub fn digest(&mut self, now: Micros, digest: u64) {
        self.fleet.digest(now, digest);
    }

    /// Says goodbye; what that takes is sent at once.
    pub fn leave(&mut self, shared: &mut Shared) {
        self.fleet.leave(shared.now);
        self.carry_out(shared);
    }

    fn schedule(&mut self, shared: &mut Shared) {
        let next = self.fleet.next();
        if next < self.due_at {
            self.due_at = next;
            shared.deadlines.set(next, Deadline::Fleet);
        }
    }

    // ---- What comes in ------------------------------------------------------------------------------------

    fn datagrams(&mut self, shared: &mut Shared) {
        let mut bytes = [0; DATAGRAM_MOST + 1];
        for _ in 0..DATAGRAMS_MOST {
            match self.socket.source().recv_from(&mut bytes) {
                Ok((length, _)) => {
                    let heard = self.fleet.hear(shared.now, bytes.get(..length).unwrap_or_default());
                    self.refused(heard.err());
                }
                Err(why) if why.kind() == io::ErrorKind::WouldBlock => return,
                // A peer that is not there answers a datagram by an error on the next call.
                Err(why) => debug!(shared.log, "a datagram could not be taken: {why}"),
            }
        }
    }

    fn refused(&mut self, why: Option<Refused>) {
        if let Some(why) = why {
            *self.refusals.by.entry(why).or_default() += 1;
        }
    }

    fn accept(&mut self, shared: &mut Shared) {
        for _ in 0..ACCEPT_MOST {
            let stream = match self.listener.source().accept() {
                Ok((stream, _)) => stream,
                Err(_) => return, // none waits, or none can be taken now; the poller tells again
            };
            let incoming = self.links.values().filter(|l| l.to.is_none());
            if incoming.clone().count() >= LINKS_MOST {
                // The one that was of no use for the longest makes room.
                let oldest = incoming.min_by_key(|l| l.used_at).map(|l| l.line.token());
                oldest.into_iter().for_each(|token| self.close(shared, token));
            }
            if let Ok(line) = Connection::accepted(&mut shared.poll, stream) {
                self.take(shared, line, None);
            }
        }
    }

    fn take(&mut self, shared: &mut Shared, line: Connection, to: Option<SocketAddrV4>) -> Token {
        let token = line.token();
        let (up, queue) = (to.is_none(), VecDeque::new());
        self.links.insert(token, Link { line, to, up, queue, queued: 0, used_at: shared.now });
        shared.schedule(if up { IDLE_US } else { DIAL_US }, Deadline::PeerConnection(token));
        token
    }

    fn close(&mut self, shared: &mut Shared, token: Token) {
        let Some(link) = self.links.remove(&token) else { return };
        if let Some(to) = link.to.filter(|_| !link.up || !link.queue.is_empty()) {
            // Jitter from the number of the link: peers must not come again in step.
            let wait = REDIAL_US / 2 + (token as Micros * 7_919) % REDIAL_US;
            self.broken.insert(to, shared.now.saturating_add(wait));
        }
    }

    fn exchange(&mut self, shared: &mut Shared, Ready { token, readable, writable }: Ready) {
        let Some(link) = self.links.get_mut(&token) else { return };
        if !link.up {
            if !writable {
                return;
            }
            if link.line.connect_result().is_err() {
                return self.close(shared, token);
            }
            link.up = true;
            shared.schedule(IDLE_US, Deadline::PeerConnection(token));
        }
        if readable {
            let got = link.line.read();
            let (frames, bad) = link.line.take_messages(&mut FrameDecoder);
            if !frames.is_empty() {
                link.used_at = shared.now;
            }
            let many = frames.len() > FRAMES_MOST;
            for frame in frames.into_iter().take(FRAMES_MOST) {
                match self.fleet.hear_frame(shared.now, &frame) {
                    Ok(Reply::Frame(answer)) => self.queue(shared, token, answer, false),
                    Ok(Reply::Order(order)) => self.handed.push(Handed::Order(token, order)),
                    Ok(Reply::None) => {}
                    Err(why) => {
                        self.refused(Some(why));
                        return self.close(shared, token);
                    }
                }
            }
            if bad.is_some() || many {
                self.refused(Some(Refused::Unreadable));
                return self.close(shared, token);
            }
            if !matches!(got, Ok(ReadOutcome::Open)) {
                return self.close(shared, token);
            }
        }
        self.pump(shared, token);
    }

    // ---- What goes out ------------------------------------------------------------------------------------

    fn carry_out(&mut self, shared: &mut Shared) {
        for deed in self.fleet.take() {
            match deed {
                Deed::Send(to, bytes) => {
                    if self.socket.source().send_to(&bytes, SocketAddr::V4(to)).is_err() {
                        self.refusals.dropped += 1; // as if it were lost under way
                    }
                }
                Deed::Link { to, frame, replaceable } => self.link(shared, to, frame, replaceable),
                Deed::Hand(from, bytes) => self.handed.push(Handed::Word(from, bytes)),
                Deed::Tell(news) => tell(&shared.log, shared.now, &news),
            }
        }
    }

    fn link(&mut self, shared: &mut Shared, to: SocketAddrV4, frame: Vec<u8>, replaceable: bool) {
        let known = self.links.iter().find(|(_, l)| l.to == Some(to)).map(|(t, _)| *t);
        let token = match known {
            Some(token) => token,
            None => {
                self.broken.retain(|_, until| *until > shared.now);
                let outgoing = self.links.values().filter(|l| l.to.is_some()).count();
                if self.broken.contains_key(&to) || outgoing >= LINKS_MOST {
                    self.refusals.dropped += 1;
                    return;
                }
                match Connection::connect_from(&mut shared.poll, Some(self.own), SocketAddr::V4(to)) {
                    Ok(line) => self.take(shared, line, Some(to)),
                    Err(why) => return debug!(shared.log, "no link to a peer: {why}"; "to" => %to),
                }
            }
        };
        self.queue(shared, token, frame, replaceable);
        self.pump(shared, token);
    }

    /// Queues a frame for a link. Too much for one peer: what a later frame replaces goes first, the oldest
    /// ahead; where nothing can be replaced, the link goes.
    fn queue(&mut self, shared: &mut Shared, token: Token, frame: Vec<u8>, replaceable: bool) {
        let Some(link) = self.links.get_mut(&token) else { return };
        link.queued += frame.len();
        link.queue.push_back((frame, replaceable));
        while link.queued + link.line.unwritten_len() > QUEUE_MOST {
            let oldest = link.queue.iter().position(|(_, replaceable)| *replaceable);
            let Some((dropped, _)) = oldest.and_then(|at| link.queue.remove(at)) else {
                self.refusals.dropped += link.queue.len() as u64;
                info!(shared.log, "a peer does not read, link closed"; "at_us" => shared.now);
                return self.close(shared, token);
            };
            link.queued -= dropped.len();
            self.refusals.dropped += 1;
        }
    }

    fn pump(&mut self, shared: &mut Shared, token: Token) {
        let Some(link) = self.links.get_mut(&token) else { return };
        if !link.up {
            return;
        }
        loop {
            match link.line.write() {
                Ok(false) => return,
                Ok(true) => {}
                Err(_) => return self.close(shared, token),
            }
            let Some((frame, _)) = link.queue.pop_front() else { return };
            link.queued -= frame.len();
            link.used_at = shared.now;
            link.line.queue(&(frame.len() as u32).to_be_bytes());
            link.line.queue(&frame);
        }
    }

    fn look(&mut self, shared: &mut Shared, token: Token) {
        let Some(link) = self.links.get(&token) else { return };
        if !link.up || link.used_at.saturating_add(IDLE_US) <= shared.now {
            return self.close(shared, token);
        }
        shared.deadlines.set(link.used_at.saturating_add(IDLE_US), Deadline::PeerConnection(token));
    }

    /// Logs the view where it has changed, and now and then what was refused.
    fn tell_view(&mut self, shared: &Shared) {
        if self.told_version != Some(self.fleet.version()) {
            self.told_version = Some(self.fleet.version());
            let view = self.fleet.view(shared.now);
            let is_in = |m: &&stonewharf_fleet::MemberView| m.standing == stonewharf_fleet::Standing::In;
            let members: Vec<String> = (view.members.iter().filter(is_in))
                .map(|m| {
                    let doubt = if m.doubted_by.is_empty() { "" } else { "?" };
                    format!("{}#{}{doubt}", m.name, m.incarnation)
                })
                .collect();
            let listed = if members.len() <= LISTED_MOST { members.join(" ") } else { String::new() };
            info!(shared.log, "fleet view"; "at_us" => shared.now, "version" => view.version,
                "digest" => view.digest, "members" => members.len(), "in" => listed);
        }
        let refusals = &mut self.refusals;
        let all = refusals.by.values().sum::<u64>() + refusals.dropped;
        if all > refusals.told && refusals.told_at.saturating_add(COMPLAIN_US) <= shared.now {
            (refusals.told, refusals.told_at) = (all, shared.now);
            let by: Vec<String> = refusals.by.iter().map(|(why, n)| format!("{why}: {n}")).collect();
            warn!(shared.log, "messages of peers were refused"; "at_us" => shared.now,
                "refused" => by.join(", "), "dropped" => refusals.dropped);
        }
    }
}

impl Component for Peers {
    fn owns(&self, token: Token) -> bool {
        self.socket.token() == token || self.listener.token() == token || self.links.contains_key(&token)
    }

    fn on_ready(&mut self, shared: &mut Shared, _: &Director, ready: Ready) {
        if ready.token == self.socket.token() {
            self.datagrams(shared);
        } else if ready.token == self.listener.token() {
            self.accept(shared);
        } else {
            self.exchange(shared, ready);
        }
    }

    fn on_deadline(&mut self, shared: &mut Shared, _: &Director, deadline: Deadline) -> bool {
        match deadline {
            Deadline::Fleet if shared.now < self.due_at => {} // overtaken by an earlier one
            Deadline::Fleet => {
                self.due_at = Micros::MAX;
                if self.began.saturating_add(SERVES_US) <= shared.now {
                    self.serves(shared.now);
                }
                self.fleet.due(shared.now);
            }
            Deadline::PeerConnection(token) => self.look(shared, token),
            _ => return false,
        }
        true
    }

    fn on_turn_end(&mut self, shared: &mut Shared) {
        self.carry_out(shared);
        self.tell_view(shared);
        self.schedule(shared);
    }
}

/// One line for what has changed; the keys are stable, see docs/operators/fleet.md.
fn tell(log: &Logger, now: Micros, news: &News) {
    let line = |what: &str, life: &Life, more: &str| {
        info!(log, "{}", what; "at_us" => now, "member" => &*life.name, "incarnation" => life.incarnation,
            "more" => more);
    };
    match news {
        News::Joined(life) => line("fleet: joined", life, &format!("{} at {}", life.hall, life.at)),
        News::Changed(life) => line("fleet: changed", life, &format!("{:?}", life.phase).to_lowercase()),
        News::Doubted(life, by) if by.is_empty() => line("fleet: doubt over", life, ""),
        News::Doubted(life, by) => line("fleet: doubtful", life, &by.join(" ")),
        News::Lost(life, by) => line("fleet: lost", life, &by.join(" ")),
        News::Returned(life) => line("fleet: returned", life, ""),
        News::Left(life) => line("fleet: left", life, ""),
        News::Deaf(life, true) => line("fleet: does not hear us", life, ""),
        News::Deaf(life, false) => line("fleet: hears us again", life, ""),
        News::Twins(life, other) => {
            let other = other.as_ref().map(|o| format!("{} at {}", o.incarnation, o.at));
            line("fleet: two processes bear one name", life, &other.unwrap_or_default());
        }
        News::Replaced(life) => line("fleet: a later process bears our name", life, &life.at.to_string()),
        News::Stood(us) => info!(log, "fleet: this process stood still"; "at_us" => now, "stood_us" => us),
    }
}

#[cfg(test)]
mod tests;
