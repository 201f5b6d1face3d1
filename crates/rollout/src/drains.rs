//! The agreed drains of streamers at one director, behind the core's seam: a drained streamer is closed, and
//! one that was opened again is told to the module as started at that moment, so that all directors together
//! take it for cold from one agreed time on and pace it as the module paces any cold one. Only narrows.
use crate::command::ListedStreamer;
use crate::rollout::Rollout;
use std::cell::RefCell;
use std::collections::{BTreeMap, HashSet};
use std::rc::Rc;
use stonewharf_core::{
    Constraints, Entry, Event, ListScope, Micros, PlacementLimits, Request, Settings, Standing, StreamerId,
};

struct ListedEntry {
    entry: Entry,
    hall: String,
    /// The latest opening that the module was told of, by its own clock.
    opened_at: Micros,
}

/// The drains as one director has them.
pub struct Drains {
    racks: u32,
    weight_kb: f64,
    warm_up_us: Micros,
    listed: BTreeMap<String, ListedEntry>,
    closed: HashSet<StreamerId>,
    /// Names that the agreed state has closed, and when it opened others last.
    closed_names: HashSet<String>,
    opened_us: BTreeMap<String, Micros>,
}

impl Drains {
    /// A director that knows of no drain yet.
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

    /// What was closed when this director last heard of it, in a life before: news that only narrow hold
    /// until what is agreed is heard again.
    pub fn restore_closed(&mut self, names: impl IntoIterator<Item = String>) {
        self.closed_names = names.into_iter().collect();
    }

    /// Names of the streamers that are closed, in order.
    pub fn closed_names(&self) -> Vec<String> {
        let mut names: Vec<String> = self.closed_names.iter().cloned().collect();
        names.sort_unstable();
        names
    }

    /// Takes the list's news, before the module does: `named` gives each entry's name and hall. A streamer
    /// that was opened after it had started is told as started then.
    pub fn apply_list(&mut self, scope: ListScope, named: &[(String, String)], entries: &mut [Entry]) {
        if matches!(scope, ListScope::Full | ListScope::Cached) {
            self.listed.values_mut().for_each(|k| k.entry.standing = Standing::Gone); // unless named below
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

    /// Takes what is agreed; returns what the module has to be told of streamers that were opened.
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

    /// The streamers as this director's list has them, for the leader's watch.
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

    /// How long a streamer is cold, milliseconds.
    pub fn warm_up_ms(&self) -> u64 {
        self.warm_up_us / 1_000
    }

    /// Whether a streamer is closed here.
    pub fn is_closed(&self, streamer: StreamerId) -> bool {
        self.closed.contains(&streamer)
    }
}

/// Drains that a controller asks through the seam, and its host changes by what is agreed.
#[derive(Clone)]
pub struct SharedDrains(pub Rc<RefCell<Drains>>);

impl SharedDrains {
    /// The drains, to be handed to a controller and kept.
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
