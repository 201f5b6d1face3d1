//! The frames between directors.
use crate::platform::framing::{Decoded, Decoder};
use stonewharf_fleet::FRAME_MOST;

/// Finds the frames of a peer: the length in four bytes, big-endian, and so many bytes.
pub struct FrameDecoder;

impl Decoder for FrameDecoder {
    type Message = Vec<u8>;
    type Error = ();
    const MAX_INCOMPLETE_BYTES: usize = 4 + FRAME_MOST;

    fn decode(&mut self, bytes: &[u8]) -> Result<Decoded<Vec<u8>>, ()> {
        let Some((length, rest)) = bytes.split_first_chunk::<4>() else { return Ok(Decoded::Incomplete) };
        let length = u32::from_be_bytes(*length) as usize;
        if length > FRAME_MOST {
            return Err(());
        }
        let frame = rest.get(..length).map(|frame| Decoded::Message(frame.to_vec(), 4 + length));
        Ok(frame.unwrap_or(Decoded::Incomplete))
    }
}
