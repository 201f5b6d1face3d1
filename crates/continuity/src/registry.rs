//! Viewers who come again for a paid title. Each paid session is marked at two registers, by viewer and
//! title, before its set-up leaves. Whoever comes again is refused at once with a short hold-off while the
//! registers are asked; a session of the same viewer and title that may run is ended first, and proven to be.
//! The answer to a viewer never waits for any of this. Sends nothing: says what is to be sent.
use crate::member::{Member, register_incarnations, registers};
use crate::message::{Message, RegisteredSession};
use crate::ownership::OwnershipState;
use crate::record::{Id, mix_bits};
use std::collections::btree_map::Entry;
use std::collections::{BTreeMap, BTreeSet};
use stonewharf_core::{Micros, Request};

/// Viewers and titles in the register at most.
const MAX_KEYS: usize = 100_000;
/// Viewers who come again that are asked about at a time.
const MAX_QUERIES: usize = 4_096;
/// A question to registers and holders is put again after so long.
const RESEND_AFTER_US: Micros = 200_000;
/// After so long without the viewer it is given up.
const QUERY_LIFETIME_US: Micros = 10_000_000;
/// A viewer may be served for so long after it was asked whether anything of it runs. Registers keep the
/// place for longer, since they count from when they answered.
const CLEARANCE_US: Micros = 2_000_000;
const RESERVATION_US: Micros = 2_500_000;
/// All directors have marked their paid sessions at a new register after so long: they see the same within
/// 3 s, see docs/fleet.md.
pub const REGISTRATION_US: Micros = 3_500_000;
/// Stands for the place that a register keeps for who asked, where it names a session.
const RESERVATION_ID: Id = Id::MAX;
/// How long a viewer is told to stay away meanwhile, at least and at most.
const HOLD_OFF_US: (Micros, Micros) = (150_000, 400_000);

/// Messages to send, each with the name of its receiver.
pub type Outbox = Vec<(String, Message)>;

/// The number of a viewer and title.
pub fn key(request: &Request) -> u64 {
    mix_bits(u64::from(request.viewer.0) << 32 | u64::from(request.title.0))
}

#[derive(Clone, Debug, Default)]
struct Query {
    since: Micros,
    retry_at: Micros,
    /// When the registers were asked whose answers are here, and under which number.
    asked_at: Micros,
    number: u64,
    /// Registers that answered: what, and whether they have been registers for long.
    answers: BTreeMap<String, (Option<RegisteredSession>, bool)>,
}

/// An own paid session, and where it is marked.
#[derive(Clone, Debug)]
struct OwnPaidSession {
    key: u64,
    streamer: String,
    at: Vec<(String, u64)>,
}

/// A place that is kept: for whom, by which question, until when.
#[derive(Clone, Debug)]
struct Reservation {
    requester: String,
    number: u64,
    until: Micros,
}

/// The register, and the questions of this director.
#[derive(Clone, Debug, Default)]
pub struct PaidSessionRegistry {
    register: BTreeMap<u64, BTreeMap<Id, RegisteredSession>>,
    /// Places that are kept for who asked first, and until when.
    reservations: BTreeMap<u64, Reservation>,
    queries: BTreeMap<u64, Query>,
    /// Viewers that may be served, until when; each once.
    clearances: BTreeMap<u64, (Micros, u64)>,
    last_number: u64,
    /// Own paid sessions, which are marked anew where the registers change.
    own_sessions: BTreeMap<Id, OwnPaidSession>,
    /// Sessions that are being ended for a viewer who came again elsewhere: who wants to know.
    awaiting_end: BTreeMap<Id, BTreeSet<(u64, String)>>,
}

/// What questions are answered by.
pub struct RegistryContext<'a> {
    /// The time.
    pub now: Micros,
    /// This director's name, and the life of its estate.
    pub me: (&'a str, u64),
    /// The fleet.
    pub members: &'a [Member],
    /// The fleet as it was a little before; empty where this director had not met it yet. Marks may not have
    /// come to a register that was none then.
    pub earlier_views: &'a [(Micros, Vec<Member>)],
    /// Views in which some were that are gone, and when each went, by name and life.
    pub loss_views: &'a [(Micros, Vec<Member>)],
    /// See `losses`.
    pub lost_at: &'a BTreeMap<(String, u64), Micros>,
    /// What is agreed.
    pub ownership: &'a OwnershipState,
}

