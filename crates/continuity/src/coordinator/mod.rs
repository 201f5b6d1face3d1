//! One director's part in all of this: what it may act on, what it keeps for others, what it inherits, and
//! what it does while it gives leases. Told events, words, what is agreed and the time; says what is to be
//! done. The decision module asks it through the seam (`seam.rs`).
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

/// What a viewer asked for is forgotten after so long, where no set-up followed.
const SUMMARY_LIFETIME_US: Micros = 60_000_000;
/// A director that was not asked for so long stood still.
const STALLED_AFTER_US: Micros = 500_000;
/// Between looks at what has no deadline of its own.
const CHECK_INTERVAL_US: Micros = 100_000;
/// A command that is not agreed is given again after so long.
pub(crate) const PROPOSAL_RETRY_US: Micros = 500_000;
/// A director that leaves waits so long for its keepers to have all.
const HAND_OVER_TIMEOUT_US: Micros = 500_000;
/// Strays are kept for so long, until their heir is there, and so many of them.
const MISROUTED_END_LIFETIME_US: Micros = 10_000_000;
const MAX_MISROUTED_ENDS: usize = 4_096;
/// Between tries to have a session ended at its streamer, and how often that is tried.
const END_RETRY_US: Micros = 1_000_000;
const MAX_END_TRIES: u32 = 30;

/// A session that is being ended.
struct EndingSession {
    streamer: String,
    again_at: Micros,
    tries: u32,
}

/// One director's part.
pub struct Coordinator {
    pub(crate) set: ContinuitySettings,
    pub(crate) me: LocalDirector,
    pub(crate) now: Micros,
    /// Classes by number: name, and whether one is paid.
    pub(crate) classes: Vec<(String, bool)>,
    pub(crate) floors: Vec<u8>,
    pub(crate) names: BTreeMap<StreamerId, String>,
    pub(crate) summaries: BTreeMap<Id, (RequestSummary, Micros)>,
    pub(crate) members: Vec<Member>,
    /// Former views of the fleet, and when each was replaced.
    earlier_views: Vec<(Micros, Vec<Member>)>,
    /// Views in which some were that are gone, and when who went: by name and life.
    loss_views: Vec<(Micros, Vec<Member>)>,
    lost_at: BTreeMap<(String, u64), Micros>,
    pub(crate) ownership: OwnershipState,
    holder: LeaseHolder,
    leased: bool,
    /// The estate.
    pub(crate) own: OwnSessions,
    /// Sessions that no keeper was told of, since the lease had run out when they began.
    pub(crate) unleased: BTreeMap<Id, Record>,
    /// Requests that may not be sent again: their estate was not this director's to act on as an attempt
    /// ended.
    pub(crate) blocked: BTreeMap<Id, Micros>,
    /// What is kept for others.
    pub(crate) replica_store: ReplicaStore,
    pub(crate) registry: PaidSessionRegistry,
    takeover_tasks: BTreeMap<u64, (TakeoverTask, Option<bool>)>,
    ending: BTreeMap<Id, EndingSession>,
    /// Inherited sessions without room, and when each is released.
    scheduled_releases: VecDeque<(Micros, Id, Record)>,
    /// Lags that were passed over, and until when.
    excluded_replicas: BTreeMap<String, Micros>,
    /// Commands that are under way, by what they are about.
    pub(crate) proposed_at: BTreeMap<String, Micros>,
    leaving: Option<Micros>,
    /// What came lately on sessions that this director does not hold.
    misrouted_ends: VecDeque<(Micros, Id, EndKind)>,
    next_check_at: Micros,
    last_tick_at: Micros,
    pub(crate) actions: Vec<Action>,
    // What a giver has beside its leases.
    pub(crate) grantor: LeaseGrantor,
    pub(crate) leads: bool,
    pub(crate) session_counts: BTreeMap<String, (u64, usize)>,
    pub(crate) proposed: BTreeSet<(String, u64)>,
    /// What is planted.
    #[cfg(feature = "planted")]
    pub planted_fault: Option<PlantedFault>,
}

