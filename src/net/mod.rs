//! The loop: one thread, one poller. Each turn gathers what is ready, hands it to the core in one go, and
//! carries out what came back. It decides nothing.
mod agreed;
mod begin;
mod bulletin;
mod clock;
mod door;
mod duty;
mod error;
mod estate;
mod hand;
mod hear;
mod line;
mod lives;
pub mod logging;
mod narrowed;
mod part;
mod parts;
mod peers;
mod poll;
mod reload;
mod shared;
mod signals;
mod store;
mod streamers;
mod trace;
mod viewers;

use crate::director::{Counters, Director, Input, Lifecycle, MetricsRegistry, Output, SessionEnd};
use crate::platform::{rtsp, viewer};
use crate::settings::{NameRegistry, RawSettings, TransportSettings};
use agreed::Agreed;
pub use agreed::{LogSeen, Request, Told};
pub use begin::{digest, operator};
use clock::Clock;
use duty::Phase;
pub use error::NodeError;
use part::Ready;
use parts::Parts;
use shared::{Due, Heard, Shared};
use signals::Asked;
pub use signals::Signals;
use slog::{info, trace};
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;
use stonewharf_halls::SharedHalls;

/// Rounds of core and transport in one turn; what is left then is taken up in the next.
const ROUNDS: usize = 16;

/// One director on its sockets.
pub struct Node {
    clock: Clock,
    director: Director,
    names: NameRegistry,
    transport: TransportSettings,
    shared: Shared,
    signals: Signals,
    parts: Parts,
    /// What the fleet agrees on, where it does.
    agreed: Option<Agreed>,
    /// The configuration's file, where it came from one, and what is in force of it.
    file: Option<PathBuf>,
    name: String,
    info: RawSettings,
    /// The operator file and what it set, where one is used.
    operator: Option<(PathBuf, SharedHalls)>,
    told_to_end: bool,
    duty: Lifecycle,
    figures: MetricsRegistry,
    /// Where processes of this director leave what stands to the next one, where the platform replaces them.
    estate: Option<PathBuf>,
    /// What the one before left has been taken over.
    inherited: bool,
    phase: Phase,
    /// Whether every input and deed is logged, at the level `trace`.
    tracing: bool,
}

