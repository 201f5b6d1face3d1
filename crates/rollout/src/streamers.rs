//! The streamers' part of the replicated state: which are known, which are drained under which permit, and
//! how they return. A streamer's permit is released only once it has been reopened, is in service on the list
//! and has completed its warm-up.
use crate::command::{DrainScope, ListedStreamer, Refusal, Reply};
use crate::rollout::{Rollout, truncated};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// Maximum number of known streamers.
const MAX_STREAMERS: usize = 4_000;
/// Maximum number of names listed in a refusal.
const MAX_NAMES_IN_REFUSAL: usize = 8;

/// Permission for a streamer to be out of service.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct StreamerPermit {
    /// Permit number, which grows with each permit of the fleet; streamers drained together share one.
    pub number: u64,
    /// Time at which it was granted, Unix milliseconds.
    pub at_ms: u64,
    /// Who requested it.
    pub by: String,
    /// Whether it has been out for too long.
    pub overdue: bool,
    /// Time at which it was reopened, Unix milliseconds; `None` while it is closed.
    pub opened_ms: Option<u64>,
}

/// A streamer in the replicated state.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
pub struct Streamer {
    /// Hall of the streamer.
    pub hall: String,
    /// Rack of the streamer.
    pub rack: u32,
    /// Link capacity, kB/s.
    pub kb: u64,
    /// Whether it is in service on the list.
    pub up: bool,
    /// Its permit, held until it is proven to be back in service.
    pub permit: Option<StreamerPermit>,
    /// Time of the latest reopening after a drain, Unix milliseconds; 0 if never drained and reopened.
    pub opened_ms: u64,
}

impl Streamer {
    /// Whether it counts as out of service against the budgets.
    pub fn is_out(&self) -> bool {
        self.permit.is_some() || !self.up
    }

    /// Whether it is drained: no new session may be placed there.
    pub fn is_closed(&self) -> bool {
        self.permit.as_ref().is_some_and(|p| p.opened_ms.is_none())
    }
}

impl Rollout {
    /// Names of the streamers that are out.
    pub fn streamers_out(&self) -> BTreeSet<String> {
        self.streamers.iter().filter(|(_, s)| s.is_out()).map(|(name, _)| name.clone()).collect()
    }

    fn streamers_in_scope(&self, scope: &DrainScope) -> Vec<String> {
        let fits = |name: &String, s: &Streamer| match scope {
            DrainScope::Streamer(one) => name == one,
            DrainScope::Rack(rack) => s.rack == *rack,
            DrainScope::Hall(hall) => s.hall == *hall,
        };
        self.streamers.iter().filter(|(name, s)| fits(name, s)).map(|(name, _)| name.clone()).collect()
    }

    pub(crate) fn apply_listed_streamers(&mut self, seen: Vec<ListedStreamer>, warm_up_ms: u64) {
        self.warm_up_ms = warm_up_ms;
        for entry in seen {
            let known = self.streamers.get(&entry.name);
            if entry.gone && known.is_some_and(|s| s.permit.is_none()) {
                // The platform removed it permanently. If it still has a permit, an operator has to forget
                // it.
                self.streamers.remove(&entry.name);
                continue;
            }
            if known.is_none() && (entry.gone || self.streamers.len() >= MAX_STREAMERS) {
                continue;
            }
            let streamer = self.streamers.entry(entry.name).or_default();
            (streamer.hall, streamer.rack, streamer.kb) = (entry.hall, entry.rack, entry.kb);
            streamer.up = entry.up && !entry.gone;
        }
    }

    pub(crate) fn drain_streamers(&mut self, scope: &DrainScope, by: &str) -> Reply {
        let members = self.streamers_in_scope(scope);
        let to_drain: Vec<String> = members
            .iter()
            .filter(|name| self.streamers.get(*name).is_some_and(|s| !s.is_closed()))
            .cloned()
            .collect();
        let permit_number = |name: &String| self.streamers.get(name)?.permit.as_ref().map(|p| p.number);
        if let (Some(number), true) = (members.first().and_then(permit_number), to_drain.is_empty()) {
            return Reply::Drained { number, names: members }; // repeated requests are idempotent
        }
        if let Err(refusal) = self.check_drain(&members, &to_drain) {
            let message = format!("no drain of {scope} for {}: {refusal}", truncated(by));
            if !matches!(refusal, Refusal::TooSoon(_)) && self.audit.back().is_none_or(|a| a.what != message)
            {
                self.record("", message);
            }
            return Reply::Refused(refusal);
        }
        self.last_permit += 1;
        self.last_drain_ms = self.now_ms;
        let (number, at_ms) = (self.last_permit, self.now_ms);
        for name in &to_drain {
            let permit = StreamerPermit { number, at_ms, by: truncated(by), overdue: false, opened_ms: None };
            self.streamers.entry(name.clone()).and_modify(|s| s.permit = Some(permit));
            self.record(name, format!("drained by permit {number} for {}", truncated(by)));
        }
        Reply::Drained { number, names: to_drain }
    }

