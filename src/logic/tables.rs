//! Tables: their round, who is open, who is withdrawn, what the channel is asked for.

use super::*;

impl Tables {
    pub(crate) fn handle(&mut self, now: f64, params: &Parameters, message: Message, outbox: &mut Outbox) {
        match message {
            Message::Input(Input::Wishes(overrides)) => {
                self.overrides = overrides;
                // Weights set by hand must show: balancing goes on until the gap is under 2, not past 8 only.
                self.rebalancer.moving = true;
            }
            Message::Tick => self.tick(now, params, outbox),
            message => self.record(now, params, message, outbox),
        }
    }

    pub(super) fn tick(&mut self, now: f64, params: &Parameters, outbox: &mut Outbox) {
        // Eight seconds: near the time for which slices stay in demand, so that the score follows it.
        if now - self.calls_halved_at > 8.0 {
            self.halve_calls(now);
        }
        if now - self.compared_at >= control_period(params) {
            self.evaluate_loads(now, params, outbox);
        }
        // A fifth of a second gathers the weights that follow a slice's assignment.
        if now - self.slice_assigned_at < 0.2 {
            return;
        }
        // Rule 1 comes before an override: while no other warm host is open, those drained by operators serve.
        let can_serve = |(host, view): (&HostId, &HostView)| {
            let usable = view.ready && view.verified && !view.suspect;
            usable && view.slow_start >= 1.0 && !self.overrides.drained.contains(host)
        };
        self.ignore_drain_overrides = !self.views.iter().any(can_serve);
        // Five seconds: by then sums tell of what was sent since, and a host's free capacity differs.
        self.rejected_placements.retain(|_, at| now - *at < 5.0);
        // Also with nobody left: the third rule binds whatever tables proxies hold.
        self.update_withdrawals(now, outbox);
        if !self.views.values().any(|view| view.ready) {
            return;
        }
        self.assign_initial_owners(params, outbox);
        self.move_displaced(now, params);
        // One slice in half a second: caches warm up between moves and the channel stays free.
        if now - self.balanced_at >= 0.5 {
            self.balanced_at = now;
            for _ in 0..self.slices.len().div_ceil(100) {
                self.balance(now, params, outbox);
            }
        }
        self.assign_standbys(params);
        self.send_tables(params, outbox);
    }

    fn evaluate_loads(&mut self, now: f64, params: &Parameters, outbox: &mut Outbox) {
        self.update_call_rate(now);
        self.compare_hosts(outbox);
        if self.response_time > 0.0 && self.response_time < 0.25 * params.tightest_slo {
            self.sustained_call_rate = self.call_rate;
        }
        self.score_slices(params);
        // Step by step on the plan: the loads are reckoned anew each time, nothing need be awaited.
        for _ in 0..4 {
            self.share_load();
        }
    }

    fn compare_hosts(&mut self, outbox: &mut Outbox) {
        let measured = || self.views.values().filter(|view| view.ready && view.answered >= 1.0);
        let response_time = median(measured().map(|view| view.response_time).collect());
        let utilisation = median(measured().filter_map(|view| view.utilisation).collect());
        self.response_time = response_time;
        self.send_fleet_medians(response_time, utilisation, outbox);
    }

    /// A listed host that has answered nobody yet is none of ours to use.
    pub(crate) fn is_open(&self, host: HostId) -> bool {
        let usable = self.views.get(&host).is_some_and(|view| view.ready && view.verified);
        usable && !self.withdrawn.contains_key(&host) && !self.is_drained_by_operator(host)
    }

    /// A slice is kept off a host by operators or the guard, as long as another warm one could have it.
    pub(crate) fn is_excluded(&self, slice: SliceId, host: HostId) -> bool {
        let may_have_it =
            |host: &HostId| !self.has_exclusion(slice, *host) && self.views[host].slow_start >= 1.0;
        self.has_exclusion(slice, host) && self.open_hosts().iter().any(may_have_it)
    }

    pub(super) fn update_withdrawals(&mut self, now: f64, outbox: &mut Outbox) {
        self.update_means();
        let usable: Vec<&HostView> = self.views.values().filter(|view| view.ready && view.verified).collect();
        let suspects = usable.iter().filter(|view| view.suspect).count();
        // A director that starts in the middle of a loss finds the lost hosts in the store's tables.
        let known_hosts = if self.max_ready_hosts == 0 { self.views.len() } else { usable.len() };
        self.max_ready_hosts = self.max_ready_hosts.max(known_hosts);
        // Up to four in ten, a zone of three and a host: past that our own view is more likely to fail.
        let few_suspects = suspects as f64 <= 0.4 * usable.len() as f64;
        // Once a second for all that joined meanwhile: a crowd that returns would else fill the channel.
        let resend = self.resend_withdrawals && now - self.withdrawals_resent_at >= 1.0;
        if resend {
            self.start_resend(now);
        }
        for (host, view) in &self.views {
            let was_withdrawn = self.withdrawn.contains_key(host);
            // Restarted behind our back, in full tables: out for a second, till its weights are lower.
            let just_restarted = view.restarted_at.is_some_and(|at| now - at < 1.0);
            let withdraw = !view.ready || just_restarted || few_suspects && view.suspect;
            // Sent again as long as a table names it, which the channel knows: however long it is gone, a slice that
            // is assigned may bring it back.
            if withdraw != was_withdrawn || resend && withdraw {
                let order = Order::Withdraw { host: *host, out: withdraw };
                outbox.send(Recipient::Channel, Message::Send(order));
            }
            if withdraw && view.suspect && !was_withdrawn {
                outbox.send(Recipient::Host(*host), Message::WithdrawnAsSuspect);
            }
            // It is back when the proxies have been told.
            if withdraw {
                self.withdrawn.entry(*host).or_insert(now);
            }
        }
    }

    pub(super) fn send_tables(&mut self, params: &Parameters, outbox: &mut Outbox) {
        let mut slices = std::mem::take(&mut self.slices);
        for (id, slice) in &mut slices {
            let desired = self.desired_weights(slice);
            if !slice.has_weights(&desired, |sent, weight| is_close_enough(params, sent, weight)) {
                let message = Message::DesiredTable { slice: *id, weights: desired.clone() };
                outbox.send(Recipient::Channel, message);
                slice.weights = desired;
            }
        }
        self.slices = slices;
    }
}
