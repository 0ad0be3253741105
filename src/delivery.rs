//! Delivery of inputs and messages to the actors of a director. Decisions are made in `logic`.

use crate::channel_backlog::CallToWrite;
use crate::interface::{HostId, HostListEntry, HostState, Input, ListScope, Order, TimerId};
use crate::logic::{TICK_INTERVAL, TICK_SLACK};
use crate::messages::{Message, Outbox, Recipient};
use crate::state::Director;
use std::collections::BTreeSet;

/// The actors of which there is one each, in the order in which their mailboxes are emptied.
const SINGLE_ACTORS: [Recipient; 4] =
    [Recipient::Tables, Recipient::AdmissionControl, Recipient::DiscoveryWatch, Recipient::Channel];

impl Director {
    /// Processes the inputs since the last call and returns the resulting orders. `now` is in seconds on the same
    /// clock as the times in the inputs, and never decreases.
    pub fn handle(&mut self, now: f64, inputs: &[Input]) -> Vec<Order> {
        let mut outbox = Outbox::default();
        for input in inputs {
            self.deliver(input, &mut outbox);
        }
        self.deliver_messages(now, &mut outbox);
        if now + TICK_SLACK >= self.next_tick_at {
            let hosts = self.hosts.keys().map(|host| Recipient::Host(*host));
            for recipient in hosts.chain(SINGLE_ACTORS) {
                outbox.send(recipient, Message::Tick);
            }
            self.deliver_messages(now, &mut outbox);
            self.next_tick_at = now + TICK_INTERVAL;
            outbox.orders.push(Order::SetTimer { timer: TimerId(1), fires_at: self.next_tick_at });
        }
        outbox.orders
    }

    /// How many of a call's orders may be written at `now` (seconds), so that the channel's backlog stays within its
    /// limit. `is_repeat`: the call may have been executed before. `unannounced_proxies`: proxies may have joined for
    /// which no [`Input::ProxyJoined`] has been given yet.
    pub fn writable_orders(
        &self,
        now: f64,
        orders: usize,
        is_repeat: bool,
        unannounced_proxies: bool,
    ) -> usize {
        self.channel.writable(now, &self.params, &CallToWrite { orders, is_repeat, unannounced_proxies })
    }

    /// Upper bound of the lines that are queued in the channel to the proxies.
    pub fn max_pending_lines(&self) -> f64 {
        self.channel.backlog.unacknowledged_lines()
    }

    /// Puts an input into the mailboxes of the actors that it concerns.
    fn deliver(&mut self, input: &Input, outbox: &mut Outbox) {
        match input {
            Input::HostListUpdate { scope, version, entries } => {
                self.update_list(*scope, *version, entries, outbox)
            }
            Input::StoredWeight { host, .. } => self.ensure_host(*host),
            Input::AttemptStats { host, .. } | Input::ProbeFinished { host, .. } => {
                outbox.send(Recipient::Host(*host), Message::Input(input.clone()));
                return;
            }
            _ => {}
        }
        for recipient in SINGLE_ACTORS {
            outbox.send(recipient, Message::Input(input.clone()));
        }
    }

    /// Applies an update of the host list, unless it failed or is outdated.
    pub(crate) fn update_list(
        &mut self,
        scope: ListScope,
        version: u64,
        entries: &[HostListEntry],
        outbox: &mut Outbox,
    ) {
        if self.accepts_list(scope, version) {
            self.list_version = Some(version);
            self.deliver_list(scope, entries, outbox);
        }
    }

    /// Sends the entries of a list to their hosts. Hosts that a whole list does not name are no longer listed.
    fn deliver_list(&mut self, scope: ListScope, entries: &[HostListEntry], outbox: &mut Outbox) {
        for entry in entries {
            self.entries_read += 1;
            self.ensure_host(entry.host);
            let message = match entry.state {
                HostState::Removed => Message::Unlisted,
                _ => Message::Listed { entry: entry.clone(), position: self.entries_read },
            };
            outbox.send(Recipient::Host(entry.host), message);
        }
        if scope == ListScope::Delta {
            return;
        }
        let named: BTreeSet<HostId> = entries.iter().map(|entry| entry.host).collect();
        for host in self.hosts.keys().filter(|host| !named.contains(host)) {
            outbox.send(Recipient::Host(*host), Message::Unlisted);
        }
    }

    /// Delivers messages, in the order of [`Recipient`], until no mailbox holds any.
    pub(crate) fn deliver_messages(&mut self, now: f64, outbox: &mut Outbox) {
        while let Some((recipient, messages)) = outbox.take_next_mailbox() {
            for message in messages {
                self.deliver_message(now, &recipient, message, outbox);
            }
        }
    }

    fn deliver_message(&mut self, now: f64, recipient: &Recipient, message: Message, outbox: &mut Outbox) {
        let params = &self.params;
        match recipient {
            Recipient::Host(id) if message == Message::Expired(*id) => self.remove_expired_host(*id, outbox),
            Recipient::Host(id) => {
                if let Some(host) = self.hosts.get_mut(id) {
                    host.handle(now, params, message, outbox);
                }
            }
            Recipient::Tables => self.tables.handle(now, params, message, outbox),
            Recipient::AdmissionControl => self.admission_control.handle(now, params, message, outbox),
            Recipient::DiscoveryWatch => self.discovery_watch.handle(now, params, message, outbox),
            Recipient::Channel => self.channel.handle(now, params, message, outbox),
        }
    }

    /// Removes the actor of a host that nothing refers to any more, unless it has been listed again in the meantime.
    fn remove_expired_host(&mut self, id: HostId, outbox: &mut Outbox) {
        if self.hosts.get(&id).is_some_and(|host| !host.is_listed) {
            self.hosts.remove(&id);
            outbox.orders.push(Order::ReleaseHost(id));
        }
    }
}
