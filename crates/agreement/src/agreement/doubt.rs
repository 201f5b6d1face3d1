//! Whether this folder may vote as what it is: asked of the others at each start, and answered against it for
//! good where one of them knows more of it than it does itself.
use super::{Agreement, Deed, News, STAMPS_US};
use crate::kept::Change;
use crate::machine::Machine;
use stonewharf_core::Micros;

impl<M: Machine> Agreement<M> {
    /// Another tells the latest stamp that it heard of this folder. A folder that takes part in no log, and
    /// hears of one, was lost, was not there yet when it was founded, or is a copy from before.
    pub(super) fn confirmed(&mut self, from: &str, log: u64, stamp: u64) {
        if log == 0 || (self.kept.log != 0 && (log != self.kept.log || !self.unsure)) {
            return;
        }
        if stamp > self.kept.stamp {
            return self.doubt(News::Older(stamp - self.kept.stamp));
        }
        let votes = self.common.roll.values().any(|name| name == from);
        if votes || self.named.iter().any(|name| name == from) {
            self.confirmed.insert(from.to_owned());
        }
        self.formed |= self.kept.log == 0;
        if self.unsure && self.sure() {
            self.unsure = false;
            self.pump();
        }
    }

    /// With those that confirmed it they are most of the voters: without them it could agree on nothing
    /// anyway.
    pub(super) fn sure(&self) -> bool {
        let voters = if self.common.roll.is_empty() { self.named.len() } else { self.common.roll.len() };
        self.confirmed.len() >= voters / 2
    }

    /// This folder must not vote any more as what it was: it begins anew, as another that learns.
    pub(super) fn doubt(&mut self, news: News) {
        self.deeds.push(Deed::Tell(news));
        self.step_out();
    }

    pub(super) fn step_out(&mut self) {
        self.voter = None;
        (self.unsure, self.formed) = (false, true);
        self.after.clear();
        self.confirmed.clear();
        let fresh = self.fresh();
        self.store(vec![Change::Begin(fresh)]);
    }

    /// The number of another folder: none that was used before.
    pub(super) fn fresh(&mut self) -> u64 {
        let fresh = self.me.fresh;
        self.me.fresh = fresh.wrapping_mul(0x9e37_79b9_7f4a_7c15).wrapping_add(1).max(1);
        fresh
    }

    pub(super) fn note(&mut self, now: Micros, id: u64, stamp: u64) {
        if id != self.kept.id && self.common.roll.contains_key(&id) {
            let known = self.kept.heard.entry(id).or_default();
            if stamp > *known {
                *known = stamp;
                self.stamps_at.get_or_insert(now.saturating_add(STAMPS_US));
            }
        }
    }
}
