//! The core of stonewharf: admission, placement and quality selection of media sessions for one controller,
//! and the session ledger of a director, which wraps these decisions.
//!
//! Each controller splits its share of server slots into per-class pools that maximise an Erlang-loss payoff
//! rate, lends idle slots while links have capacity, refuses requests otherwise, and recomputes the split
//! periodically. The library performs no I/O and reads no clock: the caller passes in events with their time
//! and carries out the returned actions.
//!
//! ```
//! use stonewharf_core::{
//!     Action, Class, ClassId, Controller, DedupScope, Effect, Entry, Event, KindId, ListScope, ReportMode,
//!     Request, RequestId, Settings, Standing, StreamerId, TitleId, ViewerId, ZoneId,
//! };
//!
//! let settings = Settings {
//!     controller_index: 0, controllers: 1, tenants: vec![], over_share_worth: 1.0,
//!     classes: vec![Class {
//!         worth: 1.0, target_us: 1_000_000, effect: Effect::Idempotent, dedup_scope: DedupScope::All,
//!         repeat_window_us: 0, scale: 1.0, lowest_rung: 0, highest_rung: 2,
//!         max_sessions_per_title: 0, live: false,
//!     }],
//!     ladder_kb: vec![300.0, 600.0, 1200.0], ladder_worth: vec![0.3, 0.6, 1.0],
//!     fleet_kb: 10_000.0, rack_kb: 8_000.0, racks: 1, cells: 1, weight_kb: 10_000.0,
//!     max_streams_by_kind: vec![30], reject_from_link_demand: 1.0, shared_viewer_load: 1.0,
//!     rung_change_cost_s: 0.5, note_delay_us: 1_000_000, note_interval_us: 0,
//!     report_mode: ReportMode::Silent, probes: false, max_attempts: 4, max_hold_off_us: 2_000_000,
//!     cold_capacity_fraction: 0.5, warm_up_us: 10_000_000, overload_failure_multiple: 2.0,
//!     discovery_on_request: false, max_discovery_interval_us: 10_000_000, attempt_budget: None,
//!     zone: ZoneId(0), cross_zone_price: 0.0, probe_price: 0.0, move_price: 0.2,
//!     handshake_price: 0.0, connection_reuse_us: 9_000_000,
//! };
//! let mut controller = Controller::new(settings, 7, 0)?;
//! let mut actions = Vec::new();
//! let entry = Entry {
//!     streamer: StreamerId(4), zone: ZoneId(0), kind: Some(KindId(0)), cell: 0,
//!     standing: Standing::Up, weight: 1.0, started_at: None,
//! };
//! controller.handle(0, Event::List { scope: ListScope::Full, entries: vec![entry] }, &mut actions);
//! let request = Request {
//!     id: RequestId(1), class: ClassId(0), tenant: None, title: TitleId(0), viewer: ViewerId(0),
//!     start_cell: 0, cells_in_row: 1, max_rung: 2, left_us: 3_000_000, returned: false, beside: 0,
//! };
//! controller.handle(1_000, Event::Inbound(request), &mut actions);
//! assert!(actions.iter().any(|a| matches!(a, Action::Send { streamer: StreamerId(4), .. })));
//! # Ok::<(), stonewharf_core::SettingsError>(())
//! ```
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod budget;
pub mod director;
pub mod interface;
mod limited;
pub mod limits;
mod rules;
pub mod settings;
mod window;

pub use budget::AttemptBudget;
pub use interface::*;
pub use limits::{Constraints, PlacementLimits};
pub use rules::{Controller, erlang_payoff, split_slots};
pub use settings::hash_name;