impl PaidSessionRegistry {
    // ---- Own paid sessions --------------------------------------------------------------------------------

    /// A paid session is about to be set up, or was inherited: it is marked first.
    pub fn register_session(
        &mut self,
        context: &RegistryContext<'_>,
        id: Id,
        key: u64,
        streamer: &str,
        out: &mut Outbox,
    ) {
        let at = register_incarnations(context.members, key);
        for (register, _) in &at {
            let message = Message::RegisterSession {
                key,
                id,
                incarnation: context.me.1,
                streamer: streamer.to_owned(),
            };
            self.send(context, register, message, out);
        }
        self.own_sessions.insert(id, OwnPaidSession { key, streamer: streamer.to_owned(), at });
        self.clearances.remove(&key); // used
    }

    /// It is over, and proven to be.
    pub fn session_over(&mut self, context: &RegistryContext<'_>, id: Id, out: &mut Outbox) {
        if let Some(OwnPaidSession { key, at, .. }) = self.own_sessions.remove(&id) {
            for (register, _) in at {
                self.send(context, &register, Message::UnregisterSession { key, id }, out);
            }
        }
        for (key, asker) in self.awaiting_end.remove(&id).unwrap_or_default() {
            self.send(context, &asker, Message::SessionEnded { key, id }, out);
        }
    }

    /// These are another's from here on: their marks stay as they are, and lead to the heir.
    pub fn abandon_sessions(&mut self, ids: &[Id]) {
        ids.iter().for_each(|id| drop(self.own_sessions.remove(id)));
    }

    /// Whether a session is an own paid one.
    pub fn is_registered(&self, id: Id) -> bool {
        self.own_sessions.contains_key(&id)
    }

    /// The fleet has changed, or the estate's life: what the registers of today lack is marked there.
    pub fn reregister(&mut self, context: &RegistryContext<'_>, all: bool, out: &mut Outbox) {
        let ids: Vec<Id> = self.own_sessions.keys().copied().collect();
        for id in ids {
            let Some(OwnPaidSession { key, streamer, at: before }) = self.own_sessions.get(&id).cloned()
            else {
                continue;
            };
            let at = register_incarnations(context.members, key);
            for (register, _) in at.iter().filter(|r| all || !before.contains(r)) {
                let message = Message::RegisterSession {
                    key,
                    id,
                    incarnation: context.me.1,
                    streamer: streamer.clone(),
                };
                self.send(context, register, message, out);
            }
            self.own_sessions.insert(id, OwnPaidSession { key, streamer, at });
        }
    }

    /// A register may be this director itself.
    fn send(&mut self, context: &RegistryContext<'_>, to: &str, message: Message, out: &mut Outbox) {
        if to == context.me.0 {
            self.receive(context, to, &message, out);
        } else {
            out.push((to.to_owned(), message));
        }
    }

    // ---- Viewers who come again ---------------------------------------------------------------------------

    /// A viewer comes again for a paid title; true where it may be served.
    pub fn viewer_returned(&mut self, context: &RegistryContext<'_>, key: u64, out: &mut Outbox) -> bool {
        let now = context.now;
        if self.is_clear(now, key) {
            return true;
        }
        if self.queries.len() >= MAX_QUERIES {
            return false;
        }
        if let Entry::Vacant(vacant) = self.queries.entry(key) {
            vacant.insert(Query { since: now, ..Query::default() });
            self.query_registers(context, key, out);
        }
        self.is_clear(now, key)
    }

    /// Whether nothing of this viewer and title runs, as was found lately.
    pub fn is_clear(&self, now: Micros, key: u64) -> bool {
        self.clearances.get(&key).is_some_and(|(until, _)| *until > now)
    }

