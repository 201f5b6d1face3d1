//! The world of a run: streamers, racks, and what is asked of and given by them. No directors, no viewers.
use crate::scenario::Scenario;
use stonewharf_core::{
    Class, ClassId, DedupScope, Effect, Entry, KindId, Micros, ReportMode, Settings, Standing, StreamerId,
    ZoneId,
};

pub(crate) const SECOND: Micros = 1_000_000;
/// The window in which set-ups to a cold streamer are counted.
pub(crate) const WINDOW: Micros = SECOND;
const LINK_KB: f64 = 6_000.0;
const MIDDLE_KB: f64 = 600.0;
const STREAMS: u32 = 25;

pub(crate) struct Streamer {
    pub(crate) hall: usize,
    pub(crate) rack: usize,
    pub(crate) link_kb: f64,
    pub(crate) weight: f64,
    pub(crate) started_at: Option<Micros>,
    /// Its process runs.
    pub(crate) alive: bool,
    pub(crate) stalled: bool,
    /// It refuses connections, rather than letting them time out, while it is not alive.
    pub(crate) refuses: bool,
    pub(crate) streams: u32,
    pub(crate) asked_kb: f64,
}

pub(crate) struct Rack {
    pub(crate) uplink_kb: f64,
    /// Share of the uplink that is left.
    pub(crate) left: f64,
    pub(crate) asked_kb: f64,
}

pub(crate) struct World {
    pub(crate) streamers: Vec<Streamer>,
    pub(crate) racks: Vec<Rack>,
    pub(crate) settings: Settings,
}

impl World {
    /// The world of a scenario; `dice` gives numbers from 0 to 1.
    pub(crate) fn new(scenario: &Scenario, mut dice: impl FnMut() -> f64) -> World {
        let halls = scenario.halls.len();
        // Racks stand in one hall each; a streamer's rack is its cell modulo their number.
        let per_hall = (scenario.streamers as usize).div_ceil(halls);
        let racks_per_hall = per_hall.div_ceil(scenario.rack as usize).max(1);
        let count = racks_per_hall * halls;
        let streamers: Vec<Streamer> = (0..scenario.streamers as usize)
            .map(|i| {
                let hall = i % halls;
                let weight = 0.8 + 0.4 * dice();
                Streamer {
                    hall,
                    rack: (i / halls) % racks_per_hall * halls + hall,
                    link_kb: LINK_KB * weight * (0.9 + 0.2 * dice()),
                    weight,
                    started_at: None,
                    alive: true,
                    stalled: false,
                    refuses: false,
                    streams: 0,
                    asked_kb: 0.0,
                }
            })
            .collect();
        let links = |rack: usize| streamers.iter().filter(|s| s.rack == rack).map(|s| s.link_kb).sum::<f64>();
        let racks: Vec<Rack> = (0..count)
            .map(|rack| Rack {
                uplink_kb: links(rack) * scenario.uplink * (0.85 + 0.3 * dice()),
                left: 1.0,
                asked_kb: 0.0,
            })
            .collect();
        let mean = racks.iter().map(|r| r.uplink_kb).sum::<f64>() / count as f64;
        let class = |worth, effect, lowest_rung| Class {
            worth,
            target_us: 3 * SECOND / 2,
            effect,
            dedup_scope: DedupScope::All,
            repeat_window_us: 5 * SECOND,
            scale: 1.0,
            lowest_rung,
            highest_rung: 3,
            max_sessions_per_title: 0,
            live: lowest_rung == 0,
        };
        let settings = Settings {
            controller_index: 0,
            controllers: scenario.directors,
            classes: vec![class(2.0, Effect::AtMostOnce, 1), class(1.0, Effect::Idempotent, 0)],
            tenants: Vec::new(),
            over_share_worth: 1.0,
            ladder_kb: [0.33, 1.0, 1.8, 3.0].map(|x| x * MIDDLE_KB).to_vec(),
            ladder_worth: vec![0.24, 0.55, 0.78, 1.0],
            fleet_kb: streamers.iter().map(|s| s.weight * LINK_KB).sum(),
            rack_kb: mean,
            racks: count as u32,
            cells: count as u32,
            weight_kb: LINK_KB,
            max_streams_by_kind: vec![STREAMS],
            reject_from_link_demand: 1.2,
            shared_viewer_load: 1.0,
            rung_change_cost_s: 0.6,
            note_delay_us: SECOND,
            note_interval_us: 0,
            report_mode: ReportMode::ProbeOnly,
            probes: true,
            max_attempts: 4,
            max_hold_off_us: SECOND,
            cold_capacity_fraction: 0.4,
            warm_up_us: 12 * SECOND,
            overload_failure_multiple: 3.0,
            discovery_on_request: false,
            max_discovery_interval_us: 10 * SECOND,
            attempt_budget: None,
            zone: ZoneId(0),
            cross_zone_price: 0.02,
            probe_price: 0.01,
            handshake_price: 0.0,
            connection_reuse_us: 9 * SECOND,
            move_price: 0.14,
        };
        World { streamers, racks, settings }
    }

