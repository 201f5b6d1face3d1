//! One run: the clock and queue of simulated time, the viewers, and the directors (the real core) set between
//! them and the world. Everything that is random comes from one seed.
use crate::audit::{Broken, Pace};
use crate::scenario::{Incident, Kind, Scenario};
use crate::world::{SECOND, WINDOW, World};
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, HashSet};
use std::rc::Rc;
use stonewharf_core::director::{Attempt, Deed, Director, Input, Over, Parcel, Unsent, ViewerLink};
use stonewharf_core::{
    ClassId, Effect, Entry, ListScope, LoadReport, Micros, NoteKind, Outcome as Ending, Request, RequestId,
    SettingsError, StreamerId, TitleId, ViewerId, ZoneId,
};
use stonewharf_halls::{Halls, SharedHalls, State};

const TICK: Micros = SECOND / 4;
/// Before this the world fills; nothing is counted.
const FILLED: Micros = 15 * SECOND;
const DEADLINE: Micros = 3 * SECOND;
/// By how much an answer may be late and still count as in time: the protocol's slack.
const SLACK: Micros = 50_000;
const DIAL: Micros = SECOND / 4;
const LIFE_S: f64 = 38.0;
/// Points of worth lost for each point of delivery that is missing under 98%.
const STALL: f64 = 7.0;
const TITLES: u32 = 40;

/// What a second of a run was like.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Sample {
    /// Simulated seconds.
    pub at: f64,
    /// What is asked of each hall's links over what they and their uplinks give.
    pub load: Vec<f64>,
    /// What sessions of a lost hall's viewers take elsewhere, kB a second.
    pub spill_kb: f64,
    /// The largest pace at a cold streamer in this second over what is allowed.
    pub pace: f64,
    /// Worth served and offered in this second.
    pub served: f64,
    /// The same, offered.
    pub offered: f64,
}

/// What came of a run. The same scenario and seed give the same, but for the time it took.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Outcome {
    /// The scenario's title.
    pub title: String,
    /// The seed.
    pub seed: u64,
    /// Directors and streamers.
    pub directors: u32,
    /// See `directors`.
    pub streamers: u32,
    /// Whether the halls' settings were in force.
    pub halls_on: bool,
    /// Promises broken, all together and by kind.
    pub rules_broken: u64,
    /// See `rules_broken`.
    pub broken: BTreeMap<String, u64>,
    /// Worth of all seconds that viewers wanted.
    pub worth_offered: f64,
    /// Worth of what they got.
    pub worth_served: f64,
    /// What may spill across, kB a second, and the most that did.
    pub spill_limit: f64,
    /// See `spill_limit`: what the directors held to be spilled.
    pub spill_peak: f64,
    /// The most that sessions of the lost hall's viewers took elsewhere. Directors can't tell a first try of
    /// a lost hall's viewer from one of their own beyond counting, so this may differ from `spill_peak`.
    pub strangers_peak: f64,
    /// The largest number of set-ups to a cold streamer in a window over what is allowed; 1 = the limit.
    pub return_pace_peak: f64,
    /// Share of their worth that viewers of the other halls got from the first loss on.
    pub home_served_share: f64,
    /// Median time from the first loss to a director's finding it out, seconds; none found it: -1.
    pub detect_s: f64,
    /// Running directors that did not find it out.
    pub detect_missed: u32,
    /// Requests, and their answers.
    pub requests: u64,
    /// See `requests`.
    pub served: u64,
    /// See `requests`.
    pub refused: u64,
    /// See `requests`.
    pub failed: u64,
    /// Attempts sent to streamers.
    pub attempts: u64,
    /// What each second was like.
    pub samples: Vec<Sample>,
    /// Real seconds that the run took; the only field that differs from run to run.
    pub wall_s: f64,
}

enum Event {
    Arrive,
    Ask(usize),
    Hear(usize, u32, Input),
    SetUp { node: usize, epoch: u32, streamer: usize, attempt: Attempt, rung: usize },
    Done(RequestId),
    Begin(usize),
    End(usize),
    Lost(usize, u32, usize),
    Publish(Vec<usize>, f64),
    Tick,
}

struct Node {
    hall: usize,
    core: Option<Director>,
    halls: SharedHalls,
    epoch: u32,
    found_at: Option<Micros>,
}

struct Viewer {
    home: usize,
    class: ClassId,
    top: usize,
    from: Micros,
    until: Micros,
    returned: bool,
}

struct Call {
    viewer: usize,
    node: usize,
    epoch: u32,
    deadline: Micros,
    asked_at: Micros,
    rung: usize,
    answered: bool,
    /// The attempt that is out: where, its number, and whether it still waits for a connection.
    out: Option<(usize, u32, bool)>,
    may_have_run: bool,
    stands: Option<usize>,
    /// Its viewer watches it.
    playing: bool,
}

