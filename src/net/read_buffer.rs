//! The bytes that were read from a connection and are not consumed yet. Their number is bounded here for
//! every kind of peer, whatever the bytes are.
use crate::platform::framing::{Decoded, Decoder};

/// Most bytes of capacity that a drained buffer keeps.
const IDLE_CAPACITY: usize = 4 * 1024;

/// Why the bytes of a connection can't be split into messages.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FramingError<E> {
    /// A message is malformed.
    #[error("{0}")]
    Malformed(E),
    /// A message is incomplete and has more than this number of bytes.
    #[error("incomplete message exceeds {0} bytes")]
    TooLong(usize),
}

/// Bytes that were read and are not consumed yet.
#[derive(Debug, Default)]
pub struct ReadBuffer {
    bytes: Vec<u8>,
}

impl ReadBuffer {
    /// Appends bytes that were read.
    pub fn extend(&mut self, bytes: &[u8]) {
        self.bytes.extend_from_slice(bytes);
    }

    /// Whether it holds no bytes.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Discards all bytes.
    pub fn clear(&mut self) {
        self.bytes.clear();
        release_excess_capacity(&mut self.bytes);
    }

    /// Removes the complete messages, and what belongs to no message. At most
    /// [`Decoder::MAX_INCOMPLETE_BYTES`] are left, else it is an error.
    ///
    /// If the bytes can't be decoded, returns the messages before them together with the error.
    pub fn take_messages<D: Decoder>(
        &mut self,
        decoder: &mut D,
    ) -> (Vec<D::Message>, Option<FramingError<D::Error>>) {
        let mut messages = Vec::new();
        let error = self.decode(decoder, |message| {
            messages.push(message);
            true
        });
        (messages, error)
    }

    /// Removes one complete message, and what comes before it and belongs to no message. Returns `None` if
    /// none is complete yet.
    pub fn take_message<D: Decoder>(
        &mut self,
        decoder: &mut D,
    ) -> Result<Option<D::Message>, FramingError<D::Error>> {
        let mut first = None;
        let error = self.decode(decoder, |message| {
            first = Some(message);
            false
        });
        error.map_or(Ok(first), Err)
    }

    /// Decodes messages while `take` returns true.
    fn decode<D: Decoder>(
        &mut self,
        decoder: &mut D,
        mut take: impl FnMut(D::Message) -> bool,
    ) -> Option<FramingError<D::Error>> {
        let mut consumed = 0;
        let error = loop {
            let rest = self.bytes.get(consumed..).unwrap_or_default();
            match decoder.decode(rest) {
                Ok(Decoded::Message(message, length)) => {
                    consumed += length;
                    if !take(message) {
                        break None;
                    }
                }
                Ok(Decoded::Skipped(length)) => consumed += length,
                Ok(Decoded::Incomplete) if rest.len() > D::MAX_INCOMPLETE_BYTES => {
                    break Some(FramingError::TooLong(D::MAX_INCOMPLETE_BYTES));
                }
                Ok(Decoded::Incomplete) => break None,
                Err(why) => break Some(FramingError::Malformed(why)),
            }
        };
        self.bytes.drain(..consumed.min(self.bytes.len()));
        release_excess_capacity(&mut self.bytes);
        error
    }
}

/// Releases the capacity that a burst has left in a buffer.
pub fn release_excess_capacity(buffer: &mut Vec<u8>) {
    if buffer.capacity() > IDLE_CAPACITY && buffer.len() <= IDLE_CAPACITY {
        buffer.shrink_to(IDLE_CAPACITY);
    }
}

#[cfg(test)]
mod tests;
