//! The interface through which a subsystem limits the choices of the decision module. A subsystem observes
//! the module's events and the attempts that it sends. For a possible set-up it returns constraints: the tier
//! of the streamer, whether the set-up is allowed, and the highest rate. The module decides; constraints can
//! only narrow its choice, so a subsystem cannot break a rule that the module keeps. Implementations do no
//! I/O and never answer a request.
use crate::interface::*;

/// Placement cost of one tier: more than all other costs together.
const TIER_COST: f64 = 1e3;

/// Constraints on a set-up of one request at one streamer at one moment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Constraints {
    /// Preference; 0 comes first. A tier is used only where the one before has no room for the request.
    pub tier: u32,
    /// Whether the set-up may be sent there now.
    pub allowed: bool,
    /// Highest rate, in kB a second, at which the session may start or to which it may be stepped up. The
    /// class's lowest rung is always allowed.
    pub max_rate_kb: f64,
}

impl Constraints {
    /// No constraint.
    pub const NONE: Constraints = Constraints { tier: 0, allowed: true, max_rate_kb: f64::INFINITY };
}

/// A subsystem that limits placement. All times are the controller's, in microseconds, and never go back.
pub trait PlacementLimits {
    /// Called with each event before the module acts on it. Lines for on-call staff go to `log`.
    fn observe_event(&mut self, now: Micros, event: &Event, log: &mut dyn FnMut(String));

    /// Called for each set-up when it is sent, with the rung at which it starts. Each ends with one
    /// [`Event::Ended`].
    fn attempt_sent(&mut self, now: Micros, request: &Request, streamer: StreamerId, rung: usize);

    /// Called for each change of rung of a session that is being set up or plays.
    fn rung_changed(&mut self, _request: RequestId, _rung: usize) {}

    /// The constraints on a set-up of `request` at `streamer` now. Called for each streamer that could be
    /// chosen, so its cost must not grow with the number of streamers.
    fn constraints(&self, now: Micros, request: &Request, streamer: StreamerId) -> Constraints;

    /// Whether this director may act on a session on its own initiative now; false where another one may.
    fn may_act_on(&self, _now: Micros, _request: RequestId) -> bool {
        true
    }

    /// The hold-off that is sent to the viewer of a refused request. `max_hold_off` is the longest that
    /// clients follow, `chance` a random number from 0 to 1. `None` leaves the choice to the module.
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
    /// Combines two constraints: the higher tier, allowed only if both allow it, the lower rate.
    fn and(self, other: Constraints) -> Constraints {
        Constraints {
            tier: self.tier.max(other.tier),
            allowed: self.allowed && other.allowed,
            max_rate_kb: self.max_rate_kb.min(other.max_rate_kb),
        }
    }
}

/// All limits that are set on a controller; without any, nothing is constrained.
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

    pub(crate) fn hold_off(&self, request: &Request, max_hold_off: Micros, chance: f64) -> Micros {
        // Hold-offs are spread, so that viewers who are refused together do not come back together.
        let default = (max_hold_off as f64 * (0.25 + 0.5 * chance)) as Micros;
        let longest = self
            .members
            .iter()
            .filter_map(|limits| limits.hold_off(self.now, request, max_hold_off, chance))
            .max();
        longest.map_or(default, |hold_off| hold_off.min(max_hold_off))
    }
}
