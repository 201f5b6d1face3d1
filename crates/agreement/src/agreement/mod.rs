//! The agreed log as one director sees it: as a voter, as one that is not sure yet whether it may vote, or as
//! one that learns what is agreed from the voters. Carries commands to the leader until they are answered.
mod commands;
mod doubt;
mod founding;
mod learning;
mod log;
mod orders;

use crate::kept::{Change, Kept};
use crate::machine::Machine;
use crate::settings::AgreementSettings;
use crate::voter::Voter;
use crate::word::{Unreadable, Word};
use founding::Founding;
pub use orders::{Answer, Deed, Me, News, Order, Role, Status};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use stonewharf_core::Micros;

/// Between tries of one that starts, founds, or is not sure that it may vote.
const SEEK_US: Micros = 100_000;
/// Between questions of one that learns.
const POLL_US: Micros = 250_000;
/// Between tries of a command.
const RETRY_US: Micros = 250_000;
/// A command that nobody answered for so long is given up; it may act all the same, later.
const GIVE_UP_US: Micros = 10_000_000;
/// Commands of one director that wait at a time.
const WAITING_MOST: usize = 64;
/// The longest command, bytes.
const COMMAND_MOST: usize = 32 * 1024;
/// Answers that are remembered, so that a command that comes again acts once.
const ANSWERS_KEPT: usize = 512;
/// Stamps of others are stored so long after they were heard at the latest.
const STAMPS_US: Micros = 1_000_000;
/// Handings on of one command.
const HOPS_MOST: u8 = 2;

/// The state beside the machine's: agreed as well.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
struct Common {
    /// Names of the folders that vote or learn in order to vote.
    roll: BTreeMap<u64, String>,
    /// Who of them only learns.
    learners: BTreeSet<u64>,
    /// Answers of the last commands, and their order.
    answers: BTreeMap<u128, Vec<u8>>,
    order: VecDeque<u128>,
    machine: Vec<u8>,
}

/// A command in an entry.
#[derive(Deserialize, Serialize)]
struct Entry {
    id: u128,
    body: Vec<u8>,
}

struct Waiting {
    order: Order,
    since: Micros,
    retry_at: Micros,
}

/// The agreed log as one director sees it.
pub struct Agreement<M: Machine> {
    me: Me,
    named: Vec<String>,
    machine: M,
    common: Common,
    kept: Kept,
    voter: Option<Voter>,
    founding: Founding,
    /// Those that confirmed that this folder is the latest.
    confirmed: BTreeSet<String>,
    unsure: bool,
    /// A log is there that this folder takes no part in.
    formed: bool,
    /// The last batch that is stored, and words that wait for one.
    durable: u64,
    after: VecDeque<(u64, String, Word)>,
    /// Reads, and up to where all must be applied first.
    reads: Vec<(u128, u64)>,
    /// It may hold a folder: it is named, or was made a voter.
    may_vote: bool,
    applied: u64,
    deeds: Vec<Deed>,
    waiting: BTreeMap<u128, Waiting>,
    /// Where answers of proposed commands go, at the leader.
    origins: BTreeMap<u128, String>,
    /// Folders of directors that do not vote, at the leader, by their polls.
    folders: BTreeMap<String, u64>,
    seek_at: Micros,
    poll_at: Micros,
    stamps_at: Option<Micros>,
    polls: u64,
    told: (Option<String>, u64),
    changed: u64,
    /// Words to the leader go there last known.
    led_by: Option<String>,
}

