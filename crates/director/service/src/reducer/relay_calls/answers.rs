//! Handles the relay's answers to the call in flight.

use super::order::RelayOrder;
use super::{RelayCalls, RECONNECT_DELAY_S};
use crate::reducer::effect::Effect;
use crate::reducer::ids::LinkId;
use crate::reducer::outbox::Outbox;
use coppersail::interface::{Input, RelayCallEvent};
use coppersail_protocol::relay::Answer;
use tracing::Level;

impl RelayCalls {
    /// Handles an answer and returns the orders that the relay has accepted.
    pub(crate) fn answer(
        &mut self,
        now: f64,
        link: LinkId,
        line: &[u8],
        outbox: &mut Outbox,
    ) -> Vec<RelayOrder> {
        if !self.connections.is_open(link) {
            // No call was sent on this connection, which leads to the relay's new address.
            self.connection_down(now, link, "unexpected answer", outbox);
            return Vec::new();
        }
        if self.answer_deadline.is_none() || self.queue.is_empty() {
            // No call is in flight, so the answer could be mistaken for the next call's.
            outbox.warn("relay: unexpected answer".to_string());
            self.connections.close_current(outbox);
            return Vec::new();
        }
        match Answer::parse(line) {
            Answer::Applied(accepted) if accepted <= self.queue[0].len() => {
                self.accepted(now, link, accepted, outbox)
            }
            Answer::Throttled => {
                outbox.counters.calls_throttled += 1;
                outbox.inputs.push(Input::RelayCall(RelayCallEvent::Rejected));
                self.outcome_known(now, link, outbox);
                self.earliest_write = now + RECONNECT_DELAY_S;
                Vec::new()
            }
            Answer::Invalid => {
                self.invalid(now, link, outbox);
                Vec::new()
            }
            Answer::Applied(_) | Answer::Unreadable => {
                self.retry(now, "its answer is unreadable", outbox);
                Vec::new()
            }
        }
    }

    /// The relay has accepted the first `accepted` orders of the call and, if there are more, rejected the next one
    /// and ignored the rest.
    fn accepted(&mut self, now: f64, link: LinkId, accepted: usize, outbox: &mut Outbox) -> Vec<RelayOrder> {
        outbox.counters.calls_answered += 1;
        outbox.counters.orders_taken += accepted as u64;
        let mut in_force = std::mem::take(&mut self.queue[0]);
        let mut rest = in_force.split_off(accepted);
        // The orders after a rejected one may be valid. The answer may also be corrupt and the order not rejected, so
        // it is sent once more, with the rest, before it is dropped.
        if accepted == 0 && self.rejected_once && !rest.is_empty() {
            outbox.counters.orders_refused += 1;
            let rejected = rest.remove(0).text;
            outbox.warn(format!("relay: order refused: {rejected}"));
            self.rejected_once = false;
        } else {
            self.rejected_once = !rest.is_empty();
        }
        if rest.is_empty() {
            self.queue.pop_front();
        } else {
            self.queue[0] = rest;
        }
        self.outcome_known(now, link, outbox);
        in_force
    }

    /// The relay answers that the call is invalid. The call is repeated once, as the answer may be corrupt, and then
    /// dropped, as it would be rejected each time and block all later calls.
    fn invalid(&mut self, now: f64, link: LinkId, outbox: &mut Outbox) {
        if !self.rejected_once {
            self.rejected_once = true;
            self.retry(now, "the relay answered that it is invalid", outbox);
            return;
        }
        self.rejected_once = false;
        outbox.counters.calls_invalid += 1;
        let text = "relay: call dropped: the relay answered twice that it is invalid".to_string();
        outbox.effects.push(Effect::Log(Level::ERROR, None, text));
        self.queue.pop_front();
        self.outcome_known(now, link, outbox);
    }

    /// The outcome of the first call is known.
    fn outcome_known(&mut self, now: f64, link: LinkId, outbox: &mut Outbox) {
        if self.retries > 1 {
            outbox.warn(format!("relay: outcome of the call known after {} repeats", self.retries));
        }
        self.answer_deadline = None;
        self.retries = 0;
        self.connections.answered(now, link);
    }
}
