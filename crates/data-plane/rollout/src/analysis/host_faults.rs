//! Which bad answers count against a version. A fault of the version shows at all of its hosts, so bad answers of one
//! host far beyond the others' are attributed to that host (a hot key, a bad disk). All answers lost with a host that
//! died count as a single loss, the host's death.
use super::stratum::Fault;
use crate::evidence::Counts;
use crate::Ms;
use std::collections::{BTreeMap, BTreeSet};

/// Bad answers of one host in a window count against the version up to a limit. The limit is this number ...
const BASE_LIMIT: f64 = 3.0;
/// ... plus this multiple of the bad answers of the worst other host.
const WORST_PEER_FACTOR: f64 = 2.0;
/// The length of a window, in milliseconds.
const WINDOW: Ms = 60_000;
/// With fewer hosts, faults of a host can't be distinguished from faults of the version, and all count against it.
const MIN_HOSTS: usize = 3;
const FAULT_KINDS: usize = 2;

/// Bad answers of one host in the current window.
#[derive(Default)]
struct HostFaults {
    total: f64,
    /// The bad answers that count against the version.
    attributed: f64,
}

#[derive(Default)]
pub(crate) struct HostFaultFilter {
    new_hosts: usize,
    window_began: Ms,
    /// Bad answers of the new version, by [`Fault`] and host.
    by_host: [BTreeMap<String, HostFaults>; FAULT_KINDS],
    /// Hosts whose death has been counted already.
    dead: BTreeSet<String>,
}

impl HostFaultFilter {
    /// Begins an interval, in which the new version has `new_hosts` hosts.
    pub(crate) fn begin_interval(&mut self, now: Ms, new_hosts: usize) {
        self.new_hosts = new_hosts;
        if now >= self.window_began + WINDOW {
            self.window_began = now;
            self.by_host.iter_mut().for_each(BTreeMap::clear);
        }
    }

    /// How many of these bad answers of the new version (given by host) count against the version.
    pub(crate) fn attributed(&mut self, fault: Fault, faults: &[(String, u32)]) -> f64 {
        let has_few_hosts = self.new_hosts < MIN_HOSTS;
        let by_host = &mut self.by_host[fault as usize];
        let mut sum = 0.0;
        for (host, count) in faults {
            let count = f64::from(*count);
            let peers = by_host.iter().filter(|(peer, _)| *peer != host);
            let worst_peer = peers.map(|(_, faults)| faults.total).fold(0.0, f64::max);
            let own = by_host.entry(host.clone()).or_default();
            let limit = BASE_LIMIT + WORST_PEER_FACTOR * worst_peer;
            let attributed = count.min(limit - own.attributed).max(0.0);
            own.total += count;
            own.attributed += attributed;
            sum += if has_few_hosts { count } else { attributed };
        }
        sum
    }

    /// Number of losses of the new version that count against it.
    pub(crate) fn new_losses(&mut self, counts: &Counts, host_died: impl Fn(&str) -> Option<bool>) -> f64 {
        let losses = self.split_by_death(counts, host_died);
        losses.deaths + self.attributed(Fault::Lost, &losses.at_live_hosts)
    }

    /// Number of losses of the control group. They all count, apart from those merged into a host's death.
    pub(crate) fn control_losses(
        &mut self,
        counts: &Counts,
        host_died: impl Fn(&str) -> Option<bool>,
    ) -> f64 {
        let losses = self.split_by_death(counts, host_died);
        losses.deaths + losses.at_live_hosts.iter().map(|(_, count)| f64::from(*count)).sum::<f64>()
    }

    fn split_by_death(&mut self, counts: &Counts, host_died: impl Fn(&str) -> Option<bool>) -> Losses {
        let is_dead = |(host, _): &(String, u32)| host_died(host) == Some(true);
        let (dead, at_live_hosts): (Vec<_>, Vec<_>) = counts.lost_at.iter().cloned().partition(is_dead);
        let newly_dead = dead.into_iter().filter(|(host, _)| self.dead.insert(host.clone()));
        Losses { deaths: newly_dead.count() as f64, at_live_hosts }
    }
}

/// Losses, split by whether their host died.
struct Losses {
    /// Number of deaths of hosts that weren't counted before.
    deaths: f64,
    at_live_hosts: Vec<(String, u32)>,
}
