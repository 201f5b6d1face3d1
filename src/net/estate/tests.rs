//! Tests of the hand-over file: damaged files and files of other versions.
use super::*;

#[test]
fn the_file_is_read_once_and_damaged_or_other_formats_are_refused() {
    let folder = std::env::temp_dir().join(format!("stonewharf-estate-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let path = file_path(&folder, "n/0");
    assert_eq!(take(&path).expect("nothing yet"), None);
    let rungs = vec![(RequestId(7), 3), (RequestId(u64::MAX), 0)];
    let handover = Handover { rungs, ended: vec![RequestId(8)], released: vec![RequestId(9)] };
    let estate = Estate { handover, unsent_ends: vec![vec![1, 2]] };
    write(&path, &Estate::default()).expect("written");
    write(&path, &estate).expect("written again");
    assert_eq!(take(&path).expect("read"), Some(estate.clone()));
    assert_eq!(take(&path).expect("read once"), None);
    write(&path, &estate).expect("written");
    let mut bytes = std::fs::read(&path).expect("there");
    for cut in 0..bytes.len() {
        std::fs::write(&path, &bytes[..cut]).expect("cut short");
        assert!(matches!(take(&path), Err(HandOverError::Format(_))), "cut at {cut}");
    }
    bytes[0] = FORMAT_VERSION + 1;
    std::fs::write(&path, &bytes).expect("another format");
    let why = take(&path).expect_err("another format").to_string();
    assert!(why.contains("another version"), "{why}");
    assert!(write(&folder.join("none/at/all"), &estate).is_err());
    assert_eq!(std::fs::read_dir(&folder).expect("there").count(), 0, "no file is left behind");
    let _ = std::fs::remove_dir_all(&folder);
}

/// The process that is replaced may be of the version before.
#[test]
fn a_file_that_holds_only_rungs_is_read() {
    let file = RungsOnlyFile { format: RUNGS_ONLY_VERSION, sessions: vec![(7, 3)] };
    let estate = parse(&postcard::to_allocvec(&file).expect("encoded")).expect("read");
    let handover = Handover { rungs: vec![(RequestId(7), 3)], ..Handover::default() };
    assert_eq!(estate, Estate { handover, unsent_ends: Vec::new() });
}
