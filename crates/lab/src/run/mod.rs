//! One run: what is to happen when, done in time, and everything that came of it gathered and checked.
mod faults;

use crate::checks::{Checked, check};
use crate::history::{Act as Acted, History, Interval, Ordered, SetUp};
use crate::report::{ReportError, html};
use crate::scenario::{Fault, Scenario};
use crate::viewers::{DEADLINE, unix_us};
use crate::world::{World, whose};
use faults::drawn;
use std::collections::BTreeMap;
use std::fs;
use std::io;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant, SystemTime};

/// Directors have so long to find each other before the viewers begin.
const MEET: Duration = Duration::from_secs(10);
/// After the viewers have stopped, before the end.
const AFTER: Duration = Duration::from_secs(1);
/// The lab later than this can't tell who was late: it says so rather than judge.
const LATE_MOST: Duration = Duration::from_millis(400);
/// A director that could not start is started again after so long.
const TRY_AGAIN: Duration = Duration::from_millis(500);
const STEP: Duration = Duration::from_millis(5);

/// A run that could not be made.
#[derive(Debug, thiserror::Error)]
pub enum LabError {
    /// A file or folder.
    #[error("{0}: {1}")]
    File(PathBuf, io::Error),
    /// A process, socket or thread.
    #[error("the run could not be set up: {0}")]
    Start(io::Error),
    /// What a kept run holds can't be read.
    #[error("{0}: no history of a run: {1}")]
    History(PathBuf, serde_json::Error),
    /// The report.
    #[error(transparent)]
    Report(#[from] ReportError),
}

/// What came of a run.
#[derive(Debug)]
pub struct Verdict {
    /// What was checked.
    pub checked: Checked,
    /// By how much the lab was late at most.
    pub late: Duration,
}

impl Verdict {
    /// The exit code: 0 all held, 1 a check failed, 3 the machine ran late.
    pub fn code(&self) -> u8 {
        match () {
            () if self.late > LATE_MOST => 3,
            () if !self.checked.valid => 1,
            () => 0,
        }
    }
}

enum Act {
    Begin(usize),
    End(usize),
    Start(usize),
}

/// What becomes of a director's folder between two of its lives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Before {
    Kept,
    Emptied,
    Older,
}

struct Lab {
    world: World,
    faults: Vec<Fault>,
    queue: BTreeMap<(Instant, u64), Act>,
    number: u64,
    /// What is under way: the fault and its interval in the history.
    history: History,
    open: BTreeMap<usize, usize>,
    dead: BTreeMap<usize, usize>,
    /// Directors that are to start once they have ended, and how long after.
    back: BTreeMap<usize, (f64, Before)>,
    noise: Vec<(usize, Arc<AtomicBool>, JoinHandle<()>)>,
    orders: Vec<JoinHandle<Ordered>>,
    late: Duration,
}

/// Plays a scenario with the program and writes `history.json`, `result.json` and `report.html` into a
/// folder. `watch` is told the share that is done.
pub fn run(
    program: &Path,
    scenario: &Scenario,
    seed: u64,
    out: &Path,
    mut watch: impl FnMut(f64),
) -> Result<Verdict, LabError> {
    let folder = out.join("directors");
    let _ = fs::remove_dir_all(&folder); // of an earlier run
    fs::create_dir_all(&folder).map_err(|why| LabError::File(folder.clone(), why))?;
    let folder = folder.canonicalize().map_err(|why| LabError::File(folder.clone(), why))?;
    let world = World::new(program, scenario, seed, &folder).map_err(LabError::Start)?;
    let mut faults = scenario.faults.clone();
    faults.extend(drawn(scenario, seed));
    let history = History {
        title: scenario.title.clone(),
        seed,
        directors: scenario.directors,
        fleet: scenario.fleet,
        voters: scenario.voters,
        continuity: scenario.continuity,
        plays_on: scenario.plays_on,
        out_most: scenario.out.get("directors").map_or(1, |n| *n as usize),
        out_of_hall_most: scenario.out.get("directors_of_hall").map_or(1, |n| *n as usize),
        found_within_s: scenario.found_within_s,
        equal_within_s: scenario.equal_within_s,
        deadline_us: DEADLINE.as_micros() as u64,
        warm_up_us: (scenario.warm_up_s * 1e6) as u64,
        streams: scenario.streams,
        ..History::default()
    };
    let mut lab = Lab {
        world,
        faults,
        queue: BTreeMap::new(),
        number: 0,
        history,
        open: BTreeMap::new(),
        dead: BTreeMap::new(),
        back: BTreeMap::new(),
        noise: Vec::new(),
        orders: Vec::new(),
        late: Duration::ZERO,
    };
    lab.play(&mut watch).map_err(LabError::Start)?;
    let (history, late) = (lab.history, lab.late);
    drop(lab.world);
    let path = out.join("history.json");
    let text = serde_json::to_string(&history).map_err(|why| LabError::History(path.clone(), why))?;
    fs::write(&path, text).map_err(|why| LabError::File(path, why))?;
    judge(&history, late, out)
}