    /// Checks whether these streamers may be out as well, all of them or none.
    fn check_drain(&self, members: &[String], to_drain: &[String]) -> Result<(), Refusal> {
        if members.is_empty() {
            return Err(Refusal::Unknown);
        }
        if let Some(why) = &self.halted {
            return Err(Refusal::Halted(why.clone()));
        }
        let budgets = &self.budgets;
        let mut out_after = self.streamers_out();
        out_after.extend(to_drain.iter().cloned());
        let listed =
            |names: &BTreeSet<String>| names.iter().take(MAX_NAMES_IN_REFUSAL).cloned().collect::<Vec<_>>();
        if out_after.len() > budgets.streamers as usize {
            return Err(Refusal::Streamers(
                out_after.len() as u32,
                listed(&self.streamers_out()),
                budgets.streamers,
            ));
        }
        let check_share = |what: String, percent: u32, fits: &dyn Fn(&Streamer) -> bool| {
            let kb = |out: bool| -> u64 {
                let counts =
                    |(name, s): &(&String, &Streamer)| fits(s) && (!out || out_after.contains(*name));
                self.streamers.iter().filter(counts).map(|(_, s)| s.kb).sum()
            };
            let (out, all) = (kb(true), kb(false));
            if u128::from(out) * 100 > u128::from(all) * u128::from(percent) {
                let out = (u128::from(out) * 100 / u128::from(all.max(1))) as u32;
                return Err(Refusal::Share(what, out, percent));
            }
            Ok(())
        };
        check_share("the fleet".into(), budgets.streamers_percent, &|_| true)?;
        let locations: BTreeSet<(&str, u32)> = to_drain
            .iter()
            .filter_map(|n| self.streamers.get(n))
            .map(|s| (s.hall.as_str(), s.rack))
            .collect();
        for (hall, rack) in locations {
            check_share(format!("hall {hall:?}"), budgets.hall_percent, &|s| s.hall == hall)?;
            check_share(format!("rack {rack}"), budgets.rack_percent, &|s| s.rack == rack)?;
        }
        let next_allowed_ms = self.last_drain_ms.saturating_add(budgets.step_ms);
        if self.last_drain_ms > 0 && next_allowed_ms > self.now_ms {
            return Err(Refusal::TooSoon(next_allowed_ms - self.now_ms));
        }
        Ok(())
    }

    pub(crate) fn open_streamers(&mut self, scope: &DrainScope, by: &str) {
        let now = self.now_ms;
        for name in self.streamers_in_scope(scope) {
            let Some(streamer) = self.streamers.get_mut(&name).filter(|s| s.is_closed()) else { continue };
            streamer.opened_ms = now;
            if let Some(permit) = &mut streamer.permit {
                permit.opened_ms = Some(now);
                let number = permit.number;
                self.record(
                    &name,
                    format!("opened, cold, by {}; permit {number} is kept till it is warm", truncated(by)),
                );
            }
        }
    }

    /// Applies the passing of time: releases permits of streamers that are warm, and halts all permits if one
    /// is overdue.
    pub(crate) fn advance_streamer_time(&mut self) {
        let (now, warm_up_ms, max_out_ms) = (self.now_ms, self.warm_up_ms, self.budgets.streamers_longest_ms);
        let (mut released, mut newly_overdue) = (Vec::new(), Vec::new());
        for (name, streamer) in &mut self.streamers {
            let up = streamer.up;
            let Some(permit) = &mut streamer.permit else { continue };
            let warmed = permit.opened_ms.is_some_and(|at| at.saturating_add(warm_up_ms) <= now);
            if up && warmed {
                released.push((name.clone(), permit.number));
            } else if !permit.overdue && permit.at_ms.saturating_add(max_out_ms) <= now {
                permit.overdue = true;
                newly_overdue.push((name.clone(), permit.number));
            }
        }
        for (name, number) in released {
            self.streamers.entry(name.clone()).and_modify(|s| s.permit = None);
            self.record(&name, format!("warm and in service; permit {number} is free"));
        }
        for (name, number) in newly_overdue {
            self.halt(format!("permit {number} of streamer {name} is overdue"));
        }
    }

    /// The next time at which a streamer's state changes without any event, Unix milliseconds.
    pub(crate) fn next_streamer_deadline_ms(&self) -> Option<u64> {
        let next_deadline = |s: &Streamer| {
            let permit = s.permit.as_ref()?;
            let warm = permit.opened_ms.filter(|_| s.up).map(|at| at.saturating_add(self.warm_up_ms));
            let late =
                (!permit.overdue).then(|| permit.at_ms.saturating_add(self.budgets.streamers_longest_ms));
            warm.into_iter().chain(late).min()
        };
        self.streamers.values().filter_map(next_deadline).min()
    }
}
