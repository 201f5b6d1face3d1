//! Tests of granting, refusing and releasing directors' permits.
use stonewharf_rollout::{Command, DisruptionBudgets, Member, Reconciler, Refusal, Reply, Rollout, Standing};

fn fleet() -> Rollout {
    let budgets = DisruptionBudgets {
        directors: 2,
        step_ms: 1_000,
        longest_ms: 60_000,
        ask_ms: 0,
        ..DisruptionBudgets::default()
    };
    let mut rollout = Rollout { budgets, ..Rollout::default() };
    for (i, hall) in ["a", "a", "b", "b", "c"].into_iter().enumerate() {
        report_director(&mut rollout, &format!("d{i}"), hall, 1, Standing::Serving, 10_000);
    }
    rollout
}

fn report_director(
    rollout: &mut Rollout,
    name: &str,
    hall: &str,
    incarnation: u64,
    standing: Standing,
    now_ms: u64,
) {
    let (name, hall) = (name.to_owned(), hall.to_owned());
    rollout.apply_command(Command::Seen {
        name,
        hall,
        incarnation,
        standing,
        version: String::new(),
        settings: String::new(),
        now_ms,
    });
}

fn request_permit(rollout: &mut Rollout, name: &str, now_ms: u64) -> Reply {
    rollout.apply_command(Command::Ask { name: name.into(), by: "SIGTERM".into(), now_ms })
}

fn permit_number(reply: Reply) -> u64 {
    let Reply::Permit(permit) = reply else { panic!("{reply:?}") };
    permit.number
}

#[test]
fn permits_respect_fleet_and_hall_budgets_and_the_step_interval() {
    let mut rollout = fleet();
    assert_eq!(permit_number(request_permit(&mut rollout, "d0", 20_000)), 1);
    assert_eq!(permit_number(request_permit(&mut rollout, "d0", 20_100)), 1, "requests are idempotent");
    assert_eq!(request_permit(&mut rollout, "d2", 20_400), Reply::Refused(Refusal::TooSoon(600)));
    let of_hall = request_permit(&mut rollout, "d1", 22_000);
    assert!(matches!(of_hall, Reply::Refused(Refusal::Hall(hall, ..)) if hall == "a"));
    assert_eq!(permit_number(request_permit(&mut rollout, "d2", 22_000)), 2);
    let refused = request_permit(&mut rollout, "d4", 24_000);
    let Reply::Refused(why @ Refusal::Fleet(..)) = refused else { panic!("{refused:?}") };
    assert_eq!(why.to_string(), "budget of the fleet: 2 may be out, and 2 are: d0 d2");
    assert_eq!(request_permit(&mut rollout, "d9", 24_000), Reply::Refused(Refusal::Unknown));
}

#[test]
fn lost_directors_count_as_out_and_only_a_later_incarnation_in_service_releases_a_permit() {
    let mut rollout = fleet();
    report_director(&mut rollout, "d4", "c", 1, Standing::Absent, 11_000);
    assert_eq!(permit_number(request_permit(&mut rollout, "d0", 20_000)), 1);
    assert!(matches!(request_permit(&mut rollout, "d2", 22_000), Reply::Refused(Refusal::Fleet(..))));
    // A late report of the earlier incarnation is no proof of return, and neither is a report of its absence.
    report_director(&mut rollout, "d0", "a", 1, Standing::Serving, 23_000);
    report_director(&mut rollout, "d0", "a", 1, Standing::Absent, 24_000);
    assert_eq!(rollout.directors_out(None), ["d0", "d4"]);
    report_director(&mut rollout, "d0", "a", 2, Standing::Serving, 25_000);
    assert_eq!(rollout.directors_out(None), ["d4"]);
    assert_eq!(permit_number(request_permit(&mut rollout, "d2", 26_000)), 2);
    // An operator forgets a director that is gone permanently.
    rollout.apply_command(Command::Forget { name: "d4".into(), by: "ops".into() });
    assert_eq!(rollout.directors_out(None), ["d2"]);
    // A director in service cannot be forgotten.
    rollout.apply_command(Command::Forget { name: "d1".into(), by: "ops".into() });
    assert!(rollout.directors.contains_key("d1"));
}

