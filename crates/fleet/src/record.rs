//! What a director knows of one other: its life, where it stands, what observers say of it, and what the two
//! hear of each other. Changes only as it is told; judges by [`Record::verdict`].
use crate::life::Life;
use crate::message::UNHEARD;
use crate::view::Standing;
use crate::word::Saying;
use std::collections::BTreeMap;
use stonewharf_core::Micros;

const SECOND: Micros = 1_000_000;
/// A word that a member was not heard counts for so long.
const UNHEARD_US: Micros = 6 * SECOND;
/// A word that it was heard stands against those for so long.
const HEARD_US: Micros = 3 * SECOND;
/// An observer that could not hear it is named for so long.
const NAMED_US: Micros = 3 * SECOND;
/// Observers whose word takes a member for lost; fewer where fewer are left, but never one alone.
pub const OBSERVERS_NEEDED: usize = 3;
/// What a peer told of hearing us counts for so long, and is taken as hearing when it was so recent.
const ECHO_KEPT_US: Micros = 10 * SECOND;
const ECHO_FRESH: u8 = 50; // tenths of a second
/// A peer that we spoke to so often within `SPOKEN_US` should have heard us.
const SPOKEN: usize = 4;
const SPOKEN_US: Micros = 6 * SECOND;
/// The datagrams of a former life may still be under way for so long.
const FORMER_US: Micros = 1_500_000;
/// So many after that come from a process that lives.
const FORMER_HEARD: u32 = 3;

/// One check of a member in question.
#[derive(Clone, Copy, Debug)]
pub struct Check {
    /// When it began.
    pub since: Micros,
    /// Pings sent.
    pub tries: u32,
    /// When something is to be done next.
    pub at: Micros,
}

/// What is known of one other director.
#[derive(Debug)]
pub struct Record {
    /// Its present life, as presented last.
    pub life: Life,
    /// Since when this life is known.
    pub since: Micros,
    /// Where it stands.
    pub standing: Standing,
    /// When it came to stand there.
    pub stands_since: Micros,
    /// Whether SWIM calls it active.
    pub up: bool,
    /// Whether SWIM suspects it.
    pub suspect: bool,
    /// Since when it has been in question, by SWIM's word.
    pub questioned: Option<Micros>,
    /// What observers said last of this life, when it came.
    pub words: BTreeMap<String, (Micros, Saying)>,
    /// When it was last told how we present ourselves now.
    pub corrected_at: Micros,
    /// Another observer asked us to look after it; until when that holds.
    pub asked_until: Micros,
    /// Our own check of it.
    pub check: Option<Check>,
    /// When we may check it again.
    pub check_from: Micros,
    /// Whether we were among its observers when that was last looked at, and when to look again.
    pub observing: (bool, Micros),
    /// When a datagram of this life came last.
    pub heard_at: Option<Micros>,
    /// When we last spoke to it; the latest few.
    pub spoken: [Micros; SPOKEN],
    /// What it told last of hearing us, and when.
    pub echo: Option<(u8, Micros)>,
    /// Whether it was said that it does not hear us.
    pub deaf: bool,
    /// Who was named as doubting it.
    pub named: bool,
    /// The life before this one.
    pub former: Option<Life>,
    /// Datagrams of former lives that came too late for those.
    pub former_heard: u32,
    /// When the last of them came.
    pub former_at: Micros,
}

/// What the words come to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Nothing speaks against it.
    Clear,
    /// These could not hear it, which is not enough.
    Doubted,
    /// Lost, on the word of these.
    Lost(Vec<String>),
}

impl Record {
    /// A life that is heard of for the first time.
    pub fn new(life: Life, now: Micros) -> Record {
        Record {
            life,
            since: now,
            standing: Standing::In,
            stands_since: now,
            up: false,
            suspect: false,
            questioned: None,
            words: BTreeMap::new(),
            corrected_at: 0,
            asked_until: 0,
            check: None,
            check_from: 0,
            observing: (false, 0),
            heard_at: None,
            spoken: [0; SPOKEN],
            echo: None,
            deaf: false,
            named: false,
            former: None,
            former_heard: 0,
            former_at: 0,
        }
    }

    /// A later life or revision is known. What was said of a former life says nothing of this one.
    pub fn replace(&mut self, life: Life, now: Micros) {
        if life.incarnation != self.life.incarnation {
            let former = std::mem::replace(self, Record::new(life, now));
            self.former = Some(former.life);
        } else {
            self.life = life;
        }
    }

