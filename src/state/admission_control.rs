//! State of admission control.

use crate::interface::{Input, RouteId, RouteOverride, SliceId};
use crate::messages::Message;
use crate::statistics::{Bins, Histogram};
use std::collections::{BTreeMap, BTreeSet};

/// Admission control of the whole fleet. Rates are in calls per second, levels are shares from 0 to 1.
#[derive(Default)]
pub(crate) struct AdmissionControl {
    /// Rate that is to be admitted; `None` admits all calls.
    pub(crate) target_rate: Option<f64>,
    /// Calls by route since the last evaluation.
    pub(crate) calls: Vec<f64>,
    /// Response times and dropped attempts since the last evaluation.
    pub(crate) response_times: Histogram,
    /// Share of the calls that is admitted, by route, without regard to operators' limits.
    pub(crate) levels: Vec<f64>,
    /// Median utilisation of the hosts, 0 to 1; 0 if none is reported.
    pub(crate) utilisation: f64,
    /// A proxy may have missed the levels, so they have to be sent again.
    pub(crate) resend: bool,
    pub(crate) evaluated_at: f64,
    /// Slices that are assigned to this director.
    pub(crate) slices: BTreeSet<SliceId>,
    /// Number of assigned slices at the last evaluation; 0 before the first one.
    pub(crate) evaluated_slices: usize,
    pub(crate) slice_assigned_at: Option<f64>,
    /// When the admitted rate was last reduced.
    pub(crate) reduced_at: f64,
    /// Recent rate of offered calls; it falls by a fifth per evaluation at most.
    pub(crate) offered_rate: f64,
    /// Rate just below the one that last caused overload.
    pub(crate) recovery_limit: f64,
    /// Operators' overrides, by route.
    pub(crate) overrides: BTreeMap<RouteId, RouteOverride>,
    /// Routes that operators have ever overridden.
    pub(crate) overridden_routes: BTreeSet<RouteId>,
}

impl AdmissionControl {
    /// Admission control that admits all calls of `route_count` routes.
    pub(crate) fn new(route_count: usize) -> Self {
        AdmissionControl {
            calls: vec![0.0; route_count],
            levels: vec![1.0; route_count],
            ..AdmissionControl::default()
        }
    }

    /// Records messages that need no decision.
    pub(crate) fn record(&mut self, now: f64, bins: Bins, message: Message) {
        match message {
            Message::Input(
                Input::SliceDemand { route, requests: calls, .. }
                | Input::ProxyDemand { route, requests: calls, .. },
            ) => {
                self.count_calls(route, calls);
            }
            Message::Input(Input::ProxyJoined { .. }) => self.resend = true,
            Message::Input(Input::SliceAssigned(slice)) => self.add_slice(now, slice),
            Message::Input(Input::SliceRevoked(slice)) => {
                self.slices.remove(&slice);
            }
            Message::Attempts { response_time, attempts, dropped } => {
                self.response_times.add(bins, response_time, attempts, dropped);
            }
            Message::FleetMedians { utilisation, .. } => self.utilisation = utilisation,
            _ => {}
        }
    }

    /// Counts calls of a route; unknown routes are ignored.
    fn count_calls(&mut self, route: RouteId, calls: u64) {
        if let Some(sum) = self.calls.get_mut(route.0 as usize) {
            *sum += calls as f64;
        }
    }

    /// Whether the last evaluation is at least `period` seconds ago.
    pub(crate) fn is_due(&self, now: f64, period: f64) -> bool {
        now - self.evaluated_at >= period
    }

    /// Records that a slice has been assigned to this director.
    pub(crate) fn add_slice(&mut self, now: f64, slice: SliceId) {
        self.resend = true;
        self.slice_assigned_at = Some(now);
        self.slices.insert(slice);
    }

    /// Returns the calls per second by route since the last evaluation, `window` seconds ago, and resets the counts.
    pub(crate) fn take_call_rates(&mut self, window: f64) -> Vec<f64> {
        let mut rates = Vec::with_capacity(self.calls.len());
        for calls in &mut self.calls {
            rates.push(std::mem::take(calls) / window);
        }
        rates
    }

    /// The operators' limit on the admitted share of a route's calls; 1 without a limit.
    fn operator_limit(&self, route: usize) -> f64 {
        let route_override = self.overrides.get(&RouteId(route as u16));
        route_override.and_then(|route_override| route_override.admission_limit).unwrap_or(1.0)
    }

    /// The call rates by route that remain within the operators' limits.
    pub(crate) fn limited_rates(&self, rates: &[f64]) -> Vec<f64> {
        rates.iter().enumerate().map(|(route, rate)| rate * self.operator_limit(route)).collect()
    }

    /// The call rate over all routes that the levels and the operators' limits admit.
    pub(crate) fn admitted_rate(&self, rates: &[f64]) -> f64 {
        let admitted_share = |route: usize| self.levels[route].min(self.operator_limit(route));
        rates.iter().enumerate().map(|(route, rate)| rate * admitted_share(route)).sum()
    }

    /// Scales the remembered rates by the change in the number of assigned slices since the last evaluation.
    pub(crate) fn scale_to_slices(&mut self) {
        let previous = self.evaluated_slices;
        self.evaluated_slices = self.slices.len().max(1);
        let growth = if previous == 0 { 1.0 } else { self.evaluated_slices as f64 / previous as f64 };
        self.target_rate = self.target_rate.map(|rate| rate * growth);
        self.offered_rate *= growth;
        self.recovery_limit *= growth;
    }
}

/// Text of the log line about a route's level; the response time is in seconds.
pub(crate) fn level_log_text(route: usize, level: f64, response_time: f64, dropped_share: f64) -> String {
    format!("route {route} let in at {level:.2}: rt {response_time:.2} s, {dropped_share:.2} dropped")
}
