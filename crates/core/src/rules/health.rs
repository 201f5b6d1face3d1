//! Health (one suspicion for all evidence, who is cold) and the guards of the six rules, each in one place.
use super::*;

impl Controller {
    pub(super) fn suspicion(&self, s: &Streamer) -> f64 {
        let age = self.now.saturating_sub(s.judged_at) as f64 / SECOND;
        s.suspicion * (-age / HALF_LIFE_S * std::f64::consts::LN_2).exp()
    }

    /// Streamers in the list, and those of them that get no set-ups now, but for trials.
    pub fn listed(&self) -> (usize, usize) {
        let listed = || self.streamers.values().filter(|s| s.entry.standing != Standing::Gone);
        let avoided = |s: &&Streamer| s.entry.standing != Standing::Up || self.suspicion(s) >= BARRED;
        (listed().count(), listed().filter(avoided).count())
    }

    /// Adds evidence against a streamer (for it, below zero): one measure for all signs of trouble.
    pub(super) fn judge(&mut self, id: StreamerId, evidence: f64, why: &str, out: &mut Out) {
        let Some(s) = self.streamers.get(&id) else { return };
        let before = self.suspicion(s);
        let after = if evidence < 0.0 { before * CLEARED } else { (before + evidence).min(WORST) };
        if before < BARRED && after >= BARRED {
            out.push(Action::Log(format!("streamer {} suspected: {why}", id.0)));
        }
        let Some(s) = self.streamers.get_mut(&id) else { return };
        (s.suspicion, s.judged_at) = (after, self.now);
        s.trial_at = if after >= BARRED && evidence > 0.0 { self.now + TRIAL_US } else { s.trial_at };
    }

    /// After a restart, told or inferred, its pace is limited until it is warm. An own restart adds nothing:
    /// the list tells starts to all, and directors that took all for cold starved those who came back.
    fn is_cold(&self, s: &Streamer) -> bool {
        s.cold_since.is_some_and(|since| self.now < since.saturating_add(self.set.warm_up_us))
    }

    /// The turn of the common clock at a streamer, and whether it is this controller's. Each is for as many
    /// controllers as the pace allows; COLD_PACE leaves room for the one turn more that any second touches.
    pub(super) fn turn(&self, entry: &Entry) -> (u64, bool) {
        let places = self.set.overload_failure_multiple
            * self.set.max_streams(entry)
            * self.set.cold_capacity_fraction;
        let pace = COLD_PACE * places / (self.set.warm_up_us as f64 / SECOND).max(1e-3);
        let group = (pace * TURN_S).max(1.0) as u64;
        // Neighbouring cells have their turns in turn, lest all holders of a title be another's at once.
        let turn = (self.now as f64 / SECOND * pace / group as f64) as u64 + u64::from(entry.cell);
        let groups = u64::from(self.set.controllers).div_ceil(group);
        (turn, turn % groups == u64::from(self.set.controller_index) / group)
    }

    /// Whether a cold streamer may have a set-up now: in an own turn that is not used yet.
    fn cold_turn(&self, s: &Streamer) -> Option<u64> {
        let (turn, mine) = self.turn(&s.entry);
        (mine && s.cold_turn != Some(turn)).then_some(turn)
    }

    /// Whether a request can try a barred streamer (load tests clear none) and still go elsewhere in time.
    pub(super) fn tries(&self, id: RequestId) -> bool {
        let Some(session) = self.sessions.get(&id) else { return false };
        let class = &self.set.classes[session.request.class.0];
        session.tried.is_empty() && self.now + class.target_us <= session.deadline
    }

    pub(super) fn started(&mut self, id: RequestId, at: StreamerId) {
        self.judge(at, -1.0, "", &mut Vec::new());
        let Some(session) = self.sessions.get_mut(&id) else { return };
        (session.playing, session.answered, session.changed_at) = (true, true, self.now);
        let (request, worth) = (session.request.clone(), session.worth);
        if self.titles.insert(request.title, self.now).is_none() {
            self.count(&request, worth);
        }
    }

    pub(super) fn ended(&mut self, id: RequestId, at: StreamerId, how: Outcome, last: bool, out: &mut Out) {
        let (evidence, why) = match how {
            // [D10] An error on a title that never stood says as much of the title.
            Outcome::Failed if self.sessions.get(&id).is_some_and(|s| !s.playing && self.proven(s)) => {
                (1.5, "set-up failed")
            }
            Outcome::TimedOut => (1.0, "set-up timed out"),
            Outcome::ConnectError => (2.0, "no connection"),
            Outcome::Reset => (1.5, "connection reset"),
            Outcome::Garbled => (0.5, "answers that can't be read"),
            _ => (0.0, ""),
        };
        self.judge(at, evidence, why, out);
        let now = self.now;
        match self.streamers.get_mut(&at) {
            // It may come back cold before discovery says so.
            Some(s) if matches!(how, Outcome::Reset | Outcome::ConnectError) => s.cold_since = Some(now),
            Some(s) if how == Outcome::QueueFull && self.set.reject_from_link_demand > 0.0 => {
                s.link.observe(
                    now,
                    s.link.seen.map_or(0.0, |x| x.1).max(self.set.reject_from_link_demand),
                    BELIEF,
                );
            }
            _ => {}
        }
        self.place(id, None);
        let Some(session) = self.sessions.get_mut(&id) else { return };
        let over = session.playing && how == Outcome::Ok;
        self.meters[session.request.class.0].ended += f64::from(u8::from(over));
        let ran = (!how.never_ran()).then_some((at, session.changed_at));
        session.may_have_run = session.may_have_run.or(ran);
        if last || session.answered {
            self.sessions.remove(&id);
        } else {
            self.attempt_again(id, out);
        }
    }

