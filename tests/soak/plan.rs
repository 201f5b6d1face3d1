//! What a run draws from its seed: the deployment, how many processes there are, and the faults with their times.
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{RngCore, SeedableRng};
use std::time::Duration;

/// Dice of one part of a run, independent of all others.
pub struct Dice(ChaCha8Rng);

impl Dice {
    pub fn new(seed: u64, part: u64) -> Dice {
        let mut dice = ChaCha8Rng::seed_from_u64(seed);
        dice.set_stream(part);
        Dice(dice)
    }

    /// A whole number from `least` to `most`.
    pub fn from(&mut self, least: u64, most: u64) -> u64 {
        least + self.0.next_u64() % (most - least + 1)
    }

    /// True once in so many throws.
    pub fn one_in(&mut self, throws: u64) -> bool {
        self.from(1, throws) == 1
    }

    pub fn millis(&mut self, least: u64, most: u64) -> Duration {
        Duration::from_millis(self.from(least, most))
    }
}

/// A deployment as its settings name things: the two of the operators' pages and our own two.
pub struct Deployment {
    pub name: &'static str,
    pub zones: &'static [&'static str],
    /// Class names, each with what a repeat of it may do.
    pub classes: &'static [(&'static str, &'static str)],
    pub streams: u32,
    pub idle_s: u32,
    pub max_attempts: u32,
}

pub const DEPLOYMENTS: [Deployment; 4] = [
    Deployment {
        name: "armor-media",
        zones: &["hall-a", "hall-b"],
        classes: &[("replay", "at_most_once"), ("seat-view", "idempotent")],
        streams: 32,
        idle_s: 15,
        max_attempts: 4,
    },
    Deployment {
        name: "shared-scoreboard",
        zones: &["north-hall", "east-hall", "south-hall"],
        classes: &[
            ("highlight", "idempotent"),
            ("radio-replay", "idempotent"),
            ("paid-replay", "at_most_once"),
        ],
        streams: 32,
        idle_s: 15,
        max_attempts: 5,
    },
    Deployment {
        name: "lantern-arts",
        zones: &["north", "south", "lake", "hill"],
        classes: &[
            ("opera", "at_most_once"),
            ("jazz", "idempotent"),
            ("recital", "idempotent"),
            ("talks", "idempotent"),
            ("archive", "idempotent"),
            ("patron", "at_most_once"),
        ],
        streams: 8,
        idle_s: 12,
        max_attempts: 4,
    },
    Deployment {
        name: "parkway-live",
        zones: &["quay", "ridge", "mill"],
        classes: &[("derby", "at_most_once"), ("camera-two", "idempotent"), ("member-cut", "at_most_once")],
        streams: 24,
        idle_s: 12,
        max_attempts: 3,
    },
];

/// A fault, and when it begins.
#[derive(Clone, Copy, Debug)]
pub enum Fault {
    /// A director is told to end, with other signals round it, and killed at the earliest moment.
    Shutdown { director: usize, twice: bool, reload: Option<Duration> },
    /// A director gets a new configuration, a few times in quick succession.
    Reloads { director: usize, times: u64 },
    /// A streamer neither reads nor writes for a while.
    Hang { streamer: usize, lasts: Duration },
    /// A streamer's process dies and another one takes its address.
    Replace { streamer: usize, away: Duration },
    /// A streamer drains.
    Drain { streamer: usize },
    /// Discovery says nothing, or is down, for a while.
    Discovery { down: bool, lasts: Duration },
    /// Many clients come at once.
    Crowd { clients: u64 },
}

/// One run.
pub struct Plan {
    pub deployment: &'static Deployment,
    pub directors: usize,
    pub streamers: usize,
    /// The longest deadline of the settings.
    pub deadline: Duration,
    pub lasts: Duration,
    pub faults: Vec<(Duration, Fault)>,
}

/// How long a run takes new requests.
const LASTS: Duration = Duration::from_secs(6);

