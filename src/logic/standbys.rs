//! Who stands by, and what part of a slice goes there.

use super::*;

impl Tables {
    /// Standby's weight against the owner's: from a trickle that keeps connections open to more than the owner's.
    const STANDBY_SHARES: [f64; 6] = [0.1, 0.2, 0.4, 0.7, 1.2, 2.0];

    /// Every slice has a second host where a further try, or a withdrawn host's part, can go.
    pub(super) fn assign_standbys(&mut self, params: &Parameters) {
        if params.exclusive_ownership {
            return;
        }
        let mut plan = PlacementPlan { load: self.loads(), capacity: self.capacities(params) };
        // An owner far over the fleet's mean and a standby nearly as full can't help each other.
        let load = |host| self.relative_loads.get(&host).copied().unwrap_or(0.0);
        let is_stuck =
            |owner, standby| load(owner) > 1.6 * self.mean_relative_load && load(standby) > 0.7 * load(owner);
        for id in self.slices.keys().copied().collect::<Vec<_>>() {
            let slice = &self.slices[&id];
            let Some(owner) = slice.owner else { continue };
            let may_stand_by = |host| owner != host && self.is_open(host) && !self.is_excluded(id, host);
            let fits = |host| may_stand_by(host) && plan.capacity[&host] >= 0.0 && !is_stuck(owner, host);
            if !slice.standby.is_some_and(fits) {
                let owner = Some(owner);
                let slice = Relocation { slice: id, score: slice.score, current: slice.standby, owner };
                let standby = self.relocate(&mut plan, &slice);
                self.slices.entry(id).and_modify(|slice| slice.set_standby(standby));
            }
        }
    }

    /// By age, derating, and reported speed against the fleet's; else half of what response times say, in logs.
    pub(super) fn ability(&self, host: HostId) -> f64 {
        let Some(view) = self.views.get(&host) else { return 1.0 };
        let relative_speed = match view.speed {
            _ if view.slow_start < 1.0 => 1.0,
            Some(speed) => speed / self.mean_speed,
            None if view.answered >= 1.0 => (self.response_time / view.response_time).sqrt(),
            None => 1.0,
        };
        // Between half and one and a half: the spread of machines; more is a fault, for which derating is there.
        view.slow_start * view.derating * relative_speed.clamp(0.5, 1.5) * self.weight_override(host)
    }

    /// Shares the slices of a host that carries more, for what it can, than the fleet and the standby.
    pub(super) fn share_load(&mut self) {
        let mut loads = self.loads();
        for (host, load) in &mut loads {
            *load /= self.ability(*host);
        }
        let open = || loads.iter().filter(|(host, _)| self.is_open(**host));
        let mean = open().map(|(_, load)| load).sum::<f64>() / open().count().max(1) as f64;
        for slice in self.slices.values_mut() {
            let load = |host: Option<HostId>| host.and_then(|host| loads.get(&host)).copied().unwrap_or(0.0);
            let (owner, standby) = (load(slice.owner), load(slice.standby));
            // A quarter more than its standby: past the noise of the counts.
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
        // With nobody open to own it, what stands is better than nothing.
        let Some(owner) = slice.owner else { return slice.weights.clone() };
        // A weight that stands is kept, so that only its partner's need be sent.
        let standing = slice.weights.get(&owner).copied();
        let owner_weight = standing.filter(|weight| *weight > 0.01).unwrap_or(1.0);
        let mut weights = PerHost::from([(owner, owner_weight)]);
        if let Some(standby) = slice.standby {
            let share =
                Self::STANDBY_SHARES[slice.standby_level] * self.ability(standby) / self.ability(owner);
            // A young owner takes no more than its age allows; the standby, if older, the rest.
            let slow_start = |host| self.views.get(&host).map_or(1.0, |view| view.slow_start);
            let is_older = slow_start(standby) > slow_start(owner);
            let rest = if is_older { 1.0 / slow_start(owner) - 1.0 } else { 0.0 };
            weights.insert(standby, owner_weight * share.max(rest).clamp(0.02, 50.0));
        }
        weights
    }
}