struct Run<'a> {
    scenario: &'a Scenario,
    dice: ChaCha8Rng,
    /// Chance of who comes, apart from all other chance: what is offered is the same whatever the directors
    /// do.
    crowd: ChaCha8Rng,
    now: Micros,
    number: u64,
    queue: BTreeMap<(Micros, u64), Event>,
    world: World,
    nodes: Vec<Node>,
    viewers: Vec<Viewer>,
    calls: BTreeMap<RequestId, Call>,
    at: Vec<BTreeSet<RequestId>>,
    /// The list as it was last published.
    told: Vec<Entry>,
    /// Pairs of halls that can't reach each other, by the hall that is cut off.
    cut: HashSet<usize>,
    lost_halls: HashSet<usize>,
    first_loss: Option<(Micros, usize)>,
    short: BTreeSet<usize>,
    pace: Pace,
    second: Sample,
    broken: Broken,
    home: (f64, f64),
    out: Outcome,
}

/// Plays a scenario; `watch` is told the share that is done.
pub fn run(scenario: &Scenario, seed: u64, mut watch: impl FnMut(f64)) -> Result<Outcome, SettingsError> {
    let mut run = Run::new(scenario, seed)?;
    let end = (scenario.seconds * SECOND as f64) as Micros;
    while let Some(((at, _), event)) = run.queue.pop_first() {
        if at > end {
            break;
        }
        run.now = at;
        if matches!(event, Event::Tick) {
            watch(at as f64 / end as f64);
        }
        run.take(event);
    }
    watch(1.0);
    Ok(run.finish())
}

impl<'a> Run<'a> {
    fn new(scenario: &'a Scenario, seed: u64) -> Result<Self, SettingsError> {
        let mut dice = ChaCha8Rng::seed_from_u64(seed);
        let world = World::new(scenario, || dice.random());
        let told: Vec<Entry> = (0..world.streamers.len()).map(|i| world.entry(i)).collect();
        let mut run = Run {
            scenario,
            dice,
            crowd: ChaCha8Rng::seed_from_u64(!seed),
            now: 0,
            number: 0,
            queue: BTreeMap::new(),
            at: vec![BTreeSet::new(); world.streamers.len()],
            world,
            nodes: Vec::new(),
            viewers: Vec::new(),
            calls: BTreeMap::new(),
            told,
            cut: HashSet::new(),
            lost_halls: HashSet::new(),
            first_loss: None,
            short: BTreeSet::new(),
            pace: Pace::default(),
            second: Sample::default(),
            broken: Broken::default(),
            home: (0.0, 0.0),
            out: Outcome {
                title: scenario.title.clone(),
                seed,
                directors: scenario.directors,
                streamers: scenario.streamers,
                halls_on: scenario.operator.enabled,
                detect_s: -1.0,
                ..Outcome::default()
            },
        };
        for i in 0..scenario.directors as usize {
            let hall = i % scenario.halls.len();
            let (core, halls) = run.core(i, hall)?;
            run.nodes.push(Node { hall, core: Some(core), halls, epoch: 0, found_at: None });
            let entries = run.told.clone();
            run.put(1_000, Event::Hear(i, 0, Input::List { scope: ListScope::Full, entries }));
        }
        for (i, incident) in scenario.incidents.iter().enumerate() {
            let at = (incident.at * SECOND as f64) as Micros;
            run.put(at, Event::Begin(i));
            run.put(at + (incident.lasts * SECOND as f64) as Micros, Event::End(i));
        }
        run.put(2_000, Event::Arrive);
        run.put(TICK, Event::Tick);
        Ok(run)
    }

    /// A director at its start, with the halls behind its module.
    fn core(&mut self, me: usize, hall: usize) -> Result<(Director, SharedHalls), SettingsError> {
        let mut settings = self.world.settings.clone();
        (settings.me, settings.my_zone) = (me as u32, ZoneId(hall as u32));
        let names = ["replay", "seat-view"];
        let class = |name: &str| names.iter().position(|n| *n == name);
        let zone =
            |name: &str| ZoneId(self.scenario.halls.iter().position(|h| h == name).unwrap_or(99) as u32);
        let halls = Halls::new(self.scenario.operator.clone(), &settings, self.now, class, zone);
        let halls = SharedHalls::new(halls);
        let core = Director::new(settings, self.dice.random(), self.now)?;
        Ok((core.limited(Box::new(halls.clone())), halls))
    }

    fn put(&mut self, at: Micros, event: Event) {
        self.number += 1;
        self.queue.insert((at, self.number), event);
    }

