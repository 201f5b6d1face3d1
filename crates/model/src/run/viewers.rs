//! The viewers of a run: who comes, to which director, and when again.
use super::*;

impl Run<'_> {
    pub(super) fn arrive(&mut self) {
        let per_s = self.world.arrivals_per_s(self.scenario.load, LIFE_S);
        let halls = self.scenario.halls.len();
        let first = self.scenario.first_hall;
        let home = if halls == 1 || self.crowd.random::<f64>() < first {
            0
        } else {
            1 + self.crowd.random_range(0..halls - 1)
        };
        let class = ClassId(usize::from(self.crowd.random::<f64>() >= 0.35));
        let mut chance = |least: f64, most: f64| {
            ((least + (most - least) * self.crowd.random::<f64>()) * SECOND as f64) as Micros
        };
        let life = if class.0 == 0 { chance(26.0, 65.0) } else { chance(20.0, 50.0) };
        let top = if self.crowd.random::<f64>() < 0.3 { 1 } else { 3 };
        let (from, until) = (self.now, self.now + life);
        self.viewers.push(Viewer { home, class, top, from, until, returned: false });
        self.ask(self.viewers.len() - 1);
        if per_s > 0.0 {
            // Poisson arrivals: waits are exponential.
            let wait = -(1.0 - self.crowd.random::<f64>()).ln() / per_s;
            self.soon(((wait * SECOND as f64) as Micros).max(1), Event::Arrive);
        }
    }

    /// The director that a viewer's front leads to: of its hall, unevenly; where none runs there, of another.
    pub(super) fn front(&mut self, home: usize) -> Option<usize> {
        let runs = |n: &Node| n.core.is_some();
        let some = self.nodes.iter().any(|n| n.hall == home && runs(n));
        let here: Vec<usize> = (0..self.nodes.len())
            .filter(|i| runs(&self.nodes[*i]) && (!some || self.nodes[*i].hall == home))
            .collect();
        let lean = self.scenario.lean;
        let weight = |i: &usize| {
            1.0 + lean * if (i / self.scenario.halls.len()).is_multiple_of(2) { 1.0 } else { -0.5 }
        };
        let mut at = self.dice.random::<f64>() * here.iter().map(weight).sum::<f64>();
        here.iter().copied().find(|i| {
            at -= weight(i);
            at <= 0.0
        })
    }

    pub(super) fn ask(&mut self, viewer: usize) {
        let v = &self.viewers[viewer];
        if v.until <= self.now + SECOND / 2 {
            return;
        }
        let (home, class, top, returned) = (v.home, v.class, v.top, v.returned);
        let Some(node) = self.front(home) else { return self.again(viewer, 0) };
        let id = RequestId(self.out.requests + 1);
        self.out.requests += 1;
        let request = Request {
            id,
            class,
            tenant: None,
            title: TitleId(self.dice.random_range(0..TITLES)),
            viewer: ViewerId(viewer as u32),
            start_cell: 0,
            cells_in_row: self.world.settings.cells,
            max_rung: top,
            left_us: DEADLINE,
            returned,
            beside: 0,
        };
        let (epoch, deadline) = (self.nodes[node].epoch, self.now + DEADLINE);
        let rung = self.world.settings.classes[class.0].lowest_rung;
        let call = Call {
            viewer,
            node,
            epoch,
            deadline,
            asked_at: self.now,
            rung,
            answered: false,
            out: None,
            may_have_run: false,
            stands: None,
            playing: false,
        };
        self.calls.insert(id, call);
        let parcel = Rc::new(Parcel::default());
        self.turn(node, Input::Wanted { link: ViewerLink(viewer), request, parcel });
    }

    /// A viewer comes again after a pause, or a longer one that it was told.
    pub(super) fn again(&mut self, viewer: usize, hold_off: Micros) {
        if self.dice.random::<f64>() < 0.9 {
            let pause = self.span(0.62, 3.0).max(hold_off);
            self.viewers[viewer].returned = true;
            self.soon(pause, Event::Ask(viewer));
        }
    }

    pub(super) fn done(&mut self, id: RequestId) {
        let Some(call) = self.calls.get(&id) else { return };
        let (node, epoch, streamer) = (call.node, call.epoch, call.stands);
        let Some(streamer) = streamer else { return };
        let report = LoadReport::default();
        let from = StreamerId(streamer as u32);
        self.unbook(id);
        if self.nodes[node].epoch == epoch && self.reaches(self.nodes[node].hall, streamer) {
            let (why, description) = (SessionEnd::Ended, Vec::new());
            let input =
                Input::Released { streamer: from, session: id, number: None, why, description, report };
            self.turn(node, input);
        }
        self.calls.remove(&id);
    }
}
