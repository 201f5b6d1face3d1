//! Metrics of a director: named counters and gauges, and their text format.
//!
//! The registry owns the values. The counters module defines what is counted, and the transport decides who
//! may read it.
//!
//! Values are stored in the registry of the `metrics` family of crates because that registry can be iterated
//! and thus written in any format; `prometheus-client` writes only the OpenMetrics text format, which is not
//! the one required here.
use metrics::Key;
use metrics_util::registry::{AtomicStorage, Registry};
use std::collections::BTreeMap;
use std::fmt::Write;
use std::ops::AddAssign;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

/// Prefix of every metric name in the text format.
const NAME_PREFIX: &str = "svc";

/// A counter that starts at 0. Clones share the value.
#[derive(Clone, Debug, Default)]
pub struct Counter(Arc<AtomicU64>);

impl Counter {
    /// Returns the current value.
    pub fn get(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

impl AddAssign<u64> for Counter {
    fn add_assign(&mut self, increment: u64) {
        self.0.fetch_add(increment, Ordering::Relaxed);
    }
}

/// The metrics of one director.
pub struct MetricsRegistry {
    registry: Registry<Key, AtomicStorage>,
}

impl Default for MetricsRegistry {
    fn default() -> Self {
        MetricsRegistry { registry: Registry::atomic() }
    }
}

impl MetricsRegistry {
    /// Returns the counter with this name. All counters of one name share the value.
    pub fn counter(&self, name: &str) -> Counter {
        let key = Key::from_name(name.to_owned());
        self.registry.get_or_create_counter(&key, |cell| Counter(Arc::clone(cell)))
    }

    /// Sets a gauge to its current value.
    pub fn set_gauge(&self, name: &'static str, value: usize) {
        let key = Key::from_static_name(name);
        self.registry.get_or_create_gauge(&key, |gauge| {
            gauge.store((value as f64).to_bits(), Ordering::Relaxed);
        });
    }

    /// Renders all metrics as lines `svc.NAME=VALUE` with integer values, sorted by name.
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
            let _ = writeln!(text, "{NAME_PREFIX}.{name}={value}"); // writing to a string cannot fail
        }
        text
    }
}
