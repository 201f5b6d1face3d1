//! Shutdown of the ledger: answers pending requests, releases established sessions or leaves them to a
//! successor, and refuses requests that arrive later.
use super::super::messages::*;
use super::{Ledger, Outbox, Session, SessionState};
use crate::interface::*;

/// Hold-off for clients refused during shutdown. It is short, since another director may serve them at once.
const SHUTDOWN_HOLD_OFF_US: Micros = 50_000;

impl Ledger {
    /// Shuts the ledger down: answers all requests, and releases established sessions at viewer and streamer
    /// unless `keep_established` is set because a successor takes them over. Those may still end here.
    pub(in crate::director) fn close(&mut self, keep_established: bool, out: &mut Outbox) {
        for (id, session) in std::mem::take(&mut self.sessions) {
            answer_open_request(id, &session, out);
            match session.state {
                SessionState::Established { .. } if keep_established => {
                    self.sessions.insert(id, session);
                }
                SessionState::Established { streamer, .. } => {
                    release_on_both_sides(session.link, id, streamer, out)
                }
                SessionState::InFlight { streamer, number, .. } => {
                    out.outputs.push(Output::GiveUp(streamer, Attempt { session: id, number }));
                }
                SessionState::Placing | SessionState::Canceling { .. } => {}
            }
        }
        if !keep_established {
            self.release_waiting_sessions(out);
            self.established_at.clear();
        }
        self.links.clear();
    }

    /// Handles an input that arrives after [`Ledger::close`].
    pub(in crate::director) fn handle_input_after_close(
        &mut self,
        now: Micros,
        input: Input,
        keep_established: bool,
        out: &mut Outbox,
    ) {
        match input {
            Input::Wanted { link, request, .. } => {
                out.counters.taken += 1;
                refuse_request(link, request.id, request.class, out);
            }
            Input::Unusable(link, id) => {
                out.counters.unusable += 1;
                out.outputs.push(Output::Spurn(link, id));
            }
            Input::Playing { link, request, streamer } if !keep_established => {
                release_on_both_sides(link, request.id, streamer, out);
            }
            Input::Stands { streamer, session, .. } => {
                out.counters.late_answers += 1;
                out.release_at_streamer(streamer, session);
            }
            Input::ReleaseUnread(..) => self.handle_input(now, input, out),
            // The successor is not told of the end of a session that it takes over.
            Input::ViewerLeft(..) | Input::Undelivered(_) | Input::Unread(_) | Input::Released { .. }
                if keep_established =>
            {
                self.handle_input(now, input, out)
            }
            _ => {}
        }
    }
}

/// Sends the final answer to a request that is pending at shutdown: refused if no attempt was made, failed
/// otherwise.
fn answer_open_request(id: RequestId, session: &Session, out: &mut Outbox) {
    if !session.answer_pending {
        return;
    }
    if session.attempts == 0 {
        return refuse_request(session.link, id, session.class, out);
    }
    out.counters.failed += 1;
    out.count_answer(session.class, |c| &mut c.faulted);
    out.outputs.push(Output::Fail(session.link, id));
}

/// Refuses a request with the hold-off for shutdown.
fn refuse_request(link: ViewerLink, id: RequestId, class: ClassId, out: &mut Outbox) {
    out.counters.refused += 1;
    out.count_answer(class, |c| &mut c.throttled);
    out.outputs.push(Output::Refuse(link, id, SHUTDOWN_HOLD_OFF_US));
}

/// Releases a session at its viewer and at its streamer.
fn release_on_both_sides(link: ViewerLink, id: RequestId, streamer: StreamerId, out: &mut Outbox) {
    out.counters.cut += 1;
    out.outputs.push(Output::Release(link, id, SessionEnd::Cut));
    out.release_at_streamer(streamer, id);
}
