//! Releases: waves, what halts one, the way back, and the test that judges a wave.
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{Rng, SeedableRng};
use stonewharf_rollout::{
    Command, DisruptionBudgets, Health, NON_INFERIORITY_MARGIN, Phase, Refusal, ReleasePlan, Reply, Rollout,
    Standing, Verdict, WaveAnalysis,
};

const DIRECTORS: usize = 10;

fn name(i: usize) -> String {
    format!("d{i}")
}

/// Ten directors of two halls, three out at once; a release to version 2 in waves of one, four and all.
struct Fleet {
    state: Rollout,
    now_ms: u64,
    lives: Vec<u64>,
}

impl Fleet {
    fn new() -> Fleet {
        let budgets = DisruptionBudgets {
            directors: 3,
            directors_of_hall: 2,
            step_ms: 0,
            longest_ms: 60_000,
            ..DisruptionBudgets::default()
        };
        let state = Rollout { budgets, ..Rollout::default() };
        let mut fleet = Fleet { state, now_ms: 10_000, lives: vec![1; DIRECTORS] };
        (0..DIRECTORS).for_each(|i| fleet.seen(i, Standing::Serving, "1"));
        let plan = ReleasePlan {
            name: "two".into(),
            version: "2".into(),
            waves: vec![1, 40, 100],
            watch_ms: 10_000,
            ..ReleasePlan::default()
        };
        assert_eq!(fleet.take(Command::ReleaseStart { plan, by: "ops".into(), now_ms: 10_000 }), Reply::Done);
        fleet
    }

    fn take(&mut self, command: Command) -> Reply {
        // Any director may lead from here on: what it knows is what is agreed.
        self.state = Rollout::restore(&self.state.snapshot()).expect("own bytes");
        self.state.apply_command(command)
    }

    fn seen(&mut self, i: usize, standing: Standing, version: &str) {
        self.now_ms += 100;
        let hall = if i.is_multiple_of(2) { "a" } else { "b" };
        self.take(Command::Seen {
            name: name(i),
            hall: hall.into(),
            incarnation: self.lives[i],
            standing,
            version: version.into(),
            settings: String::new(),
            now_ms: self.now_ms,
        });
    }

    fn step(&mut self, i: usize) -> Reply {
        self.take(Command::ReleaseStep { name: name(i), by: "sup".into(), now_ms: self.now_ms })
    }

    /// A supervisor's whole step.
    fn restart(&mut self, i: usize, version: &str) {
        assert!(matches!(self.step(i), Reply::Permit(_)), "d{i}");
        self.seen(i, Standing::Absent, "");
        self.lives[i] += 1;
        self.seen(i, Standing::Serving, version);
    }

    fn pass(&mut self) {
        let watch = self.state.release.as_ref().expect("there").watches;
        self.now_ms += 10_000;
        self.take(Command::ReleasePassed { watch, now_ms: self.now_ms });
    }

    fn phase(&self) -> &Phase {
        &self.state.release.as_ref().expect("there").phase
    }

    fn watched(&self) -> bool {
        self.state.release.as_ref().expect("there").is_watched()
    }
}

fn why(reply: Reply) -> String {
    let Reply::Refused(why) = reply else { panic!("{reply:?}") };
    why.to_string()
}

#[test]
fn waves_come_one_after_another_each_when_the_one_before_passed() {
    let mut fleet = Fleet::new();
    assert!(why(fleet.step(1)).contains("wave 2 has not started yet"));
    assert!(!fleet.watched());
    fleet.restart(0, "2");
    assert!(fleet.watched());
    assert_eq!(fleet.step(0), Reply::Done, "it is changed");
    // A verdict of another watch changes nothing.
    fleet.take(Command::ReleasePassed { watch: 9, now_ms: 99_000 });
    assert!(why(fleet.step(1)).contains("wave 2"));
    fleet.pass();
    assert!(!fleet.watched());
    for i in [1, 2, 3] {
        fleet.restart(i, "2");
    }
    assert!(fleet.watched());
    fleet.pass();
    for i in 4..DIRECTORS {
        fleet.restart(i, "2");
    }
    fleet.pass();
    assert_eq!(fleet.phase(), &Phase::Done);
    assert!(why(fleet.step(3)).contains("no release"));
}

#[test]
fn a_changed_one_that_dies_or_comes_back_wrong_halts_it_and_only_a_person_lets_it_go_on() {
    let mut fleet = Fleet::new();
    fleet.restart(0, "2");
    fleet.seen(0, Standing::Absent, "");
    assert!(matches!(fleet.phase(), Phase::Halted(why) if why.contains("d0, changed in it, was lost")));
    fleet.lives[0] += 1;
    fleet.seen(0, Standing::Serving, "2");
    assert!(matches!(fleet.step(1), Reply::Refused(Refusal::Halted(_))), "it stays halted");
    fleet.take(Command::ReleaseResume { by: "ops".into(), now_ms: fleet.now_ms });
    assert!(fleet.watched());
    fleet.pass();
    fleet.restart(1, "1");
    assert!(matches!(fleet.phase(), Phase::Halted(why) if why.contains("d1 came back without")));
}

#[test]
fn a_changed_one_that_dies_and_is_back_before_it_is_missed_halts_it_all_the_same() {
    let mut fleet = Fleet::new();
    fleet.restart(0, "2");
    fleet.lives[0] += 1;
    fleet.seen(0, Standing::Serving, "2");
    assert!(matches!(fleet.phase(), Phase::Halted(why) if why.contains("was lost and is back")));
    // An unchanged one that does is the record's matter.
    let mut fleet = Fleet::new();
    fleet.restart(0, "2");
    fleet.lives[7] += 1;
    fleet.seen(7, Standing::Serving, "1");
    assert!(fleet.watched());
    assert!(fleet.state.audit.iter().any(|a| a.what.contains("restarted without a permit")));
}

