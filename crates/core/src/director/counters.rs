//! What the director takes in, sends and answers, counted for its operators. The core and the transport count
//! in the same places; whoever shows metrics reads them from the [`MetricsRegistry`] that hold these.
use super::metrics::{Counter, MetricsRegistry};
use std::fmt;

macro_rules! counters {
    ($($(#[$doc:meta])* $name:ident),* $(,)?) => {
        /// Counts since the start. A clone counts in the same places.
        #[derive(Clone, Debug, Default)]
        pub struct Counters {
            $($(#[$doc])* pub $name: Counter,)*
            /// Final answers by class, in the order of the settings.
            pub operations: Vec<ClassOutcomes>,
        }

        impl Counters {
            /// Counters at zero that metrics show under their own names, with those of each class.
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
                let all = [$((stringify!($name), self.$name.get())),*];
                for (i, (name, count)) in all.iter().enumerate() {
                    write!(f, "{}{name}={count}", if i == 0 { "" } else { " " })?;
                }
                Ok(())
            }
        }
    };
}

/// Final answers to requests of one class.
#[derive(Clone, Debug, Default)]
pub struct ClassOutcomes {
    /// Answered with a session that stands.
    pub fulfilled: Counter,
    /// Refused.
    pub throttled: Counter,
    /// Failed.
    pub faulted: Counter,
}

impl ClassOutcomes {
    fn registered_in(metrics: &MetricsRegistry, class: &str) -> ClassOutcomes {
        let count = |what: &str| metrics.counter(&format!("operations.{class}.{what}"));
        ClassOutcomes {
            fulfilled: count("fulfilled"),
            throttled: count("throttled"),
            faulted: count("faulted"),
        }
    }
}

counters! {
    /// Requests taken from viewers.
    taken,
    /// Sessions handed over as playing already.
    handed_over,
    /// Set-ups passed to streamers, further attempts among them.
    sent,
    /// Set-ups written whole to streamers.
    relayed,
    /// Attempts after a request's first.
    sent_again,
    /// Set-ups that could not be used, answered as failed: unreadable, out of range, or under a taken number.
    unusable,
    /// Requests answered with a session that stands.
    served,
    /// Requests refused.
    refused,
    /// Requests answered as failed.
    failed,
    /// Requests that their viewers gave up before the answer.
    left_early,
    /// Sessions ended because the answer that they stand could not be passed on whole.
    undelivered,
    /// Attempts that streamers turned away as full.
    full,
    /// Attempts that streamers answered with an error.
    errors,
    /// Attempts that ran out of time.
    timed_out,
    /// Attempts without a connection.
    no_connection,
    /// Attempts that broke under way.
    broken,
    /// Attempts whose connection brought what can't be read.
    spoilt,
    /// Attempts withdrawn before a byte of them was sent.
    withdrawn,
    /// Answers that came after their attempt was given up.
    late_answers,
    /// Sessions that came to their end.
    ended,
    /// Sessions that were cut.
    cut,
    /// Sessions ended by their viewers.
    viewer_ended,
    /// Sessions moved.
    moved,
    /// Changes of rung while a session played.
    rung_changes,
    /// Notes on sessions that play.
    notes,
    /// Load tests sent.
    probes,
    /// Load tests without a good answer.
    probes_failed,
    /// Changes of the list of streamers.
    list_changes,
    /// Messages for sessions that are not held.
    strays,
    /// Connections taken from viewers.
    viewer_connections,
    /// Connections from viewers closed for their silence, or to make room.
    viewers_shed,
    /// Connections from viewers closed to send them away.
    viewers_sent_away,
    /// Calls taken at the operators' door.
    calls,
    /// Connections at the operators' door closed without a call that could be answered.
    calls_unusable,
    /// Connections opened to streamers.
    streamer_connections,
    /// Connections to streamers that never came up.
    dials_failed,
    /// Connections ended for a malformed or oversized message.
    malformed,
    /// Connections closed because their peer did not read.
    overfull,
    /// Times that no descriptor was left to take a connection.
    descriptors_out,
    /// Configurations read again.
    reloads,
    /// Breaks of the bulletin.
    bulletin_breaks,
}
