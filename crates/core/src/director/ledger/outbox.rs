//! Results of ledger steps, and what is counted and remembered with them.
use super::super::counters::{ClassOutcomes, Counters};
use super::super::messages::*;
use super::super::metrics::Counter;
use super::early_ends::Kept;
use crate::interface::*;
use std::collections::VecDeque;

/// Collects the results of ledger steps: events for the controller and outputs for the transport.
#[derive(Default)]
pub(in crate::director) struct Outbox {
    pub(in crate::director) events: Vec<Event>,
    pub(in crate::director) outputs: Vec<Output>,
    pub(in crate::director) counters: Counters,
    /// What was last released at streamers, oldest first. A streamer may not have heard of it when a
    /// successor takes over what still plays there.
    pub(in crate::director) recent_releases: VecDeque<SessionAtStreamer>,
}

/// Most entries of [`Outbox::recent_releases`].
pub(super) const MAX_RECENT_RELEASES: usize = 1_024;

impl Outbox {
    /// Counts the end of an established session, and notifies its viewer unless [`SessionEnd::Left`] is the
    /// reason.
    pub(super) fn session_released(&mut self, link: ViewerLink, id: RequestId, reason: SessionEnd) {
        match reason {
            SessionEnd::Ended => self.counters.ended += 1,
            SessionEnd::Cut => self.counters.cut += 1,
            SessionEnd::Left => return self.counters.viewer_ended += 1,
        }
        self.outputs.push(Output::Release(link, id, reason));
    }

    /// Counts an end that was kept for a session that may be handed over. An overflow is logged once.
    pub(super) fn end_kept(&mut self, kept: Kept) {
        self.counters.ends_kept += 1;
        self.counters.ends_dropped += u64::from(kept != Kept::Added);
        if kept == Kept::Overflowed {
            let line = "too many ends of unknown sessions; the oldest ones of the largest sender are dropped";
            self.outputs.push(Output::Log(line.into()));
        }
    }

    /// Releases a session at its streamer.
    pub(super) fn release_at_streamer(&mut self, streamer: StreamerId, id: RequestId) {
        if self.recent_releases.len() >= MAX_RECENT_RELEASES {
            self.recent_releases.pop_front();
        }
        self.recent_releases.push_back(SessionAtStreamer { session: id, streamer });
        self.outputs.push(Output::Drop(streamer, id));
    }

    /// Increments one of the final-answer counters of a class.
    pub(super) fn count_answer(
        &mut self,
        class: ClassId,
        counter: impl Fn(&mut ClassOutcomes) -> &mut Counter,
    ) {
        if let Some(of_class) = self.counters.operations.get_mut(class.0) {
            *counter(of_class) += 1;
        }
    }
}
