//! Scripted peers for tests, on loopback and port 0: streamers that set sessions up, keep count and can be
//! cut by silence or by refusals, and the bulletin. Threads, blocking calls and panics are fine here;
//! nothing of the product is used, so that a fault in it can't hide in its own test.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod bulletin;
mod streamer;

pub use bulletin::Bulletin;
pub use streamer::{Act, End, Mode, SetUp, Streamer};