#[test]
fn others_that_are_lost_and_an_overdue_permit_halt_it() {
    let mut fleet = Fleet::new();
    fleet.restart(0, "2");
    fleet.seen(8, Standing::Absent, "");
    assert_eq!(fleet.phase(), &Phase::Forward, "one alone is the budgets' matter");
    fleet.seen(9, Standing::Absent, "");
    assert!(matches!(fleet.phase(), Phase::Halted(why) if why.contains("in doubt")));
    let mut fleet = Fleet::new();
    assert!(matches!(fleet.step(0), Reply::Permit(_)));
    fleet.seen(0, Standing::Absent, "");
    fleet.now_ms += 70_000;
    fleet.seen(1, Standing::Serving, "1");
    assert!(matches!(fleet.phase(), Phase::Halted(why) if why.contains("overdue")));
}

#[test]
fn back_takes_the_newest_wave_first_under_the_same_budgets_also_in_the_middle_of_one() {
    let mut fleet = Fleet::new();
    fleet.restart(0, "2");
    fleet.pass();
    fleet.restart(1, "2");
    assert!(matches!(fleet.step(2), Reply::Permit(_)), "out when it is called back");
    fleet.take(Command::ReleaseBack { by: "ops".into(), now_ms: fleet.now_ms });
    assert!(why(fleet.step(0)).contains("wave 2 has to be rolled back first"));
    assert_eq!(fleet.step(7), Reply::Done, "it was never changed");
    fleet.lives[2] += 1;
    fleet.seen(2, Standing::Serving, "1");
    fleet.restart(1, "1");
    fleet.restart(0, "1");
    assert_eq!(fleet.phase(), &Phase::Returned);
    assert!(fleet.state.audit.iter().any(|a| a.what.contains("all that was changed is back")));
}

#[test]
fn plans_that_make_no_sense_and_a_second_release_are_refused() {
    let mut fleet = Fleet::new();
    let start = |plan: ReleasePlan| Command::ReleaseStart { plan, by: "ops".into(), now_ms: 1 };
    let good = ReleasePlan {
        name: "x".into(),
        version: "3".into(),
        waves: vec![100],
        watch_ms: 1_000,
        ..ReleasePlan::default()
    };
    assert!(why(fleet.take(start(good.clone()))).contains("another release"));
    fleet.state.release = None;
    for (bad, told) in [
        (ReleasePlan { waves: vec![50, 20, 100], ..good.clone() }, "rising"),
        (ReleasePlan { waves: vec![50], ..good.clone() }, "the last 100"),
        (ReleasePlan { version: String::new(), ..good.clone() }, "nothing changes"),
        (ReleasePlan { version: "1".into(), ..good.clone() }, "run that already"),
        (ReleasePlan { watch_ms: 1, ..good.clone() }, "watch"),
    ] {
        assert!(why(fleet.take(start(bad))).contains(told), "{told}");
    }
    assert_eq!(fleet.take(start(good)), Reply::Done);
}

/// Watches a wave: each director takes so many requests a second and loses a share of them; what came of it,
/// and after how many seconds.
fn judged(seed: u64, per_s: u64, lost: f64, lost_changed: f64) -> (Verdict, f64) {
    let mut fleet = Fleet::new();
    fleet.restart(0, "2");
    let mut dice = ChaCha8Rng::seed_from_u64(seed);
    let mut counts = [Health::default(); DIRECTORS];
    let mut judge = WaveAnalysis::default();
    let since = fleet.state.release.as_ref().and_then(|r| r.watched_since).expect("watched");
    for step in 0.. {
        let now = since + 500 * step;
        for (i, health) in counts.iter_mut().enumerate() {
            for _ in 0..per_s / 2 {
                let lost = if i == 0 { lost_changed } else { lost };
                let chance = dice.next_u64() as f64 / u64::MAX as f64;
                health.taken += 1;
                if chance < lost { health.refused += 1 } else { health.served += 1 }
            }
            judge.record(now, &fleet.state, &name(i), *health);
        }
        if let Some(verdict) = judge.verdict(now, &fleet.state) {
            return (verdict, (now - since) as f64 / 1e3);
        }
    }
    unreachable!()
}

#[test]
fn noise_halts_no_wave_and_a_loss_of_a_twentieth_passes_none() {
    let (mut halted, mut passed) = (0, 0);
    for seed in 0..200 {
        let (verdict, _) = judged(seed, 40, 0.08, 0.08);
        halted += usize::from(verdict != Verdict::Passed);
        let (verdict, _) = judged(1_000 + seed, 40, 0.08, 0.08 + NON_INFERIORITY_MARGIN);
        passed += usize::from(verdict == Verdict::Passed);
    }
    assert!(halted <= 2, "{halted} of 200 good waves halted");
    assert!(passed <= 14, "{passed} of 200 waves with a loss of 5% passed (one-sided 95%)");
}

#[test]
fn a_loss_of_a_tenth_halts_within_ten_seconds_of_watching() {
    for seed in 0..50 {
        let (verdict, after_s) = judged(seed, 50, 0.02, 0.12);
        assert!(
            matches!(&verdict, Verdict::Halt(why) if why.contains("less than the unchanged")),
            "{verdict:?}"
        );
        assert!(after_s <= 10.0, "{after_s}");
    }
}

#[test]
fn a_wave_with_too_few_requests_to_tell_halts_in_the_end_and_says_so() {
    let (verdict, after_s) = judged(1, 2, 0.3, 0.3);
    assert!(matches!(&verdict, Verdict::Halt(why) if why.contains("too few requests")), "{verdict:?}");
    assert!(after_s >= 50.0);
}
