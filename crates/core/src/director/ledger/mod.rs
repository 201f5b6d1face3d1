//! The session ledger: tracks the state, the attempts and the pending answer of every session.
//!
//! It upholds three invariants for any inputs in any order: a request gets exactly one final answer, at most
//! one of its attempts is in flight at a time, and nothing from a canceled attempt reaches the viewer.
mod closed;
mod early_ends;
mod handovers;
mod outbox;
mod streamers;
mod succession;
mod viewers;

use super::messages::*;
use crate::interface::*;
use early_ends::EarlyEnds;
use handovers::WaitingSessions;
pub(in crate::director) use outbox::Outbox;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use streamers::StreamerRelease;

/// Part of the viewer's time limit that attempts may not use, so that an answer sent when the last attempt
/// times out still arrives in time. The controller is told the full time limit: it compares it with bounds
/// of its own, and a shortened limit could fall below them.
const ANSWER_MARGIN_US: Micros = 25_000;
/// How long past the deadline the ledger waits for the controller's final answer before it fails the request
/// itself. The last attempt ends at the deadline, and the controller decides only after that.
const ANSWER_GRACE_US: Micros = 5_000;

/// The state of a session.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SessionState {
    /// The controller decides where to place the session; no attempt is in flight.
    Placing,
    /// An attempt has been handed to the transport, and its result is awaited.
    InFlight { streamer: StreamerId, number: u32, since: Micros },
    /// The attempt is being canceled; it ends with `outcome` once the cancellation has been written.
    Canceling { streamer: StreamerId, number: u32, outcome: Outcome },
    /// The session is established at a streamer.
    Established { streamer: StreamerId, since: Micros },
}

impl SessionState {
    /// The streamer at which the session is established or has an attempt that is not over.
    fn streamer(self) -> Option<StreamerId> {
        match self {
            SessionState::Placing => None,
            SessionState::InFlight { streamer, .. }
            | SessionState::Canceling { streamer, .. }
            | SessionState::Established { streamer, .. } => Some(streamer),
        }
    }
}

/// A request and its session, from arrival to end.
#[derive(Debug)]
struct Session {
    link: ViewerLink,
    class: ClassId,
    /// What each set-up carries to the streamer; empty once the session is established.
    parcel: Rc<Parcel>,
    state: SessionState,
    rung: usize,
    /// Number of attempts made.
    attempts: u32,
    /// When the most recent attempt was sent.
    last_sent_at: Micros,
    /// Latest time to send a further attempt, once an earlier one may have run: after that, streamers may no
    /// longer recognise the repeat.
    resend_by: Micros,
    /// When attempts have to end: the viewer's time limit less [`ANSWER_MARGIN_US`].
    deadline: Micros,
    /// Whether the viewer still waits for the final answer.
    answer_pending: bool,
}

impl Session {
    /// Records the end of the current attempt. If the attempt may have run, later attempts have to be sent
    /// within the class's repeat window.
    fn end_attempt(&mut self, outcome: Outcome, repeat_windows: &[Option<Micros>]) {
        self.state = SessionState::Placing;
        let window = repeat_windows.get(self.class.0).copied().flatten();
        if let Some(window) = window.filter(|_| !outcome.never_ran()) {
            self.resend_by = self.resend_by.min(self.last_sent_at.saturating_add(window));
        }
    }
}

/// The requests and sessions of one viewer connection.
#[derive(Default)]
struct LinkSessions {
    /// Requests without a final answer.
    pending: BTreeSet<RequestId>,
    /// Number of established sessions.
    established: usize,
}

/// All sessions of the director.
#[derive(Default)]
pub(in crate::director) struct Ledger {
    sessions: BTreeMap<RequestId, Session>,
    /// The established sessions of each streamer that has any.
    established_at: BTreeMap<StreamerId, BTreeSet<RequestId>>,
    /// Viewer connections with pending requests or established sessions.
    links: BTreeMap<ViewerLink, LinkSessions>,
    /// The streamer list, without streamers that are gone.
    streamers: BTreeMap<StreamerId, Standing>,
    /// Ends of sessions that are not known to be established, by viewers and streamers. A session that is
    /// being handed over may end before the handover arrives.
    early_ends: EarlyEnds,
    /// Sessions that were handed over, and whose streamers discovery has not told of yet.
    waiting: WaitingSessions,
    /// Rungs of sessions that are still to be handed over, as recorded by the previous process. Streamers do
    /// not report rungs again, and if a session were assumed to be at the lowest rung, an attempt to raise it
    /// would in fact step it down.
    inherited_rungs: BTreeMap<RequestId, usize>,
    /// When the previous process's record was last loaded.
    inherited_at: Option<Micros>,
    /// The lowest rung of each class.
    lowest_rungs: Vec<usize>,
    /// For each class, how long streamers recognise a repeated set-up; `None` if they do not.
    repeat_windows: Vec<Option<Micros>>,
    max_attempts: u32,
}

