//! Tests of the bound on what is held for each kind of peer.
use super::*;
use crate::platform::{admin, discovery, rtsp, viewer};

/// Most bytes that a connection reads at a time.
const CHUNK: usize = 16 * 1024;
/// Bytes that a peer sends in a test.
const SENT: usize = 4 * 1024 * 1024;

/// Feeds repetitions of `pattern` until they are refused. Returns the largest number of bytes that were held
/// after a read, and whether they were refused.
fn largest_held<D: Decoder>(mut decoder: D, pattern: &[u8]) -> (usize, bool) {
    let chunk: Vec<u8> = pattern.iter().copied().cycle().take(CHUNK).collect();
    let (mut buffer, mut largest) = (ReadBuffer::default(), 0);
    for _ in 0..SENT / CHUNK {
        buffer.extend(&chunk);
        let (_, error) = buffer.take_messages(&mut decoder);
        if error.is_some() {
            return (largest, true);
        }
        largest = largest.max(buffer.bytes.len());
    }
    (largest, false)
}

/// `review/7`: empty lines that kept coming from a streamer were all held, and read again in each turn.
#[test]
fn what_is_held_is_bounded_whatever_the_bytes_are() {
    let patterns: [&[u8]; 9] =
        [b"\r\n", b"\r", b"\n", b" ", b"\0", b"\xff", b"x", b"RTSP/1.0 200 OK\r\n", b"a: b\r\n"];
    for pattern in patterns {
        let name = String::from_utf8_lossy(pattern).to_string();
        let check = |peer: &str, held: (usize, bool), limit: usize| {
            assert!(held.0 <= limit, "{peer}, {name:?}: {} bytes are held", held.0);
        };
        let of_streamer = largest_held(rtsp::MessageDecoder::default(), pattern);
        check("streamer", of_streamer, rtsp::MessageDecoder::MAX_INCOMPLETE_BYTES);
        assert!(of_streamer.1, "streamer, {name:?}: the connection ends");
        let of_viewer = largest_held(viewer::MessageDecoder, pattern);
        check("viewer", of_viewer, viewer::MessageDecoder::MAX_INCOMPLETE_BYTES);
        let of_discovery = largest_held(discovery::LineDecoder::default(), pattern);
        check("discovery", of_discovery, discovery::LineDecoder::MAX_INCOMPLETE_BYTES);
        let of_operator = largest_held(admin::RequestDecoder, pattern);
        check("operator", of_operator, admin::RequestDecoder::MAX_INCOMPLETE_BYTES);
        assert!(of_operator.1, "operator, {name:?}: the call is refused");
    }
}

/// A decoder that never finds anything.
struct Blind;

impl Decoder for Blind {
    type Message = ();
    type Error = ();
    const MAX_INCOMPLETE_BYTES: usize = 3 * CHUNK;

    fn decode(&mut self, _: &[u8]) -> Result<Decoded<()>, ()> {
        Ok(Decoded::Incomplete)
    }
}

/// The bound does not rest on the decoder.
#[test]
fn a_decoder_that_never_finds_a_message_is_bounded() {
    assert_eq!(largest_held(Blind, b"x"), (Blind::MAX_INCOMPLETE_BYTES, true));
}

/// Messages ahead of malformed bytes count, and skipped bytes are gone.
#[test]
fn messages_before_an_error_are_returned_and_empty_lines_are_consumed() {
    let message = b"RTSP/1.0 200 OK\r\nCSeq: 2\r\nContent-Length: 0\r\n\r\n";
    let (mut buffer, mut decoder) = (ReadBuffer::default(), rtsp::MessageDecoder::default());
    buffer.extend(&[&b"\r\n\r\n"[..], message, b"\r\n", message, b"\n\n\n"].concat());
    assert_eq!(buffer.take_messages(&mut decoder).0.len(), 2);
    assert!(buffer.is_empty());
    buffer.extend(&[&message[..], b"SPOILT\r\n"].concat());
    let (messages, error) = buffer.take_messages(&mut decoder);
    assert_eq!((messages.len(), error), (1, Some(FramingError::Malformed(rtsp::RtspError::StartLine))));
}

/// A message, or a line, that comes byte by byte is not searched from its start for each byte.
#[test]
fn a_message_in_small_pieces_is_found_at_its_end() {
    let line = vec![b'x'; 200_000];
    let (mut buffer, mut decoder) = (ReadBuffer::default(), discovery::LineDecoder::default());
    for byte in &line {
        buffer.extend(&[*byte]);
        assert!(buffer.take_messages(&mut decoder).0.is_empty());
    }
    buffer.extend(b"\nrest");
    assert_eq!(buffer.take_messages(&mut decoder).0, [line]);
    buffer.extend(b"\n");
    assert_eq!(buffer.take_messages(&mut decoder).0, [b"rest".to_vec()]);
}
