//! Connects the coordinator to the decision module: it observes events to track sessions, and its limits
//! forbid what may not be done. It never permits more than the other limits do.
use crate::coordinator::Coordinator;
use crate::record::{Record, RequestSummary, Stage};
use crate::registry::{PaidSessionRegistry, key};
use std::cell::RefCell;
use std::rc::Rc;
use stonewharf_core::{
    Constraints, Event, Micros, NoteKind, Outcome, PlacementLimits, Request, RequestId, StreamerId, TitleId,
    ViewerId, hash_name,
};

/// The key of the viewer and title of a session that another director set up.
pub(crate) fn key_of(summary: &RequestSummary) -> u64 {
    let (viewer, title) = (ViewerId(hash_name(&summary.viewer)), TitleId(hash_name(&summary.title)));
    key(&Request { viewer, title, ..Request::default() })
}

impl Coordinator {
    fn is_paid(&self, request: &Request) -> bool {
        self.classes.get(request.class.0).is_some_and(|(_, paid)| *paid)
    }

    fn observe(&mut self, now: Micros, event: &Event) {
        self.now = self.now.max(now);
        match event {
            Event::Inbound(request) if request.returned && self.is_paid(request) => {
                let key = key(request);
                self.with_registry(|registry, context, out| registry.viewer_returned(context, key, out));
            }
            Event::Preexisting(request, streamer) => {
                let rung = self.lowest_rungs.get(request.class.0).copied().unwrap_or(0);
                self.insert_record(request, *streamer, Stage::Established, rung);
            }
            Event::Started { request, .. } => self.update_record(*request, |r| r.stage = Stage::Established),
            Event::Note { request, kind: NoteKind::Rung, value, .. } => {
                let rung = value.clamp(0.0, 64.0) as u8;
                self.update_record(*request, |r| r.rung = rung);
            }
            Event::Ended { request, outcome, .. } => self.ended(*request, *outcome),
            _ => {}
        }
    }

    /// An attempt or a session has ended.
    fn ended(&mut self, request: RequestId, outcome: Outcome) {
        let id = request.0;
        let Some(record) = self.record(id).cloned() else { return };
        if !self.may_act(self.now, id) {
            self.blocked.insert(id, self.now);
        }
        let standing = record.stage == Stage::Established;
        self.update_session(id, None);
        if !self.registry.is_registered(id) {
            return;
        }
        // What may have run has to be confirmed as over before its viewer may be served again.
        match outcome {
            Outcome::Ok | Outcome::Failed | Outcome::QueueFull | Outcome::Ignored | Outcome::ConnectError => {
                self.with_registry(|registry, context, out| registry.session_over(context, id, out));
            }
            Outcome::Canceled | Outcome::Reset | Outcome::TimedOut | Outcome::Garbled => {
                let streamer = record.streamer;
                if !standing || outcome != Outcome::Reset {
                    return self.end_at_streamer(id, streamer);
                }
                // its streamer said so
                self.with_registry(|registry, context, out| registry.session_over(context, id, out));
            }
        }
    }

    fn update_record(&mut self, request: RequestId, change: impl FnOnce(&mut Record)) {
        let id = request.0;
        if let Some(mut record) = self.record(id).cloned() {
            change(&mut record);
            self.update_session(id, Some(record));
        }
    }

    fn insert_record(&mut self, request: &Request, streamer: StreamerId, stage: Stage, rung: u8) {
        let id = request.id.0;
        let summary = self.summaries.get(&id).map(|(summary, _)| summary.clone()).unwrap_or_default();
        let streamer = self.names.get(&streamer).cloned().unwrap_or_default();
        self.update_session(id, Some(Record { summary, streamer, stage, rung, epoch: 0 }));
    }

    fn sending_attempt(&mut self, now: Micros, request: &Request, streamer: StreamerId, rung: usize) {
        self.now = self.now.max(now);
        if self.is_paid(request) {
            let (id, key) = (request.id.0, key(request));
            let name = self.names.get(&streamer).cloned().unwrap_or_default();
            self.with_registry(|registry, context, out| {
                registry.register_session(context, id, key, &name, out)
            });
        }
        self.insert_record(request, streamer, Stage::InFlight, u8::try_from(rung).unwrap_or(u8::MAX));
    }

    fn is_allowed(&self, request: &Request) -> bool {
        let again = self.blocked.contains_key(&request.id.0);
        !again && !self.is_held_off(request)
    }

    /// Whether its viewer returned, and it is not yet known that nothing of it runs.
    fn is_held_off(&self, request: &Request) -> bool {
        #[cfg(feature = "planted")]
        if self.planted_fault == Some(crate::coordinator::PlantedFault::ServeReturnAtOnce) {
            return false;
        }
        request.returned && self.is_paid(request) && !self.registry.is_clear(self.now, key(request))
    }
}

/// A coordinator shared between the director, as its limits, and the event loop.
#[derive(Clone)]
pub struct SharedCoordinator(pub Rc<RefCell<Coordinator>>);

impl SharedCoordinator {
    /// Wraps a coordinator.
    pub fn new(coordinator: Coordinator) -> SharedCoordinator {
        SharedCoordinator(Rc::new(RefCell::new(coordinator)))
    }
}

impl PlacementLimits for SharedCoordinator {
    fn observe_event(&mut self, now: Micros, event: &Event, _: &mut dyn FnMut(String)) {
        self.0.borrow_mut().observe(now, event);
    }

    fn attempt_sent(&mut self, now: Micros, request: &Request, streamer: StreamerId, rung: usize) {
        self.0.borrow_mut().sending_attempt(now, request, streamer, rung);
    }

    fn rung_changed(&mut self, request: RequestId, rung: usize) {
        let rung = u8::try_from(rung).unwrap_or(u8::MAX);
        self.0.borrow_mut().update_record(request, |r| r.rung = rung);
    }

    fn constraints(&self, _: Micros, request: &Request, _: StreamerId) -> Constraints {
        Constraints { allowed: self.0.borrow().is_allowed(request), ..Constraints::NONE }
    }

    fn may_act_on(&self, now: Micros, request: RequestId) -> bool {
        self.0.borrow().may_act(now, request.0)
    }

    fn hold_off(&self, _: Micros, request: &Request, most: Micros, chance: f64) -> Option<Micros> {
        self.0.borrow().is_held_off(request).then(|| PaidSessionRegistry::hold_off_us(chance).min(most))
    }
}
