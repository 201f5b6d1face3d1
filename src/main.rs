//! Entry point of the `stonewharf` program; the implementation is in the library.
use std::process::ExitCode;

fn main() -> ExitCode {
    stonewharf::cli::main()
}
