//! The coordinator of session continuity at one director: what the director may act on, the replicas that it
//! stores, the sessions that it takes over, and its duties as lease grantor. It is fed events, messages,
//! agreed state and the time, and returns the actions to carry out. The decision module sees it through
//! `limits.rs`.
mod actions;
mod end_sessions;
mod lease;
mod observe;
mod successor;

use crate::member::Member;
use crate::message::{EndKind, Message, UnreadableMessage};
use crate::own_sessions::OwnSessions;
use crate::ownership::OwnershipState;
use crate::record::{Id, Record, RequestSummary};
use crate::registry::{Outbox, PaidSessionRegistry, REGISTRATION_US, RegistryContext};
use crate::replica::ReplicaStore;
use crate::settings::ContinuitySettings;
use crate::takeover::{Page, TakeoverTask};
#[cfg(feature = "planted")]
pub use actions::PlantedFault;
pub use actions::{Action, LocalDirector, LogEvent};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use stonewharf_core::{Effect, Micros, Settings, StreamerId};
use stonewharf_leases::{LeaseGrantor, LeaseHolder, LeaseRequest};

/// A request summary is dropped after this time if no attempt followed.
const SUMMARY_LIFETIME_US: Micros = 60_000_000;
/// A director that was not called for this time was paused.
const STALLED_AFTER_US: Micros = 500_000;
/// Interval of the checks that have no deadline of their own.
const CHECK_INTERVAL_US: Micros = 100_000;
/// A command that is not yet agreed is proposed again after this time.
pub(crate) const PROPOSAL_RETRY_US: Micros = 500_000;
/// How long a leaving director waits for its replicas to acknowledge everything.
const HAND_OVER_TIMEOUT_US: Micros = 500_000;
/// How long, and how many, misrouted session ends are kept until there is a successor for them.
const MISROUTED_END_LIFETIME_US: Micros = 10_000_000;
const MAX_MISROUTED_ENDS: usize = 4_096;
/// Interval between tries to end a session at its streamer, and the largest number of tries.
const END_RETRY_US: Micros = 1_000_000;
const MAX_END_TRIES: u32 = 30;

/// A session that is being ended.
struct EndingSession {
    streamer: String,
    retry_at: Micros,
    tries: u32,
}

/// The coordinator of one director.
pub struct Coordinator {
    pub(crate) set: ContinuitySettings,
    pub(crate) me: LocalDirector,
    pub(crate) now: Micros,
    /// Classes by number: name, and whether they are paid.
    pub(crate) classes: Vec<(String, bool)>,
    pub(crate) lowest_rungs: Vec<u8>,
    pub(crate) names: BTreeMap<StreamerId, String>,
    pub(crate) summaries: BTreeMap<Id, (RequestSummary, Micros)>,
    pub(crate) members: Vec<Member>,
    /// Earlier views of the fleet, and when each was replaced.
    earlier_views: Vec<(Micros, Vec<Member>)>,
    /// Views that contained members which were lost since, and when; and when each member, by name and
    /// incarnation, was lost.
    loss_views: Vec<(Micros, Vec<Member>)>,
    lost_at: BTreeMap<(String, u64), Micros>,
    pub(crate) ownership: OwnershipState,
    holder: LeaseHolder,
    leased: bool,
    /// This director's session set.
    pub(crate) own: OwnSessions,
    /// Sessions that were not replicated, because there was no valid lease when they began.
    pub(crate) unleased: BTreeMap<Id, Record>,
    /// Requests that may not be sent again: when an attempt ended, their session set was not this director's
    /// to act on.
    pub(crate) blocked: BTreeMap<Id, Micros>,
    /// Replicas of other directors' session sets.
    pub(crate) replica_store: ReplicaStore,
    pub(crate) registry: PaidSessionRegistry,
    takeover_tasks: BTreeMap<u64, (TakeoverTask, Option<bool>)>,
    ending: BTreeMap<Id, EndingSession>,
    /// Sessions that were taken over beyond the capacity, and when each is released.
    scheduled_releases: VecDeque<(Micros, Id, Record)>,
    /// Lagging replicas that are not chosen again until this time.
    excluded_replicas: BTreeMap<String, Micros>,
    /// Commands under way, by subject, and when each was last proposed.
    pub(crate) proposed_at: BTreeMap<String, Micros>,
    leaving: Option<Micros>,
    /// Recent ends of sessions that this director does not hold.
    misrouted_ends: VecDeque<(Micros, Id, EndKind)>,
    next_check_at: Micros,
    last_tick_at: Micros,
    pub(crate) actions: Vec<Action>,
    // State of the lease grantor.
    pub(crate) grantor: LeaseGrantor,
    pub(crate) leads: bool,
    pub(crate) session_counts: BTreeMap<String, (u64, usize)>,
    pub(crate) closing: BTreeSet<(String, u64)>,
    /// The planted fault.
    #[cfg(feature = "planted")]
    pub planted_fault: Option<PlantedFault>,
}

