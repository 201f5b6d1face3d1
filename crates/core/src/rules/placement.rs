//! Admission and placement. A request takes a slot of its class's own pool, else borrows an idle slot while
//! links have room, else is refused at once. Also chooses the streamer, the probes and the rungs.
use super::*;

impl Controller {
    /// Admits a request and starts its first attempt, or refuses it.
    pub(super) fn admit(&mut self, request: Request, out: &mut Actions) {
        let (id, class) = (request.id, request.class);
        let proven = self.proven_titles.contains_key(&request.title);
        let unproven = || self.sessions.values().filter(|s| !s.answered && !self.is_proven(s)).count();
        if request.beside >= MAX_OPEN_PER_CONNECTION || (!proven && unproven() >= MAX_OPEN_UNPROVEN) {
            self.sessions.insert(id, SessionState { request, ..SessionState::default() });
            // Too many open requests on one connection, or for titles that are not known to exist.
            return self.answer(id, out);
        }
        self.request_times.extend(self.settings.attempt_budget.map(|_| self.now));
        let known_worth = self.known_viewers.get(&request.viewer).map(|viewer| viewer.1);
        let worth = known_worth.unwrap_or_else(|| self.tenant_worth(request.tenant));
        if proven {
            self.count_arrival(&request, worth);
        }
        let (rung, deadline) = (self.settings.classes[class.0].lowest_rung, self.now + request.left_us);
        let session =
            SessionState { request, deadline, rung, changed_at: self.now, worth, ..SessionState::default() };
        self.sessions.insert(id, session);
        self.attempt(id, out);
    }

    /// Takes over a playing session.
    pub(super) fn adopt_session(&mut self, request: Request, streamer: StreamerId) {
        // Earlier reports may be of links that were still empty.
        self.ignore_reports_until = self.now + MAX_REPORT_AGE_US;
        self.probe_credit += PROBES_PER_SESSION;
        let (id, rung) = (request.id, self.settings.classes[request.class.0].lowest_rung);
        self.known_viewers.insert(request.viewer, (self.now, 1.0));
        let session = SessionState {
            request,
            rung,
            worth: 1.0,
            playing: true,
            answered: true,
            ..SessionState::default()
        };
        self.proven_titles.insert(session.request.title, self.now);
        self.sessions.insert(id, session);
        self.assign_streamer(id, Some(streamer));
    }

    /// Chooses a streamer and a rung for the request and sends it there, waits for a probe, or gives the
    /// final answer at once.
    pub(super) fn attempt(&mut self, id: RequestId, out: &mut Actions) {
        let Some(session) = self.sessions.get(&id) else { return };
        let class = session.request.class;
        let limit = if self.has_own_slot(session) { MAX_LOAD_OWN_POOL } else { MAX_LOAD_BORROWED };
        let holders =
            self.streamers.values().filter(|s| self.settings.holds_title(&session.request, &s.entry));
        let holders: Vec<_> = holders.map(|s| s.entry.streamer).collect();
        // Of very many holders only a part is ranked, a random one each time.
        let step = holders.len().div_ceil(MAX_CANDIDATES).max(1);
        let skip = if step > 1 { (self.chance() * step as f64) as usize } else { 0 };
        let eligible = holders.into_iter().skip(skip).step_by(step).filter(|s| self.may_send(id, *s));
        let costs = eligible.collect::<Vec<_>>().into_iter().map(|s| {
            let jitter = self.chance() * PLACEMENT_JITTER;
            let trial = self.suspicion(&self.streamers[&s]) >= BARRED_SUSPICION && self.can_try_barred(id);
            let cost = self.cost(&self.sessions[&id], &self.streamers[&s]);
            (if trial { -1.0 } else { cost } + jitter, s)
        });
        let mut ranked: Vec<_> = costs.collect();
        ranked.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        if ranked.first().is_some_and(|best| self.probe_before_choice(id, best.1, out)) {
            return;
        }
        let lowest_kb = self.settings.rate_kb(class, self.settings.classes[class.0].lowest_rung);
        let with_room =
            ranked.iter().map(|r| r.1).find(|s| self.spare_kb(&self.streamers[s], limit) >= lowest_kb);
        let Some(s) = with_room.or_else(|| self.make_room(id, &ranked, out)) else {
            return self.answer(id, out);
        };
        let rung = self.start_rung(&self.sessions[&id], &self.streamers[&s], limit);
        self.send(id, s, rung, out);
    }

