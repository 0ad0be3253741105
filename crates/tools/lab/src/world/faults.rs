//! What goes wrong, and how it ends.

use super::hosts::State;
use super::{Event, World};
use crate::policy::Policy;
use crate::scenario::What;

impl World {
    /// So many of the hosts that serve, by chance.
    fn some(&mut self, share: f64) -> Vec<u32> {
        let serves = |host: &u32| {
            self.hosts[*host as usize].answers() && self.hosts[*host as usize].state == State::Ready
        };
        let mut hosts: Vec<u32> = (0..self.hosts.len() as u32).filter(serves).collect();
        let many = (share * self.hosts.len() as f64).round() as usize;
        self.chance.shuffle(&mut hosts);
        hosts.truncate(many);
        hosts
    }

    pub(super) fn fault(&mut self, which: usize, ends: bool) {
        let fault = self.scenario.faults[which].clone();
        match fault.what {
            What::Kill { share } if !ends => {
                let hosts = self.some(share);
                self.kill(which, hosts);
            }
            What::KillZone { zone } if !ends => {
                let within =
                    |host: &u32| self.hosts[*host as usize].zone == zone && self.hosts[*host as usize].up;
                let hosts = (0..self.hosts.len() as u32).filter(within).collect();
                self.kill(which, hosts);
            }
            What::Kill { .. } | What::KillZone { .. } => {
                let hosts = std::mem::take(&mut self.killed[which]);
                hosts.into_iter().for_each(|host| self.plan(self.now, Event::HostBack { host }));
            }
            What::Hang { share } => {
                if !ends {
                    self.killed[which] = self.some(share);
                }
                let hosts = self.killed[which].clone();
                for host in hosts {
                    self.hosts[host as usize].hung = !ends;
                    self.work_on(host);
                }
            }
            What::Slow { share, factor } => {
                if !ends {
                    self.killed[which] = self.some(share);
                }
                let hosts = self.killed[which].clone();
                let slow = if ends { 1.0 } else { factor };
                hosts.into_iter().for_each(|host| self.hosts[host as usize].slow = slow);
            }
            What::Cut { zone } => self.cut[zone as usize] = !ends,
            What::Roll { share, at_a_time } if !ends => {
                self.rolling[which] = self.some(share);
                self.killed[which] = vec![at_a_time];
                self.plan(self.now, Event::RollOn { which: which as u32 });
            }
            What::Roll { .. } => {}
            What::ListLate { by } => self.list_late += if ends { -by } else { by },
            What::StoreDown if ends => self.store_back(),
            What::StoreDown => self.store.down = true,
            What::KillDirector { director } if !ends => {
                let found = &mut self.directors[director];
                (found.up, found.life) = (false, found.life + 1);
                found.inputs.clear();
                if let Policy::Live(started) = &mut found.policy {
                    started.live.as_mut().into_iter().for_each(|live| live.kill());
                }
            }
            What::KillDirector { director } => {
                self.plan(self.now, Event::DirectorBack { director: director as u16 });
            }
            What::Flood { factor } => self.flood *= if ends { 1.0 / factor } else { factor },
            What::Cost { route, factor } => self.cost[route] *= if ends { 1.0 / factor } else { factor },
            What::ReportsSpoilt { share } => self.reports_spoilt = if ends { 0.0 } else { share },
            What::ReportsLost { share } => self.reports_lost = if ends { 0.0 } else { share },
        }
    }

    /// Hosts die with all that they hold; the list tells so, late.
    fn kill(&mut self, which: usize, hosts: Vec<u32>) {
        for host in &hosts {
            self.ended(*host);
            self.hosts[*host as usize].state = State::Gone;
        }
        self.listed(&hosts);
        self.killed[which] = hosts;
    }

    pub(super) fn host_back(&mut self, host: u32) {
        // One that fell over stays down.
        if self.hosts[host as usize].fallen || self.hosts[host as usize].up {
            return;
        }
        self.hosts[host as usize].begin(self.now);
        self.listed(&[host]);
    }

    /// The next few of a rolling deploy: they drain, then a cold successor is there in each one's place.
    pub(super) fn roll_on(&mut self, which: usize) {
        let at_a_time = self.killed[which].first().copied().unwrap_or(1).max(1) as usize;
        let grace = self.scenario.fleet.grace;
        let (lasts, hosts) = (self.scenario.faults[which].lasts, self.rolling[which].len());
        // Draining ones that were begun before are over now.
        let draining: Vec<u32> = self.killed[which].drain(1..).collect();
        for host in draining {
            if self.hosts[host as usize].state == State::Draining {
                self.ended(host);
                self.hosts[host as usize].begin(self.now);
                self.listed(&[host]);
            }
        }
        let next: Vec<u32> = self.rolling[which].drain(..at_a_time.min(hosts)).collect();
        if next.is_empty() {
            return;
        }
        next.iter().for_each(|host| self.hosts[*host as usize].state = State::Draining);
        self.listed(&next);
        self.killed[which].extend(&next);
        let rounds = (hosts as f64 / at_a_time as f64).ceil().max(1.0);
        let pace = (lasts / rounds).max(grace + self.list_late + 0.5);
        self.plan(self.now + pace, Event::RollOn { which: which as u32 });
    }
}