impl Coordinator {
    /// A coordinator at the start of its director. `names`: the classes by number.
    pub fn new(
        set: ContinuitySettings,
        settings: &Settings,
        names: &[String],
        me: LocalDirector,
        now: Micros,
    ) -> Coordinator {
        let duration = set.lease_duration();
        let class =
            |(name, c): (&String, &stonewharf_core::Class)| (name.clone(), c.effect == Effect::AtMostOnce);
        let lowest_rungs =
            settings.classes.iter().map(|c| u8::try_from(c.lowest_rung).unwrap_or(0)).collect();
        Coordinator {
            classes: names.iter().zip(&settings.classes).map(class).collect(),
            lowest_rungs,
            names: BTreeMap::new(),
            summaries: BTreeMap::new(),
            members: Vec::new(),
            earlier_views: Vec::new(),
            loss_views: Vec::new(),
            lost_at: BTreeMap::new(),
            ownership: OwnershipState::default(),
            holder: LeaseHolder::new(duration, now),
            leased: false,
            own: OwnSessions::new(me.incarnation),
            unleased: BTreeMap::new(),
            blocked: BTreeMap::new(),
            replica_store: ReplicaStore::new(),
            registry: PaidSessionRegistry::default(),
            takeover_tasks: BTreeMap::new(),
            ending: BTreeMap::new(),
            scheduled_releases: VecDeque::new(),
            excluded_replicas: BTreeMap::new(),
            proposed_at: BTreeMap::new(),
            leaving: None,
            misrouted_ends: VecDeque::new(),
            next_check_at: now,
            last_tick_at: now,
            actions: Vec::new(),
            grantor: LeaseGrantor::new(duration),
            leads: false,
            session_counts: BTreeMap::new(),
            closing: BTreeSet::new(),
            #[cfg(feature = "planted")]
            planted_fault: None,
            set,
            me,
            now,
        }
    }

    /// Returns what is to be done now; each action once.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Returns actions that were taken and are to be done later.
    pub fn put_back_actions(&mut self, actions: Vec<Action>) {
        self.actions.splice(0..0, actions);
    }

    /// Whether this director may act on a session on its own initiative: set a rung, send another attempt,
    /// end it. Has to be called with the current time as bytes are written.
    pub fn may_act(&self, now: Micros, id: Id) -> bool {
        #[cfg(feature = "planted")]
        if self.planted_fault == Some(PlantedFault::IgnoreLeaseExpiry) {
            return true;
        }
        let others = self.blocked.contains_key(&id);
        !others && (!self.own.records().contains_key(&id) || self.holder.is_valid(now))
    }

    /// Until when the director may act on its session set.
    pub fn leased_until(&self) -> Micros {
        self.holder.valid_until()
    }

    /// Number of sessions that it holds, with an attempt in flight or established.
    pub fn sessions(&self) -> usize {
        self.own.records().len() + self.unleased.len()
    }

    /// The record of a session that it holds.
    pub fn record(&self, id: Id) -> Option<&Record> {
        self.own.records().get(&id).or_else(|| self.unleased.get(&id))
    }

    /// Figures: replicas and sessions in them, viewer and title pairs in the register and queries for them,
    /// and changes of its own that no replica has yet.
    pub fn session_counts(&self) -> [usize; 5] {
        let ((replicas, records), (keys, queries)) = (self.replica_store.size(), self.registry.sizes());
        [replicas, records, keys, queries, self.own.unreplicated()]
    }

