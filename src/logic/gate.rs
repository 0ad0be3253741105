//! Admission control: the share of each route's calls that the proxies admit.

use super::*;

/// Admits less of the routes with the lowest value per call while the fleet as a whole is overloaded.
impl AdmissionControl {
    pub(crate) fn handle(&mut self, now: f64, params: &Parameters, message: Message, outbox: &mut Outbox) {
        match message {
            Message::Input(Input::OverridesChanged(overrides)) if params.admission_by_share => {
                self.overridden_routes.extend(overrides.routes.keys());
                self.overrides = overrides.routes;
                // All routes that are or were overridden, as the end of an override must be sent as well.
                for route in self.overridden_routes.clone() {
                    let level = self.levels.get(route.0 as usize).copied().unwrap_or(1.0);
                    self.set_level(params, route, level, outbox);
                }
            }
            Message::Tick if params.admission_by_share && self.is_due(now, control_period(params)) => {
                self.evaluate(now, params, outbox);
            }
            message => self.record(now, BINS, message),
        }
    }

    /// Sends a route's level, up to the operators' limit, and its retry policy. Routes that are limited by overload or
    /// were never overridden get no retries; calls that are not idempotent get none by which they could run twice.
    fn set_level(&mut self, params: &Parameters, route: RouteId, level: f64, outbox: &mut Outbox) {
        let Some(old) = self.levels.get_mut(route.0 as usize) else { return };
        *old = level;
        let route_override = self.overrides.get(&route).copied().unwrap_or_default();
        let retry = match route_override.retry_policy.unwrap_or(params.default_retry) {
            _ if level < 1.0 || !self.overridden_routes.contains(&route) => RetryPolicy::Never,
            RetryPolicy::Once | RetryPolicy::Twice if !params.idempotent[route.0 as usize] => {
                RetryPolicy::IfNotExecuted
            }
            retry => retry,
        };
        let level = level.min(route_override.admission_limit.unwrap_or(1.0));
        let order = Order::SetAdmission { scope: Scope::AllProxies, routes: vec![route], level, retry };
        outbox.send(Recipient::Channel, Message::Send(order));
    }

    pub(super) fn evaluate(&mut self, now: f64, params: &Parameters, outbox: &mut Outbox) {
        let last = std::mem::replace(&mut self.evaluated_at, now);
        let response_times = std::mem::take(&mut self.response_times);
        let rates = self.take_call_rates(now - last);
        // The counts are incomplete for slices that were assigned since then, or in the second before.
        if self.slice_assigned_at.is_some_and(|at| last < at + 1.0) {
            return;
        }
        // Slices taken over from another director add their calls, so the rates are scaled by the number of slices.
        self.scale_to_slices();
        let offered: f64 = rates.iter().sum();
        // While proxies are unreachable few calls are counted; the levels must still fit when they are back.
        self.offered_rate = offered.max(0.8 * self.offered_rate);
        if offered < 0.5 * self.offered_rate {
            return;
        }
        self.set_target(now, params, &rates, &response_times, now - last);
        self.update_levels(params, &rates, &response_times, outbox);
    }

    fn set_target(&mut self, now: f64, params: &Parameters, rates: &[f64], times: &Histogram, window: f64) {
        let offered: f64 = rates.iter().sum();
        let admitted = self.admitted_rate(rates);
        // Overload: the median exceeds 0.43 of the tightest SLO (0.4 acts too early, 0.5 too late), or a fifth of the
        // attempts is dropped by busy or slow hosts. At idle or quick hosts, a route or connections fail instead.
        let slowness = times.median(BINS) / params.tightest_slo;
        let host_load = if self.utilisation > 0.0 { self.utilisation / 0.8 } else { slowness / 0.3 };
        let pressure = (slowness / 0.43).max(host_load.min(times.dropped_share() / 0.2));
        let period = control_period(params);
        if pressure > 1.0 && (self.target_rate.is_none() || now - self.reduced_at > 2.9 * period) {
            // Below the answered rate, so that queues drain. The effect of a reduction shows after three periods.
            self.target_rate = Some((0.85 * times.answered() / window).clamp(0.7 * admitted, 0.9 * admitted));
            self.reduced_at = now;
            self.recovery_limit = 0.9 * admitted;
        } else if pressure < 0.8 {
            // Recovers quickly to just below the rate that was too high, then in steps that grow with time.
            let calm_periods = ((now - self.reduced_at) / period).min(10.0);
            let factor = |rate| if rate < self.recovery_limit { 1.3 } else { 1.0 + 0.015 * calm_periods };
            let raised = self.target_rate.map(|rate| rate * factor(rate));
            self.target_rate = raised.filter(|rate| *rate < 1.3 * offered);
        }
    }

    fn update_levels(&mut self, params: &Parameters, rates: &[f64], times: &Histogram, outbox: &mut Outbox) {
        let resend = std::mem::take(&mut self.resend);
        let limited = self.limited_rates(rates);
        let total: f64 = limited.iter().sum();
        let mut excess = self.target_rate.map_or(0.0, |target| (total - target).max(0.0));
        let mut by_value: Vec<usize> = (0..rates.len()).collect();
        by_value.sort_by(|a, b| params.route_values[*a].total_cmp(&params.route_values[*b]));
        for route in by_value {
            let reduction = excess.min(0.95 * limited[route]);
            excess -= reduction;
            let level = if reduction > 0.0 { (limited[route] - reduction) / rates[route] } else { 1.0 };
            let (old, id) = (self.levels[route], RouteId(route as u16));
            // Only a change of over 0.05 is worth a line to each proxy, but any to or from full admission is sent.
            let is_missed = resend && (level < 1.0 || self.overrides.contains_key(&id));
            if (level - old).abs() > 0.05 || (level == 1.0) != (old == 1.0) || is_missed {
                outbox.log(level_log_text(route, level, times.median(BINS), times.dropped_share()), vec![]);
                self.set_level(params, id, level, outbox);
            }
        }
    }
}
