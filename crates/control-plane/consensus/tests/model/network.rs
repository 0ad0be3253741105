//! The network: messages in flight, their delivery, and their timeouts.
use super::fingerprint::fingerprint_of;
use super::state::{CallOrigin, Message, Payload};
use super::step::Isolation;
use super::Cluster;
use coppersail_consensus::{PeerStatus, Request, Response, VoterRequest};
use std::sync::Arc;

impl Cluster {
    pub(super) fn send(&mut self, message: Message) {
        let message = (fingerprint_of(&message), Arc::new(message));
        let index = self.network.partition_point(|(fingerprint, _)| *fingerprint < message.0);
        self.network.insert(index, message);
    }

    /// Sends the response of a node to a call: it arrives at once, becomes a message in flight, or is lost.
    pub(super) fn respond(
        &mut self,
        node: usize,
        origin: CallOrigin,
        response: Response,
    ) -> Result<(), String> {
        let CallOrigin { caller, boot, operation_id } = origin;
        let is_awaited = self.nodes[caller].boot_count == boot
            && self.nodes[caller].call_deadlines.contains_key(&operation_id);
        if !is_awaited {
            return Ok(());
        }
        if !self.config.instant_responses {
            let payload = Payload::Response(response);
            self.send(Message { from: caller, boot, operation_id, to: node, late: false, payload });
        } else if !self.drops_responses {
            self.node_mut(caller).call_deadlines.remove(&operation_id);
            self.run_core(caller, |core, now, out| {
                core.handle_response(now, operation_id, Some(response), out)
            })?;
        }
        Ok(())
    }

    /// Delivers a message. With `duplicate` a copy stays in flight and arrives later.
    pub(super) fn deliver(&mut self, index: usize, duplicate: bool) -> Result<(), String> {
        let (_, message) = self.network.remove(index);
        if duplicate {
            self.send(Message { late: true, ..(*message).clone() });
        }
        let request_id = message.request_id();
        let Message { from, boot, operation_id, to, payload, .. } = (*message).clone();
        match payload {
            Payload::Request(request) => {
                let asks_for_lease =
                    matches!(&request, Request::Voter(VoterRequest::Accept(..) | VoterRequest::Renew(..)));
                if asks_for_lease {
                    self.lease_ends.insert(to, self.now + self.config.timeouts.lease);
                }
                self.run_core(to, |core, now, out| core.handle_request(now, request_id, request, out))
            }
            Payload::Response(response) => {
                if self.nodes[from].boot_count != boot
                    || self.node_mut(from).call_deadlines.remove(&operation_id).is_none()
                {
                    return Ok(());
                }
                self.run_core(from, |core, now, out| {
                    core.handle_response(now, operation_id, Some(response), out)
                })
            }
        }
    }

    /// Advances the time by `span` ms: calls past their deadline time out, then the nodes exchange
    /// heartbeats, then they tick. The message with index `delayed` is not lost when its call times out.
    pub(super) fn advance_time(
        &mut self,
        span: u64,
        delayed: Option<usize>,
        isolation: Isolation,
    ) -> Result<(), String> {
        self.now += span;
        let now = self.now;
        self.lease_ends.retain(|_, end| *end > now);
        self.time_out_calls(delayed)?;
        self.exchange_heartbeats(isolation)?;
        for node in self.running() {
            if isolation != Isolation::Paused(node) {
                self.run_core(node, |core, now, out| core.tick(now, out))?;
            }
        }
        Ok(())
    }

    fn time_out_calls(&mut self, delayed: Option<usize>) -> Result<(), String> {
        let now = self.now;
        let delayed = delayed
            .and_then(|index| self.network.get(index))
            .map(|(_, message)| Message { late: true, ..(**message).clone() });
        let mut timed_out: Vec<(usize, u64)> = Vec::new();
        for index in 0..self.nodes.len() {
            if self.nodes[index].call_deadlines.values().any(|deadline| *deadline <= now) {
                let deadlines = &mut self.node_mut(index).call_deadlines;
                let expired = deadlines.iter().filter(|(_, deadline)| **deadline <= now);
                timed_out.extend(expired.map(|(operation_id, _)| (index, *operation_id)));
                deadlines.retain(|_, deadline| *deadline > now);
            }
        }
        let nodes = &self.nodes;
        self.network.retain(|(_, message)| {
            let caller = &nodes[message.from];
            message.late
                || caller.boot_count == message.boot
                    && caller.call_deadlines.contains_key(&message.operation_id)
        });
        if let Some(message) = delayed {
            self.send(message);
        }
        for (node, operation_id) in timed_out {
            self.run_core(node, |core, now, out| core.handle_response(now, operation_id, None, out))?;
        }
        Ok(())
    }

    /// All nodes send the status that they have at this time, before any of them handles the status of
    /// another.
    fn exchange_heartbeats(&mut self, isolation: Isolation) -> Result<(), String> {
        let statuses: Vec<Option<PeerStatus>> = (0..self.nodes.len())
            .map(|node| self.core(node).map(|core| core.status(self.clock(node))))
            .collect();
        let is_connected =
            |node: usize| isolation != Isolation::Partitioned(node) && isolation != Isolation::Paused(node);
        for receiver in self.running().into_iter().filter(|node| is_connected(*node)) {
            for (sender, status) in statuses.iter().enumerate() {
                let Some(status) = status else { continue };
                if sender != receiver && is_connected(sender) {
                    self.run_core(receiver, |core, now, out| {
                        core.handle_peer_status(now, status, Some(now), out)
                    })?;
                }
            }
        }
        Ok(())
    }
}
