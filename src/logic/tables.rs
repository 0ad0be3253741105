//! Tables: the periodic evaluation, which hosts are open or withdrawn, and which tables are sent.

use super::*;

impl Tables {
    pub(crate) fn handle(&mut self, now: f64, params: &Parameters, message: Message, outbox: &mut Outbox) {
        match message {
            Message::Input(Input::OverridesChanged(overrides)) => {
                self.overrides = overrides;
                // Overridden weights must take effect: balance until the gap is under 2, even if it is not above 8.
                self.rebalancer.moving = true;
            }
            Message::Tick => self.tick(now, params, outbox),
            message => self.record(now, params, message, outbox),
        }
    }

    pub(super) fn tick(&mut self, now: f64, params: &Parameters, outbox: &mut Outbox) {
        // A slice stays hot for about eight seconds; halving its counts that often lets its score follow.
        if now - self.calls_halved_at > 8.0 {
            self.halve_calls(now);
        }
        if now - self.compared_at >= control_period(params) {
            self.evaluate_loads(now, params, outbox);
        }
        // Waits for the stored weights of a newly assigned slice, which arrive within a fifth of a second.
        if now - self.slice_assigned_at < 0.2 {
            return;
        }
        // Serving takes precedence over overrides: if no other warm host can serve, drained hosts are used.
        let can_serve = |(host, view): (&HostId, &HostView)| {
            let is_sound = view.is_usable() && !view.suspect;
            is_sound && view.slow_start >= 1.0 && !self.overrides.drained_hosts.contains(host)
        };
        self.ignore_drain_overrides = !self.views.iter().any(can_serve);
        // Retried after five seconds: by then reports cover what was sent, and the free capacity has changed.
        self.rejected_placements.retain(|_, at| now - *at < 5.0);
        // Sent even if no host is ready: calls must not go to removed hosts, whatever tables the proxies have.
        self.update_withdrawals(now, outbox);
        if !self.views.values().any(|view| view.ready) {
            return;
        }
        self.assign_initial_owners(params, outbox);
        self.move_displaced(now, params);
        // One move per hundred slices each half second: caches warm up in between, and the channel stays free.
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
        // Four steps at once: each one recomputes the planned loads, and need not wait for measurements.
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

    /// Whether a host may own slices. One that is listed but has not answered may not belong to the fleet.
    pub(crate) fn is_open(&self, host: HostId) -> bool {
        let is_usable = self.views.get(&host).is_some_and(HostView::is_usable);
        is_usable && !self.withdrawn.contains_key(&host) && !self.is_drained_by_operator(host)
    }

    /// Whether operators or the capacity guard exclude a host for a slice that another warm host could own.
    pub(crate) fn is_excluded(&self, slice: SliceId, host: HostId) -> bool {
        let is_alternative =
            |host: &HostId| !self.has_exclusion(slice, *host) && self.views[host].slow_start >= 1.0;
        self.has_exclusion(slice, host) && self.open_hosts().iter().any(is_alternative)
    }

    pub(super) fn update_withdrawals(&mut self, now: f64, outbox: &mut Outbox) {
        self.update_means();
        let usable: Vec<&HostView> = self.views.values().filter(|view| view.is_usable()).collect();
        let suspects = usable.iter().filter(|view| view.suspect).count();
        // A director that starts during an outage knows the failed hosts from the stored tables.
        let known_hosts = if self.max_ready_hosts == 0 { self.views.len() } else { usable.len() };
        self.max_ready_hosts = self.max_ready_hosts.max(known_hosts);
        // Suspects are withdrawn up to 40 %, a zone of three and a host. Above, the director's network likely failed.
        let few_suspects = suspects as f64 <= 0.4 * usable.len() as f64;
        // Once a second for all proxies that joined since: many that rejoin at once would fill the channel.
        let resend = self.resend_withdrawals && now - self.withdrawals_resent_at >= 1.0;
        if resend {
            self.start_resend(now);
        }
        for (host, view) in &self.views {
            let was_withdrawn = self.withdrawn.contains_key(host);
            // A host that restarted unannounced has full weights: withdrawn for a second, until lower ones are sent.
            let just_restarted = view.restarted_at.is_some_and(|at| now - at < 1.0);
            let withdraw = !view.ready || just_restarted || few_suspects && view.suspect;
            // Resent however long a host is gone, as the stored table of a newly assigned slice may name it. The
            // channel skips hosts that no table names.
            if withdraw != was_withdrawn || resend && withdraw {
                let order = Order::SetWithdrawn { host: *host, withdrawn: withdraw };
                outbox.send(Recipient::Channel, Message::Send(order));
            }
            if withdraw && view.suspect && !was_withdrawn {
                outbox.send(Recipient::Host(*host), Message::WithdrawnAsSuspect);
            }
            // The entry is removed once the proxies have been told to use the host again.
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
