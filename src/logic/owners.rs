//! Which host owns a slice: weights, scores, capacities, placement, balancing ("the paper": see coppersail-rebalancer).

use super::*;
use coppersail_rebalancer::{Assignment, CandidateRank, Holder};

impl Tables {
    /// The weight by which slice counts are divided: as listed, lower in slow start, times the operators' factor.
    pub(crate) fn effective_weight(&self, host: HostId) -> f64 {
        let unit = |view: &HostView| coppersail_rebalancer::normalized_weight(view.weight, self.mean_weight);
        let weight = self.views.get(&host).map_or(1.0, |view| unit(view) * view.slow_start);
        weight * self.weight_override(host)
    }

    /// Sets the paper's score of each slice; a slice without counted calls gets the average score.
    pub(super) fn score_slices(&mut self, params: &Parameters) {
        // The paper's own value (`Inc`). The heaviest route is the one with the longest latency objective.
        const HEAVY_ROUTE_FACTOR: f64 = 1.5;
        let slos = &params.latency_slos;
        let heaviest = (0..slos.len()).max_by(|a, b| slos[*a].total_cmp(&slos[*b]));
        let calls: Vec<&[f64]> = self.slices.values().map(|slice| &slice.calls[..]).collect();
        self.set_scores(coppersail_rebalancer::scores(&calls, heaviest, HEAVY_ROUTE_FACTOR));
    }

    /// The score that each host may still take; only slow start limits it. If the other hosts of its tables fail, such
    /// a host gets at most 0.6 of the collapse multiple, or 2 if that is less, times its regular load. It may be up to
    /// doubled while the fleet answers quickly, or is slow at a call rate that it sustained, as hosts are missing then.
    pub(super) fn capacities(&self, params: &Parameters) -> PerHost {
        // With less than four fifths of the fleet open, retries add calls, so hosts in slow start may take less.
        let (max_ready, open) = (self.max_ready_hosts.max(1) as f64, self.open_hosts().len() as f64);
        let score_per_host = self.total_score() / max_ready * (open / max_ready / 0.8).min(1.0);
        // Below half the sustained rate, proxies are unreachable and return all at once. Unmeasured is not quick.
        let sustained = self.sustained_call_rate;
        let margin = if self.call_rate > 0.5 * sustained { 2.0 * sustained / self.call_rate } else { 0.0 };
        let measured = self.response_time > 0.0;
        let spare = if measured { (0.5 * params.tightest_slo / self.response_time).max(margin) } else { 1.0 };
        let limit = (0.6 * params.collapse_multiple).min(2.0) * spare.clamp(1.0, 2.0) * score_per_host;
        let limits = self.views.iter().map(|(host, view)| {
            let in_slow_start = view.slow_start < 1.0;
            (*host, if in_slow_start { limit * view.slow_start } else { f64::INFINITY })
        });
        self.remaining(limits.collect())
    }

    /// The open host with the fewest slices per unit of weight, preferably with capacity; of equals the longest listed.
    /// For standbys capacity is required, the owner's zone counts as 2 slices, and a slice backed up for it as 0.7.
    pub(crate) fn select_host(&self, plan: &PlacementPlan, slice: &Relocation) -> Option<HostId> {
        let (score, owner) = (slice.score, slice.owner);
        let owner_zone = owner.and_then(|owner| self.views.get(&owner)).map(|view| view.zone);
        let shared = self.standby_counts(owner);
        let rank = |host: HostId| {
            let view = &self.views[&host];
            let zone = if owner_zone == Some(view.zone) { 2.0 } else { 0.0 };
            let shared = shared.get(&host).copied().unwrap_or(0.0);
            let standby_weight = || self.throughput(host) * view.slow_start.sqrt();
            let weight = if owner.is_some() { standby_weight() } else { self.effective_weight(host) };
            let fill = (plan.load[&host] + 1.0 + zone + 0.7 * shared) / weight;
            CandidateRank { lacks_capacity: plan.capacity[&host] < score, fill, listed_at: view.seniority }
        };
        let has_capacity = |host: &HostId| owner.is_none() || plan.capacity[host] >= score;
        let is_allowed = |host: &HostId| Some(*host) != owner && !self.is_excluded(slice.slice, *host);
        let hosts = self.open_hosts().into_iter();
        let candidates = hosts.filter(|host| is_allowed(host) && has_capacity(host));
        coppersail_rebalancer::select_holder(candidates.map(|host| (rank(host), host)))
    }

