//! The director's event loop: one thread and one poller.
//!
//! Each turn collects what is ready (sockets, signals, deadlines), passes it to the core as one batch of
//! inputs, and executes the outputs that the core returns. The loop makes no decisions of its own.
mod admin;
mod agreed;
mod clock;
mod component;
mod components;
mod connection;
mod discovery;
mod error;
mod estate;
mod hand;
mod lifecycle;
mod lives;
pub mod logging;
mod messages;
mod narrowed;
mod peers;
mod poll;
mod read_buffer;
mod reload;
mod shared;
mod signals;
mod startup;
mod store;
mod streamers;
mod succession;
mod trace;
mod viewers;

use crate::director::{Counters, Director, Input, Lifecycle, MetricsRegistry, Output, SessionEnd};
use crate::interface::Micros;
use crate::platform::viewer;
use crate::settings::{NameRegistry, RawSettings, TransportSettings};
use agreed::Agreed;
pub use agreed::{LogSeen, Request, Told};
use clock::Clock;
use component::Ready;
use components::Components;
pub use error::NodeError;
use lifecycle::ShutdownPhase;
use shared::{Deadline, Event, Shared};
use signals::SignalRequest;
pub use signals::Signals;
use slog::{info, trace};
pub use startup::{read_operator_file, settings_digest};
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;
use stonewharf_halls::SharedHalls;
use streamers::ControlMessage;

/// Rounds of core and transport processing in one turn. Inputs that remain are processed in the next turn.
const MAX_ROUNDS_PER_TURN: usize = 16;

/// One director with its sockets.
pub struct Node {
    clock: Clock,
    director: Director,
    names: NameRegistry,
    transport: TransportSettings,
    shared: Shared,
    signals: Signals,
    components: Components,
    /// The replicated log that the fleet agrees on, if enabled.
    agreement: Option<Agreed>,
    /// The configuration file, if the configuration was read from one.
    config_file: Option<PathBuf>,
    name: String,
    /// The settings in force, to detect changes at a reload.
    raw_settings: RawSettings,
    /// The operator file and the hall limits that it configures, if one is used.
    operator: Option<(PathBuf, SharedHalls)>,
    stop_requested: bool,
    lifecycle: Lifecycle,
    metrics: MetricsRegistry,
    /// File through which a process of this director tells its successor of its sessions, if the platform
    /// replaces processes.
    handover_file: Option<PathBuf>,
    /// When the predecessor's handover file was last looked for.
    estate_checked_at: Option<Micros>,
    /// When to stop looking for it.
    estate_poll_ends_at: Micros,
    phase: ShutdownPhase,
    /// Whether inputs and outputs are logged at the level `trace`.
    tracing: bool,
}

impl Node {
    /// Returns the address on which viewers connect.
    pub fn local_addr(&self) -> io::Result<SocketAddr> {
        self.components.viewers.address()
    }

    /// Returns the counters of the core and the transport.
    pub fn counters(&self) -> &Counters {
        &self.shared.counters
    }

    /// Enables or disables logging of every input to the core and every output from it, except updates of the
    /// streamer list and the core's own timers.
    ///
    /// Each costs one line, so this is meant for following a single request by its id and not for permanent
    /// use.
    pub fn set_tracing(&mut self, on: bool) {
        self.tracing = on;
    }

    /// Serves until SIGTERM and through the grace period after it.
    pub fn run(&mut self) -> Result<(), NodeError> {
        info!(self.shared.log, "serves"; "at" => %self.local_addr()?);
        while self.phase != ShutdownPhase::Done {
            self.turn(None)?;
        }
        info!(self.shared.log, "ended"; "counters" => %self.counters());
        Ok(())
    }

    /// Runs one turn of the loop. Waits until there is something to do, but for at most `max_wait`.
    pub fn turn(&mut self, max_wait: Option<Duration>) -> Result<(), NodeError> {
        let next = self.shared.deadlines.next_due();
        let until_deadline = next.map(|at| Duration::from_micros(at.saturating_sub(self.clock.now())));
        let pending = !self.shared.inputs.is_empty() || !self.shared.events.is_empty();
        let until_events = pending.then_some(Duration::ZERO);
        let wait = [max_wait, until_deadline, until_events, Some(signals::MAX_SIGNAL_LATENCY)]
            .into_iter()
            .flatten()
            .min();
        let ready = self.shared.poll.wait(wait)?;
        self.shared.now = self.clock.now();
        let requests: Vec<SignalRequest> = self.signals.take_pending().collect();
        requests.into_iter().for_each(|request| self.handle_signal(request));
        for (token, readable, writable) in ready {
            self.components.on_ready(&mut self.shared, &self.director, Ready { token, readable, writable });
            self.process_events();
        }
        while let Some(deadline) = self.shared.deadlines.pop_due(self.shared.now) {
            self.on_deadline(deadline);
        }
        if self.phase == ShutdownPhase::FinalTurn {
            self.components.viewers.read_all(&mut self.shared);
        }
        for _ in 0..MAX_ROUNDS_PER_TURN {
            self.process_events();
            if self.shared.inputs.is_empty() {
                self.components.streamers.flush(&mut self.shared);
            }
            if self.shared.inputs.is_empty() {
                self.components.viewers.record_processed();
                break;
            }
            let mut inputs = std::mem::take(&mut self.shared.inputs);
            self.continuity_inputs(&mut inputs);
            for input in inputs.iter().filter(|_| self.tracing).filter_map(trace::describe_input) {
                trace!(self.shared.log, "in"; "input" => input);
            }
            self.log_lost_requests(&inputs);
            let outputs = self.run_core(inputs);
            self.components.viewers.record_processed();
            for output in outputs.iter().filter(|_| self.tracing).filter_map(trace::describe_output) {
                trace!(self.shared.log, "out"; "deed" => output);
            }
            self.continuity_send();
            outputs.into_iter().for_each(|output| self.execute(output));
        }
        self.components.streamers.flush(&mut self.shared);
        self.components.on_turn_end(&mut self.shared);
        if let (Some(agreement), Some(peers)) = (&mut self.agreement, &mut self.components.peers)
            && agreement.turned(&mut self.shared, peers).is_some()
        {
            self.begin_shutdown();
        }
        self.continuity_actions();
        self.advance_shutdown();
        Ok(())
    }

