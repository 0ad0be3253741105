//! Faults of the scenario: how they begin and how they end.

use super::event::Event;
use super::fault_state::Deployment;
use super::host::LifecycleState;
use super::state::World;
use crate::scenario::FaultKind;

/// Replacing hosts takes so much longer than their grace period and the delay of discovery at least, seconds.
const DEPLOYMENT_MARGIN: f64 = 0.5;

impl World {
    /// A fault begins.
    pub(super) fn fault_begins(&mut self, index: usize) {
        match self.scenario.faults[index].kind {
            FaultKind::Kill { share } => {
                let hosts = self.draw_serving_hosts(share);
                self.kill_hosts(index, hosts);
            }
            FaultKind::KillZone { zone } => {
                let hosts = self.running_hosts_of(zone);
                self.kill_hosts(index, hosts);
            }
            FaultKind::Hang { share } => {
                self.fault_states[index].affected_hosts = self.draw_serving_hosts(share);
                self.set_hung(index, true);
            }
            FaultKind::Slow { share, factor } => {
                self.fault_states[index].affected_hosts = self.draw_serving_hosts(share);
                self.set_slowdown(index, factor);
            }
            FaultKind::Cut { zone } => self.isolated_zones[zone as usize] = true,
            FaultKind::Roll { share, at_a_time } => self.begin_deployment(index, share, at_a_time),
            FaultKind::ListLate { by } => self.discovery_delay += by,
            FaultKind::StoreDown => self.store.is_down = true,
            FaultKind::KillDirector { director } => self.directors[director].stop(),
            FaultKind::Flood { factor } => self.traffic.flood_factor *= factor,
            FaultKind::Cost { route, factor } => self.traffic.cost_factors[route] *= factor,
            FaultKind::ReportsSpoilt { share } => self.collectors.corrupted_share = share,
            FaultKind::ReportsLost { share } => self.collectors.lost_share = share,
        }
    }

    /// A fault ends.
    pub(super) fn fault_ends(&mut self, index: usize) {
        match self.scenario.faults[index].kind {
            FaultKind::Kill { .. } | FaultKind::KillZone { .. } => {
                let hosts = std::mem::take(&mut self.fault_states[index].affected_hosts);
                for host in hosts {
                    self.schedule(self.now, Event::HostRestarts { host });
                }
            }
            FaultKind::Hang { .. } => self.set_hung(index, false),
            FaultKind::Slow { .. } => self.set_slowdown(index, 1.0),
            FaultKind::Cut { zone } => self.isolated_zones[zone as usize] = false,
            // A deployment ends with its last host.
            FaultKind::Roll { .. } => {}
            FaultKind::ListLate { by } => self.discovery_delay += -by,
            FaultKind::StoreDown => self.restore_store(),
            FaultKind::KillDirector { director } => {
                self.schedule(self.now, Event::DirectorRestarts { director: director as u16 });
            }
            FaultKind::Flood { factor } => self.traffic.flood_factor *= 1.0 / factor,
            FaultKind::Cost { route, factor } => self.traffic.cost_factors[route] *= 1.0 / factor,
            FaultKind::ReportsSpoilt { .. } => self.collectors.corrupted_share = 0.0,
            FaultKind::ReportsLost { .. } => self.collectors.lost_share = 0.0,
        }
    }

    /// Draws a share of all hosts out of those that serve.
    fn draw_serving_hosts(&mut self, share: f64) -> Vec<u32> {
        let mut hosts: Vec<u32> = (0..self.hosts.len() as u32).collect();
        hosts.retain(|host| self.hosts[*host as usize].is_serving());
        let count = (share * self.hosts.len() as f64).round() as usize;
        self.rng.shuffle(&mut hosts);
        hosts.truncate(count);
        hosts
    }

    fn running_hosts_of(&self, zone: u16) -> Vec<u32> {
        let mut hosts: Vec<u32> = (0..self.hosts.len() as u32).collect();
        hosts.retain(|host| {
            let host = &self.hosts[*host as usize];
            host.zone == zone && host.is_up
        });
        hosts
    }

    /// Hosts die with all that they have; discovery tells of it later.
    fn kill_hosts(&mut self, fault: usize, hosts: Vec<u32>) {
        for host in &hosts {
            self.stop_host(*host);
            self.hosts[*host as usize].state = LifecycleState::Gone;
        }
        self.publish_hosts(&hosts);
        self.fault_states[fault].affected_hosts = hosts;
    }

    /// A host that was killed starts again; one that collapsed stays down.
    pub(super) fn host_restarts(&mut self, index: u32) {
        let host = &mut self.hosts[index as usize];
        if host.has_collapsed || host.is_up {
            return;
        }
        host.start(self.now);
        self.publish_hosts(&[index]);
    }

    fn set_hung(&mut self, fault: usize, is_hung: bool) {
        for host in self.fault_states[fault].affected_hosts.clone() {
            self.hosts[host as usize].is_hung = is_hung;
            self.start_jobs(host);
        }
    }

    fn set_slowdown(&mut self, fault: usize, slowdown: f64) {
        for host in &self.fault_states[fault].affected_hosts {
            self.hosts[*host as usize].slowdown = slowdown;
        }
    }

    fn begin_deployment(&mut self, fault: usize, share: f64, at_a_time: u32) {
        let remaining = self.draw_serving_hosts(share);
        let batch_size = at_a_time.max(1) as usize;
        self.fault_states[fault].deployment =
            Some(Deployment { batch_size, draining: Vec::new(), remaining });
        self.schedule(self.now, Event::DeploymentAdvances { fault: fault as u32 });
    }

    /// Replaces the hosts that were draining by new processes, and drains the next ones.
    pub(super) fn deployment_advances(&mut self, fault: usize) {
        let Some(mut deployment) = self.fault_states[fault].deployment.take() else { return };
        for host in deployment.draining.drain(..) {
            self.replace_if_draining(host);
        }
        let remaining = deployment.remaining.len();
        let next_count = deployment.batch_size.min(remaining);
        deployment.draining = deployment.remaining.drain(..next_count).collect();
        if deployment.draining.is_empty() {
            return;
        }
        for host in &deployment.draining {
            self.hosts[*host as usize].state = LifecycleState::Draining;
        }
        self.publish_hosts(&deployment.draining);
        let batches = (remaining as f64 / deployment.batch_size as f64).ceil().max(1.0);
        self.fault_states[fault].deployment = Some(deployment);
        let shortest = self.scenario.fleet.grace + self.discovery_delay + DEPLOYMENT_MARGIN;
        let interval = (self.scenario.faults[fault].duration / batches).max(shortest);
        self.schedule(self.now + interval, Event::DeploymentAdvances { fault: fault as u32 });
    }

    /// Replaces a draining host by a new process; another fault may have changed it meanwhile.
    fn replace_if_draining(&mut self, index: u32) {
        if self.hosts[index as usize].state != LifecycleState::Draining {
            return;
        }
        self.stop_host(index);
        self.hosts[index as usize].start(self.now);
        self.publish_hosts(&[index]);
    }
}