/// Checks a kept run again.
pub fn recheck(out: &Path) -> Result<Verdict, LabError> {
    let path = out.join("history.json");
    let text = fs::read(&path).map_err(|why| LabError::File(path.clone(), why))?;
    let history: History = serde_json::from_slice(&text).map_err(|why| LabError::History(path, why))?;
    let late = Duration::from_micros(history.late_us);
    judge(&history, late, out)
}

fn judge(history: &History, late: Duration, out: &Path) -> Result<Verdict, LabError> {
    let checked = check(history);
    let json = serde_json::to_string_pretty(&checked).unwrap_or_default() + "\n";
    for (name, text) in [("result.json", json), ("report.html", html(history, &checked)?)] {
        let path = out.join(name);
        fs::write(&path, text).map_err(|why| LabError::File(path, why))?;
    }
    Ok(Verdict { checked, late })
}

impl Lab {
    fn put(&mut self, at: Instant, act: Act) {
        self.number += 1;
        self.queue.insert((at, self.number), act);
    }

    fn play(&mut self, watch: &mut impl FnMut(f64)) -> io::Result<()> {
        let directors = self.world.scenario.directors;
        for i in 0..directors {
            self.world.start(i)?;
        }
        self.meet()?;
        let began = Instant::now();
        self.history.began = unix_us();
        let after = |s: f64| began + Duration::from_secs_f64(s);
        for f in 0..self.faults.len() {
            self.put(after(self.faults[f].at), Act::Begin(f));
        }
        let per_s = self.world.scenario.viewers_per_s;
        let crowds: Vec<_> =
            (0..directors).filter(|_| per_s > 0.0).map(|i| self.world.crowds.begin(i, per_s)).collect();
        let seconds = self.world.scenario.seconds;
        let end = after(seconds);
        let mut stepped = Instant::now();
        while Instant::now() < end {
            thread::sleep(STEP);
            let now = Instant::now();
            self.late = self.late.max(now.saturating_duration_since(stepped).saturating_sub(2 * STEP));
            self.step(now)?;
            stepped = Instant::now();
            watch(began.elapsed().as_secs_f64() / seconds);
        }
        self.history.ended = unix_us();
        self.world.crowds.stop();
        for crowd in crowds {
            let asked = crowd.join().map_err(|_| io::Error::other("a crowd of viewers broke down"))?;
            let (asked, told) = asked;
            self.history.asked.extend(asked);
            self.history.told.extend(told);
        }
        for order in std::mem::take(&mut self.orders) {
            let ordered = order.join().map_err(|_| io::Error::other("an order broke down"))?;
            self.history.ordered.push(ordered);
        }
        thread::sleep(AFTER);
        self.world.reap();
        self.close();
        Ok(())
    }

    /// Waits until each director sees all others, so that each run begins alike.
    fn meet(&mut self) -> io::Result<()> {
        if !self.world.scenario.fleet {
            return Ok(());
        }
        let (directors, until) = (self.world.scenario.directors, Instant::now() + MEET);
        loop {
            let met = {
                let log = self.world.log.lock().unwrap_or_else(|p| p.into_inner());
                let full = |i: usize| {
                    let mut views = log.iter().rev().filter(|l| l.director == i && l.msg == "fleet view");
                    views.next().is_some_and(|l| l.text("in").split(' ').count() == directors)
                };
                // Where something is agreed, each must know who leads.
                let led = |i: usize| {
                    let mut leaders =
                        log.iter().rev().filter(|l| l.director == i && l.msg == "agreed log: leader");
                    self.world.scenario.voters == 0
                        || leaders.next().is_some_and(|l| !l.text("leader").is_empty())
                };
                (0..directors).all(|i| full(i) && led(i))
            };
            if met {
                return Ok(());
            }
            if Instant::now() > until {
                return Err(io::Error::other("the directors did not find each other at the start"));
            }
            thread::sleep(STEP);
        }
    }

