//! The fleet's membership on a virtual network: the real `stonewharf-fleet` of every director on one clock,
//! with loss, delay, cuts, pauses, deaths and restarts. One seed gives one course. Measures how long it takes
//! to find what happened, what it costs, and who was removed wrongly. Decides nothing.
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::{Ipv4Addr, SocketAddrV4};
use stonewharf_core::Micros;
use stonewharf_fleet::{Deed, Fleet, FleetSettings, Me, News, Phase, Reply, Standing};

const SECOND: Micros = 1_000_000;
const PORT: u16 = 7946;
/// What a packet costs on the wire beside its payload, bytes: IP and UDP headers.
const HEADERS: usize = 28;

/// Something that goes wrong at a time, seconds.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub enum Trouble {
    /// A director is killed.
    Kill {
        /// Which.
        who: usize,
    },
    /// A director that was killed, or runs, starts anew under its name.
    Start {
        /// Which.
        who: usize,
    },
    /// A director leaves in order.
    Leave {
        /// Which.
        who: usize,
    },
    /// A process stands still.
    Pause {
        /// Which.
        who: usize,
        /// For so many seconds.
        lasts: f64,
    },
    /// Nothing passes from some directors to others.
    Cut {
        /// From these.
        from: Vec<usize>,
        /// To these.
        to: Vec<usize>,
        /// For so many seconds.
        lasts: f64,
        /// Nor back.
        both: bool,
    },
    /// What passes from or to a director is lost by so much, and comes later.
    Bad {
        /// Which.
        who: usize,
        /// Share of its packets that is lost, each way.
        loss: f64,
        /// What each takes longer, milliseconds.
        delay_ms: f64,
        /// For so many seconds.
        lasts: f64,
    },
}

/// A run of the membership.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct Plan {
    /// Directors.
    pub directors: usize,
    /// Simulated seconds.
    pub seconds: f64,
    /// Share of all packets that is lost.
    pub loss: f64,
    /// What a packet takes, milliseconds, least and most.
    pub delay_ms: (f64, f64),
    /// What goes wrong, and when.
    pub troubles: Vec<(f64, Trouble)>,
    /// From when on traffic is counted, seconds: after the start.
    pub counted_from: f64,
}

impl Default for Plan {
    fn default() -> Self {
        Plan {
            directors: 7,
            seconds: 30.0,
            loss: 0.0,
            delay_ms: (0.2, 2.0),
            troubles: Vec::new(),
            counted_from: 5.0,
        }
    }
}

/// What came of a run.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Membership {
    /// Directors.
    pub directors: usize,
    /// Seconds from each death (kill, or pause over 2 s) to each living director's finding it, sorted.
    pub found_s: Vec<f64>,
    /// Deaths that a living, reachable director never found.
    pub missed: usize,
    /// Members that were taken as lost while they lived, ran and reached a majority.
    pub wrong_removals: usize,
    /// Members that were named doubtful in all.
    pub doubts: usize,
    /// Bytes a second that a director sends, mean over directors, headers counted.
    pub bytes_per_s: f64,
    /// The same of the director that sends most.
    pub bytes_per_s_most: f64,
    /// Seconds from the end of the last trouble until the views of all living directors were the same, and
    /// stayed so; `None`: not by the end.
    pub equal_after_s: Option<f64>,
    /// Members of the view that most directors had at the end.
    pub members: usize,
    /// All that was told, digested: the same for the same seed.
    pub digest: u64,
}

impl Membership {
    /// A quantile of the times to find, seconds; 0 where nothing was to be found.
    pub fn found(&self, q: f64) -> f64 {
        let at = ((self.found_s.len() as f64 * q).ceil() as usize).clamp(1, self.found_s.len().max(1));
        self.found_s.get(at - 1).copied().unwrap_or(0.0)
    }
}

enum Event {
    Datagram {
        to: usize,
        bytes: Vec<u8>,
    },
    Frame {
        from: usize,
        to: usize,
        bytes: Vec<u8>,
    },
    Due(usize),
    Trouble(usize),
    Over(usize),
    /// A director of a life begins to serve, in step with all that began with it.
    Serve(usize, u64),
    Look,
}

struct Node {
    fleet: Option<Fleet>,
    /// Of its life: what is due for a former one is dropped.
    life: u64,
    paused_until: Micros,
    /// What came while it stood still.
    held: VecDeque<Event>,
    due_at: Micros,
    sent: u64,
    died_at: Option<Micros>,
    bad: (f64, f64),
}

