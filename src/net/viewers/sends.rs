//! Messages to viewers: final answers, which are sent on the connection of the request, and ends of sessions,
//! which may be sent on any viewer connection or wait for the next one.
use super::Viewers;
use super::connection::{CloseReason, Stall, UnsentMessage, ViewerConnection};
use crate::director::{Input, NO_LINK, ViewerLink};
use crate::interface::{Micros, RequestId};
use crate::net::component::Ready;
use crate::net::poll::Token;
use crate::net::shared::Shared;
use crate::platform::viewer;
use slog::{debug, info, warn};

/// Number of unwritten bytes above which reading from a connection is paused.
const MAX_UNWRITTEN_BYTES: usize = 128 * 1024;
/// Time after which a connection is closed whose reading is paused and whose client has read nothing.
const STALL_TIMEOUT_US: Micros = 1_000_000;
/// Number of unusable set-ups after which a connection is closed. An established session resets the count.
const MAX_UNUSABLE_SET_UPS: u32 = 32;
/// Time for which a release waits for a viewer connection to be sent on.
const QUEUED_RELEASE_TTL_US: Micros = 8_000_000;
/// Maximum number of releases that wait for a viewer connection.
const MAX_QUEUED_RELEASES: usize = 20_000;

impl Viewers {
    /// Records that a session that already plays was handed over on a connection; it gets no answer.
    pub fn record_handed_over_session(&mut self, link: ViewerLink) {
        if let Some(connection) = self.connections.get_mut(&link.0) {
            (connection.answered, connection.had_session, connection.is_viewer) = (true, true, true);
        }
    }

    /// Sends the answer that a session is established. If its connection is gone, or fails before the answer
    /// is written completely, [`Input::Undelivered`] tells the core, because the viewer will not end that
    /// session.
    pub fn send_answer(&mut self, shared: &mut Shared, link: ViewerLink, id: RequestId, bytes: &[u8]) {
        let Some(connection) = self.connections.get_mut(&link.0).filter(|c| c.is_writable()) else {
            return shared.inputs.push(Input::Undelivered(id));
        };
        (connection.had_session, connection.unusable_set_ups) = (true, 0);
        connection.queue(shared.now, bytes, Some(UnsentMessage::Answer(id)));
        connection.record_answer(shared.now, id);
        self.flush(shared, link.0);
    }

    /// Answers an unusable set-up. After too many of them the connection is closed.
    pub fn reject_unusable(&mut self, shared: &mut Shared, link: ViewerLink, id: RequestId) {
        self.send(shared, link, &viewer::release(id, viewer::CAUSE_FAILED));
        let Some(connection) = self.connections.get_mut(&link.0) else { return };
        connection.unusable_set_ups += 1;
        if connection.unusable_set_ups >= MAX_UNUSABLE_SET_UPS {
            info!(shared.log, "closing a viewer connection after too many unusable set-ups");
            self.begin_close(shared, link.0, CloseReason::Unusable);
        }
    }

    /// Sends a final answer, or another message that is useless on other connections.
    pub fn send(&mut self, shared: &mut Shared, link: ViewerLink, bytes: &[u8]) {
        let Some(connection) = self.connections.get_mut(&link.0).filter(|c| c.is_writable()) else { return };
        connection.queue(shared.now, bytes, None);
        self.flush(shared, link.0);
    }

    /// Sends a release or a request to move, which ends a session: on the session's own connection, otherwise
    /// on any viewer connection, otherwise on the next one. No other connection is used while the session's
    /// own is writable, because the message could overtake the answer on it.
    pub fn send_release(&mut self, shared: &mut Shared, link: ViewerLink, bytes: Vec<u8>) {
        if self.send_release_on(shared, link.0, &bytes) {
            return;
        }
        // Only connections known to be viewers': one on which nothing was received may be the front end's.
        let others = self.connections.iter().filter(|(_, c)| c.is_viewer && c.accepts_messages());
        let mut others: Vec<_> = others.map(|(t, c)| (c.had_session, c.last_message_at, *t)).collect();
        others.sort_unstable_by(|a, b| b.cmp(a));
        if others.into_iter().any(|other| self.send_release_on(shared, other.2, &bytes)) {
            return;
        }
        if self.queued_releases.len() < MAX_QUEUED_RELEASES {
            self.queued_releases.push_back((shared.now, bytes));
        }
    }

    /// Sends the end of a session on one connection. Returns false if the connection is not writable. If the
    /// connection fails before the message is written completely, the message is sent again on another.
    fn send_release_on(&mut self, shared: &mut Shared, token: Token, bytes: &[u8]) -> bool {
        let Some(connection) = self.connections.get_mut(&token).filter(|c| c.is_writable()) else {
            return false;
        };
        connection.queue(shared.now, bytes, Some(UnsentMessage::Release(bytes.to_vec())));
        self.flush(shared, token);
        true
    }

    /// Writes as much as the socket accepts. A connection that failed is closed once the messages received on
    /// it are processed. Reading is paused while the client does not read.
    fn flush(&mut self, shared: &mut Shared, token: Token) {
        let Some(connection) = self.connections.get_mut(&token) else { return };
        match connection.write(shared.now) {
            Ok(_) if connection.socket.unwritten_len() <= MAX_UNWRITTEN_BYTES => {}
            Ok(_) => self.pause_reading(shared, token),
            Err(error) => {
                debug!(shared.log, "viewer connection failed: {error}");
                connection.reset = true;
                self.mark_broken(shared, token);
            }
        }
    }

