//! The placement limits of all halls: passes observations to each hall, finds which requests spill over from
//! a lost hall, and returns the constraints on each set-up. If all halls are judged lost, none is closed:
//! no judgement is better then.
use crate::{Hall, HallPreference, HallSettings, HallState, Observation, SpillBudget, Transition};
use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};
use std::rc::Rc;
use stonewharf_core::{
    ClassId, Constraints, Effect, Entry, Event, ListScope, LoadReport, Micros, NoteKind, Outcome,
    PlacementLimits, Request, RequestId, Settings, Standing, StreamerId, ZoneId,
};

const SECOND: Micros = 1_000_000;
/// A link or uplink load above this, or a delivered share below `MIN_DELIVERY`, is a shortage of capacity.
const MAX_LOAD: f64 = 1.0;
const MIN_DELIVERY: f64 = 0.98;
/// Time constant, in seconds, of the average arrival rate that is kept while all halls are settled.
const USUAL_RATE_WINDOW_S: f64 = 30.0;
/// First tries above this multiple of the usual arrival rate are taken to come from a lost hall.
const REGULAR_FACTOR: f64 = 1.25;
/// Least depth of the token bucket for regular first tries, so that random bursts don't count as spill.
const REGULAR_DEPTH: f64 = 3.0;
const REQUEST_NOTE_LIFETIME_US: Micros = 10 * SECOND;

/// Location, capacity and status of a streamer, as discovery lists it.
struct StreamerInfo {
    hall: ZoneId,
    rack: u32,
    capacity_kb: f64,
    running: bool,
    started_at: Option<Micros>,
}

/// What is remembered about a request while some hall is lost or returning.
#[derive(Clone, Copy, Default)]
struct RequestNote {
    /// Its viewer probably comes from a lost hall.
    spills: bool,
    /// The hall of its last attempt that failed without an answer from the streamer.
    failed_in: Option<ZoneId>,
}

/// All halls, as one director sees them.
pub struct Halls {
    config: HallSettings,
    settings: Settings,
    /// Rank of the halls for each class; empty for a class without a configured order.
    class_order: Vec<BTreeMap<ZoneId, u32>>,
    names: BTreeMap<ZoneId, String>,
    halls: BTreeMap<ZoneId, Hall>,
    capacity_kb: BTreeMap<ZoneId, f64>,
    streamers: HashMap<StreamerId, StreamerInfo>,
    spill: SpillBudget,
    /// Notes on requests, and when each expires.
    notes: HashMap<RequestId, RequestNote>,
    note_expiry: VecDeque<(Micros, RequestId)>,
    /// Own attempts in flight and established sessions.
    sessions: HashMap<RequestId, (StreamerId, ClassId)>,
    sessions_when_settled: f64,
    /// First tries a second while all halls are settled.
    usual_per_s: f64,
    usual_at: Micros,
    /// Token bucket of that rate, from which regular first tries are counted once a hall is lost.
    tokens: f64,
    tokens_at: Micros,
    started_at: Micros,
    settled: bool,
}

/// A shared handle: the controller uses it as its [`PlacementLimits`], while the owner of the handle reads
/// the state and changes the settings at run time.
#[derive(Clone)]
pub struct SharedHalls(pub Rc<RefCell<Halls>>);

impl SharedHalls {
    /// Wraps `halls`; clones of the result share them.
    pub fn new(halls: Halls) -> Self {
        SharedHalls(Rc::new(RefCell::new(halls)))
    }
}

impl PlacementLimits for SharedHalls {
    fn observe_event(&mut self, now: Micros, event: &Event, log: &mut dyn FnMut(String)) {
        self.0.borrow_mut().observe_event(now, event, log);
    }
    fn attempt_sent(&mut self, now: Micros, request: &Request, streamer: StreamerId, rung: usize) {
        self.0.borrow_mut().attempt_sent(now, request, streamer, rung);
    }
    fn rung_changed(&mut self, request: RequestId, rung: usize) {
        self.0.borrow_mut().rung_changed(request, rung);
    }
    fn constraints(&self, now: Micros, request: &Request, streamer: StreamerId) -> Constraints {
        self.0.borrow().constraints(now, request, streamer)
    }
    fn hold_off(&self, now: Micros, request: &Request, longest: Micros, chance: f64) -> Option<Micros> {
        self.0.borrow().hold_off(now, request, longest, chance)
    }
}

