//! Tests of releases: waves, halts, rollback, and the statistical test of a wave.
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

/// Ten directors in two halls, at most three out at once, and a release to version 2 in waves that reach one,
/// four and all directors.
struct Fleet {
    state: Rollout,
    now_ms: u64,
    incarnations: Vec<u64>,
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
        let mut fleet = Fleet { state, now_ms: 10_000, incarnations: vec![1; DIRECTORS] };
        (0..DIRECTORS).for_each(|i| fleet.report(i, Standing::Serving, "1"));
        let plan = ReleasePlan {
            name: "two".into(),
            version: "2".into(),
            waves: vec![1, 40, 100],
            watch_ms: 10_000,
            ..ReleasePlan::default()
        };
        assert_eq!(
            fleet.apply(Command::ReleaseStart { plan, by: "ops".into(), now_ms: 10_000 }),
            Reply::Done
        );
        fleet
    }

    fn apply(&mut self, command: Command) -> Reply {
        // Any director may become leader here: nothing but the encoded state carries over.
        self.state = Rollout::restore(&self.state.snapshot()).expect("a snapshot decodes");
        self.state.apply_command(command)
    }

    fn report(&mut self, i: usize, standing: Standing, version: &str) {
        self.now_ms += 100;
        let hall = if i.is_multiple_of(2) { "a" } else { "b" };
        self.apply(Command::Seen {
            name: name(i),
            hall: hall.into(),
            incarnation: self.incarnations[i],
            standing,
            version: version.into(),
            settings: String::new(),
            now_ms: self.now_ms,
        });
    }

    fn request_step(&mut self, i: usize) -> Reply {
        self.apply(Command::ReleaseStep { name: name(i), by: "sup".into(), now_ms: self.now_ms })
    }

    /// Restarts a director as a supervisor does: permit, absence, and a new incarnation in service.
    fn restart(&mut self, i: usize, version: &str) {
        assert!(matches!(self.request_step(i), Reply::Permit(_)), "d{i}");
        self.report(i, Standing::Absent, "");
        self.incarnations[i] += 1;
        self.report(i, Standing::Serving, version);
    }

    fn pass_watch(&mut self) {
        let watch = self.state.release.as_ref().expect("a release").watches;
        self.now_ms += 10_000;
        self.apply(Command::ReleasePassed { watch, now_ms: self.now_ms });
    }

    fn phase(&self) -> &Phase {
        &self.state.release.as_ref().expect("a release").phase
    }

    fn watched(&self) -> bool {
        self.state.release.as_ref().expect("a release").is_watched()
    }
}

fn refusal_text(reply: Reply) -> String {
    let Reply::Refused(why) = reply else { panic!("{reply:?}") };
    why.to_string()
}

#[test]
fn each_wave_starts_only_after_the_one_before_passed() {
    let mut fleet = Fleet::new();
    assert!(refusal_text(fleet.request_step(1)).contains("wave 2 has not started yet"));
    assert!(!fleet.watched());
    fleet.restart(0, "2");
    assert!(fleet.watched());
    assert_eq!(fleet.request_step(0), Reply::Done, "already changed");
    // A verdict on another watch is ignored.
    fleet.apply(Command::ReleasePassed { watch: 9, now_ms: 99_000 });
    assert!(refusal_text(fleet.request_step(1)).contains("wave 2"));
    fleet.pass_watch();
    assert!(!fleet.watched());
    for i in [1, 2, 3] {
        fleet.restart(i, "2");
    }
    assert!(fleet.watched());
    fleet.pass_watch();
    for i in 4..DIRECTORS {
        fleet.restart(i, "2");
    }
    fleet.pass_watch();
    assert_eq!(fleet.phase(), &Phase::Done);
    assert!(refusal_text(fleet.request_step(3)).contains("no release"));
}

#[test]
fn a_changed_director_that_is_lost_or_returns_unchanged_halts_the_release_until_resumed() {
    let mut fleet = Fleet::new();
    fleet.restart(0, "2");
    fleet.report(0, Standing::Absent, "");
    assert!(matches!(fleet.phase(), Phase::Halted(why) if why.contains("d0, changed in it, was lost")));
    fleet.incarnations[0] += 1;
    fleet.report(0, Standing::Serving, "2");
    assert!(matches!(fleet.request_step(1), Reply::Refused(Refusal::Halted(_))), "still halted");
    fleet.apply(Command::ReleaseResume { by: "ops".into(), now_ms: fleet.now_ms });
    assert!(fleet.watched());
    fleet.pass_watch();
    fleet.restart(1, "1");
    assert!(matches!(fleet.phase(), Phase::Halted(why) if why.contains("d1 came back without")));
}

#[test]
fn a_crash_of_a_changed_director_halts_the_release_even_if_it_restarts_before_detection() {
    let mut fleet = Fleet::new();
    fleet.restart(0, "2");
    fleet.incarnations[0] += 1;
    fleet.report(0, Standing::Serving, "2");
    assert!(matches!(fleet.phase(), Phase::Halted(why) if why.contains("was lost and is back")));
    // The same crash of an unchanged director is only audited.
    let mut fleet = Fleet::new();
    fleet.restart(0, "2");
    fleet.incarnations[7] += 1;
    fleet.report(7, Standing::Serving, "1");
    assert!(fleet.watched());
    assert!(fleet.state.audit.iter().any(|a| a.what.contains("restarted without a permit")));
}

