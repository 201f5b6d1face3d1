//! What the fleet agrees on, at one director: hands words, time and what is stored to the agreed log, tells
//! it what the leader sees, and says when this director is to leave. Exists only where the block `agreement`
//! is there. Decides nothing itself: the log does (`stonewharf-agreement`), and the rollout
//! (`stonewharf-rollout`). No viewer's answer waits for any of this.
mod persons;
mod seen;
mod whole;

use super::hand::ContinuityDriver;
use super::narrowed::ClosedStreamers;
use super::peers::{Handed, Peers};
use super::poll::Token;
use super::shared::{Deadline, Shared};
use super::store::StoreThread;
use crate::director::Input;
use crate::interface::{ListScope, Micros};
use persons::say;
pub use persons::{LogSeen, Request, Told};
use seen::{members, tell};
use serde::{Deserialize, Serialize};
use slog::{info, warn};
use std::collections::BTreeMap;
use std::path::Path;
use stonewharf_agreement::{Agreement, AgreementSettings, Answer, Deed, Me, Order};
use stonewharf_rollout::{
    Command, DisruptionBudgets, Health, HolderAction, PermitHolder, Reconciler, SharedDrains, Verdict,
    WaveAnalysis,
};
use whole::{Whole, on_estates};

/// Between a leader's looks at the members.
const LOOK_US: Micros = 100_000;
/// A leader calls nobody absent before it has led, and seen the members, for so long.
const SURE_US: Micros = 2_000_000;
/// Between a director's counts, while a release is watched.
const HEALTH_US: Micros = 500_000;
/// Orders of persons that wait at a time.
const ORDERS_MOST: usize = 64;

