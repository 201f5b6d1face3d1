//! The decision module: admission, placement and rungs, on the types of `src/interface.rs`. docs/design.md
//! lists what comes from Chen & Verma's paper and what departs from it; marks such as [D3] refer to that
//! list.
mod health;
mod load;
mod placement;
mod pools;

use crate::interface::*;
use crate::limits::LimitSet;
use crate::window::ChangeWindow;
pub use pools::{erlang_payoff, split_slots};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{RngCore, SeedableRng};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

// Constants of the decisions. A load is the requested rate over the capacity of a link or uplink.
const US_PER_S: f64 = 1e6;

/// Timer of the periodic sweep, and the time between two sweeps: well under the delay of delivery notes.
const SWEEP_TIMER: TimerTag = TimerTag(1);
const SWEEP_INTERVAL_US: Micros = 250_000;

/// Time between two choices of the pool split (the design's default).
const SPLIT_INTERVAL_US: Micros = 10_000_000;
/// Part of the class counts kept at each choice of the split: about a minute of memory.
const COUNT_DECAY: f64 = 0.85;
/// With fewer counted arrivals the split goes by class weights instead of the counts.
const MIN_ARRIVALS_FOR_SPLIT: f64 = 6.0;
/// Part of a link that slots may fill. The rest absorbs the spread of the titles' rates.
const SLOT_LINK_SHARE: f64 = 0.9;

/// Highest load of a link or uplink at which a session is set up in its own pool.
const MAX_LOAD_OWN_POOL: f64 = 0.90;
/// The same for a borrowed slot: some room is kept for the classes that own it.
const MAX_LOAD_BORROWED: f64 = 0.86;
/// Highest load up to which playing sessions are stepped up.
const MAX_LOAD_STEP_UP: f64 = 0.82;
/// Load above which sessions are stepped down: a step costs more than a short overload.
const MIN_LOAD_STEP_DOWN: f64 = 1.0;
/// Load that stepping down aims at.
const STEP_DOWN_TARGET_LOAD: f64 = 0.95;
/// Highest start rate of a session over its fair rate: above 1 because rungs are coarse.
const START_RATE_FACTOR: f64 = 1.15;
/// Time without short delivery before a step up (the design's default).
const STEP_UP_WAIT_US: Micros = 30_000_000;
/// The same where a fresh report shows room [D3].
const STEP_UP_WAIT_REPORTED_US: Micros = 7_000_000;

/// Age up to which a report counts as fresh.
const REPORT_FRESH_US: Micros = 5_000_000;
/// Time constant with which a report loses its weight, since sessions come and go.
const REPORT_TRUST_S: f64 = 12.0;
/// Part of a report's difference from the estimate that is adopted: reports are noisy.
const REPORT_GAIN: f64 = 0.3;
/// The same for a delivery note.
const DELIVERY_GAIN: f64 = 0.8;
/// How long a note of short delivery holds: such notes come once a second.
const SHORT_DELIVERY_HOLD_US: Micros = 2_000_000;
/// Delivered share below which a streamer counts as stalled: a lower share says nothing about its load.
const STALLED_DELIVERY: f64 = 0.3;
/// Number of reports over which the mean load of links, or of uplinks, is taken.
const MAX_MEAN_REPORTS: f64 = 10.0;
/// Assumed age of a report that comes with an answer.
const ASSUMED_REPORT_AGE_US: Micros = 300_000;
/// Highest age of such a report: streamers refresh it only from time to time, and it arrives late.
const MAX_REPORT_AGE_US: Micros = 600_000;
/// Number of own sessions on a link that tell as much about other controllers' load there as the mean does.
const SKEW_PRIOR_SESSIONS: f64 = 4.0;

/// Half-life of a streamer's suspicion.
const SUSPICION_HALF_LIFE_S: f64 = 10.0;
/// Suspicion from which a streamer is barred: it gets only trial set-ups.
const BARRED_SUSPICION: f64 = 1.0;
/// Highest suspicion: it takes one and a half half-lives to fall below the bar.
const MAX_SUSPICION: f64 = 3.0;
/// Part of the suspicion that remains after a successful set-up.
const SUCCESS_SUSPICION_FACTOR: f64 = 0.4;
/// Time between two trials of a barred streamer.
const TRIAL_INTERVAL_US: Micros = 2_000_000;
/// Placement cost of suspicion 1, as a link load.
const SUSPICION_COST: f64 = 0.5;

/// Part of a cold streamer's permitted pace that is used. The rest allows for chance and delay.
const COLD_PACE_SHARE: f64 = 0.7;
/// Longest turn at a cold streamer, where its pace permits several set-ups in one turn.
const MAX_COLD_TURN_S: f64 = 0.4;

