//! Takeovers at their successor, from the fetch until the sessions are its own.
use super::{Action, Coordinator, LogEvent};
use crate::command::{Command, DirectorId};
use crate::ownership::Takeover;
use crate::record::{Record, Stage};
use crate::takeover::{NextStep, TakeoverTask};

impl Coordinator {
    /// Follows the agreed takeovers whose successor this director is.
    pub(super) fn update_takeovers(&mut self) {
        let me = (self.me.name.clone(), self.own.incarnation());
        let mine =
            |t: &Takeover| t.successor.as_ref().is_some_and(|h| (&h.name, h.incarnation) == (&me.0, me.1));
        let now = self.now;
        let begun: Vec<u64> = self.takeover_tasks.keys().copied().collect();
        for epoch in begun {
            match self.ownership.takeovers.get(&epoch).filter(|t| mine(t)) {
                Some(t) if t.done => self.finish_takeover(epoch),
                Some(_) => {}
                None => {
                    // The takeover is another director's now: the records fetched for it are dropped.
                    let ids =
                        self.takeover_tasks.remove(&epoch).map(|(a, _)| a.ids().clone()).unwrap_or_default();
                    ids.into_iter().for_each(|id| self.own.change(id, None));
                }
            }
        }
        let fresh: Vec<_> = (self.ownership.takeovers.iter())
            .filter(|(epoch, t)| mine(t) && !t.done && !self.takeover_tasks.contains_key(epoch))
            .map(|(epoch, t)| (*epoch, t.clone()))
            .collect();
        for (epoch, t) in fresh {
            self.actions.push(Action::Log(LogEvent::TakeoverStarted(t.owner.clone(), t.incarnation, epoch)));
            self.takeover_tasks.insert(epoch, (TakeoverTask::new(now, t), None));
        }
    }

    pub(super) fn advance_takeovers(&mut self) {
        let now = self.now;
        for epoch in self.takeover_tasks.keys().copied().collect::<Vec<_>>() {
            let Some((task, _)) = self.takeover_tasks.get_mut(&epoch) else { continue };
            let me = &self.me.name;
            let alive = |name: &str| name == *me || self.members.iter().any(|m| m.in_fleet && m.name == name);
            match task.next_step(now, alive, |ids| self.own.is_replicated(ids)) {
                NextStep::Send(messages) => {
                    messages.into_iter().for_each(|(to, message)| self.send(&to, message))
                }
                NextStep::Store(records, complete) => {
                    // Records that a successor stored under an epoch that is void since belong to nobody.
                    let void = &self.ownership.void;
                    let records: Vec<_> =
                        records.into_iter().filter(|(_, r)| !void.contains(&r.epoch)).collect();
                    if let Some((_, had)) = self.takeover_tasks.get_mut(&epoch) {
                        *had = complete;
                    }
                    for (id, record) in records {
                        self.own.change(id, Some(Record { epoch, ..record }));
                    }
                    #[cfg(feature = "planted")]
                    if self.planted_fault == Some(super::PlantedFault::ActBeforeAgreed) {
                        self.finish_takeover(epoch);
                    }
                }
                NextStep::Report => {
                    let successor =
                        DirectorId { name: self.me.name.clone(), incarnation: self.own.incarnation() };
                    self.proposed_at.remove(&format!("done {epoch}"));
                    self.propose(format!("done {epoch}"), Command::Complete { epoch, successor });
                }
                NextStep::Wait => {}
            }
        }
    }

    /// A takeover is agreed as complete: its sessions are this director's.
    pub(super) fn finish_takeover(&mut self, epoch: u64) {
        let Some((task, complete)) = self.takeover_tasks.remove(&epoch) else { return };
        let (mut standing, mut out) = (Vec::new(), Vec::new());
        let mut room = self.set.max_sessions.saturating_sub(self.sessions().saturating_sub(task.ids().len()));
        for id in task.ids() {
            let Some(record) = self.own.records().get(id).filter(|r| r.epoch == epoch).cloned() else {
                continue;
            };
            self.blocked.remove(id);
            if self.paid(&record.summary.class) {
                let key = crate::limits::key_of(&record.summary);
                self.with_registry(|registry, context, to| {
                    registry.register_session(context, *id, key, &record.streamer, to)
                });
            }
            match record.stage {
                Stage::InFlight => out.push((*id, record)),
                Stage::Established if room > 0 => {
                    room -= 1;
                    self.summaries.insert(*id, (record.summary.clone(), self.now));
                    standing.push((*id, record));
                }
                Stage::Established => {
                    let spread = self.set.release_spread_us();
                    let at = self.now + crate::record::mix_bits(*id) % spread.max(1);
                    self.scheduled_releases.push_back((at, *id, record));
                }
            }
        }
        self.scheduled_releases.make_contiguous().sort_by_key(|(at, id, _)| (*at, *id));
        let sessions = standing.len();
        let owner = task.takeover.owner;
        self.actions.push(Action::Log(LogEvent::TakeoverDone {
            owner,
            epoch,
            sessions,
            out: out.len(),
            complete,
        }));
        self.actions.push(Action::Adopt(standing));
        out.into_iter().for_each(|(id, record)| self.end_at_streamer(id, record.streamer));
    }

    pub(crate) fn paid(&self, class: &str) -> bool {
        self.classes.iter().any(|(name, paid)| *paid && name == class)
    }
}
