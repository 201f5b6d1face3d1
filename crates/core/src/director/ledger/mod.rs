//! The session ledger: for every session its stage, its attempts, and who is owed what. It keeps three
//! promises whatever comes in and in whatever order: a request gets one final answer, one attempt of it is
//! out at a time, and nothing of an attempt that was given up reaches the viewer.
mod closed;
mod streamers;
mod viewers;

use super::counters::{Counters, Operations};
use super::figures::Count;
use super::messages::*;
use crate::interface::*;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;

/// Part of the viewer's time that is kept back from attempts, so that an answer at its end is still in time.
/// The module is told the whole time: it has bounds of its own, which less time must not trip.
const ANSWER_MARGIN_US: Micros = 25_000;
/// How long after the viewer's time the ledger still leaves the final answer to the module, whose last
/// attempt ends just then.
const ANSWER_GRACE_US: Micros = 5_000;

/// Where a session is on its way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// The module has it; no attempt is out.
    Deciding,
    /// An attempt is out.
    Out { streamer: StreamerId, number: u32, since: Micros },
    /// An attempt is being given up and ends so.
    GivingUp { streamer: StreamerId, number: u32, outcome: Outcome },
    /// It stands.
    Standing { streamer: StreamerId, since: Micros },
}

#[derive(Debug)]
struct Session {
    link: ViewerLink,
    class: ClassId,
    parcel: Rc<Parcel>,
    stage: Stage,
    rung: usize,
    attempts: u32,
    /// When the last attempt was sent.
    sent_at: Micros,
    /// By when a further attempt must have left, once an earlier one may have run.
    repeat_by: Micros,
    deadline: Micros,
    /// The final answer is still owed.
    owed: bool,
}

impl Session {
    /// Its last attempt has ended; one that may have run binds those that follow.
    fn ended(&mut self, outcome: Outcome, repeat_windows: &[Option<Micros>]) {
        self.stage = Stage::Deciding;
        let window = repeat_windows.get(self.class.0).copied().flatten();
        if let Some(window) = window.filter(|_| !outcome.never_ran()) {
            self.repeat_by = self.repeat_by.min(self.sent_at.saturating_add(window));
        }
    }
}

/// What is on a connection from viewers.
#[derive(Default)]
struct OnLink {
    /// Requests that wait for their final answer.
    open: BTreeSet<RequestId>,
    /// Sessions that stand.
    standing: usize,
}

/// What one step of the ledger leads to: events for the module and deeds outside.
#[derive(Default)]
pub(in crate::director) struct Outbox {
    pub(in crate::director) events: Vec<Event>,
    pub(in crate::director) deeds: Vec<Deed>,
    pub(in crate::director) counters: Counters,
}

impl Outbox {
    /// Counts the end of a session that stood, and tells its viewer where it is owed that.
    fn released_of(&mut self, link: ViewerLink, id: RequestId, why: Over) {
        match why {
            Over::Ended => self.counters.ended += 1,
            Over::Cut => self.counters.cut += 1,
            Over::Left => return self.counters.viewer_ended += 1,
        }
        self.deeds.push(Deed::Release(link, id, why));
    }

    /// Counts a final answer to a request of a class.
    fn answered(&mut self, class: ClassId, which: impl Fn(&mut Operations) -> &mut Count) {
        if let Some(of_class) = self.counters.operations.get_mut(class.0) {
            *which(of_class) += 1;
        }
    }
}

/// All sessions of the director.
#[derive(Default)]
pub(in crate::director) struct Ledger {
    sessions: BTreeMap<RequestId, Session>,
    standing_at: BTreeMap<StreamerId, BTreeSet<RequestId>>,
    links: BTreeMap<ViewerLink, OnLink>,
    fleet: BTreeMap<StreamerId, Standing>,
    /// Releases of sessions that are not held, oldest first: one that is being handed over may end at its
    /// streamer before its hand-over comes.
    early: VecDeque<(RequestId, StreamerId, Over)>,
    /// Rungs of sessions that are to be handed over, as the process before this one left them: no streamer
    /// says them again, and who takes a session for one at the lowest rung steps it down by wanting it up.
    left: BTreeMap<RequestId, usize>,
    floors: Vec<usize>,
    /// How long streamers recognise a repeat, for the classes of which they do.
    repeat_windows: Vec<Option<Micros>>,
    max_attempts: u32,
}

/// Releases kept for sessions that may still be handed over.
const EARLY_MOST: usize = 1_024;

fn ended(session: RequestId, number: u32, streamer: StreamerId, outcome: Outcome, last: bool) -> Event {
    let report = LoadReport::default();
    Event::Ended { request: session, attempt: number, streamer, outcome, last, report }
}

