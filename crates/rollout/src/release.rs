//! The release in the replicated state: which directors are changed in which wave, what halts the release,
//! and how it is rolled back. Any new leader continues it; a halted release stays halted until an operator
//! resumes it or rolls it back. Processes are restarted from outside: a supervisor requests a permit for each
//! director's restart.
use crate::command::{Refusal, Reply, Standing};
use crate::rollout::{Director, Rollout, truncated};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Number of directors lost independently of the release from which on the membership view is in doubt.
const MIN_LOST_FOR_DOUBT: usize = 2;

/// What a release changes, and in which steps.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
pub struct ReleasePlan {
    /// Name of the release, for the audit log. 1 to 16 characters.
    pub name: String,
    /// Version of the program after the release; empty if it does not change.
    pub version: String,
    /// Digest of the operator file's settings after the release, in hexadecimal; empty if they do not change.
    pub settings: String,
    /// Percentage of all directors that is changed after each wave, rising to 100. Each wave changes at least
    /// one.
    pub waves: Vec<u32>,
    /// Minimum time for which each wave is watched, milliseconds.
    pub watch_ms: u64,
}

/// State of a release.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub enum Phase {
    /// Directors are changed wave by wave.
    Forward,
    /// Nothing moves until an operator resumes it or rolls it back; the reason.
    Halted(String),
    /// Changed directors are rolled back, newest wave first.
    Back,
    /// All directors are changed.
    Done,
    /// All changed directors are rolled back.
    Returned,
}

/// A director that has been changed or is being changed.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct ChangedDirector {
    /// Its wave, counted from 0.
    pub wave: usize,
    /// Version and settings digest that it ran before.
    pub former: (String, String),
}

/// A release and its progress.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct Release {
    /// Plan of the release.
    pub plan: ReleasePlan,
    /// Current state.
    pub phase: Phase,
    /// The wave that is being changed or watched, counted from 0.
    pub wave: usize,
    /// All directors in the order of change, alternating between halls.
    pub order: Vec<String>,
    /// Directors that have been changed or are being changed, by name.
    pub changed: BTreeMap<String, ChangedDirector>,
    /// Time since which all directors of this wave are changed and in service, Unix milliseconds.
    pub watched_since: Option<u64>,
    /// Number of watches begun, including repeated ones. A verdict carries the number of the watch that it
    /// judged.
    pub watches: u64,
}

/// Why a plan is invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PlanError {
    /// The name is empty or too long.
    #[error("name: 1 to 16 characters are allowed")]
    Name,
    /// The plan changes neither version nor settings.
    #[error("nothing changes: give a version or settings")]
    Nothing,
    /// The percentages of the waves do not rise to 100, or there are too many.
    #[error("waves: up to 20 rising percentages are allowed, the last 100")]
    Waves,
    /// The time for watching a wave is out of range.
    #[error("watch: 1 to 3600 s are allowed")]
    Watch,
}

impl PlanError {
    /// The invalid key of the plan; `None` if the error concerns the plan as a whole.
    pub fn key(self) -> Option<&'static str> {
        match self {
            PlanError::Name => Some("name"),
            PlanError::Nothing => None,
            PlanError::Waves => Some("waves"),
            PlanError::Watch => Some("watch_s"),
        }
    }
}

impl ReleasePlan {
    /// Validates the plan.
    pub fn check(&self) -> Result<(), PlanError> {
        if self.name.is_empty() || self.name.chars().count() > 16 {
            return Err(PlanError::Name);
        }
        if self.version.is_empty() && self.settings.is_empty() {
            return Err(PlanError::Nothing);
        }
        let rising = self.waves.windows(2).all(|w| w[0] < w[1]);
        if !rising || self.waves.last() != Some(&100) || self.waves.len() > 20 {
            return Err(PlanError::Waves);
        }
        if !(1_000..=3_600_000).contains(&self.watch_ms) {
            return Err(PlanError::Watch);
        }
        Ok(())
    }

    /// Whether a director runs the version and settings of this plan.
    pub fn is_applied_to(&self, director: &Director) -> bool {
        (self.version.is_empty() || self.version == director.version)
            && (self.settings.is_empty() || self.settings == director.settings)
    }
}

impl Release {
    /// Number of directors, from the start of the order, that are changed after a wave.
    fn directors_through(&self, wave: usize) -> usize {
        let percent = self.plan.waves.get(wave).copied().unwrap_or(100) as usize;
        let share = (self.order.len() * percent).div_ceil(100);
        share.max(wave + 1).min(self.order.len())
    }

