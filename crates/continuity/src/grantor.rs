//! Duties of the leader of the replicated log: it has its term as lease grantor agreed, grants leases once
//! its leadership was confirmed, closes lost incarnations whose leases have expired, and assigns successors
//! to takeovers that have none.
use crate::command::{Command, DirectorId};
use crate::coordinator::{Action, Coordinator, LogEvent};
use crate::member::Member;
use crate::message::Message;
use crate::ownership::MAX_SUCCESSORS;
use crate::record::{hash_fnv1a, rendezvous_weight};
use std::cmp::Reverse;
use stonewharf_core::Micros;

/// Number of successors for a session set of unknown size.
const SUCCESSORS_FOR_UNKNOWN_SIZE: usize = 2;

impl Coordinator {
    /// Whether this director leads the replicated log now and has applied all committed commands.
    pub fn set_leading(&mut self, now: Micros, leads: bool) {
        self.now = self.now.max(now);
        if self.leads && !leads {
            self.grantor.end_term();
            self.session_counts.clear();
            self.closing.clear();
        }
        self.leads = leads;
    }

    /// The result of a leadership confirmation; `confirmed` is false if it could not be determined.
    pub fn leadership_confirmed(&mut self, now: Micros, confirmed: bool) {
        self.now = self.now.max(now);
        if !confirmed || !self.leads {
            return self.grantor.confirmation_failed();
        }
        for grant in self.grantor.confirmation_succeeded(self.now) {
            self.send(
                &grant.name,
                Message::LeaseGrant { incarnation: grant.incarnation, number: grant.number },
            );
        }
    }

    fn is_grantor(&self) -> bool {
        let grantor = self.ownership.grantor.as_ref();
        grantor.is_some_and(|g| g.name == self.me.name && g.incarnation == self.me.incarnation)
    }

    /// The ownership has changed: another director may be the grantor by now.
    pub(crate) fn check_grantor(&mut self) {
        if !self.is_grantor() {
            self.grantor.end_term();
            self.closing.clear();
        }
    }

    pub(crate) fn run_grantor(&mut self) {
        if !self.leads {
            return;
        }
        if !self.is_grantor() {
            let (name, incarnation) = (self.me.name.clone(), self.me.incarnation);
            return self.propose("reign".into(), Command::BecomeGrantor { name, incarnation });
        }
        if self.grantor.term() != Some(self.ownership.grantor_term) {
            self.grantor.begin_term(self.now, self.ownership.grantor_term);
            self.actions.push(Action::Log(LogEvent::GrantorTermStarted(self.ownership.grantor_term)));
        }
        if self.grantor.begin_confirmation() {
            self.actions.push(Action::ConfirmLeadership);
        }
        self.close_lost();
        self.assign_successors();
    }

    /// Whether the process of an incarnation is lost, in this director's view of the fleet.
    pub(crate) fn is_lost(&self, name: &str, incarnation: u64) -> bool {
        match self.members.iter().find(|m| m.name == name) {
            Some(m) => !m.in_fleet || incarnation < m.incarnation,
            None => false, // this director does not know its fleet yet
        }
    }

    /// Closes lost incarnations whose leases have expired.
    fn close_lost(&mut self) {
        let kept: Vec<(String, u64)> = self.ownership.replicas.keys().cloned().collect();
        for (name, incarnation) in kept {
            let closing = self.closing.contains(&(name.clone(), incarnation));
            if !self.is_lost(&name, incarnation) {
                if !closing {
                    self.grantor.cancel_close(&name, incarnation);
                }
                continue;
            }
            let close = self.grantor.try_close(self.now, &name, incarnation);
            #[cfg(feature = "planted")]
            let close = match self.planted_fault {
                Some(crate::coordinator::PlantedFault::CloseBeforeExpiry) => Ok(self.ownership.grantor_term),
                _ => close,
            };
            let Ok(grantor_term) = close else { continue };
            if self.closing.insert((name.clone(), incarnation)) {
                self.actions.push(Action::Log(LogEvent::Closing(name.clone(), incarnation)));
            }
            let size =
                self.session_counts.get(&name).filter(|(of, _)| *of == incarnation).map(|(_, size)| *size);
            let successors = self.successors(&name, incarnation, size);
            let parts = successors.len() as u32;
            self.propose(
                format!("close {name} {incarnation}"),
                Command::Close { grantor_term, name, incarnation, successors, parts },
            );
        }
    }

    /// Successors for a session set: its replicas first, which have the records already, then directors of
    /// its hall.
    fn successors(&self, owner: &str, incarnation: u64, size: Option<usize>) -> Vec<DirectorId> {
        let replicas = self.ownership.replicas.get(&(owner.to_owned(), incarnation));
        let keeps = |m: &Member| replicas.is_some_and(|k| k.contains(&m.name));
        let hall = self.members.iter().find(|m| m.name == owner).map(|m| m.hall.clone());
        // A director that has requested a lease lately has a session set of its own to add the sessions to.
        let mut able: Vec<(&Member, u64, usize)> = (self.members.iter())
            .filter(|m| m.serving && m.name != owner)
            .filter_map(|m| {
                self.session_counts.get(&m.name).map(|(incarnation, size)| (m, *incarnation, *size))
            })
            .filter(|(m, incarnation, _)| !self.ownership.is_closed(&m.name, *incarnation))
            .collect();
        let many =
            size.map_or(SUCCESSORS_FOR_UNKNOWN_SIZE, |size| size.div_ceil(self.set.sessions_per_successor));
        let key = hash_fnv1a(owner);
        able.sort_by_key(|(m, _, size)| {
            let full = *size >= self.set.max_sessions;
            let away = Some(&m.hall) != hall.as_ref();
            Reverse((!full, keeps(m), !away, rendezvous_weight(key, &m.name)))
        });
        let successor =
            |(m, incarnation, _): (&Member, u64, usize)| DirectorId { name: m.name.clone(), incarnation };
        able.into_iter().take(many.clamp(1, MAX_SUCCESSORS)).map(successor).collect()
    }

    /// Assigns a successor to each takeover that has none.
    fn assign_successors(&mut self) {
        let grantor_term = self.ownership.grantor_term;
        let open: Vec<_> = self
            .ownership
            .without_successor()
            .map(|(epoch, t)| (epoch, t.owner.clone(), t.clone()))
            .collect();
        for (epoch, owner, takeover) in open {
            let all = self.successors(&owner, takeover.incarnation, Some(usize::MAX / 2));
            let replica = all.iter().position(|h| takeover.replicas.contains(&h.name));
            // Parts of one session set go to different successors.
            let at = match (takeover.of, replica) {
                (1, Some(replica)) => replica,
                _ => takeover.part as usize % all.len().max(1),
            };
            let Some(successor) = all.get(at).cloned() else { continue };
            self.propose(
                format!("next {epoch}"),
                Command::AssignSuccessor { grantor_term, epoch, successor },
            );
        }
    }
}
