//! The ordered queue of calls to the relay. A call is sent once the previous one is answered; a call without an
//! answer is repeated until it has one. Repeating is safe, as every order is idempotent; it only sends further lines
//! to the proxies.

mod answers;
mod connections;
mod order;

pub(super) use order::{OrderTarget, RelayOrder};

use super::effect::Effect;
use super::ids::LinkId;
use super::outbox::Outbox;
use connections::{Connection, RelayConnections};
use coppersail::interface::{HostId, Input, RelayCallEvent, SliceId};
use coppersail_protocol::relay;
use order::{group_by_slice, merge};
use std::collections::{BTreeSet, VecDeque};
use std::net::SocketAddr;

/// The relay answers within 50 ms or never; the timeout is twice that, as the director's own machine may be slow.
const ANSWER_TIMEOUT_S: f64 = 0.1;
/// A connection that was idle for this long is replaced before the next call, since the relay closes idle connections
/// after some seconds.
const MAX_IDLE_S: f64 = 1.0;
/// Delay before a relay that is unreachable, or that has throttled a call, is tried again.
const RECONNECT_DELAY_S: f64 = 0.1;
/// Backoff before a call's second repeat; it grows with each further one. A relay that does not respond may still
/// hold every connection that was closed here, and it accepts only a few.
const RETRY_BACKOFF_S: f64 = 0.05;
/// Longest backoff between two repeats of a call.
const MAX_RETRY_BACKOFF_S: f64 = 0.4;
/// Interval between checks of whether the channel has capacity for a call; the decisions run ten times a second.
const CAPACITY_POLL_S: f64 = 0.05;
/// The relay's state is known within about a second of connecting. After this time, calls are sent without it, in
/// case the relay accepts calls but sends no updates.
const MAX_WAIT_FOR_STATE_S: f64 = 1.5;
/// If more calls than this are queued, they are merged into one that has each target only once.
const MAX_QUEUED_CALLS: usize = 16;

/// A call that is about to be written; the decisions determine how many of its orders may be sent.
pub(super) struct WriteRequest {
    /// Number of orders in the call.
    pub(super) orders: usize,
    /// The call may have been written before.
    pub(super) is_retry: bool,
    /// Proxies may have joined that the relay has not reported yet.
    pub(super) proxies_unknown: bool,
}

/// The queue of calls and the state of the first one.
pub(super) struct RelayCalls {
    queue: VecDeque<Vec<RelayOrder>>,
    connections: RelayConnections,
    /// While the first call is in flight: when its answer times out.
    answer_deadline: Option<f64>,
    /// No call is written before this time.
    earliest_write: f64,
    /// While the relay's state is unknown: no call is written before this time.
    wait_for_state_until: Option<f64>,
    /// How often the first call has been repeated.
    retries: u32,
    /// An answer has rejected the first order, or the whole call, once. The answer may have been corrupt, so the same
    /// is sent again before the rejection is accepted.
    rejected_once: bool,
    /// The first call waits for capacity of the channel to the proxies.
    waits_for_capacity: bool,
    /// Proxies may have joined that the relay has not reported yet.
    pub(super) proxies_unknown: bool,
    /// When the first call was last written.
    pub(super) sent_at: f64,
}

impl RelayCalls {
    pub(super) fn new(address: SocketAddr) -> Self {
        RelayCalls {
            queue: VecDeque::new(),
            connections: RelayConnections::new(address),
            answer_deadline: None,
            earliest_write: 0.0,
            wait_for_state_until: None,
            retries: 0,
            rejected_once: false,
            waits_for_capacity: false,
            proxies_unknown: false,
            sent_at: 0.0,
        }
    }

    /// Queues orders that were given together as one call, or as several if it would be too long. Adjacent orders of
    /// one slice stay in one call, so that no proxy holds a partly changed table.
    pub(super) fn enqueue(&mut self, orders: Vec<RelayOrder>) {
        let mut bytes = 0;
        let mut call: Vec<RelayOrder> = Vec::new();
        for group in orders.chunk_by(|a, b| a.slice().is_some() && a.slice() == b.slice()) {
            let group_bytes: usize = group.iter().map(RelayOrder::encoded_len).sum();
            if bytes + group_bytes > relay::MAX_CALL_BYTES && !call.is_empty() {
                self.queue.push_back(std::mem::take(&mut call));
                bytes = 0;
            }
            // Tables are shorter than a call. If one is not, it is split, as it could never be sent otherwise.
            for order in group {
                if bytes + order.encoded_len() > relay::MAX_CALL_BYTES {
                    self.queue.push_back(std::mem::take(&mut call));
                    bytes = 0;
                }
                bytes += order.encoded_len();
                call.push(order.clone());
            }
        }
        if !call.is_empty() {
            self.queue.push_back(call);
        }
    }