#[test]
fn an_overdue_permit_halts_further_permits_and_still_counts_after_a_resume() {
    let mut rollout = fleet();
    assert_eq!(permit_number(request_permit(&mut rollout, "d0", 20_000)), 1);
    assert_eq!(rollout.next_deadline_ms(), Some(80_000));
    rollout.apply_command(Command::Time { now_ms: 80_000 });
    assert_eq!(rollout.halted.as_deref(), Some("permit 1 of d0 is overdue"));
    assert!(matches!(request_permit(&mut rollout, "d2", 81_000), Reply::Refused(Refusal::Halted(_))));
    rollout.apply_command(Command::Resume { by: "ops".into() });
    assert_eq!(rollout.directors_out(None), ["d0"], "an overdue permit still counts");
    assert_eq!(permit_number(request_permit(&mut rollout, "d2", 82_000)), 2);
    assert!(rollout.audit.iter().any(|a| a.what == "halted: permit 1 of d0 is overdue"));
    let restored = Rollout::restore(&rollout.snapshot()).expect("a snapshot decodes");
    assert_eq!(restored, rollout);
}

#[test]
fn only_the_number_of_the_held_permit_returns_it() {
    let mut rollout = fleet();
    assert_eq!(permit_number(request_permit(&mut rollout, "d0", 20_000)), 1);
    rollout.apply_command(Command::Return { name: "d0".into(), number: 7 });
    assert_eq!(rollout.directors_out(None), ["d0"]);
    rollout.apply_command(Command::Return { name: "d0".into(), number: 1 });
    assert!(rollout.directors_out(None).is_empty());
    assert_eq!(permit_number(request_permit(&mut rollout, "d1", 22_000)), 2, "numbers only grow");
    assert_eq!(rollout.apply(&[250, 3]), Reply::Unreadable);
}

#[test]
fn the_reconciler_proposes_each_change_once_and_reports_a_return_after_a_second() {
    let mut rollout = fleet();
    let budgets = rollout.budgets.clone();
    let mut reconciler = Reconciler::new();
    let member = |i: usize, incarnation, serving, in_fleet| Member {
        name: format!("d{i}"),
        hall: ["a", "a", "b", "b", "c"][i].into(),
        incarnation,
        serving,
        in_fleet,
        version: String::new(),
        settings: String::new(),
    };
    let mut view: Vec<Member> = (0..5).map(|i| member(i, 1, true, true)).collect();
    assert!(reconciler.reconcile_directors(20_000, &rollout, &budgets, &view, true).is_empty());
    view[3] = member(3, 1, false, false);
    assert!(
        reconciler.reconcile_directors(20_050, &rollout, &budgets, &view, true).is_empty(),
        "not absent for long enough"
    );
    assert!(
        reconciler.reconcile_directors(20_400, &rollout, &budgets, &view, false).is_empty(),
        "the view is unreliable"
    );
    let commands = reconciler.reconcile_directors(20_400, &rollout, &budgets, &view, true);
    assert_eq!(commands.len(), 1);
    assert!(
        reconciler.reconcile_directors(20_450, &rollout, &budgets, &view, true).is_empty(),
        "proposed only once"
    );
    commands.into_iter().for_each(|c| drop(rollout.apply_command(c)));
    assert_eq!(rollout.directors_out(None), ["d3"]);
    view[3] = member(3, 2, true, true);
    assert!(reconciler.reconcile_directors(21_000, &rollout, &budgets, &view, true).is_empty());
    let commands = reconciler.reconcile_directors(22_000, &rollout, &budgets, &view, true);
    commands.into_iter().for_each(|c| drop(rollout.apply_command(c)));
    assert!(rollout.directors_out(None).is_empty());
    // Changed budgets in the leader's file are put in force.
    let changed_budgets = DisruptionBudgets { directors: 1, ..budgets };
    let commands = reconciler.reconcile_directors(23_000, &rollout, &changed_budgets, &view, true);
    commands.into_iter().for_each(|c| drop(rollout.apply_command(c)));
    assert_eq!(rollout.budgets.directors, 1);
}