    pub(super) fn gone(&mut self, id: RequestId) {
        self.sessions.retain(|i, s| *i != id || s.streamer.is_some());
        self.sessions.entry(id).and_modify(|s| s.answered = true);
    }

    /// A further attempt where every rule allows one, else the final answer at once.
    pub(super) fn attempt_again(&mut self, id: RequestId, out: &mut Out) {
        let Some(session) = self.sessions.get(&id) else { return };
        let class = &self.set.classes[session.request.class.0];
        let ran = session.may_have_run.is_some();
        let harmless = !ran || class.effect != Effect::AtMostOnce;
        let most = if ran && !self.proven(session) { UNPROVEN_TRIES } else { self.set.max_attempts as usize };
        let in_time = self.now + LEAST_LEFT_US < session.deadline && session.tried.len() < most;
        if harmless && in_time && (session.tried.is_empty() || self.budget_allows()) {
            self.attempt(id, out);
        } else {
            self.answer(id, out);
        }
    }

    /// Rule 6: attempts past the first stay within the ration, where one is stated.
    fn budget_allows(&mut self) -> bool {
        let Some(budget) = self.set.attempt_budget else { return true };
        let (attempts_since, requests_since) = budget.counts_since(self.now);
        self.resent.retain(|at| *at >= attempts_since);
        self.taken.retain(|at| *at > requests_since);
        self.resent.len() as f64 + 1.0 <= budget.free + budget.per_request * self.taken.len() as f64
    }

    /// Rules 2 to 5: it holds the title, is up, not rushed while cold, a repeat does no harm, a seat is free.
    pub(super) fn may_send(&self, id: RequestId, at: StreamerId) -> bool {
        let Some(session) = self.sessions.get(&id) else { return false };
        let Some(s) = self.streamers.get(&at) else { return false };
        let request = &session.request;
        let class = &self.set.classes[request.class.0];
        let holds = self.set.holds_title(request, &s.entry) && s.entry.standing == Standing::Up;
        let open = session.streamer.is_none() && !session.answered && self.limits.open(request, at);
        let seat = self.seats.get(&(request.title, request.class)).copied().unwrap_or(0);
        let seated = class.max_sessions_per_title == 0 || seat < class.max_sessions_per_title;
        let harmless = match (session.may_have_run, class.effect) {
            (None, _) | (_, Effect::Idempotent) => true,
            (Some(_), Effect::AtMostOnce) => false,
            (Some((before, when)), Effect::Deduplicated) => {
                let known = |b: &Streamer| class.dedup_scope.covers(&b.entry, &s.entry);
                self.now < when + class.repeat_window_us && self.streamers.get(&before).is_some_and(known)
            }
        };
        // A barred streamer is tried now and then, by a session that can be set up again without harm.
        let trial = class.effect == Effect::Idempotent && self.now >= s.trial_at && self.proven(session);
        let trusted = self.suspicion(s) < BARRED || (trial && self.tries(id));
        holds && open && seated && harmless && trusted && (!self.is_cold(s) || self.cold_turn(s).is_some())
    }

    /// Sends the request; the only place that does. Its time-out stays within the viewer's own time.
    pub(super) fn send(&mut self, id: RequestId, at: StreamerId, rung: usize, out: &mut Out) {
        if !self.may_send(id, at) {
            return self.answer(id, out);
        }
        self.rate(id, rung, out);
        let turn = self.streamers.get(&at).filter(|s| self.is_cold(s)).and_then(|s| self.cold_turn(s));
        let now = self.now;
        let (s, session) = (self.streamers.get_mut(&at), self.sessions.get_mut(&id));
        let (Some(s), Some(session)) = (s, session) else { return };
        self.limits.sent(&session.request, at, session.rung);
        (s.cold_turn, s.trial_at) = (turn.or(s.cold_turn), s.trial_at.max(now + TRIAL_US));
        s.linked_until = now + self.set.connection_reuse_us;
        let class = &self.set.classes[session.request.class.0];
        let left = session.deadline.saturating_sub(now);
        // One that can be sent again gets its answer in time for a second attempt within the usual bound.
        let again =
            class.effect != Effect::AtMostOnce && session.tried.len() + 1 < self.set.max_attempts as usize;
        let try_for_us = if again { left.min(class.target_us / 2) } else { left }.max(1);
        session.tried.push(at);
        session.changed_at = now;
        self.resent.extend((session.tried.len() > 1).then_some(now));
        self.place(id, Some(at));
        out.push(Action::Send { request: id, streamer: at, try_for_us });
    }

    /// The only place with a final answer. Rules 1 and 2: where a paid attempt may have run it is no refusal.
    pub(super) fn answer(&mut self, id: RequestId, out: &mut Out) {
        let Some(session) = self.sessions.get(&id).filter(|s| s.streamer.is_none() && !s.answered) else {
            return;
        };
        let class = &self.set.classes[session.request.class.0];
        let harmless = session.may_have_run.is_none()
            || class.effect == Effect::Idempotent
            || (class.effect == Effect::Deduplicated && class.dedup_scope == DedupScope::All);
        let request = self.sessions.remove(&id).map(|s| s.request).unwrap_or_default();
        if harmless {
            let (most, chance) = (self.set.max_hold_off_us, self.chance());
            let hold_off_us = self.limits.hold_off(&request, most, chance);
            out.push(Action::Refuse { request: id, hold_off_us });
        } else {
            out.push(Action::EndFailed(id));
        }
    }
}