    /// Names of streamers by number, from discovery.
    pub fn set_streamer_names(&mut self, names: impl IntoIterator<Item = (StreamerId, String)>) {
        self.names.extend(names);
    }

    /// A set-up request arrived, or a session that was taken over is about to enter the decision module.
    pub fn note_request(&mut self, id: Id, summary: RequestSummary) {
        self.summaries.insert(id, (summary, self.now));
    }

    pub(crate) fn context(&self) -> (Micros, String, u64) {
        (self.now, self.me.name.clone(), self.own.incarnation())
    }

    /// Runs an operation of the registry with its context, and sends the resulting messages.
    pub(crate) fn with_registry<T>(
        &mut self,
        act: impl FnOnce(&mut PaidSessionRegistry, &RegistryContext<'_>, &mut Outbox) -> T,
    ) -> T {
        let (now, name, incarnation) = self.context();
        let mut out = Vec::new();
        let (members, earlier_views, ownership) = (&self.members, &self.earlier_views, &self.ownership);
        let (loss_views, lost_at) = (&self.loss_views, &self.lost_at);
        let context = RegistryContext {
            now,
            me: (&name, incarnation),
            members,
            earlier_views,
            loss_views,
            lost_at,
            ownership,
        };
        let result = act(&mut self.registry, &context, &mut out);
        self.actions.extend(out.into_iter().map(|(to, message)| Action::Send(to, message)));
        result
    }

    /// Updates the record of a session; `None`: it is over.
    pub(crate) fn update_session(&mut self, id: Id, record: Option<Record>) {
        let ours = self.own.records().contains_key(&id);
        match record {
            Some(record) if ours || self.leased => self.own.change(id, Some(record)),
            Some(record) => drop(self.unleased.insert(id, record)),
            None => {
                self.own.change(id, None);
                self.unleased.remove(&id);
            }
        }
    }

    // ---- Incoming messages --------------------------------------------------------------------------------

    /// Takes an encoded message from another director.
    pub fn receive_bytes(&mut self, now: Micros, from: &str, bytes: &[u8]) -> Result<(), UnreadableMessage> {
        let message = Message::decode(bytes)?;
        self.receive(now, from, message);
        Ok(())
    }

    /// Takes a message from another director, whose name was checked.
    pub fn receive(&mut self, now: Micros, from: &str, message: Message) {
        self.now = self.now.max(now);
        match message {
            Message::LeaseRequest { incarnation, number, sessions } => {
                self.lease_requested(from, incarnation, number, sessions)
            }
            Message::LeaseGrant { incarnation, number }
                if incarnation == self.own.incarnation() && self.leaving.is_none() =>
            {
                self.holder.apply_grant(number);
                self.check_lease_start();
            }
            Message::Replicate { incarnation, run, seq, complete, changes } => {
                if !self.ownership.is_closed(from, incarnation) {
                    let answer =
                        self.replica_store.apply_batch(from, incarnation, (run, seq), complete, changes);
                    self.actions.extend(answer.map(|message| Action::Send(from.to_owned(), message)));
                }
            }
            Message::ReplicaAck { incarnation, run, seq } => {
                self.own.acknowledged(from, incarnation, run, seq)
            }
            Message::ReplicaGap { incarnation, run } => self.own.restart_replica(from, incarnation, run),
            Message::FetchReplica { owner, incarnation, part, of, after } => {
                // Only for a closed incarnation, so that the replica does not change while it is read.
                if self.ownership.is_closed(&owner, incarnation) {
                    let page = self.replica_store.page(&owner, incarnation, part, of, after);
                    self.send(from, page);
                }
            }
            Message::ReplicaPage { owner, incarnation, part, after, kept, records, more } => {
                let page = Page { after, kept, records, more };
                let of = |a: &&mut (TakeoverTask, Option<bool>)| {
                    let t = &a.0.takeover;
                    t.owner == owner && t.incarnation == incarnation && t.part == part
                };
                if let Some((task, _)) = self.takeover_tasks.values_mut().find(of) {
                    task.page(self.now, from, page);
                }
            }
            Message::MisroutedEnd { id, what } => {
                if let Some(record) = self.record(id) {
                    let streamer = record.streamer.clone();
                    self.actions.push(Action::MisroutedEnd(id, streamer, what));
                }
            }
            message => {
                let wanted = self
                    .with_registry(|registry, context, out| registry.receive(context, from, &message, out));
                wanted.into_iter().for_each(|held| self.end_for_returning_viewer(&held));
            }
        }
    }

    pub(crate) fn send(&mut self, to: &str, message: Message) {
        if to == self.me.name {
            let now = self.now;
            return self.receive(now, to, message);
        }
        self.actions.push(Action::Send(to.to_owned(), message));
    }

    // ---- Time ---------------------------------------------------------------------------------------------
    /// Does what is due after time has passed or something arrived.
    pub fn tick(&mut self, now: Micros) {
        self.now = self.now.max(now);
        let now = self.now;
        // A paused director may have missed registrations: it is not sure to know for a while.
        if self.last_tick_at.saturating_add(STALLED_AFTER_US) < now {
            self.earlier_views.push((now, Vec::new()));
        }
        self.last_tick_at = now;
        self.check_lease_expiry();
        if self.leaving.is_none()
            && let Some(number) = self.holder.poll_request(now)
        {
            let incarnation = self.own.incarnation();
            let sessions = u32::try_from(self.own.records().len()).unwrap_or(u32::MAX);
            if let Some(grantor) = self.ownership.grantor.clone() {
                self.send(&grantor.name, Message::LeaseRequest { incarnation, number, sessions });
            }
        }
        if self.next_check_at <= now {
            self.next_check_at = now.saturating_add(CHECK_INTERVAL_US);
            // A successor registers again what the lost director can't; earlier views count until that is
            // done.
            let lost =
                self.ownership.replicas.keys().any(|(name, incarnation)| self.is_lost(name, *incarnation));
            if !lost && self.ownership.takeovers.values().all(|t| t.done) {
                self.earlier_views.retain(|(at, _)| at.saturating_add(REGISTRATION_US) > now);
            }
            self.summaries.retain(|_, (_, at)| at.saturating_add(SUMMARY_LIFETIME_US) > now);
            self.blocked.retain(|_, at| at.saturating_add(SUMMARY_LIFETIME_US) > now);
            let lagging = if self.leased { self.own.lagging(now) } else { Vec::new() };
            let fresh = lagging.into_iter().filter(|name| !self.excluded_replicas.contains_key(name));
            for name in fresh.collect::<Vec<_>>() {
                self.excluded_replicas.insert(name.clone(), now.saturating_add(10 * PROPOSAL_RETRY_US));
                self.actions.push(Action::Log(LogEvent::ReplicaLags(name)));
            }
            self.choose_replicas();
            self.propose_replicas();
            self.hand_over();
            self.retry_ends();
        }
        self.with_registry(|registry, context, out| registry.tick(context, out));
        while self.scheduled_releases.front().is_some_and(|(at, ..)| *at <= now) {
            let Some((_, id, record)) = self.scheduled_releases.pop_front() else { break };
            self.actions.push(Action::Release(id, record.clone()));
            self.end_at_streamer(id, record.streamer);
        }
        self.advance_takeovers();
        self.run_grantor();
        if self.leased || self.leaving.is_some() {
            let messages = self.own.take_due_batches(now);
            self.actions.extend(messages.into_iter().map(|(to, message)| Action::Send(to, message)));
        }
    }

    /// When [`Coordinator::tick`] has to be called next.
    pub fn next_tick_at(&self) -> Micros {
        let request = if self.leaving.is_none() { self.holder.next_request_at() } else { Micros::MAX };
        let expiry = if self.leased { self.holder.valid_until() } else { Micros::MAX };
        let release = self.scheduled_releases.front().map_or(Micros::MAX, |(at, ..)| *at);
        [request, expiry, release, self.next_check_at, self.own.next_send_at(), self.registry.next_tick_at()]
            .into_iter()
            .min()
            .unwrap_or(0)
    }

    /// Takes a request for a lease.
    fn lease_requested(&mut self, from: &str, incarnation: u64, number: u64, sessions: u32) {
        self.session_counts.insert(from.to_owned(), (incarnation, sessions as usize));
        self.grantor.request(LeaseRequest { name: from.to_owned(), incarnation, number });
    }
}