    /// A streamer's line on the list.
    pub(crate) fn entry(&self, i: usize) -> Entry {
        let s = &self.streamers[i];
        Entry {
            streamer: StreamerId(i as u32),
            zone: ZoneId(s.hall as u32),
            kind: Some(KindId(0)),
            cell: s.rack as u32,
            standing: if s.alive { Standing::Up } else { Standing::Gone },
            weight: s.weight,
            started_at: s.started_at,
        }
    }

    /// Part of its capacity that a streamer has, as it warms.
    pub(crate) fn warmth(&self, i: usize, now: Micros) -> f64 {
        let Some(at) = self.streamers[i].started_at else { return 1.0 };
        let done = now.saturating_sub(at) as f64 / self.settings.warm_up_us as f64;
        (self.settings.cold_capacity_fraction + (1.0 - self.settings.cold_capacity_fraction) * done).min(1.0)
    }

    /// Set-ups that a cold streamer may be sent in a window; `None` where it is warm.
    pub(crate) fn cold_allows(&self, i: usize, now: Micros) -> Option<f64> {
        let warm_s = self.settings.warm_up_us as f64 / SECOND as f64;
        let at = self.streamers[i].started_at.filter(|at| now < at + self.settings.warm_up_us)?;
        let pace = f64::from(STREAMS) / warm_s * self.warmth(i, now.max(at));
        Some(self.settings.overload_failure_multiple * pace * WINDOW as f64 / SECOND as f64)
    }

    /// Whether it turns a set-up away.
    pub(crate) fn full(&self, i: usize) -> bool {
        let s = &self.streamers[i];
        s.streams >= STREAMS || s.asked_kb > self.settings.reject_from_link_demand * s.link_kb
    }

    /// Books a session at a streamer (`streams` 1), its end (-1), or a change of its rate (0).
    pub(crate) fn book(&mut self, i: usize, kb: f64, streams: i32) {
        let s = &mut self.streamers[i];
        s.streams = s.streams.saturating_add_signed(streams);
        s.asked_kb = if s.streams == 0 { 0.0 } else { (s.asked_kb + kb).max(0.0) };
        let rack = &mut self.racks[s.rack];
        rack.asked_kb = (rack.asked_kb + kb).max(0.0);
    }

    /// What is asked of a streamer's link and of its uplink, over what they give now.
    pub(crate) fn loads(&self, i: usize, now: Micros) -> (f64, f64) {
        let (s, rack) = (&self.streamers[i], &self.racks[self.streamers[i].rack]);
        let link = s.asked_kb / (s.link_kb * self.warmth(i, now));
        (link, rack.asked_kb / (rack.uplink_kb * rack.left).max(1.0))
    }

    /// Share of their rates that sessions at a streamer get.
    pub(crate) fn delivered(&self, i: usize, now: Micros) -> f64 {
        let s = &self.streamers[i];
        if !s.alive || s.stalled {
            return 0.0;
        }
        let (link, uplink) = self.loads(i, now);
        (1.0 / link.max(uplink).max(1.0)).min(1.0)
    }

    /// Rate of a class at a rung, kB a second.
    pub(crate) fn rate(&self, class: ClassId, rung: usize) -> f64 {
        self.settings.rate_kb(class, rung)
    }

    /// What the halls' links and uplinks give, kB a second, by hall.
    pub(crate) fn capacity(&self, halls: usize) -> Vec<f64> {
        let mut kb = vec![0.0; halls];
        for (r, rack) in self.racks.iter().enumerate() {
            let links: f64 = self.streamers.iter().filter(|s| s.rack == r).map(|s| s.link_kb).sum();
            kb[r % halls] += links.min(rack.uplink_kb);
        }
        kb
    }

    /// New sessions a second that would fill `load` of all links at the middle rate.
    pub(crate) fn arrivals_per_s(&self, load: f64, life_s: f64) -> f64 {
        let links: f64 = self.streamers.iter().map(|s| s.link_kb).sum();
        load * links / MIDDLE_KB / life_s
    }
}
