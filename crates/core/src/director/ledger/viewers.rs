//! The ledger's steps towards viewers: requests and hand-overs that come, viewers that leave, final answers.
use super::super::messages::*;
use super::{ANSWER_GRACE_US, ANSWER_MARGIN_US, Ledger, Outbox, Session, SessionState};
use crate::interface::*;
use std::rc::Rc;

impl Ledger {
    pub(super) fn handle_session_request(
        &mut self,
        now: Micros,
        link: ViewerLink,
        request: Request,
        parcel: Rc<Parcel>,
        out: &mut Outbox,
    ) {
        let id = request.id;
        if self.sessions.contains_key(&id) {
            return self.reject_set_up(link, id, out);
        }
        out.counters.taken += 1;
        let request = Request { beside: self.counts_on_link(link).0, ..request };
        let deadline = now.saturating_add(request.left_us.saturating_sub(ANSWER_MARGIN_US));
        let rung = self.lowest_rungs.get(request.class.0).copied().unwrap_or(0);
        let state = SessionState::Placing;
        let class = request.class;
        let (attempts, last_sent_at, resend_by, answer_pending) = (0, 0, Micros::MAX, true);
        let session = Session {
            link,
            class,
            parcel,
            state,
            rung,
            attempts,
            last_sent_at,
            resend_by,
            deadline,
            answer_pending,
        };
        self.sessions.insert(id, session);
        self.update_link(link, |l| {
            l.pending.insert(id);
        });
        out.outputs.push(Deed::Wake(deadline.saturating_add(ANSWER_GRACE_US), Due::Answer(id)));
        out.events.push(Event::Inbound(request));
    }

    /// A set-up that can't be used, as one under a number that is taken. Where that number is open on the
    /// same connection the viewer can't tell whose answer it gets: both have failed. A session that came on
    /// another connection is not touched.
    pub(super) fn reject_set_up(&mut self, link: ViewerLink, id: RequestId, out: &mut Outbox) {
        out.counters.unusable += 1;
        match self.sessions.get(&id) {
            Some(s) if s.link == link && matches!(s.state, SessionState::Established { .. }) => {
                out.counters.strays += 1; // answered already; one more would end what stands
                return;
            }
            Some(s) if s.link == link && s.answer_pending => {
                out.count_answer(s.class, |c| &mut c.faulted);
                self.clear_pending_answer(id);
                self.cancel_request(id, out);
            }
            _ => {}
        }
        out.outputs.push(Deed::Spurn(link, id));
    }

    pub(super) fn handle_handover(
        &mut self,
        now: Micros,
        link: ViewerLink,
        request: Request,
        streamer: StreamerId,
        out: &mut Outbox,
    ) {
        let id = request.id;
        if self.sessions.contains_key(&id) {
            return; // it may name what is held already
        }
        out.counters.handed_over += 1;
        if let Some(reason) = self.take_early_release(id, streamer) {
            return out.session_released(link, id, reason);
        }
        if self.streamers.get(&streamer).is_none_or(|s| *s == Standing::Gone) {
            out.counters.cut += 1;
            out.outputs.push(Deed::Release(link, id, Over::Cut));
            return;
        }
        let inherited_rung = self.inherited_rungs.remove(&id);
        let rung = inherited_rung.or_else(|| self.lowest_rungs.get(request.class.0).copied()).unwrap_or(0);
        let state = SessionState::Established { streamer, since: now };
        let parcel = Rc::default();
        let class = request.class;
        let (attempts, last_sent_at, resend_by, deadline, answer_pending) = (0, 0, Micros::MAX, 0, false);
        let session = Session {
            link,
            class,
            parcel,
            state,
            rung,
            attempts,
            last_sent_at,
            resend_by,
            deadline,
            answer_pending,
        };
        self.sessions.insert(id, session);
        self.established_at.entry(streamer).or_default().insert(id);
        self.update_link(link, |l| l.established += 1);
        out.events.push(Event::Preexisting(request, streamer));
        if inherited_rung.is_some() {
            let (kind, value) = (NoteKind::Rung, rung as f64);
            out.events.push(Event::Note { request: id, streamer, kind, value });
        }
        out.outputs.push(Deed::Attend(streamer));
    }

    /// What ends a session may come on any connection, what gives a set-up up on its own alone.
    pub(super) fn handle_viewer_left(&mut self, link: ViewerLink, id: RequestId, out: &mut Outbox) {
        let Some(session) = self.sessions.get(&id).filter(|s| !s.answer_pending || s.link == link) else {
            out.counters.strays += 1;
            return;
        };
        if let SessionState::Established { streamer, .. } = session.state {
            out.counters.viewer_ended += 1;
            out.outputs.push(Deed::Drop(streamer, id));
            return self.remove_session(id, streamer, Outcome::Canceled, LoadReport::default(), out);
        }
        if session.answer_pending {
            out.counters.left_early += 1;
            self.clear_pending_answer(id);
            self.cancel_request(id, out);
        }
    }

    /// The viewer will never hear that its session stands, and so will not end it: it is ended from here.
    pub(super) fn handle_undelivered_answer(&mut self, id: RequestId, out: &mut Outbox) {
        let Some(SessionState::Established { streamer, .. }) = self.sessions.get(&id).map(|s| s.state) else {
            return;
        };
        out.counters.undelivered += 1;
        out.outputs.push(Deed::Drop(streamer, id));
        self.remove_session(id, streamer, Outcome::Canceled, LoadReport::default(), out);
    }

    /// Nothing is owed for this request any more: an attempt that is out is given up.
    pub(super) fn cancel_request(&mut self, id: RequestId, out: &mut Outbox) {
        let Some(session) = self.sessions.get_mut(&id) else { return };
        out.events.push(Event::ClientGone(id));
        match session.state {
            SessionState::InFlight { streamer, number, .. } => {
                session.state = SessionState::Canceling { streamer, number, outcome: Outcome::Canceled };
                out.outputs.push(Deed::GiveUp(streamer, Attempt { session: id, number }));
            }
            SessionState::Placing => {
                self.sessions.remove(&id);
            }
            SessionState::Canceling { .. } | SessionState::Established { .. } => {}
        }
    }

    /// The viewer's time is up and the module has not answered: a give-up still waits to be written.
    pub(super) fn fail_unanswered(&mut self, id: RequestId, out: &mut Outbox) {
        let Some(session) = self.sessions.get(&id).filter(|s| s.answer_pending) else { return };
        out.counters.failed += 1;
        out.count_answer(session.class, |c| &mut c.faulted);
        out.outputs.push(Deed::Fail(session.link, id));
        self.clear_pending_answer(id);
        self.cancel_request(id, out);
    }

    /// Takes a request off the books for its final answer; `None` where none is owed.
    pub(super) fn remove_unanswered(&mut self, id: RequestId) -> Option<(ViewerLink, ClassId)> {
        let session =
            self.sessions.get(&id).filter(|s| s.answer_pending && s.state == SessionState::Placing)?;
        let (link, class) = (session.link, session.class);
        self.clear_pending_answer(id);
        self.sessions.remove(&id);
        Some((link, class))
    }
}
