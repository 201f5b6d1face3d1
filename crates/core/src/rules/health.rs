//! Health (one suspicion for all evidence, who is cold) and the guards of the six rules, each in one place.
use super::*;

impl Controller {
    pub(super) fn suspicion(&self, s: &StreamerState) -> f64 {
        let age = self.now.saturating_sub(s.suspicion_at) as f64 / US_PER_S;
        s.suspicion * (-age / SUSPICION_HALF_LIFE_S * std::f64::consts::LN_2).exp()
    }

    /// Streamers in the list, and those of them that get no set-ups now, but for trials.
    pub fn streamer_counts(&self) -> (usize, usize) {
        let listed = || self.streamers.values().filter(|s| s.entry.standing != Standing::Gone);
        let avoided =
            |s: &&StreamerState| s.entry.standing != Standing::Up || self.suspicion(s) >= BARRED_SUSPICION;
        (listed().count(), listed().filter(avoided).count())
    }

    /// Adds evidence against a streamer (for it, below zero): one measure for all signs of trouble.
    pub(super) fn add_evidence(&mut self, id: StreamerId, evidence: f64, why: &str, out: &mut Actions) {
        let Some(s) = self.streamers.get(&id) else { return };
        let before = self.suspicion(s);
        let after = if evidence < 0.0 {
            before * SUCCESS_SUSPICION_FACTOR
        } else {
            (before + evidence).min(MAX_SUSPICION)
        };
        if before < BARRED_SUSPICION && after >= BARRED_SUSPICION {
            out.push(Action::Log(format!("streamer {} suspected: {why}", id.0)));
        }
        let Some(s) = self.streamers.get_mut(&id) else { return };
        (s.suspicion, s.suspicion_at) = (after, self.now);
        s.next_trial_at = if after >= BARRED_SUSPICION && evidence > 0.0 {
            self.now + TRIAL_INTERVAL_US
        } else {
            s.next_trial_at
        };
    }

    /// After a restart, told or inferred, its pace is limited until it is warm. An own restart adds nothing:
    /// the list tells starts to all, and directors that took all for cold starved those who came back.
    fn is_cold(&self, s: &StreamerState) -> bool {
        s.cold_since.is_some_and(|since| self.now < since.saturating_add(self.settings.warm_up_us))
    }

    /// The turn of the common clock at a streamer, and whether it is this controller's. Each is for as many
    /// controllers as the pace allows; COLD_PACE leaves room for the one turn more that any second touches.
    pub(super) fn current_turn(&self, entry: &Entry) -> (u64, bool) {
        let capacity =
            self.settings.fall_multiple * self.settings.streams_of(entry) * self.settings.cold_from;
        let pace = COLD_PACE_SHARE * capacity / (self.settings.warm_up_us as f64 / US_PER_S).max(1e-3);
        let group = (pace * MAX_COLD_TURN_S).max(1.0) as u64;
        // Neighbouring cells have their turns in turn, lest all holders of a title be another's at once.
        let turn = (self.now as f64 / US_PER_S * pace / group as f64) as u64 + u64::from(entry.cell);
        let groups = u64::from(self.settings.controllers).div_ceil(group);
        (turn, turn % groups == u64::from(self.settings.me) / group)
    }

    /// Whether a cold streamer may have a set-up now: in an own turn that is not used yet.
    fn unused_cold_turn(&self, s: &StreamerState) -> Option<u64> {
        let (turn, mine) = self.current_turn(&s.entry);
        (mine && s.last_cold_turn != Some(turn)).then_some(turn)
    }

    /// Whether a request can try a barred streamer (load tests clear none) and still go elsewhere in time.
    pub(super) fn can_try_barred(&self, id: RequestId) -> bool {
        let Some(session) = self.sessions.get(&id) else { return false };
        let class = &self.settings.classes[session.request.class.0];
        session.attempted.is_empty() && self.now + class.target_us <= session.deadline
    }

