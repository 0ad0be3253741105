//! State of the slices and of the hosts that serve them.

use super::Slice;
use crate::interface::{HostId, Input, OperatorOverrides, SliceId};
use crate::messages::{HostView, Message, Outbox, Recipient};
use crate::parameters::Parameters;
use crate::placement::{add_to_host, PerHost, PlacementPlan, Relocation};
use std::collections::{BTreeMap, BTreeSet};

/// All slices assigned to this director, and the hosts as the tables see them. Times are in seconds.
#[derive(Default)]
pub(crate) struct Tables {
    pub(crate) slices: BTreeMap<SliceId, Slice>,
    pub(crate) views: BTreeMap<HostId, HostView>,
    /// When each withdrawn host was withdrawn.
    pub(crate) withdrawn: PerHost,
    /// A proxy joined or a slice was assigned, so the withdrawals have to be sent again.
    pub(crate) resend_withdrawals: bool,
    pub(crate) withdrawals_resent_at: f64,
    pub(crate) rebalancer: coppersail_rebalancer::Rebalancer,
    /// Highest number of usable hosts so far. A host's share of the load is based on it, however many fail.
    pub(crate) max_ready_hosts: usize,
    /// Median response time of the fleet.
    pub(crate) response_time: f64,
    /// Mean of the listed weights.
    pub(crate) mean_weight: f64,
    /// Mean speed of the hosts that report one, in calls per second at full utilisation.
    pub(crate) mean_speed: f64,
    /// Load of each host at the last evaluation, in slices of the average score, divided by its throughput.
    pub(crate) relative_loads: PerHost,
    /// Mean of the relative loads of the open hosts.
    pub(crate) mean_relative_load: f64,
    pub(crate) slice_assigned_at: f64,
    pub(crate) calls_halved_at: f64,
    pub(crate) balanced_at: f64,
    pub(crate) compared_at: f64,
    /// Calls since the hosts were last compared.
    pub(crate) new_calls: f64,
    /// Calls per second and slice in the period before the last comparison.
    pub(crate) call_rate: f64,
    /// Calls per second and slice when the fleet last answered quickly.
    pub(crate) sustained_call_rate: f64,
    /// Operators' overrides.
    pub(crate) overrides: OperatorOverrides,
    /// No other host could serve, so the operators' drains are ignored.
    pub(crate) ignore_drain_overrides: bool,
    /// When the capacity guard rejected placements.
    pub(crate) rejected_placements: BTreeMap<(SliceId, HostId), f64>,
}

impl Tables {
    /// Number of slices that each host owns.
    pub(crate) fn slice_counts(&self) -> PerHost {
        let mut counts: PerHost = self.views.keys().map(|host| (*host, 0.0)).collect();
        for slice in self.slices.values() {
            add_to_host(&mut counts, slice.owner, 1.0);
        }
        counts
    }

    /// Records messages that need no decision.
    pub(crate) fn record(&mut self, now: f64, params: &Parameters, message: Message, outbox: &mut Outbox) {
        match message {
            Message::HostView(host, view) => {
                self.views.insert(host, view);
            }
            Message::Readmitted(host) => {
                self.withdrawn.remove(&host);
            }
            Message::Expired(host) => {
                self.withdrawn.remove(&host);
                self.views.remove(&host);
                outbox.send(Recipient::Host(host), Message::Expired(host));
            }
            Message::Input(input) => self.record_input(now, params, input),
            _ => {}
        }
    }