impl Halls {
    /// Creates the halls of a deployment, all healthy. `class` and `zone` map names to ids; the order of a
    /// class that the deployment does not have is ignored.
    pub fn new(
        config: HallSettings,
        settings: &Settings,
        now: Micros,
        class: impl Fn(&str) -> Option<usize>,
        zone: impl FnMut(&str) -> ZoneId,
    ) -> Self {
        let mut halls = Halls {
            config: HallSettings::default(),
            settings: settings.clone(),
            class_order: Vec::new(),
            names: BTreeMap::new(),
            halls: BTreeMap::new(),
            capacity_kb: BTreeMap::new(),
            streamers: HashMap::new(),
            spill: SpillBudget::new(now),
            notes: HashMap::new(),
            note_expiry: VecDeque::new(),
            sessions: HashMap::new(),
            sessions_when_settled: 0.0,
            usual_per_s: 0.0,
            usual_at: now,
            tokens: REGULAR_DEPTH,
            tokens_at: now,
            started_at: now,
            settled: true,
        };
        halls.configure(config, class, zone);
        halls
    }

    /// Replaces the settings at run time; the state of the halls stays.
    pub fn configure(
        &mut self,
        config: HallSettings,
        class: impl Fn(&str) -> Option<usize>,
        mut zone: impl FnMut(&str) -> ZoneId,
    ) {
        self.class_order = vec![BTreeMap::new(); self.settings.classes.len()];
        for (name, order) in &config.order {
            if let Some(ranks) = class(name).and_then(|c| self.class_order.get_mut(c)) {
                ranks.extend(order.iter().enumerate().map(|(i, hall)| (zone(hall), i as u32)));
            }
        }
        self.names = config.names.iter().map(|name| (zone(name), name.clone())).collect();
        self.config = config;
        self.update_spill_share();
    }

    /// The state of a hall; one that discovery never listed is healthy.
    pub fn state(&self, hall: ZoneId) -> HallState {
        self.halls.get(&hall).map_or(HallState::Healthy, Hall::state)
    }

    /// This director's spill budget.
    pub fn spill(&self) -> &SpillBudget {
        &self.spill
    }

    fn name(&self, hall: ZoneId) -> String {
        self.names.get(&hall).cloned().unwrap_or_else(|| format!("number {}", hall.0))
    }

    /// Whether a hall is closed to set-ups: it is lost and some other hall is not.
    fn is_closed(&self, hall: ZoneId) -> bool {
        self.halls.get(&hall).is_some_and(Hall::is_lost) && !self.halls.values().all(Hall::is_lost)
    }

    /// Tier of a hall for a class: by the configured order of the class, else by the preference.
    fn tier(&self, class: usize, hall: ZoneId) -> u32 {
        match self.class_order.get(class).filter(|order| !order.is_empty()) {
            Some(order) => order.get(&hall).copied().unwrap_or(order.len() as u32),
            None => u32::from(self.config.prefer == HallPreference::Home && hall != self.settings.zone),
        }
    }

    fn note(&self, id: RequestId) -> RequestNote {
        self.notes.get(&id).copied().unwrap_or_default()
    }

    /// Whether a set-up in `hall` counts against the spill budget: its viewer comes from a lost hall, it
    /// leaves this director's own hall while that is not settled, or the hall's tier is not the first.
    /// Set-ups in a returning hall do not count: that hall's return steps limit them.
    fn counts_as_spill(&self, request: &Request, hall: ZoneId) -> bool {
        if !self.is_settled(hall) {
            return false;
        }
        let leaves_own_hall = hall != self.settings.zone && !self.is_settled(self.settings.zone);
        leaves_own_hall || self.note(request.id).spills || self.tier(request.class.0, hall) > 0
    }

    fn is_settled(&self, hall: ZoneId) -> bool {
        self.halls.get(&hall).is_none_or(Hall::is_settled)
    }

