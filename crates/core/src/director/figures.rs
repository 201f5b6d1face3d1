//! The figures of a director: counts and levels by name, and the text that shows them. It owns the places;
//! who counts what is the counters' matter, and who may read them the transport's.
//!
//! The places are those of the `metrics` family of libraries, since its registry can be walked and so shown
//! in any form; `prometheus-client` writes the OpenMetrics text alone, which is not what is asked for here.
use metrics::Key;
use metrics_util::registry::{AtomicStorage, Registry};
use std::collections::BTreeMap;
use std::fmt::Write;
use std::ops::AddAssign;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

/// What stands before every name.
const PREFIX: &str = "svc";

/// One count, from 0. A clone counts in the same place.
#[derive(Clone, Debug, Default)]
pub struct Count(Arc<AtomicU64>);

impl Count {
    /// What has been counted.
    pub fn get(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

impl AddAssign<u64> for Count {
    fn add_assign(&mut self, more: u64) {
        self.0.fetch_add(more, Ordering::Relaxed);
    }
}

/// All figures of one director.
pub struct Figures {
    registry: Registry<Key, AtomicStorage>,
}

impl Default for Figures {
    fn default() -> Self {
        Figures { registry: Registry::atomic() }
    }
}

impl Figures {
    /// The count of a name; the same one for the same name.
    pub fn count(&self, name: &str) -> Count {
        let key = Key::from_name(name.to_owned());
        self.registry.get_or_create_counter(&key, |place| Count(Arc::clone(place)))
    }

    /// States a level as it is now.
    pub fn level(&self, name: &'static str, value: usize) {
        let key = Key::from_static_name(name);
        self.registry.get_or_create_gauge(&key, |place| {
            place.store((value as f64).to_bits(), Ordering::Relaxed);
        });
    }

    /// All figures as lines `svc.NAME=VALUE`, whole numbers, by name.
    pub fn text(&self) -> String {
        let mut all = BTreeMap::new();
        self.registry.visit_counters(|key, place| {
            all.insert(key.name().to_owned(), place.load(Ordering::Relaxed));
        });
        self.registry.visit_gauges(|key, place| {
            all.insert(key.name().to_owned(), f64::from_bits(place.load(Ordering::Relaxed)) as u64);
        });
        let mut text = String::new();
        for (name, value) in all {
            let _ = writeln!(text, "{PREFIX}.{name}={value}"); // writing into a string does not fail
        }
        text
    }
}
