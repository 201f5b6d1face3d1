//! Tests of the hand-over file: damaged files and files of other versions.
use super::*;

fn at(session: u64, streamer: &str) -> NamedSession {
    NamedSession { session: RequestId(session), streamer: streamer.to_owned() }
}

#[test]
fn the_file_is_read_once_and_damaged_or_other_formats_are_refused() {
    let folder = std::env::temp_dir().join(format!("stonewharf-estate-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let path = file_path(&folder, "n/0");
    assert_eq!(take(&path).expect("nothing yet"), None);
    let rungs = vec![(RequestId(7), 3), (RequestId(u64::MAX), 0)];
    let estate = Estate {
        rungs,
        ended: vec![RequestId(8)],
        released: vec![at(9, "s-1"), at(7, "s-2"), at(10, "s-1")],
        released_by_streamers: vec![(at(11, "s-2"), SessionEnd::Cut)],
        unsent_ends: vec![vec![1, 2]],
        ..Estate::default()
    };
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
    assert_eq!(estate, Estate { rungs: vec![(RequestId(7), 3)], ..Estate::default() });
}

/// The version before told which sessions it had released, and not at which streamers: a session that was
/// answered late at one and played at another was ended there. Those that stand are left out of what it is
/// told, and of what it tells.
#[test]
fn the_version_before_tells_and_is_told_only_of_released_sessions_that_stand_nowhere() {
    let unsent_ends = vec![crate::platform::viewer::release(RequestId(5), 16)];
    let before = HandOverFile {
        format: FORMAT_VERSION,
        sessions: vec![(7, 3)],
        ended: vec![8],
        released: vec![7, 9],
        unsent_ends: unsent_ends.clone(),
    };
    let estate = parse(&postcard::to_allocvec(&before).expect("encoded")).expect("read");
    let (rungs, ended) = (vec![(RequestId(7), 3)], vec![RequestId(8)]);
    let released_anywhere = vec![RequestId(9)];
    assert_eq!(estate, Estate { rungs, ended, released_anywhere, unsent_ends, ..Estate::default() });

    let released = vec![at(7, "s-1"), at(9, "s-1")];
    let file = encode(&Estate { released, released_anywhere: Vec::new(), ..estate });
    assert_eq!((file.format, file.sessions, file.released), (2, vec![(7, 3)], vec![9]));
    let messages = file.unsent_ends.iter().filter(|bytes| crate::platform::viewer::ends_session(bytes));
    assert_eq!(messages.count(), 1, "it takes nothing else for a message");
}