    fn soon(&mut self, after: Micros, event: Event) {
        self.put(self.now + after, event);
    }

    fn between(&mut self, least: f64, most: f64) -> f64 {
        least + (most - least) * self.dice.random::<f64>()
    }

    fn span(&mut self, least_s: f64, most_s: f64) -> Micros {
        (self.between(least_s, most_s) * SECOND as f64) as Micros
    }

    fn take(&mut self, event: Event) {
        match event {
            Event::Arrive => self.arrive(),
            Event::Ask(viewer) => self.ask(viewer),
            Event::Hear(node, epoch, input) => {
                if let Input::Unsent(attempt, _) = &input
                    && let Some(call) = self.calls.get_mut(&attempt.session)
                {
                    call.out.take_if(|o| o.1 == attempt.number);
                }
                if self.nodes[node].epoch == epoch {
                    self.turn(node, input);
                }
            }
            Event::SetUp { node, epoch, streamer, attempt, rung } => {
                self.set_up(node, epoch, streamer, attempt, rung)
            }
            Event::Done(id) => self.done(id),
            Event::Begin(i) => self.begin(&self.scenario.incidents[i].clone()),
            Event::End(i) => self.end(&self.scenario.incidents[i].clone()),
            Event::Lost(node, epoch, streamer) => {
                let hall = self.nodes[node].hall;
                if self.nodes[node].epoch == epoch && !self.reaches(hall, streamer) {
                    self.turn(node, Input::Lost(StreamerId(streamer as u32)));
                }
            }
            Event::Publish(streamers, late_half_s) => self.publish(&streamers, late_half_s),
            Event::Tick => self.tick(),
        }
    }

    // ---- Viewers ------------------------------------------------------------------------------------------

    fn arrive(&mut self) {
        let per_s = self.world.arrivals_per_s(self.scenario.load, LIFE_S);
        let halls = self.scenario.halls.len();
        let first = self.scenario.first_hall;
        let home = if halls == 1 || self.crowd.random::<f64>() < first {
            0
        } else {
            1 + self.crowd.random_range(0..halls - 1)
        };
        let class = ClassId(usize::from(self.crowd.random::<f64>() >= 0.35));
        let mut chance = |least: f64, most: f64| {
            ((least + (most - least) * self.crowd.random::<f64>()) * SECOND as f64) as Micros
        };
        let life = if class.0 == 0 { chance(26.0, 65.0) } else { chance(20.0, 50.0) };
        let top = if self.crowd.random::<f64>() < 0.3 { 1 } else { 3 };
        let (from, until) = (self.now, self.now + life);
        self.viewers.push(Viewer { home, class, top, from, until, returned: false });
        self.ask(self.viewers.len() - 1);
        if per_s > 0.0 {
            // Poisson arrivals: waits are exponential.
            let wait = -(1.0 - self.crowd.random::<f64>()).ln() / per_s;
            self.soon(((wait * SECOND as f64) as Micros).max(1), Event::Arrive);
        }
    }

    /// The director that a viewer's front leads to: of its hall, unevenly; where none runs there, of another.
    fn front(&mut self, home: usize) -> Option<usize> {
        let runs = |n: &Node| n.core.is_some();
        let some = self.nodes.iter().any(|n| n.hall == home && runs(n));
        let here: Vec<usize> = (0..self.nodes.len())
            .filter(|i| runs(&self.nodes[*i]) && (!some || self.nodes[*i].hall == home))
            .collect();
        let lean = self.scenario.lean;
        let weight = |i: &usize| {
            1.0 + lean * if (i / self.scenario.halls.len()).is_multiple_of(2) { 1.0 } else { -0.5 }
        };
        let mut at = self.dice.random::<f64>() * here.iter().map(weight).sum::<f64>();
        here.iter().copied().find(|i| {
            at -= weight(i);
            at <= 0.0
        })
    }

    fn ask(&mut self, viewer: usize) {
        let v = &self.viewers[viewer];
        if v.until <= self.now + SECOND / 2 {
            return;
        }
        let (home, class, top, returned) = (v.home, v.class, v.top, v.returned);
        let Some(node) = self.front(home) else { return self.again(viewer, 0) };
        let id = RequestId(self.out.requests + 1);
        self.out.requests += 1;
        let request = Request {
            id,
            class,
            tenant: None,
            title: TitleId(self.dice.random_range(0..TITLES)),
            viewer: ViewerId(viewer as u32),
            start_cell: 0,
            cells_in_row: self.world.settings.cells,
            max_rung: top,
            left_us: DEADLINE,
            returned,
            beside: 0,
        };
        let (epoch, deadline) = (self.nodes[node].epoch, self.now + DEADLINE);
        let rung = self.world.settings.classes[class.0].lowest_rung;
        let call = Call {
            viewer,
            node,
            epoch,
            deadline,
            asked_at: self.now,
            rung,
            answered: false,
            out: None,
            may_have_run: false,
            stands: None,
            playing: false,
        };
        self.calls.insert(id, call);
        let parcel = Rc::new(Parcel::default());
        self.turn(node, Input::Wanted { link: ViewerLink(viewer), request, parcel });
    }

