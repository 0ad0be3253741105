//! Which bad answers of a host count against its version. A version is bad at all of its hosts: what one host has
//! beyond its fellows is that host's own trouble (a hot key, a bad disk), and what is lost with a host that died is
//! one loss, its death.
use super::stratum::Fault;
use crate::evidence::Counts;
use crate::Ms;
use std::collections::{BTreeMap, BTreeSet};

/// Bad answers of one host within a window that always count against the version ...
const FREE_FAULTS: f64 = 3.0;
/// ... and so many times those of the worst other host.
const WORST_PEER_FACTOR: f64 = 2.0;
/// The window, in milliseconds.
const WINDOW: Ms = 60_000;
/// Fewer hosts can't be told from their version.
const MIN_HOSTS: usize = 3;
const FAULT_KINDS: usize = 2;

/// Bad answers of one host in this window.
#[derive(Default)]
struct HostFaults {
    total: f64,
    /// Those that count against the version.
    attributed: f64,
}

#[derive(Default)]
pub(crate) struct HostFaultFilter {
    new_hosts: usize,
    window_began: Ms,
    /// Of the new version, by [`Fault`] and host.
    by_host: [BTreeMap<String, HostFaults>; FAULT_KINDS],
    /// Hosts whose death has been counted.
    dead: BTreeSet<String>,
}

impl HostFaultFilter {
    /// Begins an interval, in which the new version has so many hosts.
    pub(crate) fn begin_interval(&mut self, now: Ms, new_hosts: usize) {
        self.new_hosts = new_hosts;
        if now >= self.window_began + WINDOW {
            self.window_began = now;
            self.by_host.iter_mut().for_each(BTreeMap::clear);
        }
    }

    /// How many of these bad answers of the new version, by host, count against the version.
    pub(crate) fn attributed(&mut self, fault: Fault, faults: &[(String, u32)]) -> f64 {
        let has_few_hosts = self.new_hosts < MIN_HOSTS;
        let by_host = &mut self.by_host[fault as usize];
        let mut sum = 0.0;
        for (host, count) in faults {
            let count = f64::from(*count);
            let peers = by_host.iter().filter(|(peer, _)| *peer != host);
            let worst_peer = peers.map(|(_, faults)| faults.total).fold(0.0, f64::max);
            let own = by_host.entry(host.clone()).or_default();
            let limit = FREE_FAULTS + WORST_PEER_FACTOR * worst_peer;
            let attributed = count.min(limit - own.attributed).max(0.0);
            own.total += count;
            own.attributed += attributed;
            sum += if has_few_hosts { count } else { attributed };
        }
        sum
    }

    /// Losses of the new version that count against it.
    pub(crate) fn new_losses(&mut self, counts: &Counts, host_died: impl Fn(&str) -> Option<bool>) -> f64 {
        let losses = self.split_by_death(counts, host_died);
        losses.deaths + self.attributed(Fault::Lost, &losses.at_live_hosts)
    }

    /// Losses of the control group.
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

struct Losses {
    /// Deaths of hosts that weren't counted before.
    deaths: f64,
    at_live_hosts: Vec<(String, u32)>,
}
