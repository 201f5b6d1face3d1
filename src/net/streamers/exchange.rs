//! Bytes on the connections to streamers: reading, writing message by message, and how a connection ends.
use super::super::component::Ready;
use super::super::connection::ReadOutcome;
use super::super::poll::Token;
use super::super::shared::Shared;
use super::link::{Saying, Writing};
use super::{QUEUE_MOST, Streamers};
use crate::director::{Attempt, Input, UnsentReason};
use crate::interface::{LoadReport, Outcome, Standing};
use crate::platform::rtsp;
use slog::{debug, warn};
use std::io;

impl Streamers {
    /// Reads and writes a connection that is ready.
    pub(super) fn exchange(&mut self, shared: &mut Shared, Ready { token, readable, writable }: Ready) {
        let Some(link) = self.links.get_mut(&token) else { return };
        if !link.up {
            if !writable {
                return;
            }
            if let Err(why) = link.line.connect_result() {
                return self.never_up(shared, token, &why);
            }
            link.up = true;
            let streamer = link.streamer;
            link.heard_at = shared.now;
            shared.inputs.push(Input::Contact { streamer, up: true });
            if let Some(pool) = self.pools.get_mut(&streamer) {
                (pool.heard_at, pool.failing_since) = (shared.now, None);
                let words = pool.unsaid.drain(..).map(|kept| Saying::Word(kept.1, kept.2));
                words.for_each(|word| link.queue.push_back(word));
            }
        }
        if writable {
            self.writable.insert(token);
        }
        if readable {
            self.read(shared, token);
        }
    }

    /// Writes to the connections that became ready for it, once the core has heard all that came in the same
    /// turn: a set-up that waited for its connection does not go out when its viewer's close or the drain of
    /// its streamer has come meanwhile.
    pub fn flush(&mut self, shared: &mut Shared) {
        for token in std::mem::take(&mut self.writable) {
            self.pump(shared, token);
        }
    }

    /// Whether something is still to be written on a connection that is up.
    pub fn writes(&self) -> bool {
        self.links.values().any(|l| l.up && (l.line.unwritten_len() > 0 || !l.queue.is_empty()))
    }

    /// A connection that can't be written to any more. What came on it before is still heard: an answer may
    /// be among it.
    fn broke(&mut self, shared: &mut Shared, token: Token, why: &io::Error) {
        let streamer = self.links.get(&token).map(|l| l.streamer.0);
        debug!(shared.log, "connection broke: {why}"; "streamer" => streamer);
        self.read(shared, token);
        self.links.get_mut(&token).into_iter().for_each(|link| link.cut = true);
        self.down(shared, token);
    }

    pub(super) fn read(&mut self, shared: &mut Shared, token: Token) {
        let Some(link) = self.links.get_mut(&token) else { return };
        let got = link.line.read();
        let (messages, bad) = link.line.take_messages(rtsp::read);
        if !messages.is_empty() {
            link.heard_at = shared.now;
            if let Some(pool) = self.pools.get_mut(&link.streamer) {
                (pool.heard_at, pool.failing_since) = (shared.now, None);
            }
        }
        messages.into_iter().for_each(|message| link.hear(shared, message));
        if let Some(why) = bad {
            shared.counters.malformed += 1;
            let streamer = link.streamer.0;
            warn!(shared.log, "malformed message, connection closed: {why}"; "streamer" => streamer);
            (link.spoilt, link.cut) = (true, true);
            return self.down(shared, token);
        }
        match got {
            Ok(ReadOutcome::Open) => {}
            Ok(ReadOutcome::Eof) => self.down(shared, token),
            Err(why) => {
                debug!(shared.log, "connection broke: {why}"; "streamer" => link.streamer.0);
                link.cut = true;
                self.down(shared, token);
            }
        }
    }