struct Net<'a> {
    plan: &'a Plan,
    now: Micros,
    dice: ChaCha8Rng,
    queue: BTreeMap<(Micros, u64), Event>,
    number: u64,
    nodes: Vec<Node>,
    cuts: Vec<(usize, BTreeSet<usize>, BTreeSet<usize>)>,
    found: BTreeMap<(usize, usize), Micros>,
    out: Membership,
    over_at: Micros,
    equal_since: Option<Micros>,
}

fn address(i: usize) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 0, (i >> 8) as u8, i as u8), PORT)
}

fn number(at: SocketAddrV4) -> usize {
    let [_, _, high, low] = at.ip().octets();
    usize::from(high) << 8 | usize::from(low)
}

fn micros(s: f64) -> Micros {
    (s * SECOND as f64) as Micros
}

/// Plays a plan.
pub fn members(plan: &Plan, seed: u64) -> Membership {
    let mut net = Net {
        plan,
        now: SECOND,
        dice: ChaCha8Rng::seed_from_u64(seed),
        queue: BTreeMap::new(),
        number: 0,
        nodes: Vec::new(),
        cuts: Vec::new(),
        found: BTreeMap::new(),
        out: Membership { directors: plan.directors, ..Membership::default() },
        over_at: 0,
        equal_since: None,
    };
    for i in 0..plan.directors {
        net.nodes.push(Node {
            fleet: None,
            life: 0,
            paused_until: 0,
            held: VecDeque::new(),
            due_at: Micros::MAX,
            sent: 0,
            died_at: None,
            bad: (0.0, 0.0),
        });
        net.start(i);
    }
    for (i, (at, _)) in plan.troubles.iter().enumerate() {
        net.put(SECOND + micros(*at), Event::Trouble(i));
    }
    net.put(SECOND, Event::Look);
    let end = SECOND + micros(plan.seconds);
    while let Some(((at, _), event)) = net.queue.pop_first() {
        if at > end {
            break;
        }
        net.now = at;
        net.take(event);
    }
    net.finish()
}

