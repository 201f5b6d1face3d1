//! The replacement of one process of a director by another, on the side of either: writes and reads the
//! hand-over file.
//!
//! The platform hands sessions over only after the previous process has gone. Ends that only that process
//! knows may concern sessions of this one, so this process looks for the file from its start on, for as
//! long as a replacement may take.
use super::Node;
use super::estate::{self, Estate};
use super::shared::Deadline;
use crate::director::Input;
use crate::interface::Micros;
use slog::warn;

/// Interval at which the file is looked for.
const POLL_INTERVAL_US: Micros = 100_000;
/// Longest time from the start of a process until its predecessor has gone: 6 s until it is told to stop, and
/// 5.7 s until it is killed; and some more for a late start of either.
const POLL_PERIOD_US: Micros = 15_000_000;

impl Node {
    /// Starts to look for what the previous process leaves, if the platform replaces processes.
    pub(super) fn start_estate_poll(&mut self) {
        if self.handover_file.is_some() {
            self.estate_poll_ends_at = self.shared.now.saturating_add(POLL_PERIOD_US);
            self.shared.schedule(POLL_INTERVAL_US, Deadline::EstatePoll);
        }
    }

    /// Looks for what the previous process has left, and looks again later.
    pub(super) fn poll_estate(&mut self) {
        self.load_estate();
        if self.shared.now < self.estate_poll_ends_at {
            self.shared.schedule(POLL_INTERVAL_US, Deadline::EstatePoll);
        }
    }

    /// Loads what the previous process has left, if it is there: before the first of its sessions is handed
    /// over, or as soon as it has gone. A process that is stopping leaves the file to its own successor.
    pub(super) fn load_estate(&mut self) {
        let checked_in_this_turn = self.estate_checked_at.replace(self.shared.now) == Some(self.shared.now);
        let Some(file) = &self.handover_file else { return };
        if checked_in_this_turn || self.lifecycle.is_stopping() {
            return;
        }
        match estate::take(file) {
            Ok(None) => {}
            Ok(Some(Estate { handover, unsent_ends })) => {
                self.shared.inputs.push(Input::Inherited(handover));
                self.components.viewers.send_inherited_releases(&mut self.shared, unsent_ends);
            }
            Err(why) => {
                warn!(self.shared.log, "what the previous process left can't be loaded: {why}");
                self.estate_poll_ends_at = self.shared.now;
            }
        }
    }

    /// Writes what the next process has to know.
    pub(super) fn write_estate(&mut self, unsent_ends: Vec<Vec<u8>>) {
        let Some(file) = &self.handover_file else { return };
        let handover = self.director.handover(self.shared.now);
        if let Err(why) = estate::write(file, &Estate { handover, unsent_ends }) {
            warn!(self.shared.log, "the hand-over can't be stored for the next process: {why}");
        }
    }
}
