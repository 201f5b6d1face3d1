//! Logging to standard error. Lines pass through a bounded queue to a separate thread: if standard error is
//! slow or closed, lines are lost and the event loop is never blocked.
use slog::{Drain, Level, Logger, o};
use std::io;
use std::sync::mpsc;
use std::thread;
use std::time::Duration;

/// Capacity of the queue, in lines.
const QUEUE_LINES: usize = 1024;
/// Longest time to wait at exit until the last lines are written.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(500);

/// Owns the logging thread; see [`LogGuard::flush`].
pub struct LogGuard(slog_async::AsyncGuard);

/// Format of log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, clap::ValueEnum)]
pub enum Format {
    /// For people: time, level, message, then keys and values.
    #[default]
    Text,
    /// For programs: one JSON object a line, with the keys that docs/operators/running.md names.
    Json,
}

/// Creates a logger for lines of the given level and above.
pub fn to_stderr(level: Level, format: Format) -> (Logger, LogGuard) {
    match format {
        Format::Text => {
            let decorator = slog_term::PlainDecorator::new(io::stderr());
            async_logger(slog_term::FullFormat::new(decorator).use_utc_timestamp().build(), level)
        }
        Format::Json => {
            let lines = slog_json::Json::new(io::stderr()).add_default_keys().set_flush(true).build();
            async_logger(std::sync::Mutex::new(lines).ignore_res(), level)
        }
    }
}

/// Creates a logger that passes its lines to `lines` on a separate thread.
fn async_logger<D>(lines: D, level: Level) -> (Logger, LogGuard)
where
    D: Drain + Send + 'static,
    D::Err: std::fmt::Debug,
{
    let (queued, guard) = slog_async::Async::new(lines.ignore_res())
        .chan_size(QUEUE_LINES)
        .overflow_strategy(slog_async::OverflowStrategy::DropAndReport)
        .build_with_guard();
    (Logger::root(queued.filter_level(level).ignore_res(), o!()), LogGuard(guard))
}

impl LogGuard {
    /// Waits until the last lines are written, but only for a bounded time.
    pub fn flush(self) {
        let (done, finished) = mpsc::channel();
        let spawned = thread::Builder::new().spawn(move || {
            drop(self.0);
            let _ = done.send(());
        });
        if spawned.is_ok() {
            let _ = finished.recv_timeout(FLUSH_TIMEOUT);
        }
    }
}
