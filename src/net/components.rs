//! The components of the event loop, and the dispatch of ready descriptors and deadlines to them. The
//! components do not depend on this module.
use super::admin::AdminServer;
use super::component::{Component, Ready};
use super::discovery::DiscoveryClient;
use super::peers::Peers;
use super::shared::{Deadline, Shared};
use super::streamers::Streamers;
use super::viewers::Viewers;
use crate::director::Director;

/// The components of the event loop.
///
/// They are named fields and not a list of trait objects, so that other code can call a specific one.
/// Dispatch happens in every turn and must cost nothing for a component that is disabled.
pub struct Components {
    /// The viewers' listener and connections.
    pub viewers: Viewers,
    /// The connections to streamers.
    pub streamers: Streamers,
    /// The connection to discovery.
    pub discovery: DiscoveryClient,
    /// The admin interface, if enabled.
    pub admin: Option<AdminServer>,
    /// The sockets of the fleet, if enabled.
    pub peers: Option<Peers>,
}

impl Components {
    /// Passes a ready descriptor to the component that owns it. Does nothing if none owns it any more.
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

    /// Passes a deadline to the component that it belongs to.
    pub fn on_deadline(&mut self, shared: &mut Shared, director: &Director, deadline: Deadline) {
        let _ = self.viewers.on_deadline(shared, director, deadline)
            || self.streamers.on_deadline(shared, director, deadline)
            || self.discovery.on_deadline(shared, director, deadline)
            || self.admin.as_mut().is_some_and(|admin| admin.on_deadline(shared, director, deadline))
            || self.peers.as_mut().is_some_and(|peers| peers.on_deadline(shared, director, deadline));
    }

    /// Performs each component's work at the end of the turn.
    pub fn on_turn_end(&mut self, shared: &mut Shared) {
        self.viewers.on_turn_end(shared);
        self.streamers.on_turn_end(shared);
        self.discovery.on_turn_end(shared);
        if let Some(peers) = &mut self.peers {
            peers.on_turn_end(shared);
        }
    }
}
