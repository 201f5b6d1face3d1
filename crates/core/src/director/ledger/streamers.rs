//! The streamer side of the ledger: updates of the streamer list, attempts and their results, and established
//! sessions and their end.
use super::super::messages::*;
use super::{Ledger, Outbox, Session, SessionState, attempt_ended};
use crate::interface::*;
use std::rc::Rc;

/// A streamer's release of a session.
pub(super) struct StreamerRelease {
    pub(super) streamer: StreamerId,
    pub(super) session: RequestId,
    /// Number of the attempt that is open on the connection of the release, if any.
    pub(super) number: Option<u32>,
    pub(super) reason: SessionEnd,
    pub(super) report: LoadReport,
}

impl Ledger {
    /// Applies an update of the streamer list, and ends the sessions of streamers that are gone or restarted.
    pub(super) fn update_streamer_list(
        &mut self,
        now: Micros,
        scope: ListScope,
        entries: Vec<Entry>,
        out: &mut Outbox,
    ) {
        out.counters.list_changes += 1;
        if matches!(scope, ListScope::Full | ListScope::Cached) {
            self.streamers.clear();
        }
        self.streamers.extend(entries.iter().map(|e| (e.streamer, e.standing)));
        self.streamers.retain(|_, standing| *standing != Standing::Gone);
        let is_gone = |s: &StreamerId| self.streamers.get(s).is_none_or(|s| *s == Standing::Gone);
        let gone_streamers: Vec<_> = self.established_at.keys().copied().filter(is_gone).collect();
        let process_starts: Vec<_> =
            entries.iter().filter_map(|e| Some((e.streamer, e.started_at?))).collect();
        let updated: Vec<StreamerId> = entries.iter().map(|e| e.streamer).collect();
        out.events.push(Event::List { scope, entries });
        gone_streamers.into_iter().for_each(|streamer| self.end_lost_sessions(streamer, Micros::MAX, out));
        // Sessions established before the streamer's process started were lost with the previous process.
        process_starts.into_iter().for_each(|(streamer, at)| self.end_lost_sessions(streamer, at, out));
        self.admit_waiting_sessions(now, &updated, out);
    }

    /// Sends the next attempt of a request to a streamer. It is reported as ignored if the request is not
    /// waiting for an attempt or has used them up, or if the streamer is not up.
    pub(super) fn send_attempt(
        &mut self,
        now: Micros,
        id: RequestId,
        streamer: StreamerId,
        try_for_us: Micros,
        out: &mut Outbox,
    ) {
        let up = self.streamers.get(&streamer) == Some(&Standing::Up);
        let Some(session) =
            self.sessions.get_mut(&id).filter(|s| s.answer_pending && s.state == SessionState::Placing)
        else {
            return out.events.push(attempt_ended(id, 0, streamer, Outcome::Ignored, true));
        };
        let number = session.attempts;
        if number >= self.max_attempts || !up {
            return out.events.push(attempt_ended(id, number, streamer, Outcome::Ignored, false));
        }
        out.counters.sent += 1;
        out.counters.sent_again += u64::from(number > 0);
        session.attempts += 1;
        session.last_sent_at = now;
        session.state = SessionState::InFlight { streamer, number, since: now };
        let try_for_us = if try_for_us == 0 { Micros::MAX } else { try_for_us };
        let until = now.saturating_add(try_for_us).min(session.deadline);
        let attempt = Attempt { session: id, number };
        let (rung, parcel) = (session.rung, Rc::clone(&session.parcel));
        out.outputs.push(Output::Wake(until, DeadlineKind::Attempt(attempt)));
        let send_by = session.resend_by;
        out.outputs.push(Output::SetUp(SetUp { streamer, attempt, rung, until, send_by, parcel }));
    }

    /// Cancels an attempt whose time is up.
    pub(super) fn handle_attempt_timeout(&mut self, attempt: Attempt, out: &mut Outbox) {
        let Some(session) = self.sessions.get_mut(&attempt.session) else { return };
        match session.state {
            SessionState::InFlight { streamer, number, .. } if number == attempt.number => {
                out.counters.timed_out += 1;
                session.state = SessionState::Canceling { streamer, number, outcome: Outcome::TimedOut };
                out.outputs.push(Output::GiveUp(streamer, attempt));
            }
            _ => {}
        }
    }

