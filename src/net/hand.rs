//! Session continuity in the event loop: feeds messages, the agreed ownership, the fleet's members and the
//! time to the coordinator (`stonewharf-continuity`) and carries out its actions. Exists only where the block
//! `continuity` is on. It decides nothing, and no answer to a viewer waits for it.
use super::Node;
use super::clock::Clock;
use super::peers::Peers;
use super::shared::Shared;
use super::streamers::ControlMessage;
use crate::director::{Input, NO_LINK, SessionAtStreamer, SessionEnd};
use crate::interface::{LoadReport, Micros, RequestId, StreamerId};
use crate::settings::NamedRequest;
use slog::{debug, info, warn};
use std::cell::RefCell;
use std::rc::Rc;
use stonewharf_continuity::{
    Action, Command, Coordinator, EndKind, LogEvent, Member, OwnershipState, Record, RequestSummary,
    SharedCoordinator,
};
use stonewharf_fleet::{Phase, Standing};

/// Tells whether this director may act on a session, checked as bytes are written: what was decided before
/// this process was paused must not be sent afterwards.
#[derive(Clone)]
pub struct ActPermission {
    coordinator: Rc<RefCell<Coordinator>>,
    clock: Clock,
}

impl ActPermission {
    /// Whether an act on the session, on this director's own initiative, may be sent now.
    pub fn may_act(&self, session: RequestId) -> bool {
        self.coordinator.borrow().may_act(self.clock.now(), session.0)
    }
}

/// What the replicated log has to agree on.
#[derive(Default)]
pub struct ToAgree {
    /// Commands to propose.
    pub commands: Vec<Command>,
    /// Whether the leadership has to be confirmed.
    pub confirm_leadership: bool,
}

/// The coordinator in the event loop.
pub struct ContinuityDriver {
    coordinator: SharedCoordinator,
    version: Option<u64>,
    messages: Vec<(String, Vec<u8>)>,
    /// Actions for the node to carry out.
    actions: Vec<Action>,
}

impl ContinuityDriver {
    /// The driver of one coordinator.
    pub fn new(coordinator: SharedCoordinator) -> ContinuityDriver {
        ContinuityDriver { coordinator, version: None, messages: Vec::new(), actions: Vec::new() }
    }

    /// The permission to check as bytes are written.
    pub fn act_permission(&self, clock: Clock) -> ActPermission {
        ActPermission { coordinator: Rc::clone(&self.coordinator.0), clock }
    }

    /// Takes an encoded message; false if it can't be decoded.
    pub fn receive(&mut self, now: Micros, from: &str, message: &[u8]) -> bool {
        self.coordinator.0.borrow_mut().receive_bytes(now, from, message).is_ok()
    }

    /// The result of a leadership confirmation.
    pub fn leadership_confirmed(&mut self, now: Micros, confirmed: bool) {
        self.coordinator.0.borrow_mut().leadership_confirmed(now, confirmed);
    }

    /// When [`ContinuityDriver::tick`] has to be called next.
    pub fn next_tick_at(&self) -> Micros {
        self.coordinator.0.borrow().next_tick_at()
    }

    /// Feeds the current state to the coordinator; returns what has to be agreed.
    pub fn tick(
        &mut self,
        shared: &Shared,
        peers: &Peers,
        ownership: &OwnershipState,
        leads: bool,
    ) -> ToAgree {
        let now = shared.now;
        let mut coordinator = self.coordinator.0.borrow_mut();
        if self.version != Some(peers.version()) {
            self.version = Some(peers.version());
            coordinator.set_members(now, members(peers, shared));
        }
        coordinator.apply_ownership(now, ownership);
        coordinator.set_leading(now, leads);
        coordinator.tick(now);
        drop(coordinator);
        let mut to_agree = ToAgree::default();
        self.gather(&mut to_agree);
        to_agree
    }

    fn gather(&mut self, to_agree: &mut ToAgree) {
        for action in self.coordinator.0.borrow_mut().take_actions() {
            match action {
                Action::Send(to, message) => self.messages.push((to, message.encode())),
                Action::Propose(command) => to_agree.commands.push(command),
                Action::ConfirmLeadership => to_agree.confirm_leadership = true,
                action => self.actions.push(action),
            }
        }
    }

    /// Messages to send now; other actions wait for the end of the turn.
    pub fn take_messages(&mut self) -> Vec<(String, Vec<u8>)> {
        let actions = self.coordinator.0.borrow_mut().take_actions();
        let mut kept = Vec::new();
        for action in actions {
            match action {
                Action::Send(to, message) => self.messages.push((to, message.encode())),
                action => kept.push(action),
            }
        }
        self.coordinator.0.borrow_mut().put_back_actions(kept);
        std::mem::take(&mut self.messages)
    }
}

