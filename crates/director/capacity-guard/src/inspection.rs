//! Finds all reasons for which a state of the tables is unsafe.

use crate::bound::{FleetSizes, LoadBound};
use crate::load_index::{HostLoad, LoadIndex};
use crate::pool::Pool;
use crate::reason::Reason;
use coppersail::interface::{HostId, RouteId, ZoneId};
use std::collections::BTreeSet;

/// Factor by which a load must exceed its bound to count, as the sums have rounding errors.
const ROUNDING_FACTOR: f64 = 1.001;

/// The state to inspect.
pub(crate) struct Inspection<'a> {
    pub(crate) pool: &'a Pool,
    pub(crate) loads: &'a LoadIndex,
    pub(crate) sizes: &'a FleetSizes,
    pub(crate) now: f64,
}

impl Inspection<'_> {
    /// The reasons that concern any slice, one of these hosts, or one of their zones.
    pub(crate) fn reasons(&self, hosts: &BTreeSet<HostId>) -> Vec<Reason> {
        let uncovered = self.loads.uncovered().iter();
        let mut reasons: Vec<Reason> = uncovered.map(|slice| Reason::Uncovered { slice: *slice }).collect();
        for id in hosts {
            let Some(load) = self.loads.host_load(*id) else { continue };
            if !self.pool.hosts.contains_key(id) || !self.loads.is_open(*id) || load.calls <= 0.0 {
                continue;
            }
            let bound = LoadBound::of(self.pool, self.loads, self.sizes, *id, self.now);
            reasons.extend(self.overload(*id, load, &bound));
            reasons.extend(self.host_concentrations(*id, load, &bound));
        }
        let zones: BTreeSet<ZoneId> =
            hosts.iter().filter_map(|id| Some(self.pool.hosts.get(id)?.zone)).collect();
        for zone in zones {
            reasons.extend(self.loads.route_ids().filter_map(|route| self.zone_concentration(zone, route)));
        }
        reasons
    }

    fn overload(&self, host: HostId, load: &HostLoad, bound: &LoadBound) -> Option<Reason> {
        let warm = self.pool.hosts[&host].is_warm(self.now, &self.pool.capacity_model);
        let (calls, worst_case_calls) = (load.calls, load.worst_case_calls);
        let exceeds = calls > bound.calls * ROUNDING_FACTOR;
        let collapses = worst_case_calls > bound.worst_case_calls * ROUNDING_FACTOR;
        match warm {
            true if exceeds => Some(Reason::WarmOverload { host, calls, limit: bound.calls }),
            false if exceeds => Some(Reason::ColdOverload { host, calls, limit: bound.calls }),
            false if collapses => {
                Some(Reason::ColdOverload { host, calls: worst_case_calls, limit: bound.worst_case_calls })
            }
            _ => None,
        }
    }

    fn host_concentrations<'b>(
        &'b self,
        host: HostId,
        load: &'b HostLoad,
        bound: &'b LoadBound,
    ) -> impl Iterator<Item = Reason> + 'b {
        let routes = load.by_route.iter().zip(&bound.by_route).enumerate();
        let exceeded = routes.filter(|(_, (calls, bound))| **calls > **bound * ROUNDING_FACTOR);
        exceeded.map(move |(route, (calls, bound))| {
            let route = RouteId(route as u16);
            let total = self.loads.route_total(route);
            Reason::HostConcentration { route, host, share: calls / total, bound: bound / total }
        })
    }

    fn zone_concentration(&self, zone: ZoneId, route: RouteId) -> Option<Reason> {
        let (calls, total) = (self.loads.zone_calls(route, zone), self.loads.route_total(route));
        let bound = self.sizes.zone_route_bound(self.loads, route, zone);
        (calls > bound * ROUNDING_FACTOR).then(|| Reason::ZoneConcentration {
            route,
            zone,
            share: calls / total,
            bound: bound / total,
        })
    }
}
