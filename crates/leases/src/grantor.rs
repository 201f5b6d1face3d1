//! The grantor's side of a lease, at the leader of the replicated log.
use crate::duration::LeaseDuration;
use std::collections::{BTreeMap, BTreeSet};
use stonewharf_core::Micros;

/// The largest number of requests that wait for one confirmation.
const MAX_PENDING_REQUESTS: usize = 4_096;

/// A request for a lease.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LeaseRequest {
    /// Name of the requesting director.
    pub name: String,
    /// Its incarnation; grows with each one.
    pub incarnation: u64,
    /// The requester's number for this request.
    pub number: u64,
}

/// A granted lease: the request that it answers.
pub type Grant = LeaseRequest;

/// Why an incarnation can't be closed yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CloseError {
    /// This director does not grant leases now.
    #[error("this director does not grant leases now; the leader of the replicated log does")]
    NotGrantor,
    /// Leases of an earlier grantor may be valid until this time.
    #[error("leases of the earlier grantor may be valid until {0} us; wait")]
    EarlierGrantor(Micros),
    /// The lease of this incarnation may be valid until this time.
    #[error("its lease may be valid until {0} us; wait")]
    MayBeActive(Micros),
}

/// Grants leases and keeps track of those that may still be valid.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeaseGrantor {
    duration: LeaseDuration,
    /// The term, and when this grantor learned that it was agreed.
    term: Option<(u64, Micros)>,
    pending: Vec<LeaseRequest>,
    /// Requests that wait for the confirmation in progress.
    confirming: Option<Vec<LeaseRequest>>,
    /// When a lease was last granted to each incarnation.
    granted_at: BTreeMap<(String, u64), Micros>,
    /// Incarnations that get no more leases because they are about to be closed.
    closing: BTreeSet<(String, u64)>,
    /// The latest closed incarnation of each name, as agreed.
    closed: BTreeMap<String, u64>,
}

impl LeaseGrantor {
    /// A grantor that grants nothing until its term is agreed.
    pub fn new(duration: LeaseDuration) -> LeaseGrantor {
        let (pending, granted_at, closing, closed) = Default::default();
        LeaseGrantor { duration, term: None, pending, confirming: None, granted_at, closing, closed }
    }

    /// The term of this grantor is agreed. It must have been told of all closed incarnations before. Leases
    /// of the previous grantor may still be valid.
    pub fn begin_term(&mut self, now: Micros, number: u64) {
        if self.term.is_none_or(|(known, _)| known != number) {
            self.end_term();
            self.term = Some((number, now));
        }
    }

    /// This director no longer leads, or another one is the grantor.
    pub fn end_term(&mut self) {
        let closed = std::mem::take(&mut self.closed);
        *self = LeaseGrantor { closed, ..LeaseGrantor::new(self.duration) };
    }

    /// The current term.
    pub fn term(&self) -> Option<u64> {
        self.term.map(|(number, _)| number)
    }

    /// Queues a request; it is answered once a majority of the voters has confirmed the leadership.
    pub fn request(&mut self, request: LeaseRequest) {
        if self.term.is_some() && self.pending.len() < MAX_PENDING_REQUESTS {
            self.pending.push(request);
        }
    }

    /// Whether a confirmation of the leadership has to be started now. All requests so far wait for it.
    pub fn begin_confirmation(&mut self) -> bool {
        if self.confirming.is_some() || self.pending.is_empty() {
            return false;
        }
        self.confirming = Some(std::mem::take(&mut self.pending));
        true
    }

    /// A majority of the voters has confirmed this director's leadership after the requests arrived. Leases
    /// count from now.
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

    /// The confirmation failed. The requests are dropped; their senders will retry.
    pub fn confirmation_failed(&mut self) {
        self.confirming = None;
    }

    /// Checks that the lease of an incarnation has certainly expired, whoever granted it, and returns the
    /// term that the command to close it has to name. The incarnation gets no more leases from here on.
    pub fn try_close(&mut self, now: Micros, name: &str, incarnation: u64) -> Result<u64, CloseError> {
        let Some((term, since)) = self.term else { return Err(CloseError::NotGrantor) };
        // Refuse renewals from here on, so that the last lease expires.
        self.closing.insert((name.to_owned(), incarnation));
        let earlier_until = since.saturating_add(self.duration.grantor);
        if earlier_until > now {
            return Err(CloseError::EarlierGrantor(earlier_until));
        }
        // Earlier incarnations count as well: a process that was replaced may still be running.
        let incarnations = (name.to_owned(), 0)..=(name.to_owned(), incarnation);
        let active_until =
            self.granted_at.range(incarnations).map(|(_, at)| at.saturating_add(self.duration.grantor)).max();
        match active_until.filter(|until| *until > now) {
            Some(until) => Err(CloseError::MayBeActive(until)),
            None => Ok(term),
        }
    }

    /// Grants leases again to an incarnation that was about to be closed and has turned out to be alive.
    pub fn cancel_close(&mut self, name: &str, incarnation: u64) {
        self.closing.remove(&(name.to_owned(), incarnation));
    }

    /// An incarnation and all before it are closed, as agreed; none of them gets a lease from any grantor.
    pub fn mark_closed(&mut self, name: &str, incarnation: u64) {
        let closed = self.closed.entry(name.to_owned()).or_default();
        *closed = incarnation.max(*closed);
        self.closing.retain(|(n, l)| n != name || *l > incarnation);
        self.granted_at.retain(|(n, l), _| n != name || *l > incarnation);
    }
}
