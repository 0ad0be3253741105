//! Collectors: they sum what proxies see between two reports.

/// The attempts of one zone's proxies at one host since the last report.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct AttemptSum {
    /// Attempts that have ended.
    pub(super) attempts: u32,
    /// Those without an answer.
    pub(super) failed: u32,
    /// Sum over the attempts that were answered, seconds.
    pub(super) response_time: f64,
}

/// The calls of one slice in one route since the last report.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct DemandSum {
    /// Calls as clients sent them.
    pub(super) calls: u32,
    /// Those that the proxies gave up.
    pub(super) dropped: u32,
}

/// The sums since the last report, and the faults of reporting.
pub(super) struct Collectors {
    /// The share of the sums that is lost.
    pub(super) lost_share: f64,
    /// The share of the attempt sums that is corrupted.
    pub(super) corrupted_share: f64,
    /// By zone and, within a zone, by host.
    pub(super) attempts: Vec<AttemptSum>,
    /// By slice and, within a slice, by route.
    pub(super) demand: Vec<DemandSum>,
    hosts: usize,
    routes: usize,
}

impl Collectors {
    /// Nothing summed yet.
    pub(super) fn new(zones: u16, hosts: u32, slices: u16, routes: usize) -> Self {
        Collectors {
            lost_share: 0.0,
            corrupted_share: 0.0,
            hosts: hosts as usize,
            routes,
            attempts: vec![AttemptSum::default(); zones as usize * hosts as usize],
            demand: vec![DemandSum::default(); slices as usize * routes],
        }
    }

    /// The sum of a slice and a route.
    pub(super) fn demand_of(&mut self, slice: u16, route: u8) -> &mut DemandSum {
        &mut self.demand[slice as usize * self.routes + route as usize]
    }

    fn attempts_of(&mut self, zone: u16, host: u32) -> &mut AttemptSum {
        &mut self.attempts[zone as usize * self.hosts + host as usize]
    }

    /// A proxy of the zone has had an answer, so many seconds after its client's first try.
    pub(super) fn record_answered(&mut self, zone: u16, host: u32, response_time: f64) {
        let sum = self.attempts_of(zone, host);
        sum.attempts += 1;
        sum.response_time += response_time;
    }

    /// An attempt of a proxy of the zone has failed.
    pub(super) fn record_failed(&mut self, zone: u16, host: u32) {
        let sum = self.attempts_of(zone, host);
        sum.attempts += 1;
        sum.failed += 1;
    }

    /// Begins a new interval.
    pub(super) fn clear(&mut self) {
        self.attempts.fill(AttemptSum::default());
        self.demand.fill(DemandSum::default());
    }
}
