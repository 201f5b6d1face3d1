//! Sessions that outlive their director, at the loop: hands words, what is agreed, who is there and the time
//! to this director's part (`stonewharf-continuity`), and carries out what that wants done. Exists only where
//! the block `continuity` is on. Decides nothing; no viewer's answer waits for it.
use super::Node;
use super::clock::Clock;
use super::peers::Peers;
use super::shared::Shared;
use crate::director::{Input, SessionEnd, ViewerLink};
use crate::interface::{LoadReport, Micros, RequestId, StreamerId};
use crate::platform::rtsp;
use crate::settings::NamedRequest;
use slog::{debug, info, warn};
use std::cell::RefCell;
use std::rc::Rc;
use stonewharf_continuity::{
    Command, Deed, Estates, Hand, Member, News, Record, SharedHand, StrayKind, Stub,
};
use stonewharf_fleet::{Phase, Standing};

/// Nobody's connection: inherited sessions came on none.
const NOBODY: ViewerLink = ViewerLink(usize::MAX);

/// Whether this director may act on a session, at the moment at which it is asked: bytes that were decided on
/// before this process stood still must not go out after.
#[derive(Clone)]
pub struct Leave {
    hand: Rc<RefCell<Hand>>,
    clock: Clock,
}

impl Leave {
    /// Whether what is to be done to a session by this director's own will may go out now.
    pub fn may_act(&self, session: RequestId) -> bool {
        self.hand.borrow().may_act(self.clock.now(), session.0)
    }
}

/// What is to be agreed.
#[derive(Default)]
pub struct Asked {
    /// Commands.
    pub orders: Vec<Command>,
    /// The lead is to be confirmed.
    pub confirm: bool,
}

/// This director's part at the loop.
pub struct Hands {
    hand: SharedHand,
    version: Option<u64>,
    words: Vec<(String, Vec<u8>)>,
    /// What the node has to do.
    deeds: Vec<Deed>,
}

impl Hands {
    /// The part of one director.
    pub fn new(hand: SharedHand) -> Hands {
        Hands { hand, version: None, words: Vec::new(), deeds: Vec::new() }
    }

    /// What is asked as bytes go out.
    pub fn leave(&self, clock: Clock) -> Leave {
        Leave { hand: Rc::clone(&self.hand.0), clock }
    }

    /// Takes a word; false where it can't be read.
    pub fn hear(&mut self, now: Micros, from: &str, word: &[u8]) -> bool {
        self.hand.0.borrow_mut().hear_bytes(now, from, word).is_ok()
    }

    /// The answer to a question for confirmation.
    pub fn confirmed(&mut self, now: Micros, confirmed: bool) {
        self.hand.0.borrow_mut().confirmed(now, confirmed);
    }

    /// When [`Hands::turned`] wants to be called next.
    pub fn next(&self) -> Micros {
        self.hand.0.borrow().next()
    }

    /// Tells its part what there is to tell; returns what is to be agreed.
    pub fn turned(&mut self, shared: &Shared, peers: &Peers, estates: &Estates, leads: bool) -> Asked {
        let now = shared.now;
        let mut hand = self.hand.0.borrow_mut();
        if self.version != Some(peers.version()) {
            self.version = Some(peers.version());
            hand.members(now, members(peers, shared));
        }
        hand.agreed(now, estates);
        hand.leads(now, leads);
        hand.due(now);
        drop(hand);
        let mut asked = Asked::default();
        self.gather(&mut asked);
        asked
    }

    fn gather(&mut self, asked: &mut Asked) {
        for deed in self.hand.0.borrow_mut().take() {
            match deed {
                Deed::Send(to, word) => self.words.push((to, word.write())),
                Deed::Order(command) => asked.orders.push(command),
                Deed::Confirm => asked.confirm = true,
                deed => self.deeds.push(deed),
            }
        }
    }

    /// What is to be said; what is to be agreed waits for the end of the turn.
    pub fn words(&mut self) -> Vec<(String, Vec<u8>)> {
        let deeds = self.hand.0.borrow_mut().take();
        let mut kept = Vec::new();
        for deed in deeds {
            match deed {
                Deed::Send(to, word) => self.words.push((to, word.write())),
                deed => kept.push(deed),
            }
        }
        self.hand.0.borrow_mut().put_back(kept);
        std::mem::take(&mut self.words)
    }
}

