//! Splits a stream of bytes into messages.
//!
//! A decoder is asked again with the same bytes and those that followed. It remembers how far it has looked,
//! so that no byte is examined once for every read.

/// One step of decoding.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decoded<M> {
    /// The first message and its length in bytes.
    Message(M, usize),
    /// So many bytes at the start belong to no message. They are at least one, and need not be kept.
    Skipped(usize),
    /// The first message is not complete.
    Incomplete,
}

/// Finds the messages in the bytes of one connection.
pub trait Decoder {
    /// A message.
    type Message;
    /// Why the bytes can't be decoded.
    type Error;
    /// The largest number of bytes that an incomplete message can have.
    const MAX_INCOMPLETE_BYTES: usize;

    /// Decodes the start of `bytes`. After [`Decoded::Incomplete`] it is called again with at least the same
    /// bytes, after the other results with those behind the ones that were decoded or skipped.
    fn decode(&mut self, bytes: &[u8]) -> Result<Decoded<Self::Message>, Self::Error>;
}
