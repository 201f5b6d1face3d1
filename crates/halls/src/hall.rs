//! The state of one hall: whole, doubtful, lost, returning; and what each state allows. Transitions go by
//! evidence, by the list, and by time. Knows nothing of sessions, tiers or other halls.
use crate::evidence::{Evidence, Sign};
use crate::settings::HallSettings;
use stonewharf_core::{Micros, StreamerId};

/// Part of a second by which streamers of a returning hall are opened and shut in turn.
const SLICE_US: Micros = 250_000;

/// Where a hall is on its way.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum State {
    /// Nothing speaks against it.
    Whole,
    /// Some of its streamers fail; too little to tell.
    Doubtful,
    /// It can't be reached, or nothing in it runs.
    Lost {
        /// Since when it is held to be lost.
        since: Micros,
        /// When it may be tried again.
        trial_at: Micros,
        /// The wait after that trial.
        gap: Micros,
    },
    /// It answers again; load is raised in steps.
    Returning {
        /// Since when.
        since: Micros,
    },
}

/// What became of a hall.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Change {
    /// It is taken for lost; so many different streamers spoke against it.
    Lost(usize),
    /// It was lost again while it returned; so many times by now.
    Dropped(u32),
    /// It answers again.
    Returns,
    /// Its return is complete.
    Back,
}

/// What is known of one hall. The times that rule it come from the settings of the deployment.
#[derive(Clone, Debug)]
pub struct Hall {
    state: State,
    evidence: Evidence,
    drops: u32,
    /// Since when there has been no drop.
    calm_since: Micros,
    warm_up: Micros,
    cold_from: f64,
}

impl Hall {
    /// A hall that nothing is held against. `warm_up` is what a streamer takes to warm, `cold_from` the part
    /// of its capacity that it starts with.
    pub fn new(now: Micros, warm_up: Micros, cold_from: f64) -> Self {
        let cold_from = cold_from.clamp(0.05, 1.0);
        let (state, evidence) = (State::Whole, Evidence::default());
        Hall { state, evidence, drops: 0, calm_since: now, warm_up, cold_from }
    }

    /// Its state.
    pub fn state(&self) -> State {
        self.state
    }

    /// Drops during returns that are not forgotten yet.
    pub fn drops(&self) -> u32 {
        self.drops
    }

    /// Whether it is held to be lost.
    pub fn is_lost(&self) -> bool {
        matches!(self.state, State::Lost { .. })
    }

    /// Whether nothing needs care: neither lost nor returning.
    pub fn is_settled(&self) -> bool {
        matches!(self.state, State::Whole | State::Doubtful)
    }

    /// Takes a sign of one of its streamers.
    pub fn sign(&mut self, now: Micros, from: StreamerId, sign: Sign, own: &HallSettings) -> Option<Change> {
        let span = own.evidence_ms * 1_000;
        if sign == Sign::Reachable && self.is_lost() {
            return Some(self.returns(now));
        }
        if self.is_lost() {
            return None; // it is known
        }
        self.evidence.take(now, from, sign, span);
        if self.evidence.ratio() >= Evidence::bound(own.false_alarm) {
            let against = self.evidence.against();
            return Some(self.lose(now, against, own));
        }
        if self.is_settled() {
            let doubt = self.evidence.ratio() > 0.0;
            self.state = if doubt { State::Doubtful } else { State::Whole };
        }
        None
    }

    /// The list says that nothing in it runs.
    pub fn emptied(&mut self, now: Micros, own: &HallSettings) -> Option<Change> {
        (!self.is_lost()).then(|| self.lose(now, 0, own))
    }

    /// The list says that one of its streamers started at a time; later than the loss, that begins the
    /// return.
    pub fn restarted(&mut self, now: Micros, at: Micros) -> Option<Change> {
        match self.state {
            State::Lost { since, .. } if at > since => Some(self.returns(now)),
            _ => None,
        }
    }

