//! What streamers, viewers and directors do in a step.
use super::{DIRECTORS, FLEET_MET_AT, NetworkEvent, PlayingSession, SECOND, Sim};
use stonewharf_continuity::{Action, LogEvent, Member, Message, Record, RequestSummary, Stage};
use stonewharf_core::{
    Event, Micros, Outcome, PlacementLimits, Request, RequestId, StreamerId, TitleId, ViewerId, hash_name,
};

impl Sim {
    pub(super) fn streamers(&mut self) {
        let due: Vec<u64> =
            self.playing.iter().filter(|(_, p)| p.ends <= self.now).map(|(id, _)| *id).collect();
        for id in due {
            self.playing.remove(&id);
            for i in (0..DIRECTORS).filter(|i| self.is_running(*i)).collect::<Vec<_>>() {
                if self.directors[i].sessions.remove(&id) {
                    self.observe_event(
                        i,
                        Event::Ended {
                            request: RequestId(id),
                            attempt: 0,
                            streamer: StreamerId(0),
                            outcome: Outcome::Ok,
                            last: true,
                            report: Default::default(),
                        },
                    );
                }
            }
        }
    }

    pub(super) fn observe_event(&mut self, i: usize, event: Event) {
        let now = self.now;
        self.directors[i].coordinator.observe_event(now, &event, &mut |_| {});
    }

    pub(super) fn viewers(&mut self) {
        // A director that has not met its fleet can't register sessions anywhere, nor does it know of anybody
        // that could take them over.
        if self.now < FLEET_MET_AT {
            return;
        }
        if self.random_below(4) == 0 {
            let (viewer, title) = (self.random_below(1 << 30) as u32, self.random_below(50) as u32);
            let i = self.random_below(DIRECTORS as u64) as usize;
            self.request(i, viewer, title, false);
        }
        let due: Vec<(Micros, u32, u32)> = self.returns.extract_if(.., |r| r.0 <= self.now).collect();
        for (_, viewer, title) in due {
            let i = self.random_below(DIRECTORS as u64) as usize;
            if self.is_running(i) {
                self.request(i, viewer, title, true);
            } else {
                self.returns.push((self.now + 200_000, viewer, title));
            }
        }
    }

    /// A viewer requests a session; every third one is paid.
    pub(super) fn request(&mut self, i: usize, viewer: u32, title: u32, returned: bool) {
        if !self.is_running(i) {
            return;
        }
        self.ids += 1;
        let (id, paid) = (self.ids, viewer.is_multiple_of(3));
        let summary = RequestSummary {
            class: if paid { "paid" } else { "free" }.into(),
            title: format!("t{title}"),
            viewer: format!("v{viewer}"),
            cells_in_row: 1,
            ..RequestSummary::default()
        };
        let request = Request {
            id: RequestId(id),
            class: stonewharf_core::ClassId(usize::from(!paid)),
            title: TitleId(hash_name(&summary.title)),
            viewer: ViewerId(hash_name(&summary.viewer)),
            returned,
            ..Request::default()
        };
        let now = self.now;
        self.directors[i].coordinator.0.borrow_mut().note_request(id, summary);
        self.observe_event(i, Event::Inbound(request.clone()));
        if !self.directors[i].coordinator.constraints(now, &request, StreamerId(0)).allowed {
            self.claims += 1;
            let after = 200_000 + self.random_below(200_000);
            self.returns.push((now + after, viewer, title));
            self.drain(i);
            return;
        }
        self.directors[i].coordinator.attempt_sent(now, &request, StreamerId(0), 1);
        self.drain(i);
        let may_run = self.playing.values().any(|p| p.paid && p.key == (viewer, title));
        if paid && may_run {
            self.violations.push(format!("{now}: d{i} sets up v{viewer} t{title} beside one that may run"));
        }
        let established = self.random_below(4) > 0;
        let plays_for = 2 * SECOND + self.random_below(20 * SECOND);
        let ends = if established { now + plays_for } else { now + 1_200_000 };
        self.playing.insert(id, PlayingSession { key: (viewer, title), paid, established, ends });
        self.directors[i].sessions.insert(id);
        if established {
            self.observe_event(
                i,
                Event::Started { request: RequestId(id), streamer: StreamerId(0), latency_us: 1 },
            );
            // Some viewers lose their director and return while their session plays on.
            if paid && self.random_below(6) == 0 {
                let after = 100_000 + self.random_below(4 * SECOND);
                self.returns.push((now + after, viewer, title));
            }
        }
    }

    pub(super) fn turn(&mut self, i: usize, view: Option<Vec<Member>>) {
        let now = self.now;
        {
            let d = &mut self.directors[i];
            let mut coordinator = d.coordinator.0.borrow_mut();
            if let Some(view) = view {
                coordinator.set_members(now, view);
            }
            // The leader distributes the log.
            let behind = d.applied_version < self.ownership.version;
            if behind
                && !self.cut_links.iter().any(|(pair, until)| {
                    *until > now && (*pair == (i.min(self.leader), i.max(self.leader))) && i != self.leader
                })
            {
                d.applied_version = self.ownership.version;
                coordinator.apply_ownership(now, &self.ownership);
            }
            coordinator.set_leading(now, self.leader == i && self.leader_since + SECOND / 4 <= now);
            coordinator.tick(now);
        }
        self.drain(i);
        self.act(i);
    }

