//! Replicated state of session ownership: which director grants leases, which incarnations are closed, and
//! which successor takes over which sessions under which epoch. Only [`Command`]s change it, in log order, so
//! it is the same at all directors.
//!
//! An incarnation is closed once: by the grantor of the current term after the incarnation's lease has
//! certainly expired, or by the director itself after it has stopped acting on its sessions. Each part of its
//! session set goes to one successor under an epoch that no other takeover has. A successor that fails before
//! its takeover is done is replaced by another under a later epoch, which starts from the same records; what
//! the failed one began under its epoch is void.
use crate::command::{Command, DirectorId, Refusal, Reply};
use crate::record::{Id, part};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// The largest number of names with a closed incarnation; a fleet has fewer names.
const MAX_NAMES: usize = 2_000;
/// Completed takeovers that are kept, to route misrouted session ends to the successor.
const MAX_COMPLETED_TAKEOVERS: usize = 64;
/// Void epochs that are kept.
const MAX_VOID_EPOCHS: usize = 256;
/// The largest number of successors for one session set.
pub const MAX_SUCCESSORS: usize = 64;
/// The largest number of incarnations of one name that are not closed.
const MAX_OPEN_INCARNATIONS: usize = 8;
/// The largest length of a name, bytes.
const MAX_NAME_BYTES: usize = 64;

/// The takeover of one part of a session set by a successor.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct Takeover {
    /// The director whose sessions are taken over.
    pub owner: String,
    /// The incarnation of that director.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// Index of the part, from 0.
    pub part: u32,
    /// Number of parts.
    pub of: u32,
    /// Directors that hold replicas of the session set.
    #[serde(rename = "keepers")]
    pub replicas: Vec<String>,
    /// The successor, once one is assigned.
    #[serde(rename = "heir")]
    pub successor: Option<DirectorId>,
    /// Whether the successor has completed the takeover.
    pub done: bool,
}

/// The agreed state.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
pub struct OwnershipState {
    /// The term of the current grantor; 0: none yet.
    #[serde(rename = "reign")]
    pub grantor_term: u64,
    /// The current grantor.
    #[serde(rename = "giver")]
    pub grantor: Option<DirectorId>,
    /// The latest epoch.
    pub epoch: u64,
    /// The latest closed incarnation of each name.
    pub closed: BTreeMap<String, u64>,
    /// The replicas of each session set whose incarnation is not closed.
    #[serde(rename = "keepers")]
    pub replicas: BTreeMap<(String, u64), Vec<String>>,
    /// Takeovers by epoch.
    pub takeovers: BTreeMap<u64, Takeover>,
    /// Epochs of successors that failed before completing; records kept under them belong to nobody.
    pub void: BTreeSet<u64>,
    /// Completed takeovers in order of completion.
    done: VecDeque<u64>,
    /// Number of changes so far.
    pub version: u64,
}

impl OwnershipState {
    /// Applies an encoded command; one that can't be decoded changes nothing.
    pub fn apply(&mut self, command: &[u8]) -> Reply {
        match postcard::from_bytes(command) {
            Ok(command) => self.apply_command(command),
            Err(_) => Reply::Refused(Refusal::Unreadable),
        }
    }

    /// Applies a command.
    pub fn apply_command(&mut self, command: Command) -> Reply {
        let taken = match command {
            Command::BecomeGrantor { name, .. } if name.len() > MAX_NAME_BYTES => Err(Refusal::TooLong),
            Command::BecomeGrantor { name, incarnation } => {
                let grantor = Some(DirectorId { name, incarnation });
                if self.grantor != grantor || self.grantor_term == 0 {
                    (self.grantor_term, self.grantor) = (self.grantor_term + 1, grantor);
                }
                self.version += 1;
                return Reply::Grantor(self.grantor_term);
            }
            Command::SetReplicas { name, incarnation, replicas } => {
                self.set_replicas(name, incarnation, replicas)
            }
            Command::Close { grantor_term, .. } | Command::AssignSuccessor { grantor_term, .. }
                if grantor_term != self.grantor_term =>
            {
                Err(Refusal::EarlierTerm)
            }
            Command::Close { name, incarnation, successors, parts, .. } => {
                self.close(name, incarnation, successors, parts)
            }
            Command::HandOver { name, incarnation, parts } => {
                self.close(name, incarnation, Vec::new(), parts)
            }
            Command::AssignSuccessor { epoch, successor, .. } => self.assign_successor(epoch, successor),
            Command::Complete { epoch, successor } => self.complete(epoch, &successor),
        };
        match taken {
            Ok(()) => {
                self.version += 1;
                Reply::Done
            }
            Err(why) => Reply::Refused(why),
        }
    }

    /// Whether an incarnation is closed.
    pub fn is_closed(&self, name: &str, incarnation: u64) -> bool {
        self.closed.get(name).is_some_and(|closed| *closed >= incarnation)
    }

    /// Takeovers that have no successor yet.
    pub fn without_successor(&self) -> impl Iterator<Item = (u64, &Takeover)> {
        self.takeovers.iter().filter(|(_, t)| t.successor.is_none()).map(|(epoch, t)| (*epoch, t))
    }

