//! The rollout's real agreed state, watch and holders over hundreds of directors and streamers in simulated
//! time, with supervisors that ask as they would: how long a release and a replacement take against the least
//! that the budgets allow, and whether anything is ever out beyond them. No sessions are played here, and the
//! log is taken as given: its own tests and the lab have those.
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{RngCore, SeedableRng};
use serde::Serialize;
use stonewharf_rollout::{
    Command, DisruptionBudgets, DrainScope, HolderAction, ListedStreamer, Member, PermitHolder, Phase,
    Reconciler, ReleasePlan, Reply, Rollout,
};

/// Simulated milliseconds of a step.
const STEP_MS: u64 = 50;
/// From leaving to the end of the process, from there to the next start, and from a start to serving.
const GRACE_MS: u64 = 2_100;
const DOWN_MS: u64 = 500;
const START_MS: u64 = 1_000;
/// From what happens at a director to the leader's view, and from what is agreed to a director.
const VIEW_MS: u64 = 500;
const HEARD_MS: u64 = 250;
/// Between a supervisor's questions.
const ASK_MS: u64 = 300;
/// What the state asks beside: a second in service, and the leader's look.
const PROVEN_MS: u64 = 1_000;
/// A streamer's sessions end within, its replacement runs after, it is warm after.
const ENDS_MS: u64 = 6_000;
const REPLACED_MS: u64 = 2_000;
const WARM_MS: u64 = 12_000;
/// Nothing takes longer.
const LONGEST_MS: u64 = 24 * 3_600_000;

/// What is played.
#[derive(Clone, Debug, Serialize)]
pub struct RolloutPlan {
    /// Directors, dealt to four halls.
    pub directors: usize,
    /// Streamers, dealt to four halls and twelve racks.
    pub streamers: usize,
    /// Directors that may be out at once, and in a hall.
    pub out: (u32, u32),
    /// Streamers that may be out at once.
    pub streamers_out: u32,
    /// Waves of the release, percent.
    pub waves: Vec<u32>,
    /// How long each is watched, milliseconds.
    pub watch_ms: u64,
}

impl Default for RolloutPlan {
    fn default() -> Self {
        RolloutPlan {
            directors: 300,
            streamers: 600,
            out: (15, 6),
            streamers_out: 30,
            waves: vec![1, 10, 100],
            watch_ms: 30_000,
        }
    }
}

/// What came of it.
#[derive(Clone, Debug, Serialize)]
pub struct Rolled {
    /// Seconds that it took, and that the budgets allow at the least.
    pub took_s: f64,
    /// See `took_s`.
    pub least_s: f64,
    /// The most that was truly out at once, and its budget.
    pub out_most: usize,
    /// See `out_most`.
    pub budget: u32,
}

#[derive(Clone, Copy, PartialEq)]
enum Does {
    Serves,
    Leaves(u64),
    Down(u64),
    Starts(u64),
}

/// A release over all directors.
pub fn release(plan: &RolloutPlan, seed: u64) -> Rolled {
    let mut dice = ChaCha8Rng::seed_from_u64(seed);
    let budgets = DisruptionBudgets {
        directors: plan.out.0,
        directors_of_hall: plan.out.1,
        step_ms: 0,
        ..DisruptionBudgets::default()
    };
    let mut state = Rollout { budgets: budgets.clone(), ..Rollout::default() };
    let mut watch = Reconciler::new();
    let name = |i: usize| format!("d{i:04}");
    let mut does = vec![Does::Serves; plan.directors];
    let mut lives = vec![1u64; plan.directors];
    let mut holders: Vec<PermitHolder> =
        (0..plan.directors).map(|i| PermitHolder::new(&name(i), 1)).collect();
    let mut asks: Vec<u64> = (0..plan.directors).map(|_| dice.next_u64() % ASK_MS).collect();
    // What the leader sees, and what directors hear, both a while ago.
    let mut seen: Vec<(u64, Vec<Member>)> = Vec::new();
    let mut heard: Vec<(u64, Rollout)> = Vec::new();
    let (mut out_most, mut began, mut now) = (0, 0, 1_000_000u64);
    let end = now + LONGEST_MS;
    while now < end {
        now += STEP_MS;
        for i in 0..plan.directors {
            does[i] = match does[i] {
                Does::Leaves(at) if at <= now => Does::Down(now + DOWN_MS),
                Does::Down(at) if at <= now => {
                    lives[i] += 1;
                    holders[i] = PermitHolder::new(&name(i), lives[i]);
                    Does::Starts(now + START_MS)
                }
                Does::Starts(at) if at <= now => Does::Serves,
                as_it_was => as_it_was,
            };
        }
        out_most = out_most.max(does.iter().filter(|d| **d != Does::Serves).count());
        let members = (0..plan.directors).map(|i| Member {
            name: name(i),
            hall: format!("hall-{}", i % 4),
            incarnation: lives[i],
            serving: does[i] == Does::Serves,
            in_fleet: !matches!(does[i], Does::Down(_)),
            version: if lives[i] > 1 { "2" } else { "1" }.into(),
            settings: String::new(),
        });
        seen.push((now + VIEW_MS, members.collect()));
        let due = seen.partition_point(|(at, _)| *at <= now);
        if let Some((_, view)) = seen.drain(..due).next_back() {
            for command in watch.reconcile_directors(now, &state, &budgets, &view, true) {
                state.apply_command(command);
            }
        }
        if began == 0 && state.directors.len() == plan.directors {
            began = now;
            let (waves, watch_ms) = (plan.waves.clone(), plan.watch_ms);
            let plan = ReleasePlan {
                name: "model".into(),
                version: "2".into(),
                waves,
                watch_ms,
                ..ReleasePlan::default()
            };
            state.apply_command(Command::ReleaseStart { plan, by: "model".into(), now_ms: now });
        }
        for (i, ask) in asks.iter_mut().enumerate().filter(|_| began > 0) {
            if now % ASK_MS < STEP_MS && does[i] == Does::Serves && lives[i] == 1 && *ask <= now {
                *ask = now + dice.next_u64() % ASK_MS;
                state.apply_command(Command::ReleaseStep {
                    name: name(i),
                    by: "supervisor".into(),
                    now_ms: now,
                });
            }
        }
        heard.push((now + HEARD_MS, state.clone()));
        let due = heard.partition_point(|(at, _)| *at <= now);
        if let Some((_, state)) = heard.drain(..due).next_back() {
            for i in 0..plan.directors {
                if does[i] == Does::Serves && matches!(holders[i].poll(now, &state), HolderAction::Leave(_)) {
                    does[i] = Does::Leaves(now + GRACE_MS);
                }
            }
        }
        // All serve alike: a watch that is over has passed.
        let release = state.release.as_ref();
        let over =
            release.and_then(|r| r.watched_since.filter(|at| at + plan.watch_ms <= now).map(|_| r.watches));
        if let Some(watch) = over {
            state.apply_command(Command::ReleasePassed { watch, now_ms: now });
        }
        if state.release.as_ref().is_some_and(|r| r.phase == Phase::Done) {
            break;
        }
    }
    let once_ms = HEARD_MS + GRACE_MS + DOWN_MS + START_MS + VIEW_MS + PROVEN_MS;
    let slots = (plan.out.0).min(4 * plan.out.1) as usize;
    let (mut least_ms, mut done) = (0, 0);
    for percent in &plan.waves {
        let until = (plan.directors * *percent as usize).div_ceil(100).max(done + 1);
        least_ms += ((until - done).div_ceil(slots) as u64) * once_ms + plan.watch_ms;
        done = until;
    }
    let took_s = (now - began) as f64 / 1e3;
    Rolled { took_s, least_s: least_ms as f64 / 1e3, out_most, budget: plan.out.0 }
}

