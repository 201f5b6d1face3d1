//! One life of a director, as peers know it. Its name is its address in SWIM's sense: of two lives under one
//! name the later wins, so that a restart replaces and a stale word about a former life changes nothing.
use serde::{Deserialize, Serialize};
use std::fmt;
use std::net::SocketAddrV4;
use std::ops::Deref;

/// A director's name, with a digest of it: SWIM compares names of all members for each piece of news.
#[derive(Clone, PartialEq, Eq, Deserialize, Serialize)]
#[serde(from = "String", into = "String")]
pub struct Name {
    digest: u64,
    text: String,
}

impl Name {
    /// Its digest (XXH3), which stands for the name: two of a fleet's names have the same one by a chance of
    /// under 1e-12.
    pub fn digest(&self) -> u64 {
        self.digest
    }
}

impl From<String> for Name {
    fn from(text: String) -> Name {
        Name { digest: xxhash_rust::xxh3::xxh3_64(text.as_bytes()), text }
    }
}

impl From<Name> for String {
    fn from(name: Name) -> String {
        name.text
    }
}

impl Deref for Name {
    type Target = str;

    fn deref(&self) -> &str {
        &self.text
    }
}

impl fmt::Display for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.text)
    }
}

impl fmt::Debug for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.text)
    }
}

/// What a director is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Phase {
    /// It has not yet been taken in by its front.
    Starting,
    /// It takes requests.
    Serving,
    /// It was asked to end, and ends in order.
    Leaving,
}

/// One life of a director.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct Life {
    /// Its name, the same in all its lives.
    pub name: Name,
    /// Where peers find it.
    pub at: SocketAddrV4,
    /// The number of this life; later ones are larger. Unix microseconds of the start, or one more than the
    /// last life's where a folder kept a larger one.
    pub incarnation: u64,
    /// Counts what changed within this life, its rejoins among them.
    pub revision: u32,
    /// The hall it stands in; empty where the settings name none.
    pub hall: String,
    /// The program's version.
    pub version: String,
    /// What it is doing.
    pub phase: Phase,
    /// Digest of the settings in force.
    pub digest: u64,
}

impl Life {
    /// Whether this replaces another life of the same name, or an earlier revision of the same.
    pub fn replaces(&self, other: &Life) -> bool {
        (self.incarnation, self.revision) > (other.incarnation, other.revision)
    }
}

impl foca::Identity for Life {
    type Addr = u64;

    /// Called down by the fleet it comes back under its next revision.
    fn renew(&self) -> Option<Life> {
        Some(Life { revision: self.revision.saturating_add(1), ..self.clone() })
    }

    fn addr(&self) -> u64 {
        self.name.digest()
    }

    fn win_addr_conflict(&self, other: &Life) -> bool {
        self.replaces(other)
    }
}
