//! Traffic and storage that continuity costs each director: independent of the size of the fleet.
use std::collections::BTreeMap;
use stonewharf_continuity::{
    Action, ContinuitySettings, Coordinator, LocalDirector, Member, Message, OwnershipState, RequestSummary,
    SharedCoordinator,
};
use stonewharf_core::{
    Class, ClassId, DedupScope, Effect, Event, Micros, Outcome, PlacementLimits, Request, RequestId,
    Settings, StreamerId, TitleId, ViewerId,
};

const STEP: Micros = 50_000;
const SECONDS: u64 = 12;
/// Sessions that a director sets up each second, and how long each lasts.
const SESSIONS_PER_SECOND: u64 = 20;
const SESSION_US: Micros = 3_000_000;

fn settings() -> Settings {
    let class = |effect| Class {
        worth: 1.0,
        target_us: 1_000_000,
        effect,
        dedup_scope: DedupScope::All,
        repeat_window_us: 0,
        scale: 1.0,
        lowest_rung: 0,
        highest_rung: 2,
        max_sessions_per_title: 0,
        live: false,
    };
    Settings { classes: vec![class(Effect::AtMostOnce), class(Effect::Idempotent)], ..Settings::default() }
}

/// A message in transit: from, to, content.
type InTransit = (usize, usize, Message);

/// Average bytes a second that a director sends (without the grantor), and the records that it stores.
fn simulate(directors: usize) -> (f64, f64) {
    let names = ["paid".to_owned(), "free".to_owned()];
    let coordinators: Vec<SharedCoordinator> = (0..directors)
        .map(|i| {
            let me = LocalDirector { name: format!("d{i}"), hall: ["a", "b"][i % 2].into(), incarnation: 1 };
            let mut coordinator =
                Coordinator::new(ContinuitySettings::default(), &settings(), &names, me, 1_000_000);
            coordinator.set_streamer_names([(StreamerId(0), "s-00000001".to_owned())]);
            SharedCoordinator::new(coordinator)
        })
        .collect();
    let member = |i: usize| Member {
        name: format!("d{i}"),
        hall: ["a", "b"][i % 2].into(),
        incarnation: 1,
        serving: true,
        in_fleet: true,
    };
    let members: Vec<Member> = (0..directors).map(member).collect();
    let mut ownership = OwnershipState::default();
    let (mut in_transit, mut next): (Vec<InTransit>, Vec<InTransit>) = Default::default();
    let mut ends: BTreeMap<(Micros, u64), usize> = BTreeMap::new();
    let (mut now, mut id, mut sent) = (1_000_000, 0_u64, vec![0_u64; directors]);
    for step in 0..SECONDS * 1_000_000 / STEP {
        now += STEP;
        let measured = now > 1_000_000 + 4_000_000; // once all have their leases and replicas
        for (from, to, message) in std::mem::take(&mut in_transit) {
            coordinators[to].0.borrow_mut().receive(now, &format!("d{from}"), message);
        }
        while let Some(entry) = ends.first_entry().filter(|e| e.key().0 <= now) {
            let (request, i) = (RequestId(entry.key().1), entry.remove());
            let (streamer, outcome, report) = (StreamerId(0), Outcome::Ok, Default::default());
            let event = Event::Ended { request, attempt: 0, streamer, outcome, last: true, report };
            coordinators[i].clone().observe_event(now, &event, &mut |_| {});
        }
        let mut confirmed = false;
        for (i, coordinator) in coordinators.iter().enumerate() {
            let mut limits = coordinator.clone();
            for _ in 0..SESSIONS_PER_SECOND * STEP / 1_000_000 {
                id += 1;
                let summary = RequestSummary {
                    class: names[usize::from(!id.is_multiple_of(3))].clone(),
                    title: format!("{id:016x}"),
                    viewer: format!("{id:016x}"),
                    start_cell: 1,
                    cells_in_row: 3,
                    max_rung: Some(2),
                };
                let (viewer, title) = (ViewerId(id as u32), TitleId(id as u32));
                let class = ClassId(usize::from(!id.is_multiple_of(3)));
                let request = Request { id: RequestId(id), viewer, title, class, ..Request::default() };
                coordinator.0.borrow_mut().note_request(id, summary);
                limits.observe_event(now, &Event::Inbound(request.clone()), &mut |_| {});
                limits.attempt_sent(now, &request, StreamerId(0), 1);
                let (request, streamer) = (request.id, StreamerId(0));
                limits.observe_event(now, &Event::Started { request, streamer, latency_us: 1 }, &mut |_| {});
                ends.insert((now + SESSION_US, id), i);
            }
            let mut coordinator = coordinator.0.borrow_mut();
            if step == 0 {
                coordinator.set_members(now, members.clone());
            }
            coordinator.apply_ownership(now, &ownership);
            coordinator.set_leading(now, i == 0);
            coordinator.tick(now);
            for action in coordinator.take_actions() {
                match action {
                    Action::Send(to, message) => {
                        sent[i] += if measured { message.encode().len() as u64 } else { 0 };
                        let to = to.strip_prefix('d').and_then(|n| n.parse().ok()).expect("a director");
                        next.push((i, to, message));
                    }
                    Action::Propose(command) => drop(ownership.apply_command(command)),
                    Action::ConfirmLeadership => confirmed = true,
                    _ => {}
                }
            }
        }
        if confirmed {
            coordinators[0].0.borrow_mut().leadership_confirmed(now, true);
        }
        std::mem::swap(&mut in_transit, &mut next);
    }
    let kept: usize = coordinators.iter().map(|h| h.0.borrow().session_counts()[1]).sum();
    let bytes: u64 = sent[1..].iter().sum();
    let seconds = (SECONDS - 4) as f64;
    (bytes as f64 / seconds / (directors - 1) as f64, kept as f64 / directors as f64)
}

#[test]
fn traffic_and_storage_per_director_do_not_grow_with_the_fleet() {
    let (few_bytes, kept_few) = simulate(10);
    let (many_bytes, kept_many) = simulate(100);
    assert!(few_bytes > 1_000.0, "judged on {few_bytes} bytes a second");
    assert!(
        many_bytes < 1.15 * few_bytes,
        "{few_bytes} bytes a second each among 10, {many_bytes} among 100"
    );
    assert!(kept_many < 1.15 * kept_few, "{kept_few} records each among 10, {kept_many} among 100");
}