    fn record_input(&mut self, now: f64, params: &Parameters, input: Input) {
        match input {
            Input::SliceAssigned(id) => {
                let calls = vec![0.0; params.route_values.len()];
                self.slices.insert(id, Slice { calls, ..Slice::default() });
                self.slice_assigned_at = now;
                self.resend_withdrawals = true;
            }
            Input::ProxyJoined { .. } => self.resend_withdrawals = true,
            Input::WeightsRejected { slice: id, host, weights } => {
                if let Some(host) = host {
                    self.rejected_placements.insert((id, host), now);
                }
                if let Some(slice) = self.slices.get_mut(&id) {
                    slice.weights = weights;
                    slice.owner = None;
                }
            }
            Input::SliceRevoked(id) => {
                self.slices.remove(&id);
            }
            Input::StoredWeight { slice: id, host, weight } => {
                if let Some(slice) = self.slices.get_mut(&id) {
                    add_to_host(&mut slice.weights, Some(host), weight);
                }
            }
            Input::SliceDemand { slice: id, route, requests: calls, .. } => {
                self.new_calls += calls as f64;
                let slice = self.slices.get_mut(&id);
                if let Some(sum) = slice.and_then(|slice| slice.calls.get_mut(route.0 as usize)) {
                    *sum += calls as f64;
                }
            }
            _ => {}
        }
    }

    /// Sends the fleet's median response time in seconds and median utilisation to the hosts and admission control.
    pub(crate) fn send_fleet_medians(&self, response_time: f64, utilisation: f64, outbox: &mut Outbox) {
        let hosts = self.views.keys().map(|host| Recipient::Host(*host));
        for recipient in hosts.chain([Recipient::AdmissionControl]) {
            outbox.send(recipient, Message::FleetMedians { response_time, utilisation });
        }
    }

    /// Whether operators or the capacity guard have excluded a host for a slice.
    pub(crate) fn has_exclusion(&self, slice: SliceId, host: HostId) -> bool {
        let placement = (slice, host);
        self.overrides.anti_affinity.contains(&placement) || self.rejected_placements.contains_key(&placement)
    }

    /// Whether the host is known and ready.
    pub(crate) fn is_ready(&self, host: HostId) -> bool {
        self.views.get(&host).is_some_and(|view| view.ready)
    }

    /// Ids and scores of all slices, the highest score first.
    pub(crate) fn slices_by_score(&self) -> Vec<(SliceId, f64)> {
        let mut slices: Vec<(SliceId, f64)> = self.slices.iter().map(|(id, s)| (*id, s.score)).collect();
        slices.sort_by(|a, b| b.1.total_cmp(&a.1));
        slices
    }

    /// Sets the scores, in the order of the slices' ids.
    pub(crate) fn set_scores(&mut self, scores: Vec<f64>) {
        for (slice, score) in self.slices.values_mut().zip(scores) {
            slice.score = score;
        }
    }

    /// Moves a slice in a plan from its current host to the one that is selected for it.
    pub(crate) fn relocate(&self, plan: &mut PlacementPlan, slice: &Relocation) -> Option<HostId> {
        plan.remove(slice.current, slice.score);
        let new = self.select_host(plan, slice);
        plan.place(new, slice.score);
        new
    }

    /// Sum of the scores of all slices.
    pub(crate) fn total_score(&self) -> f64 {
        self.slices.values().map(|slice| slice.score).sum()
    }

    /// Sum of the effective weights of the open hosts.
    pub(crate) fn total_effective_weight(&self) -> f64 {
        self.open_hosts().into_iter().map(|host| self.effective_weight(host)).sum()
    }

    /// What remains of the hosts' score limits after the scores of the slices that they own or are standby for.
    pub(crate) fn remaining(&self, mut limits: PerHost) -> PerHost {
        for slice in self.slices.values() {
            add_to_host(&mut limits, slice.owner, -slice.score);
            add_to_host(&mut limits, slice.standby, -slice.score);
        }
        limits
    }

    /// For how many slices of an owner each host is the standby; empty without an owner.
    pub(crate) fn standby_counts(&self, owner: Option<HostId>) -> PerHost {
        let mut counts = PerHost::new();
        for slice in self.slices.values().filter(|slice| owner.is_some() && slice.owner == owner) {
            add_to_host(&mut counts, slice.standby, 1.0);
        }
        counts
    }