impl Net<'_> {
    fn put(&mut self, at: Micros, event: Event) {
        self.number += 1;
        self.queue.insert((at.max(self.now), self.number), event);
    }

    fn start(&mut self, i: usize) {
        let seeds = (0..self.plan.directors.min(3)).map(|s| address(s).to_string()).collect();
        let set = FleetSettings {
            cluster: "model".into(),
            listen: address(i).to_string(),
            seeds,
            ..FleetSettings::default()
        };
        let hall = if i.is_multiple_of(2) { "hall-a" } else { "hall-b" };
        let me = Me {
            name: format!("d{i}"),
            incarnation: self.now,
            hall: hall.into(),
            version: "0.1.0".into(),
            digest: 7,
        };
        let Ok(fleet) = Fleet::new(&set, me, self.dice.random(), self.now) else { return };
        let node = &mut self.nodes[i];
        (node.fleet, node.died_at, node.due_at) = (Some(fleet), None, Micros::MAX);
        node.life += 1;
        self.found.retain(|(who, _), _| *who != i);
        let life = self.nodes[i].life;
        self.put(self.now + SECOND, Event::Serve(i, life));
        self.carry_out(i);
    }

    fn take(&mut self, event: Event) {
        match event {
            Event::Datagram { to, .. } | Event::Frame { to, .. } | Event::Due(to)
                if self.nodes[to].paused_until > self.now =>
            {
                self.nodes[to].held.push_back(event);
            }
            Event::Datagram { to, bytes } => {
                let Some(fleet) = &mut self.nodes[to].fleet else { return };
                let _ = fleet.hear(self.now, &bytes); // refused ones are counted on sockets
                self.carry_out(to);
            }
            Event::Frame { from, to, bytes } => {
                let Some(fleet) = &mut self.nodes[to].fleet else { return };
                if let Ok(Reply::Frame(answer)) = fleet.hear_frame(self.now, &bytes) {
                    self.frame(to, from, answer);
                }
                self.carry_out(to);
            }
            Event::Due(i) => {
                if self.now >= self.nodes[i].due_at {
                    self.nodes[i].due_at = Micros::MAX;
                    let Some(fleet) = &mut self.nodes[i].fleet else { return };
                    fleet.due(self.now);
                    self.carry_out(i);
                }
            }
            Event::Trouble(n) => self.trouble(n),
            Event::Over(n) => self.over(n),
            Event::Serve(i, life) if self.nodes[i].life == life => {
                let Some(fleet) = &mut self.nodes[i].fleet else { return };
                fleet.phase(self.now, Phase::Serving);
                self.carry_out(i);
            }
            Event::Serve(..) => {}
            Event::Look => self.look(),
        }
    }

    fn carry_out(&mut self, i: usize) {
        let Some(fleet) = &mut self.nodes[i].fleet else { return };
        let (deeds, next) = (fleet.take(), fleet.next());
        if next < self.nodes[i].due_at {
            self.nodes[i].due_at = next;
            self.put(next, Event::Due(i));
        }
        for deed in deeds {
            match deed {
                Deed::Send(to, bytes) => self.datagram(i, number(to), bytes),
                Deed::Link { to, frame, .. } => self.frame(i, number(to), frame),
                Deed::Hand(..) => {} // nothing is agreed here
                Deed::Tell(news) => self.told(i, &news),
            }
        }
    }

    fn passes(&self, from: usize, to: usize) -> bool {
        !self.cuts.iter().any(|(_, a, b)| a.contains(&from) && b.contains(&to))
    }

    fn counted(&mut self, from: usize, bytes: usize) {
        if self.now >= SECOND + micros(self.plan.counted_from) {
            self.nodes[from].sent += bytes as u64;
        }
    }

    fn datagram(&mut self, from: usize, to: usize, bytes: Vec<u8>) {
        self.counted(from, bytes.len() + HEADERS);
        if to >= self.nodes.len() || !self.passes(from, to) {
            return;
        }
        let (bad_from, bad_to) = (self.nodes[from].bad, self.nodes[to].bad);
        for loss in [self.plan.loss, bad_from.0, bad_to.0] {
            if loss > 0.0 && self.dice.random::<f64>() < loss {
                return;
            }
        }
        let wait = self.wait() + micros((bad_from.1 + bad_to.1) / 1e3);
        self.put(self.now + wait, Event::Datagram { to, bytes });
    }

    /// A frame of a link: not lost, but nothing comes through a cut, and losses cost time.
    fn frame(&mut self, from: usize, to: usize, bytes: Vec<u8>) {
        self.counted(from, bytes.len() + HEADERS);
        if to >= self.nodes.len() || !self.passes(from, to) || !self.passes(to, from) {
            return;
        }
        let (a, b) = (self.nodes[from].bad, self.nodes[to].bad);
        let wait = 2 * self.wait() + micros((a.1 + b.1) / 1e3 + 0.2 * (a.0 + b.0));
        self.put(self.now + wait, Event::Frame { from, to, bytes });
    }

    fn wait(&mut self) -> Micros {
        let (least, most) = self.plan.delay_ms;
        micros((least + (most - least) * self.dice.random::<f64>()) / 1e3)
    }

    fn trouble(&mut self, n: usize) {
        let mut over = None;
        match &self.plan.troubles[n].1 {
            Trouble::Kill { who } => {
                let node = &mut self.nodes[*who];
                (node.fleet, node.died_at, node.due_at) = (None, Some(self.now), Micros::MAX);
            }
            Trouble::Start { who } => self.start(*who),
            Trouble::Leave { who } => {
                if let Some(fleet) = &mut self.nodes[*who].fleet {
                    fleet.phase(self.now, Phase::Leaving);
                    fleet.leave(self.now);
                    self.carry_out(*who);
                }
                self.nodes[*who].fleet = None;
            }
            Trouble::Pause { who, lasts } => {
                let node = &mut self.nodes[*who];
                node.paused_until = self.now + micros(*lasts);
                if *lasts > 2.0 {
                    node.died_at = Some(self.now);
                }
                over = Some(*lasts);
            }
            Trouble::Cut { from, to, lasts, both } => {
                let (from, to) = (from.iter().copied().collect(), to.iter().copied().collect());
                self.cuts.push((n, from, to));
                if *both {
                    let (_, from, to) = &self.cuts[self.cuts.len() - 1];
                    let back = (n, to.clone(), from.clone());
                    self.cuts.push(back);
                }
                over = Some(*lasts);
            }
            Trouble::Bad { who, loss, delay_ms, lasts } => {
                self.nodes[*who].bad = (*loss, *delay_ms);
                over = Some(*lasts);
            }
        }
        let after = over.map_or(0, micros);
        if over.is_some() {
            self.put(self.now + after, Event::Over(n));
        }
        self.over_at = self.over_at.max(self.now + after);
        self.equal_since = None;
    }

    fn over(&mut self, n: usize) {
        match &self.plan.troubles[n].1 {
            Trouble::Pause { who, .. } => {
                self.nodes[*who].died_at = None;
                let held = std::mem::take(&mut self.nodes[*who].held);
                held.into_iter().for_each(|event| self.take(event));
            }
            Trouble::Cut { .. } => self.cuts.retain(|cut| cut.0 != n),
            Trouble::Bad { who, .. } => self.nodes[*who].bad = (0.0, 0.0),
            _ => {}
        }
        self.equal_since = None;
    }

    fn told(&mut self, by: usize, news: &News) {
        self.out.digest =
            stonewharf_fleet::digest(format!("{}{}{by}{news:?}", self.out.digest, self.now).as_bytes());
        match news {
            News::Doubted(_, by) if !by.is_empty() => self.out.doubts += 1,
            News::Lost(life, _) => {
                let who = number(life.at);
                match self.nodes[who].died_at {
                    Some(at) => {
                        self.found.entry((who, by)).or_insert(self.now);
                        self.out.found_s.push((self.now - at) as f64 / SECOND as f64);
                    }
                    None if self.nodes[who].fleet.is_some() && self.reaches_most(who) => {
                        self.out.wrong_removals += 1;
                    }
                    None => {}
                }
            }
            _ => {}
        }
    }

    /// Whether a director and more than half of the others reach each other: nobody may remove it.
    fn reaches_most(&self, who: usize) -> bool {
        let others = (0..self.nodes.len()).filter(|i| *i != who && self.nodes[*i].fleet.is_some());
        let (mut reached, mut all) = (0, 0);
        for other in others {
            all += 1;
            reached += usize::from(self.passes(who, other) && self.passes(other, who));
        }
        2 * reached > all
    }

    /// Whether all living directors see the same.
    fn look(&mut self) {
        let (alive, now) = (self.alive(), self.now);
        let mut views = alive.iter().filter_map(|i| self.nodes[*i].fleet.as_ref()).map(Fleet::agreed);
        let first = views.next();
        let equal = views.all(|view| Some(view) == first);
        match (equal, self.equal_since) {
            (true, None) => self.equal_since = Some(now),
            (false, _) => self.equal_since = None,
            _ => {}
        }
        // Often only after the last trouble: many directors take their time.
        let often = now >= self.over_at && now < self.over_at + 15 * SECOND;
        let wait = if often { SECOND / 20 } else { SECOND };
        self.put(now + wait, Event::Look);
    }

    fn alive(&self) -> Vec<usize> {
        let lives = |n: &Node| n.fleet.is_some() && n.paused_until <= self.now;
        (0..self.nodes.len()).filter(|i| lives(&self.nodes[*i])).collect()
    }

    fn finish(mut self) -> Membership {
        let counted = (self.plan.seconds - self.plan.counted_from).max(1.0);
        let rates: Vec<f64> = self.nodes.iter().map(|n| n.sent as f64 / counted).collect();
        self.out.bytes_per_s = rates.iter().sum::<f64>() / rates.len().max(1) as f64;
        self.out.bytes_per_s_most = rates.iter().copied().fold(0.0, f64::max);
        self.out.found_s.sort_by(f64::total_cmp);
        let alive = self.alive();
        for (who, _) in self.nodes.iter().enumerate().filter(|(_, n)| n.died_at.is_some()) {
            self.out.missed += alive.iter().filter(|by| !self.found.contains_key(&(who, **by))).count();
        }
        self.out.equal_after_s =
            self.equal_since.map(|at| at.saturating_sub(self.over_at.max(SECOND)) as f64 / SECOND as f64);
        let view = alive.first().and_then(|i| self.nodes[*i].fleet.as_ref()).map(|f| f.view(self.now));
        let members = view.map(|v| v.members.iter().filter(|m| m.standing == Standing::In).count());
        self.out.members = members.unwrap_or(0);
        self.out
    }
}
