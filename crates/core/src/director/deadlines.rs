//! All deadlines of the program in one sorted structure, swept once a turn.
use crate::interface::Micros;
use std::collections::BTreeSet;

/// Deadlines of any kind, by time. One that no longer matters may stay: whoever set it sees that when it
/// comes due.
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
    /// Sets a deadline; the same one at the same time counts once.
    pub fn set(&mut self, at: Micros, deadline: K) {
        self.sorted.insert((at, deadline));
    }

    /// Takes the earliest one that is due.
    pub fn pop_due(&mut self, now: Micros) -> Option<K> {
        if self.sorted.first()?.0 > now {
            return None;
        }
        self.sorted.pop_first().map(|(_, deadline)| deadline)
    }

    /// When the next one is due.
    pub fn next_due(&self) -> Option<Micros> {
        self.sorted.first().map(|(at, _)| *at)
    }
}
