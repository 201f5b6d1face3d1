//! Time per request in the decision module, by the number of streamers, the load and the request rate, as
//! ratios within one run: machines are noisy. `cargo bench --bench cost`.
#[path = "../tests/common/mod.rs"]
mod common;
use common::*;
use hdrhistogram::Histogram;
use std::collections::VecDeque;
use std::time::Instant;
use stonewharf::*;

const REQUESTS: u64 = 4_000;

/// Median and 99th percentile of a request with its set-up, nanoseconds, at a rate a second and for sessions
/// that last for `life` microseconds.
fn measure(streamers: u32, per_s: u64, life: u64) -> (u64, u64) {
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
    let mut sweep = now;
    for id in 0..REQUESTS {
        now += S / per_s;
        while playing.front().is_some_and(|p| p.0 <= now) {
            let Some((_, request, streamer)) = playing.pop_front() else { break };
            let (outcome, report) = (Outcome::Ok, LoadReport::default());
            let over = Event::Ended { request, attempt: 0, streamer, outcome, last: true, report };
            controller.handle(now, over, &mut out);
        }
        if now >= sweep {
            sweep = now + S / 4;
            controller.handle(now, Event::Timer(TimerTag(1)), &mut out);
        }
        out.clear();
        let mut wanted = request(id + 1, (id % 2) as usize);
        wanted.cells_in_row = racks;
        let began = Instant::now();
        controller.handle(now, Event::Inbound(wanted), &mut out);
        let at = sent_to(&out);
        if let Some(streamer) = at {
            let started = Event::Started { request: RequestId(id + 1), streamer, latency_us: 1_000 };
            controller.handle(now, started, &mut out);
        }
        let took = began.elapsed().as_nanos() as u64;
        if id >= REQUESTS / 4 {
            times.record(took).expect("in range");
        }
        playing.extend(at.map(|streamer| (now + life, RequestId(id + 1), streamer)));
    }
    (times.value_at_quantile(0.5), times.value_at_quantile(0.99))
}

fn main() {
    let us = |ns: u64| ns as f64 / 1_000.0;
    println!("time per request in the module, microseconds (median, 99th percentile)");
    let mut medians = Vec::new();
    for (load, life) in [("idle", 2_000), ("full", 60 * S)] {
        let base = measure(60, 200, life).0;
        for streamers in [15, 60, 600] {
            let (median, p99) = measure(streamers, 200, life);
            let ratio = median as f64 / base as f64;
            println!(
                "{streamers:>5} streamers, {load}: {:>8.1} {:>8.1}  {ratio:.2} times 60",
                us(median),
                us(p99)
            );
            medians.push(median);
        }
    }
    let slow = measure(15, 50, 2_000).0;
    for per_s in [50, 1_000, 5_000] {
        let (median, p99) = measure(15, per_s, 2_000);
        let ratio = median as f64 / slow as f64;
        println!(
            "   15 streamers, {per_s:>4} a second: {:>6.1} {:>8.1}  {ratio:.2} times 50 a second",
            us(median),
            us(p99)
        );
    }
}
