//! stonewharf directs media sessions: it admits, places and rates each one on one of many streamers, and
//! answers each request exactly once. The decisions stand in `stonewharf-core`; here is what speaks to the
//! world: the platform's codecs, the loop on sockets, and the simulator's wire. `docs/architecture.md` has
//! the parts.
#![deny(unsafe_code)] // but for `net::poll`, which says why
#![warn(missing_docs)]

pub mod cli;
pub mod net;
pub mod platform;
pub mod wire;

pub use stonewharf_core::*;
