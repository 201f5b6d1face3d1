//! Fixtures for the tests: settings, events, and a harness that drives one controller.
#![allow(dead_code)]
pub mod ledger;

use stonewharf::*;

/// One second, in microseconds.
pub const S: u64 = 1_000_000;

pub fn class(worth: f64, effect: Effect) -> Class {
    Class {
        worth,
        target_us: S,
        effect,
        dedup_scope: DedupScope::All,
        repeat_window_us: 5 * S,
        scale: 1.0,
        lowest_rung: 0,
        highest_rung: 3,
        max_sessions_per_title: 0,
        live: false,
    }
}

pub fn settings(classes: Vec<Class>) -> Settings {
    Settings {
        controller_index: 0,
        controllers: 1,
        classes,
        tenants: vec![],
        over_share_worth: 0.2,
        ladder_kb: vec![100.0, 200.0, 400.0, 800.0],
        ladder_worth: vec![0.3, 0.6, 0.8, 1.0],
        fleet_kb: 12_000.0,
        rack_kb: 12_000.0,
        racks: 1,
        cells: 4,
        weight_kb: 3_000.0,
        max_streams_by_kind: vec![40],
        reject_from_link_demand: 1.0,
        shared_viewer_load: 1.0,
        rung_change_cost_s: 0.5,
        note_delay_us: S,
        note_interval_us: 3 * S,
        report_mode: ReportMode::InAnswers,
        probes: false,
        max_attempts: 4,
        max_hold_off_us: 2 * S,
        cold_capacity_fraction: 0.5,
        warm_up_us: 10 * S,
        overload_failure_multiple: 2.0,
        discovery_on_request: false,
        max_discovery_interval_us: 10 * S,
        attempt_budget: None,
        zone: ZoneId(0),
        cross_zone_price: 0.0,
        probe_price: 0.0,
        handshake_price: 0.0,
        connection_reuse_us: 9 * S,
        move_price: 0.2,
    }
}

pub fn entry(id: u32, cell: u32) -> Entry {
    Entry {
        streamer: StreamerId(id),
        zone: ZoneId(0),
        kind: Some(KindId(0)),
        cell,
        standing: Standing::Up,
        weight: 1.0,
        started_at: None,
    }
}

pub fn request(id: u64, class: usize) -> Request {
    Request {
        id: RequestId(id),
        class: ClassId(class),
        tenant: None,
        title: TitleId(id as u32 % 5),
        viewer: ViewerId(id as u32),
        start_cell: 0,
        cells_in_row: 4,
        max_rung: 3,
        left_us: 4 * S,
        returned: false,
        beside: 0,
    }
}

/// A controller and the time on its clock.
pub struct Harness {
    pub controller: Controller,
    pub now: u64,
}

impl Harness {
    /// A controller 20 seconds after its start, when the restrictions of its start-up have ended.
    pub fn new(settings: Settings) -> Self {
        let (mut harness, _) = Harness::at_start(settings, 1);
        harness.now = 20 * S;
        harness
    }

    /// A controller at its start, and its actions on the first list of streamers.
    pub fn at_start(settings: Settings, seed: u64) -> (Self, Vec<Action>) {
        let mut harness =
            Harness { controller: Controller::new(settings, seed, 0).expect("settings"), now: 0 };
        let entries = (0..4).map(|i| entry(i, i)).collect();
        let out = harness.handle(Event::List { scope: ListScope::Full, entries });
        (harness, out)
    }

    pub fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        self.controller.handle(self.now, event, &mut out);
        out
    }

    pub fn request_session(&mut self, request: Request) -> Vec<Action> {
        self.handle(Event::Inbound(request))
    }

    /// Starts and ends one session of each title.
    pub fn serve_each_title(&mut self) {
        for id in 1000..1005 {
            let at = sent_to(&self.request_session(request(id, 0))).expect("sent");
            self.report_started(id, at);
            self.report_ended(id, at, Outcome::Ok, true);
        }
    }

    pub fn report_started(&mut self, id: u64, at: StreamerId) -> Vec<Action> {
        self.handle(Event::Started { request: RequestId(id), streamer: at, latency_us: 50_000 })
    }

    pub fn report_ended(&mut self, id: u64, at: StreamerId, outcome: Outcome, last: bool) -> Vec<Action> {
        let (request, report) = (RequestId(id), LoadReport::default());
        self.handle(Event::Ended { request, attempt: 0, streamer: at, outcome, last, report })
    }

    pub fn report_note(&mut self, id: u64, at: StreamerId, kind: NoteKind, value: f64) -> Vec<Action> {
        self.handle(Event::Note { request: RequestId(id), streamer: at, kind, value })
    }

    /// Advances the clock by `after` microseconds, then fires the periodic timer.
    pub fn fire_timer_after(&mut self, after: u64) -> Vec<Action> {
        self.now += after;
        self.handle(Event::Timer(TimerTag(1)))
    }
}

