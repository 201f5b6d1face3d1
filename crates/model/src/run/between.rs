//! What passes between directors and streamers: deeds carried out, set-ups taken, sessions booked.
use super::*;

impl Run<'_> {
    pub(super) fn reaches(&self, hall: usize, streamer: usize) -> bool {
        let s = &self.world.streamers[streamer];
        let apart = s.hall != hall && (self.cut.contains(&s.hall) || self.cut.contains(&hall));
        s.alive && !apart
    }

    pub(super) fn turn(&mut self, node: usize, input: Input) {
        let now = self.now;
        let Some(core) = self.nodes[node].core.as_mut() else { return };
        let deeds = core.turn(now, [input]);
        deeds.into_iter().for_each(|deed| self.carry_out(node, deed));
    }

    pub(super) fn carry_out(&mut self, node: usize, deed: Output) {
        let epoch = self.nodes[node].epoch;
        match deed {
            Output::Answer(_, id, _) => {
                self.answered(id);
                self.out.served += 1;
                let Some(call) = self.calls.get_mut(&id) else { return };
                call.playing = true;
                let until = self.viewers[call.viewer].until.max(self.now + 1);
                self.put(until, Event::Done(id));
            }
            Output::Refuse(_, id, hold_off) => {
                self.answered(id);
                self.out.refused += 1;
                let Some(call) = self.calls.remove(&id) else { return };
                self.broken.paid_twice += u64::from(call.may_have_run && self.paid(call.viewer));
                self.again(call.viewer, hold_off);
            }
            Output::Fail(_, id) | Output::Spurn(_, id) => {
                self.answered(id);
                self.out.failed += 1;
                let Some(call) = self.calls.get(&id) else { return };
                let viewer = call.viewer;
                if call.stands.is_none() {
                    self.calls.remove(&id);
                }
                if !self.paid(viewer) {
                    self.again(viewer, 0);
                }
            }
            Output::Release(_, id, why) => {
                self.unbook(id);
                if let Some(call) = self.calls.remove(&id).filter(|_| why == SessionEnd::Cut) {
                    self.again(call.viewer, 0);
                }
            }
            Output::MoveOff(_, id) => {
                self.unbook(id);
                if let Some(call) = self.calls.remove(&id) {
                    self.again(call.viewer, 0);
                }
            }
            Output::SetUp(stonewharf_core::director::SetUp { streamer, attempt, rung, .. }) => {
                self.sent(node, streamer.0 as usize, attempt, rung);
            }
            Output::GiveUp(_, attempt) => {
                let call = self.calls.get_mut(&attempt.session);
                let out = call.and_then(|c| c.out.take_if(|o| o.1 == attempt.number));
                let input = match out {
                    Some((_, _, true)) => Input::Unsent(attempt, UnsentReason::NoConnection),
                    _ => Input::GaveUp(attempt),
                };
                self.soon(0, Event::Hear(node, epoch, input));
            }
            Output::Drop(_, id) => self.unbook(id),
            Output::Forget(_) => {} // the model names no streamers
            Output::Rung(_, id, rung) => {
                let Some(call) = self.calls.get_mut(&id) else { return };
                let class = self.viewers[call.viewer].class;
                let floor = self.world.settings.classes[class.0].lowest_rung;
                self.broken.under_floor += u64::from(rung < floor);
                let before = std::mem::replace(&mut call.rung, rung);
                if let Some(at) = call.stands {
                    let kb = self.world.rate(class, rung) - self.world.rate(class, before);
                    self.world.book(at, kb, 0);
                }
            }
            Output::Probe(streamer) => self.probe(node, streamer),
            Output::Wake(at, due) => self.put(at.max(self.now), Event::Hear(node, epoch, Input::Due(due))),
            Output::Log(line) if line.starts_with("hall ") => self.found(node),
            Output::Attend(_) | Output::Log(_) => {}
        }
    }

    pub(super) fn paid(&self, viewer: usize) -> bool {
        self.world.settings.classes[self.viewers[viewer].class.0].effect == Effect::AtMostOnce
    }

    pub(super) fn answered(&mut self, id: RequestId) {
        let Some(call) = self.calls.get_mut(&id) else {
            self.broken.answered_twice += 1;
            return;
        };
        self.broken.answered_twice += u64::from(call.answered);
        self.broken.unanswered += u64::from(self.now > call.deadline + SLACK);
        call.answered = true;
    }

    pub(super) fn sent(&mut self, node: usize, streamer: usize, attempt: Attempt, rung: usize) {
        self.out.attempts += 1;
        let epoch = self.nodes[node].epoch;
        let reached = self.reaches(self.nodes[node].hall, streamer);
        let refused = self.world.streamers[streamer].refuses;
        let Some(call) = self.calls.get_mut(&attempt.session) else { return };
        self.broken.two_out += u64::from(call.out.is_some() || call.answered);
        let (viewer, ran) = (call.viewer, call.may_have_run);
        call.out = Some((streamer, attempt.number, !reached));
        self.broken.paid_twice += u64::from(ran && self.paid(viewer));
        if reached {
            let wait = self.span(0.001, 0.004);
            return self.soon(wait, Event::SetUp { node, epoch, streamer, attempt, rung });
        }
        let wait = if refused { SECOND / 1_000 } else { DIAL };
        let contact = Input::Contact { streamer: StreamerId(streamer as u32), up: false };
        self.soon(wait, Event::Hear(node, epoch, contact));
        self.soon(wait, Event::Hear(node, epoch, Input::Unsent(attempt, UnsentReason::NoConnection)));
    }

    pub(super) fn set_up(&mut self, node: usize, epoch: u32, streamer: usize, attempt: Attempt, rung: usize) {
        let out = |c: &Call| c.out.is_some_and(|o| o.1 == attempt.number);
        let here = self.nodes[node].epoch == epoch && self.reaches(self.nodes[node].hall, streamer);
        if !here || !self.calls.get(&attempt.session).is_some_and(out) {
            return;
        }
        let (now, from) = (self.now, StreamerId(streamer as u32));
        if let Some(allowed) = self.world.cold_allows(streamer, now) {
            if self.pace.sent(now, streamer, WINDOW, allowed) {
                self.broken.pushed_over += 1;
            }
            self.second.pace = self.second.pace.max(self.pace.peak);
        }
        let full = self.world.full(streamer);
        let Some(call) = self.calls.get_mut(&attempt.session) else { return };
        if full {
            call.out = None;
            let number = Some(attempt.number);
            let (outcome, report) = (Ending::QueueFull, LoadReport::default());
            let session = attempt.session;
            let input = Input::TurnedAway { streamer: from, session, number, outcome, report };
            return self.soon(2_000, Event::Hear(node, epoch, input));
        }
        call.may_have_run = true;
        if self.world.streamers[streamer].stalled {
            return;
        }
        if call.stands.is_some() {
            self.broken.paid_twice += u64::from(self.paid(self.calls[&attempt.session].viewer));
            return;
        }
        (call.out, call.stands, call.rung) = (None, Some(streamer), rung);
        let class = self.viewers[call.viewer].class;
        self.broken.under_floor += u64::from(rung < self.world.settings.classes[class.0].lowest_rung);
        self.at[streamer].insert(attempt.session);
        self.world.book(streamer, self.world.rate(class, rung), 1);
        let wait = self.span(0.02, 0.08);
        let number = Some(attempt.number);
        let description = b"v=0".to_vec();
        let input = Input::Stands { streamer: from, session: attempt.session, number, description };
        self.soon(wait, Event::Hear(node, epoch, input));
    }

    pub(super) fn probe(&mut self, node: usize, streamer: StreamerId) {
        let epoch = self.nodes[node].epoch;
        let i = streamer.0 as usize;
        if !self.reaches(self.nodes[node].hall, i) {
            let (outcome, report) = (Ending::ConnectError, LoadReport::default());
            self.soon(DIAL, Event::Hear(node, epoch, Input::Contact { streamer, up: false }));
            return self.soon(DIAL, Event::Hear(node, epoch, Input::Probed { streamer, outcome, report }));
        }
        if self.world.streamers[i].stalled {
            let (outcome, report) = (Ending::TimedOut, LoadReport::default());
            return self
                .soon(SECOND / 2, Event::Hear(node, epoch, Input::Probed { streamer, outcome, report }));
        }
        let (link, uplink) = self.world.loads(i, self.now);
        let noise = self.between(0.97, 1.03);
        let report = LoadReport {
            link_capped: Some((link * noise).min(1.0)),
            uplink: Some(uplink * noise),
            ..LoadReport::default()
        };
        let outcome = Ending::Ok;
        self.soon(4_000, Event::Hear(node, epoch, Input::Probed { streamer, outcome, report }));
    }

    /// Takes a session off its streamer, where it stands.
    pub(super) fn unbook(&mut self, id: RequestId) {
        let Some(call) = self.calls.get_mut(&id) else { return };
        let Some(at) = call.stands.take() else { return };
        call.playing = false;
        let kb = self.world.rate(self.viewers[call.viewer].class, call.rung);
        self.at[at].remove(&id);
        self.world.book(at, -kb, -1);
    }

    pub(super) fn found(&mut self, node: usize) {
        let Some((_, hall)) = self.first_loss else { return };
        let lost =
            matches!(self.nodes[node].halls.0.borrow().state(ZoneId(hall as u32)), HallState::Lost { .. });
        if lost && self.nodes[node].found_at.is_none() {
            self.nodes[node].found_at = Some(self.now);
        }
    }
}
