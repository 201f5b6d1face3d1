//! Sessions that already play when this director gets them: handed over by the platform, or taken over from
//! another director.
//!
//! Their streamer may be one that discovery has not told of yet. Such a session waits until it has, for a
//! limited time; what ends meanwhile is ended at the streamer as soon as that is known.
use super::super::messages::*;
use super::{Ledger, Outbox, Session, SessionState};
use crate::interface::*;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// Time for discovery to tell of the streamer of a session, before the viewer is told that the session is
/// over.
const STREAMER_WAIT_US: Micros = 6_000_000;
/// Time for which a session that is over is kept, to end it at its streamer.
const ENDED_RETENTION_US: Micros = 60_000_000;
/// Most sessions that wait. Further ones are over at once.
const MAX_WAITING: usize = 4_096;

/// A session whose streamer is not listed.
#[derive(Debug)]
struct WaitingSession {
    link: ViewerLink,
    request: Request,
    streamer: StreamerId,
    /// When the wait, or the retention, is over.
    deadline: Micros,
    /// Whether it is over for its viewer. It is only kept to be ended at its streamer.
    ended: bool,
}

/// The sessions whose streamers are not listed.
#[derive(Debug, Default)]
pub(super) struct WaitingSessions {
    sessions: BTreeMap<RequestId, WaitingSession>,
    by_streamer: BTreeMap<StreamerId, BTreeSet<RequestId>>,
    /// Whether a session found no room since there was some for the last time.
    overflowed: bool,
}

impl WaitingSessions {
    fn insert(&mut self, id: RequestId, session: WaitingSession) {
        self.by_streamer.entry(session.streamer).or_default().insert(id);
        self.sessions.insert(id, session);
    }

    fn remove(&mut self, id: RequestId) -> Option<WaitingSession> {
        let session = self.sessions.remove(&id)?;
        if let Some(at_streamer) = self.by_streamer.get_mut(&session.streamer) {
            at_streamer.remove(&id);
            if at_streamer.is_empty() {
                self.by_streamer.remove(&session.streamer);
            }
        }
        Some(session)
    }

    /// Whether a session waits that is not over for its viewer.
    pub(super) fn holds(&self, id: RequestId) -> bool {
        self.sessions.get(&id).is_some_and(|session| !session.ended)
    }

    /// The sessions that are not over for their viewers, or those that are.
    pub(super) fn ids(&self, ended: bool) -> impl Iterator<Item = RequestId> {
        self.sessions.iter().filter(move |(_, session)| session.ended == ended).map(|(id, _)| *id)
    }
}

impl Ledger {
    /// Takes over a session that already plays at a streamer. It is released at once if its viewer or the
    /// streamer has ended it before the handover. If the streamer is not listed, it waits.
    pub(super) fn handle_handover(
        &mut self,
        now: Micros,
        link: ViewerLink,
        request: Request,
        streamer: StreamerId,
        out: &mut Outbox,
    ) {
        let id = request.id;
        if self.sessions.contains_key(&id) || self.waiting.sessions.contains_key(&id) {
            return; // a handover may repeat a session that this director holds
        }
        out.counters.handed_over += 1;
        let ended = self.early_ends.ended_by_viewer(now, id);
        out.counters.viewer_ended += u64::from(ended);
        if let Some(reason) = self.early_ends.take_release(now, id, streamer) {
            if !ended {
                out.session_released(link, id, reason);
            }
        } else if !self.streamers.contains_key(&streamer) {
            return self.await_streamer(now, link, request, streamer, ended, out);
        } else if ended {
            out.release_at_streamer(streamer, id);
        } else {
            return self.establish_handed_over(now, link, request, streamer, out);
        }
        self.forget_unlisted(streamer, out);
    }

    /// Records a session that plays at a listed streamer.
    fn establish_handed_over(
        &mut self,
        now: Micros,
        link: ViewerLink,
        request: Request,
        streamer: StreamerId,
        out: &mut Outbox,
    ) {
        let id = request.id;
        let inherited_rung = self.inherited_rungs.remove(&id);
        let rung = inherited_rung.or_else(|| self.lowest_rungs.get(request.class.0).copied()).unwrap_or(0);
        let session = Session {
            link,
            class: request.class,
            parcel: Rc::default(),
            state: SessionState::Established { streamer, since: now },
            rung,
            attempts: 0,
            last_sent_at: 0,
            resend_by: Micros::MAX,
            deadline: 0,
            answer_pending: false,
        };
        self.sessions.insert(id, session);
        self.established_at.entry(streamer).or_default().insert(id);
        self.update_link(link, |l| l.established += 1);
        out.events.push(Event::Preexisting(request, streamer));
        if inherited_rung.is_some() {
            let (kind, value) = (NoteKind::Rung, rung as f64);
            out.events.push(Event::Note { request: id, streamer, kind, value });
        }
        out.outputs.push(Output::Attend(streamer));
    }

