//! The agreed state: who is known, who holds a permit, what is halted, and what was done.
use crate::command::{Command, Refusal, Reply, Standing};
use crate::release::Release;
use crate::settings::DisruptionBudgets;
use crate::streamers::Streamer;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// Directors known at most; the fleet's own bound is above what one log should carry.
const DIRECTORS_MOST: usize = 2_000;
/// Lines of the record that are kept.
const AUDIT_KEPT: usize = 128;
/// The longest text taken from outside, bytes.
const TEXT_MOST: usize = 64;

/// Leave to be out.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct Permit {
    /// Grows with each permit, never given twice.
    pub number: u64,
    /// The life that may end.
    pub incarnation: u64,
    /// When it was given, Unix milliseconds.
    pub at_ms: u64,
    /// Who asked, and why.
    pub by: String,
    /// Its holder was not back in time.
    pub overdue: bool,
}

/// A director, as agreed.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct Director {
    /// Its hall.
    pub hall: String,
    /// The latest life that is known.
    pub incarnation: u64,
    /// How it stands.
    pub standing: Standing,
    /// The program's version that it runs.
    pub version: String,
    /// Digest of its settings, hexadecimal.
    pub settings: String,
    /// Its permit, until it is proven back.
    pub permit: Option<Permit>,
    /// Why it was refused one last: one that asks again and again fills no record.
    pub refused: Option<String>,
}

impl Director {
    /// Whether it counts against the budgets.
    pub fn is_out(&self) -> bool {
        self.permit.is_some() || self.standing == Standing::Absent
    }
}

/// A line of the record.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct AuditEntry {
    /// When, Unix milliseconds.
    pub at_ms: u64,
    /// Whom it is about; empty: all.
    pub name: String,
    /// What was done or refused, and why.
    pub what: String,
}

/// The agreed state.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
pub struct Rollout {
    /// What may be out.
    pub budgets: DisruptionBudgets,
    /// All directors that were ever seen in service and not forgotten.
    pub directors: BTreeMap<String, Director>,
    /// All streamers of the list.
    pub streamers: BTreeMap<String, Streamer>,
    /// How long a streamer is cold.
    pub warm_up_ms: u64,
    /// When streamers were drained last.
    pub last_streamers_ms: u64,
    /// The release, the last one where none is under way.
    pub release: Option<Release>,
    /// Why nothing is given; none: it goes on.
    pub halted: Option<String>,
    /// The last permit's number.
    pub last: u64,
    /// When it was given.
    pub last_ms: u64,
    /// The state's time.
    pub now_ms: u64,
    /// Lines of the record so far.
    pub lines: u64,
    /// The last of them.
    pub audit: VecDeque<AuditEntry>,
}

impl Rollout {
    /// Takes a command as bytes; one that can't be read changes nothing.
    pub fn apply(&mut self, command: &[u8]) -> Reply {
        match postcard::from_bytes(command) {
            Ok(command) => self.apply_command(command),
            Err(_) => Reply::Unreadable,
        }
    }

    /// The whole state, as bytes.
    pub fn snapshot(&self) -> Vec<u8> {
        postcard::to_allocvec(self).unwrap_or_default()
    }

    /// A whole state from bytes; none where it can't be read.
    pub fn restore(state: &[u8]) -> Option<Rollout> {
        postcard::from_bytes(state).ok()
    }