    /// Whether it counts as one that can observe and be relied on now.
    pub fn sound(&self) -> bool {
        self.standing == Standing::In && self.up && !self.suspect
    }

    /// Whether it has to be looked after: SWIM doubts it, or another observer asked.
    pub fn in_question(&self, now: Micros) -> bool {
        self.standing == Standing::In && (self.suspect || !self.up || self.asked_until > now)
    }

    /// Whether nothing is left to be looked at in it.
    pub fn settled(&self, now: Micros) -> bool {
        self.standing != Standing::In || (!self.in_question(now) && !self.named && self.words.is_empty())
    }

    /// Moves it.
    pub fn stand(&mut self, standing: Standing, now: Micros) {
        (self.standing, self.stands_since) = (standing, now);
        (self.check, self.questioned) = (None, None);
        if standing == Standing::In {
            self.words.clear();
        }
    }

    /// Who could not hear it lately.
    pub fn doubters(&self, now: Micros) -> Vec<String> {
        let late = |at: Micros| at.saturating_add(NAMED_US) > now;
        let words = self.words.iter().filter(|(_, (at, s))| *s == Saying::Unheard && late(*at));
        words.map(|(observer, _)| observer.clone()).collect()
    }

    /// What the words come to, of those observers that are sound (`counts`), with so many sound directors
    /// besides it. One that heard it stands against all that did not.
    pub fn verdict(&self, now: Micros, sound: usize, counts: impl Fn(&str) -> bool) -> Verdict {
        let fresh = |at: Micros, kept: Micros| at.saturating_add(kept) > now;
        let mut unheard = Vec::new();
        let mut heard = false;
        for (observer, (at, saying)) in self.words.iter().filter(|(o, _)| counts(o)) {
            match saying {
                Saying::Unheard if fresh(*at, UNHEARD_US) => unheard.push(observer.clone()),
                Saying::Heard if fresh(*at, HEARD_US) => heard = true,
                _ => {}
            }
        }
        // One alone can't tell whether the others are lost or it is itself.
        let needed = if sound < 2 { usize::MAX } else { sound.min(OBSERVERS_NEEDED) };
        match unheard.len() {
            0 => Verdict::Clear,
            n if n >= needed && !heard => {
                unheard.truncate(OBSERVERS_NEEDED);
                Verdict::Lost(unheard)
            }
            _ => Verdict::Doubted,
        }
    }

    /// Notes that we speak to it.
    pub fn spoke(&mut self, now: Micros) {
        self.spoken.rotate_left(1);
        self.spoken[SPOKEN - 1] = now;
    }

    /// Notes a datagram of its present life, and what it told of hearing us.
    pub fn heard(&mut self, now: Micros, echo: u8) {
        self.heard_at = Some(now);
        self.echo = Some((echo, now));
    }

    /// Tenths of a second since it was last heard from, for the envelope.
    pub fn heard_tenths(&self, now: Micros) -> u8 {
        let tenths = |at: Micros| (now.saturating_sub(at) / (SECOND / 10)).min(u64::from(UNHEARD - 1)) as u8;
        self.heard_at.map_or(UNHEARD, tenths)
    }

    /// Whether it told lately of hearing us, and whether it does.
    pub fn told(&self, now: Micros) -> (bool, bool) {
        match self.echo {
            Some((echo, at)) if at.saturating_add(ECHO_KEPT_US) > now => (true, echo <= ECHO_FRESH),
            _ => (false, false),
        }
    }

    /// Whether we hear it and it says it does not hear us, though we spoke to it.
    pub fn is_deaf(&self, now: Micros) -> bool {
        let spoken = self.spoken[0] != 0 && self.spoken[0].saturating_add(SPOKEN_US) > now;
        let (told, hears) = self.told(now);
        spoken && told && !hears
    }

    /// A datagram of a life before this one; true once it is plain that its process lives.
    pub fn heard_former(&mut self, now: Micros) -> bool {
        if self.since.saturating_add(FORMER_US) > now {
            return false; // it was under way when this life began
        }
        self.former_heard = self.former_heard.saturating_add(1);
        self.former_at = now;
        self.former_heard >= FORMER_HEARD
    }

    /// Whether another process is heard under its name.
    pub fn twin(&self, now: Micros) -> bool {
        self.former_heard >= FORMER_HEARD && self.former_at.saturating_add(ECHO_KEPT_US) > now
    }
}
