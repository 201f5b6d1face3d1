//! The lease on this director's session set, the choice of its replicas, and its hand-over.
use super::{Action, Coordinator, HAND_OVER_TIMEOUT_US, LogEvent, PROPOSAL_RETRY_US};
use crate::command::Command;
use crate::member::select_replicas;
use crate::own_sessions::OwnSessions;
use stonewharf_core::Micros;

impl Coordinator {
    /// Acts on a lease that has just become valid: sessions that began without one are replicated from now
    /// on.
    pub(super) fn check_lease_start(&mut self) {
        if self.leased || !self.holder.is_valid(self.now) {
            return;
        }
        self.leased = true;
        for (id, record) in std::mem::take(&mut self.unleased) {
            self.own.change(id, Some(record));
        }
        self.actions.push(Action::Log(LogEvent::LeaseAcquired(self.own.incarnation())));
        self.choose_replicas();
    }

    pub(super) fn check_lease_expiry(&mut self) {
        if self.leased && !self.holder.is_valid(self.now) {
            self.leased = false;
            self.actions.push(Action::Log(LogEvent::LeaseExpired(self.own.records().len())));
        }
    }

    /// This incarnation is closed: its sessions belong to others. Sessions that began since are a new session
    /// set.
    pub(super) fn abandon_sessions(&mut self) {
        let (incarnation, mut ids) = (self.own.incarnation(), Vec::new());
        for id in self.own.records().keys().copied().collect::<Vec<_>>() {
            self.ending.remove(&id);
            self.blocked.insert(id, self.now);
            ids.push(id);
        }
        self.takeover_tasks.clear();
        self.own = OwnSessions::new(self.now.max(incarnation + 1));
        self.holder.relinquish(self.now);
        // What this director still accepts while it leaves is a new session set, replicated and handed over
        // like any other.
        (self.leased, self.leaving) = (false, None);
        self.actions.push(Action::Log(LogEvent::HandedOver(incarnation, ids.len())));
        self.registry.abandon_sessions(&ids);
        self.actions.push(Action::Forget(ids));
        self.with_registry(|registry, context, out| registry.reregister(context, true, out));
    }

    /// Replicas are chosen once there is a lease; nothing is replicated before.
    pub(super) fn choose_replicas(&mut self) {
        if !self.leased {
            return;
        }
        let now = self.now;
        self.excluded_replicas.retain(|_, until| *until > now);
        let but: Vec<String> = self.excluded_replicas.keys().cloned().collect();
        let names = select_replicas(&self.members, &self.me.name, &self.me.hall, &but);
        if names != self.own.replicas() {
            self.own.set_replicas(&names);
            self.actions.push(Action::Log(LogEvent::ReplicasChosen(names)));
        }
    }

    /// The director is about to leave: it stops acting on its sessions and hands them over at once.
    pub fn leave(&mut self, now: Micros) {
        self.now = self.now.max(now);
        self.leaving.get_or_insert(now);
        self.holder.relinquish(now);
        self.check_lease_expiry();
    }

    pub(super) fn hand_over(&mut self) {
        let Some(since) = self.leaving else { return };
        let (incarnation, waited) = (self.own.incarnation(), self.now.saturating_sub(since));
        let known = self.ownership.replicas.contains_key(&(self.me.name.clone(), incarnation));
        if known && (self.own.unreplicated() == 0 || waited >= HAND_OVER_TIMEOUT_US) {
            let parts = self.own.records().len().div_ceil(self.set.sessions_per_successor).max(1) as u32;
            let name = self.me.name.clone();
            self.propose(format!("down {incarnation}"), Command::HandOver { name, incarnation, parts });
        }
    }

    /// Proposes a command, and repeats that at intervals until it is agreed.
    pub(crate) fn propose(&mut self, about: String, command: Command) {
        let at = self.proposed_at.get(&about).copied().unwrap_or(0);
        if at == 0 || at.saturating_add(PROPOSAL_RETRY_US) <= self.now {
            self.proposed_at.insert(about, self.now);
            self.actions.push(Action::Propose(command));
        }
    }

    /// Has the replicas agreed in the log, where successors find them.
    pub(super) fn propose_replicas(&mut self) {
        let (incarnation, replicas) = (self.own.incarnation(), self.own.replicas());
        let known = self.ownership.replicas.get(&(self.me.name.clone(), incarnation));
        if self.leased && !replicas.is_empty() && known != Some(&replicas) {
            let name = self.me.name.clone();
            self.propose(
                format!("keepers {incarnation} {}", replicas.join(" ")),
                Command::SetReplicas { name, incarnation, replicas },
            );
        }
    }
}
