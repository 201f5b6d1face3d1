//! Tests of the simulator's wire protocol through the `stonewharf-simhost` binary.
use std::io::Write;
use std::process::{Command, Output, Stdio};

const SETTINGS_JSON: &str = r#"{"me":0,"peers_total":1,"unheard_of":[1,2],
"lanes":[{"name":"a","importance":1.0,"target_us":1000000,"effect":"idempotent","dedup_scope":"all","repeat_window_us":1}],
"family_info":{"cells":1,"racks":1,"class_scale":[1.0],"fleet_kb":9000.0,"rack_kb":9000.0,"weight_kb":9000.0,
"highest_rung":[1],"lowest_rung":[0],"kind_streams":[30],"ladder_kb":[100.0,300.0],"ladder_worth":[0.4,1.0],"switch_s":0.5},
"bounds":{"max_attempts":3,"max_retry_after_us":2000000,"retry_after":true},
"rules":{"cold_from":0.5,"ramp_time_us":1000000,"fall_multiple":2.0},
"report":{"how":"piggyback"},"membership_mode":"pushed","my_zone":"z","kinds":["k"]}"#;

fn run_simhost(lines: &[String]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_stonewharf-simhost"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("binary");
    let mut stdin = child.stdin.take().expect("stdin");
    let text: String = lines.iter().map(|l| l.replace('\n', "") + "\n").collect();
    let _ = stdin.write_all(text.as_bytes()); // the process may have exited at a bad line
    drop(stdin);
    child.wait_with_output().expect("output")
}

fn configure_events(id: u32) -> String {
    format!(
        r#"{{"t":"Configure","controller_id":{id},"nonce64":7,"info":{SETTINGS_JSON}}},
{{"t":"Pool","ref":0,"members_list":[{{"streamer":"1.2.3.4:5","az":"z","model":"k","cell":0,"stage_state":"U","scale":1,"started_at_us":null}}]}},
{{"t":"Announce","controller_id":{id},"gen":1,"ref":0,"scope":"cached"}}"#
    )
}

fn inbound_event(id: u32, request: u32) -> String {
    format!(
        r#"{{"t":"Inbound","controller_id":{id},"request_id":{request},"item":"p:1","again_by_client":false,"band":"a",
"predicted_us":null,"relocated":false,"max_rung":1,"left_us":3000000,"cells_in_row":1,"billing":null,"start_cell":0,
"returned":false,"name_key":"v-1"}}"#
    )
}

fn batch_line(now: u64, events: &[String]) -> String {
    format!(r#"{{"t_us":{now},"events":[{}]}}"#, events.join(","))
}

#[test]
fn each_controller_answers_its_own_requests() {
    let out = run_simhost(&[
        batch_line(1_000_000, &[]),
        batch_line(1_000_000, &[configure_events(0), configure_events(3)]),
        batch_line(3_000_000, &[inbound_event(0, 11), inbound_event(3, 12)]),
    ]);
    assert!(out.status.success(), "{}", String::from_utf8_lossy(&out.stderr));
    let text = String::from_utf8(out.stdout).unwrap();
    let replies: Vec<&str> = text.lines().collect();
    assert_eq!(replies.len(), 3);
    assert_eq!(replies[0], r#"{"do":[]}"#);
    for (id, request) in [(0, 11), (3, 12)] {
        let send = format!(
            r#"{{"t":"Send","controller_id":{id},"request_id":{request},"streamer":"1.2.3.4:5","try_for_us":500000}}"#
        );
        assert!(replies[2].contains(&send), "{}", replies[2]);
    }
}

#[test]
fn a_controller_replaced_within_a_batch_keeps_no_actions_or_requests() {
    let exit = r#"{"t":"Exit","controller_id":0}"#.to_owned();
    let client_gone = r#"{"t":"ClientGone","controller_id":0,"request_id":11}"#.to_owned();
    let out = run_simhost(&[
        batch_line(1_000_000, &[configure_events(0)]),
        batch_line(3_000_000, &[inbound_event(0, 11), exit, configure_events(0)]),
        batch_line(3_010_000, &[client_gone]),
    ]);
    assert!(out.status.success());
    let text = String::from_utf8(out.stdout).unwrap();
    assert!(!text.lines().nth(1).unwrap().contains("Send"), "a replaced controller must not act: {text}");
    assert_eq!(text.lines().nth(2), Some(r#"{"do":[]}"#));
}

#[test]
fn bad_input_is_reported_on_one_line_and_ends_the_process() {
    let unknown_class = inbound_event(0, 1).replace(r#""band":"a""#, r#""band":"zz""#);
    for (bad, expected) in [
        ("no json".to_owned(), "line 2"),
        (batch_line(1, &[r#"{"t":"Weather","controller_id":0}"#.to_owned()]), "Weather"),
        (batch_line(1, &[r#"{"t":"Exit"}"#.to_owned()]), "controller_id"),
        (batch_line(1, &[r#"{"t":"Exit","controller_id":"x"}"#.to_owned()]), "line 2"),
        (batch_line(1, &[inbound_event(9, 1)]), "unknown controller 9"),
        (batch_line(1, &[unknown_class]), "zz"),
        (
            batch_line(
                1,
                &[r#"{"t":"Announce","controller_id":0,"gen":1,"ref":8,"scope":"full"}"#.to_owned()],
            ),
            "list 8",
        ),
    ] {
        let out = run_simhost(&[batch_line(1, &[configure_events(0)]), bad.clone()]);
        let err = String::from_utf8_lossy(&out.stderr).into_owned();
        assert!(!out.status.success(), "{bad}");
        assert!(
            err.contains(expected) && err.lines().count() == 1 && !err.contains("panicked"),
            "{bad}: {err}"
        );
        assert_eq!(
            String::from_utf8_lossy(&out.stdout).lines().count(),
            1,
            "only the valid line is answered"
        );
    }
}

#[test]
fn end_of_input_exits_with_success_and_no_output() {
    let out = run_simhost(&[]);
    assert!(out.status.success() && out.stdout.is_empty() && out.stderr.is_empty());
}
