//! The ledger's steps towards streamers: the list's news, attempts that go out and how they end, sessions
//! that stand and are over.
use super::super::messages::*;
use super::{EARLY_MOST, Ledger, Outbox, Session, Stage, ended};
use crate::interface::*;
use std::rc::Rc;

impl Ledger {
    pub(super) fn list(&mut self, scope: ListScope, entries: Vec<Entry>, out: &mut Outbox) {
        out.counters.list_changes += 1;
        if matches!(scope, ListScope::Full | ListScope::Cached) {
            self.fleet.clear();
        }
        self.fleet.extend(entries.iter().map(|e| (e.streamer, e.standing)));
        self.fleet.retain(|_, standing| *standing != Standing::Gone);
        let gone = |s: &StreamerId| self.fleet.get(s).is_none_or(|s| *s == Standing::Gone);
        let gone: Vec<_> = self.standing_at.keys().copied().filter(gone).collect();
        let starts: Vec<_> = entries.iter().filter_map(|e| Some((e.streamer, e.started_at?))).collect();
        out.events.push(Event::List { scope, entries });
        gone.into_iter().for_each(|streamer| self.lost(streamer, Micros::MAX, out));
        // What stood before a streamer's process started is gone with the one before.
        starts.into_iter().for_each(|(streamer, at)| self.lost(streamer, at, out));
    }

    pub(super) fn send(
        &mut self,
        now: Micros,
        id: RequestId,
        streamer: StreamerId,
        try_for_us: Micros,
        out: &mut Outbox,
    ) {
        let up = self.fleet.get(&streamer) == Some(&Standing::Up);
        let Some(session) = self.sessions.get_mut(&id).filter(|s| s.owed && s.stage == Stage::Deciding)
        else {
            return out.events.push(ended(id, 0, streamer, Outcome::Ignored, true));
        };
        let number = session.attempts;
        if number >= self.max_attempts || !up {
            return out.events.push(ended(id, number, streamer, Outcome::Ignored, false));
        }
        out.counters.sent += 1;
        out.counters.sent_again += u64::from(number > 0);
        session.attempts += 1;
        session.sent_at = now;
        session.stage = Stage::Out { streamer, number, since: now };
        let try_for = if try_for_us == 0 { Micros::MAX } else { try_for_us };
        let until = now.saturating_add(try_for).min(session.deadline);
        let attempt = Attempt { session: id, number };
        let (rung, parcel) = (session.rung, Rc::clone(&session.parcel));
        out.outputs.push(Deed::Wake(until, Due::Attempt(attempt)));
        let send_by = session.repeat_by;
        out.outputs.push(Deed::SetUp(SetUp { streamer, attempt, rung, until, send_by, parcel }));
    }

    pub(super) fn attempt_due(&mut self, attempt: Attempt, out: &mut Outbox) {
        let Some(session) = self.sessions.get_mut(&attempt.session) else { return };
        match session.stage {
            Stage::Out { streamer, number, .. } if number == attempt.number => {
                out.counters.timed_out += 1;
                session.stage = Stage::GivingUp { streamer, number, outcome: Outcome::TimedOut };
                out.outputs.push(Deed::GiveUp(streamer, attempt));
            }
            _ => {}
        }
    }

