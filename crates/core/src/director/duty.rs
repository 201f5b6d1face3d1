//! Where a director stands with its clients: it serves them, sends them away for a while, or comes to its
//! end. It owns the states and what each allows; it closes nothing and answers nobody.
//!
//! | state | test at the clients' address | connections without an open request | sessions |
//! | --- | --- | --- | --- |
//! | serving | passed | kept | - |
//! | sending away | failed at once | closed once the front heard; with sessions, as it looks | stay |
//! | ending | failed at once | closed once the front heard; with sessions, at the end | cut at the end |
//! | ending, an heir serves | failed at once | closed at once, no new ones taken | left to the heir |
//!
//! Connections with sessions are kept for as long as can be, since the end of a session has to reach its
//! viewer, and while clients are sent away no new connection comes on which it could.
use crate::interface::Micros;

/// The front asks ten times a second and sends new connections for 0.2 s more; at a planned restart they come
/// for 0.4 s. Whoever is sent away sooner only comes back.
const HEARD_OF_US: Micros = 500_000;
/// The front looks 4 s after the call: no connection may be in use then. What ends a session after this waits
/// for the connections that come when clients are taken again.
const EMPTY_US: Micros = 3_700_000;
/// From here on nothing waits any longer.
const HURRY_US: Micros = 3_880_000;
/// Between looks at what is still open.
const LOOK_US: Micros = 20_000;

/// What a director does with its clients.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stance {
    /// It serves them.
    Serving,
    /// It sends them away, and serves what comes all the same, until told otherwise.
    Away {
        /// Since when.
        since: Micros,
        /// What is open has been hurried.
        hurried: bool,
    },
    /// It comes to its end.
    Ending {
        /// Since when.
        since: Micros,
    },
}

/// Why a call about the director's duty can't be followed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DutyError {
    /// The process comes to its end.
    #[error("this process comes to its end and takes no clients again; ask the one that serves after it")]
    Ending,
}

/// Which connections are closed of those without an open request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Close {
    /// None.
    #[default]
    None,
    /// Those on which no session stands.
    Unused,
    /// All.
    All,
}

/// What is to be done about the clients now.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Leave {
    /// Which connections without an open request are closed.
    pub close: Close,
    /// What is open is answered now.
    pub hurry: bool,
}

/// The duty of one director.
#[derive(Clone, Debug)]
pub struct Duty {
    stance: Stance,
    grace_us: Micros,
    heir: bool,
}

impl Duty {
    /// A director that serves. It has so long from when it is told to end; with an heir, the platform has
    /// another process of the same director take over then.
    pub fn new(grace_us: Micros, heir: bool) -> Self {
        Duty { stance: Stance::Serving, grace_us, heir }
    }

    /// What it does now.
    pub fn stance(&self) -> Stance {
        self.stance
    }

    /// Whether it takes clients: what a test and the readiness call answer.
    pub fn takes_clients(&self) -> bool {
        self.stance == Stance::Serving
    }

    /// Sends clients away (`on`), or takes them again. Saying it twice changes nothing.
    pub fn lame(&mut self, now: Micros, on: bool) -> Result<(), DutyError> {
        match (self.stance, on) {
            (Stance::Ending { .. }, _) => return Err(DutyError::Ending),
            (Stance::Serving, true) => self.stance = Stance::Away { since: now, hurried: false },
            (Stance::Away { .. }, false) => self.stance = Stance::Serving,
            (Stance::Serving, false) | (Stance::Away { .. }, true) => {}
        }
        Ok(())
    }

    /// It is told to end; false where it was told before.
    pub fn end(&mut self, now: Micros) -> bool {
        let first = !self.ending();
        if first {
            self.stance = Stance::Ending { since: now };
        }
        first
    }

    /// Whether it comes to its end.
    pub fn ending(&self) -> bool {
        matches!(self.stance, Stance::Ending { .. })
    }

    /// Whether new connections are taken. With an heir they are the heir's.
    pub fn listens(&self) -> bool {
        !(self.heir && self.ending())
    }

    /// Whether sessions that stand are left to an heir at the end, and not cut.
    pub fn bequeaths(&self) -> bool {
        self.heir
    }

    /// When it must have come to its end.
    pub fn ends_at(&self) -> Option<Micros> {
        match self.stance {
            Stance::Ending { since } => Some(since.saturating_add(self.grace_us)),
            _ => None,
        }
    }

    /// What is to be done about the clients now; each hurry is said once.
    pub fn leave(&mut self, now: Micros) -> Leave {
        let over = |since: Micros, span: Micros| since.saturating_add(span) <= now;
        match &mut self.stance {
            Stance::Serving => Leave::default(),
            Stance::Away { since, hurried } => {
                let hurry = over(*since, HURRY_US) && !std::mem::replace(hurried, over(*since, HURRY_US));
                let close = match () {
                    () if over(*since, EMPTY_US) => Close::All,
                    () if over(*since, HEARD_OF_US) => Close::Unused,
                    () => Close::None,
                };
                Leave { close, hurry }
            }
            Stance::Ending { .. } if self.heir => Leave { close: Close::All, hurry: false },
            Stance::Ending { since } if over(*since, HEARD_OF_US) => {
                Leave { close: Close::Unused, hurry: false }
            }
            Stance::Ending { .. } => Leave::default(),
        }
    }

    /// How long until it has to be asked again; `None` while nothing can change by time.
    pub fn look_after(&self) -> Option<Micros> {
        (self.stance != Stance::Serving).then_some(LOOK_US)
    }

    /// Whether the end can come early: with an heir, once no client has anything open here.
    pub fn done(&self, left: usize) -> bool {
        self.heir && self.ending() && left == 0
    }
}
