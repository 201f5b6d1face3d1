//! What directors tell each other of estates, and how it is read: bounded in size and count, anything else
//! is refused whole.
use crate::record::{Id, Record};
use serde::{Deserialize, Serialize};

/// The largest word, bytes.
const MAX_MESSAGE_BYTES: usize = 128 * 1024;
/// Records in one word at most.
pub(crate) const MAX_RECORDS: usize = 200;
/// Names and texts, bytes.
const MAX_TEXT_BYTES: usize = 256;

/// Why a word was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a word on estates can't be read; do all directors run a version of the program that knows it?")]
pub struct UnreadableMessage;

/// A word from one director to another.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub enum Message {
    /// To the giver: a question for a lease on the sender's estate of this life; it holds so many sessions.
    #[serde(rename = "Ask")]
    LeaseRequest {
        /// The life.
        #[serde(rename = "life")]
        incarnation: u64,
        /// The question.
        number: u64,
        /// Sessions held.
        sessions: u32,
    },
    /// The lease to that question.
    #[serde(rename = "Grant")]
    LeaseGrant {
        /// The life.
        #[serde(rename = "life")]
        incarnation: u64,
        /// The question.
        number: u64,
    },
    /// To a keeper: the next changes of the sender's estate.
    #[serde(rename = "Keep")]
    Replicate {
        /// The life.
        #[serde(rename = "life")]
        incarnation: u64,
        /// Numbers the owner's beginnings: a later one replaces what is kept.
        run: u64,
        /// Numbers the batches of a run, from 1.
        seq: u64,
        /// With this batch the keeper has all.
        #[serde(rename = "whole")]
        complete: bool,
        /// Records that are new or other, and sessions that are over.
        changes: Vec<(Id, Option<Record>)>,
    },
    /// From a keeper: it has all batches so far.
    #[serde(rename = "Have")]
    ReplicaAck {
        /// The life.
        #[serde(rename = "life")]
        incarnation: u64,
        /// The run.
        run: u64,
        /// The last one.
        seq: u64,
    },
    /// From a keeper: it lacks what went before; begin anew.
    #[serde(rename = "Lacks")]
    ReplicaGap {
        /// The life.
        #[serde(rename = "life")]
        incarnation: u64,
        /// The run.
        run: u64,
    },
    /// From an heir to a keeper: what is kept of an estate, from a session on.
    #[serde(rename = "Fetch")]
    FetchReplica {
        /// Whose.
        owner: String,
        /// Which life.
        #[serde(rename = "life")]
        incarnation: u64,
        /// Which part of how many.
        part: u32,
        /// See `part`.
        of: u32,
        /// Sessions behind this one.
        behind: Option<Id>,
    },
    /// From a keeper: a page of it.
    #[serde(rename = "Page")]
    ReplicaPage {
        /// Whose.
        owner: String,
        /// Which life.
        #[serde(rename = "life")]
        incarnation: u64,
        /// Which part.
        part: u32,
        /// Of which question.
        behind: Option<Id>,
        /// The batch up to which it is kept, and whether that was all; `None`: nothing is kept here.
        kept: Option<(u64, bool)>,
        /// The page.
        records: Vec<(Id, Record)>,
        /// More follows behind it.
        more: bool,
    },
    /// Something on a session that the sender does not hold, for whoever inherited it.
    #[serde(rename = "Stray")]
    MisroutedEnd {
        /// Which.
        id: Id,
        /// What.
        what: EndKind,
    },
    /// To a register: the sender sets up, or holds, a paid session of this viewer and title.
    #[serde(rename = "Mark")]
    RegisterSession {
        /// Viewer and title.
        key: u64,
        /// Which session.
        id: Id,
        /// The sender's life.
        #[serde(rename = "life")]
        incarnation: u64,
        /// Where it is set up.
        streamer: String,
    },
    /// To a register: that session is over, and proven to be.
    #[serde(rename = "Unmark")]
    UnregisterSession {
        /// Viewer and title.
        key: u64,
        /// Which session.
        id: Id,
    },
    /// To a register: may a viewer who comes again be served? If so, its place is kept for the sender.
    Claim {
        /// Viewer and title.
        key: u64,
        /// The sender's number for the question; grows.
        number: u64,
    },
    /// To a register: the sender needs the place of that question, and of those before it, no more.
    #[serde(rename = "Leave")]
    WithdrawClaim {
        /// Viewer and title.
        key: u64,
        /// The question.
        number: u64,
    },
    /// From a register: what it knows.
    #[serde(rename = "Claimed")]
    ClaimReply {
        /// Viewer and title.
        key: u64,
        /// A session that may run.
        held: Option<RegisteredSession>,
        /// It has been a register of this viewer for long enough to know.
        sure: bool,
    },
    /// To a holder: end this session, its viewer came again.
    #[serde(rename = "Yield")]
    EndSession {
        /// Viewer and title.
        key: u64,
        /// The session.
        held: RegisteredSession,
    },
    /// From a holder: that session is over, and proven to be.
    #[serde(rename = "Ended")]
    SessionEnded {
        /// Viewer and title.
        key: u64,
        /// Which session.
        id: Id,
    },
}

