//! What one process of a director leaves to the process that replaces it.
use super::super::messages::*;
use super::early_ends::LIFETIME_US;
use super::{Ledger, Outbox, SessionState};
use crate::interface::*;
use std::collections::BTreeSet;

impl Ledger {
    /// What a successor has to know: the established sessions, and the ends that it may not have heard of.
    /// What this process has from its own predecessor and could not use passes on as well.
    pub(in crate::director) fn handover(&mut self, now: Micros, out: &Outbox) -> Handover {
        Handover {
            rungs: self.rungs_for_successor(now),
            ended: self.early_ends.ended_by_viewers(now),
            released: self.releases_for_successor(now, out),
            released_by_streamers: self.early_ends.ended_by_streamers(now),
        }
    }

    fn rungs_for_successor(&self, now: Micros) -> Vec<(RequestId, usize)> {
        let established =
            self.sessions.iter().filter(|(_, s)| matches!(s.state, SessionState::Established { .. }));
        let mut rungs: Vec<_> = established.map(|(id, s)| (*id, s.rung)).collect();
        let rung_of = |id: RequestId| Some((id, *self.inherited_rungs.get(&id)?));
        rungs.extend(self.waiting.sessions(false).filter_map(|at| rung_of(at.session)));
        // Sessions that this process was to be handed over may be handed over to its successor.
        if self.inherited_at.is_some_and(|at| at.saturating_add(LIFETIME_US) > now) {
            let unclaimed = self.inherited_rungs.iter().filter(|(id, _)| !self.contains(**id));
            rungs.extend(unclaimed.map(|(id, rung)| (*id, *rung)));
        }
        rungs
    }

    /// What was released at streamers, other than sessions that have an attempt or stand there by now.
    fn releases_for_successor(&mut self, now: Micros, out: &Outbox) -> Vec<SessionAtStreamer> {
        let mut released: BTreeSet<SessionAtStreamer> = out.recent_releases.iter().copied().collect();
        released.retain(|at| {
            let current = self.sessions.get(&at.session).and_then(|session| session.state.streamer());
            current != Some(at.streamer)
        });
        released.extend(self.waiting.sessions(true));
        released.extend(self.early_ends.inherited_releases(now));
        released.into_iter().collect()
    }

    /// Stores rungs that apply once their sessions are handed over.
    pub(in crate::director) fn restore_rungs(&mut self, rungs: Vec<(RequestId, usize)>) {
        self.inherited_rungs.extend(rungs);
    }

    /// Loads what the previous process has left. Its rungs apply once their sessions are handed over, and so
    /// do the ends. Of the sessions held already, those end that viewers have ended at the previous process.
    /// Those that it released itself do not: they were set up anew here, or play at another streamer.
    pub(in crate::director) fn inherit(&mut self, now: Micros, handover: Handover, out: &mut Outbox) {
        self.restore_rungs(handover.rungs);
        self.inherited_at = Some(now);
        for id in handover.ended {
            match self.sessions.get(&id).map(|s| s.state) {
                Some(SessionState::Established { .. }) => self.handle_viewer_left(now, NO_LINK, id, out),
                Some(_) => {}
                None => self.inherit_viewer_end(now, id, out),
            }
        }
        for at in handover.released {
            let current = self.sessions.get(&at.session).and_then(|session| session.state.streamer());
            if current != Some(at.streamer) && !self.retain_as_ended(now, at, out) {
                out.end_kept(self.early_ends.keep_inherited_release(now, at));
            }
        }
        for (at, reason) in handover.released_by_streamers {
            let is_held = self.sessions.contains_key(&at.session);
            if !is_held && !self.end_waiting_session_by_streamer(at, reason, out) {
                out.end_kept(self.early_ends.keep_inherited_streamer_release(now, at, reason));
            }
        }
    }

    /// Applies a viewer's end of a session that the previous process held to the session that waits for its
    /// streamer, or keeps it for the hand-over.
    fn inherit_viewer_end(&mut self, now: Micros, id: RequestId, out: &mut Outbox) {
        if !self.end_waiting_session(now, id, out) {
            out.end_kept(self.early_ends.keep_inherited_end(now, id));
        }
    }
}
