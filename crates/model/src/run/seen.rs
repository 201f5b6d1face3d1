//! What a run measures: worth, spill and pace by tick and second, and the outcome at the end.
use super::*;

impl Run<'_> {
    pub(super) fn tick(&mut self) {
        self.soon(TICK, Event::Tick);
        let dt = TICK as f64 / SECOND as f64;
        let overdue: Vec<RequestId> = self
            .calls
            .iter()
            .filter(|(_, c)| !c.answered && self.now > c.deadline + SLACK)
            .map(|(id, _)| *id)
            .collect();
        for id in overdue {
            self.broken.unanswered += 1;
            if let Some(call) = self.calls.get_mut(&id) {
                call.answered = true; // counted once
            }
        }
        let counted = self.now > FILLED;
        let mut spill = 0.0;
        let delivered: Vec<f64> =
            (0..self.world.streamers.len()).map(|i| self.world.delivered(i, self.now)).collect();
        let mut earned = 0.0;
        let mut home = 0.0;
        for (streamer, sessions) in self.at.iter().enumerate() {
            for id in sessions {
                let call = &self.calls[id];
                let viewer = &self.viewers[call.viewer];
                let hall = self.world.streamers[streamer].hall;
                let kb = self.world.rate(viewer.class, call.rung);
                let stranger = self.lost_halls.contains(&viewer.home) && hall != viewer.home;
                let since = self.first_loss.is_some_and(|(at, _)| call.asked_at >= at);
                spill += if stranger && since { kb } else { 0.0 };
                if !call.playing || !self.reaches(self.nodes[call.node].hall, streamer) {
                    continue;
                }
                let short = (0.98 - delivered[streamer]).max(0.0);
                let class = &self.world.settings.classes[viewer.class.0];
                let worth = class.worth * self.world.settings.ladder_worth[call.rung.min(viewer.top)];
                let got = worth * (1.0 - STALL * short).max(0.0) * dt;
                earned += got;
                home += if self.first_loss.is_some_and(|(_, h)| h != viewer.home) { got } else { 0.0 };
            }
        }
        let mut offered = 0.0;
        let mut home_offered = 0.0;
        for viewer in self.viewers.iter().filter(|v| v.from < self.now && v.until > self.now) {
            let class = &self.world.settings.classes[viewer.class.0];
            let worth = class.worth * self.world.settings.ladder_worth[viewer.top] * dt;
            offered += worth;
            home_offered += if self.first_loss.is_some_and(|(_, h)| h != viewer.home) { worth } else { 0.0 };
        }
        if counted {
            self.out.worth_served += earned;
            self.out.worth_offered += offered;
            self.home.0 += home;
            self.home.1 += home_offered;
        }
        let running = self.nodes.iter().filter(|n| n.core.is_some());
        let booked: f64 = running.map(|n| n.halls.0.borrow().spill().used_kb()).sum();
        self.out.spill_peak = self.out.spill_peak.max(booked);
        self.out.strangers_peak = self.out.strangers_peak.max(spill);
        (self.second.served, self.second.offered) =
            (self.second.served + earned, self.second.offered + offered);
        self.second.spill_kb = self.second.spill_kb.max(spill);
        if self.now.is_multiple_of(SECOND) {
            self.each_second(&delivered);
        }
    }

    pub(super) fn each_second(&mut self, delivered: &[f64]) {
        let halls = self.scenario.halls.len();
        let capacity = self.world.capacity(halls);
        let mut asked = vec![0.0; halls];
        self.world.streamers.iter().for_each(|s| asked[s.hall] += s.asked_kb);
        let load = asked.iter().zip(&capacity).map(|(a, c)| a / c.max(1.0)).collect();
        let at = self.now as f64 / SECOND as f64;
        let sample = std::mem::take(&mut self.second);
        self.out.samples.push(Sample { at, load, ..sample });
        // Notes of short delivery: to each director with sessions there, while it is short and once after.
        for (streamer, share) in delivered.iter().copied().enumerate() {
            let alive = self.world.streamers[streamer].alive;
            let was = self.short.contains(&streamer);
            if !alive || (share >= 0.98 && !was) {
                continue;
            }
            if share < 0.98 {
                self.short.insert(streamer);
            } else {
                self.short.remove(&streamer);
            }
            let mut one_each: BTreeMap<usize, RequestId> = BTreeMap::new();
            for id in &self.at[streamer] {
                one_each.entry(self.calls[id].node).or_insert(*id);
            }
            for (node, session) in one_each {
                if self.reaches(self.nodes[node].hall, streamer) {
                    let wait = self.span(0.64, 1.3);
                    let (from, kind) = (StreamerId(streamer as u32), NoteKind::Delivered);
                    let input = Input::Noted { streamer: from, session, kind, value: share };
                    self.soon(wait, Event::Hear(node, self.nodes[node].epoch, input));
                }
            }
        }
    }

    pub(super) fn finish(mut self) -> Outcome {
        let broken = self.broken;
        self.out.rules_broken = broken.total();
        if let Ok(serde_json::Value::Object(kinds)) = serde_json::to_value(broken) {
            self.out.broken = kinds.into_iter().map(|(k, v)| (k, v.as_u64().unwrap_or(0))).collect();
        }
        self.out.return_pace_peak = self.pace.peak;
        self.out.home_served_share = if self.home.1 > 0.0 { self.home.0 / self.home.1 } else { 1.0 };
        let lost: BTreeSet<&String> = self
            .scenario
            .incidents
            .iter()
            .filter(|i| matches!(i.kind, Kind::Loss | Kind::Cut))
            .map(|i| &i.hall)
            .collect();
        let capacity = self.world.capacity(self.scenario.halls.len());
        let open = self.scenario.halls.iter().zip(capacity).filter(|(h, _)| !lost.contains(h));
        self.out.spill_limit = self.scenario.operator.spill_share * open.map(|(_, kb)| kb).sum::<f64>();
        if let Some((at, hall)) = self.first_loss {
            let others = self.nodes.iter().filter(|n| n.hall != hall);
            let mut found: Vec<f64> = Vec::new();
            for node in others {
                match node.found_at {
                    Some(when) => found.push((when - at) as f64 / SECOND as f64),
                    None => self.out.detect_missed += 1,
                }
            }
            found.sort_by(f64::total_cmp);
            self.out.detect_s = found.get(found.len() / 2).copied().unwrap_or(-1.0);
        }
        self.out
    }
}