    /// A viewer comes again after a pause, or a longer one that it was told.
    fn again(&mut self, viewer: usize, hold_off: Micros) {
        if self.dice.random::<f64>() < 0.9 {
            let pause = self.span(0.62, 3.0).max(hold_off);
            self.viewers[viewer].returned = true;
            self.soon(pause, Event::Ask(viewer));
        }
    }

    fn done(&mut self, id: RequestId) {
        let Some(call) = self.calls.get(&id) else { return };
        let (node, epoch, streamer) = (call.node, call.epoch, call.stands);
        let Some(streamer) = streamer else { return };
        let report = LoadReport::default();
        let from = StreamerId(streamer as u32);
        self.unbook(id);
        if self.nodes[node].epoch == epoch && self.reaches(self.nodes[node].hall, streamer) {
            let (why, description) = (Over::Ended, Vec::new());
            let input =
                Input::Released { streamer: from, session: id, number: None, why, description, report };
            self.turn(node, input);
        }
        self.calls.remove(&id);
    }

    // ---- Between directors and streamers ------------------------------------------------------------------

    fn reaches(&self, hall: usize, streamer: usize) -> bool {
        let s = &self.world.streamers[streamer];
        let apart = s.hall != hall && (self.cut.contains(&s.hall) || self.cut.contains(&hall));
        s.alive && !apart
    }

    fn turn(&mut self, node: usize, input: Input) {
        let now = self.now;
        let Some(core) = self.nodes[node].core.as_mut() else { return };
        let deeds = core.turn(now, [input]);
        deeds.into_iter().for_each(|deed| self.carry_out(node, deed));
    }

    fn carry_out(&mut self, node: usize, deed: Deed) {
        let epoch = self.nodes[node].epoch;
        match deed {
            Deed::Answer(_, id, _) => {
                self.answered(id);
                self.out.served += 1;
                let Some(call) = self.calls.get_mut(&id) else { return };
                call.playing = true;
                let until = self.viewers[call.viewer].until.max(self.now + 1);
                self.put(until, Event::Done(id));
            }
            Deed::Refuse(_, id, hold_off) => {
                self.answered(id);
                self.out.refused += 1;
                let Some(call) = self.calls.remove(&id) else { return };
                self.broken.paid_twice += u64::from(call.may_have_run && self.paid(call.viewer));
                self.again(call.viewer, hold_off);
            }
            Deed::Fail(_, id) | Deed::Spurn(_, id) => {
                self.answered(id);
                self.out.failed += 1;
                let Some(call) = self.calls.get(&id) else { return };
                let viewer = call.viewer;
                if call.stands.is_none() {
                    self.calls.remove(&id);
                }
                if !self.paid(viewer) {
                    self.again(viewer, 0);
                }
            }
            Deed::Release(_, id, why) => {
                self.unbook(id);
                if let Some(call) = self.calls.remove(&id).filter(|_| why == Over::Cut) {
                    self.again(call.viewer, 0);
                }
            }
            Deed::MoveOff(_, id) => {
                self.unbook(id);
                if let Some(call) = self.calls.remove(&id) {
                    self.again(call.viewer, 0);
                }
            }
            Deed::SetUp { streamer, attempt, rung, .. } => {
                self.sent(node, streamer.0 as usize, attempt, rung);
            }
            Deed::GiveUp(_, attempt) => {
                let call = self.calls.get_mut(&attempt.session);
                let out = call.and_then(|c| c.out.take_if(|o| o.1 == attempt.number));
                let input = match out {
                    Some((_, _, true)) => Input::Unsent(attempt, Unsent::NoConnection),
                    _ => Input::GaveUp(attempt),
                };
                self.soon(0, Event::Hear(node, epoch, input));
            }
            Deed::Drop(_, id) => self.unbook(id),
            Deed::Rung(_, id, rung) => {
                let Some(call) = self.calls.get_mut(&id) else { return };
                let class = self.viewers[call.viewer].class;
                let floor = self.world.settings.classes[class.0].lowest_rung;
                self.broken.under_floor += u64::from(rung < floor);
                let before = std::mem::replace(&mut call.rung, rung);
                if let Some(at) = call.stands {
                    let kb = self.world.rate(class, rung) - self.world.rate(class, before);
                    self.world.book(at, kb, 0);
                }
            }
            Deed::Probe(streamer) => self.probe(node, streamer),
            Deed::Wake(at, due) => self.put(at.max(self.now), Event::Hear(node, epoch, Input::Due(due))),
            Deed::Log(line) if line.starts_with("hall ") => self.found(node),
            Deed::Attend(_) | Deed::Log(_) => {}
        }
    }

