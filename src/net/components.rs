//! All parts of a director's loop, by name, and whose a descriptor or deadline is. Knows the parts; they do
//! not know it.
use super::bulletin::Bulletin;
use super::component::{Component, Ready};
use super::door::Door;
use super::peers::Peers;
use super::shared::{Deadline, Shared};
use super::streamers::Streamers;
use super::viewers::Viewers;
use crate::director::Director;

/// All parts of a director's loop, by name for whoever has something for one of them. They are asked one
/// after the other by name, not through the trait: this comes in every turn, and must cost nothing for a part
/// that is off.
pub struct Components {
    /// Where viewers come in.
    pub viewers: Viewers,
    /// The connections to streamers.
    pub streamers: Streamers,
    /// The connection to the bulletin.
    pub discovery: Bulletin,
    /// The operators' door, where there is one.
    pub admin: Option<Door>,
    /// The sockets of the fleet, where it is on.
    pub peers: Option<Peers>,
}

impl Components {
    /// Hands a descriptor that is ready to whose it is; one that is nobody's any more is passed over.
    pub fn on_ready(&mut self, shared: &mut Shared, director: &Director, ready: Ready) {
        let Components { viewers, streamers, discovery, admin, peers } = self;
        if viewers.owns(ready.token) {
            viewers.on_ready(shared, director, ready);
        } else if streamers.owns(ready.token) {
            streamers.on_ready(shared, director, ready);
        } else if discovery.owns(ready.token) {
            discovery.on_ready(shared, director, ready);
        } else if let Some(admin) = admin.as_mut().filter(|admin| admin.owns(ready.token)) {
            admin.on_ready(shared, director, ready);
        } else if let Some(peers) = peers.as_mut().filter(|peers| peers.owns(ready.token)) {
            peers.on_ready(shared, director, ready);
        }
    }

    /// Hands a deadline to whose it is.
    pub fn on_deadline(&mut self, shared: &mut Shared, director: &Director, deadline: Deadline) {
        let _ = self.viewers.on_deadline(shared, director, deadline)
            || self.streamers.on_deadline(shared, director, deadline)
            || self.discovery.on_deadline(shared, director, deadline)
            || self.admin.as_mut().is_some_and(|admin| admin.on_deadline(shared, director, deadline))
            || self.peers.as_mut().is_some_and(|peers| peers.on_deadline(shared, director, deadline));
    }

    /// Tells each that the turn is over.
    pub fn on_turn_end(&mut self, shared: &mut Shared) {
        self.viewers.on_turn_end(shared);
        self.streamers.on_turn_end(shared);
        self.discovery.on_turn_end(shared);
        if let Some(peers) = &mut self.peers {
            peers.on_turn_end(shared);
        }
    }
}
