//! The estate: the lease on it, who keeps it, and how it is laid down.
use super::{Action, Coordinator, HAND_OVER_TIMEOUT_US, LogEvent, PROPOSAL_RETRY_US};
use crate::command::Command;
use crate::member::select_replicas;
use crate::own_sessions::OwnSessions;
use stonewharf_core::Micros;

impl Coordinator {
    /// The lease is there, or back: what began without it is kept from now on.
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

    /// Its life is closed: what was kept under it is another's. What began since is a new estate.
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
        // What it still takes as it leaves is a new estate, kept and left like any other.
        (self.leased, self.leaving) = (false, None);
        self.actions.push(Action::Log(LogEvent::HandedOver(incarnation, ids.len())));
        self.registry.abandon_sessions(&ids);
        self.actions.push(Action::Forget(ids));
        self.with_registry(|registry, context, out| registry.reregister(context, true, out));
    }

    /// Keepers are chosen once there is a lease: before, nothing is shared.
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

    /// It is about to leave: it acts on its estate no more, and hands it over at once.
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

    /// Has something agreed, once in a while until it is.
    pub(crate) fn propose(&mut self, about: String, command: Command) {
        let at = self.proposed_at.get(&about).copied().unwrap_or(0);
        if at == 0 || at.saturating_add(PROPOSAL_RETRY_US) <= self.now {
            self.proposed_at.insert(about, self.now);
            self.actions.push(Action::Propose(command));
        }
    }

    /// Who keeps the estate is agreed, so that heirs find it.
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
