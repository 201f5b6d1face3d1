//! Health of streamers (one suspicion value for all evidence, and whether a streamer is cold), the attempts
//! of a request, and the checks of the numbered rules, each in one place.
use super::*;

impl Controller {
    /// A streamer's suspicion now, after its decay.
    pub(super) fn suspicion(&self, s: &StreamerState) -> f64 {
        let age = self.now.saturating_sub(s.suspicion_at) as f64 / US_PER_S;
        s.suspicion * (-age / SUSPICION_HALF_LIFE_S * std::f64::consts::LN_2).exp()
    }

    /// Number of listed streamers, and of those that get no set-ups now except trials.
    pub fn streamer_counts(&self) -> (usize, usize) {
        let listed = || self.streamers.values().filter(|s| s.entry.standing != Standing::Gone);
        let avoided =
            |s: &&StreamerState| s.entry.standing != Standing::Up || self.suspicion(s) >= BARRED_SUSPICION;
        (listed().count(), listed().filter(avoided).count())
    }

    /// Adds evidence against a streamer, or for it where `evidence` is negative. All kinds of failure count
    /// in one measure.
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

    /// Whether a streamer's set-ups are paced because it restarted (as listed or inferred) and is not warm
    /// yet. A restart of the controller itself makes no streamer cold: the list gives start times to every
    /// director, and restarted directors that took all streamers for cold refused the viewers who came back.
    fn is_cold(&self, s: &StreamerState) -> bool {
        s.cold_since.is_some_and(|since| self.now < since.saturating_add(self.settings.warm_up_us))
    }

    /// The number of the current turn at a streamer, by the common clock, and whether it is this
    /// controller's. Each turn is for as many controllers as the pace permits. [`COLD_PACE_SHARE`] leaves
    /// room for the one additional turn that any second can overlap.
    pub(super) fn current_turn(&self, entry: &Entry) -> (u64, bool) {
        let capacity = self.settings.overload_failure_multiple
            * self.settings.max_streams(entry)
            * self.settings.cold_capacity_fraction;
        let pace = COLD_PACE_SHARE * capacity / (self.settings.warm_up_us as f64 / US_PER_S).max(1e-3);
        let group = (pace * MAX_COLD_TURN_S).max(1.0) as u64;
        // Turns of neighbouring cells are offset, so that one controller always has some holder of a title.
        let turn = (self.now as f64 / US_PER_S * pace / group as f64) as u64 + u64::from(entry.cell);
        let groups = u64::from(self.settings.controllers).div_ceil(group);
        (turn, turn % groups == u64::from(self.settings.controller_index) / group)
    }

    /// The current turn, if this controller may use it for a set-up at a cold streamer: the turn is its own
    /// and not used yet.
    fn unused_cold_turn(&self, s: &StreamerState) -> Option<u64> {
        let (turn, mine) = self.current_turn(&s.entry);
        (mine && s.last_cold_turn != Some(turn)).then_some(turn)
    }

    /// Whether a request can try a barred streamer and still go elsewhere in time. (A successful load probe
    /// does not clear the suspicion.)
    pub(super) fn can_try_barred(&self, id: RequestId) -> bool {
        let Some(session) = self.sessions.get(&id) else { return false };
        let class = &self.settings.classes[session.request.class.0];
        session.attempted.is_empty() && self.now + class.target_us <= session.deadline
    }

    /// Handles a successful set-up.
    pub(super) fn set_up_done(&mut self, id: RequestId, at: StreamerId) {
        self.add_evidence(at, -1.0, "", &mut Vec::new());
        let Some(session) = self.sessions.get_mut(&id) else { return };
        (session.playing, session.answered, session.changed_at) = (true, true, self.now);
        let (request, worth) = (session.request.clone(), session.worth);
        if self.proven_titles.insert(request.title, self.now).is_none() {
            self.count_arrival(&request, worth);
        }
    }

