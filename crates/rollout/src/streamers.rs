//! The streamers' part of the agreed state: which are known, which are drained by which permit, and the way
//! back. A drained one is free again only when it was opened, is in service on the list and past its warm-up.
use crate::command::{DrainScope, ListedStreamer, Refusal, Reply};
use crate::rollout::{Rollout, clipped};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// Streamers known at most.
const STREAMERS_MOST: usize = 4_000;
/// Names that a refusal tells at most.
const TOLD_MOST: usize = 8;

/// Leave to be out for a streamer.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct StreamerPermit {
    /// Grows with each permit of the fleet; streamers drained together share it.
    pub number: u64,
    /// When it was given, Unix milliseconds.
    pub at_ms: u64,
    /// Who asked.
    pub by: String,
    /// It was out for too long.
    pub overdue: bool,
    /// When it was opened again; none: it is closed.
    pub opened_ms: Option<u64>,
}

/// A streamer, as agreed.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
pub struct Streamer {
    /// Its hall.
    pub hall: String,
    /// Its rack.
    pub rack: u32,
    /// Its link, kB a second.
    pub kb: u64,
    /// It is in service on the list.
    pub up: bool,
    /// Its permit, until it is proven back.
    pub permit: Option<StreamerPermit>,
    /// When it was opened last after a drain, Unix milliseconds; 0: never.
    pub opened_ms: u64,
}

impl Streamer {
    /// Whether it counts against the budgets.
    pub fn is_out(&self) -> bool {
        self.permit.is_some() || !self.up
    }

    /// Whether no new session may go there.
    pub fn is_closed(&self) -> bool {
        self.permit.as_ref().is_some_and(|p| p.opened_ms.is_none())
    }
}

impl Rollout {
    /// Names of the streamers that are out.
    pub fn streamers_out(&self) -> BTreeSet<String> {
        self.streamers.iter().filter(|(_, s)| s.is_out()).map(|(name, _)| name.clone()).collect()
    }

    fn members(&self, scope: &DrainScope) -> Vec<String> {
        let fits = |name: &String, s: &Streamer| match scope {
            DrainScope::Streamer(one) => name == one,
            DrainScope::Rack(rack) => s.rack == *rack,
            DrainScope::Hall(hall) => s.hall == *hall,
        };
        self.streamers.iter().filter(|(name, s)| fits(name, s)).map(|(name, _)| name.clone()).collect()
    }

    pub(crate) fn streamers_seen(&mut self, seen: Vec<ListedStreamer>, warm_up_ms: u64) {
        self.warm_up_ms = warm_up_ms;
        for one in seen {
            let known = self.streamers.get(&one.name);
            if one.gone && known.is_some_and(|s| s.permit.is_none()) {
                // The platform took it out for good; its permit, where it has one, wants a person's word.
                self.streamers.remove(&one.name);
                continue;
            }
            if known.is_none() && (one.gone || self.streamers.len() >= STREAMERS_MOST) {
                continue;
            }
            let streamer = self.streamers.entry(one.name).or_default();
            (streamer.hall, streamer.rack, streamer.kb) = (one.hall, one.rack, one.kb);
            streamer.up = one.up && !one.gone;
        }
    }

    pub(crate) fn drain(&mut self, scope: &DrainScope, by: &str) -> Reply {
        let members = self.members(scope);
        let fresh: Vec<String> = members
            .iter()
            .filter(|name| self.streamers.get(*name).is_some_and(|s| !s.is_closed()))
            .cloned()
            .collect();
        let held = |name: &String| self.streamers.get(name)?.permit.as_ref().map(|p| p.number);
        if let (Some(number), true) = (members.first().and_then(held), fresh.is_empty()) {
            return Reply::Drained { number, names: members }; // asking again is safe
        }
        if let Err(refusal) = self.may_drain(&members, &fresh) {
            let told = format!("no drain of {scope} for {}: {refusal}", clipped(by));
            if !matches!(refusal, Refusal::TooSoon(_)) && self.audit.back().is_none_or(|a| a.what != told) {
                self.record("", told);
            }
            return Reply::Refused(refusal);
        }
        self.last += 1;
        self.last_streamers_ms = self.now_ms;
        let (number, at_ms) = (self.last, self.now_ms);
        for name in &fresh {
            let permit = StreamerPermit { number, at_ms, by: clipped(by), overdue: false, opened_ms: None };
            self.streamers.entry(name.clone()).and_modify(|s| s.permit = Some(permit));
            self.record(name, format!("drained by permit {number} for {}", clipped(by)));
        }
        Reply::Drained { number, names: fresh }
    }