    /// Recomputes this director's share of the spill limit from the capacity and the state of the halls.
    fn update_spill_share(&mut self) {
        let total_kb: f64 = self.capacity_kb.values().sum::<f64>().max(1.0);
        // The far halls are the settled ones or, while all are settled, all but the own.
        let is_far = |z: &ZoneId| if self.settled { *z != self.settings.zone } else { self.is_settled(*z) };
        let far_kb: f64 = self.capacity_kb.iter().filter(|(zone, _)| is_far(zone)).map(|(_, kb)| kb).sum();
        // No director knows which others are running. Each takes an equal share, so that the sum never passes
        // the limit; it falls short of it by the shares of the directors that are down.
        let directors = f64::from(self.settings.controllers).max(1.0);
        let rate =
            if self.config.spill_rate > 0.0 { self.config.spill_rate / directors } else { f64::INFINITY };
        let growth = ((total_kb - far_kb) / far_kb.max(1.0)).clamp(0.25, 4.0);
        let expected = (self.sessions_when_settled * growth).max(self.spill.session_count() as f64 + 1.0);
        self.spill.set_share(self.config.spill_share * far_kb / directors, rate, expected);
    }

    fn apply_list(&mut self, scope: ListScope, entries: &[Entry], now: Micros) -> Vec<(ZoneId, Transition)> {
        if matches!(scope, ListScope::Full | ListScope::Cached) {
            self.streamers.values_mut().for_each(|p| p.running = false);
        }
        let mut changes = Vec::new();
        for entry in entries {
            let capacity_kb =
                (entry.weight * self.settings.weight_kb).clamp(1.0, self.settings.fleet_kb.max(1.0));
            let running = entry.standing == Standing::Up;
            let info = StreamerInfo {
                hall: entry.zone,
                rack: self.settings.rack_of(entry),
                capacity_kb,
                running,
                started_at: entry.started_at,
            };
            let (warm_up, cold) = (self.settings.warm_up_us, self.settings.cold_capacity_fraction);
            let hall = self.halls.entry(entry.zone).or_insert_with(|| Hall::new(now, warm_up, cold));
            if !running {
                hall.streamer_left(entry.streamer);
            }
            let previous = self.streamers.insert(entry.streamer, info).and_then(|p| p.started_at);
            if let Some(at) = entry.started_at.filter(|at| running && previous.is_none_or(|b| *at > b)) {
                changes.extend(hall.streamer_restarted(now, at).map(|c| (entry.zone, c)));
            }
        }
        // A rack contributes the sum of its streamers' links, up to the capacity of its uplink.
        let mut racks: BTreeMap<(ZoneId, u32), f64> = BTreeMap::new();
        for p in self.streamers.values().filter(|p| p.running) {
            *racks.entry((p.hall, p.rack)).or_default() += p.capacity_kb;
        }
        let mut capacities: BTreeMap<ZoneId, f64> = BTreeMap::new();
        for ((zone, _), kb) in racks {
            *capacities.entry(zone).or_default() += kb.min(self.settings.rack_kb);
        }
        for (zone, hall) in &mut self.halls {
            match capacities.get(zone) {
                // The last capacity of a hall without streamers stays: its viewers need as much elsewhere.
                None => {
                    changes.extend(hall.no_streamer_running(now, &self.config).map(|c| (*zone, c)));
                }
                Some(kb) => {
                    self.capacity_kb.insert(*zone, *kb);
                }
            }
        }
        let streamers_in_use: HashSet<StreamerId> = self.sessions.values().map(|(at, _)| *at).collect();
        self.streamers.retain(|id, p| p.running || streamers_in_use.contains(id));
        changes
    }

    fn observe(&mut self, now: Micros, from: StreamerId, seen: Observation) -> Option<(ZoneId, Transition)> {
        // Failures of a streamer that is draining or gone are no evidence about its hall; answers are.
        let info = self.streamers.get(&from).filter(|p| p.running || seen == Observation::Reachable)?;
        let change = self.halls.get_mut(&info.hall)?.observe(now, from, seen, &self.config)?;
        Some((info.hall, change))
    }

    /// Updates the usual arrival rate or, while a hall is not settled, decides whether the request spills.
    fn request_arrived(&mut self, now: Micros, request: &Request) {
        if self.settled {
            let elapsed_s = now.saturating_sub(self.usual_at) as f64 / SECOND as f64;
            let decay = (-elapsed_s / USUAL_RATE_WINDOW_S).exp();
            // Exponential smoothing; a young average is taken over the time since the start.
            let window_s =
                (now.saturating_sub(self.started_at) as f64 / SECOND as f64).clamp(1.0, USUAL_RATE_WINDOW_S);
            self.usual_per_s = self.usual_per_s * decay + if request.returned { 0.0 } else { 1.0 / window_s };
            self.usual_at = now;
            return;
        }
        let bucket_depth = REGULAR_DEPTH.max(self.usual_per_s);
        let elapsed_s = now.saturating_sub(self.tokens_at) as f64 / SECOND as f64;
        self.tokens = (self.tokens + elapsed_s * REGULAR_FACTOR * self.usual_per_s).min(bucket_depth);
        self.tokens_at = now;
        let is_regular = !request.returned && self.tokens >= 1.0;
        self.tokens -= f64::from(u8::from(is_regular));
        self.update_note(now, request.id, |note| note.spills = !is_regular);
    }

