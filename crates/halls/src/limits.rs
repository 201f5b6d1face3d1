//! All halls together, behind the core's seam: tells each hall its signs, finds which requests spill, and
//! states the terms. Where all halls are lost none is shut: then no judgement is better than none.
use crate::evidence::Observation;
use crate::hall::{Hall, HallState, Transition};
use crate::settings::{HallPreference, HallSettings};
use crate::spill::SpillBudget;
use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};
use std::rc::Rc;
use stonewharf_core::{
    ClassId, Constraints, Effect, Event, ListScope, LoadReport, Micros, NoteKind, Outcome, PlacementLimits,
    Request, RequestId, Settings, Standing, StreamerId, ZoneId,
};

const SECOND: Micros = 1_000_000;
/// Load of a link or uplink, or missing delivery, from which a hall runs short.
const SHORT_LOAD: f64 = 1.0;
const SHORT_DELIVERY: f64 = 0.98;
/// Seconds over which the usual arrivals are taken, while all halls are settled.
const USUAL_S: f64 = 30.0;
/// A first try beyond this multiple of the usual arrivals is taken for one that comes from a lost hall.
const OWN_MORE: f64 = 1.25;
/// Least depth of the bucket for own first tries, so that chance alone makes nobody a stranger.
const OWN_DEPTH: f64 = 3.0;

/// Where a streamer stands.
struct Place {
    hall: ZoneId,
    rack: u32,
    kb: f64,
    up: bool,
    started_at: Option<Micros>,
}

/// What is kept of a request while halls are not all settled.
#[derive(Clone, Copy, Default)]
struct Mark {
    /// It came from a lost hall, as far as can be told.
    spills: bool,
    /// An attempt of it failed in this hall.
    failed_in: Option<ZoneId>,
}

/// The halls as one controller sees them.
pub struct Halls {
    own: HallSettings,
    set: Settings,
    /// Rank of halls by class, where an order is stated.
    order: Vec<BTreeMap<ZoneId, u32>>,
    names: BTreeMap<ZoneId, String>,
    halls: BTreeMap<ZoneId, Hall>,
    links_kb: BTreeMap<ZoneId, f64>,
    streamers: HashMap<StreamerId, Place>,
    spill: SpillBudget,
    /// Requests with a mark, and when it may go.
    marks: HashMap<RequestId, Mark>,
    fading: VecDeque<(Micros, RequestId)>,
    /// Own sessions, out or standing.
    held: HashMap<RequestId, (StreamerId, ClassId)>,
    held_when_settled: f64,
    /// First tries a second while all is settled, and the bucket that lets as many pass as own.
    usual_per_s: f64,
    counted_at: Micros,
    own_tokens: f64,
    tokens_at: Micros,
    began: Micros,
    settled: bool,
}

/// Halls that a controller and its operator share: the controller asks through the seam, the operator reads
/// the state and changes the settings under way.
#[derive(Clone)]
pub struct SharedHalls(pub Rc<RefCell<Halls>>);

impl SharedHalls {
    /// The halls, to be handed to a controller and kept.
    pub fn new(halls: Halls) -> Self {
        SharedHalls(Rc::new(RefCell::new(halls)))
    }
}

impl PlacementLimits for SharedHalls {
    fn observe_event(&mut self, now: Micros, event: &Event, news: &mut dyn FnMut(String)) {
        self.0.borrow_mut().observe_event(now, event, news);
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
    fn hold_off(&self, now: Micros, request: &Request, most: Micros, chance: f64) -> Option<Micros> {
        self.0.borrow().hold_off(now, request, most, chance)
    }
}

impl Halls {
    /// The halls of a deployment, all taken for whole. `class` and `zone` give the numbers of names; a class
    /// that the deployment does not have is left out.
    pub fn new(
        own: HallSettings,
        set: &Settings,
        now: Micros,
        class: impl Fn(&str) -> Option<usize>,
        zone: impl FnMut(&str) -> ZoneId,
    ) -> Self {
        let mut halls = Halls {
            own: HallSettings::default(),
            set: set.clone(),
            order: Vec::new(),
            names: BTreeMap::new(),
            halls: BTreeMap::new(),
            links_kb: BTreeMap::new(),
            streamers: HashMap::new(),
            spill: SpillBudget::new(now),
            marks: HashMap::new(),
            fading: VecDeque::new(),
            held: HashMap::new(),
            held_when_settled: 0.0,
            usual_per_s: 0.0,
            counted_at: now,
            own_tokens: OWN_DEPTH,
            tokens_at: now,
            began: now,
            settled: true,
        };
        halls.configure(own, class, zone);
        halls
    }

