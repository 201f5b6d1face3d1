//! Tests of the codecs without sockets: the content of each message, reassembly from fragments, and errors
//! instead of panics for arbitrary bytes.
mod common;
use quickcheck::{Gen, QuickCheck, TestResult};
use stonewharf::director::Parcel;
use stonewharf::platform::{MAX_MESSAGE_BYTES, discovery, rtsp, viewer};
use stonewharf::*;

const ID: RequestId = RequestId(0x9b1f_03aa_5c7e_2d41);

fn seeded() -> QuickCheck {
    QuickCheck::new().rng(Gen::from_size_and_seed(200, 11)).tests(300).max_tests(300)
}

fn viewer_message(kind: u8, parameters: &[(u8, &[u8])]) -> Vec<u8> {
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
    viewer_message(
        1,
        &[(16, b"paid"), (19, b"1500"), (25, b"1"), (28, title), (31, figures), (61, b"\x00raw\xff")],
    )
}

#[test]
fn a_set_up_is_parsed_with_all_its_fields() {
    let (message, used) = viewer::read(&set_up_bytes()).expect("valid").expect("complete");
    let viewer::ViewerMessage::SetUp(set_up) = message else { panic!("{message:?}") };
    assert_eq!(used, set_up_bytes().len());
    assert_eq!(
        (set_up.session, set_up.class.as_str(), set_up.wait_ms, set_up.retry),
        (ID.0, "paid", Some(1500), true)
    );
    assert_eq!(
        (set_up.start_cell, set_up.cells_in_row, set_up.max_rung, set_up.returning),
        (4, 3, Some(2), true)
    );
    assert_eq!(
        (set_up.viewer.as_str(), set_up.playing_at.as_deref()),
        ("00000000b4d65521", Some("s-00c41f7a"))
    );
    assert_eq!(set_up.description, b"\x00raw\xff");
}

#[test]
fn messages_to_viewers_are_encoded_as_the_protocol_says() {
    assert_eq!(viewer::refusal(ID, 250), viewer_message(12, &[(58, &[42]), (34, b"250")]));
    assert_eq!(viewer::release(ID, viewer::CAUSE_ENDED), viewer_message(12, &[(58, &[16])]));
    assert_eq!(viewer::answer(ID, b"sdp"), Some(viewer_message(9, &[(61, b"sdp")])));
    assert_eq!(viewer::test_result(ID, true), viewer_message(53, &[(58, &[1])]));
    assert_eq!(viewer::answer(ID, &[0; MAX_MESSAGE_BYTES]), None, "exceeds the limit of a message");
}

/// An invalid length is an error that ends the connection. Set-ups with invalid or missing values or
/// truncated parameters, and messages of unknown type, are parsed as unusable, so that they are answered with
/// their id: they used to be dropped silently or forwarded with zeros as values.
#[test]
fn malformed_binary_messages_are_errors() {
    use viewer::ViewerError::*;
    let unusable = |bytes: &[u8]| match viewer::read(bytes) {
        Ok(Some((viewer::ViewerMessage::Unusable(id, why), used))) if used == bytes.len() => (id, why),
        other => panic!("{other:?}"),
    };
    let set_up = |figures: &[u8]| viewer_message(1, &[(16, b"paid"), (28, b"7f3a"), (31, figures)]);
    for incomplete in
        [&b"home:4;copies:3;viewer:b4"[..], b"home:4;top:2;viewer:b4", b"", b"home:-1", b"copies:nan"]
    {
        assert_eq!(unusable(&set_up(incomplete)), (ID, SetUpParameter(31)));
    }
    assert_eq!(unusable(&viewer_message(123, &[(16, b"paid")])), (ID, UnknownType(123)));
    let mut unnumbered = set_up(b"home:4;copies:3;top:2;viewer:b4");
    unnumbered[3..11].fill(0);
    assert_eq!(unusable(&unnumbered), (RequestId(0), MissingSession));
    assert_eq!(viewer::read(&[0, 8, 1]), Err(viewer::ViewerError::Length(8)));
    assert_eq!(viewer::read(&[0xff, 0xff]), Err(viewer::ViewerError::Length(0xffff)));
    let mut truncated = [viewer_message(1, &[(16, b"paid")]), vec![28, 0, 9]].concat();
    truncated[1] += 3;
    assert_eq!(unusable(&truncated), (ID, TruncatedParameter));
    let title_with_line_break = viewer_message(
        1,
        &[(16, b"paid"), (28, b"x RTSP/1.0\r\nCSeq: 9"), (31, b"home:4;copies:3;top:2;viewer:b4")],
    );
    assert_eq!(unusable(&title_with_line_break), (ID, SetUpParameter(28)), "would split the request");
}

