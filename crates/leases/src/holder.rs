//! The holder's side of a lease.
use crate::duration::LeaseDuration;
use std::collections::VecDeque;
use stonewharf_core::Micros;

/// The largest number of unanswered requests; the answer to an older one would extend the lease hardly at
/// all.
const MAX_UNANSWERED_REQUESTS: usize = 8;

/// Permission to act until a time on the holder's own clock.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeaseHolder {
    duration: LeaseDuration,
    /// Unanswered requests: number and send time.
    unanswered: VecDeque<(u64, Micros)>,
    last_number: u64,
    valid_until: Micros,
    request_at: Micros,
}

impl LeaseHolder {
    /// A holder without a lease, which sends its first request at once.
    pub fn new(duration: LeaseDuration, now: Micros) -> LeaseHolder {
        LeaseHolder { duration, unanswered: VecDeque::new(), last_number: 0, valid_until: 0, request_at: now }
    }

    /// The latest time at which [`LeaseHolder::poll_request`] has something to do.
    pub fn next_request_at(&self) -> Micros {
        self.request_at
    }

    /// The number of the request to send, if one is due. The lease counts from this call.
    pub fn poll_request(&mut self, now: Micros) -> Option<u64> {
        if self.request_at > now {
            return None;
        }
        self.request_at = now.saturating_add(self.duration.request_interval());
        self.last_number += 1;
        if self.unanswered.len() >= MAX_UNANSWERED_REQUESTS {
            self.unanswered.pop_front();
        }
        self.unanswered.push_back((self.last_number, now));
        Some(self.last_number)
    }

    /// Takes the answer to a request: the lease counts from when that request was sent.
    pub fn apply_grant(&mut self, number: u64) {
        if let Some((_, sent_at)) = self.unanswered.iter().find(|(n, _)| *n == number).copied() {
            self.valid_until = self.valid_until.max(sent_at.saturating_add(self.duration.holder));
            self.unanswered.retain(|(n, _)| *n > number);
        }
    }

    /// When the lease expires.
    pub fn valid_until(&self) -> Micros {
        self.valid_until
    }

    /// Whether the lease is valid now. Check it again as bytes are written: the process may have been paused.
    pub fn is_valid(&self, now: Micros) -> bool {
        now < self.valid_until
    }

    /// Gives up the lease; answers still under way no longer extend it.
    pub fn relinquish(&mut self, now: Micros) {
        self.unanswered.clear();
        (self.valid_until, self.request_at) = (0, now);
    }
}