    fn update_note(&mut self, now: Micros, id: RequestId, change: impl FnOnce(&mut RequestNote)) {
        if !self.notes.contains_key(&id) {
            self.note_expiry.push_back((now + REQUEST_NOTE_LIFETIME_US, id));
        }
        change(self.notes.entry(id).or_default());
    }

    fn shortage_reported(&mut self, now: Micros, streamer: StreamerId) {
        let hall = self.streamers.get(&streamer).map(|p| p.hall);
        if !self.settled && hall.is_some_and(|h| !self.is_closed(h)) {
            self.spill.back_off(now, self.config.back_off);
        }
    }

    fn check_report(&mut self, now: Micros, streamer: StreamerId, report: &LoadReport) {
        let load = report.link.unwrap_or(0.0).max(report.uplink.unwrap_or(0.0));
        if load > MAX_LOAD {
            self.shortage_reported(now, streamer);
        }
    }

    fn tick(&mut self, now: Micros) -> Vec<(ZoneId, Transition)> {
        while let Some((_, id)) = self.note_expiry.front().copied().filter(|expiry| expiry.0 <= now) {
            self.note_expiry.pop_front();
            self.notes.remove(&id);
        }
        let config = &self.config;
        let changes = self.halls.iter_mut().filter_map(|(zone, hall)| Some((*zone, hall.tick(now, config)?)));
        changes.collect()
    }
}

impl PlacementLimits for Halls {
    fn observe_event(&mut self, now: Micros, event: &Event, log: &mut dyn FnMut(String)) {
        let mut changes = match event {
            Event::Timer(_) => self.tick(now),
            Event::List { scope: ListScope::Failed, .. } => Vec::new(),
            Event::List { scope, entries } => {
                let changes = self.apply_list(*scope, entries, now);
                self.update_spill_share();
                changes
            }
            _ => Vec::new(),
        };
        let observation = match event {
            Event::Inbound(request) => {
                self.request_arrived(now, request);
                None
            }
            Event::Preexisting(request, at) => {
                self.sessions.insert(request.id, (*at, request.class));
                None
            }
            Event::ConnectResult { streamer, connected } => {
                Some((*streamer, if *connected { Observation::Reachable } else { Observation::Unreachable }))
            }
            Event::Started { streamer, .. } => Some((*streamer, Observation::Reachable)),
            Event::Note { streamer, kind, value, .. } => {
                match kind {
                    NoteKind::Delivered if *value > 0.0 && *value < MIN_DELIVERY => {
                        self.shortage_reported(now, *streamer);
                    }
                    NoteKind::LinkUse | NoteKind::UplinkUse if *value > MAX_LOAD => {
                        self.shortage_reported(now, *streamer);
                    }
                    _ => {}
                }
                Some((*streamer, Observation::Reachable))
            }
            Event::Ended { request, streamer, outcome, report, .. } => {
                self.sessions.remove(request);
                self.spill.remove(*request);
                self.check_report(now, *streamer, report);
                let observation = match outcome {
                    Outcome::Ok | Outcome::Failed | Outcome::QueueFull | Outcome::Garbled => {
                        Some(Observation::Reachable)
                    }
                    Outcome::ConnectError => Some(Observation::Unreachable),
                    Outcome::TimedOut => Some(Observation::TimedOut),
                    Outcome::Reset => Some(Observation::ConnectionLost),
                    Outcome::Canceled | Outcome::Ignored => None,
                };
                if observation.is_some_and(|o| o != Observation::Reachable)
                    && let Some(hall) = self.streamers.get(streamer).map(|p| p.hall)
                {
                    self.update_note(now, *request, |note| note.failed_in = Some(hall));
                }
                observation.map(|o| (*streamer, o))
            }
            Event::Probed { streamer, outcome, report } => {
                self.check_report(now, *streamer, report);
                match outcome {
                    Outcome::Ok => Some((*streamer, Observation::Reachable)),
                    Outcome::ConnectError => Some((*streamer, Observation::Unreachable)),
                    Outcome::TimedOut => Some((*streamer, Observation::TimedOut)),
                    _ => None,
                }
            }
            Event::ClientGone(_) | Event::Timer(_) | Event::List { .. } => None,
        };
        changes.extend(observation.and_then(|(from, seen)| self.observe(now, from, seen)));
        if changes.is_empty() {
            return;
        }
        let was_settled = self.settled;
        self.settled = self.halls.values().all(Hall::is_settled);
        if was_settled && !self.settled {
            self.sessions_when_settled = self.sessions.len() as f64;
            (self.tokens, self.tokens_at) = (REGULAR_DEPTH, now);
        }
        self.update_spill_share();
        for (zone, change) in changes.into_iter().filter(|_| self.config.enabled) {
            let name = self.name(zone);
            log(match change {
                Transition::Lost(0) => format!("hall {name} is lost: discovery lists no running streamer"),
                Transition::Lost(n) => format!("hall {name} is lost: {n} streamers cannot be reached"),
                Transition::LostAgain(n) => format!("hall {name} is lost again during its return (time {n})"),
                Transition::Returning => format!("hall {name} returns; load is raised in steps"),
                Transition::Recovered => format!("hall {name} has fully returned"),
            });
        }
    }

