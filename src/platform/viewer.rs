//! The viewers' binary messages: `length:2 type:1 session:8 parameters`, big-endian.
use super::MESSAGE_MAX;
use crate::interface::RequestId;

const SET_UP: u8 = 1;
const PROGRESS: u8 = 6;
const ANSWER: u8 = 9;
const RELEASE: u8 = 12;
const RELEASE_COMPLETE: u8 = 16;
const MOVE: u8 = 51;
const TEST: u8 = 52;
const TEST_RESULT: u8 = 53;

/// The longest name of a class or title.
const MAX_NAME_LENGTH: usize = 128;

const PARAM_CLASS: u8 = 16;
const PARAM_WAIT: u8 = 19;
const PARAM_RETRY: u8 = 25;
const PARAM_TITLE: u8 = 28;
const PARAM_ATTRIBUTES: u8 = 31;
const PARAM_RETRY_AFTER: u8 = 34;
const PARAM_CAUSE: u8 = 58;
const PARAM_DESCRIPTION: u8 = 61;

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
    UnknownType(u8),
    /// It has no number.
    #[error("a set-up without a number")]
    MissingSession,
    /// A parameter does not fit into its message.
    #[error("a parameter runs past the end of its message")]
    TruncatedParameter,
    /// A text parameter is no text.
    #[error("parameter {0} is not text")]
    NotUtf8(u8),
    /// A set-up lacks a parameter that it must have, or one can't be read.
    #[error("a set-up's parameter {0} is missing or can't be read")]
    SetUpParameter(u8),
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
    pub start_cell: u32,
    /// Cells in a row that hold it.
    pub cells_in_row: u32,
    /// The viewer's best rung.
    pub max_rung: Option<usize>,
    /// Who watches.
    pub viewer: String,
    /// The viewer comes again.
    pub returning: bool,
    /// The streamer at which the session plays already.
    pub playing_at: Option<String>,
    /// The description, passed on unread.
    pub description: Vec<u8>,
}

/// A message from viewers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ViewerMessage {
    /// A session is wanted.
    SetUp(Box<SetUp>),
    /// The set-up is given up, or the session ended.
    Release(RequestId),
    /// A test; carries the id to answer with.
    Test(RequestId),
    /// A set-up that can't be used, or a message of no known type; it is answered under its number.
    Unusable(RequestId, ViewerError),
    /// Means nothing to a director.
    Ignored,
}

/// Reads one message; `None` where it is not whole yet. Also tells how many bytes it took.
pub fn read(bytes: &[u8]) -> Result<Option<(ViewerMessage, usize)>, ViewerError> {
    let [high, low, rest @ ..] = bytes else { return Ok(None) };
    let length = usize::from(u16::from_be_bytes([*high, *low]));
    if !(9..=MESSAGE_MAX).contains(&length) {
        return Err(ViewerError::Length(length));
    }
    let Some(body) = rest.get(..length) else { return Ok(None) };
    let [message_type, s0, s1, s2, s3, s4, s5, s6, s7, parameters @ ..] = body else { return Ok(None) };
    let session = u64::from_be_bytes([*s0, *s1, *s2, *s3, *s4, *s5, *s6, *s7]);
    let message = match *message_type {
        SET_UP => match parse_set_up(session, parameters) {
            Ok(set_up) => ViewerMessage::SetUp(Box::new(set_up)),
            Err(error) => ViewerMessage::Unusable(RequestId(session), error),
        },
        RELEASE => ViewerMessage::Release(RequestId(session)),
        TEST => ViewerMessage::Test(RequestId(session)),
        PROGRESS | RELEASE_COMPLETE => ViewerMessage::Ignored,
        other => ViewerMessage::Unusable(RequestId(session), ViewerError::UnknownType(other)),
    };
    Ok(Some((message, 2 + length)))
}

