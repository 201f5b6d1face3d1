//! The state of one hall: whole, doubtful, lost, returning; and what each state allows. Transitions go by
//! evidence, by the list, and by time. Knows nothing of sessions, tiers or other halls.
use crate::evidence::{Evidence, Observation};
use crate::settings::HallSettings;
use stonewharf_core::{Micros, StreamerId};

/// Part of a second by which streamers of a returning hall are opened and shut in turn.
const TIME_SLICE_US: Micros = 250_000;

/// Where a hall is on its way.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum HallState {
    /// Nothing speaks against it.
    Healthy,
    /// Some of its streamers fail; too little to tell.
    Suspect,
    /// It can't be reached, or nothing in it runs.
    Lost {
        /// Since when it is held to be lost.
        since: Micros,
        /// When it may be tried again.
        trial_at: Micros,
        /// The wait after that trial.
        trial_interval: Micros,
    },
    /// It answers again; load is raised in steps.
    Returning {
        /// Since when.
        since: Micros,
    },
}

/// What became of a hall.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Transition {
    /// It is taken for lost; so many different streamers spoke against it.
    Lost(usize),
    /// It was lost again while it returned; so many times by now.
    LostAgain(u32),
    /// It answers again.
    Returning,
    /// Its return is complete.
    Recovered,
}

/// What is known of one hall. The times that rule it come from the settings of the deployment.
#[derive(Clone, Debug)]
pub struct Hall {
    state: HallState,
    evidence: Evidence,
    failed_returns: u32,
    /// Since when there has been no drop.
    stable_since: Micros,
    warm_up: Micros,
    cold_capacity_fraction: f64,
}

impl Hall {
    /// Creates a healthy hall. `warm_up` is the time in which a streamer reaches its full capacity,
    /// `cold_capacity_fraction` the fraction of its capacity that it has right after its start.
    pub fn new(now: Micros, warm_up: Micros, cold_capacity_fraction: f64) -> Self {
        let cold_capacity_fraction = cold_capacity_fraction.clamp(0.05, 1.0);
        let (state, evidence) = (HallState::Healthy, Evidence::default());
        Hall { state, evidence, failed_returns: 0, stable_since: now, warm_up, cold_capacity_fraction }
    }

    /// Its state.
    pub fn state(&self) -> HallState {
        self.state
    }

    /// Drops during returns that are not forgotten yet.
    pub fn failed_returns(&self) -> u32 {
        self.failed_returns
    }

    /// Whether it is held to be lost.
    pub fn is_lost(&self) -> bool {
        matches!(self.state, HallState::Lost { .. })
    }

    /// Whether nothing needs care: neither lost nor returning.
    pub fn is_settled(&self) -> bool {
        matches!(self.state, HallState::Healthy | HallState::Suspect)
    }

    /// Takes a sign of one of its streamers.
    pub fn observe(
        &mut self,
        now: Micros,
        streamer: StreamerId,
        observation: Observation,
        settings: &HallSettings,
    ) -> Option<Transition> {
        let max_age = settings.evidence_ms * 1_000;
        if observation == Observation::Reachable && self.is_lost() {
            return Some(self.begin_return(now));
        }
        if self.is_lost() {
            return None; // it is known
        }
        self.evidence.record(now, streamer, observation, max_age);
        if self.evidence.log_likelihood_ratio() >= Evidence::loss_threshold(settings.false_alarm) {
            let failing = self.evidence.failing_streamers();
            return Some(self.mark_lost(now, failing, settings));
        }
        if self.is_settled() {
            let suspect = self.evidence.log_likelihood_ratio() > 0.0;
            self.state = if suspect { HallState::Suspect } else { HallState::Healthy };
        }
        None
    }

    /// The list says that nothing in it runs.
    pub fn no_streamer_running(&mut self, now: Micros, settings: &HallSettings) -> Option<Transition> {
        (!self.is_lost()).then(|| self.mark_lost(now, 0, settings))
    }

    /// The list says that one of its streamers started at a time; later than the loss, that begins the
    /// return.
    pub fn streamer_restarted(&mut self, now: Micros, started_at: Micros) -> Option<Transition> {
        match self.state {
            HallState::Lost { since, .. } if started_at > since => Some(self.begin_return(now)),
            _ => None,
        }
    }

