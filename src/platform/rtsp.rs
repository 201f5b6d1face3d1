//! The streamers' messages, in the form of RTSP. `httparse` reads the header lines; it accepts no first line
//! of RTSP (`httparse::Request::parse` answers `Error::Version` to `SETUP rtsp://media/x RTSP/1.0`, see the
//! test below), so that the first line is taken apart here.
use super::MAX_MESSAGE_BYTES;
use crate::director::Parcel;
use crate::interface::{LoadReport, NoteKind, Outcome, RequestId};
use crate::settings::load_report;
use std::fmt::Write;

const CSEQ_SET_UP: u32 = 1;
const CSEQ_RELEASE: u32 = 2;
const CSEQ_TEST: u32 = 3;
const CSEQ_OTHER: u32 = 4;
const HEADERS_MAX: usize = 32;

/// Cause with which the director ends a session at a streamer.
const CAUSE_DROPPED: u8 = 31;

/// What a streamer can get wrong so that its connection can't go on.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RtspError {
    /// The first line is of no known form.
    #[error("a first line that is not RTSP")]
    FirstLine,
    /// The header lines can't be read.
    #[error("bad header lines: {0}")]
    Headers(#[from] httparse::Error),
    /// A field that must be there is missing or can't be read.
    #[error("{0} is missing or can't be read")]
    Field(&'static str),
    /// Over the limit.
    #[error("a message over {MAX_MESSAGE_BYTES} bytes")]
    TooLong,
}

/// A message from a streamer.
#[derive(Clone, Debug, PartialEq)]
pub enum FromStreamer {
    /// The session stands.
    Stands(RequestId, Vec<u8>),
    /// The set-up was turned away.
    TurnedAway(RequestId, Outcome, LoadReport),
    /// A session is released, with a cause; without one where none was given. One that ended as it began
    /// brings its description along.
    Released(RequestId, Option<u8>, Vec<u8>, LoadReport),
    /// A test's result.
    Tested(RequestId, bool, LoadReport),
    /// A note on a session; `None` for one of a kind that is not known.
    Noted(RequestId, Option<NoteKind>, f64),
    /// A release was heard: the session is over there, if it ever was.
    Over(RequestId),
    /// Means nothing to a director.
    Idle,
}

enum First<'a> {
    Request(&'a str),
    Answer(u16),
}

/// Reads one message; `None` where it is not whole yet. Also tells how many bytes it took.
pub fn read(bytes: &[u8]) -> Result<Option<(FromStreamer, usize)>, RtspError> {
    // Empty lines before a message mean nothing.
    let empty = bytes.iter().take_while(|b| matches!(b, b'\r' | b'\n')).count();
    let bytes = bytes.get(empty..).unwrap_or_default();
    let seen = &bytes[..bytes.len().min(MAX_MESSAGE_BYTES)];
    let unfinished = if bytes.len() >= MAX_MESSAGE_BYTES { Err(RtspError::TooLong) } else { Ok(None) };
    let Some(line_end) = seen.iter().position(|b| *b == b'\n') else { return unfinished };
    let first = first_line(&seen[..line_end])?;
    let mut slots = [httparse::EMPTY_HEADER; HEADERS_MAX];
    let (headers_len, headers) = match httparse::parse_headers(&seen[line_end + 1..], &mut slots)? {
        httparse::Status::Complete(done) => done,
        httparse::Status::Partial => return unfinished,
    };
    let field = |name: &str| {
        let header = headers.iter().find(|h| h.name.eq_ignore_ascii_case(name))?;
        std::str::from_utf8(header.value).ok().map(str::trim)
    };
    let length = match field("Content-Length") {
        Some(text) => text.parse::<usize>().map_err(|_| RtspError::Field("Content-Length"))?,
        None => 0,
    };
    let start = line_end + 1 + headers_len;
    let end = start.checked_add(length).filter(|end| *end <= MAX_MESSAGE_BYTES).ok_or(RtspError::TooLong)?;
    let Some(body) = bytes.get(start..end) else { return Ok(None) };
    Ok(Some((message(&first, field, body)?, empty + end)))
}

fn first_line(line: &[u8]) -> Result<First<'_>, RtspError> {
    let line = std::str::from_utf8(line).map_err(|_| RtspError::FirstLine)?.trim_end_matches('\r');
    let mut words = line.splitn(3, ' ');
    match (words.next(), words.next(), words.next()) {
        (Some("RTSP/1.0"), Some(code), _) if code.len() == 3 => {
            code.parse().map(First::Answer).map_err(|_| RtspError::FirstLine)
        }
        (Some(method), Some(_), Some("RTSP/1.0")) if !method.is_empty() => Ok(First::Request(method)),
        _ => Err(RtspError::FirstLine),
    }
}

