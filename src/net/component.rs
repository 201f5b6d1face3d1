//! The interface between the event loop and its components.
//!
//! Each component owns some descriptors and deadlines, handles their events, and stores in [`Shared`] what
//! the rest of the program has to process. A component makes no decisions and does not depend on other
//! components.
use super::poll::Token;
use super::shared::{Deadline, Shared};
use crate::director::Director;

/// Readiness of a descriptor.
#[derive(Clone, Copy, Debug)]
pub struct Ready {
    /// Token of the descriptor.
    pub token: Token,
    /// Data or the end of the stream can be read.
    pub readable: bool,
    /// Data can be written.
    pub writable: bool,
}

/// A component of the event loop.
pub trait Component {
    /// Returns whether the token belongs to this component.
    fn owns(&self, token: Token) -> bool;

    /// Reads from and writes to one of its descriptors.
    fn on_ready(&mut self, shared: &mut Shared, director: &Director, ready: Ready);

    /// Handles a deadline that has passed. Returns false if it belongs to another component.
    fn on_deadline(&mut self, shared: &mut Shared, director: &Director, deadline: Deadline) -> bool;

    /// Performs the work that was deferred to the end of the turn.
    fn on_turn_end(&mut self, _shared: &mut Shared) {}
}