    /// Pauses reading from a connection with too much unwritten data.
    fn pause_reading(&mut self, shared: &mut Shared, token: Token) {
        let Some(connection) = self.connections.get_mut(&token).filter(|c| c.stalled.is_none()) else {
            return;
        };
        shared.counters.overfull += 1;
        warn!(shared.log, "viewer connection stalled; reading from it is paused";
            "connection" => token);
        connection.stalled =
            Some(Stall { since: shared.now, written_total: connection.socket.written_total() });
        if connection.socket.set_read_interest(false).is_err() {
            self.mark_broken(shared, token);
        }
    }

    /// Resumes reading once the client has read enough of the pending data.
    pub(super) fn resume_reading(&mut self, shared: &mut Shared, token: Token) {
        let may_resume =
            |c: &ViewerConnection| c.stalled.is_some() && c.socket.unwritten_len() <= MAX_UNWRITTEN_BYTES;
        let Some(connection) = self.connections.get_mut(&token).filter(|c| may_resume(c)) else { return };
        connection.stalled = None;
        if connection.socket.set_read_interest(true).is_err() {
            self.mark_broken(shared, token);
        }
    }

    /// Closes a stalled connection whose client has read nothing for [`STALL_TIMEOUT_US`]. Returns whether it
    /// did.
    pub(super) fn close_stalled(&mut self, shared: &mut Shared, token: Token) -> bool {
        let Some(connection) = self.connections.get_mut(&token) else { return false };
        let Some(stall) = &mut connection.stalled else { return false };
        let written_total = connection.socket.written_total();
        if std::mem::replace(&mut stall.written_total, written_total) != written_total {
            stall.since = shared.now;
        }
        let timed_out = stall.since.saturating_add(STALL_TIMEOUT_US) <= shared.now;
        if timed_out {
            warn!(shared.log, "closing a viewer connection whose client has stopped reading";
                "connection" => token);
            self.mark_broken(shared, token);
        }
        timed_out
    }

    /// Marks a connection as failed and reads from it. It is closed once the messages received on it are
    /// processed.
    fn mark_broken(&mut self, shared: &mut Shared, token: Token) {
        let Some(connection) = self.connections.get_mut(&token) else { return };
        connection.broken = true;
        self.read_and_write(shared, Ready { token, readable: true, writable: false });
    }

    /// Returns whether a connection that has not failed has unwritten data.
    pub fn has_pending_writes(&self) -> bool {
        self.connections.values().any(|c| !c.broken && c.socket.unwritten_len() > 0)
    }

    /// Removes a connection. Its pending requests end, undelivered answers are reported to the core, and
    /// releases that were not written completely are sent on another connection.
    pub(super) fn close(&mut self, shared: &mut Shared, token: Token, reason: CloseReason) {
        debug_assert!(
            reason != CloseReason::Room || !self.unprocessed.contains(&token),
            "a message on the connection is not processed yet"
        );
        let Some(connection) = self.connections.remove(&token) else { return };
        debug!(shared.log, "viewer connection closed"; "connection" => token,
            "why" => ?reason, "unwritten" => connection.socket.unwritten_len());
        shared.inputs.push(Input::LinkLost(ViewerLink(token)));
        let unread = connection.possibly_unread_answers(shared.now);
        for unsent in connection.into_unsent() {
            match unsent {
                UnsentMessage::Answer(id) => shared.inputs.push(Input::Undelivered(id)),
                UnsentMessage::Release(bytes) => self.send_release(shared, ViewerLink(token), bytes),
            }
        }
        // After the undelivered ones: their sessions have ended by the time these inputs are processed.
        shared.inputs.extend(unread.into_iter().map(Input::Unread));
    }

    /// Sends ends of sessions that the previous process could not send.
    pub fn send_inherited_releases(&mut self, shared: &mut Shared, messages: Vec<Vec<u8>>) {
        for bytes in messages.into_iter().filter(|bytes| viewer::ends_session(bytes)) {
            self.send_release(shared, NO_LINK, bytes);
        }
    }

    /// Removes and returns the ends of sessions that are not completely written and not too old to be sent.
    pub fn take_unsent_releases(&mut self, shared: &Shared) -> Vec<Vec<u8>> {
        let queued = std::mem::take(&mut self.queued_releases);
        let in_time = |queued_at: Micros| queued_at.saturating_add(QUEUED_RELEASE_TTL_US) > shared.now;
        let queued = queued.into_iter().filter(|(at, _)| in_time(*at)).map(|(_, bytes)| bytes);
        let connections = std::mem::take(&mut self.connections);
        let unsent = connections.into_values().flat_map(ViewerConnection::into_unsent);
        let unsent = unsent.filter_map(|message| match message {
            UnsentMessage::Release(bytes) => Some(bytes),
            UnsentMessage::Answer(_) => None,
        });
        queued.chain(unsent).collect()
    }

    /// Sends the queued releases, except for those that have waited too long.
    pub(super) fn send_queued_releases(&mut self, shared: &mut Shared) {
        for (queued_at, bytes) in std::mem::take(&mut self.queued_releases) {
            if queued_at.saturating_add(QUEUED_RELEASE_TTL_US) > shared.now {
                self.send_release(shared, NO_LINK, bytes);
            } else {
                warn!(shared.log, "release dropped: no viewer connection within its time limit";
                    "session" => viewer::session_hex(&bytes));
            }
        }
    }
}
