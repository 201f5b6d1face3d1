//! Ends of sessions that this director does not know yet.
//!
//! While one process of a director replaces another, or a session is taken over, its end may come here
//! before the session does: its viewer or its streamer can't tell which of the two holds it. An end is kept
//! until the session is handed over, for the longest time that a replacement takes.
//!
//! The number of ends is bounded. When too many are kept, the oldest one of the sender that has sent most
//! of them is dropped, so that nobody can push out what others have sent.
use super::super::messages::{SessionEnd, ViewerLink};
use super::outbox::MAX_RECENT_RELEASES;
use crate::interface::*;
use std::collections::{BTreeMap, BTreeSet};

/// Longest time from the start of a process until its predecessor is told to stop.
const MAX_STARTUP_US: Micros = 6_000_000;
/// Longest time from the stop signal until the predecessor is killed.
const MAX_SHUTDOWN_US: Micros = 5_700_000;
/// Longest time from then on until a session is handed over.
const MAX_HANDOVER_US: Micros = 8_000_000;
/// How long an end is kept.
const LIFETIME_US: Micros = MAX_STARTUP_US + MAX_SHUTDOWN_US + MAX_HANDOVER_US;
/// Most ends that are kept: those of [`LIFETIME_US`] at two hundred sessions a second.
const MAX_ENDS: usize = 4_096;

/// Most ends that are kept of those that the previous process knew of.
const MAX_INHERITED_ENDS: usize = MAX_ENDS + MAX_RECENT_RELEASES;

/// Who sent an end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Sender {
    /// A viewer, on this connection.
    Viewer(ViewerLink),
    /// A streamer.
    Streamer(StreamerId),
    /// The process that this one replaces.
    Predecessor,
}

/// What an end applies to: the session wherever it plays, or only at the streamer that ended it.
type Scope = (RequestId, Option<StreamerId>);

#[derive(Clone, Copy, Debug)]
struct EarlyEnd {
    kept_at: Micros,
    sender: Sender,
    reason: SessionEnd,
}

/// The ends that are kept.
#[derive(Debug, Default)]
pub(super) struct EarlyEnds {
    ends: BTreeMap<Scope, EarlyEnd>,
    by_age: BTreeSet<(Micros, Scope)>,
    by_sender: BTreeMap<Sender, BTreeSet<(Micros, Scope)>>,
    /// Senders with the number of their ends.
    by_count: BTreeSet<(usize, Sender)>,
    /// Whether an end was dropped since there was room for the last time.
    overflowed: bool,
}

/// Whether an end could be kept without dropping another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Kept {
    /// It was kept.
    Added,
    /// An end was dropped, the first one since there was room.
    Overflowed,
    /// A further end was dropped.
    StillFull,
}

impl EarlyEnds {
    /// Keeps the viewer's end of a session.
    pub(super) fn keep_viewer_end(&mut self, now: Micros, id: RequestId, link: ViewerLink) -> Kept {
        self.keep(now, (id, None), Sender::Viewer(link), SessionEnd::Left)
    }

    /// Keeps an end that the previous process knew of.
    pub(super) fn keep_inherited_end(&mut self, now: Micros, id: RequestId) -> Kept {
        self.keep(now, (id, None), Sender::Predecessor, SessionEnd::Left)
    }

    /// The sessions that viewers have ended.
    pub(super) fn ended_by_viewers(&mut self, now: Micros) -> Vec<RequestId> {
        self.expire(now);
        self.ends.keys().filter(|(_, streamer)| streamer.is_none()).map(|(id, _)| *id).collect()
    }

    /// Keeps a streamer's release of a session.
    pub(super) fn keep_release(
        &mut self,
        now: Micros,
        id: RequestId,
        streamer: StreamerId,
        reason: SessionEnd,
    ) -> Kept {
        self.keep(now, (id, Some(streamer)), Sender::Streamer(streamer), reason)
    }

    fn keep(&mut self, now: Micros, scope: Scope, sender: Sender, reason: SessionEnd) -> Kept {
        self.remove(scope);
        self.expire(now);
        self.ends.insert(scope, EarlyEnd { kept_at: now, sender, reason });
        self.by_age.insert((now, scope));
        self.update_sender(sender, |ends| {
            ends.insert((now, scope));
        });
        let inherited = self.by_sender.get(&Sender::Predecessor).map_or(0, BTreeSet::len);
        if self.ends.len() - inherited <= MAX_ENDS && inherited <= MAX_INHERITED_ENDS {
            self.overflowed = false;
            return Kept::Added;
        }
        self.drop_oldest_of(match sender {
            Sender::Predecessor => Some(sender),
            Sender::Viewer(_) | Sender::Streamer(_) => self.largest_sender(),
        });
        if std::mem::replace(&mut self.overflowed, true) { Kept::StillFull } else { Kept::Overflowed }
    }

    /// Whether the viewer has ended this session. The end stays, since a hand-over may be repeated.
    pub(super) fn ended_by_viewer(&mut self, now: Micros, id: RequestId) -> bool {
        self.expire(now);
        self.ends.contains_key(&(id, None))
    }

    /// Removes and returns the release of this session by this streamer.
    pub(super) fn take_release(
        &mut self,
        now: Micros,
        id: RequestId,
        streamer: StreamerId,
    ) -> Option<SessionEnd> {
        self.expire(now);
        self.remove((id, Some(streamer)))
    }

    /// Removes the ends of earlier sessions with this id, since it is set up anew.
    pub(super) fn forget(&mut self, id: RequestId) {
        let of_session = (id, None)..=(id, Some(StreamerId(u32::MAX)));
        let scopes: Vec<Scope> = self.ends.range(of_session).map(|(scope, _)| *scope).collect();
        scopes.into_iter().for_each(|scope| {
            self.remove(scope);
        });
    }

    fn expire(&mut self, now: Micros) {
        while let Some((kept_at, scope)) = self.by_age.first().copied()
            && kept_at.saturating_add(LIFETIME_US) <= now
        {
            self.remove(scope);
        }
    }

    fn remove(&mut self, scope: Scope) -> Option<SessionEnd> {
        let EarlyEnd { kept_at, sender, reason } = self.ends.remove(&scope)?;
        self.by_age.remove(&(kept_at, scope));
        self.update_sender(sender, |ends| {
            ends.remove(&(kept_at, scope));
        });
        Some(reason)
    }

    /// The sender of most ends, other than the previous process.
    fn largest_sender(&self) -> Option<Sender> {
        let senders = self.by_count.iter().rev().map(|(_, sender)| *sender);
        senders.into_iter().find(|sender| *sender != Sender::Predecessor)
    }

    fn drop_oldest_of(&mut self, sender: Option<Sender>) {
        let ends = sender.and_then(|sender| self.by_sender.get(&sender));
        if let Some((_, scope)) = ends.and_then(BTreeSet::first).copied() {
            self.remove(scope);
        }
    }

    fn update_sender(&mut self, sender: Sender, change: impl FnOnce(&mut BTreeSet<(Micros, Scope)>)) {
        let ends = self.by_sender.entry(sender).or_default();
        self.by_count.remove(&(ends.len(), sender));
        change(ends);
        match ends.len() {
            0 => drop(self.by_sender.remove(&sender)),
            count => drop(self.by_count.insert((count, sender))),
        }
    }
}