    /// Takes other settings under way; what is known of the halls stays.
    pub fn configure(
        &mut self,
        own: HallSettings,
        class: impl Fn(&str) -> Option<usize>,
        mut zone: impl FnMut(&str) -> ZoneId,
    ) {
        self.order = vec![BTreeMap::new(); self.set.classes.len()];
        for (name, order) in &own.order {
            if let Some(ranks) = class(name).and_then(|c| self.order.get_mut(c)) {
                ranks.extend(order.iter().enumerate().map(|(i, hall)| (zone(hall), i as u32)));
            }
        }
        self.names = own.names.iter().map(|name| (zone(name), name.clone())).collect();
        self.own = own;
        self.restate();
    }

    /// The state of a hall; one that is not on the list is whole.
    pub fn state(&self, hall: ZoneId) -> HallState {
        self.halls.get(&hall).map_or(HallState::Healthy, Hall::state)
    }

    /// The account of what spills.
    pub fn spill(&self) -> &SpillBudget {
        &self.spill
    }

    fn name(&self, hall: ZoneId) -> String {
        self.names.get(&hall).cloned().unwrap_or_else(|| format!("number {}", hall.0))
    }

    /// Whether a hall is shut: lost, while another stands.
    fn shut(&self, hall: ZoneId) -> bool {
        self.halls.get(&hall).is_some_and(Hall::is_lost) && !self.halls.values().all(Hall::is_lost)
    }

    /// Rank of a hall for a class: by the order that is stated, else by the preference.
    fn tier(&self, class: usize, hall: ZoneId) -> u32 {
        match self.order.get(class).filter(|order| !order.is_empty()) {
            Some(order) => order.get(&hall).copied().unwrap_or(order.len() as u32),
            None => u32::from(self.own.prefer == HallPreference::Home && hall != self.set.zone),
        }
    }

    fn mark(&self, id: RequestId) -> Mark {
        self.marks.get(&id).copied().unwrap_or_default()
    }

    /// Whether a set-up in a hall counts as spilled: its viewer comes from a lost hall, it crosses from one,
    /// or its tier is not the first. What goes to a hall that returns is its own again, and raised there in
    /// steps.
    fn spills(&self, request: &Request, hall: ZoneId) -> bool {
        if !self.is_settled(hall) {
            return false;
        }
        let away = hall != self.set.zone && !self.is_settled(self.set.zone);
        away || self.mark(request.id).spills || self.tier(request.class.0, hall) > 0
    }

    fn is_settled(&self, hall: ZoneId) -> bool {
        self.halls.get(&hall).is_none_or(Hall::is_settled)
    }

    /// States anew this controller's part of the spill limit, from the list and the state of the halls.
    fn restate(&mut self) {
        let all: f64 = self.links_kb.values().sum::<f64>().max(1.0);
        // The far halls: those that stand, or while all do, those that are not the own.
        let far = |zone: &ZoneId| if self.settled { *zone != self.set.zone } else { self.is_settled(*zone) };
        let open: f64 = self.links_kb.iter().filter(|(zone, _)| far(zone)).map(|(_, kb)| kb).sum();
        // Who sends across depends on which directors live, which nobody knows: all take even parts, so that
        // the sum never passes the limit and falls short of it by the parts of those that are lost.
        let senders = f64::from(self.set.controllers).max(1.0);
        let rate = if self.own.spill_rate > 0.0 { self.own.spill_rate / senders } else { f64::INFINITY };
        let more = ((all - open) / open.max(1.0)).clamp(0.25, 4.0);
        let expected = (self.held_when_settled * more).max(self.spill.session_count() as f64 + 1.0);
        self.spill.set_share(self.own.spill_share * open / senders, rate, expected);
    }

