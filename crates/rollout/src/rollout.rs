//! The replicated state: known directors and streamers, their permits, the halt, and the audit log.
use crate::command::{Command, Refusal, Reply, Standing};
use crate::release::Release;
use crate::settings::DisruptionBudgets;
use crate::streamers::Streamer;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// Maximum number of known directors. The fleet's own limit is higher than one log should carry.
const MAX_DIRECTORS: usize = 2_000;
/// Number of audit entries kept.
const MAX_AUDIT_ENTRIES: usize = 128;
/// Longest text accepted from outside, in bytes.
const MAX_TEXT_BYTES: usize = 64;

/// Permission for a director to be out of service.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct Permit {
    /// Unique permit number, greater than that of every earlier permit.
    pub number: u64,
    /// The incarnation that may leave.
    pub incarnation: u64,
    /// Time at which it was granted, Unix milliseconds.
    pub at_ms: u64,
    /// Who requested it, and why.
    pub by: String,
    /// Whether the holder failed to return within the configured time.
    pub overdue: bool,
}

/// A director in the replicated state.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct Director {
    /// Hall of the director.
    pub hall: String,
    /// Latest known incarnation.
    pub incarnation: u64,
    /// Whether it is in service.
    pub standing: Standing,
    /// Version of the program that it runs.
    pub version: String,
    /// Digest of its settings, in hexadecimal.
    pub settings: String,
    /// Its permit, held until it is proven to be back in service.
    pub permit: Option<Permit>,
    /// Latest refusal of a permit. An identical refusal is not audited again, so retries do not fill the
    /// audit log.
    pub refused: Option<String>,
}

impl Director {
    /// Whether it counts as out of service against the budgets.
    pub fn is_out(&self) -> bool {
        self.permit.is_some() || self.standing == Standing::Absent
    }
}

/// An entry of the audit log.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct AuditEntry {
    /// Time of the entry, Unix milliseconds.
    pub at_ms: u64,
    /// Name of the member concerned; empty for the whole fleet.
    pub name: String,
    /// What was done or refused, and the reason.
    pub what: String,
}

/// The replicated state. Every replica applies the same [`Command`]s in log order.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
pub struct Rollout {
    /// Budgets in force.
    pub budgets: DisruptionBudgets,
    /// All directors that have been seen in service and not been forgotten since, by name.
    pub directors: BTreeMap<String, Director>,
    /// All streamers of the list, by name.
    pub streamers: BTreeMap<String, Streamer>,
    /// Duration of a streamer's warm-up, milliseconds.
    pub warm_up_ms: u64,
    /// Time of the latest drain, Unix milliseconds.
    #[serde(rename = "last_streamers_ms")]
    pub last_drain_ms: u64,
    /// The active release, or the latest one if none is active.
    pub release: Option<Release>,
    /// Why no permits are granted; `None` if there is no halt.
    pub halted: Option<String>,
    /// Number of the latest permit, of a director or of streamers.
    #[serde(rename = "last")]
    pub last_permit: u64,
    /// Time of the latest permit of a director, Unix milliseconds.
    #[serde(rename = "last_ms")]
    pub last_permit_ms: u64,
    /// Time of the state, Unix milliseconds: the latest time in any command.
    pub now_ms: u64,
    /// Number of audit entries written so far, including those no longer kept.
    #[serde(rename = "lines")]
    pub audit_total: u64,
    /// The latest audit entries.
    pub audit: VecDeque<AuditEntry>,
}

impl Rollout {
    /// Applies an encoded command; one that cannot be decoded changes nothing.
    pub fn apply(&mut self, command: &[u8]) -> Reply {
        match postcard::from_bytes(command) {
            Ok(command) => self.apply_command(command),
            Err(_) => Reply::Unreadable,
        }
    }

    /// Encodes the whole state.
    pub fn snapshot(&self) -> Vec<u8> {
        postcard::to_allocvec(self).unwrap_or_default()
    }

    /// Decodes a whole state; `None` if the bytes cannot be decoded.
    pub fn restore(state: &[u8]) -> Option<Rollout> {
        postcard::from_bytes(state).ok()
    }

    /// Applies a command and returns its result.
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
                // A crash and restart faster than the fleet's failure detection shows only as a later
                // incarnation.
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

    /// Names of the directors that are out, of one hall or (`None`) of the fleet.
    pub fn directors_out(&self, hall: Option<&str>) -> Vec<String> {
        let matches = |d: &Director| d.is_out() && hall.is_none_or(|hall| d.hall == hall);
        self.directors.iter().filter(|(_, d)| matches(d)).map(|(name, _)| name.clone()).collect()
    }

    /// The next time at which the state changes without any event, Unix milliseconds.
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
                permit.overdue = true; // still counts as out: only proof of return releases it
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
        // Reports about an earlier incarnation are ignored, and so is a director that was never in service.
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
        // Proof of return: a later incarnation than the one that held the permit is in service.
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
                let time_dependent = matches!(refusal, Refusal::TooSoon(_)); // its number differs each time
                let previous = self.directors.get_mut(name).map(|d| d.refused.replace(message.clone()));
                if !time_dependent && previous.is_none_or(|last| last.as_deref() != Some(&message)) {
                    self.record(name, message);
                }
                Reply::Refused(refusal)
            }
        }
    }

    /// Checks whether the director may leave. Returns its existing permit if it has one, so requests are
    /// idempotent.
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
        // Only the incarnation that holds the permit can return it, and only while it serves: nobody else
        // knows that it stays.
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