/// The event for the end of an attempt that came without a load report.
fn attempt_ended(
    session: RequestId,
    number: u32,
    streamer: StreamerId,
    outcome: Outcome,
    last: bool,
) -> Event {
    let report = LoadReport::default();
    Event::Ended { request: session, attempt: number, streamer, outcome, last, report }
}

/// How long streamers recognise a repeated set-up of this class; `None` if they do not.
fn repeat_window(class: &Class) -> Option<Micros> {
    (class.effect == Effect::Deduplicated).then_some(class.repeat_window_us)
}

impl Ledger {
    /// An empty ledger for these settings.
    pub(in crate::director) fn new(settings: &Settings) -> Self {
        Ledger {
            lowest_rungs: settings.classes.iter().map(|c| c.lowest_rung).collect(),
            repeat_windows: settings.classes.iter().map(repeat_window).collect(),
            max_attempts: settings.max_attempts,
            ..Ledger::default()
        }
    }

    /// Whether the ledger holds this session, pending or established.
    pub(in crate::director) fn contains(&self, id: RequestId) -> bool {
        self.sessions.contains_key(&id) || self.waiting.holds(id)
    }

    /// Gives up a session that belongs to another director from now on. An established session is removed
    /// without a message to its viewer or streamer. A viewer that still waits is told that its set-up failed,
    /// and the attempt is canceled, as when its time is up.
    fn relinquish_session(&mut self, id: RequestId, out: &mut Outbox) {
        match self.sessions.get(&id).map(|s| s.state) {
            Some(SessionState::Established { streamer, .. }) => {
                self.remove_session(id, streamer, Outcome::Canceled, LoadReport::default(), out);
            }
            Some(_) => self.fail_unanswered(id, out),
            None => self.forget_waiting_session(id, out),
        }
    }

    /// Number of sessions established at a streamer.
    pub(in crate::director) fn established_at(&self, streamer: StreamerId) -> usize {
        self.established_at.get(&streamer).map_or(0, BTreeSet::len)
    }

    /// Number of requests without a final answer.
    pub(in crate::director) fn pending_requests(&self) -> usize {
        self.links.values().map(|l| l.pending.len()).sum()
    }

    /// Number of requests that have no final answer or have an established session.
    pub(in crate::director) fn open_requests(&self) -> usize {
        let on_links: usize = self.links.values().map(|l| l.pending.len() + l.established).sum();
        on_links + self.waiting.sessions(false).count()
    }

    /// Number of unanswered requests on a viewer connection, and of established sessions that came on it.
    pub(in crate::director) fn counts_on_link(&self, link: ViewerLink) -> (usize, usize) {
        self.links.get(&link).map_or((0, 0), |l| (l.pending.len(), l.established))
    }

    /// Marks a request as answered or abandoned: no final answer is pending for it any more.
    fn clear_pending_answer(&mut self, id: RequestId) {
        let Some(session) = self.sessions.get_mut(&id).filter(|s| s.answer_pending) else { return };
        session.answer_pending = false;
        let link = session.link;
        self.update_link(link, |l| {
            l.pending.remove(&id);
        });
    }

    /// Applies a change to the record of a viewer connection, and removes the record once it is empty.
    fn update_link(&mut self, link: ViewerLink, change: impl FnOnce(&mut LinkSessions)) {
        let on_link = self.links.entry(link).or_default();
        change(on_link);
        if on_link.pending.is_empty() && on_link.established == 0 {
            self.links.remove(&link);
        }
    }

