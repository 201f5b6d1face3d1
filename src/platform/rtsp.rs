//! Codec of the RTSP messages exchanged with streamers. `httparse` parses the header lines but rejects RTSP
//! start lines (`httparse::Request::parse` returns `Error::Version` for `SETUP rtsp://media/x RTSP/1.0`; a
//! test in `tests/codecs.rs` checks this), so start lines are parsed here.
use super::MAX_MESSAGE_BYTES;
use crate::director::Parcel;
use crate::interface::{LoadReport, NoteKind, Outcome, RequestId};
use crate::settings::load_report;
use std::fmt::Write;

/// CSeq of a set-up. Each kind of request has a fixed CSeq, by which its responses are recognised.
const CSEQ_SET_UP: u32 = 1;
/// CSeq of a release or a cancellation.
const CSEQ_RELEASE: u32 = 2;
/// CSeq of a load probe.
const CSEQ_PROBE: u32 = 3;
/// CSeq of a rung change.
const CSEQ_SET_RUNG: u32 = 4;
const MAX_HEADERS: usize = 32;
/// Initial buffer capacity for the start line and the header fields that every request has.
const REQUEST_HEAD_CAPACITY: usize = 160;

/// Status of a set-up rejected because the streamer was full.
const STATUS_QUEUE_FULL: u16 = 453;
/// Status of a set-up that the streamer ignored.
const STATUS_IGNORED: u16 = 454;
/// Status of a set-up that was reset at the streamer.
const STATUS_RESET: u16 = 504;

/// Cause of a session that ran to completion.
pub const CAUSE_COMPLETED: u8 = 16;
/// Cause of a session that was ended by its viewer or moved. The director also releases sessions with it.
pub const CAUSE_RELEASED: u8 = 31;

/// Why a streamer's data cannot be parsed. Its connection cannot be used any longer.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RtspError {
    /// The start line is neither an RTSP request nor an RTSP response.
    #[error("start line is not RTSP/1.0")]
    StartLine,
    /// The header lines cannot be parsed.
    #[error("invalid header lines: {0}")]
    Headers(#[from] httparse::Error),
    /// A required header field is missing or invalid.
    #[error("header field {0} is missing or invalid")]
    Field(&'static str),
    /// The message is longer than [`MAX_MESSAGE_BYTES`].
    #[error("message exceeds {MAX_MESSAGE_BYTES} bytes")]
    TooLong,
}

/// A message from a streamer.
#[derive(Clone, Debug, PartialEq)]
pub enum FromStreamer {
    /// The session is established; with the streamer's description.
    Established(RequestId, Vec<u8>),
    /// The set-up was rejected.
    Rejected(RequestId, Outcome, LoadReport),
    /// A session was released, with the cause if one was given. If the session ended as soon as it was
    /// established, the message also contains its description.
    Released(RequestId, Option<u8>, Vec<u8>, LoadReport),
    /// The answer to a load probe, and whether it succeeded.
    ProbeAnswered(RequestId, bool, LoadReport),
    /// A status note on a session; `None` if its kind is unknown.
    Note(RequestId, Option<NoteKind>, f64),
    /// A release was acknowledged: the session has ended at the streamer, if it ever existed there.
    ReleaseAcknowledged(RequestId),
    /// A message that a director does not use.
    Irrelevant,
}

enum StartLine<'a> {
    Request(&'a str),
    Response(u16),
}

/// Parses one message from the start of `bytes` and returns it with the number of bytes consumed, or `None`
/// if it is not complete yet.
pub fn read(bytes: &[u8]) -> Result<Option<(FromStreamer, usize)>, RtspError> {
    // Empty lines before a message are ignored.
    let blank = bytes.iter().take_while(|b| matches!(b, b'\r' | b'\n')).count();
    let bytes = bytes.get(blank..).unwrap_or_default();
    let bounded = &bytes[..bytes.len().min(MAX_MESSAGE_BYTES)];
    let incomplete = if bytes.len() >= MAX_MESSAGE_BYTES { Err(RtspError::TooLong) } else { Ok(None) };
    let Some(line_end) = bounded.iter().position(|b| *b == b'\n') else { return incomplete };
    let start_line = parse_start_line(&bounded[..line_end])?;
    let mut header_slots = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let (headers_len, headers) = match httparse::parse_headers(&bounded[line_end + 1..], &mut header_slots)? {
        httparse::Status::Complete(parsed) => parsed,
        httparse::Status::Partial => return incomplete,
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
    Ok(Some((parse_message(&start_line, field, body)?, blank + end)))
}

fn parse_start_line(line: &[u8]) -> Result<StartLine<'_>, RtspError> {
    let line = std::str::from_utf8(line).map_err(|_| RtspError::StartLine)?.trim_end_matches('\r');
    let mut words = line.splitn(3, ' ');
    match (words.next(), words.next(), words.next()) {
        (Some("RTSP/1.0"), Some(code), _) if code.len() == 3 => {
            code.parse().map(StartLine::Response).map_err(|_| RtspError::StartLine)
        }
        (Some(method), Some(_), Some("RTSP/1.0")) if !method.is_empty() => Ok(StartLine::Request(method)),
        _ => Err(RtspError::StartLine),
    }
}

fn parse_message<'a>(
    start_line: &StartLine<'_>,
    field: impl Fn(&str) -> Option<&'a str>,
    body: &[u8],
) -> Result<FromStreamer, RtspError> {
    let session = || {
        let id = field("Session").and_then(|text| u64::from_str_radix(text, 16).ok());
        id.map(RequestId).ok_or(RtspError::Field("Session"))
    };
    let report = || field("P-Load").map(parse_load_report).unwrap_or_default();
    match start_line {
        StartLine::Response(code) => {
            let cseq: u32 = field("CSeq").and_then(|c| c.parse().ok()).ok_or(RtspError::Field("CSeq"))?;
            match (cseq, code) {
                (CSEQ_SET_UP, 100..=199) => Ok(FromStreamer::Irrelevant),
                (CSEQ_SET_UP, 200..=299) => Ok(FromStreamer::Established(session()?, body.to_vec())),
                (CSEQ_SET_UP, _) => {
                    let outcome = match *code {
                        STATUS_QUEUE_FULL => Outcome::QueueFull,
                        STATUS_IGNORED => Outcome::Ignored,
                        STATUS_RESET => Outcome::Reset,
                        _ => Outcome::Failed,
                    };
                    Ok(FromStreamer::Rejected(session()?, outcome, report()))
                }
                (CSEQ_PROBE, 200..=599) => {
                    Ok(FromStreamer::ProbeAnswered(session()?, (200..300).contains(code), report()))
                }
                // The form of this response is not prescribed; without a session it is not usable.
                (CSEQ_RELEASE, 200..=299) => {
                    Ok(session().map_or(FromStreamer::Irrelevant, FromStreamer::ReleaseAcknowledged))
                }
                _ => Ok(FromStreamer::Irrelevant),
            }
        }
        StartLine::Request("TEARDOWN") => {
            let cause_text =
                field("Reason").and_then(|r| r.split(';').find_map(|p| p.trim().strip_prefix("cause=")));
            let cause = cause_text.and_then(|c| c.trim().parse().ok());
            Ok(FromStreamer::Released(session()?, cause, body.to_vec(), report()))
        }
        StartLine::Request("ANNOUNCE") => {
            let kind = match field("Warning-Word").ok_or(RtspError::Field("Warning-Word"))? {
                "served" => Some(NoteKind::Delivered),
                "at_rung" => Some(NoteKind::Rung),
                "link_use" => Some(NoteKind::LinkUse),
                "rack_use" => Some(NoteKind::UplinkUse),
                _ => None,
            };
            let value = field("X-Reading").and_then(|v| v.parse().ok()).filter(|v: &f64| v.is_finite());
            Ok(FromStreamer::Note(session()?, kind, value.ok_or(RtspError::Field("X-Reading"))?))
        }
        StartLine::Request(_) => Ok(FromStreamer::Irrelevant),
    }
}

