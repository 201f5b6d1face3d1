//! The holder's side.
use crate::duration::LeaseDuration;
use std::collections::VecDeque;
use stonewharf_core::Micros;

/// Questions that may be unanswered at a time; an older one's answer would give next to nothing.
const MAX_UNANSWERED_REQUESTS: usize = 8;

/// Leave to act until a time on the holder's own clock.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeaseHolder {
    duration: LeaseDuration,
    /// Questions without an answer: number, and when each was asked.
    unanswered: VecDeque<(u64, Micros)>,
    last_number: u64,
    valid_until: Micros,
    request_at: Micros,
}

impl LeaseHolder {
    /// One that holds nothing yet, and asks at once.
    pub fn new(duration: LeaseDuration, now: Micros) -> LeaseHolder {
        LeaseHolder { duration, unanswered: VecDeque::new(), last_number: 0, valid_until: 0, request_at: now }
    }

    /// When [`Holder::ask`] has something to do at the latest.
    pub fn next_request_at(&self) -> Micros {
        self.request_at
    }

    /// The number to ask under, where it is time to ask. The time counts from here.
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

    /// The answer to a question: leave from when that was asked.
    pub fn apply_grant(&mut self, number: u64) {
        if let Some((_, sent_at)) = self.unanswered.iter().find(|(n, _)| *n == number).copied() {
            self.valid_until = self.valid_until.max(sent_at.saturating_add(self.duration.holder));
            self.unanswered.retain(|(n, _)| *n > number);
        }
    }

    /// Until when it may act.
    pub fn valid_until(&self) -> Micros {
        self.valid_until
    }

    /// Whether it may act now. To be asked again as bytes go out: the process may have stood still.
    pub fn is_valid(&self, now: Micros) -> bool {
        now < self.valid_until
    }

    /// Gives up what it holds; answers that are under way give nothing any more.
    pub fn relinquish(&mut self, now: Micros) {
        self.unanswered.clear();
        (self.valid_until, self.request_at) = (0, now);
    }
}
