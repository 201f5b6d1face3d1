//! How connections from viewers are ended in order: this side first, once all that was taken is answered and
//! written; then what the client still sends is read and dropped until it ends its own side. A socket that is
//! closed with unread bytes is reset, and a reset takes back what the client has not read yet.
use super::Viewers;
use super::caller::{CloseReason, Stage};
use crate::director::{Director, ViewerLink};
use crate::interface::Micros;
use crate::net::component::Ready;
use crate::net::poll::Token;
use crate::net::shared::{Deadline, Shared};
use slog::{debug, warn};
use std::io::ErrorKind;

/// How long a client has to end its side after this one has been ended.
const LINGER_US: Micros = 500_000;
/// A message that has begun is waited for so long on a connection that is to be ended.
const PARTIAL_US: Micros = 60_000;
/// What keeps coming on a connection at the process's end is answered for so long.
const MORE_US: Micros = 1_500_000;

impl Viewers {
    /// Reads all that waits as the grace period ends: the connections in the backlog, and what has come on
    /// each. Takes no connections afterwards.
    pub fn read_all(&mut self, shared: &mut Shared) {
        if !self.shut {
            self.accept_all(shared);
        }
        self.listener = None;
        let tokens: Vec<Token> = self.callers.keys().copied().collect();
        for token in tokens {
            self.exchange(shared, Ready { token, readable: true, writable: false });
        }
    }

    /// Takes all connections that wait, though the table be full: they are all ended soon.
    fn accept_all(&mut self, shared: &mut Shared) {
        loop {
            let Some(listener) = &self.listener else { return };
            match listener.source().accept() {
                Ok((stream, _)) => self.welcome(shared, stream),
                Err(why) if why.kind() == ErrorKind::WouldBlock => return,
                Err(why) if matches!(why.kind(), ErrorKind::ConnectionAborted | ErrorKind::Interrupted) => {}
                Err(why) => return warn!(shared.log, "connections in the backlog can't be taken: {why}"),
            }
        }
    }

    /// Begins to end all connections, since the process ends.
    pub fn close_all(&mut self, shared: &Shared) {
        let tokens: Vec<Token> = self.callers.keys().copied().collect();
        tokens.into_iter().for_each(|token| self.begin_close(shared, token, CloseReason::End));
    }

    /// Begins to end a connection, as soon as nothing on it is open or unwritten.
    pub(super) fn begin_close(&mut self, shared: &Shared, token: Token, why: CloseReason) {
        let Some(caller) = self.callers.get_mut(&token).filter(|c| c.stage == Stage::Open) else { return };
        caller.stage = Stage::Closing { why, since: shared.now };
        self.closing.insert(token);
    }

    /// Ends this side of the connections on which nothing is open or unwritten any more.
    pub fn advance_closing(&mut self, shared: &mut Shared, director: &Director) {
        let tokens: Vec<Token> = self.closing.iter().copied().collect();
        for token in tokens {
            let Some(caller) = self.callers.get(&token) else {
                self.closing.remove(&token);
                continue;
            };
            let Stage::Closing { why, since } = caller.stage else {
                self.closing.remove(&token);
                continue;
            };
            let open =
                director.requests_and_sessions_on(ViewerLink(token)).0 > 0 || caller.line.unwritten_len() > 0;
            let within = |span: Micros| since.saturating_add(span) > shared.now;
            let partial = caller.takes_messages() && within(PARTIAL_US);
            let more = why == CloseReason::End && within(MORE_US);
            if open || partial && caller.line.has_partial_message() || more && self.hears_more(shared, token)
            {
                continue;
            }
            let begun = self.callers.get(&token).is_some_and(|caller| caller.line.has_partial_message());
            if !(partial && begun) {
                self.finish(shared, token, why);
            }
        }
    }

    /// Ends this side of a connection.
    pub(super) fn finish(&mut self, shared: &mut Shared, token: Token, why: CloseReason) {
        self.closing.remove(&token);
        let Some(caller) = self.callers.get_mut(&token) else { return };
        debug!(shared.log, "this side of a connection from viewers is ended"; "connection" => token,
            "why" => ?why);
        if caller.line.shutdown_write().is_err() {
            return self.close(shared, token, why); // it has broken
        }
        let until = shared.now.saturating_add(LINGER_US);
        caller.stage = Stage::Finished { why, until };
        shared.deadlines.set(until, Deadline::ViewerConnection(token));
    }
}