/// What travels to another director.
#[derive(Deserialize, Serialize)]
enum Spoken<'a> {
    /// A word of the agreed log.
    Log(&'a [u8]),
    /// What the sender counted, for the leader.
    Health(Health),
    /// A word on estates.
    Estate(&'a [u8]),
}

/// The agreed log's part of a director.
pub struct Agreed {
    name: String,
    agreement: Agreement<Whole>,
    store: Option<StoreThread>,
    holder: PermitHolder,
    watch: Reconciler,
    judge: WaveAnalysis,
    health_at: Micros,
    incarnation: u64,
    /// What is closed, kept for the next start, where there is a folder.
    narrowed: Option<ClosedStreamers>,
    /// Drains of streamers, as the module asks them.
    pub drains: SharedDrains,
    /// Sessions that outlive their director, where that is on.
    pub hands: Option<ContinuityDriver>,
    /// The confirmation of the lead that is under way, and the term in which it was asked for.
    confirm: Option<(u128, u64)>,
    budgets: DisruptionBudgets,
    ids: u64,
    number: u64,
    led_since: Option<Micros>,
    look_at: Micros,
    due_at: Micros,
    orders: BTreeMap<u128, Token>,
    /// Lines of the record that are logged.
    lines: u64,
    seen: u64,
}

impl Agreed {
    /// Opens the folder, where there is one; a folder that can't be used leaves a director that learns.
    pub fn start(
        shared: &Shared,
        set: &AgreementSettings,
        budgets: DisruptionBudgets,
        drains: SharedDrains,
        folder: Option<&Path>,
        peers: &Peers,
    ) -> Agreed {
        let life = peers.me();
        let (name, incarnation) = (life.name.to_string(), life.incarnation);
        let opened = folder.map(|folder| StoreThread::start(folder, shared.poll.waker()));
        let (store, kept) = match opened {
            Some(Ok((store, kept))) => (Some(store), Some(kept)),
            Some(Err(why)) => {
                warn!(shared.log, "agreed log: the folder can't be used, this director does not vote";
                    "at_us" => shared.now, "why" => %why);
                (None, None)
            }
            None => (None, None),
        };
        let narrowed = folder.map(|folder| {
            let (narrowed, kept) = ClosedStreamers::open(folder, shared.log.clone());
            if !kept.is_empty() {
                info!(shared.log, "streamers are taken for closed until what is agreed is heard";
                    "at_us" => shared.now, "streamers" => kept.join(" "));
            }
            drains.0.borrow_mut().restore_closed(kept);
            narrowed
        });
        let ids = stonewharf_fleet::digest(format!("{name}#{incarnation}").as_bytes());
        let fresh = stonewharf_fleet::digest(format!("{name}#{incarnation}#folder").as_bytes()).max(1);
        let me = Me { name: name.clone(), life: incarnation, fresh };
        Agreed {
            holder: PermitHolder::new(&name, incarnation),
            name,
            agreement: Agreement::new(set, me, kept, shared.now, Whole::default()),
            store,
            watch: Reconciler::new(),
            judge: WaveAnalysis::default(),
            health_at: shared.now,
            incarnation,
            narrowed,
            drains,
            hands: None,
            confirm: None,
            budgets,
            ids,
            number: 0,
            led_since: None,
            look_at: shared.now,
            due_at: Micros::MAX,
            orders: BTreeMap::new(),
            lines: 0,
            seen: 0,
        }
    }

    /// Other budgets stand in the operator file; the leader puts them in force.
    pub fn budgets(&mut self, budgets: DisruptionBudgets) {
        self.budgets = budgets;
    }

    /// This director was told to end; true where it waits for a permit first.
    pub fn told_to_end(&mut self, shared: &Shared) -> bool {
        let wait_ms = self.budgets.ask_ms;
        self.holder.request_leave(shared.now / 1_000 + wait_ms, "SIGTERM");
        wait_ms > 0
    }

    /// The end of a turn: takes what came in, and tells whether this director is to leave now, and by which
    /// permit.
    pub fn turned(&mut self, shared: &mut Shared, peers: &mut Peers) -> Option<Option<u64>> {
        for handed in peers.handed() {
            match handed {
                Handed::Word(from, bytes) => {
                    let heard = match postcard::from_bytes(&bytes) {
                        Ok(Spoken::Log(word)) => self.agreement.hear(shared.now, &from, word).is_ok(),
                        Ok(Spoken::Health(health)) => {
                            let state = &self.agreement.machine().rollout;
                            self.judge.record(shared.now / 1_000, state, &from, health);
                            true
                        }
                        Ok(Spoken::Estate(word)) => {
                            let hands = self.hands.as_mut();
                            hands.is_none_or(|hands| hands.receive(shared.now, &from, word))
                        }
                        Err(_) => false,
                    };
                    if !heard {
                        peers.unreadable();
                    }
                }
                Handed::Order(token, bytes) => self.order(shared, peers, token, &bytes),
            }
        }
        let safe: Vec<_> = self.store.iter().flat_map(StoreThread::results).collect();
        for safe in safe {
            match safe {
                Ok(stamp) => self.agreement.stored(stamp),
                Err(why) => {
                    warn!(shared.log, "agreed log: the folder can't be written, this director votes no more";
                        "at_us" => shared.now, "why" => %why);
                    self.agreement.folder_lost();
                    self.store = None;
                }
            }
        }
        if self.agreement.next() <= shared.now {
            self.agreement.due(shared.now);
        }
        self.tell_health(shared, peers);
        self.lead(shared, peers);
        let leaves = self.hold(shared);
        self.estates(shared, peers);
        self.carry_out(shared, peers);
        self.tell(shared);
        let held = self.holder.next_poll_ms().map_or(Micros::MAX, |ms| ms.saturating_mul(1_000));
        let look = if self.led_since.is_some() { self.look_at } else { Micros::MAX };
        let health = if self.watched() { self.health_at } else { Micros::MAX };
        let estates = self.hands.as_ref().map_or(Micros::MAX, ContinuityDriver::next_tick_at);
        let next = [self.agreement.next(), held, look, health, estates].into_iter().min();
        let next = next.unwrap_or(Micros::MAX).max(shared.now + 1_000);
        if next < self.due_at || self.due_at <= shared.now {
            self.due_at = next;
            shared.deadlines.set(next, Deadline::Agreement);
        }
        leaves
    }

    fn id(&mut self) -> u128 {
        self.number += 1;
        u128::from(self.ids) << 64 | u128::from(self.number)
    }

    fn watched(&self) -> bool {
        self.agreement.machine().rollout.release.as_ref().is_some_and(|release| release.is_watched())
    }

    /// While a release is watched, all tell the leader what they count.
    fn tell_health(&mut self, shared: &mut Shared, peers: &mut Peers) {
        if !self.watched() || self.health_at > shared.now {
            return;
        }
        self.health_at = shared.now + HEALTH_US;
        let c = &shared.counters;
        let health = Health {
            incarnation: self.incarnation,
            taken: c.taken.get(),
            served: c.served.get(),
            refused: c.refused.get(),
            failed: c.failed.get(),
            unanswered: c.left_early.get(),
        };
        match self.agreement.status().leader {
            Some(leader) if leader == self.name => {
                let state = &self.agreement.machine().rollout;
                self.judge.record(shared.now / 1_000, state, &self.name, health);
            }
            Some(leader) => {
                let bytes = postcard::to_allocvec(&Spoken::Health(health)).unwrap_or_default();
                peers.post(shared, vec![(leader, bytes)]);
            }
            None => {}
        }
    }

    /// What a leader does: tells the agreed state what it sees.
    fn lead(&mut self, shared: &Shared, peers: &Peers) {
        if !self.agreement.leads() {
            if self.led_since.take().is_some() {
                (self.watch, self.judge) = Default::default();
            }
            return;
        }
        let since = *self.led_since.get_or_insert(shared.now);
        if self.look_at > shared.now {
            return;
        }
        self.look_at = shared.now + LOOK_US;
        let members = members(peers, shared);
        let sure = since.saturating_add(SURE_US) <= shared.now;
        let (state, now_ms) = (&self.agreement.machine().rollout, shared.now / 1_000);
        let mut commands = self.watch.reconcile_directors(now_ms, state, &self.budgets, &members, sure);
        let drains = self.drains.0.borrow();
        commands.extend(self.watch.reconcile_streamers(
            now_ms,
            state,
            drains.listed_streamers(),
            drains.warm_up_ms(),
        ));
        drop(drains);
        let watch = state.release.as_ref().map_or(0, |release| release.watches);
        commands.extend(self.judge.verdict(now_ms, state).map(|verdict| match verdict {
            Verdict::Passed => Command::ReleasePassed { watch, now_ms },
            Verdict::Halt(why) => Command::ReleaseHalt { why, now_ms },
        }));
        for command in commands {
            let id = self.id();
            self.agreement.order(shared.now, id, Order::Act(command.encode()));
        }
    }

    /// What this director does about its own leaving.
    fn hold(&mut self, shared: &Shared) -> Option<Option<u64>> {
        match self.holder.poll(shared.now / 1_000, &self.agreement.machine().rollout) {
            HolderAction::Stay => None,
            HolderAction::RequestPermit(command) => {
                let id = self.id();
                self.agreement.order(shared.now, id, Order::Act(command.encode()));
                None
            }
            HolderAction::Leave(permit) => {
                match permit {
                    Some(number) => info!(shared.log, "leaves by permit"; "at_us" => shared.now,
                        "permit" => number),
                    None => warn!(shared.log, "leaves without a permit"; "at_us" => shared.now),
                }
                Some(permit)
            }
        }
    }

    /// Hands on what is agreed, who is there and the time, and takes what is to be agreed.
    fn estates(&mut self, shared: &mut Shared, peers: &mut Peers) {
        let Some(hands) = &mut self.hands else { return };
        let asked = hands.tick(shared, peers, &self.agreement.machine().estates, self.agreement.leads());
        for command in asked.commands {
            let id = self.id();
            self.agreement.order(shared.now, id, Order::Act(on_estates(&command)));
        }
        if asked.confirm_leadership {
            let id = self.id();
            self.confirm = Some((id, self.agreement.status().term));
            self.agreement.order(shared.now, id, Order::Confirm);
        }
        self.say_of_estates(shared, peers);
    }

    /// Sends what waits to be said of estates; marks of paid sessions have to leave before their set-ups.
    pub fn say_of_estates(&mut self, shared: &mut Shared, peers: &mut Peers) {
        let words = self.hands.as_mut().map(ContinuityDriver::take_messages).unwrap_or_default();
        let spoken = |word: Vec<u8>| postcard::to_allocvec(&Spoken::Estate(&word)).unwrap_or_default();
        peers.post(shared, words.into_iter().map(|(to, word)| (to, spoken(word))).collect());
    }

    fn carry_out(&mut self, shared: &mut Shared, peers: &mut Peers) {
        let mut words = Vec::new();
        for deed in self.agreement.take() {
            match deed {
                Deed::Send(to, word) => {
                    words.push((to, postcard::to_allocvec(&Spoken::Log(&word)).unwrap_or_default()));
                }
                Deed::Store(batch) => self.store.iter().for_each(|store| store.store(batch.clone())),
                Deed::Answer(id, answer) if self.confirm.is_some_and(|(asked, _)| asked == id) => {
                    let term = self.confirm.take().map(|(_, term)| term);
                    // Of the term in which it was asked, or it says nothing of this lead.
                    let same = self.agreement.leads() && Some(self.agreement.status().term) == term;
                    let confirmed = same && matches!(answer, Answer::Done(_));
                    self.hands.iter_mut().for_each(|hands| hands.leadership_confirmed(shared.now, confirmed));
                }
                Deed::Answer(id, answer) => {
                    if let Some(token) = self.orders.remove(&id) {
                        let told = self.answer(&answer);
                        say(shared, peers, token, &told);
                    }
                }
                Deed::Tell(news) => tell(shared, &news),
            }
        }
        peers.post(shared, words);
    }

    /// Takes over what is newly agreed, and logs what is new in the record.
    fn tell(&mut self, shared: &mut Shared) {
        if self.agreement.version() == self.seen {
            return;
        }
        self.seen = self.agreement.version();
        let rollout = &self.agreement.machine().rollout;
        let entries = self.drains.0.borrow_mut().apply_agreed(rollout);
        if let Some(narrowed) = &mut self.narrowed {
            narrowed.set(self.drains.0.borrow().closed_names());
        }
        if !entries.is_empty() {
            shared.inputs.push(Input::List { scope: ListScope::Delta, entries });
        }
        let fresh = rollout.audit_total.saturating_sub(self.lines).min(rollout.audit.len() as u64) as usize;
        for line in rollout.audit.iter().skip(rollout.audit.len() - fresh) {
            info!(shared.log, "rollout"; "at_us" => shared.now, "agreed_ms" => line.at_ms,
                "member" => &line.name, "what" => &line.what);
        }
        self.lines = rollout.audit_total;
    }
}
