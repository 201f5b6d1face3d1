//! A real director on sockets: reads its configuration, starts the log, and serves until it is asked to end.
use std::io::{self, Write};
use std::process::ExitCode;
use stonewharf::net::{Node, NodeError, logging};
use stonewharf::platform::config::Config;

fn main() -> ExitCode {
    let (log, guard) = logging::to_stderr(slog::Level::Info);
    let served = Config::from_env().map_err(NodeError::from).and_then(|config| {
        let log = log.new(slog::o!("director" => config.name.clone()));
        Node::new(&config, log)?.run()
    });
    drop(log);
    guard.finish();
    match served {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            let _ = writeln!(io::stderr(), "stonewharf: {why}"); // it may be closed
            ExitCode::FAILURE
        }
    }
}
