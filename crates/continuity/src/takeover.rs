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
enum Step {
    /// Fetching the records from the replicas.
    Fetching,
    /// Waiting for the successor's own replicas to confirm.
    Keeping,
    /// Reported as complete; waiting for that to be agreed.
    Reported,
}

/// What one replica has sent so far.
#[derive(Clone, Debug, Default)]
struct From {
    kept: Option<(u64, bool)>,
    answered: bool,
    over: bool,
    behind: Option<Id>,
    asked_at: Micros,
    records: BTreeMap<Id, Record>,
}

/// What to do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Next {
    /// Send these messages to replicas.
    Ask(Vec<(String, Message)>),
    /// Store these records as the successor's own. The flag tells whether the replica was complete; `None`:
    /// no replica had anything.
    Keep(Vec<(Id, Record)>, Option<bool>),
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
    step: Step,
    since: Micros,
    from: BTreeMap<String, From>,
    /// The sessions, once they are fetched.
    ids: BTreeSet<Id>,
}

impl TakeoverTask {
    /// Starts a takeover. A replica at the successor itself is queried like any other.
    pub fn new(now: Micros, takeover: Takeover) -> TakeoverTask {
        let from = takeover.replicas.iter().map(|name| (name.clone(), From::default())).collect();
        TakeoverTask { takeover, step: Step::Fetching, since: now, from, ids: BTreeSet::new() }
    }

    /// Takes a page from a replica.
    pub fn page(&mut self, now: Micros, replica: &str, page: Page) {
        let Some(from) = self.from.get_mut(replica).filter(|f| !f.over && f.behind == page.behind) else {
            return;
        };
        // Pages belong to one state of the replica: an owner that is still alive may go on changing it.
        from.answered = true;
        from.kept = page.kept;
        from.behind = page.records.last().map(|(id, _)| *id).or(from.behind);
        from.records.extend(page.records);
        from.over = !page.more;
        from.asked_at = if page.more { 0 } else { now };
    }

    /// The sessions that are taken over.
    pub fn ids(&self) -> &BTreeSet<Id> {
        &self.ids
    }

    /// Determines the next step. `alive` tells which replicas can be reached, `kept` whether the successor's
    /// own replicas have all of the given sessions.
    pub fn look(
        &mut self,
        now: Micros,
        alive: impl Fn(&str) -> bool,
        kept: impl Fn(&BTreeSet<Id>) -> bool,
    ) -> Next {
        match self.step {
            Step::Fetching => self.fetch(now, alive),
            Step::Keeping if kept(&self.ids) || self.since.saturating_add(ACK_TIMEOUT_US) <= now => {
                (self.step, self.since) = (Step::Reported, now);
                Next::Report
            }
            Step::Reported if self.since.saturating_add(ACK_TIMEOUT_US) <= now => {
                self.since = now; // the report may be lost with the leader
                Next::Report
            }
            Step::Keeping | Step::Reported => Next::Wait,
        }
    }

    fn fetch(&mut self, now: Micros, alive: impl Fn(&str) -> bool) -> Next {
        let waited = now.saturating_sub(self.since);
        let there = |name: &String, f: &From| alive(name) && !(f.answered && f.kept.is_none());
        let open = self.from.iter().filter(|(name, f)| !f.over && there(name, f)).count();
        let have = self.from.values().any(|f| f.over && f.kept.is_some());
        let patience = if have { REPLICA_TIMEOUT_US } else { NO_REPLICA_TIMEOUT_US };
        if open == 0 || waited >= patience {
            let of_all = self.from.values().filter(|f| f.over && f.kept.is_some());
            let best = of_all.max_by_key(|f| f.kept.map(|(seq, complete)| (complete, seq)));
            let complete = best.and_then(|f| f.kept).map(|(_, complete)| complete);
            let records = best.map(|f| f.records.clone()).unwrap_or_default();
            self.ids = records.keys().copied().collect();
            (self.step, self.since) = (Step::Keeping, now);
            self.from.clear();
            return Next::Keep(records.into_iter().collect(), complete);
        }
        let takeover = &self.takeover;
        let mut messages = Vec::new();
        for (name, from) in &mut self.from {
            if from.over
                || !alive(name)
                || from.asked_at.saturating_add(RESEND_AFTER_US) > now && from.asked_at > 0
            {
                continue;
            }
            from.asked_at = now;
            let (owner, incarnation) = (takeover.owner.clone(), takeover.incarnation);
            let (part, of, behind) = (takeover.part, takeover.of, from.behind);
            messages.push((name.clone(), Message::FetchReplica { owner, incarnation, part, of, behind }));
        }
        if messages.is_empty() { Next::Wait } else { Next::Ask(messages) }
    }
}

