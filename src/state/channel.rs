//! State of the channel to the proxies.

use crate::channel_backlog::{AcknowledgementRules, ChannelBacklog};
use crate::interface::{HostId, Input, Order, RoundId, SliceId};
use crate::messages::{Message, Outbox, Recipient};
use crate::parameters::Parameters;
use crate::placement::PerHost;
use std::collections::{BTreeMap, BTreeSet};

/// A table as the proxies should have it.
pub(crate) struct DesiredTable {
    /// When a change was first requested after the last order for the slice was sent, in seconds.
    pub(crate) since: f64,
    pub(crate) weights: PerHost,
}

/// Orders that are sent together: one line each to every proxy.
pub(crate) struct PendingChange<P> {
    /// The order in which changes are sent.
    pub(crate) priority: P,
    /// When the change was first requested, in seconds; of equal priority the oldest is sent first.
    pub(crate) since: f64,
    pub(crate) orders: Vec<Order>,
}

/// Difference between a table as sent and as desired.
pub(crate) struct TableDiff {
    /// Weights that differ, and removals of hosts that are not to be withdrawn.
    pub(crate) orders: Vec<Order>,
    /// Removals of hosts that are, or are about to be, withdrawn anyway.
    pub(crate) removals_of_withdrawn: Vec<Order>,
    /// Hosts to be removed that are withdrawn and about to be readmitted.
    pub(crate) returning: Vec<HostId>,
    /// The host with the highest weight in the table as sent.
    pub(crate) heaviest: Option<HostId>,
    /// A host of the table as sent is neither withdrawn nor about to be.
    pub(crate) has_open_host: bool,
}

/// The channel to the proxies: what was sent to them, and what has yet to be sent.
#[derive(Default)]
pub(crate) struct Channel {
    /// Tables as sent so far, or as found in the relay's store.
    pub(crate) sent_tables: BTreeMap<SliceId, PerHost>,
    /// Tables as they should become.
    pub(crate) desired_tables: BTreeMap<SliceId, DesiredTable>,
    /// Hosts that are withdrawn according to the last order sent to the proxies.
    pub(crate) withdrawn: BTreeSet<HostId>,
    /// Hosts whose withdrawal (true) or readmission (false) has yet to be sent.
    pub(crate) pending_withdrawals: BTreeMap<HostId, bool>,
    /// Withdrawn hosts that are gone and in no table: they are readmitted along with other orders, then forgotten.
    pub(crate) expired: BTreeSet<HostId>,
    /// Admission levels that have yet to be sent.
    pub(crate) pending_admission: Vec<Order>,
    /// What was sent and may still be queued.
    pub(crate) backlog: ChannelBacklog,
    /// Id of the next round of messages.
    pub(crate) next_round: u16,
}

impl Channel {
    /// Whether a table as sent or as desired names the host.
    pub(crate) fn has_table_with(&self, host: HostId) -> bool {
        let desired = self.desired_tables.values().map(|table| &table.weights);
        self.sent_tables.values().chain(desired).any(|weights| weights.contains_key(&host))
    }

    /// Sets the weights that a slice's table should have.
    pub(crate) fn set_desired(&mut self, now: f64, slice: SliceId, weights: PerHost) {
        let since = self.desired_tables.get(&slice).map_or(now, |table| table.since);
        self.desired_tables.insert(slice, DesiredTable { since, weights });
    }

    /// Queues an admission level for all proxies. The channel also adds it to messages to proxies that join later.
    pub(crate) fn add_admission(&mut self, order: Order) {
        if let Order::SetAdmission { routes, .. } = &order {
            self.backlog.admission_routes.extend(routes);
        }
        self.pending_admission.push(order);
    }

    /// Records a table as it is now, or as unknown, and drops the desired table.
    pub(crate) fn reset_table(&mut self, slice: SliceId, weights: Option<PerHost>) {
        self.desired_tables.remove(&slice);
        self.sent_tables.remove(&slice);
        if let Some(weights) = weights {
            self.sent_tables.insert(slice, weights);
        }
    }

    /// Queues the withdrawal or readmission of a host.
    pub(crate) fn set_withdrawal(&mut self, host: HostId, withdrawn: bool) {
        self.expired.remove(&host);
        self.pending_withdrawals.insert(host, withdrawn);
    }

    /// Whether the host will be withdrawn once all pending changes are sent.
    pub(crate) fn should_be_withdrawn(&self, host: &HostId) -> bool {
        let is_withdrawn = self.withdrawn.contains(host);
        self.pending_withdrawals.get(host).copied().unwrap_or(is_withdrawn)
    }

    /// Whether the host is withdrawn and its readmission has yet to be sent.
    pub(crate) fn is_returning(&self, host: &HostId) -> bool {
        self.withdrawn.contains(host) && !self.should_be_withdrawn(host)
    }