/// Parses a load report. Both the platform's and the settings' names of the values are accepted.
fn parse_load_report(text: &str) -> LoadReport {
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

fn encode_request(
    method: &str,
    path: &str,
    cseq: u32,
    session: RequestId,
    header_fields: &str,
    body: &[u8],
) -> Vec<u8> {
    let mut head = String::with_capacity(REQUEST_HEAD_CAPACITY + header_fields.len());
    // Writing to a string cannot fail.
    let _ = write!(
        head,
        "{method} rtsp://media/{path} RTSP/1.0\r\nCSeq: {cseq}\r\nSession: {:016x}\r\n\
         {header_fields}Content-Length: {}\r\n\r\n",
        session.0,
        body.len()
    );
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Encodes a set-up; `None` if it would exceed [`MAX_MESSAGE_BYTES`].
pub fn set_up(session: RequestId, parcel: &Parcel, rung: usize, wait_ms: u64) -> Option<Vec<u8>> {
    let fields =
        format!("Priority-Class: {}\r\nExpires-Ms: {wait_ms}\r\nX-Quality: {rung}\r\n", parcel.class);
    let bytes = encode_request("SETUP", &parcel.title, CSEQ_SET_UP, session, &fields, &parcel.description);
    Some(bytes).filter(|b| b.len() <= MAX_MESSAGE_BYTES)
}

/// Encodes the cancellation of a set-up.
pub fn cancel(session: RequestId) -> Vec<u8> {
    encode_request("TEARDOWN", "session", CSEQ_RELEASE, session, "", b"")
}

/// Encodes the director's release of an established session.
pub fn release(session: RequestId) -> Vec<u8> {
    let fields = format!("Reason: cause={CAUSE_RELEASED}\r\n");
    encode_request("TEARDOWN", "session", CSEQ_RELEASE, session, &fields, b"")
}

/// Encodes a rung change of a session that is playing.
pub fn set_rung(session: RequestId, rung: usize) -> Vec<u8> {
    encode_request("SET_PARAMETER", "session", CSEQ_SET_RUNG, session, &format!("X-Quality: {rung}\r\n"), b"")
}

/// Encodes a load probe.
pub fn load_probe(id: RequestId) -> Vec<u8> {
    encode_request("OPTIONS", "load", CSEQ_PROBE, id, "", b"")
}
