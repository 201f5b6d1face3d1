//! The decision module: admission, placement and rungs, on the types of `src/interface.rs`. docs/design.md
//! lists what comes from Chen & Verma's paper and what departs from it; marks such as [D3] refer to that
//! list.
mod constants;
mod health;
mod load;
mod placement;
mod pools;

use crate::interface::*;
use crate::limits::LimitSet;
use crate::window::ChangeWindow;
use constants::*;
pub use pools::{erlang_payoff, split_slots};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{RngCore, SeedableRng};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

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
        let probes_pay = settings.reports != ReportMode::Silent && settings.probe_price < MAX_PROBE_PRICE;
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
                self.take_note(id, streamer, (kind, value), out)
            }
            Event::Ended { request, streamer, outcome, last, report, .. } => {
                self.take_report(streamer, report);
                self.attempt_ended(request, streamer, outcome, last, out);
            }
            Event::ClientGone(request) => self.client_gone(request),
            Event::Probed { streamer, outcome, report } => self.probe_ended(streamer, outcome, report, out),
            Event::Timer(tag) if tag == SWEEP_TIMER => self.sweep(out),
            Event::Timer(_) | Event::Contact { .. } => {}
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
        let due = self.discovery_asked_at.is_none_or(|at| at + self.settings.ask_within_us / 2 < now);
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
