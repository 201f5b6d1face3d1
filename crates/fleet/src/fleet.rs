//! The fleet as one director sees it: records of all others, changed by what comes in and by time, and what
//! is to be sent and told of it. SWIM finds who is in question; observers, drawn for each member by
//! rendezvous hashing, check it themselves and say what they heard; several of them make it lost.
use crate::life::{Life, Phase};
use crate::message::{self, Body, DATAGRAM_MOST, ENVELOPE_MOST, Envelope, FRAME_MOST, LEVEL, UNHEARD};
use crate::record::{Check, Record, Verdict};
use crate::settings::{FleetSettings, NAME_MOST, SettingError};
use crate::swim::{Note, Swim};
use crate::view::{MemberView, Standing, View};
use crate::word::{Saying, Word};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{Rng, SeedableRng};
use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;
use stonewharf_core::Micros;
use xxhash_rust::xxh3::xxh3_64;

const SECOND: Micros = 1_000_000;
/// Between looks at members in question, and at one's own pace.
const TICK_US: Micros = 50_000;
/// Between looks at whom SWIM suspects, and between looks at all members: these cost by their number.
const SUSPECTS_US: Micros = 150_000;
const ALL_US: Micros = SECOND;
/// A look that comes so much late says that this process stood still: nobody is accused for that time.
const SLOW_US: Micros = 300_000;
/// Observers of each member.
const OBSERVERS: usize = 5;
/// How long an observer's drawing holds.
const OBSERVING_US: Micros = 400_000;
/// Pings of a check, and between them; the last is waited for as long again.
const TRIES: u32 = 4;
const TRY_US: Micros = 300_000; // together 1.2 s: a process that stands still for less than a second answers
/// For how long another observer's asking holds: a check and a little more.
const ASKED_US: Micros = 1_600_000;
/// Between two times that one peer is told how we present ourselves now.
const CORRECT_US: Micros = 50_000;
/// After a check, while the member is still in question.
const RECHECK_US: Micros = 800_000;
/// Down by SWIM (a prober and its helpers) for so long with nobody who heard it, it is lost as well: words
/// may have been lost.
const DOWN_LONG_US: Micros = 8 * SECOND;
/// Between tries to find others while none is known, and to reach seeds that are not in the fleet.
const SEEK_US: Micros = 400_000;
const RESEEK_US: Micros = SECOND;
/// Of those that are absent so many are tried at a time.
const SOUGHT: usize = 3;
/// Between exchanges of what is known with another, chosen by chance; half of it is chance.
const SYNC_US: Micros = SECOND;
/// What is known must have stood for so long before it is compared: news that is under way needs no exchange.
const QUIET_US: Micros = 1_500_000;
/// Lost and gone members are remembered for so long.
const REMEMBERED_US: Micros = 3_600 * SECOND;
/// Records kept at most.
const RECORDS_MOST: usize = 5_000;

/// Who this director is.
#[derive(Clone, Debug)]
pub struct Me {
    /// Its name.
    pub name: String,
    /// The number of this life, larger than those before.
    pub incarnation: u64,
    /// Its hall.
    pub hall: String,
    /// The program's version.
    pub version: String,
    /// Digest of the settings in force.
    pub digest: u64,
}

/// What is to be done for the fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Deed {
    /// Send a datagram.
    Send(SocketAddrV4, Vec<u8>),
    /// Send a frame on a link to another; `replaceable`: a later one says all that this one does.
    Link {
        /// Where to.
        to: SocketAddrV4,
        /// What.
        frame: Vec<u8>,
        /// Whether it may be dropped for a later one.
        replaceable: bool,
    },
    /// Hand on a word of another director, by name, that is read elsewhere.
    Hand(String, Vec<u8>),
    /// Log what has changed.
    Tell(News),
}

/// What is due to the one that sent a frame.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// Nothing.
    None,
    /// A frame.
    Frame(Vec<u8>),
    /// Whatever becomes of a person's order, which is read elsewhere.
    Order(Vec<u8>),
}

/// What has changed, for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum News {
    /// A director is in the fleet, for the first time or in a new life.
    Joined(Life),
    /// A member changed how it presents itself.
    Changed(Life),
    /// Observers that could not hear a member; none: the doubt is over.
    Doubted(Life, Vec<String>),
    /// A member is lost, on the word of these.
    Lost(Life, Vec<String>),
    /// A lost member, in the same life, is back.
    Returned(Life),
    /// A member left as it said.
    Left(Life),
    /// A peer that we hear says that it does not hear us, or hears us again.
    Deaf(Life, bool),
    /// Two processes bear one name: the life in force, and that of the other where it is known.
    Twins(Life, Option<Life>),
    /// A later process bears this director's own name, which it gives up among its peers.
    Replaced(Life),
    /// This process stood still for so many microseconds.
    Stood(Micros),
}

