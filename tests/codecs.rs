//! The codecs without sockets: what each message says, how messages are put together again from any pieces,
//! and that no bytes from outside do more than end their connection.
mod common;
use quickcheck::{Gen, QuickCheck, TestResult};
use stonewharf::director::Parcel;
use stonewharf::platform::{MAX_MESSAGE_BYTES, discovery, rtsp, viewer};
use stonewharf::*;

const ID: RequestId = RequestId(0x9b1f_03aa_5c7e_2d41);

fn seeded() -> QuickCheck {
    QuickCheck::new().rng(Gen::from_size_and_seed(200, 11)).tests(300).max_tests(300)
}

fn binary(kind: u8, parameters: &[(u8, &[u8])]) -> Vec<u8> {
    let mut body = vec![kind];
    body.extend(ID.0.to_be_bytes());
    for (code, value) in parameters {
        body.push(*code);
        body.extend((value.len() as u16).to_be_bytes());
        body.extend(*value);
    }
    [&(body.len() as u16).to_be_bytes()[..], &body].concat()
}

fn set_up_bytes() -> Vec<u8> {
    let figures = b"home:4;copies:3;top:2;viewer:00000000b4d65521;again:1;at:s-00c41f7a";
    let title = b"7f3a9c21e0b4d655";
    binary(1, &[(16, b"paid"), (19, b"1500"), (25, b"1"), (28, title), (31, figures), (61, b"\x00raw\xff")])
}

#[test]
fn a_set_up_is_read_with_all_its_fields() {
    let (message, used) = viewer::read(&set_up_bytes()).expect("sound").expect("whole");
    let viewer::FromViewer::SetUp(s) = message else { panic!("{message:?}") };
    assert_eq!(used, set_up_bytes().len());
    assert_eq!((s.session, s.class.as_str(), s.wait_ms, s.retry), (ID.0, "paid", Some(1500), true));
    assert_eq!((s.home, s.copies, s.top, s.again), (4, 3, Some(2), true));
    assert_eq!((s.viewer.as_str(), s.at.as_deref()), ("00000000b4d65521", Some("s-00c41f7a")));
    assert_eq!(s.description, b"\x00raw\xff");
}

#[test]
fn final_answers_carry_what_the_protocol_names() {
    assert_eq!(viewer::refusal(ID, 250), binary(12, &[(58, &[42]), (34, b"250")]));
    assert_eq!(viewer::release(ID, viewer::CAUSE_ENDED), binary(12, &[(58, &[16])]));
    assert_eq!(viewer::answer(ID, b"sdp"), Some(binary(9, &[(61, b"sdp")])));
    assert_eq!(viewer::test_result(ID, true), binary(53, &[(58, &[1])]));
    assert_eq!(viewer::answer(ID, &[0; MAX_MESSAGE_BYTES]), None, "over the limit of a message");
}

/// A length that can't be costs its connection. A set-up that names what it must not, lacks what it must have
/// or runs past its end, and a message of no known type, are answered under their number: they were dropped
/// without a word, or passed on with figures of nought.
#[test]
fn malformed_binary_messages_are_errors() {
    use viewer::ViewerError::*;
    let unusable = |bytes: &[u8]| match viewer::read(bytes) {
        Ok(Some((viewer::FromViewer::Unusable(id, why), used))) if used == bytes.len() => (id, why),
        other => panic!("{other:?}"),
    };
    let set_up = |figures: &[u8]| binary(1, &[(16, b"paid"), (28, b"7f3a"), (31, figures)]);
    for lacking in
        [&b"home:4;copies:3;viewer:b4"[..], b"home:4;top:2;viewer:b4", b"", b"home:-1", b"copies:nan"]
    {
        assert_eq!(unusable(&set_up(lacking)), (ID, SetUp(31)));
    }
    assert_eq!(unusable(&binary(123, &[(16, b"paid")])), (ID, Kind(123)));
    let mut unnumbered = set_up(b"home:4;copies:3;top:2;viewer:b4");
    unnumbered[3..11].fill(0);
    assert_eq!(unusable(&unnumbered), (RequestId(0), Unnumbered));
    assert_eq!(viewer::read(&[0, 8, 1]), Err(viewer::ViewerError::Length(8)));
    assert_eq!(viewer::read(&[0xff, 0xff]), Err(viewer::ViewerError::Length(0xffff)));
    let mut cut_short = [binary(1, &[(16, b"paid")]), vec![28, 0, 9]].concat();
    cut_short[1] += 3;
    assert_eq!(unusable(&cut_short), (ID, Parameter));
    let line_break =
        binary(1, &[(16, b"paid"), (28, b"x RTSP/1.0\r\nCSeq: 9"), (31, b"home:4;copies:3;top:2;viewer:b4")]);
    assert_eq!(unusable(&line_break), (ID, SetUp(28)), "would split the request");
}

