//! I/O on the connections to streamers: reading, writing message by message, and closing.
use super::super::component::Ready;
use super::super::connection::ReadOutcome;
use super::super::poll::Token;
use super::super::shared::Shared;
use super::Streamers;
use super::connection::{MessageInProgress, OpenAttempt, QueuedMessage};
use crate::director::{Attempt, Input, UnsentReason};
use crate::interface::{LoadReport, Outcome, Standing, StreamerId};
use crate::platform::rtsp;
use slog::{debug, warn};
use std::io;

impl Streamers {
    /// Handles a connection that became readable or writable.
    pub(super) fn handle_ready(&mut self, shared: &mut Shared, Ready { token, readable, writable }: Ready) {
        let Some(connection) = self.connections.get_mut(&token) else { return };
        if !connection.connected {
            if !writable {
                return;
            }
            if let Err(why) = connection.socket.connect_result() {
                return self.connect_failed(shared, token, &why);
            }
            connection.connected = true;
            let streamer = connection.streamer;
            connection.last_received_at = shared.now;
            shared.inputs.push(Input::Contact { streamer, up: true });
            if let Some(pool) = self.pools.get_mut(&streamer) {
                (pool.last_received_at, pool.failing_since) = (shared.now, None);
                if pool.input_loss.connection_established(connection.losses_at_begin) {
                    shared.counters.inputs_recovered += 1;
                    debug!(shared.log, "connection established after a loss of input";
                        "streamer" => streamer.0);
                }
                let control_messages = pool.unsent_control.drain(..);
                connection.queue.extend(control_messages.map(|(_, message)| QueuedMessage::Control(message)));
            }
        }
        if writable {
            self.writable.insert(token);
        }
        if readable {
            self.read(shared, token);
        }
    }

    /// Writes to the connections that became writable. This happens after the core has processed all inputs
    /// of the same turn, so that a set-up that waited for its connection is not sent if its viewer has closed
    /// or its streamer has started to drain meanwhile.
    pub fn flush(&mut self, shared: &mut Shared) {
        for token in std::mem::take(&mut self.writable) {
            self.write_queue(shared, token);
        }
    }

    /// Whether an established connection has data that is not written yet.
    pub fn has_unwritten(&self) -> bool {
        self.connections
            .values()
            .any(|c| c.connected && (c.socket.unwritten_len() > 0 || !c.queue.is_empty()))
    }

    /// Closes a connection after a write error. What was received on it before is still processed, because it
    /// may contain an answer.
    fn write_failed(&mut self, shared: &mut Shared, token: Token, why: &io::Error) {
        let streamer = self.connections.get(&token).map(|c| c.streamer.0);
        debug!(shared.log, "write to streamer failed; closing the connection: {why}"; "streamer" => streamer);
        self.read(shared, token);
        self.close(shared, token);
    }

    /// Reads a connection and processes the complete messages on it. Closes it after its end, a read error or
    /// a malformed message.
    pub(super) fn read(&mut self, shared: &mut Shared, token: Token) {
        let Some(connection) = self.connections.get_mut(&token) else { return };
        let read_result = connection.socket.read();
        let (messages, parse_error) = connection.socket.take_messages(&mut connection.decoder);
        connection.record_received(shared.now, !messages.is_empty());
        if !messages.is_empty()
            && let Some(pool) = self.pools.get_mut(&connection.streamer)
        {
            (pool.last_received_at, pool.failing_since) = (shared.now, None);
        }
        messages.into_iter().for_each(|message| connection.handle_message(shared, message));
        if let Some(why) = parse_error {
            shared.counters.malformed += 1;
            let streamer = connection.streamer.0;
            warn!(shared.log, "malformed message from streamer; closing the connection: {why}";
                "streamer" => streamer);
            connection.input_unparseable = true;
            return self.close(shared, token);
        }
        match read_result {
            Ok(ReadOutcome::Open) => {}
            Ok(ReadOutcome::Eof) => {
                connection.input_complete = !connection.socket.has_partial_message();
                self.close(shared, token);
            }
            Err(why) => {
                let streamer = connection.streamer.0;
                debug!(shared.log, "read from streamer failed; closing the connection: {why}";
                    "streamer" => streamer);
                self.close(shared, token);
            }
        }
    }