    /// Handles a streamer's answer that a session is established. A late answer, to an attempt that was
    /// canceled, is not passed on: the session is released at its streamer.
    pub(super) fn handle_established(
        &mut self,
        now: Micros,
        streamer: StreamerId,
        id: RequestId,
        number: Option<u32>,
        description: Description,
        out: &mut Outbox,
    ) {
        let state = self.sessions.get(&id).map(|s| s.state);
        match (self.sessions.get_mut(&id), state) {
            (Some(session), Some(SessionState::InFlight { streamer: at, number: current, since }))
                if at == streamer && number == Some(current) =>
            {
                session.state = SessionState::Established { streamer, since: now };
                session.parcel = Rc::default(); // only needed for set-ups
                let (link, class) = (session.link, session.class);
                self.clear_pending_answer(id);
                self.update_link(link, |l| l.established += 1);
                self.established_at.entry(streamer).or_default().insert(id);
                out.counters.served += 1;
                out.count_answer(class, |c| &mut c.fulfilled);
                out.outputs.push(Output::Answer(link, id, description));
                out.outputs.push(Output::Attend(streamer));
                let latency_us = now.saturating_sub(since);
                out.events.push(Event::Started { request: id, streamer, latency_us });
                self.apply_early_release(now, id, streamer, out);
            }
            (_, Some(SessionState::Established { streamer: at, .. })) if at == streamer => {
                out.counters.strays += 1
            }
            // The answer belongs to an earlier, canceled attempt. Another attempt is in flight at the same
            // streamer, and a release would cut that one. The earlier attempt needs no release: its
            // cancellation was written before the new set-up and has ended it at the streamer.
            (_, Some(SessionState::InFlight { streamer: at, .. })) if at == streamer => {
                out.counters.late_answers += 1
            }
            _ => {
                out.counters.late_answers += 1;
                out.release_at_streamer(streamer, id);
            }
        }
    }

    /// Ends a newly established session if its release overtook the answer on another connection.
    fn apply_early_release(&mut self, now: Micros, id: RequestId, streamer: StreamerId, out: &mut Outbox) {
        let Some(reason) = self.early_ends.take_release(now, id, streamer) else { return };
        match reason {
            SessionEnd::Ended => self.end_on_both_sides(id, SessionEnd::Ended, Outcome::Ok, out),
            SessionEnd::Cut | SessionEnd::Left => {
                self.end_on_both_sides(id, SessionEnd::Cut, Outcome::Reset, out)
            }
        }
    }

    /// Ends an established session: notifies its viewer and releases it at its streamer.
    pub(super) fn end_on_both_sides(
        &mut self,
        id: RequestId,
        reason: SessionEnd,
        outcome: Outcome,
        out: &mut Outbox,
    ) {
        let Some(session) = self.sessions.get(&id) else { return };
        let SessionState::Established { streamer, .. } = session.state else { return };
        out.session_released(session.link, id, reason);
        out.release_at_streamer(streamer, id);
        self.remove_session(id, streamer, outcome, LoadReport::default(), out);
    }

    /// Ends an attempt because of a message from the streamer. A message that does not match the current
    /// attempt is only counted.
    pub(super) fn end_attempt_by_streamer(
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
        match session.state {
            SessionState::InFlight { streamer, number: current, .. }
            | SessionState::Canceling { streamer, number: current, .. }
                if streamer == from && number == Some(current) =>
            {
                let last = !session.answer_pending;
                session.end_attempt(outcome, &self.repeat_windows);
                if last {
                    self.sessions.remove(&id);
                }
                out.events.push(Event::Ended {
                    request: id,
                    attempt: current,
                    streamer,
                    outcome,
                    last,
                    report,
                });
            }
            _ => out.counters.strays += 1,
        }
    }

    /// Ends an attempt because of an event on the director's side. `None` for `local_outcome` means that the
    /// cancellation is complete: the attempt ends with the outcome for which it was canceled.
    pub(super) fn end_attempt_locally(
        &mut self,
        attempt: Attempt,
        local_outcome: Option<Outcome>,
        out: &mut Outbox,
    ) {
        let id = attempt.session;
        let Some(session) = self.sessions.get_mut(&id) else { return };
        let (streamer, number, outcome) = match session.state {
            SessionState::InFlight { streamer, number, .. } => match local_outcome {
                Some(outcome) => (streamer, number, outcome),
                None => return,
            },
            // A cancellation that found the attempt unsent proves that it never ran.
            // If the viewer left, the outcome must not count against the streamer.
            SessionState::Canceling { streamer, number, outcome } => {
                let unsent = local_outcome.filter(|o| o.never_ran());
                let viewer_left = outcome == Outcome::Canceled;
                (
                    streamer,
                    number,
                    unsent.map_or(outcome, |unsent| if viewer_left { Outcome::Ignored } else { unsent }),
                )
            }
            SessionState::Placing | SessionState::Established { .. } => return,
        };
        if number != attempt.number {
            return;
        }
        let last = !session.answer_pending;
        session.end_attempt(outcome, &self.repeat_windows);
        if last {
            self.sessions.remove(&id);
        }
        out.events.push(attempt_ended(id, number, streamer, outcome, last));
    }