/// Guards the choice in `platform/rtsp.rs`: should httparse ever take RTSP's first lines, it can read all.
#[test]
fn httparse_takes_no_first_line_of_rtsp() {
    let mut slots = [httparse::EMPTY_HEADER; 4];
    let request = b"SETUP rtsp://media/7f3a9c21e0b4d655 RTSP/1.0\r\nCSeq: 1\r\n\r\n";
    assert_eq!(httparse::Request::new(&mut slots).parse(request), Err(httparse::Error::Version));
    let answer = b"RTSP/1.0 200 OK\r\nCSeq: 1\r\n\r\n";
    assert_eq!(httparse::Response::new(&mut slots).parse(answer), Err(httparse::Error::Version));
}

#[test]
fn a_set_up_is_passed_on_unchanged() {
    let parcel = Parcel { class: "paid".into(), title: "7f3a".into(), description: b"a\r\n\0b".to_vec() };
    let bytes = rtsp::set_up(ID, &parcel, 2, 1500).expect("short enough");
    let expected = "SETUP rtsp://media/7f3a RTSP/1.0\r\nCSeq: 1\r\nSession: 9b1f03aa5c7e2d41\r\n\
                    Priority-Class: paid\r\nExpires-Ms: 1500\r\nX-Quality: 2\r\nContent-Length: 5\r\n\r\na\r\n\0b";
    assert_eq!(String::from_utf8_lossy(&bytes), expected);
}

fn answer(first: &str, cseq: u32, more: &str, body: &str) -> Vec<u8> {
    let length = body.len();
    let session = "Session: 9b1f03aa5c7e2d41";
    format!("{first}\r\nCSeq: {cseq}\r\n{session}\r\n{more}Content-Length: {length}\r\n\r\n{body}")
        .into_bytes()
}