fn parse_set_up(session: u64, mut parameters: &[u8]) -> Result<SetUp, ViewerError> {
    if session == 0 {
        return Err(ViewerError::MissingSession);
    }
    let mut set_up = SetUp { session, ..SetUp::default() };
    let (mut class, mut title, mut has_attributes) = (None, None, false);
    while let [code, high, low, rest @ ..] = parameters {
        let length = usize::from(u16::from_be_bytes([*high, *low]));
        let value = rest.get(..length).ok_or(ViewerError::TruncatedParameter)?;
        parameters = &rest[length..];
        if *code == PARAM_DESCRIPTION {
            set_up.description = value.to_vec();
            continue;
        }
        let text = std::str::from_utf8(value);
        let text = || text.map_err(|_| ViewerError::NotUtf8(*code));
        match *code {
            PARAM_CLASS => class = Some(text()?.to_owned()),
            PARAM_TITLE => title = Some(text()?.to_owned()),
            PARAM_WAIT => {
                set_up.wait_ms = Some(text()?.parse().map_err(|_| ViewerError::SetUpParameter(PARAM_WAIT))?)
            }
            PARAM_RETRY => set_up.retry = text()? == "1",
            PARAM_ATTRIBUTES => has_attributes = parse_attributes(&mut set_up, text()?)?,
            _ => {}
        }
    }
    if !parameters.is_empty() {
        return Err(ViewerError::TruncatedParameter);
    }
    set_up.class = class.ok_or(ViewerError::SetUpParameter(PARAM_CLASS))?;
    set_up.title = title.ok_or(ViewerError::SetUpParameter(PARAM_TITLE))?;
    if !has_attributes {
        return Err(ViewerError::SetUpParameter(PARAM_ATTRIBUTES));
    }
    if set_up.wait_ms == Some(0) {
        return Err(ViewerError::SetUpParameter(PARAM_WAIT));
    }
    // Both travel on in the lines of a text protocol, the title in an address.
    let is_unreserved = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.' | b'~');
    for (code, text) in [(PARAM_CLASS, &set_up.class), (PARAM_TITLE, &set_up.title)] {
        if !(1..=MAX_NAME_LENGTH).contains(&text.len()) || !text.bytes().all(is_unreserved) {
            return Err(ViewerError::SetUpParameter(code));
        }
    }
    Ok(set_up)
}

/// Takes the figures; tells whether all that a set-up must have are there.
fn parse_attributes(set_up: &mut SetUp, text: &str) -> Result<bool, ViewerError> {
    let (mut has_start_cell, mut has_cells) = (false, false);
    for pair in text.split(';') {
        let Some((key, value)) = pair.split_once(':') else { continue };
        let number = || value.parse::<u32>().map_err(|_| ViewerError::SetUpParameter(PARAM_ATTRIBUTES));
        match key {
            "home" => (set_up.start_cell, has_start_cell) = (number()?, true),
            "copies" => (set_up.cells_in_row, has_cells) = (number()?, true),
            "top" => set_up.max_rung = Some(number()? as usize),
            "viewer" => set_up.viewer = value.to_owned(),
            "again" => set_up.returning = value == "1",
            "at" => set_up.playing_at = Some(value.to_owned()),
            _ => {}
        }
    }
    Ok(has_start_cell && has_cells && set_up.max_rung.is_some() && !set_up.viewer.is_empty())
}

fn encode(message_type: u8, session: RequestId, parameters: &[(u8, &[u8])]) -> Vec<u8> {
    let length = 9 + parameters.iter().map(|p| 3 + p.1.len()).sum::<usize>();
    let mut out = Vec::with_capacity(2 + length);
    out.extend_from_slice(&(length as u16).to_be_bytes());
    out.push(message_type);
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
    let fits = description.len() + 12 <= MESSAGE_MAX;
    fits.then(|| encode(ANSWER, session, &[(PARAM_DESCRIPTION, description)]))
}

/// Refused; the viewer should stay away for so many milliseconds.
pub fn refusal(session: RequestId, retry_after_ms: u64) -> Vec<u8> {
    let retry_after = retry_after_ms.to_string();
    encode(RELEASE, session, &[(PARAM_CAUSE, &[CAUSE_REFUSED]), (PARAM_RETRY_AFTER, retry_after.as_bytes())])
}

/// The session that a written message is for, in hexadecimal.
pub fn session_hex(message: &[u8]) -> String {
    message.get(3..11).unwrap_or_default().iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Released: failed before the answer, over after it.
pub fn release(session: RequestId, cause: u8) -> Vec<u8> {
    encode(RELEASE, session, &[(PARAM_CAUSE, &[cause])])
}

/// The session is moved: the viewer is to come again.
pub fn move_off(session: RequestId) -> Vec<u8> {
    encode(MOVE, session, &[])
}

/// A test's result.
pub fn test_result(session: RequestId, passed: bool) -> Vec<u8> {
    encode(TEST_RESULT, session, &[(PARAM_CAUSE, &[u8::from(passed)])])
}
