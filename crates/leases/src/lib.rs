//! One kind of lease for all that needs one: leave to act until a time. The holder counts from when it
//! **asked**, the giver from when it **answered**, and each allows for the other's clock running wrong, so
//! that whenever the giver takes a lease for run out its holder does, too.
//!
//! The giver is whoever leads the agreed log, and its *reign* is agreed: a number that grows with each giver.
//! What a giver knows of leases is in its memory alone: it gives one only when most voters have just
//! confirmed that it leads, and a new one waits out whatever its forerunner may have given. What follows from
//! a lease that ran out is a command that names the reign, so that one of a former reign, agreed late,
//! changes nothing. Renewals cost no entry of the log. Owns no socket, file or clock.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod duration;
mod grantor;
mod holder;

pub use duration::{LeaseDuration, LeaseDurationError};
pub use grantor::{CloseError, Grant, LeaseGrantor, LeaseRequest};
pub use holder::LeaseHolder;