impl Node {
    /// Where it listens.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.parts.viewers.address()
    }

    /// What has been counted so far, by the core and by the transport.
    pub fn counters(&self) -> &Counters {
        &self.shared.counters
    }

    /// Logs every input to the core and every deed out of it, but the list's news and the core's own timers.
    /// Costs a line for each: for following one request by its id, not for a long day.
    pub fn trace(&mut self, on: bool) {
        self.tracing = on;
    }

    /// Serves until SIGTERM and the grace time after it.
    pub fn run(&mut self) -> Result<(), NodeError> {
        info!(self.shared.log, "serves"; "at" => %self.address()?);
        while self.phase != Phase::Done {
            self.turn(None)?;
        }
        info!(self.shared.log, "ended"; "counters" => %self.counters());
        Ok(())
    }

    /// One turn of the loop; waits for something to do, at most as long as said.
    pub fn turn(&mut self, most: Option<Duration>) -> Result<(), NodeError> {
        let next = self.shared.deadlines.next_due();
        let until = next.map(|at| Duration::from_micros(at.saturating_sub(self.clock.now())));
        let heard = !self.shared.inputs.is_empty() || !self.shared.heard.is_empty();
        let left_over = heard.then_some(Duration::ZERO);
        let wait = [most, until, left_over, Some(signals::NOTICE)].into_iter().flatten().min();
        let ready = self.shared.poll.wait(wait)?;
        self.shared.now = self.clock.now();
        let asked: Vec<Asked> = self.signals.asked().collect();
        asked.into_iter().for_each(|asked| self.asked(asked));
        for (token, readable, writable) in ready {
            self.parts.ready(&mut self.shared, &self.director, Ready { token, readable, writable });
            self.take_in();
        }
        while let Some(due) = self.shared.deadlines.pop_due(self.shared.now) {
            self.due(due);
        }
        if self.phase == Phase::LastTurn {
            self.parts.viewers.read_all(&mut self.shared);
        }
        for _ in 0..ROUNDS {
            self.take_in();
            if self.shared.inputs.is_empty() {
                self.parts.streamers.flush(&mut self.shared);
            }
            if self.shared.inputs.is_empty() {
                break;
            }
            let mut inputs = std::mem::take(&mut self.shared.inputs);
            self.continuity_inputs(&mut inputs);
            for input in inputs.iter().filter(|_| self.tracing).filter_map(trace::input) {
                trace!(self.shared.log, "in"; "input" => input);
            }
            self.log_lost_requests(&inputs);
            let deeds = self.decide(inputs);
            for deed in deeds.iter().filter(|_| self.tracing).filter_map(trace::deed) {
                trace!(self.shared.log, "out"; "deed" => deed);
            }
            self.continuity_send();
            deeds.into_iter().for_each(|deed| self.carry_out(deed));
        }
        self.parts.streamers.flush(&mut self.shared);
        self.parts.turned(&mut self.shared);
        if let (Some(agreed), Some(peers)) = (&mut self.agreed, &mut self.parts.peers)
            && agreed.turned(&mut self.shared, peers).is_some()
        {
            self.leave();
        }
        self.continuity_actions();
        self.advance_end();
        Ok(())
    }

    /// Takes in what the parts have heard.
    fn take_in(&mut self) {
        for heard in std::mem::take(&mut self.shared.heard) {
            match heard {
                Heard::Viewer(link, message) => self.heard_viewer(link, message),
                Heard::Closed(token) => self.parts.viewers.ended(&mut self.shared, token),
                Heard::Notice(notice) => self.notice(&notice, false),
                Heard::Call(token, call) => self.called(token, call),
            }
        }
    }

    fn asked(&mut self, asked: Asked) {
        match asked {
            Asked::Counters => {
                info!(self.shared.log, "counters"; "counters" => %self.counters());
            }
            Asked::End => self.end(),
            Asked::Reload => self.reload(),
        }
    }

    /// It was told to end: at once, or when it has a permit, where the fleet agrees on those. Told a second
    /// time it waits for none.
    fn end(&mut self) {
        let waits = self.agreed.as_mut().is_some_and(|agreed| agreed.told_to_end(&self.shared));
        if waits && !std::mem::replace(&mut self.told_to_end, true) {
            return info!(self.shared.log, "asked to end, asks for a permit"; "at_us" => self.shared.now);
        }
        self.leave();
    }

    fn due(&mut self, due: Due) {
        match due {
            Due::Agreed | Due::Closing => {} // looked at as the turn ends
            Due::Core(due) => self.shared.inputs.push(Input::Due(due)),
            Due::Away => self.send_away(),
            Due::Quit => self.quit(),
            due => self.parts.due(&mut self.shared, &self.director, due),
        }
    }

    fn carry_out(&mut self, deed: Output) {
        let shared = &mut self.shared;
        match deed {
            Output::Answer(link, id, description) => match viewer::answer(id, &description) {
                Some(bytes) => self.parts.viewers.stands(shared, link, id, &bytes),
                None => {
                    self.parts.viewers.say(shared, link, &viewer::release(id, viewer::CAUSE_FAILED));
                    shared.inputs.push(Input::Undelivered(id));
                }
            },
            Output::Refuse(link, id, hold_off_us) => {
                self.parts.viewers.say(shared, link, &viewer::refusal(id, hold_off_us / 1000));
            }
            Output::Fail(link, id) => {
                self.parts.viewers.say(shared, link, &viewer::release(id, viewer::CAUSE_FAILED));
            }
            Output::Spurn(link, id) => self.parts.viewers.spurn(shared, link, id),
            Output::Release(link, id, why) => {
                let cause = if why == SessionEnd::Ended { viewer::CAUSE_ENDED } else { viewer::CAUSE_FAILED };
                self.parts.viewers.release(shared, link, viewer::release(id, cause));
            }
            Output::MoveOff(link, id) => self.parts.viewers.release(shared, link, viewer::move_off(id)),
            Output::SetUp(set_up) => self.parts.streamers.set_up(shared, set_up),
            Output::GiveUp(streamer, attempt) => self.parts.streamers.give_up(shared, streamer, attempt),
            Output::Drop(streamer, id) => {
                self.parts.streamers.word(shared, streamer, rtsp::release(id), Some(id))
            }
            Output::Rung(streamer, id, rung) => {
                self.parts.streamers.word(shared, streamer, rtsp::rung(id, rung), Some(id));
            }
            Output::Probe(streamer) => self.parts.streamers.probe(shared, streamer),
            Output::Attend(streamer) => self.parts.streamers.attend(shared, streamer),
            Output::Wake(at, due) => shared.deadlines.set(at, Due::Core(due)),
            Output::Log(words) => info!(shared.log, "{words}"),
        }
    }
}
