//! Commands of the agreed log that change the ownership state, and their replies.
use serde::{Deserialize, Serialize};

/// A command, as an entry of the log carries it.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub enum Command {
    /// Makes a director the only grantor of leases.
    #[serde(rename = "Reign")]
    BecomeGrantor {
        /// The director.
        name: String,
        /// Its incarnation.
        #[serde(rename = "life")]
        incarnation: u64,
    },
    /// Sets the replicas of a session set.
    #[serde(rename = "Keepers")]
    SetReplicas {
        /// The owner of the session set.
        name: String,
        /// Its incarnation.
        #[serde(rename = "life")]
        incarnation: u64,
        /// The directors that hold a replica.
        #[serde(rename = "keepers")]
        replicas: Vec<String>,
    },
    /// Closes an incarnation that was lost and whose lease has expired.
    Close {
        /// Term of the grantor that proposes the command.
        #[serde(rename = "reign")]
        grantor_term: u64,
        /// The lost director.
        name: String,
        /// The incarnation to close, with all earlier ones.
        #[serde(rename = "life")]
        incarnation: u64,
        /// Successors, for equal parts of the sessions; if empty they are assigned later.
        #[serde(rename = "heirs")]
        successors: Vec<DirectorId>,
        /// The smallest number of parts.
        parts: u32,
    },
    /// Closes a director's own incarnation, after it has stopped acting on its sessions.
    #[serde(rename = "LayDown")]
    HandOver {
        /// The director.
        name: String,
        /// Its incarnation.
        #[serde(rename = "life")]
        incarnation: u64,
        /// Number of parts to take over; the grantor assigns the successors.
        parts: u32,
    },
    /// Assigns a successor to a takeover that has none, or whose successor was closed.
    #[serde(rename = "Next")]
    AssignSuccessor {
        /// Term of the grantor that proposes the command.
        #[serde(rename = "reign")]
        grantor_term: u64,
        /// Epoch of the takeover, which the command ends.
        epoch: u64,
        /// The new successor.
        #[serde(rename = "heir")]
        successor: DirectorId,
    },
    /// Completes a takeover: the successor has all records, and so have its own replicas.
    #[serde(rename = "Done")]
    Complete {
        /// Epoch of the takeover.
        epoch: u64,
        /// The successor.
        #[serde(rename = "heir")]
        successor: DirectorId,
    },
}

/// One incarnation of a director.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize, Serialize)]
pub struct DirectorId {
    /// Name of the director.
    pub name: String,
    /// Its incarnation.
    #[serde(rename = "life")]
    pub incarnation: u64,
}

/// Why a command changed nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize, thiserror::Error)]
pub enum Refusal {
    /// Another director is the grantor by now.
    #[error("another director grants leases by now; it will detect the same loss and act on it")]
    #[serde(rename = "FormerReign")]
    EarlierTerm,
    /// The incarnation was closed before.
    #[error("that incarnation is closed already; its successors are in `out history`")]
    Closed,
    /// There is no such takeover, or its successor is not closed.
    #[error("that takeover is over, or its successor is alive")]
    #[serde(rename = "NotOpen")]
    NoOpenTakeover,
    /// A name or list is too long, or there are too many of them.
    #[error("a name is too long, or there are too many names")]
    TooLong,
    /// This version of the program can't decode the command.
    #[error(
        "the voters' version of the program does not know this command; update all voters to one version"
    )]
    Unreadable,
}

/// Result of a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub enum Reply {
    /// The command was applied.
    Done,
    /// The term of the grantor.
    #[serde(rename = "Reigns")]
    Grantor(u64),
    /// Nothing has changed.
    Refused(Refusal),
}
