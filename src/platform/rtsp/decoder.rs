//! Decoder of the messages from streamers.
//!
//! `httparse` parses the header lines but rejects RTSP start lines (`httparse::Request::parse` returns
//! `Error::Version` for `SETUP rtsp://media/x RTSP/1.0`; a test in `tests/codecs.rs` checks this), so start
//! lines are parsed here. Each line is parsed as it is complete, so that a malformed one is found at once.
use super::boundary::{StartLineSearch, may_start_message};
use super::fields::HeaderFields;
use super::{
    CSEQ_PROBE, CSEQ_RELEASE, CSEQ_SET_UP, Decoded, Decoder, FromStreamer, MAX_MESSAGE_BYTES, RtspError,
};
use crate::interface::Outcome;
use crate::platform::parse_digits;
use std::ops::Range;

/// Number of digits of a status.
const STATUS_DIGITS: usize = 3;
/// Status of a set-up rejected because the streamer was full.
const STATUS_QUEUE_FULL: u16 = 453;
/// Status of a set-up that the streamer ignored.
const STATUS_IGNORED: u16 = 454;
/// Status of a set-up that was reset at the streamer.
const STATUS_RESET: u16 = 504;

#[derive(Debug)]
enum StartLine {
    Request(String),
    Response(u16),
}

/// Finds the messages of a streamer.
#[derive(Debug, Default)]
pub struct MessageDecoder {
    /// Bytes of the empty lines since the last message.
    empty_line_bytes: usize,
    /// Start of the first line of the message that has not been parsed.
    line_start: usize,
    /// Bytes of the message that were searched for the end of that line.
    searched: usize,
    start_line: Option<StartLine>,
    fields: HeaderFields,
    /// Where the body is, once the head is complete.
    body: Option<Range<usize>>,
    start_line_in_body: StartLineSearch,
}

impl Decoder for MessageDecoder {
    type Message = FromStreamer;
    type Error = RtspError;
    const MAX_INCOMPLETE_BYTES: usize = MAX_MESSAGE_BYTES;

    fn decode(&mut self, bytes: &[u8]) -> Result<Decoded<FromStreamer>, RtspError> {
        if self.searched == 0 {
            let empty = bytes.iter().take_while(|byte| matches!(byte, b'\r' | b'\n')).count();
            if empty > 0 {
                return self.skip_empty_lines(empty);
            }
        }
        while self.body.is_none() {
            match self.next_line(bytes)? {
                Some(line) => self.read_line(&bytes[line])?,
                None => return Ok(Decoded::Incomplete),
            }
        }
        self.read_body(bytes)
    }
}

impl MessageDecoder {
    /// Skips empty lines before a message. Their number is bounded like the length of a message.
    fn skip_empty_lines(&mut self, bytes: usize) -> Result<Decoded<FromStreamer>, RtspError> {
        self.empty_line_bytes += bytes;
        if self.empty_line_bytes > MAX_MESSAGE_BYTES {
            return Err(RtspError::TooLong);
        }
        Ok(Decoded::Skipped(bytes))
    }

    /// The next line of the head, with its line feed, if it is complete.
    fn next_line(&mut self, bytes: &[u8]) -> Result<Option<Range<usize>>, RtspError> {
        let bounded = &bytes[..bytes.len().min(MAX_MESSAGE_BYTES)];
        let unsearched = bounded.get(self.searched..).unwrap_or_default();
        match unsearched.iter().position(|byte| *byte == b'\n') {
            Some(position) => {
                let (start, end) = (self.line_start, self.searched + position + 1);
                (self.line_start, self.searched) = (end, end);
                Ok(Some(start..end))
            }
            None if bytes.len() >= MAX_MESSAGE_BYTES => Err(RtspError::TooLong),
            None => {
                self.searched = bounded.len();
                Ok(None)
            }
        }
    }

