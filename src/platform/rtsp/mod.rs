//! Codec of the RTSP messages exchanged with streamers.
mod boundary;
mod decoder;
mod fields;

use super::MAX_MESSAGE_BYTES;
use super::framing::{Decoded, Decoder};
use crate::director::Parcel;
use crate::interface::{LoadReport, NoteKind, Outcome, RequestId};
pub use decoder::MessageDecoder;
use std::fmt::Write;

/// CSeq of a set-up. Each kind of request has a fixed CSeq, by which its responses are recognised.
const CSEQ_SET_UP: u32 = 1;
/// CSeq of a release or a cancellation.
const CSEQ_RELEASE: u32 = 2;
/// CSeq of a load probe.
const CSEQ_PROBE: u32 = 3;
/// CSeq of a rung change.
const CSEQ_SET_RUNG: u32 = 4;
/// Initial buffer capacity for the start line and the header fields that every request has.
const REQUEST_HEAD_CAPACITY: usize = 160;

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
    /// A required header field is missing, or a field is invalid or there twice.
    #[error("header field {0} is missing, invalid or there twice")]
    Field(&'static str),
    /// The length does not fit: the message is followed by what is no message, or has one in its description.
    #[error("Content-Length does not fit the description")]
    Length,
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

/// Parses one message from the start of `bytes` and returns it with the number of bytes consumed, empty lines
/// before it included, or `None` if it is not complete yet.
pub fn read(bytes: &[u8]) -> Result<Option<(FromStreamer, usize)>, RtspError> {
    let (mut decoder, mut consumed) = (MessageDecoder::default(), 0);
    loop {
        match decoder.decode(bytes.get(consumed..).unwrap_or_default())? {
            Decoded::Message(message, length) => return Ok(Some((message, consumed + length))),
            Decoded::Skipped(length) => consumed += length,
            Decoded::Incomplete => return Ok(None),
        }
    }
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
