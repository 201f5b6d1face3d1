//! Signal handlers that set flags, which the event loop reads after each wait. They do not wake the loop.
//!
//! Flags are used and no descriptor because the platforms may refuse Unix sockets, such as a socket pair, and
//! do not guarantee pipes or event descriptors, while a flag set by a handler needs no resource. A signal
//! interrupts the wait where the operating system allows it; elsewhere the loop sees the flag after at most
//! [`MAX_SIGNAL_LATENCY`].
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM, SIGUSR1, SIGXFSZ};
use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// Longest time from a signal until the event loop handles it. The loop never waits longer than this.
pub const MAX_SIGNAL_LATENCY: Duration = Duration::from_millis(25);

/// What a signal requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SignalRequest {
    /// Graceful shutdown (SIGTERM, SIGINT).
    Stop,
    /// Reload the configuration (SIGHUP).
    Reload,
    /// Log the counters (SIGUSR1).
    LogCounters,
}

/// The installed signal handlers, with the flags that they set.
pub struct Signals {
    flags: Vec<(Arc<AtomicBool>, SignalRequest)>,
}

impl Signals {
    /// Installs the handlers. SIGTERM and SIGINT share one flag.
    pub fn install() -> io::Result<Self> {
        let (stop, reload, counters) = Default::default();
        let flags: Vec<(Arc<AtomicBool>, SignalRequest)> = vec![
            (stop, SignalRequest::Stop),
            (reload, SignalRequest::Reload),
            (counters, SignalRequest::LogCounters),
        ];
        let signals = [(SIGTERM, 0), (SIGINT, 0), (SIGHUP, 1), (SIGUSR1, 2)];
        for (signal, flag) in signals {
            signal_hook::flag::register(signal, Arc::clone(&flags[flag].0))?;
        }
        Ok(Signals { flags })
    }

    /// Makes a write beyond the file size limit fail with an error instead of ending the process (SIGXFSZ).
    /// Used only if the director stores data in a folder.
    pub fn handle_file_size_limit() -> io::Result<()> {
        signal_hook::flag::register(SIGXFSZ, Arc::default()).map(|_| ())
    }

    /// Returns the requests since the last call, each kind once, in the order Stop, Reload, LogCounters.
    pub fn take_pending(&self) -> impl Iterator<Item = SignalRequest> + '_ {
        self.flags.iter().filter(|(flag, _)| flag.swap(false, Ordering::AcqRel)).map(|(_, request)| *request)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_raised_signal_is_reported_once() {
        let signals = Signals::install().expect("handlers");
        assert_eq!(signals.take_pending().count(), 0);
        signal_hook::low_level::raise(SIGUSR1).expect("raise");
        assert_eq!(signals.take_pending().collect::<Vec<_>>(), vec![SignalRequest::LogCounters]);
        assert_eq!(signals.take_pending().count(), 0);
    }
}
