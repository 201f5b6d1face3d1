//! What is asked of the agreed log, what it answers, and what it wants done.
use crate::kept::Batch;
use serde::{Deserialize, Serialize};

/// Who this director is.
#[derive(Clone, Debug)]
pub struct Me {
    /// Its name among its peers.
    pub name: String,
    /// The number of this life; grows with each.
    pub life: u64,
    /// A number that no other folder has, for a folder that has none yet; not 0.
    pub fresh: u64,
}

/// What is asked of the agreed log.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub enum Order {
    /// A command for the machine.
    Act(Vec<u8>),
    /// This director is to vote; the leader knows its folder by its polls.
    AddVoter(String),
    /// This director is to vote no longer.
    RemoveVoter(String),
    /// The machine's state, as it is after all that was agreed before the question.
    Read,
    /// Nothing but that most voters follow this leader, after the question. Not handed on: asked of oneself.
    Confirm,
}

/// What became of an order.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub enum Answer {
    /// The machine's answer.
    Done(Vec<u8>),
    /// It can't be; one line says why.
    Refused(String),
    /// Nobody answered in time. It may act all the same; asking again by the same number is safe.
    Unanswered,
}

/// What a director is to the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// It learns.
    Learner,
    /// It is named as a voter, and no log is founded yet.
    Waiting,
    /// It has started and asks the others whether its folder is the latest.
    Unsure,
    /// It votes.
    Voter,
    /// It votes and leads.
    Leader,
}

/// What is to be done for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Deed {
    /// Tell another director, by name.
    Send(String, Vec<u8>),
    /// Store a batch, then say so by [`Agreement::stored`].
    Store(Batch),
    /// An order of this director is answered.
    Answer(u128, Answer),
    /// Log what has changed.
    Tell(News),
}

/// What has changed, for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum News {
    /// A log was founded, or is taken part in for the first time.
    TakesPart(u64),
    /// There is another leader, by name, in a term.
    Leader(Option<String>, u64),
    /// This folder is an older copy, by the number of batches that it lacks at least: it votes no more.
    Older(u64),
    /// The folder lacks what it had acknowledged.
    Lacks,
    /// Who votes has changed.
    Voters(Vec<String>),
}

/// What a director sees of the log, for the command line.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Status {
    /// Its part.
    pub role: Role,
    /// The log's number; 0: none.
    pub log: u64,
    /// The term, where it votes.
    pub term: u64,
    /// The leader, where it is known.
    pub leader: Option<String>,
    /// The last entry that is applied here.
    pub applied: u64,
    /// Who votes.
    pub voters: Vec<String>,
}
