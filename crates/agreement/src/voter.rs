//! One voter: the library's Raft, driven by ticks and words, with what it wants stored put in batches that
//! are stored elsewhere and later. What stands on a batch (votes, acknowledgements, agreed entries) waits
//! for it here; a leader's own entries go out at once (Ongaro's thesis, section 10.2.1).
use crate::entry::{Conf, EntryKind, EntryWord, Hard, SnapshotWord, change_of};
use crate::held::Held;
use crate::kept::{Change, Kept};
use crate::word::RaftWord;
use raft::eraftpb::MessageType;
use raft::{Config, RawNode, StateRole};
use slog::{Discard, Logger, o};
use std::collections::VecDeque;
use std::panic::{AssertUnwindSafe, catch_unwind};
use stonewharf_core::Micros;

/// Between ticks.
const TICK_US: Micros = 25_000;
/// A follower that hears no leader for so many ticks asks for votes: 500 ms, and two ticks more for each that
/// stands before it, so that no two ask at a time. Under the second that an idle leader's loss may cost.
const ELECTION_TICKS: usize = 20;
const RANK_TICKS: usize = 2;
/// Between a leader's heartbeats.
const HEARTBEAT_TICKS: usize = 4;
/// Entries kept before a state takes their place.
const ENTRIES_KEPT: u64 = 512;
/// Entries that stay in memory beyond that, for those that are a little behind; one must.
const ENTRIES_MORE: u64 = 64;
/// Bytes of entries in one message, and of proposals that are not agreed yet.
const MESSAGE_BYTES: u64 = 64 * 1024;
const WAITING_BYTES: u64 = 256 * 1024;

/// What waits for a batch to be stored.
struct Pending {
    number: u64,
    /// The stamp of the last batch before it, its own among them.
    stamp: u64,
    messages: Vec<RaftWord>,
}

/// What came of a turn of the library.
#[derive(Default)]
pub(crate) struct Pumped {
    /// Messages that may go out now.
    pub send: Vec<RaftWord>,
    /// What is to be stored, as one batch.
    pub changes: Vec<Change>,
    /// A state that came from the leader.
    pub restored: Option<SnapshotWord>,
    /// Entries that are agreed.
    pub agreed: Vec<EntryWord>,
    /// Reads that may be answered once all up to a place is applied.
    pub reads: Vec<(Vec<u8>, u64)>,
}

impl Pumped {
    fn is_empty(&self) -> bool {
        self.send.is_empty()
            && self.changes.is_empty()
            && self.restored.is_none()
            && self.agreed.is_empty()
            && self.reads.is_empty()
    }
}

/// One voter of a log.
pub(crate) struct Voter {
    raw: RawNode<Held>,
    pending: VecDeque<Pending>,
    /// The last batch that was handed out, and the last that is stored.
    last: u64,
    stored: u64,
    tick_at: Micros,
    applied: u64,
    /// The timeout of its elections, ticks.
    timeout: usize,
    /// Who votes has changed since the last state: one that was added can't begin from a state without it.
    changed: bool,
    /// A state was taken from the leader and is not stored yet.
    taking: Option<(u64, u64)>,
}

impl Voter {
    /// A voter as its folder has it, of which batches up to `stored` are safe. None where the folder
    /// contradicts itself.
    pub fn new(kept: &Kept, stored: u64, now: Micros) -> Option<Voter> {
        let config = Config {
            election_tick: ELECTION_TICKS,
            min_election_tick: ELECTION_TICKS,
            max_election_tick: 2 * ELECTION_TICKS,
            heartbeat_tick: HEARTBEAT_TICKS,
            max_size_per_msg: MESSAGE_BYTES,
            max_inflight_msgs: 64,
            max_uncommitted_size: WAITING_BYTES,
            check_quorum: true,
            pre_vote: true,
            applied: kept.snapshot.index,
            ..Config::new(kept.id)
        };
        let follows = kept.entries.iter().zip(kept.snapshot.index + 1..).all(|(e, at)| e.index == at);
        let last = kept.entries.last().map_or(kept.snapshot.index, |e| e.index);
        if kept.id == 0 || !follows || kept.hard.commit > last {
            return None;
        }
        let raw = RawNode::new(&config, Held::new(kept).ok()?, &Logger::root(Discard, o!())).ok()?;
        let mut voter = Voter {
            raw,
            pending: VecDeque::new(),
            last: kept.stamp,
            stored,
            tick_at: now,
            applied: kept.snapshot.index,
            timeout: ELECTION_TICKS,
            changed: false,
            taking: None,
        };
        voter.rank();
        Some(voter)
    }

