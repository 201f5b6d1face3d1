//! All deadlines of the program in one sorted structure, swept once a turn.
use crate::interface::Micros;
use std::collections::BTreeSet;

/// Deadlines of any kind, by time. One that no longer matters may stay: whoever set it sees that when it
/// comes due.
#[derive(Debug)]
pub struct Deadlines<D: Ord> {
    sorted: BTreeSet<(Micros, D)>,
}

impl<D: Ord> Default for Deadlines<D> {
    fn default() -> Self {
        Deadlines { sorted: BTreeSet::new() }
    }
}

impl<D: Ord> Deadlines<D> {
    /// Sets a deadline; the same one at the same time counts once.
    pub fn set(&mut self, at: Micros, what: D) {
        self.sorted.insert((at, what));
    }

    /// Takes the earliest one that is due.
    pub fn due(&mut self, now: Micros) -> Option<D> {
        if self.sorted.first()?.0 > now {
            return None;
        }
        self.sorted.pop_first().map(|(_, what)| what)
    }

    /// When the next one is due.
    pub fn next(&self) -> Option<Micros> {
        self.sorted.first().map(|d| d.0)
    }
}