    fn await_streamer(
        &mut self,
        now: Micros,
        link: ViewerLink,
        request: Request,
        streamer: StreamerId,
        ended: bool,
        out: &mut Outbox,
    ) {
        let id = request.id;
        if self.waiting.sessions.len() >= MAX_WAITING {
            if !ended {
                out.session_released(link, id, SessionEnd::Cut);
            }
            if !std::mem::replace(&mut self.waiting.overflowed, true) {
                let line = "too many sessions were handed over at streamers that discovery has not told of; \
                            further ones are over";
                out.outputs.push(Output::Log(line.into()));
            }
            return self.forget_unlisted(streamer, out);
        }
        self.waiting.overflowed = false;
        let deadline = now.saturating_add(if ended { ENDED_RETENTION_US } else { STREAMER_WAIT_US });
        self.waiting.insert(id, WaitingSession { link, request, streamer, deadline, ended });
        out.outputs.push(Output::Wake(deadline, DeadlineKind::Handover(id)));
    }

    /// Establishes, or ends, the waiting sessions of streamers in an update of the list.
    pub(super) fn admit_waiting_sessions(&mut self, now: Micros, updated: &[StreamerId], out: &mut Outbox) {
        for streamer in updated {
            let is_listed = self.streamers.contains_key(streamer);
            for id in self.waiting.by_streamer.get(streamer).cloned().unwrap_or_default() {
                let Some(WaitingSession { link, request, ended, .. }) = self.waiting.remove(id) else {
                    continue;
                };
                match (is_listed, ended) {
                    (true, true) => out.release_at_streamer(*streamer, id),
                    (true, false) => self.establish_handed_over(now, link, request, *streamer, out),
                    (false, true) => {} // the streamer is gone
                    (false, false) => out.session_released(link, id, SessionEnd::Cut),
                }
            }
        }
    }

    /// Ends a waiting session because of its viewer. Returns whether there is one.
    pub(super) fn end_waiting_session(&mut self, now: Micros, id: RequestId, out: &mut Outbox) -> bool {
        let Some(session) = self.waiting.sessions.get_mut(&id).filter(|session| !session.ended) else {
            return false;
        };
        out.counters.viewer_ended += 1;
        retain_as_ended(now, id, session, out);
        true
    }

    /// Handles the deadline of a waiting session: tells its viewer that it is over, or forgets it.
    pub(super) fn handle_handover_deadline(&mut self, now: Micros, id: RequestId, out: &mut Outbox) {
        match self.waiting.sessions.get_mut(&id) {
            Some(session) if session.deadline > now => {}
            Some(session) if !session.ended => {
                out.session_released(session.link, id, SessionEnd::Cut);
                retain_as_ended(now, id, session, out);
            }
            Some(_) => self.forget_waiting_session(id, out),
            None => {}
        }
    }

    /// Forgets a waiting session, if there is one.
    pub(super) fn forget_waiting_session(&mut self, id: RequestId, out: &mut Outbox) {
        if let Some(session) = self.waiting.remove(id) {
            self.forget_unlisted(session.streamer, out);
        }
    }

    /// Tells the viewers of all waiting sessions that they are over, at shutdown without a successor.
    pub(super) fn release_waiting_sessions(&mut self, out: &mut Outbox) {
        for (id, session) in std::mem::take(&mut self.waiting).sessions {
            if !session.ended {
                out.session_released(session.link, id, SessionEnd::Cut);
            }
        }
    }

    /// Lets the transport forget the name of a streamer that is neither listed nor waited for.
    fn forget_unlisted(&self, streamer: StreamerId, out: &mut Outbox) {
        if !self.streamers.contains_key(&streamer) && !self.waiting.by_streamer.contains_key(&streamer) {
            out.outputs.push(Output::Forget(streamer));
        }
    }
}

/// Keeps a waiting session that is over for its viewer.
fn retain_as_ended(now: Micros, id: RequestId, session: &mut WaitingSession, out: &mut Outbox) {
    session.ended = true;
    session.deadline = now.saturating_add(ENDED_RETENTION_US);
    out.outputs.push(Output::Wake(session.deadline, DeadlineKind::Handover(id)));
}
