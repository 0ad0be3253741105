//! Lines from the relay: answers to calls, and updates of the subscription.

use super::message_fields::resolved;
use super::relay_calls::OrderTarget;
use super::relay_subscription::{weight_input, RelayUpdate};
use super::{LinkId, Reducer};
use crate::framing::FramedLine;
use coppersail::interface::RoundId;
use coppersail_protocol::relay::RelayEvent;
use coppersail_protocol::ParseError;

impl Reducer {
    /// Handles one line of a connection to the relay; lines of connections that were closed are ignored.
    pub(super) fn handle_relay_line(&mut self, now: f64, link: LinkId, line: FramedLine) {
        if self.calls.owns(link) {
            self.handle_call_answer(now, link, line);
        } else if self.subscription.owns(link) {
            self.handle_update_line(now, link, line);
        }
    }

    fn handle_call_answer(&mut self, now: f64, link: LinkId, line: FramedLine) {
        // A line that is too long counts as an unreadable answer.
        let line = match line {
            FramedLine::Line(line) => line,
            FramedLine::TooLong => Vec::new(),
        };
        let sent_at = self.calls.sent_at;
        for order in self.calls.answer(now, link, &line, &mut self.outbox) {
            match order.target {
                OrderTarget::Weight(slice, host) => {
                    // If the slice was assigned again while the call was in flight, the weight may have been written
                    // to the new table, so it is reported to the decisions.
                    let reassigned = self.subscription.assigned_at(slice).is_some_and(|at| at > sent_at);
                    if reassigned && order.weight > 0.0 {
                        self.outbox.inputs.push(weight_input(slice, host, order.weight));
                    }
                    self.subscription.weight_written(slice, host, order.weight);
                }
                OrderTarget::Clear(slice) => self.subscription.weights_cleared(slice),
                OrderTarget::Withdraw(_) | OrderTarget::Admit(..) | OrderTarget::Round(_) => {}
            }
        }
    }

    fn handle_update_line(&mut self, now: f64, link: LinkId, line: FramedLine) {
        self.outbox.counters.news_lines += 1;
        let parsed = match &line {
            FramedLine::Line(line) => RelayEvent::parse(line),
            FramedLine::TooLong => Err(ParseError::UnterminatedLine),
        };
        let event = match parsed {
            Ok(event) => event,
            Err(fault) => {
                // The rest of the stream may be corrupt as well; a new connection starts with a complete snapshot.
                self.outbox.counters.news_bad += 1;
                self.subscription.connection_down(now, link, &fault.to_string(), &mut self.outbox);
                return;
            }
        };
        match self.resolve_update(event) {
            Ok(update) => self.subscription.apply(now, link, update, &mut self.outbox),
            Err(fault) => {
                self.outbox.counters.news_bad += 1;
                self.outbox.warn(format!("relay: update ignored: {fault}"));
            }
        }
    }

    fn resolve_update(&mut self, event: RelayEvent<'_>) -> Result<RelayUpdate, ParseError> {
        let ids = &self.id_ranges;
        Ok(match event {
            RelayEvent::Start => RelayUpdate::SnapshotStart,
            RelayEvent::Heartbeat => RelayUpdate::KeepAlive,
            RelayEvent::ProxyJoined { proxy, zone, requests_per_s, without_tables } => {
                let proxy = ids.proxy(proxy)?;
                let zone = resolved("az", self.names.zone(zone))?;
                RelayUpdate::ProxyJoined { proxy, zone, requests_per_s, without_tables }
            }
            RelayEvent::ProxyLeft { proxy } => RelayUpdate::ProxyLeft(ids.proxy(proxy)?),
            RelayEvent::RoundAcknowledged { proxy, round, latency } => {
                RelayUpdate::RoundAcknowledged { proxy: ids.proxy(proxy)?, round: RoundId(round), latency }
            }
            RelayEvent::SliceAssigned { slice } => RelayUpdate::SliceAssigned(ids.slice(slice)?),
            RelayEvent::SliceRevoked { slice } => RelayUpdate::SliceRevoked(ids.slice(slice)?),
            RelayEvent::StoredWeight { slice, host, weight } => {
                let slice = ids.slice(slice)?;
                RelayUpdate::WeightStored { slice, host: self.names.host_id(host), weight }
            }
        })
    }
}
