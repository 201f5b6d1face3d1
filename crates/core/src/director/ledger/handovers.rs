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
    /// When the wait, or the retention, is over.
    deadline: Micros,
    /// Whether it is over for its viewer. It is only kept to be ended at its streamer.
    ended: bool,
}

/// The sessions whose streamers are not listed.
#[derive(Debug, Default)]
pub(super) struct WaitingSessions {
    sessions: BTreeMap<SessionAtStreamer, WaitingSession>,
    by_streamer: BTreeMap<StreamerId, BTreeSet<RequestId>>,
    /// Whether a session found no room since there was some for the last time.
    overflowed: bool,
}

impl WaitingSessions {
    fn insert(&mut self, at: SessionAtStreamer, session: WaitingSession) {
        self.by_streamer.entry(at.streamer).or_default().insert(at.session);
        self.sessions.insert(at, session);
    }

    fn remove(&mut self, at: SessionAtStreamer) -> Option<WaitingSession> {
        let session = self.sessions.remove(&at)?;
        if let Some(at_streamer) = self.by_streamer.get_mut(&at.streamer) {
            at_streamer.remove(&at.session);
            if at_streamer.is_empty() {
                self.by_streamer.remove(&at.streamer);
            }
        }
        Some(session)
    }

    /// The streamers of one session.
    fn of_session(&self, id: RequestId) -> impl Iterator<Item = (&SessionAtStreamer, &WaitingSession)> {
        let at = |streamer| SessionAtStreamer { session: id, streamer };
        self.sessions.range(at(StreamerId(0))..=at(StreamerId(u32::MAX)))
    }

    /// The streamer at which a session waits that is not over for its viewer.
    fn streamer_of(&self, id: RequestId) -> Option<StreamerId> {
        self.of_session(id).find(|(_, session)| !session.ended).map(|(at, _)| at.streamer)
    }

    /// Whether a session waits that is not over for its viewer.
    pub(super) fn holds(&self, id: RequestId) -> bool {
        self.streamer_of(id).is_some()
    }

    /// The sessions that are not over for their viewers, or those that are.
    pub(super) fn sessions(&self, ended: bool) -> impl Iterator<Item = SessionAtStreamer> {
        self.sessions.iter().filter(move |(_, session)| session.ended == ended).map(|(at, _)| *at)
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
        let at = SessionAtStreamer { session: id, streamer };
        let current = self.sessions.get(&id).and_then(|session| session.state.streamer());
        if current == Some(streamer) || self.waiting.sessions.contains_key(&at) {
            return; // a handover may repeat a session that this director holds
        }
        if self.early_ends.released_by_predecessor(now, at) {
            return self.release_handed_over(now, link, request, streamer, out);
        }
        if self.contains(id) {
            return; // it stands, or is being set up, at another streamer
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

    /// Releases a session that still plays at a streamer at which the previous process has released it. Its
    /// viewer is owed no message: that process has told it, or the session plays at another streamer.
    fn release_handed_over(
        &mut self,
        now: Micros,
        link: ViewerLink,
        request: Request,
        streamer: StreamerId,
        out: &mut Outbox,
    ) {
        if self.streamers.contains_key(&streamer) {
            out.release_at_streamer(streamer, request.id);
        } else {
            self.await_streamer(now, link, request, streamer, true, out);
        }
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
        let at = SessionAtStreamer { session: id, streamer };
        self.waiting.insert(at, WaitingSession { link, request, deadline, ended });
        out.outputs.push(Output::Wake(deadline, DeadlineKind::Handover(at)));
    }

    /// Establishes, or ends, the waiting sessions of streamers in an update of the list.
    pub(super) fn admit_waiting_sessions(&mut self, now: Micros, updated: &[StreamerId], out: &mut Outbox) {
        for streamer in updated {
            let is_listed = self.streamers.contains_key(streamer);
            for id in self.waiting.by_streamer.get(streamer).cloned().unwrap_or_default() {
                let at = SessionAtStreamer { session: id, streamer: *streamer };
                let Some(WaitingSession { link, request, ended, .. }) = self.waiting.remove(at) else {
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
        let Some(streamer) = self.waiting.streamer_of(id) else { return false };
        out.counters.viewer_ended += 1;
        self.retain_as_ended(now, SessionAtStreamer { session: id, streamer }, out)
    }

    /// Keeps a waiting session that is over for its viewer, to end it at its streamer. Returns whether there
    /// is one that was not over.
    pub(super) fn retain_as_ended(&mut self, now: Micros, at: SessionAtStreamer, out: &mut Outbox) -> bool {
        let Some(session) = self.waiting.sessions.get_mut(&at).filter(|session| !session.ended) else {
            return false;
        };
        session.ended = true;
        session.deadline = now.saturating_add(ENDED_RETENTION_US);
        out.outputs.push(Output::Wake(session.deadline, DeadlineKind::Handover(at)));
        true
    }

    /// Ends a waiting session because of its streamer's release. Returns whether there is one.
    pub(super) fn end_waiting_session_by_streamer(
        &mut self,
        at: SessionAtStreamer,
        reason: SessionEnd,
        out: &mut Outbox,
    ) -> bool {
        let Some(session) = self.waiting.remove(at) else { return false };
        if !session.ended {
            out.session_released(session.link, at.session, reason);
        }
        self.forget_unlisted(at.streamer, out);
        true
    }

    /// Handles the deadline of a waiting session: tells its viewer that it is over, or forgets it.
    pub(super) fn handle_handover_deadline(&mut self, now: Micros, at: SessionAtStreamer, out: &mut Outbox) {
        match self.waiting.sessions.get(&at) {
            Some(session) if session.deadline > now => {}
            Some(session) if !session.ended => {
                out.session_released(session.link, at.session, SessionEnd::Cut);
                self.retain_as_ended(now, at, out);
            }
            Some(_) => {
                self.waiting.remove(at);
                self.early_ends.expire(now);
                self.forget_unlisted(at.streamer, out);
            }
            None => {}
        }
    }

    /// Forgets a waiting session at whichever streamers, if there is one.
    pub(super) fn forget_waiting_session(&mut self, id: RequestId, out: &mut Outbox) {
        let at_streamers: Vec<SessionAtStreamer> = self.waiting.of_session(id).map(|(at, _)| *at).collect();
        for at in at_streamers {
            self.waiting.remove(at);
            self.forget_unlisted(at.streamer, out);
        }
    }

    /// Tells the viewers of all waiting sessions that they are over, at shutdown without a successor.
    pub(super) fn release_waiting_sessions(&mut self, out: &mut Outbox) {
        for (at, session) in std::mem::take(&mut self.waiting).sessions {
            if !session.ended {
                out.session_released(session.link, at.session, SessionEnd::Cut);
            }
        }
    }

    /// Lets the transport forget the name of a streamer that is neither listed nor waited for, and at which
    /// no end is kept.
    fn forget_unlisted(&self, streamer: StreamerId, out: &mut Outbox) {
        let is_known = self.streamers.contains_key(&streamer)
            || self.waiting.by_streamer.contains_key(&streamer)
            || self.early_ends.concern(streamer);
        if !is_known {
            out.outputs.push(Output::Forget(streamer));
        }
    }
}
