//! What the leader does for the agreed state: compares it with the members that it sees, and says which
//! commands the log still lacks. Keeps how long each has served; a new leader begins anew, which only delays.
use crate::command::{Command, ListedStreamer, Standing};
use crate::rollout::Rollout;
use crate::settings::DisruptionBudgets;
use std::collections::{BTreeMap, BTreeSet};

/// A director is proven back after so long in service: its first second of set-ups.
const PROVEN_BACK_MS: u64 = 1_000;
/// One that is not seen in service is called absent after so long: a restart of the view is no loss.
const ABSENT_AFTER_MS: u64 = 300;
/// A proposal that had no effect is made again after so long.
const REPROPOSE_MS: u64 = 1_000;
/// Proposals of one look at most.
const MAX_COMMANDS_PER_CALL: usize = 32;
/// Streamers in one command at most.
const MAX_STREAMERS_PER_COMMAND: usize = 64;

/// A director as the leader's view has it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Who.
    pub name: String,
    /// Its hall.
    pub hall: String,
    /// Its life.
    pub incarnation: u64,
    /// It is in the fleet and serves.
    pub serving: bool,
    /// It is in the fleet, whatever it does.
    pub in_fleet: bool,
    /// The program's version that it runs.
    pub version: String,
    /// Digest of its settings, hexadecimal.
    pub settings: String,
}

#[derive(Clone, Copy)]
struct ObservedState {
    incarnation: u64,
    serving: bool,
    since_ms: u64,
}

/// The leader's watch.
#[derive(Default)]
pub struct Reconciler {
    observed: BTreeMap<String, ObservedState>,
    proposed: BTreeMap<String, (Standing, u64, u64)>,
    budgets_proposed_ms: u64,
    time_proposed_ms: u64,
    streamers_proposed_ms: u64,
}

impl Reconciler {
    /// A watch that has just begun to lead.
    pub fn new() -> Reconciler {
        Reconciler::default()
    }

    /// The commands that the agreed state lacks. `sure`: the view is worth believing; a leader that hears
    /// few of the others calls nobody absent.
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
            // The rest is looked at the next time: what is not proposed must not be noted as proposed.
            if commands.len() >= MAX_COMMANDS_PER_CALL {
                break;
            }
            commands.extend(self.reconcile_member(now_ms, state, member, view_is_reliable));
        }
        commands
    }

    /// The command that the agreed state lacks of streamers, by the leader's own list.
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
            // A later life that starts, or one that says that it leaves.
            (false, true) => Standing::Absent,
            (false, false) if view_is_reliable && unchanged_for_ms >= ABSENT_AFTER_MS => Standing::Absent,
            _ => return None,
        };
        let incarnation = incarnation.max(known.map_or(0, |d| d.incarnation));
        if known.is_none() && standing == Standing::Absent {
            return None;
        }
        // What one that is gone ran last stays known.
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
