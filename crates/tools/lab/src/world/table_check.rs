//! Rule 1, checked: a proxy always has a host to send to.

use super::event::Event;
use super::state::World;
use crate::rules::Rule;

/// Simulated seconds between checks.
const CHECK_INTERVAL: f64 = 0.25;
/// A slice may lack a host for so long, simulated seconds.
pub(super) const MAX_UNSERVED: f64 = 5.0;

impl World {
    /// Rule 1: each table as any proxy may have it has a host that is not withdrawn, while there is a warm host in
    /// service.
    pub(super) fn tables_checked(&mut self) {
        if self.now > self.scenario.seconds {
            return;
        }
        self.schedule(self.now + CHECK_INTERVAL, Event::TablesChecked);
        let has_warm_host = self.has_warm_host();
        for director in 0..self.directors.len() {
            let applied_versions = self.applied_versions(director);
            for slice in self.assignments.slices_of(director) {
                let lacks_host = |applied: &u32| self.assignments.lacks_host(director, slice, *applied);
                let is_unserved = has_warm_host && applied_versions.iter().any(lacks_host);
                self.record_service_of(slice, is_unserved);
            }
        }
    }

    fn has_warm_host(&self) -> bool {
        let fleet = &self.scenario.fleet;
        let mut hosts = self.hosts.iter();
        hosts.any(|host| host.is_serving() && host.slow_start_speed(self.now, fleet) >= 1.0)
    }

    /// The messages of the director up to which proxies have applied, each once.
    fn applied_versions(&self, director: usize) -> Vec<u32> {
        let mut versions: Vec<u32> = self.proxies.iter().map(|proxy| proxy.applied[director]).collect();
        versions.sort_unstable();
        versions.dedup();
        versions
    }

    /// Records whether a slice is served; a violation is reported once in each period of the time allowed.
    fn record_service_of(&mut self, slice: usize, is_unserved: bool) {
        if !is_unserved {
            self.unserved_since[slice] = None;
            return;
        }
        let since = *self.unserved_since[slice].get_or_insert(self.now);
        if self.now - since > MAX_UNSERVED {
            self.unserved_since[slice] = Some(self.now);
            self.rules.record_violation(Rule::NoUsableHost, self.now, || format!("slice {slice}"));
        }
    }
}