/// The fleet's members, as the coordinator needs them.
fn members(peers: &Peers, shared: &Shared) -> Vec<Member> {
    let of = |m: stonewharf_fleet::MemberView| {
        let in_fleet = m.standing == Standing::In;
        let serving = in_fleet && m.phase == Phase::Serving;
        Member { name: m.name, hall: m.hall, incarnation: m.incarnation, serving, in_fleet }
    };
    peers.view(shared).members.into_iter().map(of).collect()
}

impl Node {
    fn coordinator(&self) -> Option<SharedCoordinator> {
        self.agreement.as_ref()?.hands.as_ref().map(|driver| driver.coordinator.clone())
    }

    /// A set-up request arrived: notes what a successor would have to know of it.
    pub(super) fn continuity_note_request(&mut self, id: u64, summary: impl FnOnce() -> RequestSummary) {
        if let Some(coordinator) = self.coordinator() {
            coordinator.0.borrow_mut().note_request(id, summary());
        }
    }

    /// Discovery news: names of streamers, and streamers that were restarted or are gone.
    pub(super) fn continuity_streamers_listed(&mut self, now: Micros, listed: &[(StreamerId, bool)]) {
        let Some(coordinator) = self.coordinator() else { return };
        let mut coordinator = coordinator.0.borrow_mut();
        for (streamer, anew) in listed {
            let Some(name) = self.names.streamers.resolve(streamer.0) else { continue };
            coordinator.set_streamer_names([(*streamer, name.to_owned())]);
            if *anew {
                coordinator.streamer_restarted(now, name);
            }
        }
    }

    /// Filters the inputs ahead of the core: session ends that another director's successor has to receive,
    /// confirmations of ends, and losses of streamers that a director without a lease must not act on.
    pub(super) fn continuity_inputs(&mut self, inputs: &mut Vec<Input>) {
        let Some(coordinator) = self.coordinator() else { return };
        let mut coordinator = coordinator.0.borrow_mut();
        let (now, director) = (self.shared.now, &self.director);
        inputs.retain(|input| {
            match input {
                Input::Released { session, why, .. } if !director.holds(*session) => {
                    let what = match why {
                        SessionEnd::Ended => EndKind::Ended,
                        SessionEnd::Cut => EndKind::Cut,
                        SessionEnd::Left => EndKind::Left,
                    };
                    coordinator.misrouted_end(now, session.0, what);
                }
                Input::ViewerLeft(_, session)
                    if !director.holds(*session) || !coordinator.may_act(now, session.0) =>
                {
                    coordinator.misrouted_end(now, session.0, EndKind::Left);
                }
                Input::DropHeard(SessionAtStreamer { session, streamer }) => {
                    if let Some(name) = self.names.streamers.resolve(streamer.0) {
                        coordinator.end_confirmed(now, session.0, name);
                    }
                }
                Input::Lost(_) => return coordinator.sessions() == 0 || coordinator.leased_until() > now,
                _ => {}
            }
            true
        });
    }

    /// Sends the messages that have to leave before the core's outputs.
    pub(super) fn continuity_send(&mut self) {
        if let (Some(agreed), Some(peers)) = (&mut self.agreement, &mut self.components.peers) {
            agreed.say_of_estates(&mut self.shared, peers);
        }
    }

    /// This director leaves: it hands its sessions over.
    pub(super) fn continuity_leave(&mut self) {
        if let Some(coordinator) = self.coordinator() {
            coordinator.0.borrow_mut().leave(self.shared.now);
        }
    }

    /// Whether successors take over the established sessions at the end.
    pub(super) fn has_successors(&self) -> bool {
        self.coordinator().is_some()
    }

    /// Carries out the coordinator's actions.
    pub(super) fn continuity_actions(&mut self) {
        let driver = self.agreement.as_mut().and_then(|agreed| agreed.hands.as_mut());
        let actions = driver.map(|driver| std::mem::take(&mut driver.actions)).unwrap_or_default();
        for action in actions {
            match action {
                Action::Adopt(records) => {
                    records.into_iter().for_each(|(id, record)| self.adopt(id, &record))
                }
                Action::EndAtStreamer(id, streamer) => {
                    if let Some(at) = self.names.streamers.get(&streamer).map(StreamerId) {
                        let message = ControlMessage::Release(RequestId(id));
                        self.components.streamers.send_control(&mut self.shared, at, message);
                    }
                }
                Action::EndForReturn(id) => {
                    self.shared.inputs.push(Input::ViewerLeft(NO_LINK, RequestId(id)))
                }
                Action::Release(id, _) => {
                    let shared = &mut self.shared;
                    let bytes = crate::platform::viewer::release(
                        RequestId(id),
                        crate::platform::viewer::CAUSE_FAILED,
                    );
                    self.components.viewers.send_release(shared, NO_LINK, bytes);
                }
                Action::Forget(ids) => {
                    let ids = ids.into_iter().map(RequestId).collect();
                    self.shared.inputs.push(Input::LaidDown(ids));
                }
                Action::MisroutedEnd(id, streamer, what) => {
                    self.apply_misrouted_end(RequestId(id), &streamer, what)
                }
                Action::Log(event) => log_event(&self.shared, &event),
                Action::Send(..) | Action::Propose(_) | Action::ConfirmLeadership => {} // handled in `gather`
            }
        }
    }

