//! Guards paid titles against double set-ups by returning viewers. Each paid session is registered at two
//! directors, chosen by viewer and title, before its set-up is sent. A returning viewer is refused at once
//! with a short hold-off while those registers are queried; a session of the same viewer and title that may
//! still run is ended first, and its end confirmed. The answer to a viewer never waits for this. The module
//! sends nothing itself: it returns the messages to send.
use crate::member::{Member, register_incarnations, registers};
use crate::message::{Message, RegisteredSession};
use crate::ownership::OwnershipState;
use crate::record::{Id, mix_bits};
use std::collections::btree_map::Entry;
use std::collections::{BTreeMap, BTreeSet};
use stonewharf_core::{Micros, Request};

/// The largest number of viewer and title pairs in the register.
const MAX_KEYS: usize = 100_000;
/// The largest number of returning viewers that are queried at a time.
const MAX_QUERIES: usize = 4_096;
/// Interval after which a query to registers and holders is repeated.
const RESEND_AFTER_US: Micros = 200_000;
/// A query is dropped if it is not answered for this long.
const QUERY_LIFETIME_US: Micros = 10_000_000;
/// How long a viewer may be served after the query that found no running session. Registers keep their
/// reservation for longer, since they count from their answer.
const CLEARANCE_US: Micros = 2_000_000;
const RESERVATION_US: Micros = 2_500_000;
/// After this time all directors have registered their paid sessions at a new register: their views of the
/// fleet agree within 3 s, see docs/fleet.md.
pub const REGISTRATION_US: Micros = 3_500_000;
/// Stands for a reservation where a register's answer names a session.
const RESERVATION_ID: Id = Id::MAX;
/// The shortest and the longest time for which a returning viewer is held off meanwhile.
const HOLD_OFF_US: (Micros, Micros) = (150_000, 400_000);

/// Messages to send, each with the name of its receiver.
pub type Outbox = Vec<(String, Message)>;

/// The key of a viewer and title.
pub fn key(request: &Request) -> u64 {
    mix_bits(u64::from(request.viewer.0) << 32 | u64::from(request.title.0))
}

#[derive(Clone, Debug, Default)]
struct Query {
    since: Micros,
    retry_at: Micros,
    /// When the current query was sent, and its number.
    asked_at: Micros,
    number: u64,
    /// Answers by register: a session that may run, and whether the register is sure to know.
    answers: BTreeMap<String, (Option<RegisteredSession>, bool)>,
}

/// A paid session of this director, and the registers that have it.
#[derive(Clone, Debug)]
struct OwnPaidSession {
    key: u64,
    streamer: String,
    at: Vec<(String, u64)>,
}

/// A reservation at a register: for which director, by which query, until when.
#[derive(Clone, Debug)]
struct Reservation {
    requester: String,
    number: u64,
    until: Micros,
}

/// The register, and the queries of this director.
#[derive(Clone, Debug, Default)]
pub struct PaidSessionRegistry {
    register: BTreeMap<u64, BTreeMap<Id, RegisteredSession>>,
    /// Reservations for the first director that queried.
    reservations: BTreeMap<u64, Reservation>,
    queries: BTreeMap<u64, Query>,
    /// Viewers that may be served, until when and by which query; each is used once.
    clearances: BTreeMap<u64, (Micros, u64)>,
    last_number: u64,
    /// Paid sessions of this director, which are registered again when the registers change.
    own_sessions: BTreeMap<Id, OwnPaidSession>,
    /// Sessions that are being ended for a viewer who returned elsewhere, and the directors that wait for it.
    awaiting_end: BTreeMap<Id, BTreeSet<(u64, String)>>,
}

/// What the registry works with.
pub struct RegistryContext<'a> {
    /// The time.
    pub now: Micros,
    /// This director's name, and the incarnation of its session set.
    pub me: (&'a str, u64),
    /// The members of the fleet.
    pub members: &'a [Member],
    /// Earlier views of the fleet; an empty one for the time before this director had met it. A register that
    /// was none in an earlier view may lack registrations.
    pub earlier_views: &'a [(Micros, Vec<Member>)],
    /// Views that contained members which were lost since, and when each view was replaced.
    pub loss_views: &'a [(Micros, Vec<Member>)],
    /// When each member, by name and incarnation, was lost.
    pub lost_at: &'a BTreeMap<(String, u64), Micros>,
    /// The agreed ownership.
    pub ownership: &'a OwnershipState,
}

