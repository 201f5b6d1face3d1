//! The holder's side.
use crate::span::Span;
use std::collections::VecDeque;
use stonewharf_core::Micros;

/// Questions that may be unanswered at a time; an older one's answer would give next to nothing.
const OPEN_MOST: usize = 8;

/// Leave to act until a time on the holder's own clock.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Holder {
    span: Span,
    /// Questions without an answer: number, and when each was asked.
    open: VecDeque<(u64, Micros)>,
    numbers: u64,
    until: Micros,
    ask_at: Micros,
}

impl Holder {
    /// One that holds nothing yet, and asks at once.
    pub fn new(span: Span, now: Micros) -> Holder {
        Holder { span, open: VecDeque::new(), numbers: 0, until: 0, ask_at: now }
    }

    /// When [`Holder::ask`] has something to do at the latest.
    pub fn next(&self) -> Micros {
        self.ask_at
    }

    /// The number to ask under, where it is time to ask. The time counts from here.
    pub fn ask(&mut self, now: Micros) -> Option<u64> {
        if self.ask_at > now {
            return None;
        }
        self.ask_at = now.saturating_add(self.span.ask_every());
        self.numbers += 1;
        if self.open.len() >= OPEN_MOST {
            self.open.pop_front();
        }
        self.open.push_back((self.numbers, now));
        Some(self.numbers)
    }

    /// The answer to a question: leave from when that was asked.
    pub fn granted(&mut self, number: u64) {
        if let Some((_, asked)) = self.open.iter().find(|(n, _)| *n == number).copied() {
            self.until = self.until.max(asked.saturating_add(self.span.holder));
            self.open.retain(|(n, _)| *n > number);
        }
    }

    /// Until when it may act.
    pub fn until(&self) -> Micros {
        self.until
    }

    /// Whether it may act now. To be asked again as bytes go out: the process may have stood still.
    pub fn holds(&self, now: Micros) -> bool {
        now < self.until
    }

    /// Gives up what it holds; answers that are under way give nothing any more.
    pub fn drop_it(&mut self, now: Micros) {
        self.open.clear();
        (self.until, self.ask_at) = (0, now);
    }
}
