//! Reported calls by the period in which the reports arrived. Only reported values are kept, so memory use
//! grows with the number of reported slices and hosts and not with the size of the fleet.

use coppersail::interface::{HostId, RouteId, SliceId};
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

/// Number of periods that are kept, which is the length of a baseline.
const BASELINE_PERIODS: usize = 60;

/// Calls of one slice in one route.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct SliceCalls {
    pub(crate) slice: SliceId,
    pub(crate) route: RouteId,
    pub(crate) calls: f32,
    pub(crate) lost: f32,
}

/// Attempts at one host.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct HostAttempts {
    pub(crate) host: HostId,
    pub(crate) attempts: f32,
    pub(crate) lost: f32,
}

/// A closed period, sorted by slice and route, and by host.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Period {
    pub(crate) slices: Vec<SliceCalls>,
    pub(crate) hosts: Vec<HostAttempts>,
}

impl Period {
    pub(crate) fn total_calls(&self) -> f64 {
        self.slices.iter().map(|slice| f64::from(slice.calls)).sum()
    }

    pub(crate) fn has_calls(&self) -> bool {
        self.total_calls() > 0.0
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct Count {
    total: f32,
    lost: f32,
}

impl Count {
    fn add(&mut self, total: f32, lost: f32) {
        self.total += total;
        self.lost += lost;
    }
}

/// The current period; reports for the same slice and route, or for the same host, are summed.
#[derive(Clone, Debug, Default)]
pub(crate) struct OpenPeriod {
    slices: BTreeMap<(SliceId, RouteId), Count>,
    hosts: BTreeMap<HostId, Count>,
}

impl OpenPeriod {
    pub(crate) fn add_calls(&mut self, slice: SliceId, route: RouteId, calls: u64, lost: u64) {
        self.slices.entry((slice, route)).or_default().add(calls as f32, lost.min(calls) as f32);
    }

    pub(crate) fn add_attempts(&mut self, host: HostId, attempts: f64, lost: f64) {
        self.hosts.entry(host).or_default().add(attempts as f32, lost as f32);
    }

    fn close(self) -> Period {
        let slice_calls = |((slice, route), count): ((SliceId, RouteId), Count)| SliceCalls {
            slice,
            route,
            calls: count.total,
            lost: count.lost,
        };
        let host_attempts =
            |(host, count): (HostId, Count)| HostAttempts { host, attempts: count.total, lost: count.lost };
        Period {
            slices: self.slices.into_iter().map(slice_calls).collect(),
            hosts: self.hosts.into_iter().map(host_attempts).collect(),
        }
    }
}

/// The current period, and up to [`BASELINE_PERIODS`] closed ones before it.
#[derive(Default)]
pub(crate) struct History {
    pub(crate) open: OpenPeriod,
    closed: VecDeque<Rc<Period>>,
}

impl History {
    /// The closed periods, oldest first.
    pub(crate) fn periods(&self) -> impl Iterator<Item = &Period> {
        self.closed.iter().map(|period| &**period)
    }

    /// The closed periods, shared, as the baseline of a trial.
    pub(crate) fn baseline(&self) -> Vec<Rc<Period>> {
        self.closed.iter().cloned().collect()
    }

    /// Closes the current period and begins the next one.
    pub(crate) fn close_period(&mut self) -> Rc<Period> {
        let period = Rc::new(std::mem::take(&mut self.open).close());
        self.closed.push_back(period.clone());
        if self.closed.len() > BASELINE_PERIODS {
            self.closed.pop_front();
        }
        period
    }
}
