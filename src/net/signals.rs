//! Signals as flags that the loop reads after each wait. It owns the handlers and the flags; it never wakes
//! the loop itself.
//!
//! Why flags and no descriptor: the platforms we run on may refuse Unix sockets (a socket pair was used here
//! before) and give no promise on pipes or event descriptors, while a flag set by a handler needs nothing of
//! the machine. A signal interrupts the wait where the machine allows that; where it does not, the loop waits
//! at most [`MAX_SIGNAL_LATENCY`] and sees the flag then.
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM, SIGUSR1, SIGXFSZ};
use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// The longest time from a signal to the loop acting on it: the loop never waits longer than this.
pub const MAX_SIGNAL_LATENCY: Duration = Duration::from_millis(25);

/// What a signal asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SignalRequest {
    /// Come to an end in good order (SIGTERM, SIGINT).
    Stop,
    /// Read the configuration again (SIGHUP).
    Reload,
    /// Print the counters (SIGUSR1).
    LogCounters,
}

/// The signals that the program handles, each with the flag its handler sets.
pub struct Signals {
    flags: Vec<(Arc<AtomicBool>, SignalRequest)>,
}

impl Signals {
    /// Takes the signals over. SIGTERM and SIGINT share one flag.
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

    /// A file that can't grow is an error of the write that met it, not the end of the process. Taken only
    /// where a folder is in use.
    pub fn handle_file_size_limit() -> io::Result<()> {
        signal_hook::flag::register(SIGXFSZ, Arc::default()).map(|_| ())
    }

    /// What was asked since the last call, each kind once, in the order End, Reload, Counters.
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