/// Guards the design of `platform/rtsp.rs`: if httparse ever accepts RTSP start lines, it can parse the whole
/// head.
#[test]
fn httparse_rejects_rtsp_start_lines() {
    let mut slots = [httparse::EMPTY_HEADER; 4];
    let request = b"SETUP rtsp://media/7f3a9c21e0b4d655 RTSP/1.0\r\nCSeq: 1\r\n\r\n";
    assert_eq!(httparse::Request::new(&mut slots).parse(request), Err(httparse::Error::Version));
    let response = b"RTSP/1.0 200 OK\r\nCSeq: 1\r\n\r\n";
    assert_eq!(httparse::Response::new(&mut slots).parse(response), Err(httparse::Error::Version));
}

#[test]
fn a_set_up_is_forwarded_unchanged() {
    let parcel = Parcel { class: "paid".into(), title: "7f3a".into(), description: b"a\r\n\0b".to_vec() };
    let bytes = rtsp::set_up(ID, &parcel, 2, 1500).expect("short enough");
    let expected = "SETUP rtsp://media/7f3a RTSP/1.0\r\nCSeq: 1\r\nSession: 9b1f03aa5c7e2d41\r\n\
                    Priority-Class: paid\r\nExpires-Ms: 1500\r\nX-Quality: 2\r\nContent-Length: 5\r\n\r\n\
                    a\r\n\0b";
    assert_eq!(String::from_utf8_lossy(&bytes), expected);
}

fn rtsp_message(start_line: &str, cseq: u32, more_headers: &str, body: &str) -> Vec<u8> {
    let length = body.len();
    let session = "Session: 9b1f03aa5c7e2d41";
    format!(
        "{start_line}\r\nCSeq: {cseq}\r\n{session}\r\n{more_headers}Content-Length: {length}\r\n\r\n{body}"
    )
    .into_bytes()
}

#[test]
fn messages_from_streamers_are_parsed_as_the_protocol_says() {
    use rtsp::FromStreamer::*;
    let no_report = LoadReport::default();
    let load = LoadReport { link_capped: Some(0.9), uplink: Some(1.1), ..no_report };
    let cases = [
        (rtsp_message("RTSP/1.0 200 OK", 1, "", "sdp"), Established(ID, b"sdp".to_vec())),
        (rtsp_message("RTSP/1.0 100 Trying", 1, "", ""), Irrelevant),
        (
            rtsp_message("RTSP/1.0 453 Full", 1, "P-Load: util:0.9;x1:1.1\r\n", ""),
            Rejected(ID, Outcome::QueueFull, load),
        ),
        (rtsp_message("RTSP/1.0 454 Moot", 1, "", ""), Rejected(ID, Outcome::Ignored, no_report)),
        (rtsp_message("RTSP/1.0 500 Error", 1, "", ""), Rejected(ID, Outcome::Failed, no_report)),
        (rtsp_message("RTSP/1.0 504 Reset", 1, "", ""), Rejected(ID, Outcome::Reset, no_report)),
        (rtsp_message("RTSP/1.0 200 OK", 2, "", ""), ReleaseAcknowledged(ID)),
        // The form of the response to a release is not prescribed; without a session it is ignored.
        (b"RTSP/1.0 200 OK\r\nCSeq: 2\r\nContent-Length: 0\r\n\r\n".to_vec(), Irrelevant),
        (
            rtsp_message("RTSP/1.0 200 OK", 3, "P-Load: load_share:0.9;x1:1.1\r\n", ""),
            ProbeAnswered(ID, true, load),
        ),
        (rtsp_message("RTSP/1.0 503 No", 3, "", ""), ProbeAnswered(ID, false, no_report)),
        (
            rtsp_message("TEARDOWN rtsp://media/x RTSP/1.0", 2, "Reason: cause=41\r\n", ""),
            Released(ID, Some(41), vec![], no_report),
        ),
        (rtsp_message("TEARDOWN rtsp://media/x RTSP/1.0", 2, "", ""), Released(ID, None, vec![], no_report)),
        (
            rtsp_message(
                "ANNOUNCE rtsp://media/x RTSP/1.0",
                4,
                "Warning-Word: served\r\nX-Reading: 0.75\r\n",
                "",
            ),
            Note(ID, Some(NoteKind::Delivered), 0.75),
        ),
    ];
    for (bytes, expected) in cases {
        let read = rtsp::read(&bytes).expect("valid").expect("complete");
        assert_eq!(read, (expected, bytes.len()), "{}", String::from_utf8_lossy(&bytes));
    }
}

