//! Every interleaving of two that ask, a crash, restarts, late and repeated news, an expiry and a change of
//! leader, over the real state: never more out by permit than the budget, and none given beside what is
//! known to be out (S1). Each planted error is found.
use stateright::{Checker, HasDiscoveries, Model, Property};
use stonewharf_rollout::{Command, DisruptionBudgets, HolderAction, PermitHolder, Reply, Rollout, Standing};

const DIRECTORS: usize = 3;
const BUDGET: usize = 1;

/// What is planted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Plant {
    Nothing,
    /// A permit that is overdue is free.
    FreeOnExpiry,
    /// What is lost without a permit does not count.
    CountOnlyPermits,
    /// A new leader begins with no permits.
    ForgetAfterRestart,
    /// Any sight of its holder in service frees a permit, also of the life that was let go.
    FreeOnAnySight,
    /// A holder acts on a permit that it gave back.
    ActOnReturned,
}

/// A process, as it truly is.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Process {
    life: u64,
    runs: bool,
    /// It left by a permit and has not run since.
    by_permit: bool,
    /// What it has heard of what is agreed, which may be old by now.
    heard: Option<Vec<u8>>,
    holder: PermitHolder,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    agreed: Vec<u8>,
    processes: Vec<Process>,
    /// Commands under way: they may be agreed in any order, or lost with their leader.
    under_way: Vec<Vec<u8>>,
    asks: u8,
    crashes: u8,
    restarts: u8,
    looks: u8,
    expiries: u8,
    leaders: u8,
    /// A permit was given beside what was known to be out.
    broken: bool,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum Action {
    Ask(usize),
    Agree(usize),
    Hear(usize),
    Leave(usize),
    Stay(usize),
    Crash(usize),
    Restart(usize),
    Look(usize),
    Expire,
    NewLeader,
}

struct World(Plant);

fn name(i: usize) -> String {
    format!("d{i}")
}

fn written(rollout: &Rollout) -> Vec<u8> {
    let mut rollout = rollout.clone();
    rollout.audit_total = 0;
    rollout.directors.values_mut().for_each(|d| d.refused = None);
    rollout.audit.clear(); // tells of the past, and would make every path a state of its own
    rollout.snapshot()
}

fn read(state: &State) -> Rollout {
    Rollout::restore(&state.agreed).expect("own bytes")
}

impl World {
    fn agree(&self, state: &mut State, command: &[u8]) {
        let mut rollout = read(state);
        // What is known to be out, counted apart from the code under test: a permit whose holder does not
        // truly run in a later life, or the last word agreed of it.
        let out = |r: &Rollout, state: &State| {
            let counts = |i: &usize| {
                r.directors.get(&name(*i)).is_some_and(|d| d.standing == Standing::Absent)
                    || given(state, r, *i)
            };
            (0..DIRECTORS).filter(counts).count()
        };
        let before = (out(&rollout, state), rollout.last_permit);
        if self.0 == Plant::CountOnlyPermits {
            let mut blind = rollout.clone();
            blind.directors.values_mut().for_each(|d| d.standing = Standing::Serving);
            if let Reply::Permit(permit) = blind.apply(command)
                && permit.number > rollout.last_permit
            {
                (rollout.last_permit, rollout.last_permit_ms) = (blind.last_permit, blind.last_permit_ms);
                for (name, director) in blind.directors {
                    rollout.directors.entry(name).and_modify(|d| d.permit = director.permit);
                }
            }
        }
        rollout.apply(command);
        state.broken |= rollout.last_permit > before.1 && before.0 + 1 > BUDGET;
        match self.0 {
            Plant::FreeOnExpiry => {
                rollout.directors.values_mut().for_each(|d| drop(d.permit.take_if(|p| p.overdue)));
                rollout.halted = None;
            }
            Plant::FreeOnAnySight => {
                if let Ok(Command::Seen { name, standing: Standing::Serving, .. }) =
                    postcard::from_bytes(command)
                {
                    rollout.directors.entry(name).and_modify(|d| d.permit = None);
                }
            }
            _ => {}
        }
        state.agreed = written(&rollout);
    }
}

/// A permit that is agreed and whose holder is truly not back.
fn given(state: &State, rollout: &Rollout, i: usize) -> bool {
    let permit = rollout.directors.get(&name(i)).and_then(|d| d.permit.as_ref());
    let back = |life: u64| state.processes[i].runs && state.processes[i].life > life;
    permit.is_some_and(|p| !back(p.incarnation)) || state.processes[i].by_permit
}