    /// A streamer of it leaves as planned.
    pub fn left(&mut self, streamer: StreamerId) {
        self.evidence.forget(streamer);
    }

    /// Lets time pass.
    pub fn pass(&mut self, now: Micros, own: &HallSettings) -> Option<Change> {
        self.evidence.fade(now, own.evidence_ms * 1_000);
        if self.drops > 0 && now >= self.calm_since + own.quiet_s * 1_000_000 {
            (self.drops, self.calm_since) = (self.drops - 1, now);
        }
        match self.state {
            State::Returning { since } if now >= since + self.lasts(own) => {
                self.state = State::Whole;
                Some(Change::Back)
            }
            State::Doubtful if self.evidence.ratio() <= 0.0 => {
                self.state = State::Whole;
                None
            }
            _ => None,
        }
    }

    /// A trial was sent to it.
    pub fn tried(&mut self, now: Micros, own: &HallSettings) {
        if let State::Lost { trial_at, gap, .. } = &mut self.state {
            (*trial_at, *gap) = (now + *gap, (*gap * 2).min(4_000 * own.trial_ms));
        }
    }

    /// Whether it is lost and may be tried now.
    pub fn trial_due(&self, now: Micros) -> bool {
        matches!(self.state, State::Lost { trial_at, .. } if now >= trial_at)
    }

    /// Share of the set-ups that it may take, 0 to 1: in steps from what a cold streamer can do to all.
    pub fn share(&self, now: Micros, own: &HallSettings) -> f64 {
        match self.state {
            State::Lost { .. } => 0.0,
            State::Returning { since } => {
                let (steps, lasts) = (u64::from(own.return_steps), self.lasts(own).max(1));
                let step = now.saturating_sub(since) * steps / lasts;
                let slow = f64::from(self.slowness(own)).recip();
                let from = (1.0 + self.cold_from) / 2.0 * slow;
                from + (1.0 - from) * step.min(steps) as f64 / steps as f64
            }
            State::Whole | State::Doubtful => 1.0,
        }
    }

    /// Whether a streamer of it is open in this slice of the clock. Steps only ever shut slices that the
    /// module's own pace for cold streamers leaves open: whatever step each controller believes in, all
    /// together stay under that pace.
    pub fn open(&self, now: Micros, streamer: StreamerId, own: &HallSettings) -> bool {
        let share = self.share(now, own);
        share >= 1.0 || (share > 0.0 && spot(now / SLICE_US, streamer) < share)
    }

    fn lose(&mut self, now: Micros, against: usize, own: &HallSettings) -> Change {
        let again = matches!(self.state, State::Returning { .. });
        let gap = own.trial_ms * 1_000;
        self.state = State::Lost { since: now, trial_at: now + gap, gap };
        self.evidence.clear();
        if again {
            (self.drops, self.calm_since) = ((self.drops + 1).min(16), now);
            return Change::Dropped(self.drops);
        }
        Change::Lost(against)
    }

    fn returns(&mut self, now: Micros) -> Change {
        self.evidence.clear();
        self.state = State::Returning { since: now };
        self.calm_since = now;
        Change::Returns
    }

    /// How many times as long as the warm-up a return lasts.
    fn slowness(&self, own: &HallSettings) -> u32 {
        1u32.checked_shl(self.drops).unwrap_or(u32::MAX).min(own.slowest_return)
    }

    fn lasts(&self, own: &HallSettings) -> Micros {
        self.warm_up.saturating_mul(u64::from(self.slowness(own)))
    }
}

/// A number from 0 to 1 for a slice and a streamer, spread evenly (the finaliser of SplitMix64: Steele, Lea
/// and Flood, OOPSLA 2014).
fn spot(slice: u64, streamer: StreamerId) -> f64 {
    let mut x =
        slice.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ u64::from(streamer.0).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    ((x ^ (x >> 31)) >> 11) as f64 / (1u64 << 53) as f64
}
