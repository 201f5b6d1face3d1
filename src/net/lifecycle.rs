//! Applies the director's lifecycle to its sockets: admin requests, closing viewer connections, and shutdown.
//!
//! The lifecycle itself is decided in the core (`director::Lifecycle`).
use super::poll::Token;
use super::shared::Deadline;
use super::viewers::CloseReason;
use super::{Node, signals};
use crate::director::{ClientActions, CloseScope, Input, Output};
use crate::interface::{Micros, RequestId};
use crate::platform::admin::AdminRequest;
use slog::{info, warn};

/// Longest request deadline that the grace period allows for. It counts from the signal.
const MAX_GRACE_DEADLINE_US: Micros = 3_000_000;
/// How long after that deadline the platform may kill the process.
const KILL_AFTER_DEADLINE_US: Micros = 700_000;
/// How long before the earliest kill the process has exited.
const EXIT_MARGIN_US: Micros = 60_000;
/// How long clients have to close their connections after the grace period.
const CLOSE_TIMEOUT_US: Micros = 150_000;
/// How long the process stays after the grace period for clients that have not read their last answers. If
/// the platform needs it to exit sooner, it kills the process.
const LAST_WRITES_TIMEOUT_US: Micros = 1_000_000;

/// With the feature `planted`, one request in this many is read and dropped; tests must find the loss.
const PLANTED_LOSS_INTERVAL: u64 = 64;

/// Progress of the shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ShutdownPhase {
    /// Requests are served. This includes the grace period.
    Serving,
    /// The grace period ends with this turn: pending requests are answered, and requests read in it are
    /// refused.
    FinalTurn,
    /// Requests that still arrive are refused, and connections are shut down gracefully.
    Closing {
        /// When this phase began.
        since: Micros,
    },
    /// The process exits.
    Done,
}

/// Returns how long requests are served after the stop signal was noticed, for the longest deadline of a
/// deployment. The signal may have arrived up to [`signals::MAX_SIGNAL_LATENCY`] earlier.
pub(super) fn grace_period_us(longest_deadline_us: Micros) -> Micros {
    let latency_us = signals::MAX_SIGNAL_LATENCY.as_micros() as Micros;
    longest_deadline_us.min(MAX_GRACE_DEADLINE_US) + KILL_AFTER_DEADLINE_US
        - (EXIT_MARGIN_US + CLOSE_TIMEOUT_US + latency_us)
}

impl Node {
    /// Answers a request at the admin interface.
    pub(super) fn handle_admin_request(&mut self, token: Token, request: AdminRequest) {
        let (status, body) = match request {
            AdminRequest::Ready if self.lifecycle.accepts_clients() => (200, "takes clients\n".to_owned()),
            AdminRequest::Ready => (503, "takes no clients\n".to_owned()),
            AdminRequest::Vars => (200, self.render_metrics()),
            AdminRequest::LameDuck(on) => match self.lifecycle.set_lame_duck(self.shared.now, on) {
                Ok(()) => {
                    info!(
                        self.shared.log,
                        "{}",
                        if on { "enters the lame-duck state" } else { "leaves the lame-duck state" }
                    );
                    self.schedule_lifecycle_poll();
                    (200, "done\n".to_owned())
                }
                Err(why) => (409, format!("{why}\n")),
            },
        };
        if let Some(admin) = &mut self.components.admin {
            admin.respond(&mut self.shared, token, status, &body);
        }
    }

    /// Returns the current metrics as text.
    fn render_metrics(&self) -> String {
        let (listed, out_of_rotation) = self.director.streamer_counts();
        self.metrics.set_gauge("open_requests", self.director.open_requests());
        self.metrics.set_gauge("registry_entries", listed);
        self.metrics.set_gauge("out_of_rotation", out_of_rotation);
        self.metrics.render()
    }

    /// Begins the shutdown. Requests that arrive during the grace period are still answered.
    pub(super) fn begin_shutdown(&mut self) {
        if !self.lifecycle.stop(self.shared.now) {
            return;
        }
        let deadline = self.lifecycle.stop_deadline().unwrap_or(self.shared.now);
        info!(self.shared.log, "asked to end"; "grace_ms" => deadline.saturating_sub(self.shared.now) / 1000);
        self.components.peers.iter_mut().for_each(|peers| peers.leaving(self.shared.now));
        self.continuity_leave();
        self.shared.deadlines.set(deadline, Deadline::PhaseEnd);
        if !self.lifecycle.accepts_connections() {
            self.components.viewers.stop_accepting(&self.shared);
        }
        self.schedule_lifecycle_poll();
    }

    /// Schedules the next lifecycle poll, if the state may change with time.
    fn schedule_lifecycle_poll(&mut self) {
        if let Some(after) = self.lifecycle.poll_interval() {
            self.shared.schedule(after, Deadline::LifecyclePoll);
        }
    }

