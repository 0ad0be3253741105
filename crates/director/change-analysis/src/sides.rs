//! Assignment of the calls of a period to the touched and the untouched side of a part of service.

use crate::history::{Period, SliceCalls};
use crate::scope::{ChangeScope, ServicePart};
use crate::sums::SideSums;
use coppersail::interface::{HostId, RouteId, SliceId};
use std::collections::BTreeSet;

/// Effective calls on a side below which a period is combined with the next one, as fewer calls are not
/// significant.
const MIN_EFFECTIVE_CALLS: f64 = 10.0;

/// How the calls of one part of service are divided between the two sides.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Sides {
    part: ServicePart,
    scope: ChangeScope,
    /// Calls that other trials touch are on neither side, as they cannot serve as control group.
    excluded_slices: BTreeSet<SliceId>,
    excluded_routes: BTreeSet<RouteId>,
    excluded_hosts: BTreeSet<HostId>,
    importance: Vec<f64>,
    untouched_unusable: bool,
}

impl Sides {
    /// `others`: scopes of the other changes in force; `importance`: weight of each route;
    /// `untouched_unusable`: the change affects so much that the rest cannot serve as control group.
    pub(crate) fn new(
        part: ServicePart,
        scope: &ChangeScope,
        others: &[&ChangeScope],
        importance: &[f64],
        untouched_unusable: bool,
    ) -> Self {
        Sides {
            part,
            scope: scope.clone(),
            excluded_slices: others.iter().flat_map(|other| other.slices.iter().copied()).collect(),
            excluded_routes: others.iter().flat_map(|other| other.routes.iter().copied()).collect(),
            excluded_hosts: others.iter().flat_map(|other| other.hosts.iter().copied()).collect(),
            importance: importance.to_vec(),
            untouched_unusable,
        }
    }

    pub(crate) fn part(&self) -> ServicePart {
        self.part
    }

    pub(crate) fn untouched_unusable(&self) -> bool {
        self.untouched_unusable
    }

    /// The sums of a period on both sides.
    pub(crate) fn split(&self, period: &Period) -> SideSums {
        match self.part {
            ServicePart::Hosts => self.split_attempts(period),
            _ => self.split_calls(period),
        }
    }

    fn split_attempts(&self, period: &Period) -> SideSums {
        let mut sums = SideSums::default();
        for host in &period.hosts {
            let side = if self.scope.hosts.contains(&host.host) {
                &mut sums.touched
            } else if self.excluded_hosts.contains(&host.host) {
                continue;
            } else {
                &mut sums.untouched
            };
            side.add(1.0, f64::from(host.attempts), f64::from(host.lost));
        }
        sums
    }

    fn split_calls(&self, period: &Period) -> SideSums {
        let mut sums = SideSums::default();
        for calls in &period.slices {
            let touched =
                self.scope.slices.contains(&calls.slice) || self.scope.routes.contains(&calls.route);
            let Some(weight) = self.weight(calls, touched) else { continue };
            let side = if touched {
                &mut sums.touched
            } else if self.excluded_slices.contains(&calls.slice)
                || self.excluded_routes.contains(&calls.route)
            {
                continue;
            } else {
                &mut sums.untouched
            };
            side.add(weight, f64::from(calls.calls), f64::from(calls.lost));
        }
        sums
    }

    /// The weight of these calls in this part; `None` if they do not belong to it.
    fn weight(&self, calls: &SliceCalls, touched: bool) -> Option<f64> {
        match self.part {
            ServicePart::Route(route) if calls.route == route => Some(1.0),
            // A route that the change touches for every slice is compared with the other routes.
            ServicePart::Route(route) if self.scope.routes.contains(&route) && !touched => Some(1.0),
            ServicePart::Route(_) => None,
            ServicePart::AllCalls => Some(1.0),
            ServicePart::AllByImportance | ServicePart::Hosts => {
                Some(self.importance[usize::from(calls.route.0)])
            }
        }
    }

    /// Whether the sums have enough calls to be evaluated on their own.
    pub(crate) fn are_sufficient(sums: &SideSums, without_untouched: bool) -> bool {
        sums.touched.effective_calls() >= MIN_EFFECTIVE_CALLS
            && (without_untouched || sums.untouched.effective_calls() >= MIN_EFFECTIVE_CALLS)
    }
}
