//! What is kept of one session: all that another director needs to take it over, in words that mean the same
//! everywhere.
use serde::{Deserialize, Serialize};

/// A session by its number on the wire.
pub type Id = u64;

/// What the viewer asked for.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
pub struct RequestSummary {
    /// The class, as the settings name it.
    pub class: String,
    /// The title.
    pub title: String,
    /// Who watches.
    pub viewer: String,
    /// First cell that holds the title, and cells in a row that do.
    #[serde(rename = "home")]
    pub start_cell: u32,
    /// See `home`.
    #[serde(rename = "copies")]
    pub cells_in_row: u32,
    /// The viewer's best rung.
    #[serde(rename = "top")]
    pub max_rung: Option<u32>,
}

/// How far a session is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub enum Stage {
    /// An attempt is out; whether it runs is not known.
    #[serde(rename = "Out")]
    InFlight,
    /// It stands.
    #[serde(rename = "Standing")]
    Established,
}

/// One session as its keepers have it.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct Record {
    /// What the viewer asked for.
    #[serde(rename = "stub")]
    pub summary: RequestSummary,
    /// The streamer, by its name on the list.
    pub streamer: String,
    /// How far it is.
    pub stage: Stage,
    /// Its rung, from 0.
    pub rung: u8,
    /// The takeover by which it came, while that is not agreed as done; 0: it is its keeper's own.
    pub epoch: u64,
}

/// The part of an estate, of so many, that a session falls into.
pub fn part(id: Id, of: u32) -> u32 {
    (mix_bits(id) % u64::from(of.max(1))) as u32
}

/// A number's bits mixed well (the finalizer of SplitMix64): the same in all processes and versions.
pub(crate) fn mix_bits(x: u64) -> u64 {
    let x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// A name's number (FNV-1a, 64 bits): the same in all processes and versions.
pub(crate) fn hash_fnv1a(name: &str) -> u64 {
    name.bytes().fold(0xcbf2_9ce4_8422_2325, |h, b| (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3))
}

/// How well a member suits a key, by rendezvous hashing: each key has its own order of all members, and one
/// that goes changes the order of no others.
pub(crate) fn rendezvous_weight(key: u64, member: &str) -> u64 {
    mix_bits(key ^ hash_fnv1a(member).rotate_left(17))
}
