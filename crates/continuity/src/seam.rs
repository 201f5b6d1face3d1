//! How the decision module meets all this: it is told through the seam's events what becomes of sessions, and
//! its terms close what may not be done. Never widens anything.
use crate::claims::{Claims, key};
use crate::hand::Hand;
use crate::record::{Record, Stage, Stub};
use std::cell::RefCell;
use std::rc::Rc;
use stonewharf_core::{
    Constraints, Event, Micros, NoteKind, Outcome, PlacementLimits, Request, RequestId, StreamerId, TitleId,
    ViewerId, hash_name,
};

/// The number of the viewer and title of a session that another director set up.
pub(crate) fn key_of(stub: &Stub) -> u64 {
    let (viewer, title) = (ViewerId(hash_name(&stub.viewer)), TitleId(hash_name(&stub.title)));
    key(&Request { viewer, title, ..Request::default() })
}

impl Hand {
    fn is_paid(&self, request: &Request) -> bool {
        self.classes.get(request.class.0).is_some_and(|(_, paid)| *paid)
    }

    fn told(&mut self, now: Micros, event: &Event) {
        self.now = self.now.max(now);
        match event {
            Event::Inbound(request) if request.returned && self.is_paid(request) => {
                let key = key(request);
                self.claim(|claims, world, out| claims.comes_again(world, key, out));
            }
            Event::Preexisting(request, streamer) => {
                let rung = self.floors.get(request.class.0).copied().unwrap_or(0);
                self.known(request, *streamer, Stage::Standing, rung);
            }
            Event::Started { request, .. } => self.changed(*request, |r| r.stage = Stage::Standing),
            Event::Note { request, kind: NoteKind::Rung, value, .. } => {
                let rung = value.clamp(0.0, 64.0) as u8;
                self.changed(*request, |r| r.rung = rung);
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
            self.barred.insert(id, self.now);
        }
        let standing = record.stage == Stage::Standing;
        self.book(id, None);
        if !self.claims.marked(id) {
            return;
        }
        // What may have run is proven to be over before its viewer may be served anew.
        match outcome {
            Outcome::Ok | Outcome::Failed | Outcome::QueueFull | Outcome::Ignored | Outcome::ConnectError => {
                self.claim(|claims, world, out| claims.over(world, id, out));
            }
            Outcome::Canceled | Outcome::Reset | Outcome::TimedOut | Outcome::Garbled => {
                let streamer = record.streamer;
                if !standing || outcome != Outcome::Reset {
                    return self.settle(id, streamer);
                }
                self.claim(|claims, world, out| claims.over(world, id, out)); // its streamer said so
            }
        }
    }

    fn changed(&mut self, request: RequestId, change: impl FnOnce(&mut Record)) {
        let id = request.0;
        if let Some(mut record) = self.record(id).cloned() {
            change(&mut record);
            self.book(id, Some(record));
        }
    }

    fn known(&mut self, request: &Request, streamer: StreamerId, stage: Stage, rung: u8) {
        let id = request.id.0;
        let stub = self.stubs.get(&id).map(|(stub, _)| stub.clone()).unwrap_or_default();
        let streamer = self.names.get(&streamer).cloned().unwrap_or_default();
        self.book(id, Some(Record { stub, streamer, stage, rung, epoch: 0 }));
    }

    fn sends(&mut self, now: Micros, request: &Request, streamer: StreamerId, rung: usize) {
        self.now = self.now.max(now);
        if self.is_paid(request) {
            let (id, key) = (request.id.0, key(request));
            let name = self.names.get(&streamer).cloned().unwrap_or_default();
            self.claim(|claims, world, out| claims.mark(world, id, key, &name, out));
        }
        self.known(request, streamer, Stage::Out, u8::try_from(rung).unwrap_or(u8::MAX));
    }

    fn open(&self, request: &Request) -> bool {
        let again = self.barred.contains_key(&request.id.0);
        !again && !self.waits(request)
    }

    /// Whether its viewer came again, and it is not known yet that nothing of it runs.
    fn waits(&self, request: &Request) -> bool {
        #[cfg(feature = "planted")]
        if self.plant == Some(crate::hand::Plant::PaidAgain) {
            return false;
        }
        request.returned && self.is_paid(request) && !self.claims.clear(self.now, key(request))
    }
}

/// A hand that a controller asks through the seam, and its host tells and asks as well.
#[derive(Clone)]
pub struct SharedHand(pub Rc<RefCell<Hand>>);

impl SharedHand {
    /// To be handed to a controller and kept.
    pub fn new(hand: Hand) -> SharedHand {
        SharedHand(Rc::new(RefCell::new(hand)))
    }
}

impl PlacementLimits for SharedHand {
    fn observe_event(&mut self, now: Micros, event: &Event, _: &mut dyn FnMut(String)) {
        self.0.borrow_mut().told(now, event);
    }

    fn attempt_sent(&mut self, now: Micros, request: &Request, streamer: StreamerId, rung: usize) {
        self.0.borrow_mut().sends(now, request, streamer, rung);
    }

    fn rung_changed(&mut self, request: RequestId, rung: usize) {
        let rung = u8::try_from(rung).unwrap_or(u8::MAX);
        self.0.borrow_mut().changed(request, |r| r.rung = rung);
    }

    fn constraints(&self, _: Micros, request: &Request, _: StreamerId) -> Constraints {
        Constraints { allowed: self.0.borrow().open(request), ..Constraints::NONE }
    }

    fn may_act_on(&self, now: Micros, request: RequestId) -> bool {
        self.0.borrow().may_act(now, request.0)
    }

    fn hold_off(&self, _: Micros, request: &Request, most: Micros, chance: f64) -> Option<Micros> {
        self.0.borrow().waits(request).then(|| Claims::stay_away(chance).min(most))
    }
}