    fn paid(&self, viewer: usize) -> bool {
        self.world.settings.classes[self.viewers[viewer].class.0].effect == Effect::AtMostOnce
    }

    fn answered(&mut self, id: RequestId) {
        let Some(call) = self.calls.get_mut(&id) else {
            self.broken.answered_twice += 1;
            return;
        };
        self.broken.answered_twice += u64::from(call.answered);
        self.broken.unanswered += u64::from(self.now > call.deadline + SLACK);
        call.answered = true;
    }

    fn sent(&mut self, node: usize, streamer: usize, attempt: Attempt, rung: usize) {
        self.out.attempts += 1;
        let epoch = self.nodes[node].epoch;
        let reached = self.reaches(self.nodes[node].hall, streamer);
        let refused = self.world.streamers[streamer].refuses;
        let Some(call) = self.calls.get_mut(&attempt.session) else { return };
        self.broken.two_out += u64::from(call.out.is_some() || call.answered);
        let (viewer, ran) = (call.viewer, call.may_have_run);
        call.out = Some((streamer, attempt.number, !reached));
        self.broken.paid_twice += u64::from(ran && self.paid(viewer));
        if reached {
            let wait = self.span(0.001, 0.004);
            return self.soon(wait, Event::SetUp { node, epoch, streamer, attempt, rung });
        }
        let wait = if refused { SECOND / 1_000 } else { DIAL };
        let contact = Input::Contact { streamer: StreamerId(streamer as u32), up: false };
        self.soon(wait, Event::Hear(node, epoch, contact));
        self.soon(wait, Event::Hear(node, epoch, Input::Unsent(attempt, Unsent::NoConnection)));
    }

    fn set_up(&mut self, node: usize, epoch: u32, streamer: usize, attempt: Attempt, rung: usize) {
        let out = |c: &Call| c.out.is_some_and(|o| o.1 == attempt.number);
        let here = self.nodes[node].epoch == epoch && self.reaches(self.nodes[node].hall, streamer);
        if !here || !self.calls.get(&attempt.session).is_some_and(out) {
            return;
        }
        let (now, from) = (self.now, StreamerId(streamer as u32));
        if let Some(allowed) = self.world.cold_allows(streamer, now) {
            if self.pace.sent(now, streamer, WINDOW, allowed) {
                self.broken.pushed_over += 1;
            }
            self.second.pace = self.second.pace.max(self.pace.peak);
        }
        let full = self.world.full(streamer);
        let Some(call) = self.calls.get_mut(&attempt.session) else { return };
        if full {
            call.out = None;
            let number = Some(attempt.number);
            let (outcome, report) = (Ending::QueueFull, LoadReport::default());
            let session = attempt.session;
            let input = Input::TurnedAway { streamer: from, session, number, outcome, report };
            return self.soon(2_000, Event::Hear(node, epoch, input));
        }
        call.may_have_run = true;
        if self.world.streamers[streamer].stalled {
            return;
        }
        if call.stands.is_some() {
            self.broken.paid_twice += u64::from(self.paid(self.calls[&attempt.session].viewer));
            return;
        }
        (call.out, call.stands, call.rung) = (None, Some(streamer), rung);
        let class = self.viewers[call.viewer].class;
        self.broken.under_floor += u64::from(rung < self.world.settings.classes[class.0].lowest_rung);
        self.at[streamer].insert(attempt.session);
        self.world.book(streamer, self.world.rate(class, rung), 1);
        let wait = self.span(0.02, 0.08);
        let number = Some(attempt.number);
        let description = b"v=0".to_vec();
        let input = Input::Stands { streamer: from, session: attempt.session, number, description };
        self.soon(wait, Event::Hear(node, epoch, input));
    }

    fn probe(&mut self, node: usize, streamer: StreamerId) {
        let epoch = self.nodes[node].epoch;
        let i = streamer.0 as usize;
        if !self.reaches(self.nodes[node].hall, i) {
            let (outcome, report) = (Ending::ConnectError, LoadReport::default());
            self.soon(DIAL, Event::Hear(node, epoch, Input::Contact { streamer, up: false }));
            return self.soon(DIAL, Event::Hear(node, epoch, Input::Probed { streamer, outcome, report }));
        }
        if self.world.streamers[i].stalled {
            let (outcome, report) = (Ending::TimedOut, LoadReport::default());
            return self
                .soon(SECOND / 2, Event::Hear(node, epoch, Input::Probed { streamer, outcome, report }));
        }
        let (link, uplink) = self.world.loads(i, self.now);
        let noise = self.between(0.97, 1.03);
        let report = LoadReport {
            link_capped: Some((link * noise).min(1.0)),
            uplink: Some(uplink * noise),
            ..LoadReport::default()
        };
        let outcome = Ending::Ok;
        self.soon(4_000, Event::Hear(node, epoch, Input::Probed { streamer, outcome, report }));
    }

