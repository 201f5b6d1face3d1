//! Lifecycle of a director towards its clients: serving, lame duck or stopping.
//!
//! This module holds the states and what each of them permits. It closes no connections and answers no
//! requests itself.
//!
//! | state | health check | connections without a pending request | sessions |
//! | --- | --- | --- | --- |
//! | serving | passes | kept | - |
//! | lame duck | fails at once | closed after a delay; with sessions, shortly before the check | kept |
//! | stopping | fails at once | closed after a delay; with sessions, at the end | cut off at the end |
//! | stopping with a successor | fails at once | closed at once, none accepted | left to the successor |
//!
//! The health check is the front end's, at the clients' address. The delay lets the front end notice that it
//! fails. "The check" is the one by which no connection may be in use any more.
//!
//! Connections with sessions are kept as long as possible: the end of a session has to reach its viewer, and
//! in the lame-duck state no new connection arrives on which it could be sent.
use crate::interface::Micros;

/// Delay before unused connections are closed.
///
/// The front end runs a health check ten times a second and sends new connections for another 0.2 s; at a
/// planned restart they arrive for 0.4 s. A client that is disconnected sooner only reconnects here.
const UNUSED_CLOSE_DELAY_US: Micros = 500_000;
/// Delay before all connections without a pending request are closed.
///
/// The front end checks 4 s after the lame-duck call that no connection is in use. Notifications of sessions
/// that end after this delay wait for the connections that arrive once clients are accepted again.
const CLOSE_ALL_DELAY_US: Micros = 3_700_000;
/// Delay before requests that are still pending are answered.
const EXPIRE_PENDING_DELAY_US: Micros = 3_880_000;
/// Interval at which [`Lifecycle::poll`] is to be called.
const POLL_INTERVAL_US: Micros = 20_000;

/// State of a director towards its clients.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LifecycleState {
    /// Clients are served.
    Serving,
    /// Clients are sent away until the state is revoked. Requests that still arrive are served.
    LameDuck {
        /// When the state was entered.
        since: Micros,
        /// Whether pending requests have been expired already.
        pending_expired: bool,
    },
    /// The process is shutting down.
    Stopping {
        /// When the state was entered.
        since: Micros,
    },
}

/// Why a lifecycle call was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum LifecycleError {
    /// The process is shutting down.
    #[error("this process comes to its end and takes no clients again; ask the one that serves after it")]
    Stopping,
}

/// Which of the connections without a pending request are to be closed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum CloseScope {
    /// None.
    #[default]
    None,
    /// Those that no established session uses.
    Unused,
    /// All.
    All,
}

/// What is to be done about clients now.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClientActions {
    /// Which connections without a pending request to close.
    pub close: CloseScope,
    /// Whether to answer all pending requests now.
    pub expire_pending: bool,
}

/// Lifecycle state machine of one director.
#[derive(Clone, Debug)]
pub struct Lifecycle {
    state: LifecycleState,
    grace_us: Micros,
    has_successor: bool,
}

impl Lifecycle {
    /// Creates the lifecycle of a serving director.
    ///
    /// `grace_us` is the time that it has from the stop request to its exit. With `has_successor`, the
    /// platform has another process of the same director take over at the stop request.
    pub fn new(grace_us: Micros, has_successor: bool) -> Self {
        Lifecycle { state: LifecycleState::Serving, grace_us, has_successor }
    }

    /// Returns the current state.
    pub fn state(&self) -> LifecycleState {
        self.state
    }

    /// Returns whether clients are accepted, as answered to health checks and the readiness call.
    pub fn accepts_clients(&self) -> bool {
        self.state == LifecycleState::Serving
    }

    /// Enters the lame-duck state (`enabled`), or leaves it. Repeating a call has no effect.
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

    /// Starts the shutdown. Returns false if it had been started before.
    pub fn stop(&mut self, now: Micros) -> bool {
        let newly_stopping = !self.is_stopping();
        if newly_stopping {
            self.state = LifecycleState::Stopping { since: now };
        }
        newly_stopping
    }

    /// Returns whether the process is shutting down.
    pub fn is_stopping(&self) -> bool {
        matches!(self.state, LifecycleState::Stopping { .. })
    }

    /// Returns whether new connections are accepted. During shutdown a successor accepts them instead.
    pub fn accepts_connections(&self) -> bool {
        !(self.has_successor && self.is_stopping())
    }

    /// Returns whether established sessions are left to a successor at the end instead of being cut off.
    pub fn hands_over_sessions(&self) -> bool {
        self.has_successor
    }

    /// Returns the time by which the process must have exited, once it is shutting down.
    pub fn stop_deadline(&self) -> Option<Micros> {
        match self.state {
            LifecycleState::Stopping { since } => Some(since.saturating_add(self.grace_us)),
            _ => None,
        }
    }

    /// Returns what is to be done about clients now. Expiry is requested once per lame-duck period.
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

    /// Returns the time until the next poll; `None` while time alone changes nothing.
    pub fn poll_interval(&self) -> Option<Micros> {
        (self.state != LifecycleState::Serving).then_some(POLL_INTERVAL_US)
    }

    /// Returns whether the process may exit early: with a successor, once no client has anything open here.
    pub fn may_stop_early(&self, open_clients: usize) -> bool {
        self.has_successor && self.is_stopping() && open_clients == 0
    }
}
