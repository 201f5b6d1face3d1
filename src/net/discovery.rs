//! The connection to discovery, which sends the changes of the streamer list as numbered events.
//!
//! After an interruption the client reconnects and requests the events after the last one it has. It closes a
//! connection on which the heartbeats stop.
use super::component::{Component, Ready};
use super::connection::{Connection, ReadOutcome};
use super::poll::Token;
use super::shared::{self, Deadline, Shared};
use crate::director::Director;
use crate::interface::Micros;
use crate::platform::discovery::{self, Event, LineDecoder, Message};
use slog::{debug, info, warn};
use std::net::SocketAddr;

/// Time without a line after which a connection counts as broken; discovery sends a heartbeat every second.
const HEARTBEAT_TIMEOUT_US: Micros = 1_800_000;
/// Upper bound of the time for the first line on a new connection. Together with the longest delay before a
/// reconnection it stays below the 6 s within which a change has to be heard once discovery can be reached.
const MAX_FIRST_LINE_TIMEOUT_US: Micros = 4_500_000;
/// Time within which a connection must be established.
const CONNECT_TIMEOUT_US: Micros = 500_000;
/// Delay before the first reconnection; it doubles with each further failure.
const MIN_RECONNECT_DELAY_US: Micros = 50_000;
/// Upper bound of the delay before a reconnection.
const MAX_RECONNECT_DELAY_US: Micros = 1_000_000;

/// Why a line makes the client close the connection.
#[derive(Debug, thiserror::Error)]
enum LineError {
    #[error("events are missing; requesting them again")]
    Gap,
    #[error("{0}; requesting the event again")]
    Invalid(discovery::DiscoveryError),
}

/// Client of the discovery service.
pub struct DiscoveryClient {
    address: SocketAddr,
    connection: Option<Connection>,
    connected: bool,
    lines: LineDecoder,
    last_event: u64,
    /// Time for the first line on a new connection. It doubles with each connection that times out without
    /// one, so that a slow service is heard.
    first_line_timeout: Micros,
    /// Whether a line was received on the connection.
    heard: bool,
    /// With a connection: when it times out. Without one: when to reconnect.
    deadline: Micros,
    reconnect_delay: Micros,
}

impl DiscoveryClient {
    /// Creates a client that requests the events after `last_event`. It connects on the first call of
    /// [`DiscoveryClient::check_deadline`].
    pub fn new(address: SocketAddr, last_event: u64) -> Self {
        DiscoveryClient {
            address,
            connection: None,
            connected: false,
            lines: LineDecoder::default(),
            last_event,
            first_line_timeout: HEARTBEAT_TIMEOUT_US,
            heard: false,
            deadline: 0,
            reconnect_delay: MIN_RECONNECT_DELAY_US,
        }
    }

    /// Switches to another address, if it differs, and requests the events after the last one received.
    pub fn set_address(&mut self, shared: &mut Shared, address: SocketAddr) {
        if address == self.address {
            return;
        }
        info!(shared.log, "discovery address changed"; "to" => %address, "after" => self.last_event);
        (self.address, self.connection, self.reconnect_delay) = (address, None, MIN_RECONNECT_DELAY_US);
        self.deadline = shared.now;
        self.check_deadline(shared);
    }

    /// Once the deadline has passed, closes a connection that timed out, or connects if there is none.
    pub fn check_deadline(&mut self, shared: &mut Shared) {
        if shared.now < self.deadline {
            return; // something was received in the meantime
        }
        if self.connection.is_some() {
            if self.connected && !self.heard {
                self.first_line_timeout = (self.first_line_timeout * 2).min(MAX_FIRST_LINE_TIMEOUT_US);
            }
            return self.connection_failed(shared, "timed out");
        }
        match Connection::connect(&mut shared.poll, self.address) {
            Ok(connection) => {
                (self.connection, self.connected) = (Some(connection), false);
                self.lines = LineDecoder::default();
                self.set_deadline(shared, CONNECT_TIMEOUT_US);
            }
            Err(error) => self.connection_failed(shared, &error.to_string()),
        }
    }

    fn set_deadline(&mut self, shared: &mut Shared, delay: Micros) {
        self.deadline = shared.now.saturating_add(delay);
        shared.deadlines.set(self.deadline, Deadline::Discovery);
    }

