//! What a director tells of the fleet: who is in it, as it sees it, with a version.
use crate::life::Phase;
use serde::{Deserialize, Serialize};
use std::net::SocketAddrV4;

/// Where a member stands, as one director sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Standing {
    /// It is in the fleet.
    In,
    /// Several observers could not hear it.
    Lost,
    /// It said that it leaves, and left.
    Gone,
}

/// One member as a director sees it.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct MemberView {
    /// Its name.
    pub name: String,
    /// Where peers find it.
    pub at: SocketAddrV4,
    /// Which life of it.
    pub incarnation: u64,
    /// Its hall.
    pub hall: String,
    /// Its program's version.
    pub version: String,
    /// What it is doing.
    pub phase: Phase,
    /// Digest of its settings in force.
    pub digest: String,
    /// Where it stands.
    pub standing: Standing,
    /// In the fleet, but an observer could not hear it lately: who.
    pub doubted_by: Vec<String>,
    /// It tells us that it does not hear us, though we hear it.
    pub deaf_to_us: bool,
    /// Another process is heard under its name.
    pub twin: bool,
}

/// What a director sees.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct View {
    /// The cluster.
    pub cluster: String,
    /// Who sees it.
    pub observer: String,
    /// Counts the changes of this view in this life.
    pub version: u64,
    /// Digest of who is in the fleet, by name, life and phase: the same at two directors that agree.
    pub digest: String,
    /// Peers that told within the last 10 s that they had heard this director shortly before.
    pub heard_by: usize,
    /// Peers that told anything of it within the last 10 s.
    pub told_by: usize,
    /// Whether another, later process bears this director's name.
    pub replaced: bool,
    /// All members, by name; the observer is one.
    pub members: Vec<MemberView>,
}

impl View {
    /// As JSON, on one line.
    pub fn json(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }
}
