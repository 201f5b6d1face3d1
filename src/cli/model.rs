//! The commands of the model: plays in simulated time, and comparisons of their results.
use super::failed;
use clap::Subcommand;
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use stonewharf_core::SettingsError;
use stonewharf_model::{
    Membership, Outcome, Plan, ReportError, RolloutPlan, Scenario, ScenarioError, Trouble,
};

#[derive(Subcommand)]
pub enum Model {
    /// Play a scenario and write DIR/result.json and DIR/report.html.
    ///
    /// The same seed gives the same bytes, but for wall_s in result.json.
    Run {
        /// The scenario (HCL).
        scenario: PathBuf,
        /// The seed of all chance in it.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Replace a value of the scenario: a key such as load or operator.spill_share.
        #[arg(long, value_name = "KEY=VALUE")]
        set: Vec<String>,
        /// Where the files go; made where it is not there.
        #[arg(long, value_name = "DIR")]
        out: PathBuf,
    },
    /// Play the fleet's membership on a virtual network: deaths, loss of packets, and what it costs.
    ///
    /// Prints one line, or all figures as JSON. The same seed gives the same.
    Fleet {
        /// Directors, 2 to 4,000.
        #[arg(long, default_value_t = 30, value_parser = clap::value_parser!(u32).range(2..=4_000))]
        directors: u32,
        /// Simulated seconds.
        #[arg(long, default_value_t = 60.0)]
        seconds: f64,
        /// Share of all packets that is lost, 0 to 0.9.
        #[arg(long, default_value_t = 0.0)]
        loss: f64,
        /// Directors that are killed, one after another, 10 s after the start and every 4 s from there on.
        #[arg(long, default_value_t = 0)]
        kill: u32,
        /// The seed of all chance.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Print all figures as JSON.
        #[arg(long)]
        json: bool,
    },
    /// Play a release and a replacement of all streamers in simulated time: how long, and against what least.
    ///
    /// Prints one line for each, or all figures as JSON.
    Rollout {
        /// Directors, 2 to 2,000, and streamers, 2 to 4,000.
        #[arg(long, default_value_t = 300, value_parser = clap::value_parser!(u32).range(2..=2_000))]
        directors: u32,
        /// See --directors.
        #[arg(long, default_value_t = 600, value_parser = clap::value_parser!(u32).range(2..=4_000))]
        streamers: u32,
        /// Directors and streamers that may be out at once.
        #[arg(long, default_value_t = 15)]
        out: u32,
        /// See --out.
        #[arg(long, default_value_t = 30)]
        streamers_out: u32,
        /// The seed of all chance.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Print all figures as JSON.
        #[arg(long)]
        json: bool,
    },
    /// Put two results side by side.
    Compare {
        /// A folder of a run, or its result.json.
        first: PathBuf,
        /// Another.
        second: PathBuf,
    },
}

