//! The budget for sessions that spill over from a lost hall: this director's share of the configured limit,
//! how much of it is in use, and how far it backs off when the remaining halls run short of capacity. The
//! shares of all directors add up to the limit at most, however unevenly viewers come to them. A director
//! can't lend its share, since no director can ask another one. Halls and placement are handled in `limits`.
use std::collections::BTreeMap;
use stonewharf_core::{Micros, RequestId};

const SECOND: Micros = 1_000_000;
/// The least fraction of the share that backing off leaves: enough to notice that the shortage is over.
const MIN_BACK_OFF_FACTOR: f64 = 1.0 / 16.0;
/// Seconds without a shortage in which the factor recovers from 0 to 1.
const BACK_OFF_RECOVERY_S: f64 = 10.0;

/// The spill budget of one director.
#[derive(Clone, Debug)]
pub struct SpillBudget {
    /// This director's share of the limit before backing off, in kB a second.
    share_kb: f64,
    /// This director's share of the set-up rate, in set-ups a second; infinite if none is configured.
    share_set_ups_per_s: f64,
    /// Token bucket for the set-up rate, with a depth of one.
    tokens: f64,
    tokens_updated_at: Micros,
    /// Fraction of the share that is in force. It follows additive increase, multiplicative decrease (Chiu
    /// and Jain, Computer Networks and ISDN Systems 17, 1989), by which directors that do not communicate
    /// converge to equal shares.
    back_off_factor: f64,
    back_off_at: Micros,
    /// Number of sessions expected to divide the share among them.
    expected_sessions: f64,
    /// Rate of each spilled session, in kB a second.
    sessions: BTreeMap<RequestId, f64>,
    used_kb: f64,
}

impl SpillBudget {
    /// Creates a budget without sessions. Its share is 0 until [`SpillBudget::set_share`] is called.
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

    /// Sets this director's share in kB a second and in set-ups a second (infinite: unlimited), and the
    /// number of sessions expected to use it.
    pub fn set_share(&mut self, share_kb: f64, share_set_ups_per_s: f64, expected_sessions: f64) {
        (self.share_kb, self.share_set_ups_per_s, self.expected_sessions) =
            (share_kb.max(0.0), share_set_ups_per_s, expected_sessions.max(1.0));
    }

    /// This director's share after backing off, in kB a second.
    pub fn limit_kb(&self, now: Micros) -> f64 {
        self.share_kb * self.back_off_factor_at(now)
    }

    /// The sum of the rates of the spilled sessions, in kB a second.
    pub fn used_kb(&self) -> f64 {
        self.used_kb
    }

    /// The number of spilled sessions.
    pub fn session_count(&self) -> usize {
        self.sessions.len()
    }

    /// The highest rate of a session in kB a second. A session that has spilled already may have its present
    /// rate and what is left of the share; a new one may have what is left, but no more than an equal part
    /// of the share among the expected sessions. `None` means that it may not spill now.
    pub fn max_rate_kb(&self, now: Micros, id: RequestId, min_rate_kb: f64) -> Option<f64> {
        let available_kb = self.limit_kb(now) - self.used_kb;
        if let Some(session_kb) = self.sessions.get(&id) {
            return Some(session_kb + available_kb.max(0.0));
        }
        let rate_allows = self.share_set_ups_per_s.is_infinite() || self.tokens_at(now) >= 1.0;
        (rate_allows && available_kb >= min_rate_kb)
            .then(|| available_kb.min((self.share_kb / self.expected_sessions).max(min_rate_kb)))
    }

    /// Records a set-up that spills.
    pub fn record_set_up(&mut self, now: Micros, id: RequestId, kb: f64) {
        (self.tokens, self.tokens_updated_at) = ((self.tokens_at(now) - 1.0).max(0.0), now);
        self.used_kb += kb - self.sessions.insert(id, kb).unwrap_or(0.0);
    }

    /// Records a new rate of a spilled session; sessions that did not spill are ignored.
    pub fn change_rate(&mut self, id: RequestId, kb: f64) {
        if let Some(session_kb) = self.sessions.get_mut(&id) {
            self.used_kb += kb - std::mem::replace(session_kb, kb);
        }
    }

    /// Removes a set-up or session that has ended.
    pub fn remove(&mut self, id: RequestId) {
        if let Some(kb) = self.sessions.remove(&id) {
            self.used_kb = if self.sessions.is_empty() { 0.0 } else { (self.used_kb - kb).max(0.0) };
        }
    }

    /// Called when a hall that is in use runs short of capacity. Multiplies the share in force by
    /// `remaining_share`, at most once a second.
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