/// A field that can't be read, or is there twice, was taken for one that is absent, or the first one counted: the message
/// is not as the streamer wrote it.
#[test]
fn a_message_with_an_unreadable_or_repeated_field_is_an_error() {
    let full = |more: &str| rtsp_message("RTSP/1.0 453 Full", 1, more, "");
    let note = |more: &str| rtsp_message("ANNOUNCE rtsp://media/x RTSP/1.0", 4, more, "");
    let release = |more: &str| rtsp_message("TEARDOWN rtsp://media/x RTSP/1.0", 2, more, "");
    let replaced = |from: &str, to: &[u8]| {
        let message = full("");
        let at = message.windows(from.len()).position(|window| window == from.as_bytes()).expect("there");
        [&message[..at], to, &message[at + from.len()..]].concat()
    };
    let session = "Session: 9b1f03aa5c7e2d41";
    let cases: Vec<(&str, Vec<u8>)> = vec![
        ("Content-Length", replaced("Content-Length: 0\r\n", b"")),
        ("Content-Length", replaced("Content-Length: 0", b"Content-Length: \xc3\x28")),
        ("Content-Length", replaced("Content-Length: 0", b"Content-Length: -0")),
        ("Content-Length", full("Content-Length: 0\r\n")),
        ("Session", replaced(session, b"Sessoin: 9b1f03aa5c7e2d41")),
        ("Session", replaced(session, b"Session: +b1f03aa5c7e2d41")),
        ("Session", replaced(session, b"Session: 9b1f03aa5c7e2d4")),
        ("Session", replaced(session, b"Session: 9b1f03aa 5c7e2d41")),
        ("Session", full(&format!("{session}\r\n"))),
        ("CSeq", replaced("CSeq: 1", b"CSeq: +1")),
        ("CSeq", replaced("CSeq: 1", b"Cseg: 1")),
        ("CSeq", full("CSeq: 1\r\n")),
        ("Reason", release("Reason: cause=1\u{e9}\r\n")),
        ("Reason", release("Reason: cause=+16\r\n")),
        ("Reason", release("Reason: cause=300\r\n")),
        ("Reason", release("Reason: because\r\n")),
        ("Reason", release("Reason: cause=16\r\nReason: cause=41\r\n")),
        ("P-Load", full("P-Load: x1:1.\u{e9}\r\n")),
        ("P-Load", full("P-Load: x1:NaN\r\n")),
        ("P-Load", full("P-Load: x1:1;x1:2\r\n")),
        ("P-Load", full("P-Load: x1:1\r\nP-Load: x1:1\r\n")),
        ("X-Reading", note("Warning-Word: served\r\nX-Reading: inf\r\n")),
        ("X-Reading", note("Warning-Word: served\r\n")),
        ("Warning-Word", note("X-Reading: 1\r\n")),
    ];
    for (name, bytes) in cases {
        let shown = String::from_utf8_lossy(&bytes).to_string();
        assert_eq!(rtsp::read(&bytes), Err(rtsp::RtspError::Field(name)), "{shown}");
    }
    let report = LoadReport { uplink: Some(1.0), ..LoadReport::default() };
    let (message, _) = rtsp::read(&full("P-Load: queue:?;x1:1;\r\n")).expect("valid").expect("complete");
    let full = rtsp::FromStreamer::Rejected(ID, Outcome::QueueFull, report);
    assert_eq!(message, full, "values under names that are not used may be anything");
    assert_eq!(rtsp::read(b"RTSP/1.0 +20 OK\r\n"), Err(rtsp::RtspError::StartLine));
}

/// A message that never ends would otherwise be buffered without bound.
#[test]
fn an_oversized_message_of_a_streamer_is_an_error() {
    assert_eq!(rtsp::read(&[b'x'; MAX_MESSAGE_BYTES]), Err(rtsp::RtspError::TooLong));
    let head = format!("RTSP/1.0 200 OK\r\nCSeq: 1\r\nContent-Length: {MAX_MESSAGE_BYTES}\r\n\r\n");
    assert_eq!(rtsp::read(head.as_bytes()), Err(rtsp::RtspError::TooLong));
    let overflowing = format!("RTSP/1.0 200 OK\r\nContent-Length: {}\r\n\r\n", usize::MAX);
    assert_eq!(rtsp::read(overflowing.as_bytes()), Err(rtsp::RtspError::TooLong));
}