    /// How long a viewer stays away meanwhile.
    pub fn hold_off_us(chance: f64) -> Micros {
        HOLD_OFF_US.0 + ((HOLD_OFF_US.1 - HOLD_OFF_US.0) as f64 * chance.clamp(0.0, 1.0)) as Micros
    }

    /// Puts the question to all registers, anew.
    fn query_registers(&mut self, context: &RegistryContext<'_>, key: u64, out: &mut Outbox) {
        let Some(query) = self.queries.get_mut(&key) else { return };
        self.last_number += 1;
        let number = self.last_number;
        query.number = number;
        (query.asked_at, query.retry_at) = (context.now, context.now.saturating_add(RESEND_AFTER_US));
        query.answers.clear();
        for register in registers(context.members, key) {
            self.send(context, &register, Message::Claim { key, number }, out);
        }
    }

    /// All registers have answered, one of them for sure, and none knows of anything: the viewer may be
    /// served.
    fn try_clear(&mut self, context: &RegistryContext<'_>, key: u64) {
        let Some(query) = self.queries.get(&key) else { return };
        let at = registers(context.members, key);
        let free = |r: &String| query.answers.get(r).is_some_and(|(held, _)| held.is_none());
        let sure = |r: &String| query.answers.get(r).is_some_and(|(_, sure)| *sure);
        if at.iter().all(free) && at.iter().any(sure) && !registers_lost(context, key) {
            let (asked_at, number) = (query.asked_at, query.number);
            self.queries.remove(&key);
            self.clearances.insert(key, (asked_at.saturating_add(CLEARANCE_US), number));
        }
    }

    /// Time has passed.
    pub fn tick(&mut self, context: &RegistryContext<'_>, out: &mut Outbox) {
        let now = context.now;
        self.queries.retain(|_, a| a.since.saturating_add(QUERY_LIFETIME_US) > now);
        self.clearances.retain(|_, (until, _)| *until > now);
        self.reservations.retain(|_, reservation| reservation.until > now);
        let due: Vec<u64> =
            self.queries.iter().filter(|(_, a)| a.retry_at <= now).map(|(key, _)| *key).collect();
        due.into_iter().for_each(|key| self.query_registers(context, key, out));
    }

    /// When [`Claims::due`] wants to be called next.
    pub fn next_tick_at(&self) -> Micros {
        self.queries.values().map(|a| a.retry_at).min().unwrap_or(Micros::MAX)
    }

    // ---- Words --------------------------------------------------------------------------------------------