    pub(super) fn set_up_done(&mut self, id: RequestId, at: StreamerId) {
        self.add_evidence(at, -1.0, "", &mut Vec::new());
        let Some(session) = self.sessions.get_mut(&id) else { return };
        (session.playing, session.answered, session.changed_at) = (true, true, self.now);
        let (request, worth) = (session.request.clone(), session.worth);
        if self.proven_titles.insert(request.title, self.now).is_none() {
            self.count_arrival(&request, worth);
        }
    }

    pub(super) fn attempt_ended(
        &mut self,
        id: RequestId,
        at: StreamerId,
        outcome: Outcome,
        last: bool,
        out: &mut Actions,
    ) {
        // [D10] An error on a title that never stood says as much of the title.
        let (evidence, why) = match outcome {
            Outcome::Failed if self.sessions.get(&id).is_some_and(|s| !s.playing && self.is_proven(s)) => {
                (1.5, "set-up failed")
            }
            Outcome::TimedOut => (1.0, "set-up timed out"),
            Outcome::ConnectError => (2.0, "no connection"),
            Outcome::Reset => (1.5, "connection reset"),
            Outcome::Garbled => (0.5, "answers that can't be read"),
            _ => (0.0, ""),
        };
        self.add_evidence(at, evidence, why, out);
        let now = self.now;
        match self.streamers.get_mut(&at) {
            // It may come back cold before discovery says so.
            Some(s) if matches!(outcome, Outcome::Reset | Outcome::ConnectError) => s.cold_since = Some(now),
            Some(s) if outcome == Outcome::QueueFull && self.settings.full_from > 0.0 => {
                s.link.observe(
                    now,
                    s.link.last_load.map_or(0.0, |x| x.1).max(self.settings.full_from),
                    REPORT_GAIN,
                );
            }
            _ => {}
        }
        self.assign_streamer(id, None);
        let Some(session) = self.sessions.get_mut(&id) else { return };
        let finished = session.playing && outcome == Outcome::Ok;
        self.class_counts[session.request.class.0].ended += f64::from(u8::from(finished));
        let ran = (!outcome.never_ran()).then_some((at, session.changed_at));
        session.may_have_run = session.may_have_run.or(ran);
        if last || session.answered {
            self.sessions.remove(&id);
        } else {
            self.attempt_again(id, out);
        }
    }

    pub(super) fn client_gone(&mut self, id: RequestId) {
        self.sessions.retain(|other, s| *other != id || s.streamer.is_some());
        self.sessions.entry(id).and_modify(|s| s.answered = true);
    }

    /// A further attempt where every rule allows one, else the final answer at once.
    pub(super) fn attempt_again(&mut self, id: RequestId, out: &mut Actions) {
        let Some(session) = self.sessions.get(&id) else { return };
        let class = &self.settings.classes[session.request.class.0];
        let ran = session.may_have_run.is_some();
        let harmless = !ran || class.effect != Effect::AtMostOnce;
        let max_attempts = if ran && !self.is_proven(session) {
            MAX_UNPROVEN_ATTEMPTS
        } else {
            self.settings.max_attempts as usize
        };
        let in_time =
            self.now + MIN_RETRY_TIME_US < session.deadline && session.attempted.len() < max_attempts;
        if harmless && in_time && (session.attempted.is_empty() || self.budget_allows()) {
            self.attempt(id, out);
        } else {
            self.answer(id, out);
        }
    }

    /// Rule 6: attempts past the first stay within the ration, where one is stated.
    fn budget_allows(&mut self) -> bool {
        let Some(budget) = self.settings.attempt_budget else { return true };
        let (attempts_since, requests_since) = budget.window_starts(self.now);
        self.retry_times.retain(|at| *at >= attempts_since);
        self.request_times.retain(|at| *at > requests_since);
        self.retry_times.len() as f64 + 1.0
            <= budget.base_attempts + budget.per_request * self.request_times.len() as f64
    }

