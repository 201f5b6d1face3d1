//! What goes out to viewers: final answers on their own connections, and the ends of sessions, which may go
//! out on any connection or wait for the next one.
use super::Viewers;
use super::caller::{Caller, CloseReason, Stall, Unsent};
use crate::director::{Input, ViewerLink};
use crate::interface::{Micros, RequestId};
use crate::net::component::Ready;
use crate::net::poll::Token;
use crate::net::shared::Shared;
use crate::platform::viewer;
use slog::{debug, info, warn};

/// From so many unwritten bytes on nothing more is taken from a connection.
const UNWRITTEN_MOST: usize = 128 * 1024;
/// A client for whom more waits, and who has read nothing for so long, is closed.
const STALLED_US: Micros = 1_000_000;
/// Set-ups that can't be used after which a connection is closed; one that stands begins the count anew.
const SPURNED_MOST: u32 = 32;
/// How long a release waits for a connection from viewers to be sent on.
const RELEASE_KEPT_US: Micros = 8_000_000;
/// Releases that wait at most.
const RELEASES_KEPT: usize = 20_000;

impl Viewers {
    /// A connection brought a session that plays already and wants no answer.
    pub fn brought(&mut self, link: ViewerLink) {
        if let Some(caller) = self.callers.get_mut(&link.0) {
            (caller.answered, caller.stood, caller.viewer) = (true, true, true);
        }
    }

    /// Sends the answer that a session stands. Where its connection is gone, or breaks before the answer has
    /// left whole, the core is told so: the viewer will not end that session.
    pub fn stands(&mut self, shared: &mut Shared, link: ViewerLink, id: RequestId, bytes: &[u8]) {
        let Some(caller) = self.callers.get_mut(&link.0).filter(|c| c.takes_writes()) else {
            return shared.inputs.push(Input::Undelivered(id));
        };
        (caller.stood, caller.spurned) = (true, 0);
        caller.put(bytes, Some(Unsent::Answer(id)));
        caller.answers(shared.now, id);
        self.write_out(shared, link.0);
    }

    /// Answers a set-up that can't be used; a connection that goes on with them is closed.
    pub fn spurn(&mut self, shared: &mut Shared, link: ViewerLink, id: RequestId) {
        self.say(shared, link, &viewer::release(id, viewer::CAUSE_FAILED));
        let Some(caller) = self.callers.get_mut(&link.0) else { return };
        caller.spurned += 1;
        if caller.spurned >= SPURNED_MOST {
            info!(shared.log, "nothing on a connection from viewers can be used, closed");
            self.begin_close(shared, link.0, CloseReason::Unusable);
        }
    }

    /// Sends a final answer, or another message that matters on its own connection alone.
    pub fn say(&mut self, shared: &mut Shared, link: ViewerLink, bytes: &[u8]) {
        let Some(caller) = self.callers.get_mut(&link.0).filter(|c| c.takes_writes()) else { return };
        caller.put(bytes, None);
        self.write_out(shared, link.0);
    }

    /// Sends what ends a session: on its own connection, else on any, else on the next that comes. As long as
    /// its own can be written to no other is used, on which it could overtake the answer.
    pub fn release(&mut self, shared: &mut Shared, link: ViewerLink, bytes: Vec<u8>) {
        if self.release_on(shared, link.0, &bytes) {
            return;
        }
        // Only on those that are known for viewers': one that has brought nothing yet may be the front's.
        let others = self.callers.iter().filter(|(_, c)| c.viewer && c.takes_messages());
        let mut others: Vec<_> = others.map(|(t, c)| (c.stood, c.heard_at, *t)).collect();
        others.sort_unstable_by(|a, b| b.cmp(a));
        if others.into_iter().any(|other| self.release_on(shared, other.2, &bytes)) {
            return;
        }
        if self.kept.len() < RELEASES_KEPT {
            self.kept.push_back((shared.now, bytes));
        }
    }

    /// Sends what ends a session on one connection; false where that is of no use any more. Should the
    /// connection break before the message has left whole, it is sent again on another.
    fn release_on(&mut self, shared: &mut Shared, token: Token, bytes: &[u8]) -> bool {
        let Some(caller) = self.callers.get_mut(&token).filter(|c| c.takes_writes()) else { return false };
        caller.put(bytes, Some(Unsent::Release(bytes.to_vec())));
        self.write_out(shared, token);
        true
    }

