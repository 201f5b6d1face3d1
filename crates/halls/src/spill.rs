//! The account of what spills across from a lost hall: this controller's part of the stated limit, what it
//! uses of it, and how far it backs off where the halls that stand run short. Parts of all controllers add
//! up to the limit at most, whoever has the viewers: nobody lends, since nobody can ask. Knows no halls and
//! no sessions' ways.
use std::collections::BTreeMap;
use stonewharf_core::{Micros, RequestId};

const SECOND: Micros = 1_000_000;
/// The least part that backing off leaves: enough to notice that the shortage is over.
const LEAST: f64 = 1.0 / 16.0;
/// Seconds without a shortage that bring the whole part back.
const RECOVER_S: f64 = 10.0;

/// What this controller lets spill.
#[derive(Clone, Debug)]
pub struct Spill {
    /// This controller's part of the limit, kB a second, before backing off.
    part_kb: f64,
    /// This controller's part of the rate, set-ups a second; infinite where none is stated.
    part_rate: f64,
    /// Room for set-ups by rate: a bucket one deep.
    tokens: f64,
    filled_at: Micros,
    /// Backing off: additive increase, multiplicative decrease (Chiu and Jain, Computer Networks and ISDN
    /// Systems 17, 1989), by which controllers that cannot talk come to even shares.
    factor: f64,
    factor_at: Micros,
    /// Sessions expected to share the part.
    expected: f64,
    /// What each spilled session is rated at.
    sessions: BTreeMap<RequestId, f64>,
    used_kb: f64,
}

impl Spill {
    /// An account with nothing in it and no limit stated yet.
    pub fn new(now: Micros) -> Self {
        Spill {
            part_kb: 0.0,
            part_rate: f64::INFINITY,
            tokens: 1.0,
            filled_at: now,
            factor: 1.0,
            factor_at: now,
            expected: 1.0,
            sessions: BTreeMap::new(),
            used_kb: 0.0,
        }
    }

    /// States this controller's part: kB a second, set-ups a second (infinite: none), sessions expected.
    pub fn state(&mut self, part_kb: f64, part_rate: f64, expected: f64) {
        (self.part_kb, self.part_rate, self.expected) = (part_kb.max(0.0), part_rate, expected.max(1.0));
    }

    /// This controller's part as it stands now, kB a second.
    pub fn limit_kb(&self, now: Micros) -> f64 {
        self.part_kb * self.factor_now(now)
    }

    /// What it uses of it.
    pub fn used_kb(&self) -> f64 {
        self.used_kb
    }

    /// How many sessions have spilled.
    pub fn sessions(&self) -> usize {
        self.sessions.len()
    }

    /// What a session may be rated at: one that spilled already, what it has and what is left; a new one,
    /// what is left, but no more than an even share of the part among those expected. `None`: it may not
    /// spill now.
    pub fn most_kb(&self, now: Micros, id: RequestId, least_kb: f64) -> Option<f64> {
        let left = self.limit_kb(now) - self.used_kb;
        if let Some(has) = self.sessions.get(&id) {
            return Some(has + left.max(0.0));
        }
        let token = self.part_rate.is_infinite() || self.tokens_now(now) >= 1.0;
        (token && left >= least_kb).then(|| left.min((self.part_kb / self.expected).max(least_kb)))
    }

    /// Books a set-up that spills.
    pub fn add(&mut self, now: Micros, id: RequestId, kb: f64) {
        (self.tokens, self.filled_at) = ((self.tokens_now(now) - 1.0).max(0.0), now);
        self.used_kb += kb - self.sessions.insert(id, kb).unwrap_or(0.0);
    }

    /// Books a change of rate of a session that spilled; others are none of its business.
    pub fn rate(&mut self, id: RequestId, kb: f64) {
        if let Some(has) = self.sessions.get_mut(&id) {
            self.used_kb += kb - std::mem::replace(has, kb);
        }
    }

    /// A set-up or session is over.
    pub fn remove(&mut self, id: RequestId) {
        if let Some(kb) = self.sessions.remove(&id) {
            self.used_kb = if self.sessions.is_empty() { 0.0 } else { (self.used_kb - kb).max(0.0) };
        }
    }

    /// A hall that stands runs short: leaves a share of the part, once a second at most.
    pub fn back_off(&mut self, now: Micros, leaves: f64) {
        if self.sessions.is_empty() || (self.factor < 1.0 && now < self.factor_at + SECOND) {
            return;
        }
        (self.factor, self.factor_at) = ((self.factor_now(now) * leaves.clamp(0.0, 1.0)).max(LEAST), now);
    }

    fn factor_now(&self, now: Micros) -> f64 {
        let passed = now.saturating_sub(self.factor_at) as f64 / SECOND as f64;
        (self.factor + passed / RECOVER_S).min(1.0)
    }

    fn tokens_now(&self, now: Micros) -> f64 {
        let passed = now.saturating_sub(self.filled_at) as f64 / SECOND as f64;
        (self.tokens + passed * self.part_rate.min(1e9)).min(1.0)
    }
}