    /// Ends a round of orders: requests acknowledgements from the proxies, and records its lines in the backlog.
    pub(crate) fn finish_round(&mut self, now: f64, lines_per_proxy: f64, outbox: &mut Outbox) {
        let id = RoundId(self.next_round);
        outbox.orders.push(Order::RequestAcknowledgement { round: id, include_idle_proxies: false });
        self.backlog.record_order(now, id, lines_per_proxy);
        self.next_round = self.next_round.wrapping_add(1);
    }

    /// Whether a withdrawal of the host has yet to be sent.
    pub(crate) fn has_pending_withdrawal(&self, host: HostId) -> bool {
        self.pending_withdrawals.get(&host) == Some(&true)
    }

    /// Whether the host is withdrawn without pending changes, and no table as sent or as desired names it.
    pub(crate) fn is_withdrawn_and_unused(&self, host: HostId) -> bool {
        let is_pending = self.pending_withdrawals.contains_key(&host);
        self.withdrawn.contains(&host) && !is_pending && !self.has_table_with(host)
    }

    /// Forgets an expired host, and tells the tables that the channel does not refer to it any more.
    pub(crate) fn forget_host(&mut self, host: HostId, outbox: &mut Outbox) {
        self.pending_withdrawals.remove(&host);
        self.withdrawn.remove(&host);
        outbox.send(Recipient::Tables, Message::Expired(host));
    }

    /// Records an input that needs no decision. `rules`: see [`ChannelBacklog::record_input`].
    pub(crate) fn record_input(
        &mut self,
        now: f64,
        params: &Parameters,
        rules: AcknowledgementRules,
        input: Input,
    ) {
        match input {
            Input::StoredWeight { slice, host, weight } => {
                self.sent_tables.entry(slice).or_default().insert(host, weight);
                // A table names the host again, so it has not expired.
                self.expired.remove(&host);
            }
            Input::WeightsRejected { slice, weights, .. } => self.reset_table(slice, Some(weights)),
            Input::SliceRevoked(slice) | Input::SliceAssigned(slice) => self.reset_table(slice, None),
            input => self.backlog.record_input(now, params, rules, &input),
        }
    }

    /// Compares a table as sent with the desired one; weights for which `is_close` holds count as equal.
    pub(crate) fn table_diff(
        &self,
        slice: SliceId,
        desired: &DesiredTable,
        is_close: impl Fn(Option<&f64>, f64) -> bool,
    ) -> TableDiff {
        let never_sent = PerHost::new();
        let sent = self.sent_tables.get(&slice).unwrap_or(&never_sent);
        let heaviest = sent.iter().max_by(|a, b| a.1.total_cmp(b.1));
        let mut diff = TableDiff {
            orders: Vec::new(),
            removals_of_withdrawn: Vec::new(),
            returning: Vec::new(),
            heaviest: heaviest.map(|(host, _)| *host),
            has_open_host: sent
                .keys()
                .any(|host| !self.should_be_withdrawn(host) && !self.withdrawn.contains(host)),
        };
        for (host, weight) in &desired.weights {
            if !is_close(sent.get(host), *weight) {
                diff.orders.push(Order::SetWeight { slice, host: *host, weight: *weight });
            }
        }
        for host in sent.keys().filter(|host| !desired.weights.contains_key(host)) {
            let removal = Order::SetWeight { slice, host: *host, weight: 0.0 };
            if self.should_be_withdrawn(host) {
                diff.removals_of_withdrawn.push(removal);
                continue;
            }
            diff.orders.push(removal);
            if self.is_returning(host) {
                diff.returning.push(*host);
            }
        }
        diff
    }

    /// Gives orders for the proxies, and records what they know afterwards.
    pub(crate) fn give_orders(&mut self, now: f64, orders: Vec<Order>, outbox: &mut Outbox) {
        for order in &orders {
            self.record_sent(now, order, outbox);
        }
        outbox.orders.extend(orders);
    }

    /// Records what the proxies know once this order is sent.
    fn record_sent(&mut self, now: f64, order: &Order, outbox: &mut Outbox) {
        match *order {
            Order::SetWeight { slice, host, weight } => self.record_weight(now, slice, host, weight),
            Order::SetWithdrawn { host, withdrawn } => self.record_withdrawal(host, withdrawn, outbox),
            // Admission levels are sent in the order in which they were queued.
            _ => {
                self.pending_admission.remove(0);
            }
        }
    }

    fn record_weight(&mut self, now: f64, slice: SliceId, host: HostId, weight: f64) {
        let table = self.sent_tables.entry(slice).or_default();
        if weight > 0.0 {
            table.insert(host, weight);
        } else {
            table.remove(&host);
        }
        if let Some(desired) = self.desired_tables.get_mut(&slice) {
            desired.since = now;
        }
    }

    fn record_withdrawal(&mut self, host: HostId, withdrawn: bool, outbox: &mut Outbox) {
        self.pending_withdrawals.remove(&host);
        if withdrawn {
            self.withdrawn.insert(host);
            return;
        }
        self.withdrawn.remove(&host);
        let was_expired = self.expired.remove(&host);
        let message = if was_expired { Message::Expired(host) } else { Message::Readmitted(host) };
        outbox.send(Recipient::Tables, message);
    }
}
