//! The real director's core: the decision module with the session ledger round it. It does no I/O and reads
//! no clock, so that any platform's front can be set before it.
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
use crate::limits::Limits;
use crate::rules::Controller;
use ledger::{Ledger, Outbox};

/// The core of one director.
pub struct Director {
    controller: Controller,
    ledger: Ledger,
    outbox: Outbox,
}

impl Director {
    /// A director at its start.
    pub fn new(settings: Settings, seed: u64, now: Micros) -> Result<Self, SettingsError> {
        let ledger = Ledger::new(&settings);
        let counters = Counters {
            operations: settings.classes.iter().map(|_| ClassOutcomes::default()).collect(),
            ..Counters::default()
        };
        let outbox = Outbox { counters, ..Outbox::default() };
        Ok(Director { controller: Controller::new(settings, seed, now)?, ledger, outbox })
    }

    /// This director with a subsystem's limits on the module's choice, from its start on.
    pub fn with_limits(self, limits: Box<dyn Limits>) -> Self {
        Director { controller: self.controller.limited(limits), ..self }
    }

    /// This director, counting in these counters from its start on.
    pub fn with_counters(mut self, counters: Counters) -> Self {
        self.outbox.counters = counters;
        self
    }

    /// One turn: books all that has come in, hands it to the module in one go, returns what is to be done.
    pub fn turn(&mut self, now: Micros, inputs: impl IntoIterator<Item = Input>) -> Vec<Output> {
        for input in inputs {
            self.ledger.handle_input(now, input, &mut self.outbox);
        }
        // A second round only where an action found its request gone: the module is told that it was ignored.
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

    /// Ends everything at the director's own end; what stands is left standing where an heir takes it over.
    pub fn close(&mut self, hand_over: bool) -> Vec<Output> {
        self.ledger.close(hand_over, &mut self.outbox);
        self.outbox.events.clear();
        std::mem::take(&mut self.outbox.outputs)
    }

    /// One turn after [`Director::close`]: requests are refused at once, and nothing is begun.
    pub fn turn_after_close(&mut self, inputs: Vec<Input>, hand_over: bool) -> Vec<Output> {
        inputs
            .into_iter()
            .for_each(|input| self.ledger.handle_input_after_close(input, hand_over, &mut self.outbox));
        std::mem::take(&mut self.outbox.outputs)
    }

    /// What is left to an heir: the sessions that stand, and their rungs.
    pub fn sessions_to_hand_over(&self) -> Vec<(RequestId, usize)> {
        self.ledger.session_rungs()
    }

    /// Takes what the process before this one left, for when its sessions are handed over.
    pub fn set_inherited_rungs(&mut self, rungs: Vec<(RequestId, usize)>) {
        self.ledger.restore_rungs(rungs);
    }

    /// Whether a session is on the books: a request that is open, or one that stands.
    pub fn holds(&self, session: RequestId) -> bool {
        self.ledger.contains(session)
    }

    /// How many sessions stand at a streamer.
    pub fn sessions_at(&self, streamer: StreamerId) -> usize {
        self.ledger.established_at(streamer)
    }

    /// Requests that wait for their final answer on a connection, and sessions that stand from it.
    pub fn requests_and_sessions_on(&self, link: ViewerLink) -> (usize, usize) {
        self.ledger.counts_on_link(link)
    }

    /// How many requests wait for their final answer.
    pub fn pending_requests(&self) -> usize {
        self.ledger.pending_requests()
    }

    /// Requests taken that have not come to their end: unanswered ones, and sessions that stand.
    pub fn open_requests(&self) -> usize {
        self.ledger.open_requests()
    }

    /// Streamers in the list, and those of them that get no set-ups now but for trials.
    pub fn streamer_counts(&self) -> (usize, usize) {
        self.controller.listed()
    }

    /// The counters.
    pub fn counters(&self) -> &Counters {
        &self.outbox.counters
    }
}