    /// Acts on the director's own initiative: decided in one turn, written in a later one.
    pub(super) fn act(&mut self, i: usize) {
        let now = self.now;
        if self.random_below(3) == 0 && !self.directors[i].sessions.is_empty() {
            let at = self.random_below(self.directors[i].sessions.len() as u64) as usize;
            let id = self.directors[i].sessions.iter().nth(at).copied().unwrap_or(0);
            if self.directors[i].coordinator.0.borrow().may_act(now, id) {
                self.directors[i].decided.push((now, id));
            }
        }
        for (_, id) in std::mem::take(&mut self.directors[i].decided) {
            if !self.directors[i].coordinator.0.borrow().may_act(now, id)
                || !self.directors[i].sessions.contains(&id)
            {
                continue;
            }
            self.acts += 1;
            // Another director has it, or is about to: this incarnation is closed in the log, and the session
            // was replicated.
            let others = (0..DIRECTORS).filter(|j| *j != i && self.directors[*j].sessions.contains(&id));
            let others: Vec<usize> = others
                .filter(|j| {
                    let coordinator = self.directors[*j].coordinator.0.borrow();
                    coordinator.may_act(now, id) && coordinator.record(id).is_some() && self.is_running(*j)
                })
                .collect();
            if !others.is_empty() {
                self.violations
                    .push(format!("{now}: d{i} acts on session {id}, which {others:?} holds as well"));
            }
        }
    }

    pub(super) fn drain(&mut self, i: usize) {
        loop {
            let actions = self.directors[i].coordinator.0.borrow_mut().take_actions();
            if actions.is_empty() {
                return;
            }
            for action in actions {
                self.carry_out(i, action);
            }
        }
    }

    pub(super) fn carry_out(&mut self, i: usize, action: Action) {
        let (now, incarnation) = (self.now, self.directors[i].incarnation);
        match action {
            Action::Send(to, message) => {
                let Some(to) = to.strip_prefix('d').and_then(|n| n.parse().ok()) else { return };
                let delay_us = 500 + self.random_below(40_000);
                // Messages get lost. Registrations are lost only by partitions and crashes; the check of
                // claims runs without partitions.
                let mark = matches!(message, Message::RegisterSession { .. });
                if mark || self.random_below(50) > 0 {
                    self.schedule(delay_us, NetworkEvent::Message(i, to, incarnation, message));
                }
            }
            Action::Propose(command) => {
                if !self.is_partitioned(i, self.leader) && self.is_running(self.leader) {
                    // A command may be under way for a while, past a change of the leader.
                    let delay_us =
                        if self.random_below(10) == 0 { self.random_below(4 * SECOND) } else { 2_000 };
                    self.schedule(delay_us, NetworkEvent::Command(command));
                }
            }
            Action::ConfirmLeadership => {
                let delay_us = 1_000 + self.random_below(20_000);
                let term = self.term;
                self.schedule(delay_us, NetworkEvent::Confirm(i, incarnation, term));
            }
            Action::Adopt(records) => {
                for (id, record) in records {
                    self.adopt(i, id, &record);
                }
            }
            Action::EndAtStreamer(id, streamer) => {
                let delay_us = 1_000 + self.random_below(5_000);
                let ended = NetworkEvent::EndConfirmed(i, incarnation, id, streamer);
                self.schedule(delay_us, ended);
                self.schedule(0, NetworkEvent::ConfirmedElsewhere(i, incarnation, id));
            }
            Action::EndForReturn(id) => {
                self.directors[i].sessions.remove(&id);
                self.observe_event(
                    i,
                    Event::Ended {
                        request: RequestId(id),
                        attempt: 0,
                        streamer: StreamerId(0),
                        outcome: Outcome::Canceled,
                        last: true,
                        report: Default::default(),
                    },
                );
            }
            Action::Release(id, _) => drop(self.playing.remove(&id)),
            Action::Forget(ids) => ids.iter().for_each(|id| {
                self.directors[i].sessions.remove(id);
            }),
            Action::Log(LogEvent::EndConfirmed(id)) if self.playing.contains_key(&id) => {
                self.violations.push(format!("{now}: the end of {id:x} is confirmed while it plays"));
            }
            Action::MisroutedEnd(..) | Action::Log(_) => {}
        }
        let _ = now;
    }

    pub(super) fn adopt(&mut self, i: usize, id: u64, record: &Record) {
        assert_eq!(record.stage, Stage::Established, "attempts in flight are ended, not adopted");
        self.adopted += 1;
        if !self.playing.contains_key(&id) {
            self.lost_sessions += 1; // it ended meanwhile, and its streamer says so when asked
            return;
        }
        self.directors[i].sessions.insert(id);
        let request = Request {
            id: RequestId(id),
            class: stonewharf_core::ClassId(usize::from(record.summary.class != "paid")),
            title: TitleId(hash_name(&record.summary.title)),
            viewer: ViewerId(hash_name(&record.summary.viewer)),
            ..Request::default()
        };
        self.observe_event(i, Event::Preexisting(request, StreamerId(0)));
    }
}
