//! Parses the JSON settings that a controller is started with, and maps the names in them to numeric ids.
//! Both front ends, the simulator's wire protocol and the real director, use it. Contains no decision logic.

mod names;

use crate::interface::*;
pub use names::{NameRegistry, NamedEntry, NamedRequest, hash_name};
use serde::Deserialize;
use std::collections::{BTreeMap, HashMap};

const DEFAULT_DIAL_TIMEOUT_US: Micros = 250_000;
const DEFAULT_IDLE_TIMEOUT_US: Micros = 15_000_000;
const DEFAULT_SET_UPS_PER_CONNECTION: u64 = 32;
const DEFAULT_DEADLINE_US: Micros = 3_000_000;

/// An error in the settings, or a name or value that does not fit them.
#[derive(Debug, thiserror::Error)]
pub enum NameError {
    /// A name that is neither a known keyword nor defined by the settings.
    #[error("unknown {what} {name:?}")]
    UnknownName {
        /// What the name should denote.
        what: &'static str,
        /// The unknown name.
        name: String,
    },
    /// A number outside the range that the settings allow.
    #[error("{what} {value} is out of range")]
    OutOfRange {
        /// What the number denotes.
        what: &'static str,
        /// The number.
        value: u64,
    },
    /// The settings fail their validation.
    #[error("unusable settings: {0}")]
    Settings(#[from] SettingsError),
}

impl NameError {
    /// Error for an unknown `name` of a `what`.
    pub fn unknown_name(what: &'static str, name: &str) -> Self {
        NameError::UnknownName { what, name: name.to_owned() }
    }
}

/// The settings as deserialized, before they are converted to [`Settings`].
#[derive(Clone, PartialEq, Deserialize)]
pub struct RawSettings {
    me: u32,
    peers_total: u32,
    lanes: Vec<RawClass>,
    #[serde(default)]
    accounts: Vec<RawTenant>,
    over_share_worth: Option<f64>,
    family_info: RawFleet,
    bounds: RawLimits,
    rules: RawRules,
    report: RawReport,
    membership_mode: String,
    my_zone: String,
    #[serde(default)]
    dcs: Vec<String>,
    #[serde(default)]
    kinds: Vec<String>,
    #[serde(default)]
    deductions: BTreeMap<String, f64>,
}

impl RawSettings {
    /// The deduction for the item `name`; 0 if the settings give none.
    fn deduction(&self, name: &str) -> f64 {
        self.deductions.get(name).copied().unwrap_or(0.0)
    }
}

/// A class of sessions.
#[derive(Clone, PartialEq, Deserialize)]
struct RawClass {
    name: String,
    importance: f64,
    target_us: f64,
    deadline_us: Option<f64>,
    effect: String,
    dedup_scope: Option<String>,
    repeat_window_us: Option<f64>,
}

/// A tenant.
#[derive(Clone, PartialEq, Deserialize)]
struct RawTenant {
    name: String,
    quota_per_s: f64,
}

/// The fleet of streamers, and the ladder of rungs; its lists hold one value per class, kind or rung.
#[derive(Clone, PartialEq, Deserialize)]
struct RawFleet {
    cells: u32,
    racks: u32,
    class_scale: Vec<f64>,
    fleet_kb: f64,
    rack_kb: f64,
    weight_kb: f64,
    full_from: Option<f64>,
    highest_rung: Vec<usize>,
    lowest_rung: Vec<usize>,
    #[serde(default)]
    is_live: Vec<bool>,
    kind_streams: Vec<u32>,
    ladder_kb: Vec<f64>,
    ladder_worth: Vec<f64>,
    reports_every_us: Option<f64>,
    #[serde(default)]
    seats: Vec<usize>,
    seen_after_us: Option<f64>,
    shared_adds: Option<f64>,
    switch_s: f64,
}

/// Limits on attempts and connections, and the optional features of the platform.
#[derive(Clone, PartialEq, Deserialize)]
struct RawLimits {
    max_attempts: u32,
    dial_timeout_us: Option<f64>,
    keepalive_us: Option<f64>,
    multiplex: Option<f64>,
    max_retry_after_us: Option<f64>,
    #[serde(default)]
    probes: bool,
    #[serde(default)]
    retry_after: bool,
}

/// Start-up behaviour of streamers, discovery and the retry budget.
#[derive(Clone, PartialEq, Deserialize)]
struct RawRules {
    cold_from: f64,
    ramp_time_us: f64,
    fall_multiple: f64,
    ask_within_us: Option<f64>,
    free_resends: Option<f64>,
    extra_per_request: Option<f64>,
    budget_span_us: Option<f64>,
}

/// The source of load reports.
#[derive(Clone, PartialEq, Deserialize)]
struct RawReport {
    how: String,
}

/// Maps strings to numeric ids, assigned in order of first use. An id is never assigned twice.
#[derive(Default)]
pub struct Interner {
    id_by_name: HashMap<String, u32>,
    name_by_id: HashMap<u32, String>,
    next: u32,
}

impl Interner {
    /// The id of a name; assigns one if the name is new.
    pub fn intern(&mut self, name: &str) -> u32 {
        if let Some(&id) = self.id_by_name.get(name) {
            return id;
        }
        let id = self.next;
        self.next += 1;
        self.id_by_name.insert(name.to_owned(), id);
        self.name_by_id.insert(id, name.to_owned());
        id
    }

