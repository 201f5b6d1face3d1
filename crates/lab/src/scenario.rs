//! What a run of the lab is to be, as HCL. Text comes in; a checked scenario or one line comes out.
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use stonewharf_operator::{OperatorError, read_hcl};

/// What happens.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// Nothing passes between `from` and `to`; what is up stays up, and silent.
    Cut,
    /// Connections between `from` and `to` are reset, also new ones; datagrams are lost.
    Reset,
    /// What passes between them is lost, late, twice, out of order or slow, as said.
    Bad,
    /// SIGKILL to `who`, and a start after `back_after` where that is not negative.
    Kill,
    /// SIGTERM to `who`, and a start when it has ended and `back_after` has passed.
    Term,
    /// SIGSTOP to `who`, and SIGCONT when it is over.
    Stop,
    /// SIGHUP to `who`, after its operator file was damaged (`damaged`) or put right.
    Reload,
    /// A second process under the name of each of `who`, until it is over.
    Twin,
    /// Noise, oversized and foreign messages at the peer ports of `who`, as fast as one thread sends.
    Noise,
    /// The bulletins of `who` fall silent.
    Silent,
    /// The streamers `who` are told as leaving, to all directors.
    Drain,
    /// The streamers `who` take set-ups and answer none.
    Stall,
    /// The streamers `who` say each second that they deliver too little: directors step sessions down.
    Short,
    /// The processes of the streamers `who` are gone, and back when it is over: cold, and told as such.
    Restart,
    /// The folders of `who` take no more bytes, also of a process that starts meanwhile (`RLIMIT_FSIZE`).
    Full,
    /// A copy of the folders of `who` is put aside, for a start with `older_folder`.
    Copy,
    /// An order of a person (`args`, as on the command line) through each of `who`, all at one time.
    Order,
}

/// One fault.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// What happens.
    pub kind: Kind,
    /// When, seconds after the viewers began.
    pub at: f64,
    /// For how long, seconds.
    #[serde(default)]
    pub lasts: f64,
    /// Whom it happens to: names such as d0 or s1, or d* and s* for all.
    #[serde(default)]
    pub who: Vec<String>,
    /// Between these...
    #[serde(default)]
    pub from: Vec<String>,
    /// ...and these.
    #[serde(default)]
    pub to: Vec<String>,
    /// From `from` to `to` alone, and not back.
    #[serde(default)]
    pub one_way: bool,
    /// Share of datagrams that is lost; on connections each loss costs 200 ms. 0 to 1.
    #[serde(default)]
    pub loss: f64,
    /// What everything takes longer, milliseconds, and by how much that varies.
    #[serde(default)]
    pub delay_ms: f64,
    /// See `delay_ms`.
    #[serde(default)]
    pub jitter_ms: f64,
    /// Share of datagrams that comes twice, 0 to 1.
    #[serde(default)]
    pub twice: f64,
    /// Bytes a second that connections carry; 0: no limit.
    #[serde(default)]
    pub bytes_per_s: f64,
    /// Seconds from a process's end to its next start; negative: none.
    #[serde(default = "never")]
    pub back_after: f64,
    /// Whether its folder is emptied before that start.
    #[serde(default)]
    pub without_folder: bool,
    /// Whether the last copy of its folder that was put aside takes the folder's place before that start.
    #[serde(default)]
    pub older_folder: bool,
    /// An order, such as ["drain", "director", "d3"].
    #[serde(default)]
    pub args: Vec<String>,
    /// With which operator file those of `back` are started again: "" as they were, "new", "old".
    #[serde(default)]
    pub file: String,
    /// What an order has to print, where that matters.
    #[serde(default)]
    pub says: String,
    /// What has to become of an order: "done", "refused" or "any".
    #[serde(default = "done")]
    pub expect: String,
    /// Directors that are started again, `back_after` after they ended by an order.
    #[serde(default)]
    pub back: Vec<String>,
    /// Whether the operator file is damaged before SIGHUP.
    #[serde(default)]
    pub damaged: bool,
}

fn never() -> f64 {
    -1.0
}

fn done() -> String {
    "done".into()
}

