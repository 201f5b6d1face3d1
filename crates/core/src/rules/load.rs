//! Load of links and uplinks: from reports, delivery notes and the controller's own changes since.
use super::*;

impl LinkState {
    /// Records a change of own rate: a set-up, an end or a change of rung.
    pub(super) fn add_change(&mut self, now: Micros, kb: f64) {
        self.own_kb = (self.own_kb + kb).max(0.0);
        self.own_changes.add(now, kb, 2 * REPORT_FRESH_US);
    }

    /// Corrects the load by an observation as of `at`. `gain` is the part of the difference from the expected
    /// load that is adopted.
    pub(super) fn observe(&mut self, at: Micros, ratio: f64, gain: f64) {
        if self.last_load.is_some_and(|last| last.0 > at) {
            return;
        }
        let ratio = match self.last_load.filter(|last| last.0 + REPORT_FRESH_US > at) {
            Some((before, last)) => {
                let expected = (last + self.own_changes.between(before, at) / self.capacity_kb).max(0.0);
                expected + gain * (ratio - expected)
            }
            None => ratio,
        };
        self.last_load = Some((at, ratio));
    }

    /// The requested rate over the capacity. As a report ages, `expected` takes its place.
    fn load(&self, now: Micros, expected: f64) -> f64 {
        let Some((at, ratio)) = self.last_load else { return expected };
        let trust = (-(now.saturating_sub(at) as f64) / (REPORT_TRUST_S * US_PER_S)).exp();
        trust * (ratio + self.own_changes.since(at) / self.capacity_kb).max(0.0) + (1.0 - trust) * expected
    }

    /// Whether the last observation is recent.
    pub(super) fn is_fresh(&self, now: Micros) -> bool {
        self.last_load.is_some_and(|last| last.0 + REPORT_FRESH_US > now)
    }

    /// Whether delivery was reported short within `span`.
    pub(super) fn short_within(&self, now: Micros, span: Micros) -> bool {
        self.short_delivery_at.is_some_and(|at| at + span > now)
    }
}

impl Controller {
    /// Load of a link (`which` = 0) or an uplink (1) without a fresh report [D4]: the own load, plus the mean
    /// load of the other controllers, scaled up where there are more own sessions here than expected.
    fn expected_load(&self, link: &LinkState, which: usize) -> f64 {
        let (reported, controllers) = (self.mean_loads[which], f64::from(self.settings.controllers));
        let all_kb = [self.settings.fleet_kb, self.settings.rack_kb * self.racks.len() as f64];
        let scarce_kb = all_kb[0].min(all_kb[1]).max(1.0);
        let mean = (self.own_kb * controllers / scarce_kb + reported.0 * reported.1) / (1.0 + reported.0);
        let expected = self.own_sessions() * link.capacity_kb / all_kb[which].max(1.0);
        let skew = (SKEW_PRIOR_SESSIONS.max(controllers) + link.own_sessions as f64)
            / (SKEW_PRIOR_SESSIONS.max(controllers) + expected);
        mean * skew * (1.0 - 1.0 / controllers) + link.own_kb / link.capacity_kb
    }

    /// Number of this controller's sessions and set-ups in flight.
    pub(super) fn own_sessions(&self) -> f64 {
        self.class_sessions.iter().sum::<usize>() as f64
    }

    /// Records a reported load of a streamer's link (`which` = 0) or uplink (1); absurd values are ignored.
    pub(super) fn observe_load(&mut self, id: StreamerId, which: usize, at: Micros, ratio: f64) {
        let Some(s) = self.streamers.get_mut(&id).filter(|_| (0.0..=50.0).contains(&ratio)) else { return };
        let uplink = self.racks.get_mut(&self.settings.rack_of(&s.entry));
        let link = if which == 0 { Some(&mut s.link) } else { uplink };
        link.into_iter().for_each(|link| link.observe(at, ratio, REPORT_GAIN));
        let (count, mean) = &mut self.mean_loads[which];
        *count = (*count + 1.0).min(MAX_MEAN_REPORTS);
        *mean += (ratio.min(3.0) - *mean) / *count;
    }

    /// Load of a streamer's link now.
    pub(super) fn link_load(&self, s: &StreamerState) -> f64 {
        s.link.load(self.now, self.expected_load(&s.link, 0))
    }

    /// Load of a rack's uplink now.
    pub(super) fn rack_load(&self, rack: u32) -> f64 {
        self.racks.get(&rack).map_or(0.0, |uplink| uplink.load(self.now, self.expected_load(uplink, 1)))
    }

