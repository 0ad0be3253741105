//! Two operators: they submit configurations until the result is clear, and read.

use super::World;
use crate::admin_client::{AdminCall, MachineSelector, MAX_REDIRECTS, REQUEST_TIMEOUT};
use crate::endpoint::{PLAIN_SERVICE, SHARDED_SERVICE};
use crate::event::{Request, Response, SimEvent};
use crate::invariants::rule;
use crate::operator::{Operator, PendingCall, QueuedOrder, MAX_ORDERS_IN_FLIGHT, MAX_READS_IN_FLIGHT};
use crate::participant::{MachineId, Origin, Participant};
use crate::time::{Micros, MICROS_PER_MILLI};
use serde_json::json;
use std::ops::Range;

const OPERATORS: usize = 2;
const START_DELAY: Range<Micros> = 300_000..1_500_000;
/// First read and first order, after the start delay.
const FIRST_READ: Micros = 1_000_000;
const FIRST_ORDER: Micros = 2_000_000;
const READ_INTERVAL: Range<Micros> = 200_000..1_800_000;
/// Time to the next attempt if no machine is known.
const NO_MACHINE_DELAY: Micros = 100_000;
/// An order with one of the uncommon 4xx is given up after so many attempts.
const MAX_REJECTIONS: u8 = 3;
/// One order in eight leaves out so many numbers.
const SKIPPED_NUMBERS: u64 = 9;
/// Decides, as a bit of the random value, whether an older order is one of before.
const OLDER_ORDER_BIT: u64 = 1 << 40;

/// What the status of a response says of an order.
enum OrderResult {
    Acknowledged,
    Rejected,
    Indeterminate,
}

