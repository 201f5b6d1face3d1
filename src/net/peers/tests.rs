//! The bounds of the peers' side: what one peer does costs bounded memory and time.
use super::*;
use crate::net::poll::Poll;
use stonewharf_fleet::{FleetSettings, Me};

fn peers() -> (Shared, Peers) {
    let poll = Poll::new().expect("a poller");
    let (deadlines, inputs, events, counters) = Default::default();
    let log = Logger::root(slog::Discard, slog::o!());
    let mut shared =
        Shared { poll, deadlines, inputs, events, counters, log, now: 1_000_000, ownership: None };
    let set = FleetSettings { cluster: "t".into(), listen: "127.0.0.1:0".into(), ..FleetSettings::default() };
    let (name, hall, version) = ("d0".to_owned(), String::new(), String::new());
    let me = Me { name, incarnation: 1, hall, version, digest: 0 };
    let fleet = Fleet::new(&set, me, 1, shared.now).expect("settings");
    let at = set.listens_at().expect("an address");
    let peers = Peers::listen(&mut shared, at, fleet).expect("listens");
    (shared, peers)
}

/// A link that is up, to a peer that takes the connection and never reads.
fn deaf(shared: &mut Shared, peers: &mut Peers) -> (TcpListener, std::net::TcpStream, SocketAddrV4) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let Ok(SocketAddr::V4(to)) = listener.local_addr() else { panic!("IPv4") };
    peers.link(shared, to, vec![0], true);
    let (stream, _) = listener.accept().expect("dialled");
    let (&token, _) = peers.links.iter().find(|(_, l)| l.to == Some(to)).expect("a link");
    while !peers.links[&token].up {
        for (token, readable, writable) in shared.poll.wait(None).expect("ready") {
            peers.exchange(shared, Ready { token, readable, writable });
        }
    }
    (listener, stream, to)
}

#[test]
fn a_peer_that_reads_nothing_costs_bounded_memory_and_the_oldest_news_goes_first() {
    let (mut shared, mut peers) = peers();
    let (_listener, _stream, to) = deaf(&mut shared, &mut peers);
    for n in 0..400u32 {
        let mut frame = vec![0; FRAME_MOST / 4];
        frame[..4].copy_from_slice(&n.to_be_bytes());
        peers.link(&mut shared, to, frame, true);
        let link = peers.links.values().find(|l| l.to == Some(to)).expect("it stays up");
        assert!(link.queued + link.line.unwritten_len() <= QUEUE_MOST, "{n}");
    }
    let link = peers.links.values().find(|l| l.to == Some(to)).expect("it stays up");
    let last = link.queue.back().map(|(frame, _)| frame[..4].to_vec());
    assert_eq!(last, Some(399u32.to_be_bytes().to_vec()), "the latest waits");
    assert!(peers.refusals.dropped > 300, "{}", peers.refusals.dropped);
    // What can't be replaced is not dropped in silence: the link goes, and is not dialled at once.
    for _ in 0..20 {
        peers.link(&mut shared, to, vec![0; FRAME_MOST / 4], false);
    }
    assert!(peers.links.is_empty() && peers.broken.contains_key(&to));
}

#[test]
fn a_link_that_trickles_or_states_too_long_a_frame_is_closed() {
    use std::io::Write;
    let (mut shared, mut peers) = peers();
    let at = peers.listener.source().local_addr().expect("bound");
    let mut trickle = std::net::TcpStream::connect(at).expect("taken");
    peers.accept(&mut shared);
    trickle.write_all(&[0, 0, 1, 0, 7]).expect("written");
    let token = *peers.links.keys().next().expect("a link");
    for _ in 0..20 {
        shared.now += IDLE_US / 10; // half-read frames are no use: the link does not live by them
        let _ = trickle.write_all(&[7]); // until it is closed
        peers.exchange(&mut shared, Ready { token, readable: true, writable: false });
        if shared.now >= 1_000_000 + IDLE_US {
            peers.look(&mut shared, token);
        }
    }
    assert!(peers.links.is_empty(), "it was closed");
    let mut long = std::net::TcpStream::connect(at).expect("taken");
    peers.accept(&mut shared);
    let token = *peers.links.keys().next().expect("a link");
    long.write_all(&u32::MAX.to_be_bytes()).expect("written");
    shared.poll.wait(None).expect("ready");
    peers.exchange(&mut shared, Ready { token, readable: true, writable: false });
    assert!(peers.links.is_empty(), "and so was the other");
    assert_eq!(peers.refusals.by.get(&Refused::Unreadable), Some(&1));
}
