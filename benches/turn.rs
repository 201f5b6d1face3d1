//! Time of a turn of the loop that finds nothing to do, with the fleet off and on, as a ratio within one run, and
//! what the fleet itself costs a director with 300 peers, in the model. `cargo bench --bench turn`.
use std::path::PathBuf;
use std::time::{Duration, Instant};
use stonewharf::net::Node;
use stonewharf::platform::config::Config;

const TURNS: u32 = 20_000;
const ROUNDS: usize = 7;

fn node(operator: &str, name: &str) -> Node {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
    let config = include_str!("../examples/config.json").replace("127.0.0.1:2905", "127.0.0.1:0");
    let (file, own) = (folder.join(format!("{name}.json")), folder.join(format!("{name}.hcl")));
    std::fs::write(&file, config).expect("written");
    std::fs::write(&own, operator).expect("written");
    let config = Config::from_file(&file).expect("right");
    let log = slog::Logger::root(slog::Discard, slog::o!());
    Node::with_operator(&config, Some(&own), log).expect("starts")
}

/// The median time of a turn over some rounds, nanoseconds.
fn measure(node: &mut Node) -> f64 {
    let mut times: Vec<f64> = (0..ROUNDS)
        .map(|_| {
            let began = Instant::now();
            for _ in 0..TURNS {
                node.turn(Some(Duration::ZERO)).expect("goes on");
            }
            began.elapsed().as_nanos() as f64 / f64::from(TURNS)
        })
        .collect();
    times.sort_by(f64::total_cmp);
    times[ROUNDS / 2]
}

fn main() {
    let mut off = node("", "bench-off");
    let fleet = "fleet {\n  cluster = \"bench\"\n  listen = \"127.0.0.1:0\"\n}\n";
    let mut on = node(fleet, "bench-on");
    let base = measure(&mut off);
    let with = measure(&mut on);
    println!("an idle turn, fleet off: {base:.0} ns; on, alone: {with:.0} ns, {:.2} times off", with / base);
    let began = Instant::now();
    let plan = stonewharf_model::Plan { directors: 300, seconds: 20.0, ..Default::default() };
    let m = stonewharf_model::members(&plan, 1);
    let share = began.elapsed().as_secs_f64() / (300.0 * 20.0);
    println!(
        "the fleet of 300 in the model: {:.3} ms of a core a second for each director, {:.0} bytes a second",
        share * 1e3,
        m.bytes_per_s
    );
}
