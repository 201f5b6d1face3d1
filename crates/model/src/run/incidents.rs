//! What goes wrong in a run: incidents begin and end, directors die and start again, lists come late.
use super::*;

impl Run<'_> {
    pub(super) fn streamers_of(&self, hall: usize) -> Vec<usize> {
        (0..self.world.streamers.len()).filter(|i| self.world.streamers[*i].hall == hall).collect()
    }

    pub(super) fn begin(&mut self, incident: &Incident) {
        let hall = self.scenario.halls.iter().position(|h| *h == incident.hall).unwrap_or(0);
        if !incident.played {
            if matches!(incident.kind, Kind::Loss | Kind::Cut) {
                self.first_loss.get_or_insert((self.now, hall));
            }
            return;
        }
        let streamers = self.streamers_of(hall);
        let part = ((streamers.len() as f64 * incident.size).ceil() as usize).min(streamers.len());
        match incident.kind {
            Kind::Loss | Kind::Cut => {
                self.first_loss.get_or_insert((self.now, hall));
                self.lost_halls.insert(hall);
                if incident.kind == Kind::Cut {
                    self.cut.insert(hall);
                }
                for i in streamers {
                    if incident.kind == Kind::Loss {
                        let s = &mut self.world.streamers[i];
                        (s.alive, s.refuses, s.stalled) = (false, incident.refused, false);
                    }
                    self.silent(i);
                }
                if incident.kind == Kind::Cut {
                    let others: Vec<usize> = (0..self.world.streamers.len())
                        .filter(|i| self.world.streamers[*i].hall != hall)
                        .collect();
                    others.into_iter().for_each(|i| self.silent(i));
                }
                if incident.directors {
                    let here: Vec<usize> =
                        (0..self.nodes.len()).filter(|n| self.nodes[*n].hall == hall).collect();
                    here.into_iter().for_each(|node| self.kill(node));
                }
                if incident.listed && incident.kind == Kind::Loss {
                    let streamers = self.streamers_of(hall);
                    self.soon(4 * SECOND, Event::Publish(streamers, 0.0));
                }
            }
            Kind::Stall => {
                streamers.into_iter().take(part).for_each(|i| self.world.streamers[i].stalled = true)
            }
            Kind::Short => {
                let halls = self.scenario.halls.len();
                for (r, rack) in self.world.racks.iter_mut().enumerate() {
                    if r % halls == hall {
                        rack.left = 1.0 - incident.size;
                    }
                }
            }
            Kind::Restart => {
                let count = (self.nodes.len() as f64 * incident.size).ceil() as usize;
                for node in 0..count.min(self.nodes.len()) {
                    self.kill(node);
                    self.revive(node);
                }
            }
        }
    }

    pub(super) fn end(&mut self, incident: &Incident) {
        if !incident.played {
            return;
        }
        let hall = self.scenario.halls.iter().position(|h| *h == incident.hall).unwrap_or(0);
        match incident.kind {
            Kind::Loss | Kind::Cut => {
                self.lost_halls.remove(&hall);
                self.cut.remove(&hall);
                let streamers = self.streamers_of(hall);
                if incident.kind == Kind::Loss {
                    for i in &streamers {
                        let s = &mut self.world.streamers[*i];
                        (s.alive, s.refuses, s.started_at) = (true, false, Some(self.now));
                    }
                    if incident.listed {
                        self.soon(SECOND, Event::Publish(streamers, incident.late_half_s));
                    }
                }
                if incident.directors {
                    let here: Vec<usize> =
                        (0..self.nodes.len()).filter(|n| self.nodes[*n].hall == hall).collect();
                    here.into_iter().for_each(|node| self.revive(node));
                }
            }
            Kind::Stall => {
                self.streamers_of(hall).into_iter().for_each(|i| self.world.streamers[i].stalled = false)
            }
            Kind::Short => self.world.racks.iter_mut().for_each(|r| r.left = 1.0),
            Kind::Restart => {}
        }
    }

    /// A streamer fell silent for those that can't reach it: their sessions there get nothing, and they find
    /// out by dialling again, as the transport does.
    pub(super) fn silent(&mut self, streamer: usize) {
        let s = &self.world.streamers[streamer];
        let (alive, refuses) = (s.alive, s.refuses);
        let mut nodes = BTreeSet::new();
        for id in self.at[streamer].clone() {
            let call = &self.calls[&id];
            let node = call.node;
            if !alive {
                self.unbook(id);
            }
            if !self.reaches(self.nodes[node].hall, streamer) {
                nodes.insert(node);
            }
        }
        for node in nodes {
            let epoch = self.nodes[node].epoch;
            let (first, lost) = if refuses {
                (self.span(0.001, 0.25), 3 * SECOND / 4)
            } else {
                (self.span(0.25, 2.25), 7 * SECOND / 2)
            };
            let contact = Input::Contact { streamer: StreamerId(streamer as u32), up: false };
            self.soon(first, Event::Hear(node, epoch, contact));
            self.soon(lost, Event::Lost(node, epoch, streamer));
        }
    }

    /// A director dies: its sessions end, and their viewers and those that wait come again.
    pub(super) fn kill(&mut self, node: usize) {
        let n = &mut self.nodes[node];
        (n.core, n.epoch) = (None, n.epoch + 1);
        let theirs: Vec<RequestId> =
            self.calls.iter().filter(|(_, c)| c.node == node).map(|(id, _)| *id).collect();
        for id in theirs {
            self.unbook(id);
            if let Some(call) = self.calls.remove(&id) {
                self.again(call.viewer, 0);
            }
        }
    }

    /// It starts again, with the list as it was told last and nothing else.
    pub(super) fn revive(&mut self, node: usize) {
        let hall = self.nodes[node].hall;
        let Ok((core, halls)) = self.core(node, hall) else { return };
        (self.nodes[node].core, self.nodes[node].halls) = (Some(core), halls);
        let entries = self.told.clone();
        self.turn(node, Input::List { scope: ListScope::Cached, entries });
    }

    /// The list tells how streamers stand; each director hears it a little later, half of them by `late`
    /// more.
    pub(super) fn publish(&mut self, streamers: &[usize], late_half_s: f64) {
        let entries: Vec<Entry> = streamers.iter().map(|i| self.world.entry(*i)).collect();
        for entry in &entries {
            self.told[entry.streamer.0 as usize] = entry.clone();
        }
        for node in 0..self.nodes.len() {
            let late = if (node / self.scenario.halls.len()).is_multiple_of(2) { 0.0 } else { late_half_s };
            let wait = self.span(0.0, 0.5) + (late * SECOND as f64) as Micros;
            let input = Input::List { scope: ListScope::Delta, entries: entries.clone() };
            let epoch = self.nodes[node].epoch;
            self.soon(wait, Event::Hear(node, epoch, input));
        }
    }
}
