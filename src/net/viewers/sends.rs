//! What goes out to viewers: final answers on their own connections, and the ends of sessions, which may go
//! out on any connection or wait for the next one.
use super::Viewers;
use super::connection::{CloseReason, Connection, Stall, UnsentMessage};
use crate::director::{Input, ViewerLink};
use crate::interface::{Micros, RequestId};
use crate::net::part::Ready;
use crate::net::poll::Token;
use crate::net::shared::Shared;
use crate::platform::viewer;
use slog::{debug, info, warn};

/// From so many unwritten bytes on nothing more is taken from a connection.
const MAX_UNWRITTEN_BYTES: usize = 128 * 1024;
/// A client for whom more waits, and who has read nothing for so long, is closed.
const STALL_TIMEOUT_US: Micros = 1_000_000;
/// Set-ups that can't be used after which a connection is closed; one that stands begins the count anew.
const MAX_UNUSABLE_SET_UPS: u32 = 32;
/// How long a release waits for a connection from viewers to be sent on.
const QUEUED_RELEASE_TTL_US: Micros = 8_000_000;
/// Releases that wait at most.
const MAX_QUEUED_RELEASES: usize = 20_000;

impl Viewers {
    /// A connection brought a session that plays already and wants no answer.
    pub fn record_handed_over_session(&mut self, link: ViewerLink) {
        if let Some(connection) = self.connections.get_mut(&link.0) {
            (connection.answered, connection.had_session, connection.is_viewer) = (true, true, true);
        }
    }

    /// Sends the answer that a session stands. Where its connection is gone, or breaks before the answer has
    /// left whole, the core is told so: the viewer will not end that session.
    pub fn send_answer(&mut self, shared: &mut Shared, link: ViewerLink, id: RequestId, bytes: &[u8]) {
        let Some(connection) = self.connections.get_mut(&link.0).filter(|c| c.is_writable()) else {
            return shared.inputs.push(Input::Undelivered(id));
        };
        (connection.had_session, connection.unusable_set_ups) = (true, 0);
        connection.queue(bytes, Some(UnsentMessage::Answer(id)));
        connection.record_answer(shared.now, id);
        self.flush(shared, link.0);
    }

    /// Answers a set-up that can't be used; a connection that goes on with them is closed.
    pub fn reject_unusable(&mut self, shared: &mut Shared, link: ViewerLink, id: RequestId) {
        self.send(shared, link, &viewer::release(id, viewer::CAUSE_FAILED));
        let Some(connection) = self.connections.get_mut(&link.0) else { return };
        connection.unusable_set_ups += 1;
        if connection.unusable_set_ups >= MAX_UNUSABLE_SET_UPS {
            info!(shared.log, "nothing on a connection from viewers can be used, closed");
            self.begin_close(shared, link.0, CloseReason::Unusable);
        }
    }

    /// Sends a final answer, or another message that matters on its own connection alone.
    pub fn send(&mut self, shared: &mut Shared, link: ViewerLink, bytes: &[u8]) {
        let Some(connection) = self.connections.get_mut(&link.0).filter(|c| c.is_writable()) else { return };
        connection.queue(bytes, None);
        self.flush(shared, link.0);
    }