/// The fleet, as far as estates go.
fn members(peers: &Peers, shared: &Shared) -> Vec<Member> {
    let of = |m: stonewharf_fleet::MemberView| {
        let is_in = m.standing == Standing::In;
        let serves = is_in && m.phase == Phase::Serving;
        Member { name: m.name, hall: m.hall, incarnation: m.incarnation, serves, is_in }
    };
    peers.view(shared).members.into_iter().map(of).collect()
}

impl Node {
    fn hand(&self) -> Option<SharedHand> {
        self.agreement.as_ref()?.hands.as_ref().map(|hands| hands.hand.clone())
    }

    /// A viewer's set-up came: what an heir would have to know of it.
    pub(super) fn estate_wanted(&mut self, id: u64, stub: impl FnOnce() -> Stub) {
        if let Some(hand) = self.hand() {
            hand.0.borrow_mut().wanted(id, stub());
        }
    }

    /// The list's news: names of streamers, and whose processes are new or gone.
    pub(super) fn estate_listed(&mut self, now: Micros, listed: &[(StreamerId, bool)]) {
        let Some(hand) = self.hand() else { return };
        let mut hand = hand.0.borrow_mut();
        for (streamer, anew) in listed {
            let Some(name) = self.names.streamers.resolve(streamer.0) else { continue };
            hand.named([(*streamer, name.to_owned())]);
            if *anew {
                hand.restarted(now, name);
            }
        }
    }

    /// Looks through what came in, ahead of the core: what another director's heir must hear, proofs, and
    /// losses of streamers that a director without a lease must not act on.
    pub(super) fn estate_inputs(&mut self, inputs: &mut Vec<Input>) {
        let Some(hand) = self.hand() else { return };
        let mut hand = hand.0.borrow_mut();
        let (now, director) = (self.shared.now, &self.director);
        inputs.retain(|input| {
            match input {
                Input::Released { session, why, .. } if !director.holds(*session) => {
                    let what = match why {
                        SessionEnd::Ended => StrayKind::Ended,
                        SessionEnd::Cut => StrayKind::Cut,
                        SessionEnd::Left => StrayKind::Left,
                    };
                    hand.stray(now, session.0, what);
                }
                Input::ViewerLeft(_, session)
                    if !director.holds(*session) || !hand.may_act(now, session.0) =>
                {
                    hand.stray(now, session.0, StrayKind::Left);
                }
                Input::DropHeard(session) => hand.settled(now, session.0),
                Input::Lost(_) => return hand.sessions() == 0 || hand.leased_until() > now,
                _ => {}
            }
            true
        });
    }

    /// Sends what has to leave ahead of the core's deeds.
    pub(super) fn estate_words(&mut self) {
        if let (Some(agreed), Some(peers)) = (&mut self.agreement, &mut self.components.peers) {
            agreed.say_of_estates(&mut self.shared, peers);
        }
    }

    /// This director leaves: it hands its estate over.
    pub(super) fn estate_leaves(&mut self) {
        if let Some(hand) = self.hand() {
            hand.0.borrow_mut().leaves(self.shared.now);
        }
    }

    /// Whether what stands is left to heirs at the end.
    pub(super) fn has_heirs(&self) -> bool {
        self.hand().is_some()
    }

    /// Carries out what this director's part wants done.
    pub(super) fn estate_deeds(&mut self) {
        let hands = self.agreement.as_mut().and_then(|agreed| agreed.hands.as_mut());
        let deeds = hands.map(|hands| std::mem::take(&mut hands.deeds)).unwrap_or_default();
        for deed in deeds {
            match deed {
                Deed::Adopt(records) => records.into_iter().for_each(|(id, record)| self.adopt(id, &record)),
                Deed::Settle(id, streamer) => {
                    if let Some(at) = self.names.streamers.get(&streamer).map(StreamerId) {
                        let (id, word) = (RequestId(id), rtsp::release(RequestId(id)));
                        self.components.streamers.send_control(&mut self.shared, at, word, Some(id));
                    }
                }
                Deed::Yield(id) => self.shared.inputs.push(Input::ViewerLeft(NOBODY, RequestId(id))),
                Deed::Cut(id, _) => {
                    let shared = &mut self.shared;
                    let bytes = crate::platform::viewer::release(
                        RequestId(id),
                        crate::platform::viewer::CAUSE_FAILED,
                    );
                    self.components.viewers.send_release(shared, NOBODY, bytes);
                }
                Deed::LayDown(ids) => {
                    let ids = ids.into_iter().map(RequestId).collect();
                    self.shared.inputs.push(Input::LaidDown(ids));
                }
                Deed::Stray(id, streamer, what) => self.strayed(RequestId(id), &streamer, what),
                Deed::Tell(news) => tell(&self.shared, &news),
                Deed::Send(..) | Deed::Order(_) | Deed::Confirm => {} // gathered before
            }
        }
    }