    /// Closes the viewer connections that the lifecycle tells to close, and schedules the next poll while the
    /// state may change.
    pub(super) fn poll_lifecycle(&mut self) {
        if self.phase != ShutdownPhase::Serving {
            return;
        }
        let ClientActions { close, expire_pending } = self.lifecycle.poll(self.shared.now);
        if expire_pending {
            warn!(self.shared.log, "pending requests are answered now, since clients have to disconnect");
            self.shared.inputs.push(Input::Hurry);
            // At the end of this turn no request is open on any of them. The next poll may find new ones.
            self.components.viewers.close_all(&self.shared, CloseReason::Drain);
        }
        if close != CloseScope::None {
            self.components.viewers.close_idle_connections(
                &mut self.shared,
                &self.director,
                close == CloseScope::All,
            );
            self.process_events();
        }
        if self
            .lifecycle
            .may_stop_early(self.components.viewers.connection_count() + self.director.pending_requests())
        {
            return self.end_phase();
        }
        self.schedule_lifecycle_poll();
    }

    /// Advances to the next phase, since the grace period or the time for the last messages has ended.
    pub(super) fn end_phase(&mut self) {
        self.phase = match self.phase {
            ShutdownPhase::Serving | ShutdownPhase::FinalTurn => ShutdownPhase::FinalTurn,
            ShutdownPhase::Closing { .. } | ShutdownPhase::Done => ShutdownPhase::Done,
        };
    }

    /// Passes a turn's inputs to the core. In the turn that ends the grace period, streamers' answers still
    /// count and requests are refused. Requests that arrive later are refused as well.
    pub(super) fn run_core(&mut self, mut inputs: Vec<Input>) -> Vec<Output> {
        let now = self.shared.now;
        if cfg!(feature = "planted") {
            let dropped = |id: RequestId| id.0.is_multiple_of(PLANTED_LOSS_INTERVAL);
            inputs.retain(|input| !matches!(input, Input::Wanted { request, .. } if dropped(request.id)));
        }
        match self.phase {
            ShutdownPhase::Serving => self.director.turn(now, inputs),
            ShutdownPhase::FinalTurn => {
                let (requests, others): (Vec<Input>, Vec<Input>) =
                    inputs.into_iter().partition(|input| matches!(input, Input::Wanted { .. }));
                let mut outputs = self.director.turn(now, others);
                outputs.extend(self.director.turn_after_close(now, requests, self.hands_over_sessions()));
                outputs
            }
            ShutdownPhase::Closing { .. } | ShutdownPhase::Done => {
                self.director.turn_after_close(now, inputs, self.hands_over_sessions())
            }
        }
    }

    /// Returns whether established sessions are left to another process instead of being released.
    fn hands_over_sessions(&self) -> bool {
        self.lifecycle.hands_over_sessions() || self.has_successors()
    }

    /// Advances the shutdown at the end of a turn: answers pending requests, shuts down connections, and
    /// finishes once none is left or the time limit has passed.
    pub(super) fn advance_shutdown(&mut self) {
        if self.phase == ShutdownPhase::FinalTurn {
            self.close_sessions();
        }
        self.components.viewers.advance_closing(&mut self.shared, &self.director);
        let ShutdownPhase::Closing { since } = self.phase else { return };
        let timed_out = since.saturating_add(CLOSE_TIMEOUT_US) <= self.shared.now;
        let finished =
            self.components.viewers.connection_count() == 0 && !self.components.streamers.has_unwritten();
        if finished || timed_out && !self.components.viewers.has_pending_writes() {
            self.phase = ShutdownPhase::Done;
        }
        if self.phase == ShutdownPhase::Done {
            let unsent_ends = self.components.viewers.take_unsent_releases(&self.shared);
            self.write_estate(unsent_ends);
        }
    }

    /// Closes all requests and sessions in the core. The process stays for a bounded time until answers and
    /// releases are written and connections are closed.
    fn close_sessions(&mut self) {
        self.phase = ShutdownPhase::Closing { since: self.shared.now };
        let outputs = self.director.close(self.hands_over_sessions());
        outputs.into_iter().for_each(|output| self.execute(output));
        self.components.streamers.flush(&mut self.shared);
        self.write_estate(Vec::new()); // in case the platform kills the process before its end
        self.components.peers.iter_mut().for_each(|peers| peers.leave(&mut self.shared));
        self.components.viewers.close_all(&self.shared, CloseReason::End);
        if self.components.viewers.has_pending_writes() || self.components.streamers.has_unwritten() {
            info!(self.shared.log, "waits for its last messages to be written");
        }
        self.shared.schedule(CLOSE_TIMEOUT_US, Deadline::Closing);
        self.shared.schedule(LAST_WRITES_TIMEOUT_US, Deadline::PhaseEnd);
    }
}
