//! The state machine of one hall (healthy, suspect, lost, returning) and how many set-ups each state admits.
//! Transitions are caused by evidence, by discovery and by time. Sessions, tiers and other halls are handled
//! in `limits`.
use crate::evidence::{Evidence, Observation};
use crate::settings::HallSettings;
use stonewharf_core::{Micros, StreamerId};

/// Interval at which it is chosen anew which streamers of a returning hall are open to set-ups.
const TIME_SLICE_US: Micros = 250_000;

/// The state of a hall.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum HallState {
    /// There is no evidence of a loss.
    Healthy,
    /// Some of its streamers fail, but the evidence is too weak to call it lost.
    Suspect,
    /// It can't be reached, or no streamer runs in it.
    Lost {
        /// When it was judged lost.
        since: Micros,
        /// When the next trial set-up may be sent to it.
        trial_at: Micros,
        /// The wait after that trial until the one after it.
        trial_interval: Micros,
    },
    /// It answers again; its load is raised in steps.
    Returning {
        /// When the return began.
        since: Micros,
    },
}

/// A change of a hall's state that is worth a log line.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Transition {
    /// It was judged lost, with the number of different streamers that failed (0: by discovery alone).
    Lost(usize),
    /// It was lost again during its return, with the number of failed returns that still count.
    LostAgain(u32),
    /// It answers again, so its return begins.
    Returning,
    /// Its return is complete.
    Recovered,
}

/// The state of one hall and the evidence behind it. The warm-up time and the cold capacity come from the
/// settings of the deployment.
#[derive(Clone, Debug)]
pub struct Hall {
    state: HallState,
    evidence: Evidence,
    failed_returns: u32,
    /// When the last return began or failed, or when `failed_returns` was last reduced.
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

    /// The current state.
    pub fn state(&self) -> HallState {
        self.state
    }

    /// Number of failed returns that are not forgotten yet.
    pub fn failed_returns(&self) -> u32 {
        self.failed_returns
    }

    /// Whether the hall is judged lost.
    pub fn is_lost(&self) -> bool {
        matches!(self.state, HallState::Lost { .. })
    }

    /// Whether the hall is neither lost nor returning.
    pub fn is_settled(&self) -> bool {
        matches!(self.state, HallState::Healthy | HallState::Suspect)
    }

    /// Records an observation of one of the hall's streamers.
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
            return None; // Further failures of a lost hall tell nothing new.
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

    /// Called when discovery lists no running streamer in the hall.
    pub fn no_streamer_running(&mut self, now: Micros, settings: &HallSettings) -> Option<Transition> {
        (!self.is_lost()).then(|| self.mark_lost(now, 0, settings))
    }

    /// Called when discovery reports that a streamer of the hall started at `started_at`. A start after the
    /// loss begins the return.
    pub fn streamer_restarted(&mut self, now: Micros, started_at: Micros) -> Option<Transition> {
        match self.state {
            HallState::Lost { since, .. } if started_at > since => Some(self.begin_return(now)),
            _ => None,
        }
    }

    /// Called when a streamer of the hall is drained or removed: it no longer counts as evidence.
    pub fn streamer_left(&mut self, streamer: StreamerId) {
        self.evidence.forget(streamer);
    }

    /// Expires old evidence and failed returns, and completes a return whose time is up.
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

    /// Called when a set-up was sent to the hall. If the hall is lost, this was a trial: the next one waits
    /// twice as long, up to four times the configured interval.
    pub fn trial_sent(&mut self, now: Micros, settings: &HallSettings) {
        if let HallState::Lost { trial_at, trial_interval, .. } = &mut self.state {
            (*trial_at, *trial_interval) =
                (now + *trial_interval, (*trial_interval * 2).min(4_000 * settings.trial_ms));
        }
    }

    /// Whether the hall is lost and a trial set-up may be sent now.
    pub fn trial_due(&self, now: Micros) -> bool {
        matches!(self.state, HallState::Lost { trial_at, .. } if now >= trial_at)
    }

    /// The share of set-ups that the hall may take, 0 to 1. During a return it rises in steps from a first
    /// share, which follows from the capacity of a cold streamer, to all.
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

    /// Whether a streamer of the hall is open to set-ups in the current time slice. The return steps only
    /// close slices that the core's rate limit for cold streamers leaves open. So all directors together stay
    /// under that limit, whichever step each of them is at.
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

    /// The duration of a return, as a multiple of the warm-up: doubles with each failed return, up to the
    /// configured maximum.
    fn return_slowdown(&self, settings: &HallSettings) -> u32 {
        1u32.checked_shl(self.failed_returns).unwrap_or(u32::MAX).min(settings.slowest_return)
    }

    fn return_duration(&self, settings: &HallSettings) -> Micros {
        self.warm_up.saturating_mul(u64::from(self.return_slowdown(settings)))
    }
}

/// Hashes a time slice and a streamer to a number from 0 to 1, evenly spread, by the finaliser of
/// SplitMix64 (Steele, Lea and Flood, OOPSLA 2014).
fn time_slice_hash(slice: u64, streamer: StreamerId) -> f64 {
    let mut hash =
        slice.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ u64::from(streamer.0).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    ((hash ^ (hash >> 31)) >> 11) as f64 / (1u64 << 53) as f64
}