    /// Gives slices to the hosts of their stored tables, whose caches are warm, up to two above a host's even share.
    /// `move_displaced` places the rest.
    pub(super) fn assign_initial_owners(&mut self, params: &Parameters, outbox: &mut Outbox) {
        let unowned = self.slices.values().filter(|slice| slice.owner.is_none()).count();
        if unowned == 0 {
            return;
        }
        self.score_slices(params);
        let total_weight = self.total_effective_weight();
        let mut counts = self.slice_counts();
        let mut slices = std::mem::take(&mut self.slices);
        let slice_count = slices.len() as f64;
        for (id, slice) in slices.iter_mut().filter(|(_, slice)| slice.owner.is_none()) {
            let holder = slice.heaviest_host(|host| self.is_open(host) && !self.is_excluded(*id, host));
            let even_share = |host| (slice_count * self.effective_weight(host) / total_weight).ceil();
            slice.owner = holder.filter(|host| counts[host] < even_share(*host) + 2.0);
            add_to_host(&mut counts, slice.owner, 1.0);
            slice.standby = slice.weights.keys().copied().find(|host| Some(*host) != slice.owner);
        }
        self.slices = slices;
        outbox.log(format!("{unowned} slices laid"), vec![]);
    }

    /// Moves slices off hosts that are gone, draining or withdrawn for a while, and slices beyond a host's capacity.
    /// A slice that an override moved returns to its original owner once that is lifted and the owner has capacity.
    pub(super) fn move_displaced(&mut self, now: f64, params: &Parameters) {
        let mut plan = PlacementPlan { load: self.slice_counts(), capacity: self.capacities(params) };
        // Two seconds of withdrawal outlast a transient fault, and end before the list would show a lasting one.
        let stays = |host: &HostId| self.withdrawn.get(host).is_none_or(|since| now - since <= 2.0);
        let is_kept = |host: HostId| self.is_ready(host) && stays(&host);
        // A host whose weight operators lowered gives up the slices above its share at once, not by balancing.
        let (slice_count, total_weight) = (self.slices.len() as f64, self.total_effective_weight());
        let even_share = |host| (slice_count * self.effective_weight(host) / total_weight.max(1e-9)).ceil();
        let exceeds_share = |host, count: f64| self.weight_override(host) < 1.0 && count > even_share(host);
        let mut moves = Vec::new();
        for (id, score) in self.slices_by_score() {
            let (old, original) = (self.slices[&id].owner, self.slices[&id].original_owner);
            let is_sound = old.is_some_and(|old| is_kept(old) && plan.capacity[&old] >= 0.0);
            let is_overridden = |host| self.is_drained_by_operator(host) || self.is_excluded(id, host);
            let is_unwanted = |old| is_overridden(old) || exceeds_share(old, plan.load[&old]);
            // If the original owner is gone, the slice would be displaced now without any override.
            let has_lost_owner = original.is_some_and(|host| !is_overridden(host) && !self.is_ready(host));
            if !is_sound || has_lost_owner || old.is_some_and(is_unwanted) {
                let slice = Relocation { slice: id, score, current: old, owner: None };
                let new = self.relocate(&mut plan, &slice).or(old);
                let by_override = is_sound && !has_lost_owner && new != old;
                moves.push((id, new, original.or(old).filter(|_| by_override)));
                continue;
            }
            let fits = |host| plan.capacity[&host] >= score && !exceeds_share(host, plan.load[&host] + 1.0);
            let may_return = |host| self.is_open(host) && !self.is_excluded(id, host) && fits(host);
            if original.is_some_and(may_return) {
                plan.remove(old, score);
                plan.place(original, score);
                moves.push((id, original, None));
            }
        }
        self.set_owners(moves);
    }

    /// The paper's balancing, by one move at most. Hosts that are not open neither give nor receive slices.
    pub(super) fn balance(&mut self, now: f64, params: &Parameters, outbox: &mut Outbox) {
        let capacities = self.capacities(params);
        let hosts: Vec<HostId> = self.views.keys().copied().collect();
        let ids: Vec<SliceId> = self.slices.keys().copied().collect();
        let holder = |host: &HostId| {
            let (listed_at, open) = (self.views[host].seniority.0, self.is_open(*host));
            // New for the duration of slow start, if it was listed after this director started.
            let is_new = listed_at > 0.0 && now - listed_at < params.slow_start_duration;
            let (weight, capacity) = (self.effective_weight(*host), capacities[host]);
            Holder { weight, listed_at: Some(listed_at), is_new, open, leaving: !open, capacity }
        };
        let assignment = Assignment {
            holders: hosts.iter().map(holder).collect(),
            owners: self.slices.values().map(|slice| index_of(&hosts, slice.owner?)).collect(),
            scores: self.slices.values().map(|slice| slice.score).collect(),
            forbidden: self.excluded_placements(&ids, &hosts),
            // Each of several directors has a share of the slices; random gaps add up by the square root.
            slice_share: Some((ids.len() as f64 / params.slice_count.max(1.0)).min(1.0)),
            ..Assignment::default()
        };
        let was_moving = self.rebalancer.moving;
        let next_move = self.rebalancer.next_move(&assignment);
        let starts = self.rebalancer.moving && !was_moving;
        if let Some(gap) = assignment.gap().filter(|_| starts) {
            let text = format!("balancing starts, a gap of {:.1} slices", gap.slices);
            outbox.log(text, vec![hosts[gap.fullest], hosts[gap.emptiest]]);
        }
        if let Some(next) = next_move {
            self.set_owners(vec![(ids[next.slice], Some(hosts[next.to]), None)]);
        }
    }
}
