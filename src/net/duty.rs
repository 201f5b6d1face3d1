//! What the director's duty towards its clients means on the sockets: calls at the door, sending viewers
//! away, and the end. What follows from what is decided in the core (`director::Lifecycle`).
use super::poll::Token;
use super::shared::Due;
use super::{Node, estate, signals};
use crate::director::{ClientActions, CloseScope, Input, Output};
use crate::interface::{Micros, RequestId};
use crate::platform::door::Call;
use slog::{info, warn};

/// The longest deadline that the grace period counts, and how long after it a platform may kill the process,
/// both from its signal.
const GRACE_DEADLINE_MOST_US: Micros = 3_000_000;
const KILL_AFTER_DEADLINE_US: Micros = 700_000;
/// How long before the earliest kill the process has left.
const LEFT_BEFORE_KILL_US: Micros = 60_000;
/// How long clients have to end their connections after the grace period.
const CLOSING_US: Micros = 150_000;
/// How long the process stays after the grace period for clients that have not read their last answers. A
/// platform that wants it gone sooner kills it.
const LAST_WRITES_US: Micros = 1_000_000;

/// With the feature `planted` one in so many requests is read and dropped.
const PLANTED_LOSS: u64 = 64;

/// How far the process is on its way to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// Requests are served, in the grace period, too.
    Serving,
    /// The grace period ends with this turn: what is open is answered, and what was read with it refused.
    LastTurn,
    /// What still comes is refused, and connections are ended in order.
    Closing {
        /// Since when.
        since: Micros,
    },
    /// The process leaves.
    Done,
}

/// How long requests are served after the signal was noticed, for the longest deadline of a deployment. The
/// signal came up to [`signals::NOTICE`] before.
pub(super) fn grace_us(longest_deadline_us: Micros) -> Micros {
    let noticed_us = signals::NOTICE.as_micros() as Micros;
    longest_deadline_us.min(GRACE_DEADLINE_MOST_US) + KILL_AFTER_DEADLINE_US
        - (LEFT_BEFORE_KILL_US + CLOSING_US + noticed_us)
}

impl Node {
    /// Answers a call at the operators' door.
    pub(super) fn called(&mut self, token: Token, call: Call) {
        let (status, body) = match call {
            Call::Ready if self.duty.accepts_clients() => (200, "takes clients\n".to_owned()),
            Call::Ready => (503, "takes no clients\n".to_owned()),
            Call::Vars => (200, self.vars()),
            Call::LameDuck(on) => match self.duty.set_lame_duck(self.shared.now, on) {
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
        let (listed, avoided) = self.director.streamer_counts();
        self.figures.set_gauge("open_requests", self.director.open_requests());
        self.figures.set_gauge("registry_entries", listed);
        self.figures.set_gauge("out_of_rotation", avoided);
        self.figures.render()
    }

    /// Begins the end: what comes through the grace time is still answered.
    pub(super) fn leave(&mut self) {
        if !self.duty.stop(self.shared.now) {
            return;
        }
        let at = self.duty.stop_deadline().unwrap_or(self.shared.now);
        info!(self.shared.log, "asked to end"; "grace_ms" => at.saturating_sub(self.shared.now) / 1000);
        self.parts.peers.iter_mut().for_each(|peers| peers.leaving(self.shared.now));
        self.continuity_leave();
        self.shared.deadlines.set(at, Due::Quit);
        if !self.duty.accepts_connections() {
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
            Ok(left) => self.director.set_inherited_rungs(left),
            Err(why) => warn!(self.shared.log, "nothing is taken over: {why}"),
        }
    }

    fn look_at_duty(&mut self) {
        if let Some(after) = self.duty.poll_interval() {
            self.shared.wake(after, Due::Away);
        }
    }

    /// Does what the duty asks about the viewers' connections, and looks again while it may change.
    pub(super) fn send_away(&mut self) {
        if self.phase != Phase::Serving {
            return;
        }
        let ClientActions { close, expire_pending } = self.duty.poll(self.shared.now);
        if expire_pending {
            warn!(self.shared.log, "what is open is answered now, clients have to go");
            self.shared.inputs.push(Input::Hurry);
        }
        if close != CloseScope::None {
            self.parts.viewers.send_away(&mut self.shared, &self.director, close == CloseScope::All);
            self.take_in();
        }
        if self.duty.may_stop_early(self.parts.viewers.held() + self.director.pending_requests()) {
            return self.quit();
        }
        self.look_at_duty();
    }

    /// The grace period is over, or the time after it.
    pub(super) fn quit(&mut self) {
        self.phase = match self.phase {
            Phase::Serving | Phase::LastTurn => Phase::LastTurn,
            Phase::Closing { .. } | Phase::Done => Phase::Done,
        };
    }

    /// Hands a turn's inputs to the core. As the grace period ends, answers that came in the same turn still
    /// count, and requests are refused; so are those that come afterwards.
    pub(super) fn decide(&mut self, mut inputs: Vec<Input>) -> Vec<Output> {
        let now = self.shared.now;
        if cfg!(feature = "planted") {
            let dropped = |id: RequestId| id.0.is_multiple_of(PLANTED_LOSS);
            inputs.retain(|input| !matches!(input, Input::Wanted { request, .. } if dropped(request.id)));
        }
        match self.phase {
            Phase::Serving => self.director.turn(now, inputs),
            Phase::LastTurn => {
                let (late, heard): (Vec<Input>, Vec<Input>) =
                    inputs.into_iter().partition(|input| matches!(input, Input::Wanted { .. }));
                let mut deeds = self.director.turn(now, heard);
                deeds.extend(self.director.turn_after_close(late, self.leaves_sessions()));
                deeds
            }
            Phase::Closing { .. } | Phase::Done => {
                self.director.turn_after_close(inputs, self.leaves_sessions())
            }
        }
    }

    /// Whether what stands is left to another process, and not released.
    fn leaves_sessions(&self) -> bool {
        self.duty.hands_over_sessions() || self.has_successors()
    }

    /// Goes on with the end as a turn is over: answers what is open, ends the connections, and leaves when
    /// none is left or the time is up.
    pub(super) fn advance_end(&mut self) {
        if self.phase == Phase::LastTurn {
            self.close();
        }
        self.parts.viewers.advance_closing(&mut self.shared, &self.director);
        let Phase::Closing { since } = self.phase else { return };
        let over = since.saturating_add(CLOSING_US) <= self.shared.now;
        let left = self.parts.viewers.held() == 0 && !self.parts.streamers.writes();
        if left || over && !self.parts.viewers.writes() {
            self.phase = Phase::Done;
        }
    }

    /// The core closes all that is open. The process stays while answers and releases are not yet written and
    /// connections not yet ended, for a bounded time.
    fn close(&mut self) {
        self.phase = Phase::Closing { since: self.shared.now };
        if let Some(place) = &self.estate
            && let Err(why) = estate::write(place, &self.director.sessions_to_hand_over())
        {
            warn!(self.shared.log, "nothing is left to the next process: {why}");
        }
        let deeds = self.director.close(self.leaves_sessions());
        deeds.into_iter().for_each(|deed| self.carry_out(deed));
        self.parts.streamers.flush(&mut self.shared);
        self.parts.peers.iter_mut().for_each(|peers| peers.leave(&mut self.shared));
        self.parts.viewers.close_all(&self.shared);
        if self.parts.viewers.writes() || self.parts.streamers.writes() {
            info!(self.shared.log, "waits for its last messages to be written");
        }
        self.shared.wake(CLOSING_US, Due::Closing);
        self.shared.wake(LAST_WRITES_US, Due::Quit);
    }
}