    /// Writes the queued messages of a connection, one by one, until it accepts no more.
    pub(super) fn write_queue(&mut self, shared: &mut Shared, token: Token) {
        let Some(connection) = self.connections.get_mut(&token).filter(|c| c.connected) else { return };
        let streamer_up = self.pools.get(&connection.streamer).is_some_and(|p| p.standing == Standing::Up);
        loop {
            match connection.socket.write() {
                Ok(true) => {}
                Ok(false) => return,
                Err(why) => return self.write_failed(shared, token, &why),
            }
            match connection.writing.take() {
                Some(MessageInProgress::Cancel(attempt)) => shared.inputs.push(Input::GaveUp(attempt)),
                Some(MessageInProgress::SetUp(_)) => shared.counters.relayed += 1,
                Some(MessageInProgress::Control(message)) => {
                    connection.written_control.record(shared.now, message);
                }
                None => {}
            }
            match connection.queue.pop_front() {
                None => return,
                // Not sent if this director's permission to act on the session expired while it was queued.
                Some(QueuedMessage::Control(message))
                    if message.session().is_some_and(|session| !shared.may_act(session)) => {}
                Some(QueuedMessage::Control(message)) => {
                    connection.socket.queue(&message.encode());
                    connection.writing = Some(MessageInProgress::Control(message));
                }
                // The session may belong to another director by now, and must not be ended by this one.
                Some(QueuedMessage::Cancel(attempt)) if !shared.may_act(attempt.session) => {
                    shared.inputs.push(Input::GaveUp(attempt));
                }
                Some(QueuedMessage::Cancel(attempt)) => {
                    connection.socket.queue(&rtsp::cancel(attempt.session));
                    connection.writing = Some(MessageInProgress::Cancel(attempt));
                }
                Some(QueuedMessage::SetUp { attempt, rung, until, send_by, parcel }) => {
                    let wait_ms = until.saturating_sub(shared.now) / 1000;
                    let bytes = rtsp::set_up(attempt.session, &parcel, rung, wait_ms);
                    // These conditions are checked at the time of sending, since the set-up may have waited.
                    let in_time = wait_ms > 0 && shared.now < send_by;
                    match bytes.filter(|_| streamer_up && in_time && shared.may_act(attempt.session)) {
                        Some(bytes) => {
                            connection.socket.queue(&bytes);
                            connection.writing = Some(MessageInProgress::SetUp(attempt));
                            let open = OpenAttempt { number: attempt.number, until, started: true };
                            connection.open_attempts.insert(attempt.session, open);
                        }
                        None => {
                            connection.open_attempts.remove(&attempt.session);
                            shared.inputs.push(Input::Unsent(attempt, UnsentReason::Withdrawn));
                        }
                    }
                }
            }
        }
    }

    /// Closes a connection. Everything outstanding on it ends with the outcome that can be proved.
    pub(super) fn close(&mut self, shared: &mut Shared, token: Token) {
        let Some(connection) = self.connections.remove(&token) else { return };
        let streamer = connection.streamer;
        for (session, open) in &connection.open_attempts {
            let attempt = Attempt { session: *session, number: open.number };
            let unsent = Input::Unsent(attempt, UnsentReason::NoConnection);
            shared.inputs.push(match open.started {
                true if connection.input_unparseable => Input::Spoilt(attempt),
                true => Input::Broken(attempt),
                false => unsent,
            });
        }
        let outcome = if connection.connected { Outcome::Reset } else { Outcome::ConnectError };
        for _ in &connection.probes {
            shared.inputs.push(Input::Probed { streamer, outcome, report: LoadReport::default() });
        }
        if let Some(MessageInProgress::Cancel(attempt)) = connection.writing {
            shared.inputs.push(Input::GaveUp(attempt));
        }
        let Some(pool) = self.pools.get_mut(&streamer) else { return };
        pool.connections.remove(&token);
        if connection.connected && !connection.input_complete {
            pool.record_input_loss(shared, streamer);
        }
        for message in connection.written_control.unread(shared.now) {
            shared.inputs.extend(message.into_unread_input(streamer));
        }
        let mut unsent = Vec::new();
        // A message that was cut off was not processed, and sending a complete one twice does no harm.
        if let Some(MessageInProgress::Control(message)) = connection.writing {
            unsent.push(message);
        }
        for message in connection.queue {
            match message {
                QueuedMessage::Cancel(attempt) => shared.inputs.push(Input::GaveUp(attempt)),
                QueuedMessage::Control(message) => unsent.push(message),
                QueuedMessage::SetUp { .. } => {}
            }
        }
        // Probes were reported as failed above.
        for message in unsent.into_iter().filter(|message| message.session().is_some()) {
            pool.keep_unsent(shared, message);
        }
        self.send_unsent_control(streamer);
    }

    /// Passes control messages that wait for a connection to an established one, if there is one.
    fn send_unsent_control(&mut self, streamer: StreamerId) {
        let Some(token) = self.pools.get(&streamer).and_then(|pool| self.control_connection(pool)) else {
            return;
        };
        let (Some(pool), Some(connection)) =
            (self.pools.get_mut(&streamer), self.connections.get_mut(&token))
        else {
            return;
        };
        if !pool.unsent_control.is_empty() {
            let control_messages = pool.unsent_control.drain(..);
            connection.queue.extend(control_messages.map(|(_, message)| QueuedMessage::Control(message)));
            self.writable.insert(token);
        }
    }
}
