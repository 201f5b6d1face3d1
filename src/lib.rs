//! stonewharf is a media-session director: it admits each session, places it on one of many streamers, sets
//! its rate, and answers each request exactly once. The decisions are made in `stonewharf-core`; this crate
//! handles the I/O: the platform's codecs, the event loop on sockets, and the simulator's wire protocol.
//! `docs/architecture.md` describes the components.
#![deny(unsafe_code)] // the only exception is `net::poll`, which documents the reason
#![warn(missing_docs)]

pub mod cli;
pub mod net;
pub mod platform;
pub mod wire;

pub use stonewharf_core::*;
