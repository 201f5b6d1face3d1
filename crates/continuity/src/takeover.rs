//! One takeover at its successor: fetch the records from the replicas, copy them to the successor's own
//! replicas, and only then report the takeover as complete. The successor acts on none of the sessions until
//! that is agreed, so if it fails midway the next successor can start from the same records.
use crate::message::Message;
use crate::ownership::Takeover;
use crate::record::{Id, Record};
use std::collections::{BTreeMap, BTreeSet};
use stonewharf_core::Micros;

/// Interval after which a request to a replica is repeated.
const RESEND_AFTER_US: Micros = 200_000;
/// How long to wait for replicas that have not answered, if another one has.
const REPLICA_TIMEOUT_US: Micros = 600_000;
/// How long to wait if none has answered; after that nothing is known of the sessions.
const NO_REPLICA_TIMEOUT_US: Micros = 2_500_000;
/// How long the successor waits for its own replicas to confirm before it goes on without them.
const ACK_TIMEOUT_US: Micros = 2_000_000;

/// Progress of a takeover.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Phase {
    /// Fetching the records from the replicas.
    Fetching,
    /// Waiting for the successor's own replicas to confirm.
    Copying,
    /// Reported as complete; waiting for that to be agreed.
    Reported,
}

/// What one replica has sent so far.
#[derive(Clone, Debug, Default)]
struct ReplicaFetch {
    kept: Option<(u64, bool)>,
    answered: bool,
    finished: bool,
    after: Option<Id>,
    asked_at: Micros,
    records: BTreeMap<Id, Record>,
}

/// What to do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// Send these messages to replicas.
    Send(Vec<(String, Message)>),
    /// Store these records as the successor's own. The flag tells whether the replica was complete; `None`:
    /// no replica had anything.
    Store(Vec<(Id, Record)>, Option<bool>),
    /// Report the takeover as complete.
    Report,
    /// Nothing to do now.
    Wait,
}

/// One takeover at its successor.
#[derive(Clone, Debug)]
pub struct TakeoverTask {
    /// The agreed takeover.
    pub takeover: Takeover,
    phase: Phase,
    since: Micros,
    from: BTreeMap<String, ReplicaFetch>,
    /// The sessions, once they are fetched.
    ids: BTreeSet<Id>,
}

impl TakeoverTask {
    /// Starts a takeover. A replica at the successor itself is queried like any other.
    pub fn new(now: Micros, takeover: Takeover) -> TakeoverTask {
        let from = takeover.replicas.iter().map(|name| (name.clone(), ReplicaFetch::default())).collect();
        TakeoverTask { takeover, phase: Phase::Fetching, since: now, from, ids: BTreeSet::new() }
    }

    /// Takes a page from a replica.
    pub fn page(&mut self, now: Micros, replica: &str, page: Page) {
        let Some(from) = self.from.get_mut(replica).filter(|f| !f.finished && f.after == page.after) else {
            return;
        };
        // Pages belong to one state of the replica: an owner that is still alive may go on changing it.
        from.answered = true;
        from.kept = page.kept;
        from.after = page.records.last().map(|(id, _)| *id).or(from.after);
        from.records.extend(page.records);
        from.finished = !page.more;
        from.asked_at = if page.more { 0 } else { now };
    }

    /// The sessions that are taken over.
    pub fn ids(&self) -> &BTreeSet<Id> {
        &self.ids
    }

    /// Determines the next step. `alive` tells which replicas can be reached, `kept` whether the successor's
    /// own replicas have all of the given sessions.
    pub fn next_step(
        &mut self,
        now: Micros,
        alive: impl Fn(&str) -> bool,
        replicated: impl Fn(&BTreeSet<Id>) -> bool,
    ) -> NextStep {
        match self.phase {
            Phase::Fetching => self.fetch(now, alive),
            Phase::Copying if replicated(&self.ids) || self.since.saturating_add(ACK_TIMEOUT_US) <= now => {
                (self.phase, self.since) = (Phase::Reported, now);
                NextStep::Report
            }
            Phase::Reported if self.since.saturating_add(ACK_TIMEOUT_US) <= now => {
                self.since = now; // the report may be lost with the leader
                NextStep::Report
            }
            Phase::Copying | Phase::Reported => NextStep::Wait,
        }
    }

