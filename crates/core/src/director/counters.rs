//! Counters of the requests, sessions, messages and connections of a director, for its operators.
//!
//! The core and the transport increment the same counters. Whoever displays them reads the
//! [`MetricsRegistry`] in which they are registered.
use super::metrics::{Counter, MetricsRegistry};
use std::fmt;

macro_rules! counters {
    ($($(#[$doc:meta])* $name:ident),* $(,)?) => {
        /// Counters since the start of the process. Clones share the values.
        #[derive(Clone, Debug, Default)]
        pub struct Counters {
            $($(#[$doc])* pub $name: Counter,)*
            /// Final answers of each class, in the order of the settings.
            pub operations: Vec<ClassOutcomes>,
        }

        impl Counters {
            /// Registers a counter under each field's name, and the counters of each class.
            pub fn registered_in(metrics: &MetricsRegistry, classes: &[String]) -> Counters {
                Counters {
                    $($name: metrics.counter(stringify!($name)),)*
                    operations: classes
                        .iter()
                        .map(|class| ClassOutcomes::registered_in(metrics, class))
                        .collect(),
                }
            }
        }

        impl fmt::Display for Counters {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                let values = [$((stringify!($name), self.$name.get())),*];
                for (index, (name, value)) in values.iter().enumerate() {
                    write!(f, "{}{name}={value}", if index == 0 { "" } else { " " })?;
                }
                Ok(())
            }
        }
    };
}

/// Counters of the final answers to requests of one class.
#[derive(Clone, Debug, Default)]
pub struct ClassOutcomes {
    /// Requests answered with an established session.
    pub fulfilled: Counter,
    /// Requests refused.
    pub throttled: Counter,
    /// Requests answered as failed.
    pub faulted: Counter,
}

impl ClassOutcomes {
    fn registered_in(metrics: &MetricsRegistry, class: &str) -> ClassOutcomes {
        let counter = |outcome: &str| metrics.counter(&format!("operations.{class}.{outcome}"));
        ClassOutcomes {
            fulfilled: counter("fulfilled"),
            throttled: counter("throttled"),
            faulted: counter("faulted"),
        }
    }
}

counters! {
    /// Requests received from viewers.
    taken,
    /// Sessions handed over to this director while they were playing.
    handed_over,
    /// Set-ups passed on for sending to streamers, including further attempts.
    sent,
    /// Set-ups completely written to streamers.
    relayed,
    /// Attempts after the first one of a request.
    sent_again,
    /// Unusable set-ups, answered as failed: malformed, out of range, or with a number already in use.
    unusable,
    /// Requests answered with an established session.
    served,
    /// Requests refused.
    refused,
    /// Requests answered as failed.
    failed,
    /// Requests cancelled by their viewers before the answer.
    left_early,
    /// Sessions ended because their success answer could not be delivered in full.
    undelivered,
    /// Attempts rejected by streamers that were full.
    full,
    /// Attempts that streamers answered with an error.
    errors,
    /// Attempts that timed out.
    timed_out,
    /// Attempts for which no connection could be established.
    no_connection,
    /// Attempts whose connection broke while they were outstanding.
    broken,
    /// Attempts whose connection carried data that could not be parsed.
    spoilt,
    /// Attempts withdrawn before any byte of them was sent.
    withdrawn,
    /// Answers received after their attempt was cancelled.
    late_answers,
    /// Sessions that ran to completion.
    ended,
    /// Sessions that were cut off.
    cut,
    /// Sessions ended by their viewers.
    viewer_ended,
    /// Sessions moved away from their streamer.
    moved,
    /// Rung changes of established sessions.
    rung_changes,
    /// Status notes received on established sessions.
    notes,
    /// Load probes sent.
    probes,
    /// Load probes without a successful answer.
    probes_failed,
    /// Changes of the streamer list.
    list_changes,
    /// Messages for sessions that the ledger does not know.
    strays,
    /// Ends of sessions that were not known yet, kept for a hand-over.
    ends_kept,
    /// Kept ends that were dropped because there were too many.
    ends_dropped,
    /// Connections accepted from viewers.
    viewer_connections,
    /// Viewer connections closed because they were idle, or to make room.
    viewers_shed,
    /// Viewer connections closed while the director sends its clients away.
    viewers_sent_away,
    /// Calls received on the admin interface.
    calls,
    /// Admin connections closed without a call that could be answered.
    calls_unusable,
    /// Connections opened to streamers.
    streamer_connections,
    /// Connections to streamers that could not be established.
    dials_failed,
    /// Connections to streamers on which input may have been lost: they ended before all was read, or a
    /// message stayed overdue on them.
    inputs_lost,
    /// Connections established to streamers after such a loss, on which streamers repeat releases.
    inputs_recovered,
    /// Releases and rung changes dropped because too many waited for a connection, or for too long.
    control_dropped,
    /// Connections closed because of a malformed or oversized message.
    malformed,
    /// Connections closed because their peer did not read.
    overfull,
    /// Times that no file descriptor was left to accept a connection.
    descriptors_out,
    /// Configuration reloads.
    reloads,
    /// Interruptions of the discovery bulletin.
    bulletin_breaks,
}