    /// Updates the ledger for one input.
    pub(in crate::director) fn handle_input(&mut self, now: Micros, input: Input, out: &mut Outbox) {
        match input {
            Input::List { scope, entries } => self.update_streamer_list(now, scope, entries, out),
            Input::Wanted { link, request, parcel } => {
                self.handle_session_request(now, link, request, parcel, out)
            }
            Input::Playing { link, request, streamer } => {
                self.handle_handover(now, link, request, streamer, out)
            }
            Input::Unusable(link, id) => self.reject_set_up(link, id, out),
            Input::ViewerLeft(link, id) => self.handle_viewer_left(now, link, id, out),
            Input::LinkLost(link) => {
                let pending = self.links.get(&link).map(|l| l.pending.clone()).unwrap_or_default();
                pending.into_iter().for_each(|id| self.handle_viewer_left(now, link, id, out));
            }
            Input::Undelivered(id) => self.handle_undelivered_answer(id, out),
            Input::Unread(id) => {
                out.counters.undelivered += u64::from(self.contains(id));
                self.end_on_both_sides(id, SessionEnd::Cut, Outcome::Canceled, out);
            }
            Input::Stands { streamer, session, number, description } => {
                self.handle_established(now, streamer, session, number, description, out);
            }
            Input::TurnedAway { streamer, session, number, outcome, report } => {
                match outcome {
                    Outcome::QueueFull => out.counters.full += 1,
                    Outcome::Failed => out.counters.errors += 1,
                    _ => out.counters.broken += 1,
                }
                self.end_attempt_by_streamer(session, number, streamer, outcome, report, out);
            }
            Input::Unsent(attempt, why) => {
                let outcome = match why {
                    UnsentReason::NoConnection => Outcome::ConnectError,
                    UnsentReason::Withdrawn => Outcome::Ignored,
                };
                out.counters.no_connection += u64::from(why == UnsentReason::NoConnection);
                out.counters.withdrawn += u64::from(why == UnsentReason::Withdrawn);
                self.end_attempt_locally(attempt, Some(outcome), out);
            }
            Input::GaveUp(attempt) => self.end_attempt_locally(attempt, None, out),
            Input::Broken(attempt) => {
                out.counters.broken += 1;
                self.end_attempt_locally(attempt, Some(Outcome::Reset), out);
            }
            Input::Spoilt(attempt) => {
                out.counters.spoilt += 1;
                self.end_attempt_locally(attempt, Some(Outcome::Garbled), out);
            }
            Input::Released { streamer, session, number, why: reason, description, report } => {
                let release = StreamerRelease { streamer, session, number, reason, report };
                if reason == SessionEnd::Ended && !description.is_empty() {
                    self.handle_immediate_end(now, release, description, out);
                } else {
                    self.handle_release(now, release, out);
                }
            }
            Input::ReleaseUnread(streamer, session) => self.repeat_release(streamer, session, out),
            Input::RungUnread(streamer, session) => self.repeat_rung(streamer, session, out),
            Input::Contact { streamer, up } => {
                out.events.push(Event::ConnectResult { streamer, connected: up })
            }
            Input::Inherited(handover) => self.inherit(now, handover, out),
            Input::DropHeard(_) => {}
            Input::LaidDown(ids) => ids.into_iter().for_each(|id| self.relinquish_session(id, out)),
            Input::Lost(streamer) => self.end_lost_sessions(streamer, Micros::MAX, out),
            Input::Noted { streamer, session, kind, value } => {
                let state = self.sessions.get(&session).map(|s| s.state);
                if matches!(state, Some(SessionState::Established { streamer: at, .. }) if at == streamer) {
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
            Input::Due(DeadlineKind::Timer(tag)) => out.events.push(Event::Timer(tag)),
            Input::Due(DeadlineKind::Attempt(attempt)) => self.handle_attempt_timeout(attempt, out),
            Input::Due(DeadlineKind::Answer(id)) => self.fail_unanswered(id, out),
            Input::Due(DeadlineKind::Handover(at)) => self.handle_handover_deadline(now, at, out),
            Input::Hurry => {
                let pending: Vec<_> = self.links.values().flat_map(|l| l.pending.iter().copied()).collect();
                pending.into_iter().for_each(|id| self.fail_unanswered(id, out));
            }
        }
    }

    /// Carries out one action of the controller.
    pub(in crate::director) fn apply_action(&mut self, now: Micros, action: Action, out: &mut Outbox) {
        match action {
            Action::Send { request, streamer, try_for_us } => {
                self.send_attempt(now, request, streamer, try_for_us, out)
            }
            Action::Rate { request, rung } => {
                let Some(session) = self.sessions.get_mut(&request) else { return };
                session.rung = rung;
                if let SessionState::Established { streamer, .. } = session.state {
                    out.counters.rung_changes += 1;
                    out.outputs.push(Output::Rung(streamer, request, rung));
                }
            }
            Action::Refuse { request, hold_off_us } => {
                if let Some((link, class)) = self.remove_unanswered(request) {
                    out.counters.refused += 1;
                    out.count_answer(class, |c| &mut c.throttled);
                    out.outputs.push(Output::Refuse(link, request, hold_off_us));
                }
            }
            Action::EndFailed(request) => {
                if let Some((link, class)) = self.remove_unanswered(request) {
                    out.counters.failed += 1;
                    out.count_answer(class, |c| &mut c.faulted);
                    out.outputs.push(Output::Fail(link, request));
                }
            }
            Action::Move(request) => {
                let Some(Session { link, state: SessionState::Established { streamer, .. }, .. }) =
                    self.sessions.get(&request)
                else {
                    return;
                };
                let (link, streamer) = (*link, *streamer);
                out.counters.moved += 1;
                out.outputs.push(Output::MoveOff(link, request));
                out.release_at_streamer(streamer, request);
                self.remove_session(request, streamer, Outcome::Canceled, LoadReport::default(), out);
            }
            Action::Probe(streamer) => {
                out.counters.probes += 1;
                out.outputs.push(Output::Probe(streamer));
            }
            Action::Timer { after_us, tag } => {
                out.outputs.push(Output::Wake(now.saturating_add(after_us), DeadlineKind::Timer(tag)));
            }
            Action::Subscribe => {} // discovery is always subscribed to
            Action::Log(line) => out.outputs.push(Output::Log(line)),
        }
    }
}
