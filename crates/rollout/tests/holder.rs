//! Tests of `holder`.
use stonewharf_rollout::*;

fn fleet() -> Rollout {
    let mut rollout = Rollout::default();
    for name in ["d0", "d1"] {
        let (name, hall, standing) = (name.to_owned(), "a".to_owned(), Standing::Serving);
        rollout.take(Command::Seen {
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
fn told_to_end_it_asks_again_and_again_and_leaves_in_time_with_or_without() {
    let mut state = fleet();
    let mut holder = Holder::new("d0", 5);
    assert_eq!(holder.look(1_000, &state), Step::Stay);
    holder.told(3_000, "SIGTERM");
    assert!(matches!(holder.look(1_000, &state), Step::Ask(_)));
    assert_eq!(holder.look(1_100, &state), Step::Stay);
    let Step::Ask(ask) = holder.look(1_250, &state) else { panic!("again") };
    let mut other = holder.clone();
    assert_eq!(other.look(3_000, &state), Step::Leave(None));
    state.take(ask);
    assert_eq!(holder.look(1_300, &state), Step::Leave(Some(1)));
    assert_eq!(holder.look(9_000, &state), Step::Stay, "once");
}

#[test]
fn a_permit_of_a_former_life_or_one_given_back_is_not_acted_on() {
    let mut state = fleet();
    state.take(Command::Ask { name: "d0".into(), by: "ops".into(), now_ms: 1 });
    assert_eq!(Holder::new("d0", 6).look(1_000, &state), Step::Stay);
    let mut holder = Holder::new("d0", 5);
    assert!(holder.stays(&state).is_some());
    assert_eq!(holder.look(1_000, &state), Step::Stay, "what is agreed still tells of it");
}
