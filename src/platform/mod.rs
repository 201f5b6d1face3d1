//! The codecs of this platform: pure translations between bytes and typed messages. A second front would
//! bring its own folder beside this one.
pub mod admin;
pub mod config;
pub mod discovery;
pub mod rtsp;
pub mod viewer;

/// The most bytes that one message may have, on any connection.
pub const MAX_MESSAGE_BYTES: usize = 16 * 1024;