impl<M: Machine> Agreement<M> {
    /// As a director begins. `kept`: what its folder holds; none: it has no folder, or one that can't be
    /// read, and learns only.
    pub fn new(set: &AgreementSettings, me: Me, kept: Option<Kept>, now: Micros, machine: M) -> Self {
        let may_vote = kept.is_some();
        let mut new = Agreement {
            me,
            named: set.voters.clone(),
            machine,
            common: Common::default(),
            kept: kept.unwrap_or_default(),
            voter: None,
            founding: Founding::default(),
            confirmed: BTreeSet::new(),
            unsure: false,
            formed: false,
            durable: 0,
            after: VecDeque::new(),
            reads: Vec::new(),
            may_vote,
            applied: 0,
            deeds: Vec::new(),
            waiting: BTreeMap::new(),
            origins: BTreeMap::new(),
            folders: BTreeMap::new(),
            seek_at: now,
            poll_at: now,
            stamps_at: None,
            polls: 0,
            told: (None, 0),
            changed: 0,
            led_by: None,
        };
        new.durable = new.kept.stamp;
        if may_vote && new.kept.id == 0 {
            let fresh = new.fresh();
            new.store(vec![Change::Begin(fresh)]);
        }
        if may_vote && new.kept.log != 0 {
            new.take_part(now, true);
        }
        new
    }

    // ---- What it is -----------------------------------------------------------------------------------

    /// What is agreed, as far as this director knows.
    pub fn machine(&self) -> &M {
        &self.machine
    }

    /// Counts what was applied: the machine may have changed where this has.
    pub fn version(&self) -> u64 {
        self.changed
    }

    /// Whether it leads and knows all that is agreed.
    pub fn leads(&self) -> bool {
        !self.unsure && self.voter.as_ref().is_some_and(Voter::leads)
    }

    /// What it sees.
    pub fn status(&self) -> Status {
        let role = match &self.voter {
            _ if self.leads() => Role::Leader,
            Some(_) if self.unsure => Role::Unsure,
            Some(voter) if voter.conf().voters.contains(&self.kept.id) => Role::Voter,
            Some(_) => Role::Learner,
            None if self.is_named() && self.unfounded() => Role::Waiting,
            None => Role::Learner,
        };
        let term = self.voter.as_ref().map_or(0, Voter::term);
        let voters = self.voters();
        Status { role, log: self.kept.log, term, leader: self.leader(), applied: self.applied, voters }
    }

    /// Names of those that vote.
    pub fn voters(&self) -> Vec<String> {
        let votes = |(id, _): &(&u64, &String)| !self.common.learners.contains(*id);
        let mut names: Vec<String> =
            self.common.roll.iter().filter(votes).map(|(_, name)| name.clone()).collect();
        names.sort();
        names
    }

    fn is_named(&self) -> bool {
        self.named.contains(&self.me.name)
    }

    fn leader(&self) -> Option<String> {
        let voter = self.voter.as_ref().filter(|_| !self.unsure);
        match voter {
            Some(voter) => self.common.roll.get(&voter.leader()).cloned(),
            None => self.led_by.clone(),
        }
    }

    /// When [`Agreement::due`] wants to be called next.
    pub fn next(&self) -> Micros {
        let voter = self.voter.as_ref().filter(|_| !self.unsure).map(Voter::next);
        let retry = self.waiting.values().map(|w| w.retry_at).min();
        let seek = self.seeks().then_some(self.seek_at);
        let poll = voter.is_none().then_some(self.poll_at);
        [voter, retry, seek, poll, self.stamps_at].into_iter().flatten().min().unwrap_or(Micros::MAX)
    }

    /// What is to be done now; each deed once.
    pub fn take(&mut self) -> Vec<Deed> {
        std::mem::take(&mut self.deeds)
    }

    // ---- What comes in --------------------------------------------------------------------------------

    /// Time has passed.
    pub fn due(&mut self, now: Micros) {
        if self.stamps_at.is_some_and(|at| at <= now) {
            self.stamps_at = None;
            if self.voter.is_some() {
                let heard = self.kept.heard.clone();
                self.store(vec![Change::Heard(heard)]);
            }
        }
        if self.seek_at <= now && self.seeks() {
            self.seek_at = now.saturating_add(SEEK_US);
            self.seek();
        }
        if let Some(voter) = self.voter.as_mut().filter(|_| !self.unsure) {
            voter.due(now);
            self.pump();
            self.promote();
        }
        // A voter without a leader may have been removed, and is not told so by Raft.
        let led = self.voter.as_ref().is_some_and(|voter| voter.leader() != 0);
        if !led && self.poll_at <= now {
            self.poll(now);
        }
        let late: Vec<u128> =
            self.waiting.iter().filter(|(_, w)| w.retry_at <= now).map(|(id, _)| *id).collect();
        late.into_iter().for_each(|id| self.try_order(now, id));
    }