    pub(super) fn stands(
        &mut self,
        now: Micros,
        streamer: StreamerId,
        id: RequestId,
        number: Option<u32>,
        description: Description,
        out: &mut Outbox,
    ) {
        let stage = self.sessions.get(&id).map(|s| s.stage);
        match (self.sessions.get_mut(&id), stage) {
            (Some(session), Some(Stage::Out { streamer: at, number: n, since }))
                if at == streamer && number == Some(n) =>
            {
                session.stage = Stage::Standing { streamer, since: now };
                session.parcel = Rc::default(); // needed for set-ups alone
                let (link, class) = (session.link, session.class);
                self.discharge(id);
                self.on(link, |l| l.standing += 1);
                self.standing_at.entry(streamer).or_default().insert(id);
                out.counters.served += 1;
                out.answered(class, |c| &mut c.fulfilled);
                out.outputs.push(Deed::Answer(link, id, description));
                out.outputs.push(Deed::Attend(streamer));
                let latency_us = now.saturating_sub(since);
                out.events.push(Event::Started { request: id, streamer, latency_us });
                self.end_released_early(id, streamer, out);
            }
            (_, Some(Stage::Standing { streamer: at, .. })) if at == streamer => out.counters.strays += 1,
            // An earlier attempt's, given up meanwhile. While another attempt is out at the same streamer a
            // release would cut that one; the give-up, written before it, has ended the earlier one there.
            (_, Some(Stage::Out { streamer: at, .. })) if at == streamer => out.counters.late_answers += 1,
            _ => {
                out.counters.late_answers += 1;
                out.outputs.push(Deed::Drop(streamer, id));
            }
        }
    }

    /// Ends a session whose release came ahead of its answer, on another connection.
    fn end_released_early(&mut self, id: RequestId, streamer: StreamerId, out: &mut Outbox) {
        let Some(why) = self.released_early(id, streamer) else { return };
        match why {
            Over::Ended => self.end_on_both_sides(id, Over::Ended, Outcome::Ok, out),
            Over::Cut | Over::Left => self.end_on_both_sides(id, Over::Cut, Outcome::Reset, out),
        }
    }

    /// Takes a release that came before the session was known to stand.
    pub(super) fn released_early(&mut self, id: RequestId, streamer: StreamerId) -> Option<Over> {
        let at = self.early.iter().position(|early| (early.0, early.1) == (id, streamer))?;
        self.early.remove(at).map(|early| early.2)
    }

    /// Keeps a release of a session that is not known to stand.
    fn keep_early(&mut self, id: RequestId, streamer: StreamerId, why: Over) {
        if self.early.len() >= EARLY_MOST {
            self.early.pop_front();
        }
        self.early.push_back((id, streamer, why));
    }

    /// Ends a session that stands, towards its viewer and at its streamer.
    pub(super) fn end_on_both_sides(&mut self, id: RequestId, why: Over, outcome: Outcome, out: &mut Outbox) {
        let Some(session) = self.sessions.get(&id) else { return };
        let Stage::Standing { streamer, .. } = session.stage else { return };
        out.released_of(session.link, id, why);
        out.outputs.push(Deed::Drop(streamer, id));
        self.over(id, streamer, outcome, LoadReport::default(), out);
    }

    /// An attempt ended by a word of the streamer's.
    pub(super) fn attempt_over(
        &mut self,
        id: RequestId,
        number: Option<u32>,
        from: StreamerId,
        outcome: Outcome,
        report: LoadReport,
        out: &mut Outbox,
    ) {
        let Some(session) = self.sessions.get_mut(&id) else {
            out.counters.strays += 1;
            return;
        };
        match session.stage {
            Stage::Out { streamer, number: n, .. } | Stage::GivingUp { streamer, number: n, .. }
                if streamer == from && number == Some(n) =>
            {
                let last = !session.owed;
                session.ended(outcome, &self.repeat_windows);
                if last {
                    self.sessions.remove(&id);
                }
                out.events.push(Event::Ended { request: id, attempt: n, streamer, outcome, last, report });
            }
            _ => out.counters.strays += 1,
        }
    }

    /// An attempt ended on this side; by the give-up under way where no outcome is named.
    pub(super) fn own_attempt_over(&mut self, attempt: Attempt, how: Option<Outcome>, out: &mut Outbox) {
        let id = attempt.session;
        let Some(session) = self.sessions.get_mut(&id) else { return };
        let (streamer, number, outcome) = match session.stage {
            Stage::Out { streamer, number, .. } => match how {
                Some(outcome) => (streamer, number, outcome),
                None => return,
            },
            // A give-up that found the attempt unsent proves that it never ran.
            // One that its viewer left says nothing of the streamer.
            Stage::GivingUp { streamer, number, outcome } => {
                let unsent = how.filter(|h| h.never_ran());
                let left = outcome == Outcome::Canceled;
                (streamer, number, unsent.map_or(outcome, |how| if left { Outcome::Ignored } else { how }))
            }
            Stage::Deciding | Stage::Standing { .. } => return,
        };
        if number != attempt.number {
            return;
        }
        let last = !session.owed;
        session.ended(outcome, &self.repeat_windows);
        if last {
            self.sessions.remove(&id);
        }
        out.events.push(ended(id, number, streamer, outcome, last));
    }

