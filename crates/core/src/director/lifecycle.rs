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
const UNUSED_CLOSE_DELAY_US: Micros = 500_000;
/// The front looks 4 s after the call: no connection may be in use then. What ends a session after this waits
/// for the connections that come when clients are taken again.
const CLOSE_ALL_DELAY_US: Micros = 3_700_000;
/// From here on nothing waits any longer.
const EXPIRE_PENDING_DELAY_US: Micros = 3_880_000;
/// Between looks at what is still open.
const POLL_INTERVAL_US: Micros = 20_000;

/// What a director does with its clients.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LifecycleState {
    /// It serves them.
    Serving,
    /// It sends them away, and serves what comes all the same, until told otherwise.
    LameDuck {
        /// Since when.
        since: Micros,
        /// What is open has been hurried.
        pending_expired: bool,
    },
    /// It comes to its end.
    Stopping {
        /// Since when.
        since: Micros,
    },
}

/// Why a call about the director's duty can't be followed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum LifecycleError {
    /// The process comes to its end.
    #[error("this process comes to its end and takes no clients again; ask the one that serves after it")]
    Stopping,
}

/// Which connections are closed of those without an open request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum CloseScope {
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
pub struct ClientActions {
    /// Which connections without an open request are closed.
    pub close: CloseScope,
    /// What is open is answered now.
    pub expire_pending: bool,
}

/// The duty of one director.
#[derive(Clone, Debug)]
pub struct Lifecycle {
    state: LifecycleState,
    grace_us: Micros,
    has_successor: bool,
}

impl Lifecycle {
    /// A director that serves. It has so long from when it is told to end; with a successor, the platform has
    /// another process of the same director take over then.
    pub fn new(grace_us: Micros, has_successor: bool) -> Self {
        Lifecycle { state: LifecycleState::Serving, grace_us, has_successor }
    }

    /// What it does now.
    pub fn state(&self) -> LifecycleState {
        self.state
    }

    /// Whether it takes clients: what a test and the readiness call answer.
    pub fn accepts_clients(&self) -> bool {
        self.state == LifecycleState::Serving
    }

    /// Sends clients away (`on`), or takes them again. Saying it twice changes nothing.
    pub fn set_lame_duck(&mut self, now: Micros, enabled: bool) -> Result<(), LifecycleError> {
        match (self.state, enabled) {
            (LifecycleState::Stopping { .. }, _) => return Err(LifecycleError::Stopping),
            (LifecycleState::Serving, true) => {
                self.state = LifecycleState::LameDuck { since: now, pending_expired: false }
            }
            (LifecycleState::LameDuck { .. }, false) => self.state = LifecycleState::Serving,
            (LifecycleState::Serving, false) | (LifecycleState::LameDuck { .. }, true) => {}
        }
        Ok(())
    }

    /// It is told to end; false where it was told before.
    pub fn stop(&mut self, now: Micros) -> bool {
        let newly_stopping = !self.is_stopping();
        if newly_stopping {
            self.state = LifecycleState::Stopping { since: now };
        }
        newly_stopping
    }

    /// Whether it comes to its end.
    pub fn is_stopping(&self) -> bool {
        matches!(self.state, LifecycleState::Stopping { .. })
    }

    /// Whether new connections are taken. With an heir they are the heir's.
    pub fn accepts_connections(&self) -> bool {
        !(self.has_successor && self.is_stopping())
    }

    /// Whether sessions that stand are left to an heir at the end, and not cut.
    pub fn hands_over_sessions(&self) -> bool {
        self.has_successor
    }

    /// When it must have come to its end.
    pub fn stop_deadline(&self) -> Option<Micros> {
        match self.state {
            LifecycleState::Stopping { since } => Some(since.saturating_add(self.grace_us)),
            _ => None,
        }
    }

    /// What is to be done about the clients now; each expiry is requested once.
    pub fn poll(&mut self, now: Micros) -> ClientActions {
        let elapsed = |since: Micros, span: Micros| since.saturating_add(span) <= now;
        match &mut self.state {
            LifecycleState::Serving => ClientActions::default(),
            LifecycleState::LameDuck { since, pending_expired } => {
                let expire_pending = elapsed(*since, EXPIRE_PENDING_DELAY_US)
                    && !std::mem::replace(pending_expired, elapsed(*since, EXPIRE_PENDING_DELAY_US));
                let close = match () {
                    () if elapsed(*since, CLOSE_ALL_DELAY_US) => CloseScope::All,
                    () if elapsed(*since, UNUSED_CLOSE_DELAY_US) => CloseScope::Unused,
                    () => CloseScope::None,
                };
                ClientActions { close, expire_pending }
            }
            LifecycleState::Stopping { .. } if self.has_successor => {
                ClientActions { close: CloseScope::All, expire_pending: false }
            }
            LifecycleState::Stopping { since } if elapsed(*since, UNUSED_CLOSE_DELAY_US) => {
                ClientActions { close: CloseScope::Unused, expire_pending: false }
            }
            LifecycleState::Stopping { .. } => ClientActions::default(),
        }
    }

    /// How long until it has to be asked again; `None` while nothing can change by time.
    pub fn poll_interval(&self) -> Option<Micros> {
        (self.state != LifecycleState::Serving).then_some(POLL_INTERVAL_US)
    }

    /// Whether the end can come early: with a successor, once no client has anything open here.
    pub fn may_stop_early(&self, open_clients: usize) -> bool {
        self.has_successor && self.is_stopping() && open_clients == 0
    }
}
