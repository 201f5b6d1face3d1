//! Codec of the discovery service (`bulletin` in the configuration).
//!
//! Discovery sends one message per line: an event that changes the streamer list or, every second, the number
//! of the last event as a heartbeat.
use super::framing::{Decoded, Decoder};
use super::{MAX_MESSAGE_BYTES, parse_digits};
use crate::interface::{Entry, ListScope, Micros, Standing};
use crate::settings::{NameRegistry, NamedEntry};
use serde::Deserialize;
use serde::de::IgnoredAny;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Maximum length of a line, which may hold the full list of a large fleet.
const MAX_LINE_BYTES: usize = 64 * MAX_MESSAGE_BYTES;

/// A line that can't be parsed.
#[derive(Debug, thiserror::Error)]
pub enum DiscoveryError {
    /// The line is not JSON of the expected form.
    #[error("invalid line: {0}")]
    Json(#[from] serde_json::Error),
    /// An event has no list, but a field that is not known: it may be the list's, misspelt on its way.
    #[error("event {0} has no list, and an unknown field")]
    UnknownField(u64),
}

/// A list entry that can't be used as it is.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum MemberError {
    /// The address is invalid; the streamer is ignored.
    #[error("streamer {id:?} has an invalid address {address:?} and is ignored; correct it in the list")]
    Address {
        /// Id of the streamer.
        id: String,
        /// The invalid address.
        address: String,
    },
    /// The state is unknown; the streamer gets no new sessions.
    #[error("streamer {id:?} has an unknown state {state:?} and gets no set-ups; correct it in the list")]
    State {
        /// Id of the streamer.
        id: String,
        /// The unknown state.
        state: String,
    },
}

/// The entries of an update in the core's terms, and the errors found in it.
#[derive(Debug, Default)]
pub struct ResolvedMembers {
    /// The usable entries with the streamers' addresses.
    pub entries: Vec<(Entry, SocketAddr)>,
    /// The errors.
    pub errors: Vec<MemberError>,
}

/// An event from discovery.
#[derive(Clone, Debug, Deserialize)]
pub struct Event {
    /// Number of the event; the numbers are consecutive.
    #[serde(rename = "no")]
    pub number: u64,
    /// The change of the streamer list, if the event has one.
    #[serde(rename = "roster")]
    pub update: Option<MembershipUpdate>,
}

/// The full streamer list, or the entries that changed.
#[derive(Clone, Debug, Deserialize)]
pub struct MembershipUpdate {
    #[serde(default)]
    complete: bool,
    members: Vec<Member>,
}

/// A streamer in the list, with the field names of the wire format.
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

/// A message from discovery.
#[derive(Debug)]
pub enum Message {
    /// A heartbeat with the number of the last event.
    Heartbeat(u64),
    /// An event.
    Event(Event),
}

/// Finds the lines of discovery.
#[derive(Clone, Debug, Default)]
pub struct LineDecoder {
    /// Bytes at the start that have no line feed.
    searched: usize,
}

impl Decoder for LineDecoder {
    type Message = Vec<u8>;
    type Error = std::convert::Infallible;
    const MAX_INCOMPLETE_BYTES: usize = MAX_LINE_BYTES;

    fn decode(&mut self, bytes: &[u8]) -> Result<Decoded<Vec<u8>>, Self::Error> {
        let searched = std::mem::take(&mut self.searched).min(bytes.len());
        match bytes.iter().skip(searched).position(|byte| *byte == b'\n') {
            Some(position) => {
                let end = searched + position;
                Ok(Decoded::Message(bytes.get(..end).unwrap_or_default().to_vec(), end + 1))
            }
            None => {
                self.searched = bytes.len();
                Ok(Decoded::Incomplete)
            }
        }
    }
}

/// Encodes the request for all events after the one with this number.
pub fn encode_request_after(number: u64) -> Vec<u8> {
    format!("after {number}\n").into_bytes()
}

/// Parses a line without its line feed.
pub fn parse_line(line: &[u8]) -> Result<Message, DiscoveryError> {
    match std::str::from_utf8(line).ok().and_then(|text| parse_digits(text.trim())) {
        Some(last) => Ok(Message::Heartbeat(last)),
        None => parse_event(line).map(Message::Event),
    }
}

fn parse_event(line: &[u8]) -> Result<Event, DiscoveryError> {
    let event: Event = serde_json::from_slice(line)?;
    if event.update.is_none() {
        let fields: BTreeMap<String, IgnoredAny> = serde_json::from_slice(line)?;
        if fields.keys().any(|name| name != "no" && name != "roster") {
            return Err(DiscoveryError::UnknownField(event.number));
        }
    }
    Ok(event)
}

impl Event {
    /// Whether it contains the full list, so that the events before it are not needed.
    pub fn is_full_list(&self) -> bool {
        self.update.as_ref().is_some_and(|update| update.complete)
    }
}

impl MembershipUpdate {
    /// Whether the entries are the full list or only what changed.
    pub fn scope(&self) -> ListScope {
        if self.complete { ListScope::Full } else { ListScope::Delta }
    }

    /// Converts the entries to the core's terms. An unusable entry does not affect the others.
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
