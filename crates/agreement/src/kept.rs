//! What a voter's folder holds, and how a batch changes it. The one description of both: the store on the
//! disk and the model's disk do the same.
use crate::entry::{EntryWord, Hard, SnapshotWord};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// What a folder holds.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
pub struct Kept {
    /// The folder's own number: who it votes as. A folder that was lost is another voter.
    pub id: u64,
    /// The log that it takes part in; 0: none yet.
    pub log: u64,
    /// Counts the batches: others remember it, and so find out an older copy of this folder.
    pub stamp: u64,
    /// The founder's life to which the founding was promised last.
    pub promised: u64,
    /// Term, vote and commit.
    pub hard: Hard,
    /// The state at the start of the entries.
    pub snapshot: SnapshotWord,
    /// The entries after it.
    pub entries: Vec<EntryWord>,
    /// The stamps that it heard of the others.
    pub heard: BTreeMap<u64, u64>,
}

/// One change of a folder.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub enum Change {
    /// Begin anew, as another voter.
    Begin(u64),
    /// It takes part in a log.
    Log(u64),
    /// A founding was promised.
    Promised(u64),
    /// Term, vote and commit.
    Hard(Hard),
    /// A state; entries up to its place go.
    Snapshot(SnapshotWord),
    /// Entries; those that stood at their places and after them go.
    Append(Vec<EntryWord>),
    /// The stamps of the others.
    Heard(BTreeMap<u64, u64>),
}

/// Changes that are stored together or not at all.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct Batch {
    /// The folder's stamp with this batch; grows by one.
    pub stamp: u64,
    /// The changes, in order.
    pub changes: Vec<Change>,
}

impl Kept {
    /// Takes a batch.
    pub fn take(&mut self, batch: &Batch) {
        for change in &batch.changes {
            self.change(change);
        }
        self.stamp = batch.stamp;
    }

    fn change(&mut self, change: &Change) {
        match change {
            Change::Begin(id) => *self = Kept { id: *id, ..Kept::default() },
            Change::Log(log) => self.log = *log,
            Change::Promised(life) => self.promised = *life,
            Change::Hard(hard) => self.hard = *hard,
            Change::Snapshot(snapshot) => {
                self.entries.retain(|e| e.index > snapshot.index);
                // Entries that do not join on to it belong to another past.
                if self.entries.first().is_some_and(|e| e.index != snapshot.index + 1) {
                    self.entries.clear();
                }
                self.snapshot = snapshot.clone();
            }
            Change::Append(entries) => {
                let Some(first) = entries.first() else { return };
                self.entries.retain(|e| e.index < first.index);
                self.entries.extend(entries.iter().cloned());
            }
            Change::Heard(heard) => self.heard = heard.clone(),
        }
    }
}