    /// A streamer of it leaves as planned.
    pub fn streamer_left(&mut self, streamer: StreamerId) {
        self.evidence.forget(streamer);
    }

    /// Lets time pass.
    pub fn tick(&mut self, now: Micros, settings: &HallSettings) -> Option<Transition> {
        self.evidence.expire(now, settings.evidence_ms * 1_000);
        if self.failed_returns > 0 && now >= self.stable_since + settings.quiet_s * 1_000_000 {
            (self.failed_returns, self.stable_since) = (self.failed_returns - 1, now);
        }
        match self.state {
            HallState::Returning { since } if now >= since + self.return_duration(settings) => {
                self.state = HallState::Healthy;
                Some(Transition::Recovered)
            }
            HallState::Suspect if self.evidence.log_likelihood_ratio() <= 0.0 => {
                self.state = HallState::Healthy;
                None
            }
            _ => None,
        }
    }

    /// A trial was sent to it.
    pub fn trial_sent(&mut self, now: Micros, settings: &HallSettings) {
        if let HallState::Lost { trial_at, trial_interval, .. } = &mut self.state {
            (*trial_at, *trial_interval) =
                (now + *trial_interval, (*trial_interval * 2).min(4_000 * settings.trial_ms));
        }
    }

    /// Whether it is lost and may be tried now.
    pub fn trial_due(&self, now: Micros) -> bool {
        matches!(self.state, HallState::Lost { trial_at, .. } if now >= trial_at)
    }

    /// Share of the set-ups that it may take, 0 to 1: in steps from what a cold streamer can do to all.
    pub fn admitted_share(&self, now: Micros, settings: &HallSettings) -> f64 {
        match self.state {
            HallState::Lost { .. } => 0.0,
            HallState::Returning { since } => {
                let (steps, duration) =
                    (u64::from(settings.return_steps), self.return_duration(settings).max(1));
                let step = now.saturating_sub(since) * steps / duration;
                let speed = f64::from(self.return_slowdown(settings)).recip();
                let first_share = (1.0 + self.cold_capacity_fraction) / 2.0 * speed;
                first_share + (1.0 - first_share) * step.min(steps) as f64 / steps as f64
            }
            HallState::Healthy | HallState::Suspect => 1.0,
        }
    }

    /// Whether a streamer of it is open in this slice of the clock. Steps only ever shut slices that the
    /// module's own pace for cold streamers leaves open: whatever step each controller believes in, all
    /// together stay under that pace.
    pub fn admits(&self, now: Micros, streamer: StreamerId, settings: &HallSettings) -> bool {
        let share = self.admitted_share(now, settings);
        share >= 1.0 || (share > 0.0 && time_slice_hash(now / TIME_SLICE_US, streamer) < share)
    }

    fn mark_lost(&mut self, now: Micros, failing: usize, settings: &HallSettings) -> Transition {
        let was_returning = matches!(self.state, HallState::Returning { .. });
        let trial_interval = settings.trial_ms * 1_000;
        self.state = HallState::Lost { since: now, trial_at: now + trial_interval, trial_interval };
        self.evidence.clear();
        if was_returning {
            (self.failed_returns, self.stable_since) = ((self.failed_returns + 1).min(16), now);
            return Transition::LostAgain(self.failed_returns);
        }
        Transition::Lost(failing)
    }

    fn begin_return(&mut self, now: Micros) -> Transition {
        self.evidence.clear();
        self.state = HallState::Returning { since: now };
        self.stable_since = now;
        Transition::Returning
    }

    /// How many times as long as the warm-up a return lasts.
    fn return_slowdown(&self, settings: &HallSettings) -> u32 {
        1u32.checked_shl(self.failed_returns).unwrap_or(u32::MAX).min(settings.slowest_return)
    }

    fn return_duration(&self, settings: &HallSettings) -> Micros {
        self.warm_up.saturating_mul(u64::from(self.return_slowdown(settings)))
    }
}

/// A number from 0 to 1 for a slice and a streamer, spread evenly (the finaliser of SplitMix64: Steele, Lea
/// and Flood, OOPSLA 2014).
fn time_slice_hash(slice: u64, streamer: StreamerId) -> f64 {
    let mut hash =
        slice.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ u64::from(streamer.0).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    ((hash ^ (hash >> 31)) >> 11) as f64 / (1u64 << 53) as f64
}
