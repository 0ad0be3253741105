//! Tables: what they hear, their round, who is open, who is withdrawn, what the channel is asked for.

use super::*;

impl Tables {
    pub(crate) fn work(&mut self, now: f64, f: &Figures, note: Note, post: &mut Post) {
        match note {
            // Weights set by hand must show: balancing goes on until the gap is under 2, not past 8 only.
            Note::In(Input::Wishes(wishes)) => (self.wishes, self.balancing.moving) = (wishes, true),
            Note::Tick => self.tick(now, f, post),
            note => self.heard(now, f, note, post),
        }
    }

    pub(super) fn tick(&mut self, now: f64, f: &Figures, post: &mut Post) {
        // Eight seconds: near the time for which slices stay in demand, so that the score follows it.
        if now - self.halved > 8.0 {
            self.slices.values_mut().flat_map(|s| s.demand.iter_mut()).for_each(|sum| *sum /= 2.0);
            self.halved = now;
        }
        if now - self.compared_at >= pace(f) {
            self.calls = std::mem::take(&mut self.came) / (now - self.compared_at) / self.slices.len() as f64;
            self.compared_at = now;
            self.compare(post);
            let quick = self.rt > 0.0 && self.rt < 0.25 * f.tightest_slo;
            self.borne = if quick { self.calls } else { self.borne };
            self.score(f);
            // Notch by notch on the plan: the loads are reckoned anew each time, nothing need be awaited.
            (0..4).for_each(|_| self.share());
        }
        // A fifth of a second gathers the lines that follow a slice given.
        if now - self.given_at < 0.2 {
            return;
        }
        // Rule 1 comes before a wish: while no other warm host is open, those drained by hand serve.
        let other = |(host, v): (&HostId, &View)| {
            v.ready && v.proven && !v.suspect && v.ramp >= 1.0 && !self.wishes.drained.contains(host)
        };
        self.alone = !self.views.iter().any(other);
        // Five seconds: by then sums tell of what was told since, and what a host has room for differs.
        self.refused.retain(|_, at| now - *at < 5.0);
        // Also with nobody left: the third rule binds whatever tables proxies hold.
        self.suspects(now, post);
        if !self.views.values().any(|v| v.ready) {
            return;
        }
        self.lay(f, post);
        self.rescue(now, f);
        // One slice in half a second: caches warm up between moves and the channel stays free.
        if now - self.moved_at >= 0.5 {
            self.moved_at = now;
            (0..self.slices.len().div_ceil(100)).for_each(|_| self.balance(now, f, post));
        }
        self.standbys(f);
        self.write(f, post);
    }

    pub(super) fn compare(&mut self, post: &mut Post) {
        let heard = || self.views.values().filter(|v| v.ready && v.answered >= 1.0);
        self.rt = median(heard().map(|v| v.rt).collect());
        let (rt, busy) = (self.rt, median(heard().filter_map(|v| v.busy).collect()));
        let hosts = self.views.keys().map(|host| To::Host(*host));
        hosts.chain([To::Gate]).for_each(|to| post.note(to, Note::Fleet { rt, busy }));
    }

    /// A stranger on the list, which has answered nobody yet, is none of ours to use.
    pub(crate) fn is_open(&self, host: HostId) -> bool {
        let fit = self.views.get(&host).is_some_and(|v| v.ready && v.proven);
        fit && !self.withdrawn.contains_key(&host) && !self.drained(host)
    }

    /// A slice is kept away from a host by hand or by the guard, as long as another warm one could have it.
    pub(super) fn apart(&self, id: SliceId, host: HostId) -> bool {
        let apart = |h: HostId| self.wishes.apart.contains(&(id, h)) || self.refused.contains_key(&(id, h));
        apart(host) && self.open().into_iter().any(|host| !apart(host) && self.views[&host].ramp >= 1.0)
    }

    pub(super) fn suspects(&mut self, now: f64, post: &mut Post) {
        self.means();
        let ready = || self.views.values().filter(|v| v.ready && v.proven);
        let (many, doubtful) = (ready().count(), ready().filter(|v| v.suspect).count());
        // A director that starts in the middle of a loss finds the lost hosts in the store's tables.
        self.most = if self.most == 0 { self.views.len() } else { self.most.max(many) };
        // Up to four in ten, a zone of three and a host: past that our own view is more likely to fail.
        let few = doubtful as f64 <= 0.4 * many as f64;
        // Once a second for all that joined meanwhile: a crowd that returns would else fill the channel.
        let again = self.again && now - self.retold_at >= 1.0;
        if again {
            (self.again, self.retold_at) = (false, now);
        }
        for (host, view) in &self.views {
            let since = self.withdrawn.get(host).copied();
            // Young behind our back, in full tables: out for a second, till its lines are fewer.
            let young = view.restarted.is_some_and(|at| now - at < 1.0);
            let shut = !view.ready || young || few && view.suspect;
            // Told again as long as a table names it, which the channel knows: however long it is gone, a slice that
            // is given may bring it back.
            if shut != since.is_some() || again && shut {
                post.note(To::Channel, Note::Tell(Order::Withdraw { host: *host, out: shut }));
            }
            if shut && view.suspect && since.is_none() {
                post.note(To::Host(*host), Note::Out);
            }
            // It is back when the proxies have been told.
            self.withdrawn.extend(shut.then(|| (*host, since.unwrap_or(now))));
        }
    }

    pub(super) fn write(&mut self, f: &Figures, post: &mut Post) {
        let mut slices = std::mem::take(&mut self.slices);
        for (id, slice) in &mut slices {
            let desired = self.desired(slice);
            let alike = |(host, weight): (&HostId, &f64)| alike(f, slice.lines.get(host), *weight);
            if slice.lines.len() == desired.len() && desired.iter().all(alike) {
                continue;
            }
            post.note(To::Channel, Note::Lines { slice: *id, lines: desired.clone() });
            slice.lines = desired;
        }
        self.slices = slices;
    }
}