    /// Merges the queued calls into one. An unacknowledged call stays separate, as no later order may be sent with
    /// it.
    fn merge_queue(&mut self, outbox: &mut Outbox) {
        let unacknowledged = if self.is_first_unacknowledged() { self.queue.pop_front() } else { None };
        let merged = merge(self.queue.drain(..).flatten().collect());
        self.queue.extend(unacknowledged);
        self.enqueue(group_by_slice(merged));
        outbox.counters.calls_merged += 1;
    }

    /// Removes queued orders for a slice that was assigned again or revoked, as they refer to a table that no longer
    /// exists. A weight written now would be in the new table without the decisions knowing of it.
    pub(super) fn discard_slice(&mut self, slice: SliceId) {
        let in_flight = self.answer_deadline.is_some() as usize;
        for call in self.queue.iter_mut().skip(in_flight) {
            call.retain(|order| order.affected_slice() != Some(slice));
        }
        if in_flight == 0 && self.queue.front().is_some_and(Vec::is_empty) {
            self.retries = 0;
            self.rejected_once = false;
        }
        self.queue.retain(|call| !call.is_empty());
    }

    /// Sets whether the relay's state is known. While it is not, queued calls may refer to tables that no longer
    /// exist, so they wait for the state, for at most `MAX_WAIT_FOR_STATE_S`. The wait starts again after each call
    /// that was lost.
    pub(super) fn set_relay_state_known(&mut self, now: f64, known: bool) {
        self.wait_for_state_until = if known { None } else { Some(now + MAX_WAIT_FOR_STATE_S) };
    }

    /// The slices whose tables the unacknowledged call changes.
    pub(super) fn slices_in_flight(&self) -> BTreeSet<SliceId> {
        match self.queue.front() {
            Some(call) if self.is_first_unacknowledged() => {
                call.iter().filter_map(RelayOrder::slice).collect()
            }
            _ => BTreeSet::new(),
        }
    }

    /// No call is in flight or queued.
    pub(super) fn is_idle(&self) -> bool {
        self.queue.is_empty()
    }

    /// Whether a queued order names the host.
    pub(super) fn mentions(&self, host: HostId) -> bool {
        self.queue.iter().flatten().any(|order| match order.target {
            OrderTarget::Weight(_, of) | OrderTarget::Withdraw(of) => of == host,
            _ => false,
        })
    }

    /// Writes the next call if that is possible. `writable` returns how many of its orders may be written now.
    pub(super) fn poll(&mut self, now: f64, writable: impl Fn(WriteRequest) -> usize, outbox: &mut Outbox) {
        if self.answer_deadline.is_some_and(|deadline| now >= deadline) {
            self.retry(now, "no answer in time", outbox);
        }
        if self.queue.len() > MAX_QUEUED_CALLS {
            self.merge_queue(outbox);
        }
        self.connections.poll(now, self.answer_deadline.is_some(), outbox);
        let Some(call) = self.queue.front() else { return };
        if self.answer_deadline.is_some() || now < self.write_time() {
            return;
        }
        // The first copy of a repeated call may still be in the channel, and more proxies may have joined since the
        // call was decided. The decisions estimate the channel's queue and return how many orders keep it within the
        // backlog.
        let request = WriteRequest {
            orders: call.len(),
            is_retry: self.is_first_unacknowledged(),
            proxies_unknown: self.proxies_unknown,
        };
        let allowed = writable(request);
        if allowed == 0 {
            if !self.waits_for_capacity {
                outbox.counters.calls_held += 1;
            }
            self.waits_for_capacity = true;
            self.earliest_write = now + CAPACITY_POLL_S;
            return;
        }
        self.waits_for_capacity = false;
        match *self.connections.current() {
            Connection::Connecting(_) => {}
            Connection::Open { link, idle_since }
                if now - idle_since < MAX_IDLE_S || self.connections.has_successor() =>
            {
                self.write_first(now, link, allowed, outbox);
            }
            Connection::Open { .. } | Connection::Closed => self.connections.reconnect(outbox),
        }
    }