/// Why a message is not listened to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, thiserror::Error)]
pub enum Refused {
    /// It can't be read, or is too long.
    #[error("unreadable")]
    Unreadable,
    /// Another level of messages.
    #[error("another level")]
    Level,
    /// Another cluster.
    #[error("another cluster")]
    Cluster,
    /// A name that may not be in the fleet, or none where one is wanted.
    #[error("a name that is not allowed")]
    Name,
    /// A life that has been replaced.
    #[error("a former life")]
    Former,
}

/// The fleet as one director sees it.
pub struct Fleet {
    cluster_name: String,
    cluster: u32,
    seeds: Vec<SocketAddrV4>,
    names: BTreeSet<String>,
    swim: Swim,
    dice: ChaCha8Rng,
    records: BTreeMap<String, Record>,
    /// Members of which something is said that wants an answer: in question, doubted, or with words left.
    looked_at: BTreeSet<String>,
    deeds: Vec<Deed>,
    /// The digest of what SWIM knows, while nothing has changed.
    summed: Option<u64>,
    /// When that changed last.
    changed_at: Micros,
    /// Counts own words.
    said: u32,
    version: u64,
    /// The digest of the view, of a version.
    agreed: Cell<(u64, u64)>,
    ticked: Micros,
    tick_at: Micros,
    suspects_at: Micros,
    /// News came since the last look at whom SWIM suspects: a suspicion may be among it.
    unlooked: bool,
    all_at: Micros,
    seek_at: Micros,
    sync_at: Micros,
    slow_until: Micros,
    replaced: bool,
    left: bool,
}

impl Fleet {
    /// A director that knows nobody yet. `seed` is for its own dice.
    pub fn new(set: &FleetSettings, me: Me, seed: u64, now: Micros) -> Result<Fleet, SettingError> {
        let life = Life {
            name: me.name.into(),
            at: set.found_at()?,
            incarnation: me.incarnation,
            revision: 0,
            hall: clipped(&me.hall),
            version: clipped(&me.version),
            phase: Phase::Starting,
            digest: me.digest,
        };
        let own = life.at;
        let seeds = set.seed_addresses()?.into_iter().filter(|s| *s != own).collect();
        Ok(Fleet {
            cluster_name: set.cluster.clone(),
            cluster: message::cluster(&set.cluster),
            seeds,
            names: set.names.iter().cloned().collect(),
            swim: Swim::new(life, DATAGRAM_MOST - ENVELOPE_MOST, seed),
            dice: ChaCha8Rng::seed_from_u64(!seed),
            records: BTreeMap::new(),
            looked_at: BTreeSet::new(),
            deeds: Vec::new(),
            summed: None,
            changed_at: now,
            said: 0,
            version: 1,
            agreed: Cell::new((0, 0)),
            ticked: now,
            tick_at: now,
            suspects_at: now,
            unlooked: false,
            all_at: now,
            seek_at: now,
            sync_at: now.saturating_add(SYNC_US),
            slow_until: 0,
            replaced: false,
            left: false,
        })
    }

    /// This director, as it presents itself.
    pub fn me(&self) -> &Life {
        self.swim.me()
    }

    /// When [`Fleet::due`] wants to be called next.
    pub fn next(&self) -> Micros {
        let swim = self.swim.next().unwrap_or(Micros::MAX);
        self.tick_at.min(self.seek_at).min(self.sync_at).min(swim)
    }

    /// What is to be done now; each deed once.
    pub fn take(&mut self) -> Vec<Deed> {
        std::mem::take(&mut self.deeds)
    }

    /// It does something else now, and says so.
    pub fn phase(&mut self, now: Micros, phase: Phase) {
        if self.me().phase != phase && !self.left {
            self.swim.present(now, |me| me.phase = phase);
            self.known_changed(now);
            self.version += 1;
            self.settle(now);
        }
    }

    /// Other settings are in force now.
    pub fn digest(&mut self, now: Micros, digest: u64) {
        if self.me().digest != digest && !self.left {
            self.swim.present(now, |me| me.digest = digest);
            self.known_changed(now);
            self.version += 1;
            self.settle(now);
        }
    }

    /// It leaves: says goodbye and listens no longer.
    pub fn leave(&mut self, now: Micros) {
        if !std::mem::replace(&mut self.left, true) {
            self.version += 1;
            self.swim.leave(now);
            self.settle(now);
        }
    }

    // ---- What comes in ------------------------------------------------------------------------------------

