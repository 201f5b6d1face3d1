//! Inputs and outputs of the director's session ledger.
//!
//! They hold neither encoded messages nor sockets. Payloads that the director forwards without interpreting
//! them are carried as a [`Parcel`] or a [`Description`].
use crate::interface::*;
use std::rc::Rc;

/// Identifies a viewer connection. The transport assigns the number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ViewerLink(pub usize);

/// The part of a viewer's set-up that is forwarded to a streamer without being interpreted.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Parcel {
    /// Class name as sent by the viewer.
    pub class: String,
    /// Title name as sent by the viewer.
    pub title: String,
    /// Session description from the set-up request.
    pub description: Vec<u8>,
}

/// A streamer's description of an established session, forwarded without being interpreted.
pub type Description = Vec<u8>;

/// No viewer connection: the link of what came from elsewhere.
pub const NO_LINK: ViewerLink = ViewerLink(usize::MAX);

/// A session at one streamer. What is known of it there says nothing of the same session at other streamers:
/// an attempt that was answered late at one may stand at another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct SessionAtStreamer {
    /// The session.
    pub session: RequestId,
    /// The streamer.
    pub streamer: StreamerId,
}

/// What a process of a director leaves to the process that replaces it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Handover {
    /// The established sessions, with their rungs.
    pub rungs: Vec<(RequestId, usize)>,
    /// Sessions that viewers have ended and that this process did not hold: the other one may. They have
    /// ended wherever they play.
    pub ended: Vec<RequestId>,
    /// What this process has released lately at streamers, which may not have heard of it yet.
    pub released: Vec<SessionAtStreamer>,
    /// Releases by streamers of sessions that this process did not hold, and why.
    pub released_by_streamers: Vec<(SessionAtStreamer, SessionEnd)>,
}

/// Identifies one attempt to set up a session.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Attempt {
    /// The session.
    pub session: RequestId,
    /// Sequence number of the attempt within the session, from 0.
    pub number: u32,
}

/// Why no byte of an attempt was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnsentReason {
    /// No connection to the streamer could be established.
    NoConnection,
    /// The streamer was no longer up when the attempt was due to be sent, or no file descriptor was left.
    Withdrawn,
}

/// Why an established session ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SessionEnd {
    /// It ran to completion.
    Ended,
    /// It was cut off, by its streamer or because its streamer was lost.
    Cut,
    /// Its viewer ended it, or it was moved; the viewer needs no notification.
    Left,
}

/// Kinds of deadline that the ledger sets.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum DeadlineKind {
    /// A timer of the decision module.
    Timer(TimerTag),
    /// An attempt timed out.
    Attempt(Attempt),
    /// The time limit for the viewer's final answer has passed.
    Answer(RequestId),
    /// The wait for the streamer of a session that was handed over, or the time for which it is kept, is
    /// over.
    Handover(SessionAtStreamer),
}