    fn relist(
        &mut self,
        scope: ListScope,
        entries: &[stonewharf_core::Entry],
        now: Micros,
    ) -> Vec<(ZoneId, Transition)> {
        if matches!(scope, ListScope::Full | ListScope::Cached) {
            self.streamers.values_mut().for_each(|p| p.up = false);
        }
        let mut changes = Vec::new();
        for entry in entries {
            let kb = (entry.weight * self.set.weight_kb).clamp(1.0, self.set.fleet_kb.max(1.0));
            let up = entry.standing == Standing::Up;
            let place = Place {
                hall: entry.zone,
                rack: self.set.rack_of(entry),
                kb,
                up,
                started_at: entry.started_at,
            };
            let (warm, cold) = (self.set.warm_up_us, self.set.cold_capacity_fraction);
            let hall = self.halls.entry(entry.zone).or_insert_with(|| Hall::new(now, warm, cold));
            if !up {
                hall.streamer_left(entry.streamer);
            }
            let before = self.streamers.insert(entry.streamer, place).and_then(|p| p.started_at);
            if let Some(at) = entry.started_at.filter(|at| up && before.is_none_or(|b| *at > b)) {
                changes.extend(hall.streamer_restarted(now, at).map(|c| (entry.zone, c)));
            }
        }
        // Capacity of each hall: its racks' uplinks where these are less than their links.
        let mut racks: BTreeMap<(ZoneId, u32), f64> = BTreeMap::new();
        for p in self.streamers.values().filter(|p| p.up) {
            *racks.entry((p.hall, p.rack)).or_default() += p.kb;
        }
        let mut links: BTreeMap<ZoneId, f64> = BTreeMap::new();
        for ((zone, _), kb) in racks {
            *links.entry(zone).or_default() += kb.min(self.set.rack_kb);
        }
        for (zone, hall) in &mut self.halls {
            match links.get(zone) {
                // Capacity of an emptied hall is remembered: it is what its viewers had.
                None => {
                    changes.extend(hall.no_streamer_running(now, &self.own).map(|c| (*zone, c)));
                }
                Some(kb) => {
                    self.links_kb.insert(*zone, *kb);
                }
            }
        }
        let used: HashSet<StreamerId> = self.held.values().map(|(at, _)| *at).collect();
        self.streamers.retain(|id, p| p.up || used.contains(id));
        changes
    }

    fn sign(&mut self, now: Micros, from: StreamerId, sign: Observation) -> Option<(ZoneId, Transition)> {
        // One that leaves as planned says nothing of its hall, unless it answers.
        let place = self.streamers.get(&from).filter(|p| p.up || sign == Observation::Reachable)?;
        let change = self.halls.get_mut(&place.hall)?.observe(now, from, sign, &self.own)?;
        Some((place.hall, change))
    }

    /// A request has come: while halls are not settled, finds out whether it spills.
    fn wanted(&mut self, now: Micros, request: &Request) {
        if self.settled {
            let passed = now.saturating_sub(self.counted_at) as f64 / SECOND as f64;
            let keep = (-passed / USUAL_S).exp();
            // A rate by exponential smoothing; young averages are taken over the time that there was.
            let span = (now.saturating_sub(self.began) as f64 / SECOND as f64).clamp(1.0, USUAL_S);
            self.usual_per_s = self.usual_per_s * keep + if request.returned { 0.0 } else { 1.0 / span };
            self.counted_at = now;
            return;
        }
        let depth = OWN_DEPTH.max(self.usual_per_s);
        let passed = now.saturating_sub(self.tokens_at) as f64 / SECOND as f64;
        self.own_tokens = (self.own_tokens + passed * OWN_MORE * self.usual_per_s).min(depth);
        self.tokens_at = now;
        let own = !request.returned && self.own_tokens >= 1.0;
        self.own_tokens -= f64::from(u8::from(own));
        self.set_mark(now, request.id, |m| m.spills = !own);
    }