/// Probes that each session earns: for its set-up and for steps up.
const PROBES_PER_SESSION: f64 = 1.5;
/// Highest gain from a probe, as a part of a session's worth: probes at this price or above never pay.
const MAX_PROBE_PRICE: f64 = 0.04;
/// Highest number of streamers that are ranked for one request.
const MAX_CANDIDATES: usize = 64;
/// Highest number of streamers that one request probes, or tries to make room on (power of two choices).
const MAX_CHOICES: usize = 2;
/// Chance of probing for room in a sweep: controllers must not all probe at once.
const EXPLORE_CHANCE: f64 = 0.1;
/// Number of controllers for each one that probes before another's step up shows in the load.
const CONTROLLERS_PER_PROBE: f64 = 10.0;

/// Time constant over which a tenant's arrivals are compared with its quota.
const TENANT_WINDOW_S: f64 = 15.0;
/// Weight, in arrivals, of the prior assumption that a tenant keeps to its share.
const TENANT_PRIOR_ARRIVALS: f64 = 3.0;
/// With less time than this left for the viewer a further attempt is not worthwhile.
const MIN_RETRY_TIME_US: Micros = 30_000;
/// Random cost, as a link load, that separates equal streamers: controllers must not all pick the same one.
const PLACEMENT_JITTER: f64 = 0.06;
/// Open requests of one connection from which further ones are refused at once.
const MAX_OPEN_PER_CONNECTION: usize = 256;
/// Highest number of open requests for titles of which no session has started yet.
const MAX_OPEN_UNPROVEN: usize = 16;
/// Highest number of attempts of such a request once one of them may have run.
const MAX_UNPROVEN_ATTEMPTS: usize = 2;
/// How long a title is known to exist after a session of it started.
const TITLE_MEMORY_US: Micros = 600_000_000;
/// Time within which a session is not stepped down again to make room for a new one.
const MAKE_ROOM_WAIT_US: Micros = 3_000_000;
/// Part of a new session's worth that may be lost by stepping others down for it.
const MAX_LOSS_SHARE: f64 = 0.9;

/// Decaying counts of a class: arrivals (first tries only), ended sessions and watched seconds. Ends over
/// watched time is the departure rate μ.
#[derive(Default)]
struct ClassCounts {
    arrivals: f64,
    ended: f64,
    watched_s: f64,
}

/// Load of one link or uplink: the last report or note, and this controller's own changes since.
#[derive(Default)]
struct LinkState {
    capacity_kb: f64,
    /// Rate and number of this controller's own sessions here.
    own_kb: f64,
    own_sessions: usize,
    /// When the load was last reported, and the load.
    last_load: Option<(Micros, f64)>,
    own_changes: ChangeWindow,
    short_delivery_at: Option<Micros>,
    last_step_at: Micros,
}

/// What the controller knows about a streamer.
#[derive(Default)]
struct StreamerState {
    entry: Entry,
    link: LinkState,
    /// Suspicion as of `suspicion_at`; it decays from then on.
    suspicion: f64,
    suspicion_at: Micros,
    next_trial_at: Micros,
    cold_since: Option<Micros>,
    /// The last turn that this controller used, or may have used, while the streamer was cold.
    last_cold_turn: Option<u64>,
    probe_in_flight: bool,
    connected_until: Micros,
    probed_at: Micros,
    sessions: BTreeSet<RequestId>,
}

/// A possible change of a session's rung by one: worth per kB, the rate difference in kB a second, the
/// request and its streamer.
type RungStep = (f64, f64, RequestId, StreamerId);
type Actions = Vec<Action>;

/// A request that has not ended yet, or a session.
#[derive(Default)]
struct SessionState {
    request: Request,
    deadline: Micros,
    /// Where the attempt in flight, or the session, is.
    streamer: Option<StreamerId>,
    attempted: Vec<StreamerId>,
    /// The first attempt that may have run although it failed: where, and when it was sent.
    may_have_run: Option<(StreamerId, Micros)>,
    playing: bool,
    answered: bool,
    rung: usize,
    changed_at: Micros,
    worth: f64,
    /// The probe that the request waits for: the streamer, and when the wait began.
    awaited_probe: Option<(StreamerId, Micros)>,
    probes_sent: usize,
}

