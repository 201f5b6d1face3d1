//! Converts messages from viewers and discovery to inputs for the core.
//!
//! Names are converted to numeric ids here, and unusable messages are reported as such. No decisions are made
//! here.
use super::Node;
use crate::director::{Input, Parcel, ViewerLink};
use crate::interface::{Entry, ListScope, RequestId, Standing, StreamerId};
use crate::platform::discovery::{self, ResolvedMembers};
use crate::platform::viewer::{self, SetUp, ViewerMessage};
use crate::settings::NamedRequest;
use slog::{debug, warn};
use std::net::SocketAddr;
use std::rc::Rc;
use stonewharf_continuity::RequestSummary;
use stonewharf_rollout::SharedDrains;

/// The deadline that a viewer requests is limited to the longest configured deadline times this factor, so
/// that no request is kept forever.
const MAX_DEADLINE_FACTOR: u64 = 10;
/// A streamer whose start, according to the list, is at most this long ago counts as restarted: no earlier
/// session runs on it any more.
const RECENT_START_MS: u64 = 5_000;

impl Node {
    /// Processes a message from a viewer connection.
    pub(super) fn handle_viewer_message(&mut self, link: ViewerLink, message: ViewerMessage) {
        self.components.peers.iter_mut().for_each(|peers| peers.serves(self.shared.now));
        match message {
            ViewerMessage::SetUp(set_up) => self.handle_set_up(link, *set_up),
            ViewerMessage::Release(id) => self.shared.inputs.push(Input::ViewerLeft(link, id)),
            ViewerMessage::Test(id) => {
                let result = viewer::test_result(id, self.lifecycle.accepts_clients());
                self.components.viewers.send(&mut self.shared, link, &result);
            }
            ViewerMessage::Unusable(id, why) => {
                debug!(self.shared.log, "unusable set-up request: {why}");
                self.shared.inputs.push(Input::Unusable(link, id));
            }
            ViewerMessage::Ignored => {}
        }
    }

    /// Converts a set-up request to an input for the core.
    fn handle_set_up(&mut self, link: ViewerLink, set_up: SetUp) {
        let id = RequestId(set_up.session);
        let class = self.names.class(&set_up.class);
        let default_us = class.ok().and_then(|c| self.transport.default_deadlines_us.get(c.0)).copied();
        let max_us = self.transport.longest_deadline_us().saturating_mul(MAX_DEADLINE_FACTOR);
        let wait_us =
            set_up.wait_ms.map(|ms| ms.saturating_mul(1000)).or(default_us).unwrap_or(0).min(max_us);
        let named_request = NamedRequest {
            id: set_up.session,
            class: &set_up.class,
            tenant: None,
            title: &set_up.title,
            viewer: &set_up.viewer,
            start_cell: set_up.start_cell,
            cells_in_row: set_up.cells_in_row,
            max_rung: set_up.max_rung,
            left_us: wait_us,
            returned: set_up.returning || set_up.retry,
        };
        let request =
            match self.names.check_ranges(&named_request).and_then(|()| self.names.request(&named_request)) {
                Ok(request) => request,
                Err(why) => {
                    debug!(self.shared.log, "unusable set-up request: {why}");
                    return self.shared.inputs.push(Input::Unusable(link, id));
                }
            };
        if set_up.playing_at.is_some() {
            self.load_estate();
        } else {
            let max_rung = set_up.max_rung.and_then(|top| u32::try_from(top).ok());
            self.continuity_note_request(set_up.session, || RequestSummary {
                class: set_up.class.clone(),
                title: set_up.title.clone(),
                viewer: set_up.viewer.clone(),
                start_cell: set_up.start_cell,
                cells_in_row: set_up.cells_in_row,
                max_rung,
            });
        }
        self.shared.inputs.push(match &set_up.playing_at {
            Some(at) => {
                self.components.viewers.record_handed_over_session(link);
                let streamer = StreamerId(self.names.streamers.intern(at)); // not listed yet, perhaps
                Input::Playing { link, request, streamer }
            }
            None => {
                let SetUp { class, title, description, .. } = set_up;
                Input::Wanted { link, request, parcel: Rc::new(Parcel { class, title, description }) }
            }
        });
    }

    /// Applies an update of the streamer list. `known` marks one from the start-up configuration and not from
    /// discovery.
    pub(super) fn handle_discovery_event(&mut self, event: &discovery::Event, known: bool) {
        let Some(update) = &event.update else { return };
        let ResolvedMembers { mut entries, errors } = update.resolve_members(&mut self.names);
        for why in errors {
            self.shared.counters.malformed += 1;
            warn!(self.shared.log, "invalid entry in the streamer list: {why}"; "no" => event.number);
        }
        let scope = match update.scope() {
            ListScope::Full if known => ListScope::Cached,
            scope => scope,
        };
        if let Some(agreement) = &self.agreement {
            self.apply_drains(&agreement.drains, scope, &mut entries);
        }
        if self.agreement.is_some() {
            let recent_us = (self.shared.now / 1_000).saturating_sub(RECENT_START_MS) * 1_000;
            let restarted =
                |e: &Entry| e.standing == Standing::Gone || e.started_at.is_some_and(|at| at > recent_us);
            let listed: Vec<_> = entries.iter().map(|(e, _)| (e.streamer, restarted(e))).collect();
            self.continuity_streamers_listed(self.shared.now, &listed);
        }
        self.components.streamers.apply_list(&mut self.shared, scope, &entries);
        for (entry, _) in entries.iter().filter(|e| e.0.standing == Standing::Gone) {
            self.names.streamers.remove(entry.streamer.0);
        }
        let entries = entries.into_iter().map(|e| e.0).collect();
        self.shared.inputs.push(Input::List { scope, entries });
    }

    /// Applies the drains that the fleet agreed on to an update of the streamer list. They may only restrict
    /// it.
    fn apply_drains(&self, drains: &SharedDrains, scope: ListScope, entries: &mut [(Entry, SocketAddr)]) {
        let name = |e: &Entry| {
            let name = self.names.streamers.resolve(e.streamer.0).unwrap_or_default().to_owned();
            (name, self.names.zone_name(e.zone).unwrap_or_default().to_owned())
        };
        let named: Vec<(String, String)> = entries.iter().map(|(e, _)| name(e)).collect();
        let mut narrowed: Vec<Entry> = entries.iter().map(|(e, _)| e.clone()).collect();
        drains.0.borrow_mut().apply_list(scope, &named, &mut narrowed);
        entries.iter_mut().zip(narrowed).for_each(|(e, narrowed)| e.0 = narrowed);
    }
}
