//! Health checks of hosts: what the decisions ask for, and how the checks end.

use super::{Effect, ProbeEnd, Reducer};
use coppersail::interface::{HostId, Input, Outcome};
use coppersail_protocol::load::Report;

const STATUS_OK: u16 = 200;
const STATUS_SERVICE_UNAVAILABLE: u16 = 503;

impl Reducer {
    /// Starts a health check that the decisions ask for.
    pub(super) fn start_health_check(&mut self, now: f64, host: HostId) {
        match self.discovery.address(host) {
            Some(address) => {
                self.outbox.counters.probes_sent += 1;
                self.outbox.effects.push(Effect::Probe { host, address, path: self.health_check_path });
            }
            // A host without a known address cannot be reached.
            None => self.health_check_ended(now, host, ProbeEnd::Unreachable, 0.0, b""),
        }
    }

    /// Reports the outcome to the decisions; the body of a successful answer may hold a load report.
    pub(super) fn health_check_ended(
        &mut self,
        now: f64,
        host: HostId,
        end: ProbeEnd,
        took: f64,
        body: &[u8],
    ) {
        let counters = &mut self.outbox.counters;
        let (outcome, counter) = match end {
            ProbeEnd::Status(STATUS_OK) => (Outcome::Answered, &mut counters.probes_answered),
            ProbeEnd::Status(STATUS_SERVICE_UNAVAILABLE) => {
                (Outcome::Throttled, &mut counters.probes_throttled)
            }
            ProbeEnd::Status(_) | ProbeEnd::Unreadable => (Outcome::Error, &mut counters.probes_failed),
            ProbeEnd::TimedOut => (Outcome::TimedOut, &mut counters.probes_timed_out),
            ProbeEnd::Unreachable => (Outcome::Unreachable, &mut counters.probes_unreachable),
            ProbeEnd::Broken => (Outcome::Broken, &mut counters.probes_broken),
        };
        *counter += 1;
        let report = Report::text(if outcome == Outcome::Answered { body } else { b"" });
        let load = self.plausible_load(now, &report);
        self.outbox.inputs.push(Input::Probed { host, outcome, took, load });
    }
}
