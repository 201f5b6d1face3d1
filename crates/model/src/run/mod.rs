//! One run: the clock and queue of simulated time, the viewers, and the directors (the real core) set between
//! them and the world. Everything that is random comes from one seed.
mod between;
mod incidents;
mod seen;
mod viewers;

use crate::audit::{Broken, Pace};
use crate::scenario::{Incident, Kind, Scenario};
use crate::world::{SECOND, WINDOW, World};
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, HashSet};
use std::rc::Rc;
use stonewharf_core::director::{
    Attempt, Director, Input, Output, Parcel, SessionEnd, UnsentReason, ViewerLink,
};
use stonewharf_core::{
    ClassId, Effect, Entry, ListScope, LoadReport, Micros, NoteKind, Outcome as Ending, Request, RequestId,
    SettingsError, StreamerId, TitleId, ViewerId, ZoneId,
};
use stonewharf_halls::{HallState, Halls, SharedHalls};

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
        (settings.controller_index, settings.zone) = (me as u32, ZoneId(hall as u32));
        let names = ["replay", "seat-view"];
        let class = |name: &str| names.iter().position(|n| *n == name);
        let zone =
            |name: &str| ZoneId(self.scenario.halls.iter().position(|h| h == name).unwrap_or(99) as u32);
        let halls = Halls::new(self.scenario.operator.clone(), &settings, self.now, class, zone);
        let halls = SharedHalls::new(halls);
        let core = Director::new(settings, self.dice.random(), self.now)?;
        Ok((core.with_limits(Box::new(halls.clone())), halls))
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
}