/// A page of records, without the fields that identify the replica.
#[derive(Clone, Debug)]
pub struct Page {
    /// The request that it answers.
    pub behind: Option<Id>,
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

    fn page(kept: Option<(u64, bool)>, behind: Option<Id>, ids: &[Id], more: bool) -> Page {
        let record = Record {
            summary: RequestSummary::default(),
            streamer: "s".into(),
            stage: Stage::InFlight,
            rung: 0,
            epoch: 0,
        };
        Page { behind, kept, records: ids.iter().map(|id| (*id, record.clone())).collect(), more }
    }

    fn replicated(next: Next) -> (Vec<Id>, Option<bool>) {
        let Next::Keep(records, complete) = next else { panic!("{next:?}") };
        (records.into_iter().map(|(id, _)| id).collect(), complete)
    }

    #[test]
    fn the_later_of_two_replicas_counts_and_pages_are_fetched_in_order() {
        let mut task = TakeoverTask::new(0, takeover(&["k", "l"]));
        assert!(matches!(task.look(0, |_| true, |_| true), Next::Ask(messages) if messages.len() == 2));
        task.page(10, "k", page(Some((3, true)), None, &[1, 2], true));
        task.page(10, "l", page(Some((4, true)), None, &[1], false));
        assert!(matches!(task.look(20, |_| true, |_| true), Next::Ask(messages) if messages.len() == 1));
        // A repeated page for the first request.
        task.page(30, "k", page(Some((3, true)), None, &[9], false));
        task.page(30, "k", page(Some((3, true)), Some(2), &[3], false));
        assert_eq!(replicated(task.look(40, |_| true, |_| true)), (vec![1], Some(true)));
        assert_eq!(task.look(50, |_| true, |_| false), Next::Wait);
        assert_eq!(task.look(60, |_| true, |_| true), Next::Report);
        assert_eq!(task.look(70, |_| true, |_| true), Next::Wait);
        assert_eq!(task.look(70 + ACK_TIMEOUT_US, |_| true, |_| true), Next::Report, "again");
    }

    #[test]
    fn a_silent_replica_is_skipped_and_without_any_nothing_is_known() {
        let mut task = TakeoverTask::new(0, takeover(&["k", "l"]));
        let _ = task.look(0, |_| true, |_| true);
        task.page(10, "l", page(Some((4, false)), None, &[1], false));
        assert!(matches!(task.look(RESEND_AFTER_US, |_| true, |_| true), Next::Ask(_)));
        assert_eq!(replicated(task.look(REPLICA_TIMEOUT_US, |_| true, |_| true)), (vec![1], Some(false)));
        let mut task = TakeoverTask::new(0, takeover(&["k", "l"]));
        assert_eq!(replicated(task.look(0, |_| false, |_| true)), (vec![], None));
        let mut task = TakeoverTask::new(0, takeover(&["k"]));
        let _ = task.look(0, |_| true, |_| true);
        task.page(10, "k", page(None, None, &[], false));
        assert_eq!(replicated(task.look(20, |_| true, |_| true)), (vec![], None), "it has no replica");
    }
}