    /// Takes a datagram.
    pub fn hear(&mut self, now: Micros, bytes: &[u8]) -> Result<(), Refused> {
        if bytes.len() > DATAGRAM_MOST {
            return Err(Refused::Unreadable);
        }
        let Envelope { from, body, .. } = self.admitted(now, bytes)?;
        if self.left {
            return Ok(());
        }
        match body {
            _ if self.replaced => {}
            Body::Swim(message) => {
                self.correct(now, message);
                if !self.swim.hear(now, message) {
                    return Err(Refused::Unreadable);
                }
            }
            Body::Agreed(bytes) => self.deeds.push(Deed::Hand(from.to_owned(), bytes.to_vec())),
            Body::Ping(number) => self.answer(now, from, Body::Pong(number)),
            Body::Pong(_) => {} // that it came is what counts
            Body::Look(name, incarnation) => self.asked(now, name, incarnation),
            Body::Word(bytes) => {
                let word = Word::read(bytes).filter(|w| w.observer == from).ok_or(Refused::Unreadable)?;
                self.weigh(now, word);
            }
            Body::Hello(life) if self.fits(&life, from) => {
                let me = self.me().clone();
                self.send(now, &life.name, life.at, Body::Here(me));
                self.swim.meet(now, life);
            }
            Body::Here(life) if self.fits(&life, from) => {
                self.swim.meet(now, life.clone());
                self.swim.announce(now, life);
            }
            Body::Replaced(life) if life.name == self.me().name && life.replaces(self.me()) => {
                self.yield_to(life);
            }
            _ => return Err(Refused::Unreadable),
        }
        self.settle(now);
        Ok(())
    }

    /// Takes a frame of a link; returns what is due to its sender.
    pub fn hear_frame(&mut self, now: Micros, bytes: &[u8]) -> Result<Reply, Refused> {
        if bytes.len() > FRAME_MOST {
            return Err(Refused::Unreadable);
        }
        let Envelope { from, body, .. } = self.admitted(now, bytes)?;
        if self.left || (self.replaced && !matches!(body, Body::Ask)) {
            return Ok(Reply::None);
        }
        let to = from.to_owned();
        let answer = match body {
            Body::Ask => {
                let json = self.view(now).json();
                return Ok(Reply::Frame(self.envelope(now, &to, Body::View(&json))));
            }
            Body::Order(bytes) => return Ok(Reply::Order(bytes.to_vec())),
            Body::Agreed(bytes) => {
                self.deeds.push(Deed::Hand(to, bytes.to_vec()));
                return Ok(Reply::None);
            }
            Body::Summary(theirs) if theirs == self.summary() => None, // as nearly always
            Body::Summary(_) if self.changed_at.saturating_add(QUIET_US) > now => None,
            Body::Summary(_) => Some(Body::Members { members: self.all(), answer: true }),
            Body::Members { members, answer } => {
                let fit = |m: &foca::Member<Life>| {
                    self.allowed(&m.id().name)
                        && m.id().name != self.me().name
                        && self.fits(m.id(), &m.id().name)
                };
                let members = members.into_iter().filter(fit).collect();
                self.swim.learn(now, members);
                self.settle(now);
                answer.then(|| Body::Members { members: self.all(), answer: false })
            }
            _ => return Err(Refused::Unreadable),
        };
        Ok(answer.map_or(Reply::None, |body| Reply::Frame(self.envelope(now, &to, body))))
    }

    /// Sends a word of what the fleet agrees on to a director, by name: as a datagram where it fits, so that
    /// no link that is slow to find out that its peer is gone holds it up. One that is not known hears
    /// nothing.
    pub fn post(&mut self, now: Micros, name: &str, bytes: &[u8]) {
        let Some(to) = self.records.get(name).map(|r| r.life.at).filter(|_| !self.left && !self.replaced)
        else {
            return;
        };
        let frame = self.envelope(now, name, Body::Agreed(bytes));
        self.deeds.push(if frame.len() <= DATAGRAM_MOST {
            Deed::Send(to, frame)
        } else {
            Deed::Link { to, frame, replaceable: false }
        });
    }

    /// The answer to a person's order, as a frame.
    pub fn ordered(&self, now: Micros, json: &str) -> Vec<u8> {
        self.envelope(now, "", Body::Ordered(json))
    }

    /// SWIM drops what is addressed to a former life or revision of ours, and with it the news of the
    /// sender's own: two that changed at one time drop each other's for seconds, and one that is back at
    /// once is not known until it was found to be gone. Who addresses what we were is told what we are.
    fn correct(&mut self, now: Micros, message: &[u8]) {
        let Some((from, to)) = crate::swim::addressed(message) else { return };
        let me = self.me().clone();
        if to.name != me.name || to == me || !self.allowed(&from.name) {
            return;
        }
        let told = self.records.get_mut(&*from.name).is_some_and(|r| {
            let told = r.corrected_at.saturating_add(CORRECT_US) > now;
            r.corrected_at = if told { r.corrected_at } else { now };
            told
        });
        if !told {
            self.send(now, &from.name, from.at, Body::Here(me));
        }
    }