    fn attempt_sent(&mut self, now: Micros, request: &Request, streamer: StreamerId, rung: usize) {
        self.sessions.insert(request.id, (streamer, request.class));
        let Some(zone) = self.streamers.get(&streamer).map(|p| p.hall) else { return };
        if self.counts_as_spill(request, zone) {
            self.spill.record_set_up(now, request.id, self.settings.rate_kb(request.class, rung));
            self.update_note(now, request.id, |note| note.spills = true);
        }
        let config = &self.config;
        if let Some(hall) = self.halls.get_mut(&zone) {
            hall.trial_sent(now, config);
        }
    }

    fn rung_changed(&mut self, request: RequestId, rung: usize) {
        if let Some((_, class)) = self.sessions.get(&request) {
            self.spill.change_rate(request, self.settings.rate_kb(*class, rung));
        }
    }

    fn constraints(&self, now: Micros, request: &Request, streamer: StreamerId) -> Constraints {
        let Some(info) = self.streamers.get(&streamer).filter(|_| self.config.enabled) else {
            return Constraints::NONE;
        };
        let Some(hall) = self.halls.get(&info.hall) else { return Constraints::NONE };
        let note = if self.notes.is_empty() { RequestNote::default() } else { self.note(request.id) };
        let class = &self.settings.classes[request.class.0];
        let mut tier = self.tier(request.class.0, info.hall);
        if self.is_closed(info.hall) {
            // A trial goes first, and only with a request that can safely be retried elsewhere in time.
            let is_safe_trial = class.effect == Effect::Idempotent && note.failed_in.is_none();
            let allowed = is_safe_trial && hall.trial_due(now);
            return Constraints { tier: 0, allowed, max_rate_kb: f64::INFINITY };
        }
        if !self.settled && self.halls.values().any(|h| h.trial_due(now)) {
            tier += 1;
        }
        tier += u32::from(note.failed_in == Some(info.hall));
        // Only if all halls are lost does a lost one get here.
        let allowed = hall.is_lost() || hall.admits(now, streamer, &self.config);
        let mut constraints = Constraints { tier, allowed, max_rate_kb: f64::INFINITY };
        if self.counts_as_spill(request, info.hall) {
            let min_rate_kb = self.settings.rate_kb(request.class, class.lowest_rung);
            match self.spill.max_rate_kb(now, request.id, min_rate_kb) {
                Some(rate_kb) => constraints.max_rate_kb = rate_kb,
                None => constraints.allowed = false,
            }
        }
        constraints
    }

    fn hold_off(&self, _now: Micros, _request: &Request, longest: Micros, chance: f64) -> Option<Micros> {
        // Viewers of a lost hall all arrive at once: their retries are spread up to the longest hold-off.
        (self.config.enabled && !self.settled).then_some((longest as f64 * (0.25 + 0.75 * chance)) as Micros)
    }
}
