//! A director's own session set, and what its replicas have of it. Changes are sent in batches, one at a time
//! to each replica, until they are acknowledged. What was not acknowledged is sent again in its then current
//! state, so that traffic is bounded by the number of changes, however slow a replica is.
use crate::message::{MAX_RECORDS, Message};
use crate::record::{Id, Record};
use std::collections::{BTreeMap, BTreeSet};
use stonewharf_core::Micros;

/// An unacknowledged batch is sent again after this time.
const RESEND_AFTER_US: Micros = 200_000;
/// A replica that has acknowledged nothing for this time is lagging: it is reported and replaced.
const LAGGING_AFTER_US: Micros = 3_000_000;

/// Replication to one replica.
#[derive(Clone, Debug)]
struct ReplicaProgress {
    name: String,
    run: u64,
    seq: u64,
    /// Sessions whose current state has not been sent.
    dirty: BTreeSet<Id>,
    /// The unacknowledged batch: its sessions, and when it was last sent.
    sent: Option<(Vec<Id>, Micros)>,
    /// Since when something waits to be acknowledged.
    unacknowledged_since: Option<Micros>,
    /// Whether everything has been sent once.
    complete: bool,
}

/// A session set at its owner.
#[derive(Clone, Debug)]
pub struct OwnSessions {
    incarnation: u64,
    records: BTreeMap<Id, Record>,
    replicas: Vec<ReplicaProgress>,
    /// Number of replication runs so far.
    runs: u64,
}

impl OwnSessions {
    /// A session set without sessions or replicas.
    pub fn new(incarnation: u64) -> OwnSessions {
        OwnSessions { incarnation, records: BTreeMap::new(), replicas: Vec::new(), runs: 0 }
    }

    /// The incarnation under which it is replicated.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// All sessions.
    pub fn records(&self) -> &BTreeMap<Id, Record> {
        &self.records
    }

    /// Adds or changes a session, or removes it if `record` is `None`.
    pub fn change(&mut self, id: Id, record: Option<Record>) {
        let same = self.records.get(&id) == record.as_ref();
        match record {
            _ if same => return,
            Some(record) => drop(self.records.insert(id, record)),
            None => drop(self.records.remove(&id)),
        }
        for replica in &mut self.replicas {
            replica.dirty.insert(id);
        }
    }

    /// Sets the replicas; one that stays keeps what it has.
    pub fn set_replicas(&mut self, names: &[String]) {
        let before = std::mem::take(&mut self.replicas);
        for name in names {
            let replica = before.iter().find(|k| k.name == *name).cloned();
            let replica = replica.unwrap_or_else(|| self.new_replica(name));
            self.replicas.push(replica);
        }
    }

    fn new_replica(&mut self, name: &str) -> ReplicaProgress {
        self.runs += 1;
        let (run, dirty) = (self.runs, self.records.keys().copied().collect());
        ReplicaProgress {
            name: name.to_owned(),
            run,
            seq: 0,
            dirty,
            sent: None,
            unacknowledged_since: None,
            complete: false,
        }
    }

    /// Names of the replicas.
    pub fn replicas(&self) -> Vec<String> {
        self.replicas.iter().map(|k| k.name.clone()).collect()
    }

    /// Replicas that have acknowledged nothing for too long.
    pub fn lagging(&self, now: Micros) -> Vec<String> {
        let lags = |k: &&ReplicaProgress| {
            k.unacknowledged_since.is_some_and(|since| since.saturating_add(LAGGING_AFTER_US) <= now)
        };
        self.replicas.iter().filter(lags).map(|k| k.name.clone()).collect()
    }

    /// Whether at least one replica has acknowledged all of these sessions; true if there is no replica.
    pub fn is_replicated(&self, ids: &BTreeSet<Id>) -> bool {
        let has = |k: &ReplicaProgress| {
            let under_way = k.sent.iter().flat_map(|(ids, _)| ids);
            k.complete && k.dirty.is_disjoint(ids) && !under_way.into_iter().any(|id| ids.contains(id))
        };
        self.replicas.is_empty() || self.replicas.iter().any(has)
    }

    /// Changes that no replica has acknowledged, and that a successor would therefore not know.
    pub fn unreplicated(&self) -> usize {
        let open = |k: &ReplicaProgress| k.dirty.len() + k.sent.as_ref().map_or(0, |(ids, _)| ids.len());
        self.replicas.iter().map(open).min().unwrap_or(self.records.len())
    }

    /// The batches to send now.
    pub fn take_due_batches(&mut self, now: Micros) -> Vec<(String, Message)> {
        let mut messages = Vec::new();
        for replica in &mut self.replicas {
            let resend = match &replica.sent {
                Some((_, at)) if at.saturating_add(RESEND_AFTER_US) > now => continue,
                Some(_) => true,
                None if replica.dirty.is_empty() && replica.seq > 0 => continue,
                None => false,
            };
            if !resend {
                let ids: Vec<Id> = replica.dirty.iter().copied().take(MAX_RECORDS).collect();
                ids.iter().for_each(|id| {
                    replica.dirty.remove(id);
                });
                replica.seq += 1;
                replica.sent = Some((ids, now));
                replica.unacknowledged_since.get_or_insert(now);
            }
            let Some((ids, at)) = &mut replica.sent else { continue };
            *at = now;
            // The current state: a batch is a set of states, and a later one replaces an earlier.
            let changes = ids.iter().map(|id| (*id, self.records.get(id).cloned())).collect();
            let complete = replica.dirty.is_empty();
            let (incarnation, run, seq) = (self.incarnation, replica.run, replica.seq);
            let message = Message::Replicate { incarnation, run, seq, complete, changes };
            messages.push((replica.name.clone(), message));
        }
        messages
    }

