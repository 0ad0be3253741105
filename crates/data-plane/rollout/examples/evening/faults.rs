//! Injection of the faults of hosts and zones that a scenario has.
use crate::scenario::{Scenario, DURATION};
use crate::world::{Event, Simulation};
use coppersail_rollout::{Ms, OutcomeKind, Variant};

/// Period of the faults, and the offset of the first one (ms).
const PERIOD: Ms = 100_000;
const OFFSET: Ms = 30_000;
/// Durations of the faults (ms).
const COLD_FOR: Ms = 20_000;
const CRASH_FOR: Ms = 10_000;
const COLD_AFTER_CRASH: Ms = 10_000;
const BAD_ANSWERS_FOR: Ms = 15_000;
/// When a zone is lost (ms), and its index.
const ZONE_LOST_AT: Ms = 230_000;
const LOST_ZONE: usize = 1;
const VARIANTS: [Variant; 2] = [Variant::New, Variant::Control];

impl Simulation {
    pub(crate) fn inject_faults(&mut self, now: Ms) {
        if now % PERIOD != OFFSET {
            return;
        }
        match self.scenario {
            Scenario::ColdHosts => {
                self.hosts[0].iter_mut().step_by(2).for_each(|host| host.cold_until = now + COLD_FOR);
            }
            Scenario::HostsCrash => {
                for variant in VARIANTS {
                    let host = self.rng.usize(0..self.size.hosts);
                    self.crash(now, variant, host, CRASH_FOR);
                }
            }
            Scenario::ZoneLost if now == ZONE_LOST_AT => self.lose_zone(now),
            Scenario::HostsLoseAnswers | Scenario::HostsGarbleAnswers => self.break_one_host(now),
            _ => {}
        }
    }

    fn lose_zone(&mut self, now: Ms) {
        let zones = self.size.zones;
        for variant in VARIANTS {
            for host in (0..self.size.hosts).filter(|host| host % zones == LOST_ZONE) {
                self.crash(now, variant, host, DURATION);
            }
        }
        let lost = self.edges.iter_mut().filter(|edge| edge.zone == LOST_ZONE);
        lost.for_each(|edge| (edge.weight, edge.poll_at) = (0.0, DURATION));
    }

    /// Makes one random host of one version lose or garble answers.
    fn break_one_host(&mut self, now: Ms) {
        let variant = self.rng.usize(0..2);
        let at = self.rng.usize(0..self.size.hosts);
        let host = &mut self.hosts[variant][at];
        let until = match self.scenario {
            Scenario::HostsGarbleAnswers => &mut host.garbles_until,
            _ => &mut host.loses_until,
        };
        *until = now + BAD_ANSWERS_FOR;
    }

    /// Crashes a host: it is down for some time, and its requests in progress are lost.
    fn crash(&mut self, now: Ms, variant: Variant, at: usize, down_for: Ms) {
        let host = &mut self.hosts[variant as usize][at];
        host.down_until = now + down_for;
        host.cold_until = now + down_for + COLD_AFTER_CRASH;
        host.free_at = [0.0; 2];
        self.died.insert(host.name.clone(), now);
        for event in self.events.iter_mut().flatten() {
            if let Event::Ended { attempt, kind, .. } = event {
                if attempt.variant == variant && attempt.host == at {
                    *kind = OutcomeKind::Lost;
                }
            }
        }
    }
}
