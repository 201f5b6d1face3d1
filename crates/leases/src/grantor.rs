//! The giver's side, at whoever leads.
use crate::duration::LeaseDuration;
use std::collections::{BTreeMap, BTreeSet};
use stonewharf_core::Micros;

/// Questions that wait for one confirmation at most.
const MAX_PENDING_REQUESTS: usize = 4_096;

/// A question for a lease.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LeaseRequest {
    /// Who asks.
    pub name: String,
    /// For which of its lives; grows.
    pub incarnation: u64,
    /// Its number for the question.
    pub number: u64,
}

/// A lease that was given; the answer to a question.
pub type Grant = LeaseRequest;

/// A lease may still be in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CloseError {
    /// This director gives no leases now.
    #[error("this director does not give leases now; the one that leads the agreed log does")]
    NotGrantor,
    /// Leases of the giver before this one may be in force until then.
    #[error("leases of the giver before may run until {0} us; wait")]
    EarlierGrantor(Micros),
    /// This lease may be in force until then.
    #[error("its lease may run until {0} us; wait")]
    MayBeActive(Micros),
}

/// Who gives leases, and what it has given.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeaseGrantor {
    duration: LeaseDuration,
    /// The reign, and since when it is known to be agreed.
    term: Option<(u64, Micros)>,
    pending: Vec<LeaseRequest>,
    /// Questions that wait for the confirmation that is under way.
    confirming: Option<Vec<LeaseRequest>>,
    /// When each life was answered last.
    granted_at: BTreeMap<(String, u64), Micros>,
    /// Lives that get no more: they are about to be closed.
    closing: BTreeSet<(String, u64)>,
    /// The latest life of each name that is closed, as agreed.
    closed: BTreeMap<String, u64>,
}

impl LeaseGrantor {
    /// One that gives nothing until its reign is agreed.
    pub fn new(duration: LeaseDuration) -> LeaseGrantor {
        let (pending, granted_at, closing, closed) = Default::default();
        LeaseGrantor { duration, term: None, pending, confirming: None, granted_at, closing, closed }
    }

    /// Its reign is agreed, as it finds now; it was told before of all lives that are closed. What the one
    /// before gave may still be in force.
    pub fn begin_term(&mut self, now: Micros, number: u64) {
        if self.term.is_none_or(|(known, _)| known != number) {
            self.end_term();
            self.term = Some((number, now));
        }
    }

    /// It leads no more, or another reigns.
    pub fn end_term(&mut self) {
        let closed = std::mem::take(&mut self.closed);
        *self = LeaseGrantor { closed, ..LeaseGrantor::new(self.duration) };
    }

    /// The number of its reign.
    pub fn term(&self) -> Option<u64> {
        self.term.map(|(number, _)| number)
    }

    /// Takes a question; it is answered when most voters have confirmed the lead.
    pub fn request(&mut self, request: LeaseRequest) {
        if self.term.is_some() && self.pending.len() < MAX_PENDING_REQUESTS {
            self.pending.push(request);
        }
    }

    /// Whether a confirmation is wanted now; the questions so far wait for it.
    pub fn begin_confirmation(&mut self) -> bool {
        if self.confirming.is_some() || self.pending.is_empty() {
            return false;
        }
        self.confirming = Some(std::mem::take(&mut self.pending));
        true
    }

    /// Most voters have confirmed, after the questions had come, that this director leads: leases count from
    /// now.
    pub fn confirmation_succeeded(&mut self, now: Micros) -> Vec<Grant> {
        let pending = self.confirming.take().unwrap_or_default();
        let mut grants = Vec::new();
        for request in pending.into_iter().filter(|_| self.term.is_some()) {
            let incarnation = (request.name.clone(), request.incarnation);
            let later = (request.name.clone(), request.incarnation.saturating_add(1))
                ..=(request.name.clone(), u64::MAX);
            let closed = self.closed.get(&request.name).is_some_and(|closed| *closed >= request.incarnation);
            if closed || self.granted_at.range(later).next().is_some() || self.closing.contains(&incarnation)
            {
                continue;
            }
            self.granted_at.insert(incarnation, now);
            grants.push(request);
        }
        grants
    }

    /// The confirmation failed: who asked will ask again.
    pub fn confirmation_failed(&mut self) {
        self.confirming = None;
    }

    /// Whether a life's lease has run out for sure, whoever gave it. It gets no more from here on: the caller
    /// goes on to have it closed, by a command that names this reign.
    pub fn try_close(&mut self, now: Micros, name: &str, incarnation: u64) -> Result<u64, CloseError> {
        let Some((term, since)) = self.term else { return Err(CloseError::NotGrantor) };
        // No more from here on, so that what is given ends.
        self.closing.insert((name.to_owned(), incarnation));
        let earlier_until = since.saturating_add(self.duration.grantor);
        if earlier_until > now {
            return Err(CloseError::EarlierGrantor(earlier_until));
        }
        // Of former lives as well: a process that was replaced may still run.
        let incarnations = (name.to_owned(), 0)..=(name.to_owned(), incarnation);
        let active_until =
            self.granted_at.range(incarnations).map(|(_, at)| at.saturating_add(self.duration.grantor)).max();
        match active_until.filter(|until| *until > now) {
            Some(until) => Err(CloseError::MayBeActive(until)),
            None => Ok(term),
        }
    }

    /// A life that was about to be closed is not gone after all.
    pub fn cancel_close(&mut self, name: &str, incarnation: u64) {
        self.closing.remove(&(name.to_owned(), incarnation));
    }

    /// A life is closed, as agreed, with all before it: they get no lease from anybody.
    pub fn mark_closed(&mut self, name: &str, incarnation: u64) {
        let closed = self.closed.entry(name.to_owned()).or_default();
        *closed = incarnation.max(*closed);
        self.closing.retain(|(n, l)| n != name || *l > incarnation);
        self.granted_at.retain(|(n, l), _| n != name || *l > incarnation);
    }
}
