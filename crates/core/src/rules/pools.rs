//! The paper's Erlang-loss pools: what each earns, how the slots are split, whose demand counts.
use super::*;

/// Blocking of a pool with one slot more, by the stable Erlang B recursion.
fn erlang_step(blocking: f64, offered: f64, slots: usize) -> f64 {
    offered * blocking / (slots as f64 + offered * blocking)
}

/// Payoff a second of a pool: carried load (Erlang) times its worth, less `loss_cost` at full blocking.
pub fn erlang_payoff(offered: f64, slots: usize, worth_per_s: f64, loss_cost: f64) -> f64 {
    let blocking = (1..=slots).fold(1.0, |b, n| erlang_step(b, offered, n));
    worth_per_s * offered * (1.0 - blocking) - loss_cost * blocking
}

/// Splits `slots` over classes `(offered load, worth a second)`, each where it earns most: concave, so exact.
pub fn split_slots(classes: &[(f64, f64)], slots: usize) -> Vec<usize> {
    let mut split = vec![0; classes.len()];
    let mut blocking = vec![1.0; classes.len()];
    for _ in 0..slots {
        let gain = |c: usize| {
            let (offered, worth) = classes[c];
            worth * offered * (blocking[c] - erlang_step(blocking[c], offered, split[c] + 1))
        };
        let best = (0..classes.len()).max_by(|&a, &b| gain(a).total_cmp(&gain(b)).then(b.cmp(&a)));
        let Some(best) = best else { break };
        split[best] += 1;
        blocking[best] = erlang_step(blocking[best], classes[best].0, split[best]);
    }
    split
}

/// The paper's greedy rule until arrivals are counted: slots by weight, the remainder in order.
fn split_by_weight(weights: &[f64], slots: usize) -> Vec<usize> {
    let total: f64 = weights.iter().sum::<f64>().max(f64::MIN_POSITIVE);
    let mut split: Vec<usize> = weights.iter().map(|w| (slots as f64 * w / total) as usize).collect();
    let (given, classes) = (split.iter().sum::<usize>(), split.len());
    (given..slots).for_each(|i| split[i % classes] += 1);
    split
}

impl Controller {
    /// Re-chooses the split: slots from links, uplinks and streams, shared over the controllers.
    pub(super) fn choose(&mut self, out: &mut Out) {
        let mut links: BTreeMap<u32, f64> = BTreeMap::new();
        let mut streams = 0.0;
        for s in self.streamers.values().filter(|s| s.entry.standing == Standing::Up) {
            *links.entry(self.set.rack_of(&s.entry)).or_default() += s.link.cap_kb;
            streams += self.set.max_streams(&s.entry);
        }
        let kb: f64 = links.iter().map(|(r, kb)| kb.min(self.racks.get(r).map_or(*kb, |g| g.cap_kb))).sum();
        // The split is the whole fleet's; a fraction of a slot is one with that chance, so none is lost.
        let slots = (kb * SLOT_MARGIN / self.slot_kb / self.elastic()).min(streams).clamp(0.0, 1e5) as usize;
        let arrivals: f64 = self.meters.iter().map(|m| m.arrivals).sum();
        let n = f64::from(self.set.controllers);
        let split = if arrivals < COUNTED {
            let earns = |(c, m): (&Class, &Meter)| c.worth * (m.arrivals + 1.0);
            split_by_weight(&self.set.classes.iter().zip(&self.meters).map(earns).collect::<Vec<_>>(), slots)
        } else {
            let fleet = |c: usize| (self.offered(c).0 * n, self.offered(c).1);
            split_slots(&(0..self.meters.len()).map(fleet).collect::<Vec<_>>(), slots)
        };
        let part: Vec<_> = split.iter().map(|slots| (*slots as f64 / n + self.chance()) as usize).collect();
        let (old, pools) = (std::mem::replace(&mut self.pools, part), &self.pools);
        if old != *pools {
            out.push(Action::Log(format!("split re-chosen: {pools:?}, part of {slots} slots (was {old:?})")));
        }
    }

    /// Offered load of a class in slots, and worth of a slot a second.
    fn offered(&self, class: usize) -> (f64, f64) {
        let (c, m) = (&self.set.classes[class], &self.meters[class]);
        let ended: f64 = self.meters.iter().map(|m| m.ended).sum();
        let watched: f64 = self.meters.iter().map(|m| m.watched_s).sum();
        let usual_s = (watched + 30.0) / (ended + 1.0); // one end in half a minute until ends are counted
        let mean_s = (m.watched_s + 3.0 * usual_s) / (m.ended + 3.0);
        (m.arrivals / self.counted_s.max(1.0) * mean_s * c.scale, c.worth / c.scale)
    }

    /// Part of a middle-rung slot that a session takes at the rung which earns most for its rate [D1].
    fn elastic(&self) -> f64 {
        let per_kb = |r: &usize| self.set.ladder_worth[*r] / self.set.ladder_kb[*r];
        let best = (0..self.set.ladder_kb.len()).max_by(|a, b| per_kb(a).total_cmp(&per_kb(b)));
        best.map_or(1.0, |r| (self.set.ladder_kb[r] / self.slot_kb).min(1.0))
    }

    /// Whether the session's own pool takes one more; else it borrows another's idle slot.
    pub(super) fn own_slot(&self, session: &Session) -> bool {
        let class = session.request.class.0;
        (self.held[class] + 1) as f64 * self.set.classes[class].scale <= self.pools[class] as f64
    }

    /// Counts a request as demand. Retries are none: viewers are known by their key and the mark of a return.
    pub(super) fn count(&mut self, request: &Request, worth: f64) {
        let first = f64::from(u8::from(!request.returned));
        let new = first * f64::from(u8::from(!self.viewers.contains_key(&request.viewer)));
        self.probes += first * PROBES_PER_SESSION;
        self.meters[request.class.0].arrivals += new;
        self.viewers.insert(request.viewer, (self.now, worth));
    }

    /// [D7] What a tenant's request is worth, by how much of its traffic is past this controller's part.
    pub(super) fn tenant_worth(&mut self, tenant: Option<TenantId>) -> f64 {
        let Some(t) = tenant.map(|t| t.0).filter(|t| *t < self.tenants.len()) else { return 1.0 };
        self.tenants[t] += 1.0;
        let part = self.set.tenants[t].quota_per_s * TENANT_S / f64::from(self.set.controllers);
        let within = (part + TENANT_SURE) / (self.tenants[t] + TENANT_SURE);
        self.set.over_share_worth + (1.0 - self.set.over_share_worth) * within.min(1.0)
    }

    /// Whether the title of a session is known to exist: one has stood here.
    pub(super) fn proven(&self, session: &Session) -> bool {
        self.titles.contains_key(&session.request.title)
    }
}
