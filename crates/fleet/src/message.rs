//! What directors say to each other, as bytes: one envelope to a datagram, or to a frame of a link. Encoded
//! by `postcard`; bounded before it is decoded. Decides nothing.
use crate::life::Life;
use serde::{Deserialize, Serialize};

/// The level of messages that this program speaks. Another level is not listened to.
pub const LEVEL: u8 = 1;
/// The longest datagram, bytes: one packet on usual networks (RFC 8085, section 3.2).
pub const DATAGRAM_MOST: usize = 1400;
/// The longest frame of a link, bytes: the members of some thousands of directors.
pub const FRAME_MOST: usize = 256 * 1024;
/// What the envelope takes of a datagram at most; the rest is SWIM's.
pub(crate) const ENVELOPE_MOST: usize = 64;
/// What an envelope tells of when its sender last heard from its receiver: not for long, or never.
pub(crate) const UNHEARD: u8 = u8::MAX;

/// All that goes with a message.
#[derive(Debug, Deserialize, Serialize)]
pub(crate) struct Envelope<'a> {
    /// The level.
    pub level: u8,
    /// Digest of the cluster's name.
    pub cluster: u32,
    /// The sender; empty for one that asks and is no director.
    pub from: &'a str,
    /// Which life of it.
    pub incarnation: u64,
    /// Tenths of a second since it last heard from the receiver, 254 at most; 255: never.
    pub heard: u8,
    /// What it says.
    #[serde(borrow)]
    pub body: Body<'a>,
}

/// What is said.
#[derive(Debug, Deserialize, Serialize)]
pub(crate) enum Body<'a> {
    /// A message of SWIM's.
    Swim(&'a [u8]),
    /// Answer with the same number, if you hear me.
    Ping(u32),
    /// The answer.
    Pong(u32),
    /// Look after this life of this member, as I do.
    Look(&'a str, u64),
    /// An observer's word, straight to another observer; it spreads by gossip as well.
    Word(&'a [u8]),
    /// Who are you? From one that knows an address alone.
    Hello(Life),
    /// The answer.
    Here(Life),
    /// A later life than yours bears your name.
    Replaced(Life),
    /// Digest of what the sender knows of the members; on links.
    Summary(u64),
    /// All that the sender knows of them, as SWIM has it; on links.
    Members {
        /// The members, down ones among them.
        members: Vec<foca::Member<Life>>,
        /// Whether the receiver is asked for the same.
        answer: bool,
    },
    /// What do you see? From one that asks and is no director; on links.
    Ask,
    /// The answer, as JSON.
    View(&'a str),
    /// A word of what the fleet agrees on, which is read elsewhere.
    Agreed(&'a [u8]),
    /// An order of a person for the fleet, read elsewhere. From one that is no director; on links.
    Order(&'a [u8]),
    /// The answer, as JSON.
    Ordered(&'a str),
}

/// Digest of a cluster's name.
pub(crate) fn cluster(name: &str) -> u32 {
    xxhash_rust::xxh3::xxh3_64(name.as_bytes()) as u32
}

pub(crate) fn write(envelope: &Envelope<'_>) -> Vec<u8> {
    postcard::to_allocvec(envelope).unwrap_or_default()
}

/// The whole of the bytes as an envelope.
pub(crate) fn read(bytes: &[u8]) -> Option<Envelope<'_>> {
    match postcard::take_from_bytes(bytes) {
        Ok((envelope, [])) => Some(envelope),
        _ => None,
    }
}

fn asked(cluster_name: &str, body: Body<'_>) -> Vec<u8> {
    write(&Envelope {
        level: LEVEL,
        cluster: cluster(cluster_name),
        from: "",
        incarnation: 0,
        heard: UNHEARD,
        body,
    })
}

/// The question of one that is no director: what do you see?
pub fn ask(cluster_name: &str) -> Vec<u8> {
    asked(cluster_name, Body::Ask)
}

/// An order of one that is no director.
pub fn order(cluster_name: &str, bytes: &[u8]) -> Vec<u8> {
    asked(cluster_name, Body::Order(bytes))
}

/// The answer to [`order`], as JSON; none where it is something else.
pub fn read_ordered(bytes: &[u8]) -> Option<String> {
    match read(bytes)?.body {
        Body::Ordered(json) => Some(json.to_owned()),
        _ => None,
    }
}

/// What came of a question.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Asked {
    /// The view, as JSON.
    View(String),
    /// Something else.
    Unreadable,
}

/// The answer to [`ask`].
pub fn read_view(bytes: &[u8]) -> Asked {
    match read(bytes) {
        Some(Envelope { body: Body::View(json), .. }) => Asked::View(json.to_owned()),
        _ => Asked::Unreadable,
    }
}
