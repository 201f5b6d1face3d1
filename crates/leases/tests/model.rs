//! Model check over every interleaving of one holder, two successive grantors, late and lost messages, a slow
//! clock and a process that is paused between its decision and its write: nothing is written by a closed
//! incarnation (S6). Each planted fault has to be found.
use stateright::{Checker, Model, Property};
use stonewharf_leases::{LeaseDuration, LeaseGrantor, LeaseHolder, LeaseRequest};

/// Ticks are coarse, and so is the drift: the holder's clock may lose one tick in four.
const DURATION: LeaseDuration = LeaseDuration { holder: 3, grantor: 5 };
const LAST_TICK: u64 = 7;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PlantedFault {
    Nothing,
    /// The holder counts the lease from the answer.
    CountFromAnswer,
    /// A new grantor closes an incarnation without waiting for the leases of the earlier grantor to expire.
    NoWaitForEarlierGrantor,
    /// The holder checks its lease when it decides, and not as it writes.
    CheckOnlyAtDecision,
    /// A grantor answers without a confirmation of its leadership.
    NoConfirmation,
    /// A command of an earlier term is accepted.
    AcceptAnyTerm,
    /// A new grantor does not know which incarnations are closed.
    UnknownClosures,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    now: u64,
    /// How many ticks the holder's clock has lost, and when it lost the last one.
    lost_ticks: u64,
    last_loss_at: u64,
    holder: LeaseHolder,
    /// Whether the holder has decided to write and has not written yet.
    decided: bool,
    grantors: [LeaseGrantor; 2],
    /// The actual leader, and the agreed term (0: none).
    leader: usize,
    term: u64,
    requests_sent: u8,
    requests: Vec<(usize, u64)>,
    answers: Vec<(u64, bool)>,
    /// Commands under way that would close the incarnation, by the term that they name.
    close_commands: Vec<u64>,
    closed: bool,
    wrote_closed: bool,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum Action {
    Tick { slow: bool },
    SendRequest(usize),
    Deliver(usize),
    Confirm(usize),
    Answer(usize),
    ChangeLeader,
    Close(usize),
    Agree(usize),
    Decide,
    Write,
}

struct World(PlantedFault);

impl State {
    fn clock(&self) -> u64 {
        100 + self.now - self.lost_ticks
    }
}

impl Model for World {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        let mut grantors = [LeaseGrantor::new(DURATION), LeaseGrantor::new(DURATION)];
        grantors[0].begin_term(0, 1);
        vec![State {
            now: 0,
            lost_ticks: 0,
            last_loss_at: 0,
            holder: LeaseHolder::new(DURATION, 100),
            decided: false,
            grantors,
            leader: 0,
            term: 1,
            requests_sent: 0,
            requests: Vec::new(),
            answers: Vec::new(),
            close_commands: Vec::new(),
            closed: false,
            wrote_closed: false,
        }]
    }

    fn actions(&self, s: &State, actions: &mut Vec<Action>) {
        if s.now < LAST_TICK {
            actions.push(Action::Tick { slow: false });
            // At most a quarter of the ticks may be lost.
            if s.now >= s.last_loss_at + 4 || (s.lost_ticks == 0 && s.now > 0) {
                actions.push(Action::Tick { slow: true });
            }
        }
        if s.requests.is_empty() && s.requests_sent < 2 && s.holder.next_request_at() <= s.clock() {
            // the holder may still take the earlier grantor for the leader
            actions.extend((0..=s.leader).map(Action::SendRequest));
        }
        actions.extend((0..s.requests.len()).map(Action::Deliver));
        actions.extend((0..2).map(Action::Confirm));
        actions.extend((0..s.answers.len()).map(Action::Answer));
        if s.leader == 0 {
            actions.push(Action::ChangeLeader);
        }
        if s.close_commands.is_empty() && !s.closed {
            actions.extend((0..2).map(Action::Close));
        }
        actions.extend((0..s.close_commands.len()).map(Action::Agree));
        if !s.decided {
            actions.push(Action::Decide);
        } else {
            actions.push(Action::Write);
        }
    }

    fn next_state(&self, before: &State, action: Action) -> Option<State> {
        let mut s = before.clone();
        match action {
            Action::Tick { slow } => {
                s.now += 1;
                if slow {
                    (s.lost_ticks, s.last_loss_at) = (s.lost_ticks + 1, s.now);
                }
            }
            Action::SendRequest(to) => {
                let number = s.holder.poll_request(s.clock())?;
                s.requests_sent += 1;
                s.requests.push((to, number));
            }
            Action::Deliver(i) => {
                let (to, number) = s.requests.remove(i);
                s.grantors[to].request(LeaseRequest { name: "d".into(), incarnation: 1, number });
            }
            Action::Confirm(g) => {
                if !s.grantors[g].begin_confirmation() {
                    return None;
                }
                if g != s.leader && self.0 != PlantedFault::NoConfirmation {
                    s.grantors[g].confirmation_failed(); // a majority of the voters follows the other one
                    return Some(s);
                }
                let grants = s.grantors[g].confirmation_succeeded(s.now);
                s.answers.extend(grants.into_iter().map(|grant| (grant.number, false)));
            }
            Action::Answer(i) => {
                let (number, _) = s.answers.remove(i);
                if self.0 == PlantedFault::CountFromAnswer {
                    // As if the request had been sent when its answer arrived.
                    let mut anew = LeaseHolder::new(DURATION, s.clock());
                    let number = anew.poll_request(s.clock())?;
                    anew.apply_grant(number);
                    if anew.valid_until() > s.holder.valid_until() {
                        s.holder = anew;
                    }
                } else {
                    s.holder.apply_grant(number);
                }
            }
            Action::ChangeLeader => {
                (s.leader, s.term) = (1, 2);
                if s.closed && self.0 != PlantedFault::UnknownClosures {
                    s.grantors[1].mark_closed("d", 1); // it has applied all committed commands
                }
                let since = if self.0 == PlantedFault::NoWaitForEarlierGrantor { 0 } else { s.now };
                s.grantors[1].begin_term(since, 2);
            }
            Action::Close(g) => {
                let term = s.grantors[g].try_close(s.now, "d", 1).ok()?;
                s.close_commands.push(term);
            }
            Action::Agree(i) => {
                let term = s.close_commands.remove(i);
                s.closed |= term == s.term || self.0 == PlantedFault::AcceptAnyTerm;
            }
            Action::Decide => s.decided = s.holder.is_valid(s.clock()),
            Action::Write => {
                s.decided = false;
                let allowed = self.0 == PlantedFault::CheckOnlyAtDecision || s.holder.is_valid(s.clock());
                s.wrote_closed |= allowed && s.closed;
            }
        }
        Some(s)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("a closed incarnation writes nothing", |_, s: &State| !s.wrote_closed),
            Property::sometimes("a lease is valid", |_, s: &State| s.holder.is_valid(s.clock())),
            Property::sometimes("the second grantor closes an incarnation", |_, s: &State| {
                s.closed && s.leader == 1
            }),
        ]
    }
}

fn finds_violation(fault: PlantedFault) -> bool {
    let checker = World(fault).checker().threads(2).spawn_bfs().join();
    checker.discovery("a closed incarnation writes nothing").is_some()
}

#[test]
fn no_interleaving_lets_a_closed_incarnation_write() {
    let checker = World(PlantedFault::Nothing).checker().threads(2).spawn_bfs().join();
    checker.assert_properties();
    assert!(checker.unique_state_count() > 10_000, "{} states", checker.unique_state_count());
}

#[test]
fn each_planted_fault_is_found() {
    let faults = [
        PlantedFault::CountFromAnswer,
        PlantedFault::NoWaitForEarlierGrantor,
        PlantedFault::CheckOnlyAtDecision,
        PlantedFault::NoConfirmation,
        PlantedFault::AcceptAnyTerm,
    ];
    for fault in faults {
        assert!(finds_violation(fault), "{fault:?} was not found");
    }
}
