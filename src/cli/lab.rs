//! `stonewharf lab`: runs a scenario with processes of this program, or checks a kept run again, and tells
//! what came of it. Exits 0 where all held, 1 where a check failed, 2 where the run can't be made, 3 where
//! the machine ran late.
use clap::Subcommand;
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use stonewharf_lab::{LabError, Scenario, Verdict};
use stonewharf_operator::OperatorError;

/// What is asked of the lab.
#[derive(Subcommand)]
pub enum Lab {
    /// Run a scenario; writes history.json, result.json, report.html and the directors' folders into DIR.
    ///
    /// Exits 0 where all held, 1 where a check failed, 2 where the scenario can't be used, 3 where the
    /// machine ran too late to judge.
    Run {
        /// The scenario (HCL).
        scenario: PathBuf,
        /// The seed of all chance in it.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Replace a value of the scenario: a key such as viewers_per_s or faults.0.at.
        #[arg(long, value_name = "KEY=VALUE")]
        set: Vec<String>,
        /// Where the files go; made where it is not there.
        #[arg(long, value_name = "DIR")]
        out: PathBuf,
    },
    /// Check a kept run again.
    Check {
        /// The folder of the run.
        dir: PathBuf,
    },
}

/// Does what is asked.
pub fn main(lab: &Lab) -> ExitCode {
    let done = match lab {
        Lab::Run { scenario, seed, set, out } => run(scenario, *seed, set, out),
        Lab::Check { dir } => stonewharf_lab::recheck(dir).map_err(RunError::Lab),
    };
    match done {
        Ok(verdict) => told(&verdict),
        Err(why) => {
            let _ = writeln!(io::stderr(), "stonewharf: {why}"); // it may be closed
            ExitCode::from(2)
        }
    }
}

/// Why a run can't be made or checked.
#[derive(Debug, thiserror::Error)]
enum RunError {
    #[error("{0} can't be read: {1}; name a scenario such as examples/lab/partition.hcl")]
    File(PathBuf, io::Error),
    #[error(transparent)]
    Scenario(#[from] OperatorError),
    #[error("this program's own file can't be found: {0}; start it by its path")]
    Program(io::Error),
    #[error(transparent)]
    Lab(#[from] LabError),
}

fn run(file: &Path, seed: u64, sets: &[String], out: &Path) -> Result<Verdict, RunError> {
    let text = std::fs::read(file).map_err(|why| RunError::File(file.to_owned(), why))?;
    let text = String::from_utf8_lossy(&text).into_owned();
    let scenario = Scenario::parse(&file.display().to_string(), &text, sets)?;
    let program = std::env::current_exe().map_err(RunError::Program)?;
    // Drawn on a terminal alone.
    let bar = indicatif::ProgressBar::new(1_000);
    let verdict =
        stonewharf_lab::run(&program, &scenario, seed, out, |done| bar.set_position((done * 1e3) as u64));
    bar.finish_and_clear();
    Ok(verdict?)
}

/// One line of figures; where something failed, the first offence with its time, processes and log lines.
fn told(verdict: &Verdict) -> ExitCode {
    let c = &verdict.checked;
    let mut text = format!(
        "valid={} rules_broken={} asked={} served={} refused={} failed={} excused={} \
         found_p50_ms={} found_p99_ms={} \
         equal_p50_ms={} equal_p99_ms={} late_ms={}\n",
        c.valid,
        c.rules_broken,
        c.asked,
        c.served,
        c.refused,
        c.failed,
        c.excused,
        c.detection.p50_ms,
        c.detection.p99_ms,
        c.recovery.p50_ms,
        c.recovery.p99_ms,
        verdict.late.as_millis()
    );
    if verdict.code() == 3 {
        text.push_str(
            "the machine ran too late to judge: run it with fewer processes, or with less beside it\n",
        );
    }
    if c.checks.contains_key("one_hand") {
        let judged = |name: &str| c.checks.get(name).map_or(0, |check| check.looked_at);
        text.push_str(&format!(
            "estates: plays_on={:.3} viewers_told={:.3} takeovers={} control_p50_ms={} control_p99_ms={} \
             judged: one_hand={} paid_viewer_once={} plays_on={}\n",
            c.plays_on,
            c.viewers_told,
            c.control.count,
            c.control.p50_ms,
            c.control.p99_ms,
            judged("one_hand"),
            judged("paid_viewer_once"),
            judged("plays_on")
        ));
    }
    for (name, check) in c.checks.iter().filter(|(_, check)| check.offences > 0) {
        text.push_str(&format!("{name}: {} of {} wrong\n", check.offences, check.looked_at));
        if let Some(first) = &check.first {
            text.push_str(&format!("  first at {:.3} s: {}\n", first.at_s, first.what));
            first.lines.iter().for_each(|line| text.push_str(&format!("    {line}\n")));
        }
    }
    let _ = io::stdout().write_all(text.as_bytes()); // whoever closed it has seen enough
    ExitCode::from(verdict.code())
}