/// A paid session, as a register knows of it.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct RegisteredSession {
    /// Which.
    pub id: Id,
    /// Who marked it.
    pub owner: String,
    /// In which life.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// Where it is set up.
    pub streamer: String,
}

/// What came on a session at a director that does not hold it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub enum EndKind {
    /// Its streamer released it: it came to its end.
    Ended,
    /// Its streamer cut it.
    Cut,
    /// Its viewer ended it.
    Left,
}

impl Message {
    /// As bytes.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_allocvec(self).unwrap_or_default()
    }

    /// From bytes.
    pub fn decode(bytes: &[u8]) -> Result<Message, UnreadableMessage> {
        if bytes.len() > MAX_MESSAGE_BYTES {
            return Err(UnreadableMessage);
        }
        let message: Message = postcard::from_bytes(bytes).map_err(|_| UnreadableMessage)?;
        message.bounded().then_some(message).ok_or(UnreadableMessage)
    }

    fn bounded(&self) -> bool {
        let text = |s: &String| s.len() <= MAX_TEXT_BYTES;
        let record = |r: &Record| {
            [&r.summary.class, &r.summary.title, &r.summary.viewer, &r.streamer].into_iter().all(text)
                && r.rung <= 64
        };
        match self {
            Message::Replicate { changes, seq, .. } => {
                *seq > 0
                    && changes.len() <= MAX_RECORDS
                    && changes.iter().all(|(_, r)| r.as_ref().is_none_or(record))
            }
            Message::FetchReplica { owner, of, .. } => text(owner) && (1..=1_024).contains(of),
            Message::ReplicaPage { owner, records, .. } => {
                text(owner) && records.len() <= MAX_RECORDS && records.iter().all(|(_, r)| record(r))
            }
            Message::ClaimReply { held: Some(held), .. } | Message::EndSession { held, .. } => {
                text(&held.owner) && text(&held.streamer)
            }
            Message::RegisterSession { streamer, .. } => text(streamer),
            _ => true,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::record::{RequestSummary, Stage};

    #[test]
    fn what_is_too_large_or_damaged_is_refused() {
        let record = Record {
            summary: RequestSummary { title: "t".repeat(300), ..RequestSummary::default() },
            streamer: "s".into(),
            stage: Stage::InFlight,
            rung: 0,
            epoch: 0,
        };
        let long = Message::Replicate {
            incarnation: 1,
            run: 1,
            seq: 1,
            complete: true,
            changes: vec![(1, Some(record))],
        };
        assert_eq!(Message::decode(&long.encode()), Err(UnreadableMessage));
        let right =
            Message::Replicate { incarnation: 1, run: 1, seq: 1, complete: true, changes: vec![(1, None)] };
        assert_eq!(Message::decode(&right.encode()), Ok(right.clone()));
        let none = Message::Replicate { incarnation: 1, run: 1, seq: 0, complete: true, changes: vec![] };
        assert_eq!(Message::decode(&none.encode()), Err(UnreadableMessage));
        assert_eq!(Message::decode(&right.encode()[..2]), Err(UnreadableMessage));
        assert_eq!(Message::decode(&vec![0; MAX_MESSAGE_BYTES + 1]), Err(UnreadableMessage));
        assert!(UnreadableMessage.to_string().contains("version"));
    }
}
