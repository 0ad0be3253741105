//! The state of the fleet, sampled each second.

use super::event::Event;
use super::state::World;
use crate::truth::TrueHost;

/// Simulated seconds between samples.
const SAMPLE_INTERVAL: f64 = 1.0;

impl World {
    /// Samples the fleet for the measurements and the true state.
    pub(super) fn fleet_sampled(&mut self) {
        if self.now > self.scenario.seconds {
            return;
        }
        self.measure_fleet();
        self.update_truth();
        self.traffic.decay_recent_calls();
        self.forget_old_messages();
        self.schedule(self.now + SAMPLE_INTERVAL, Event::FleetSampled);
    }

    fn measure_fleet(&mut self) {
        let jobs: Vec<u16> =
            self.hosts.iter().map(|host| host.jobs().min(u16::MAX as usize) as u16).collect();
        let second = self.measured.second_at(self.now);
        second.longest_queue = u32::from(jobs.iter().copied().max().unwrap_or(0));
        second.serving_hosts = self.hosts.iter().filter(|host| host.is_serving()).count() as u32;
        self.measured.jobs_by_host.push(jobs);
    }

    fn update_truth(&mut self) {
        let fleet = &self.scenario.fleet;
        let mut hosts = Vec::new();
        for host in &self.hosts {
            hosts.push(TrueHost {
                is_serving: host.is_serving(),
                work_per_second: host.work_per_second(self.now, fleet),
                jobs: host.queue.len() as f64 + f64::from(host.running),
            });
        }
        self.truth.hosts = hosts;
        let mean_work = self.mean_work();
        let recent_calls = &self.traffic.recent_calls_per_second;
        self.truth.work_per_second_by_slice = recent_calls.iter().map(|calls| calls * mean_work).collect();
    }

    /// The mean work of a call, seconds.
    fn mean_work(&self) -> f64 {
        let routes = &self.scenario.load.routes;
        let work: f64 = routes.iter().map(|route| route.mean_work * route.share).sum();
        let shares: f64 = routes.iter().map(|route| route.share).sum();
        work / shares
    }

    /// Drops the versions of tables that every proxy has passed.
    fn forget_old_messages(&mut self) {
        for director in 0..self.directors.len() {
            let applied = self.proxies.iter().map(|proxy| proxy.applied[director]);
            let applied_by_all = applied.min().unwrap_or(0);
            self.assignments.forget_before(director, applied_by_all);
        }
    }
}
