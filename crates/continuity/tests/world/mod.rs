//! Directors, streamers, viewers and one replicated log on a virtual network, driven by a seed.
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
pub const FLEET_MET_AT: Micros = 5 * SECOND;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessState {
    Running,
    /// Paused until this time; goes on afterwards as if nothing had happened.
    Paused(Micros),
    Dead(Micros),
}

pub enum NetworkEvent {
    Message(usize, usize, u64, Message),
    Command(Command),
    Confirm(usize, u64, u64),
    EndConfirmed(usize, u64, u64, String),
    /// A streamer that answered an earlier attempt late acknowledges that the session is over there.
    ConfirmedElsewhere(usize, u64, u64),
}

/// A session at its streamer.
pub struct PlayingSession {
    key: (u32, u32),
    paid: bool,
    established: bool,
    ends: Micros,
}

pub struct Director {
    pub coordinator: SharedCoordinator,
    incarnation: u64,
    process_state: ProcessState,
    /// The version of the agreed state that it has applied.
    applied_version: u64,
    /// The sessions in its decision module.
    pub sessions: BTreeSet<u64>,
    /// Acts that were decided and not written yet.
    decided: Vec<(Micros, u64)>,
}

pub struct Sim {
    rng: ChaCha8Rng,
    pub now: Micros,
    pub directors: Vec<Director>,
    ownership: OwnershipState,
    leader: usize,
    term: u64,
    leader_since: Micros,
    in_transit: BTreeMap<(Micros, u64), NetworkEvent>,
    number: u64,
    /// Pairs of directors that can't reach each other, until when.
    cut_links: BTreeMap<(usize, usize), Micros>,
    playing: BTreeMap<u64, PlayingSession>,
    returns: Vec<(Micros, u32, u32)>,
    ids: u64,
    pub faults: bool,
    pub partitions: bool,
    pub acts: u64,
    pub adopted: u64,
    pub claims: u64,
    lost_sessions: u64,
    pub violations: Vec<String>,
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
            process_state: ProcessState::Running,
            applied_version: 0,
            sessions: BTreeSet::new(),
            decided: Vec::new(),
        };
        Sim {
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: SECOND,
            directors: (0..DIRECTORS).map(director).collect(),
            ownership: OwnershipState::default(),
            leader: 0,
            term: 1,
            leader_since: 0,
            in_transit: BTreeMap::new(),
            number: 0,
            cut_links: BTreeMap::new(),
            playing: BTreeMap::new(),
            returns: Vec::new(),
            ids: 0,
            faults: true,
            partitions: true,
            acts: 0,
            adopted: 0,
            claims: 0,
            lost_sessions: 0,
            violations: Vec::new(),
        }
    }

    fn random_below(&mut self, n: u64) -> u64 {
        self.rng.next_u64() % n.max(1)
    }

    fn schedule(&mut self, after: Micros, what: NetworkEvent) {
        self.number += 1;
        self.in_transit.insert((self.now + after, self.number), what);
    }

    fn is_running(&self, i: usize) -> bool {
        self.directors[i].process_state == ProcessState::Running
    }

    fn is_partitioned(&self, a: usize, b: usize) -> bool {
        a != b && self.cut_links.get(&(a.min(b), a.max(b))).is_some_and(|until| *until > self.now)
    }

    /// A director that reaches a majority leads; a change takes half a second.
    fn elect(&mut self) {
        let reach = |s: &Sim, i: usize| {
            s.is_running(i)
                && (0..DIRECTORS).filter(|j| s.is_running(*j) && !s.is_partitioned(i, *j)).count()
                    > DIRECTORS / 2
        };
        if !reach(self, self.leader) && self.leader_since + SECOND / 2 <= self.now {
            let able: Vec<usize> = (0..DIRECTORS).filter(|i| reach(self, *i)).collect();
            if !able.is_empty() {
                let at = self.random_below(able.len() as u64) as usize;
                (self.leader, self.term, self.leader_since) = (able[at], self.term + 1, self.now);
            }
        }
    }

    /// A director's view of the fleet.
    fn members(&self, i: usize) -> Vec<Member> {
        let of = |j: usize| {
            let gone = match self.directors[j].process_state {
                ProcessState::Running => {
                    self.is_partitioned(i, j)
                        && (0..DIRECTORS).filter(|k| self.is_partitioned(*k, j)).count() > 3
                }
                ProcessState::Paused(_) | ProcessState::Dead(_) => true,
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
            while let Some(entry) = self.in_transit.first_entry().filter(|e| e.key().0 <= self.now) {
                let what = entry.remove();
                self.deliver(what);
            }
            self.streamers();
            self.viewers();
            for i in 0..DIRECTORS {
                if self.is_running(i) {
                    let view = views.get(i).cloned();
                    self.turn(i, view);
                }
            }
        }
    }

    fn faults(&mut self) {
        for i in 0..DIRECTORS {
            match self.directors[i].process_state {
                ProcessState::Paused(until) if until <= self.now => {
                    self.directors[i].process_state = ProcessState::Running
                }
                ProcessState::Dead(until) if until <= self.now => {
                    let incarnation = self.now;
                    self.directors[i] = Director {
                        coordinator: coordinator(i, incarnation, self.now),
                        incarnation,
                        process_state: ProcessState::Running,
                        applied_version: 0,
                        sessions: BTreeSet::new(),
                        decided: Vec::new(),
                    };
                }
                _ => {}
            }
        }
        let down = (0..DIRECTORS).filter(|i| !self.is_running(*i)).count();
        if !self.faults || self.random_below(600) > 0 {
            return;
        }
        let (i, duration_us) =
            (self.random_below(DIRECTORS as u64) as usize, SECOND / 2 + self.random_below(9) * SECOND);
        match self.random_below(3) {
            0 if self.is_running(i) && down < 2 => {
                self.directors[i].process_state = ProcessState::Dead(self.now + duration_us);
                // Its connections close: attempts in flight are given up, established sessions go on.
                let out = std::mem::take(&mut self.directors[i].sessions);
                let gone: Vec<u64> = out
                    .into_iter()
                    .filter(|id| self.playing.get(id).is_some_and(|p| !p.established))
                    .collect();
                for id in gone {
                    if let Some(p) = self.playing.remove(&id) {
                        let after = 100_000 + self.random_below(3 * SECOND);
                        self.returns.push((self.now + after, p.key.0, p.key.1));
                    }
                }
            }
            1 if self.is_running(i) && down < 2 => {
                self.directors[i].process_state = ProcessState::Paused(self.now + duration_us)
            }
            2 if self.partitions => {
                for j in 0..DIRECTORS {
                    if i != j && self.random_below(5) > 0 {
                        self.cut_links.insert((i.min(j), i.max(j)), self.now + duration_us);
                    }
                }
            }
            _ => {}
        }
    }

    fn deliver(&mut self, what: NetworkEvent) {
        match what {
            NetworkEvent::Message(from, to, incarnation, message) => {
                if self.is_running(to)
                    && !self.is_partitioned(from, to)
                    && self.directors[from].incarnation >= incarnation
                {
                    let coordinator = &self.directors[to].coordinator.0;
                    coordinator.borrow_mut().receive(self.now, &format!("d{from}"), message);
                } else if matches!(self.directors[to].process_state, ProcessState::Paused(_)) {
                    // the receive queue of its socket keeps it
                    self.schedule(SECOND, NetworkEvent::Message(from, to, incarnation, message));
                }
            }
            NetworkEvent::Command(command) => {
                let _ = self.ownership.apply_command(command);
            }
            NetworkEvent::Confirm(i, incarnation, term) => {
                let led =
                    self.leader == i && self.term == term && self.directors[i].incarnation == incarnation;
                if self.is_running(i) && self.directors[i].incarnation == incarnation {
                    self.directors[i].coordinator.0.borrow_mut().leadership_confirmed(self.now, led);
                }
            }
            NetworkEvent::ConfirmedElsewhere(i, incarnation, id) => {
                if self.is_running(i) && self.directors[i].incarnation == incarnation {
                    let mut coordinator = self.directors[i].coordinator.0.borrow_mut();
                    coordinator.end_confirmed(self.now, id, "s-elsewhere");
                }
            }
            NetworkEvent::EndConfirmed(i, incarnation, id, streamer) => {
                // A release ends a session that is established or being set up.
                self.playing.remove(&id);
                if self.is_running(i) && self.directors[i].incarnation == incarnation {
                    self.directors[i].coordinator.0.borrow_mut().end_confirmed(self.now, id, &streamer);
                }
            }
        }
    }
}
