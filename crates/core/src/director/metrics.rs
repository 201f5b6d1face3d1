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
const NAME_PREFIX: &str = "svc";

/// One count, from 0. A clone counts in the same place.
#[derive(Clone, Debug, Default)]
pub struct Counter(Arc<AtomicU64>);

impl Counter {
    /// What has been counted.
    pub fn get(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

impl AddAssign<u64> for Counter {
    fn add_assign(&mut self, increment: u64) {
        self.0.fetch_add(increment, Ordering::Relaxed);
    }
}

/// All figures of one director.
pub struct MetricsRegistry {
    registry: Registry<Key, AtomicStorage>,
}

impl Default for MetricsRegistry {
    fn default() -> Self {
        MetricsRegistry { registry: Registry::atomic() }
    }
}

impl MetricsRegistry {
    /// The count of a name; the same one for the same name.
    pub fn counter(&self, name: &str) -> Counter {
        let key = Key::from_name(name.to_owned());
        self.registry.get_or_create_counter(&key, |cell| Counter(Arc::clone(cell)))
    }

    /// States a level as it is now.
    pub fn set_gauge(&self, name: &'static str, value: usize) {
        let key = Key::from_static_name(name);
        self.registry.get_or_create_gauge(&key, |gauge| {
            gauge.store((value as f64).to_bits(), Ordering::Relaxed);
        });
    }

    /// All figures as lines `svc.NAME=VALUE`, whole numbers, by name.
    pub fn render(&self) -> String {
        let mut all = BTreeMap::new();
        self.registry.visit_counters(|key, cell| {
            all.insert(key.name().to_owned(), cell.load(Ordering::Relaxed));
        });
        self.registry.visit_gauges(|key, cell| {
            all.insert(key.name().to_owned(), f64::from_bits(cell.load(Ordering::Relaxed)) as u64);
        });
        let mut text = String::new();
        for (name, value) in all {
            let _ = writeln!(text, "{NAME_PREFIX}.{name}={value}"); // writing into a string does not fail
        }
        text
    }
}
