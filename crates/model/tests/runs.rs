//! The shipped scenarios, small: promises hold, the same seed gives the same, and reports can be read.
use stonewharf_model::{Outcome, Scenario, compare, html, run};

const SHIPPED: [(&str, &str); 3] = [
    ("hall-loss.hcl", include_str!("../../../examples/model/hall-loss.hcl")),
    ("hall-drops-again.hcl", include_str!("../../../examples/model/hall-drops-again.hcl")),
    ("far-hall-full.hcl", include_str!("../../../examples/model/far-hall-full.hcl")),
];

fn play(file: usize, seed: u64, sets: &[&str]) -> Outcome {
    let (name, text) = SHIPPED[file];
    let sets: Vec<String> = sets.iter().map(|s| s.to_string()).collect();
    let scenario = Scenario::parse(name, text, &sets).expect("right");
    run(&scenario, seed, |_| ()).expect("settings")
}

#[test]
fn promises_hold_with_halls_on_and_off() {
    for (file, (name, _)) in SHIPPED.iter().enumerate() {
        for seed in 0..4 {
            for on in ["operator.enabled=true", "operator.enabled=false"] {
                let o = play(file, seed, &[on]);
                let told = format!("{name} seed {seed} {on}: {:?}", o.broken);
                assert_eq!(o.rules_broken, 0, "{told}");
                assert!(o.return_pace_peak <= 1.0, "{told} pace {}", o.return_pace_peak);
                assert!(o.served > 100, "{told}: it plays at all");
            }
        }
    }
}

#[test]
fn a_cut_by_refusals_and_one_that_the_list_denies_are_found_alike() {
    for set in ["incidents.0.refused=true", "incidents.0.listed=false", "incidents.0.kind=\"cut\""] {
        for seed in 0..3 {
            let o = play(0, seed, &[set, "incidents.0.directors=false", "directors=6"]);
            assert_eq!(o.rules_broken, 0, "{set} {:?}", o.broken);
            assert_eq!(o.detect_missed, 0, "{set}: all find it");
            assert!(o.detect_s < 5.0, "{set}: {}", o.detect_s);
        }
    }
}

#[test]
fn a_stalled_streamer_alone_is_no_loss_of_a_hall() {
    let kind = ["incidents.0.kind=\"stall\"", "incidents.0.size=0.2"];
    for seed in 0..4 {
        let o = play(0, seed, &kind);
        assert_eq!((o.detect_s, o.rules_broken), (-1.0, 0));
    }
}

#[test]
fn the_same_seed_gives_the_same_bytes_and_another_does_not() {
    let text = |seed| serde_json::to_string(&play(0, seed, &[])).expect("JSON");
    assert_eq!(text(7), text(7));
    assert_ne!(text(7), text(8));
    let page = |seed| html(&play(0, seed, &[]), &["hall-a".into(), "hall-b".into()]).expect("report");
    assert_eq!(page(7), page(7));
    assert_eq!(page(7).matches("<svg").count(), 4);
}

#[test]
fn two_results_stand_side_by_side() {
    let (a, b) = (play(0, 1, &[]), play(0, 1, &["operator.enabled=false"]));
    let text = compare(&a, &b);
    assert!(text.contains("worth_served") && text.contains("rules_broken"), "{text}");
    assert_eq!(a.worth_offered, b.worth_offered, "what is offered does not depend on the directors");
}