impl PaidSessionRegistry {
    // ---- Paid sessions of this director -------------------------------------------------------------------

    /// Registers a paid session that is about to be set up or was taken over.
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
        self.clearances.remove(&key); // a clearance is used once
    }

    /// A session is confirmed to be over.
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

    /// These sessions are another director's from now on: their registrations stay, and lead to the
    /// successor.
    pub fn abandon_sessions(&mut self, ids: &[Id]) {
        ids.iter().for_each(|id| drop(self.own_sessions.remove(id)));
    }

    /// Whether a session is a paid one of this director.
    pub fn is_registered(&self, id: Id) -> bool {
        self.own_sessions.contains_key(&id)
    }

    /// The fleet or the incarnation has changed: registers the sessions at registers that lack them (`all`:
    /// at every register).
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

    // ---- Returning viewers --------------------------------------------------------------------------------

    /// A viewer returns for a paid title; true if it may be served.
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

    /// Whether a recent query found that nothing of this viewer and title runs.
    pub fn is_clear(&self, now: Micros, key: u64) -> bool {
        self.clearances.get(&key).is_some_and(|(until, _)| *until > now)
    }

    /// How long a viewer is held off meanwhile; `chance` is from 0 to 1.
    pub fn hold_off_us(chance: f64) -> Micros {
        HOLD_OFF_US.0 + ((HOLD_OFF_US.1 - HOLD_OFF_US.0) as f64 * chance.clamp(0.0, 1.0)) as Micros
    }

    /// Sends the query to all registers again, under a new number.
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

    /// Allows the viewer to be served if all registers have answered, at least one of them is sure, and none
    /// knows of a session.
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

    /// Repeats the queries that are due and drops what has expired.
    pub fn tick(&mut self, context: &RegistryContext<'_>, out: &mut Outbox) {
        let now = context.now;
        self.queries.retain(|_, a| a.since.saturating_add(QUERY_LIFETIME_US) > now);
        self.clearances.retain(|_, (until, _)| *until > now);
        self.reservations.retain(|_, reservation| reservation.until > now);
        let due: Vec<u64> =
            self.queries.iter().filter(|(_, a)| a.retry_at <= now).map(|(key, _)| *key).collect();
        due.into_iter().for_each(|key| self.query_registers(context, key, out));
    }

    /// When [`PaidSessionRegistry::tick`] has to be called next.
    pub fn next_tick_at(&self) -> Micros {
        self.queries.values().map(|a| a.retry_at).min().unwrap_or(Micros::MAX)
    }

    // ---- Messages -----------------------------------------------------------------------------------------

    /// Takes a message. Returns the session that has to be ended here for a viewer who returned elsewhere, if
    /// the message asks for that.
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
                // A director that has just become a register may not have received all registrations yet.
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
                // The reservation was made for a viewer that asks another director by now, unless it has been
                // used.
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
                self.query_registers(context, key, out); // query again: there may be another session
            }
            _ => {}
        }
        None
    }

    /// Number of viewer and title pairs in the register, and number of queries.
    pub fn sizes(&self) -> (usize, usize) {
        (self.register.len(), self.queries.len())
    }
}

/// Whether all registers of a viewer and title were lost at about the same time, so that nobody can know what
/// runs.
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

/// A reservation in the form of a session.
fn reserved_session(requester: &str) -> RegisteredSession {
    RegisteredSession {
        id: RESERVATION_ID,
        owner: requester.to_owned(),
        incarnation: u64::MAX,
        streamer: String::new(),
    }
}

/// The director that holds a registered session: the one that registered it, unless that incarnation is
/// closed; otherwise its successor, once the takeover is complete.
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