    /// Takes a command.
    pub fn apply_command(&mut self, command: Command) -> Reply {
        match command {
            Command::Time { now_ms } => {
                self.time(now_ms);
                self.release_looks();
            }
            Command::Budgets(budgets) => {
                if budgets.check().is_ok() && budgets != self.budgets {
                    let told = format!(
                        "budgets: {} directors out, {} of a hall, {} ms between steps, {} ms at the longest",
                        budgets.directors, budgets.directors_of_hall, budgets.step_ms, budgets.longest_ms
                    );
                    self.budgets = budgets;
                    self.record("", told);
                }
            }
            Command::Seen { name, hall, incarnation, standing, version, settings, now_ms } => {
                self.time(now_ms);
                let before = self.directors.get(&name);
                // Faster than the fleet finds it gone: its later life is all that tells of the crash.
                let unasked = before.is_some_and(|d| {
                    let back = d.standing == Standing::Serving && standing == Standing::Serving;
                    back && d.incarnation < incarnation && d.permit.is_none()
                });
                self.seen(&name, hall, incarnation, standing);
                if unasked {
                    self.record(&name, "restarted without a permit, and is back".into());
                    self.release_restarted(&name);
                }
                if let Some(d) = self.directors.get_mut(&name).filter(|d| d.incarnation == incarnation) {
                    (d.version, d.settings) = (clipped(&version), clipped(&settings));
                }
                self.release_looks();
            }
            Command::ReleaseStart { plan, by, now_ms } => {
                self.time(now_ms);
                return self.release_start(plan, &by);
            }
            Command::ReleaseStep { name, by, now_ms } => {
                self.time(now_ms);
                return self.release_step(&name, &by);
            }
            Command::ReleasePassed { watch, now_ms } => {
                self.time(now_ms);
                self.release_passed(watch);
            }
            Command::ReleaseHalt { why, now_ms } => {
                self.time(now_ms);
                self.release_halt(why.chars().take(4 * TEXT_MOST).collect());
            }
            Command::ReleaseResume { by, now_ms } => {
                self.time(now_ms);
                return self.release_resume(&by);
            }
            Command::ReleaseBack { by, now_ms } => {
                self.time(now_ms);
                return self.release_back(&by);
            }
            Command::Ask { name, by, now_ms } => {
                self.time(now_ms);
                return self.ask(&name, &by);
            }
            Command::Streamers { seen, warm_up_ms, now_ms } => {
                self.streamers_seen(seen, warm_up_ms);
                self.time(now_ms);
            }
            Command::Drain { scope, by, now_ms } => {
                self.time(now_ms);
                return self.drain(&scope, &by);
            }
            Command::Open { scope, by, now_ms } => {
                self.time(now_ms);
                self.open(&scope, &by);
            }
            Command::Return { name, number } => self.returned(&name, number),
            Command::Forget { name, by } => {
                if self.directors.get(&name).is_some_and(|d| d.standing == Standing::Absent) {
                    self.directors.remove(&name);
                    self.record(&name, format!("forgotten, on the word of {}", clipped(&by)));
                }
                if self.streamers.get(&name).is_some_and(|s| !s.up) {
                    self.streamers.remove(&name);
                    self.record(&name, format!("streamer forgotten, on the word of {}", clipped(&by)));
                }
            }
            Command::Halt { by } => self.halt(format!("by {}", clipped(&by))),
            Command::Resume { by } => {
                if self.halted.take().is_some() {
                    self.record("", format!("resumed by {}", clipped(&by)));
                }
            }
        }
        Reply::Done
    }

    /// Names of those that are out, of a hall or of the fleet.
    pub fn directors_out(&self, hall: Option<&str>) -> Vec<String> {
        let counts = |d: &Director| d.is_out() && hall.is_none_or(|hall| d.hall == hall);
        self.directors.iter().filter(|(_, d)| counts(d)).map(|(name, _)| name.clone()).collect()
    }

    /// When something comes to pass by time alone, Unix milliseconds.
    pub fn next_deadline_ms(&self) -> Option<u64> {
        let permits = self.directors.values().filter_map(|d| d.permit.as_ref()).filter(|p| !p.overdue);
        let late = permits.map(|p| p.at_ms.saturating_add(self.budgets.longest_ms)).min();
        late.into_iter().chain(self.next_streamer_deadline_ms()).min()
    }

    fn time(&mut self, now_ms: u64) {
        self.now_ms = self.now_ms.max(now_ms);
        let (now, longest) = (self.now_ms, self.budgets.longest_ms);
        let mut late = Vec::new();
        for (name, director) in &mut self.directors {
            if let Some(permit) = &mut director.permit
                && !permit.overdue
                && permit.at_ms.saturating_add(longest) <= now
            {
                permit.overdue = true; // it still counts as out: only proof frees it
                late.push((name.clone(), permit.number));
            }
        }
        for (name, number) in late {
            self.halt(format!("permit {number} of {name} is overdue"));
        }
        self.streamers_time();
    }