    /// An inherited session enters the core as what is handed over at a start.
    fn adopt(&mut self, id: u64, record: &Record) {
        let stub = &record.stub;
        let wanted = NamedRequest {
            id,
            class: &stub.class,
            tenant: None,
            title: &stub.title,
            viewer: &stub.viewer,
            start_cell: stub.home,
            cells_in_row: stub.copies,
            max_rung: stub.top.map(|top| top as usize),
            left_us: 0,
            returned: false,
        };
        match self.names.check_ranges(&wanted).and_then(|()| self.names.request(&wanted)) {
            Ok(request) => {
                let streamer = StreamerId(self.names.streamers.get(&record.streamer).unwrap_or(u32::MAX));
                self.director.set_inherited_rungs(vec![(request.id, usize::from(record.rung))]);
                self.shared.inputs.push(Input::Playing { link: NOBODY, request, streamer });
            }
            Err(why) => {
                warn!(self.shared.log, "an inherited session can't be taken: {why}; do all directors \
                have the same settings?"; "session" => format!("{id:016x}"))
            }
        }
    }

    /// Another director heard something on a session of this one.
    fn strayed(&mut self, session: RequestId, streamer: &str, what: StrayKind) {
        let Some(streamer) = self.names.streamers.get(streamer).map(StreamerId) else { return };
        let why = match what {
            StrayKind::Left => return self.shared.inputs.push(Input::ViewerLeft(NOBODY, session)),
            StrayKind::Ended => SessionEnd::Ended,
            StrayKind::Cut => SessionEnd::Cut,
        };
        let (description, report) = (Vec::new(), LoadReport::default());
        let released = Input::Released { streamer, session, number: None, why, description, report };
        self.shared.inputs.push(released);
    }
}

/// One line for what has changed; the keys are stable, see docs/operators/continuity.md.
fn tell(shared: &Shared, news: &News) {
    let (log, now) = (&shared.log, shared.now);
    let hex = |id: &u64| format!("{id:016x}");
    match news {
        News::Leased(life) => info!(log, "estate: leased"; "at_us" => now, "life" => life),
        News::Lapsed(sessions) => {
            warn!(log, "estate: the lease ran out, its sessions are not acted on"; "at_us" => now,
                "sessions" => sessions);
        }
        News::LaidDown(life, sessions) => {
            warn!(log, "estate: laid down, it is another's"; "at_us" => now, "life" => life,
                "sessions" => sessions);
        }
        News::TakesOver(owner, life, epoch) => info!(log, "estate: takes over"; "at_us" => now,
            "owner" => owner, "life" => life, "epoch" => epoch),
        News::TookOver { owner, epoch, sessions, out, whole } => {
            let kept = match whole {
                Some(true) => "all",
                Some(false) => "some",
                None => "nothing",
            };
            info!(log, "estate: taken over"; "at_us" => now, "owner" => owner, "epoch" => epoch,
                "sessions" => sessions, "out" => out, "kept" => kept);
        }
        News::Keepers(names) => {
            info!(log, "estate: keepers"; "at_us" => now, "keepers" => names.join(" "));
        }
        News::Lags(name) => {
            warn!(log, "estate: a keeper lags, another is asked"; "at_us" => now, "keeper" => name);
        }
        News::Reigns(reign) => info!(log, "estate: gives leases"; "at_us" => now, "reign" => reign),
        News::Closes(name, life) => info!(log, "estate: closes a life"; "at_us" => now, "owner" => name,
            "life" => life),
        News::Settled(id) => debug!(log, "estate: an attempt is settled"; "session" => hex(id)),
        News::Unsettled(id) => {
            warn!(log, "estate: an attempt can't be settled, its streamer does not answer"; "at_us" => now,
                "session" => hex(id));
        }
    }
}
