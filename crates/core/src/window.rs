//! Sums of changes of a quantity since a given time, within a bounded time span.
use crate::interface::Micros;
use std::collections::VecDeque;

/// Changes of a quantity, kept as running totals. A look-up takes a binary search instead of a walk over all
/// changes of the span: at a thousand requests a second there are thousands of them.
#[derive(Debug, Default)]
pub(crate) struct ChangeWindow {
    /// Time of a change, and the total from then on. The first entry stands for everything before it.
    totals: VecDeque<(Micros, f64)>,
}

impl ChangeWindow {
    /// Adds a change and drops those older than `span`. `now` must not be before the last change.
    pub(crate) fn add(&mut self, now: Micros, change: f64, span: Micros) {
        let total = self.totals.back().map_or(0.0, |t| t.1) + change;
        if self.totals.is_empty() {
            self.totals.push_back((0, 0.0));
        }
        self.totals.push_back((now, total));
        while self.totals.get(1).is_some_and(|t| t.0 + span < now) {
            self.totals.pop_front();
        }
    }

    /// The sum of the kept changes after `at`.
    pub(crate) fn since(&self, at: Micros) -> f64 {
        let Some((_, total)) = self.totals.back() else { return 0.0 };
        let before = self.totals.partition_point(|t| t.0 <= at).max(1);
        total - self.totals[before - 1].1
    }

    /// The sum of the kept changes after `after`, up to and including `until`.
    pub(crate) fn between(&self, after: Micros, until: Micros) -> f64 {
        self.since(after) - self.since(until)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn sums_equal_those_of_a_linear_scan() {
        let (mut window, mut reference) = (ChangeWindow::default(), VecDeque::new());
        let mut random = 7u64;
        for i in 0..2_000u64 {
            random = random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
            let (now, change) = (1 + i * 10 + random % 7, f64::from((random >> 40) as u32 % 2_000) - 1_000.0);
            window.add(now, change, 1_000);
            reference.push_back((now, change));
            reference.retain(|p: &(u64, f64)| p.0 + 1_000 >= now);
            for at in [0, now.saturating_sub(random % 1_500), now - 1, now] {
                let expected: f64 = reference.iter().filter(|p| p.0 > at).map(|p| p.1).sum();
                assert!((window.since(at) - expected).abs() < 1e-6, "since {at} at {now}");
            }
        }
        assert!(window.totals.len() < 110, "bounded");
    }

    #[test]
    fn an_empty_window_sums_to_zero() {
        assert_eq!(ChangeWindow::default().since(5), 0.0);
    }
}