/// The decisions of one controller: takes events in order and returns actions.
#[derive(Default)]
pub struct Controller {
    pub(crate) limits: LimitSet,
    settings: Settings,
    rng: Option<ChaCha8Rng>,
    now: Micros,
    /// Reports that arrive earlier may predate sessions that were handed over.
    ignore_reports_until: Micros,
    sweeping: bool,
    discovery_asked_at: Option<Micros>,
    swept_at: Micros,
    split_chosen_at: Micros,
    streamers: BTreeMap<StreamerId, StreamerState>,
    /// Uplinks by rack.
    racks: BTreeMap<u32, LinkState>,
    sessions: BTreeMap<RequestId, SessionState>,
    /// Sessions and set-ups in flight, by title and class.
    title_seats: BTreeMap<(TitleId, ClassId), usize>,
    /// The same by class.
    class_sessions: Vec<usize>,
    class_counts: Vec<ClassCounts>,
    /// Seconds over which the class counts were taken, decayed as they are.
    counted_s: f64,
    /// This controller's slots for each class.
    pools: Vec<usize>,
    /// When a viewer was last counted, and the worth of its request.
    known_viewers: BTreeMap<ViewerId, (Micros, f64)>,
    /// Titles of which a session has started here, and when.
    proven_titles: BTreeMap<TitleId, Micros>,
    tenant_arrivals: Vec<f64>,
    /// Probes that may still be sent.
    probe_credit: f64,
    /// When requests were accepted and retries sent, for the retry budget.
    request_times: VecDeque<Micros>,
    retry_times: VecDeque<Micros>,
    /// Rate of one slot: the geometric mean of the lowest and the highest rung.
    slot_kb: f64,
    own_kb: f64,
    /// Number of reports and mean load, of links (index 0) and of uplinks (index 1).
    mean_loads: [(f64, f64); 2],
}

impl Controller {
    /// Creates a controller. The seed feeds its random number generator; nothing else is random.
    pub fn new(settings: Settings, seed: u64, now: Micros) -> Result<Self, SettingsError> {
        settings.check()?;
        let (classes, ladder) = (settings.classes.len(), &settings.ladder_kb);
        let controllers = f64::from(settings.controllers);
        let probes_pay = settings.report_mode != ReportMode::Silent && settings.probe_price < MAX_PROBE_PRICE;
        Ok(Controller {
            rng: Some(ChaCha8Rng::seed_from_u64(seed)),
            now,
            swept_at: now,
            split_chosen_at: now,
            class_sessions: vec![0; classes],
            class_counts: (0..classes).map(|_| ClassCounts::default()).collect(),
            pools: vec![0; classes],
            probe_credit: PROBES_PER_SESSION, // in advance, until a session starts
            tenant_arrivals: settings
                .tenants
                .iter()
                .map(|t| t.quota_per_s * TENANT_WINDOW_S / controllers)
                .collect(),
            slot_kb: (ladder[0] * ladder[ladder.len() - 1]).sqrt(),
            settings: Settings { probes: settings.probes && probes_pay, ..settings },
            ..Controller::default()
        })
    }

    /// A random number from 0 to 1 from the controller's own generator.
    fn chance(&mut self) -> f64 {
        self.rng.as_mut().map_or(0.5, |rng| f64::from(rng.next_u32()) / f64::from(u32::MAX))
    }

    /// Handles one event at its time and appends the resulting actions to `out`.
    pub fn handle(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        self.now = self.now.max(now);
        self.limits.observe_event(self.now, &event, out);
        match event {
            Event::List { scope, entries } => self.apply_list(scope, entries, out),
            Event::Inbound(request) | Event::Preexisting(request, _)
                if request.class.0 >= self.class_sessions.len()
                    || self.sessions.contains_key(&request.id) => {}
            Event::Inbound(request) => self.admit(request, out),
            Event::Preexisting(request, streamer) => self.adopt_session(request, streamer),
            Event::Started { request, streamer, .. } => self.set_up_done(request, streamer),
            Event::Note { request: id, streamer, kind, value } => {
                self.apply_note(id, streamer, (kind, value), out)
            }
            Event::Ended { request, streamer, outcome, last, report, .. } => {
                self.apply_report(streamer, report);
                self.attempt_ended(request, streamer, outcome, last, out);
            }
            Event::ClientGone(request) => self.client_gone(request),
            Event::Probed { streamer, outcome, report } => self.probe_ended(streamer, outcome, report, out),
            Event::Timer(tag) if tag == SWEEP_TIMER => self.sweep(out),
            Event::Timer(_) | Event::ConnectResult { .. } => {}
        }
    }

