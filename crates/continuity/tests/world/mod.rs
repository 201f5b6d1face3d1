//! Directors, streamers, viewers and one agreed log on a virtual network, by seed.
mod turn;

use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{RngCore, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};
use stonewharf_continuity::{
    Command, ContinuitySettings, Coordinator, LocalDirector, Member, Message, OwnershipState,
    SharedCoordinator,
};
use stonewharf_core::{Class, DedupScope, Effect, Micros, Settings, StreamerId};

pub const DIRECTORS: usize = 6;
pub const STEP: Micros = 5_000;
pub const SECOND: Micros = 1_000_000;
pub const MET: Micros = 5 * SECOND;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Runs {
    Yes,
    /// It stands still until then, and goes on as if nothing had been.
    Stopped(Micros),
    Dead(Micros),
}

pub enum Event2 {
    Message(usize, usize, u64, Message),
    Command(Command),
    Confirm(usize, u64, u64),
    Proof(usize, u64, u64),
}

/// A session at its streamer.
pub struct Plays {
    key: (u32, u32),
    paid: bool,
    stands: bool,
    ends: Micros,
}

pub struct Director {
    pub coordinator: SharedCoordinator,
    incarnation: u64,
    runs: Runs,
    /// What the log held when it last heard of it.
    heard: u64,
    /// Its module's sessions.
    pub sessions: BTreeSet<u64>,
    /// Acts that were decided and whose bytes have not left.
    decided: Vec<(Micros, u64)>,
}

pub struct Sim {
    dice: ChaCha8Rng,
    pub now: Micros,
    pub directors: Vec<Director>,
    truth: OwnershipState,
    leader: usize,
    term: u64,
    led_at: Micros,
    way: BTreeMap<(Micros, u64), Event2>,
    number: u64,
    /// Pairs that can't hear each other, until when.
    cut: BTreeMap<(usize, usize), Micros>,
    playing: BTreeMap<u64, Plays>,
    returns: Vec<(Micros, u32, u32)>,
    ids: u64,
    pub faults: bool,
    pub scheduled_releases: bool,
    pub acts: u64,
    pub adopted: u64,
    pub claims: u64,
    lost_sessions: u64,
    pub offences: Vec<String>,
}

pub fn settings() -> Settings {
    let class = |effect, worth| Class {
        worth,
        target_us: 1_000_000,
        effect,
        dedup_scope: DedupScope::All,
        repeat_window_us: 0,
        scale: 1.0,
        lowest_rung: 0,
        highest_rung: 2,
        max_sessions_per_title: 0,
        live: false,
    };
    Settings {
        classes: vec![class(Effect::AtMostOnce, 2.0), class(Effect::Idempotent, 1.0)],
        ..Settings::default()
    }
}

pub fn coordinator(i: usize, incarnation: u64, now: Micros) -> SharedCoordinator {
    let names = ["paid".to_owned(), "free".to_owned()];
    let me = LocalDirector { name: format!("d{i}"), hall: ["a", "b"][i % 2].into(), incarnation };
    let set = ContinuitySettings { sessions_per_successor: 20, ..ContinuitySettings::default() };
    let mut coordinator = Coordinator::new(set, &settings(), &names, me, now);
    coordinator.set_streamer_names([(StreamerId(0), "s0".to_owned())]);
    SharedCoordinator::new(coordinator)
}

impl Sim {
    pub fn new(seed: u64) -> Sim {
        let director = |i| Director {
            coordinator: coordinator(i, 1_000 + i as u64, SECOND),
            incarnation: 1_000 + i as u64,
            runs: Runs::Yes,
            heard: 0,
            sessions: BTreeSet::new(),
            decided: Vec::new(),
        };
        Sim {
            dice: ChaCha8Rng::seed_from_u64(seed),
            now: SECOND,
            directors: (0..DIRECTORS).map(director).collect(),
            truth: OwnershipState::default(),
            leader: 0,
            term: 1,
            led_at: 0,
            way: BTreeMap::new(),
            number: 0,
            cut: BTreeMap::new(),
            playing: BTreeMap::new(),
            returns: Vec::new(),
            ids: 0,
            faults: true,
            scheduled_releases: true,
            acts: 0,
            adopted: 0,
            claims: 0,
            lost_sessions: 0,
            offences: Vec::new(),
        }
    }

    fn below(&mut self, n: u64) -> u64 {
        self.dice.next_u64() % n.max(1)
    }

    fn put(&mut self, after: Micros, what: Event2) {
        self.number += 1;
        self.way.insert((self.now + after, self.number), what);
    }

    fn up(&self, i: usize) -> bool {
        self.directors[i].runs == Runs::Yes
    }

    fn apart(&self, a: usize, b: usize) -> bool {
        a != b && self.cut.get(&(a.min(b), a.max(b))).is_some_and(|until| *until > self.now)
    }