    /// Whether these may be out as well. All of them or none.
    fn may_drain(&self, members: &[String], fresh: &[String]) -> Result<(), Refusal> {
        if members.is_empty() {
            return Err(Refusal::Unknown);
        }
        if let Some(why) = &self.halted {
            return Err(Refusal::Halted(why.clone()));
        }
        let budgets = &self.budgets;
        let mut after = self.streamers_out();
        after.extend(fresh.iter().cloned());
        let told = |names: &BTreeSet<String>| names.iter().take(TOLD_MOST).cloned().collect::<Vec<_>>();
        if after.len() > budgets.streamers as usize {
            return Err(Refusal::Streamers(
                after.len() as u32,
                told(&self.streamers_out()),
                budgets.streamers,
            ));
        }
        let of = |what: String, percent: u32, fits: &dyn Fn(&Streamer) -> bool| {
            let kb = |out: bool| -> u64 {
                let counts = |(name, s): &(&String, &Streamer)| fits(s) && (!out || after.contains(*name));
                self.streamers.iter().filter(counts).map(|(_, s)| s.kb).sum()
            };
            let (out, all) = (kb(true), kb(false));
            if u128::from(out) * 100 > u128::from(all) * u128::from(percent) {
                let out = (u128::from(out) * 100 / u128::from(all.max(1))) as u32;
                return Err(Refusal::Share(what, out, percent));
            }
            Ok(())
        };
        of("the fleet".into(), budgets.streamers_percent, &|_| true)?;
        let places: BTreeSet<(&str, u32)> =
            fresh.iter().filter_map(|n| self.streamers.get(n)).map(|s| (s.hall.as_str(), s.rack)).collect();
        for (hall, rack) in places {
            of(format!("hall {hall:?}"), budgets.hall_percent, &|s| s.hall == hall)?;
            of(format!("rack {rack}"), budgets.rack_percent, &|s| s.rack == rack)?;
        }
        let next = self.last_streamers_ms.saturating_add(budgets.step_ms);
        if self.last_streamers_ms > 0 && next > self.now_ms {
            return Err(Refusal::TooSoon(next - self.now_ms));
        }
        Ok(())
    }

    pub(crate) fn open(&mut self, scope: &DrainScope, by: &str) {
        let now = self.now_ms;
        for name in self.members(scope) {
            let Some(streamer) = self.streamers.get_mut(&name).filter(|s| s.is_closed()) else { continue };
            streamer.opened_ms = now;
            if let Some(permit) = &mut streamer.permit {
                permit.opened_ms = Some(now);
                let number = permit.number;
                self.record(
                    &name,
                    format!("opened, cold, by {}; permit {number} is kept till it is warm", clipped(by)),
                );
            }
        }
    }

    /// What time alone brings: those that are warm are free, those that are late halt all.
    pub(crate) fn streamers_time(&mut self) {
        let (now, warm, longest) = (self.now_ms, self.warm_up_ms, self.budgets.streamers_longest_ms);
        let (mut free, mut late) = (Vec::new(), Vec::new());
        for (name, streamer) in &mut self.streamers {
            let up = streamer.up;
            let Some(permit) = &mut streamer.permit else { continue };
            let warmed = permit.opened_ms.is_some_and(|at| at.saturating_add(warm) <= now);
            if up && warmed {
                free.push((name.clone(), permit.number));
            } else if !permit.overdue && permit.at_ms.saturating_add(longest) <= now {
                permit.overdue = true;
                late.push((name.clone(), permit.number));
            }
        }
        for (name, number) in free {
            self.streamers.entry(name.clone()).and_modify(|s| s.permit = None);
            self.record(&name, format!("warm and in service; permit {number} is free"));
        }
        for (name, number) in late {
            self.halt(format!("permit {number} of streamer {name} is overdue"));
        }
    }

    /// When something comes to pass for a streamer by time alone, Unix milliseconds.
    pub(crate) fn next_streamer_deadline_ms(&self) -> Option<u64> {
        let of = |s: &Streamer| {
            let permit = s.permit.as_ref()?;
            let warm = permit.opened_ms.filter(|_| s.up).map(|at| at.saturating_add(self.warm_up_ms));
            let late =
                (!permit.overdue).then(|| permit.at_ms.saturating_add(self.budgets.streamers_longest_ms));
            warm.into_iter().chain(late).min()
        };
        self.streamers.values().filter_map(of).min()
    }
}
