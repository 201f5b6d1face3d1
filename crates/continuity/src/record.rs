//! The replicated record of a session: all that another director needs to take it over, in terms that do not
//! depend on one process.
use serde::{Deserialize, Serialize};

/// A session's number on the wire.
pub type Id = u64;

/// What the viewer asked for.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
pub struct RequestSummary {
    /// Name of the class in the settings.
    pub class: String,
    /// The title.
    pub title: String,
    /// The viewer.
    pub viewer: String,
    /// First cell that holds the title.
    #[serde(rename = "home")]
    pub start_cell: u32,
    /// Number of consecutive cells that hold it.
    #[serde(rename = "copies")]
    pub cells_in_row: u32,
    /// The highest rung that the viewer accepts.
    #[serde(rename = "top")]
    pub max_rung: Option<u32>,
}

/// Progress of a session.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub enum Stage {
    /// An attempt is in flight; whether the session runs is not known.
    #[serde(rename = "Out")]
    InFlight,
    /// The session is established.
    #[serde(rename = "Standing")]
    Established,
}

/// The record of one session.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct Record {
    /// What the viewer asked for.
    #[serde(rename = "stub")]
    pub summary: RequestSummary,
    /// Name of the streamer.
    pub streamer: String,
    /// Progress of the session.
    pub stage: Stage,
    /// Its rung, from 0.
    pub rung: u8,
    /// Epoch of the takeover that brought the session, until that is agreed as complete; 0: the session is
    /// the director's own.
    pub epoch: u64,
}

/// The part, out of `of`, that a session belongs to.
pub fn part(id: Id, of: u32) -> u32 {
    (mix_bits(id) % u64::from(of.max(1))) as u32
}

/// Mixes the bits of a number (the finalizer of SplitMix64); the same in all processes and versions.
pub(crate) fn mix_bits(x: u64) -> u64 {
    let x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// Hash of a name (FNV-1a, 64 bits); the same in all processes and versions.
pub(crate) fn hash_fnv1a(name: &str) -> u64 {
    name.bytes().fold(0xcbf2_9ce4_8422_2325, |h, b| (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3))
}

/// Weight of a member for a key in rendezvous hashing: each key has its own order of all members, and the
/// loss of a member does not change the order of the others.
pub(crate) fn rendezvous_weight(key: u64, member: &str) -> u64 {
    mix_bits(key ^ hash_fnv1a(member).rotate_left(17))
}