/// Parses `stream` as if it arrived in fragments whose lengths are those in `cuts` plus one. In between, the
/// buffer holds nothing, part of a message or whole messages.
fn parse_in_fragments<M, E: std::fmt::Debug>(
    stream: &[u8],
    cuts: &[u8],
    read: impl Fn(&[u8]) -> Result<Option<(M, usize)>, E>,
) -> Vec<M> {
    let (mut inbox, mut messages, mut at, mut cuts) = (Vec::new(), Vec::new(), 0, cuts.iter().cycle());
    while at < stream.len() {
        let end = (at + 1 + usize::from(*cuts.next().unwrap_or(&0))).min(stream.len());
        inbox.extend(&stream[at..end]);
        at = end;
        while let Some((message, used)) = read(&inbox).expect("valid in any fragments") {
            messages.push(message);
            inbox.drain(..used);
        }
    }
    assert!(inbox.is_empty(), "no bytes are left over");
    messages
}

/// Wherever the bytes are split, the same messages result, and none before it is complete.
#[test]
fn messages_are_reassembled_from_any_fragments() {
    let binary_stream =
        [set_up_bytes(), viewer::release(ID, 16), set_up_bytes(), viewer_message(52, &[(58, &[0])])].concat();
    let rtsp_stream = [
        rtsp_message("RTSP/1.0 200 OK", 1, "", "sdp with\r\n\r\na blank line"),
        b"\r\n".to_vec(),
        rtsp_message("TEARDOWN rtsp://media/x RTSP/1.0", 2, "Reason: cause=16\r\n", ""),
        rtsp_message("RTSP/1.0 453 Full", 1, "P-Load: x1:1\r\n", ""),
    ]
    .concat();
    let whole = (
        parse_in_fragments(&binary_stream, &[255], viewer::read),
        parse_in_fragments(&rtsp_stream, &[255], rtsp::read),
    );
    assert_eq!((whole.0.len(), whole.1.len()), (4, 3));
    let parses_alike = |cuts: Vec<u8>| {
        let read = (
            parse_in_fragments(&binary_stream, &cuts, viewer::read),
            parse_in_fragments(&rtsp_stream, &cuts, rtsp::read),
        );
        read == whole
    };
    for seed in 0..200u64 {
        let mut generator = Gen::from_size_and_seed(12, seed);
        let cuts: Vec<u8> = quickcheck::Arbitrary::arbitrary(&mut generator);
        assert!(parses_alike(cuts.iter().map(|c| c % 40).collect()), "{cuts:?}");
    }
}

/// Bytes from outside may at worst end their connection; they must never panic the process.
#[test]
fn arbitrary_bytes_never_panic_a_parser() {
    fn parses(bytes: Vec<u8>, index: usize, value: u8) -> TestResult {
        let mut corrupted = [set_up_bytes(), rtsp_message("RTSP/1.0 200 OK", 1, "P-Load: x1:1\r\n", "sdp")];
        for message in &mut corrupted {
            let index = index % message.len();
            message[index] = value;
            let _ = (viewer::read(message), rtsp::read(message), discovery::parse_line(message).is_ok());
        }
        let plausible = |used: Option<usize>| used.is_none_or(|n| n > 0 && n <= bytes.len());
        let binary = viewer::read(&bytes).ok().flatten().map(|m| m.1);
        TestResult::from_bool(plausible(binary) && plausible(rtsp::read(&bytes).ok().flatten().map(|m| m.1)))
    }
    seeded().quickcheck(parses as fn(Vec<u8>, usize, u8) -> TestResult);
}

#[test]
fn bulletin_lines_are_parsed() {
    assert!(matches!(discovery::parse_line(b"41"), Ok(discovery::Message::Heartbeat(41))));
    let line = br#"{"no":41,"roster":{"revision":7,"complete":false,"members":[{"id":"s-00c41f7a",
        "host_port":"10.1.0.9:2905","locality":"east","flavor":"std","cell":2,"phase":"terminating","size":4,
        "up_since_ms":1700000000000}]}}"#;
    let Ok(discovery::Message::Event(event)) = discovery::parse_line(line) else { panic!("not parsed") };
    let update = event.update.expect("a membership update");
    assert_eq!((event.number, update.scope()), (41, ListScope::Delta));
    let mut names = common::name_registry();
    let members = update.resolve_members(&mut names);
    assert_eq!(members.errors, vec![]);
    let (entry, address) = &members.entries[0];
    assert_eq!(address.to_string(), "10.1.0.9:2905");
    assert_eq!((entry.cell, entry.standing, entry.weight), (2, Standing::Draining, 4.0));
    assert_eq!(entry.started_at, Some(1_700_000_000_000_000), "a start before the director's own is valid");
    assert!(discovery::parse_line(b"{\"no\":").is_err());
}

