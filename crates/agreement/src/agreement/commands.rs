//! Commands on their way: carried to the leader until they are answered, proposed there, answered once.
use super::{Agreement, Answer, Deed, Entry, GIVE_UP_US, HOPS_MOST, Order, RETRY_US};
use crate::machine::Machine;
use crate::word::Word;
use stonewharf_core::Micros;

impl<M: Machine> Agreement<M> {
    pub(super) fn try_order(&mut self, now: Micros, id: u128) {
        let Some(waiting) = self.waiting.get_mut(&id) else { return };
        if waiting.since.saturating_add(GIVE_UP_US) <= now {
            self.waiting.remove(&id);
            self.deeds.push(Deed::Answer(id, Answer::Unanswered));
            return;
        }
        let first = waiting.since == now;
        waiting.retry_at = now.saturating_add(RETRY_US);
        let body = postcard::to_allocvec(&waiting.order).unwrap_or_default();
        let origin = self.me.name.clone();
        if self.voter.is_some() && !self.unsure {
            return self.command(id, origin, 0, body);
        }
        // Whom it takes for the leader may be gone: then another knows better.
        let first = self.leader().filter(|_| first);
        let to = first.or_else(|| self.some_voter());
        let word = Word::Command { id, origin, hops: 0, body };
        to.into_iter().for_each(|to| self.say(&to, &word));
    }

    pub(super) fn command(&mut self, id: u128, origin: String, hops: u8, body: Vec<u8>) {
        if self.leads() {
            let Ok(order) = postcard::from_bytes::<Order>(&body) else { return };
            self.origins.insert(id, origin);
            while self.origins.len() > super::ANSWERS_KEPT {
                self.origins.pop_first();
            }
            match order {
                Order::Act(body) => {
                    let entry = postcard::to_allocvec(&Entry { id, body }).unwrap_or_default();
                    // Not taken: it comes again.
                    let _ = self.voter.as_mut().is_some_and(|voter| voter.propose(entry));
                }
                Order::Read | Order::Confirm => {
                    self.voter.iter_mut().for_each(|voter| voter.read(id.to_le_bytes().to_vec()));
                }
                Order::AddVoter(name) => self.change_voters(id, &name, true),
                Order::RemoveVoter(name) => self.change_voters(id, &name, false),
            }
            return self.pump();
        }
        let Some(leader) = self.leader().filter(|name| *name != self.me.name) else { return };
        if hops < HOPS_MOST {
            self.say(&leader, &Word::Command { id, origin, hops: hops + 1, body });
        }
    }

    pub(super) fn change_voters(&mut self, order: u128, name: &str, add: bool) {
        let known = self.common.roll.iter().find(|(_, n)| *n == name).map(|(id, _)| *id);
        let folder = self.folders.get(name).copied();
        let learns = known.is_some_and(|id| self.common.learners.contains(&id));
        let refused = |why: String| Answer::Refused(why);
        let (change, id) = match (add, known, folder) {
            (true, Some(_), _) if learns => return, // on its way; answered when it votes
            (true, Some(id), folder) if folder.is_none_or(|f| f == id) => {
                return self.answer(order, &Answer::Done(Vec::new()));
            }
            (true, Some(_), _) => {
                let why = format!("{name} has lost its folder: remove it as a voter first, then add it");
                return self.answer(order, &refused(why));
            }
            (true, None, Some(folder)) => (2, folder),
            (true, None, None) => {
                let why =
                    format!("{name} has not been heard of as one that could vote: is it on, with a folder?");
                return self.answer(order, &refused(why));
            }
            (false, None, _) => return self.answer(order, &Answer::Done(Vec::new())),
            (false, Some(_), _) if !learns && self.voters().len() <= 1 => {
                return self.answer(order, &refused(format!("{name} is the last voter")));
            }
            (false, Some(id), _) => (1, id),
        };
        // Not taken: another change is under way, and this comes again.
        let _ = self.voter.as_mut().is_some_and(|voter| voter.propose_change(change, id, name));
    }

    /// One that learns in order to vote, and has all, votes from now on.
    pub(super) fn promote(&mut self) {
        if !self.leads() {
            return;
        }
        for id in self.common.learners.clone() {
            let Some(name) = self.common.roll.get(&id).cloned() else { continue };
            let Some(voter) = &mut self.voter else { return };
            if voter.up_to_date(id) && voter.propose_change(0, id, &name) {
                return;
            }
        }
    }

    pub(super) fn answer(&mut self, id: u128, answer: &Answer) {
        if let Some(origin) = self.origins.remove(&id).filter(|origin| *origin != self.me.name) {
            let answer = postcard::to_allocvec(answer).unwrap_or_default();
            self.say(&origin, &Word::Answer { id, answer });
        }
        if self.waiting.remove(&id).is_some() {
            self.deeds.push(Deed::Answer(id, answer.clone()));
        }
    }
}