    /// Writes what waits on a connection, message by message.
    pub(super) fn pump(&mut self, shared: &mut Shared, token: Token) {
        let Some(link) = self.links.get_mut(&token).filter(|l| l.up) else { return };
        let up = self.pools.get(&link.streamer).is_some_and(|p| p.standing == Standing::Up);
        loop {
            match link.line.write() {
                Ok(true) => {}
                Ok(false) => return,
                Err(why) => return self.broke(shared, token, &why),
            }
            match link.writing.take() {
                Some(Writing::GiveUp(attempt)) => shared.inputs.push(Input::GaveUp(attempt)),
                Some(Writing::SetUp(_)) => shared.counters.relayed += 1,
                Some(Writing::Word(..)) | None => {}
            }
            match link.queue.pop_front() {
                None => return,
                // By a leave that ran out meanwhile nothing goes out.
                Some(Saying::Word(_, Some(session))) if !shared.may_act(session) => {}
                Some(Saying::Word(bytes, acts)) => {
                    link.line.queue(&bytes);
                    link.writing = Some(Writing::Word(bytes, acts));
                }
                // What is another's is not ended from here.
                Some(Saying::GiveUp(attempt)) if !shared.may_act(attempt.session) => {
                    shared.inputs.push(Input::GaveUp(attempt));
                }
                Some(Saying::GiveUp(attempt)) => {
                    link.line.queue(&rtsp::give_up(attempt.session));
                    link.writing = Some(Writing::GiveUp(attempt));
                }
                Some(Saying::SetUp { attempt, rung, until, send_by, parcel }) => {
                    let wait_ms = until.saturating_sub(shared.now) / 1000;
                    let bytes = rtsp::set_up(attempt.session, &parcel, rung, wait_ms);
                    // All of this is looked at as the bytes go out: the set-up may have waited.
                    let in_time = wait_ms > 0 && shared.now < send_by;
                    match bytes.filter(|_| up && in_time && shared.may_act(attempt.session)) {
                        Some(bytes) => {
                            link.line.queue(&bytes);
                            link.writing = Some(Writing::SetUp(attempt));
                            link.open.insert(attempt.session, (attempt.number, true));
                        }
                        None => {
                            link.open.remove(&attempt.session);
                            shared.inputs.push(Input::Unsent(attempt, UnsentReason::Withdrawn));
                        }
                    }
                }
            }
        }
    }

    /// Ends a connection: what was out on it is over, each in the way that can be proved.
    pub(super) fn down(&mut self, shared: &mut Shared, token: Token) {
        let Some(link) = self.links.remove(&token) else { return };
        let streamer = link.streamer;
        for (session, (number, left)) in &link.open {
            let attempt = Attempt { session: *session, number: *number };
            let unsent = Input::Unsent(attempt, UnsentReason::NoConnection);
            shared.inputs.push(match *left {
                true if link.spoilt => Input::Spoilt(attempt),
                true => Input::Broken(attempt),
                false => unsent,
            });
        }
        let outcome = if link.up { Outcome::Reset } else { Outcome::ConnectError };
        for _ in &link.tests {
            shared.inputs.push(Input::Probed { streamer, outcome, report: LoadReport::default() });
        }
        if let Some(Writing::GiveUp(attempt)) = link.writing {
            shared.inputs.push(Input::GaveUp(attempt));
        }
        let Some(pool) = self.pools.get_mut(&streamer) else { return };
        pool.links.remove(&token);
        pool.cut |= link.cut;
        // One that was cut in the middle was not understood; a whole one said again does no harm.
        if let Some(Writing::Word(bytes, acts)) = link.writing {
            pool.unsaid.push_back((shared.now, bytes, acts));
        }
        for saying in link.queue {
            match saying {
                Saying::GiveUp(attempt) => shared.inputs.push(Input::GaveUp(attempt)),
                Saying::Word(bytes, acts) if pool.unsaid.len() < QUEUE_MOST => {
                    pool.unsaid.push_back((shared.now, bytes, acts));
                }
                Saying::Word(..) | Saying::SetUp { .. } => {}
            }
        }
    }
}
