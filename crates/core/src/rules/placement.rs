//! Admission (own pool, else borrow with room, else refuse at once), which streamer, whom to ask, which rung.
use super::*;

impl Controller {
    pub(super) fn inbound(&mut self, request: Request, out: &mut Out) {
        let (id, class) = (request.id, request.class);
        let proven = self.titles.contains_key(&request.title);
        let unproven = || self.sessions.values().filter(|s| !s.answered && !self.proven(s)).count();
        if request.beside >= BESIDE_MOST || (!proven && unproven() >= UNPROVEN_MOST) {
            self.sessions.insert(id, Session { request, ..Session::default() });
            return self.answer(id, out); // what is crowded out by one connection, or by what nobody knows
        }
        self.taken.extend(self.set.attempt_budget.map(|_| self.now));
        let known = self.viewers.get(&request.viewer).map(|v| v.1);
        let worth = known.unwrap_or_else(|| self.tenant_worth(request.tenant));
        if proven {
            self.count(&request, worth);
        }
        let (rung, deadline) = (self.set.classes[class.0].lowest_rung, self.now + request.left_us);
        let session = Session { request, deadline, rung, changed_at: self.now, worth, ..Session::default() };
        self.sessions.insert(id, session);
        self.attempt(id, out);
    }

    pub(super) fn handed(&mut self, request: Request, streamer: StreamerId) {
        self.deaf_until = self.now + REPORT_OLDEST_US; // reports may be of empty links, from before
        self.probes += PROBES_PER_SESSION;
        let (id, rung) = (request.id, self.set.classes[request.class.0].lowest_rung);
        self.viewers.insert(request.viewer, (self.now, 1.0));
        let session =
            Session { request, rung, worth: 1.0, playing: true, answered: true, ..Session::default() };
        self.titles.insert(session.request.title, self.now);
        self.sessions.insert(id, session);
        self.place(id, Some(streamer));
    }

    /// Finds a streamer and a rung for the request and sends it there, or gives the final answer at once.
    pub(super) fn attempt(&mut self, id: RequestId, out: &mut Out) {
        let Some(session) = self.sessions.get(&id) else { return };
        let class = session.request.class;
        let limit = if self.own_slot(session) { FULL } else { LENT };
        let holders = self.streamers.values().filter(|s| self.set.holds_title(&session.request, &s.entry));
        let holders: Vec<_> = holders.map(|s| s.entry.streamer).collect();
        let step = holders.len().div_ceil(LOOKED_AT).max(1); // of very many a part, another one each time
        let skip = if step > 1 { (self.chance() * step as f64) as usize } else { 0 };
        let able = holders.into_iter().skip(skip).step_by(step).filter(|s| self.may_send(id, *s));
        let ranks = able.collect::<Vec<_>>().into_iter().map(|s| {
            let jitter = self.chance() * JITTER;
            let trial = self.suspicion(&self.streamers[&s]) >= BARRED && self.tries(id);
            let cost = self.cost(&self.sessions[&id], &self.streamers[&s]);
            (if trial { -1.0 } else { cost } + jitter, s)
        });
        let mut ranked: Vec<_> = ranks.collect();
        ranked.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        if ranked.first().is_some_and(|best| self.ask_first(id, best.1, out)) {
            return;
        }
        let least = self.set.rate_kb(class, self.set.classes[class.0].lowest_rung);
        let room = ranked.iter().map(|r| r.1).find(|s| self.room_kb(&self.streamers[s], limit) >= least);
        let Some(s) = room.or_else(|| self.squeeze(id, &ranked, out)) else { return self.answer(id, out) };
        let rung = self.start_rung(&self.sessions[&id], &self.streamers[&s], limit);
        self.send(id, s, rung, out);
    }

