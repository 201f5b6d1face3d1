//! The platform's formats: pure conversions between bytes and typed messages, and the configuration.
//!
//! Support for a second platform would get a directory of its own beside this one.
pub mod admin;
pub mod config;
pub mod discovery;
pub mod framing;
pub mod rtsp;
pub mod viewer;

use std::str::FromStr;

/// Maximum length of a message on any connection.
pub const MAX_MESSAGE_BYTES: usize = 16 * 1024;

/// Parses a number that consists of decimal digits alone, without a sign.
fn parse_digits<T: FromStr>(text: &str) -> Option<T> {
    let has_only_digits = !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit());
    text.parse().ok().filter(|_| has_only_digits)
}