    fn set_mark(&mut self, now: Micros, id: RequestId, change: impl FnOnce(&mut Mark)) {
        if !self.marks.contains_key(&id) {
            self.fading.push_back((now + 10 * SECOND, id));
        }
        change(self.marks.entry(id).or_default());
    }

    fn short(&mut self, now: Micros, at: StreamerId) {
        let hall = self.streamers.get(&at).map(|p| p.hall);
        if !self.settled && hall.is_some_and(|h| !self.shut(h)) {
            self.spill.back_off(now, self.own.back_off);
        }
    }

    fn reported(&mut self, now: Micros, at: StreamerId, report: &LoadReport) {
        let load = report.link.unwrap_or(0.0).max(report.uplink.unwrap_or(0.0));
        if load > SHORT_LOAD {
            self.short(now, at);
        }
    }

    fn pass(&mut self, now: Micros) -> Vec<(ZoneId, Transition)> {
        while let Some((_, id)) = self.fading.front().copied().filter(|f| f.0 <= now) {
            self.fading.pop_front();
            self.marks.remove(&id);
        }
        let own = &self.own;
        let passed = self.halls.iter_mut().filter_map(|(zone, hall)| Some((*zone, hall.tick(now, own)?)));
        passed.collect()
    }
}

impl PlacementLimits for Halls {
    fn observe_event(&mut self, now: Micros, event: &Event, news: &mut dyn FnMut(String)) {
        let mut changes = match event {
            Event::Timer(_) => self.pass(now),
            Event::List { scope: ListScope::Failed, .. } => Vec::new(),
            Event::List { scope, entries } => {
                let changes = self.relist(*scope, entries, now);
                self.restate();
                changes
            }
            _ => Vec::new(),
        };
        let sign = match event {
            Event::Inbound(request) => {
                self.wanted(now, request);
                None
            }
            Event::Preexisting(request, at) => {
                self.held.insert(request.id, (*at, request.class));
                None
            }
            Event::ConnectResult { streamer, connected: up } => {
                Some((*streamer, if *up { Observation::Reachable } else { Observation::Unreachable }))
            }
            Event::Started { streamer, .. } => Some((*streamer, Observation::Reachable)),
            Event::Note { streamer, kind, value, .. } => {
                match kind {
                    NoteKind::Delivered if *value > 0.0 && *value < SHORT_DELIVERY => {
                        self.short(now, *streamer);
                    }
                    NoteKind::LinkUse | NoteKind::UplinkUse if *value > SHORT_LOAD => {
                        self.short(now, *streamer);
                    }
                    _ => {}
                }
                Some((*streamer, Observation::Reachable))
            }
            Event::Ended { request, streamer, outcome, report, .. } => {
                self.held.remove(request);
                self.spill.remove(*request);
                self.reported(now, *streamer, report);
                let sign = match outcome {
                    Outcome::Ok | Outcome::Failed | Outcome::QueueFull | Outcome::Garbled => {
                        Some(Observation::Reachable)
                    }
                    Outcome::ConnectError => Some(Observation::Unreachable),
                    Outcome::TimedOut => Some(Observation::TimedOut),
                    Outcome::Reset => Some(Observation::ConnectionLost),
                    Outcome::Canceled | Outcome::Ignored => None,
                };
                if sign.is_some_and(|s| s != Observation::Reachable)
                    && let Some(hall) = self.streamers.get(streamer).map(|p| p.hall)
                {
                    self.set_mark(now, *request, |m| m.failed_in = Some(hall));
                }
                sign.map(|s| (*streamer, s))
            }
            Event::Probed { streamer, outcome, report } => {
                self.reported(now, *streamer, report);
                match outcome {
                    Outcome::Ok => Some((*streamer, Observation::Reachable)),
                    Outcome::ConnectError => Some((*streamer, Observation::Unreachable)),
                    Outcome::TimedOut => Some((*streamer, Observation::TimedOut)),
                    _ => None,
                }
            }
            Event::ClientGone(_) | Event::Timer(_) | Event::List { .. } => None,
        };
        changes.extend(sign.and_then(|(from, sign)| self.sign(now, from, sign)));
        if changes.is_empty() {
            return;
        }
        let was_settled = self.settled;
        self.settled = self.halls.values().all(Hall::is_settled);
        if was_settled && !self.settled {
            self.held_when_settled = self.held.len() as f64;
            (self.own_tokens, self.tokens_at) = (OWN_DEPTH, now);
        }
        self.restate();
        for (zone, change) in changes.into_iter().filter(|_| self.own.enabled) {
            let name = self.name(zone);
            news(match change {
                Transition::Lost(0) => format!("hall {name} is lost: the list says that nothing in it runs"),
                Transition::Lost(n) => format!("hall {name} is lost: {n} streamers cannot be reached"),
                Transition::LostAgain(n) => format!("hall {name} is lost again while it returned, time {n}"),
                Transition::Returning => format!("hall {name} returns, load is raised in steps"),
                Transition::Recovered => format!("hall {name} is back"),
            });
        }
    }