    /// The wave that changes a director; `None` if it is not part of the release.
    pub fn wave_of(&self, name: &str) -> Option<usize> {
        let position = self.order.iter().position(|n| n == name)?;
        (0..self.plan.waves.len()).find(|wave| position < self.directors_through(*wave))
    }

    /// Whether the release is under way, including halted and rolling back.
    pub fn is_active(&self) -> bool {
        matches!(self.phase, Phase::Forward | Phase::Halted(_) | Phase::Back)
    }

    /// Whether the changed directors are being watched now.
    pub fn is_watched(&self) -> bool {
        self.phase == Phase::Forward && self.watched_since.is_some()
    }
}

impl Rollout {
    pub(crate) fn start_release(&mut self, plan: ReleasePlan, by: &str) -> Reply {
        if self.release.as_ref().is_some_and(Release::is_active) {
            return Reply::Refused(Refusal::Release("another release is under way".into()));
        }
        if let Err(why) = plan.check() {
            return Reply::Refused(Refusal::Release(why.to_string()));
        }
        // Alternates between halls, so that a wave is spread over them and each hall has unchanged directors
        // to compare with.
        let mut by_hall: BTreeMap<&str, Vec<&String>> = BTreeMap::new();
        let serving = self.directors.iter().filter(|(_, d)| d.standing == Standing::Serving);
        serving.for_each(|(name, d)| by_hall.entry(&d.hall).or_default().push(name));
        let longest = by_hall.values().map(Vec::len).max().unwrap_or(0);
        let nth = |n: usize| by_hall.values().filter_map(move |names| names.get(n)).map(|n| (*n).clone());
        let order: Vec<String> = (0..longest).flat_map(nth).collect();
        if order.iter().all(|name| self.directors.get(name).is_some_and(|d| plan.is_applied_to(d))) {
            return Reply::Refused(Refusal::Release("all directors run that already".into()));
        }
        self.record(
            "",
            format!("release {} of {} directors begins, by {}", plan.name, order.len(), truncated(by)),
        );
        self.release = Some(Release {
            plan,
            phase: Phase::Forward,
            wave: 0,
            order,
            changed: BTreeMap::new(),
            watched_since: None,
            watches: 0,
        });
        self.update_release();
        Reply::Done
    }

    /// Handles a supervisor's request to restart a director for the active release.
    pub(crate) fn step_release(&mut self, name: &str, by: &str) -> Reply {
        let refused = |why: String| Reply::Refused(Refusal::Release(why));
        let Some(release) = self.release.clone().filter(Release::is_active) else {
            return refused("no release is under way".into());
        };
        let Some(director) = self.directors.get(name).cloned() else {
            return Reply::Refused(Refusal::Unknown);
        };
        if let Some(permit) = &director.permit {
            return Reply::Permit(permit.clone());
        }
        let by = format!("{} {}", release.plan.name, truncated(by));
        match release.phase {
            Phase::Halted(why) => Reply::Refused(Refusal::Halted(why)),
            Phase::Forward => {
                if release.plan.is_applied_to(&director) {
                    return Reply::Done;
                }
                let Some(wave) = release.wave_of(name) else {
                    return refused(format!("{name} joined after the release began and is not part of it"));
                };
                if wave != release.wave {
                    return refused(format!("wave {} has not started yet", wave + 1));
                }
                let reply = self.request_permit(name, &by);
                if let (Reply::Permit(_), Some(release)) = (&reply, &mut self.release) {
                    let former = (director.version, director.settings);
                    release.changed.entry(name.to_owned()).or_insert(ChangedDirector { wave, former });
                }
                reply
            }
            Phase::Back => {
                let Some(changed) = release.changed.get(name) else { return Reply::Done };
                let newest = release.changed.values().map(|c| c.wave).max();
                if newest != Some(changed.wave) {
                    return refused(format!("wave {} has to be rolled back first", newest.unwrap_or(0) + 1));
                }
                self.request_permit(name, &by)
            }
            Phase::Done | Phase::Returned => refused("no release is under way".into()),
        }
    }

    /// Ends a watch that passed: moves on to the next wave, or completes the release.
    pub(crate) fn pass_wave(&mut self, watch: u64) {
        let Some(release) = &mut self.release else { return };
        if !release.is_watched() || release.watches != watch {
            return; // the verdict is about an earlier watch
        }
        let (wave, last) = (release.wave, release.wave + 1 >= release.plan.waves.len());
        release.watched_since = None;
        if last {
            release.phase = Phase::Done;
        } else {
            release.wave += 1;
        }
        let name = release.plan.name.clone();
        let suffix = if last { "; it is done" } else { "" };
        self.record("", format!("release {name}: wave {} passed{suffix}", wave + 1));
        self.update_release();
    }