    /// Sets the timeout by its place among the voters: the library would draw it by chance of its own, which
    /// no run could repeat.
    fn rank(&mut self) {
        let mut ids: Vec<u64> = self.conf().voters;
        ids.sort_unstable();
        let place = ids.iter().position(|id| *id == self.raw.raft.id).unwrap_or(0);
        self.timeout = ELECTION_TICKS + (RANK_TICKS * place).min(ELECTION_TICKS - 1);
    }

    /// When it wants to be ticked next.
    pub fn next(&self) -> Micros {
        self.tick_at
    }

    /// Time has passed. One that stood still makes up for no ticks: it would only disturb.
    pub fn due(&mut self, now: Micros) {
        if self.tick_at <= now {
            self.raw.raft.set_randomized_election_timeout(self.timeout);
            self.raw.tick();
            self.tick_at = (self.tick_at + TICK_US).max(now + TICK_US / 2);
        }
    }

    /// A message came in. False: it says that this voter had acknowledged what it does not have.
    #[must_use]
    pub fn hear(&mut self, word: &RaftWord) -> bool {
        let Some(message) = word.raft() else { return true };
        let last = self.raw.raft.raft_log.last_index();
        // A leader's heartbeat names no more than what this voter acknowledged; the library ends on it.
        if message.get_msg_type() == MessageType::MsgHeartbeat
            && message.term >= self.raw.raft.term
            && message.commit > last
        {
            return false;
        }
        // What can't be used is passed over, as if it were lost. The library ends the program where a
        // message contradicts what is agreed: this folder then lacks what others count on, and the director
        // serves on.
        catch_unwind(AssertUnwindSafe(|| drop(self.raw.step(message)))).is_ok()
    }

    /// Proposes a command; false where it is not the leader, or too much is under way.
    pub fn propose(&mut self, data: Vec<u8>) -> bool {
        self.raw.raft.state == StateRole::Leader && self.raw.propose(Vec::new(), data).is_ok()
    }

    /// Proposes a change of who votes; false where it is not the leader or another change is under way.
    pub fn propose_change(&mut self, change: u8, id: u64, name: &str) -> bool {
        let under_way = self.raw.raft.pending_conf_index > self.applied;
        self.raw.raft.state == StateRole::Leader
            && !under_way
            && self.raw.propose_conf_change(Vec::new(), change_of(change, id, name)).is_ok()
    }

    /// Asks for a read; answered in [`Pumped::reads`]. Lost where there is no leader.
    pub fn read(&mut self, context: Vec<u8>) {
        self.raw.read_index(context);
    }

    /// A batch is stored.
    pub fn stored(&mut self, stamp: u64) {
        self.stored = self.stored.max(stamp);
    }

