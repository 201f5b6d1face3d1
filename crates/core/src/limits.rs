//! The seam by which a subsystem's limits reach the decision module. A subsystem is told what the module is
//! told and what it sends; asked about a set-up, it states terms: the streamer's tier, whether it is open,
//! and how high the session may start. The module asks and decides: terms can only narrow its choice, never
//! widen it, so no rule that the module keeps can be broken from here. Never does I/O and never answers a
//! request.
use crate::interface::*;

/// Cost of a tier further in placement: more than all else there together.
const TIER_COST: f64 = 1e3;

/// What holds for a set-up of one request to one streamer at one moment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Constraints {
    /// Preference, 0 first. A tier is left only where the one before has no room for the request.
    pub tier: u32,
    /// Whether the set-up may go there now.
    pub allowed: bool,
    /// The rate at which the session may start, or be stepped up to, kB a second; the class's lowest rung is
    /// always allowed.
    pub max_rate_kb: f64,
}

impl Constraints {
    /// No limit at all.
    pub const NONE: Constraints = Constraints { tier: 0, allowed: true, max_rate_kb: f64::INFINITY };
}

/// Limits of a subsystem. All times are the controller's, in microseconds, and never go back.
pub trait PlacementLimits {
    /// Told of each event before the module acts on it. Lines for on-call staff go to `news`.
    fn observe_event(&mut self, now: Micros, event: &Event, log: &mut dyn FnMut(String));

    /// Told of each set-up as it is sent, and the rung that it starts at. Each ends by one [`Event::Ended`].
    fn attempt_sent(&mut self, now: Micros, request: &Request, streamer: StreamerId, rung: usize);

    /// Told of each change of rung of a session that is out or plays.
    fn rung_changed(&mut self, _request: RequestId, _rung: usize) {}

    /// The terms for a set-up of `request` to `streamer` now. Asked for each streamer that could be chosen:
    /// its cost must not grow with their number.
    fn constraints(&self, now: Micros, request: &Request, streamer: StreamerId) -> Constraints;

    /// Whether this director may act on a session by its own will now; false where another one may.
    fn may_act_on(&self, _now: Micros, _request: RequestId) -> bool {
        true
    }

    /// How long the viewer of a refused request is told to stay away: `most` is the longest that clients
    /// follow, `chance` the controller's own dice, 0 to 1. `None` leaves it to the module.
    fn hold_off(
        &self,
        _now: Micros,
        _request: &Request,
        _max_hold_off: Micros,
        _chance: f64,
    ) -> Option<Micros> {
        None
    }
}

impl Constraints {
    /// Both: the greater tier, open where both are, the lesser rate.
    fn and(self, other: Constraints) -> Constraints {
        Constraints {
            tier: self.tier.max(other.tier),
            allowed: self.allowed && other.allowed,
            max_rate_kb: self.max_rate_kb.min(other.max_rate_kb),
        }
    }
}

/// Where the module keeps the limits that are set; without any, all terms are free.
#[derive(Default)]
pub(crate) struct LimitSet {
    now: Micros,
    members: Vec<Box<dyn PlacementLimits>>,
}

impl LimitSet {
    pub(crate) fn add(&mut self, limits: Box<dyn PlacementLimits>) {
        self.members.push(limits);
    }

    pub(crate) fn observe_event(&mut self, now: Micros, event: &Event, out: &mut Vec<Action>) {
        self.now = now;
        for limits in &mut self.members {
            limits.observe_event(now, event, &mut |line| out.push(Action::Log(line)));
        }
    }

    pub(crate) fn attempt_sent(&mut self, request: &Request, streamer: StreamerId, rung: usize) {
        let now = self.now;
        self.members.iter_mut().for_each(|limits| limits.attempt_sent(now, request, streamer, rung));
    }

    pub(crate) fn rung_changed(&mut self, request: RequestId, rung: usize) {
        self.members.iter_mut().for_each(|limits| limits.rung_changed(request, rung));
    }

    pub(crate) fn constraints(&self, request: &Request, streamer: StreamerId) -> Constraints {
        let all = self.members.iter().map(|limits| limits.constraints(self.now, request, streamer));
        all.fold(Constraints::NONE, Constraints::and)
    }

    pub(crate) fn may_act_on(&self, request: RequestId) -> bool {
        self.members.iter().all(|limits| limits.may_act_on(self.now, request))
    }

    pub(crate) fn allowed(&self, request: &Request, streamer: StreamerId) -> bool {
        self.constraints(request, streamer).allowed
    }

    pub(crate) fn tier_cost(&self, request: &Request, streamer: StreamerId) -> f64 {
        TIER_COST * f64::from(self.constraints(request, streamer).tier)
    }

    // Spread hints, so that those turned away together do not come back together.
    pub(crate) fn hold_off(&self, request: &Request, max_hold_off: Micros, chance: f64) -> Micros {
        let default = (max_hold_off as f64 * (0.25 + 0.5 * chance)) as Micros;
        let members = self.members.iter();
        let longest =
            members.filter_map(|limits| limits.hold_off(self.now, request, max_hold_off, chance)).max();
        longest.map_or(default, |hold_off| hold_off.min(max_hold_off))
    }
}
