//! Admission control: the share of each route's calls that the proxies let in.

use super::*;

/// Lowers the level of the routes that earn least per call while the fleet as a whole can't keep up.
impl AdmissionControl {
    pub(crate) fn handle(&mut self, now: f64, params: &Parameters, message: Message, outbox: &mut Outbox) {
        match message {
            Message::Input(Input::Wishes(overrides)) if params.admission_by_share => {
                self.overridden_routes.extend(overrides.routes.keys());
                self.overrides = overrides.routes;
                // For every route of which anything is or was set: what is over must be told as well.
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

    /// A route's level, under its limit. Further tries are as operators want them, but none while calls
    /// are cut for a jam, and none that could make a call run twice.
    fn set_level(&mut self, params: &Parameters, route: RouteId, level: f64, outbox: &mut Outbox) {
        let Some(old) = self.levels.get_mut(route.0 as usize) else { return };
        *old = level;
        let route_override = self.overrides.get(&route).copied().unwrap_or_default();
        let retry = match route_override.again.unwrap_or(params.default_retry) {
            _ if level < 1.0 || !self.overridden_routes.contains(&route) => Retry::Never,
            Retry::Once | Retry::Twice if !params.idempotent[route.0 as usize] => Retry::IfNeverRan,
            retry => retry,
        };
        let level = level.min(route_override.ceiling.unwrap_or(1.0));
        let order = Order::Admit { scope: Scope::Everywhere, routes: vec![route], level, retry };
        outbox.send(Recipient::Channel, Message::Send(order));
    }

    pub(super) fn evaluate(&mut self, now: f64, params: &Parameters, outbox: &mut Outbox) {
        let last = std::mem::replace(&mut self.evaluated_at, now);
        let response_times = std::mem::take(&mut self.response_times);
        let rates = self.take_call_rates(now - last);
        // Of slices assigned in the meantime, or a second before, only a part is counted.
        if self.slice_assigned_at.is_some_and(|at| last < at + 1.0) {
            return;
        }
        // Slices that come from a lost director bring their calls: what was right for fewer grows with them.
        self.scale_to_slices();
        let offered: f64 = rates.iter().sum();
        // With proxies out of reach there is little to weigh; the levels must stand when they come back.
        self.offered_rate = offered.max(0.8 * self.offered_rate);
        if offered < 0.5 * self.offered_rate {
            return;
        }
        self.update_target(now, params, &rates, &response_times, now - last);
        self.update_levels(params, &rates, &response_times, outbox);
    }

    fn update_target(&mut self, now: f64, params: &Parameters, rates: &[f64], times: &Histogram, span: f64) {
        let offered: f64 = rates.iter().sum();
        let admitted = self.admitted_rate(rates);
        // Medians past 0.43 of the tightest SLO time: 0.4 cut too soon, 0.5 too late. Or two in ten dropped,
        // unless hosts are idle or quick meanwhile: then a route fails, or connections can't be made.
        let slowness = times.median(BINS) / params.tightest_slo;
        let strain = if self.utilisation > 0.0 { self.utilisation / 0.8 } else { slowness / 0.3 };
        let pressure = (slowness / 0.43).max(strain.min(times.dropped_share() / 0.2));
        let period = control_period(params);
        if pressure > 1.0 && (self.target_rate.is_none() || now - self.reduced_at > 2.9 * period) {
            // Less than was answered, for the jam must drain. Three spans show what a cut does.
            self.target_rate = Some((0.85 * times.answered() / span).clamp(0.7 * admitted, 0.9 * admitted));
            self.reduced_at = now;
            self.recovery_limit = 0.9 * admitted;
        } else if pressure < 0.8 {
            // Quickly back to nearly what was too much, then by steps that grow while all goes well.
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
            let cut = excess.min(0.95 * limited[route]);
            excess -= cut;
            let level = if cut > 0.0 { (limited[route] - cut) / rates[route] } else { 1.0 };
            let (old, id) = (self.levels[route], RouteId(route as u16));
            // A twentieth is worth a line to each proxy; full admission is always told.
            let is_missed = resend && (level < 1.0 || self.overrides.contains_key(&id));
            if (level - old).abs() > 0.05 || (level == 1.0) != (old == 1.0) || is_missed {
                outbox.log(level_log_text(route, level, times.median(BINS), times.dropped_share()), vec![]);
                self.set_level(params, id, level, outbox);
            }
        }
    }
}
