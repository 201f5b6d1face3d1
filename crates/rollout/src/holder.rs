//! What a director does about its own leaving: asks for a permit when it is told to end, leaves when it has
//! one, and without one in time leaves all the same, since the platform demands it.
use crate::command::Command;
use crate::rollout::Rollout;

/// Between times that it asks.
const RETRY_MS: u64 = 250;

/// What a director should do now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HolderAction {
    /// Nothing.
    Stay,
    /// Ask for a permit by this command.
    RequestPermit(Command),
    /// Leave, by this permit or without one.
    Leave(Option<u64>),
}

/// One life of a director and its permits.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct PermitHolder {
    name: String,
    incarnation: u64,
    /// Told to end: until when it waits for a permit, and by whom.
    leave_request: Option<(u64, String)>,
    last_request_ms: u64,
    /// The last permit that it gave back. What is agreed may tell of it for a while longer: acting on it
    /// then would be acting on nothing.
    returned_permit: u64,
    left: bool,
}

impl PermitHolder {
    /// A life that serves.
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

    /// It was told to end, and may wait until a time (Unix milliseconds) for a permit.
    pub fn request_leave(&mut self, deadline_ms: u64, by: &str) {
        self.leave_request.get_or_insert((deadline_ms, by.to_owned()));
    }

    /// When [`PermitHolder::poll`] wants to be called at the latest, Unix milliseconds.
    pub fn next_poll_ms(&self) -> Option<u64> {
        let request = self.leave_request.as_ref().filter(|_| !self.left);
        request.map(|(deadline, _)| self.last_request_ms.saturating_add(RETRY_MS).min(*deadline))
    }

    /// The permit on which this life may leave, as agreed.
    pub fn permit(&self, state: &Rollout) -> Option<u64> {
        let permit = state.directors.get(&self.name)?.permit.as_ref()?;
        (permit.incarnation == self.incarnation && permit.number > self.returned_permit)
            .then_some(permit.number)
    }

    /// What it should do by what is agreed. [`HolderAction::Leave`] comes once.
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

    /// It stays after all, where it has a permit and has not left by it.
    pub fn return_permit(&mut self, state: &Rollout) -> Option<Command> {
        let number = self.permit(state).filter(|_| !self.left)?;
        self.returned_permit = number;
        self.leave_request = None;
        Some(Command::Return { name: self.name.clone(), number })
    }
}
