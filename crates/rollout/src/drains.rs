//! The drains of the replicated state at one director, as placement limits for the core. A drained streamer
//! is closed; a reopened one is reported to the decision module as started at the time of reopening, so that
//! all directors treat it as cold from the same time on and pace it like any cold streamer. Drains only
//! restrict placement.
use crate::command::ListedStreamer;
use crate::rollout::Rollout;
use std::cell::RefCell;
use std::collections::{BTreeMap, HashSet};
use std::rc::Rc;
use stonewharf_core::{
    Constraints, Entry, Event, ListScope, Micros, PlacementLimits, Request, Settings, Standing, StreamerId,
};

/// An entry of this director's list of streamers.
struct ListedEntry {
    entry: Entry,
    hall: String,
    /// Time of the latest reopening reported to the decision module, by its own clock.
    opened_at: Micros,
}

/// The drains known to one director.
pub struct Drains {
    racks: u32,
    weight_kb: f64,
    warm_up_us: Micros,
    listed: BTreeMap<String, ListedEntry>,
    closed: HashSet<StreamerId>,
    /// Names that the replicated state has closed.
    closed_names: HashSet<String>,
    /// Time of the latest reopening of each streamer that was drained before, by name.
    opened_us: BTreeMap<String, Micros>,
}

impl Drains {
    /// Creates the state of a director that knows of no drain yet.
    pub fn new(settings: &Settings) -> Drains {
        Drains {
            racks: settings.racks.max(1),
            weight_kb: settings.weight_kb,
            warm_up_us: settings.warm_up_us,
            listed: BTreeMap::new(),
            closed: HashSet::new(),
            closed_names: HashSet::new(),
            opened_us: BTreeMap::new(),
        }
    }

    /// Restores the drains that an earlier incarnation last knew of. As they only restrict placement, they
    /// hold until the replicated state is received again.
    pub fn restore_closed(&mut self, names: impl IntoIterator<Item = String>) {
        self.closed_names = names.into_iter().collect();
    }

    /// Names of the closed streamers, sorted.
    pub fn closed_names(&self) -> Vec<String> {
        let mut names: Vec<String> = self.closed_names.iter().cloned().collect();
        names.sort_unstable();
        names
    }

    /// Applies an update of the list before the decision module receives it; `named` gives each entry's name
    /// and hall. The start time of a streamer that was reopened after its start is set to the time of
    /// reopening.
    pub fn apply_list(&mut self, scope: ListScope, named: &[(String, String)], entries: &mut [Entry]) {
        if matches!(scope, ListScope::Full | ListScope::Cached) {
            self.listed.values_mut().for_each(|k| k.entry.standing = Standing::Gone); // unless listed below
        }
        for (entry, (name, hall)) in entries.iter_mut().zip(named) {
            let opened_at = self.opened_us.get(name).copied().unwrap_or(0);
            if opened_at > 0 {
                entry.started_at = entry.started_at.max(Some(opened_at));
            }
            if self.closed_names.contains(name) {
                self.closed.insert(entry.streamer);
            }
            self.listed
                .insert(name.clone(), ListedEntry { entry: entry.clone(), hall: hall.clone(), opened_at });
        }
    }

    /// Applies the replicated state; returns the entries of reopened streamers, to be passed to the decision
    /// module.
    pub fn apply_agreed(&mut self, state: &Rollout) -> Vec<Entry> {
        let closed = state.streamers.iter().filter(|(_, s)| s.is_closed()).map(|(name, _)| name.clone());
        self.closed_names = closed.collect();
        let opened = state.streamers.iter().filter(|(_, s)| s.opened_ms > 0);
        self.opened_us = opened.map(|(name, s)| (name.clone(), s.opened_ms.saturating_mul(1_000))).collect();
        let id_of = |name: &String| self.listed.get(name).map(|k| k.entry.streamer);
        self.closed = self.closed_names.iter().filter_map(id_of).collect();
        let mut restarted = Vec::new();
        for (name, at) in &self.opened_us {
            if let Some(listed) = self.listed.get_mut(name).filter(|k| k.opened_at < *at) {
                listed.opened_at = *at;
                listed.entry.started_at = listed.entry.started_at.max(Some(*at));
                restarted.push(listed.entry.clone());
            }
        }
        restarted
    }

    /// The streamers on this director's list, for
    /// [`Reconciler::reconcile_streamers`](crate::Reconciler::reconcile_streamers).
    pub fn listed_streamers(&self) -> Vec<ListedStreamer> {
        let to_listed = |(name, listed): (&String, &ListedEntry)| ListedStreamer {
            name: name.clone(),
            hall: listed.hall.clone(),
            rack: listed.entry.cell % self.racks,
            kb: (listed.entry.weight * self.weight_kb).max(0.0) as u64,
            up: listed.entry.standing == Standing::Up,
            gone: listed.entry.standing == Standing::Gone,
        };
        self.listed.iter().map(to_listed).collect()
    }

    /// Duration of a streamer's warm-up, milliseconds.
    pub fn warm_up_ms(&self) -> u64 {
        self.warm_up_us / 1_000
    }

    /// Whether a streamer is closed for new sessions.
    pub fn is_closed(&self, streamer: StreamerId) -> bool {
        self.closed.contains(&streamer)
    }
}

/// Drains shared between a controller, which consults them as placement limits, and its host, which updates
/// them from the replicated state.
#[derive(Clone)]
pub struct SharedDrains(pub Rc<RefCell<Drains>>);

impl SharedDrains {
    /// Wraps the drains for sharing with a controller.
    pub fn new(drains: Drains) -> Self {
        SharedDrains(Rc::new(RefCell::new(drains)))
    }
}

impl PlacementLimits for SharedDrains {
    fn observe_event(&mut self, _: Micros, _: &Event, _: &mut dyn FnMut(String)) {}

    fn attempt_sent(&mut self, _: Micros, _: &Request, _: StreamerId, _: usize) {}

    fn constraints(&self, _: Micros, _: &Request, streamer: StreamerId) -> Constraints {
        Constraints { allowed: !self.0.borrow().is_closed(streamer), ..Constraints::NONE }
    }
}