    /// Removes a name that is not expected again; if it does occur again, it gets a new id.
    pub fn remove(&mut self, id: u32) {
        if let Some(name) = self.name_by_id.remove(&id) {
            self.id_by_name.remove(&name);
        }
    }

    /// The id of a name, if one was assigned.
    pub fn get(&self, name: &str) -> Option<u32> {
        self.id_by_name.get(name).copied()
    }

    /// The name of an id.
    pub fn resolve(&self, id: u32) -> Option<&str> {
        self.name_by_id.get(&id).map(String::as_str)
    }
}

/// The integer part of a value; 0 if it is absent, negative or not a number.
pub fn whole_or_zero(value: Option<f64>) -> u64 {
    value.unwrap_or(0.0).max(0.0) as u64
}

/// Builds a load report with a function that looks up its values by name.
pub fn load_report(value: impl Fn(&str) -> Option<f64>) -> LoadReport {
    LoadReport {
        streams: value("concurrent"),
        link_capped: value("load_share"),
        link: value("x0"),
        uplink: value("x1"),
    }
}

/// Converts the settings, with the zone names interned in `zones`.
fn parse_settings(raw: &RawSettings, zones: &mut Interner) -> Result<Settings, NameError> {
    let fleet = &raw.family_info;
    let highest_rung = fleet.ladder_kb.len().saturating_sub(1);
    let mut classes = Vec::new();
    for (i, class) in raw.lanes.iter().enumerate() {
        let effect = match class.effect.as_str() {
            "idempotent" => Effect::Idempotent,
            "at_most_once" => Effect::AtMostOnce,
            "deduplicated" => Effect::Deduplicated,
            name => return Err(NameError::unknown_name("effect", name)),
        };
        let dedup_scope = match class.dedup_scope.as_deref() {
            None | Some("all") => DedupScope::All,
            Some(scope) if scope.contains("cell") => DedupScope::Cell,
            Some(_) => DedupScope::Zone,
        };
        classes.push(Class {
            worth: class.importance,
            target_us: whole_or_zero(Some(class.target_us)),
            effect,
            dedup_scope,
            repeat_window_us: whole_or_zero(class.repeat_window_us),
            scale: fleet.class_scale.get(i).copied().unwrap_or(1.0),
            lowest_rung: fleet.lowest_rung.get(i).copied().unwrap_or(0),
            highest_rung: fleet.highest_rung.get(i).copied().unwrap_or(highest_rung),
            max_sessions_per_title: fleet.seats.get(i).copied().unwrap_or(0),
            live: fleet.is_live.get(i).copied().unwrap_or(false),
        });
    }
    let rules = &raw.rules;
    Ok(Settings {
        controller_index: raw.me,
        controllers: raw.peers_total,
        classes,
        tenants: raw.accounts.iter().map(|a| Tenant { quota_per_s: a.quota_per_s }).collect(),
        over_share_worth: raw.over_share_worth.unwrap_or(1.0),
        ladder_kb: fleet.ladder_kb.clone(),
        ladder_worth: fleet.ladder_worth.clone(),
        fleet_kb: fleet.fleet_kb,
        rack_kb: fleet.rack_kb,
        racks: fleet.racks,
        cells: fleet.cells,
        weight_kb: fleet.weight_kb,
        max_streams_by_kind: fleet.kind_streams.clone(),
        reject_from_link_demand: fleet.full_from.unwrap_or(0.0),
        shared_viewer_load: fleet.shared_adds.unwrap_or(1.0),
        rung_change_cost_s: fleet.switch_s,
        note_delay_us: whole_or_zero(fleet.seen_after_us),
        note_interval_us: whole_or_zero(fleet.reports_every_us),
        report_mode: match raw.report.how.as_str() {
            "piggyback" => ReportMode::InAnswers,
            "pull" => ReportMode::ProbeOnly,
            _ => ReportMode::Silent,
        },
        probes: raw.bounds.probes,
        max_attempts: raw.bounds.max_attempts,
        max_hold_off_us: if raw.bounds.retry_after {
            whole_or_zero(raw.bounds.max_retry_after_us)
        } else {
            0
        },
        cold_capacity_fraction: rules.cold_from,
        warm_up_us: whole_or_zero(Some(rules.ramp_time_us)),
        overload_failure_multiple: rules.fall_multiple,
        discovery_on_request: raw.membership_mode == "on_request",
        max_discovery_interval_us: whole_or_zero(rules.ask_within_us),
        attempt_budget: rules.budget_span_us.map(|span| crate::AttemptBudget {
            base_attempts: rules.free_resends.unwrap_or(0.0),
            per_request: rules.extra_per_request.unwrap_or(0.0),
            window_us: whole_or_zero(Some(span)),
            max_dial_delay_us: TransportSettings::of(raw).dial_timeout_us,
        }),
        zone: ZoneId(zones.intern(&raw.my_zone)),
        cross_zone_price: raw.deduction("cross_zone"),
        probe_price: raw.deduction("probe"),
        handshake_price: raw.deduction("handshake"),
        connection_reuse_us: TransportSettings::of(raw).connection_reuse_us(),
        move_price: raw.deduction("moves"),
    })
}

/// Settings for connections to streamers and for viewers' deadlines. They do not belong to the decisions, so
/// they are kept apart from [`Settings`].
#[derive(Clone, Debug)]
pub struct TransportSettings {
    /// Time after which a connection attempt counts as failed.
    pub dial_timeout_us: Micros,
    /// Time after which idle connections are closed.
    pub idle_timeout_us: Micros,
    /// Maximum number of concurrent set-ups on one connection.
    pub set_ups_per_connection: usize,
    /// How long a viewer waits who does not state a deadline, per class.
    pub default_deadlines_us: Vec<Micros>,
    /// Price of a new connection, as a fraction of a session's worth.
    pub handshake_price: f64,
}

impl TransportSettings {
    /// Extracts the transport settings; absent values get their defaults.
    fn of(raw: &RawSettings) -> Self {
        let limits = &raw.bounds;
        let or_default = |x: Option<f64>, default: u64| x.map_or(default, |x| whole_or_zero(Some(x))).max(1);
        TransportSettings {
            dial_timeout_us: or_default(limits.dial_timeout_us, DEFAULT_DIAL_TIMEOUT_US),
            idle_timeout_us: or_default(limits.keepalive_us, DEFAULT_IDLE_TIMEOUT_US),
            set_ups_per_connection: or_default(limits.multiplex, DEFAULT_SET_UPS_PER_CONNECTION) as usize,
            default_deadlines_us: raw
                .lanes
                .iter()
                .map(|class| or_default(class.deadline_us, DEFAULT_DEADLINE_US))
                .collect(),
            handshake_price: raw.deduction("handshake"),
        }
    }

    /// How long after its last use a connection still accepts set-ups: shorter than the idle timeout, so that
    /// no set-up crosses the streamer's close of the connection.
    pub fn connection_reuse_us(&self) -> Micros {
        self.idle_timeout_us / 5 * 3
    }

    /// The longest default deadline of any class.
    pub fn longest_deadline_us(&self) -> Micros {
        self.default_deadlines_us.iter().max().copied().unwrap_or(DEFAULT_DEADLINE_US)
    }
}