    /// Handles the end of an attempt or a session.
    pub(super) fn attempt_ended(
        &mut self,
        id: RequestId,
        at: StreamerId,
        outcome: Outcome,
        last: bool,
        out: &mut Actions,
    ) {
        let (evidence, why) = match outcome {
            // [D10] Where no session of the title has started yet, the error may as well be the title's.
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
            // The streamer may have restarted, and be cold, before discovery says so.
            Some(s) if matches!(outcome, Outcome::Reset | Outcome::ConnectError) => s.cold_since = Some(now),
            Some(s) if outcome == Outcome::QueueFull && self.settings.reject_from_link_demand > 0.0 => {
                s.link.observe(
                    now,
                    s.link.last_load.map_or(0.0, |x| x.1).max(self.settings.reject_from_link_demand),
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

    /// Handles a client that left: a request without an attempt in flight is dropped, any other needs no
    /// answer.
    pub(super) fn client_gone(&mut self, id: RequestId) {
        self.sessions.retain(|other, s| *other != id || s.streamer.is_some());
        self.sessions.entry(id).and_modify(|s| s.answered = true);
    }

    /// Starts a further attempt where every rule permits one; otherwise gives the final answer at once.
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

    /// Rule 6: retries stay within the retry budget, where one is configured.
    fn budget_allows(&mut self) -> bool {
        let Some(budget) = self.settings.attempt_budget else { return true };
        let (attempts_since, requests_since) = budget.window_starts(self.now);
        self.retry_times.retain(|at| *at >= attempts_since);
        self.request_times.retain(|at| *at > requests_since);
        self.retry_times.len() as f64 + 1.0
            <= budget.base_attempts + budget.per_request * self.request_times.len() as f64
    }

    /// Rules 2 to 5: the streamer holds the title and is up, its pace is kept while it is cold, a repeated
    /// set-up does no harm, and a seat is free.
    pub(super) fn may_send(&self, id: RequestId, at: StreamerId) -> bool {
        let Some(session) = self.sessions.get(&id) else { return false };
        let Some(s) = self.streamers.get(&at) else { return false };
        let request = &session.request;
        let class = &self.settings.classes[request.class.0];
        let holds = self.settings.holds_title(request, &s.entry) && s.entry.standing == Standing::Up;
        let permitted = session.streamer.is_none() && !session.answered && self.limits.allowed(request, at);
        let seats_taken = self.title_seats.get(&(request.title, request.class)).copied().unwrap_or(0);
        let seat_free = class.max_sessions_per_title == 0 || seats_taken < class.max_sessions_per_title;
        let harmless = match (session.may_have_run, class.effect) {
            (None, _) | (_, Effect::Idempotent) => true,
            (Some(_), Effect::AtMostOnce) => false,
            (Some((first, sent_at)), Effect::Deduplicated) => {
                let recognised = |first: &StreamerState| class.dedup_scope.covers(&first.entry, &s.entry);
                self.now < sent_at + class.repeat_window_us
                    && self.streamers.get(&first).is_some_and(recognised)
            }
        };
        // A barred streamer gets a trial from time to time: a session that can be set up again without harm.
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

    /// Sends the request to a streamer; the only place that does. The time-out of the attempt stays within
    /// the time that the viewer still waits.
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
        s.connected_until = now + self.settings.connection_reuse_us;
        let class = &self.settings.classes[session.request.class.0];
        let left_us = session.deadline.saturating_sub(now);
        // An attempt that may be repeated times out early enough for a second one within the class's target.
        let repeatable = class.effect != Effect::AtMostOnce
            && session.attempted.len() + 1 < self.settings.max_attempts as usize;
        let try_for_us = if repeatable { left_us.min(class.target_us / 2) } else { left_us }.max(1);
        session.attempted.push(at);
        session.changed_at = now;
        self.retry_times.extend((session.attempted.len() > 1).then_some(now));
        self.assign_streamer(id, Some(at));
        out.push(Action::Send { request: id, streamer: at, try_for_us });
    }

    /// Gives the final answer; the only place that does. Rules 1 and 2: where an attempt with effects may
    /// have run, the answer is a failure and not a refusal.
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
