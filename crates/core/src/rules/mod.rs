//! All decisions of stonewharf, in the terms of `src/interface.rs`. docs/design.md tells what comes from Chen
//! & Verma's paper and what departs from it; marks such as [D3] refer to the list there.
mod health;
mod load;
mod placement;
mod pools;

use crate::interface::*;
use crate::limits::Seam;
use crate::window::Window;
pub use pools::{erlang_payoff, split_slots};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{RngCore, SeedableRng};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

const SECOND: f64 = 1e6; // microseconds
const SWEEP_US: Micros = 250_000; // between looks at rungs, silence and probes: well under a note's lateness
const CHOOSE_US: Micros = 10_000_000; // between choices of the split (the design's default)
const FADE: f64 = 0.85; // what one period leaves of the counts before it: about a minute of memory
const COUNTED: f64 = 6.0; // arrivals from which the counts decide the split
const SLOT_MARGIN: f64 = 0.9; // part of a link that slots may fill: the spread of title rates takes the rest
const FULL: f64 = 0.90; // use of a link or uplink up to which a session of its own pool may be set up
const LENT: f64 = 0.86; // the same for a borrower: a little is kept for those who own the room
const RAISE: f64 = 0.82; // use up to which playing sessions are stepped up
const SHORT: f64 = 1.0; // use from which sessions are stepped down: a step costs more than a short spell
const SETTLE: f64 = 0.95; // use that stepping down aims at
const FAIR: f64 = 1.15; // a new session may start at so many times the fair rate: rungs are coarse
const QUIET_US: Micros = 30_000_000; // without short delivery before a step up (the design's default)
const SEEN_QUIET_US: Micros = 7_000_000; // the same where a fresh report shows room [D3]
const FRESH_US: Micros = 5_000_000; // a report no older than this is fresh
const TRUST_S: f64 = 12.0; // seconds in which a report loses most of its weight: sessions come and go
const BELIEF: f64 = 0.3; // part of a report's surprise that is believed: reports are noisy
const SHORT_BELIEF: f64 = 0.8; // the same of a note of delivery
const SHORT_US: Micros = 2_000_000; // notes of short delivery come once a second: one still holds for so long
const STALLED: f64 = 0.3; // share delivered under which a streamer stalls: less tells nothing of its load
const TOLD: f64 = 10.0; // reports over which the mean use of links, or of uplinks, is taken
const REPORT_AGE_US: Micros = 300_000; // how old a report in an answer is taken to be
const REPORT_OLDEST_US: Micros = 600_000; // how old it may be: refreshed now and then, and late
const UNEVEN: f64 = 4.0; // own sessions on a link that say as much of the others' there as the mean does
const HALF_LIFE_S: f64 = 10.0; // seconds in which suspicion halves
const BARRED: f64 = 1.0; // suspicion from which a streamer gets nothing but trials
const WORST: f64 = 3.0; // most suspicion: one and a half half-lives from being tried freely again
const CLEARED: f64 = 0.4; // part of a suspicion that a session which stands leaves
const TRIAL_US: Micros = 2_000_000; // between trials of a barred streamer
const SUSPECT_COST: f64 = 0.5; // suspicion 1 weighs as much as so much of a link in use
const COLD_PACE: f64 = 0.7; // part of the cold pace used: the rest is for chance and lateness
const TURN_S: f64 = 0.4; // a turn at a cold streamer at most, where its pace allows several in one
const PROBES_PER_SESSION: f64 = 1.5; // probes a session earns: for its set-up and for steps up
const PROBE_WORTH: f64 = 0.04; // part of a session's worth that a probe brings at most: dearer ones never pay
const LOOKED_AT: usize = 64; // streamers that a request is weighed against at most
const ASKS: usize = 2; // streamers asked before a set-up at most: the power of two choices
const LOOK: f64 = 0.1; // chance to look around in a sweep: controllers must not all ask at once
const ASKERS: f64 = 10.0; // controllers to one that asks while a step does not yet show
const TENANT_S: f64 = 15.0; // seconds over which a tenant's arrivals are set against its quota
const TENANT_SURE: f64 = 3.0; // arrivals as good as the belief that a tenant keeps to its share
const LEAST_LEFT_US: Micros = 30_000; // less of the viewer's time than this is not worth a further attempt
const JITTER: f64 = 0.06; // of a link, by which equal streamers are told apart: controllers must not herd
const BESIDE_MOST: usize = 256; // open requests of one connection: more are refused at once
const UNPROVEN_MOST: usize = 16; // open requests for titles that never stood
const UNPROVEN_TRIES: usize = 2; // attempts of such a request where one may have run
const TITLE_US: Micros = 600_000_000; // a title that stood is known to exist for so long
const SQUEEZED_US: Micros = 3_000_000; // a session is not stepped down again for a newcomer within this
const SQUEEZE_GAIN: f64 = 0.9; // part of a newcomer's worth that may be lost for it
const SWEEP: TimerTag = TimerTag(1);

