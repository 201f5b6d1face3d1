//! What is agreed, as the log sees it: bytes in, bytes out.

/// A state that all directors reach by the same commands in the same order. It must depend on nothing else:
/// no clock, no dice, no order of a hash table.
pub trait Machine {
    /// Takes a command; returns its answer. One that it can't read changes nothing and is answered so.
    fn apply(&mut self, command: &[u8]) -> Vec<u8>;

    /// The whole state.
    fn snapshot(&self) -> Vec<u8>;

    /// Takes a whole state instead of its own; false where it can't be read, and then nothing has changed.
    fn restore(&mut self, state: &[u8]) -> bool;
}
