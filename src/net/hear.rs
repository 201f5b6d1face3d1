//! What viewers and the bulletin said, in the core's terms: names become numbers here, and what can't be used
//! is said to be so. It decides nothing.
use super::Node;
use crate::director::{Input, Parcel, ViewerLink};
use crate::interface::{Entry, ListScope, RequestId, Standing, StreamerId};
use crate::platform::bulletin::{Members, Notice};
use crate::platform::viewer::{self, FromViewer, SetUp};
use crate::settings::NamedRequest;
use slog::{debug, warn};
use std::net::SocketAddr;
use std::rc::Rc;
use stonewharf_continuity::Stub;
use stonewharf_rollout::SharedDrains;

/// Times the longest deadline that a viewer's own may be, so that none is kept for ever.
const WAIT_MOST: u64 = 10;
/// A streamer that started no longer ago, as the list says, runs nothing of what was out there before.
const LATELY_MS: u64 = 5_000;

impl Node {
    pub(super) fn heard_viewer(&mut self, link: ViewerLink, message: FromViewer) {
        self.parts.peers.iter_mut().for_each(|peers| peers.serves(self.shared.now));
        match message {
            FromViewer::SetUp(set_up) => self.wanted(link, *set_up),
            FromViewer::Left(id) => self.shared.inputs.push(Input::ViewerLeft(link, id)),
            FromViewer::Test(id) => {
                let result = viewer::test_result(id, self.duty.accepts_clients());
                self.parts.viewers.say(&mut self.shared, link, &result);
            }
            FromViewer::Unusable(id, why) => {
                debug!(self.shared.log, "a set-up can't be used: {why}");
                self.shared.inputs.push(Input::Unusable(link, id));
            }
            FromViewer::Idle => {}
        }
    }

    fn wanted(&mut self, link: ViewerLink, set_up: SetUp) {
        let id = RequestId(set_up.session);
        let class = self.names.class(&set_up.class);
        let usual = class.ok().and_then(|c| self.transport.default_deadlines_us.get(c.0)).copied();
        let most = self.transport.longest_deadline_us().saturating_mul(WAIT_MOST);
        let wait_us = set_up.wait_ms.map(|ms| ms.saturating_mul(1000)).or(usual).unwrap_or(0).min(most);
        let wanted = NamedRequest {
            id: set_up.session,
            class: &set_up.class,
            tenant: None,
            title: &set_up.title,
            viewer: &set_up.viewer,
            start_cell: set_up.home,
            cells_in_row: set_up.copies,
            max_rung: set_up.top,
            left_us: wait_us,
            returned: set_up.again || set_up.retry,
        };
        let request = match self.names.check_ranges(&wanted).and_then(|()| self.names.request(&wanted)) {
            Ok(request) => request,
            Err(why) => {
                debug!(self.shared.log, "a set-up can't be used: {why}");
                return self.shared.inputs.push(Input::Unusable(link, id));
            }
        };
        if set_up.at.is_some() {
            self.inherit();
        } else {
            let top = set_up.top.and_then(|top| u32::try_from(top).ok());
            self.estate_wanted(set_up.session, || Stub {
                class: set_up.class.clone(),
                title: set_up.title.clone(),
                viewer: set_up.viewer.clone(),
                home: set_up.home,
                copies: set_up.copies,
                top,
            });
        }
        self.shared.inputs.push(match &set_up.at {
            Some(at) => {
                self.parts.viewers.brought(link);
                let streamer = StreamerId(self.names.streamers.get(at).unwrap_or(u32::MAX));
                Input::Playing { link, request, streamer }
            }
            None => {
                let SetUp { class, title, description, .. } = set_up;
                Input::Wanted { link, request, parcel: Rc::new(Parcel { class, title, description }) }
            }
        });
    }

    pub(super) fn notice(&mut self, notice: &Notice, known: bool) {
        let Some(roster) = &notice.roster else { return };
        let Members { mut entries, errors } = roster.members(&mut self.names);
        for why in errors {
            self.shared.counters.malformed += 1;
            warn!(self.shared.log, "in the list of streamers: {why}"; "no" => notice.no);
        }
        let scope = match roster.scope() {
            ListScope::Full if known => ListScope::Cached,
            scope => scope,
        };
        if let Some(agreed) = &self.agreed {
            self.listed(&agreed.drains, scope, &mut entries);
        }
        if self.agreed.is_some() {
            let lately = (self.shared.now / 1_000).saturating_sub(LATELY_MS) * 1_000;
            let anew = |e: &Entry| e.standing == Standing::Gone || e.started_at.is_some_and(|at| at > lately);
            let listed: Vec<_> = entries.iter().map(|(e, _)| (e.streamer, anew(e))).collect();
            self.estate_listed(self.shared.now, &listed);
        }
        self.parts.streamers.list(&mut self.shared, scope, &entries);
        for (entry, _) in entries.iter().filter(|e| e.0.standing == Standing::Gone) {
            self.names.streamers.remove(entry.streamer.0);
        }
        let entries = entries.into_iter().map(|e| e.0).collect();
        self.shared.inputs.push(Input::List { scope, entries });
    }

    /// Lets the agreed drains see the list's news first: they may only narrow it.
    fn listed(&self, drains: &SharedDrains, scope: ListScope, entries: &mut [(Entry, SocketAddr)]) {
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
