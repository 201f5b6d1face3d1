//! SWIM by the library `foca`, with its timers on our clock: what comes in goes to it, what it wants sent,
//! timed or told comes out. Knows nothing of observers and standings.
use crate::life::Life;
use crate::word::{Inbox, Word, Words};
use foca::{AccumulatingRuntime, Config, Foca, Identity, Member};
use foca::{OwnedNotification, PeriodicParams, State, Timer};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use std::collections::BTreeMap;
use std::num::{NonZeroU8, NonZeroUsize};
use std::time::Duration;
use stonewharf_core::Micros;

/// Between probes by one director; in each one member is probed.
const PROBE_MS: u64 = 200;
/// How long a direct probe waits before others are asked to probe, too.
const PROBE_WAIT_MS: u64 = 70;
/// How long a suspect has to refute before SWIM calls it down. Observers judge sooner, and apart from it.
const REFUTE_MS: u64 = 2_000;
/// Members that are asked to probe, too.
/// With 5% of all packets lost, three left one probe in 1,600 unanswered, five leave one in 47,000.
const HELPERS: usize = 5;
/// Between rounds of gossip while there is news, and members told in each.
const GOSSIP_MS: u64 = 100;
const GOSSIP_TO: usize = 3;
/// Between tries to reach members that are down, and members tried in each: how a healed partition is found.
const DOWN_MS: u64 = 400;
const DOWN_TO: usize = 2;
/// Between questions for more members.
const MORE_MS: u64 = 10_000;
/// Members that are down are remembered for so long, so that old news does not bring them back.
const DOWN_KEPT_S: u64 = 3_600;

fn some(n: usize) -> NonZeroUsize {
    NonZeroUsize::new(n).unwrap_or(NonZeroUsize::MIN)
}

/// How often a piece of news is passed on by one director: enough to reach all of so many.
fn transmissions(members: usize) -> NonZeroU8 {
    let times = 4.0 * ((members + 2) as f64).log10() + 2.0;
    NonZeroU8::new(times as u8).unwrap_or(NonZeroU8::MIN)
}

fn config(packet: usize, members: usize) -> Config {
    let every = |ms, members| {
        Some(PeriodicParams { frequency: Duration::from_millis(ms), num_members: some(members) })
    };
    Config {
        probe_period: Duration::from_millis(PROBE_MS),
        probe_rtt: Duration::from_millis(PROBE_WAIT_MS),
        num_indirect_probes: some(HELPERS),
        max_transmissions: transmissions(members),
        suspect_to_down_after: Duration::from_millis(REFUTE_MS),
        remove_down_after: Some(Duration::from_secs(DOWN_KEPT_S)),
        max_packet_size: some(packet),
        notify_down_members: true,
        periodic_announce: every(MORE_MS, 1),
        periodic_announce_to_down_members: every(DOWN_MS, DOWN_TO),
        periodic_gossip: every(GOSSIP_MS, GOSSIP_TO),
    }
}

/// What SWIM tells.
#[derive(Debug)]
pub enum Note {
    /// A life is active.
    Up(Life),
    /// A life is down.
    Down(Life),
    /// A life, or a revision of it, was replaced by this one.
    Replaced(Life),
}

/// From whom and to whom a message of SWIM's is, as its sender knows both.
pub fn addressed(message: &[u8]) -> Option<(Life, Life)> {
    let (header, _) = postcard::take_from_bytes::<foca::Header<Life>>(message).ok()?;
    Some((header.src, header.dst))
}

/// SWIM and its timers.
pub struct Swim {
    foca: Foca<Life, foca::PostcardCodec, ChaCha8Rng, Words>,
    runtime: AccumulatingRuntime<Life>,
    timers: BTreeMap<(Micros, u64), Timer<Life>>,
    set: u64,
    packet: usize,
    sized_for: NonZeroU8,
    /// Words that came along.
    pub inbox: Inbox,
}

impl Swim {
    /// For one life; its messages are `packet` bytes long at most.
    pub fn new(me: Life, packet: usize, seed: u64) -> Swim {
        let (words, inbox) = Words::new();
        let dice = ChaCha8Rng::seed_from_u64(seed);
        let config = config(packet, 0);
        let sized_for = config.max_transmissions;
        let foca = Foca::with_custom_broadcast(me, config, dice, foca::PostcardCodec, words);
        let (runtime, timers) = (AccumulatingRuntime::new(), BTreeMap::new());
        Swim { foca, runtime, timers, set: 0, packet, sized_for, inbox }
    }

    /// This director, as it presents itself.
    pub fn me(&self) -> &Life {
        self.foca.identity()
    }

