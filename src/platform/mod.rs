//! The platform's formats: pure conversions between bytes and typed messages, and the configuration.
//!
//! Support for a second platform would get a directory of its own beside this one.
pub mod admin;
pub mod config;
pub mod discovery;
pub mod framing;
pub mod rtsp;
pub mod viewer;

/// Maximum length of a message on any connection.
pub const MAX_MESSAGE_BYTES: usize = 16 * 1024;