/// Each streamer drained, replaced and opened again, as many at a time as the budgets allow.
pub fn replacement(plan: &RolloutPlan, seed: u64) -> Rolled {
    let mut dice = ChaCha8Rng::seed_from_u64(seed);
    let budgets = DisruptionBudgets {
        streamers: plan.streamers_out,
        streamers_percent: 100,
        step_ms: 0,
        ..DisruptionBudgets::default()
    };
    let mut state = Rollout { budgets, ..Rollout::default() };
    let mut watch = Reconciler::new();
    let seen = |k: usize, up: bool| ListedStreamer {
        name: format!("s{k:04}"),
        hall: format!("hall-{}", k % 4),
        rack: (k % 12) as u32,
        kb: 1_000,
        up,
        gone: false,
    };
    #[derive(Clone, Copy, PartialEq)]
    enum Stage {
        Old,
        Ends(u64),
        Replaced(u64),
        New,
    }
    let mut stages = vec![Stage::Old; plan.streamers];
    let mut asks = 0;
    let (mut out_most, mut began, mut now) = (0, 0, 1_000_000u64);
    let end = now + LONGEST_MS;
    while now < end {
        now += STEP_MS;
        let list = (0..plan.streamers).map(|k| seen(k, !matches!(stages[k], Stage::Replaced(_)))).collect();
        if let Some(command) = watch.reconcile_streamers(now, &state, list, WARM_MS) {
            state.apply_command(command);
        }
        state.apply_command(Command::Time { now_ms: now });
        if state.streamers.len() < plan.streamers {
            continue;
        }
        began = if began == 0 { now } else { began };
        // Whoever replaces them asks for one after the other until it is refused.
        let mut given = true;
        for (k, stage) in stages.iter_mut().enumerate() {
            let (scope, by) = (DrainScope::Streamer(format!("s{k:04}")), "model".to_owned());
            match *stage {
                Stage::Old if given && asks <= now => {
                    let reply = state.apply_command(Command::Drain { scope, by, now_ms: now });
                    given = matches!(reply, Reply::Drained { .. });
                    if given {
                        *stage = Stage::Ends(now + HEARD_MS + ENDS_MS);
                    }
                }
                Stage::Ends(at) if at <= now => *stage = Stage::Replaced(now + REPLACED_MS),
                Stage::Replaced(at) if at <= now => {
                    *stage = Stage::New;
                    state.apply_command(Command::Open { scope, by, now_ms: now });
                }
                _ => {}
            }
        }
        if !given {
            asks = now + dice.next_u64() % ASK_MS;
        }
        let out = |k: &usize| matches!(stages[*k], Stage::Ends(_) | Stage::Replaced(_));
        out_most = out_most.max((0..plan.streamers).filter(out).count());
        if stages.iter().all(|s| *s == Stage::New) && state.streamers_out().is_empty() {
            break;
        }
    }
    let once_ms = HEARD_MS + ENDS_MS + REPLACED_MS + WARM_MS;
    let rounds = plan.streamers.div_ceil(plan.streamers_out.max(1) as usize) as u64;
    let (took_s, least_s) = ((now - began) as f64 / 1e3, (rounds * once_ms) as f64 / 1e3);
    Rolled { took_s, least_s, out_most, budget: plan.streamers_out }
}
