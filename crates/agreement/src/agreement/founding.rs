//! How a log comes to be, once. The first of the named voters founds it, when all of them have told that
//! their folders are empty and promised to be founded by no earlier life of the founder. So a voter that
//! comes with an empty folder can never make a second log beside one that lives: some voter of that one would
//! have to be empty, too.
//! A director also comes to take part by being made a voter of a log that is there.
use super::{Agreement, Deed, News};
use crate::agreement::Common;
use crate::entry::{Conf, Hard, SnapshotWord};
use crate::kept::{Change, Kept};
use crate::machine::Machine;
use crate::voter::Voter;
use crate::word::Word;
use std::collections::{BTreeMap, BTreeSet};
use stonewharf_core::Micros;

impl<M: Machine> Agreement<M> {
    /// This folder takes part in no log, and knows of none.
    pub(super) fn unfounded(&self) -> bool {
        self.may_vote && self.kept.log == 0 && !self.formed
    }

    pub(super) fn founds(&self) -> bool {
        self.named.iter().min() == Some(&self.me.name) && self.unfounded()
    }

    pub(super) fn can_be_founded(&self, from: &str) -> bool {
        let founder = self.named.iter().min().is_some_and(|name| name == from);
        founder && self.is_named() && self.unfounded()
    }

    /// Whether it has something to ask the others before it can do its part.
    pub(super) fn seeks(&self) -> bool {
        self.unsure || (self.is_named() && self.unfounded())
    }

    pub(super) fn seek(&mut self) {
        let Kept { id, log, stamp, .. } = self.kept;
        let word = if self.founds() {
            let me = self.me.name.clone();
            self.founding.promised(&me, id);
            Word::Collect { life: self.me.life, id }
        } else {
            Word::Hello { id, log, stamp }
        };
        let mut names: BTreeSet<String> = self.named.iter().cloned().collect();
        names.extend(self.common.roll.values().cloned());
        names.iter().for_each(|name| self.say(name, &word));
    }

    pub(super) fn found(&mut self, now: Micros) {
        let Some(roll) = self.founding.complete(&self.named) else { return };
        let common = Common { roll, machine: self.machine.snapshot(), ..Common::default() };
        let state = postcard::to_allocvec(&common).unwrap_or_default();
        let snapshot = first(&common.roll, state);
        let (life, log) = (self.me.life, self.kept.id);
        let word = Word::Found { life, log, snapshot: snapshot.clone() };
        let others: Vec<String> = common.roll.values().cloned().collect();
        self.begin(now, log, snapshot);
        others.iter().for_each(|name| self.say_stored(name, word.clone()));
    }

    /// Takes part in a log that is new to this folder.
    pub(super) fn begin(&mut self, now: Micros, log: u64, snapshot: SnapshotWord) {
        let term = snapshot.term;
        let mut changes = vec![Change::Log(log)];
        if snapshot.index > 0 {
            let hard = Hard { term, vote: 0, commit: snapshot.index };
            changes.extend([Change::Hard(hard), Change::Snapshot(snapshot)]);
        }
        self.store(changes);
        self.deeds.push(Deed::Tell(News::TakesPart(log)));
        self.take_part(now, false);
    }

    pub(super) fn take_part(&mut self, now: Micros, unsure: bool) {
        let Some(voter) = Voter::new(&self.kept, self.durable, now) else {
            return self.doubt(News::Lacks);
        };
        self.voter = Some(voter);
        self.confirmed.clear();
        if self.kept.snapshot.index > 0 {
            let snapshot = self.kept.snapshot.clone();
            self.restore(&snapshot);
        }
        self.unsure = unsure && self.common.roll.len() != 1;
        self.seek_at = now;
        self.pump();
    }
}

/// What the founder gathers.
#[derive(Debug, Default)]
pub(super) struct Founding {
    /// The folders that promised, by name.
    promised: BTreeMap<String, u64>,
}

impl Founding {
    /// A promise came in.
    pub fn promised(&mut self, name: &str, id: u64) {
        self.promised.insert(name.to_owned(), id);
    }

    /// Who votes, once all have promised.
    pub fn complete(&self, voters: &[String]) -> Option<BTreeMap<u64, String>> {
        let folder = |name: &String| Some((*self.promised.get(name)?, name.clone()));
        let roll: Option<BTreeMap<u64, String>> = voters.iter().map(folder).collect();
        roll.filter(|roll| roll.len() == voters.len())
    }
}

/// The state with which a log begins: its first entry, as agreed by all.
fn first(roll: &BTreeMap<u64, String>, data: Vec<u8>) -> SnapshotWord {
    let conf = Conf { voters: roll.keys().copied().collect(), learners: vec![] };
    SnapshotWord { index: 1, term: 1, conf, data }
}