#[test]
fn streamers_words_mean_what_the_protocol_says() {
    use rtsp::FromStreamer::*;
    let none = LoadReport::default();
    let load = LoadReport { link_capped: Some(0.9), uplink: Some(1.1), ..none };
    let cases = [
        (answer("RTSP/1.0 200 OK", 1, "", "sdp"), Stands(ID, b"sdp".to_vec())),
        (answer("RTSP/1.0 100 Trying", 1, "", ""), Idle),
        (
            answer("RTSP/1.0 453 Full", 1, "P-Load: util:0.9;x1:1.1\r\n", ""),
            TurnedAway(ID, Outcome::QueueFull, load),
        ),
        (answer("RTSP/1.0 454 Moot", 1, "", ""), TurnedAway(ID, Outcome::Ignored, none)),
        (answer("RTSP/1.0 500 Error", 1, "", ""), TurnedAway(ID, Outcome::Failed, none)),
        (answer("RTSP/1.0 504 Reset", 1, "", ""), TurnedAway(ID, Outcome::Reset, none)),
        (answer("RTSP/1.0 200 OK", 2, "", ""), Over(ID)),
        // A release that was heard is free in form, and says nothing without its session.
        (b"RTSP/1.0 200 OK\r\nCSeq: 2\r\nContent-Length: 0\r\n\r\n".to_vec(), Idle),
        (answer("RTSP/1.0 200 OK", 3, "P-Load: load_share:0.9;x1:1.1\r\n", ""), Tested(ID, true, load)),
        (answer("RTSP/1.0 503 No", 3, "", ""), Tested(ID, false, none)),
        (
            answer("TEARDOWN rtsp://media/x RTSP/1.0", 2, "Reason: cause=41\r\n", ""),
            Released(ID, Some(41), vec![], none),
        ),
        (answer("TEARDOWN rtsp://media/x RTSP/1.0", 2, "", ""), Released(ID, None, vec![], none)),
        (
            answer("ANNOUNCE rtsp://media/x RTSP/1.0", 4, "Warning-Word: served\r\nX-Reading: 0.75\r\n", ""),
            Noted(ID, Some(NoteKind::Delivered), 0.75),
        ),
    ];
    for (bytes, expected) in cases {
        let read = rtsp::read(&bytes).expect("sound").expect("whole");
        assert_eq!(read, (expected, bytes.len()), "{}", String::from_utf8_lossy(&bytes));
    }
}

/// A message without end would otherwise be kept without bound.
#[test]
fn an_oversized_message_of_a_streamer_is_an_error() {
    assert_eq!(rtsp::read(&[b'x'; MAX_MESSAGE_BYTES]), Err(rtsp::RtspError::TooLong));
    let head = format!("RTSP/1.0 200 OK\r\nCSeq: 1\r\nContent-Length: {MAX_MESSAGE_BYTES}\r\n\r\n");
    assert_eq!(rtsp::read(head.as_bytes()), Err(rtsp::RtspError::TooLong));
    let endless = format!("RTSP/1.0 200 OK\r\nContent-Length: {}\r\n\r\n", usize::MAX);
    assert_eq!(rtsp::read(endless.as_bytes()), Err(rtsp::RtspError::TooLong));
}

/// A connection's states while its bytes come in pieces: nothing yet, part of a message, whole messages.
fn in_pieces<M, E: std::fmt::Debug>(
    stream: &[u8],
    cuts: &[u8],
    read: impl Fn(&[u8]) -> Result<Option<(M, usize)>, E>,
) -> Vec<M> {
    let (mut inbox, mut messages, mut at, mut cuts) = (Vec::new(), Vec::new(), 0, cuts.iter().cycle());
    while at < stream.len() {
        let end = (at + 1 + usize::from(*cuts.next().unwrap_or(&0))).min(stream.len());
        inbox.extend(&stream[at..end]);
        at = end;
        while let Some((message, used)) = read(&inbox).expect("sound in any pieces") {
            messages.push(message);
            inbox.drain(..used);
        }
    }
    assert!(inbox.is_empty(), "bytes left over");
    messages
}

/// Half-written messages: wherever the bytes are cut, the same messages come out, and none before its end.
#[test]
fn messages_come_whole_from_any_pieces() {
    let binary_stream =
        [set_up_bytes(), viewer::release(ID, 16), set_up_bytes(), binary(52, &[(58, &[0])])].concat();
    let rtsp_stream = [
        answer("RTSP/1.0 200 OK", 1, "", "sdp with\r\n\r\na blank line"),
        b"\r\n".to_vec(),
        answer("TEARDOWN rtsp://media/x RTSP/1.0", 2, "Reason: cause=16\r\n", ""),
        answer("RTSP/1.0 453 Full", 1, "P-Load: x1:1\r\n", ""),
    ]
    .concat();
    let whole =
        (in_pieces(&binary_stream, &[255], viewer::read), in_pieces(&rtsp_stream, &[255], rtsp::read));
    assert_eq!((whole.0.len(), whole.1.len()), (4, 3));
    let same = |cuts: Vec<u8>| {
        let read =
            (in_pieces(&binary_stream, &cuts, viewer::read), in_pieces(&rtsp_stream, &cuts, rtsp::read));
        read == whole
    };
    for seed in 0..200u64 {
        let mut dice = Gen::from_size_and_seed(12, seed);
        let cuts: Vec<u8> = quickcheck::Arbitrary::arbitrary(&mut dice);
        assert!(same(cuts.iter().map(|c| c % 40).collect()), "{cuts:?}");
    }
}