/// The streamer that the first set-up request goes to, if any.
pub fn sent_to(actions: &[Action]) -> Option<StreamerId> {
    actions.iter().find_map(|a| if let Action::Send { streamer, .. } = a { Some(*streamer) } else { None })
}

/// Whether a request was refused with a hint when to retry.
pub fn refused(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Refuse { hold_off_us, .. } if *hold_off_us > 0))
}

pub fn failed(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::EndFailed(_)))
}

pub fn idempotent_class(worth: f64) -> Class {
    class(worth, Effect::Idempotent)
}

pub fn idempotent_classes() -> Vec<Class> {
    vec![class(1.0, Effect::Idempotent)]
}

/// Number of changes of rung.
pub fn rate_changes(actions: &[Action]) -> usize {
    actions.iter().filter(|a| matches!(a, Action::Rate { .. })).count()
}

/// Settings of one of many controllers, in a fleet whose capacity is proportional to their number.
pub fn settings_of_controller(index: u32, controllers: u32) -> Settings {
    let weight_kb = 400.0 * f64::from(controllers);
    let (fleet_kb, rack_kb) = (4.0 * weight_kb, 4.0 * weight_kb);
    let max_streams_by_kind = vec![10 * controllers];
    Settings {
        controller_index: index,
        controllers,
        weight_kb,
        fleet_kb,
        rack_kb,
        max_streams_by_kind,
        ..settings(idempotent_classes())
    }
}

/// A controller with one session that already plays at `rung` on streamer 0.
pub fn harness_with_session(settings: Settings, rung: f64) -> Harness {
    let seed = u64::from(settings.controller_index) + 7;
    let (mut harness, _) = Harness::at_start(settings, seed);
    harness.handle(Event::Preexisting(request(1, 0), StreamerId(0)));
    harness.report_note(1, StreamerId(0), NoteKind::Rung, rung);
    harness.now = 20 * S;
    harness
}

/// Settings in the form of the settings file.
pub const SETTINGS_JSON: &str = r#"{"accounts": [], "me": 0, "peers_total": 1, "membership_mode": "pushed", "my_zone": "hall-a",
"kinds": ["two-core"], "over_share_worth": 0.1, "deductions": {}, "report": {"how": "pull", "names": ["load_share"]},
"bounds": {"dial_timeout_us": 250000, "keepalive_us": 15000000, "max_attempts": 4, "max_retry_after_us": 1000000,
  "multiplex": 32, "probes": false, "retry_after": true},
"family_info": {"cells": 1, "racks": 1, "class_scale": [1.0, 1.0], "fleet_kb": 10000.0, "rack_kb": 10000.0,
  "weight_kb": 2500.0, "full_from": 1.2, "highest_rung": [1, 1], "lowest_rung": [1, 0], "kind_streams": [24],
  "ladder_kb": [100.0, 200.0], "ladder_worth": [0.5, 1.0], "switch_s": 0.5},
"lanes": [{"name": "replay", "importance": 2.0, "target_us": 300000, "deadline_us": 600000, "effect": "at_most_once"},
  {"name": "seat-view", "importance": 1.0, "target_us": 300000, "deadline_us": 600000, "effect": "idempotent"}],
"rules": {"cold_from": 0.4, "ramp_time_us": 1000, "fall_multiple": 3.0}}"#;

/// The names that [`SETTINGS_JSON`] defines.
pub fn name_registry() -> settings::NameRegistry {
    let info = serde_json::from_str(SETTINGS_JSON).expect("JSON");
    settings::NameRegistry::read(&info).expect("settings").1
}

/// Settings under which connections may take long to be established and are reused for as long as they last,
/// and streamers accept many set-ups.
pub fn settings_with_long_timeouts() -> String {
    SETTINGS_JSON
        .replace(r#""deductions": {}"#, r#""deductions": {"handshake": 0.001}"#)
        .replace(r#""dial_timeout_us": 250000"#, r#""dial_timeout_us": 20000000"#)
        .replace(r#""multiplex": 32"#, r#""multiplex": 4096"#)
        .replace(r#""kind_streams": [24]"#, r#""kind_streams": [9000]"#)
        .replace(r#""fleet_kb": 10000.0, "rack_kb": 10000.0"#, r#""fleet_kb": 1e9, "rack_kb": 1e9"#)
        .replace(r#""weight_kb": 2500.0"#, r#""weight_kb": 1e9"#)
}
