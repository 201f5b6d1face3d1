//! The program `stonewharf`; all of it stands in the library.
use std::process::ExitCode;

fn main() -> ExitCode {
    stonewharf::cli::main()
}
