//! The one shape of the loop's parts: each owns some descriptors and deadlines, takes what comes of them, and
//! leaves what the rest of the program must know in [`Shared`]. A part decides nothing and knows no other.
use super::poll::Token;
use super::shared::{Deadline, Shared};
use crate::director::Director;

/// A descriptor that is ready.
#[derive(Clone, Copy, Debug)]
pub struct Ready {
    /// Whose.
    pub token: Token,
    /// Something can be read, or its end has come.
    pub readable: bool,
    /// Something can be written.
    pub writable: bool,
}

/// A part of the loop.
pub trait Component {
    /// Whether a token is one of its own.
    fn owns(&self, token: Token) -> bool;

    /// Reads and writes one of its descriptors.
    fn on_ready(&mut self, shared: &mut Shared, director: &Director, ready: Ready);

    /// Acts on a deadline; false where it is not one of its own.
    fn on_deadline(&mut self, shared: &mut Shared, director: &Director, deadline: Deadline) -> bool;

    /// The turn is over: what was put off to its end.
    fn on_turn_end(&mut self, _shared: &mut Shared) {}
}