    /// Whether a streamer alone delivers short: an overloaded uplink affects all its streamers alike.
    fn is_short_alone(&self, id: StreamerId, rack: u32) -> bool {
        let here = |s: &&StreamerState| self.settings.rack_of(&s.entry) == rack && s.entry.streamer != id;
        let others = self.streamers.values().filter(here).filter(|s| !s.sessions.is_empty());
        let (short, whole): (Vec<_>, Vec<_>) =
            others.partition(|s| s.link.short_within(self.now, SHORT_DELIVERY_HOLD_US));
        whole.len() > short.len().max(1)
    }

    /// Relative uncertainty of a load that is only estimated from own sessions, because no load is probed for
    /// and none was reported. Zero where load is known.
    pub(super) fn load_uncertainty(&self, link: &LinkState) -> f64 {
        let known = self.settings.report_mode != ReportMode::ProbeOnly
            || self.settings.probes
            || link.is_fresh(self.now);
        if known { 0.0 } else { self.own_sessions().max(1.0).sqrt().recip() }
    }

    /// Spare rate at a streamer, kB a second, up to a load of `limit`: the lesser of its link's and uplink's.
    pub(super) fn spare_kb(&self, s: &StreamerState, limit: f64) -> f64 {
        // An estimate alone must not cause refusals.
        let limit = |link: &LinkState| limit * (1.0 + self.load_uncertainty(link));
        let rack = self.settings.rack_of(&s.entry);
        let uplink_kb = self
            .racks
            .get(&rack)
            .map_or(f64::MAX, |uplink| (limit(uplink) - self.rack_load(rack)) * uplink.capacity_kb);
        ((limit(&s.link) - self.link_load(s)) * s.link.capacity_kb).min(uplink_kb)
    }

    /// Records a load report that came with an answer or a probe result.
    pub(super) fn apply_report(&mut self, id: StreamerId, report: LoadReport) {
        let at = self.now.saturating_sub(ASSUMED_REPORT_AGE_US);
        if self.now < self.ignore_reports_until {
            return;
        }
        let short = self.streamers.get(&id).is_some_and(|s| s.link.short_within(self.now, REPORT_FRESH_US));
        let link = report.link.or(report.link_capped.filter(|x| *x < 0.98 || !short));
        link.into_iter().for_each(|x| self.observe_load(id, 0, at, x));
        report.uplink.into_iter().for_each(|x| self.observe_load(id, 1, at, x));
    }

    /// Handles a note on a session: its rung, the load of links, or the share of its rate that was delivered.
    pub(super) fn apply_note(
        &mut self,
        of: RequestId,
        id: StreamerId,
        note: (NoteKind, f64),
        out: &mut Actions,
    ) {
        let (kind, value) = note;
        let (now, late) = (self.now, self.now.saturating_sub(self.settings.note_delay_us));
        let setting_up = self.sessions.get(&of).is_some_and(|s| s.changed_at + REPORT_FRESH_US / 10 > now);
        let at = if setting_up { now } else { late };
        match kind {
            NoteKind::LinkUse => return self.observe_load(id, 0, at, value),
            NoteKind::UplinkUse => return self.observe_load(id, 1, at, value),
            NoteKind::Rung => return self.record_rung(of, value.clamp(0.0, 64.0) as usize, true),
            NoteKind::Delivered => {}
        }
        let Some(rack) = self.streamers.get(&id).map(|s| self.settings.rack_of(&s.entry)) else { return };
        let alone = self.is_short_alone(id, rack);
        let (Some(s), Some(uplink)) = (self.streamers.get_mut(&id), self.racks.get_mut(&rack)) else {
            return;
        };
        if value > 0.0 && value < 0.98 {
            s.link.short_delivery_at = Some(now);
            let blamed = if alone || value < STALLED_DELIVERY { &mut s.link } else { uplink };
            blamed.short_delivery_at = Some(now);
            blamed.observe(late, 1.0 / value.max(STALLED_DELIVERY), DELIVERY_GAIN);
            if value < STALLED_DELIVERY {
                self.add_evidence(id, 1.0, "delivers next to nothing", out);
            }
        } else if value >= 0.98 {
            // Delivery is full again: a load above 1 was wrong or has passed, by other controllers' changes
            // too.
            let overloaded = [&mut s.link, uplink]
                .into_iter()
                .filter(|link| link.last_load.is_some_and(|last| last.1 > 1.0));
            overloaded.for_each(|link| link.last_load = None);
        }
    }
}