    /// Handles a session that ended as soon as it was set up, since its viewer wants nothing more of it: the
    /// streamer's release carries the answer as well.
    pub(super) fn handle_immediate_end(
        &mut self,
        now: Micros,
        release: StreamerRelease,
        description: Description,
        out: &mut Outbox,
    ) {
        let StreamerRelease { streamer: from, session: id, number, .. } = release;
        match self.sessions.get(&id) {
            Some(Session {
                link,
                class,
                state: SessionState::InFlight { streamer, number: current, .. },
                ..
            }) if *streamer == from && number == Some(*current) => {
                out.counters.served += 1;
                out.count_answer(*class, |c| &mut c.fulfilled);
                out.counters.ended += 1;
                out.outputs.push(Output::Answer(*link, id, description));
                out.outputs.push(Output::Release(*link, id, SessionEnd::Ended));
                self.remove_session(id, from, Outcome::Ok, release.report, out);
            }
            _ => self.handle_release(now, release, out),
        }
    }

    /// Handles a streamer's release of a session.
    pub(super) fn handle_release(&mut self, now: Micros, release: StreamerRelease, out: &mut Outbox) {
        let StreamerRelease { streamer: from, session: id, number, reason, report } = release;
        let Some(session) = self.sessions.get(&id) else {
            out.counters.strays += 1;
            return out.end_kept(self.early_ends.keep_release(now, id, from, reason));
        };
        match session.state {
            SessionState::Established { streamer, .. } if streamer == from => {
                let outcome = match reason {
                    SessionEnd::Ended => Outcome::Ok,
                    SessionEnd::Cut => Outcome::Reset,
                    SessionEnd::Left => Outcome::Canceled,
                };
                out.session_released(session.link, id, reason);
                self.remove_session(id, streamer, outcome, report, out);
            }
            // The release has overtaken the answer, which comes on another connection.
            SessionState::InFlight { streamer, .. } if streamer == from && number.is_none() => {
                out.end_kept(self.early_ends.keep_release(now, id, from, reason));
            }
            SessionState::InFlight { .. } => {
                out.counters.broken += 1;
                self.end_attempt_by_streamer(id, number, from, Outcome::Reset, report, out);
            }
            _ => out.counters.strays += 1,
        }
    }

    /// Releases a session once more at a streamer that may not have read the release. If the session is being
    /// set up there again, a release would end that.
    pub(super) fn repeat_release(&mut self, streamer: StreamerId, id: RequestId, out: &mut Outbox) {
        let current = self.sessions.get(&id).and_then(|session| session.state.streamer());
        if current != Some(streamer) {
            out.outputs.push(Output::Drop(streamer, id));
        }
    }

    /// Sets the rung of an established session once more at a streamer that may not have read the change.
    pub(super) fn repeat_rung(&mut self, streamer: StreamerId, id: RequestId, out: &mut Outbox) {
        let Some(session) = self.sessions.get(&id) else { return };
        if matches!(session.state, SessionState::Established { streamer: at, .. } if at == streamer) {
            out.outputs.push(Output::Rung(streamer, id, session.rung));
        }
    }

    /// Removes a session from the ledger and reports its end to the controller.
    pub(super) fn remove_session(
        &mut self,
        id: RequestId,
        streamer: StreamerId,
        outcome: Outcome,
        report: LoadReport,
        out: &mut Outbox,
    ) {
        self.clear_pending_answer(id);
        let session = self.sessions.remove(&id);
        if let Some(Session { link, state: SessionState::Established { .. }, .. }) = session {
            self.update_link(link, |l| l.established = l.established.saturating_sub(1));
        }
        let attempt = session.map_or(0, |s| s.attempts.saturating_sub(1));
        if let Some(at_streamer) = self.established_at.get_mut(&streamer) {
            at_streamer.remove(&id);
            if at_streamer.is_empty() {
                self.established_at.remove(&streamer);
            }
        }
        out.events.push(Event::Ended { request: id, attempt, streamer, outcome, last: true, report });
    }

    /// Ends the sessions of a streamer that were established before the given time; they are lost.
    pub(super) fn end_lost_sessions(
        &mut self,
        streamer: StreamerId,
        established_before: Micros,
        out: &mut Outbox,
    ) {
        for id in self.established_at.get(&streamer).cloned().unwrap_or_default() {
            let Some(session) = self.sessions.get(&id) else { continue };
            if matches!(session.state, SessionState::Established { since, .. } if since >= established_before)
            {
                continue;
            }
            out.counters.cut += 1;
            out.outputs.push(Output::Release(session.link, id, SessionEnd::Cut));
            out.release_at_streamer(streamer, id); // in case it comes back with the session
            self.remove_session(id, streamer, Outcome::Reset, LoadReport::default(), out);
        }
    }
}
