//! Guards against unintended changes of decisions: compares digests of all actions over seeded scenarios with
//! recorded ones. The digests were recorded before the [`PlacementLimits`] interface was introduced, so without limits
//! every action must be identical to the bit. They are recorded again only in a commit that changes a
//! decision on purpose and says which one (last: a director's first turn at a cold streamer is the next
//! turn, not the open one).
mod common;
use common::*;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{RngCore, SeedableRng};
use std::collections::BTreeMap;
use stonewharf::*;

const STREAMERS: u32 = 12;

/// FNV-1a hash of the Debug form of the actions, which prints floats in full precision.
fn digest(hash: u64, actions: &[Action]) -> u64 {
    let text = format!("{actions:?}");
    text.bytes().fold(hash, |h, b| (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3))
}

fn scenario_settings(seed: u64) -> Settings {
    let mut paid = class(2.0, Effect::AtMostOnce);
    paid.lowest_rung = 1;
    Settings {
        controllers: [1, 3, 100][seed as usize % 3],
        report_mode: [ReportMode::ProbeOnly, ReportMode::InAnswers, ReportMode::Silent]
            [seed as usize / 3 % 3],
        probes: seed.is_multiple_of(2),
        racks: 2,
        cells: 6,
        fleet_kb: 36_000.0,
        rack_kb: 13_000.0,
        handshake_price: if seed.is_multiple_of(5) { 0.1 } else { 0.0 },
        cross_zone_price: 0.02,
        ..settings(vec![paid, class(1.0, Effect::Idempotent)])
    }
}

fn zoned_entry(id: u32) -> Entry {
    Entry { zone: ZoneId(id % 2), ..entry(id, id % 6) }
}

/// Runs a seeded scenario of two zones with failures, restarts and shortages; returns the actions' digest.
fn scenario_digest(seed: u64, limits: Option<Box<dyn PlacementLimits>>) -> u64 {
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ 0x5eed);
    let mut random_below = |n: u64| rng.next_u64() % n;
    let controller = Controller::new(scenario_settings(seed), seed, 0).expect("settings");
    let mut controller = match limits {
        Some(limits) => controller.with_limits(limits),
        None => controller,
    };
    let (mut now, mut hash) = (0, 0xcbf2_9ce4_8422_2325);
    let mut out = Vec::new();
    let entries = (0..STREAMERS).map(zoned_entry).collect();
    controller.handle(now, Event::List { scope: ListScope::Full, entries }, &mut out);
    // Requests that are being set up or play: their streamer, and whether they play.
    let mut open: BTreeMap<RequestId, (StreamerId, bool)> = BTreeMap::new();
    let mut probes: Vec<StreamerId> = Vec::new();
    for step in 0..3_000u64 {
        now += random_below(50_000);
        let zone_unreachable = (step / 500) % 3 == 1; // one zone is unreachable for a while
        let pick = |n: u64| open.keys().nth(n as usize % open.len().max(1)).copied();
        let event = match random_below(12) {
            0..=4 => {
                let mut r = request(step + 1, random_below(2) as usize);
                (r.max_rung, r.left_us, r.cells_in_row) =
                    (random_below(4) as usize, 2 * S + random_below(S), 6);
                Event::Inbound(r)
            }
            5 => {
                let id = random_below(u64::from(STREAMERS)) as u32;
                let standing = [Standing::Up, Standing::Up, Standing::Draining][random_below(3) as usize];
                let started_at = random_below(4).is_multiple_of(4).then_some(now);
                let e = Entry { standing, started_at, ..zoned_entry(id) };
                Event::List { scope: ListScope::Delta, entries: vec![e] }
            }
            6..=9 => match pick(random_below(1 << 32)) {
                Some(id) if !open[&id].1 => {
                    let streamer = open[&id].0;
                    let unreachable = zone_unreachable && streamer.0 % 2 == 1;
                    let failure_outcomes =
                        [Outcome::Failed, Outcome::QueueFull, Outcome::TimedOut, Outcome::Reset];
                    match (unreachable, random_below(12)) {
                        (false, 0..=9) => {
                            open.insert(id, (streamer, true));
                            Event::Started { request: id, streamer, latency_us: 50_000 }
                        }
                        (unreachable, n) => {
                            open.remove(&id);
                            let outcome = if unreachable {
                                Outcome::ConnectError
                            } else {
                                failure_outcomes[n as usize % 4]
                            };
                            let report = LoadReport::default();
                            Event::Ended { request: id, attempt: 0, streamer, outcome, last: false, report }
                        }
                    }
                }
                Some(request) => {
                    let streamer = open[&request].0;
                    if random_below(3) == 0 {
                        open.remove(&request);
                        let (outcome, report) = (Outcome::Ok, LoadReport::default());
                        Event::Ended { request, attempt: 0, streamer, outcome, last: true, report }
                    } else {
                        let kind = [NoteKind::Delivered, NoteKind::LinkUse][random_below(2) as usize];
                        Event::Note { request, streamer, kind, value: random_below(150) as f64 / 100.0 }
                    }
                }
                None => Event::Timer(TimerTag(1)),
            },
            10 => match probes.pop() {
                Some(streamer) => {
                    let outcome = [Outcome::Ok, Outcome::TimedOut][random_below(2) as usize];
                    let load = Some(random_below(150) as f64 / 100.0);
                    let report = LoadReport { link: load, uplink: load, ..LoadReport::default() };
                    Event::Probed { streamer, outcome, report }
                }
                None => Event::Timer(TimerTag(1)),
            },
            _ => Event::Timer(TimerTag(1)),
        };
        out.clear();
        controller.handle(now, event, &mut out);
        hash = digest(hash, &out);
        for action in &out {
            match action {
                Action::Send { request, streamer, .. } => {
                    open.insert(*request, (*streamer, false));
                }
                Action::Probe(streamer) => probes.push(*streamer),
                _ => {}
            }
        }
    }
    hash
}