/// A run of the lab.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Scenario {
    /// What it shows.
    pub title: String,
    /// Directors, d0 and on; dealt to two halls in turn. 1 to 32.
    pub directors: usize,
    /// Streamers, s0 and on. 1 to 32.
    pub streamers: usize,
    /// Seconds with viewers, 1 to 3,600.
    pub seconds: f64,
    /// Requests a second at each director, 0 to 200.
    pub viewers_per_s: f64,
    /// Seconds that a session lasts, 0.1 to 60.
    pub session_s: f64,
    /// Seconds that a streamer takes to warm up, 0.001 to 60, and streams that it runs, 1 to 10,000.
    pub warm_up_s: f64,
    /// See `warm_up_s`.
    pub streams: u32,
    /// Whether directors know of each other.
    pub fleet: bool,
    /// The first so many directors vote on what is agreed; 0: nothing is agreed. 0, 3, 5 or 7.
    pub voters: usize,
    /// Whether sessions outlive their director (block `continuity`); needs voters.
    pub continuity: bool,
    /// Settings of the block `continuity`, beside its defaults.
    pub estates: BTreeMap<String, f64>,
    /// Share of the sessions of directors that are killed that has to play on, 0 to 1.
    pub plays_on: f64,
    /// The plan of a release, written for orders as $PLAN: percent after each wave; none: no plan.
    pub waves: Vec<u32>,
    /// Seconds that it watches each wave.
    pub watch_s: f64,
    /// Halls that streamers are dealt to in turn, 1 or 2.
    pub streamer_halls: usize,
    /// The block `out` of all operator files: numbers by key.
    pub out: BTreeMap<String, u64>,
    /// Seeds that are told to each director; 0: three.
    pub seeds: usize,
    /// What goes wrong.
    pub faults: Vec<Fault>,
    /// So many faults more, drawn from the seed.
    pub drawn: usize,
    /// Seconds within which a lost member has to be found by all (99th percentile).
    pub found_within_s: f64,
    /// Seconds within which views have to be equal after a fault is over.
    pub equal_within_s: f64,
}

impl Default for Scenario {
    fn default() -> Self {
        Scenario {
            title: String::new(),
            directors: 3,
            streamers: 3,
            seconds: 10.0,
            viewers_per_s: 10.0,
            session_s: 1.0,
            warm_up_s: 0.001,
            streams: 400,
            fleet: true,
            voters: 0,
            continuity: false,
            estates: BTreeMap::new(),
            plays_on: 0.98,
            waves: Vec::new(),
            watch_s: 3.0,
            streamer_halls: 1,
            out: BTreeMap::new(),
            seeds: 0,
            faults: Vec::new(),
            drawn: 0,
            found_within_s: 3.0,
            equal_within_s: 3.0,
        }
    }
}

impl Scenario {
    /// Reads a scenario; each of `sets` is `key=value` and replaces what stands under the key.
    pub fn parse(file: &str, text: &str, sets: &[String]) -> Result<Scenario, OperatorError> {
        let (scenario, places): (Scenario, _) = read_hcl(file, text, |value| {
            sets.iter().try_for_each(|set| stonewharf_operator::put(value, set))
        })?;
        scenario.checked().map_err(|(key, what)| OperatorError {
            file: file.to_owned(),
            line: places.line(&key),
            what: format!("{key} {what}"),
        })?;
        Ok(scenario)
    }

