//! The channel from a director to the proxies: each message goes to every proxy, at a limited rate and in order.

use super::assignments::{RoutePolicy, Table};
use super::event::Event;
use super::state::{Jitter, World};
use crate::rules::Rule;
use coppersail::interface::{Input, Order, ProxyId, RetryPolicy, RoundId, RouteId};

/// Of the time that a message is under way.
const TRANSIT_JITTER: Jitter = Jitter { least: 0.6, spread: 0.8 };
/// A message that meets a network partition is tried again after so long, seconds.
const PARTITION_RETRY: f64 = 0.5;

impl World {
    /// The store takes orders of a director, and sends them to each proxy as one message.
    pub(super) fn write_message(&mut self, director: u16, orders: Vec<Order>) {
        self.directors[director as usize].messages += 1;
        let message = self.directors[director as usize].messages;
        for order in &orders {
            self.store_order(director, message, order);
        }
        let lines = self.scenario.channel.message_overhead + orders.len() as f64;
        self.measured.second_at(self.now).table_lines += lines * self.proxies.len() as f64;
        let start = self.occupy_channel(director, lines);
        self.send_message(director, message, lines, start);
    }

    /// Records what holds for a proxy from this message on.
    fn store_order(&mut self, director: u16, message: u32, order: &Order) {
        let owner = director as usize;
        match order {
            Order::SetWeight { slice, host, weight } if self.assignments.director_of(slice.0) == owner => {
                self.assignments.set_entry(slice.0, host.0, *weight, message);
            }
            Order::ClearTable(slice) => {
                self.assignments.tables[slice.0 as usize].set(message, Table::default());
            }
            Order::SetWithdrawn { host, withdrawn: out } => {
                self.assignments.withdrawn[owner][host.0 as usize].set(message, *out);
            }
            Order::SetAdmission { routes, level, retry, .. } => {
                self.set_route_policies(owner, message, routes, *level, *retry);
            }
            Order::RequestAcknowledgement { round: mark, .. } => {
                self.directors[owner].marks.insert(message, mark.0);
            }
            _ => {}
        }
    }

    /// Sets admission and retries of the routes; none given: of all.
    fn set_route_policies(
        &mut self,
        director: usize,
        message: u32,
        routes: &[RouteId],
        admitted_share: f64,
        retry: RetryPolicy,
    ) {
        let policy = RoutePolicy { admitted_share, retry };
        let policies = &mut self.assignments.route_policies[director];
        if routes.is_empty() {
            for history in policies {
                history.set(message, policy);
            }
        } else {
            for route in routes {
                policies[route.0 as usize].set(message, policy);
            }
        }
    }

    /// Puts so many lines for each proxy into the channel's queue. Returns when the channel begins with them. Rule 5:
    /// the queue stays within its bound.
    fn occupy_channel(&mut self, director: u16, lines: f64) -> f64 {
        let channel = &self.scenario.channel;
        let proxies = self.proxies.len() as f64;
        let director = &mut self.directors[director as usize];
        let start = director.channel_free_at.max(self.now);
        director.channel_free_at = start + lines * proxies / channel.lines_per_s;
        let queued_lines = (director.channel_free_at - self.now) * channel.lines_per_s;
        if queued_lines > channel.max_backlog {
            self.rules
                .record_violation(Rule::ChannelBacklog, self.now, || format!("{queued_lines:.0} lines wait"));
        }
        start
    }

    /// Schedules a message's arrival at each proxy, one after the other.
    fn send_message(&mut self, director: u16, message: u32, lines: f64, start: f64) {
        let lines_per_s = self.scenario.channel.lines_per_s;
        for index in 0..self.proxies.len() {
            let sent_at = start + lines * (index + 1) as f64 / lines_per_s;
            let transit = self.jittered(self.scenario.channel.transit, TRANSIT_JITTER);
            let last_arrival = &mut self.proxies[index].last_arrival[director as usize];
            // A stream keeps its order.
            let at = (sent_at + transit).max(*last_arrival);
            *last_arrival = at;
            self.schedule(at, Event::MessageReachesProxy { proxy: index as u16, director, message });
        }
    }

    /// A proxy applies a message, and acknowledges it if the message has a mark.
    pub(super) fn message_reaches_proxy(&mut self, index: u16, director: u16, message: u32) {
        let zone = self.proxies[index as usize].zone;
        if self.are_partitioned(zone, self.directors[director as usize].zone) {
            let retry = Event::MessageReachesProxy { proxy: index, director, message };
            self.schedule(self.now + PARTITION_RETRY, retry);
            return;
        }
        let applied = &mut self.proxies[index as usize].applied[director as usize];
        *applied = (*applied).max(message);
        let Some(mark) = self.directors[director as usize].marks.get(&message).copied() else { return };
        let took = self.scenario.channel.transit;
        let delay = self.draw_network_delay(zone, zone);
        let acknowledgement =
            Input::RoundAcknowledged { proxy: ProxyId(index), round: RoundId(mark), latency: took };
        self.send_inputs(director, delay, vec![acknowledgement]);
    }
}
