//! Replicas of other directors' session sets. They are stored and handed out; the director never acts on
//! them.
use crate::message::{MAX_RECORDS, Message};
use crate::record::{Id, Record, part};
use std::collections::BTreeMap;
use std::ops::Bound;

/// The largest number of replicas.
const MAX_REPLICAS: usize = 256;
/// The largest number of sessions in all replicas.
const MAX_STORED_RECORDS: usize = 100_000;

/// The replica of one incarnation's session set.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Replica {
    /// The owner's replication run.
    pub run: u64,
    /// The latest batch.
    pub seq: u64,
    /// Whether the replica is complete with that batch.
    pub complete: bool,
    /// The sessions.
    pub records: BTreeMap<Id, Record>,
}

/// All replicas at this director.
#[derive(Clone, Debug, Default)]
pub struct ReplicaStore {
    replicas: BTreeMap<(String, u64), Replica>,
    records: usize,
}

impl ReplicaStore {
    /// An empty store.
    pub fn new() -> ReplicaStore {
        ReplicaStore::default()
    }

    /// Applies a batch of an owner and returns the answer to it. Without room there is no answer, and the
    /// owner chooses another replica.
    pub fn apply_batch(
        &mut self,
        owner: &str,
        incarnation: u64,
        (run, seq): (u64, u64),
        complete: bool,
        changes: Vec<(Id, Option<Record>)>,
    ) -> Option<Message> {
        let key = (owner.to_owned(), incarnation);
        let before = self.replicas.get(&key).map(|t| (t.run, t.seq));
        match before {
            Some((known, last)) if run < known || (run == known && seq <= last) => {
                return Some(Message::ReplicaAck { incarnation, run: known, seq: last });
            }
            Some((known, last)) if (run, seq) == (known, last + 1) => {}
            // A new run of this incarnation. Replicas of earlier incarnations stay for their successors.
            _ if seq == 1 => self.remove_replica(&key),
            _ => return Some(Message::ReplicaGap { incarnation, run }),
        }
        let fresh = !self.replicas.contains_key(&key);
        if fresh && self.replicas.len() >= MAX_REPLICAS || self.records + changes.len() > MAX_STORED_RECORDS {
            return None;
        }
        let replica = self.replicas.entry(key).or_default();
        let count_before = replica.records.len();
        for (id, record) in changes {
            match record {
                Some(record) => drop(replica.records.insert(id, record)),
                None => drop(replica.records.remove(&id)),
            }
        }
        (replica.run, replica.seq, replica.complete) = (run, seq, complete);
        self.records = self.records + replica.records.len() - count_before;
        Some(Message::ReplicaAck { incarnation, run, seq })
    }

    /// The replica of a session set.
    pub fn replica(&self, owner: &str, incarnation: u64) -> Option<&Replica> {
        self.replicas.get(&(owner.to_owned(), incarnation))
    }

    /// Answers a successor's request for a page.
    pub fn page(
        &self,
        owner: &str,
        incarnation: u64,
        wanted_part: u32,
        of: u32,
        after: Option<Id>,
    ) -> Message {
        let replica = self.replica(owner, incarnation);
        let from = after.map_or(Bound::Unbounded, Bound::Excluded);
        let mut records: Vec<(Id, Record)> = (replica.iter())
            .flat_map(|t| t.records.range((from, Bound::Unbounded)))
            .filter(|(id, _)| part(**id, of) == wanted_part)
            .take(MAX_RECORDS + 1)
            .map(|(id, record)| (*id, record.clone()))
            .collect();
        let more = records.len() > MAX_RECORDS;
        records.truncate(MAX_RECORDS);
        let kept = replica.map(|t| (t.seq, t.complete));
        Message::ReplicaPage {
            owner: owner.to_owned(),
            incarnation,
            part: wanted_part,
            after,
            kept,
            records,
            more,
        }
    }

    fn remove_replica(&mut self, key: &(String, u64)) {
        self.records -= self.replicas.remove(key).map_or(0, |t| t.records.len());
    }

    /// Drops the replicas of an incarnation and of those before it.
    pub fn forget(&mut self, owner: &str, incarnation: u64) {
        let incarnations = (owner.to_owned(), 0)..=(owner.to_owned(), incarnation);
        let old: Vec<_> = self.replicas.range(incarnations).map(|(key, _)| key.clone()).collect();
        old.iter().for_each(|key| self.remove_replica(key));
    }

    /// Number of replicas, and of sessions in them.
    pub fn size(&self) -> (usize, usize) {
        (self.replicas.len(), self.records)
    }

    /// The incarnations that have a replica here.
    pub fn incarnations(&self) -> impl Iterator<Item = (&str, u64)> {
        self.replicas.keys().map(|(owner, incarnation)| (owner.as_str(), *incarnation))
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::record::{RequestSummary, Stage};

    #[test]
    fn pages_are_bounded_split_by_part_and_complete() {
        let mut store = ReplicaStore::new();
        let record = Record {
            summary: RequestSummary::default(),
            streamer: "s".into(),
            stage: Stage::Established,
            rung: 0,
            epoch: 0,
        };
        for batch in 0..8_u64 {
            let changes = (0..150).map(|n| (batch * 150 + n, Some(record.clone()))).collect();
            assert!(matches!(
                store.apply_batch("d", 7, (1, batch + 1), true, changes),
                Some(Message::ReplicaAck { .. })
            ));
        }
        assert_eq!(store.size(), (1, 1_200));
        let mut seen = Vec::new();
        for wanted_part in 0..3 {
            let (mut after, mut pages) = (None, 0);
            loop {
                let Message::ReplicaPage { records, more, kept, .. } =
                    store.page("d", 7, wanted_part, 3, after)
                else {
                    panic!("a page")
                };
                assert_eq!(kept, Some((8, true)));
                assert!(records.len() <= MAX_RECORDS);
                after = records.last().map(|(id, _)| *id);
                seen.extend(records.into_iter().map(|(id, _)| id));
                pages += 1;
                if !more {
                    break;
                }
            }
            assert!(pages > 1, "one page holds part {wanted_part}");
        }
        seen.sort_unstable();
        assert_eq!(seen, (0..1_200).collect::<Vec<_>>());
        assert!(matches!(store.page("d", 8, 0, 1, None), Message::ReplicaPage { kept: None, .. }));
        assert!(
            matches!(store.apply_batch("d", 7, (1, 10), true, vec![]), Some(Message::ReplicaGap { .. })),
            "a batch is missing"
        );
        assert!(matches!(store.apply_batch("d", 8, (1, 1), true, vec![]), Some(Message::ReplicaAck { .. })));
        assert_eq!(
            store.size(),
            (2, 1_200),
            "the replica of the earlier incarnation stays for its successor"
        );
        store.forget("d", 7);
        assert_eq!(store.size(), (1, 0));
    }
}
