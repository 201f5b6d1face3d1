//! Model check of permits over the real replicated state: every interleaving of two requests, a crash, a
//! restart, late and repeated reports, an expiry and a change of leader. There are never more directors out
//! by permit than the budget, and no permit is granted beyond the budget of what is known to be out (S1). The
//! check has to find each injected bug.
use stateright::{Checker, HasDiscoveries, Model, Property};
use stonewharf_rollout::{Command, DisruptionBudgets, HolderAction, PermitHolder, Reply, Rollout, Standing};

const DIRECTORS: usize = 3;
const BUDGET: usize = 1;

/// A bug injected into the state or the holder, which the check has to find.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum InjectedBug {
    None,
    /// An overdue permit is released.
    ReleaseOnExpiry,
    /// Directors lost without a permit do not count as out.
    IgnoreLostDirectors,
    /// A new leader starts without the permits granted before.
    NewLeaderDropsPermits,
    /// Any report of the holder in service releases a permit, even of the incarnation that was granted it.
    ReleaseOnAnyReport,
    /// A holder uses a permit that it has returned.
    UseReturnedPermit,
}

/// The actual state of a director's process.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Process {
    incarnation: u64,
    runs: bool,
    /// It left under a permit and has not run since.
    out_by_permit: bool,
    /// The replicated state last received, which may be outdated.
    known_state: Option<Vec<u8>>,
    holder: PermitHolder,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    replicated: Vec<u8>,
    processes: Vec<Process>,
    /// Commands in flight: they may be committed in any order, or lost with their leader.
    in_flight: Vec<Vec<u8>>,
    requests_left: u8,
    crashes_left: u8,
    restarts_left: u8,
    reports_left: u8,
    expiries_left: u8,
    leader_changes_left: u8,
    /// A permit was granted beyond the budget of what was known to be out.
    budget_exceeded: bool,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum Action {
    RequestPermit(usize),
    Commit(usize),
    Learn(usize),
    Leave(usize),
    ReturnPermit(usize),
    Crash(usize),
    Restart(usize),
    Report(usize),
    Expire,
    NewLeader,
}

struct PermitModel(InjectedBug);

fn name(i: usize) -> String {
    format!("d{i}")
}

fn canonical_bytes(rollout: &Rollout) -> Vec<u8> {
    let mut rollout = rollout.clone();
    rollout.audit_total = 0;
    rollout.directors.values_mut().for_each(|d| d.refused = None);
    rollout.audit.clear(); // the audit log records history, which would make each path a distinct state
    rollout.snapshot()
}

fn replicated_state(state: &State) -> Rollout {
    Rollout::restore(&state.replicated).expect("a snapshot decodes")
}

impl PermitModel {
    fn commit(&self, state: &mut State, command: &[u8]) {
        let mut rollout = replicated_state(state);
        // Counts what is known to be out independently of the code under test: directors last reported
        // absent, and holders of a permit that do not actually run in a later incarnation.
        let out = |r: &Rollout, state: &State| {
            let counts = |i: &usize| {
                r.directors.get(&name(*i)).is_some_and(|d| d.standing == Standing::Absent)
                    || holds_permit(state, r, *i)
            };
            (0..DIRECTORS).filter(counts).count()
        };
        let (out_before, last_permit_before) = (out(&rollout, state), rollout.last_permit);
        if self.0 == InjectedBug::IgnoreLostDirectors {
            let mut without_losses = rollout.clone();
            without_losses.directors.values_mut().for_each(|d| d.standing = Standing::Serving);
            if let Reply::Permit(permit) = without_losses.apply(command)
                && permit.number > rollout.last_permit
            {
                (rollout.last_permit, rollout.last_permit_ms) =
                    (without_losses.last_permit, without_losses.last_permit_ms);
                for (name, director) in without_losses.directors {
                    rollout.directors.entry(name).and_modify(|d| d.permit = director.permit);
                }
            }
        }
        rollout.apply(command);
        state.budget_exceeded |= rollout.last_permit > last_permit_before && out_before + 1 > BUDGET;
        match self.0 {
            InjectedBug::ReleaseOnExpiry => {
                rollout.directors.values_mut().for_each(|d| drop(d.permit.take_if(|p| p.overdue)));
                rollout.halted = None;
            }
            InjectedBug::ReleaseOnAnyReport => {
                if let Ok(Command::Seen { name, standing: Standing::Serving, .. }) =
                    postcard::from_bytes(command)
                {
                    rollout.directors.entry(name).and_modify(|d| d.permit = None);
                }
            }
            _ => {}
        }
        state.replicated = canonical_bytes(&rollout);
    }
}

