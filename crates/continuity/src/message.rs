//! Messages between directors about session continuity, and their decoding: size and counts are bounded, and
//! a message that exceeds them is refused as a whole.
use crate::record::{Id, Record};
use serde::{Deserialize, Serialize};

/// The largest message, bytes.
const MAX_MESSAGE_BYTES: usize = 128 * 1024;
/// The largest number of records in one message.
pub(crate) const MAX_RECORDS: usize = 200;
/// The largest length of names and texts, bytes.
const MAX_TEXT_BYTES: usize = 256;

/// A message was refused: it can't be decoded or is out of bounds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error(
    "a continuity message can't be decoded; do all directors run a version of the program that knows it?"
)]
pub struct UnreadableMessage;

/// A message from one director to another.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub enum Message {
    /// To the grantor: request for a lease on the sender's session set.
    #[serde(rename = "Ask")]
    LeaseRequest {
        /// The sender's incarnation.
        #[serde(rename = "life")]
        incarnation: u64,
        /// Number of the request.
        number: u64,
        /// Sessions that the sender holds.
        sessions: u32,
    },
    /// The grant that answers a lease request.
    #[serde(rename = "Grant")]
    LeaseGrant {
        /// The receiver's incarnation.
        #[serde(rename = "life")]
        incarnation: u64,
        /// Number of the request.
        number: u64,
    },
    /// To a replica: the next batch of changes to the sender's session set.
    #[serde(rename = "Keep")]
    Replicate {
        /// The sender's incarnation.
        #[serde(rename = "life")]
        incarnation: u64,
        /// Number of the replication run; a later run replaces what the replica has.
        run: u64,
        /// Number of the batch within the run, from 1.
        seq: u64,
        /// With this batch the replica is complete.
        #[serde(rename = "whole")]
        complete: bool,
        /// New or changed records, and `None` for sessions that are over.
        changes: Vec<(Id, Option<Record>)>,
    },
    /// From a replica: it has all batches up to this one.
    #[serde(rename = "Have")]
    ReplicaAck {
        /// The owner's incarnation.
        #[serde(rename = "life")]
        incarnation: u64,
        /// The run.
        run: u64,
        /// The latest batch.
        seq: u64,
    },
    /// From a replica: earlier batches are missing; the owner has to start a new run.
    #[serde(rename = "Lacks")]
    ReplicaGap {
        /// The owner's incarnation.
        #[serde(rename = "life")]
        incarnation: u64,
        /// The run.
        run: u64,
    },
    /// From a successor to a replica: request for a page of a session set.
    #[serde(rename = "Fetch")]
    FetchReplica {
        /// The owner of the session set.
        owner: String,
        /// Its incarnation.
        #[serde(rename = "life")]
        incarnation: u64,
        /// Index of the part.
        part: u32,
        /// Number of parts.
        of: u32,
        /// Start after this session.
        #[serde(rename = "behind")]
        after: Option<Id>,
    },
    /// From a replica: a page of a session set.
    #[serde(rename = "Page")]
    ReplicaPage {
        /// The owner of the session set.
        owner: String,
        /// Its incarnation.
        #[serde(rename = "life")]
        incarnation: u64,
        /// Index of the part.
        part: u32,
        /// The start of the page, as in the request.
        #[serde(rename = "behind")]
        after: Option<Id>,
        /// The latest batch of the replica, and whether it is complete; `None`: there is no replica here.
        kept: Option<(u64, bool)>,
        /// The records.
        records: Vec<(Id, Record)>,
        /// Whether more pages follow.
        more: bool,
    },
    /// The end of a session that the sender does not hold, for the director that took it over.
    #[serde(rename = "Stray")]
    MisroutedEnd {
        /// The session.
        id: Id,
        /// How it ended.
        what: EndKind,
    },
    /// To a register: the sender sets up, or holds, a paid session of this viewer and title.
    #[serde(rename = "Mark")]
    RegisterSession {
        /// Key of the viewer and title.
        key: u64,
        /// The session.
        id: Id,
        /// The sender's incarnation.
        #[serde(rename = "life")]
        incarnation: u64,
        /// The streamer.
        streamer: String,
    },
    /// To a register: a session is confirmed to be over.
    #[serde(rename = "Unmark")]
    UnregisterSession {
        /// Key of the viewer and title.
        key: u64,
        /// The session.
        id: Id,
    },
    /// To a register: query whether a returning viewer may be served. If so, the register reserves it for the
    /// sender.
    Claim {
        /// Key of the viewer and title.
        key: u64,
        /// The sender's number for the query; grows.
        number: u64,
    },
    /// To a register: the sender no longer needs the reservations of this query and of those before it.
    #[serde(rename = "Leave")]
    WithdrawClaim {
        /// Key of the viewer and title.
        key: u64,
        /// Number of the query.
        number: u64,
    },
    /// From a register: the answer to a query.
    #[serde(rename = "Claimed")]
    ClaimReply {
        /// Key of the viewer and title.
        key: u64,
        /// A session that may run.
        held: Option<RegisteredSession>,
        /// Whether the director has been a register of this viewer for long enough to know.
        sure: bool,
    },
    /// To a holder: end this session, because its viewer returned elsewhere.
    #[serde(rename = "Yield")]
    EndSession {
        /// Key of the viewer and title.
        key: u64,
        /// The session.
        held: RegisteredSession,
    },
    /// From a holder: a session is confirmed to be over.
    #[serde(rename = "Ended")]
    SessionEnded {
        /// Key of the viewer and title.
        key: u64,
        /// The session.
        id: Id,
    },
}

/// A paid session as a register knows it.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct RegisteredSession {
    /// The session.
    pub id: Id,
    /// The director that registered it.
    pub owner: String,
    /// That director's incarnation.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// The streamer.
    pub streamer: String,
}

/// How a session ended, as received by a director that does not hold it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub enum EndKind {
    /// Its streamer released it at its natural end.
    Ended,
    /// Its streamer cut it short.
    Cut,
    /// Its viewer ended it.
    Left,
}

impl Message {
    /// Encodes the message.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_allocvec(self).unwrap_or_default()
    }

    /// Decodes a message and checks its bounds.
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
    fn oversized_and_damaged_messages_are_refused() {
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
