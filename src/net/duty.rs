//! What the director's duty towards its clients means on the sockets: calls at the door, sending viewers
//! away, and the end. What follows from what is decided in the core (`director::Duty`).
use super::poll::Token;
use super::shared::Due;
use super::{Node, estate};
use crate::director::{Close, Input, Leave};
use crate::interface::Micros;
use crate::platform::door::Call;
use slog::{info, warn};

/// How long the process stays at its end for messages that could not be written at once. A platform that
/// wants it gone sooner kills it.
const LAST_WRITES_US: Micros = 1_000_000;

impl Node {
    /// Answers a call at the operators' door.
    pub(super) fn called(&mut self, token: Token, call: Call) {
        let (status, body) = match call {
            Call::Ready if self.duty.takes_clients() => (200, "takes clients\n".to_owned()),
            Call::Ready => (503, "takes no clients\n".to_owned()),
            Call::Vars => (200, self.vars()),
            Call::LameDuck(on) => match self.duty.lame(self.shared.now, on) {
                Ok(()) => {
                    info!(self.shared.log, "{}", if on { "sends clients away" } else { "takes clients" });
                    self.look_at_duty();
                    (200, "done\n".to_owned())
                }
                Err(why) => (409, format!("{why}\n")),
            },
        };
        if let Some(door) = &mut self.parts.door {
            door.answer(&mut self.shared, token, status, &body);
        }
    }

    /// The figures as they are now.
    fn vars(&self) -> String {
        let (listed, avoided) = self.director.listed();
        self.figures.level("open_requests", self.director.open());
        self.figures.level("registry_entries", listed);
        self.figures.level("out_of_rotation", avoided);
        self.figures.text()
    }

    /// Begins the end: what comes through the grace time is still answered.
    pub(super) fn leave(&mut self) {
        if !self.duty.end(self.shared.now) {
            return;
        }
        let at = self.duty.ends_at().unwrap_or(self.shared.now);
        info!(self.shared.log, "asked to end"; "grace_ms" => at.saturating_sub(self.shared.now) / 1000);
        self.parts.peers.iter_mut().for_each(|peers| peers.leaving(self.shared.now));
        self.estate_leaves();
        self.shared.deadlines.set(at, Due::Quit);
        if !self.duty.listens() {
            self.parts.viewers.shut(&self.shared);
        }
        self.look_at_duty();
    }

    /// Takes over what the process before this one left, before the first of its sessions is handed over.
    pub(super) fn inherit(&mut self) {
        let Some(place) = self.estate.as_ref().filter(|_| !std::mem::replace(&mut self.inherited, true))
        else {
            return;
        };
        match estate::take(place) {
            Ok(left) => self.director.inherit(left),
            Err(why) => warn!(self.shared.log, "nothing is taken over: {why}"),
        }
    }

    fn look_at_duty(&mut self) {
        if let Some(after) = self.duty.look_after() {
            self.shared.wake(after, Due::Away);
        }
    }

    /// Does what the duty asks about the viewers' connections, and looks again while it may change.
    pub(super) fn send_away(&mut self) {
        if self.closed {
            return;
        }
        let Leave { close, hurry } = self.duty.leave(self.shared.now);
        if hurry {
            warn!(self.shared.log, "what is open is answered now, clients have to go");
            self.shared.inputs.push(Input::Hurry);
        }
        if close != Close::None {
            self.parts.viewers.send_away(&mut self.shared, &self.director, close == Close::All);
            self.take_in();
        }
        if self.duty.done(self.parts.viewers.held() + self.director.owed()) {
            return self.quit();
        }
        self.look_at_duty();
    }

    /// The end: the core closes all that is open. The process stays while answers and releases are not yet
    /// written, for a bounded time.
    pub(super) fn quit(&mut self) {
        if std::mem::replace(&mut self.closed, true) {
            self.done = true;
            return;
        }
        if let Some(place) = &self.estate
            && let Err(why) = estate::leave(place, &self.director.estate())
        {
            warn!(self.shared.log, "nothing is left to the next process: {why}");
        }
        let deeds = self.director.close(self.duty.bequeaths() || self.has_heirs());
        deeds.into_iter().for_each(|deed| self.carry_out(deed));
        self.parts.peers.iter_mut().for_each(|peers| peers.leave(&mut self.shared));
        self.parts.viewers.shut(&self.shared);
        if self.parts.viewers.writes() || self.parts.streamers.writes() {
            info!(self.shared.log, "waits for its last messages to be written");
        }
        self.shared.wake(LAST_WRITES_US, Due::Quit);
    }
}
