//! Levels of admission.

use super::*;

/// Lowers the level of the routes that earn least per call while the fleet as a whole can't keep up.
impl Gate {
    pub(crate) fn work(&mut self, now: f64, f: &Figures, note: Note, post: &mut Post) {
        match note {
            Note::In(Input::Demand { route, calls, .. } | Input::Intake { route, calls, .. }) => {
                self.demand.get_mut(route.0 as usize).into_iter().for_each(|sum| *sum += calls as f64);
            }
            Note::Tries { rt, tries, dropped } => self.times.add(BINS, rt, tries, dropped),
            Note::Fleet { busy, .. } => self.busy = busy,
            Note::In(Input::Joined { .. }) => self.again = true,
            Note::In(Input::Given(id)) => self.given(now, id),
            Note::In(Input::Taken(id)) => _ = self.slices.remove(&id),
            Note::In(Input::Wishes(wishes)) if f.admits => {
                self.wished.extend(wishes.routes.keys());
                self.wishes = wishes.routes;
                // For every route of which anything is or was set: what is over must be told as well.
                for route in self.wished.clone() {
                    self.tell(f, route, self.levels.get(route.0 as usize).copied().unwrap_or(1.0), post);
                }
            }
            Note::Tick if f.admits && now - self.weighed_at >= pace(f) => self.weigh(now, f, post),
            _ => {}
        }
    }

    /// A route's level, under its ceiling. Further tries are as operators want them, but none while calls
    /// are cut for a jam, and none that could make a call run twice.
    pub(super) fn tell(&mut self, f: &Figures, route: RouteId, level: f64, post: &mut Post) {
        let Some(old) = self.levels.get_mut(route.0 as usize) else { return };
        *old = level;
        let wish = self.wishes.get(&route).copied().unwrap_or_default();
        let retry = match wish.again.unwrap_or(f.again) {
            _ if level < 1.0 || !self.wished.contains(&route) => Retry::Never,
            Retry::Once | Retry::Twice if !f.repeatable[route.0 as usize] => Retry::IfNeverRan,
            again => again,
        };
        let level = level.min(wish.ceiling.unwrap_or(1.0));
        let order = Order::Admit { scope: Scope::Everywhere, routes: vec![route], level, retry };
        post.note(To::Channel, Note::Tell(order));
    }

    pub(super) fn weigh(&mut self, now: f64, f: &Figures, post: &mut Post) {
        let since = std::mem::replace(&mut self.weighed_at, now);
        let (span, times) = (now - since, std::mem::take(&mut self.times));
        let demand: Vec<f64> = self.demand.iter_mut().map(|sum| std::mem::take(sum) / span).collect();
        // Of slices given in the meantime, or a second before, only a part is counted.
        if self.given_at.is_some_and(|at| since < at + 1.0) {
            return;
        }
        // Slices that come from a lost director bring their calls: what was right for fewer grows with them.
        let many = std::mem::replace(&mut self.weighed, self.slices.len().max(1));
        let grown = if many == 0 { 1.0 } else { self.weighed as f64 / many as f64 };
        self.target = self.target.map(|target| target * grown);
        (self.offered, self.limit) = (self.offered * grown, self.limit * grown);
        let offered: f64 = demand.iter().sum();
        // With proxies out of reach there is little to weigh; the levels must stand when they come back.
        self.offered = offered.max(0.8 * self.offered);
        if offered < 0.5 * self.offered {
            return;
        }
        let ceiling =
            |r: usize| self.wishes.get(&RouteId(r as u16)).and_then(|wish| wish.ceiling).unwrap_or(1.0);
        let admitted = |(r, calls): (usize, &f64)| calls * self.levels[r].min(ceiling(r));
        let admitted: f64 = demand.iter().enumerate().map(admitted).sum();
        let allowed: Vec<f64> = demand.iter().enumerate().map(|(r, calls)| calls * ceiling(r)).collect();
        // Medians past 0.43 of the tightest SLO time: 0.4 cut too soon, 0.5 too late. Or two in ten dropped,
        // unless hosts are idle or quick meanwhile: then a route fails, or connections can't be made.
        let rt = times.median(BINS) / f.tightest_slo;
        let strain = if self.busy > 0.0 { self.busy / 0.8 } else { rt / 0.3 };
        let pressure = (rt / 0.43).max(strain.min(times.dropped_share() / 0.2));
        if pressure > 1.0 && (self.target.is_none() || now - self.cut_at > 2.9 * pace(f)) {
            // Less than was answered, for the jam must drain. Three spans show what a cut does.
            self.target = Some((0.85 * times.answered() / span).clamp(0.7 * admitted, 0.9 * admitted));
            (self.cut_at, self.limit) = (now, 0.9 * admitted);
        } else if pressure < 0.8 {
            // Quickly back to nearly what was too much, then by steps that grow while all goes well.
            let calm = ((now - self.cut_at) / pace(f)).min(10.0);
            let step = |target: f64| target * if target < self.limit { 1.3 } else { 1.0 + 0.015 * calm };
            self.target = self.target.map(step).filter(|target| *target < 1.3 * offered);
        }
        let again = std::mem::take(&mut self.again);
        let allows: f64 = allowed.iter().sum();
        let mut excess = self.target.map_or(0.0, |target| (allows - target).max(0.0));
        let mut order: Vec<usize> = (0..demand.len()).collect();
        order.sort_by(|a, b| f.importance[*a].total_cmp(&f.importance[*b]));
        for route in order {
            let cut = excess.min(0.95 * allowed[route]);
            excess -= cut;
            let level = if cut > 0.0 { (allowed[route] - cut) / demand[route] } else { 1.0 };
            let old = self.levels[route];
            // A twentieth is worth a line to each proxy; full admission is always told.
            let missed = again && (level < 1.0 || self.wishes.contains_key(&RouteId(route as u16)));
            if (level - old).abs() > 0.05 || (level == 1.0) != (old == 1.0) || missed {
                let (rt, dropped) = (times.median(BINS), times.dropped_share());
                let text = format!("route {route} let in at {level:.2}: rt {rt:.2} s, {dropped:.2} dropped");
                post.log(text, vec![]);
                self.tell(f, RouteId(route as u16), level, post);
            }
        }
    }
}
