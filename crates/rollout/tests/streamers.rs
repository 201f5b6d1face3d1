//! Tests of drains of streamers: granting, refusing and releasing permits, and how a director applies drains.
use stonewharf_core::{
    ClassId, Entry, ListScope, PlacementLimits, Request, RequestId, Settings, Standing, StreamerId, TitleId,
    ViewerId, ZoneId,
};
use stonewharf_rollout::{
    Command, DisruptionBudgets, DrainScope, Drains, ListedStreamer, Reconciler, Refusal, Reply, Rollout,
    SharedDrains,
};

fn listed(k: u32, up: bool) -> ListedStreamer {
    let hall = if k.is_multiple_of(2) { "a" } else { "b" };
    ListedStreamer { name: format!("s{k}"), hall: hall.into(), rack: k % 3, kb: 1_000, up, gone: false }
}

/// Six streamers in two halls and three racks; half of the link capacity may be out.
fn fleet() -> Rollout {
    let budgets = DisruptionBudgets {
        streamers: 3,
        streamers_percent: 50,
        hall_percent: 100,
        rack_percent: 50,
        step_ms: 0,
        streamers_longest_ms: 60_000,
        ..DisruptionBudgets::default()
    };
    let mut rollout = Rollout { budgets, ..Rollout::default() };
    report_streamers(&mut rollout, (0..6).map(|k| listed(k, true)).collect(), 10_000);
    rollout
}

fn report_streamers(rollout: &mut Rollout, seen: Vec<ListedStreamer>, now_ms: u64) {
    rollout.apply_command(Command::Streamers { seen, warm_up_ms: 5_000, now_ms });
}

fn drain(rollout: &mut Rollout, scope: DrainScope, now_ms: u64) -> Reply {
    rollout.apply_command(Command::Drain { scope, by: "ops".into(), now_ms })
}

fn open(rollout: &mut Rollout, scope: DrainScope, now_ms: u64) {
    rollout.apply_command(Command::Open { scope, by: "ops".into(), now_ms });
}

fn refusal(reply: Reply) -> Refusal {
    let Reply::Refused(why) = reply else { panic!("{reply:?}") };
    why
}

#[test]
fn a_scope_is_drained_whole_or_not_at_all_and_drains_that_exceed_a_share_are_refused() {
    let mut rollout = fleet();
    let scope = DrainScope::Streamer("s1".into());
    assert_eq!(
        drain(&mut rollout, scope.clone(), 20_000),
        Reply::Drained { number: 1, names: vec!["s1".into()] }
    );
    assert_eq!(drain(&mut rollout, scope, 20_000), Reply::Drained { number: 1, names: vec!["s1".into()] });
    // Draining the rack's other streamer would exceed the share of the rack.
    assert_eq!(
        refusal(drain(&mut rollout, DrainScope::Streamer("s4".into()), 20_000)).to_string(),
        "budget of rack 1: 50% of its links may be out, 100% would be"
    );
    assert!(matches!(
        refusal(drain(&mut rollout, DrainScope::Hall("a".into()), 20_000)),
        Refusal::Streamers(4, ..)
    ));
    assert_eq!(rollout.streamers_out().len(), 1, "all of a scope or none");
    let hall = drain(&mut rollout, DrainScope::Hall("b".into()), 20_000);
    assert_eq!(hall, Reply::Drained { number: 2, names: vec!["s3".into(), "s5".into()] });
    assert_eq!(refusal(drain(&mut rollout, DrainScope::Hall("c".into()), 20_000)), Refusal::Unknown);
    rollout.budgets.streamers = 6;
    assert!(matches!(refusal(drain(&mut rollout, DrainScope::Streamer("s0".into()), 20_000)),
        Refusal::Share(what, 66, 50) if what == "the fleet"));
}

#[test]
fn streamers_not_in_service_count_as_out_and_a_permit_is_released_only_when_warm_and_in_service() {
    let mut rollout = fleet();
    report_streamers(&mut rollout, vec![listed(0, false), listed(2, false)], 11_000);
    let scope = DrainScope::Streamer("s1".into());
    drain(&mut rollout, scope.clone(), 20_000);
    assert!(matches!(
        refusal(drain(&mut rollout, DrainScope::Streamer("s3".into()), 20_000)),
        Refusal::Streamers(..)
    ));
    // The streamer fails while drained and is reopened; its permit is held until it is in service and warm.
    report_streamers(&mut rollout, vec![listed(1, false)], 21_000);
    open(&mut rollout, scope, 22_000);
    rollout.apply_command(Command::Time { now_ms: 30_000 });
    assert!(rollout.streamers["s1"].permit.is_some(), "not in service");
    assert!(!rollout.streamers["s1"].is_closed());
    report_streamers(&mut rollout, vec![listed(1, true)], 31_000);
    assert!(rollout.streamers["s1"].permit.is_none());
    assert_eq!(rollout.streamers["s1"].opened_ms, 22_000);
    // A streamer that the platform removed permanently no longer counts.
    report_streamers(&mut rollout, vec![ListedStreamer { gone: true, ..listed(0, false) }], 32_000);
    assert!(!rollout.streamers.contains_key("s0"));
    let restored = Rollout::restore(&rollout.snapshot()).expect("a snapshot decodes");
    assert_eq!(restored, rollout);
}

