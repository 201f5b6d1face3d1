//! Constants of the decision rules. A load is the requested rate over the capacity of a link or uplink.
use crate::interface::{Micros, TimerTag};

pub(super) const US_PER_S: f64 = 1e6;

/// Timer of the periodic sweep, and the time between two sweeps: well under the delay of delivery notes.
pub(super) const SWEEP_TIMER: TimerTag = TimerTag(1);
pub(super) const SWEEP_INTERVAL_US: Micros = 250_000;

/// Time between two choices of the pool split (the design's default).
pub(super) const SPLIT_INTERVAL_US: Micros = 10_000_000;
/// Part of the class counts kept at each choice of the split: about a minute of memory.
pub(super) const COUNT_DECAY: f64 = 0.85;
/// With fewer counted arrivals the split goes by class weights instead of the counts.
pub(super) const MIN_ARRIVALS_FOR_SPLIT: f64 = 6.0;
/// Part of a link that slots may fill. The rest absorbs the spread of the titles' rates.
pub(super) const SLOT_LINK_SHARE: f64 = 0.9;

/// Highest load of a link or uplink at which a session is set up in its own pool.
pub(super) const MAX_LOAD_OWN_POOL: f64 = 0.90;
/// The same for a borrowed slot: some room is kept for the classes that own it.
pub(super) const MAX_LOAD_BORROWED: f64 = 0.86;
/// Highest load up to which playing sessions are stepped up.
pub(super) const MAX_LOAD_STEP_UP: f64 = 0.82;
/// Load above which sessions are stepped down: a step costs more than a short overload.
pub(super) const MIN_LOAD_STEP_DOWN: f64 = 1.0;
/// Load that stepping down aims at.
pub(super) const STEP_DOWN_TARGET_LOAD: f64 = 0.95;
/// Highest start rate of a session over its fair rate: above 1 because rungs are coarse.
pub(super) const START_RATE_FACTOR: f64 = 1.15;
/// Time without short delivery before a step up (the design's default).
pub(super) const STEP_UP_WAIT_US: Micros = 30_000_000;
/// The same where a fresh report shows room [D3].
pub(super) const STEP_UP_WAIT_REPORTED_US: Micros = 7_000_000;

/// Age up to which a report counts as fresh.
pub(super) const REPORT_FRESH_US: Micros = 5_000_000;
/// Time constant with which a report loses its weight, since sessions come and go.
pub(super) const REPORT_TRUST_S: f64 = 12.0;
/// Part of a report's difference from the estimate that is adopted: reports are noisy.
pub(super) const REPORT_GAIN: f64 = 0.3;
/// The same for a delivery note.
pub(super) const DELIVERY_GAIN: f64 = 0.8;
/// How long a note of short delivery holds: such notes come once a second.
pub(super) const SHORT_DELIVERY_HOLD_US: Micros = 2_000_000;
/// Delivered share below which a streamer counts as stalled: a lower share says nothing about its load.
pub(super) const STALLED_DELIVERY: f64 = 0.3;
/// Number of reports over which the mean load of links, or of uplinks, is taken.
pub(super) const MAX_MEAN_REPORTS: f64 = 10.0;
/// Assumed age of a report that comes with an answer.
pub(super) const ASSUMED_REPORT_AGE_US: Micros = 300_000;
/// Highest age of such a report: streamers refresh it only from time to time, and it arrives late.
pub(super) const MAX_REPORT_AGE_US: Micros = 600_000;
/// Number of own sessions on a link that tell as much about other controllers' load there as the mean does.
pub(super) const SKEW_PRIOR_SESSIONS: f64 = 4.0;

/// Half-life of a streamer's suspicion.
pub(super) const SUSPICION_HALF_LIFE_S: f64 = 10.0;
/// Suspicion from which a streamer is barred: it gets only trial set-ups.
pub(super) const BARRED_SUSPICION: f64 = 1.0;
/// Highest suspicion: it takes one and a half half-lives to fall below the bar.
pub(super) const MAX_SUSPICION: f64 = 3.0;
/// Part of the suspicion that remains after a successful set-up.
pub(super) const SUCCESS_SUSPICION_FACTOR: f64 = 0.4;
/// Time between two trials of a barred streamer.
pub(super) const TRIAL_INTERVAL_US: Micros = 2_000_000;
/// Placement cost of suspicion 1, as a link load.
pub(super) const SUSPICION_COST: f64 = 0.5;

/// Part of a cold streamer's permitted pace that is used. The rest allows for chance and delay.
pub(super) const COLD_PACE_SHARE: f64 = 0.7;
/// Longest turn at a cold streamer, where its pace permits several set-ups in one turn.
pub(super) const MAX_COLD_TURN_S: f64 = 0.4;

/// Probes that each session earns: for its set-up and for steps up.
pub(super) const PROBES_PER_SESSION: f64 = 1.5;
/// Highest gain from a probe, as a part of a session's worth: probes at this price or above never pay.
pub(super) const MAX_PROBE_PRICE: f64 = 0.04;
/// Highest number of streamers that are ranked for one request.
pub(super) const MAX_CANDIDATES: usize = 64;
/// Highest number of streamers that one request probes, or tries to make room on (power of two choices).
pub(super) const MAX_CHOICES: usize = 2;
/// Chance of probing for room in a sweep: controllers must not all probe at once.
pub(super) const EXPLORE_CHANCE: f64 = 0.1;
/// Number of controllers for each one that probes before another's step up shows in the load.
pub(super) const CONTROLLERS_PER_PROBE: f64 = 10.0;

/// Time constant over which a tenant's arrivals are compared with its quota.
pub(super) const TENANT_WINDOW_S: f64 = 15.0;
/// Weight, in arrivals, of the prior assumption that a tenant keeps to its share.
pub(super) const TENANT_PRIOR_ARRIVALS: f64 = 3.0;
/// With less time than this left for the viewer a further attempt is not worthwhile.
pub(super) const MIN_RETRY_TIME_US: Micros = 30_000;
/// Random cost, as a link load, that separates equal streamers: controllers must not all pick the same one.
pub(super) const PLACEMENT_JITTER: f64 = 0.06;
/// Open requests of one connection from which further ones are refused at once.
pub(super) const MAX_OPEN_PER_CONNECTION: usize = 256;
/// Highest number of open requests for titles of which no session has started yet.
pub(super) const MAX_OPEN_UNPROVEN: usize = 16;
/// Highest number of attempts of such a request once one of them may have run.
pub(super) const MAX_UNPROVEN_ATTEMPTS: usize = 2;
/// How long a title is known to exist after a session of it started.
pub(super) const TITLE_MEMORY_US: Micros = 600_000_000;
/// Time within which a session is not stepped down again to make room for a new one.
pub(super) const MAKE_ROOM_WAIT_US: Micros = 3_000_000;
/// Part of a new session's worth that may be lost by stepping others down for it.
pub(super) const MAX_LOSS_SHARE: f64 = 0.9;