/// A run or comparison of the model that can't be made.
#[derive(Debug, thiserror::Error)]
enum ModelError {
    #[error("{0}: {1}")]
    File(PathBuf, io::Error),
    #[error("{0}: no result of a run: {1}")]
    Json(PathBuf, serde_json::Error),
    #[error(transparent)]
    Scenario(#[from] ScenarioError),
    #[error("unusable settings: {0}")]
    Settings(#[from] SettingsError),
    #[error(transparent)]
    Report(#[from] ReportError),
}

/// Plays what was asked.
pub fn main(model: Model) -> ExitCode {
    let done = match model {
        Model::Run { scenario, seed, set, out } => model_run(&scenario, seed, &set, &out),
        Model::Fleet { directors, seconds, loss, kill, seed, json } => {
            let (directors, kill) = (directors as usize, kill as usize);
            let killed = |n: usize| (10.0 + 4.0 * n as f64, Trouble::Kill { who: directors - 1 - n });
            let plan = Plan {
                directors,
                seconds: seconds.clamp(1.0, 86_400.0),
                loss: loss.clamp(0.0, 0.9),
                // Not while they find each other.
                counted_from: seconds.clamp(1.0, 86_400.0) / 2.0,
                troubles: (0..kill.min(directors - 1)).map(killed).collect(),
                ..Plan::default()
            };
            print_members(&stonewharf_model::members(&plan, seed), json);
            Ok(())
        }
        Model::Rollout { directors, streamers, out, streamers_out, seed, json } => {
            let (directors, streamers) = (directors as usize, streamers as usize);
            let out = (out, out.div_ceil(4).max(out.min(6)));
            let plan = RolloutPlan { directors, streamers, out, streamers_out, ..RolloutPlan::default() };
            let rolled = [
                ("release", stonewharf_model::release(&plan, seed)),
                ("replacement", stonewharf_model::replacement(&plan, seed)),
            ];
            for (what, r) in rolled {
                let text = if json {
                    serde_json::to_string(&r).unwrap_or_default()
                } else {
                    format!(
                        "{what}: took_s={:.1} least_s={:.1} ratio={:.2} out_most={} budget={}",
                        r.took_s,
                        r.least_s,
                        r.took_s / r.least_s.max(f64::MIN_POSITIVE),
                        r.out_most,
                        r.budget
                    )
                };
                let _ = writeln!(io::stdout(), "{text}"); // whoever closed it has seen enough
            }
            Ok(())
        }
        Model::Compare { first, second } => result_of(&first).and_then(|first| {
            let _ = write!(io::stdout(), "{}", stonewharf_model::compare(&first, &result_of(&second)?));
            Ok(())
        }),
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => failed(&why),
    }
}

fn print_members(m: &Membership, json: bool) {
    let text = if json {
        serde_json::to_string(m).unwrap_or_default()
    } else {
        format!(
            "directors={} found_p50_s={:.2} found_p99_s={:.2} found={} missed={} wrong_removals={} doubts={} \
             bytes_per_s={:.0} bytes_per_s_most={:.0} members={}",
            m.directors,
            m.found(0.5),
            m.found(0.99),
            m.found_s.len(),
            m.missed,
            m.wrong_removals,
            m.doubts,
            m.bytes_per_s,
            m.bytes_per_s_most,
            m.members
        )
    };
    let _ = writeln!(io::stdout(), "{text}"); // whoever closed it has seen enough
}

fn model_run(file: &Path, seed: u64, sets: &[String], out: &Path) -> Result<(), ModelError> {
    let unread = |why| ModelError::File(file.to_owned(), why);
    let text = String::from_utf8_lossy(&std::fs::read(file).map_err(unread)?).into_owned();
    let scenario = Scenario::parse(&file.display().to_string(), &text, sets)?;
    // Drawn on a terminal alone.
    let bar = indicatif::ProgressBar::new(1_000);
    let began = std::time::Instant::now();
    let mut outcome =
        stonewharf_model::run(&scenario, seed, |done| bar.set_position((done * 1_000.0) as u64))?;
    bar.finish_and_clear();
    outcome.wall_s = began.elapsed().as_secs_f64();
    let page = stonewharf_model::html(&outcome, &scenario.halls)?;
    let json = serde_json::to_string_pretty(&outcome).map_err(|why| ModelError::Json(out.to_owned(), why))?;
    std::fs::create_dir_all(out).map_err(|why| ModelError::File(out.to_owned(), why))?;
    for (name, text) in [("result.json", json + "\n"), ("report.html", page)] {
        let path = out.join(name);
        std::fs::write(&path, text).map_err(|why| ModelError::File(path, why))?;
    }
    let share = outcome.worth_served / outcome.worth_offered.max(f64::MIN_POSITIVE);
    let _ = writeln!(
        io::stdout(),
        "rules_broken={} worth_share={share:.4} spill={:.0}/{:.0} return_pace_peak={:.2} \
         home_served_share={:.4} detect_s={:.2} wall_s={:.1}",
        outcome.rules_broken,
        outcome.spill_peak,
        outcome.spill_limit,
        outcome.return_pace_peak,
        outcome.home_served_share,
        outcome.detect_s,
        outcome.wall_s
    );
    Ok(())
}

fn result_of(path: &Path) -> Result<Outcome, ModelError> {
    let path = if path.is_dir() { path.join("result.json") } else { path.to_owned() };
    let text = std::fs::read(&path).map_err(|why| ModelError::File(path.clone(), why))?;
    serde_json::from_slice(&text).map_err(|why| ModelError::Json(path, why))
}