    fn fetch(&mut self, now: Micros, alive: impl Fn(&str) -> bool) -> NextStep {
        let waited = now.saturating_sub(self.since);
        let available = |name: &String, f: &ReplicaFetch| alive(name) && !(f.answered && f.kept.is_none());
        let unfinished = self.from.iter().filter(|(name, f)| !f.finished && available(name, f)).count();
        let any_finished = self.from.values().any(|f| f.finished && f.kept.is_some());
        let timeout = if any_finished { REPLICA_TIMEOUT_US } else { NO_REPLICA_TIMEOUT_US };
        if unfinished == 0 || waited >= timeout {
            let finished = self.from.values().filter(|f| f.finished && f.kept.is_some());
            let best = finished.max_by_key(|f| f.kept.map(|(seq, complete)| (complete, seq)));
            let complete = best.and_then(|f| f.kept).map(|(_, complete)| complete);
            let records = best.map(|f| f.records.clone()).unwrap_or_default();
            self.ids = records.keys().copied().collect();
            (self.phase, self.since) = (Phase::Copying, now);
            self.from.clear();
            return NextStep::Store(records.into_iter().collect(), complete);
        }
        let takeover = &self.takeover;
        let mut messages = Vec::new();
        for (name, from) in &mut self.from {
            if from.finished
                || !alive(name)
                || from.asked_at.saturating_add(RESEND_AFTER_US) > now && from.asked_at > 0
            {
                continue;
            }
            from.asked_at = now;
            let (owner, incarnation) = (takeover.owner.clone(), takeover.incarnation);
            let (part, of, after) = (takeover.part, takeover.of, from.after);
            messages.push((name.clone(), Message::FetchReplica { owner, incarnation, part, of, after }));
        }
        if messages.is_empty() { NextStep::Wait } else { NextStep::Send(messages) }
    }
}

/// A page of records, without the fields that identify the replica.
#[derive(Clone, Debug)]
pub struct Page {
    /// The request that it answers.
    pub after: Option<Id>,
    /// See [`Message::ReplicaPage`].
    pub kept: Option<(u64, bool)>,
    /// The sessions.
    pub records: Vec<(Id, Record)>,
    /// Whether more pages follow.
    pub more: bool,
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::command::DirectorId;
    use crate::record::{RequestSummary, Stage};

    fn takeover(replicas: &[&str]) -> Takeover {
        Takeover {
            owner: "d".into(),
            incarnation: 5,
            part: 0,
            of: 1,
            replicas: replicas.iter().map(|k| (*k).to_owned()).collect(),
            successor: Some(DirectorId { name: "h".into(), incarnation: 1 }),
            done: false,
        }
    }

    fn page(kept: Option<(u64, bool)>, after: Option<Id>, ids: &[Id], more: bool) -> Page {
        let record = Record {
            summary: RequestSummary::default(),
            streamer: "s".into(),
            stage: Stage::InFlight,
            rung: 0,
            epoch: 0,
        };
        Page { after, kept, records: ids.iter().map(|id| (*id, record.clone())).collect(), more }
    }

    fn stored_records(next: NextStep) -> (Vec<Id>, Option<bool>) {
        let NextStep::Store(records, complete) = next else { panic!("{next:?}") };
        (records.into_iter().map(|(id, _)| id).collect(), complete)
    }

    #[test]
    fn the_later_of_two_replicas_counts_and_pages_are_fetched_in_order() {
        let mut task = TakeoverTask::new(0, takeover(&["k", "l"]));
        assert!(
            matches!(task.next_step(0, |_| true, |_| true), NextStep::Send(messages) if messages.len() == 2)
        );
        task.page(10, "k", page(Some((3, true)), None, &[1, 2], true));
        task.page(10, "l", page(Some((4, true)), None, &[1], false));
        assert!(
            matches!(task.next_step(20, |_| true, |_| true), NextStep::Send(messages) if messages.len() == 1)
        );
        // A repeated page for the first request.
        task.page(30, "k", page(Some((3, true)), None, &[9], false));
        task.page(30, "k", page(Some((3, true)), Some(2), &[3], false));
        assert_eq!(stored_records(task.next_step(40, |_| true, |_| true)), (vec![1], Some(true)));
        assert_eq!(task.next_step(50, |_| true, |_| false), NextStep::Wait);
        assert_eq!(task.next_step(60, |_| true, |_| true), NextStep::Report);
        assert_eq!(task.next_step(70, |_| true, |_| true), NextStep::Wait);
        assert_eq!(task.next_step(70 + ACK_TIMEOUT_US, |_| true, |_| true), NextStep::Report, "again");
    }

    #[test]
    fn a_silent_replica_is_skipped_and_without_any_nothing_is_known() {
        let mut task = TakeoverTask::new(0, takeover(&["k", "l"]));
        let _ = task.next_step(0, |_| true, |_| true);
        task.page(10, "l", page(Some((4, false)), None, &[1], false));
        assert!(matches!(task.next_step(RESEND_AFTER_US, |_| true, |_| true), NextStep::Send(_)));
        assert_eq!(
            stored_records(task.next_step(REPLICA_TIMEOUT_US, |_| true, |_| true)),
            (vec![1], Some(false))
        );
        let mut task = TakeoverTask::new(0, takeover(&["k", "l"]));
        assert_eq!(stored_records(task.next_step(0, |_| false, |_| true)), (vec![], None));
        let mut task = TakeoverTask::new(0, takeover(&["k"]));
        let _ = task.next_step(0, |_| true, |_| true);
        task.page(10, "k", page(None, None, &[], false));
        assert_eq!(
            stored_records(task.next_step(20, |_| true, |_| true)),
            (vec![], None),
            "it has no replica"
        );
    }
}
