//! The command line: what it takes, and which part of the library serves it. Without arguments the director
//! is served as `LB_CONFIG` says. Wrong arguments and files end with one clear line and a failure.
mod lab;
mod members;
mod model;
mod orders;
mod release;

use crate::net::logging::{self, Format};
use crate::net::{Node, NodeError, Signals, read_operator_file};
use crate::platform::config::Config;
use crate::settings::NameRegistry;
use clap::{Args, CommandFactory, Parser, Subcommand, ValueEnum};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// A director of media sessions: admits, places and rates them, and answers each request once.
///
/// Without a command it serves as the file that LB_CONFIG names says.
#[derive(Parser)]
#[command(name = "stonewharf", version, max_term_width = 110)]
struct Line {
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Subcommand)]
enum Command {
    /// Serve as one director until SIGTERM or SIGINT and the grace time after it.
    Serve(Serve),
    /// Check the configuration and the operator file, and print what is in force.
    ///
    /// Exits 1 where something is wrong, with file, line and what is allowed there.
    Check(Files),
    /// Ask a running director about the fleet that it is in.
    #[command(subcommand)]
    Fleet(FleetAsked),
    /// Take directors or streamers out of service in good order, within the budgets.
    #[command(subcommand)]
    Drain(orders::Drain),
    /// Open drained streamers again, as cold ones.
    #[command(subcommand)]
    Undrain(orders::Streamers),
    /// Change all directors wave by wave, watched, with a halt and a way back.
    #[command(subcommand)]
    Release(release::Release),
    /// Show and steer what may be out of service.
    #[command(subcommand)]
    Out(orders::Out),
    /// Run several processes of this program with faults between them, and check what they did.
    #[command(subcommand)]
    Lab(lab::Lab),
    /// Play scenarios in simulated time round the real core.
    #[command(subcommand)]
    Model(model::Model),
    /// Print completions for a shell.
    Completions {
        /// Which shell.
        shell: clap_complete::Shell,
    },
}

#[derive(Subcommand)]
enum FleetAsked {
    /// Show what a running director sees of the agreed log: leader, term, voters.
    Log(orders::To),
    /// Change who votes.
    #[command(subcommand)]
    Voters(orders::Voters),
    /// Who is in the fleet, as the director sees it.
    ///
    /// Exits 1 with one line where it does not answer within 2 s.
    Members {
        /// The director's operator file, for the cluster and where it listens for peers.
        #[arg(long, value_name = "FILE")]
        operator: PathBuf,
        /// Another director of the cluster, by where it listens for peers.
        #[arg(long, value_name = "ADDRESS")]
        at: Option<std::net::SocketAddr>,
        /// Print the view as JSON.
        #[arg(long)]
        json: bool,
    },
}

#[derive(Args, Default)]
struct Files {
    /// The director's configuration (JSON); where it is left out, the file that LB_CONFIG names.
    #[arg(long, value_name = "FILE")]
    config: Option<PathBuf>,
    /// The operator file (HCL) for the director's own subsystems; without it they are all off.
    #[arg(long, value_name = "FILE")]
    operator: Option<PathBuf>,
}

#[derive(Args, Default)]
struct Serve {
    #[command(flatten)]
    files: Files,
    /// How lines of the log are written.
    #[arg(long, value_enum, default_value_t)]
    log_format: Format,
    /// From which level on lines are written.
    #[arg(long, value_enum, default_value_t)]
    log_level: Level,
}

#[derive(Clone, Copy, Default, ValueEnum)]
enum Level {
    Error,
    Warning,
    #[default]
    Info,
    Debug,
    /// Also every input to the core and every deed out of it, with the request's id: to follow one request.
    Trace,
}

impl From<Level> for slog::Level {
    fn from(level: Level) -> Self {
        match level {
            Level::Error => slog::Level::Error,
            Level::Warning => slog::Level::Warning,
            Level::Info => slog::Level::Info,
            Level::Debug => slog::Level::Debug,
            Level::Trace => slog::Level::Trace,
        }
    }
}

