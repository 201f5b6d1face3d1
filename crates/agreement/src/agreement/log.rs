//! The log at one director: what comes of it and goes to it, what is applied, what is said.
use super::{ANSWERS_KEPT, Agreement, Answer, Common, Deed, Entry, News, Order, Voter};
use crate::entry::{EntryKind, EntryWord, SnapshotWord};
use crate::kept::{Batch, Change};
use crate::machine::Machine;
use crate::word::{RaftWord, Word};
use raft::eraftpb::MessageType;
use std::collections::BTreeMap;
use stonewharf_core::Micros;

impl<M: Machine> Agreement<M> {
    pub(super) fn raft(
        &mut self,
        now: Micros,
        from: &str,
        log: u64,
        stamp: u64,
        heard: BTreeMap<u64, u64>,
        message: &RaftWord,
    ) {
        if message.to != self.kept.id || !self.may_vote || log == 0 {
            return;
        }
        if let Some(stamp) = heard.get(&self.kept.id).filter(|stamp| **stamp > self.kept.stamp) {
            return self.doubt(News::Older(stamp - self.kept.stamp));
        }
        if self.kept.log == 0 {
            // Made a voter, or founded without having heard of it: it asks first, as after a start.
            if !self.sure() {
                (self.unsure, self.formed) = (true, true);
                return;
            }
            self.begin(now, log, SnapshotWord::default());
        }
        if log != self.kept.log {
            return;
        }
        if self.common.roll.get(&message.from).is_some_and(|name| name != from) {
            return; // a number under another's name
        }
        self.note(now, message.from, stamp);
        for (id, stamp) in heard {
            self.note(now, id, stamp);
        }
        if self.unsure {
            return;
        }
        let Some(voter) = &mut self.voter else { return };
        if !voter.hear(message) {
            return self.doubt(News::Lacks);
        }
        self.pump();
    }

    pub(super) fn pump(&mut self) {
        if self.unsure {
            return;
        }
        while let Some(voter) = &mut self.voter {
            let Some(pumped) = voter.pump(self.kept.stamp + 1) else { break };
            if !pumped.changes.is_empty() {
                let mut changes = pumped.changes;
                if self.stamps_at.take().is_some() {
                    changes.push(Change::Heard(self.kept.heard.clone()));
                }
                self.store(changes);
            }
            for message in pumped.send {
                self.send(message);
            }
            if let Some(snapshot) = pumped.restored {
                self.restore(&snapshot);
            }
            for entry in pumped.agreed {
                self.agreed(entry);
            }
            let asked = |(context, index): (Vec<u8>, u64)| {
                Some((u128::from_le_bytes(context.try_into().ok()?), index))
            };
            self.reads.extend(pumped.reads.into_iter().filter_map(asked));
        }
        for (id, _) in self.reads.extract_if(.., |(_, index)| *index <= self.applied).collect::<Vec<_>>() {
            let confirms = self.waiting.get(&id).is_some_and(|w| w.order == Order::Confirm);
            let state = if confirms { Vec::new() } else { self.machine.snapshot() };
            self.answer(id, &Answer::Done(state));
        }
        if self.voter.as_ref().is_some_and(Voter::full) {
            let state = self.state();
            let change = self.voter.as_mut().and_then(|voter| voter.compact(state));
            change.into_iter().for_each(|change| self.store(vec![change]));
        }
        self.tell_leader();
    }

    pub(super) fn store(&mut self, changes: Vec<Change>) {
        let batch = Batch { stamp: self.kept.stamp + 1, changes };
        self.kept.take(&batch);
        self.deeds.push(Deed::Store(batch));
    }

    pub(super) fn send(&mut self, message: RaftWord) {
        let Some(name) = self.name_of(message.to) else { return };
        // Heartbeats of the leader spread what it heard of all; so an older copy is found out by any of them.
        let spread = message.kind == MessageType::MsgHeartbeat as u8;
        let heard = if spread { self.kept.heard.clone() } else { BTreeMap::new() };
        let (log, stamp) = (self.kept.log, self.kept.stamp);
        self.say(&name, &Word::Raft { log, stamp, heard, message });
    }

    pub(super) fn name_of(&self, id: u64) -> Option<String> {
        let known = self.common.roll.get(&id).cloned();
        known.or_else(|| self.folders.iter().find(|(_, folder)| **folder == id).map(|(name, _)| name.clone()))
    }

    pub(super) fn agreed(&mut self, entry: EntryWord) {
        self.applied = entry.index;
        self.changed += 1;
        match entry.kind {
            EntryKind::Command(data) if data.is_empty() => {}
            EntryKind::Command(data) => {
                let Ok(Entry { id, body }) = postcard::from_bytes(&data) else { return };
                let answer = match self.common.answers.get(&id) {
                    Some(answer) => answer.clone(),
                    None => {
                        let answer = self.machine.apply(&body);
                        self.common.answers.insert(id, answer.clone());
                        self.common.order.push_back(id);
                        while self.common.order.len() > ANSWERS_KEPT {
                            self.common.order.pop_front().map(|old| self.common.answers.remove(&old));
                        }
                        answer
                    }
                };
                self.answer(id, &Answer::Done(answer));
            }
            EntryKind::Voters { change, id, name } => {
                match change {
                    1 => {
                        self.common.roll.remove(&id);
                        self.common.learners.remove(&id);
                        self.kept.heard.remove(&id);
                    }
                    change => {
                        self.common.roll.insert(id, name);
                        if change == 0 {
                            self.common.learners.remove(&id);
                        } else {
                            self.common.learners.insert(id);
                        }
                    }
                }
                let voters = self.voters();
                self.deeds.push(Deed::Tell(News::Voters(voters)));
                if change == 1 && id == self.kept.id {
                    self.step_out();
                }
            }
        }
    }

    pub(super) fn state(&self) -> Vec<u8> {
        let common = Common { machine: self.machine.snapshot(), ..self.common.clone() };
        postcard::to_allocvec(&common).unwrap_or_default()
    }

    pub(super) fn restore(&mut self, snapshot: &SnapshotWord) {
        let Ok(common) = postcard::from_bytes::<Common>(&snapshot.data) else { return };
        if self.machine.restore(&common.machine) {
            self.common = Common { machine: Vec::new(), ..common };
            self.applied = snapshot.index;
            self.changed += 1;
        }
    }

    pub(super) fn tell_leader(&mut self) {
        let now = (self.leader(), self.voter.as_ref().map_or(0, Voter::term));
        if now.0 != self.told.0 {
            self.told = now.clone();
            self.deeds.push(Deed::Tell(News::Leader(now.0, now.1)));
        }
    }

    /// Says something as soon as all that was to be stored so far is.
    pub(super) fn say_stored(&mut self, name: &str, word: Word) {
        if self.kept.stamp <= self.durable {
            return self.say(name, &word);
        }
        self.after.push_back((self.kept.stamp, name.to_owned(), word));
    }

    pub(super) fn say(&mut self, name: &str, word: &Word) {
        if name != self.me.name {
            self.deeds.push(Deed::Send(name.to_owned(), word.write()));
        }
    }
}