impl World<'_> {
    pub(super) fn add_operators(&mut self) {
        for operator_id in 0..OPERATORS {
            self.operators.push(Operator::default());
            let delay = self.rng.u64(START_DELAY);
            self.schedule_after(FIRST_READ + delay, SimEvent::WakeReader(operator_id));
            if self.scenario.order_interval > 0 {
                self.schedule_after(FIRST_ORDER + delay, SimEvent::WakeOperator(operator_id));
            }
        }
        let first = self.new_order(0);
        self.submit_order(0, first, None);
    }

    pub(super) fn stop_operators(&mut self) {
        self.operators.iter_mut().for_each(Operator::stop);
    }

    /// Adds a new content under a number. An invalid one routes to a service that it does not define.
    fn add_order(&mut self, number: u64, valid: bool) -> usize {
        let tag = self.order_history.orders().len();
        let service = if valid { PLAIN_SERVICE } else { "nobody" };
        let body = json!({
            "revision": format!("r{number}"),
            "routes": {"columns": ["name", "domain", "pathStart", "backend"],
                "rows": [["a", "a.example", format!("/{tag}/"), service], ["b", "b.example", "/", SHARDED_SERVICE]]},
            "backends": {"columns": ["name", "splitUp"], "rows": [[SHARDED_SERVICE, true], [PLAIN_SERVICE, false]]}
        });
        self.order_history.add(self.now, number, body.to_string(), valid)
    }

    /// Adds a new content under a new highest number.
    pub(super) fn new_order(&mut self, skipped_numbers: u64) -> usize {
        let number = self.order_history.highest_number() + 1 + skipped_numbers + self.rng.u64(0..4);
        self.add_order(number, true)
    }

    /// Submits an order, or enqueues it if too many are in flight.
    pub(super) fn submit_order(
        &mut self,
        operator_id: usize,
        order: usize,
        first_machine: Option<MachineId>,
    ) {
        let operator = &mut self.operators[operator_id];
        if operator.orders_in_flight() >= MAX_ORDERS_IN_FLIGHT {
            operator.queue.push_back(QueuedOrder { order, first_machine });
            return;
        }
        let body = self.order_history.orders()[order].body.as_str().into();
        self.start_call(operator_id, Some(order), AdminCall::ReplaceConfig(body), first_machine);
    }

    fn start_call(
        &mut self,
        operator_id: usize,
        order: Option<usize>,
        call: AdminCall,
        first_machine: Option<MachineId>,
    ) {
        let id = self.operator_request_id(operator_id);
        let mut selector = MachineSelector::starting_at(self.rng.usize(0..9));
        selector.preferred = first_machine.map(|machine_id| self.machines[machine_id].admin_address());
        self.operators[operator_id].calls.push(PendingCall {
            id,
            order,
            started_at: self.now,
            undisturbed_since: self.now,
            request_id: 0,
            min_number: 0,
            redirects: 0,
            rejections: 0,
            selector,
            call,
        });
        self.attempt_call(id);
    }

    /// A new number whose lowest bit is the operator.
    fn operator_request_id(&mut self, operator_id: usize) -> u64 {
        self.next_request_id() << 1 | operator_id as u64
    }

    pub(super) fn submit_order_at(&mut self, machine_id: MachineId) {
        let order = self.new_order(0);
        self.submit_order(order % OPERATORS, order, Some(machine_id));
    }

    pub(super) fn submit_burst(&mut self, count: usize) {
        for index in 0..count {
            let order = self.new_order(0);
            self.submit_order(index % OPERATORS, order, None);
        }
    }

    pub(super) fn submit_conflicting_orders(&mut self) {
        let order = self.new_order(0);
        let number = self.order_history.orders()[order].number;
        let conflicting = self.add_order(number, true);
        self.submit_order(0, order, None);
        self.submit_order(1, conflicting, None);
    }

    pub(super) fn submit_older_order(&mut self, random_value: u64) {
        let orders = self.order_history.orders();
        let older = random_value as usize % orders.len();
        if random_value & OLDER_ORDER_BIT == 0 && orders[older].valid {
            return self.submit_order(1, older, None);
        }
        let number = 1 + random_value % self.order_history.highest_number().max(1);
        let order = self.add_order(number, true);
        self.submit_order(1, order, None);
    }

    pub(super) fn submit_invalid_order(&mut self) {
        let number = self.order_history.highest_number() + 1;
        let order = self.add_order(number, false);
        self.submit_order(0, order, None);
    }

    pub(super) fn resend_last_acknowledged(&mut self, machine_id: MachineId) {
        if let Some(order) = self.order_history.last_acknowledged() {
            self.submit_order(0, order, Some(machine_id));
        }
    }

    pub(super) fn wake_operator(&mut self, operator_id: usize) {
        let operator = &self.operators[operator_id];
        if operator.stopped {
            return;
        }
        if operator.queue.is_empty() {
            let skipped_numbers = if self.rng.u8(0..8) == 0 { SKIPPED_NUMBERS } else { 0 };
            let order = self.new_order(skipped_numbers);
            self.submit_order(operator_id, order, None);
        }
        let interval = self.scenario.order_interval * MICROS_PER_MILLI;
        let delay = self.rng.u64(interval / 4..interval * 7 / 4);
        self.schedule_after(delay, SimEvent::WakeOperator(operator_id));
    }

    pub(super) fn wake_reader(&mut self, operator_id: usize) {
        if self.operators[operator_id].reads_in_flight() < MAX_READS_IN_FLIGHT {
            self.start_call(operator_id, None, AdminCall::ReadConfig, None);
        }
        let delay = self.rng.u64(READ_INTERVAL);
        self.schedule_after(delay, SimEvent::WakeReader(operator_id));
    }

    /// The operator of a call or request, and the index of the call that `matches`.
    fn find_call(&self, id: u64, matches: impl Fn(&PendingCall) -> bool) -> Option<(usize, usize)> {
        let operator_id = id as usize & 1;
        let index = self.operators[operator_id].calls.iter().position(matches);
        index.map(|index| (operator_id, index))
    }

    /// The next attempt of a call.
    pub(super) fn attempt_call(&mut self, call_id: u64) {
        let Some((operator_id, index)) = self.find_call(call_id, |call| call.id == call_id) else { return };
        match self.select_machine(&self.operators[operator_id].calls[index].selector) {
            Some(machine_id) => {
                self.operators[operator_id].calls[index].redirects = 0;
                self.send_call(operator_id, index, machine_id);
            }
            None => self.schedule_after(NO_MACHINE_DELAY, SimEvent::RetryCall { call_id }),
        }
    }

    fn send_call(&mut self, operator_id: usize, index: usize, machine_id: MachineId) {
        let request_id = self.operator_request_id(operator_id);
        let pending = &mut self.operators[operator_id].calls[index];
        pending.request_id = request_id;
        pending.min_number = self.order_history.min_number();
        let (call_id, call) = (pending.id, pending.call.clone());
        let participant = Participant::Operator(operator_id);
        let origin = Origin { participant, incarnation: 0, request_id };
        self.send_request(machine_id, origin, Request::Admin(call));
        self.schedule_after(REQUEST_TIMEOUT, SimEvent::CallTimeout { call_id, request_id });
    }

    pub(super) fn handle_call_timeout(&mut self, call_id: u64, request_id: u64) {
        let timed_out = |call: &PendingCall| call.id == call_id && call.request_id == request_id;
        if let Some((operator_id, index)) = self.find_call(call_id, timed_out) {
            self.retry_call(operator_id, index);
        }
    }

    fn retry_call(&mut self, operator_id: usize, index: usize) {
        let call = &mut self.operators[operator_id].calls[index];
        call.request_id = 0;
        let (call_id, backoff) = (call.id, call.selector.record_failure());
        if call.order.is_some() {
            self.statistics.indeterminate += 1;
        }
        self.schedule_after(backoff, SimEvent::RetryCall { call_id });
    }

    pub(super) fn handle_operator_response(&mut self, request_id: u64, response: Response) {
        let awaits = |call: &PendingCall| call.request_id == request_id;
        let Some((operator_id, index)) = self.find_call(request_id, awaits) else { return };
        let Response::Admin { status, body } = response else {
            return self.retry_call(operator_id, index);
        };
        let call = &mut self.operators[operator_id].calls[index];
        if status == 307 && call.redirects < MAX_REDIRECTS {
            call.redirects += 1;
            return match self.redirect_target(&body) {
                Some(machine_id) => self.send_call(operator_id, index, machine_id),
                None => self.retry_call(operator_id, index),
            };
        }
        match call.order {
            Some(order) => self.handle_order_response(operator_id, index, order, status),
            None => self.handle_read_response(operator_id, index, status, &body),
        }
    }

    fn handle_read_response(&mut self, operator_id: usize, index: usize, status: u16, body: &str) {
        let min_number = self.operators[operator_id].calls[index].min_number;
        let result = self.order_history.record_read(min_number, self.now, status, body);
        self.record_check(result);
        self.statistics.reads += 1;
        if status == 200 {
            self.operators[operator_id].calls.remove(index);
        } else {
            self.retry_call(operator_id, index);
        }
    }

    fn handle_order_response(&mut self, operator_id: usize, index: usize, order: usize, status: u16) {
        let result = self.order_history.record_answer(self.now, order, status);
        let number = self.order_history.orders()[order].number;
        self.record_trace("operator", || format!("order {order}, r{number}: {status}"));
        self.record_check(result);
        let call = &mut self.operators[operator_id].calls[index];
        match order_result(status, &mut call.rejections) {
            OrderResult::Indeterminate => return self.retry_call(operator_id, index),
            OrderResult::Acknowledged => {
                self.operators[operator_id].calls.remove(index);
                self.statistics.acknowledged += 1;
                self.inject_final_fault();
            }
            OrderResult::Rejected => {
                self.operators[operator_id].calls.remove(index);
                self.statistics.rejected += 1;
            }
        }
        if let Some(QueuedOrder { order, first_machine }) = self.operators[operator_id].queue.pop_front() {
            self.submit_order(operator_id, order, first_machine);
        }
    }

    /// The network has lost the answer to a request of an operator.
    pub(super) fn record_lost_answer(&mut self, request_id: u64) {
        let now = self.now;
        if let Some((operator_id, index)) = self.find_call(request_id, |call| call.request_id == request_id) {
            self.operators[operator_id].calls[index].undisturbed_since = now;
        }
    }

    /// Orders that began early enough in a stable period, or before it, must be acknowledged by now. The time
    /// limit holds for a time without trouble on the links, so it begins anew with each lost answer.
    pub(super) fn check_orders_acknowledged(&mut self, available_since: Micros, time_limit: Micros) {
        let now = self.now;
        if now < available_since + time_limit {
            return;
        }
        // Of two contents under one number one is rejected, and an invalid order is.
        let must_be_acknowledged = |index: usize| {
            let order = &self.order_history.orders()[index];
            order.valid && self.order_history.contents_of(order.number) == 1
        };
        let mut calls = self.operators.iter().flat_map(|operator| &operator.calls);
        let late = calls.find_map(|call| {
            let late = now > call.undisturbed_since + time_limit;
            call.order.filter(|order| late && must_be_acknowledged(*order)).map(|order| (order, call))
        });
        if let Some((order, call)) = late {
            let number = self.order_history.orders()[order].number;
            let detail = format!(
                "order {order}, r{number}, first sent at {} ms, has no acknowledgement",
                call.started_at / 1000
            );
            self.record_violation(rule::ORDER_NOT_ACKNOWLEDGED, detail);
        }
    }
}

/// `rejections` counts the uncommon 4xx: a node that is not ready may answer with one.
fn order_result(status: u16, rejections: &mut u8) -> OrderResult {
    match status {
        200..=299 => OrderResult::Acknowledged,
        400 | 409 | 412 | 413 | 422 => OrderResult::Rejected,
        408 | 429 => OrderResult::Indeterminate,
        400..=499 => {
            *rejections += 1;
            if *rejections < MAX_REJECTIONS {
                OrderResult::Indeterminate
            } else {
                OrderResult::Rejected
            }
        }
        _ => OrderResult::Indeterminate,
    }
}