/// Runs the program with the arguments of the process.
pub fn main() -> ExitCode {
    let line = match Line::try_parse() {
        Ok(line) => line,
        Err(why) => {
            let _ = why.print(); // standard error may be closed
            return ExitCode::from(u8::try_from(why.exit_code()).unwrap_or(2));
        }
    };
    match line.command {
        None => serve(&Serve::default()),
        Some(Command::Serve(args)) => serve(&args),
        Some(Command::Check(files)) => told(check(&files)),
        Some(Command::Fleet(FleetAsked::Members { operator, at, json })) => {
            match members::ask(&operator, at).and_then(|view| members::print(&view, json)) {
                Ok(()) => ExitCode::SUCCESS,
                Err(why) => failed(&why),
            }
        }
        Some(Command::Fleet(FleetAsked::Log(to))) => ordered(orders::log(&to)),
        Some(Command::Fleet(FleetAsked::Voters(asked))) => ordered(orders::voters(&asked)),
        Some(Command::Drain(asked)) => ordered(orders::drain(&asked)),
        Some(Command::Undrain(asked)) => ordered(orders::undrain(&asked)),
        Some(Command::Release(asked)) => ordered(release::main(&asked)),
        Some(Command::Out(asked)) => ordered(orders::out(&asked)),
        Some(Command::Lab(asked)) => lab::main(&asked),
        Some(Command::Model(asked)) => model::main(asked),
        Some(Command::Completions { shell }) => {
            clap_complete::generate(shell, &mut Line::command(), "stonewharf", &mut io::stdout());
            ExitCode::SUCCESS
        }
    }
}

fn ordered(result: Result<(), orders::OrderError>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => failed(&why),
    }
}

/// Success, or one line on standard error and a failure.
fn told(result: Result<(), NodeError>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => failed(&why),
    }
}

fn config(file: Option<&Path>) -> Result<Config, NodeError> {
    Ok(match file {
        Some(file) => Config::from_file(file)?,
        None => Config::from_env()?,
    })
}

fn serve(args: &Serve) -> ExitCode {
    // Before anything else: a signal that came earlier would end the process as if it had crashed.
    let signals = Signals::install();
    let (log, guard) = logging::to_stderr(args.log_level.into(), args.log_format);
    let served = config(args.files.config.as_deref()).and_then(|config| {
        let log = log.new(slog::o!("director" => config.name.clone()));
        let mut node = Node::with_signals(&config, args.files.operator.as_deref(), signals?, log)?;
        node.set_tracing(matches!(args.log_level, Level::Trace));
        node.run()
    });
    drop(log);
    guard.flush();
    told(served)
}

fn check(files: &Files) -> Result<(), NodeError> {
    let mut out = String::new();
    // An operator file can be checked alone; a configuration adds the names that the deployment has.
    let given = files.config.is_some() || files.operator.is_none();
    let own = if given {
        let config = config(files.config.as_deref())?;
        let (settings, names, _) = NameRegistry::read(&config.settings)?;
        let seed = config.seed()?;
        crate::Controller::new(settings, seed, 0)?;
        out.push_str(&format!("# director {} listens on {}\n", config.name, config.listen));
        files.operator.as_deref().map(|file| read_operator_file(file, Some(&names))).transpose()?
    } else {
        files.operator.as_deref().map(|file| read_operator_file(file, None)).transpose()?
    };
    match own.map(|own| own.effective()).filter(|text| !text.is_empty()) {
        Some(text) => out.push_str(&text),
        None => out.push_str("# no subsystem is on\n"),
    }
    let _ = io::stdout().write_all(out.as_bytes()); // whoever closed it has seen enough
    Ok(())
}

/// One line on standard error, and a failure.
fn failed(why: &dyn std::fmt::Display) -> ExitCode {
    let _ = writeln!(io::stderr(), "stonewharf: {why}"); // it may be closed
    ExitCode::FAILURE
}