    fn seen(&mut self, name: &str, hall: String, incarnation: u64, standing: Standing) {
        let known = self.directors.get(name);
        // News of a former life changes nothing, and one that was never in service counts for nothing.
        let former = known.is_some_and(|d| incarnation < d.incarnation);
        let stranger = known.is_none() && standing == Standing::Absent;
        if former || stranger || name.len() > TEXT_MOST || hall.len() > TEXT_MOST {
            return;
        }
        if known.is_none() && self.directors.len() >= DIRECTORS_MOST {
            return self.record(name, "not taken in: too many directors are known".into());
        }
        let (version, settings) = Default::default();
        let fresh = Director {
            hall: hall.clone(),
            incarnation,
            standing,
            version,
            settings,
            permit: None,
            refused: None,
        };
        let director = self.directors.entry(name.to_owned()).or_insert(fresh);
        let was = director.standing;
        director.hall = hall;
        director.incarnation = incarnation;
        director.standing = standing;
        // The proof: another life than the one that was let go serves.
        let proven = |p: &Permit| standing == Standing::Serving && p.incarnation < incarnation;
        let back = director.permit.take_if(|p| proven(p)).map(|p| p.number);
        let held = director.permit.is_some();
        match (back, was, standing) {
            (Some(number), ..) => self.record(name, format!("back in service; permit {number} is free")),
            (None, Standing::Serving, Standing::Absent) if !held => {
                self.record(name, "lost without a permit; counts as out".into());
            }
            (None, Standing::Absent, Standing::Serving) if !held => self.record(name, "in service".into()),
            _ => {}
        }
    }

    pub(crate) fn ask(&mut self, name: &str, by: &str) -> Reply {
        match self.may_leave(name) {
            Ok(Some(permit)) => Reply::Permit(permit),
            Ok(None) => {
                self.last += 1;
                self.last_ms = self.now_ms;
                let (number, at_ms) = (self.last, self.now_ms);
                let Some(director) = self.directors.get_mut(name) else {
                    return Reply::Refused(Refusal::Unknown);
                };
                let (incarnation, by, overdue) = (director.incarnation, clipped(by), false);
                let permit = Permit { number, incarnation, at_ms, by, overdue };
                director.permit = Some(permit.clone());
                director.refused = None;
                let out = self.directors_out(None).len();
                self.record(name, format!("permit {number} for {}; {out} out", permit.by));
                Reply::Permit(permit)
            }
            Err(refusal) => {
                let told = format!("no permit for {}: {refusal}", clipped(by));
                let waits = matches!(refusal, Refusal::TooSoon(_)); // tells another figure each time
                let fresh = self.directors.get_mut(name).map(|d| d.refused.replace(told.clone()));
                if !waits && fresh.is_none_or(|last| last.as_deref() != Some(&told)) {
                    self.record(name, told);
                }
                Reply::Refused(refusal)
            }
        }
    }

    /// Whether one more may be out. The permit that it has already, where it has one: asking is safe to
    /// repeat.
    fn may_leave(&self, name: &str) -> Result<Option<Permit>, Refusal> {
        let director = self.directors.get(name).ok_or(Refusal::Unknown)?;
        if let Some(permit) = &director.permit {
            return Ok(Some(permit.clone()));
        }
        if let Some(why) = &self.halted {
            return Err(Refusal::Halted(why.clone()));
        }
        if director.standing == Standing::Absent {
            return Err(Refusal::Absent);
        }
        let (out, budgets) = (self.directors_out(None), &self.budgets);
        if out.len() >= budgets.directors as usize {
            return Err(Refusal::Fleet(out, budgets.directors));
        }
        let of_hall = self.directors_out(Some(&director.hall));
        if of_hall.len() >= budgets.directors_of_hall as usize {
            return Err(Refusal::Hall(director.hall.clone(), of_hall, budgets.directors_of_hall));
        }
        let next = self.last_ms.saturating_add(budgets.step_ms);
        if self.last > 0 && next > self.now_ms {
            return Err(Refusal::TooSoon(next - self.now_ms));
        }
        Ok(None)
    }

    fn returned(&mut self, name: &str, number: u64) {
        let Some(director) = self.directors.get_mut(name) else { return };
        // Only by the life that holds it, and only while it serves: nobody else can say that it stays.
        let held = |p: &mut Permit| p.number == number && p.incarnation == director.incarnation;
        if director.standing == Standing::Serving && director.permit.take_if(held).is_some() {
            self.record(name, format!("permit {number} was given back"));
        }
    }

    pub(crate) fn halt(&mut self, why: String) {
        if self.halted.is_none() {
            self.record("", format!("halted: {why}"));
            self.halted = Some(why);
        }
    }

    pub(crate) fn record(&mut self, name: &str, what: String) {
        self.lines += 1;
        self.audit.push_back(AuditEntry { at_ms: self.now_ms, name: name.to_owned(), what });
        while self.audit.len() > AUDIT_KEPT {
            self.audit.pop_front();
        }
    }
}

pub(crate) fn clipped(text: &str) -> String {
    text.chars().take(TEXT_MOST / 4).collect()
}
