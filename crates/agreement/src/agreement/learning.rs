//! Those that do not vote ask voters in turn for what is agreed, and voters answer with the state.
use super::{Agreement, Common, POLL_US, SEEK_US};
use crate::entry::SnapshotWord;
use crate::machine::Machine;
use crate::word::Word;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use stonewharf_core::Micros;

impl<M: Machine> Agreement<M> {
    pub(super) fn some_voter(&mut self) -> Option<String> {
        let mut names: BTreeSet<String> = self.voters().into_iter().collect();
        if names.is_empty() {
            names = self.named.iter().cloned().collect();
        }
        names.remove(&self.me.name);
        // Each begins at another place, by its life's number, and goes round.
        let at = (self.me.life.wrapping_add(self.polls) % names.len().max(1) as u64) as usize;
        self.polls += 1;
        names.into_iter().nth(at)
    }

    pub(super) fn poll(&mut self, now: Micros) {
        // A fifth of it by the life's number: learners must not ask in step.
        self.poll_at = now.saturating_add(POLL_US - self.me.life % (POLL_US / 5));
        let (log, applied) = (self.kept.log, self.applied);
        let id = if self.may_vote { self.kept.id } else { 0 };
        if let Some(to) = self.some_voter() {
            self.say(&to, &Word::Poll { log, applied, id });
        }
    }

    pub(super) fn polled(&mut self, from: &str, log: u64, applied: u64, id: u64) {
        let voted = self.common.roll.iter().find(|(_, name)| *name == from).map(|(id, _)| *id);
        if id != 0 && voted != Some(id) {
            self.folders.insert(from.to_owned(), id);
        }
        if self.voter.is_none() || self.unsure || (log == self.kept.log && applied >= self.applied) {
            return;
        }
        // Answers of old commands are of use to voters alone.
        let common = Common { answers: BTreeMap::new(), order: VecDeque::new(), ..self.common.clone() };
        let common = Common { machine: self.machine.snapshot(), ..common };
        let data = postcard::to_allocvec(&common).unwrap_or_default();
        let state = postcard::to_allocvec(&(self.leader(), data)).unwrap_or_default();
        let (log, applied) = (self.kept.log, self.applied);
        self.say(from, &Word::State { log, applied, state });
    }

    pub(super) fn learn(&mut self, now: Micros, from: &str, log: u64, applied: u64, state: &[u8]) {
        let other = self.kept.log != 0 && self.kept.log != log;
        if other || applied <= self.applied {
            return;
        }
        let Ok((leader, data)) = postcard::from_bytes::<(Option<String>, Vec<u8>)>(state) else { return };
        let known = self.common.roll.values().any(|name| name == from);
        if !known && !self.named.iter().any(|name| name == from) {
            return; // nobody that votes
        }
        if self.voter.is_some() {
            let out = |common: Common| !common.roll.contains_key(&self.kept.id);
            if self.unsure || !postcard::from_bytes(&data).is_ok_and(out) {
                return;
            }
            self.step_out(); // removed, and not told so
        }
        self.formed = true;
        self.restore(&SnapshotWord { index: applied, data, ..SnapshotWord::default() });
        self.led_by = leader;
        self.tell_leader();
        self.poll_at = self.poll_at.max(now.saturating_add(SEEK_US));
    }
}