const EXPECTED_DIGESTS: [u64; 18] = [
    0x6c712e7840a5d21b,
    0x5261987c54f69247,
    0x98bdd1c6e8bbe386,
    0xa0fc5d13cc6df2ad,
    0x75e19dd14891f300,
    0x249261a67cc818ec,
    0x74cb90d2588b5bbc,
    0x1477cf5e5a4f2ebe,
    0x9e8b9daaad38de7d,
    0x83e57a5a30b383bf,
    0x1265b0e6b495b1fd,
    0xa8fcd59b952f5563,
    0x95e8da4f71108154,
    0x1b4df042e79f1951,
    0x39e7c9f261694ce9,
    0xcb19851d159e7973,
    0x2017867625919a04,
    0x149c3a086998124,
];

/// PlacementLimits that are consulted and notified, but never restrict anything.
struct NoLimits;

impl PlacementLimits for NoLimits {
    fn observe_event(&mut self, _: Micros, _: &Event, _: &mut dyn FnMut(String)) {}
    fn attempt_sent(&mut self, _: Micros, _: &Request, _: StreamerId, _: usize) {}
    fn constraints(&self, _: Micros, _: &Request, _: StreamerId) -> Constraints {
        Constraints::NONE
    }
}

#[test]
fn actions_without_limits_match_the_recorded_digests() {
    let digests: Vec<u64> =
        (0..EXPECTED_DIGESTS.len() as u64).map(|seed| scenario_digest(seed, None)).collect();
    assert_eq!(digests, EXPECTED_DIGESTS, "a decision changed");
}

#[test]
fn limits_that_never_limit_leave_every_action_unchanged() {
    let digests: Vec<u64> = (0..EXPECTED_DIGESTS.len() as u64)
        .map(|seed| scenario_digest(seed, Some(Box::new(NoLimits))))
        .collect();
    assert_eq!(digests, EXPECTED_DIGESTS, "calling the limits changed a decision");
}