    /// Changes how it presents itself, under its next revision.
    pub fn present(&mut self, now: Micros, change: impl FnOnce(&mut Life)) {
        let Some(mut next) = self.me().renew() else { return };
        change(&mut next);
        let _ = self.foca.change_identity(next, &mut self.runtime); // a new revision always wins
        self.settle(now);
    }

    /// Takes a message; false where it can't be used.
    pub fn hear(&mut self, now: Micros, bytes: &[u8]) -> bool {
        let heard = self.foca.handle_data(bytes, &mut self.runtime);
        self.settle(now);
        heard.is_ok()
    }

    /// Asks a director that is known by its life for its members.
    pub fn announce(&mut self, now: Micros, to: Life) {
        let _ = self.foca.announce(to, &mut self.runtime); // fails for what can't be encoded alone
        self.settle(now);
    }

    /// A director presents itself.
    pub fn meet(&mut self, now: Micros, life: Life) {
        self.learn(now, vec![Member::new(life, 0, State::Alive)]);
    }

    /// Takes what another knows.
    pub fn learn(&mut self, now: Micros, members: Vec<Member<Life>>) {
        let _ = self.foca.apply_many(members.into_iter(), true, &mut self.runtime);
        self.settle(now);
    }

    /// Takes a life as down, and says so: if it lives it hears of that and comes back.
    pub fn down(&mut self, now: Micros, life: &Life) {
        let known = self.known().find(|m| m.id() == life).map(|m| m.incarnation()).unwrap_or_default();
        self.learn(now, vec![Member::new(life.clone(), known, State::Down)]);
    }

    /// All that is known.
    pub fn known(&self) -> impl Iterator<Item = &Member<Life>> {
        self.foca.iter_membership_state()
    }

    /// Those that are suspected now.
    pub fn suspects(&self) -> impl Iterator<Item = &Life> {
        self.known().filter(|m| m.state() == State::Suspect).map(|m| m.id())
    }

    /// Whether there is news under way, suspicions among it.
    pub fn busy(&self) -> bool {
        self.foca.updates_backlog() > 0 || self.foca.custom_broadcast_backlog() > 0
    }

    /// Spreads a word.
    pub fn spread(&mut self, word: &Word) {
        if let Some(bytes) = word.bytes() {
            let _ = self.foca.add_broadcast(&bytes); // refused if too long, which ours are not
        }
    }

    /// Says goodbye.
    pub fn leave(&mut self, now: Micros) {
        let _ = self.foca.leave_cluster(&mut self.runtime);
        self.settle(now);
    }

    /// The next timer.
    pub fn next(&self) -> Option<Micros> {
        self.timers.first_key_value().map(|(at, _)| at.0)
    }

    /// Acts on what is due.
    pub fn due(&mut self, now: Micros) {
        while let Some(entry) = self.timers.first_entry().filter(|e| e.key().0 <= now) {
            let _ = self.foca.handle_timer(entry.remove(), &mut self.runtime); // stale ones are of no use
            self.settle(now);
        }
    }

    /// This process stood still for so long: what it waited for meanwhile gets as much more time.
    pub fn put_off(&mut self, by: Micros) {
        let timers = std::mem::take(&mut self.timers);
        self.timers = timers.into_iter().map(|((at, n), t)| ((at.saturating_add(by), n), t)).collect();
    }

    fn settle(&mut self, now: Micros) {
        while let Some((after, timer)) = self.runtime.to_schedule() {
            self.set += 1;
            let at = now.saturating_add(after.as_micros() as Micros);
            self.timers.insert((at, self.set), timer);
        }
    }

    /// What is to be sent, to whom.
    pub fn sends(&mut self) -> impl Iterator<Item = (Life, Vec<u8>)> + '_ {
        std::iter::from_fn(|| self.runtime.to_send().map(|(to, bytes)| (to, bytes.to_vec())))
    }

    /// What has changed.
    pub fn notes(&mut self) -> Vec<Note> {
        let mut notes = Vec::new();
        while let Some(note) = self.runtime.to_notify() {
            match note {
                OwnedNotification::MemberUp(life) | OwnedNotification::Rejoin(life) => {
                    notes.push(Note::Up(life)); // a rejoin is our own
                }
                OwnedNotification::MemberDown(life) => notes.push(Note::Down(life)),
                OwnedNotification::Rename(_, new) => notes.push(Note::Replaced(new)),
                _ => {}
            }
        }
        if !notes.is_empty() {
            let times = transmissions(self.foca.num_members());
            if times != self.sized_for
                && self.foca.set_config(config(self.packet, self.foca.num_members())).is_ok()
            {
                self.sized_for = times;
            }
        }
        notes
    }
}
