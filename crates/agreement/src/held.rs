//! The log as the library reads it: the entries and the last state in memory. What of it is stored already
//! is the voter's to know.
use crate::entry::SnapshotWord;
use crate::kept::Kept;
use raft::eraftpb::{Entry, Snapshot};
use raft::storage::MemStorage;
use raft::{GetEntriesContext, RaftState, Storage};

/// The library's own memory of a log, with the state that it leaves out.
pub(crate) struct Held {
    pub memory: MemStorage,
    pub snapshot: SnapshotWord,
}

impl Held {
    /// What a folder holds.
    pub fn new(kept: &Kept) -> raft::Result<Held> {
        let memory = MemStorage::new();
        {
            let mut inner = memory.wl();
            if kept.snapshot.index > 0 {
                inner.apply_snapshot(kept.snapshot.raft())?;
            }
            let entries: Vec<Entry> = kept.entries.iter().map(|e| e.raft()).collect();
            inner.append(&entries)?;
            let mut hard = kept.hard;
            hard.commit = hard.commit.max(kept.snapshot.index);
            hard.term = hard.term.max(kept.snapshot.term);
            inner.set_hardstate(hard.raft());
        }
        Ok(Held { memory, snapshot: kept.snapshot.clone() })
    }
}

impl Storage for Held {
    fn initial_state(&self) -> raft::Result<RaftState> {
        self.memory.initial_state()
    }

    fn entries(
        &self,
        low: u64,
        high: u64,
        max_size: impl Into<Option<u64>>,
        context: GetEntriesContext,
    ) -> raft::Result<Vec<Entry>> {
        self.memory.entries(low, high, max_size, context)
    }

    fn term(&self, idx: u64) -> raft::Result<u64> {
        self.memory.term(idx)
    }

    fn first_index(&self) -> raft::Result<u64> {
        self.memory.first_index()
    }

    fn last_index(&self) -> raft::Result<u64> {
        self.memory.last_index()
    }

    fn snapshot(&self, _request_index: u64, _to: u64) -> raft::Result<Snapshot> {
        Ok(self.snapshot.raft())
    }
}