impl Coordinator {
    /// A director at its start. `names`: the classes by number.
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
        let floors = settings.classes.iter().map(|c| u8::try_from(c.lowest_rung).unwrap_or(0)).collect();
        Coordinator {
            classes: names.iter().zip(&settings.classes).map(class).collect(),
            floors,
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
            proposed: BTreeSet::new(),
            #[cfg(feature = "planted")]
            planted_fault: None,
            set,
            me,
            now,
        }
    }

    /// What is to be done now; each deed once.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Takes back what was taken and is to be done later.
    pub fn put_back_actions(&mut self, actions: Vec<Action>) {
        self.actions.splice(0..0, actions);
    }

    /// Whether this director may act on a session by its own will at this moment: set a rung, send another
    /// attempt, end it. To be asked with the time as it is when bytes go out.
    pub fn may_act(&self, now: Micros, id: Id) -> bool {
        #[cfg(feature = "planted")]
        if self.planted_fault == Some(PlantedFault::IgnoreLeaseExpiry) {
            return true;
        }
        let others = self.blocked.contains_key(&id);
        !others && (!self.own.records().contains_key(&id) || self.holder.is_valid(now))
    }

    /// Until when it may act on its estate.
    pub fn leased_until(&self) -> Micros {
        self.holder.valid_until()
    }

    /// Sessions that it holds, with an attempt out or standing.
    pub fn sessions(&self) -> usize {
        self.own.records().len() + self.unleased.len()
    }

    /// The record of a session that it holds.
    pub fn record(&self, id: Id) -> Option<&Record> {
        self.own.records().get(&id).or_else(|| self.unleased.get(&id))
    }

    /// Estates and sessions kept for others, viewers in the register and asked about, changes of its own that
    /// no keeper has yet.
    pub fn session_counts(&self) -> [usize; 5] {
        let ((ownership, records), (keys, asked)) = (self.replica_store.size(), self.registry.sizes());
        [ownership, records, keys, asked, self.own.unreplicated()]
    }

    /// The list: names of streamers by number.
    pub fn set_streamer_names(&mut self, names: impl IntoIterator<Item = (StreamerId, String)>) {
        self.names.extend(names);
    }

    /// A viewer's set-up came, or an inherited session is about to be handed to the module.
    pub fn note_request(&mut self, id: Id, summary: RequestSummary) {
        self.summaries.insert(id, (summary, self.now));
    }

    pub(crate) fn context(&self) -> (Micros, String, u64) {
        (self.now, self.me.name.clone(), self.own.incarnation())
    }

    /// Hands the claims what they work with, and takes what they say.
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

    /// Books what is known of a session now; `None`: it is over.
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

    // ---- What comes in ------------------------------------------------------------------------------------

    /// Takes a word of another director, as bytes.
    pub fn receive_bytes(&mut self, now: Micros, from: &str, bytes: &[u8]) -> Result<(), UnreadableMessage> {
        let message = Message::decode(bytes)?;
        self.receive(now, from, message);
        Ok(())
    }

    /// Takes a word of another director, whose name was checked.
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
            Message::FetchReplica { owner, incarnation, part, of, behind } => {
                // Only of what is closed, so that nothing changes any more while it is read.
                if self.ownership.is_closed(&owner, incarnation) {
                    let page = self.replica_store.page(&owner, incarnation, part, of, behind);
                    self.send(from, page);
                }
            }
            Message::ReplicaPage { owner, incarnation, part, behind, kept, records, more } => {
                let page = Page { behind, kept, records, more };
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
    /// Time has passed, or something came in: what is due is done.
    pub fn tick(&mut self, now: Micros) {
        self.now = self.now.max(now);
        let now = self.now;
        // Who stood still may have missed marks: it is no sure register for a while.
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
            // Who inherits marks anew what the lost can't: former views count until that is done.
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

    /// When [`Hand::due`] wants to be called next.
    pub fn next_tick_at(&self) -> Micros {
        let ask = if self.leaving.is_none() { self.holder.next_request_at() } else { Micros::MAX };
        let lapse = if self.leased { self.holder.valid_until() } else { Micros::MAX };
        let cut = self.scheduled_releases.front().map_or(Micros::MAX, |(at, ..)| *at);
        [ask, lapse, cut, self.next_check_at, self.own.next_send_at(), self.registry.next_tick_at()]
            .into_iter()
            .min()
            .unwrap_or(0)
    }

    /// Takes a question for a lease.
    fn lease_requested(&mut self, from: &str, incarnation: u64, number: u64, sessions: u32) {
        self.session_counts.insert(from.to_owned(), (incarnation, sessions as usize));
        self.grantor.request(LeaseRequest { name: from.to_owned(), incarnation, number });
    }
}