#[test]
fn a_reopened_streamer_is_out_until_warm_and_an_overdue_one_halts_all_permits() {
    let mut rollout = fleet();
    let scope = DrainScope::Streamer("s1".into());
    drain(&mut rollout, scope.clone(), 20_000);
    open(&mut rollout, scope, 25_000);
    assert_eq!(rollout.next_deadline_ms(), Some(30_000));
    rollout.apply_command(Command::Time { now_ms: 29_000 });
    assert!(rollout.streamers["s1"].is_out());
    rollout.apply_command(Command::Time { now_ms: 30_000 });
    assert!(!rollout.streamers["s1"].is_out());
    drain(&mut rollout, DrainScope::Streamer("s2".into()), 40_000);
    rollout.apply_command(Command::Time { now_ms: 100_000 });
    assert_eq!(rollout.halted.as_deref(), Some("permit 2 of streamer s2 is overdue"));
    assert!(matches!(
        refusal(drain(&mut rollout, DrainScope::Streamer("s3".into()), 101_000)),
        Refusal::Halted(_)
    ));
    assert!(rollout.streamers["s2"].is_closed(), "an overdue streamer stays closed");
}

#[test]
fn the_reconciler_reports_only_streamers_that_differ_from_the_state() {
    let mut rollout = fleet();
    let mut reconciler = Reconciler::new();
    let list = |up| (0..6).map(|k| listed(k, up || k != 3)).collect::<Vec<_>>();
    assert!(reconciler.reconcile_streamers(50_000, &rollout, list(true), 5_000).is_none());
    let Some(Command::Streamers { seen, .. }) =
        reconciler.reconcile_streamers(50_000, &rollout, list(false), 5_000)
    else {
        panic!("expected a report of s3")
    };
    assert_eq!(seen.iter().map(|s| s.name.as_str()).collect::<Vec<_>>(), ["s3"]);
    assert!(
        reconciler.reconcile_streamers(50_100, &rollout, list(false), 5_000).is_none(),
        "already proposed"
    );
    report_streamers(&mut rollout, seen, 50_200);
    assert!(reconciler.reconcile_streamers(52_000, &rollout, list(false), 5_000).is_none());
}

fn settings() -> Settings {
    Settings { racks: 2, weight_kb: 1_000.0, warm_up_us: 5_000_000, ..Settings::default() }
}

#[test]
fn a_director_closes_drained_streamers_and_treats_reopened_ones_as_cold() {
    let mut drains = Drains::new(&settings());
    let entry = |k: u32| Entry {
        streamer: StreamerId(k),
        zone: ZoneId(0),
        kind: None,
        cell: k,
        standing: Standing::Up,
        weight: 1.0,
        started_at: None,
    };
    let named: Vec<(String, String)> = (0..2).map(|k| (format!("s{k}"), "a".into())).collect();
    let mut entries: Vec<Entry> = (0..2).map(entry).collect();
    drains.apply_list(ListScope::Full, &named, &mut entries);
    assert!(entries.iter().all(|e| e.started_at.is_none()), "without drains, entries are unchanged");
    let mut state = fleet();
    drain(&mut state, DrainScope::Streamer("s1".into()), 20_000);
    assert!(drains.apply_agreed(&state).is_empty());
    assert!(drains.is_closed(StreamerId(1)) && !drains.is_closed(StreamerId(0)));
    open(&mut state, DrainScope::Streamer("s1".into()), 25_000);
    let reopened = drains.apply_agreed(&state);
    assert_eq!((reopened.len(), reopened[0].started_at), (1, Some(25_000_000)));
    assert!(!drains.is_closed(StreamerId(1)));
    assert!(drains.apply_agreed(&state).is_empty(), "reported only once");
    // A list entry without the later start time does not undo it.
    let mut entries = vec![entry(1)];
    drains.apply_list(ListScope::Delta, &named[1..], &mut entries);
    assert_eq!(entries[0].started_at, Some(25_000_000));
    // A drain committed before this director knew of the streamer applies as well.
    let mut late = Drains::new(&settings());
    let mut state = fleet();
    drain(&mut state, DrainScope::Streamer("s1".into()), 20_000);
    late.apply_agreed(&state);
    late.apply_list(ListScope::Full, &named[1..], &mut [entry(1)]);
    assert!(late.is_closed(StreamerId(1)));
    // The same through the placement limits, as the decision module uses them.
    let request = Request {
        id: RequestId(1),
        class: ClassId(0),
        tenant: None,
        title: TitleId(0),
        viewer: ViewerId(0),
        start_cell: 0,
        cells_in_row: 1,
        max_rung: 0,
        left_us: 1,
        returned: false,
        beside: 0,
    };
    let shared = SharedDrains::new(late);
    assert!(
        !shared.constraints(0, &request, StreamerId(1)).allowed
            && shared.constraints(0, &request, StreamerId(0)).allowed
    );
}
