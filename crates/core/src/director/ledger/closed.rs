//! The ledger's end: all that is open is answered, what stands is released, and what still comes is refused.
use super::super::messages::*;
use super::{Ledger, Outbox, Session, SessionState};
use crate::interface::*;

/// How long a client refused at the end is told to stay away: another director may serve it at once.
const SHUTDOWN_HOLD_OFF_US: Micros = 50_000;

impl Ledger {
    /// Ends everything at the director's own end: requests are answered, and sessions are released on both
    /// sides but where an heir takes them over.
    pub(in crate::director) fn close(&mut self, keep_established: bool, out: &mut Outbox) {
        for (id, session) in std::mem::take(&mut self.sessions) {
            answer_open_request(id, &session, out);
            match session.state {
                SessionState::Established { .. } if keep_established => {}
                SessionState::Established { streamer, .. } => {
                    release_on_both_sides(session.link, id, streamer, out)
                }
                SessionState::InFlight { streamer, number, .. } => {
                    out.outputs.push(Deed::GiveUp(streamer, Attempt { session: id, number }));
                }
                SessionState::Placing | SessionState::Canceling { .. } => {}
            }
        }
        self.established_at.clear();
        self.links.clear();
    }

    /// Answers what comes after the end.
    pub(in crate::director) fn handle_input_after_close(
        &self,
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
                out.outputs.push(Deed::Spurn(link, id));
            }
            Input::Playing { link, request, streamer } if !keep_established => {
                release_on_both_sides(link, request.id, streamer, out);
            }
            Input::Stands { streamer, session, .. } => {
                out.counters.late_answers += 1;
                out.outputs.push(Deed::Drop(streamer, session));
            }
            _ => {}
        }
    }
}

/// The final answer to a request that is open at the end: refused where no attempt was begun.
fn answer_open_request(id: RequestId, session: &Session, out: &mut Outbox) {
    if !session.answer_pending {
        return;
    }
    if session.attempts == 0 {
        return refuse_request(session.link, id, session.class, out);
    }
    out.counters.failed += 1;
    out.count_answer(session.class, |c| &mut c.faulted);
    out.outputs.push(Deed::Fail(session.link, id));
}

fn refuse_request(link: ViewerLink, id: RequestId, class: ClassId, out: &mut Outbox) {
    out.counters.refused += 1;
    out.count_answer(class, |c| &mut c.throttled);
    out.outputs.push(Deed::Refuse(link, id, SHUTDOWN_HOLD_OFF_US));
}

/// Releases a session on both sides.
fn release_on_both_sides(link: ViewerLink, id: RequestId, streamer: StreamerId, out: &mut Outbox) {
    out.counters.cut += 1;
    out.outputs.push(Deed::Release(link, id, Over::Cut));
    out.outputs.push(Deed::Drop(streamer, id));
}