    /// Applies a streamer list from discovery: new streamers, drains, restarts.
    fn apply_list(&mut self, scope: ListScope, entries: Vec<Entry>, out: &mut Actions) {
        if matches!(scope, ListScope::Full | ListScope::Cached) {
            // Streamers that the list does not name are gone.
            self.streamers.values_mut().for_each(|s| s.entry.standing = Standing::Gone);
        }
        for entry in entries {
            let capacity_kb =
                (entry.weight * self.settings.weight_kb).clamp(1.0, self.settings.fleet_kb.max(1.0));
            self.racks.entry(self.settings.rack_of(&entry)).or_default().capacity_kb = self.settings.rack_kb;
            // The process that had this controller's number before may have used the current turn already.
            let last_cold_turn = Some(self.current_turn(&entry).0);
            let streamer = self.streamers.entry(entry.streamer).or_insert_with(|| StreamerState {
                entry: entry.clone(),
                link: LinkState { capacity_kb, ..LinkState::default() },
                cold_since: entry.started_at,
                last_cold_turn,
                ..StreamerState::default()
            });
            if entry.started_at > streamer.entry.started_at {
                // A restart clears the suspicion and the last load.
                (streamer.cold_since, streamer.suspicion, streamer.link.last_load) =
                    (entry.started_at, 0.0, None);
            }
            streamer.entry = entry;
        }
        // After a failed call the next sweep asks again.
        self.discovery_asked_at = self.discovery_asked_at.filter(|_| scope != ListScope::Failed);
        if !std::mem::replace(&mut self.sweeping, true) {
            self.sweep(out);
            self.rechoose_split(out);
        }
    }

    /// Assigns a session to a streamer, or removes it from its streamer (`None`), with its rate, seat and
    /// slot.
    fn assign_streamer(&mut self, id: RequestId, to: Option<StreamerId>) {
        let Some(session) = self.sessions.get(&id) else { return };
        let (class, seat) = (session.request.class, (session.request.title, session.request.class));
        let kb = self.settings.rate_kb(class, session.rung);
        let Some(streamer) = to.or(session.streamer).filter(|_| to != session.streamer) else { return };
        let sign: isize = if to.is_some() { 1 } else { -1 };
        let seats_taken = self.title_seats.entry(seat).or_default();
        *seats_taken = seats_taken.saturating_add_signed(sign);
        if *seats_taken == 0 {
            self.title_seats.remove(&seat); // keeps the map small: titles come and go
        }
        self.class_sessions[class.0] = self.class_sessions[class.0].saturating_add_signed(sign);
        self.record_rate_change(streamer, kb * sign as f64, sign);
        let (state, session) = (self.streamers.get_mut(&streamer), self.sessions.get_mut(&id));
        let (Some(state), Some(session)) = (state, session) else { return };
        let _ = if to.is_some() { state.sessions.insert(id) } else { state.sessions.remove(&id) };
        session.streamer = to;
    }

    /// Records a change of own rate and of the number of own sessions at a streamer's link and uplink.
    fn record_rate_change(&mut self, at: StreamerId, kb: f64, sessions: isize) {
        let Some(s) = self.streamers.get_mut(&at) else { return };
        let uplink = self.racks.get_mut(&self.settings.rack_of(&s.entry));
        self.own_kb = (self.own_kb + kb).max(0.0);
        for link in [Some(&mut s.link), uplink].into_iter().flatten() {
            link.own_sessions = link.own_sessions.saturating_add_signed(sessions);
            link.add_change(self.now, kb);
        }
    }

    /// The periodic work: counts, rungs, waiting requests, probes and the pool split.
    fn sweep(&mut self, out: &mut Actions) {
        out.push(Action::Timer { after_us: SWEEP_INTERVAL_US, tag: SWEEP_TIMER });
        let now = self.now;
        let passed_s = now.saturating_sub(std::mem::replace(&mut self.swept_at, now)) as f64 / US_PER_S;
        self.counted_s += passed_s;
        for session in self.sessions.values().filter(|s| s.playing) {
            self.class_counts[session.request.class.0].watched_s += passed_s;
        }
        self.tenant_arrivals.iter_mut().for_each(|count| *count *= (-passed_s / TENANT_WINDOW_S).exp());
        let due =
            self.discovery_asked_at.is_none_or(|at| at + self.settings.max_discovery_interval_us / 2 < now);
        if self.settings.discovery_on_request && due {
            self.discovery_asked_at = Some(now);
            out.push(Action::Subscribe);
        }
        self.adjust_rungs(out);
        // A lost probe must not hold a request up.
        self.resume_waiting(|awaited| awaited.1 + 2 * SWEEP_INTERVAL_US <= now, out);
        self.probe_for_room(out);
        if now >= self.split_chosen_at + SPLIT_INTERVAL_US {
            self.split_chosen_at = now;
            self.rechoose_split(out);
            let all =
                self.class_counts.iter_mut().flat_map(|c| [&mut c.arrivals, &mut c.ended, &mut c.watched_s]);
            all.chain([&mut self.counted_s]).for_each(|count| *count *= COUNT_DECAY);
            self.known_viewers.retain(|_, viewer| viewer.0 + 6 * SPLIT_INTERVAL_US > now);
            self.proven_titles.retain(|_, at| *at + TITLE_MEMORY_US > now);
            self.streamers.retain(|_, s| s.entry.standing != Standing::Gone || !s.sessions.is_empty());
        }
    }
}