    /// A session that was taken over enters the core like one that is handed over at a start.
    fn adopt(&mut self, id: u64, record: &Record) {
        let summary = &record.summary;
        let wanted = NamedRequest {
            id,
            class: &summary.class,
            tenant: None,
            title: &summary.title,
            viewer: &summary.viewer,
            start_cell: summary.start_cell,
            cells_in_row: summary.cells_in_row,
            max_rung: summary.max_rung.map(|top| top as usize),
            left_us: 0,
            returned: false,
        };
        match self.names.check_ranges(&wanted).and_then(|()| self.names.request(&wanted)) {
            Ok(request) => {
                let streamer = StreamerId(self.names.streamers.intern(&record.streamer));
                self.director.set_inherited_rungs(vec![(request.id, usize::from(record.rung))]);
                self.shared.inputs.push(Input::Playing { link: NO_LINK, request, streamer });
            }
            Err(why) => {
                warn!(self.shared.log, "a session can't be taken over: {why}; do all directors \
                have the same settings?"; "session" => format!("{id:016x}"))
            }
        }
    }

    /// Another director received the end of one of this director's sessions.
    fn apply_misrouted_end(&mut self, session: RequestId, streamer: &str, what: EndKind) {
        let Some(streamer) = self.names.streamers.get(streamer).map(StreamerId) else { return };
        let why = match what {
            EndKind::Left => return self.shared.inputs.push(Input::ViewerLeft(NO_LINK, session)),
            EndKind::Ended => SessionEnd::Ended,
            EndKind::Cut => SessionEnd::Cut,
        };
        let (description, report) = (Vec::new(), LoadReport::default());
        let released = Input::Released { streamer, session, number: None, why, description, report };
        self.shared.inputs.push(released);
    }
}

/// Logs an event in one line; the keys are stable, see docs/operators/continuity.md.
fn log_event(shared: &Shared, event: &LogEvent) {
    let (log, now) = (&shared.log, shared.now);
    let hex = |id: &u64| format!("{id:016x}");
    match event {
        LogEvent::LeaseAcquired(incarnation) => {
            info!(log, "continuity: lease acquired"; "at_us" => now, "life" => incarnation)
        }
        LogEvent::LeaseExpired(sessions) => {
            warn!(log, "continuity: the lease expired; the sessions are not acted on"; "at_us" => now,
                "sessions" => sessions);
        }
        LogEvent::HandedOver(incarnation, sessions) => {
            warn!(log, "continuity: the session set was handed over to other directors"; "at_us" => now,
                "life" => incarnation,
                "sessions" => sessions);
        }
        LogEvent::TakeoverStarted(owner, incarnation, epoch) => {
            info!(log, "continuity: takeover started"; "at_us" => now,
            "owner" => owner, "life" => incarnation, "epoch" => epoch)
        }
        LogEvent::TakeoverDone { owner, epoch, sessions, out, complete } => {
            let kept = match complete {
                Some(true) => "all",
                Some(false) => "some",
                None => "nothing",
            };
            info!(log, "estate: taken over"; "at_us" => now, "owner" => owner, "epoch" => epoch,
                "sessions" => sessions, "out" => out, "kept" => kept);
        }
        LogEvent::ReplicasChosen(names) => {
            info!(log, "continuity: replicas chosen"; "at_us" => now, "keepers" => names.join(" "));
        }
        LogEvent::ReplicaLags(name) => {
            warn!(log, "continuity: a replica lags behind; another one is chosen"; "at_us" => now,
                "keeper" => name);
        }
        LogEvent::GrantorTermStarted(grantor_term) => {
            info!(log, "continuity: this director grants leases"; "at_us" => now, "reign" => grantor_term)
        }
        LogEvent::Closing(name, incarnation) => {
            info!(log, "continuity: closing an incarnation"; "at_us" => now, "owner" => name,
            "life" => incarnation)
        }
        LogEvent::EndConfirmed(id) => {
            debug!(log, "continuity: the end of a session is confirmed"; "session" => hex(id))
        }
        LogEvent::EndUnconfirmed(id) => {
            warn!(log, "continuity: the end of a session can't be confirmed; its streamer does not answer";
                "at_us" => now, "session" => hex(id));
        }
    }
}
