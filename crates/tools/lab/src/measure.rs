//! What is measured while a scenario is played.

use hdrhistogram::Histogram;

/// One second, by when calls arrived; weighed by importance where it says so.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Second {
    pub asked: f64,
    pub served: f64,
    pub calls: u32,
    pub answered: u32,
    pub late: u32,
    pub throttled: u32,
    pub dropped: u32,
    pub tries: u32,
    /// Lines written to proxies, and the longest queue at a host, sampled.
    pub lines: f64,
    pub queue: u32,
    pub open_hosts: u32,
}

pub struct Measured {
    pub seconds: Vec<Second>,
    /// Milliseconds from a client's first try to its answer, by route.
    pub latency: Vec<Histogram<u64>>,
    pub by_route: Vec<(f64, f64)>,
    /// Calls that wait or run at each host, each second.
    pub heat: Vec<Vec<u16>>,
    pub events: u64,
    pub probes: u64,
}

impl Measured {
    pub fn new(seconds: f64, routes: usize) -> Self {
        let histogram = || {
            Histogram::new_with_bounds(1, 600_000, 2)
                .unwrap_or_else(|_| Histogram::new(2).expect("two digits"))
        };
        Measured {
            seconds: vec![Second::default(); seconds.ceil() as usize + 1],
            latency: (0..routes).map(|_| histogram()).collect(),
            by_route: vec![(0.0, 0.0); routes],
            heat: Vec::new(),
            events: 0,
            probes: 0,
        }
    }

    pub fn at(&mut self, now: f64) -> &mut Second {
        let last = self.seconds.len() - 1;
        &mut self.seconds[(now.max(0.0) as usize).min(last)]
    }

    /// Importance served in time over importance asked for.
    pub fn service(&self) -> f64 {
        share(&self.seconds)
    }

    /// The same of the worst ten seconds.
    pub fn worst(&self) -> f64 {
        let tens =
            self.seconds.windows(10.min(self.seconds.len())).filter(|ten| ten.iter().any(|s| s.asked > 0.0));
        tens.map(share).fold(1.0, f64::min)
    }

    pub fn worst_route(&self) -> f64 {
        let routes = self.by_route.iter().filter(|(asked, _)| *asked > 0.0);
        routes.map(|(asked, served)| served / asked).fold(1.0, f64::min)
    }
}

fn share(seconds: &[Second]) -> f64 {
    let sum = |part: fn(&Second) -> f64| seconds.iter().map(part).sum::<f64>();
    let asked = sum(|second| second.asked);
    if asked > 0.0 {
        sum(|second| second.served) / asked
    } else {
        1.0
    }
}
