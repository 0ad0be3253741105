//! Health checks of hosts: starts those that the decisions order, and reports their outcomes.

use super::{Effect, ProbeOutcome, Reducer};
use coppersail::interface::{HostId, Input, Outcome};
use coppersail_protocol::load::Report;

const STATUS_OK: u16 = 200;
const STATUS_SERVICE_UNAVAILABLE: u16 = 503;

impl Reducer {
    /// Starts a health check that the decisions have ordered.
    pub(super) fn start_health_check(&mut self, now: f64, host: HostId) {
        match self.discovery.address(host) {
            Some(address) => {
                self.outbox.counters.probes_sent += 1;
                self.outbox.effects.push(Effect::StartProbe { host, address, path: self.health_check_path });
            }
            // A host without a known address cannot be reached.
            None => self.health_check_ended(now, host, ProbeOutcome::Unreachable, 0.0, b""),
        }
    }

    /// Reports the outcome to the decisions. The body of a successful answer may contain a load report.
    pub(super) fn health_check_ended(
        &mut self,
        now: f64,
        host: HostId,
        probe_outcome: ProbeOutcome,
        duration: f64,
        body: &[u8],
    ) {
        let counters = &mut self.outbox.counters;
        let (outcome, counter) = match probe_outcome {
            ProbeOutcome::Status(STATUS_OK) => (Outcome::Succeeded, &mut counters.probes_answered),
            ProbeOutcome::Status(STATUS_SERVICE_UNAVAILABLE) => {
                (Outcome::Throttled, &mut counters.probes_throttled)
            }
            ProbeOutcome::Status(_) | ProbeOutcome::Unreadable => {
                (Outcome::ErrorResponse, &mut counters.probes_failed)
            }
            ProbeOutcome::TimedOut => (Outcome::TimedOut, &mut counters.probes_timed_out),
            ProbeOutcome::Unreachable => (Outcome::ConnectFailed, &mut counters.probes_unreachable),
            ProbeOutcome::Broken => (Outcome::ConnectionLost, &mut counters.probes_broken),
        };
        *counter += 1;
        let report = Report::parse_text(if outcome == Outcome::Succeeded { body } else { b"" });
        let load = self.plausible_load(now, &report);
        self.outbox.inputs.push(Input::ProbeFinished { host, outcome, duration, load });
    }
}
