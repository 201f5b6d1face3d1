//! Ends of sessions that this director does not know yet.
//!
//! While one process of a director replaces another, or a session is taken over, its end may come here
//! before the session does: its viewer or its streamer can't tell which of the two holds it. An end is kept
//! until the session is handed over, for the longest time that a replacement takes.
//!
//! The number of ends is bounded. When too many are kept, the oldest one of the sender that has sent most
//! of them is dropped, so that nobody can push out what others have sent.
use super::super::messages::{SessionAtStreamer, SessionEnd, ViewerLink};
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
pub(super) const LIFETIME_US: Micros = MAX_STARTUP_US + MAX_SHUTDOWN_US + MAX_HANDOVER_US;
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

/// What an end applies to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Scope {
    /// The session wherever it plays: its viewer has ended it.
    Session,
    /// The session at the streamer that has ended it.
    EndedBy(StreamerId),
    /// The session at a streamer at which the previous process has released it.
    ReleasedAt(StreamerId),
}

impl Scope {
    fn streamer(self) -> Option<StreamerId> {
        match self {
            Scope::Session => None,
            Scope::EndedBy(streamer) | Scope::ReleasedAt(streamer) => Some(streamer),
        }
    }
}

/// A session, and what of it has ended.
type Key = (RequestId, Scope);

#[derive(Clone, Copy, Debug)]
struct EarlyEnd {
    kept_at: Micros,
    sender: Sender,
    reason: SessionEnd,
}

/// The ends that are kept.
#[derive(Debug, Default)]
pub(super) struct EarlyEnds {
    ends: BTreeMap<Key, EarlyEnd>,
    by_age: BTreeSet<(Micros, Key)>,
    by_sender: BTreeMap<Sender, BTreeSet<(Micros, Key)>>,
    /// The number of ends at each streamer.
    by_streamer: BTreeMap<StreamerId, usize>,
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
        self.keep(now, (id, Scope::Session), Sender::Viewer(link), SessionEnd::Left)
    }

    /// Keeps a viewer's end that the previous process knew of.
    pub(super) fn keep_inherited_end(&mut self, now: Micros, id: RequestId) -> Kept {
        self.keep(now, (id, Scope::Session), Sender::Predecessor, SessionEnd::Left)
    }

    /// Keeps the release of a session at a streamer by the previous process.
    pub(super) fn keep_inherited_release(&mut self, now: Micros, at: SessionAtStreamer) -> Kept {
        let key = (at.session, Scope::ReleasedAt(at.streamer));
        self.keep(now, key, Sender::Predecessor, SessionEnd::Left)
    }

    /// Keeps a streamer's release of a session that the previous process knew of.
    pub(super) fn keep_inherited_streamer_release(
        &mut self,
        now: Micros,
        at: SessionAtStreamer,
        reason: SessionEnd,
    ) -> Kept {
        self.keep(now, (at.session, Scope::EndedBy(at.streamer)), Sender::Predecessor, reason)
    }

    /// The sessions that viewers have ended.
    pub(super) fn ended_by_viewers(&mut self, now: Micros) -> Vec<RequestId> {
        self.expire(now);
        self.ends.keys().filter(|(_, scope)| *scope == Scope::Session).map(|(id, _)| *id).collect()
    }

    /// The sessions that streamers have ended, and why.
    pub(super) fn ended_by_streamers(&mut self, now: Micros) -> Vec<(SessionAtStreamer, SessionEnd)> {
        self.expire(now);
        let ended = |(key, end): (&Key, &EarlyEnd)| match *key {
            (session, Scope::EndedBy(streamer)) => {
                Some((SessionAtStreamer { session, streamer }, end.reason))
            }
            _ => None,
        };
        self.ends.iter().filter_map(ended).collect()
    }

    /// What the previous process has released at streamers.
    pub(super) fn inherited_releases(&mut self, now: Micros) -> Vec<SessionAtStreamer> {
        self.expire(now);
        let released = |key: &Key| match *key {
            (session, Scope::ReleasedAt(streamer)) => Some(SessionAtStreamer { session, streamer }),
            _ => None,
        };
        self.ends.keys().filter_map(released).collect()
    }

    /// Keeps a streamer's release of a session.
    pub(super) fn keep_release(
        &mut self,
        now: Micros,
        id: RequestId,
        streamer: StreamerId,
        reason: SessionEnd,
    ) -> Kept {
        self.keep(now, (id, Scope::EndedBy(streamer)), Sender::Streamer(streamer), reason)
    }

    fn keep(&mut self, now: Micros, key: Key, sender: Sender, reason: SessionEnd) -> Kept {
        self.remove(key);
        self.expire(now);
        self.ends.insert(key, EarlyEnd { kept_at: now, sender, reason });
        self.by_age.insert((now, key));
        if let Some(streamer) = key.1.streamer() {
            *self.by_streamer.entry(streamer).or_default() += 1;
        }
        self.update_sender(sender, |ends| {
            ends.insert((now, key));
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
        self.ends.contains_key(&(id, Scope::Session))
    }

    /// Whether the previous process has released this session at this streamer. The release stays, since a
    /// hand-over may be repeated.
    pub(super) fn released_by_predecessor(&mut self, now: Micros, at: SessionAtStreamer) -> bool {
        self.expire(now);
        self.ends.contains_key(&(at.session, Scope::ReleasedAt(at.streamer)))
    }

    /// Removes and returns the release of this session by this streamer.
    pub(super) fn take_release(
        &mut self,
        now: Micros,
        id: RequestId,
        streamer: StreamerId,
    ) -> Option<SessionEnd> {
        self.expire(now);
        self.remove((id, Scope::EndedBy(streamer)))
    }

    /// Whether an end at this streamer is kept.
    pub(super) fn concern(&self, streamer: StreamerId) -> bool {
        self.by_streamer.contains_key(&streamer)
    }

    /// Removes the ends of earlier sessions with this id, since it is set up anew.
    pub(super) fn forget(&mut self, id: RequestId) {
        let of_session = (id, Scope::Session)..=(id, Scope::ReleasedAt(StreamerId(u32::MAX)));
        let keys: Vec<Key> = self.ends.range(of_session).map(|(key, _)| *key).collect();
        keys.into_iter().for_each(|key| {
            self.remove(key);
        });
    }

    /// Drops the ends that were kept for long enough.
    pub(super) fn expire(&mut self, now: Micros) {
        while let Some((kept_at, key)) = self.by_age.first().copied()
            && kept_at.saturating_add(LIFETIME_US) <= now
        {
            self.remove(key);
        }
    }

    fn remove(&mut self, key: Key) -> Option<SessionEnd> {
        let EarlyEnd { kept_at, sender, reason } = self.ends.remove(&key)?;
        self.by_age.remove(&(kept_at, key));
        if let Some(streamer) = key.1.streamer()
            && let Some(count) = self.by_streamer.get_mut(&streamer)
        {
            *count -= 1;
            if *count == 0 {
                self.by_streamer.remove(&streamer);
            }
        }
        self.update_sender(sender, |ends| {
            ends.remove(&(kept_at, key));
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
        if let Some((_, key)) = ends.and_then(BTreeSet::first).copied() {
            self.remove(key);
        }
    }

    fn update_sender(&mut self, sender: Sender, change: impl FnOnce(&mut BTreeSet<(Micros, Key)>)) {
        let ends = self.by_sender.entry(sender).or_default();
        self.by_count.remove(&(ends.len(), sender));
        change(ends);
        match ends.len() {
            0 => drop(self.by_sender.remove(&sender)),
            count => drop(self.by_count.insert((count, sender))),
        }
    }
}
