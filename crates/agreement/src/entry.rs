//! What the log is made of, in types of our own: what comes from a socket or a folder is decoded as these,
//! bounded, and never handed to the library's own decoder (RUSTSEC-2024-0437).
use protobuf::Message as _;
use raft::eraftpb;
use serde::{Deserialize, Serialize};

/// Term, vote and commit of a voter.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
pub struct Hard {
    /// The latest term that it knows.
    pub term: u64,
    /// Whom it voted for in that term; 0: nobody.
    pub vote: u64,
    /// The last entry that it knows to be agreed.
    pub commit: u64,
}

/// What an entry is.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub enum EntryKind {
    /// A command; empty: the first entry of a leader.
    Command(Vec<u8>),
    /// A change of who votes.
    Voters {
        /// 0: votes from now on, 1: is out of it, 2: learns and does not vote yet.
        change: u8,
        /// Whom it is about.
        id: u64,
        /// That one's name.
        name: String,
    },
}

/// An entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct EntryWord {
    /// Its term.
    pub term: u64,
    /// Its place, from 1.
    pub index: u64,
    /// What it is.
    pub kind: EntryKind,
}

/// Who votes, and who learns in order to vote.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
pub struct Conf {
    /// Voters' ids.
    pub voters: Vec<u64>,
    /// Ids of those that are being brought up to date.
    pub learners: Vec<u64>,
}

/// The state at a place of the log, in the place of all entries up to there.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
pub struct SnapshotWord {
    /// The last entry that it holds.
    pub index: u64,
    /// Its term.
    pub term: u64,
    /// Who votes there.
    pub conf: Conf,
    /// The state.
    pub data: Vec<u8>,
}

impl Hard {
    pub(crate) fn of(hard: &eraftpb::HardState) -> Hard {
        Hard { term: hard.term, vote: hard.vote, commit: hard.commit }
    }

    pub(crate) fn raft(&self) -> eraftpb::HardState {
        let mut hard = eraftpb::HardState::default();
        (hard.term, hard.vote, hard.commit) = (self.term, self.vote, self.commit);
        hard
    }
}

impl Conf {
    pub(crate) fn of(conf: &eraftpb::ConfState) -> Conf {
        Conf { voters: conf.voters.clone(), learners: conf.learners.clone() }
    }

    pub(crate) fn raft(&self) -> eraftpb::ConfState {
        eraftpb::ConfState::from((self.voters.clone(), self.learners.clone()))
    }
}

impl SnapshotWord {
    pub(crate) fn of(snapshot: &eraftpb::Snapshot) -> SnapshotWord {
        let about = snapshot.get_metadata();
        let conf = Conf::of(about.get_conf_state());
        SnapshotWord { index: about.index, term: about.term, conf, data: snapshot.data.to_vec() }
    }

    pub(crate) fn raft(&self) -> eraftpb::Snapshot {
        let mut snapshot = eraftpb::Snapshot::default();
        let about = snapshot.mut_metadata();
        (about.index, about.term) = (self.index, self.term);
        about.set_conf_state(self.conf.raft());
        snapshot.data = self.data.clone().into();
        snapshot
    }
}

/// A change of who votes, as the library takes it.
pub(crate) fn change_of(change: u8, id: u64, name: &str) -> eraftpb::ConfChange {
    let mut told = eraftpb::ConfChange::default();
    told.set_change_type(match change {
        0 => eraftpb::ConfChangeType::AddNode,
        1 => eraftpb::ConfChangeType::RemoveNode,
        _ => eraftpb::ConfChangeType::AddLearnerNode,
    });
    told.node_id = id;
    told.context = name.as_bytes().to_vec().into();
    told
}

impl EntryWord {
    /// An entry that the library made in this process or was given by [`EntryWord::raft`].
    pub(crate) fn of(entry: &eraftpb::Entry) -> EntryWord {
        let kind = match entry.get_entry_type() {
            eraftpb::EntryType::EntryNormal => EntryKind::Command(entry.data.to_vec()),
            _ => {
                // Our own bytes: what came from elsewhere was built anew by `raft` below.
                let mut told = eraftpb::ConfChange::default();
                let _ = told.merge_from_bytes(&entry.data); // own bytes can be read
                let change = told.get_change_type() as u8;
                let name = String::from_utf8_lossy(&told.context).into_owned();
                EntryKind::Voters { change, id: told.node_id, name }
            }
        };
        EntryWord { term: entry.term, index: entry.index, kind }
    }

    pub(crate) fn raft(&self) -> eraftpb::Entry {
        let mut entry = eraftpb::Entry::default();
        (entry.term, entry.index) = (self.term, self.index);
        match &self.kind {
            EntryKind::Command(data) => entry.data = data.clone().into(),
            EntryKind::Voters { change, id, name } => {
                entry.set_entry_type(eraftpb::EntryType::EntryConfChange);
                entry.data = change_of(*change, *id, name).write_to_bytes().unwrap_or_default().into();
            }
        }
        entry
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn entries_come_back_as_they_went() {
        let voters = EntryKind::Voters { change: 2, id: 7, name: "d7".into() };
        for kind in [EntryKind::Command(vec![1, 2]), EntryKind::Command(vec![]), voters] {
            let entry = EntryWord { term: 3, index: 9, kind };
            assert_eq!(EntryWord::of(&entry.raft()), entry);
        }
        let conf = Conf { voters: vec![1, 2], learners: vec![3] };
        let snapshot = SnapshotWord { index: 4, term: 2, conf, data: vec![9] };
        assert_eq!(SnapshotWord::of(&snapshot.raft()), snapshot);
    }
}
