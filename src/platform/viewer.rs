//! Codec of the binary messages between viewers and the director.
//!
//! A message is `length:2 type:1 session:8 parameters`, a parameter `code:1 length:2 value`. Numbers are
//! big-endian. The length of a message does not include the length field itself.
use super::framing::{Decoded, Decoder};
use super::{MAX_MESSAGE_BYTES, parse_digits};
use crate::interface::RequestId;
use std::collections::BTreeSet;

/// Length of the field that holds the length of a message.
const LENGTH_BYTES: usize = 2;

const SET_UP: u8 = 1;
const PROGRESS: u8 = 6;
const ANSWER: u8 = 9;
const RELEASE: u8 = 12;
const RELEASE_ACK: u8 = 16;
const MOVE: u8 = 51;
const TEST: u8 = 52;
const TEST_RESULT: u8 = 53;

/// Maximum length of a class or title name, in bytes.
const MAX_NAME_LENGTH: usize = 128;

const PARAM_CLASS: u8 = 16;
const PARAM_WAIT: u8 = 19;
const PARAM_RETRY: u8 = 25;
const PARAM_TITLE: u8 = 28;
const PARAM_ATTRIBUTES: u8 = 31;
const PARAM_RETRY_AFTER: u8 = 34;
const PARAM_CAUSE: u8 = 58;
const PARAM_DESCRIPTION: u8 = 61;

/// The parameters of a set-up. Each is there once at most; others are ignored.
const SET_UP_PARAMETERS: [u8; 6] =
    [PARAM_CLASS, PARAM_WAIT, PARAM_RETRY, PARAM_TITLE, PARAM_ATTRIBUTES, PARAM_DESCRIPTION];
/// The keys in [`PARAM_ATTRIBUTES`]. Each is there once at most; others are ignored.
const ATTRIBUTES: [&str; 6] = ["home", "copies", "top", "viewer", "again", "at"];

/// Cause in a release of a session that ran to completion.
pub const CAUSE_ENDED: u8 = 16;
/// Cause in a refusal. A retry is harmless.
pub const CAUSE_REFUSED: u8 = 42;
/// Cause in a failure answer, and in a release of a session that was cut off.
pub const CAUSE_FAILED: u8 = 41;

/// Why a message from a viewer is invalid. After an invalid length the connection is closed, because the next
/// message boundary cannot be found; all other errors are answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ViewerError {
    /// The length is less than that of the fixed part, or exceeds [`MAX_MESSAGE_BYTES`].
    #[error("message length {0} is out of bounds")]
    Length(usize),
    /// Viewers do not send messages of this type.
    #[error("message type {0} is unknown")]
    UnknownType(u8),
    /// The session id is zero.
    #[error("set-up has no session id")]
    MissingSession,
    /// A parameter extends past the end of the message.
    #[error("a parameter extends past the end of the message")]
    TruncatedParameter,
    /// A text parameter is not valid UTF-8.
    #[error("parameter {0} is not valid UTF-8")]
    NotUtf8(u8),
    /// A required parameter of a set-up is missing, or a parameter of a set-up is invalid or there twice.
    #[error("parameter {0} of a set-up is missing, invalid or there twice")]
    SetUpParameter(u8),
}

/// A viewer's request for a session.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SetUp {
    /// Session id. Ids are never reused.
    pub session: u64,
    /// Class name.
    pub class: String,
    /// Time for which the viewer waits for the answer, in milliseconds.
    pub wait_ms: Option<u64>,
    /// Whether the viewer marked the request as a retry.
    pub retry: bool,
    /// Title name.
    pub title: String,
    /// First cell that holds the title; `home` on the wire.
    pub start_cell: u32,
    /// Number of consecutive cells that hold the title; `copies` on the wire.
    pub cells_in_row: u32,
    /// Highest rung that the viewer can play; `top` on the wire.
    pub max_rung: Option<usize>,
    /// Viewer id.
    pub viewer: String,
    /// Whether the viewer requests a session again after an earlier one; `again` on the wire.
    pub returning: bool,
    /// Id of the streamer at which the session already plays, if it is handed over; `at` on the wire.
    pub playing_at: Option<String>,
    /// Session description, forwarded without being interpreted.
    pub description: Vec<u8>,
}

/// A message from a viewer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ViewerMessage {
    /// A request for a session.
    SetUp(Box<SetUp>),
    /// The viewer cancels its set-up or ends its session.
    Release(RequestId),
    /// A health check of the front end. The answer carries the same id.
    Test(RequestId),
    /// An invalid set-up, or a message of an unknown type. The answer carries the same id.
    Unusable(RequestId, ViewerError),
    /// A message that a director ignores.
    Ignored,
}

impl ViewerMessage {
    /// Returns whether the viewer expects a message in return.
    pub fn wants_answer(&self) -> bool {
        match self {
            ViewerMessage::SetUp(set_up) => set_up.playing_at.is_none(),
            ViewerMessage::Test(_) | ViewerMessage::Unusable(..) => true,
            ViewerMessage::Release(_) | ViewerMessage::Ignored => false,
        }
    }
}

/// Finds the messages of viewers, each of which begins with its length.
#[derive(Clone, Copy, Debug, Default)]
pub struct MessageDecoder;

