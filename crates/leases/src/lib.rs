//! Time-limited leases that tolerate clock drift. The holder counts its lease from when it sent the
//! **request**, the grantor from when it **answered**, and each side allows for drift of the other's clock,
//! so a lease that the grantor considers expired has also expired at its holder.
//!
//! The grantor is the leader of the replicated log. Its *term* is agreed in that log and grows with each
//! grantor. A grantor keeps its leases in memory only: it grants one only after a majority of the voters has
//! just confirmed that it leads, and a new grantor waits until every lease that its predecessor may have
//! granted has expired. The command that follows an expired lease names the term, so one from an earlier term
//! that is committed late changes nothing. Renewals add no log entries. The crate owns no socket, file or
//! clock.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod duration;
mod grantor;
mod holder;

pub use duration::{LeaseDuration, LeaseDurationError};
pub use grantor::{CloseError, Grant, LeaseGrantor, LeaseRequest};
pub use holder::LeaseHolder;