    /// Takes a session off its streamer, where it stands.
    fn unbook(&mut self, id: RequestId) {
        let Some(call) = self.calls.get_mut(&id) else { return };
        let Some(at) = call.stands.take() else { return };
        call.playing = false;
        let kb = self.world.rate(self.viewers[call.viewer].class, call.rung);
        self.at[at].remove(&id);
        self.world.book(at, -kb, -1);
    }

    fn found(&mut self, node: usize) {
        let Some((_, hall)) = self.first_loss else { return };
        let lost = matches!(self.nodes[node].halls.0.borrow().state(ZoneId(hall as u32)), State::Lost { .. });
        if lost && self.nodes[node].found_at.is_none() {
            self.nodes[node].found_at = Some(self.now);
        }
    }

    // ---- What goes wrong ----------------------------------------------------------------------------------

    fn streamers_of(&self, hall: usize) -> Vec<usize> {
        (0..self.world.streamers.len()).filter(|i| self.world.streamers[*i].hall == hall).collect()
    }

    fn begin(&mut self, incident: &Incident) {
        let hall = self.scenario.halls.iter().position(|h| *h == incident.hall).unwrap_or(0);
        if !incident.played {
            if matches!(incident.kind, Kind::Loss | Kind::Cut) {
                self.first_loss.get_or_insert((self.now, hall));
            }
            return;
        }
        let streamers = self.streamers_of(hall);
        let part = ((streamers.len() as f64 * incident.size).ceil() as usize).min(streamers.len());
        match incident.kind {
            Kind::Loss | Kind::Cut => {
                self.first_loss.get_or_insert((self.now, hall));
                self.lost_halls.insert(hall);
                if incident.kind == Kind::Cut {
                    self.cut.insert(hall);
                }
                for i in streamers {
                    if incident.kind == Kind::Loss {
                        let s = &mut self.world.streamers[i];
                        (s.alive, s.refuses, s.stalled) = (false, incident.refused, false);
                    }
                    self.silent(i);
                }
                if incident.kind == Kind::Cut {
                    let others: Vec<usize> = (0..self.world.streamers.len())
                        .filter(|i| self.world.streamers[*i].hall != hall)
                        .collect();
                    others.into_iter().for_each(|i| self.silent(i));
                }
                if incident.directors {
                    let here: Vec<usize> =
                        (0..self.nodes.len()).filter(|n| self.nodes[*n].hall == hall).collect();
                    here.into_iter().for_each(|node| self.kill(node));
                }
                if incident.listed && incident.kind == Kind::Loss {
                    let streamers = self.streamers_of(hall);
                    self.soon(4 * SECOND, Event::Publish(streamers, 0.0));
                }
            }
            Kind::Stall => {
                streamers.into_iter().take(part).for_each(|i| self.world.streamers[i].stalled = true)
            }
            Kind::Short => {
                let halls = self.scenario.halls.len();
                for (r, rack) in self.world.racks.iter_mut().enumerate() {
                    if r % halls == hall {
                        rack.left = 1.0 - incident.size;
                    }
                }
            }
            Kind::Restart => {
                let count = (self.nodes.len() as f64 * incident.size).ceil() as usize;
                for node in 0..count.min(self.nodes.len()) {
                    self.kill(node);
                    self.revive(node);
                }
            }
        }
    }

    fn end(&mut self, incident: &Incident) {
        if !incident.played {
            return;
        }
        let hall = self.scenario.halls.iter().position(|h| *h == incident.hall).unwrap_or(0);
        match incident.kind {
            Kind::Loss | Kind::Cut => {
                self.lost_halls.remove(&hall);
                self.cut.remove(&hall);
                let streamers = self.streamers_of(hall);
                if incident.kind == Kind::Loss {
                    for i in &streamers {
                        let s = &mut self.world.streamers[*i];
                        (s.alive, s.refuses, s.started_at) = (true, false, Some(self.now));
                    }
                    if incident.listed {
                        self.soon(SECOND, Event::Publish(streamers, incident.late_half_s));
                    }
                }
                if incident.directors {
                    let here: Vec<usize> =
                        (0..self.nodes.len()).filter(|n| self.nodes[*n].hall == hall).collect();
                    here.into_iter().for_each(|node| self.revive(node));
                }
            }
            Kind::Stall => {
                self.streamers_of(hall).into_iter().for_each(|i| self.world.streamers[i].stalled = false)
            }
            Kind::Short => self.world.racks.iter_mut().for_each(|r| r.left = 1.0),
            Kind::Restart => {}
        }
    }