    /// A batch is stored, and all before it.
    pub fn stored(&mut self, stamp: u64) {
        self.durable = self.durable.max(stamp);
        if let Some(voter) = &mut self.voter {
            voter.stored(stamp);
        }
        while let Some((_, to, word)) = self.after.pop_front_if(|(stamp, ..)| *stamp <= self.durable) {
            self.say(&to, &word);
        }
        self.pump();
    }

    /// The folder can't be written any more: it votes no more in this life. What it holds is whole, since
    /// nothing left that it does not hold, and it may vote again after a start.
    pub fn folder_lost(&mut self) {
        self.voter = None;
        self.after.clear();
        (self.may_vote, self.unsure, self.formed) = (false, false, true);
    }

    /// An order of this director, under a number that no other order has.
    pub fn order(&mut self, now: Micros, id: u128, order: Order) {
        let long = matches!(&order, Order::Act(body) if body.len() > COMMAND_MOST);
        if long || self.waiting.len() >= WAITING_MOST {
            let why = if long { "the command is too long" } else { "too many commands wait here" };
            self.deeds.push(Deed::Answer(id, Answer::Refused(why.into())));
            return;
        }
        self.waiting.entry(id).or_insert(Waiting { order, since: now, retry_at: now });
        self.try_order(now, id);
    }

    /// Takes a word of another director, whose name was checked.
    pub fn hear(&mut self, now: Micros, from: &str, bytes: &[u8]) -> Result<(), Unreadable> {
        match Word::read(bytes)? {
            Word::Raft { log, stamp, heard, message } => self.raft(now, from, log, stamp, heard, &message),
            Word::Hello { id, log, stamp } => {
                let heard = self.kept.heard.get(&id).copied().unwrap_or(0);
                if log == self.kept.log {
                    self.note(now, id, stamp);
                }
                self.say(from, &Word::Here { about: id, log: self.kept.log, stamp: heard });
            }
            // What is said of a folder that it is no longer says nothing of this one.
            Word::Here { about, log, stamp } if about == self.kept.id => self.confirmed(from, log, stamp),
            Word::Collect { life, .. } if self.can_be_founded(from) => {
                if life > self.kept.promised {
                    self.store(vec![Change::Promised(life)]);
                }
                if life == self.kept.promised {
                    let word = Word::Promise { life, id: self.kept.id };
                    self.say_stored(from, word);
                }
            }
            Word::Collect { id, .. } if self.kept.log != 0 => {
                // A founder that lost its folder: it hears that the log is there.
                self.say(from, &Word::Here { about: id, log: self.kept.log, stamp: 0 });
            }
            Word::Promise { life, id } if self.founds() && life == self.me.life => {
                self.founding.promised(from, id);
                self.found(now);
            }
            Word::Found { life, log, snapshot } if self.can_be_founded(from) => {
                let mine = snapshot.conf.voters.contains(&self.kept.id);
                if mine && life == self.kept.promised && snapshot.index == 1 && log != 0 {
                    self.begin(now, log, snapshot);
                }
            }
            Word::Here { .. } | Word::Collect { .. } | Word::Promise { .. } | Word::Found { .. } => {}
            Word::Command { id, origin, hops, body } => self.command(id, origin, hops, body),
            Word::Answer { id, answer } => {
                if self.waiting.remove(&id).is_some() {
                    let answer = postcard::from_bytes(&answer).map_err(|_| Unreadable)?;
                    self.deeds.push(Deed::Answer(id, answer));
                }
            }
            Word::Poll { log, applied, id } => self.polled(from, log, applied, id),
            Word::State { log, applied, state } => self.learn(now, from, log, applied, &state),
        }
        Ok(())
    }
}