    /// A streamer set a session up whose viewer wants nothing more of it: answer and end come as one.
    pub(super) fn began_and_ended(
        &mut self,
        id: RequestId,
        number: Option<u32>,
        from: StreamerId,
        description: Description,
        report: LoadReport,
        out: &mut Outbox,
    ) {
        match self.sessions.get(&id) {
            Some(Session { link, class, stage: Stage::Out { streamer, number: n, .. }, .. })
                if *streamer == from && number == Some(*n) =>
            {
                out.counters.served += 1;
                out.answered(*class, |c| &mut c.fulfilled);
                out.counters.ended += 1;
                out.outputs.push(Deed::Answer(*link, id, description));
                out.outputs.push(Deed::Release(*link, id, Over::Ended));
                self.over(id, from, Outcome::Ok, report, out);
            }
            _ => self.released(from, id, number, Over::Ended, report, out),
        }
    }

    pub(super) fn released(
        &mut self,
        from: StreamerId,
        id: RequestId,
        number: Option<u32>,
        why: Over,
        report: LoadReport,
        out: &mut Outbox,
    ) {
        let Some(session) = self.sessions.get(&id) else {
            out.counters.strays += 1;
            return self.keep_early(id, from, why);
        };
        match session.stage {
            Stage::Standing { streamer, .. } if streamer == from => {
                let outcome = match why {
                    Over::Ended => Outcome::Ok,
                    Over::Cut => Outcome::Reset,
                    Over::Left => Outcome::Canceled,
                };
                out.released_of(session.link, id, why);
                self.over(id, streamer, outcome, report, out);
            }
            // It has overtaken the answer on another connection.
            Stage::Out { streamer, .. } if streamer == from && number.is_none() => {
                self.keep_early(id, from, why);
            }
            Stage::Out { .. } => {
                out.counters.broken += 1;
                self.attempt_over(id, number, from, Outcome::Reset, report, out);
            }
            _ => out.counters.strays += 1,
        }
    }

    /// Takes a session that stood off the books.
    pub(super) fn over(
        &mut self,
        id: RequestId,
        streamer: StreamerId,
        outcome: Outcome,
        report: LoadReport,
        out: &mut Outbox,
    ) {
        self.discharge(id);
        let session = self.sessions.remove(&id);
        if let Some(Session { link, stage: Stage::Standing { .. }, .. }) = session {
            self.on(link, |l| l.standing = l.standing.saturating_sub(1));
        }
        let attempt = session.map_or(0, |s| s.attempts.saturating_sub(1));
        if let Some(here) = self.standing_at.get_mut(&streamer) {
            here.remove(&id);
            if here.is_empty() {
                self.standing_at.remove(&streamer);
            }
        }
        out.events.push(Event::Ended { request: id, attempt, streamer, outcome, last: true, report });
    }

    /// The sessions of a streamer that have stood since before a moment are lost.
    pub(super) fn lost(&mut self, streamer: StreamerId, before: Micros, out: &mut Outbox) {
        for id in self.standing_at.get(&streamer).cloned().unwrap_or_default() {
            let Some(session) = self.sessions.get(&id) else { continue };
            if matches!(session.stage, Stage::Standing { since, .. } if since >= before) {
                continue;
            }
            out.counters.cut += 1;
            out.outputs.push(Deed::Release(session.link, id, Over::Cut));
            out.outputs.push(Deed::Drop(streamer, id)); // should it come back with the session
            self.over(id, streamer, Outcome::Reset, LoadReport::default(), out);
        }
    }
}
