//! The replacement of one process of a director by another, on the side of either: writes and reads the
//! hand-over file.
//!
//! The platform hands sessions over only after the previous process has gone. Ends that only that process
//! knows may concern sessions of this one, so this process looks for the file from its start on, for as
//! long as a replacement may take.
use super::Node;
use super::estate::{self, Estate, NamedSession};
use super::shared::Deadline;
use crate::director::{Handover, Input, SessionAtStreamer};
use crate::interface::{Micros, StreamerId};
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
            Ok(Some(estate)) => self.inherit(estate),
            Err(why) => {
                warn!(self.shared.log, "what the previous process left can't be loaded: {why}");
                self.estate_poll_ends_at = self.shared.now;
            }
        }
    }

    fn inherit(&mut self, estate: Estate) {
        let Estate { rungs, mut ended, released, released_anywhere, released_by_streamers, unsent_ends } =
            estate;
        // Those that are held were set up anew here.
        ended.extend(released_anywhere.into_iter().filter(|id| !self.director.holds(*id)));
        // Names that discovery does not list stay known: there are no more than the file has.
        let mut numbered = |at: NamedSession| {
            let streamer = StreamerId(self.names.streamers.intern(&at.streamer));
            SessionAtStreamer { session: at.session, streamer }
        };
        let released = released.into_iter().map(&mut numbered).collect();
        let released_by_streamers =
            released_by_streamers.into_iter().map(|(at, reason)| (numbered(at), reason)).collect();
        let handover = Handover { rungs, ended, released, released_by_streamers };
        self.shared.inputs.push(Input::Inherited(handover));
        self.components.viewers.send_inherited_releases(&mut self.shared, unsent_ends);
    }

    /// Writes what the next process has to know. What was known of streamers that are gone is left out.
    pub(super) fn write_estate(&mut self, unsent_ends: Vec<Vec<u8>>) {
        let Some(file) = &self.handover_file else { return };
        let Handover { rungs, ended, released, released_by_streamers } =
            self.director.handover(self.shared.now);
        let named = |at: SessionAtStreamer| {
            let streamer = self.names.streamers.resolve(at.streamer.0)?.to_owned();
            Some(NamedSession { session: at.session, streamer })
        };
        let released = released.into_iter().filter_map(named).collect();
        let released_by_streamers =
            released_by_streamers.into_iter().filter_map(|(at, reason)| Some((named(at)?, reason))).collect();
        let estate =
            Estate { rungs, ended, released, released_by_streamers, unsent_ends, ..Estate::default() };
        if let Err(why) = estate::write(file, &estate) {
            warn!(self.shared.log, "the hand-over can't be stored for the next process: {why}");
        }
    }
}