    /// A replica has all batches up to this one.
    pub fn acknowledged(&mut self, from: &str, incarnation: u64, run: u64, seq: u64) {
        let last = |k: &&mut ReplicaProgress| k.name == from && (k.run, k.seq) == (run, seq);
        let Some(replica) = self.replicas.iter_mut().find(last).filter(|_| incarnation == self.incarnation)
        else {
            return;
        };
        if replica.sent.take().is_some() {
            replica.complete |= replica.dirty.is_empty();
            replica.unacknowledged_since = None;
        }
    }

    /// A replica lacks earlier batches: starts a new run.
    pub fn restart_replica(&mut self, from: &str, incarnation: u64, run: u64) {
        if incarnation != self.incarnation {
            return;
        }
        if let Some(at) = self.replicas.iter().position(|k| k.name == from && k.run == run) {
            let unacknowledged_since = self.replicas[at].unacknowledged_since;
            self.replicas[at] = ReplicaProgress { unacknowledged_since, ..self.new_replica(from) };
        }
    }

    /// The latest time at which [`OwnSessions::take_due_batches`] has something to do.
    pub fn next_send_at(&self) -> Micros {
        let due = |k: &ReplicaProgress| match &k.sent {
            Some((_, at)) => at.saturating_add(RESEND_AFTER_US),
            None if k.dirty.is_empty() && k.seq > 0 => Micros::MAX,
            None => 0,
        };
        self.replicas.iter().map(due).min().unwrap_or(Micros::MAX)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::record::{RequestSummary, Stage};
    use crate::replica::ReplicaStore;

    fn record(streamer: &str) -> Record {
        Record {
            summary: RequestSummary::default(),
            streamer: streamer.into(),
            stage: Stage::InFlight,
            rung: 0,
            epoch: 0,
        }
    }

    /// Messages are lost, repeated and reordered; once that ends the replica equals the owner's set.
    #[test]
    fn a_replica_equals_the_owners_sessions_once_messages_arrive_reliably() {
        let (mut owner, mut store) = (OwnSessions::new(7), ReplicaStore::new());
        owner.set_replicas(&["k".to_owned()]);
        let mut random = 1_u64;
        let mut below = |n: u64| {
            random = crate::record::mix_bits(random.wrapping_add(1));
            random % n
        };
        let mut network: Vec<Message> = Vec::new();
        for round in 0..4_000_u64 {
            let now = round * 50_000;
            let fault_free = round > 3_900;
            if !fault_free {
                let id = below(300);
                let over = below(3) == 0;
                owner.change(id, (!over).then(|| record(&format!("s{}", below(4)))));
                if below(500) == 0 {
                    store = ReplicaStore::new(); // the replica was restarted
                }
            }
            network.extend(owner.take_due_batches(now).into_iter().map(|(_, message)| message));
            let mut arriving = std::mem::take(&mut network);
            if !fault_free && below(4) == 0 && arriving.len() > 1 {
                arriving.swap(0, 1);
            }
            for message in arriving {
                let Message::Replicate { incarnation, run, seq, complete, changes } = message else {
                    panic!("{message:?}")
                };
                match below(5) {
                    0 if !fault_free => continue, // lost
                    1 if !fault_free => network.push(Message::Replicate {
                        incarnation,
                        run,
                        seq,
                        complete,
                        changes: changes.clone(),
                    }),
                    _ => {}
                }
                match store.apply_batch("d", incarnation, (run, seq), complete, changes) {
                    Some(Message::ReplicaAck { incarnation, run, seq }) if fault_free || below(4) > 0 => {
                        owner.acknowledged("k", incarnation, run, seq);
                    }
                    Some(Message::ReplicaGap { incarnation, run }) => {
                        owner.restart_replica("k", incarnation, run)
                    }
                    _ => {}
                }
            }
        }
        let replica = store.replica("d", 7).expect("a replica");
        assert_eq!(replica.records, *owner.records());
        assert!(replica.complete && owner.unreplicated() == 0 && !owner.records().is_empty());
        let all: BTreeSet<Id> = owner.records().keys().copied().collect();
        assert!(owner.is_replicated(&all));
        owner.change(9_999, Some(record("s")));
        assert!(!owner.is_replicated(&BTreeSet::from([9_999])) && owner.unreplicated() == 1);
    }

    #[test]
    fn a_silent_replica_lags_and_its_replacement_is_sent_everything() {
        let mut owner = OwnSessions::new(7);
        owner.change(1, Some(record("s")));
        owner.set_replicas(&["k".to_owned()]);
        assert_eq!(owner.take_due_batches(1_000_000).len(), 1);
        assert!(
            owner.take_due_batches(1_100_000).is_empty() && owner.take_due_batches(1_200_000).len() == 1,
            "sent again after a while"
        );
        assert!(owner.lagging(3_900_000).is_empty());
        assert_eq!(owner.lagging(4_000_000), vec!["k"]);
        owner.set_replicas(&["l".to_owned()]);
        let messages = owner.take_due_batches(4_000_000);
        assert!(matches!(&messages[0], (name, Message::Replicate { seq: 1, complete: true, changes, .. })
            if name == "l" && changes.len() == 1));
    }
}
