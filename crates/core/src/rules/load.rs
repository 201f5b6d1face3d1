//! What is asked of links and uplinks: reports, notes, own changes since.
use super::*;

impl Gauge {
    /// Books an own set-up, end or change of rung.
    pub(super) fn change(&mut self, now: Micros, kb: f64) {
        self.own_kb = (self.own_kb + kb).max(0.0);
        self.changes.add(now, kb, 2 * FRESH_US);
    }

    /// Takes a report or note of how things stood at `at`, by the part of it that is believed.
    pub(super) fn observe(&mut self, at: Micros, ratio: f64, belief: f64) {
        if self.seen.is_some_and(|s| s.0 > at) {
            return;
        }
        let ratio = match self.seen.filter(|s| s.0 + FRESH_US > at) {
            Some((before, was)) => {
                let expected = (was + self.changes.between(before, at) / self.cap_kb).max(0.0);
                expected + belief * (ratio - expected)
            }
            None => ratio,
        };
        self.seen = Some((at, ratio));
    }

    /// What is asked over what is given. As a report ages, `usual` takes its place.
    fn load(&self, now: Micros, usual: f64) -> f64 {
        let Some((at, ratio)) = self.seen else { return usual };
        let trust = (-(now.saturating_sub(at) as f64) / (TRUST_S * SECOND)).exp();
        trust * (ratio + self.changes.since(at) / self.cap_kb).max(0.0) + (1.0 - trust) * usual
    }

    pub(super) fn fresh(&self, now: Micros) -> bool {
        self.seen.is_some_and(|s| s.0 + FRESH_US > now)
    }

    pub(super) fn short_within(&self, now: Micros, span: Micros) -> bool {
        self.short_at.is_some_and(|at| at + span > now)
    }
}

impl Controller {
    /// Use without a fresh report [D4]: own use, the others' mean, more where own ones are over the expected.
    fn usual(&self, g: &Gauge, which: usize) -> f64 {
        let (told, n) = (self.told[which], f64::from(self.set.controllers));
        let all_kb = [self.set.fleet_kb, self.set.rack_kb * self.racks.len() as f64];
        let scarce_kb = all_kb[0].min(all_kb[1]).max(1.0);
        let mean = (self.own_kb * n / scarce_kb + told.0 * told.1) / (1.0 + told.0);
        let expected = self.own_sessions() * g.cap_kb / all_kb[which].max(1.0);
        let more = (UNEVEN.max(n) + g.own as f64) / (UNEVEN.max(n) + expected);
        mean * more * (1.0 - 1.0 / n) + g.own_kb / g.cap_kb
    }

    pub(super) fn own_sessions(&self) -> f64 {
        self.held.iter().sum::<usize>() as f64
    }

    /// Takes what was told of a link (0) or its uplink (1), if not absurd.
    pub(super) fn hear(&mut self, id: StreamerId, which: usize, at: Micros, ratio: f64) {
        let Some(s) = self.streamers.get_mut(&id).filter(|_| (0.0..=50.0).contains(&ratio)) else { return };
        let uplink = self.racks.get_mut(&self.set.rack_of(&s.entry));
        let gauge = if which == 0 { Some(&mut s.link) } else { uplink };
        gauge.into_iter().for_each(|g| g.observe(at, ratio, BELIEF));
        let (count, mean) = &mut self.told[which];
        *count = (*count + 1.0).min(TOLD);
        *mean += (ratio.min(3.0) - *mean) / *count;
    }

    pub(super) fn link_load(&self, s: &Streamer) -> f64 {
        s.link.load(self.now, self.usual(&s.link, 0))
    }

    pub(super) fn rack_load(&self, rack: u32) -> f64 {
        self.racks.get(&rack).map_or(0.0, |g| g.load(self.now, self.usual(g, 1)))
    }

    /// Whether a streamer is short alone: an uplink shorts all its streamers alike.
    fn short_alone(&self, id: StreamerId, rack: u32) -> bool {
        let here = |s: &&Streamer| self.set.rack_of(&s.entry) == rack && s.entry.streamer != id;
        let others = self.streamers.values().filter(here).filter(|s| !s.sessions.is_empty());
        let (short, whole): (Vec<_>, Vec<_>) = others.partition(|s| s.link.short_within(self.now, SHORT_US));
        whole.len() > short.len().max(1)
    }

    /// Spread of a use that is but a guess by own sessions: no load is asked for, and nothing was heard.
    pub(super) fn spread(&self, g: &Gauge) -> f64 {
        let told = self.set.report_mode != ReportMode::ProbeOnly || self.set.probes || g.fresh(self.now);
        if told { 0.0 } else { self.own_sessions().max(1.0).sqrt().recip() }
    }

    /// Room for one more, kB a second, at a streamer: the lesser of link's and uplink's up to `limit`.
    pub(super) fn room_kb(&self, s: &Streamer, limit: f64) -> f64 {
        let limit = |g: &Gauge| limit * (1.0 + self.spread(g)); // a guess turns nobody away
        let rack = self.set.rack_of(&s.entry);
        let uplink = self.racks.get(&rack).map_or(f64::MAX, |g| (limit(g) - self.rack_load(rack)) * g.cap_kb);
        ((limit(&s.link) - self.link_load(s)) * s.link.cap_kb).min(uplink)
    }

    /// Takes a load report that came along with an answer or a probe.
    pub(super) fn report(&mut self, id: StreamerId, report: LoadReport) {
        let at = self.now.saturating_sub(REPORT_AGE_US);
        if self.now < self.deaf_until {
            return;
        }
        let short = self.streamers.get(&id).is_some_and(|s| s.link.short_within(self.now, FRESH_US));
        let link = report.link.or(report.link_capped.filter(|x| *x < 0.98 || !short));
        link.into_iter().for_each(|x| self.hear(id, 0, at, x));
        report.uplink.into_iter().for_each(|x| self.hear(id, 1, at, x));
    }

    pub(super) fn note(&mut self, of: RequestId, id: StreamerId, told: (NoteKind, f64), out: &mut Out) {
        let (kind, value) = told;
        let (now, late) = (self.now, self.now.saturating_sub(self.set.note_delay_us));
        let setting_up = self.sessions.get(&of).is_some_and(|s| s.changed_at + FRESH_US / 10 > now);
        let at = if setting_up { now } else { late };
        match kind {
            NoteKind::LinkUse => return self.hear(id, 0, at, value),
            NoteKind::UplinkUse => return self.hear(id, 1, at, value),
            NoteKind::Rung => return self.set_rung(of, value.clamp(0.0, 64.0) as usize, true),
            NoteKind::Delivered => {}
        }
        let Some(rack) = self.streamers.get(&id).map(|s| self.set.rack_of(&s.entry)) else { return };
        let alone = self.short_alone(id, rack);
        let (Some(s), Some(gauge)) = (self.streamers.get_mut(&id), self.racks.get_mut(&rack)) else { return };
        if value > 0.0 && value < 0.98 {
            s.link.short_at = Some(now);
            let blamed = if alone || value < STALLED { &mut s.link } else { gauge };
            blamed.short_at = Some(now);
            blamed.observe(late, 1.0 / value.max(STALLED), SHORT_BELIEF);
            if value < STALLED {
                self.judge(id, 1.0, "delivers next to nothing", out);
            }
        } else if value >= 0.98 {
            // Delivery is whole again: an account above 1 was wrong or is over, and others changed it, too.
            let over = [&mut s.link, gauge].into_iter().filter(|g| g.seen.is_some_and(|s| s.1 > 1.0));
            over.for_each(|g| g.seen = None);
        }
    }
}
