//! What goes into the director's ledger each turn and what comes out of it. No bytes, no sockets: what is
//! passed on unread travels as a [`Parcel`] or a [`Description`].
use crate::interface::*;
use std::rc::Rc;

/// Names a connection from viewers; given out by the transport.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ViewerLink(pub usize);

/// What a viewer's set-up carries that is passed on to a streamer unread.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Parcel {
    /// The class, as the viewer named it.
    pub class: String,
    /// The title, as the viewer named it.
    pub title: String,
    /// The description that came with the set-up.
    pub description: Vec<u8>,
}

/// A streamer's description of a session that stands, passed on unread.
pub type Description = Vec<u8>;

/// One attempt of a session.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Attempt {
    /// Which session.
    pub session: RequestId,
    /// Its number, from 0.
    pub number: u32,
}

/// Why an attempt never left.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnsentReason {
    /// No connection to the streamer came up.
    NoConnection,
    /// The streamer was no longer up when the attempt's turn came, or no descriptor was left for it.
    Withdrawn,
}

/// Why a session that stood is over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SessionEnd {
    /// It came to its end.
    Ended,
    /// It was cut: by its streamer, or since its streamer is lost.
    Cut,
    /// Its viewer ended it, or it was moved: the viewer is owed nothing.
    Left,
}

/// A deadline of the ledger's.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum DeadlineKind {
    /// The module's timer.
    Timer(TimerTag),
    /// The time of an attempt is up.
    Attempt(Attempt),
    /// The viewer's time is up.
    Answer(RequestId),
}

/// What the ledger hears.
#[derive(Clone, Debug)]
pub enum Input {
    /// News of the list of streamers.
    List {
        /// How the list is meant.
        scope: ListScope,
        /// Its entries.
        entries: Vec<Entry>,
    },
    /// A viewer wants a session.
    Wanted {
        /// Where the request came from.
        link: ViewerLink,
        /// The request.
        request: Request,
        /// What is passed on with it.
        parcel: Rc<Parcel>,
    },
    /// A session is handed over that plays at a streamer already.
    Playing {
        /// Where the request came from.
        link: ViewerLink,
        /// The request.
        request: Request,
        /// Where it plays.
        streamer: StreamerId,
    },
    /// A set-up came that can't be used.
    Unusable(ViewerLink, RequestId),
    /// A viewer gave its set-up up, or ended its session.
    ViewerLeft(ViewerLink, RequestId),
    /// A connection from viewers is gone.
    LinkLost(ViewerLink),
    /// The answer that this session stands could not be passed on whole: its viewer's connection is gone.
    Undelivered(RequestId),
    /// The answer that this session stands was written, and may not have been read: its viewer's connection
    /// was reset right after it.
    Unread(RequestId),
    /// A streamer answered that the session stands.
    Stands {
        /// Which streamer.
        streamer: StreamerId,
        /// Which session.
        session: RequestId,
        /// The attempt that is open on the connection of the answer, if any.
        number: Option<u32>,
        /// What the viewer is to be told.
        description: Description,
    },
    /// A streamer turned an attempt away.
    TurnedAway {
        /// Which streamer.
        streamer: StreamerId,
        /// Which session.
        session: RequestId,
        /// The attempt that is open on the connection of the answer, if any.
        number: Option<u32>,
        /// How.
        outcome: Outcome,
        /// The load report that came along.
        report: LoadReport,
    },
    /// Not a byte of this attempt has left, and none will.
    Unsent(Attempt, UnsentReason),
    /// The give-up of this attempt has been written, or its connection was closed.
    GaveUp(Attempt),
    /// The connection broke on which this attempt was out.
    Broken(Attempt),
    /// The connection on which this attempt was out had to be closed: what came on it can't be read.
    Spoilt(Attempt),
    /// A streamer released a session.
    Released {
        /// Which streamer.
        streamer: StreamerId,
        /// Which session.
        session: RequestId,
        /// The attempt that is open on the connection of the release, if any.
        number: Option<u32>,
        /// Why.
        why: SessionEnd,
        /// What the viewer is to be told of a session that ended as it began; else empty.
        description: Description,
        /// The load report that came along.
        report: LoadReport,
    },
    /// A streamer heard that a session is to be ended: it is over there. Nothing changes here.
    DropHeard(RequestId),
    /// These sessions are another director's: they are forgotten, and nothing of them is touched.
    LaidDown(Vec<RequestId>),
    /// A streamer is lost, and its sessions with it.
    Lost(StreamerId),
    /// A connection to a streamer came up, or did not.
    Contact {
        /// Which streamer.
        streamer: StreamerId,
        /// Whether it came up.
        up: bool,
    },
    /// A note on a session that stands.
    Noted {
        /// Which streamer.
        streamer: StreamerId,
        /// Which session.
        session: RequestId,
        /// What it tells.
        kind: NoteKind,
        /// Its value.
        value: f64,
    },
    /// A load test's result.
    Probed {
        /// Which streamer.
        streamer: StreamerId,
        /// How it ended.
        outcome: Outcome,
        /// The load report that came along.
        report: LoadReport,
    },
    /// Nothing may wait any longer: what is open is given up and answered.
    Hurry,
    /// A deadline of the ledger's has come.
    Due(DeadlineKind),
}

/// A set-up that is passed on to a streamer.
#[derive(Clone, Debug, PartialEq)]
pub struct SetUp {
    /// Which streamer.
    pub streamer: StreamerId,
    /// Which attempt.
    pub attempt: Attempt,
    /// The rung to start at.
    pub rung: usize,
    /// Until when the director waits.
    pub until: Micros,
    /// Its first byte must have left by then, or it is not sent at all: later the streamers may no longer
    /// recognise it as a repeat of an earlier attempt. [`Micros::MAX`] where nothing can be repeated.
    pub send_by: Micros,
    /// What is passed on.
    pub parcel: Rc<Parcel>,
}

/// What the ledger wants done, in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Answer: the session stands.
    Answer(ViewerLink, RequestId, Description),
    /// Answer: refused; the viewer should stay away for so long.
    Refuse(ViewerLink, RequestId, Micros),
    /// Answer: failed.
    Fail(ViewerLink, RequestId),
    /// Answer: failed, since the set-up could not be used; that speaks against its connection.
    Spurn(ViewerLink, RequestId),
    /// Tell the viewer that its session is over.
    Release(ViewerLink, RequestId, SessionEnd),
    /// Tell the viewer to come again.
    MoveOff(ViewerLink, RequestId),
    /// Pass the set-up on to a streamer.
    SetUp(SetUp),
    /// Give an attempt up; [`Input::GaveUp`] or [`Input::Unsent`] tells when that is done.
    GiveUp(StreamerId, Attempt),
    /// Release a session at a streamer.
    Drop(StreamerId, RequestId),
    /// Set the rung of a session that plays.
    Rung(StreamerId, RequestId, usize),
    /// Ask a streamer for its load.
    Probe(StreamerId),
    /// A session stands there: what concerns it must be able to come in.
    Attend(StreamerId),
    /// Set a deadline.
    Wake(Micros, DeadlineKind),
    /// A line for the operators.
    Log(String),
}