    /// [D11] Makes room at the lowest rung by stepping own sessions down where that earns more than it loses.
    fn squeeze(&mut self, id: RequestId, best: &[(f64, StreamerId)], out: &mut Out) -> Option<StreamerId> {
        let session = self.sessions.get(&id)?;
        let limit = if self.own_slot(session) { FULL } else { LENT };
        let class = &self.set.classes[session.request.class.0];
        let least = self.set.rate_kb(session.request.class, class.lowest_rung);
        let gain = self.set.ladder_worth[class.lowest_rung] * class.worth * session.worth * SQUEEZE_GAIN;
        let (at, down): (_, Vec<_>) = best.iter().take(ASKS).find_map(|(_, at)| {
            let s = &self.streamers[at];
            let need = least - self.room_kb(s, limit);
            // What a link lacks is freed on it, what an uplink lacks anywhere on it.
            let link_full = (limit - self.link_load(s)) * s.link.cap_kb < least;
            let rack = |s: &Streamer| self.set.rack_of(&s.entry);
            let here = |o: &&Streamer| o.entry.streamer == *at || (!link_full && rack(o) == rack(s));
            let steps = self.streamers.values().filter(here).flat_map(|o| self.steps(o, false, SQUEEZED_US));
            let mut steps: Vec<_> = steps.collect();
            steps.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.2.cmp(&b.2)));
            let (mut freed, mut lost) = (0.0, 0.0);
            steps.retain(|(per_kb, kb, ..)| {
                let more = freed < need;
                (freed, lost) = if more { (freed + kb, lost + per_kb * kb) } else { (freed, lost) };
                more
            });
            (freed >= need && lost < gain).then(|| (*at, steps.into_iter().map(|s| s.2).collect()))
        })?;
        down.into_iter().for_each(|other| self.rate(other, self.sessions[&other].rung - 1, out));
        Some(at)
    }

    fn cost(&self, session: &Session, s: &Streamer) -> f64 {
        let rate = self.set.rate_kb(session.request.class, session.rung);
        let rack = self.set.rack_of(&s.entry);
        let uplink = self.rack_load(rack) + self.racks.get(&rack).map_or(0.0, |g| rate / g.cap_kb);
        let link = self.link_load(s) + rate / s.link.cap_kb;
        let away = if s.entry.zone == self.set.zone { 0.0 } else { self.set.cross_zone_price };
        let again = if session.tried.contains(&s.entry.streamer) { 1.0 } else { 0.0 };
        let tier = self.limits.tier_cost(&session.request, s.entry.streamer);
        let fresh = if self.now < s.linked_until { 0.0 } else { self.set.handshake_price };
        link.max(uplink) + SUSPECT_COST * self.suspicion(s) + again + away + fresh + tier
    }

    /// Asks the streamer about to be chosen for its load [D8], unless heard of just now; then the next best.
    fn ask_first(&mut self, id: RequestId, at: StreamerId, out: &mut Out) -> bool {
        let now = self.now;
        let wanted = self.set.probes && now >= self.deaf_until && self.probes >= 1.0;
        let (s, session) = (self.streamers.get_mut(&at), self.sessions.get_mut(&id));
        let (Some(s), Some(session)) = (s, session) else { return false };
        let heard = s.link.seen.is_some_and(|x| x.0 + SECOND as Micros > now);
        if !wanted || heard || session.asks >= ASKS || session.deadline < now + SECOND as Micros {
            return false;
        }
        (session.asked, session.asks) = (Some((at, now)), session.asks + 1);
        if !std::mem::replace(&mut s.probe_out, true) {
            self.probes -= 1.0;
            out.push(Action::Probe(at));
        }
        true
    }

    pub(super) fn decide_waiting(&mut self, due: impl Fn(&(StreamerId, Micros)) -> bool, out: &mut Out) {
        let waits = |s: &Session| s.streamer.is_none() && !s.answered && s.asked.as_ref().is_some_and(&due);
        let ids: Vec<_> = self.sessions.iter().filter(|(_, s)| waits(s)).map(|(id, _)| *id).collect();
        ids.into_iter().for_each(|id| self.attempt_again(id, out));
    }

    /// Where nothing else tells load, asks after room to step up, longest unheard first.
    pub(super) fn look_around(&mut self, out: &mut Out) {
        let now = self.now;
        let room = self.told.iter().all(|t| t.1 < RAISE) && self.chance() < LOOK;
        while room && self.set.probes && self.set.report_mode == ReportMode::ProbeOnly && self.probes >= 1.0 {
            let heard = |s: &Streamer| s.link.seen.map_or(0, |x| x.0).max(s.probed_at);
            let old = |s: &Streamer| !s.probe_out && heard(s) + SEEN_QUIET_US < now;
            let room = |s: &&Streamer| old(s) && !self.steps(s, true, SEEN_QUIET_US).is_empty();
            let here = self.streamers.values().filter(room);
            let Some(id) = here.min_by_key(|s| heard(s)).map(|s| s.entry.streamer) else { return };
            self.probes -= 1.0;
            self.streamers.entry(id).and_modify(|s| (s.probed_at, s.probe_out) = (now, true));
            out.push(Action::Probe(id));
        }
    }

    pub(super) fn probed(&mut self, id: StreamerId, outcome: Outcome, report: LoadReport, out: &mut Out) {
        let Some(s) = self.streamers.get_mut(&id) else { return };
        s.probe_out = false;
        match outcome {
            Outcome::Ok => self.report(id, report),
            Outcome::ConnectError | Outcome::TimedOut => self.judge(id, 1.5, "no answer to a probe", out),
            _ => {}
        }
        self.decide_waiting(|asked| asked.0 == id, out);
    }

    /// The highest rung with room, but no more than the fair rate [D5]: what own sessions play at, as if this
    /// link were just full, in proportion to the class's worth (worth grows about with a rate's logarithm).
    fn start_rung(&self, session: &Session, s: &Streamer, limit: f64) -> usize {
        let request = &session.request;
        let load = self.rack_load(self.set.rack_of(&s.entry)).max(self.link_load(s)).max(0.1);
        let mean_kb = (self.own_kb + self.slot_kb) / (self.own_sessions() + 1.0);
        let worths: f64 = self.set.classes.iter().map(|c| c.worth).sum();
        let dear = self.set.classes[request.class.0].worth * self.set.classes.len() as f64 / worths;
        let fair = FAIR * dear * mean_kb * limit / load;
        let floor = self.set.classes[request.class.0].lowest_rung;
        let most = self.room_kb(s, limit).min(fair).min(self.limits.terms(request, s.entry.streamer).most_kb);
        let fits = |r: &usize| self.set.rate_kb(request.class, *r) <= most;
        (floor..=self.set.top_rung(request)).rev().find(fits).unwrap_or(floor)
    }

    /// Own playing sessions at a streamer that can go a rung up (or down).
    fn steps(&self, s: &Streamer, up: bool, quiet: Micros) -> Vec<Step> {
        let mut steps = Vec::new();
        for id in &s.sessions {
            let session = &self.sessions[id];
            let class = &self.set.classes[session.request.class.0];
            let low = session.rung.saturating_sub(usize::from(!up));
            let most = self.set.top_rung(&session.request);
            let terms = self.limits.terms(&session.request, s.entry.streamer);
            let free = self.set.rate_kb(session.request.class, low + 1) <= terms.most_kb;
            let may = if up { low < most && free } else { session.rung > class.lowest_rung };
            if may && session.playing && session.changed_at + quiet <= self.now {
                let gap = |ladder: &[f64]| ladder[low + 1] - ladder[low];
                let kb = (gap(&self.set.ladder_kb) * class.scale).max(1e-9);
                let worth = gap(&self.set.ladder_worth) * class.worth * session.worth;
                steps.push((worth / kb, kb, *id, s.entry.streamer));
            }
        }
        steps
    }

    /// The rung rule: down where a link or uplink is short, up where there has been room for a while. All see
    /// the same: each takes its own part, once a report [D9]; none steps down by its own counts alone [D6].
    pub(super) fn adjust_rungs(&mut self, out: &mut Out) {
        let now = self.now;
        let part = |g: &Gauge, load: f64| (g.own_kb / (load * g.cap_kb).max(1.0)).min(1.0);
        let excess = |g: &Gauge, load: f64| (load - SETTLE) * g.cap_kb * part(g, load);
        let news = |g: &Gauge| g.seen.is_none_or(|s| s.0 > g.stepped_at);
        for id in self.streamers.keys().copied().collect::<Vec<_>>() {
            let (s, load) = (&self.streamers[&id], self.link_load(&self.streamers[&id]));
            if s.link.own > 0 && load > SHORT && s.link.fresh(now) && news(&s.link) {
                self.step(false, self.set.rack_of(&s.entry), Some(id), excess(&s.link, load), out);
            }
        }
        let own: Vec<u32> = self.racks.iter().filter(|(_, g)| g.own > 0 && news(g)).map(|r| *r.0).collect();
        for rack in own {
            let (g, load) = (&self.racks[&rack], self.rack_load(rack));
            let raise = RAISE / (1.0 + self.spread(g)); // who sees too little by chance must not step up
            if load > SHORT && g.fresh(now) {
                self.step(false, rack, None, excess(g, load), out);
            } else if load < raise {
                // Who had to ask has the news alone, but for those who ask before its own step shows.
                let asks = self.set.probes && self.set.report_mode == ReportMode::ProbeOnly;
                let part = part(g, load).max(if asks { 0.5_f64.min(ASKERS * part(g, load)) } else { 0.0 });
                self.step(true, rack, None, (raise - load) * g.cap_kb * part, out);
            }
        }
    }

    /// Steps own sessions of a rack, or a streamer, a rung up (down) for about `kb`, best worth for it first.
    fn step(&mut self, up: bool, rack: u32, only: Option<StreamerId>, mut kb: f64, out: &mut Out) {
        let (now, gauge) = (self.now, &self.racks[&rack]);
        let mut steps = Vec::new();
        let here = |s: &&Streamer| self.set.rack_of(&s.entry) == rack && !s.sessions.is_empty();
        for s in self.streamers.values().filter(here).filter(|s| only.is_none_or(|o| o == s.entry.streamer)) {
            // [D3] The design waits 30 s; a fresh report of room on both shortens the wait.
            let seen = gauge.fresh(now) && s.link.fresh(now);
            let quiet = if !up { 0 } else { [QUIET_US, SEEN_QUIET_US][usize::from(seen)] };
            if !gauge.short_within(now, quiet) && !s.link.short_within(now, quiet) {
                steps.extend(self.steps(s, up, quiet));
            }
        }
        let order = |gain: f64| if up { -gain } else { gain };
        steps.sort_by(|a, b| order(a.0).total_cmp(&order(b.0)).then(a.2.cmp(&b.2)));
        let any = !steps.is_empty();
        for (_, step, id, at) in steps {
            let s = &self.streamers[&at];
            let fits = !up || step <= (RAISE - self.link_load(s)) * s.link.cap_kb;
            if fits && kb > 0.0 && (kb >= step || self.chance() * step < kb) {
                let rung = self.sessions[&id].rung;
                self.rate(id, if up { rung + 1 } else { rung - 1 }, out);
            }
            kb -= step;
        }
        let link = only.and_then(|id| self.streamers.get_mut(&id)).map(|s| &mut s.link);
        link.or(self.racks.get_mut(&rack)).filter(|_| any).into_iter().for_each(|g| g.stepped_at = now);
    }

    /// Sets a rung; the only place that does. Rule 5: never under the floor, never over the viewer's best.
    pub(super) fn rate(&mut self, id: RequestId, rung: usize, out: &mut Out) {
        let Some(session) = self.sessions.get(&id) else { return };
        let class = &self.set.classes[session.request.class.0];
        let within = class.lowest_rung..=self.set.top_rung(&session.request);
        let fits = within.contains(&rung) && rung != session.rung && self.limits.acts(id);
        if fits && (session.playing || session.streamer.is_none()) {
            self.set_rung(id, rung, false);
            out.push(Action::Rate { request: id, rung });
        }
    }

    pub(super) fn set_rung(&mut self, id: RequestId, rung: usize, told: bool) {
        let now = self.now;
        let Some(session) = self.sessions.get_mut(&id) else { return };
        let before = std::mem::replace(&mut session.rung, rung.min(self.set.ladder_kb.len() - 1));
        session.changed_at = if told { session.changed_at } else { now };
        let (class, after, at) = (session.request.class, session.rung, session.streamer);
        self.limits.rated(id, after);
        if let Some(at) = at {
            self.book(at, self.set.rate_kb(class, after) - self.set.rate_kb(class, before), 0);
        }
    }
}
