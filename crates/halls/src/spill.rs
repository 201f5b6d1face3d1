//! The account of what spills across from a lost hall: this controller's part of the stated limit, what it
//! uses of it, and how far it backs off where the halls that stand run short. Parts of all controllers add
//! up to the limit at most, whoever has the viewers: nobody lends, since nobody can ask. Knows no halls and
//! no sessions' ways.
use std::collections::BTreeMap;
use stonewharf_core::{Micros, RequestId};

const SECOND: Micros = 1_000_000;
/// The least part that backing off leaves: enough to notice that the shortage is over.
const MIN_BACK_OFF_FACTOR: f64 = 1.0 / 16.0;
/// Seconds without a shortage that bring the whole part back.
const BACK_OFF_RECOVERY_S: f64 = 10.0;

/// What this controller lets spill.
#[derive(Clone, Debug)]
pub struct SpillBudget {
    /// This controller's part of the limit, kB a second, before backing off.
    share_kb: f64,
    /// This controller's part of the rate, set-ups a second; infinite where none is stated.
    share_set_ups_per_s: f64,
    /// Room for set-ups by rate: a bucket one deep.
    tokens: f64,
    tokens_updated_at: Micros,
    /// Backing off: additive increase, multiplicative decrease (Chiu and Jain, Computer Networks and ISDN
    /// Systems 17, 1989), by which controllers that cannot talk come to even shares.
    back_off_factor: f64,
    back_off_at: Micros,
    /// Sessions expected to share the part.
    expected_sessions: f64,
    /// What each spilled session is rated at.
    sessions: BTreeMap<RequestId, f64>,
    used_kb: f64,
}

impl SpillBudget {
    /// An account with nothing in it and no limit stated yet.
    pub fn new(now: Micros) -> Self {
        SpillBudget {
            share_kb: 0.0,
            share_set_ups_per_s: f64::INFINITY,
            tokens: 1.0,
            tokens_updated_at: now,
            back_off_factor: 1.0,
            back_off_at: now,
            expected_sessions: 1.0,
            sessions: BTreeMap::new(),
            used_kb: 0.0,
        }
    }

    /// States this controller's part: kB a second, set-ups a second (infinite: none), sessions expected.
    pub fn set_share(&mut self, share_kb: f64, share_set_ups_per_s: f64, expected_sessions: f64) {
        (self.share_kb, self.share_set_ups_per_s, self.expected_sessions) =
            (share_kb.max(0.0), share_set_ups_per_s, expected_sessions.max(1.0));
    }

    /// This controller's part as it stands now, kB a second.
    pub fn limit_kb(&self, now: Micros) -> f64 {
        self.share_kb * self.back_off_factor_at(now)
    }

    /// What it uses of it.
    pub fn used_kb(&self) -> f64 {
        self.used_kb
    }

    /// How many sessions have spilled.
    pub fn session_count(&self) -> usize {
        self.sessions.len()
    }

    /// What a session may be rated at: one that spilled already, what it has and what is left; a new one,
    /// what is left, but no more than an even share of the part among those expected. `None`: it may not
    /// spill now.
    pub fn max_rate_kb(&self, now: Micros, id: RequestId, min_rate_kb: f64) -> Option<f64> {
        let available_kb = self.limit_kb(now) - self.used_kb;
        if let Some(session_kb) = self.sessions.get(&id) {
            return Some(session_kb + available_kb.max(0.0));
        }
        let rate_allows = self.share_set_ups_per_s.is_infinite() || self.tokens_at(now) >= 1.0;
        (rate_allows && available_kb >= min_rate_kb)
            .then(|| available_kb.min((self.share_kb / self.expected_sessions).max(min_rate_kb)))
    }

    /// Books a set-up that spills.
    pub fn record_set_up(&mut self, now: Micros, id: RequestId, kb: f64) {
        (self.tokens, self.tokens_updated_at) = ((self.tokens_at(now) - 1.0).max(0.0), now);
        self.used_kb += kb - self.sessions.insert(id, kb).unwrap_or(0.0);
    }

    /// Books a change of rate of a session that spilled; others are none of its business.
    pub fn change_rate(&mut self, id: RequestId, kb: f64) {
        if let Some(session_kb) = self.sessions.get_mut(&id) {
            self.used_kb += kb - std::mem::replace(session_kb, kb);
        }
    }

    /// A set-up or session is over.
    pub fn remove(&mut self, id: RequestId) {
        if let Some(kb) = self.sessions.remove(&id) {
            self.used_kb = if self.sessions.is_empty() { 0.0 } else { (self.used_kb - kb).max(0.0) };
        }
    }

    /// A hall that stands runs short: leaves a share of the part, once a second at most.
    pub fn back_off(&mut self, now: Micros, remaining_share: f64) {
        if self.sessions.is_empty() || (self.back_off_factor < 1.0 && now < self.back_off_at + SECOND) {
            return;
        }
        (self.back_off_factor, self.back_off_at) =
            ((self.back_off_factor_at(now) * remaining_share.clamp(0.0, 1.0)).max(MIN_BACK_OFF_FACTOR), now);
    }

    fn back_off_factor_at(&self, now: Micros) -> f64 {
        let elapsed_s = now.saturating_sub(self.back_off_at) as f64 / SECOND as f64;
        (self.back_off_factor + elapsed_s / BACK_OFF_RECOVERY_S).min(1.0)
    }

    fn tokens_at(&self, now: Micros) -> f64 {
        let elapsed_s = now.saturating_sub(self.tokens_updated_at) as f64 / SECOND as f64;
        (self.tokens + elapsed_s * self.share_set_ups_per_s.min(1e9)).min(1.0)
    }
}