fn repeat_window(class: &Class) -> Option<Micros> {
    (class.effect == Effect::Deduplicated).then_some(class.repeat_window_us)
}

impl Ledger {
    pub(in crate::director) fn new(settings: &Settings) -> Self {
        Ledger {
            floors: settings.classes.iter().map(|c| c.lowest_rung).collect(),
            repeat_windows: settings.classes.iter().map(repeat_window).collect(),
            max_attempts: settings.max_attempts,
            ..Ledger::default()
        }
    }

    /// The sessions that stand, and their rungs.
    pub(in crate::director) fn estate(&self) -> Vec<(RequestId, usize)> {
        let standing = self.sessions.iter().filter(|(_, s)| matches!(s.stage, Stage::Standing { .. }));
        standing.map(|(id, s)| (*id, s.rung)).collect()
    }

    /// Takes what the process before this one left, for when it is handed over.
    pub(in crate::director) fn inherit(&mut self, estate: Vec<(RequestId, usize)>) {
        self.left.extend(estate);
    }

    /// Whether a session is on the books.
    pub(in crate::director) fn holds(&self, id: RequestId) -> bool {
        self.sessions.contains_key(&id)
    }

    /// A session is another director's from here on. What stands is taken off the books as it is; a viewer
    /// that still waits is told that its set-up failed, and the attempt is given up, as at an end.
    fn lay_down(&mut self, id: RequestId, out: &mut Outbox) {
        match self.sessions.get(&id).map(|s| s.stage) {
            Some(Stage::Standing { streamer, .. }) => {
                self.over(id, streamer, Outcome::Canceled, LoadReport::default(), out);
            }
            Some(_) => self.answer_due(id, out),
            None => {}
        }
    }

    /// How many sessions stand at a streamer.
    pub(in crate::director) fn standing_at(&self, streamer: StreamerId) -> usize {
        self.standing_at.get(&streamer).map_or(0, BTreeSet::len)
    }

    /// How many requests still wait for their final answer.
    pub(in crate::director) fn owed(&self) -> usize {
        self.links.values().map(|l| l.open.len()).sum()
    }

    /// How many requests wait for their final answer, or have a session that stands.
    pub(in crate::director) fn open(&self) -> usize {
        self.links.values().map(|l| l.open.len() + l.standing).sum()
    }

    /// Requests that wait for their final answer on a connection, and sessions that stand from it.
    pub(in crate::director) fn on_link(&self, link: ViewerLink) -> (usize, usize) {
        self.links.get(&link).map_or((0, 0), |l| (l.open.len(), l.standing))
    }

    /// The final answer of a request is no longer owed.
    fn discharge(&mut self, id: RequestId) {
        let Some(session) = self.sessions.get_mut(&id).filter(|s| s.owed) else { return };
        session.owed = false;
        let link = session.link;
        self.on(link, |l| {
            l.open.remove(&id);
        });
    }

    /// Books a change on a connection, and keeps nothing of one that has nothing on it.
    fn on(&mut self, link: ViewerLink, change: impl FnOnce(&mut OnLink)) {
        let on = self.links.entry(link).or_default();
        change(on);
        if on.open.is_empty() && on.standing == 0 {
            self.links.remove(&link);
        }
    }