    /// The load that its weights give each host, in slices of the average score.
    pub(crate) fn loads(&self) -> PerHost {
        let average = self.total_score() / self.slices.len().max(1) as f64;
        let mut loads: PerHost = self.views.keys().map(|host| (*host, 0.0)).collect();
        for slice in self.slices.values() {
            let weights = self.desired_weights(slice);
            let load_per_weight = slice.score / average / weights.values().sum::<f64>();
            for (host, weight) in weights {
                add_to_host(&mut loads, Some(host), weight * load_per_weight);
            }
        }
        loads
    }

    /// Records that withdrawals are being sent again.
    pub(crate) fn start_resend(&mut self, now: f64) {
        self.resend_withdrawals = false;
        self.withdrawals_resent_at = now;
    }

    /// Computes the calls per second and slice since the hosts were last compared, and resets the count.
    pub(crate) fn update_call_rate(&mut self, now: f64) {
        let calls = std::mem::take(&mut self.new_calls);
        self.call_rate = calls / (now - self.compared_at) / self.slices.len() as f64;
        self.compared_at = now;
    }

    /// Sets the owner and the original owner of slices, as in [`Slice::set_owner`].
    pub(crate) fn set_owners(&mut self, moves: Vec<(SliceId, Option<HostId>, Option<HostId>)>) {
        for (id, owner, original_owner) in moves {
            if let Some(slice) = self.slices.get_mut(&id) {
                slice.set_owner(owner, original_owner);
            }
        }
    }

    /// Hosts that may own slices.
    pub(crate) fn open_hosts(&self) -> Vec<HostId> {
        self.views.keys().copied().filter(|host| self.is_open(*host)).collect()
    }

    /// Whether operators have drained the host while others can serve.
    pub(crate) fn is_drained_by_operator(&self, host: HostId) -> bool {
        !self.ignore_drain_overrides && self.overrides.drained_hosts.contains(&host)
    }

    /// The operators' factor for the host's weight, including that of its zone; 1 without one.
    pub(crate) fn weight_override(&self, host: HostId) -> f64 {
        let zone = self
            .views
            .get(&host)
            .and_then(|view| self.overrides.zone_weight_factors.get(view.zone.0 as usize));
        self.overrides.host_weight_factors.get(&host).unwrap_or(&1.0) * zone.unwrap_or(&1.0)
    }

    /// Computes the mean weight, and the mean speed of the hosts that report one.
    pub(crate) fn update_means(&mut self) {
        let ready = self.views.values().filter(|view| view.ready);
        let speeds: Vec<f64> = ready.filter_map(|view| view.speed).collect();
        self.mean_speed = speeds.iter().sum::<f64>() / speeds.len().max(1) as f64;
        let weights = self.views.values().map(|view| view.weight);
        self.mean_weight = weights.sum::<f64>() / self.views.len().max(1) as f64;
    }

    /// Halves the counted calls of all slices, so that newer ones weigh more.
    pub(crate) fn halve_calls(&mut self, now: f64) {
        for slice in self.slices.values_mut() {
            for calls in &mut slice.calls {
                *calls /= 2.0;
            }
        }
        self.calls_halved_at = now;
    }

    /// Placements that operators or the capacity guard exclude, as indices into sorted lists of slices and hosts.
    pub(crate) fn excluded_placements(
        &self,
        slices: &[SliceId],
        hosts: &[HostId],
    ) -> BTreeSet<(usize, usize)> {
        let mut indices = BTreeSet::new();
        for (slice, host) in self.overrides.anti_affinity.iter().chain(self.rejected_placements.keys()) {
            if !self.is_excluded(*slice, *host) {
                continue;
            }
            if let (Some(slice), Some(host)) = (index_of(slices, *slice), index_of(hosts, *host)) {
                indices.insert((slice, host));
            }
        }
        indices
    }
}

/// Index of an element in a sorted list, if present.
pub(crate) fn index_of<T: Ord>(sorted: &[T], element: T) -> Option<usize> {
    sorted.binary_search(&element).ok()
}
