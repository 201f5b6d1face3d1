//! The header fields of a message from a streamer.
//!
//! A field that is absent and one that can't be read are different things: the first may be allowed, the
//! second shows that the message is not as the streamer wrote it. The same goes for a field that is there
//! twice.
use super::RtspError;
use crate::interface::{LoadReport, NoteKind, RequestId};
use crate::platform::parse_digits;
use crate::settings::load_report;
use std::cell::Cell;

/// Most header fields of one message.
const MAX_FIELDS: usize = 32;
/// Number of hexadecimal digits of a session id.
const SESSION_DIGITS: usize = 16;

/// The header fields of one message that the director uses. `None` means that the field is absent.
#[derive(Debug, Default)]
pub struct HeaderFields {
    count: usize,
    /// `Content-Length`.
    pub content_length: Option<usize>,
    /// `Session`.
    pub session: Option<RequestId>,
    /// `CSeq`.
    pub cseq: Option<u32>,
    /// The cause in `Reason`.
    pub cause: Option<u8>,
    /// `P-Load`.
    pub load: Option<LoadReport>,
    /// `Warning-Word`; the kind is `None` if it is unknown.
    pub note_kind: Option<Option<NoteKind>>,
    /// `X-Reading`.
    pub reading: Option<f64>,
}

impl HeaderFields {
    /// Adds the field in a header line, which ends with a line feed.
    pub fn add_line(&mut self, line: &[u8]) -> Result<(), RtspError> {
        if self.count >= MAX_FIELDS {
            return Err(httparse::Error::TooManyHeaders.into());
        }
        self.count += 1;
        let mut slots = [httparse::EMPTY_HEADER; 1];
        let head = [line, b"\r\n"].concat();
        match httparse::parse_headers(&head, &mut slots)? {
            httparse::Status::Complete((_, [field])) => self.add(field.name, field.value),
            _ => Err(httparse::Error::HeaderName.into()),
        }
    }

    fn add(&mut self, name: &str, value: &[u8]) -> Result<(), RtspError> {
        let text = std::str::from_utf8(value).ok().map(str::trim);
        match name.to_ascii_lowercase().as_str() {
            "content-length" => set(&mut self.content_length, "Content-Length", text.and_then(parse_digits)),
            "session" => set(&mut self.session, "Session", text.and_then(parse_session)),
            "cseq" => set(&mut self.cseq, "CSeq", text.and_then(parse_digits)),
            "reason" => set(&mut self.cause, "Reason", text.and_then(parse_cause)),
            "p-load" => set(&mut self.load, "P-Load", text.and_then(parse_load_report)),
            "warning-word" => set(&mut self.note_kind, "Warning-Word", text.map(parse_note_kind)),
            "x-reading" => set(&mut self.reading, "X-Reading", text.and_then(parse_number)),
            _ => Ok(()),
        }
    }
}

/// Sets a field, which must be readable and must not be there already.
fn set<T>(field: &mut Option<T>, name: &'static str, value: Option<T>) -> Result<(), RtspError> {
    match (&field, value) {
        (None, Some(value)) => {
            *field = Some(value);
            Ok(())
        }
        _ => Err(RtspError::Field(name)),
    }
}

fn parse_session(text: &str) -> Option<RequestId> {
    let is_id = text.len() == SESSION_DIGITS && text.bytes().all(|byte| byte.is_ascii_hexdigit());
    u64::from_str_radix(text, 16).ok().filter(|_| is_id).map(RequestId)
}

fn parse_cause(text: &str) -> Option<u8> {
    let mut causes = text.split(';').filter_map(|part| part.trim().strip_prefix("cause="));
    let cause = parse_digits(causes.next()?.trim())?;
    causes.next().is_none().then_some(cause)
}

fn parse_note_kind(text: &str) -> Option<NoteKind> {
    match text {
        "served" => Some(NoteKind::Delivered),
        "at_rung" => Some(NoteKind::Rung),
        "link_use" => Some(NoteKind::LinkUse),
        "rack_use" => Some(NoteKind::UplinkUse),
        _ => None,
    }
}

fn parse_number(text: &str) -> Option<f64> {
    text.parse().ok().filter(|value: &f64| value.is_finite())
}

/// Parses a load report. Both the platform's and the settings' names of the values are accepted. Values under
/// other names are ignored, those under known ones must be readable and there once.
fn parse_load_report(text: &str) -> Option<LoadReport> {
    let pairs: Vec<(&str, &str)> = text.split(';').filter_map(|pair| pair.split_once(':')).collect();
    let readable = Cell::new(true);
    let value = |name: &str| {
        let mut named = pairs.iter().filter(|(key, _)| key.trim() == name);
        let (_, text) = named.next()?;
        let value = parse_number(text.trim()).filter(|_| named.next().is_none());
        readable.set(readable.get() && value.is_some());
        value
    };
    let report = load_report(|name| {
        value(name).or_else(|| match name {
            "load_share" => value("util"),
            "concurrent" => value("inflight"),
            _ => None,
        })
    });
    readable.get().then_some(report)
}
