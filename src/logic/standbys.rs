//! Standbys: a second host for each slice, and the share of the slice's calls that it gets.

use super::*;

impl Tables {
    /// Weights of a standby relative to its owner's: the lowest keeps connections open, the highest sheds load.
    const STANDBY_SHARES: [f64; 6] = [0.1, 0.2, 0.4, 0.7, 1.2, 2.0];

    /// Gives every slice a second host, for retries and for the calls of an owner that is withdrawn.
    pub(super) fn assign_standbys(&mut self, params: &Parameters) {
        if params.exclusive_ownership {
            return;
        }
        let mut plan = PlacementPlan { load: self.loads(), capacity: self.capacities(params) };
        // A standby that is nearly as loaded as an owner far above the mean cannot relieve it.
        let load = |host| self.relative_loads.get(&host).copied().unwrap_or(0.0);
        let is_overloaded_pair =
            |owner, standby| load(owner) > 1.6 * self.mean_relative_load && load(standby) > 0.7 * load(owner);
        for id in self.slices.keys().copied().collect::<Vec<_>>() {
            let slice = &self.slices[&id];
            let Some(owner) = slice.owner else { continue };
            let may_stand_by = |host| owner != host && self.is_open(host) && !self.is_excluded(id, host);
            let fits =
                |host| may_stand_by(host) && plan.capacity[&host] >= 0.0 && !is_overloaded_pair(owner, host);
            if !slice.standby.is_some_and(fits) {
                let owner = Some(owner);
                let slice = Relocation { slice: id, score: slice.score, current: slice.standby, owner };
                let standby = self.relocate(&mut plan, &slice);
                self.slices.entry(id).and_modify(|slice| slice.set_standby(standby));
            }
        }
    }

    /// Relative load that a host can carry, by slow start, derating and speed (reported, or by response times).
    pub(super) fn throughput(&self, host: HostId) -> f64 {
        let Some(view) = self.views.get(&host) else { return 1.0 };
        let relative_speed = match view.speed {
            _ if view.slow_start < 1.0 => 1.0,
            Some(speed) => speed / self.mean_speed,
            None if view.answered >= 1.0 => (self.response_time / view.response_time).sqrt(),
            None => 1.0,
        };
        // Machine types differ by half to one and a half. More is a fault, which derating covers.
        view.slow_start * view.derating * relative_speed.clamp(0.5, 1.5) * self.weight_override(host)
    }

    /// Shifts load to standbys where the owner has more load for its throughput than the mean and the standby.
    pub(super) fn share_load(&mut self) {
        let mut loads = self.loads();
        for (host, load) in &mut loads {
            *load /= self.throughput(*host);
        }
        let open = || loads.iter().filter(|(host, _)| self.is_open(**host));
        let mean = open().map(|(_, load)| load).sum::<f64>() / open().count().max(1) as f64;
        for slice in self.slices.values_mut() {
            let load = |host: Option<HostId>| host.and_then(|host| loads.get(&host)).copied().unwrap_or(0.0);
            let (owner, standby) = (load(slice.owner), load(slice.standby));
            // A quarter more than its standby is beyond the noise of the counts.
            if owner > 1.25 * standby && owner > mean {
                slice.standby_level = (slice.standby_level + 1).min(Self::STANDBY_SHARES.len() - 1);
            } else if owner < standby {
                slice.standby_level = slice.standby_level.saturating_sub(1);
            }
        }
        self.relative_loads = loads;
        self.mean_relative_load = mean;
    }

    /// The weights that a slice's table should have.
    pub(crate) fn desired_weights(&self, slice: &Slice) -> PerHost {
        // Without an owner the table stays as it is, which is better than an empty one.
        let Some(owner) = slice.owner else { return slice.weights.clone() };
        // The owner keeps the weight that was sent, so that only the standby's weight has to be sent.
        let sent = slice.weights.get(&owner).copied();
        let owner_weight = sent.filter(|weight| *weight > 0.01).unwrap_or(1.0);
        let mut weights = PerHost::from([(owner, owner_weight)]);
        if let Some(standby) = slice.standby {
            let share =
                Self::STANDBY_SHARES[slice.standby_level] * self.throughput(standby) / self.throughput(owner);
            // An owner in slow start gets no more than its share; a standby further in slow start gets the rest.
            let slow_start = |host| self.views.get(&host).map_or(1.0, |view| view.slow_start);
            let is_further = slow_start(standby) > slow_start(owner);
            let rest = if is_further { 1.0 / slow_start(owner) - 1.0 } else { 0.0 };
            weights.insert(standby, owner_weight * share.max(rest).clamp(0.02, 50.0));
        }
        weights
    }
}
