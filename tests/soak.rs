//! Seeded runs of many real processes: directors that are told to end one after another and killed at the earliest
//! moment, streamers that hang, die and spoil their answers, discovery that falls silent, and clients that go on
//! sending on every open connection. The records of clients and streamers judge.
//!
//! The seeds 1 to 24 are played in each run of the suite. Others: `SOAK_SEEDS=100..150 cargo test --test soak`.
mod soak {
    pub mod clients;
    pub mod judge;
    pub mod plan;
    pub mod streamers;
    pub mod world;
}
use soak::plan::Plan;
use soak::world::play_run;
use std::ops::Range;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;

/// Names other seeds than those of the suite.
const SEEDS: &str = "SOAK_SEEDS";
/// Runs at a time.
const AT_A_TIME: usize = 4;

/// The seeds of the suite, and those in which a planted error has to be found.
#[cfg(not(feature = "planted"))]
const PLAYED: Range<u64> = 1..25;
#[cfg(feature = "planted")]
const PLAYED: Range<u64> = 1..5;

fn seeds() -> Range<u64> {
    let Ok(text) = std::env::var(SEEDS) else { return PLAYED };
    let (first, end) = text.split_once("..").expect("SOAK_SEEDS=FIRST..END");
    first.parse().expect("a number")..end.parse().expect("a number")
}

/// What was broken in each run that broke something.
fn play(seeds: Range<u64>) -> Vec<String> {
    let next = AtomicU64::new(seeds.start);
    let run = || {
        let mut broken = Vec::new();
        loop {
            let seed = next.fetch_add(1, Ordering::Relaxed);
            if !seeds.contains(&seed) {
                return broken;
            }
            let evidence = play_run(seed);
            let (requests, found) = (evidence.asked.len(), evidence.broken());
            let served = evidence.asked.values().filter(|asked| asked.heard.len() == 2).count();
            let Plan { deployment, directors, deadline, .. } = Plan::draw(seed);
            println!(
                "seed {seed} ({}, {directors} directors, deadline {deadline:?}): {requests} requests, \
                 {served} served and released, {} broken",
                deployment.name,
                found.len()
            );
            found.iter().for_each(|what| println!("seed {seed}: {what}"));
            let replay = format!("{SEEDS}={seed}..{} cargo test --locked --test soak", seed + 1);
            broken.extend(found.into_iter().take(5).map(|what| format!("{replay}: {what}")));
        }
    };
    thread::scope(|scope| {
        let workers: Vec<_> = (0..AT_A_TIME).map(|_| scope.spawn(run)).collect();
        workers.into_iter().flat_map(|worker| worker.join().expect("it ran")).collect()
    })
}

#[cfg(not(feature = "planted"))]
#[test]
fn every_request_taken_gets_one_answer_while_parts_fail() {
    let broken = play(seeds());
    assert!(broken.is_empty(), "{}", broken.join("\n"));
}

/// Beside a build of the fleet test, a release that its streamer had written did not reach the director.
#[cfg(not(feature = "planted"))]
#[test]
fn a_release_written_beside_load_is_told_in_seed_31() {
    let broken = play(31..32);
    assert!(broken.is_empty(), "{}", broken.join("\n"));
}

/// With an error planted in the program (one in 64 requests is read and dropped) the same run fails.
#[cfg(feature = "planted")]
#[test]
fn planted_error_is_found() {
    assert!(!play(seeds()).is_empty(), "the planted error was not found");
}
