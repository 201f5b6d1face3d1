//! What happened in a run: what processes wrote, what stand-ins and viewers counted, what the lab did.
//! Times are Unix microseconds of one machine. Written whole, so that a kept run can be checked again.
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub enum Final {
    /// It plays.
    Served,
    /// Turned away; a repeat is harmless.
    Refused,
    /// Failed.
    Failed,
}

/// One request of a viewer.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct Asked {
    /// Its number, in hex as on the wire.
    pub id: String,
    /// Who asks: the same over all tries of one viewer.
    pub viewer: String,
    /// Whether it is paid (`replay`).
    pub paid: bool,
    /// The director it went to.
    pub director: usize,
    /// When it was sent.
    pub at: u64,
    /// The answers that came, in order; one is right.
    pub finals: Vec<(u64, Final)>,
    /// The connection ended before an answer.
    pub broke_at: Option<u64>,
}

/// One set-up that a streamer took.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct SetUp {
    /// The streamer.
    pub streamer: usize,
    /// The session.
    pub id: String,
    /// Its class.
    pub class: String,
    /// The rung it starts at.
    pub rung: Option<usize>,
    /// When it came whole.
    pub at: u64,
    /// When the attempt was over at the streamer: answered, given up or its connection gone.
    pub over: Option<u64>,
    /// The director that it came from, where its address tells.
    pub by: Option<usize>,
    /// It was answered, and stood.
    pub stands: bool,
    /// When it was over after it had stood.
    pub ended: Option<u64>,
    /// How: "natural", "released", "gone".
    pub how: String,
}

/// What a director did to a session at its streamer.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct Act {
    /// The streamer.
    pub streamer: usize,
    /// The session.
    pub id: String,
    /// The director, where its address tells.
    pub by: Option<usize>,
    /// When.
    pub at: u64,
    /// "rung" or "release".
    pub what: String,
}

/// A viewer heard that its session is over.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct Told {
    /// The session.
    pub id: String,
    /// When.
    pub at: u64,
}

/// A line of a process's log.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct LogLine {
    /// The director.
    pub director: usize,
    /// When: the line's own `at_us`, or when the lab read it.
    pub at: u64,
    /// The message.
    pub msg: String,
    /// Its other keys.
    pub keys: BTreeMap<String, serde_json::Value>,
}

impl LogLine {
    /// A key as text.
    pub fn text(&self, key: &str) -> &str {
        self.keys.get(key).and_then(|v| v.as_str()).unwrap_or_default()
    }
}

/// A span in which something held for one that is named.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct Interval {
    /// What: "dead", "stopped", "leaving", or a fault's kind.
    pub what: String,
    /// Whom.
    pub who: Vec<String>,
    /// Whom else, for links.
    pub to: Vec<String>,
    /// From `who` to `to` alone.
    pub one_way: bool,
    /// When it began.
    pub from: u64,
    /// When it was over; the end of the run where it never was.
    pub until: u64,
}

/// An order that a person gave, as on the command line.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct Ordered {
    /// What.
    pub args: Vec<String>,
    /// Through which director.
    pub director: usize,
    /// When it was given, and when it was answered.
    pub at: u64,
    /// See `at`.
    pub until: u64,
    /// Whether it succeeded.
    pub done: bool,
    /// What was printed.
    pub text: String,
    /// What had to become of it: "done", "refused" or "any".
    pub expect: String,
    /// What it had to print.
    pub says: String,
}

/// All of a run.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
#[serde(default)]
pub struct History {
    /// The scenario's title, and the seed.
    pub title: String,
    /// See `title`.
    pub seed: u64,
    /// Directors.
    pub directors: usize,
    /// Whether they knew of each other.
    pub fleet: bool,
    /// Directors that vote, and what may be out: of the fleet, of a hall.
    pub voters: usize,
    /// See `voters`.
    pub out_most: usize,
    /// See `voters`.
    pub out_of_hall_most: usize,
    /// What persons ordered.
    pub ordered: Vec<Ordered>,
    /// When the viewers began, and when they stopped.
    pub began: u64,
    /// See `began`.
    pub ended: u64,
    /// When the lab stopped looking.
    pub closed: u64,
    /// Seconds within which members have to be found, and views be equal.
    pub found_within_s: f64,
    /// See `found_within_s`.
    pub equal_within_s: f64,
    /// How long a streamer takes to warm up, microseconds; how many streams it runs at most.
    pub warm_up_us: u64,
    /// See `warm_up_us`.
    pub streams: u32,
    /// The longest that a viewer waits, microseconds.
    pub deadline_us: u64,
    /// What viewers asked.
    pub asked: Vec<Asked>,
    /// What streamers took.
    pub set_ups: Vec<SetUp>,
    /// What directors did to sessions that stood.
    pub acts: Vec<Act>,
    /// What viewers heard of the end of sessions.
    pub told: Vec<Told>,
    /// Whether sessions were to outlive their director.
    pub continuity: bool,
    /// Share of the sessions of directors that were killed that had to play on.
    pub plays_on: f64,
    /// What directors logged.
    pub log: Vec<LogLine>,
    /// What the lab did, to processes and links.
    pub faults: Vec<Interval>,
    /// By how much the lab itself was late at most, microseconds.
    pub late_us: u64,
    /// Processes that ended without the lab's doing, with what they said last.
    pub crashed: Vec<(usize, String)>,
}

impl History {
    /// Whether something held for a director within a span.
    pub fn held(&self, what: &[&str], who: &str, from: u64, until: u64) -> bool {
        self.faults.iter().any(|f| {
            what.contains(&f.what.as_str())
                && f.who.iter().any(|w| w == who)
                && f.from <= until
                && f.until >= from
        })
    }
}