impl Model for World {
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
            Process { life: 1, runs: true, by_permit: false, heard: None, holder }
        };
        vec![State {
            agreed: written(&rollout),
            processes: (0..DIRECTORS).map(process).collect(),
            under_way: Vec::new(),
            asks: 2,
            crashes: 1,
            restarts: 1,
            looks: 2,
            expiries: 1,
            leaders: 1,
            broken: false,
        }]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        for (i, process) in state.processes.iter().enumerate() {
            if state.asks > 0 && i < 2 {
                actions.push(Action::Ask(i));
            }
            if process.runs {
                let permit =
                    |bytes: &[u8]| process.holder.permit(&Rollout::restore(bytes).expect("own bytes"));
                let holds = process.heard.as_deref().and_then(permit);
                if holds.is_some() {
                    actions.extend([Action::Leave(i), Action::Stay(i)]);
                } else if permit(&state.agreed).is_some() {
                    actions.push(Action::Hear(i));
                }
                if state.crashes > 0 {
                    actions.push(Action::Crash(i));
                }
            } else if state.restarts > 0 {
                actions.push(Action::Restart(i));
            }
            if state.looks > 0 {
                actions.push(Action::Look(i));
            }
        }
        actions.extend((0..state.under_way.len()).map(Action::Agree));
        if state.expiries > 0 {
            actions.push(Action::Expire);
        }
        if state.leaders > 0 {
            actions.push(Action::NewLeader);
        }
    }

    fn next_state(&self, last: &State, action: Action) -> Option<State> {
        let mut state = last.clone();
        match action {
            Action::Ask(i) => {
                state.asks -= 1;
                let by = "test".to_owned();
                state.under_way.push(Command::Ask { name: name(i), by, now_ms: 1 }.encode());
            }
            Action::Agree(k) => {
                let command = state.under_way.remove(k);
                self.agree(&mut state, &command);
            }
            Action::Hear(i) => state.processes[i].heard = Some(state.agreed.clone()),
            Action::Leave(i) => {
                let process = &mut state.processes[i];
                let heard = Rollout::restore(process.heard.as_deref()?).expect("own bytes");
                let HolderAction::Leave(Some(_)) = process.holder.poll(1, &heard) else { return None };
                (process.runs, process.by_permit, process.heard) = (false, true, None);
            }
            Action::Stay(i) => {
                let process = &mut state.processes[i];
                let heard = Rollout::restore(process.heard.as_deref()?).expect("own bytes");
                let life = process.life;
                state.under_way.push(process.holder.return_permit(&heard)?.encode());
                if self.0 == Plant::ActOnReturned {
                    process.holder = PermitHolder::new(&name(i), life);
                }
            }
            Action::Crash(i) => {
                state.crashes -= 1;
                let process = &mut state.processes[i];
                (process.runs, process.heard) = (false, None);
            }
            Action::Restart(i) => {
                state.restarts -= 1;
                let process = &mut state.processes[i];
                (process.life, process.runs, process.by_permit) = (process.life + 1, true, false);
                process.holder = PermitHolder::new(&name(i), process.life);
            }
            Action::Look(i) => {
                state.looks -= 1;
                let process = &state.processes[i];
                let standing = if process.runs { Standing::Serving } else { Standing::Absent };
                let (hall, incarnation) = ("a".to_owned(), process.life);
                let seen = Command::Seen {
                    name: name(i),
                    hall,
                    incarnation,
                    standing,
                    version: String::new(),
                    settings: String::new(),
                    now_ms: 1,
                };
                state.under_way.push(seen.encode());
            }
            Action::Expire => {
                state.expiries -= 1;
                state.under_way.push(Command::Time { now_ms: 5_000 }.encode());
            }
            Action::NewLeader => {
                state.leaders -= 1;
                state.under_way.clear(); // what was not agreed may be lost
                if self.0 == Plant::ForgetAfterRestart {
                    let mut rollout = read(&state);
                    rollout.directors.values_mut().for_each(|d| d.permit = None);
                    state.agreed = written(&rollout);
                }
            }
        }
        state.under_way.sort(); // any of them may be agreed next: their order means nothing
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("never more out by permit than the budget", |_, state: &State| {
                state.processes.iter().filter(|p| p.by_permit).count() <= BUDGET
            }),
            Property::always("none given beside what is known to be out", |_, s: &State| !s.broken),
            Property::sometimes("one leaves by permit and is back", |_, state: &State| {
                let agreed = read(state);
                agreed.last_permit > 0
                    && agreed.directors.values().all(|d| !d.is_out() && agreed.halted.is_none())
            }),
            Property::sometimes("a second permit is given after the first is free", |_, state: &State| {
                read(state).last_permit == 2
            }),
        ]
    }
}

#[test]
fn no_interleaving_passes_a_budget() {
    let checker = World(Plant::Nothing).checker().threads(4).spawn_bfs().join();
    checker.assert_properties();
    assert!(checker.unique_state_count() > 10_000, "{}", checker.unique_state_count());
}

#[test]
fn each_planted_error_is_found() {
    for plant in [
        Plant::FreeOnExpiry,
        Plant::CountOnlyPermits,
        Plant::ForgetAfterRestart,
        Plant::FreeOnAnySight,
        Plant::ActOnReturned,
    ] {
        let any = HasDiscoveries::AnyFailures;
        let checker = World(plant).checker().threads(4).finish_when(any).spawn_bfs().join();
        let found = checker.discoveries();
        let broken = found.keys().any(|name| name.starts_with("never") || name.starts_with("none"));
        assert!(broken, "{plant:?} is not found");
    }
}
