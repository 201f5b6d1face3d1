//! All parts of a director's loop, by name, and whose a descriptor or deadline is. Knows the parts; they do
//! not know it.
use super::admin::AdminServer;
use super::discovery::DiscoveryClient;
use super::part::{Part, Ready};
use super::peers::Peers;
use super::shared::{Due, Shared};
use super::streamers::Streamers;
use super::viewers::Viewers;
use crate::director::Director;

/// All parts of a director's loop, by name for whoever has something for one of them. They are asked one
/// after the other by name, not through the trait: this comes in every turn, and must cost nothing for a part
/// that is off.
pub struct Parts {
    /// Where viewers come in.
    pub viewers: Viewers,
    /// The connections to streamers.
    pub streamers: Streamers,
    /// The connection to the bulletin.
    pub bulletin: DiscoveryClient,
    /// The operators' door, where there is one.
    pub door: Option<AdminServer>,
    /// The sockets of the fleet, where it is on.
    pub peers: Option<Peers>,
}

impl Parts {
    /// Hands a descriptor that is ready to whose it is; one that is nobody's any more is passed over.
    pub fn ready(&mut self, shared: &mut Shared, director: &Director, ready: Ready) {
        let Parts { viewers, streamers, bulletin, door, peers } = self;
        if viewers.owns(ready.token) {
            viewers.ready(shared, director, ready);
        } else if streamers.owns(ready.token) {
            streamers.ready(shared, director, ready);
        } else if bulletin.owns(ready.token) {
            bulletin.ready(shared, director, ready);
        } else if let Some(door) = door.as_mut().filter(|door| door.owns(ready.token)) {
            door.ready(shared, director, ready);
        } else if let Some(peers) = peers.as_mut().filter(|peers| peers.owns(ready.token)) {
            peers.ready(shared, director, ready);
        }
    }

    /// Hands a deadline to whose it is.
    pub fn due(&mut self, shared: &mut Shared, director: &Director, due: Due) {
        let _ = self.viewers.due(shared, director, due)
            || self.streamers.due(shared, director, due)
            || self.bulletin.due(shared, director, due)
            || self.door.as_mut().is_some_and(|door| door.due(shared, director, due))
            || self.peers.as_mut().is_some_and(|peers| peers.due(shared, director, due));
    }

    /// Tells each that the turn is over.
    pub fn turned(&mut self, shared: &mut Shared) {
        self.viewers.turned(shared);
        self.streamers.turned(shared);
        self.bulletin.turned(shared);
        if let Some(peers) = &mut self.peers {
            peers.turned(shared);
        }
    }
}