/// Whether a director is out under a permit: it has not actually returned in a later incarnation.
fn holds_permit(state: &State, rollout: &Rollout, i: usize) -> bool {
    let permit = rollout.directors.get(&name(i)).and_then(|d| d.permit.as_ref());
    let back = |incarnation: u64| state.processes[i].runs && state.processes[i].incarnation > incarnation;
    permit.is_some_and(|p| !back(p.incarnation)) || state.processes[i].out_by_permit
}

impl Model for PermitModel {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        let budget = BUDGET as u32;
        let budgets = DisruptionBudgets {
            directors: budget,
            directors_of_hall: budget,
            step_ms: 0,
            longest_ms: 1_000,
            ask_ms: 0,
            ..DisruptionBudgets::default()
        };
        let mut rollout = Rollout { budgets, ..Rollout::default() };
        for i in 0..DIRECTORS {
            let (hall, standing) = ("a".to_owned(), Standing::Serving);
            rollout.apply_command(Command::Seen {
                name: name(i),
                hall,
                incarnation: 1,
                standing,
                version: String::new(),
                settings: String::new(),
                now_ms: 1,
            });
        }
        let process = |i: usize| {
            let holder = PermitHolder::new(&name(i), 1);
            Process { incarnation: 1, runs: true, out_by_permit: false, known_state: None, holder }
        };
        vec![State {
            replicated: canonical_bytes(&rollout),
            processes: (0..DIRECTORS).map(process).collect(),
            in_flight: Vec::new(),
            requests_left: 2,
            crashes_left: 1,
            restarts_left: 1,
            reports_left: 2,
            expiries_left: 1,
            leader_changes_left: 1,
            budget_exceeded: false,
        }]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        for (i, process) in state.processes.iter().enumerate() {
            if state.requests_left > 0 && i < 2 {
                actions.push(Action::RequestPermit(i));
            }
            if process.runs {
                let permit = |bytes: &[u8]| {
                    process.holder.permit(&Rollout::restore(bytes).expect("a snapshot decodes"))
                };
                let holds = process.known_state.as_deref().and_then(permit);
                if holds.is_some() {
                    actions.extend([Action::Leave(i), Action::ReturnPermit(i)]);
                } else if permit(&state.replicated).is_some() {
                    actions.push(Action::Learn(i));
                }
                if state.crashes_left > 0 {
                    actions.push(Action::Crash(i));
                }
            } else if state.restarts_left > 0 {
                actions.push(Action::Restart(i));
            }
            if state.reports_left > 0 {
                actions.push(Action::Report(i));
            }
        }
        actions.extend((0..state.in_flight.len()).map(Action::Commit));
        if state.expiries_left > 0 {
            actions.push(Action::Expire);
        }
        if state.leader_changes_left > 0 {
            actions.push(Action::NewLeader);
        }
    }

    fn next_state(&self, last: &State, action: Action) -> Option<State> {
        let mut state = last.clone();
        match action {
            Action::RequestPermit(i) => {
                state.requests_left -= 1;
                let by = "test".to_owned();
                state.in_flight.push(Command::Ask { name: name(i), by, now_ms: 1 }.encode());
            }
            Action::Commit(k) => {
                let command = state.in_flight.remove(k);
                self.commit(&mut state, &command);
            }
            Action::Learn(i) => state.processes[i].known_state = Some(state.replicated.clone()),
            Action::Leave(i) => {
                let process = &mut state.processes[i];
                let known_state =
                    Rollout::restore(process.known_state.as_deref()?).expect("a snapshot decodes");
                let HolderAction::Leave(Some(_)) = process.holder.poll(1, &known_state) else { return None };
                (process.runs, process.out_by_permit, process.known_state) = (false, true, None);
            }
            Action::ReturnPermit(i) => {
                let process = &mut state.processes[i];
                let known_state =
                    Rollout::restore(process.known_state.as_deref()?).expect("a snapshot decodes");
                let incarnation = process.incarnation;
                state.in_flight.push(process.holder.return_permit(&known_state)?.encode());
                if self.0 == InjectedBug::UseReturnedPermit {
                    process.holder = PermitHolder::new(&name(i), incarnation);
                }
            }
            Action::Crash(i) => {
                state.crashes_left -= 1;
                let process = &mut state.processes[i];
                (process.runs, process.known_state) = (false, None);
            }
            Action::Restart(i) => {
                state.restarts_left -= 1;
                let process = &mut state.processes[i];
                (process.incarnation, process.runs, process.out_by_permit) =
                    (process.incarnation + 1, true, false);
                process.holder = PermitHolder::new(&name(i), process.incarnation);
            }
            Action::Report(i) => {
                state.reports_left -= 1;
                let process = &state.processes[i];
                let standing = if process.runs { Standing::Serving } else { Standing::Absent };
                let (hall, incarnation) = ("a".to_owned(), process.incarnation);
                let seen = Command::Seen {
                    name: name(i),
                    hall,
                    incarnation,
                    standing,
                    version: String::new(),
                    settings: String::new(),
                    now_ms: 1,
                };
                state.in_flight.push(seen.encode());
            }
            Action::Expire => {
                state.expiries_left -= 1;
                state.in_flight.push(Command::Time { now_ms: 5_000 }.encode());
            }
            Action::NewLeader => {
                state.leader_changes_left -= 1;
                state.in_flight.clear(); // commands that are not committed may be lost
                if self.0 == InjectedBug::NewLeaderDropsPermits {
                    let mut rollout = replicated_state(&state);
                    rollout.directors.values_mut().for_each(|d| d.permit = None);
                    state.replicated = canonical_bytes(&rollout);
                }
            }
        }
        state.in_flight.sort(); // any of them may be committed next, so their order is irrelevant
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("never more out by permit than the budget", |_, state: &State| {
                state.processes.iter().filter(|p| p.out_by_permit).count() <= BUDGET
            }),
            Property::always("none granted beyond the budget of what is known to be out", |_, s: &State| {
                !s.budget_exceeded
            }),
            Property::sometimes("a director leaves by permit and returns", |_, state: &State| {
                let rollout = replicated_state(state);
                rollout.last_permit > 0
                    && rollout.directors.values().all(|d| !d.is_out() && rollout.halted.is_none())
            }),
            Property::sometimes(
                "a second permit is granted after the first is released",
                |_, state: &State| replicated_state(state).last_permit == 2,
            ),
        ]
    }
}

#[test]
fn no_interleaving_exceeds_a_budget() {
    let checker = PermitModel(InjectedBug::None).checker().threads(4).spawn_bfs().join();
    checker.assert_properties();
    assert!(checker.unique_state_count() > 10_000, "{}", checker.unique_state_count());
}

#[test]
fn the_model_check_finds_each_injected_bug() {
    for bug in [
        InjectedBug::ReleaseOnExpiry,
        InjectedBug::IgnoreLostDirectors,
        InjectedBug::NewLeaderDropsPermits,
        InjectedBug::ReleaseOnAnyReport,
        InjectedBug::UseReturnedPermit,
    ] {
        let any = HasDiscoveries::AnyFailures;
        let checker = PermitModel(bug).checker().threads(4).finish_when(any).spawn_bfs().join();
        let found = checker.discoveries();
        let violated = found.keys().any(|name| name.starts_with("never") || name.starts_with("none"));
        assert!(violated, "{bug:?} is not found");
    }
}