    /// A streamer fell silent for those that can't reach it: their sessions there get nothing, and they find
    /// out by dialling again, as the transport does.
    fn silent(&mut self, streamer: usize) {
        let s = &self.world.streamers[streamer];
        let (alive, refuses) = (s.alive, s.refuses);
        let mut nodes = BTreeSet::new();
        for id in self.at[streamer].clone() {
            let call = &self.calls[&id];
            let node = call.node;
            if !alive {
                self.unbook(id);
            }
            if !self.reaches(self.nodes[node].hall, streamer) {
                nodes.insert(node);
            }
        }
        for node in nodes {
            let epoch = self.nodes[node].epoch;
            let (first, lost) = if refuses {
                (self.span(0.001, 0.25), 3 * SECOND / 4)
            } else {
                (self.span(0.25, 2.25), 7 * SECOND / 2)
            };
            let contact = Input::Contact { streamer: StreamerId(streamer as u32), up: false };
            self.soon(first, Event::Hear(node, epoch, contact));
            self.soon(lost, Event::Lost(node, epoch, streamer));
        }
    }

    /// A director dies: its sessions end, and their viewers and those that wait come again.
    fn kill(&mut self, node: usize) {
        let n = &mut self.nodes[node];
        (n.core, n.epoch) = (None, n.epoch + 1);
        let theirs: Vec<RequestId> =
            self.calls.iter().filter(|(_, c)| c.node == node).map(|(id, _)| *id).collect();
        for id in theirs {
            self.unbook(id);
            if let Some(call) = self.calls.remove(&id) {
                self.again(call.viewer, 0);
            }
        }
    }

    /// It starts again, with the list as it was told last and nothing else.
    fn revive(&mut self, node: usize) {
        let hall = self.nodes[node].hall;
        let Ok((core, halls)) = self.core(node, hall) else { return };
        (self.nodes[node].core, self.nodes[node].halls) = (Some(core), halls);
        let entries = self.told.clone();
        self.turn(node, Input::List { scope: ListScope::Cached, entries });
    }

    /// The list tells how streamers stand; each director hears it a little later, half of them by `late`
    /// more.
    fn publish(&mut self, streamers: &[usize], late_half_s: f64) {
        let entries: Vec<Entry> = streamers.iter().map(|i| self.world.entry(*i)).collect();
        for entry in &entries {
            self.told[entry.streamer.0 as usize] = entry.clone();
        }
        for node in 0..self.nodes.len() {
            let late = if (node / self.scenario.halls.len()).is_multiple_of(2) { 0.0 } else { late_half_s };
            let wait = self.span(0.0, 0.5) + (late * SECOND as f64) as Micros;
            let input = Input::List { scope: ListScope::Delta, entries: entries.clone() };
            let epoch = self.nodes[node].epoch;
            self.soon(wait, Event::Hear(node, epoch, input));
        }
    }

    // ---- What is seen -------------------------------------------------------------------------------------

