//! What was heard, by period of arrival. Only what came is kept, so it costs by the lines and not by the fleet.

use coppersail::interface::{HostId, RouteId, SliceId};
use std::collections::{BTreeMap, VecDeque};

/// Periods that are remembered: those of a trial's length before the change.
const KEPT: usize = 60;

/// Calls and lost ones of one slice in one route.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Cell {
    pub slice: SliceId,
    pub route: RouteId,
    pub calls: f32,
    pub lost: f32,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AtHost {
    pub host: HostId,
    pub tries: f32,
    pub lost: f32,
}

#[derive(Clone, Debug, Default, PartialEq)]
pub struct Period {
    pub cells: Vec<Cell>,
    pub at_hosts: Vec<AtHost>,
}

/// One that has not ended: what comes for the same adds up.
#[derive(Clone, Debug, Default)]
pub struct Open {
    cells: BTreeMap<(SliceId, RouteId), (f32, f32)>,
    hosts: BTreeMap<HostId, (f32, f32)>,
}

impl Open {
    pub fn cell(&mut self, slice: SliceId, route: RouteId, calls: u64, lost: u64) {
        let sum = self.cells.entry((slice, route)).or_default();
        *sum = (sum.0 + calls as f32, sum.1 + lost.min(calls) as f32);
    }

    pub fn host(&mut self, host: HostId, tries: f64, lost: f64) {
        let sum = self.hosts.entry(host).or_default();
        *sum = (sum.0 + tries as f32, sum.1 + lost as f32);
    }
}

impl Period {
    pub fn calls(&self) -> f64 {
        self.cells.iter().map(|cell| f64::from(cell.calls)).sum()
    }

    pub fn hosts(&self) -> impl Iterator<Item = HostId> + '_ {
        self.at_hosts.iter().map(|at| at.host)
    }
}

#[derive(Default)]
pub struct Past {
    pub now: Open,
    kept: VecDeque<std::rc::Rc<Period>>,
}

impl Past {
    pub fn periods(&self) -> impl Iterator<Item = &Period> {
        self.kept.iter().map(|period| &**period)
    }

    /// The last minute of them, to be kept by whoever compares with it.
    pub fn before(&self) -> Vec<std::rc::Rc<Period>> {
        self.kept.range(self.kept.len().saturating_sub(KEPT)..).cloned().collect()
    }

    pub fn end(&mut self) -> std::rc::Rc<Period> {
        let open = std::mem::take(&mut self.now);
        let cells = open.cells.into_iter();
        let cells = cells.map(|((slice, route), (calls, lost))| Cell { slice, route, calls, lost }).collect();
        let hosts = open.hosts.into_iter();
        let at_hosts = hosts.map(|(host, (tries, lost))| AtHost { host, tries, lost }).collect();
        let period = std::rc::Rc::new(Period { cells, at_hosts });
        self.kept.push_back(period.clone());
        if self.kept.len() > KEPT {
            self.kept.pop_front();
        }
        period
    }
}
