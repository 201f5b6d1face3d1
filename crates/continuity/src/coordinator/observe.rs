//! Takes changes from outside: the fleet, the agreed ownership, and ends of other directors' sessions.
use super::{Action, Coordinator, MAX_MISROUTED_ENDS, MISROUTED_END_LIFETIME_US};
use crate::member::Member;
use crate::message::{EndKind, Message};
use crate::ownership::{OwnershipState, Takeover};
use crate::record::Id;
use std::collections::BTreeSet;
use stonewharf_core::Micros;

impl Coordinator {
    /// A session that this director does not hold has ended: forwards that to the directors that took it over
    /// or are about to.
    pub fn misrouted_end(&mut self, now: Micros, id: Id, what: EndKind) {
        self.now = self.now.max(now);
        let successors: BTreeSet<String> = (self.ownership.takeovers.values())
            .filter_map(|t| t.successor.as_ref().map(|h| h.name.clone()))
            .filter(|name| *name != self.me.name)
            .collect();
        successors.into_iter().for_each(|successor| {
            self.actions.push(Action::Send(successor, Message::MisroutedEnd { id, what }))
        });
        if self.misrouted_ends.len() >= MAX_MISROUTED_ENDS {
            self.misrouted_ends.pop_front();
        }
        self.misrouted_ends.push_back((now, id, what));
    }

    /// Forwards ends that arrived before the successor had the sessions, now that it has them.
    pub(super) fn forward_misrouted_ends(&mut self, successor: &str) {
        let now = self.now;
        self.misrouted_ends.retain(|(at, ..)| at.saturating_add(MISROUTED_END_LIFETIME_US) > now);
        for (_, id, what) in self.misrouted_ends.clone() {
            self.send(successor, Message::MisroutedEnd { id, what });
        }
    }

    /// The current members of the fleet.
    pub fn set_members(&mut self, now: Micros, members: Vec<Member>) {
        self.now = self.now.max(now);
        if self.members != members {
            let before = std::mem::replace(&mut self.members, members);
            self.note_lost_members(&before);
            self.earlier_views.push((now, before));
            self.with_registry(|registry, context, out| registry.reregister(context, false, out));
            self.choose_replicas();
        }
    }

    /// Notes members that were lost since the earlier view: what only they knew is known to nobody.
    pub(super) fn note_lost_members(&mut self, before: &[Member]) {
        let now = self.now;
        let kept = self.set.unknown_hold_off_ms.saturating_mul(1_000);
        self.lost_at.retain(|_, at| at.saturating_add(kept) > now);
        self.loss_views.retain(|(at, _)| at.saturating_add(kept) > now);
        let there = |m: &Member| {
            self.members.iter().any(|n| n.in_fleet && (&n.name, n.incarnation) == (&m.name, m.incarnation))
        };
        let gone: Vec<_> = before.iter().filter(|m| m.in_fleet && !there(m)).collect();
        if !gone.is_empty() {
            self.loss_views.push((now, before.to_vec()));
            self.lost_at.extend(gone.into_iter().map(|m| ((m.name.clone(), m.incarnation), now)));
        }
    }

    /// Applies the agreed ownership, if it has changed.
    pub fn apply_ownership(&mut self, now: Micros, ownership: &OwnershipState) {
        self.now = self.now.max(now);
        if ownership.version == self.ownership.version {
            return;
        }
        let done = |t: &&Takeover| t.done;
        let before: BTreeSet<u64> =
            self.ownership.takeovers.iter().filter(|(_, t)| done(t)).map(|(epoch, _)| *epoch).collect();
        self.ownership = ownership.clone();
        for (name, incarnation) in &self.ownership.closed {
            self.grantor.mark_closed(name, *incarnation);
        }
        if self.ownership.is_closed(&self.me.name, self.own.incarnation()) {
            self.abandon_sessions();
        }
        self.update_takeovers();
        let fresh = self.ownership.takeovers.iter().filter(|(epoch, t)| t.done && !before.contains(epoch));
        let successors: BTreeSet<String> =
            fresh.filter_map(|(_, t)| t.successor.as_ref().map(|h| h.name.clone())).collect();
        successors.into_iter().for_each(|successor| self.forward_misrouted_ends(&successor));
        // Replicas of completed takeovers are no longer needed; those of open takeovers are.
        let incarnations: Vec<(String, u64)> = self
            .replica_store
            .incarnations()
            .map(|(name, incarnation)| (name.to_owned(), incarnation))
            .collect();
        for (name, incarnation) in incarnations {
            let open = |t: &Takeover| t.owner == name && t.incarnation == incarnation && !t.done;
            if self.ownership.is_closed(&name, incarnation) && !self.ownership.takeovers.values().any(open) {
                self.replica_store.forget(&name, incarnation);
            }
        }
        self.check_grantor();
    }
}