/// An unusable entry used to discard the whole event, including the drains of all other streamers.
#[test]
fn an_unusable_entry_does_not_affect_other_entries() {
    let member = |id: &str, address: &str, phase: &str| {
        format!(r#"{{"id":"{id}","host_port":"{address}","phase":"{phase}"}}"#)
    };
    let members = [
        member("s-1", "nowhere", "in_service"),
        member("s-2", "10.1.0.9:2905", "asleep"),
        member("s-3", "10.1.0.8:2905", "terminating"),
    ];
    let line = format!(r#"{{"no":2,"roster":{{"members":[{}]}}}}"#, members.join(","));
    let Ok(discovery::Message::Event(event)) = discovery::parse_line(line.as_bytes()) else {
        panic!("not parsed")
    };
    let members = event.update.expect("a membership update").resolve_members(&mut common::name_registry());
    let standing: Vec<_> = members.entries.iter().map(|(entry, _)| entry.standing).collect();
    assert_eq!(standing, vec![Standing::Draining; 2], "a streamer in an unknown state gets no set-ups");
    assert_eq!(members.errors.len(), 2);
    for error in members.errors {
        assert!(error.to_string().contains("correct it in the list"), "the error says what to do: {error}");
    }
}

/// A value with a sign was taken for one without, and of a parameter that was there twice the last one counted: the viewer
/// can't have meant both.
#[test]
fn a_set_up_with_a_signed_or_repeated_value_is_unusable() {
    const ATTRIBUTES: &[u8] = b"home:4;copies:3;top:2;viewer:b4";
    let whole: [(u8, &[u8]); 6] =
        [(16, b"paid"), (19, b"1500"), (25, b"1"), (28, b"7f3a"), (31, ATTRIBUTES), (61, b"offer")];
    let parse = |parameters: &[(u8, &[u8])]| match viewer::read(&viewer_message(1, parameters)) {
        Ok(Some((viewer::ViewerMessage::Unusable(_, why), _))) => Some(why),
        Ok(Some((viewer::ViewerMessage::SetUp(_), _))) => None,
        other => panic!("{other:?}"),
    };
    assert_eq!(parse(&whole), None);
    for (code, value) in whole {
        let repeated: Vec<_> = whole.into_iter().chain([(code, value)]).collect();
        assert_eq!(parse(&repeated), Some(viewer::ViewerError::SetUpParameter(code)));
    }
    let unknown: Vec<_> = whole.into_iter().chain([(99, &b"x"[..]), (99, b"y")]).collect();
    assert_eq!(parse(&unknown), None, "parameters that are not used may be anything");
    let with = |code: u8, value: &'static [u8]| {
        let replaced = whole.into_iter().map(|(c, v)| if c == code { (c, value) } else { (c, v) });
        parse(&replaced.collect::<Vec<_>>())
    };
    assert_eq!(with(19, b"+1500"), Some(viewer::ViewerError::SetUpParameter(19)));
    for attributes in [
        &b"home:+4;copies:3;top:2;viewer:b4"[..],
        b"home:4;home:5;copies:3;top:2;viewer:b4",
        b"home:4;copies:3;top:2;viewer:b4;viewer:b5",
        b"home:4;copies:3;top:2;viewer:b4;at:s-1;at:s-2",
    ] {
        assert_eq!(with(31, attributes), Some(viewer::ViewerError::SetUpParameter(31)));
    }
}

/// The number with a sign was taken for a heartbeat, and an event whose list was misspelt for one without a list: its change
/// was never asked for again.
#[test]
fn a_line_of_discovery_that_is_not_as_it_was_written_is_an_error() {
    let list = r#"{"members":[]}"#;
    for line in [
        "+41",
        "-41",
        "4 1",
        r#"{"no":+41}"#,
        &format!(r#"{{"no":41,"rosteR":{list}}}"#),
        &format!(r#"{{"no":41,"no":42,"roster":{list}}}"#),
        &format!(r#"{{"no":41,"roster":{list},"roster":{list}}}"#),
        &format!(r#"{{"on":41,"roster":{list}}}"#),
        r#"{"no":41,"roster":{"membres":[]}}"#,
    ] {
        assert!(discovery::parse_line(line.as_bytes()).is_err(), "{line}");
    }
    for line in [r#"{"no":41}"#, &format!(r#"{{"no":41,"roster":{list},"more":1}}"#), " 41 "] {
        assert!(discovery::parse_line(line.as_bytes()).is_ok(), "{line}");
    }
}
