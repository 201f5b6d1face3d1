//! What directors say to each other of the log, as bytes. Bounded before it is decoded; the messages of Raft
//! travel as types of our own.
use crate::entry::{EntryWord, SnapshotWord};
use raft::eraftpb::{Message, MessageType};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The longest word, bytes.
pub const WORD_MOST: usize = 192 * 1024;
/// Entries in one word at most.
const ENTRIES_MOST: usize = 4_096;

/// A word that can't be read, is too long, or says what no director of ours says.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a word of the agreed log can't be read")]
pub struct Unreadable;

/// A message of Raft. `kind` is the library's number of it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
pub(crate) struct RaftWord {
    pub kind: u8,
    pub to: u64,
    pub from: u64,
    pub term: u64,
    pub log_term: u64,
    pub index: u64,
    pub entries: Vec<EntryWord>,
    pub commit: u64,
    pub commit_term: u64,
    pub snapshot: Option<SnapshotWord>,
    pub request_snapshot: u64,
    pub reject: bool,
    pub reject_hint: u64,
    pub context: Vec<u8>,
    pub priority: i64,
}

/// What travels: [`MessageType`] by its number. Proposals travel as [`Word::Command`], and what a voter says
/// to itself does not travel.
fn kind_of(number: u8) -> Option<MessageType> {
    use MessageType::*;
    let all = [
        MsgAppend,
        MsgAppendResponse,
        MsgRequestVote,
        MsgRequestVoteResponse,
        MsgSnapshot,
        MsgHeartbeat,
        MsgHeartbeatResponse,
        MsgTimeoutNow,
        MsgReadIndex,
        MsgReadIndexResp,
        MsgRequestPreVote,
        MsgRequestPreVoteResponse,
    ];
    all.into_iter().find(|kind| *kind as u8 == number)
}

impl RaftWord {
    /// None for what does not travel.
    pub(crate) fn of(message: &Message) -> Option<RaftWord> {
        let kind = message.get_msg_type() as u8;
        kind_of(kind)?;
        let snapshot = message.has_snapshot().then(|| SnapshotWord::of(message.get_snapshot()));
        Some(RaftWord {
            kind,
            to: message.to,
            from: message.from,
            term: message.term,
            log_term: message.log_term,
            index: message.index,
            entries: message.entries.iter().map(EntryWord::of).collect(),
            commit: message.commit,
            commit_term: message.commit_term,
            snapshot,
            request_snapshot: message.request_snapshot,
            reject: message.reject,
            reject_hint: message.reject_hint,
            context: message.context.to_vec(),
            priority: message.priority,
        })
    }

    /// None for what no voter says. A read's question travels as a message with one entry, see the library.
    pub(crate) fn raft(&self) -> Option<Message> {
        let mut message = Message::default();
        message.set_msg_type(kind_of(self.kind)?);
        if self.entries.len() > ENTRIES_MOST {
            return None;
        }
        // Entries follow each other; the library trusts that.
        if self.kind == MessageType::MsgAppend as u8 {
            let follows = |(i, e): (usize, &EntryWord)| {
                Some(e.index) == self.index.checked_add(1 + i as u64) && e.term <= self.term
            };
            if !self.entries.iter().enumerate().all(follows) {
                return None;
            }
        }
        (message.to, message.from, message.term) = (self.to, self.from, self.term);
        (message.log_term, message.index) = (self.log_term, self.index);
        message.entries = self.entries.iter().map(EntryWord::raft).collect::<Vec<_>>().into();
        (message.commit, message.commit_term) = (self.commit, self.commit_term);
        if let Some(snapshot) = &self.snapshot {
            message.set_snapshot(snapshot.raft());
        }
        message.request_snapshot = self.request_snapshot;
        (message.reject, message.reject_hint) = (self.reject, self.reject_hint);
        message.context = self.context.clone().into();
        message.priority = self.priority;
        Some(message)
    }
}

/// What one director says to another.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub(crate) enum Word {
    /// A message of Raft within a log, with the sender's stamp and those that it heard of others.
    Raft { log: u64, stamp: u64, heard: BTreeMap<u64, u64>, message: RaftWord },
    /// Who are you, and what did you hear of me? From a voter that has just started.
    Hello { id: u64, log: u64, stamp: u64 },
    /// The answer: of which folder it was asked, and the latest stamp heard of that one.
    Here { about: u64, log: u64, stamp: u64 },
    /// A founder in this life, with this folder, asks for a promise not to be founded by an earlier one.
    Collect { life: u64, id: u64 },
    /// The promise of an empty folder.
    Promise { life: u64, id: u64 },
    /// A log is founded.
    Found { life: u64, log: u64, snapshot: SnapshotWord },
    /// A command for the leader; the answer goes to `origin`.
    Command { id: u128, origin: String, hops: u8, body: Vec<u8> },
    /// The answer to a command.
    Answer { id: u128, answer: Vec<u8> },
    /// What is agreed beyond this? From one that does not vote; its folder's number, where it could.
    Poll { log: u64, applied: u64, id: u64 },
    /// The answer: the state at a place of the log.
    State { log: u64, applied: u64, state: Vec<u8> },
}

impl Word {
    pub(crate) fn write(&self) -> Vec<u8> {
        postcard::to_allocvec(self).unwrap_or_default()
    }

    pub(crate) fn read(bytes: &[u8]) -> Result<Word, Unreadable> {
        if bytes.len() > WORD_MOST {
            return Err(Unreadable);
        }
        match postcard::take_from_bytes(bytes) {
            Ok((word, [])) => Ok(word),
            _ => Err(Unreadable),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::entry::EntryKind;

    #[test]
    fn messages_come_back_as_they_went_and_what_no_voter_says_is_refused() {
        let entry = |index| EntryWord { term: 2, index, kind: EntryKind::Command(vec![1]) };
        let kind = MessageType::MsgAppend as u8;
        let word = RaftWord { kind, to: 2, from: 1, term: 2, index: 4, ..RaftWord::default() };
        let word = RaftWord { entries: vec![entry(5), entry(6)], ..word };
        assert_eq!(RaftWord::of(&word.raft().expect("fits")), Some(word.clone()));
        let gap = RaftWord { entries: vec![entry(5), entry(7)], ..word.clone() };
        assert!(gap.raft().is_none(), "a gap");
        let propose = RaftWord { kind: MessageType::MsgPropose as u8, ..word.clone() };
        assert!(propose.raft().is_none() && RaftWord { kind: 99, ..word }.raft().is_none());
        assert_eq!(Word::read(&[200, 1, 2]), Err(Unreadable));
        assert_eq!(Word::read(&vec![0; WORD_MOST + 1]), Err(Unreadable));
    }
}