/// What a controller counts of a class: arrivals of first tries, ends, time watched (ends over time is μ).
#[derive(Default)]
struct Meter {
    arrivals: f64,
    ended: f64,
    watched_s: f64,
}

/// The account of one link or uplink: the last report or note, and own changes since.
#[derive(Default)]
struct Gauge {
    cap_kb: f64,
    own_kb: f64,
    own: usize,
    seen: Option<(Micros, f64)>,
    changes: Window,
    short_at: Option<Micros>,
    stepped_at: Micros,
}

/// What is known of a streamer.
#[derive(Default)]
struct Streamer {
    entry: Entry,
    link: Gauge,
    suspicion: f64,
    judged_at: Micros,
    trial_at: Micros,
    cold_since: Option<Micros>,
    cold_turn: Option<u64>,
    probe_out: bool,
    linked_until: Micros,
    probed_at: Micros,
    sessions: BTreeSet<RequestId>,
}

type Step = (f64, f64, RequestId, StreamerId); // worth a kB, kB a second, which, where
type Out = Vec<Action>; // what is to be done

/// A request taken and not yet ended, or a session.
#[derive(Default)]
struct Session {
    request: Request,
    deadline: Micros,
    streamer: Option<StreamerId>,
    tried: Vec<StreamerId>,
    may_have_run: Option<(StreamerId, Micros)>,
    playing: bool,
    answered: bool,
    rung: usize,
    changed_at: Micros,
    worth: f64,
    asked: Option<(StreamerId, Micros)>,
    asks: usize,
}

/// The decisions of one controller. Feed it events in order; it answers with actions.
#[derive(Default)]
pub struct Controller {
    pub(crate) limits: Seam,
    set: Settings,
    rng: Option<ChaCha8Rng>,
    now: Micros,
    deaf_until: Micros,
    ticking: bool,
    asked_at: Option<Micros>,
    swept_at: Micros,
    chosen_at: Micros,
    streamers: BTreeMap<StreamerId, Streamer>,
    racks: BTreeMap<u32, Gauge>,
    sessions: BTreeMap<RequestId, Session>,
    seats: BTreeMap<(TitleId, ClassId), usize>,
    held: Vec<usize>,
    meters: Vec<Meter>,
    counted_s: f64,
    pools: Vec<usize>,
    viewers: BTreeMap<ViewerId, (Micros, f64)>,
    titles: BTreeMap<TitleId, Micros>,
    tenants: Vec<f64>,
    probes: f64,
    taken: VecDeque<Micros>,
    resent: VecDeque<Micros>,
    slot_kb: f64,
    own_kb: f64,
    told: [(f64, f64); 2],
}

impl Controller {
    /// A controller at its start. The seed feeds its own random numbers; nothing else is random.
    pub fn new(settings: Settings, seed: u64, now: Micros) -> Result<Self, SettingsError> {
        settings.check()?;
        let (classes, ladder) = (settings.classes.len(), &settings.ladder_kb);
        let n = f64::from(settings.controllers);
        let pays = settings.report_mode != ReportMode::Silent && settings.probe_price < PROBE_WORTH;
        Ok(Controller {
            rng: Some(ChaCha8Rng::seed_from_u64(seed)),
            now,
            swept_at: now,
            chosen_at: now,
            held: vec![0; classes],
            meters: (0..classes).map(|_| Meter::default()).collect(),
            pools: vec![0; classes],
            probes: PROBES_PER_SESSION, // on credit, until a session stands
            tenants: settings.tenants.iter().map(|t| t.quota_per_s * TENANT_S / n).collect(),
            slot_kb: (ladder[0] * ladder[ladder.len() - 1]).sqrt(),
            set: Settings { probes: settings.probes && pays, ..settings },
            ..Controller::default()
        })
    }

    /// A number from 0 to 1 by this controller's own dice.
    fn chance(&mut self) -> f64 {
        self.rng.as_mut().map_or(0.5, |r| f64::from(r.next_u32()) / f64::from(u32::MAX))
    }

    /// Takes one event at its time and adds what is to be done.
    pub fn handle(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        self.now = self.now.max(now);
        self.limits.hear(self.now, &event, out);
        match event {
            Event::List { scope, entries } => self.list(scope, entries, out),
            Event::Inbound(r) | Event::Preexisting(r, _)
                if r.class.0 >= self.held.len() || self.sessions.contains_key(&r.id) => {}
            Event::Inbound(request) => self.inbound(request, out),
            Event::Preexisting(request, streamer) => self.handed(request, streamer),
            Event::Started { request, streamer, .. } => self.started(request, streamer),
            Event::Note { request: id, streamer, kind, value } => self.note(id, streamer, (kind, value), out),
            Event::Ended { request, streamer, outcome, last, report, .. } => {
                self.report(streamer, report);
                self.ended(request, streamer, outcome, last, out);
            }
            Event::ClientGone(request) => self.gone(request),
            Event::Probed { streamer, outcome, report } => self.probed(streamer, outcome, report, out),
            Event::Timer(tag) if tag == SWEEP => self.sweep(out),
            Event::Timer(_) | Event::ConnectResult { .. } => {}
        }
    }

