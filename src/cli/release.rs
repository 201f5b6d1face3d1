//! `stonewharf release`: begins a release by a plan, shows it, halts it, takes it back, and gives a
//! supervisor each director's step.
use super::orders::{OrderError, To, now_ms};
use crate::net::{read_operator_file, settings_digest};
use clap::Subcommand;
use serde::Deserialize;
use std::path::{Path, PathBuf};
use std::time::Duration;
use stonewharf_operator::read_hcl;
use stonewharf_rollout::{Command, Phase, ReleasePlan, Rollout};

/// Between looks of `--watch`.
const AGAIN: Duration = Duration::from_millis(300);

/// A release: wave after wave, each watched, halted by itself where it does harm, and taken back.
#[derive(Subcommand, Clone)]
pub enum Release {
    /// Begin a release.
    Start {
        /// The plan (HCL): name, version or operator, waves, watch_s.
        plan: PathBuf,
        #[command(flatten)]
        to: To,
    },
    /// Where it stands.
    Status {
        /// Go on showing it until it is done, halted or back.
        #[arg(long)]
        watch: bool,
        #[command(flatten)]
        to: To,
    },
    /// Stop it where it is.
    Halt(To),
    /// Let a halted one go on.
    Resume(To),
    /// Take back what was changed, newest wave first.
    Back(To),
    /// What was asked, given, refused and halted, the last of it.
    History(To),
    /// For supervisors: leave to restart a director with what the release brings. Exit 0 with "permit N": it
    /// ends by itself, start it anew; exit 0 with "done": nothing is to be done for it.
    Step {
        /// The director.
        name: String,
        /// Seconds for which a refusal is no answer, 0 to 86,400.
        #[arg(long, default_value_t = 0, value_parser = clap::value_parser!(u64).range(0..=86_400))]
        until: u64,
        #[command(flatten)]
        to: To,
    },
}

/// A plan as a person writes it.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Written {
    /// Its name, 1 to 16 characters.
    name: String,
    /// The program's version after it.
    #[serde(default)]
    version: String,
    /// The operator file that the directors are to run with after it.
    #[serde(default)]
    operator: String,
    /// Share of all directors changed after each wave, percent.
    waves: Vec<u32>,
    /// Seconds that each wave is watched at least.
    watch_s: f64,
}

fn plan_of(file: &Path) -> Result<ReleasePlan, OrderError> {
    let name = file.display().to_string();
    let bytes = std::fs::read(file).map_err(|why| OrderError::Plan(format!("{name}: {why}")))?;
    let (written, places): (Written, _) = read_hcl(&name, &String::from_utf8_lossy(&bytes), |_| Ok(()))
        .map_err(|why| OrderError::Plan(why.to_string()))?;
    let settings = match written.operator.as_str() {
        "" => String::new(),
        path => {
            let path = file.parent().unwrap_or(Path::new("")).join(path);
            format!("{:016x}", settings_digest(&read_operator_file(&path, None)?))
        }
    };
    let Written { name: title, version, waves, watch_s, .. } = written;
    let watch_ms = (watch_s.clamp(0.0, 1e6) * 1e3) as u64;
    let plan = ReleasePlan { name: title, version, settings, waves, watch_ms };
    plan.check().map_err(|why| {
        let line = why.key().map_or(1, |key| places.line(key).max(1));
        OrderError::Plan(format!("{name}:{line}: {why}"))
    })?;
    Ok(plan)
}

/// Does what is asked.
pub fn main(asked: &Release) -> Result<(), OrderError> {
    let by = |to: &To| to.by.clone();
    let (to, command) = match asked {
        Release::Start { plan, to } => {
            (to, Command::ReleaseStart { plan: plan_of(plan)?, by: by(to), now_ms: now_ms() })
        }
        Release::Status { watch, to } => return status(to, *watch),
        Release::History(to) => return super::orders::out(&super::orders::Out::History(to.clone())),
        Release::Halt(to) => (to, Command::ReleaseHalt { why: format!("by {}", by(to)), now_ms: now_ms() }),
        Release::Resume(to) => (to, Command::ReleaseResume { by: by(to), now_ms: now_ms() }),
        Release::Back(to) => (to, Command::ReleaseBack { by: by(to), now_ms: now_ms() }),
        Release::Step { name, until, to } => return step(name, *until, to),
    };
    let told = to.act(command)?;
    to.print(&told, |told| told.text.clone())
}

fn step(name: &str, until: u64, to: &To) -> Result<(), OrderError> {
    let ask = || Command::ReleaseStep { name: name.to_owned(), by: to.by.clone(), now_ms: now_ms() };
    let told = to.insist(until, ask)?;
    to.print(&told, |told| told.text.clone())
}

fn status(to: &To, watch: bool) -> Result<(), OrderError> {
    let mut last = String::new();
    loop {
        let told = to.read()?;
        let text = told.rollout.as_ref().map_or(told.text.clone(), line);
        if text != last {
            to.print(&told, |_| text.clone())?;
            last = text;
        }
        let moves = told.rollout.as_ref().and_then(|r| r.release.as_ref());
        if !watch || !moves.is_some_and(|r| matches!(r.phase, Phase::Forward | Phase::Back)) {
            return Ok(());
        }
        std::thread::sleep(AGAIN);
    }
}

/// Where a release stands, on one line.
fn line(state: &Rollout) -> String {
    let Some(release) = &state.release else { return "no release was ever begun".into() };
    let phase = match &release.phase {
        Phase::Forward if release.is_watched() => "is watched".into(),
        Phase::Forward => "goes on".into(),
        Phase::Halted(why) => format!("is halted: {why}"),
        Phase::Back => "goes back".into(),
        Phase::Done => "is done".into(),
        Phase::Returned => "is back".into(),
    };
    let reached = state.directors.values().filter(|d| release.plan.is_applied_to(d)).count();
    format!(
        "release {} {phase}; wave {} of {}, {reached} of {} directors changed, {} out",
        release.plan.name,
        release.wave + 1,
        release.plan.waves.len(),
        release.order.len(),
        state.directors_out(None).len()
    )
}