impl Plan {
    pub fn draw(seed: u64) -> Plan {
        let mut dice = Dice::new(seed, 0);
        let deployment = &DEPLOYMENTS[(seed % 4) as usize];
        let directors = dice.from(3, 12) as usize;
        let streamers = dice.from(3, 6) as usize;
        let deadline = Duration::from_millis([200, 400, 900, 1_500, 3_000, 30_000][dice.from(0, 5) as usize]);
        let mut faults = Vec::new();
        // Shutdowns one after another.
        let mut at = dice.millis(300, 900);
        while at < LASTS - Duration::from_millis(800) {
            let director = dice.from(0, directors as u64 - 1) as usize;
            let reload = dice.one_in(3).then(|| dice.millis(0, 700));
            faults.push((at, Fault::Shutdown { director, twice: dice.one_in(3), reload }));
            at += dice.millis(200, 1_200);
        }
        for _ in 0..dice.from(4, 8) {
            let streamer = dice.from(0, streamers as u64 - 1) as usize;
            let director = dice.from(0, directors as u64 - 1) as usize;
            let at = dice.millis(200, 5_000);
            let fault = match dice.from(0, 6) {
                0 | 1 => Fault::Hang { streamer, lasts: dice.millis(200, 4_000) },
                2 | 3 => Fault::Replace { streamer, away: dice.millis(0, 400) },
                4 => Fault::Drain { streamer },
                5 => Fault::Discovery { down: dice.one_in(2), lasts: dice.millis(500, 4_000) },
                _ => Fault::Reloads { director, times: dice.from(1, 5) },
            };
            faults.push((at, fault));
        }
        if dice.one_in(3) {
            faults.push((dice.millis(500, 4_000), Fault::Crowd { clients: dice.from(60, 160) }));
        }
        faults.sort_by_key(|fault| fault.0);
        Plan { deployment, directors, streamers, deadline, lasts: LASTS, faults }
    }

    /// The settings of a director.
    pub fn settings(&self, me: usize) -> String {
        let quoted = |names: Vec<&str>| format!("[\"{}\"]", names.join("\",\""));
        let classes = self.deployment.classes;
        let each = |value: &str| vec![value; classes.len()].join(",");
        let deadline_us = self.deadline.as_micros();
        let lane = |(i, (name, effect)): (usize, &(&str, &str))| {
            format!(
                r#"{{"name":"{name}","importance":{}.0,"target_us":{deadline_us},"deadline_us":{deadline_us},
                "effect":"{effect}"}}"#,
                i + 1
            )
        };
        let lanes: Vec<String> = classes.iter().enumerate().map(lane).collect();
        format!(
            r#"{{"accounts":[],"me":{me},"peers_total":{},"membership_mode":"pushed","my_zone":"{}","dcs":{},
            "kinds":["plain"],"over_share_worth":0.1,"deductions":{{}},"report":{{"how":"none","names":["x0"]}},
            "bounds":{{"dial_timeout_us":250000,"keepalive_us":{},"max_attempts":{},"max_retry_after_us":1000000,
            "multiplex":{},"probes":false,"retry_after":true}},
            "family_info":{{"cells":1,"racks":1,"class_scale":[{}],"fleet_kb":1e9,"rack_kb":1e9,"weight_kb":1e8,
            "full_from":1.2,"highest_rung":[{}],"lowest_rung":[{}],"kind_streams":[9000],
            "ladder_kb":[100.0,200.0],"ladder_worth":[0.5,1.0],"switch_s":0.5}},
            "lanes":[{}],"rules":{{"cold_from":0.9,"ramp_time_us":1000,"fall_multiple":3.0}}}}"#,
            self.directors,
            self.deployment.zones[me % self.deployment.zones.len()],
            quoted(self.deployment.zones.to_vec()),
            self.deployment.idle_s * 1_000_000,
            self.deployment.max_attempts,
            self.deployment.streams,
            each("1.0"),
            each("1"),
            each("0"),
            lanes.join(",")
        )
    }
}
