//! The viewer side of the ledger: new requests, viewers that leave, and final answers.
use super::super::messages::*;
use super::{ANSWER_GRACE_US, ANSWER_MARGIN_US, Ledger, Outbox, Session, SessionState};
use crate::interface::*;
use std::rc::Rc;

impl Ledger {
    /// Records a new request and passes it to the controller.
    pub(super) fn handle_session_request(
        &mut self,
        now: Micros,
        link: ViewerLink,
        request: Request,
        parcel: Rc<Parcel>,
        out: &mut Outbox,
    ) {
        let id = request.id;
        if self.contains(id) {
            return self.reject_set_up(link, id, out);
        }
        out.counters.taken += 1;
        self.early_ends.forget(id);
        self.forget_waiting_session(id, out);
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
        out.outputs.push(Output::Wake(deadline.saturating_add(ANSWER_GRACE_US), DeadlineKind::Answer(id)));
        out.events.push(Event::Inbound(request));
    }

    /// Rejects a set-up that cannot be used, such as one with a session id that is already in use. If a
    /// request with the same id is pending on the same connection, the viewer could not tell which of the two
    /// an answer belongs to, so both fail. A session from another connection is left alone.
    pub(super) fn reject_set_up(&mut self, link: ViewerLink, id: RequestId, out: &mut Outbox) {
        out.counters.unusable += 1;
        match self.sessions.get(&id) {
            Some(s) if s.link == link && matches!(s.state, SessionState::Established { .. }) => {
                out.counters.strays += 1; // a second answer would end the established session
                return;
            }
            Some(s) if s.link == link && s.answer_pending => {
                out.count_answer(s.class, |c| &mut c.faulted);
                self.clear_pending_answer(id);
                self.cancel_request(id, out);
            }
            _ => {}
        }
        out.outputs.push(Output::Spurn(link, id));
    }

    /// Ends a session or cancels a pending set-up at the viewer's request. An established session may be
    /// ended from any connection, a pending set-up may be canceled only from its own. The end of a session
    /// that is not known here is kept: another process may hold it and hand it over.
    pub(super) fn handle_viewer_left(
        &mut self,
        now: Micros,
        link: ViewerLink,
        id: RequestId,
        out: &mut Outbox,
    ) {
        if self.end_waiting_session(now, id, out) {
            return;
        }
        let Some(session) = self.sessions.get(&id) else {
            out.counters.strays += 1;
            return out.end_kept(self.early_ends.keep_viewer_end(now, id, link));
        };
        if session.answer_pending && session.link != link {
            out.counters.strays += 1;
            return;
        }
        if let SessionState::Established { streamer, .. } = session.state {
            out.counters.viewer_ended += 1;
            out.release_at_streamer(streamer, id);
            return self.remove_session(id, streamer, Outcome::Canceled, LoadReport::default(), out);
        }
        if session.answer_pending {
            out.counters.left_early += 1;
            self.clear_pending_answer(id);
            self.cancel_request(id, out);
        }
    }

    /// Ends a session whose answer could not be delivered. The viewer does not know that the session is
    /// established and so will never end it.
    pub(super) fn handle_undelivered_answer(&mut self, id: RequestId, out: &mut Outbox) {
        let Some(SessionState::Established { streamer, .. }) = self.sessions.get(&id).map(|s| s.state) else {
            return;
        };
        out.counters.undelivered += 1;
        out.release_at_streamer(streamer, id);
        self.remove_session(id, streamer, Outcome::Canceled, LoadReport::default(), out);
    }

    /// Cancels a request that needs no final answer any more, with the attempt that is in flight.
    pub(super) fn cancel_request(&mut self, id: RequestId, out: &mut Outbox) {
        let Some(session) = self.sessions.get_mut(&id) else { return };
        out.events.push(Event::ClientGone(id));
        match session.state {
            SessionState::InFlight { streamer, number, .. } => {
                session.state = SessionState::Canceling { streamer, number, outcome: Outcome::Canceled };
                out.outputs.push(Output::GiveUp(streamer, Attempt { session: id, number }));
            }
            SessionState::Placing => {
                self.sessions.remove(&id);
            }
            SessionState::Canceling { .. } | SessionState::Established { .. } => {}
        }
    }

    /// Fails a request that is still unanswered, for example because its time is up while the controller
    /// cannot answer yet: the cancellation of an attempt still waits to be written.
    pub(super) fn fail_unanswered(&mut self, id: RequestId, out: &mut Outbox) {
        let Some(session) = self.sessions.get(&id).filter(|s| s.answer_pending) else { return };
        out.counters.failed += 1;
        out.count_answer(session.class, |c| &mut c.faulted);
        out.outputs.push(Output::Fail(session.link, id));
        self.clear_pending_answer(id);
        self.cancel_request(id, out);
    }

    /// Removes a request in order to answer it; `None` if no answer is pending or an attempt is not over.
    pub(super) fn remove_unanswered(&mut self, id: RequestId) -> Option<(ViewerLink, ClassId)> {
        let session =
            self.sessions.get(&id).filter(|s| s.answer_pending && s.state == SessionState::Placing)?;
        let (link, class) = (session.link, session.class);
        self.clear_pending_answer(id);
        self.sessions.remove(&id);
        Some((link, class))
    }
}