    pub(in crate::director) fn hear(&mut self, now: Micros, input: Input, out: &mut Outbox) {
        match input {
            Input::List { scope, entries } => self.list(scope, entries, out),
            Input::Wanted { link, request, parcel } => self.wanted(now, link, request, parcel, out),
            Input::Playing { link, request, streamer } => self.playing(now, link, request, streamer, out),
            Input::Unusable(link, id) => self.unusable(link, id, out),
            Input::ViewerLeft(link, id) => self.viewer_left(link, id, out),
            Input::LinkLost(link) => {
                let open = self.links.get(&link).map(|l| l.open.clone()).unwrap_or_default();
                open.into_iter().for_each(|id| self.viewer_left(link, id, out));
            }
            Input::Undelivered(id) => self.undelivered(id, out),
            Input::Unread(id) => {
                out.counters.undelivered += u64::from(self.holds(id));
                self.end_on_both_sides(id, Over::Cut, Outcome::Canceled, out);
            }
            Input::Stands { streamer, session, number, description } => {
                self.stands(now, streamer, session, number, description, out);
            }
            Input::TurnedAway { streamer, session, number, outcome, report } => {
                match outcome {
                    Outcome::QueueFull => out.counters.full += 1,
                    Outcome::Failed => out.counters.errors += 1,
                    _ => out.counters.broken += 1,
                }
                self.attempt_over(session, number, streamer, outcome, report, out);
            }
            Input::Unsent(attempt, why) => {
                let outcome = match why {
                    Unsent::NoConnection => Outcome::ConnectError,
                    Unsent::Withdrawn => Outcome::Ignored,
                };
                out.counters.no_connection += u64::from(why == Unsent::NoConnection);
                out.counters.withdrawn += u64::from(why == Unsent::Withdrawn);
                self.own_attempt_over(attempt, Some(outcome), out);
            }
            Input::GaveUp(attempt) => self.own_attempt_over(attempt, None, out),
            Input::Broken(attempt) => {
                out.counters.broken += 1;
                self.own_attempt_over(attempt, Some(Outcome::Reset), out);
            }
            Input::Spoilt(attempt) => {
                out.counters.spoilt += 1;
                self.own_attempt_over(attempt, Some(Outcome::Garbled), out);
            }
            Input::Released { streamer, session, number, why, description, report } => {
                if why == Over::Ended && !description.is_empty() {
                    self.began_and_ended(session, number, streamer, description, report, out);
                } else {
                    self.released(streamer, session, number, why, report, out);
                }
            }
            Input::Contact { streamer, up } => {
                out.events.push(Event::ConnectResult { streamer, connected: up })
            }
            Input::DropHeard(_) => {}
            Input::LaidDown(ids) => ids.into_iter().for_each(|id| self.lay_down(id, out)),
            Input::Lost(streamer) => self.lost(streamer, Micros::MAX, out),
            Input::Noted { streamer, session, kind, value } => {
                let stage = self.sessions.get(&session).map(|s| s.stage);
                if matches!(stage, Some(Stage::Standing { streamer: at, .. }) if at == streamer) {
                    out.counters.notes += 1;
                    if kind == NoteKind::Rung {
                        self.sessions.entry(session).and_modify(|s| s.rung = value.clamp(0.0, 64.0) as usize);
                    }
                    out.events.push(Event::Note { request: session, streamer, kind, value });
                } else {
                    out.counters.strays += 1;
                }
            }
            Input::Probed { streamer, outcome, report } => {
                out.counters.probes_failed += u64::from(outcome != Outcome::Ok);
                out.events.push(Event::Probed { streamer, outcome, report });
            }
            Input::Due(Due::Timer(tag)) => out.events.push(Event::Timer(tag)),
            Input::Due(Due::Attempt(attempt)) => self.attempt_due(attempt, out),
            Input::Due(Due::Answer(id)) => self.answer_due(id, out),
            Input::Hurry => {
                let open: Vec<_> = self.links.values().flat_map(|l| l.open.iter().copied()).collect();
                open.into_iter().for_each(|id| self.answer_due(id, out));
            }
        }
    }

    /// Carries out what the module decided.
    pub(in crate::director) fn act(&mut self, now: Micros, action: Action, out: &mut Outbox) {
        match action {
            Action::Send { request, streamer, try_for_us } => {
                self.send(now, request, streamer, try_for_us, out)
            }
            Action::Rate { request, rung } => {
                let Some(session) = self.sessions.get_mut(&request) else { return };
                session.rung = rung;
                if let Stage::Standing { streamer, .. } = session.stage {
                    out.counters.rung_changes += 1;
                    out.deeds.push(Deed::Rung(streamer, request, rung));
                }
            }
            Action::Refuse { request, hold_off_us } => {
                if let Some((link, class)) = self.settle(request) {
                    out.counters.refused += 1;
                    out.answered(class, |c| &mut c.throttled);
                    out.deeds.push(Deed::Refuse(link, request, hold_off_us));
                }
            }
            Action::EndFailed(request) => {
                if let Some((link, class)) = self.settle(request) {
                    out.counters.failed += 1;
                    out.answered(class, |c| &mut c.faulted);
                    out.deeds.push(Deed::Fail(link, request));
                }
            }
            Action::Move(request) => {
                let Some(Session { link, stage: Stage::Standing { streamer, .. }, .. }) =
                    self.sessions.get(&request)
                else {
                    return;
                };
                let (link, streamer) = (*link, *streamer);
                out.counters.moved += 1;
                out.deeds.push(Deed::MoveOff(link, request));
                out.deeds.push(Deed::Drop(streamer, request));
                self.over(request, streamer, Outcome::Canceled, LoadReport::default(), out);
            }
            Action::Probe(streamer) => {
                out.counters.probes += 1;
                out.deeds.push(Deed::Probe(streamer));
            }
            Action::Timer { after_us, tag } => {
                out.deeds.push(Deed::Wake(now.saturating_add(after_us), Due::Timer(tag)));
            }
            Action::Subscribe => {} // the bulletin is always listened to
            Action::Log(words) => out.deeds.push(Deed::Log(words)),
        }
    }
}