    /// Takes a word; the session to be ended here for a viewer who came again elsewhere, if it asks for that.
    pub fn receive(
        &mut self,
        context: &RegistryContext<'_>,
        from: &str,
        message: &Message,
        out: &mut Outbox,
    ) -> Option<RegisteredSession> {
        match *message {
            Message::RegisterSession { key, id, incarnation, ref streamer } => {
                if self.register.contains_key(&key) || self.register.len() < MAX_KEYS {
                    let (owner, streamer) = (from.to_owned(), streamer.clone());
                    let session = RegisteredSession { id, owner, incarnation, streamer };
                    self.register.entry(key).or_default().insert(id, session);
                }
                self.reservations.retain(|k, reservation| *k != key || reservation.requester != from);
            }
            Message::UnregisterSession { key, id } => {
                if let Some(of) = self.register.get_mut(&key) {
                    of.remove(&id);
                    if of.is_empty() {
                        self.register.remove(&key);
                    }
                }
            }
            Message::WithdrawClaim { key, number } => {
                self.reservations.retain(|k, p| *k != key || p.requester != from || p.number > number);
            }
            Message::Claim { key, number } => {
                let held = self.register.get(&key).and_then(|of| of.values().next()).cloned();
                let reservation =
                    self.reservations.get(&key).filter(|p| p.requester != from && p.until > context.now);
                let held = held.or_else(|| reservation.map(|p| reserved_session(&p.requester)));
                // Who has just become a register may not have heard yet of all there is.
                let me = |(_, view): &(Micros, Vec<Member>)| {
                    registers(view, key).iter().any(|r| r == context.me.0)
                };
                let sure = context.earlier_views.iter().all(me);
                if held.is_none() && self.reservations.len() < MAX_KEYS {
                    let until = context.now.saturating_add(RESERVATION_US);
                    self.reservations.insert(key, Reservation { requester: from.to_owned(), number, until });
                }
                self.send(context, from, Message::ClaimReply { key, held, sure }, out);
            }
            Message::ClaimReply { key, ref held, sure } => {
                let query = self.queries.get_mut(&key)?;
                let first = query.answers.insert(from.to_owned(), (held.clone(), sure)).is_none();
                match held {
                    Some(held) if first => {
                        let holder = holder(context, held);
                        let message = Message::EndSession { key, held: held.clone() };
                        holder
                            .into_iter()
                            .for_each(|holder| self.send(context, &holder, message.clone(), out));
                    }
                    Some(_) => {}
                    None => self.try_clear(context, key),
                }
            }
            Message::EndSession { key, ref held } if held.id == RESERVATION_ID => {
                // The place was kept for a viewer that asks elsewhere by now, unless it has been used.
                if let Some((_, number)) = self.clearances.remove(&key) {
                    for register in registers(context.members, key) {
                        self.send(context, &register, Message::WithdrawClaim { key, number }, out);
                    }
                    self.send(context, from, Message::SessionEnded { key, id: RESERVATION_ID }, out);
                }
            }
            Message::EndSession { key, ref held } => {
                if self.awaiting_end.len() < MAX_KEYS {
                    self.awaiting_end.entry(held.id).or_default().insert((key, from.to_owned()));
                }
                return Some(held.clone());
            }
            Message::SessionEnded { key, id: RESERVATION_ID } => {
                if let Some(query) = self.queries.get_mut(&key) {
                    // The reservation has to be withdrawn first.
                    query.retry_at = context.now.saturating_add(RESEND_AFTER_US / 4);
                }
            }
            Message::SessionEnded { key, id } => {
                self.receive(context, from, &Message::UnregisterSession { key, id }, out);
                for register in registers(context.members, key) {
                    self.send(context, &register, Message::UnregisterSession { key, id }, out);
                }
                self.query_registers(context, key, out); // asked anew: there may be another one
            }
            _ => {}
        }
        None
    }

    /// Viewers and titles in the register, and viewers that are asked about.
    pub fn sizes(&self) -> (usize, usize) {
        (self.register.len(), self.queries.len())
    }
}

/// Whether all registers of a viewer and title were lost at about one time: then nobody can know what runs.
fn registers_lost(context: &RegistryContext<'_>, key: u64) -> bool {
    context.loss_views.iter().any(|(_, view)| {
        let at: Option<Vec<Micros>> = register_incarnations(view, key)
            .iter()
            .map(|register| context.lost_at.get(register).copied())
            .collect();
        let Some(at) = at.filter(|at| !at.is_empty()) else { return false };
        let (first, last) = (at.iter().min(), at.iter().max());
        first.zip(last).is_some_and(|(first, last)| last - first <= REGISTRATION_US)
    })
}

/// The place that a register keeps for who asked first.
fn reserved_session(requester: &str) -> RegisteredSession {
    RegisteredSession {
        id: RESERVATION_ID,
        owner: requester.to_owned(),
        incarnation: u64::MAX,
        streamer: String::new(),
    }
}

/// Who holds a session that somebody marked: that one, while its life is not closed, else its heir once that
/// has it.
fn holder(context: &RegistryContext<'_>, held: &RegisteredSession) -> Option<String> {
    let (mut owner, mut incarnation) = (held.owner.clone(), held.incarnation);
    for _ in 0..8 {
        if !context.ownership.is_closed(&owner, incarnation) {
            return Some(owner);
        }
        let next = context
            .ownership
            .takeover_of(&owner, incarnation, held.id)
            .filter(|t| t.done)?
            .successor
            .clone()?;
        (owner, incarnation) = (next.name, next.incarnation);
    }
    None
}
