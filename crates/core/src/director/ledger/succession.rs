//! What one process of a director leaves to the process that replaces it.
use super::super::messages::*;
use super::{Ledger, Outbox, SessionState};
use crate::interface::*;

impl Ledger {
    /// What a successor has to know: the established sessions, and the ends that it may not have heard of.
    pub(in crate::director) fn handover(&mut self, now: Micros, out: &Outbox) -> Handover {
        let established =
            self.sessions.iter().filter(|(_, s)| matches!(s.state, SessionState::Established { .. }));
        let mut rungs: Vec<_> = established.map(|(id, s)| (*id, s.rung)).collect();
        rungs.extend(self.waiting.ids(false).filter_map(|id| Some((id, *self.inherited_rungs.get(&id)?))));
        let released = out.recent_releases.iter().copied().chain(self.waiting.ids(true)).collect();
        Handover { rungs, ended: self.early_ends.ended_by_viewers(now), released }
    }

    /// Stores rungs that apply once their sessions are handed over.
    pub(in crate::director) fn restore_rungs(&mut self, rungs: Vec<(RequestId, usize)>) {
        self.inherited_rungs.extend(rungs);
    }

    /// Loads what the previous process has left. Its rungs apply once their sessions are handed over, and
    /// so do the ends. Of the sessions held already, those end that viewers have ended at the previous
    /// process. Those that it released itself do not: they were set up anew here.
    pub(in crate::director) fn inherit(&mut self, now: Micros, handover: Handover, out: &mut Outbox) {
        self.restore_rungs(handover.rungs);
        for id in handover.ended {
            match self.sessions.get(&id).map(|s| s.state) {
                Some(SessionState::Established { .. }) => self.handle_viewer_left(now, NO_LINK, id, out),
                Some(_) => {}
                None => self.inherit_end(now, id, out),
            }
        }
        for id in handover.released {
            if !self.sessions.contains_key(&id) {
                self.inherit_end(now, id, out);
            }
        }
    }

    /// Applies the end of a session that the previous process held to the session that waits for its
    /// streamer, or keeps it for the hand-over.
    fn inherit_end(&mut self, now: Micros, id: RequestId, out: &mut Outbox) {
        if !self.end_waiting_session(now, id, out) {
            out.end_kept(self.early_ends.keep_inherited_end(now, id));
        }
    }
}