/// An event that the ledger processes.
#[derive(Clone, Debug)]
pub enum Input {
    /// An update of the streamer list.
    List {
        /// How the entries relate to the whole list.
        scope: ListScope,
        /// The entries.
        entries: Vec<Entry>,
    },
    /// A viewer requests a session.
    Wanted {
        /// The connection that the request came on.
        link: ViewerLink,
        /// The request.
        request: Request,
        /// The payload to forward with it.
        parcel: Rc<Parcel>,
    },
    /// A session that already plays at a streamer is handed over to this director. The streamer may not be
    /// listed yet.
    Playing {
        /// The connection that the request came on.
        link: ViewerLink,
        /// The request.
        request: Request,
        /// The streamer that plays it.
        streamer: StreamerId,
    },
    /// A set-up request was received that is unusable.
    Unusable(ViewerLink, RequestId),
    /// A viewer cancelled its set-up or ended its session.
    ViewerLeft(ViewerLink, RequestId),
    /// A viewer connection was lost.
    LinkLost(ViewerLink),
    /// The success answer of this session could not be delivered in full because the viewer's connection
    /// was lost.
    Undelivered(RequestId),
    /// The success answer of this session was written but may not have been read: the viewer's connection
    /// was reset immediately afterwards.
    Unread(RequestId),
    /// A streamer reported that the session is established.
    Stands {
        /// The streamer.
        streamer: StreamerId,
        /// The session.
        session: RequestId,
        /// Number of the attempt that is open on the connection of the answer, if any.
        number: Option<u32>,
        /// The description to forward to the viewer.
        description: Description,
    },
    /// A streamer rejected an attempt.
    TurnedAway {
        /// The streamer.
        streamer: StreamerId,
        /// The session.
        session: RequestId,
        /// Number of the attempt that is open on the connection of the answer, if any.
        number: Option<u32>,
        /// How the attempt ended.
        outcome: Outcome,
        /// Load report from the same message.
        report: LoadReport,
    },
    /// No byte of this attempt has been sent, and none will be.
    Unsent(Attempt, UnsentReason),
    /// The cancellation of this attempt was written, or its connection was closed.
    GaveUp(Attempt),
    /// The connection broke while this attempt was outstanding on it.
    Broken(Attempt),
    /// The connection on which this attempt was outstanding was closed because it carried data that could
    /// not be parsed.
    Spoilt(Attempt),
    /// A streamer released a session.
    Released {
        /// The streamer.
        streamer: StreamerId,
        /// The session.
        session: RequestId,
        /// Number of the attempt that is open on the connection of the release, if any.
        number: Option<u32>,
        /// Why it ended.
        why: SessionEnd,
        /// The description for the viewer if the session ended as soon as it was established; else empty.
        description: Description,
        /// Load report from the same message.
        report: LoadReport,
    },
    /// What the previous process of this director has left.
    Inherited(Handover),
    /// The release of this session was written to this streamer, which may not have read it: its connection
    /// ended.
    ReleaseUnread(StreamerId, RequestId),
    /// The same with a rung change of this session.
    RungUnread(StreamerId, RequestId),
    /// A streamer acknowledged the release of a session, which has ended there. The ledger does not change.
    DropHeard(SessionAtStreamer),
    /// These sessions now belong to another director. The ledger removes them without ending the established
    /// ones at their streamers.
    LaidDown(Vec<RequestId>),
    /// A streamer was lost together with its sessions.
    Lost(StreamerId),
    /// A connection attempt to a streamer succeeded or failed.
    Contact {
        /// The streamer.
        streamer: StreamerId,
        /// Whether it succeeded.
        up: bool,
    },
    /// A streamer sent a status note on an established session.
    Noted {
        /// The streamer.
        streamer: StreamerId,
        /// The session.
        session: RequestId,
        /// What the note reports.
        kind: NoteKind,
        /// The reported value.
        value: f64,
    },
    /// A load probe completed.
    Probed {
        /// The streamer.
        streamer: StreamerId,
        /// How the probe ended.
        outcome: Outcome,
        /// Load report from the same message.
        report: LoadReport,
    },
    /// No request may wait any longer: pending requests are cancelled and answered.
    Hurry,
    /// A deadline that the ledger set has passed.
    Due(DeadlineKind),
}

/// A set-up request to send to a streamer.
#[derive(Clone, Debug, PartialEq)]
pub struct SetUp {
    /// The streamer.
    pub streamer: StreamerId,
    /// The attempt.
    pub attempt: Attempt,
    /// The rung to start at.
    pub rung: usize,
    /// When the director stops waiting for the answer.
    pub until: Micros,
    /// Latest time to send the first byte; after that the set-up is not sent at all, because the streamers
    /// may no longer recognise it as a repeat of an earlier attempt. [`Micros::MAX`] if there is nothing that
    /// it could repeat.
    pub send_by: Micros,
    /// The payload to forward.
    pub parcel: Rc<Parcel>,
}

/// An operation for the transport. Outputs are carried out in the order in which they are returned.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Answer the viewer: the session is established.
    Answer(ViewerLink, RequestId, Description),
    /// Answer the viewer: refused. It should not retry before this time has passed.
    Refuse(ViewerLink, RequestId, Micros),
    /// Answer the viewer: failed.
    Fail(ViewerLink, RequestId),
    /// Answer the viewer: failed because the set-up was unusable. This counts against its connection.
    Spurn(ViewerLink, RequestId),
    /// Tell the viewer that its session has ended.
    Release(ViewerLink, RequestId, SessionEnd),
    /// Tell the viewer to request the session again.
    MoveOff(ViewerLink, RequestId),
    /// Send the set-up to a streamer.
    SetUp(SetUp),
    /// Cancel an attempt. [`Input::GaveUp`] or [`Input::Unsent`] reports completion.
    GiveUp(StreamerId, Attempt),
    /// Release a session at a streamer.
    Drop(StreamerId, RequestId),
    /// Set the rung of a session that is playing.
    Rung(StreamerId, RequestId, usize),
    /// Send a load probe to a streamer.
    Probe(StreamerId),
    /// Keep the streamer reachable: it has an established session, whose messages must be able to arrive.
    Attend(StreamerId),
    /// Forget the name of a streamer that is not listed.
    Forget(StreamerId),
    /// Set a deadline.
    Wake(Micros, DeadlineKind),
    /// Write a log line for operators.
    Log(String),
}