    /// The takeover that covers a session of a closed incarnation.
    pub fn takeover_of(&self, owner: &str, incarnation: u64, id: Id) -> Option<&Takeover> {
        let of = |t: &&Takeover| t.owner == owner && t.incarnation == incarnation && part(id, t.of) == t.part;
        self.takeovers.values().find(of)
    }

    fn set_replicas(&mut self, name: String, incarnation: u64, replicas: Vec<String>) -> Result<(), Refusal> {
        let long = replicas.iter().chain([&name]).any(|n| n.len() > MAX_NAME_BYTES) || replicas.len() > 8;
        let incarnations = (name.clone(), 0)..=(name.clone(), u64::MAX);
        let known = self.replicas.range(incarnations).count();
        let key = (name, incarnation);
        let fresh = !self.replicas.contains_key(&key);
        if long || fresh && (known >= MAX_OPEN_INCARNATIONS || self.replicas.len() >= MAX_NAMES) {
            return Err(Refusal::TooLong);
        }
        if self.is_closed(&key.0, incarnation) {
            return Err(Refusal::Closed);
        }
        self.replicas.insert(key, replicas);
        Ok(())
    }

    fn close(
        &mut self,
        name: String,
        incarnation: u64,
        successors: Vec<DirectorId>,
        parts: u32,
    ) -> Result<(), Refusal> {
        if self.is_closed(&name, incarnation) {
            return Err(Refusal::Closed);
        }
        let full = !self.closed.contains_key(&name) && self.closed.len() >= MAX_NAMES;
        let long = |h: &DirectorId| h.name.len() > MAX_NAME_BYTES;
        if name.len() > MAX_NAME_BYTES
            || full
            || successors.len() > MAX_SUCCESSORS
            || successors.iter().any(long)
        {
            return Err(Refusal::TooLong);
        }
        self.closed.insert(name.clone(), incarnation);
        // Takeovers that it had not completed go to other successors, from the same records.
        let left: Vec<u64> = (self.takeovers.iter())
            .filter(|(_, t)| {
                !t.done
                    && t.successor.as_ref().is_some_and(|h| h.name == name && h.incarnation <= incarnation)
            })
            .map(|(epoch, _)| *epoch)
            .collect();
        for epoch in left {
            if let Some(takeover) = self.takeovers.remove(&epoch) {
                self.mark_void(epoch);
                self.start_takeover(Takeover { successor: None, ..takeover });
            }
        }
        // Sessions that were never replicated can't be taken over.
        let incarnations = (name.clone(), 0)..=(name.clone(), incarnation);
        let incarnations: Vec<u64> =
            self.replicas.range(incarnations).map(|((_, incarnation), _)| *incarnation).collect();
        let successors: Vec<DirectorId> =
            successors.into_iter().filter(|h| !self.is_closed(&h.name, h.incarnation)).collect();
        let of = (successors.len() as u32).max(parts.min(MAX_SUCCESSORS as u32)).max(1);
        for incarnation in incarnations {
            let replicas = self.replicas.remove(&(name.clone(), incarnation)).unwrap_or_default();
            for part in 0..of {
                let successor = successors.get(part as usize).cloned();
                let (owner, replicas) = (name.clone(), replicas.clone());
                self.start_takeover(Takeover {
                    owner,
                    incarnation,
                    part,
                    of,
                    replicas,
                    successor,
                    done: false,
                });
            }
        }
        Ok(())
    }

    fn start_takeover(&mut self, takeover: Takeover) {
        self.epoch += 1;
        self.takeovers.insert(self.epoch, takeover);
    }

    fn mark_void(&mut self, epoch: u64) {
        self.void.insert(epoch);
        while self.void.len() > MAX_VOID_EPOCHS {
            self.void.pop_first();
        }
    }

    fn assign_successor(&mut self, epoch: u64, successor: DirectorId) -> Result<(), Refusal> {
        if successor.name.len() > MAX_NAME_BYTES || self.is_closed(&successor.name, successor.incarnation) {
            return Err(Refusal::Closed);
        }
        let open = self.takeovers.get(&epoch).is_some_and(|t| t.successor.is_none());
        let Some(takeover) = open.then(|| self.takeovers.remove(&epoch)).flatten() else {
            return Err(Refusal::NoOpenTakeover);
        };
        self.mark_void(epoch);
        self.start_takeover(Takeover { successor: Some(successor), ..takeover });
        Ok(())
    }