    fn step(&mut self, now: Instant) -> io::Result<()> {
        for i in self.world.reap() {
            let from = unix_us();
            if let Some(at) = self.world.left_at(i) {
                let leaving = self.begin_interval("leaving", vec![format!("d{i}")], vec![], false);
                (self.history.faults[leaving].from, self.history.faults[leaving].until) = (at, from);
            }
            let open = self.dead.remove(&i);
            let said = open.map(|at| self.history.faults[at].what.clone());
            if said.as_deref() != Some("dead") {
                open.iter().for_each(|at| self.history.faults[*at].until = from);
                let at = self.begin_interval("dead", vec![format!("d{i}")], vec![], false);
                self.dead.insert(i, at);
            } else if let Some(at) = open {
                self.dead.insert(i, at);
            }
            if let Some((wait, before)) = self.back.remove(&i) {
                match before {
                    Before::Kept => {}
                    Before::Emptied => self.world.empty_folder(i),
                    Before::Older => self.world.older_folder(i)?,
                }
                self.put(now + Duration::from_secs_f64(wait), Act::Start(i));
            }
        }
        while let Some(entry) = self.queue.first_entry().filter(|e| e.key().0 <= now) {
            match entry.remove() {
                Act::Begin(f) => self.begin(f, now)?,
                Act::End(f) => self.end(f)?,
                Act::Start(i) => {
                    if self.world.runs(i) {
                        continue;
                    }
                    match self.world.start(i) {
                        Ok(()) => {
                            if let Some(at) = self.dead.remove(&i) {
                                self.history.faults[at].until = unix_us();
                            }
                        }
                        // Told in its log; its supervisor tries again.
                        Err(_) if self.world.full(i) => {
                            self.put(Instant::now() + TRY_AGAIN, Act::Start(i));
                        }
                        Err(why) => return Err(why),
                    }
                }
            }
        }
        Ok(())
    }

    fn begin_interval(&mut self, what: &str, who: Vec<String>, to: Vec<String>, one_way: bool) -> usize {
        let what = what.to_owned();
        self.history.faults.push(Interval { what, who, to, one_way, from: unix_us(), until: u64::MAX });
        self.history.faults.len() - 1
    }

    /// Gathers what everyone has.
    fn close(&mut self) {
        let now = unix_us();
        self.history.closed = now;
        for interval in &mut self.history.faults {
            interval.until = interval.until.min(now);
        }
        // Streamers count by a clock that never goes back; a moment of both clocks ties them.
        let (instant, wall) = (Instant::now(), SystemTime::now());
        let unix = |at: Instant| {
            let ago = instant.saturating_duration_since(at);
            let wall = wall.duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
            wall.saturating_sub(ago).as_micros() as u64
        };
        for (k, streamer) in self.world.streamers.iter().enumerate() {
            for s in streamer.set_ups() {
                let at = unix(s.at);
                let (id, class, rung) = (s.session, s.class, s.rung);
                let (over, ended) = (s.over.map(unix), s.ended.map(|(at, _)| unix(at)));
                let how = s.ended.map(|(_, how)| format!("{how:?}").to_lowercase()).unwrap_or_default();
                let (by, stands) = (whose(s.by), s.stands);
                let set_up = SetUp { streamer: k, id, class, rung, at, over, by, stands, ended, how };
                self.history.set_ups.push(set_up);
            }
            for a in streamer.acts() {
                let (at, by, what) = (unix(a.at), whose(a.by), a.what.to_owned());
                self.history.acts.push(Acted { streamer: k, id: a.session, by, at, what });
            }
        }
        self.history.set_ups.sort_by_key(|s| s.at);
        self.history.acts.sort_by_key(|a| a.at);
        self.history.log = self.world.log.lock().unwrap_or_else(|p| p.into_inner()).clone();
        self.history.log.sort_by_key(|l| l.at);
        self.history.crashed = std::mem::take(&mut self.world.crashed);
        let (relays, ..) = self.world.relays.counts();
        self.late = self.late.max(relays);
        self.history.late_us = self.late.as_micros() as u64;
        for (_, stop, thread) in std::mem::take(&mut self.noise) {
            stop.store(true, Ordering::SeqCst);
            let _ = thread.join();
        }
    }
}
