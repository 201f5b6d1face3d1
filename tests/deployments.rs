//! Guards against code that fits only one deployment: starts the deploy file's `run` command for deployments
//! generated from fixed seeds, with 1 to 5 zones, 1 to 6 classes of every effect, with or without tenants,
//! and random names.
mod common;
mod rig;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{RngCore, SeedableRng};
use rig::*;
use serde_json::{Value, json};
use std::io::Write;

const EFFECTS: [&str; 3] = ["idempotent", "at_most_once", "deduplicated"];

/// A generated deployment: its settings and the names in them.
struct RandomDeployment {
    settings: Value,
    zones: Vec<String>,
    kind: String,
    classes: Vec<String>,
}

fn random_deployment(zones: usize, classes: usize, seed: u64) -> RandomDeployment {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut name = |what: &str| format!("{what}{:05x}", rng.next_u32() & 0xf_ffff);
    let zones: Vec<String> = (0..zones).map(|_| name("h")).collect();
    let kind = name("k.");
    let names: Vec<String> = (0..classes).map(|_| name("c-")).collect();
    let tenants: Vec<Value> =
        (0..seed % 3).map(|_| json!({"name": name("t_"), "quota_per_s": 2.5})).collect();
    let rungs = 1 + (rng.next_u32() % 6) as usize;
    let ladder: Vec<f64> = (1..=rungs).map(|r| 100.0 * r as f64).collect();
    let worth: Vec<f64> = (1..=rungs).map(|r| r as f64 / rungs as f64).collect();
    let lowest_rungs: Vec<usize> = (0..classes).map(|c| c % rungs).collect();
    let lanes: Vec<Value> = names
        .iter()
        .enumerate()
        .map(|(i, name)| {
            let mut lane = json!({
                "name": name, "importance": 0.5 + i as f64, "target_us": 400_000, "deadline_us": 900_000 + i,
                "effect": EFFECTS[i % 3],
            });
            if i % 3 == 2 {
                lane["dedup_scope"] = ["all", "same_zone", "same_cell"][i / 3 % 3].into();
                lane["repeat_window_us"] = 4_000_000.into();
            }
            lane
        })
        .collect();
    let how = ["piggyback", "pull", "none"][seed as usize % 3];
    let mut settings = json!({
        "accounts": tenants, "me": 0, "peers_total": 1 + seed % 4, "membership_mode": "pushed",
        "my_zone": zones[0], "dcs": zones, "kinds": [kind], "deductions": {"handshake": 0.02 * seed as f64},
        "report": {"how": how, "names": ["x0"]},
        "bounds": {"max_attempts": 2, "probes": seed.is_multiple_of(2),
            "retry_after": !seed.is_multiple_of(2), "max_retry_after_us": 700_000},
        "family_info": {"cells": 1, "racks": 1, "class_scale": vec![1.0; classes], "fleet_kb": 50_000.0,
            "rack_kb": 50_000.0, "weight_kb": 50_000.0, "highest_rung": vec![rungs - 1; classes],
            "lowest_rung": lowest_rungs, "kind_streams": [90], "ladder_kb": ladder, "ladder_worth": worth,
            "switch_s": 0.5},
        "lanes": lanes,
        "rules": {"cold_from": 0.4, "ramp_time_us": 1000, "fall_multiple": 2.0 + seed as f64 / 4.0},
    });
    // Optional settings, given for odd seeds only.
    if !seed.is_multiple_of(2) {
        settings["bounds"]["multiplex"] = 1.into();
        settings["bounds"]["keepalive_us"] = 8_000_000.into();
        settings["family_info"]["full_from"] = 1.1.into();
    }
    RandomDeployment { settings, zones, kind, classes: names }
}

/// Checks that a request of each class reaches the streamer unchanged and that its answer reaches the viewer.
fn assert_serves_each_class(deployment: &RandomDeployment) {
    let rig =
        Rig::start_as_deployed(&deployment.settings.to_string(), &deployment.zones[0], &deployment.kind);
    let mut viewer = rig.viewer();
    let one_set_up_per_connection = deployment.settings["bounds"]["multiplex"] == 1;
    let mut streamer = None;
    for (i, class) in deployment.classes.iter().enumerate() {
        let id = 0x100 + i as u64;
        let figures = b"home:0;copies:1;top:0;viewer:v1";
        let parameters = [(16, class.as_bytes()), (28, b"t1"), (31, figures), (61, b"offer")];
        viewer.write_all(&message(1, id, &parameters)).expect("written");
        let connection = streamer.get_or_insert_with(|| rig.streamer());
        let set_up_request = read_rtsp(connection);
        assert!(set_up_request.contains(&format!("Priority-Class: {class}\r\n")), "{set_up_request}");
        let lowest_rung = deployment.settings["family_info"]["lowest_rung"][i].as_u64().expect("a rung");
        assert!(
            set_up_request.contains(&format!("X-Quality: {lowest_rung}\r\n")),
            "the class's lowest rung overrides the viewer's top 0: {set_up_request}"
        );
        connection.write_all(&established_response(id, "answer")).expect("written");
        assert_eq!(
            read_message(&mut viewer),
            (9, id, [&[61, 0, 6][..], b"answer"].concat()),
            "{class} one set-up per connection: {one_set_up_per_connection}"
        );
    }
}

#[test]
fn one_zone_and_one_class() {
    assert_serves_each_class(&random_deployment(1, 1, 1));
}

#[test]
fn two_zones_and_two_classes_without_tenants() {
    assert_serves_each_class(&random_deployment(2, 2, 3));
}

#[test]
fn three_zones_and_six_classes() {
    assert_serves_each_class(&random_deployment(3, 6, 5));
}

#[test]
fn five_zones_and_four_classes() {
    assert_serves_each_class(&random_deployment(5, 4, 8));
}

/// The shipped files contain no name of a deployment: zones, classes and kinds come from the settings.
#[test]
fn shipped_configuration_names_no_zone_class_or_kind() {
    for file in ["deploy/operator.hcl", "deploy/balancer.toml"] {
        let text = std::fs::read_to_string(file).expect("shipped file");
        let settings_lines = text.lines().filter(|l| !l.trim_start().starts_with('#'));
        for line in settings_lines {
            for word in ["hall-a", "hall-b", "seat-view", "two-core", "three-core"] {
                assert!(!line.contains(word), "{file}: {line}");
            }
        }
    }
}