    /// Gathers what the library wants done; `next` is the stamp of the batch that would come of it.
    pub fn pump(&mut self, next: u64) -> Option<Pumped> {
        let mut pumped = Pumped::default();
        self.release(&mut pumped);
        while self.raw.has_ready() && pumped.changes.is_empty() {
            let mut ready = self.raw.ready();
            pumped.send.extend(ready.take_messages().iter().filter_map(RaftWord::of));
            let mut changes = Vec::new();
            if !ready.snapshot().is_empty() {
                let snapshot = SnapshotWord::of(ready.snapshot());
                let inner = &mut self.raw.mut_store();
                let _ = inner.memory.wl().apply_snapshot(ready.snapshot().clone()); // newer than what it has
                inner.snapshot = snapshot.clone();
                self.applied = snapshot.index;
                self.taking = Some((ready.number(), snapshot.index));
                changes.push(Change::Snapshot(snapshot.clone()));
                pumped.restored = Some(snapshot);
            }
            let entries = ready.take_entries();
            if !entries.is_empty() {
                // They join on: the library made them so.
                let _ = self.raw.mut_store().memory.wl().append(&entries);
                changes.push(Change::Append(entries.iter().map(EntryWord::of).collect()));
            }
            if let Some(hard) = ready.hs() {
                self.raw.mut_store().memory.wl().set_hardstate(hard.clone());
                if ready.must_sync() {
                    changes.push(Change::Hard(Hard::of(hard)));
                }
            }
            pumped.reads.extend(ready.take_read_states().into_iter().map(|r| (r.request_ctx, r.index)));
            let messages = ready.take_persisted_messages().iter().filter_map(RaftWord::of).collect();
            let agreed = ready.take_committed_entries();
            let number = ready.number();
            self.raw.advance_append_async(ready);
            if !changes.is_empty() {
                self.last = next;
            }
            self.pending.push_back(Pending { number, stamp: self.last, messages });
            for entry in agreed.iter().map(EntryWord::of) {
                self.agreed(&entry);
                pumped.agreed.push(entry);
            }
            pumped.changes = changes;
            self.release(&mut pumped);
        }
        for word in pumped.send.iter().filter(|w| w.kind == MessageType::MsgSnapshot as u8) {
            // Whether it arrived shows by the next answer.
            self.raw.report_snapshot(word.to, raft::SnapshotStatus::Finish);
        }
        (!pumped.is_empty()).then_some(pumped)
    }

    /// Lets go what waited for batches that are stored.
    fn release(&mut self, pumped: &mut Pumped) {
        while self.pending.front().is_some_and(|p| p.stamp <= self.stored) {
            let Some(pending) = self.pending.pop_front() else { break };
            self.raw.on_persist_ready(pending.number);
            pumped.send.extend(pending.messages);
            if let Some((_, index)) = self.taking.filter(|(number, _)| *number <= pending.number) {
                self.taking = None;
                self.raw.advance_apply_to(index);
            }
        }
    }

    fn agreed(&mut self, entry: &EntryWord) {
        self.applied = entry.index;
        if let EntryKind::Voters { change, id, name } = &entry.kind {
            if let Ok(conf) = self.raw.apply_conf_change(&change_of(*change, *id, name)) {
                self.raw.mut_store().memory.wl().set_conf_state(conf);
            }
            self.changed = true;
            self.rank();
        }
        self.raw.advance_apply_to(entry.index);
    }

    /// Whether a state should take the place of the entries now.
    pub fn full(&self) -> bool {
        self.changed || self.applied.saturating_sub(self.raw.store().snapshot.index) >= ENTRIES_KEPT
    }

    /// A state takes the place of the entries up to what is applied; it is to be stored.
    pub fn compact(&mut self, data: Vec<u8>) -> Option<Change> {
        self.changed = false;
        let (index, conf) = (self.applied, self.conf());
        let term = self.raw.raft.raft_log.term(index).ok()?;
        let snapshot = SnapshotWord { index, term, conf, data };
        let held = self.raw.mut_store();
        held.snapshot = snapshot.clone();
        held.memory.wl().compact(index.saturating_sub(ENTRIES_MORE)).ok()?;
        Some(Change::Snapshot(snapshot))
    }

    /// Who votes, as far as this voter has applied it.
    pub fn conf(&self) -> Conf {
        Conf::of(&self.raw.raft.prs().conf().to_conf_state())
    }

    /// The leader, as far as it knows one; 0: none.
    pub fn leader(&self) -> u64 {
        self.raw.raft.leader_id
    }

    /// Whether it leads, and has agreed on an entry of its own term: before that it does not know all that
    /// is agreed.
    pub fn leads(&self) -> bool {
        let raft = &self.raw.raft;
        raft.state == StateRole::Leader && raft.raft_log.term(self.applied).is_ok_and(|t| t == raft.term)
    }

    /// Its term.
    pub fn term(&self) -> u64 {
        self.raw.raft.term
    }

    /// Whether one that learns has all that is agreed so far.
    pub fn up_to_date(&self, id: u64) -> bool {
        let raft = &self.raw.raft;
        raft.prs().get(id).is_some_and(|p| p.matched >= raft.raft_log.committed)
    }
}