    /// Processes the events that the components have queued.
    fn process_events(&mut self) {
        for event in std::mem::take(&mut self.shared.events) {
            match event {
                Event::ViewerMessage(link, message) => self.handle_viewer_message(link, message),
                Event::ViewerClosed(token) => {
                    self.components.viewers.handle_peer_close(&mut self.shared, token)
                }
                Event::Discovery(update) => self.handle_discovery_event(&update, false),
                Event::AdminRequest(token, request) => self.handle_admin_request(token, request),
            }
        }
    }

    fn handle_signal(&mut self, request: SignalRequest) {
        match request {
            SignalRequest::LogCounters => {
                info!(self.shared.log, "counters"; "counters" => %self.counters());
            }
            SignalRequest::Stop => self.request_stop(),
            SignalRequest::Reload => self.reload(),
        }
    }

    /// Handles a request to stop: begins the shutdown at once, or, if the fleet grants permits for it,
    /// requests a permit first. A second request does not wait for a permit.
    fn request_stop(&mut self) {
        let waits_for_permit =
            self.agreement.as_mut().is_some_and(|agreement| agreement.told_to_end(&self.shared));
        if waits_for_permit && !std::mem::replace(&mut self.stop_requested, true) {
            return info!(self.shared.log, "asked to end; requests a permit"; "at_us" => self.shared.now);
        }
        self.begin_shutdown();
    }

    fn on_deadline(&mut self, deadline: Deadline) {
        match deadline {
            Deadline::Agreement | Deadline::Closing => {} // handled at the end of the turn
            Deadline::Core(due) => self.shared.inputs.push(Input::Due(due)),
            Deadline::LifecyclePoll => self.poll_lifecycle(),
            Deadline::EstatePoll => self.poll_estate(),
            Deadline::PhaseEnd => self.end_phase(),
            deadline => self.components.on_deadline(&mut self.shared, &self.director, deadline),
        }
    }

    fn execute(&mut self, output: Output) {
        let shared = &mut self.shared;
        match output {
            Output::Answer(link, id, description) => match viewer::answer(id, &description) {
                Some(bytes) => self.components.viewers.send_answer(shared, link, id, &bytes),
                None => {
                    self.components.viewers.send(shared, link, &viewer::release(id, viewer::CAUSE_FAILED));
                    shared.inputs.push(Input::Undelivered(id));
                }
            },
            Output::Refuse(link, id, hold_off_us) => {
                self.components.viewers.send(shared, link, &viewer::refusal(id, hold_off_us / 1000));
            }
            Output::Fail(link, id) => {
                self.components.viewers.send(shared, link, &viewer::release(id, viewer::CAUSE_FAILED));
            }
            Output::Spurn(link, id) => self.components.viewers.reject_unusable(shared, link, id),
            Output::Release(link, id, why) => {
                let cause = if why == SessionEnd::Ended { viewer::CAUSE_ENDED } else { viewer::CAUSE_FAILED };
                self.components.viewers.send_release(shared, link, viewer::release(id, cause));
            }
            Output::MoveOff(link, id) => {
                self.components.viewers.send_release(shared, link, viewer::move_off(id))
            }
            Output::SetUp(set_up) => self.components.streamers.send_set_up(shared, set_up),
            Output::GiveUp(streamer, attempt) => {
                self.components.streamers.cancel_attempt(shared, streamer, attempt)
            }
            Output::Drop(streamer, id) => {
                self.components.streamers.send_control(shared, streamer, ControlMessage::Release(id))
            }
            Output::Rung(streamer, id, rung) => {
                self.components.streamers.send_control(shared, streamer, ControlMessage::SetRung(id, rung));
            }
            Output::Probe(streamer) => self.components.streamers.probe(shared, streamer),
            Output::Attend(streamer) => self.components.streamers.ensure_connected(shared, streamer),
            Output::Forget(streamer) => self.names.streamers.remove(streamer.0),
            Output::Wake(at, due) => shared.deadlines.set(at, Deadline::Core(due)),
            Output::Log(words) => info!(shared.log, "{words}"),
        }
    }
}
