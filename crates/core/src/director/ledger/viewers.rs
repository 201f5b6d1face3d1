//! The ledger's steps towards viewers: requests and hand-overs that come, viewers that leave, final answers.
use super::super::messages::*;
use super::{ANSWER_GRACE_US, ANSWER_MARGIN_US, Ledger, Outbox, Session, Stage};
use crate::interface::*;
use std::rc::Rc;

impl Ledger {
    pub(super) fn wanted(
        &mut self,
        now: Micros,
        link: ViewerLink,
        request: Request,
        parcel: Rc<Parcel>,
        out: &mut Outbox,
    ) {
        let id = request.id;
        if self.sessions.contains_key(&id) {
            return self.unusable(link, id, out);
        }
        out.counters.taken += 1;
        let request = Request { beside: self.counts_on_link(link).0, ..request };
        let deadline = now.saturating_add(request.left_us.saturating_sub(ANSWER_MARGIN_US));
        let rung = self.floors.get(request.class.0).copied().unwrap_or(0);
        let stage = Stage::Deciding;
        let class = request.class;
        let (attempts, sent_at, repeat_by, owed) = (0, 0, Micros::MAX, true);
        let session =
            Session { link, class, parcel, stage, rung, attempts, sent_at, repeat_by, deadline, owed };
        self.sessions.insert(id, session);
        self.on(link, |l| {
            l.open.insert(id);
        });
        out.outputs.push(Deed::Wake(deadline.saturating_add(ANSWER_GRACE_US), Due::Answer(id)));
        out.events.push(Event::Inbound(request));
    }

    /// A set-up that can't be used, as one under a number that is taken. Where that number is open on the
    /// same connection the viewer can't tell whose answer it gets: both have failed. A session that came on
    /// another connection is not touched.
    pub(super) fn unusable(&mut self, link: ViewerLink, id: RequestId, out: &mut Outbox) {
        out.counters.unusable += 1;
        match self.sessions.get(&id) {
            Some(s) if s.link == link && matches!(s.stage, Stage::Standing { .. }) => {
                out.counters.strays += 1; // answered already; one more would end what stands
                return;
            }
            Some(s) if s.link == link && s.owed => {
                out.answered(s.class, |c| &mut c.faulted);
                self.discharge(id);
                self.abandon(id, out);
            }
            _ => {}
        }
        out.outputs.push(Deed::Spurn(link, id));
    }

    pub(super) fn playing(
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
        if let Some(why) = self.released_early(id, streamer) {
            return out.released_of(link, id, why);
        }
        if self.fleet.get(&streamer).is_none_or(|s| *s == Standing::Gone) {
            out.counters.cut += 1;
            out.outputs.push(Deed::Release(link, id, Over::Cut));
            return;
        }
        let left = self.left.remove(&id);
        let rung = left.or_else(|| self.floors.get(request.class.0).copied()).unwrap_or(0);
        let stage = Stage::Standing { streamer, since: now };
        let parcel = Rc::default();
        let class = request.class;
        let (attempts, sent_at, repeat_by, deadline, owed) = (0, 0, Micros::MAX, 0, false);
        let session =
            Session { link, class, parcel, stage, rung, attempts, sent_at, repeat_by, deadline, owed };
        self.sessions.insert(id, session);
        self.standing_at.entry(streamer).or_default().insert(id);
        self.on(link, |l| l.standing += 1);
        out.events.push(Event::Preexisting(request, streamer));
        if left.is_some() {
            let (kind, value) = (NoteKind::Rung, rung as f64);
            out.events.push(Event::Note { request: id, streamer, kind, value });
        }
        out.outputs.push(Deed::Attend(streamer));
    }

    /// What ends a session may come on any connection, what gives a set-up up on its own alone.
    pub(super) fn viewer_left(&mut self, link: ViewerLink, id: RequestId, out: &mut Outbox) {
        let Some(session) = self.sessions.get(&id).filter(|s| !s.owed || s.link == link) else {
            out.counters.strays += 1;
            return;
        };
        if let Stage::Standing { streamer, .. } = session.stage {
            out.counters.viewer_ended += 1;
            out.outputs.push(Deed::Drop(streamer, id));
            return self.over(id, streamer, Outcome::Canceled, LoadReport::default(), out);
        }
        if session.owed {
            out.counters.left_early += 1;
            self.discharge(id);
            self.abandon(id, out);
        }
    }

    /// The viewer will never hear that its session stands, and so will not end it: it is ended from here.
    pub(super) fn undelivered(&mut self, id: RequestId, out: &mut Outbox) {
        let Some(Stage::Standing { streamer, .. }) = self.sessions.get(&id).map(|s| s.stage) else { return };
        out.counters.undelivered += 1;
        out.outputs.push(Deed::Drop(streamer, id));
        self.over(id, streamer, Outcome::Canceled, LoadReport::default(), out);
    }

    /// Nothing is owed for this request any more: an attempt that is out is given up.
    pub(super) fn abandon(&mut self, id: RequestId, out: &mut Outbox) {
        let Some(session) = self.sessions.get_mut(&id) else { return };
        out.events.push(Event::ClientGone(id));
        match session.stage {
            Stage::Out { streamer, number, .. } => {
                session.stage = Stage::GivingUp { streamer, number, outcome: Outcome::Canceled };
                out.outputs.push(Deed::GiveUp(streamer, Attempt { session: id, number }));
            }
            Stage::Deciding => {
                self.sessions.remove(&id);
            }
            Stage::GivingUp { .. } | Stage::Standing { .. } => {}
        }
    }

    /// The viewer's time is up and the module has not answered: a give-up still waits to be written.
    pub(super) fn answer_due(&mut self, id: RequestId, out: &mut Outbox) {
        let Some(session) = self.sessions.get(&id).filter(|s| s.owed) else { return };
        out.counters.failed += 1;
        out.answered(session.class, |c| &mut c.faulted);
        out.outputs.push(Deed::Fail(session.link, id));
        self.discharge(id);
        self.abandon(id, out);
    }

    /// Takes a request off the books for its final answer; `None` where none is owed.
    pub(super) fn settle(&mut self, id: RequestId) -> Option<(ViewerLink, ClassId)> {
        let session = self.sessions.get(&id).filter(|s| s.owed && s.stage == Stage::Deciding)?;
        let (link, class) = (session.link, session.class);
        self.discharge(id);
        self.sessions.remove(&id);
        Some((link, class))
    }
}