fn message<'a>(
    first: &First<'_>,
    field: impl Fn(&str) -> Option<&'a str>,
    body: &[u8],
) -> Result<FromStreamer, RtspError> {
    let session = || {
        let id = field("Session").and_then(|text| u64::from_str_radix(text, 16).ok());
        id.map(RequestId).ok_or(RtspError::Field("Session"))
    };
    let report = || field("P-Load").map(load).unwrap_or_default();
    match first {
        First::Answer(code) => {
            let cseq: u32 = field("CSeq").and_then(|c| c.parse().ok()).ok_or(RtspError::Field("CSeq"))?;
            match (cseq, code) {
                (CSEQ_SET_UP, 100..=199) => Ok(FromStreamer::Idle),
                (CSEQ_SET_UP, 200..=299) => Ok(FromStreamer::Stands(session()?, body.to_vec())),
                (CSEQ_SET_UP, _) => {
                    let outcome = match code {
                        453 => Outcome::QueueFull,
                        454 => Outcome::Ignored,
                        504 => Outcome::Reset,
                        _ => Outcome::Failed,
                    };
                    Ok(FromStreamer::TurnedAway(session()?, outcome, report()))
                }
                (CSEQ_TEST, 200..=599) => {
                    Ok(FromStreamer::Tested(session()?, (200..300).contains(code), report()))
                }
                // Free in form: one without a session says nothing.
                (CSEQ_RELEASE, 200..=299) => Ok(session().map_or(FromStreamer::Idle, FromStreamer::Over)),
                _ => Ok(FromStreamer::Idle),
            }
        }
        First::Request("TEARDOWN") => {
            let reason =
                field("Reason").and_then(|r| r.split(';').find_map(|p| p.trim().strip_prefix("cause=")));
            let cause = reason.and_then(|c| c.trim().parse().ok());
            Ok(FromStreamer::Released(session()?, cause, body.to_vec(), report()))
        }
        First::Request("ANNOUNCE") => {
            let kind = match field("Warning-Word").ok_or(RtspError::Field("Warning-Word"))? {
                "served" => Some(NoteKind::Delivered),
                "at_rung" => Some(NoteKind::Rung),
                "link_use" => Some(NoteKind::LinkUse),
                "rack_use" => Some(NoteKind::UplinkUse),
                _ => None,
            };
            let value = field("X-Reading").and_then(|v| v.parse().ok()).filter(|v: &f64| v.is_finite());
            Ok(FromStreamer::Noted(session()?, kind, value.ok_or(RtspError::Field("X-Reading"))?))
        }
        First::Request(_) => Ok(FromStreamer::Idle),
    }
}

/// A report's fields; both the words of the platform and those of the settings are taken.
fn load(text: &str) -> LoadReport {
    let value = |name: &str| {
        let mut pairs = text.split(';').filter_map(|pair| pair.split_once(':'));
        let found = pairs.find(|(key, _)| key.trim() == name)?.1.trim().parse::<f64>().ok()?;
        Some(found).filter(|v| v.is_finite())
    };
    load_report(|name| {
        value(name).or_else(|| match name {
            "load_share" => value("util"),
            "concurrent" => value("inflight"),
            _ => None,
        })
    })
}

fn request(method: &str, address: &str, cseq: u32, session: RequestId, fields: &str, body: &[u8]) -> Vec<u8> {
    let mut head = String::with_capacity(160 + fields.len());
    // Writing into a string does not fail.
    let _ = write!(
        head,
        "{method} rtsp://media/{address} RTSP/1.0\r\nCSeq: {cseq}\r\nSession: {:016x}\r\n\
         {fields}Content-Length: {}\r\n\r\n",
        session.0,
        body.len()
    );
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// A set-up; `None` where it would be longer than a message may be.
pub fn set_up(session: RequestId, parcel: &Parcel, rung: usize, wait_ms: u64) -> Option<Vec<u8>> {
    let fields =
        format!("Priority-Class: {}\r\nExpires-Ms: {wait_ms}\r\nX-Quality: {rung}\r\n", parcel.class);
    let bytes = request("SETUP", &parcel.title, CSEQ_SET_UP, session, &fields, &parcel.description);
    Some(bytes).filter(|b| b.len() <= MAX_MESSAGE_BYTES)
}

/// The set-up is given up.
pub fn give_up(session: RequestId) -> Vec<u8> {
    request("TEARDOWN", "session", CSEQ_RELEASE, session, "", b"")
}

/// A session that stands is released by the director.
pub fn release(session: RequestId) -> Vec<u8> {
    let fields = format!("Reason: cause={CAUSE_DROPPED}\r\n");
    request("TEARDOWN", "session", CSEQ_RELEASE, session, &fields, b"")
}

/// A new rung for a session that plays.
pub fn rung(session: RequestId, rung: usize) -> Vec<u8> {
    request("SET_PARAMETER", "session", CSEQ_OTHER, session, &format!("X-Quality: {rung}\r\n"), b"")
}

/// A test that asks for the streamer's load.
pub fn load_test(id: RequestId) -> Vec<u8> {
    request("OPTIONS", "load", CSEQ_TEST, id, "", b"")
}
