//! The Erlang-loss pools of Chen & Verma's paper: what each pool earns, how the slots are split, and which
//! requests count as demand.
use super::*;

/// Blocking probability of a pool with one more slot, by the numerically stable Erlang B recursion.
fn erlang_step(blocking: f64, offered: f64, slots: usize) -> f64 {
    offered * blocking / (slots as f64 + offered * blocking)
}

/// Payoff of a pool per second: the carried load (in Erlang) times its worth, less `loss_cost` times the
/// blocking probability.
pub fn erlang_payoff(offered: f64, slots: usize, worth_per_s: f64, loss_cost: f64) -> f64 {
    let blocking = (1..=slots).fold(1.0, |b, n| erlang_step(b, offered, n));
    worth_per_s * offered * (1.0 - blocking) - loss_cost * blocking
}

/// Splits `slots` over classes `(offered load, worth per second)`, giving each slot to the class where it
/// earns most. The payoff is concave in the number of slots, so this greedy split is optimal.
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

/// The paper's greedy rule, for use until enough arrivals are counted: slots in proportion to the weights,
/// the remainder in order of the classes.
fn split_by_weight(weights: &[f64], slots: usize) -> Vec<usize> {
    let total: f64 = weights.iter().sum::<f64>().max(f64::MIN_POSITIVE);
    let mut split: Vec<usize> = weights.iter().map(|w| (slots as f64 * w / total) as usize).collect();
    let (assigned, classes) = (split.iter().sum::<usize>(), split.len());
    (assigned..slots).for_each(|i| split[i % classes] += 1);
    split
}

impl Controller {
    /// Chooses the split anew. The number of slots follows from links, uplinks and streams, and is shared by
    /// the controllers.
    pub(super) fn rechoose_split(&mut self, out: &mut Actions) {
        let mut links: BTreeMap<u32, f64> = BTreeMap::new();
        let mut streams = 0.0;
        for s in self.streamers.values().filter(|s| s.entry.standing == Standing::Up) {
            *links.entry(self.settings.rack_of(&s.entry)).or_default() += s.link.capacity_kb;
            streams += self.settings.max_streams(&s.entry);
        }
        let kb: f64 = links
            .iter()
            .map(|(rack, kb)| kb.min(self.racks.get(rack).map_or(*kb, |uplink| uplink.capacity_kb)))
            .sum();
        let slots = (kb * SLOT_LINK_SHARE / self.slot_kb / self.best_rung_slots())
            .min(streams)
            .clamp(0.0, 1e5) as usize;
        let arrivals: f64 = self.class_counts.iter().map(|counts| counts.arrivals).sum();
        let controllers = f64::from(self.settings.controllers);
        let split = if arrivals < MIN_ARRIVALS_FOR_SPLIT {
            let weight = |(class, counts): (&Class, &ClassCounts)| class.worth * (counts.arrivals + 1.0);
            split_by_weight(
                &self.settings.classes.iter().zip(&self.class_counts).map(weight).collect::<Vec<_>>(),
                slots,
            )
        } else {
            let fleet_load =
                |class: usize| (self.offered_load(class).0 * controllers, self.offered_load(class).1);
            split_slots(&(0..self.class_counts.len()).map(fleet_load).collect::<Vec<_>>(), slots)
        };
        // The split is that of the whole fleet. Fractions are rounded at random, in proportion, so that no
        // slot is lost over all controllers.
        let part: Vec<_> =
            split.iter().map(|slots| (*slots as f64 / controllers + self.chance()) as usize).collect();
        let (old, pools) = (std::mem::replace(&mut self.pools, part), &self.pools);
        if old != *pools {
            out.push(Action::Log(format!("split re-chosen: {pools:?}, part of {slots} slots (was {old:?})")));
        }
    }

    /// Offered load of a class, in slots, and the worth of a slot per second.
    fn offered_load(&self, class: usize) -> (f64, f64) {
        let (settings, counts) = (&self.settings.classes[class], &self.class_counts[class]);
        let ended: f64 = self.class_counts.iter().map(|counts| counts.ended).sum();
        let watched: f64 = self.class_counts.iter().map(|counts| counts.watched_s).sum();
        // Assumes one end in half a minute until ends are counted.
        let overall_s = (watched + 30.0) / (ended + 1.0);
        let mean_s = (counts.watched_s + 3.0 * overall_s) / (counts.ended + 3.0);
        (counts.arrivals / self.counted_s.max(1.0) * mean_s * settings.scale, settings.worth / settings.scale)
    }

    /// Part of a slot that a session takes at the rung with the highest worth for its rate [D1].
    fn best_rung_slots(&self) -> f64 {
        let per_kb = |rung: &usize| self.settings.ladder_worth[*rung] / self.settings.ladder_kb[*rung];
        let best = (0..self.settings.ladder_kb.len()).max_by(|a, b| per_kb(a).total_cmp(&per_kb(b)));
        best.map_or(1.0, |rung| (self.settings.ladder_kb[rung] / self.slot_kb).min(1.0))
    }

    /// Whether the pool of the session's class has a free slot; otherwise the session borrows an idle one.
    pub(super) fn has_own_slot(&self, session: &SessionState) -> bool {
        let class = session.request.class.0;
        (self.class_sessions[class] + 1) as f64 * self.settings.classes[class].scale
            <= self.pools[class] as f64
    }

    /// Counts a request as demand. A viewer's retries are not counted: they are recognised by the viewer's
    /// key and by the request's `returned` mark.
    pub(super) fn count_arrival(&mut self, request: &Request, worth: f64) {
        let first = f64::from(u8::from(!request.returned));
        let new = first * f64::from(u8::from(!self.known_viewers.contains_key(&request.viewer)));
        self.probe_credit += first * PROBES_PER_SESSION;
        self.class_counts[request.class.0].arrivals += new;
        self.known_viewers.insert(request.viewer, (self.now, worth));
    }

    /// [D7] The worth of a tenant's request, by how far its traffic exceeds this controller's part of its
    /// quota.
    pub(super) fn tenant_worth(&mut self, tenant: Option<TenantId>) -> f64 {
        let Some(t) = tenant.map(|t| t.0).filter(|t| *t < self.tenant_arrivals.len()) else { return 1.0 };
        self.tenant_arrivals[t] += 1.0;
        let part =
            self.settings.tenants[t].quota_per_s * TENANT_WINDOW_S / f64::from(self.settings.controllers);
        let within = (part + TENANT_PRIOR_ARRIVALS) / (self.tenant_arrivals[t] + TENANT_PRIOR_ARRIVALS);
        self.settings.over_share_worth + (1.0 - self.settings.over_share_worth) * within.min(1.0)
    }

    /// Whether the title of a session is known to exist: a session of it has started here.
    pub(super) fn is_proven(&self, session: &SessionState) -> bool {
        self.proven_titles.contains_key(&session.request.title)
    }
}
