//! The core of a director: the decision module and the session ledger around it.
//!
//! The core does no I/O and reads no clock, so that the transport of any platform can drive it.
mod counters;
mod deadlines;
mod ledger;
mod lifecycle;
mod messages;
mod metrics;

pub use self::metrics::{Counter, MetricsRegistry};
pub use counters::{ClassOutcomes, Counters};
pub use deadlines::Deadlines;
pub use lifecycle::{ClientActions, CloseScope, Lifecycle, LifecycleError, LifecycleState};
pub use messages::*;

use crate::interface::*;
use crate::limits::PlacementLimits;
use crate::rules::Controller;
use ledger::{Ledger, Outbox};

/// The core of one director.
pub struct Director {
    controller: Controller,
    ledger: Ledger,
    outbox: Outbox,
}

impl Director {
    /// Creates a director without sessions. `seed` initialises the decision module's random numbers.
    pub fn new(settings: Settings, seed: u64, now: Micros) -> Result<Self, SettingsError> {
        let ledger = Ledger::new(&settings);
        let counters = Counters {
            operations: settings.classes.iter().map(|_| ClassOutcomes::default()).collect(),
            ..Counters::default()
        };
        let outbox = Outbox { counters, ..Outbox::default() };
        Ok(Director { controller: Controller::new(settings, seed, now)?, ledger, outbox })
    }

    /// Adds limits that a subsystem places on the decisions. To be called before the first turn.
    pub fn with_limits(self, limits: Box<dyn PlacementLimits>) -> Self {
        Director { controller: self.controller.with_limits(limits), ..self }
    }

    /// Replaces the counters. To be called before the first turn.
    pub fn with_counters(mut self, counters: Counters) -> Self {
        self.outbox.counters = counters;
        self
    }

    /// Runs one turn: records all inputs in the ledger, passes the resulting events to the decision module
    /// as one batch, and returns the operations to carry out.
    pub fn turn(&mut self, now: Micros, inputs: impl IntoIterator<Item = Input>) -> Vec<Output> {
        for input in inputs {
            self.ledger.handle_input(now, input, &mut self.outbox);
        }
        // A second pass happens only if an action concerned a request that no longer exists: the module is
        // then told that the action was ignored.
        while !self.outbox.events.is_empty() {
            let mut actions = Vec::new();
            for event in std::mem::take(&mut self.outbox.events) {
                self.controller.handle(now, event, &mut actions);
            }
            for action in actions {
                self.ledger.apply_action(now, action, &mut self.outbox);
            }
        }
        std::mem::take(&mut self.outbox.outputs)
    }

    /// Ends all requests and sessions at shutdown. With `hand_over`, established sessions keep playing
    /// because a successor process takes them over.
    pub fn close(&mut self, hand_over: bool) -> Vec<Output> {
        self.ledger.close(hand_over, &mut self.outbox);
        self.outbox.events.clear();
        std::mem::take(&mut self.outbox.outputs)
    }

    /// Runs one turn after [`Director::close`]: requests are refused at once, and nothing new is started.
    pub fn turn_after_close(&mut self, now: Micros, inputs: Vec<Input>, hand_over: bool) -> Vec<Output> {
        for input in inputs {
            self.ledger.handle_input_after_close(now, input, hand_over, &mut self.outbox);
        }
        self.outbox.events.clear();
        std::mem::take(&mut self.outbox.outputs)
    }

    /// Returns what the successor process has to know, also after [`Director::close`].
    pub fn handover(&mut self, now: Micros) -> Handover {
        self.ledger.handover(now, &self.outbox)
    }

    /// Stores the rungs of sessions that are taken over. They apply once the sessions are handed over.
    pub fn set_inherited_rungs(&mut self, rungs: Vec<(RequestId, usize)>) {
        self.ledger.restore_rungs(rungs);
    }

    /// Returns whether the ledger knows a session: a pending request or an established session.
    pub fn holds(&self, session: RequestId) -> bool {
        self.ledger.contains(session)
    }

    /// Returns the number of established sessions at a streamer.
    pub fn sessions_at(&self, streamer: StreamerId) -> usize {
        self.ledger.established_at(streamer)
    }

    /// Returns the number of unanswered requests on a connection and of established sessions requested on it.
    pub fn requests_and_sessions_on(&self, link: ViewerLink) -> (usize, usize) {
        self.ledger.counts_on_link(link)
    }

    /// Returns the number of requests without a final answer.
    pub fn pending_requests(&self) -> usize {
        self.ledger.pending_requests()
    }

    /// Returns the number of accepted requests that have not ended: unanswered ones and established
    /// sessions.
    pub fn open_requests(&self) -> usize {
        self.ledger.open_requests()
    }

    /// Returns the number of listed streamers, and how many of them currently get only trial set-ups.
    pub fn streamer_counts(&self) -> (usize, usize) {
        self.controller.streamer_counts()
    }

    /// Returns the counters.
    pub fn counters(&self) -> &Counters {
        &self.outbox.counters
    }
}