    fn checked(&self) -> Result<(), (String, String)> {
        let within = |key: &str, x: f64, least: f64, most: f64| {
            let told = format!("is {x}; {least} to {most} is allowed");
            if (least..=most).contains(&x) { Ok(()) } else { Err((key.to_owned(), told)) }
        };
        within("directors", self.directors as f64, 1.0, 32.0)?;
        within("streamers", self.streamers as f64, 1.0, 32.0)?;
        within("seconds", self.seconds, 1.0, 3_600.0)?;
        within("viewers_per_s", self.viewers_per_s, 0.0, 200.0)?;
        within("session_s", self.session_s, 0.1, 60.0)?;
        within("warm_up_s", self.warm_up_s, 0.001, 60.0)?;
        within("streams", f64::from(self.streams), 1.0, 10_000.0)?;
        within("drawn", self.drawn as f64, 0.0, 100.0)?;
        within("streamer_halls", self.streamer_halls as f64, 1.0, 2.0)?;
        if ![0, 3, 5, 7].contains(&self.voters) || self.voters > self.directors {
            let told = format!("is {}; 0, 3, 5 or 7 of the directors are allowed", self.voters);
            return Err(("voters".into(), told));
        }
        within("plays_on", self.plays_on, 0.0, 1.0)?;
        if self.continuity && self.voters == 0 {
            return Err((
                "continuity".into(),
                "needs voters to agree on heirs; 3, 5 or 7 are allowed".into(),
            ));
        }
        for (i, fault) in self.faults.iter().enumerate() {
            let key = |name: &str| format!("faults[{i}].{name}");
            within(&key("at"), fault.at, 0.0, self.seconds)?;
            within(&key("lasts"), fault.lasts, 0.0, self.seconds)?;
            within(&key("loss"), fault.loss, 0.0, 1.0)?;
            within(&key("twice"), fault.twice, 0.0, 1.0)?;
            within(&key("delay_ms"), fault.delay_ms, 0.0, 10_000.0)?;
            within(&key("jitter_ms"), fault.jitter_ms, 0.0, 10_000.0)?;
            if !["done", "refused", "any"].contains(&fault.expect.as_str()) {
                let told = format!("is {:?}; done, refused or any is allowed", fault.expect);
                return Err((key("expect"), told));
            }
            if fault.kind == Kind::Order && (self.voters == 0 || fault.args.is_empty()) {
                return Err((key("args"), "wants an order, and voters to agree on it".into()));
            }
            let links = matches!(fault.kind, Kind::Cut | Kind::Reset | Kind::Bad);
            let lists: &[(&str, &Vec<String>)] =
                if links { &[("from", &fault.from), ("to", &fault.to)] } else { &[("who", &fault.who)] };
            for (name, list) in lists {
                if let Some(unknown) = list.iter().find(|n| self.named(std::slice::from_ref(n)).is_empty()) {
                    let (d, s) = (self.directors - 1, self.streamers - 1);
                    let told = format!("names {unknown:?}; d0 to d{d}, s0 to s{s}, b0 to b{d} are there");
                    return Err((key(name), told));
                }
                if self.named(list).is_empty() {
                    return Err((key(name), "names nobody; names such as d0, s1, d* are allowed".into()));
                }
            }
        }
        Ok(())
    }

    /// The names that a list stands for.
    pub fn named(&self, list: &[String]) -> Vec<String> {
        let all = |letter: &str, n: usize| (0..n).map(move |i| format!("{letter}{i}")).collect::<Vec<_>>();
        let mut names = all("d", self.directors);
        names.extend(all("s", self.streamers));
        names.extend(all("b", self.directors));
        let fits = |pattern: &String, name: &String| match pattern.strip_suffix('*') {
            Some(start) => name.starts_with(start),
            None => pattern == name,
        };
        names.retain(|name| list.iter().any(|pattern| fits(pattern, name)));
        names
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_is_wrong_is_named_with_its_line() {
        let text =
            "directors = 4\nfaults = [\n  { kind = \"cut\", at = 1, from = [\"d0\"], to = [\"d9\"] },\n]\n";
        let why = Scenario::parse("f.hcl", text, &[]).expect_err("wrong").to_string();
        assert!(why.starts_with("f.hcl:") && why.contains("faults[0].to names \"d9\"; d0 to d3"), "{why}");
        let why = Scenario::parse("f.hcl", "\ndirecters = 4\n", &[]).expect_err("wrong").to_string();
        assert!(why.starts_with("f.hcl:2: unknown setting directers; did you mean directors?"), "{why}");
        let why = Scenario::parse("f.hcl", "directors = 4\n", &["directors=99".into()]).expect_err("wrong");
        assert!(why.to_string().contains("directors is 99; 1 to 32"), "{why}");
    }
}