    fn complete(&mut self, epoch: u64, successor: &DirectorId) -> Result<(), Refusal> {
        let takeover = self.takeovers.get_mut(&epoch).filter(|t| t.successor.as_ref() == Some(successor));
        let Some(takeover) = takeover else { return Err(Refusal::NoOpenTakeover) };
        if !std::mem::replace(&mut takeover.done, true) {
            self.done.push_back(epoch);
        }
        while self.done.len() > MAX_COMPLETED_TAKEOVERS {
            self.done.pop_front().map(|old| self.takeovers.remove(&old));
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn successor(name: &str, incarnation: u64) -> DirectorId {
        DirectorId { name: name.into(), incarnation }
    }

    fn with_estate() -> OwnershipState {
        let mut state = OwnershipState::default();
        assert_eq!(
            state.apply_command(Command::BecomeGrantor { name: "d0".into(), incarnation: 1 }),
            Reply::Grantor(1)
        );
        let replicas = vec!["d1".into(), "d2".into()];
        state.apply_command(Command::SetReplicas { name: "d3".into(), incarnation: 5, replicas });
        state
    }

    fn close(
        state: &mut OwnershipState,
        grantor_term: u64,
        name: &str,
        incarnation: u64,
        successors: Vec<DirectorId>,
    ) -> Reply {
        state.apply_command(Command::Close {
            grantor_term,
            name: name.into(),
            incarnation,
            successors,
            parts: 1,
        })
    }

    #[test]
    fn an_incarnation_is_closed_once_and_only_by_the_current_grantor() {
        let mut state = with_estate();
        assert_eq!(
            state.apply_command(Command::BecomeGrantor { name: "d9".into(), incarnation: 1 }),
            Reply::Grantor(2)
        );
        let former = Reply::Refused(Refusal::EarlierTerm);
        assert_eq!(close(&mut state, 1, "d3", 5, vec![successor("d1", 1)]), former);
        assert_eq!(close(&mut state, 2, "d3", 5, vec![successor("d1", 1)]), Reply::Done);
        let closed = Reply::Refused(Refusal::Closed);
        assert_eq!(close(&mut state, 2, "d3", 5, vec![successor("d2", 1)]), closed);
        let hand_over = Command::HandOver { name: "d3".into(), incarnation: 5, parts: 1 };
        assert_eq!(state.apply_command(hand_over), closed);
        assert_eq!(state.takeovers.len(), 1);
        assert_eq!(
            state.takeover_of("d3", 5, 77).and_then(|t| t.successor.clone()),
            Some(successor("d1", 1))
        );
    }

    #[test]
    fn a_failed_successor_is_replaced_under_a_later_epoch_and_its_epoch_is_void() {
        let mut state = with_estate();
        close(&mut state, 1, "d3", 5, vec![successor("d1", 1), successor("d2", 1)]);
        let epochs: Vec<u64> = state.takeovers.keys().copied().collect();
        assert_eq!(
            state.apply_command(Command::Complete { epoch: epochs[1], successor: successor("d2", 1) }),
            Reply::Done
        );
        let early =
            Command::AssignSuccessor { grantor_term: 1, epoch: epochs[0], successor: successor("d4", 1) };
        assert_eq!(
            state.apply_command(early),
            Reply::Refused(Refusal::NoOpenTakeover),
            "its successor is alive"
        );
        close(&mut state, 1, "d1", 1, vec![]);
        close(&mut state, 1, "d2", 1, vec![]);
        assert!(
            state.void.contains(&epochs[0]) && !state.void.contains(&epochs[1]),
            "a completed takeover stays"
        );
        let late = Command::Complete { epoch: epochs[0], successor: successor("d1", 1) };
        assert_eq!(state.apply_command(late), Reply::Refused(Refusal::NoOpenTakeover));
        let open: Vec<u64> = state.without_successor().map(|(epoch, _)| epoch).collect();
        assert_eq!(open.len(), 1);
        let next =
            Command::AssignSuccessor { grantor_term: 1, epoch: open[0], successor: successor("d4", 1) };
        assert_eq!(state.apply_command(next), Reply::Done);
        let (epoch, takeover) = state.takeovers.iter().find(|(_, t)| !t.done).expect("under way");
        assert!(*epoch > epochs[1] && takeover.part == 0 && takeover.of == 2);
        assert_eq!(takeover.successor, Some(successor("d4", 1)));
    }

    #[test]
    fn all_incarnations_closed_by_one_command_are_taken_over() {
        let mut state = with_estate();
        let replicas = vec!["d4".into()];
        state.apply_command(Command::SetReplicas { name: "d3".into(), incarnation: 8, replicas });
        assert_eq!(
            state.apply_command(Command::HandOver { name: "d3".into(), incarnation: 8, parts: 3 }),
            Reply::Done
        );
        let incarnations: Vec<u64> = state.takeovers.values().map(|t| t.incarnation).collect();
        assert_eq!(incarnations, vec![5, 5, 5, 8, 8, 8]);
        assert!(state.replicas.is_empty() && state.without_successor().count() == 6);
    }

    #[test]
    fn oversized_and_undecodable_commands_change_nothing() {
        let mut state = with_estate();
        let before = state.clone();
        assert_eq!(state.apply(b"\xff\xff"), Reply::Refused(Refusal::Unreadable));
        let successors = vec![successor("d1", 1); MAX_SUCCESSORS + 1];
        assert_eq!(close(&mut state, 1, "d3", 5, successors), Reply::Refused(Refusal::TooLong));
        assert_eq!(state, before);
        for why in [Refusal::EarlierTerm, Refusal::Closed, Refusal::NoOpenTakeover, Refusal::Unreadable] {
            assert!(!why.to_string().is_empty());
        }
    }
}