    /// Whom most can reach leads; a change takes half a second.
    fn elect(&mut self) {
        let reach = |s: &Sim, i: usize| {
            s.up(i) && (0..DIRECTORS).filter(|j| s.up(*j) && !s.apart(i, *j)).count() > DIRECTORS / 2
        };
        if !reach(self, self.leader) && self.led_at + SECOND / 2 <= self.now {
            let able: Vec<usize> = (0..DIRECTORS).filter(|i| reach(self, *i)).collect();
            if !able.is_empty() {
                let at = self.below(able.len() as u64) as usize;
                (self.leader, self.term, self.led_at) = (able[at], self.term + 1, self.now);
            }
        }
    }

    /// What a director sees of the fleet: some 2 s after it is so.
    fn members(&self, i: usize) -> Vec<Member> {
        let of = |j: usize| {
            let gone = match self.directors[j].runs {
                Runs::Yes => self.apart(i, j) && (0..DIRECTORS).filter(|k| self.apart(*k, j)).count() > 3,
                Runs::Stopped(_) | Runs::Dead(_) => true,
            };
            let (name, hall) = (format!("d{j}"), ["a", "b"][j % 2].to_owned());
            Member { name, hall, incarnation: self.directors[j].incarnation, serving: !gone, in_fleet: !gone }
        };
        (0..DIRECTORS).map(of).collect()
    }

    pub fn run(&mut self, seconds: u64) {
        let end = self.now + seconds * SECOND;
        let mut seen_at = 0;
        let mut views: Vec<Vec<Member>> = Vec::new();
        while self.now < end {
            self.now += STEP;
            self.faults();
            self.elect();
            // Views lag by up to two seconds.
            if seen_at + 2 * SECOND <= self.now {
                seen_at = self.now;
                views = (0..DIRECTORS).map(|i| self.members(i)).collect();
            }
            while let Some(entry) = self.way.first_entry().filter(|e| e.key().0 <= self.now) {
                let what = entry.remove();
                self.happen(what);
            }
            self.streamers();
            self.viewers();
            for i in 0..DIRECTORS {
                if self.up(i) {
                    let view = views.get(i).cloned();
                    self.turn(i, view);
                }
            }
        }
    }

    fn faults(&mut self) {
        for i in 0..DIRECTORS {
            match self.directors[i].runs {
                Runs::Stopped(until) if until <= self.now => self.directors[i].runs = Runs::Yes,
                Runs::Dead(until) if until <= self.now => {
                    let incarnation = self.now;
                    self.directors[i] = Director {
                        coordinator: coordinator(i, incarnation, self.now),
                        incarnation,
                        runs: Runs::Yes,
                        heard: 0,
                        sessions: BTreeSet::new(),
                        decided: Vec::new(),
                    };
                }
                _ => {}
            }
        }
        let down = (0..DIRECTORS).filter(|i| !self.up(*i)).count();
        if !self.faults || self.below(600) > 0 {
            return;
        }
        let (i, lasts) = (self.below(DIRECTORS as u64) as usize, SECOND / 2 + self.below(9) * SECOND);
        match self.below(3) {
            0 if self.up(i) && down < 2 => {
                self.directors[i].runs = Runs::Dead(self.now + lasts);
                // Its connections close: what was out is given up; what stands goes on.
                let out = std::mem::take(&mut self.directors[i].sessions);
                let gone: Vec<u64> =
                    out.into_iter().filter(|id| self.playing.get(id).is_some_and(|p| !p.stands)).collect();
                for id in gone {
                    if let Some(p) = self.playing.remove(&id) {
                        let after = 100_000 + self.below(3 * SECOND);
                        self.returns.push((self.now + after, p.key.0, p.key.1));
                    }
                }
            }
            1 if self.up(i) && down < 2 => self.directors[i].runs = Runs::Stopped(self.now + lasts),
            2 if self.scheduled_releases => {
                for j in 0..DIRECTORS {
                    if i != j && self.below(5) > 0 {
                        self.cut.insert((i.min(j), i.max(j)), self.now + lasts);
                    }
                }
            }
            _ => {}
        }
    }

    fn happen(&mut self, what: Event2) {
        match what {
            Event2::Message(from, to, incarnation, message) => {
                if self.up(to) && !self.apart(from, to) && self.directors[from].incarnation >= incarnation {
                    let coordinator = &self.directors[to].coordinator.0;
                    coordinator.borrow_mut().receive(self.now, &format!("d{from}"), message);
                } else if matches!(self.directors[to].runs, Runs::Stopped(_)) {
                    self.put(SECOND, Event2::Message(from, to, incarnation, message)); // its socket's queue keeps it
                }
            }
            Event2::Command(command) => {
                let _ = self.truth.take(command);
            }
            Event2::Confirm(i, incarnation, term) => {
                let led =
                    self.leader == i && self.term == term && self.directors[i].incarnation == incarnation;
                if self.up(i) && self.directors[i].incarnation == incarnation {
                    self.directors[i].coordinator.0.borrow_mut().leadership_confirmed(self.now, led);
                }
            }
            Event2::Proof(i, incarnation, id) => {
                // A release ends a session that stands or is being set up.
                self.playing.remove(&id);
                if self.up(i) && self.directors[i].incarnation == incarnation {
                    self.directors[i].coordinator.0.borrow_mut().end_confirmed(self.now, id);
                }
            }
        }
    }
}
