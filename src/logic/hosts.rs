//! One host: how it answers, how old it is, whether it is suspected.

use super::*;

impl Host {
    pub(crate) fn handle(&mut self, now: f64, params: &Parameters, message: Message, outbox: &mut Outbox) {
        match message {
            Message::Listed { entry, position } => self.update_listing(now, entry, position),
            // Where removal is advisory a list may be wrong: a host that answers stays until it is suspected.
            Message::Unlisted if params.removal_is_advisory && self.is_serving() => {
                self.serves_unlisted = true
            }
            Message::Unlisted => self.mark_gone(),
            Message::WithdrawnAsSuspect => self.withdrawn_as_suspect = true,
            Message::Input(Input::Tries { tries, dropped, rt, load, .. }) => {
                self.record_load(load);
                let (attempts, dropped) = (tries as f64, dropped.min(tries) as f64);
                self.record_attempts(now, BINS, rt, attempts, dropped);
                // What a dead host drops is no sign that the fleet can't keep up.
                if self.view.ready && !self.view.suspect {
                    let message = Message::Attempts { response_time: rt, attempts, dropped };
                    outbox.send(Recipient::AdmissionControl, message);
                }
            }
            Message::Input(Input::Probed { outcome, load, .. }) => {
                self.record_load(load);
                self.on_probe(now, params, outcome, outbox);
            }
            Message::FleetMedians { response_time, .. } => {
                // What slows all condemns none: slow is past 1.6 times the median. The power damps late sums.
                let limit = (1.6 * response_time).max(0.4 * params.tightest_slo);
                let slowness = self.response_times.mean(BINS) / limit;
                let factor = if slowness > 1.0 { slowness.powf(-0.7) } else { 1.2 };
                self.view.derating = (self.view.derating * factor).clamp(0.05, 1.0);
            }
            // As long as its withdrawal is sent to proxies that join. What only a store's table names is not listed.
            Message::Tick if !self.is_listed && now - *self.unlisted_since.get_or_insert(now) > 10.0 => {
                outbox.send(Recipient::Channel, Message::Expired(self.id));
            }
            // Two seconds: long enough for a few reports, short enough to forget a trouble that is over.
            Message::Tick if now - self.halved_at > 2.0 => self.halve_recent(now),
            Message::Tick if params.probes_allowed && self.is_probe_due(now) => {
                self.next_probe_at = None;
                outbox.orders.push(Order::Probe(self.id));
            }
            _ => {}
        }
        let cold = params.cold_capacity_share;
        let slow_start = cold + (1.0 - cold) * self.age(now) / params.slow_start_duration.max(1e-9);
        self.view.slow_start = slow_start.clamp(0.05, 1.0);
        self.update_measurements(BINS);
        outbox.send(Recipient::Tables, Message::HostView(self.id, self.view.clone()));
    }

    fn record_load(&mut self, load: Load) {
        // Where calls wait all cores are busy. An idle host's figures tell nothing of its speed.
        let utilisation = load.busy.or(load.waiting.map(|calls| if calls >= 1.0 { 1.0 } else { 0.5 }));
        let (completions, work) = match (load.answered_per_s, load.busy, load.service_time) {
            (Some(rate), Some(busy), _) if busy > 0.1 => (rate, busy),
            (_, _, Some(time)) if time > 0.0 => (1.0, time),
            _ => return,
        };
        self.add_work(completions, work);
        self.view.utilisation = utilisation;
    }

    pub(super) fn on_probe(&mut self, now: f64, params: &Parameters, outcome: Outcome, outbox: &mut Outbox) {
        // Twice a second: death shows within about a second, and the price is a few hundredths of a point.
        self.next_probe_at = Some(now + 0.5);
        // An error or a full house still comes from a process that lives, but proves no host of ours.
        let failures = match outcome {
            Outcome::Unreachable | Outcome::Broken => 2,
            Outcome::TimedOut => 1,
            _ => 0,
        };
        self.count_probe(failures);
        self.has_answered |= outcome == Outcome::Answered;
        self.view.verified = self.has_answered || self.view.verified && outcome == Outcome::Throttled;
        // One refusal may be chance, and a probe that times out may queue behind calls that are answered.
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
            // One that was withdrawn is taken to have restarted, before the list tells. Where so many were
            // missed that none was withdrawn, our own path failed, and the list must tell.
            if std::mem::take(&mut self.withdrawn_as_suspect) {
                self.started_at = Some(now);
                self.view.restarted_at = Some(now);
            }
            outbox.log("trusted again, probes answered".into(), vec![self.id]);
        }
    }
}
