//! Commands of the agreed log that change the ownership state, and their replies.
use serde::{Deserialize, Serialize};

/// A command, as an entry of the log carries it.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub enum Command {
    /// This director gives leases from here on, and nobody else.
    #[serde(rename = "Reign")]
    BecomeGrantor {
        /// Who.
        name: String,
        /// Which life of it.
        #[serde(rename = "life")]
        incarnation: u64,
    },
    /// These keep an estate from here on.
    #[serde(rename = "Keepers")]
    SetReplicas {
        /// Whose.
        name: String,
        /// Which life.
        #[serde(rename = "life")]
        incarnation: u64,
        /// Who.
        #[serde(rename = "keepers")]
        replicas: Vec<String>,
    },
    /// A life is lost, and its lease has run out.
    Close {
        /// The reign of the giver that says so.
        #[serde(rename = "reign")]
        grantor_term: u64,
        /// Whose.
        name: String,
        /// Which life, with all before it.
        #[serde(rename = "life")]
        incarnation: u64,
        /// Who takes its sessions, by equal parts; none: somebody later.
        #[serde(rename = "heirs")]
        successors: Vec<DirectorId>,
        /// Parts at least.
        parts: u32,
    },
    /// A director lays its estate down: it has stopped acting on it.
    #[serde(rename = "LayDown")]
    HandOver {
        /// Who.
        name: String,
        /// Which life.
        #[serde(rename = "life")]
        incarnation: u64,
        /// Parts in which its sessions are taken; by whom, the giver finds.
        parts: u32,
    },
    /// A takeover without an heir, or whose heir's life is closed, goes to another.
    #[serde(rename = "Next")]
    AssignSuccessor {
        /// The reign of the giver that says so.
        #[serde(rename = "reign")]
        grantor_term: u64,
        /// The epoch that is over.
        epoch: u64,
        /// Who takes it.
        #[serde(rename = "heir")]
        successor: DirectorId,
    },
    /// An heir has all that there is, and its own keepers have it.
    #[serde(rename = "Done")]
    Complete {
        /// Under which epoch.
        epoch: u64,
        /// Who.
        #[serde(rename = "heir")]
        successor: DirectorId,
    },
}

/// One life that inherits.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize, Serialize)]
pub struct DirectorId {
    /// Its name.
    pub name: String,
    /// Its life.
    #[serde(rename = "life")]
    pub incarnation: u64,
}

/// Why a command changed nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize, thiserror::Error)]
pub enum Refusal {
    /// Another reigns.
    #[error("another director gives leases by now; it will find the same and act")]
    #[serde(rename = "FormerReign")]
    EarlierTerm,
    /// It was closed before.
    #[error("that life is closed already; its heirs are in `out history`")]
    Closed,
    /// No such takeover, or its heir still lives.
    #[error("that takeover is with an heir that lives, or over")]
    #[serde(rename = "NotOpen")]
    NoOpenTakeover,
    /// A name or list is too long, or there are too many.
    #[error("a name is too long, or there are too many")]
    TooLong,
    /// This version of the program can't read it.
    #[error("the voters' version of the program knows no such command; bring all to one version")]
    Unreadable,
}

/// What became of a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub enum Reply {
    /// It is so now.
    Done,
    /// The number of the reign.
    #[serde(rename = "Reigns")]
    Grantor(u64),
    /// Nothing has changed.
    Refused(Refusal),
}