#[test]
fn lost_unchanged_directors_and_an_overdue_permit_halt_the_release() {
    let mut fleet = Fleet::new();
    fleet.restart(0, "2");
    fleet.report(8, Standing::Absent, "");
    assert_eq!(fleet.phase(), &Phase::Forward, "a single loss is left to the budgets");
    fleet.report(9, Standing::Absent, "");
    assert!(matches!(fleet.phase(), Phase::Halted(why) if why.contains("in doubt")));
    let mut fleet = Fleet::new();
    assert!(matches!(fleet.request_step(0), Reply::Permit(_)));
    fleet.report(0, Standing::Absent, "");
    fleet.now_ms += 70_000;
    fleet.report(1, Standing::Serving, "1");
    assert!(matches!(fleet.phase(), Phase::Halted(why) if why.contains("overdue")));
}

#[test]
fn rollback_starts_with_the_newest_wave_under_the_same_budgets_even_within_a_wave() {
    let mut fleet = Fleet::new();
    fleet.restart(0, "2");
    fleet.pass_watch();
    fleet.restart(1, "2");
    assert!(matches!(fleet.request_step(2), Reply::Permit(_)), "out when the rollback starts");
    fleet.apply(Command::ReleaseBack { by: "ops".into(), now_ms: fleet.now_ms });
    assert!(refusal_text(fleet.request_step(0)).contains("wave 2 has to be rolled back first"));
    assert_eq!(fleet.request_step(7), Reply::Done, "never changed");
    fleet.incarnations[2] += 1;
    fleet.report(2, Standing::Serving, "1");
    fleet.restart(1, "1");
    fleet.restart(0, "1");
    assert_eq!(fleet.phase(), &Phase::Returned);
    assert!(fleet.state.audit.iter().any(|a| a.what.contains("all that was changed is back")));
}

#[test]
fn invalid_plans_and_a_second_release_are_refused() {
    let mut fleet = Fleet::new();
    let start = |plan: ReleasePlan| Command::ReleaseStart { plan, by: "ops".into(), now_ms: 1 };
    let good = ReleasePlan {
        name: "x".into(),
        version: "3".into(),
        waves: vec![100],
        watch_ms: 1_000,
        ..ReleasePlan::default()
    };
    assert!(refusal_text(fleet.apply(start(good.clone()))).contains("another release"));
    fleet.state.release = None;
    for (bad, expected) in [
        (ReleasePlan { waves: vec![50, 20, 100], ..good.clone() }, "rising"),
        (ReleasePlan { waves: vec![50], ..good.clone() }, "the last 100"),
        (ReleasePlan { version: String::new(), ..good.clone() }, "nothing changes"),
        (ReleasePlan { version: "1".into(), ..good.clone() }, "run that already"),
        (ReleasePlan { watch_ms: 1, ..good.clone() }, "watch"),
    ] {
        assert!(refusal_text(fleet.apply(start(bad))).contains(expected), "{expected}");
    }
    assert_eq!(fleet.apply(start(good)), Reply::Done);
}

/// Watches a wave in which each director receives `requests_per_s` requests and loses a share of them.
/// Returns the verdict, and after how many seconds it came.
fn watch_wave(seed: u64, requests_per_s: u64, loss: f64, loss_of_changed: f64) -> (Verdict, f64) {
    let mut fleet = Fleet::new();
    fleet.restart(0, "2");
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut counts = [Health::default(); DIRECTORS];
    let mut analysis = WaveAnalysis::default();
    let since = fleet.state.release.as_ref().and_then(|r| r.watched_since).expect("watched");
    for step in 0.. {
        let now = since + 500 * step;
        for (i, health) in counts.iter_mut().enumerate() {
            for _ in 0..requests_per_s / 2 {
                let loss = if i == 0 { loss_of_changed } else { loss };
                let chance = rng.next_u64() as f64 / u64::MAX as f64;
                health.taken += 1;
                if chance < loss { health.refused += 1 } else { health.served += 1 }
            }
            analysis.record(now, &fleet.state, &name(i), *health);
        }
        if let Some(verdict) = analysis.verdict(now, &fleet.state) {
            return (verdict, (now - since) as f64 / 1e3);
        }
    }
    unreachable!()
}

#[test]
fn noise_rarely_halts_a_wave_and_a_loss_at_the_margin_rarely_passes() {
    let (mut halted, mut passed) = (0, 0);
    for seed in 0..200 {
        let (verdict, _) = watch_wave(seed, 40, 0.08, 0.08);
        halted += usize::from(verdict != Verdict::Passed);
        let (verdict, _) = watch_wave(1_000 + seed, 40, 0.08, 0.08 + NON_INFERIORITY_MARGIN);
        passed += usize::from(verdict == Verdict::Passed);
    }
    assert!(halted <= 2, "{halted} of 200 good waves halted");
    assert!(passed <= 14, "{passed} of 200 waves with a loss of 5% passed (one-sided 95%)");
}

#[test]
fn a_loss_of_a_tenth_halts_within_ten_seconds() {
    for seed in 0..50 {
        let (verdict, after_s) = watch_wave(seed, 50, 0.02, 0.12);
        assert!(
            matches!(&verdict, Verdict::Halt(why) if why.contains("less than the unchanged")),
            "{verdict:?}"
        );
        assert!(after_s <= 10.0, "{after_s}");
    }
}

#[test]
fn a_wave_with_too_few_requests_halts_after_the_last_look_with_that_reason() {
    let (verdict, after_s) = watch_wave(1, 2, 0.3, 0.3);
    assert!(matches!(&verdict, Verdict::Halt(why) if why.contains("too few requests")), "{verdict:?}");
    assert!(after_s >= 50.0);
}
