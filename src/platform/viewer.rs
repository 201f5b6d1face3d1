//! The viewers' binary messages: `length:2 type:1 session:8 parameters`, big-endian.
use super::MAX_MESSAGE_BYTES;
use crate::interface::RequestId;

const SET_UP: u8 = 1;
const PROGRESS: u8 = 6;
const ANSWER: u8 = 9;
const RELEASE: u8 = 12;
const RELEASE_HEARD: u8 = 16;
const MOVE: u8 = 51;
const TEST: u8 = 52;
const TEST_RESULT: u8 = 53;

/// The longest name of a class or title.
const NAME_MOST: usize = 128;

const P_CLASS: u8 = 16;
const P_WAIT: u8 = 19;
const P_RETRY: u8 = 25;
const P_TITLE: u8 = 28;
const P_FIGURES: u8 = 31;
const P_STAY_AWAY: u8 = 34;
const P_CAUSE: u8 = 58;
const P_DESCRIPTION: u8 = 61;

/// Cause of a release after a session's proper end.
pub const CAUSE_ENDED: u8 = 16;
/// Cause of a refusal: trying again is harmless.
pub const CAUSE_REFUSED: u8 = 42;
/// Cause of a failure, and of a release after a session was cut.
pub const CAUSE_FAILED: u8 = 41;

/// What a viewer can get wrong. A length that can't be ends its connection, since no later message can be
/// found behind it; anything else is answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ViewerError {
    /// The length is under that of the fixed part, or over the limit.
    #[error("message length {0} is out of bounds")]
    Length(usize),
    /// Of a type that viewers don't send.
    #[error("type {0} is no viewer's message")]
    Kind(u8),
    /// It has no number.
    #[error("a set-up without a number")]
    Unnumbered,
    /// A parameter does not fit into its message.
    #[error("a parameter runs past the end of its message")]
    Parameter,
    /// A text parameter is no text.
    #[error("parameter {0} is not text")]
    NotText(u8),
    /// A set-up lacks a parameter that it must have, or one can't be read.
    #[error("a set-up's parameter {0} is missing or can't be read")]
    SetUp(u8),
}

/// A set-up as a viewer asks for it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SetUp {
    /// The session's id, never used twice.
    pub session: u64,
    /// The class.
    pub class: String,
    /// How long the viewer waits, in milliseconds.
    pub wait_ms: Option<u64>,
    /// It is marked as a retry.
    pub retry: bool,
    /// The title.
    pub title: String,
    /// First cell that holds the title.
    pub home: u32,
    /// Cells in a row that hold it.
    pub copies: u32,
    /// The viewer's best rung.
    pub top: Option<usize>,
    /// Who watches.
    pub viewer: String,
    /// The viewer comes again.
    pub again: bool,
    /// The streamer at which the session plays already.
    pub at: Option<String>,
    /// The description, passed on unread.
    pub description: Vec<u8>,
}

/// A message from viewers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FromViewer {
    /// A session is wanted.
    SetUp(Box<SetUp>),
    /// The set-up is given up, or the session ended.
    Left(RequestId),
    /// A test; carries the id to answer with.
    Test(RequestId),
    /// A set-up that can't be used, or a message of no known type; it is answered under its number.
    Unusable(RequestId, ViewerError),
    /// Means nothing to a director.
    Idle,
}

/// Reads one message; `None` where it is not whole yet. Also tells how many bytes it took.
pub fn read(bytes: &[u8]) -> Result<Option<(FromViewer, usize)>, ViewerError> {
    let [high, low, rest @ ..] = bytes else { return Ok(None) };
    let length = usize::from(u16::from_be_bytes([*high, *low]));
    if !(9..=MAX_MESSAGE_BYTES).contains(&length) {
        return Err(ViewerError::Length(length));
    }
    let Some(body) = rest.get(..length) else { return Ok(None) };
    let [kind, s0, s1, s2, s3, s4, s5, s6, s7, parameters @ ..] = body else { return Ok(None) };
    let session = u64::from_be_bytes([*s0, *s1, *s2, *s3, *s4, *s5, *s6, *s7]);
    let message = match *kind {
        SET_UP => match set_up(session, parameters) {
            Ok(set_up) => FromViewer::SetUp(Box::new(set_up)),
            Err(why) => FromViewer::Unusable(RequestId(session), why),
        },
        RELEASE => FromViewer::Left(RequestId(session)),
        TEST => FromViewer::Test(RequestId(session)),
        PROGRESS | RELEASE_HEARD => FromViewer::Idle,
        other => FromViewer::Unusable(RequestId(session), ViewerError::Kind(other)),
    };
    Ok(Some((message, 2 + length)))
}