    /// Sends what ends a session: on its own connection, else on any, else on the next that comes. As long as
    /// its own can be written to no other is used, on which it could overtake the answer.
    pub fn send_release(&mut self, shared: &mut Shared, link: ViewerLink, bytes: Vec<u8>) {
        if self.send_release_on(shared, link.0, &bytes) {
            return;
        }
        // Only on those that are known for viewers': one that has brought nothing yet may be the front's.
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

    /// Sends what ends a session on one connection; false where that is of no use any more. Should the
    /// connection break before the message has left whole, it is sent again on another.
    fn send_release_on(&mut self, shared: &mut Shared, token: Token, bytes: &[u8]) -> bool {
        let Some(connection) = self.connections.get_mut(&token).filter(|c| c.is_writable()) else {
            return false;
        };
        connection.queue(bytes, Some(UnsentMessage::Release(bytes.to_vec())));
        self.flush(shared, token);
        true
    }

    /// Writes as much as the connection takes. One that broke is closed when what came on it has been heard;
    /// from one whose client does not read, nothing more is taken until it does.
    fn flush(&mut self, shared: &mut Shared, token: Token) {
        let Some(connection) = self.connections.get_mut(&token) else { return };
        match connection.line.write() {
            Ok(_) if connection.line.unwritten() <= MAX_UNWRITTEN_BYTES => {}
            Ok(_) => self.pause_reading(shared, token),
            Err(error) => {
                debug!(shared.log, "a connection from viewers broke: {error}");
                connection.reset = true;
                self.mark_broken(shared, token);
            }
        }
    }

    /// Takes nothing more from a client for whom too much waits.
    fn pause_reading(&mut self, shared: &mut Shared, token: Token) {
        let Some(connection) = self.connections.get_mut(&token).filter(|c| c.stalled.is_none()) else {
            return;
        };
        shared.counters.overfull += 1;
        warn!(shared.log, "viewers do not read, nothing is taken from their connection";
            "connection" => token);
        connection.stalled =
            Some(Stall { since: shared.now, written_total: connection.line.written_total() });
        if connection.line.watch_reads(false).is_err() {
            self.mark_broken(shared, token);
        }
    }

    /// Takes messages again from a client that has read what waited for it.
    pub(super) fn resume_reading(&mut self, shared: &mut Shared, token: Token) {
        let may_resume = |c: &Connection| c.stalled.is_some() && c.line.unwritten() <= MAX_UNWRITTEN_BYTES;
        let Some(connection) = self.connections.get_mut(&token).filter(|c| may_resume(c)) else { return };
        connection.stalled = None;
        if connection.line.watch_reads(true).is_err() {
            self.mark_broken(shared, token);
        }
    }

    /// Closes a connection whose client has read nothing for long; tells whether it did.
    pub(super) fn close_stalled(&mut self, shared: &mut Shared, token: Token) -> bool {
        let Some(connection) = self.connections.get_mut(&token) else { return false };
        let Some(stall) = &mut connection.stalled else { return false };
        let written_total = connection.line.written_total();
        if std::mem::replace(&mut stall.written_total, written_total) != written_total {
            stall.since = shared.now;
        }
        let timed_out = stall.since.saturating_add(STALL_TIMEOUT_US) <= shared.now;
        if timed_out {
            warn!(shared.log, "viewers have read nothing for long, connection closed"; "connection" => token);
            self.mark_broken(shared, token);
        }
        timed_out
    }

    /// A connection that is of no use any more is closed when what came on it has been heard.
    fn mark_broken(&mut self, shared: &mut Shared, token: Token) {
        let Some(connection) = self.connections.get_mut(&token) else { return };
        connection.broken = true;
        self.read_and_write(shared, Ready { token, readable: true, writable: false });
    }

    /// Whether something is still to be written.
    pub fn has_pending_writes(&self) -> bool {
        self.connections.values().any(|c| !c.broken && c.line.unwritten() > 0)
    }

    /// Forgets a connection: requests that wait on it are over, and what had not left it whole is told to the
    /// core or sent elsewhere.
    pub(super) fn close(&mut self, shared: &mut Shared, token: Token, reason: CloseReason) {
        let Some(connection) = self.connections.remove(&token) else { return };
        debug!(shared.log, "a connection from viewers is closed"; "connection" => token,
            "why" => ?reason, "unwritten" => connection.line.unwritten());
        shared.inputs.push(Input::LinkLost(ViewerLink(token)));
        let unread = connection.possibly_unread_answers(shared.now);
        for unsent in connection.into_unsent() {
            match unsent {
                UnsentMessage::Answer(id) => shared.inputs.push(Input::Undelivered(id)),
                UnsentMessage::Release(bytes) => self.send_release(shared, ViewerLink(token), bytes),
            }
        }
        // Those that never left are over by then.
        shared.inputs.extend(unread.into_iter().map(Input::Unread));
    }

    pub(super) fn send_queued_releases(&mut self, shared: &mut Shared) {
        for (queued_at, bytes) in std::mem::take(&mut self.queued_releases) {
            if queued_at.saturating_add(QUEUED_RELEASE_TTL_US) > shared.now {
                self.send_release(shared, ViewerLink(0), bytes);
            } else {
                warn!(shared.log, "a release came to no client in its time";
                    "session" => viewer::session_hex(&bytes));
            }
        }
    }
}
