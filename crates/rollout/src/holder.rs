//! A director's own departure: it requests a permit when told to end, leaves once it has one, and leaves
//! without one at the deadline, since the platform demands it.
use crate::command::Command;
use crate::rollout::Rollout;

/// Interval between requests for a permit.
const RETRY_MS: u64 = 250;

/// What the director has to do now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HolderAction {
    /// Nothing; stay in service.
    Stay,
    /// Propose this command to request a permit.
    RequestPermit(Command),
    /// Leave, under this permit or without one.
    Leave(Option<u64>),
}

/// One incarnation of a director and its permits.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct PermitHolder {
    name: String,
    incarnation: u64,
    /// If told to end: the deadline for a permit (Unix milliseconds), and who told it.
    leave_request: Option<(u64, String)>,
    last_request_ms: u64,
    /// The latest permit that it returned. The replicated state heard here may still show that permit for a
    /// while; it must not be used then.
    returned_permit: u64,
    left: bool,
}

impl PermitHolder {
    /// Creates the state of an incarnation that is in service.
    pub fn new(name: &str, incarnation: u64) -> PermitHolder {
        let name = name.to_owned();
        PermitHolder {
            name,
            incarnation,
            leave_request: None,
            last_request_ms: 0,
            returned_permit: 0,
            left: false,
        }
    }

    /// Requests departure, waiting for a permit until the deadline (Unix milliseconds).
    pub fn request_leave(&mut self, deadline_ms: u64, by: &str) {
        self.leave_request.get_or_insert((deadline_ms, by.to_owned()));
    }

    /// The latest time at which [`PermitHolder::poll`] has to be called, Unix milliseconds.
    pub fn next_poll_ms(&self) -> Option<u64> {
        let request = self.leave_request.as_ref().filter(|_| !self.left);
        request.map(|(deadline, _)| self.last_request_ms.saturating_add(RETRY_MS).min(*deadline))
    }

    /// The permit in the given state under which this incarnation may leave.
    pub fn permit(&self, state: &Rollout) -> Option<u64> {
        let permit = state.directors.get(&self.name)?.permit.as_ref()?;
        (permit.incarnation == self.incarnation && permit.number > self.returned_permit)
            .then_some(permit.number)
    }

    /// Returns what to do by the given state. [`HolderAction::Leave`] is returned only once.
    pub fn poll(&mut self, now_ms: u64, state: &Rollout) -> HolderAction {
        if self.left {
            return HolderAction::Stay;
        }
        if let Some(number) = self.permit(state) {
            self.left = true;
            return HolderAction::Leave(Some(number));
        }
        let Some((deadline, by)) = &self.leave_request else { return HolderAction::Stay };
        if *deadline <= now_ms {
            self.left = true;
            return HolderAction::Leave(None);
        }
        if self.last_request_ms.saturating_add(RETRY_MS) > now_ms {
            return HolderAction::Stay;
        }
        self.last_request_ms = now_ms;
        HolderAction::RequestPermit(Command::Ask { name: self.name.clone(), by: by.clone(), now_ms })
    }

    /// Cancels the departure: returns the command that gives back its permit, if it has one and has not left
    /// under it.
    pub fn return_permit(&mut self, state: &Rollout) -> Option<Command> {
        let number = self.permit(state).filter(|_| !self.left)?;
        self.returned_permit = number;
        self.leave_request = None;
        Some(Command::Return { name: self.name.clone(), number })
    }
}