    /// Writes as much as the connection takes. One that broke is closed when what came on it has been heard;
    /// from one whose client does not read, nothing more is taken until it does.
    fn write_out(&mut self, shared: &mut Shared, token: Token) {
        let Some(caller) = self.callers.get_mut(&token) else { return };
        match caller.line.write() {
            Ok(_) if caller.line.unwritten_len() <= UNWRITTEN_MOST => {}
            Ok(_) => self.stall(shared, token),
            Err(why) => {
                debug!(shared.log, "a connection from viewers broke: {why}");
                caller.reset = true;
                self.broke(shared, token);
            }
        }
    }

    /// Takes nothing more from a client for whom too much waits.
    fn stall(&mut self, shared: &mut Shared, token: Token) {
        let Some(caller) = self.callers.get_mut(&token).filter(|c| c.stalled.is_none()) else { return };
        shared.counters.overfull += 1;
        warn!(shared.log, "viewers do not read, nothing is taken from their connection";
            "connection" => token);
        caller.stalled = Some(Stall { since: shared.now, written: caller.line.written_total() });
        if caller.line.set_read_interest(false).is_err() {
            self.broke(shared, token);
        }
    }

    /// Takes messages again from a client that has read what waited for it.
    pub(super) fn resume_reading(&mut self, shared: &mut Shared, token: Token) {
        let read = |c: &Caller| c.stalled.is_some() && c.line.unwritten_len() <= UNWRITTEN_MOST;
        let Some(caller) = self.callers.get_mut(&token).filter(|c| read(c)) else { return };
        caller.stalled = None;
        if caller.line.set_read_interest(true).is_err() {
            self.broke(shared, token);
        }
    }

    /// Closes a connection whose client has read nothing for long; tells whether it did.
    pub(super) fn close_stalled(&mut self, shared: &mut Shared, token: Token) -> bool {
        let Some(caller) = self.callers.get_mut(&token) else { return false };
        let Some(stall) = &mut caller.stalled else { return false };
        let written = caller.line.written_total();
        if std::mem::replace(&mut stall.written, written) != written {
            stall.since = shared.now;
        }
        let over = stall.since.saturating_add(STALLED_US) <= shared.now;
        if over {
            warn!(shared.log, "viewers have read nothing for long, connection closed"; "connection" => token);
            self.broke(shared, token);
        }
        over
    }

    /// A connection that is of no use any more is closed when what came on it has been heard.
    fn broke(&mut self, shared: &mut Shared, token: Token) {
        let Some(caller) = self.callers.get_mut(&token) else { return };
        caller.broken = true;
        self.exchange(shared, Ready { token, readable: true, writable: false });
    }

    /// Whether something is still to be written.
    pub fn writes(&self) -> bool {
        self.callers.values().any(|c| !c.broken && c.line.unwritten_len() > 0)
    }

    /// Forgets a connection: requests that wait on it are over, and what had not left it whole is told to the
    /// core or sent elsewhere.
    pub(super) fn close(&mut self, shared: &mut Shared, token: Token, why: CloseReason) {
        let Some(caller) = self.callers.remove(&token) else { return };
        debug!(shared.log, "a connection from viewers is closed"; "connection" => token,
            "why" => ?why, "unwritten" => caller.line.unwritten_len());
        shared.inputs.push(Input::LinkLost(ViewerLink(token)));
        let unread = caller.unread(shared.now);
        for unsent in caller.into_unsent() {
            match unsent {
                Unsent::Answer(id) => shared.inputs.push(Input::Undelivered(id)),
                Unsent::Release(bytes) => self.release(shared, ViewerLink(token), bytes),
            }
        }
        // Those that never left are over by then.
        shared.inputs.extend(unread.into_iter().map(Input::Unread));
    }

    pub(super) fn deliver_kept(&mut self, shared: &mut Shared) {
        for (since, bytes) in std::mem::take(&mut self.kept) {
            if since.saturating_add(RELEASE_KEPT_US) > shared.now {
                self.release(shared, ViewerLink(0), bytes);
            } else {
                warn!(shared.log, "a release came to no client in its time";
                    "session" => viewer::session_of(&bytes));
            }
        }
    }
}