    fn attempt_sent(&mut self, now: Micros, request: &Request, streamer: StreamerId, rung: usize) {
        self.held.insert(request.id, (streamer, request.class));
        let Some(zone) = self.streamers.get(&streamer).map(|p| p.hall) else { return };
        if self.spills(request, zone) {
            self.spill.record_set_up(now, request.id, self.set.rate_kb(request.class, rung));
            self.set_mark(now, request.id, |m| m.spills = true);
        }
        let own = &self.own;
        if let Some(hall) = self.halls.get_mut(&zone) {
            hall.trial_sent(now, own);
        }
    }

    fn rung_changed(&mut self, request: RequestId, rung: usize) {
        if let Some((_, class)) = self.held.get(&request) {
            self.spill.change_rate(request, self.set.rate_kb(*class, rung));
        }
    }

    fn constraints(&self, now: Micros, request: &Request, streamer: StreamerId) -> Constraints {
        let Some(place) = self.streamers.get(&streamer).filter(|_| self.own.enabled) else {
            return Constraints::NONE;
        };
        let Some(hall) = self.halls.get(&place.hall) else { return Constraints::NONE };
        let mark = if self.marks.is_empty() { Mark::default() } else { self.mark(request.id) };
        let class = &self.set.classes[request.class.0];
        let mut tier = self.tier(request.class.0, place.hall);
        if self.shut(place.hall) {
            // A trial goes first, by a session that can be set up again elsewhere in time.
            let harmless = class.effect == Effect::Idempotent && mark.failed_in.is_none();
            let open = harmless && hall.trial_due(now);
            return Constraints { tier: 0, allowed: open, max_rate_kb: f64::INFINITY };
        }
        if !self.settled && self.halls.values().any(|h| h.trial_due(now)) {
            tier += 1;
        }
        tier += u32::from(mark.failed_in == Some(place.hall));
        // Where all halls are lost, none is shut.
        let open = hall.is_lost() || hall.admits(now, streamer, &self.own);
        let mut terms = Constraints { tier, allowed: open, max_rate_kb: f64::INFINITY };
        if self.spills(request, place.hall) {
            let least = self.set.rate_kb(request.class, class.lowest_rung);
            match self.spill.max_rate_kb(now, request.id, least) {
                Some(most) => terms.max_rate_kb = most,
                None => terms.allowed = false,
            }
        }
        terms
    }

    fn hold_off(&self, _now: Micros, _request: &Request, most: Micros, chance: f64) -> Option<Micros> {
        // All that come from a lost hall come at once: their returns are spread over all the time there is.
        (self.own.enabled && !self.settled).then_some((most as f64 * (0.25 + 0.75 * chance)) as Micros)
    }
}
