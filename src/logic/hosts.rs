//! One host: its response times, its slow start, its health checks (probes) and whether it is suspected of failure.

use super::*;

impl Host {
    pub(crate) fn handle(&mut self, now: f64, params: &Parameters, message: Message, outbox: &mut Outbox) {
        match message {
            Message::Listed { entry, position } => self.update_listing(now, entry, position),
            // Where removal is advisory the list may be wrong, so a host that answers stays until it is suspected.
            Message::Unlisted if params.removal_is_advisory && self.is_serving() => {
                self.serves_unlisted = true
            }
            Message::Unlisted => self.mark_gone(),
            Message::WithdrawnAsSuspect => self.withdrawn_as_suspect = true,
            Message::Input(Input::AttemptStats { attempts, dropped, mean_response_time, load, .. }) => {
                self.record_load(load);
                let (attempts, dropped) = (attempts as f64, dropped.min(attempts) as f64);
                self.record_attempts(now, BINS, mean_response_time, attempts, dropped);
                // Attempts that a failed host drops are no sign that the fleet is overloaded.
                if self.view.ready && !self.view.suspect {
                    let message = Message::Attempts { response_time: mean_response_time, attempts, dropped };
                    outbox.send(Recipient::AdmissionControl, message);
                }
            }
            Message::Input(Input::ProbeFinished { outcome, load, .. }) => {
                self.record_load(load);
                self.on_probe(now, params, outcome, outbox);
            }
            Message::FleetMedians { response_time, .. } => {
                // A slowdown of the whole fleet is no fault of one host. The exponent damps reactions to late reports.
                let limit = (1.6 * response_time).max(0.4 * params.tightest_slo);
                let slowness = self.response_times.mean(BINS) / limit;
                let factor = if slowness > 1.0 { slowness.powf(-0.7) } else { 1.2 };
                self.view.derating = (self.view.derating * factor).clamp(0.05, 1.0);
            }
            // Ten seconds leave time to resend its withdrawal. Hosts known only from stored tables expire too.
            Message::Tick if !self.is_listed && now - *self.unlisted_since.get_or_insert(now) > 10.0 => {
                outbox.send(Recipient::Channel, Message::Expired(self.id));
            }
            // Two seconds cover a few reports, and a fault that is over is soon forgotten.
            Message::Tick if now - self.halved_at > 2.0 => self.halve_recent(now),
            Message::Tick if params.probes_allowed && self.is_probe_due(now) => {
                self.next_probe_at = None;
                outbox.orders.push(Order::Probe(self.id));
            }
            _ => {}
        }
        let initial = params.cold_capacity_share;
        let slow_start = initial + (1.0 - initial) * self.age(now) / params.slow_start_duration.max(1e-9);
        self.view.slow_start = slow_start.clamp(0.05, 1.0);
        self.update_measurements(BINS);
        outbox.send(Recipient::Tables, Message::HostView(self.id, self.view.clone()));
    }

    fn record_load(&mut self, load: LoadReport) {
        // Unless utilisation is reported, queued calls mean busy cores. An idle host's figures do not show its speed.
        let utilisation =
            load.cpu_utilisation.or(load.queued.map(|calls| if calls >= 1.0 { 1.0 } else { 0.5 }));
        let (completions, work) = match (load.completions_per_s, load.cpu_utilisation, load.service_time) {
            (Some(rate), Some(busy), _) if busy > 0.1 => (rate, busy),
            (_, _, Some(time)) if time > 0.0 => (1.0, time),
            _ => return,
        };
        self.add_work(completions, work);
        self.view.utilisation = utilisation;
    }

    pub(super) fn on_probe(&mut self, now: f64, params: &Parameters, outcome: Outcome, outbox: &mut Outbox) {
        // Two probes a second show a failure within about a second, for a few hundredths of a point of benchmark score.
        self.next_probe_at = Some(now + 0.5);
        // An error or a rejection comes from a live process, but does not prove that it is one of our hosts.
        let failures = match outcome {
            Outcome::ConnectFailed | Outcome::ConnectionLost => 2,
            Outcome::TimedOut => 1,
            _ => 0,
        };
        self.count_probe(failures);
        self.has_answered |= outcome == Outcome::Succeeded;
        self.view.verified = self.has_answered || self.view.verified && outcome == Outcome::Throttled;
        // One refused connection may be transient, and a probe may time out queued behind calls that are answered.
        let is_silent = self.probe_failures >= 3 && now - self.last_answer_at > control_period(params);
        if !self.view.suspect && (is_silent || failures == 2 && self.probe_failures >= 4) {
            self.view.suspect = true;
            if self.serves_unlisted {
                return self.mark_gone();
            }
            outbox.log("suspected, probes unanswered".into(), vec![self.id]);
        }
        if self.view.suspect && self.probe_successes >= 2 {
            self.view.suspect = false;
            // A host that was withdrawn is assumed to have restarted, before the list says so. If too many were
            // suspected to withdraw any, the director's own network failed, and only the list shows a restart.
            if std::mem::take(&mut self.withdrawn_as_suspect) {
                self.started_at = Some(now);
                self.view.restarted_at = Some(now);
            }
            outbox.log("trusted again, probes answered".into(), vec![self.id]);
        }
    }
}