    /// [D11] Makes room for the request at its lowest rung by stepping own sessions down, where the request
    /// earns more than the steps lose. Returns the streamer that now has room.
    fn make_room(
        &mut self,
        id: RequestId,
        ranked: &[(f64, StreamerId)],
        out: &mut Actions,
    ) -> Option<StreamerId> {
        let session = self.sessions.get(&id)?;
        let limit = if self.has_own_slot(session) { MAX_LOAD_OWN_POOL } else { MAX_LOAD_BORROWED };
        let class = &self.settings.classes[session.request.class.0];
        let lowest_kb = self.settings.rate_kb(session.request.class, class.lowest_rung);
        let max_loss =
            self.settings.ladder_worth[class.lowest_rung] * class.worth * session.worth * MAX_LOSS_SHARE;
        let (streamer, sessions): (_, Vec<_>) = ranked.iter().take(MAX_CHOICES).find_map(|(_, id)| {
            let s = &self.streamers[id];
            let needed_kb = lowest_kb - self.spare_kb(s, limit);
            // A full link is relieved by its own sessions, a full uplink by any session of the rack.
            let link_full = (limit - self.link_load(s)) * s.link.capacity_kb < lowest_kb;
            let rack = |s: &StreamerState| self.settings.rack_of(&s.entry);
            let relieves = |other: &&StreamerState| {
                other.entry.streamer == *id || (!link_full && rack(other) == rack(s))
            };
            let steps = self
                .streamers
                .values()
                .filter(relieves)
                .flat_map(|other| self.possible_steps(other, false, MAKE_ROOM_WAIT_US));
            let mut steps: Vec<_> = steps.collect();
            steps.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.2.cmp(&b.2)));
            let (mut freed_kb, mut lost_worth) = (0.0, 0.0);
            steps.retain(|(per_kb, kb, ..)| {
                let more = freed_kb < needed_kb;
                (freed_kb, lost_worth) =
                    if more { (freed_kb + kb, lost_worth + per_kb * kb) } else { (freed_kb, lost_worth) };
                more
            });
            (freed_kb >= needed_kb && lost_worth < max_loss)
                .then(|| (*id, steps.into_iter().map(|s| s.2).collect()))
        })?;
        sessions.into_iter().for_each(|other| self.change_rung(other, self.sessions[&other].rung - 1, out));
        Some(streamer)
    }

    /// Cost of placing a session at a streamer: the load that results, plus suspicion, prices and tier.
    fn cost(&self, session: &SessionState, s: &StreamerState) -> f64 {
        let rate = self.settings.rate_kb(session.request.class, session.rung);
        let rack = self.settings.rack_of(&s.entry);
        let uplink =
            self.rack_load(rack) + self.racks.get(&rack).map_or(0.0, |uplink| rate / uplink.capacity_kb);
        let link = self.link_load(s) + rate / s.link.capacity_kb;
        let cross_zone =
            if s.entry.zone == self.settings.zone { 0.0 } else { self.settings.cross_zone_price };
        let repeated = if session.attempted.contains(&s.entry.streamer) { 1.0 } else { 0.0 };
        let tier = self.limits.tier_cost(&session.request, s.entry.streamer);
        let handshake = if self.now < s.connected_until { 0.0 } else { self.settings.handshake_price };
        link.max(uplink) + SUSPICION_COST * self.suspicion(s) + repeated + cross_zone + handshake + tier
    }

    /// Probes the streamer that is about to be chosen for its load [D8], unless that was reported within the
    /// last second. After the probe the next best one may follow. Returns whether the request waits for a
    /// probe.
    fn probe_before_choice(&mut self, id: RequestId, at: StreamerId, out: &mut Actions) -> bool {
        let now = self.now;
        let may_probe = self.settings.probes && now >= self.ignore_reports_until && self.probe_credit >= 1.0;
        let (s, session) = (self.streamers.get_mut(&at), self.sessions.get_mut(&id));
        let (Some(s), Some(session)) = (s, session) else { return false };
        let reported = s.link.last_load.is_some_and(|last| last.0 + US_PER_S as Micros > now);
        if !may_probe
            || reported
            || session.probes_sent >= MAX_CHOICES
            || session.deadline < now + US_PER_S as Micros
        {
            return false;
        }
        (session.awaited_probe, session.probes_sent) = (Some((at, now)), session.probes_sent + 1);
        if !std::mem::replace(&mut s.probe_in_flight, true) {
            self.probe_credit -= 1.0;
            out.push(Action::Probe(at));
        }
        true
    }

    /// Goes on with the requests whose awaited probe is `due`.
    pub(super) fn resume_waiting(&mut self, due: impl Fn(&(StreamerId, Micros)) -> bool, out: &mut Actions) {
        let waits = |s: &SessionState| {
            s.streamer.is_none() && !s.answered && s.awaited_probe.as_ref().is_some_and(&due)
        };
        let ids: Vec<_> = self.sessions.iter().filter(|(_, s)| waits(s)).map(|(id, _)| *id).collect();
        ids.into_iter().for_each(|id| self.attempt_again(id, out));
    }

    /// Where only probes report load, probes streamers whose sessions could be stepped up, those without news
    /// for the longest time first.
    pub(super) fn probe_for_room(&mut self, out: &mut Actions) {
        let now = self.now;
        let room =
            self.mean_loads.iter().all(|mean| mean.1 < MAX_LOAD_STEP_UP) && self.chance() < EXPLORE_CHANCE;
        while room
            && self.settings.probes
            && self.settings.report_mode == ReportMode::ProbeOnly
            && self.probe_credit >= 1.0
        {
            let news_at = |s: &StreamerState| s.link.last_load.map_or(0, |last| last.0).max(s.probed_at);
            let outdated =
                |s: &StreamerState| !s.probe_in_flight && news_at(s) + STEP_UP_WAIT_REPORTED_US < now;
            let worth_probing = |s: &&StreamerState| {
                outdated(s) && !self.possible_steps(s, true, STEP_UP_WAIT_REPORTED_US).is_empty()
            };
            let candidates = self.streamers.values().filter(worth_probing);
            let Some(id) = candidates.min_by_key(|s| news_at(s)).map(|s| s.entry.streamer) else { return };
            self.probe_credit -= 1.0;
            self.streamers.entry(id).and_modify(|s| (s.probed_at, s.probe_in_flight) = (now, true));
            out.push(Action::Probe(id));
        }
    }

    /// Handles the result of a probe.
    pub(super) fn probe_ended(
        &mut self,
        id: StreamerId,
        outcome: Outcome,
        report: LoadReport,
        out: &mut Actions,
    ) {
        let Some(s) = self.streamers.get_mut(&id) else { return };
        s.probe_in_flight = false;
        match outcome {
            Outcome::Ok => self.apply_report(id, report),
            Outcome::ConnectError | Outcome::TimedOut => {
                self.add_evidence(id, 1.5, "no answer to a probe", out)
            }
            _ => {}
        }
        self.resume_waiting(|awaited| awaited.0 == id, out);
    }

    /// The highest rung for which there is room, but at most the fair rate [D5]: the mean rate of own
    /// sessions, scaled to a link that is just full and in proportion to the class's worth. (Worth grows
    /// roughly with the logarithm of the rate.)
    fn start_rung(&self, session: &SessionState, s: &StreamerState, limit: f64) -> usize {
        let request = &session.request;
        let load = self.rack_load(self.settings.rack_of(&s.entry)).max(self.link_load(s)).max(0.1);
        let mean_kb = (self.own_kb + self.slot_kb) / (self.own_sessions() + 1.0);
        let total_worth: f64 = self.settings.classes.iter().map(|c| c.worth).sum();
        let relative_worth =
            self.settings.classes[request.class.0].worth * self.settings.classes.len() as f64 / total_worth;
        let fair_kb = START_RATE_FACTOR * relative_worth * mean_kb * limit / load;
        let lowest = self.settings.classes[request.class.0].lowest_rung;
        let max_kb = self
            .spare_kb(s, limit)
            .min(fair_kb)
            .min(self.limits.constraints(request, s.entry.streamer).max_rate_kb);
        let fits = |rung: &usize| self.settings.rate_kb(request.class, *rung) <= max_kb;
        (lowest..=self.settings.top_rung(request)).rev().find(fits).unwrap_or(lowest)
    }

    /// Possible steps, a rung up or down, of the playing sessions at a streamer whose rung has not changed
    /// for `wait`.
    fn possible_steps(&self, s: &StreamerState, up: bool, wait: Micros) -> Vec<RungStep> {
        let mut steps = Vec::new();
        for id in &s.sessions {
            let session = &self.sessions[id];
            let class = &self.settings.classes[session.request.class.0];
            let low = session.rung.saturating_sub(usize::from(!up));
            let top = self.settings.top_rung(&session.request);
            let constraints = self.limits.constraints(&session.request, s.entry.streamer);
            let within_limits =
                self.settings.rate_kb(session.request.class, low + 1) <= constraints.max_rate_kb;
            let can_step = if up { low < top && within_limits } else { session.rung > class.lowest_rung };
            if can_step && session.playing && session.changed_at + wait <= self.now {
                let gap = |ladder: &[f64]| ladder[low + 1] - ladder[low];
                let kb = (gap(&self.settings.ladder_kb) * class.scale).max(1e-9);
                let worth = gap(&self.settings.ladder_worth) * class.worth * session.worth;
                steps.push((worth / kb, kb, *id, s.entry.streamer));
            }
        }
        steps
    }

    /// Steps sessions down where a link or uplink is overloaded, and up where there has been room for a
    /// while. All controllers see the same load, so each corrects its own part of it, once for each report
    /// [D9]. None steps down by its own estimate alone [D6].
    pub(super) fn adjust_rungs(&mut self, out: &mut Actions) {
        let now = self.now;
        let own_part =
            |link: &LinkState, load: f64| (link.own_kb / (load * link.capacity_kb).max(1.0)).min(1.0);
        let own_excess_kb = |link: &LinkState, load: f64| {
            (load - STEP_DOWN_TARGET_LOAD) * link.capacity_kb * own_part(link, load)
        };
        let reported_since_step =
            |link: &LinkState| link.last_load.is_none_or(|last| last.0 > link.last_step_at);
        for id in self.streamers.keys().copied().collect::<Vec<_>>() {
            let (s, load) = (&self.streamers[&id], self.link_load(&self.streamers[&id]));
            if s.link.own_sessions > 0
                && load > MIN_LOAD_STEP_DOWN
                && s.link.is_fresh(now)
                && reported_since_step(&s.link)
            {
                self.step_rungs(
                    false,
                    self.settings.rack_of(&s.entry),
                    Some(id),
                    own_excess_kb(&s.link, load),
                    out,
                );
            }
        }
        let due = |uplink: &LinkState| uplink.own_sessions > 0 && reported_since_step(uplink);
        let racks: Vec<u32> = self.racks.iter().filter(|(_, uplink)| due(uplink)).map(|r| *r.0).collect();
        for rack in racks {
            let (uplink, load) = (&self.racks[&rack], self.rack_load(rack));
            // A controller that sees too little load by chance must not step up.
            let target = MAX_LOAD_STEP_UP / (1.0 + self.load_uncertainty(uplink));
            if load > MIN_LOAD_STEP_DOWN && uplink.is_fresh(now) {
                self.step_rungs(false, rack, None, own_excess_kb(uplink, load), out);
            } else if load < target {
                // After a probe only this controller knows of the room, except those that probe before its
                // own step shows in the load.
                let probes = self.settings.probes && self.settings.report_mode == ReportMode::ProbeOnly;
                let part = own_part(uplink, load).max(if probes {
                    0.5_f64.min(CONTROLLERS_PER_PROBE * own_part(uplink, load))
                } else {
                    0.0
                });
                self.step_rungs(true, rack, None, (target - load) * uplink.capacity_kb * part, out);
            }
        }
    }

    /// Steps own sessions of a rack, or of the streamer `only`, a rung up or down until about `kb` are used
    /// or freed. The steps with the best worth for their rate come first.
    fn step_rungs(&mut self, up: bool, rack: u32, only: Option<StreamerId>, mut kb: f64, out: &mut Actions) {
        let (now, uplink) = (self.now, &self.racks[&rack]);
        let mut steps = Vec::new();
        let here = |s: &&StreamerState| self.settings.rack_of(&s.entry) == rack && !s.sessions.is_empty();
        for s in self.streamers.values().filter(here).filter(|s| only.is_none_or(|o| o == s.entry.streamer)) {
            // [D3] The design waits 30 s. A fresh report for both link and uplink shortens the wait.
            let reported = uplink.is_fresh(now) && s.link.is_fresh(now);
            let wait =
                if !up { 0 } else { [STEP_UP_WAIT_US, STEP_UP_WAIT_REPORTED_US][usize::from(reported)] };
            if !uplink.short_within(now, wait) && !s.link.short_within(now, wait) {
                steps.extend(self.possible_steps(s, up, wait));
            }
        }
        let order = |worth_per_kb: f64| if up { -worth_per_kb } else { worth_per_kb };
        steps.sort_by(|a, b| order(a.0).total_cmp(&order(b.0)).then(a.2.cmp(&b.2)));
        let any = !steps.is_empty();
        for (_, step_kb, id, streamer) in steps {
            let s = &self.streamers[&streamer];
            let fits = !up || step_kb <= (MAX_LOAD_STEP_UP - self.link_load(s)) * s.link.capacity_kb;
            if fits && kb > 0.0 && (kb >= step_kb || self.chance() * step_kb < kb) {
                let rung = self.sessions[&id].rung;
                self.change_rung(id, if up { rung + 1 } else { rung - 1 }, out);
            }
            kb -= step_kb;
        }
        let link = only.and_then(|id| self.streamers.get_mut(&id)).map(|s| &mut s.link);
        link.or(self.racks.get_mut(&rack))
            .filter(|_| any)
            .into_iter()
            .for_each(|link| link.last_step_at = now);
    }

    /// Sets a session's rung; the only place that does. Rule 5: never below the class's lowest rung, never
    /// above the viewer's best one.
    pub(super) fn change_rung(&mut self, id: RequestId, rung: usize, out: &mut Actions) {
        let Some(session) = self.sessions.get(&id) else { return };
        let class = &self.settings.classes[session.request.class.0];
        let allowed = class.lowest_rung..=self.settings.top_rung(&session.request);
        let valid = allowed.contains(&rung) && rung != session.rung && self.limits.may_act_on(id);
        if valid && (session.playing || session.streamer.is_none()) {
            self.record_rung(id, rung, false);
            out.push(Action::Rate { request: id, rung });
        }
    }

    /// Records the rung of a session and its rate. `reported` tells that the streamer changed it by itself.
    pub(super) fn record_rung(&mut self, id: RequestId, rung: usize, reported: bool) {
        let now = self.now;
        let Some(session) = self.sessions.get_mut(&id) else { return };
        let before = std::mem::replace(&mut session.rung, rung.min(self.settings.ladder_kb.len() - 1));
        session.changed_at = if reported { session.changed_at } else { now };
        let (class, after, streamer) = (session.request.class, session.rung, session.streamer);
        self.limits.rung_changed(id, after);
        if let Some(streamer) = streamer {
            self.record_rate_change(
                streamer,
                self.settings.rate_kb(class, after) - self.settings.rate_kb(class, before),
                0,
            );
        }
    }
}