    /// Checks what every message is checked for, and notes that its sender was heard.
    fn admitted<'a>(&mut self, now: Micros, bytes: &'a [u8]) -> Result<Envelope<'a>, Refused> {
        let envelope = message::read(bytes).ok_or(Refused::Unreadable)?;
        if envelope.level != LEVEL {
            return Err(Refused::Level);
        }
        if envelope.cluster != self.cluster {
            return Err(Refused::Cluster);
        }
        if envelope.from.is_empty() {
            return if matches!(envelope.body, Body::Ask | Body::Order(_)) {
                Ok(envelope)
            } else {
                Err(Refused::Name)
            };
        }
        if !self.allowed(envelope.from) {
            return Err(Refused::Name);
        }
        if envelope.from == &*self.me().name {
            return self.own_name(now, envelope);
        }
        let me = self.swim.me().clone();
        let Some(record) = self.records.get_mut(envelope.from) else { return Ok(envelope) };
        if envelope.incarnation == record.life.incarnation {
            record.heard(now, envelope.heard);
            return Ok(envelope);
        }
        if envelope.incarnation > record.life.incarnation {
            return Ok(envelope); // its life becomes known by what it says
        }
        let plain = record.twin(now);
        if record.heard_former(now) {
            let (life, former) = (record.life.clone(), record.former.clone());
            if !plain {
                self.deeds.push(Deed::Tell(News::Twins(life.clone(), former.clone())));
                self.version += 1;
            }
            if let Some(former) = former.filter(|f| f.incarnation == envelope.incarnation && f.at != me.at) {
                self.send(now, &former.name, former.at, Body::Replaced(life));
            }
        }
        Err(Refused::Former)
    }

    /// A message under our own name: from another process that bears it.
    fn own_name<'a>(&mut self, now: Micros, envelope: Envelope<'a>) -> Result<Envelope<'a>, Refused> {
        if envelope.incarnation > self.me().incarnation {
            match envelope.body {
                Body::Hello(life) | Body::Here(life) | Body::Replaced(life) if life.replaces(self.me()) => {
                    self.yield_to(life);
                }
                _ => {}
            }
        } else if let Body::Hello(life) | Body::Here(life) = envelope.body
            && life.incarnation < self.me().incarnation
            && life.at != self.me().at
        {
            let me = self.me().clone();
            self.deeds.push(Deed::Tell(News::Twins(me.clone(), Some(life.clone()))));
            self.send(now, &life.name, life.at, Body::Replaced(me));
        }
        Err(Refused::Former)
    }

    /// A later process bears our name: we say no more under it.
    fn yield_to(&mut self, life: Life) {
        if !std::mem::replace(&mut self.replaced, true) {
            self.version += 1;
            self.deeds.push(Deed::Tell(News::Replaced(life)));
        }
    }

    fn allowed(&self, name: &str) -> bool {
        !name.is_empty() && name.len() <= NAME_MOST && (self.names.is_empty() || self.names.contains(name))
    }

    fn fits(&self, life: &Life, from: &str) -> bool {
        &*life.name == from && life.hall.len() <= NAME_MOST && life.version.len() <= NAME_MOST
    }

    // ---- What time brings ---------------------------------------------------------------------------------

    /// Acts on what is due. To be called after what has come in was taken, so that an answer that waits in a
    /// socket is not taken for silence.
    pub fn due(&mut self, now: Micros) {
        if self.left || self.replaced {
            let never = now.saturating_add(REMEMBERED_US);
            (self.tick_at, self.seek_at, self.sync_at) = (now.saturating_add(SECOND), never, never);
            self.swim.due(now);
            let _ = self.swim.sends().count(); // nothing more is said
            return;
        }
        let stood = now.saturating_sub(self.ticked.saturating_add(TICK_US));
        self.ticked = now;
        if stood > SLOW_US {
            self.swim.put_off(stood);
            self.slow_until = now.saturating_add(SECOND);
            self.records.values_mut().for_each(|r| r.check = None);
            self.deeds.push(Deed::Tell(News::Stood(stood)));
        }
        self.swim.due(now);
        if self.seek_at <= now {
            self.seek(now);
        }
        if self.sync_at <= now {
            self.sync(now);
        }
        if self.tick_at <= now {
            self.tick_at = now.saturating_add(TICK_US);
            self.tick(now);
        }
        self.settle(now);
    }

    /// Says hello to seeds that are not in the fleet: to all while nobody is known, else to one.
    fn seek(&mut self, now: Micros) {
        let alone = !self.records.values().any(Record::sound);
        let known: BTreeSet<SocketAddrV4> =
            self.records.values().filter(|r| r.sound()).map(|r| r.life.at).collect();
        let mut absent: Vec<SocketAddrV4> =
            self.seeds.iter().copied().filter(|s| !known.contains(s)).collect();
        // Lost members may come back where they were.
        absent.extend(
            self.records.values().filter(|r| r.standing != Standing::Gone && !r.up).map(|r| r.life.at),
        );
        absent.dedup();
        let me = self.me().clone();
        if alone {
            absent.into_iter().take(8).for_each(|at| self.send(now, "", at, Body::Hello(me.clone())));
        } else if !absent.is_empty() {
            for _ in 0..SOUGHT.min(absent.len()) {
                let at = absent.swap_remove(self.below(absent.len()));
                self.send(now, "", at, Body::Hello(me.clone()));
            }
        }
        let wait = if alone { SEEK_US } else { RESEEK_US };
        self.seek_at = now.saturating_add(self.jittered(wait));
    }

    /// Tells one other a digest of what is known; it answers with all where that differs.
    fn sync(&mut self, now: Micros) {
        self.sync_at = now.saturating_add(self.jittered(SYNC_US));
        if self.changed_at.saturating_add(QUIET_US) > now {
            return;
        }
        let sound: Vec<&Record> = self.records.values().filter(|r| r.sound()).collect();
        if sound.is_empty() {
            return;
        }
        let chosen = self.dice.next_u32() as usize % sound.len();
        let (name, to) = (sound[chosen].life.name.clone(), sound[chosen].life.at);
        let summary = self.summary();
        let frame = self.envelope(now, &name, Body::Summary(summary));
        self.deeds.push(Deed::Link { to, frame, replaceable: true });
    }

    fn tick(&mut self, now: Micros) {
        if self.suspects_at <= now && (std::mem::take(&mut self.unlooked) || !self.looked_at.is_empty()) {
            self.suspects_at = now.saturating_add(SUSPECTS_US);
            let suspects: BTreeSet<String> = self.swim.suspects().map(|l| l.name.to_string()).collect();
            for name in self.looked_at.union(&suspects).cloned().collect::<Vec<_>>() {
                if let Some(r) = self.records.get_mut(&name) {
                    r.suspect = suspects.contains(&name);
                    self.looked_at.insert(name);
                }
            }
        }
        for name in self.looked_at.iter().cloned().collect::<Vec<_>>() {
            if self.records.get(&name).is_some_and(|r| r.in_question(now)) {
                self.observe(now, &name);
            }
            self.judge(now, &name);
            if self.records.get(&name).is_none_or(|r| r.settled(now)) {
                self.looked_at.remove(&name);
            }
        }
        if self.all_at <= now {
            self.all_at = now.saturating_add(ALL_US);
            self.look_at_all(now);
        }
    }

    /// Which peers hear us, and which are forgotten.
    fn look_at_all(&mut self, now: Micros) {
        for r in self.records.values_mut().filter(|r| r.standing == Standing::In) {
            let deaf = r.is_deaf(now);
            if deaf != r.deaf {
                r.deaf = deaf;
                self.deeds.push(Deed::Tell(News::Deaf(r.life.clone(), deaf)));
                self.version += 1;
            }
        }
        let remembered = |r: &Record| r.stands_since.saturating_add(REMEMBERED_US) > now;
        self.records.retain(|_, r| r.standing == Standing::In || remembered(r));
    }

    /// Checks a member in question, where this director is one of its observers.
    fn observe(&mut self, now: Micros, name: &str) {
        if self.records.get(name).is_some_and(|r| r.observing.1 <= now) {
            let observers = self.observers(name);
            let observing = observers.iter().any(|o| **o == *self.me().name);
            if let Some(r) = self.records.get_mut(name) {
                r.observing = (observing, now.saturating_add(OBSERVING_US));
            }
        }
        let slow = now < self.slow_until;
        let Some(r) = self.records.get_mut(name) else { return };
        r.questioned.get_or_insert(now);
        let asked = r.asked_until > now;
        let Some(check) = &mut r.check else {
            if (r.observing.0 || asked) && r.check_from <= now && !slow {
                r.check = Some(Check { since: now, tries: 0, at: now });
                if !asked {
                    self.ask_others(now, name);
                }
                self.observe(now, name);
            }
            return;
        };
        if r.heard_at.is_some_and(|at| at >= check.since) {
            return self.say(now, name, Saying::Heard);
        }
        if check.at > now {
            return;
        }
        check.at = now.saturating_add(TRY_US);
        if check.tries == TRIES {
            return self.say(now, name, Saying::Unheard);
        }
        check.tries += 1;
        let (number, at) = (check.tries, r.life.at);
        self.send(now, name, at, Body::Ping(number));
    }

    /// Asks the other observers to check as well, rather than wait until gossip leads them to it.
    fn ask_others(&mut self, now: Micros, name: &str) {
        let Some(incarnation) = self.records.get(name).map(|r| r.life.incarnation) else { return };
        for observer in self.observers(name) {
            if let Some(at) = self.records.get(&observer).map(|r| r.life.at) {
                self.send(now, &observer, at, Body::Look(name, incarnation));
            }
        }
    }

    /// Another observer asks to check a member.
    fn asked(&mut self, now: Micros, name: &str, incarnation: u64) {
        let Some(r) = self.records.get_mut(name) else { return };
        if r.life.incarnation == incarnation && r.standing == Standing::In {
            r.asked_until = now.saturating_add(ASKED_US);
            self.looked_at.insert(name.to_owned());
        }
    }

    /// Whose word on a member is asked for: the first by a hash of both names among the sound ones, so that
    /// each member has a few and each director a few to look after (rendezvous hashing, Thaler and
    /// Ravishankar 1998).
    fn observers(&self, subject: &str) -> Vec<String> {
        let weight = |name: &str| xxh3_64(format!("{name}\0{subject}").as_bytes());
        let sound = self.records.iter().filter(|(name, r)| r.sound() && *name != subject).map(|(n, _)| &**n);
        let mut all: Vec<(u64, &str)> = sound.chain([&*self.me().name]).map(|n| (weight(n), n)).collect();
        all.sort_unstable_by(|a, b| b.cmp(a));
        all.into_iter().take(OBSERVERS).map(|(_, name)| name.to_owned()).collect()
    }

    /// Says what a check came to, to itself first.
    fn say(&mut self, now: Micros, name: &str, saying: Saying) {
        let observer = self.me().name.to_string();
        let number = self.numbered(now);
        let Some(r) = self.records.get_mut(name) else { return };
        (r.check, r.check_from) = (None, now.saturating_add(RECHECK_US));
        r.words.insert(observer.clone(), (now, saying.clone()));
        let (subject, incarnation) = (name.to_owned(), r.life.incarnation);
        let word = Word { observer, subject, incarnation, number, saying };
        self.swim.spread(&word);
        // Gossip takes its chances with members that are gone as well: while many are, it is too slow.
        let Some(bytes) = word.bytes() else { return };
        for other in self.observers(name) {
            if let Some(at) = self.records.get(&other).map(|r| r.life.at) {
                self.send(now, &other, at, Body::Word(&bytes));
            }
        }
    }

    /// Numbers own words, also over restarts: by the clock, and never the same twice.
    fn numbered(&mut self, now: Micros) -> u32 {
        self.said = self.said.wrapping_add(1).max((now / 1_000) as u32 & 0x7fff_ffff);
        self.said
    }

    fn judge(&mut self, now: Micros, name: &str) {
        let Some(r) = self.records.get(name).filter(|r| r.standing == Standing::In) else { return };
        let sound = 1 + self.records.iter().filter(|(n, r)| r.sound() && *n != name).count();
        let me: &str = &self.me().name;
        let counts = |observer: &str| observer == me || self.records.get(observer).is_some_and(Record::sound);
        let mut verdict = if r.in_question(now) { r.verdict(now, sound, counts) } else { Verdict::Clear };
        // Another's verdict stands if it names enough that are sound here, and nobody heard the member.
        let heard = |(at, s): &(Micros, Saying)| *s == Saying::Heard && at.saturating_add(3 * SECOND) > now;
        let vouched = r.words.values().any(heard);
        if !matches!(verdict, Verdict::Lost(_)) && r.in_question(now) && !vouched && sound > 1 {
            let needed = sound.min(crate::record::OBSERVERS_NEEDED);
            let enough = |by: &&Vec<String>| by.iter().filter(|o| counts(o)).count() >= needed;
            let theirs = r.words.values().filter_map(|(_, s)| match s {
                Saying::Lost(by) => Some(by),
                _ => None,
            });
            if let Some(by) = theirs.clone().find(enough) {
                verdict = Verdict::Lost(by.clone());
            } else if !r.up && r.questioned.is_some_and(|at| at.saturating_add(DOWN_LONG_US) <= now) {
                verdict = Verdict::Lost(Vec::new());
            }
        }
        match verdict {
            Verdict::Lost(by) => self.lost(now, name, by),
            _ => self.name_doubt(now, name),
        }
    }

    /// Names those that could not hear a member, or that the doubt is over.
    fn name_doubt(&mut self, now: Micros, name: &str) {
        let Some(r) = self.records.get_mut(name) else { return };
        let doubters = r.doubters(now);
        if r.named == doubters.is_empty() {
            r.named = !doubters.is_empty();
            self.deeds.push(Deed::Tell(News::Doubted(r.life.clone(), doubters)));
            self.version += 1;
        }
        if !r.in_question(now) {
            (r.check, r.questioned) = (None, None);
            if !r.named {
                r.words.clear();
            }
        }
    }

    fn lost(&mut self, now: Micros, name: &str, by: Vec<String>) {
        let (observer, number) = (self.me().name.to_string(), self.numbered(now));
        let Some(r) = self.records.get_mut(name) else { return };
        let observing = r.observing.0;
        r.stand(Standing::Lost, now);
        r.named = false;
        let (subject, incarnation, life) = (name.to_owned(), r.life.incarnation, r.life.clone());
        self.deeds.push(Deed::Tell(News::Lost(life.clone(), by.clone())));
        self.version += 1;
        self.swim.down(now, &life);
        // Those that checked it say so; all of the fleet saying it would be as many words as directors.
        if !by.is_empty() && observing {
            self.swim.spread(&Word { observer, subject, incarnation, number, saying: Saying::Lost(by) });
        }
    }

    // ---- What SWIM says -----------------------------------------------------------------------------------

    /// Carries over what SWIM says, and what observers said along with it.
    fn settle(&mut self, now: Micros) {
        // Passed on so often as it has to be, a suspicion may have left SWIM's news before the next look.
        self.unlooked |= self.swim.busy();
        for note in self.swim.notes() {
            self.known_changed(now);
            match note {
                Note::Up(life) => self.up(now, life),
                Note::Down(life) => self.down(now, &life),
                Note::Replaced(life) => self.replace(now, life),
            }
        }
        let words = std::mem::take(&mut *self.swim.inbox.borrow_mut());
        words.into_iter().for_each(|word| self.weigh(now, word));
        let sends: Vec<(Life, Vec<u8>)> = self.swim.sends().collect();
        for (to, bytes) in sends {
            self.send(now, &to.name, to.at, Body::Swim(&bytes));
        }
    }

    /// Takes a word in, if it is of a life that is known.
    fn weigh(&mut self, now: Micros, word: Word) {
        if !self.allowed(&word.observer) || word.observer == *self.me().name {
            return;
        }
        let Some(r) = self.records.get_mut(&word.subject) else { return };
        if word.incarnation == r.life.incarnation {
            r.words.insert(word.observer, (now, word.saying));
            self.looked_at.insert(word.subject);
        }
    }

    fn known_changed(&mut self, now: Micros) {
        (self.summed, self.changed_at) = (None, now);
    }

    fn replace(&mut self, now: Micros, life: Life) {
        if life.name == self.me().name {
            return;
        }
        let Some(r) = self.records.get_mut(&*life.name) else { return };
        let changed = (r.life.phase, r.life.digest) != (life.phase, life.digest);
        let new = r.life.incarnation != life.incarnation;
        let up = r.up;
        r.replace(life.clone(), now);
        if new {
            r.up = up; // SWIM tells of a change of that apart
            self.deeds.push(Deed::Tell(News::Joined(life)));
        } else if changed {
            self.deeds.push(Deed::Tell(News::Changed(life)));
        }
        self.version += 1;
    }

    fn up(&mut self, now: Micros, life: Life) {
        if life.name == self.me().name || !self.allowed(&life.name) {
            return;
        }
        if !self.records.contains_key(&*life.name) {
            if self.records.len() >= RECORDS_MOST {
                return;
            }
            self.records.insert(life.name.to_string(), Record::new(life.clone(), now));
            self.deeds.push(Deed::Tell(News::Joined(life.clone())));
        }
        let Some(r) = self.records.get_mut(&*life.name) else { return };
        if life.replaces(&r.life) {
            r.replace(life.clone(), now);
        }
        r.up = true;
        if r.standing != Standing::In {
            r.stand(Standing::In, now);
            self.deeds.push(Deed::Tell(News::Returned(life)));
        }
        self.version += 1;
    }

    fn down(&mut self, now: Micros, life: &Life) {
        let Some(r) = self.records.get_mut(&*life.name) else { return };
        if r.life.incarnation != life.incarnation {
            return;
        }
        r.up = false;
        self.looked_at.insert(life.name.to_string());
        if r.life.phase == Phase::Leaving && r.standing == Standing::In {
            r.stand(Standing::Gone, now);
            self.deeds.push(Deed::Tell(News::Left(life.clone())));
            self.version += 1;
        }
    }

    // ---- What goes out ------------------------------------------------------------------------------------

    fn envelope(&self, now: Micros, to: &str, body: Body<'_>) -> Vec<u8> {
        let heard = self.records.get(to).map_or(UNHEARD, |r| r.heard_tenths(now));
        let me = self.me();
        let (level, cluster, from) = (LEVEL, self.cluster, &*me.name);
        let incarnation = me.incarnation;
        message::write(&Envelope { level, cluster, from, incarnation, heard, body })
    }

    fn send(&mut self, now: Micros, to: &str, at: SocketAddrV4, body: Body<'_>) {
        let bytes = self.envelope(now, to, body);
        if let Some(r) = self.records.get_mut(to) {
            r.spoke(now);
        }
        self.deeds.push(Deed::Send(at, bytes));
    }

    fn answer(&mut self, now: Micros, to: &str, body: Body<'_>) {
        if let Some(at) = self.records.get(to).map(|r| r.life.at) {
            self.send(now, to, at, body);
        }
    }

    fn below(&mut self, most: usize) -> usize {
        (self.dice.next_u64() % most.max(1) as u64) as usize
    }

    fn jittered(&mut self, span: Micros) -> Micros {
        span / 2 + self.dice.next_u64() % span.max(1)
    }

    /// All that SWIM knows, this director itself among it.
    fn all(&self) -> Vec<foca::Member<Life>> {
        let own = foca::Member::new(self.me().clone(), 0, foca::State::Alive);
        self.swim.known().cloned().chain(std::iter::once(own)).collect()
    }

    /// Digest of the members that SWIM calls active, the same at two directors that know the same. Neither
    /// order matters, nor SWIM's counts of refuted suspicions, nor who is remembered as down for how long.
    fn summary(&mut self) -> u64 {
        let known = &self.swim;
        *self.summed.get_or_insert_with(|| {
            let active = known.known().filter(|m| m.state() != foca::State::Down).map(|m| m.id());
            let digest =
                |l: &Life| l.name.digest() ^ l.incarnation.wrapping_mul(31).wrapping_add(l.revision.into());
            active.chain(std::iter::once(known.me())).map(digest).fold(0, u64::wrapping_add)
        })
    }

    /// What this director sees.
    pub fn view(&self, now: Micros) -> View {
        let me = self.me();
        let of = |life: &Life, standing, doubted_by, deaf_to_us, twin| MemberView {
            name: life.name.to_string(),
            at: life.at,
            incarnation: life.incarnation,
            hall: life.hall.clone(),
            version: life.version.clone(),
            phase: life.phase,
            digest: format!("{:016x}", life.digest),
            standing,
            doubted_by,
            deaf_to_us,
            twin,
        };
        let mut members: Vec<MemberView> = (self.records.values())
            .map(|r| {
                of(&r.life, r.standing, if r.named { r.doubters(now) } else { vec![] }, r.deaf, r.twin(now))
            })
            .collect();
        let own = if self.left { Standing::Gone } else { Standing::In };
        members.push(of(me, own, vec![], false, self.replaced));
        members.sort_by(|a, b| a.name.cmp(&b.name));
        let told = self.records.values().filter(|r| r.standing == Standing::In).map(|r| r.told(now));
        let (told_by, heard_by) = told
            .fold((0, 0), |(t, h), (told, hears)| (t + usize::from(told), h + usize::from(told && hears)));
        View {
            cluster: self.cluster_name.clone(),
            observer: me.name.to_string(),
            version: self.version,
            digest: format!("{:016x}", self.agreed()),
            heard_by,
            told_by,
            replaced: self.replaced,
            members,
        }
    }

    /// Digest of who is in the fleet, by name, life and phase; the order does not matter.
    pub fn agreed(&self) -> u64 {
        let (version, digest) = self.agreed.get();
        if version == self.version {
            return digest;
        }
        let of = |l: &Life| {
            let life = l.incarnation.wrapping_mul(0x9e37_79b9_7f4a_7c15).wrapping_add(l.phase as u64);
            l.name.digest().rotate_left(7) ^ life
        };
        let others = self.records.values().filter(|r| r.standing == Standing::In).map(|r| of(&r.life));
        let digest = others.fold(if self.left { 0 } else { of(self.me()) }, u64::wrapping_add);
        self.agreed.set((self.version, digest));
        digest
    }

    /// Counts the changes of the view.
    pub fn version(&self) -> u64 {
        self.version
    }
}

/// What of a text may travel in every message.
fn clipped(text: &str) -> String {
    text.chars().take(NAME_MOST / 4).collect()
}
