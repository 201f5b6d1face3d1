//! The agreed state: who is known, who holds a permit, what is halted, and what was done.
use crate::command::{Command, Refusal, Reply, Standing};
use crate::release::Release;
use crate::settings::DisruptionBudgets;
use crate::streamers::Streamer;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// Directors known at most; the fleet's own bound is above what one log should carry.
const MAX_DIRECTORS: usize = 2_000;
/// Lines of the record that are kept.
const MAX_AUDIT_ENTRIES: usize = 128;
/// The longest text taken from outside, bytes.
const MAX_TEXT_BYTES: usize = 64;

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
    #[serde(rename = "last_streamers_ms")]
    pub last_drain_ms: u64,
    /// The release, the last one where none is under way.
    pub release: Option<Release>,
    /// Why nothing is given; none: it goes on.
    pub halted: Option<String>,
    /// The last permit's number.
    #[serde(rename = "last")]
    pub last_permit: u64,
    /// When it was given.
    #[serde(rename = "last_ms")]
    pub last_permit_ms: u64,
    /// The state's time.
    pub now_ms: u64,
    /// Lines of the record so far.
    #[serde(rename = "lines")]
    pub audit_total: u64,
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
                self.advance_time(now_ms);
                self.update_release();
            }
            Command::Budgets(budgets) => {
                if budgets.check().is_ok() && budgets != self.budgets {
                    let message = format!(
                        "budgets: {} directors out, {} of a hall, {} ms between steps, {} ms at the longest",
                        budgets.directors, budgets.directors_of_hall, budgets.step_ms, budgets.longest_ms
                    );
                    self.budgets = budgets;
                    self.record("", message);
                }
            }
            Command::Seen { name, hall, incarnation, standing, version, settings, now_ms } => {
                self.advance_time(now_ms);
                let before = self.directors.get(&name);
                // Faster than the fleet finds it gone: its later life is all that tells of the crash.
                let restarted_without_permit = before.is_some_and(|d| {
                    let back = d.standing == Standing::Serving && standing == Standing::Serving;
                    back && d.incarnation < incarnation && d.permit.is_none()
                });
                self.apply_director_seen(&name, hall, incarnation, standing);
                if restarted_without_permit {
                    self.record(&name, "restarted without a permit, and is back".into());
                    self.halt_after_unplanned_restart(&name);
                }
                if let Some(d) = self.directors.get_mut(&name).filter(|d| d.incarnation == incarnation) {
                    (d.version, d.settings) = (truncated(&version), truncated(&settings));
                }
                self.update_release();
            }
            Command::ReleaseStart { plan, by, now_ms } => {
                self.advance_time(now_ms);
                return self.start_release(plan, &by);
            }
            Command::ReleaseStep { name, by, now_ms } => {
                self.advance_time(now_ms);
                return self.step_release(&name, &by);
            }
            Command::ReleasePassed { watch, now_ms } => {
                self.advance_time(now_ms);
                self.pass_wave(watch);
            }
            Command::ReleaseHalt { why, now_ms } => {
                self.advance_time(now_ms);
                self.halt_release(why.chars().take(4 * MAX_TEXT_BYTES).collect());
            }
            Command::ReleaseResume { by, now_ms } => {
                self.advance_time(now_ms);
                return self.resume_release(&by);
            }
            Command::ReleaseBack { by, now_ms } => {
                self.advance_time(now_ms);
                return self.roll_back_release(&by);
            }
            Command::Ask { name, by, now_ms } => {
                self.advance_time(now_ms);
                return self.request_permit(&name, &by);
            }
            Command::Streamers { seen, warm_up_ms, now_ms } => {
                self.apply_listed_streamers(seen, warm_up_ms);
                self.advance_time(now_ms);
            }
            Command::Drain { scope, by, now_ms } => {
                self.advance_time(now_ms);
                return self.drain_streamers(&scope, &by);
            }
            Command::Open { scope, by, now_ms } => {
                self.advance_time(now_ms);
                self.open_streamers(&scope, &by);
            }
            Command::Return { name, number } => self.return_permit(&name, number),
            Command::Forget { name, by } => {
                if self.directors.get(&name).is_some_and(|d| d.standing == Standing::Absent) {
                    self.directors.remove(&name);
                    self.record(&name, format!("forgotten, on the word of {}", truncated(&by)));
                }
                if self.streamers.get(&name).is_some_and(|s| !s.up) {
                    self.streamers.remove(&name);
                    self.record(&name, format!("streamer forgotten, on the word of {}", truncated(&by)));
                }
            }
            Command::Halt { by } => self.halt(format!("by {}", truncated(&by))),
            Command::Resume { by } => {
                if self.halted.take().is_some() {
                    self.record("", format!("resumed by {}", truncated(&by)));
                }
            }
        }
        Reply::Done
    }

    /// Names of those that are out, of a hall or of the fleet.
    pub fn directors_out(&self, hall: Option<&str>) -> Vec<String> {
        let matches = |d: &Director| d.is_out() && hall.is_none_or(|hall| d.hall == hall);
        self.directors.iter().filter(|(_, d)| matches(d)).map(|(name, _)| name.clone()).collect()
    }

    /// When something comes to pass by time alone, Unix milliseconds.
    pub fn next_deadline_ms(&self) -> Option<u64> {
        let permits = self.directors.values().filter_map(|d| d.permit.as_ref()).filter(|p| !p.overdue);
        let earliest_overdue = permits.map(|p| p.at_ms.saturating_add(self.budgets.longest_ms)).min();
        earliest_overdue.into_iter().chain(self.next_streamer_deadline_ms()).min()
    }

    fn advance_time(&mut self, now_ms: u64) {
        self.now_ms = self.now_ms.max(now_ms);
        let (now, max_out_ms) = (self.now_ms, self.budgets.longest_ms);
        let mut newly_overdue = Vec::new();
        for (name, director) in &mut self.directors {
            if let Some(permit) = &mut director.permit
                && !permit.overdue
                && permit.at_ms.saturating_add(max_out_ms) <= now
            {
                permit.overdue = true; // it still counts as out: only proof frees it
                newly_overdue.push((name.clone(), permit.number));
            }
        }
        for (name, number) in newly_overdue {
            self.halt(format!("permit {number} of {name} is overdue"));
        }
        self.advance_streamer_time();
    }

    fn apply_director_seen(&mut self, name: &str, hall: String, incarnation: u64, standing: Standing) {
        let known = self.directors.get(name);
        // News of a former life changes nothing, and one that was never in service counts for nothing.
        let stale = known.is_some_and(|d| incarnation < d.incarnation);
        let unknown_absent = known.is_none() && standing == Standing::Absent;
        if stale || unknown_absent || name.len() > MAX_TEXT_BYTES || hall.len() > MAX_TEXT_BYTES {
            return;
        }
        if known.is_none() && self.directors.len() >= MAX_DIRECTORS {
            return self.record(name, "not taken in: too many directors are known".into());
        }
        let (version, settings) = Default::default();
        let new_director = Director {
            hall: hall.clone(),
            incarnation,
            standing,
            version,
            settings,
            permit: None,
            refused: None,
        };
        let director = self.directors.entry(name.to_owned()).or_insert(new_director);
        let previous_standing = director.standing;
        director.hall = hall;
        director.incarnation = incarnation;
        director.standing = standing;
        // The proof: another life than the one that was let go serves.
        let proves_return = |p: &Permit| standing == Standing::Serving && p.incarnation < incarnation;
        let released = director.permit.take_if(|p| proves_return(p)).map(|p| p.number);
        let held = director.permit.is_some();
        match (released, previous_standing, standing) {
            (Some(number), ..) => self.record(name, format!("back in service; permit {number} is free")),
            (None, Standing::Serving, Standing::Absent) if !held => {
                self.record(name, "lost without a permit; counts as out".into());
            }
            (None, Standing::Absent, Standing::Serving) if !held => self.record(name, "in service".into()),
            _ => {}
        }
    }

    pub(crate) fn request_permit(&mut self, name: &str, by: &str) -> Reply {
        match self.check_permit(name) {
            Ok(Some(permit)) => Reply::Permit(permit),
            Ok(None) => {
                self.last_permit += 1;
                self.last_permit_ms = self.now_ms;
                let (number, at_ms) = (self.last_permit, self.now_ms);
                let Some(director) = self.directors.get_mut(name) else {
                    return Reply::Refused(Refusal::Unknown);
                };
                let (incarnation, by, overdue) = (director.incarnation, truncated(by), false);
                let permit = Permit { number, incarnation, at_ms, by, overdue };
                director.permit = Some(permit.clone());
                director.refused = None;
                let out = self.directors_out(None).len();
                self.record(name, format!("permit {number} for {}; {out} out", permit.by));
                Reply::Permit(permit)
            }
            Err(refusal) => {
                let message = format!("no permit for {}: {refusal}", truncated(by));
                let time_dependent = matches!(refusal, Refusal::TooSoon(_)); // tells another figure each time
                let previous = self.directors.get_mut(name).map(|d| d.refused.replace(message.clone()));
                if !time_dependent && previous.is_none_or(|last| last.as_deref() != Some(&message)) {
                    self.record(name, message);
                }
                Reply::Refused(refusal)
            }
        }
    }

    /// Whether one more may be out. The permit that it has already, where it has one: asking is safe to
    /// repeat.
    fn check_permit(&self, name: &str) -> Result<Option<Permit>, Refusal> {
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
        let next_allowed_ms = self.last_permit_ms.saturating_add(budgets.step_ms);
        if self.last_permit > 0 && next_allowed_ms > self.now_ms {
            return Err(Refusal::TooSoon(next_allowed_ms - self.now_ms));
        }
        Ok(None)
    }

    fn return_permit(&mut self, name: &str, number: u64) {
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
        self.audit_total += 1;
        self.audit.push_back(AuditEntry { at_ms: self.now_ms, name: name.to_owned(), what });
        while self.audit.len() > MAX_AUDIT_ENTRIES {
            self.audit.pop_front();
        }
    }
}

pub(crate) fn truncated(text: &str) -> String {
    text.chars().take(MAX_TEXT_BYTES / 4).collect()
}