impl Decoder for MessageDecoder {
    type Message = ViewerMessage;
    type Error = ViewerError;
    const MAX_INCOMPLETE_BYTES: usize = LENGTH_BYTES + MAX_MESSAGE_BYTES;

    fn decode(&mut self, bytes: &[u8]) -> Result<Decoded<ViewerMessage>, ViewerError> {
        let read = read(bytes)?;
        Ok(read.map_or(Decoded::Incomplete, |(message, length)| Decoded::Message(message, length)))
    }
}

/// Parses the first message in `bytes`. Returns it with its encoded length, or `None` if it is incomplete.
pub fn read(bytes: &[u8]) -> Result<Option<(ViewerMessage, usize)>, ViewerError> {
    let [high, low, rest @ ..] = bytes else { return Ok(None) };
    let length = usize::from(u16::from_be_bytes([*high, *low]));
    if !(9..=MAX_MESSAGE_BYTES).contains(&length) {
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
        PROGRESS | RELEASE_ACK => ViewerMessage::Ignored,
        other => ViewerMessage::Unusable(RequestId(session), ViewerError::UnknownType(other)),
    };
    Ok(Some((message, LENGTH_BYTES + length)))
}

fn parse_set_up(session: u64, mut parameters: &[u8]) -> Result<SetUp, ViewerError> {
    if session == 0 {
        return Err(ViewerError::MissingSession);
    }
    let mut set_up = SetUp { session, ..SetUp::default() };
    let (mut class, mut title, mut has_attributes) = (None, None, false);
    let mut seen = BTreeSet::new();
    while let [code, high, low, rest @ ..] = parameters {
        let length = usize::from(u16::from_be_bytes([*high, *low]));
        let value = rest.get(..length).ok_or(ViewerError::TruncatedParameter)?;
        parameters = &rest[length..];
        if SET_UP_PARAMETERS.contains(code) && !seen.insert(*code) {
            return Err(ViewerError::SetUpParameter(*code));
        }
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
                set_up.wait_ms = Some(parse_digits(text()?).ok_or(ViewerError::SetUpParameter(PARAM_WAIT))?)
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
    // Both names are forwarded in the lines of a text protocol, the title in a URL.
    let is_unreserved = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.' | b'~');
    for (code, text) in [(PARAM_CLASS, &set_up.class), (PARAM_TITLE, &set_up.title)] {
        if !(1..=MAX_NAME_LENGTH).contains(&text.len()) || !text.bytes().all(is_unreserved) {
            return Err(ViewerError::SetUpParameter(code));
        }
    }
    Ok(set_up)
}

/// Parses the `key:value` pairs of the attributes parameter. Returns whether all required ones are present.
fn parse_attributes(set_up: &mut SetUp, text: &str) -> Result<bool, ViewerError> {
    let (mut has_start_cell, mut has_cells) = (false, false);
    let mut seen = BTreeSet::new();
    for pair in text.split(';') {
        let Some((key, value)) = pair.split_once(':') else { continue };
        let number = || parse_digits::<u32>(value).ok_or(ViewerError::SetUpParameter(PARAM_ATTRIBUTES));
        if ATTRIBUTES.contains(&key) && !seen.insert(key) {
            return Err(ViewerError::SetUpParameter(PARAM_ATTRIBUTES));
        }
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

/// Encodes the answer that a session is established. Returns `None` if the description does not fit into one
/// message.
pub fn answer(session: RequestId, description: &[u8]) -> Option<Vec<u8>> {
    let fits = description.len() + 12 <= MAX_MESSAGE_BYTES;
    fits.then(|| encode(ANSWER, session, &[(PARAM_DESCRIPTION, description)]))
}

/// Encodes a refusal. The viewer should not retry for `retry_after_ms` milliseconds.
pub fn refusal(session: RequestId, retry_after_ms: u64) -> Vec<u8> {
    let retry_after = retry_after_ms.to_string();
    encode(RELEASE, session, &[(PARAM_CAUSE, &[CAUSE_REFUSED]), (PARAM_RETRY_AFTER, retry_after.as_bytes())])
}

/// Returns the session id of an encoded message, in hexadecimal.
pub fn session_hex(message: &[u8]) -> String {
    message.get(3..11).unwrap_or_default().iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Returns whether an encoded message tells a viewer of the end of a session.
pub fn ends_session(message: &[u8]) -> bool {
    let length = message.first_chunk().map(|length| usize::from(u16::from_be_bytes(*length)));
    length.is_some_and(|length| length + 2 == message.len() && length >= 9)
        && matches!(message.get(2), Some(&(RELEASE | MOVE)))
}

/// Encodes a release: the request failed if it has not been answered, otherwise the session ended.
pub fn release(session: RequestId, cause: u8) -> Vec<u8> {
    encode(RELEASE, session, &[(PARAM_CAUSE, &[cause])])
}

/// Encodes the instruction to move: the viewer is to request the session again.
pub fn move_off(session: RequestId) -> Vec<u8> {
    encode(MOVE, session, &[])
}

/// Encodes the result of a health check.
pub fn test_result(session: RequestId, passed: bool) -> Vec<u8> {
    encode(TEST_RESULT, session, &[(PARAM_CAUSE, &[u8::from(passed)])])
}