    /// Parses a line of the head. An empty one ends it.
    fn read_line(&mut self, line: &[u8]) -> Result<(), RtspError> {
        if self.start_line.is_none() {
            self.start_line = Some(parse_start_line(line)?);
        } else if matches!(line, b"\r\n" | b"\n") {
            let length = self.fields.content_length.ok_or(RtspError::Field("Content-Length"))?;
            let start = self.line_start;
            let end = start.checked_add(length).filter(|end| *end <= MAX_MESSAGE_BYTES);
            self.body = Some(start..end.ok_or(RtspError::TooLong)?);
        } else {
            self.fields.add_line(line)?;
        }
        Ok(())
    }

    /// Returns the message if its body is complete.
    fn read_body(&mut self, bytes: &[u8]) -> Result<Decoded<FromStreamer>, RtspError> {
        let (Some(range), Some(start_line)) = (&self.body, &self.start_line) else {
            return Ok(Decoded::Incomplete);
        };
        let available = range.end.min(bytes.len());
        if self.start_line_in_body.finds_in(bytes.get(range.start..available).unwrap_or_default()) {
            return Err(RtspError::Length);
        }
        let Some(body) = bytes.get(range.clone()) else { return Ok(Decoded::Incomplete) };
        let message = parse_message(start_line, &self.fields, body)?;
        let (_, rest) = bytes.split_at(range.end);
        if carries_description(&message) && !may_start_message(rest) {
            return Err(RtspError::Length);
        }
        let length = range.end;
        *self = MessageDecoder::default();
        Ok(Decoded::Message(message, length))
    }
}

/// Whether a message has a description that is passed on. Others are as good whatever follows them.
fn carries_description(message: &FromStreamer) -> bool {
    match message {
        FromStreamer::Established(..) => true,
        FromStreamer::Released(_, _, description, _) => !description.is_empty(),
        _ => false,
    }
}

fn parse_start_line(line: &[u8]) -> Result<StartLine, RtspError> {
    let line = std::str::from_utf8(line).map_err(|_| RtspError::StartLine)?;
    let line = line.trim_end_matches('\n').trim_end_matches('\r');
    let mut words = line.splitn(3, ' ');
    match (words.next(), words.next(), words.next()) {
        (Some("RTSP/1.0"), Some(code), _) if code.len() == STATUS_DIGITS => {
            parse_digits(code).map(StartLine::Response).ok_or(RtspError::StartLine)
        }
        (Some(method), Some(_), Some("RTSP/1.0")) if !method.is_empty() => {
            Ok(StartLine::Request(method.to_owned()))
        }
        _ => Err(RtspError::StartLine),
    }
}

fn parse_message(
    start_line: &StartLine,
    fields: &HeaderFields,
    body: &[u8],
) -> Result<FromStreamer, RtspError> {
    let session = || fields.session.ok_or(RtspError::Field("Session"));
    let load = fields.load.unwrap_or_default();
    match start_line {
        StartLine::Response(code) => {
            let cseq = fields.cseq.ok_or(RtspError::Field("CSeq"))?;
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
                    Ok(FromStreamer::Rejected(session()?, outcome, load))
                }
                (CSEQ_PROBE, 200..=599) => {
                    Ok(FromStreamer::ProbeAnswered(session()?, (200..300).contains(code), load))
                }
                // The form of this response is not prescribed; without a session it is not usable.
                (CSEQ_RELEASE, 200..=299) => {
                    Ok(fields.session.map_or(FromStreamer::Irrelevant, FromStreamer::ReleaseAcknowledged))
                }
                _ => Ok(FromStreamer::Irrelevant),
            }
        }
        StartLine::Request(method) if method == "TEARDOWN" => {
            Ok(FromStreamer::Released(session()?, fields.cause, body.to_vec(), load))
        }
        StartLine::Request(method) if method == "ANNOUNCE" => {
            let kind = fields.note_kind.ok_or(RtspError::Field("Warning-Word"))?;
            let reading = fields.reading.ok_or(RtspError::Field("X-Reading"))?;
            Ok(FromStreamer::Note(session()?, kind, reading))
        }
        StartLine::Request(_) => Ok(FromStreamer::Irrelevant),
    }
}
