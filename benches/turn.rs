//! Duration of an idle turn of the event loop with the fleet subsystem off and on, as a ratio within one run,
//! and the cost of the fleet subsystem for each of 300 directors in the model.
//!
//! Run with `cargo bench --bench turn`.
use std::path::PathBuf;
use std::time::{Duration, Instant};
use stonewharf::net::Node;
use stonewharf::platform::config::Config;

const TURNS_PER_ROUND: u32 = 20_000;
const ROUNDS: usize = 7;
/// Size of the modelled fleet.
const DIRECTORS: usize = 300;
/// Modelled time, in seconds.
const MODEL_SECONDS: f64 = 20.0;

/// Starts a node on the example configuration with the given operator settings.
fn start_node(operator_settings: &str, name: &str) -> Node {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
    let config = include_str!("../examples/config.json").replace("127.0.0.1:2905", "127.0.0.1:0");
    let (config_file, operator_file) =
        (folder.join(format!("{name}.json")), folder.join(format!("{name}.hcl")));
    std::fs::write(&config_file, config).expect("written");
    std::fs::write(&operator_file, operator_settings).expect("written");
    let config = Config::from_file(&config_file).expect("valid configuration");
    let log = slog::Logger::root(slog::Discard, slog::o!());
    Node::with_operator(&config, Some(&operator_file), log).expect("starts")
}

/// Returns the median duration of a turn over all rounds, in nanoseconds.
fn median_turn_ns(node: &mut Node) -> f64 {
    let mut times: Vec<f64> = (0..ROUNDS)
        .map(|_| {
            let started = Instant::now();
            for _ in 0..TURNS_PER_ROUND {
                node.turn(Some(Duration::ZERO)).expect("the turn succeeds");
            }
            started.elapsed().as_nanos() as f64 / f64::from(TURNS_PER_ROUND)
        })
        .collect();
    times.sort_by(f64::total_cmp);
    times[ROUNDS / 2]
}

fn main() {
    let mut without_fleet = start_node("", "bench-off");
    let fleet_settings = "fleet {\n  cluster = \"bench\"\n  listen = \"127.0.0.1:0\"\n}\n";
    let mut with_fleet = start_node(fleet_settings, "bench-on");
    let without_fleet_ns = median_turn_ns(&mut without_fleet);
    let with_fleet_ns = median_turn_ns(&mut with_fleet);
    println!(
        "an idle turn, fleet off: {without_fleet_ns:.0} ns; on, alone: {with_fleet_ns:.0} ns, \
         {:.2} times off",
        with_fleet_ns / without_fleet_ns
    );
    let started = Instant::now();
    let plan = stonewharf_model::Plan { directors: DIRECTORS, seconds: MODEL_SECONDS, ..Default::default() };
    let result = stonewharf_model::members(&plan, 1);
    let core_share = started.elapsed().as_secs_f64() / (DIRECTORS as f64 * MODEL_SECONDS);
    println!(
        "the fleet of {DIRECTORS} in the model: {:.3} ms of a core a second for each director, \
         {:.0} bytes a second",
        core_share * 1e3,
        result.bytes_per_s
    );
}