    fn write_first(&mut self, now: f64, link: LinkId, allowed: usize, outbox: &mut Outbox) {
        if self.split_first(allowed) {
            outbox.counters.calls_cut += 1;
        }
        let call = &self.queue[0];
        let round = call.iter().find_map(|order| match order.target {
            OrderTarget::Round(round) => Some(round),
            _ => None,
        });
        let written =
            RelayCallEvent::Sent { round, orders: call.len(), unannounced_proxies: self.proxies_unknown };
        outbox.inputs.push(Input::RelayCall(written));
        self.answer_deadline = Some(now + ANSWER_TIMEOUT_S);
        self.sent_at = now;
        outbox.counters.calls_sent += 1;
        let bytes = relay::write_call(call.iter().map(|order| order.text.as_str()));
        outbox.effects.push(Effect::SendToRelay(link, bytes));
    }

    /// Splits the first call so that it has at most `max_orders` orders, if possible not between adjacent orders of
    /// one slice. Each part ends the round, since its acknowledgements show which messages have passed the channel.
    /// Returns false if the call is short enough.
    fn split_first(&mut self, max_orders: usize) -> bool {
        let call = &mut self.queue[0];
        if max_orders >= call.len() {
            return false;
        }
        let round = call.iter().find(|order| matches!(order.target, OrderTarget::Round(_))).cloned();
        let max_orders = max_orders.saturating_sub(round.is_some() as usize).max(1);
        let splits_slice = |at: &usize| {
            let slice = call[*at].slice();
            slice.is_some() && slice == call[*at - 1].slice()
        };
        let at = (1..=max_orders).rev().find(|at| !splits_slice(at)).unwrap_or(max_orders);
        let rest = call.split_off(at);
        call.extend(round);
        self.queue.insert(1, rest);
        true
    }

    /// When the next call may be written.
    fn write_time(&self) -> f64 {
        self.earliest_write.max(self.wait_for_state_until.unwrap_or(0.0))
    }

    /// Sets a new address of the relay.
    pub(super) fn set_address(&mut self, address: SocketAddr, outbox: &mut Outbox) {
        self.connections.set_address(address, outbox);
    }

    pub(super) fn owns(&self, link: LinkId) -> bool {
        self.connections.owns(link)
    }

    pub(super) fn connected(&mut self, now: f64, link: LinkId) {
        self.connections.connected(now, link);
    }

    /// A connection has ended, or could not be established.
    pub(super) fn connection_down(&mut self, now: f64, link: LinkId, reason: &str, outbox: &mut Outbox) {
        if !self.connections.is_current(link) {
            self.connections.successor_failed(now + RECONNECT_DELAY_S, outbox);
            return;
        }
        if self.answer_deadline.is_some() {
            self.retry(now, reason, outbox);
            return;
        }
        // The end of an idle connection needs no delay; one that could not be established is retried after a delay.
        if matches!(self.connections.current(), Connection::Connecting(_)) {
            self.earliest_write = now + RECONNECT_DELAY_S;
        }
        self.connections.close_current(outbox);
    }

    /// The first call was written, and its outcome is not known yet.
    fn is_first_unacknowledged(&self) -> bool {
        self.answer_deadline.is_some() || self.retries > 0 || self.rejected_once
    }

    /// Has the first call sent again, because its outcome cannot be known. It is sent before any other call and on a
    /// new connection, as a late answer on the old one would be mistaken for the next call's.
    fn retry(&mut self, now: f64, reason: &str, outbox: &mut Outbox) {
        outbox.counters.calls_repeated += 1;
        // Only one log line per call, however long the relay is unreachable.
        if self.retries == 0 {
            outbox.warn(format!("relay: call repeated: {reason}"));
        }
        let backoff = RETRY_BACKOFF_S * f64::from(self.retries) * f64::from(self.retries);
        self.retries += 1;
        self.answer_deadline = None;
        self.earliest_write = now + backoff.min(MAX_RETRY_BACKOFF_S);
        if self.wait_for_state_until.is_some() {
            self.wait_for_state_until = Some(now + MAX_WAIT_FOR_STATE_S);
        }
        self.connections.close_current(outbox);
    }

    /// When `poll` next has something to do without a further event; infinity if never.
    pub(super) fn next_timeout(&self) -> f64 {
        let is_connecting = matches!(self.connections.current(), Connection::Connecting(_));
        let next_call = match self.answer_deadline {
            Some(deadline) => deadline,
            None if is_connecting || self.queue.is_empty() => f64::INFINITY,
            None => self.write_time(),
        };
        self.connections.next_timeout().min(next_call)
    }
}
