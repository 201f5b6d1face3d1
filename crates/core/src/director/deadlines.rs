//! Deadlines of the whole program in one sorted set, which is polled once a turn.
use crate::interface::Micros;
use std::collections::BTreeSet;

/// A set of deadlines of any kind `K`, sorted by time.
///
/// A deadline that no longer matters need not be removed: whoever set it checks that when it is due.
#[derive(Debug)]
pub struct Deadlines<K: Ord> {
    sorted: BTreeSet<(Micros, K)>,
}

impl<K: Ord> Default for Deadlines<K> {
    fn default() -> Self {
        Deadlines { sorted: BTreeSet::new() }
    }
}

impl<K: Ord> Deadlines<K> {
    /// Adds a deadline. Adding an equal one for the same time has no effect.
    pub fn set(&mut self, at: Micros, deadline: K) {
        self.sorted.insert((at, deadline));
    }

    /// Removes and returns the earliest deadline if it is due.
    pub fn pop_due(&mut self, now: Micros) -> Option<K> {
        if self.sorted.first()?.0 > now {
            return None;
        }
        self.sorted.pop_first().map(|(_, deadline)| deadline)
    }

    /// Returns the time of the earliest deadline.
    pub fn next_due(&self) -> Option<Micros> {
        self.sorted.first().map(|(at, _)| *at)
    }
}
