//! Tests of [`PermitHolder`]: how a director that is told to end requests, uses and returns a permit.
use stonewharf_rollout::*;

fn fleet() -> Rollout {
    let mut rollout = Rollout::default();
    for name in ["d0", "d1"] {
        let (name, hall, standing) = (name.to_owned(), "a".to_owned(), Standing::Serving);
        rollout.apply_command(Command::Seen {
            name,
            hall,
            incarnation: 5,
            standing,
            version: String::new(),
            settings: String::new(),
            now_ms: 1,
        });
    }
    rollout
}

#[test]
fn a_holder_told_to_end_repeats_its_request_and_leaves_by_the_deadline_with_or_without_a_permit() {
    let mut state = fleet();
    let mut holder = PermitHolder::new("d0", 5);
    assert_eq!(holder.poll(1_000, &state), HolderAction::Stay);
    holder.request_leave(3_000, "SIGTERM");
    assert!(matches!(holder.poll(1_000, &state), HolderAction::RequestPermit(_)));
    assert_eq!(holder.poll(1_100, &state), HolderAction::Stay);
    let HolderAction::RequestPermit(request) = holder.poll(1_250, &state) else {
        panic!("expected a repeated request")
    };
    let mut without_permit = holder.clone();
    assert_eq!(without_permit.poll(3_000, &state), HolderAction::Leave(None));
    state.apply_command(request);
    assert_eq!(holder.poll(1_300, &state), HolderAction::Leave(Some(1)));
    assert_eq!(holder.poll(9_000, &state), HolderAction::Stay, "returned only once");
}

#[test]
fn a_permit_of_another_incarnation_or_a_returned_one_is_not_used() {
    let mut state = fleet();
    state.apply_command(Command::Ask { name: "d0".into(), by: "ops".into(), now_ms: 1 });
    assert_eq!(PermitHolder::new("d0", 6).poll(1_000, &state), HolderAction::Stay);
    let mut holder = PermitHolder::new("d0", 5);
    assert!(holder.return_permit(&state).is_some());
    assert_eq!(holder.poll(1_000, &state), HolderAction::Stay, "the state still shows the returned permit");
}
