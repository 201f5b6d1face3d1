//! Runs many controllers for the simulator: reads batches of events from standard input, one line of JSON
//! each, and writes one line of actions for each to standard output. Contains no decision logic.
use std::io::{self, BufRead, Write};
use std::process::ExitCode;

fn main() -> ExitCode {
    let mut host = stonewharf::wire::ControllerHost::default();
    let mut out = io::stdout().lock();
    for (number, line) in io::stdin().lock().lines().enumerate() {
        let reply =
            line.map_err(|e| e.to_string()).and_then(|l| host.handle_batch(&l).map_err(|e| e.to_string()));
        let written = match reply {
            Ok(reply) => writeln!(out, "{reply}").and_then(|()| out.flush()),
            Err(error) => {
                eprintln!("stonewharf-simhost: line {}: {error}", number + 1);
                return ExitCode::from(2);
            }
        };
        if let Err(error) = written {
            eprintln!("stonewharf-simhost: standard output: {error}");
            return ExitCode::FAILURE;
        }
    }
    ExitCode::SUCCESS
}