    fn tick(&mut self) {
        self.soon(TICK, Event::Tick);
        let dt = TICK as f64 / SECOND as f64;
        let overdue: Vec<RequestId> = self
            .calls
            .iter()
            .filter(|(_, c)| !c.answered && self.now > c.deadline + SLACK)
            .map(|(id, _)| *id)
            .collect();
        for id in overdue {
            self.broken.unanswered += 1;
            if let Some(call) = self.calls.get_mut(&id) {
                call.answered = true; // counted once
            }
        }
        let counted = self.now > FILLED;
        let mut spill = 0.0;
        let delivered: Vec<f64> =
            (0..self.world.streamers.len()).map(|i| self.world.delivered(i, self.now)).collect();
        let mut earned = 0.0;
        let mut home = 0.0;
        for (streamer, sessions) in self.at.iter().enumerate() {
            for id in sessions {
                let call = &self.calls[id];
                let viewer = &self.viewers[call.viewer];
                let hall = self.world.streamers[streamer].hall;
                let kb = self.world.rate(viewer.class, call.rung);
                let stranger = self.lost_halls.contains(&viewer.home) && hall != viewer.home;
                let since = self.first_loss.is_some_and(|(at, _)| call.asked_at >= at);
                spill += if stranger && since { kb } else { 0.0 };
                if !call.playing || !self.reaches(self.nodes[call.node].hall, streamer) {
                    continue;
                }
                let short = (0.98 - delivered[streamer]).max(0.0);
                let class = &self.world.settings.classes[viewer.class.0];
                let worth = class.worth * self.world.settings.ladder_worth[call.rung.min(viewer.top)];
                let got = worth * (1.0 - STALL * short).max(0.0) * dt;
                earned += got;
                home += if self.first_loss.is_some_and(|(_, h)| h != viewer.home) { got } else { 0.0 };
            }
        }
        let mut offered = 0.0;
        let mut home_offered = 0.0;
        for viewer in self.viewers.iter().filter(|v| v.from < self.now && v.until > self.now) {
            let class = &self.world.settings.classes[viewer.class.0];
            let worth = class.worth * self.world.settings.ladder_worth[viewer.top] * dt;
            offered += worth;
            home_offered += if self.first_loss.is_some_and(|(_, h)| h != viewer.home) { worth } else { 0.0 };
        }
        if counted {
            self.out.worth_served += earned;
            self.out.worth_offered += offered;
            self.home.0 += home;
            self.home.1 += home_offered;
        }
        let running = self.nodes.iter().filter(|n| n.core.is_some());
        let booked: f64 = running.map(|n| n.halls.0.borrow().spill().used_kb()).sum();
        self.out.spill_peak = self.out.spill_peak.max(booked);
        self.out.strangers_peak = self.out.strangers_peak.max(spill);
        (self.second.served, self.second.offered) =
            (self.second.served + earned, self.second.offered + offered);
        self.second.spill_kb = self.second.spill_kb.max(spill);
        if self.now.is_multiple_of(SECOND) {
            self.each_second(&delivered);
        }
    }

    fn each_second(&mut self, delivered: &[f64]) {
        let halls = self.scenario.halls.len();
        let capacity = self.world.capacity(halls);
        let mut asked = vec![0.0; halls];
        self.world.streamers.iter().for_each(|s| asked[s.hall] += s.asked_kb);
        let load = asked.iter().zip(&capacity).map(|(a, c)| a / c.max(1.0)).collect();
        let at = self.now as f64 / SECOND as f64;
        let sample = std::mem::take(&mut self.second);
        self.out.samples.push(Sample { at, load, ..sample });
        // Notes of short delivery: to each director with sessions there, while it is short and once after.
        for (streamer, share) in delivered.iter().copied().enumerate() {
            let alive = self.world.streamers[streamer].alive;
            let was = self.short.contains(&streamer);
            if !alive || (share >= 0.98 && !was) {
                continue;
            }
            if share < 0.98 {
                self.short.insert(streamer);
            } else {
                self.short.remove(&streamer);
            }
            let mut one_each: BTreeMap<usize, RequestId> = BTreeMap::new();
            for id in &self.at[streamer] {
                one_each.entry(self.calls[id].node).or_insert(*id);
            }
            for (node, session) in one_each {
                if self.reaches(self.nodes[node].hall, streamer) {
                    let wait = self.span(0.64, 1.3);
                    let (from, kind) = (StreamerId(streamer as u32), NoteKind::Delivered);
                    let input = Input::Noted { streamer: from, session, kind, value: share };
                    self.soon(wait, Event::Hear(node, self.nodes[node].epoch, input));
                }
            }
        }
    }

    fn finish(mut self) -> Outcome {
        let broken = self.broken;
        self.out.rules_broken = broken.total();
        if let Ok(serde_json::Value::Object(kinds)) = serde_json::to_value(broken) {
            self.out.broken = kinds.into_iter().map(|(k, v)| (k, v.as_u64().unwrap_or(0))).collect();
        }
        self.out.return_pace_peak = self.pace.peak;
        self.out.home_served_share = if self.home.1 > 0.0 { self.home.0 / self.home.1 } else { 1.0 };
        let lost: BTreeSet<&String> = self
            .scenario
            .incidents
            .iter()
            .filter(|i| matches!(i.kind, Kind::Loss | Kind::Cut))
            .map(|i| &i.hall)
            .collect();
        let capacity = self.world.capacity(self.scenario.halls.len());
        let open = self.scenario.halls.iter().zip(capacity).filter(|(h, _)| !lost.contains(h));
        self.out.spill_limit = self.scenario.operator.spill_share * open.map(|(_, kb)| kb).sum::<f64>();
        if let Some((at, hall)) = self.first_loss {
            let others = self.nodes.iter().filter(|n| n.hall != hall);
            let mut found: Vec<f64> = Vec::new();
            for node in others {
                match node.found_at {
                    Some(when) => found.push((when - at) as f64 / SECOND as f64),
                    None => self.out.detect_missed += 1,
                }
            }
            found.sort_by(f64::total_cmp);
            self.out.detect_s = found.get(found.len() / 2).copied().unwrap_or(-1.0);
        }
        self.out
    }
}
