//! Ends sessions at their streamers and retries until the end is confirmed.
use super::{Action, Coordinator, END_RETRY_US, EndingSession, LogEvent, MAX_END_TRIES};
use crate::message::RegisteredSession;
use crate::record::{Id, Stage};
use stonewharf_core::Micros;

impl Coordinator {
    /// A viewer returned elsewhere, so this session has to be ended first.
    pub(super) fn end_for_returning_viewer(&mut self, held: &RegisteredSession) {
        let id = held.id;
        let is_own =
            (held.owner.as_str(), held.incarnation) == (self.me.name.as_str(), self.own.incarnation());
        match self.record(id).map(|r| (r.stage, r.streamer.clone())) {
            _ if self.ending.contains_key(&id) => {}
            // Of its own sessions it knows that nothing runs.
            None if is_own => {
                self.with_registry(|registry, context, out| registry.session_over(context, id, out))
            }
            // Taken over, and missing in the replicas: it may run, and is ended where it was set up.
            None if self.took_over(held) => {
                self.blocked.remove(&id);
                self.end_at_streamer(id, held.streamer.clone());
            }
            None => {} // of an earlier incarnation that is not closed, or another director's
            Some((Stage::Established, streamer)) if self.may_act(self.now, id) => {
                self.actions.push(Action::EndForReturn(id));
                self.end_at_streamer(id, streamer);
            }
            Some(_) => {} // the requester will retry
        }
    }

    /// Whether a session belongs to a session set, or a part of one, that this director took over.
    fn took_over(&self, held: &RegisteredSession) -> bool {
        let (name, incarnation) = (&self.me.name, self.own.incarnation());
        let takeover = self.ownership.takeover_of(&held.owner, held.incarnation, held.id).filter(|t| t.done);
        takeover
            .and_then(|t| t.successor.as_ref())
            .is_some_and(|h| (&h.name, h.incarnation) == (name, incarnation))
    }

    /// Has a session ended at its streamer, with retries until that is confirmed.
    pub(crate) fn end_at_streamer(&mut self, id: Id, streamer: String) {
        let retry_at = self.now.saturating_add(END_RETRY_US);
        self.actions.push(Action::EndAtStreamer(id, streamer.clone()));
        self.ending.entry(id).or_insert(EndingSession { streamer, retry_at, tries: 1 });
    }

    /// A streamer confirmed that a session is over there. Other streamers than that where it is being ended
    /// say nothing of it: an attempt that was answered late may have been released at one.
    pub fn end_confirmed(&mut self, now: Micros, id: Id, streamer: &str) {
        self.now = self.now.max(now);
        if self.ending.get(&id).is_some_and(|ending| ending.streamer == streamer) {
            self.ending.remove(&id);
            self.update_session(id, None);
            self.actions.push(Action::Log(LogEvent::EndConfirmed(id)));
            self.with_registry(|registry, context, out| registry.session_over(context, id, out));
        }
    }

    /// The streamer was restarted or is gone, and with it the sessions that it ran.
    pub fn streamer_restarted(&mut self, now: Micros, streamer: &str) {
        let gone = self.ending.iter().filter(|(_, s)| s.streamer == streamer);
        let gone: Vec<Id> = gone.map(|(id, _)| *id).collect();
        gone.into_iter().for_each(|id| self.end_confirmed(now, id, streamer));
    }

    /// Repeats unconfirmed session ends that are due, and gives up after too many tries.
    pub(super) fn retry_ends(&mut self) {
        let now = self.now;
        let late: Vec<Id> =
            self.ending.iter().filter(|(_, s)| s.retry_at <= now).map(|(id, _)| *id).collect();
        for id in late {
            let Some(ending) = self.ending.get_mut(&id) else { continue };
            (ending.retry_at, ending.tries) = (now.saturating_add(END_RETRY_US), ending.tries + 1);
            let (streamer, tries) = (ending.streamer.clone(), ending.tries);
            if tries > MAX_END_TRIES {
                self.ending.remove(&id);
                self.actions.push(Action::Log(LogEvent::EndUnconfirmed(id)));
            } else {
                self.actions.push(Action::EndAtStreamer(id, streamer));
            }
        }
    }
}