    /// Takes discovery's news: new places, drains, restarts.
    fn list(&mut self, scope: ListScope, entries: Vec<Entry>, out: &mut Out) {
        if matches!(scope, ListScope::Full | ListScope::Cached) {
            self.streamers.values_mut().for_each(|s| s.entry.standing = Standing::Gone); // unless named below
        }
        for entry in entries {
            let cap_kb = (entry.weight * self.set.weight_kb).clamp(1.0, self.set.fleet_kb.max(1.0));
            self.racks.entry(self.set.rack_of(&entry)).or_default().cap_kb = self.set.rack_kb;
            // Whoever had this controller's place before it may have used the turn that is open.
            let cold_turn = Some(self.turn(&entry).0);
            let s = self.streamers.entry(entry.streamer).or_insert_with(|| Streamer {
                entry: entry.clone(),
                link: Gauge { cap_kb, ..Gauge::default() },
                cold_since: entry.started_at,
                cold_turn,
                ..Streamer::default()
            });
            if entry.started_at > s.entry.started_at {
                // A restart: what was held against it is void.
                (s.cold_since, s.suspicion, s.link.seen) = (entry.started_at, 0.0, None);
            }
            s.entry = entry;
        }
        self.asked_at = self.asked_at.filter(|_| scope != ListScope::Failed); // the next sweep asks again
        if !std::mem::replace(&mut self.ticking, true) {
            self.sweep(out);
            self.choose(out);
        }
    }

    /// Moves a session's rate, seat and slot to a streamer, or away.
    fn place(&mut self, id: RequestId, at: Option<StreamerId>) {
        let Some(session) = self.sessions.get(&id) else { return };
        let (class, seat) = (session.request.class, (session.request.title, session.request.class));
        let kb = self.set.rate_kb(class, session.rung);
        let Some(streamer) = at.or(session.streamer).filter(|_| at != session.streamer) else { return };
        let sign: isize = if at.is_some() { 1 } else { -1 };
        let held = self.seats.entry(seat).or_default();
        *held = held.saturating_add_signed(sign);
        if *held == 0 {
            self.seats.remove(&seat); // titles come and go
        }
        self.held[class.0] = self.held[class.0].saturating_add_signed(sign);
        self.book(streamer, kb * sign as f64, sign);
        let (s, session) = (self.streamers.get_mut(&streamer), self.sessions.get_mut(&id));
        let (Some(s), Some(session)) = (s, session) else { return };
        let _ = if at.is_some() { s.sessions.insert(id) } else { s.sessions.remove(&id) };
        session.streamer = at;
    }

    /// Books an own change of rate, and of the number of sessions, at a streamer's link and uplink.
    fn book(&mut self, at: StreamerId, kb: f64, sessions: isize) {
        let Some(s) = self.streamers.get_mut(&at) else { return };
        let uplink = self.racks.get_mut(&self.set.rack_of(&s.entry));
        self.own_kb = (self.own_kb + kb).max(0.0);
        for g in [Some(&mut s.link), uplink].into_iter().flatten() {
            g.own = g.own.saturating_add_signed(sessions);
            g.change(self.now, kb);
        }
    }

    fn sweep(&mut self, out: &mut Out) {
        out.push(Action::Timer { after_us: SWEEP_US, tag: SWEEP });
        let now = self.now;
        let passed = now.saturating_sub(std::mem::replace(&mut self.swept_at, now)) as f64 / SECOND;
        self.counted_s += passed;
        for session in self.sessions.values().filter(|s| s.playing) {
            self.meters[session.request.class.0].watched_s += passed;
        }
        self.tenants.iter_mut().for_each(|count| *count *= (-passed / TENANT_S).exp());
        let due = self.asked_at.is_none_or(|at| at + self.set.max_discovery_interval_us / 2 < now);
        if self.set.discovery_on_request && due {
            self.asked_at = Some(now);
            out.push(Action::Subscribe);
        }
        self.adjust_rungs(out);
        self.decide_waiting(|asked| asked.1 + 2 * SWEEP_US <= now, out); // a probe lost must not hold it
        self.look_around(out);
        if now >= self.chosen_at + CHOOSE_US {
            self.chosen_at = now;
            self.choose(out);
            let all = self.meters.iter_mut().flat_map(|m| [&mut m.arrivals, &mut m.ended, &mut m.watched_s]);
            all.chain([&mut self.counted_s]).for_each(|count| *count *= FADE);
            self.viewers.retain(|_, v| v.0 + 6 * CHOOSE_US > now);
            self.titles.retain(|_, at| *at + TITLE_US > now);
            self.streamers.retain(|_, s| s.entry.standing != Standing::Gone || !s.sessions.is_empty());
        }
    }
}
