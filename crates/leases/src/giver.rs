//! The giver's side, at whoever leads.
use crate::span::Span;
use std::collections::{BTreeMap, BTreeSet};
use stonewharf_core::Micros;

/// Questions that wait for one confirmation at most.
const ASKS_MOST: usize = 4_096;

/// A question for a lease.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ask {
    /// Who asks.
    pub name: String,
    /// For which of its lives; grows.
    pub life: u64,
    /// Its number for the question.
    pub number: u64,
}

/// A lease that was given; the answer to a question.
pub type Grant = Ask;

/// A lease may still be in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum NotYet {
    /// This director gives no leases now.
    #[error("this director does not give leases now; the one that leads the agreed log does")]
    NoGiver,
    /// Leases of the giver before this one may be in force until then.
    #[error("leases of the giver before may run until {0} us; wait")]
    Former(Micros),
    /// This lease may be in force until then.
    #[error("its lease may run until {0} us; wait")]
    Runs(Micros),
}

/// Who gives leases, and what it has given.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Giver {
    span: Span,
    /// The reign, and since when it is known to be agreed.
    reign: Option<(u64, Micros)>,
    asks: Vec<Ask>,
    /// Questions that wait for the confirmation that is under way.
    confirming: Option<Vec<Ask>>,
    /// When each life was answered last.
    given: BTreeMap<(String, u64), Micros>,
    /// Lives that get no more: they are about to be closed.
    condemned: BTreeSet<(String, u64)>,
    /// The latest life of each name that is closed, as agreed.
    closed: BTreeMap<String, u64>,
}

impl Giver {
    /// One that gives nothing until its reign is agreed.
    pub fn new(span: Span) -> Giver {
        let (asks, given, condemned, closed) = Default::default();
        Giver { span, reign: None, asks, confirming: None, given, condemned, closed }
    }

    /// Its reign is agreed, as it finds now; it was told before of all lives that are closed. What the one
    /// before gave may still be in force.
    pub fn reigns(&mut self, now: Micros, number: u64) {
        if self.reign.is_none_or(|(known, _)| known != number) {
            self.ends();
            self.reign = Some((number, now));
        }
    }

    /// It leads no more, or another reigns.
    pub fn ends(&mut self) {
        let closed = std::mem::take(&mut self.closed);
        *self = Giver { closed, ..Giver::new(self.span) };
    }

    /// The number of its reign.
    pub fn reign(&self) -> Option<u64> {
        self.reign.map(|(number, _)| number)
    }

    /// Takes a question; it is answered when most voters have confirmed the lead.
    pub fn ask(&mut self, ask: Ask) {
        if self.reign.is_some() && self.asks.len() < ASKS_MOST {
            self.asks.push(ask);
        }
    }

    /// Whether a confirmation is wanted now; the questions so far wait for it.
    pub fn confirm(&mut self) -> bool {
        if self.confirming.is_some() || self.asks.is_empty() {
            return false;
        }
        self.confirming = Some(std::mem::take(&mut self.asks));
        true
    }

    /// Most voters have confirmed, after the questions had come, that this director leads: leases count from
    /// now.
    pub fn confirmed(&mut self, now: Micros) -> Vec<Grant> {
        let asks = self.confirming.take().unwrap_or_default();
        let mut grants = Vec::new();
        for ask in asks.into_iter().filter(|_| self.reign.is_some()) {
            let life = (ask.name.clone(), ask.life);
            let later = (ask.name.clone(), ask.life.saturating_add(1))..=(ask.name.clone(), u64::MAX);
            let closed = self.closed.get(&ask.name).is_some_and(|closed| *closed >= ask.life);
            if closed || self.given.range(later).next().is_some() || self.condemned.contains(&life) {
                continue;
            }
            self.given.insert(life, now);
            grants.push(ask);
        }
        grants
    }

    /// The confirmation failed: who asked will ask again.
    pub fn unconfirmed(&mut self) {
        self.confirming = None;
    }

    /// Whether a life's lease has run out for sure, whoever gave it. It gets no more from here on: the caller
    /// goes on to have it closed, by a command that names this reign.
    pub fn close(&mut self, now: Micros, name: &str, life: u64) -> Result<u64, NotYet> {
        let Some((reign, since)) = self.reign else { return Err(NotYet::NoGiver) };
        // No more from here on, so that what is given ends.
        self.condemned.insert((name.to_owned(), life));
        let former = since.saturating_add(self.span.giver);
        if former > now {
            return Err(NotYet::Former(former));
        }
        // Of former lives as well: a process that was replaced may still run.
        let lives = (name.to_owned(), 0)..=(name.to_owned(), life);
        let runs = self.given.range(lives).map(|(_, at)| at.saturating_add(self.span.giver)).max();
        match runs.filter(|until| *until > now) {
            Some(until) => Err(NotYet::Runs(until)),
            None => Ok(reign),
        }
    }

    /// A life that was about to be closed is not gone after all.
    pub fn spare(&mut self, name: &str, life: u64) {
        self.condemned.remove(&(name.to_owned(), life));
    }

    /// A life is closed, as agreed, with all before it: they get no lease from anybody.
    pub fn closed(&mut self, name: &str, life: u64) {
        let closed = self.closed.entry(name.to_owned()).or_default();
        *closed = life.max(*closed);
        self.condemned.retain(|(n, l)| n != name || *l > life);
        self.given.retain(|(n, l), _| n != name || *l > life);
    }
}
