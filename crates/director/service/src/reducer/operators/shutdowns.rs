//! Shutdowns of hosts that operators have announced.

use super::{OperatorContext, Operators};
use crate::reducer::outbox::Outbox;
use coppersail::interface::HostId;
use coppersail_capacity_guard::{HostEvent, PendingEvent};
use coppersail_changes::{planned_shutdowns, ShutdownPhase};
use coppersail_settings::Names;
use std::collections::BTreeSet;

/// An announced shutdown of a known host.
struct Shutdown {
    host: HostId,
    /// In seconds since the start.
    at: f64,
}

impl Operators {
    fn announced_shutdowns<'a>(&'a self, names: &'a Names) -> impl Iterator<Item = Shutdown> + 'a {
        planned_shutdowns(self.change_log.document()).filter_map(|(name, wall_time)| {
            Some(Shutdown { host: names.known_host_id(name)?, at: wall_time - self.wall_start_s })
        })
    }

    fn phase(&self, now: f64, shutdown: &Shutdown) -> ShutdownPhase {
        ShutdownPhase::of(now, shutdown.at, self.started_at(shutdown.host))
    }

    /// Updates which hosts have to give up their slices: those whose announced shutdown is near, until it is over.
    pub(super) fn update_announced_shutdowns(
        &mut self,
        now: f64,
        context: &OperatorContext,
        outbox: &mut Outbox,
    ) {
        let mut shutting_down = BTreeSet::new();
        let mut next_phase_at = f64::INFINITY;
        for shutdown in self.announced_shutdowns(context.names) {
            if self.phase(now, &shutdown) == ShutdownPhase::Draining {
                shutting_down.insert(shutdown.host);
            }
            next_phase_at = f64::min(next_phase_at, ShutdownPhase::next_transition_at(now, shutdown.at));
        }
        self.next_shutdown_phase_at = next_phase_at;
        if shutting_down == self.shutting_down {
            return;
        }
        for host in shutting_down.difference(&self.shutting_down) {
            outbox.info(format!("announced: {} gives up its slices", context.names.host_name(*host)));
        }
        for host in self.shutting_down.difference(&shutting_down) {
            outbox.info(format!("announced: {} may serve again", context.names.host_name(*host)));
        }
        self.shutting_down = shutting_down;
        self.overrides_outdated = true;
    }

    /// Announced shutdowns that are not over, for which the capacity guard has to plan.
    pub(in super::super) fn pending_shutdowns(&self, now: f64, names: &Names) -> Vec<PendingEvent> {
        let mut pending = Vec::new();
        for shutdown in self.announced_shutdowns(names) {
            if self.phase(now, &shutdown) != ShutdownPhase::Over {
                pending.push(PendingEvent { at: shutdown.at, host: shutdown.host, event: HostEvent::Leaves });
            }
        }
        pending
    }
}