    /// Halts a release that moves forward; a rollback is not stopped.
    pub(crate) fn halt_release(&mut self, why: String) {
        let Some(release) = self.release.as_mut().filter(|r| r.phase == Phase::Forward) else { return };
        release.phase = Phase::Halted(why.clone());
        release.watched_since = None;
        let name = release.plan.name.clone();
        self.record("", format!("release {name} halted: {why}"));
    }

    pub(crate) fn resume_release(&mut self, by: &str) -> Reply {
        let Some(release) = self.release.as_mut().filter(|r| matches!(r.phase, Phase::Halted(_))) else {
            return Reply::Refused(Refusal::Release("no release is halted".into()));
        };
        release.phase = Phase::Forward;
        let name = release.plan.name.clone();
        self.record("", format!("release {name} resumed by {}", truncated(by)));
        self.update_release();
        Reply::Done
    }

    pub(crate) fn roll_back_release(&mut self, by: &str) -> Reply {
        let Some(release) = self.release.as_mut().filter(|r| r.is_active() || r.phase == Phase::Done) else {
            return Reply::Refused(Refusal::Release("there is no release to take back".into()));
        };
        release.phase = Phase::Back;
        release.watched_since = None;
        let name = release.plan.name.clone();
        self.record("", format!("release {name} goes back, by {}", truncated(by)));
        self.update_release();
        Reply::Done
    }

    /// Updates the release by the state of the directors: starts or ends the watch of a wave, halts on a
    /// fault, and during a rollback removes the directors that are restored.
    pub(crate) fn update_release(&mut self) {
        let Some(release) = self.release.clone() else { return };
        let serving = |name: &str| {
            let director = self.directors.get(name)?;
            (director.standing == Standing::Serving && director.permit.is_none()).then_some(director)
        };
        match release.phase {
            Phase::Forward => {
                if let Some(why) = self.release_fault(&release) {
                    return self.halt_release(why);
                }
                let members = release.order.iter().take(release.directors_through(release.wave));
                let ready =
                    members.clone().all(|name| serving(name).is_some_and(|d| release.plan.is_applied_to(d)));
                if let Some(release) = self.release.as_mut().filter(|r| ready != r.watched_since.is_some()) {
                    release.watched_since = ready.then_some(self.now_ms);
                    release.watches += u64::from(ready);
                }
            }
            Phase::Back => {
                let is_restored = |(name, c): &(&String, &ChangedDirector)| {
                    serving(name).is_some_and(|d| (&d.version, &d.settings) == (&c.former.0, &c.former.1))
                };
                let restored: Vec<String> =
                    release.changed.iter().filter(is_restored).map(|(n, _)| n.clone()).collect();
                let Some(release) = &mut self.release else { return };
                restored.iter().for_each(|name| drop(release.changed.remove(name)));
                if release.changed.is_empty() {
                    release.phase = Phase::Returned;
                    let name = release.plan.name.clone();
                    self.record("", format!("release {name}: all that was changed is back"));
                }
            }
            _ => {}
        }
    }

    /// Halts the release if a director that it changed has restarted without a permit.
    pub(crate) fn halt_after_unplanned_restart(&mut self, name: &str) {
        if self.release.as_ref().is_some_and(|r| r.changed.contains_key(name)) {
            self.halt_release(format!("{name}, changed in it, was lost and is back"));
        }
    }

    fn release_fault(&self, release: &Release) -> Option<String> {
        let lost = |name: &&String| {
            self.directors.get(*name).is_some_and(|d| d.standing == Standing::Absent && d.permit.is_none())
        };
        if let Some(name) = release.changed.keys().find(lost) {
            return Some(format!("{name}, changed in it, was lost"));
        }
        let lost_directors = self.directors.keys().filter(lost).count();
        if lost_directors >= MIN_LOST_FOR_DOUBT {
            return Some(format!("{lost_directors} directors are lost: who is there is in doubt"));
        }
        if let Some(why) = &self.halted {
            return Some(why.clone());
        }
        let not_updated = |(name, _): &(&String, &ChangedDirector)| {
            self.directors.get(*name).is_some_and(|d| {
                d.standing == Standing::Serving && d.permit.is_none() && !release.plan.is_applied_to(d)
            })
        };
        let (name, _) = release.changed.iter().find(not_updated)?;
        Some(format!("{name} came back without what the release brings"))
    }
}
