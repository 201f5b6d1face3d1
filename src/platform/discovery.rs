//! The lines of the bulletin: events of the list of streamers, and the last number alone every second.
use crate::interface::{Entry, ListScope, Micros, Standing};
use crate::settings::{NameRegistry, NamedEntry};
use serde::Deserialize;
use std::net::SocketAddr;

/// A line of the bulletin that can't be read.
#[derive(Debug, thiserror::Error)]
pub enum DiscoveryError {
    /// Not JSON of the right form.
    #[error("bad line: {0}")]
    Json(#[from] serde_json::Error),
}

/// A streamer of the list that can't be used as the list states it.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum MemberError {
    /// An address that is none: the streamer is left out.
    #[error("streamer {id:?} has a bad address {address:?} and is left out; correct it in the list")]
    Address {
        /// The streamer.
        id: String,
        /// What stands there.
        address: String,
    },
    /// A state outside the vocabulary: the streamer gets no new sessions.
    #[error("streamer {id:?} has an unknown state {state:?} and gets no set-ups; correct it in the list")]
    State {
        /// The streamer.
        id: String,
        /// What stands there.
        state: String,
    },
}

/// The entries of an event that can be used, and what is wrong with others.
#[derive(Debug, Default)]
pub struct ResolvedMembers {
    /// The entries, in the module's terms, with the streamers' addresses.
    pub entries: Vec<(Entry, SocketAddr)>,
    /// What can't be used as it stands.
    pub errors: Vec<MemberError>,
}

/// An event of the bulletin.
#[derive(Clone, Debug, Deserialize)]
pub struct Event {
    /// Its number.
    #[serde(rename = "no")]
    pub number: u64,
    /// What changed in the list of streamers.
    pub roster: Option<MembershipUpdate>,
}

/// The list of streamers, or what changed in it.
#[derive(Clone, Debug, Deserialize)]
pub struct MembershipUpdate {
    #[serde(default)]
    complete: bool,
    members: Vec<Member>,
}

#[derive(Clone, Debug, Deserialize)]
struct Member {
    id: String,
    host_port: String,
    #[serde(default)]
    locality: String,
    #[serde(default)]
    flavor: String,
    #[serde(default)]
    cell: u32,
    phase: String,
    size: Option<f64>,
    #[serde(default)]
    up_since_ms: u64,
}

/// A line of the bulletin.
#[derive(Debug)]
pub enum Message {
    /// The number of the last event.
    Heartbeat(u64),
    /// An event.
    Event(Event),
}

/// The line that asks for all events after one.
pub fn encode_request_after(number: u64) -> Vec<u8> {
    format!("after {number}\n").into_bytes()
}

/// Reads a line without its line feed.
pub fn parse_line(line: &[u8]) -> Result<Message, DiscoveryError> {
    match std::str::from_utf8(line).ok().and_then(|text| text.trim().parse().ok()) {
        Some(last) => Ok(Message::Heartbeat(last)),
        None => Ok(Message::Event(serde_json::from_slice(line)?)),
    }
}

impl Event {
    /// Whether it holds the whole list, so that events before it need not be known.
    pub fn is_full_list(&self) -> bool {
        self.roster.as_ref().is_some_and(|roster| roster.complete)
    }
}

impl MembershipUpdate {
    /// How the module is to take it: the whole list, or what changed.
    pub fn scope(&self) -> ListScope {
        if self.complete { ListScope::Full } else { ListScope::Delta }
    }

    /// Its entries. One that can't be used takes none of the others along.
    pub fn resolve_members(&self, names: &mut NameRegistry) -> ResolvedMembers {
        let mut resolved = ResolvedMembers::default();
        for member in &self.members {
            let Ok(address) = member.host_port.parse() else {
                let (id, address) = (member.id.clone(), member.host_port.clone());
                resolved.errors.push(MemberError::Address { id, address });
                continue;
            };
            let standing = match member.phase.as_str() {
                "in_service" => Standing::Up,
                "terminating" => Standing::Draining,
                "terminated" => Standing::Gone,
                state => {
                    let (id, state) = (member.id.clone(), state.to_owned());
                    resolved.errors.push(MemberError::State { id, state });
                    Standing::Draining
                }
            };
            let started_at: Micros = member.up_since_ms.saturating_mul(1000);
            let (weight, cell) = (member.size, member.cell);
            let (zone, kind) = (member.locality.as_str(), member.flavor.as_str());
            let entry = NamedEntry { streamer: &member.id, zone, kind, cell, standing, weight, started_at };
            resolved.entries.push((names.entry(&entry), address));
        }
        resolved
    }
}