fn set_up(session: u64, mut parameters: &[u8]) -> Result<SetUp, ViewerError> {
    if session == 0 {
        return Err(ViewerError::Unnumbered);
    }
    let mut set_up = SetUp { session, ..SetUp::default() };
    let (mut class, mut title, mut figured) = (None, None, false);
    while let [code, high, low, rest @ ..] = parameters {
        let length = usize::from(u16::from_be_bytes([*high, *low]));
        let value = rest.get(..length).ok_or(ViewerError::Parameter)?;
        parameters = &rest[length..];
        if *code == P_DESCRIPTION {
            set_up.description = value.to_vec();
            continue;
        }
        let text = std::str::from_utf8(value);
        let text = || text.map_err(|_| ViewerError::NotText(*code));
        match *code {
            P_CLASS => class = Some(text()?.to_owned()),
            P_TITLE => title = Some(text()?.to_owned()),
            P_WAIT => set_up.wait_ms = Some(text()?.parse().map_err(|_| ViewerError::SetUp(P_WAIT))?),
            P_RETRY => set_up.retry = text()? == "1",
            P_FIGURES => figured = figures(&mut set_up, text()?)?,
            _ => {}
        }
    }
    if !parameters.is_empty() {
        return Err(ViewerError::Parameter);
    }
    set_up.class = class.ok_or(ViewerError::SetUp(P_CLASS))?;
    set_up.title = title.ok_or(ViewerError::SetUp(P_TITLE))?;
    if !figured {
        return Err(ViewerError::SetUp(P_FIGURES));
    }
    if set_up.wait_ms == Some(0) {
        return Err(ViewerError::SetUp(P_WAIT));
    }
    // Both travel on in the lines of a text protocol, the title in an address.
    let plain = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.' | b'~');
    for (code, text) in [(P_CLASS, &set_up.class), (P_TITLE, &set_up.title)] {
        if !(1..=NAME_MOST).contains(&text.len()) || !text.bytes().all(plain) {
            return Err(ViewerError::SetUp(code));
        }
    }
    Ok(set_up)
}

/// Takes the figures; tells whether all that a set-up must have are there.
fn figures(set_up: &mut SetUp, text: &str) -> Result<bool, ViewerError> {
    let (mut home, mut copies) = (false, false);
    for pair in text.split(';') {
        let Some((key, value)) = pair.split_once(':') else { continue };
        let number = || value.parse::<u32>().map_err(|_| ViewerError::SetUp(P_FIGURES));
        match key {
            "home" => (set_up.home, home) = (number()?, true),
            "copies" => (set_up.copies, copies) = (number()?, true),
            "top" => set_up.top = Some(number()? as usize),
            "viewer" => set_up.viewer = value.to_owned(),
            "again" => set_up.again = value == "1",
            "at" => set_up.at = Some(value.to_owned()),
            _ => {}
        }
    }
    Ok(home && copies && set_up.top.is_some() && !set_up.viewer.is_empty())
}

fn message(kind: u8, session: RequestId, parameters: &[(u8, &[u8])]) -> Vec<u8> {
    let length = 9 + parameters.iter().map(|p| 3 + p.1.len()).sum::<usize>();
    let mut out = Vec::with_capacity(2 + length);
    out.extend_from_slice(&(length as u16).to_be_bytes());
    out.push(kind);
    out.extend_from_slice(&session.0.to_be_bytes());
    for (code, value) in parameters {
        out.push(*code);
        out.extend_from_slice(&(value.len() as u16).to_be_bytes());
        out.extend_from_slice(value);
    }
    out
}

/// The session stands. `None` where the description is too long to be passed on in one message.
pub fn answer(session: RequestId, description: &[u8]) -> Option<Vec<u8>> {
    let fits = description.len() + 12 <= MAX_MESSAGE_BYTES;
    fits.then(|| message(ANSWER, session, &[(P_DESCRIPTION, description)]))
}

/// Refused; the viewer should stay away for so many milliseconds.
pub fn refusal(session: RequestId, stay_away_ms: u64) -> Vec<u8> {
    let stay_away = stay_away_ms.to_string();
    message(RELEASE, session, &[(P_CAUSE, &[CAUSE_REFUSED]), (P_STAY_AWAY, stay_away.as_bytes())])
}

/// The session that a written message is for, in hexadecimal.
pub fn session_of(message: &[u8]) -> String {
    message.get(3..11).unwrap_or_default().iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Released: failed before the answer, over after it.
pub fn release(session: RequestId, cause: u8) -> Vec<u8> {
    message(RELEASE, session, &[(P_CAUSE, &[cause])])
}

/// The session is moved: the viewer is to come again.
pub fn move_off(session: RequestId) -> Vec<u8> {
    message(MOVE, session, &[])
}

/// A test's result.
pub fn test_result(session: RequestId, passed: bool) -> Vec<u8> {
    message(TEST_RESULT, session, &[(P_CAUSE, &[u8::from(passed)])])
}
