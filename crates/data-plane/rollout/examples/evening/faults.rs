//! Faults of hosts and zones that a scenario injects.
use crate::scenario::{Scenario, EVENING};
use crate::world::{Evening, Event};
use coppersail_rollout::{Ms, OutcomeKind, Variant};

/// Faults come every so often, at this offset (ms).
const PERIOD: Ms = 100_000;
const OFFSET: Ms = 30_000;
const COLD_FOR: Ms = 20_000;
const CRASH_FOR: Ms = 10_000;
const COLD_AFTER_CRASH: Ms = 10_000;
const BAD_ANSWERS_FOR: Ms = 15_000;
const ZONE_LOST_AT: Ms = 230_000;
const LOST_ZONE: usize = 1;
const SIDES: [Variant; 2] = [Variant::New, Variant::Control];

impl Evening {
    pub(crate) fn inject_faults(&mut self, now: Ms) {
        if now % PERIOD != OFFSET {
            return;
        }
        match self.scenario {
            Scenario::ColdHosts => {
                self.hosts[0].iter_mut().step_by(2).for_each(|host| host.cold_until = now + COLD_FOR);
            }
            Scenario::HostsCrash => {
                for variant in SIDES {
                    let host = self.rng.usize(0..self.size.hosts);
                    self.crash(now, variant, host, CRASH_FOR);
                }
            }
            Scenario::ZoneLost if now == ZONE_LOST_AT => self.lose_zone(now),
            Scenario::HostsLoseAnswers | Scenario::HostsGarbleAnswers => self.spoil_one_host(now),
            _ => {}
        }
    }

    fn lose_zone(&mut self, now: Ms) {
        let zones = self.size.zones;
        for variant in SIDES {
            for host in (0..self.size.hosts).filter(|host| host % zones == LOST_ZONE) {
                self.crash(now, variant, host, EVENING);
            }
        }
        let lost = self.edges.iter_mut().filter(|edge| edge.zone == LOST_ZONE);
        lost.for_each(|edge| (edge.weight, edge.poll_at) = (0.0, EVENING));
    }

    fn spoil_one_host(&mut self, now: Ms) {
        let variant = self.rng.usize(0..2);
        let at = self.rng.usize(0..self.size.hosts);
        let host = &mut self.hosts[variant][at];
        let until = match self.scenario {
            Scenario::HostsGarbleAnswers => &mut host.garbles_until,
            _ => &mut host.loses_until,
        };
        *until = now + BAD_ANSWERS_FOR;
    }

    /// The host is down, and what was under way there is lost.
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