/// Bytes from outside end their connection at worst; they never panic the process.
#[test]
fn any_bytes_are_taken_or_refused() {
    fn any(noise: Vec<u8>, at: usize, value: u8) -> TestResult {
        let mut torn = [set_up_bytes(), answer("RTSP/1.0 200 OK", 1, "P-Load: x1:1\r\n", "sdp")];
        for bytes in &mut torn {
            let at = at % bytes.len();
            bytes[at] = value;
            let _ = (viewer::read(bytes), rtsp::read(bytes), discovery::parse_line(bytes).is_ok());
        }
        let used = |used: Option<usize>| used.is_none_or(|n| n > 0 && n <= noise.len());
        let binary = viewer::read(&noise).ok().flatten().map(|m| m.1);
        TestResult::from_bool(used(binary) && used(rtsp::read(&noise).ok().flatten().map(|m| m.1)))
    }
    seeded().quickcheck(any as fn(Vec<u8>, usize, u8) -> TestResult);
}

#[test]
fn the_bulletins_lines_are_read() {
    assert!(matches!(discovery::parse_line(b"41"), Ok(discovery::Message::Heartbeat(41))));
    let line = br#"{"no":41,"roster":{"revision":7,"complete":false,"members":[{"id":"s-00c41f7a",
        "host_port":"10.1.0.9:2905","locality":"east","flavor":"std","cell":2,"phase":"terminating","size":4,
        "up_since_ms":1700000000000}]}}"#;
    let Ok(discovery::Message::Event(event)) = discovery::parse_line(line) else { panic!("not read") };
    let update = event.update.expect("a membership update");
    assert_eq!((event.number, update.scope()), (41, ListScope::Delta));
    let mut names = common::name_registry();
    let members = update.resolve_members(&mut names);
    assert_eq!(members.errors, vec![]);
    let (entry, address) = &members.entries[0];
    assert_eq!(address.to_string(), "10.1.0.9:2905");
    assert_eq!((entry.cell, entry.standing, entry.weight), (2, Standing::Draining, 4.0));
    assert_eq!(
        entry.started_at,
        Some(1_700_000_000_000_000),
        "a start before our own is a time like any other"
    );
    assert!(discovery::parse_line(b"{\"no\":").is_err());
}

/// One entry that can't be used used to cost the whole event, with the drains of all others in it.
#[test]
fn an_entry_of_no_use_takes_no_other_along() {
    let member =
        |id: &str, at: &str, phase: &str| format!(r#"{{"id":"{id}","host_port":"{at}","phase":"{phase}"}}"#);
    let members = [
        member("s-1", "nowhere", "in_service"),
        member("s-2", "10.1.0.9:2905", "asleep"),
        member("s-3", "10.1.0.8:2905", "terminating"),
    ];
    let line = format!(r#"{{"no":2,"roster":{{"members":[{}]}}}}"#, members.join(","));
    let Ok(discovery::Message::Event(event)) = discovery::parse_line(line.as_bytes()) else {
        panic!("not read")
    };
    let members = event.update.expect("a membership update").resolve_members(&mut common::name_registry());
    let standing: Vec<_> = members.entries.iter().map(|(entry, _)| entry.standing).collect();
    assert_eq!(standing, vec![Standing::Draining; 2], "an unknown state takes no set-ups");
    assert_eq!(members.errors.len(), 2);
    for why in members.errors {
        assert!(why.to_string().contains("correct it in the list"), "says what to do: {why}");
    }
}
