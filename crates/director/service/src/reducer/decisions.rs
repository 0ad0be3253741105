//! The end of a batch: runs the decisions and carries out their orders.

use super::relay_calls::WriteRequest;
use super::{Effect, Reducer};
use coppersail::interface::{Input, Order};
use coppersail_capacity_guard::Mode;

impl Reducer {
    /// The batch is complete: does what has become due, runs the decisions, and sets the timer for the next wake-up.
    pub(super) fn finish_batch(&mut self, now: f64) {
        self.collectors.poll(now, &mut self.outbox);
        self.discovery.poll(now, &mut self.outbox);
        self.subscription.poll(now, &mut self.outbox);
        for timer in self.timers.take_due(now) {
            self.outbox.inputs.push(Input::TimerFired(timer));
        }
        self.poll_operators(now);
        // The decisions also run for the first batch without inputs, so that a director that receives no input starts
        // to work.
        let runs_decisions = if self.outbox.inputs.is_empty() {
            !std::mem::replace(&mut self.decided_without_input, true)
        } else {
            true
        };
        if runs_decisions {
            self.decide(now);
        }
        self.poll_relay_calls(now);
        self.release_forgotten_hosts();
        self.outbox.effects.push(Effect::SetTimer(self.next_timeout()));
    }

    /// Passes the inputs to the operators' changes, and adds the operators' overrides as an input if they have
    /// changed.
    fn poll_operators(&mut self, now: f64) {
        if let Some(operators) = &mut self.operators {
            operators.observe(&self.outbox.inputs);
        }
        let mut overrides = None;
        self.with_operators(|operators, context, outbox| overrides = operators.poll(now, context, outbox));
        if let Some(overrides) = overrides {
            self.outbox.counters.wishes_given += 1;
            self.outbox.inputs.push(Input::OverridesChanged(overrides));
        }
    }

    fn decide(&mut self, now: f64) {
        let inputs = std::mem::take(&mut self.outbox.inputs);
        self.count_inputs(&inputs);
        if inputs.iter().any(|input| matches!(input, Input::ProxyJoined { .. })) {
            self.plausible.proxies_joined(self.subscription.joined_proxies());
        }
        for input in &inputs {
            if let Input::SliceAssigned(slice) | Input::SliceRevoked(slice) = input {
                self.calls.discard_slice(*slice);
            }
        }
        self.forgotten.keep_named(&inputs);
        let (mode, pending) = match &self.operators {
            Some(operators) => (operators.guard_mode(), operators.pending_shutdowns(now, &self.names)),
            None => (Mode::Off, Vec::new()),
        };
        self.director.set_mode(mode);
        self.director.set_pending_events(pending);
        let orders = self.director.handle(now, &inputs);
        self.copy_guard_counts();
        self.outbox.counters.decisions += 1;
        self.carry_out(now, orders);
    }

    fn count_inputs(&mut self, inputs: &[Input]) {
        let counters = &mut self.outbox.counters;
        for input in inputs {
            match input {
                Input::ProxyJoined { .. } => counters.proxies_joined += 1,
                Input::ProxyLeft(_) => counters.proxies_left += 1,
                Input::SliceAssigned(_) => counters.slices_given += 1,
                Input::SliceRevoked(_) => counters.slices_taken += 1,
                Input::RoundAcknowledged { .. } => counters.receipts += 1,
                _ => {}
            }
        }
    }

    fn copy_guard_counts(&mut self) {
        let counts = self.director.counts;
        let counters = &mut self.outbox.counters;
        counters.guard_judged = counts.judged;
        counters.guard_least_bad = counts.improvements;
        counters.guard_refused = counts.refused;
        counters.guard_overruled = counts.overruled;
    }

    fn carry_out(&mut self, now: f64, orders: Vec<Order>) {
        let mut call = Vec::new();
        for order in orders {
            match order {
                Order::SetTimer { timer, fires_at } => self.timers.set(fires_at, timer),
                Order::Log { text, hosts } => {
                    let text = self.names.log_line(&text, &hosts);
                    self.outbox.info(format!("decided: {text}"));
                }
                Order::Probe(host) => self.start_health_check(now, host),
                Order::WatchHostList(_) => {}
                Order::ReleaseHost(host) => self.forgotten.insert(host),
                Order::FetchHostList => self.discovery.request_full_list(now, &mut self.outbox),
                Order::BindTable { .. } | Order::SendToPeers { .. } => {
                    self.outbox.counters.orders_unknown += 1
                }
                order => {
                    if let (Some(operators), Order::SetWeight { slice, .. }) = (&mut self.operators, &order) {
                        operators.weight_ordered(now, *slice);
                    }
                    call.extend(self.relay_order(order));
                }
            }
        }
        self.outbox.counters.orders_given += call.len() as u64;
        self.calls.enqueue(call);
    }

    fn poll_relay_calls(&mut self, now: f64) {
        let state_known = self.subscription.is_synchronized();
        if self.relay_state_known != state_known {
            self.relay_state_known = state_known;
            self.calls.set_relay_state_known(now, state_known);
        }
        self.calls.proxies_unknown = !state_known;
        let director = &self.director;
        let writable = |request: WriteRequest| {
            director.writable_orders(now, request.orders, request.is_retry, request.proxies_unknown)
        };
        self.calls.poll(now, writable, &mut self.outbox);
        self.subscription.slices_in_flight = self.calls.slices_in_flight();
    }

    /// Releases the state of forgotten hosts that no queued order and no weight table names; no other function does.
    fn release_forgotten_hosts(&mut self) {
        let calls = &self.calls;
        let subscription = &self.subscription;
        let is_referenced = |host| calls.mentions(host) || subscription.mentions(host);
        for host in self.forgotten.take_unreferenced(is_referenced) {
            self.discovery.forget(host);
            self.names.forget(host);
            self.outbox.counters.hosts_forgotten += 1;
        }
    }

    /// When the reducer next has something to do without a further event; infinity if never.
    fn next_timeout(&self) -> f64 {
        let operators = self.operators.as_ref().map_or(f64::INFINITY, |operators| operators.next_timeout());
        self.timers
            .next_timeout()
            .min(self.calls.next_timeout())
            .min(self.subscription.next_timeout())
            .min(self.discovery.next_timeout())
            .min(self.collectors.next_timeout())
            .min(operators)
    }
}
