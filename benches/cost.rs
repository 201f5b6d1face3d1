//! Time per request in the decision module, by number of streamers, load and request rate. Given as ratios
//! within one run, since absolute times vary between machines and runs. Run with `cargo bench --bench cost`.
#[path = "../tests/common/mod.rs"]
mod common;
use common::*;
use hdrhistogram::Histogram;
use std::collections::VecDeque;
use std::time::Instant;
use stonewharf::*;

const REQUESTS: u64 = 4_000;

/// Median and 99th percentile of the time for a request with its set-up, in nanoseconds, at a rate of
/// `requests_per_s` and for sessions of `session_us` microseconds.
fn measure(streamers: u32, requests_per_s: u64, session_us: u64) -> (u64, u64) {
    let racks = streamers.div_ceil(10);
    let set = Settings {
        controllers: 3,
        cells: racks,
        racks,
        fleet_kb: f64::from(streamers) * 3_000.0,
        rack_kb: 24_000.0,
        report_mode: ReportMode::ProbeOnly,
        ..settings(vec![class(2.0, Effect::AtMostOnce), class(1.0, Effect::Idempotent)])
    };
    let mut controller = Controller::new(set, 5, 0).expect("settings");
    let entries = (0..streamers).map(|i| entry(i, i % racks)).collect();
    let mut out = Vec::new();
    let mut now = 1;
    controller.handle(now, Event::List { scope: ListScope::Full, entries }, &mut out);
    now += 30 * S;
    let mut playing: VecDeque<(u64, RequestId, StreamerId)> = VecDeque::new();
    let mut times = Histogram::<u64>::new(3).expect("a histogram");
    let mut next_sweep = now;
    for id in 0..REQUESTS {
        now += S / requests_per_s;
        while playing.front().is_some_and(|p| p.0 <= now) {
            let Some((_, request, streamer)) = playing.pop_front() else { break };
            let (outcome, report) = (Outcome::Ok, LoadReport::default());
            let ended = Event::Ended { request, attempt: 0, streamer, outcome, last: true, report };
            controller.handle(now, ended, &mut out);
        }
        if now >= next_sweep {
            next_sweep = now + S / 4;
            controller.handle(now, Event::Timer(TimerTag(1)), &mut out);
        }
        out.clear();
        let mut new_request = request(id + 1, (id % 2) as usize);
        new_request.cells_in_row = racks;
        let started_at = Instant::now();
        controller.handle(now, Event::Inbound(new_request), &mut out);
        let placed_at = sent_to(&out);
        if let Some(streamer) = placed_at {
            let started = Event::Started { request: RequestId(id + 1), streamer, latency_us: 1_000 };
            controller.handle(now, started, &mut out);
        }
        let elapsed_ns = started_at.elapsed().as_nanos() as u64;
        if id >= REQUESTS / 4 {
            times.record(elapsed_ns).expect("in range");
        }
        playing.extend(placed_at.map(|streamer| (now + session_us, RequestId(id + 1), streamer)));
    }
    (times.value_at_quantile(0.5), times.value_at_quantile(0.99))
}

fn main() {
    let us = |ns: u64| ns as f64 / 1_000.0;
    println!("time per request in the module, microseconds (median, 99th percentile)");
    let mut medians = Vec::new();
    for (load, session_us) in [("idle", 2_000), ("full", 60 * S)] {
        let base = measure(60, 200, session_us).0;
        for streamers in [15, 60, 600] {
            let (median, p99) = measure(streamers, 200, session_us);
            let ratio = median as f64 / base as f64;
            println!(
                "{streamers:>5} streamers, {load}: {:>8.1} {:>8.1}  {ratio:.2} times 60",
                us(median),
                us(p99)
            );
            medians.push(median);
        }
    }
    let base = measure(15, 50, 2_000).0;
    for requests_per_s in [50, 1_000, 5_000] {
        let (median, p99) = measure(15, requests_per_s, 2_000);
        let ratio = median as f64 / base as f64;
        println!(
            "   15 streamers, {requests_per_s:>4} a second: {:>6.1} {:>8.1}  {ratio:.2} times 50 a second",
            us(median),
            us(p99)
        );
    }
}