    /// Rules 2 to 5: it holds the title, is up, not rushed while cold, a repeat does no harm, a seat is free.
    pub(super) fn may_send(&self, id: RequestId, at: StreamerId) -> bool {
        let Some(session) = self.sessions.get(&id) else { return false };
        let Some(s) = self.streamers.get(&at) else { return false };
        let request = &session.request;
        let class = &self.settings.classes[request.class.0];
        let holds = self.settings.holds(request, &s.entry) && s.entry.standing == Standing::Up;
        let permitted = session.streamer.is_none() && !session.answered && self.limits.allowed(request, at);
        let seats_taken = self.title_seats.get(&(request.title, request.class)).copied().unwrap_or(0);
        let seat_free = class.seats == 0 || seats_taken < class.seats;
        let harmless = match (session.may_have_run, class.effect) {
            (None, _) | (_, Effect::Idempotent) => true,
            (Some(_), Effect::AtMostOnce) => false,
            (Some((first, sent_at)), Effect::Deduplicated) => {
                let recognised = |first: &StreamerState| class.dedup_scope.covers(&first.entry, &s.entry);
                self.now < sent_at + class.repeat_window_us
                    && self.streamers.get(&first).is_some_and(recognised)
            }
        };
        // A barred streamer is tried now and then, by a session that can be set up again without harm.
        let trial =
            class.effect == Effect::Idempotent && self.now >= s.next_trial_at && self.is_proven(session);
        let trusted = self.suspicion(s) < BARRED_SUSPICION || (trial && self.can_try_barred(id));
        holds
            && permitted
            && seat_free
            && harmless
            && trusted
            && (!self.is_cold(s) || self.unused_cold_turn(s).is_some())
    }

    /// Sends the request; the only place that does. Its time-out stays within the viewer's own time.
    pub(super) fn send(&mut self, id: RequestId, at: StreamerId, rung: usize, out: &mut Actions) {
        if !self.may_send(id, at) {
            return self.answer(id, out);
        }
        self.change_rung(id, rung, out);
        let turn = self.streamers.get(&at).filter(|s| self.is_cold(s)).and_then(|s| self.unused_cold_turn(s));
        let now = self.now;
        let (s, session) = (self.streamers.get_mut(&at), self.sessions.get_mut(&id));
        let (Some(s), Some(session)) = (s, session) else { return };
        self.limits.attempt_sent(&session.request, at, session.rung);
        (s.last_cold_turn, s.next_trial_at) =
            (turn.or(s.last_cold_turn), s.next_trial_at.max(now + TRIAL_INTERVAL_US));
        s.connected_until = now + self.settings.keep_us;
        let class = &self.settings.classes[session.request.class.0];
        // One that can be sent again gets its answer in time for a second attempt within the usual bound.
        let left_us = session.deadline.saturating_sub(now);
        let repeatable = class.effect != Effect::AtMostOnce
            && session.attempted.len() + 1 < self.settings.max_attempts as usize;
        let try_for_us = if repeatable { left_us.min(class.target_us / 2) } else { left_us }.max(1);
        session.attempted.push(at);
        session.changed_at = now;
        self.retry_times.extend((session.attempted.len() > 1).then_some(now));
        self.assign_streamer(id, Some(at));
        out.push(Action::Send { request: id, streamer: at, try_for_us });
    }

    /// The only place with a final answer. Rules 1 and 2: where a paid attempt may have run it is no refusal.
    pub(super) fn answer(&mut self, id: RequestId, out: &mut Actions) {
        let Some(session) = self.sessions.get(&id).filter(|s| s.streamer.is_none() && !s.answered) else {
            return;
        };
        let class = &self.settings.classes[session.request.class.0];
        let harmless = session.may_have_run.is_none()
            || class.effect == Effect::Idempotent
            || (class.effect == Effect::Deduplicated && class.dedup_scope == DedupScope::All);
        let request = self.sessions.remove(&id).map(|s| s.request).unwrap_or_default();
        if harmless {
            let (max_hold_off, chance) = (self.settings.max_hold_off_us, self.chance());
            let hold_off_us = self.limits.hold_off(&request, max_hold_off, chance);
            out.push(Action::Refuse { request: id, hold_off_us });
        } else {
            out.push(Action::EndFailed(id));
        }
    }
}