    fn connection_failed(&mut self, shared: &mut Shared, reason: &str) {
        shared.counters.bulletin_breaks += 1;
        warn!(shared.log, "discovery connection failed: {reason}"; "after" => self.last_event);
        self.connection = None;
        let delay = self.reconnect_delay;
        self.reconnect_delay = (delay * 2).min(MAX_RECONNECT_DELAY_US);
        self.set_deadline(shared, delay);
    }

    /// Reads from and writes to the connection. Returns the new events, each once and in order.
    fn handle_io(&mut self, shared: &mut Shared, Ready { readable, writable, .. }: Ready) -> Vec<Event> {
        let Some(connection) = self.connection.as_mut() else { return Vec::new() };
        if writable && !self.connected {
            if let Err(error) = connection.connect_result() {
                self.connection_failed(shared, &error.to_string());
                return Vec::new();
            }
            (self.connected, self.heard) = (true, false);
            connection.queue(&discovery::encode_request_after(self.last_event));
            self.set_deadline(shared, self.first_line_timeout);
        }
        let Some(connection) = self.connection.as_mut() else { return Vec::new() };
        if writable && let Err(error) = connection.write() {
            self.connection_failed(shared, &error.to_string());
            return Vec::new();
        }
        if !readable {
            return Vec::new();
        }
        let read_result = connection.read();
        let (lines, oversized) = connection.take_messages(&mut self.lines);
        let mut events = Vec::new();
        for line in lines.iter().filter(|line| !line.is_empty()) {
            match self.process_line(shared, line) {
                Ok(event) => {
                    events.extend(event);
                    (self.heard, self.first_line_timeout) = (true, HEARTBEAT_TIMEOUT_US);
                    self.set_deadline(shared, HEARTBEAT_TIMEOUT_US);
                }
                Err(error) => {
                    self.connection_failed(shared, &error.to_string());
                    return events;
                }
            }
        }
        match read_result {
            _ if oversized.is_some() => {
                shared.counters.malformed += 1;
                self.connection_failed(shared, "line exceeds the size limit");
            }
            Ok(ReadOutcome::Open) => {}
            Ok(ReadOutcome::Eof) => self.connection_failed(shared, "closed by the peer"),
            Err(error) => self.connection_failed(shared, &error.to_string()),
        }
        events
    }
}

impl DiscoveryClient {
    /// Processes one line. Returns the next event, or `None` for a heartbeat or a duplicate.
    ///
    /// Only a line that advances or confirms the number of the last event resets the reconnection delay.
    /// Otherwise a service that keeps sending unusable lines would be contacted again at once each time.
    fn process_line(&mut self, shared: &mut Shared, line: &[u8]) -> Result<Option<Event>, LineError> {
        let event = match discovery::parse_line(line) {
            Ok(Message::Heartbeat(last)) if last > self.last_event => return Err(LineError::Gap),
            Ok(Message::Heartbeat(_)) => None,
            Ok(Message::Event(event)) if event.number <= self.last_event => {
                debug!(shared.log, "duplicate event"; "no" => event.number);
                return Ok(None);
            }
            // A full list supersedes all events before it.
            Ok(Message::Event(event)) if event.number > self.last_event + 1 && !event.is_full_list() => {
                return Err(LineError::Gap);
            }
            Ok(Message::Event(event)) => Some(event),
            Err(error) => {
                shared.counters.malformed += 1;
                return Err(LineError::Invalid(error));
            }
        };
        self.last_event = event.as_ref().map_or(self.last_event, |event| event.number);
        self.reconnect_delay = MIN_RECONNECT_DELAY_US;
        Ok(event)
    }
}

impl Component for DiscoveryClient {
    fn owns(&self, token: Token) -> bool {
        self.connection.as_ref().is_some_and(|connection| connection.token() == token)
    }

    fn on_ready(&mut self, shared: &mut Shared, _: &Director, ready: Ready) {
        let events = self.handle_io(shared, ready);
        shared.events.extend(events.into_iter().map(shared::Event::Discovery));
    }

    fn on_deadline(&mut self, shared: &mut Shared, _: &Director, due: Deadline) -> bool {
        let owned = due == Deadline::Discovery;
        if owned {
            self.check_deadline(shared);
        }
        owned
    }
}
