//! Runs at the leader: compares the replicated state with the observed members and returns the commands that
//! bring it up to date. Tracks how long each member has been in its present state; a new leader starts over,
//! which only causes a delay.
use crate::command::{Command, ListedStreamer, Standing};
use crate::rollout::Rollout;
use crate::settings::DisruptionBudgets;
use std::collections::{BTreeMap, BTreeSet};

/// Time in service after which a director counts as back: its first second of set-ups.
const PROVEN_BACK_MS: u64 = 1_000;
/// Time after which a director not seen in service is reported absent, so that a restart of the membership
/// view does not count as a loss.
const ABSENT_AFTER_MS: u64 = 300;
/// Delay before a proposal that had no effect is repeated.
const REPROPOSE_MS: u64 = 1_000;
/// Maximum number of commands proposed per call.
const MAX_COMMANDS_PER_CALL: usize = 32;
/// Maximum number of streamers in one command.
const MAX_STREAMERS_PER_COMMAND: usize = 64;

/// A director in the leader's membership view.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Name of the director.
    pub name: String,
    /// Hall of the director.
    pub hall: String,
    /// Incarnation in the view.
    pub incarnation: u64,
    /// Whether it is in the fleet and in service.
    pub serving: bool,
    /// Whether it is in the fleet, in service or not.
    pub in_fleet: bool,
    /// Version of the program that it runs.
    pub version: String,
    /// Digest of its settings, in hexadecimal.
    pub settings: String,
}

/// A member's state in the view, and since when it has been so.
#[derive(Clone, Copy)]
struct ObservedState {
    incarnation: u64,
    serving: bool,
    since_ms: u64,
}

/// Compares the observed members with the replicated state, at the leader.
#[derive(Default)]
pub struct Reconciler {
    observed: BTreeMap<String, ObservedState>,
    /// Standing, incarnation and time (Unix milliseconds) of the latest proposal for each director.
    proposed: BTreeMap<String, (Standing, u64, u64)>,
    budgets_proposed_ms: u64,
    time_proposed_ms: u64,
    streamers_proposed_ms: u64,
}

impl Reconciler {
    /// Creates the reconciler of a new leader.
    pub fn new() -> Reconciler {
        Reconciler::default()
    }

    /// Returns the commands that bring the state of the directors up to date. `view_is_reliable` is false if
    /// the leader hears from few of the others; it then reports nobody as absent.
    pub fn reconcile_directors(
        &mut self,
        now_ms: u64,
        state: &Rollout,
        budgets: &DisruptionBudgets,
        members: &[Member],
        view_is_reliable: bool,
    ) -> Vec<Command> {
        let mut commands = Vec::new();
        if state.budgets != *budgets && self.budgets_proposed_ms.saturating_add(REPROPOSE_MS) <= now_ms {
            self.budgets_proposed_ms = now_ms;
            commands.push(Command::Budgets(budgets.clone()));
        }
        let due = state.next_deadline_ms().is_some_and(|at| at <= now_ms);
        if due && self.time_proposed_ms.saturating_add(REPROPOSE_MS) <= now_ms {
            self.time_proposed_ms = now_ms;
            commands.push(Command::Time { now_ms });
        }
        let in_view: BTreeSet<&str> = members.iter().map(|m| m.name.as_str()).collect();
        let missing = state.directors.iter().filter(|(name, _)| !in_view.contains(name.as_str()));
        let missing = missing.map(|(name, known)| Member {
            name: name.clone(),
            hall: known.hall.clone(),
            incarnation: 0,
            serving: false,
            in_fleet: false,
            version: String::new(),
            settings: String::new(),
        });
        for member in members.iter().cloned().chain(missing) {
            // The rest waits for the next call: a command that is not proposed must not be recorded as
            // proposed.
            if commands.len() >= MAX_COMMANDS_PER_CALL {
                break;
            }
            commands.extend(self.reconcile_member(now_ms, state, member, view_is_reliable));
        }
        commands
    }

    /// Returns the command that brings the state of the streamers up to date with the leader's list.
    pub fn reconcile_streamers(
        &mut self,
        now_ms: u64,
        state: &Rollout,
        seen: Vec<ListedStreamer>,
        warm_up_ms: u64,
    ) -> Option<Command> {
        if self.streamers_proposed_ms.saturating_add(REPROPOSE_MS) > now_ms {
            return None;
        }
        let differs = |s: &ListedStreamer| match state.streamers.get(&s.name) {
            Some(known) if s.gone => known.permit.is_none() || known.up,
            Some(known) => {
                (known.hall.as_str(), known.rack, known.kb, known.up) != (&s.hall, s.rack, s.kb, s.up)
            }
            None => !s.gone,
        };
        let seen: Vec<ListedStreamer> =
            seen.into_iter().filter(differs).take(MAX_STREAMERS_PER_COMMAND).collect();
        if seen.is_empty() && (state.warm_up_ms == warm_up_ms || state.streamers.is_empty()) {
            return None;
        }
        self.streamers_proposed_ms = now_ms;
        Some(Command::Streamers { seen, warm_up_ms, now_ms })
    }

    fn reconcile_member(
        &mut self,
        now_ms: u64,
        state: &Rollout,
        member: Member,
        view_is_reliable: bool,
    ) -> Option<Command> {
        let Member { name, hall, incarnation, serving, in_fleet, version, settings } = member;
        let current = ObservedState { incarnation, serving, since_ms: now_ms };
        let seen = self.observed.entry(name.clone()).or_insert(current);
        if (seen.incarnation, seen.serving) != (incarnation, serving) {
            *seen = current;
        }
        let unchanged_for_ms = now_ms.saturating_sub(seen.since_ms);
        let known = state.directors.get(&name);
        let standing = match (serving, in_fleet) {
            (true, _) if unchanged_for_ms >= PROVEN_BACK_MS => Standing::Serving,
            // A later incarnation that is starting, or one that announced that it leaves.
            (false, true) => Standing::Absent,
            (false, false) if view_is_reliable && unchanged_for_ms >= ABSENT_AFTER_MS => Standing::Absent,
            _ => return None,
        };
        let incarnation = incarnation.max(known.map_or(0, |d| d.incarnation));
        if known.is_none() && standing == Standing::Absent {
            return None;
        }
        // For a director that is gone, the version and settings last seen are kept.
        let (version, settings) = match (known, incarnation > 0 && in_fleet) {
            (Some(d), false) => (d.version.clone(), d.settings.clone()),
            _ => (version, settings),
        };
        let already_agreed = |d: &crate::rollout::Director| {
            (d.standing, d.incarnation, &d.hall) == (standing, incarnation, &hall)
                && (&d.version, &d.settings) == (&version, &settings)
        };
        if known.is_some_and(already_agreed) {
            return None;
        }
        let proposed = self.proposed.get(&name).copied();
        let may_propose = |(proposed_standing, proposed_incarnation, at): (Standing, u64, u64)| {
            (proposed_standing, proposed_incarnation) != (standing, incarnation)
                || at.saturating_add(REPROPOSE_MS) <= now_ms
        };
        if !proposed.is_none_or(may_propose) {
            return None;
        }
        self.proposed.insert(name.clone(), (standing, incarnation, now_ms));
        Some(Command::Seen { name, hall, incarnation, standing, version, settings, now_ms })
    }
}
