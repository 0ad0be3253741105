//! What is measured while a scenario is played.

use hdrhistogram::Histogram;

/// Latencies are recorded up to ten minutes.
const MAX_LATENCY_MS: u64 = 600_000;
/// The window of [`Measured::worst_window`].
const WINDOW_SECONDS: usize = 10;

/// Sums over the calls that arrived within one second of simulated time.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Second {
    /// Importance of the calls that arrived.
    pub offered: f64,
    /// Importance of those that were answered within their latency target.
    pub served: f64,
    /// Calls that arrived.
    pub calls: u32,
    /// Calls that were answered, also late.
    pub answered: u32,
    /// Calls that were answered after their latency target.
    pub late: u32,
    /// Calls that admission control rejected.
    pub throttled: u32,
    /// Calls that failed.
    pub dropped: u32,
    /// Attempts at hosts.
    pub attempts: u32,
    /// Table lines written to proxies, summed over the proxies.
    pub table_lines: f64,
    /// The longest queue at a host, sampled once.
    pub longest_queue: u32,
    /// Hosts that are ready and answer, sampled once.
    pub serving_hosts: u32,
}

/// What a route got.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RouteService {
    /// Importance of the calls that arrived.
    pub offered: f64,
    /// Importance of those that were answered within their latency target.
    pub served: f64,
}

/// What one play measures.
pub struct Measured {
    /// By second of arrival; the last one also counts what is later.
    pub seconds: Vec<Second>,
    /// Milliseconds from a client's first attempt to its answer, by route.
    pub latency: Vec<Histogram<u64>>,
    /// By route, over the whole play.
    pub by_route: Vec<RouteService>,
    /// Calls that wait or run at each host, sampled each second.
    pub jobs_by_host: Vec<Vec<u16>>,
    /// Events that were processed.
    pub events: u64,
    /// Health checks that hosts received.
    pub health_checks: u64,
}

impl Measured {
    /// Nothing measured yet, for a play of so many seconds.
    pub fn new(seconds: f64, routes: usize) -> Self {
        let histogram = || {
            Histogram::new_with_bounds(1, MAX_LATENCY_MS, 2)
                .unwrap_or_else(|_| Histogram::new(2).expect("two digits"))
        };
        Measured {
            seconds: vec![Second::default(); seconds.ceil() as usize + 1],
            latency: (0..routes).map(|_| histogram()).collect(),
            by_route: vec![RouteService::default(); routes],
            jobs_by_host: Vec::new(),
            events: 0,
            health_checks: 0,
        }
    }

    /// The second of a time, which may be before the beginning or after the end.
    pub fn second_at(&mut self, now: f64) -> &mut Second {
        let last = self.seconds.len() - 1;
        &mut self.seconds[(now.max(0.0) as usize).min(last)]
    }

    /// Service: importance answered within the latency target over importance that arrived; 1 if none did.
    pub fn service(&self) -> f64 {
        share(&self.seconds)
    }

    /// Service in the worst ten seconds in a row.
    pub fn worst_window(&self) -> f64 {
        let windows = self
            .seconds
            .windows(WINDOW_SECONDS.min(self.seconds.len()))
            .filter(|window| window.iter().any(|s| s.offered > 0.0));
        windows.map(share).fold(1.0, f64::min)
    }

    /// Service of the worst route.
    pub fn worst_route(&self) -> f64 {
        let routes = self.by_route.iter().filter(|route| route.offered > 0.0);
        routes.map(|route| route.served / route.offered).fold(1.0, f64::min)
    }
}

/// Importance served over importance that arrived.
fn share(seconds: &[Second]) -> f64 {
    let sum = |column: fn(&Second) -> f64| seconds.iter().map(column).sum::<f64>();
    let asked = sum(|second| second.offered);
    if asked > 0.0 {
        sum(|second| second.served) / asked
    } else {
        1.0
    }
}
