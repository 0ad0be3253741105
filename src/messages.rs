//! Messages that the actors of a director send each other, and their mailboxes. Makes no decisions.

use crate::interface::{HostId, HostListEntry, Input, Order, SliceId, ZoneId};
use crate::placement::PerHost;
use std::collections::{BTreeMap, VecDeque};

/// A host as the tables see it.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct HostView {
    /// It is listed, and neither draining nor gone.
    pub(crate) ready: bool,
    /// When it was listed, in seconds, and its position among the list entries; lower values were listed earlier.
    pub(crate) seniority: (f64, u64),
    /// Weight as listed.
    pub(crate) weight: f64,
    pub(crate) zone: ZoneId,
    /// Share of its capacity that it has in slow start; 1 once it is warm.
    pub(crate) slow_start: f64,
    /// Share of its weight that remains because of slow responses; 1 unless it is slower than the fleet.
    pub(crate) derating: f64,
    /// Calls that it answers per second at full utilisation; `None` if not reported.
    pub(crate) speed: Option<f64>,
    /// It has answered a call or a health check, or was known from the start and has not failed a health check.
    pub(crate) verified: bool,
    /// When it was noticed to have restarted while tables named it.
    pub(crate) restarted_at: Option<f64>,
    /// It appears to be dead or stuck, although it is listed.
    pub(crate) suspect: bool,
    /// Mean of its recent response times, in seconds.
    pub(crate) response_time: f64,
    /// Attempts that it answered recently.
    pub(crate) answered: f64,
    /// Utilisation of its cores, 0 to 1, as last reported.
    pub(crate) utilisation: Option<f64>,
}

impl HostView {
    /// Whether the host may serve: it is ready, and verified to belong to the fleet.
    pub(crate) fn is_usable(&self) -> bool {
        self.ready && self.verified
    }
}

/// A message to an actor.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Message {
    /// To all actors, ten times a second.
    Tick,
    /// To the actors that it concerns: an input of the director.
    Input(Input),
    /// To a host: its entry in the host list, and a number that increases with each entry that is read.
    Listed { entry: HostListEntry, position: u64 },
    /// To a host: the list has dropped it.
    Unlisted,
    /// To a host: it is being withdrawn because it is suspected.
    WithdrawnAsSuspect,
    /// To hosts and admission control: the fleet's median response time, in seconds, and median utilisation.
    FleetMedians { response_time: f64, utilisation: f64 },
    /// To the tables: the current view of a host.
    HostView(HostId, HostView),
    /// To the tables: the proxies have been told to use the host again.
    Readmitted(HostId),
    /// The host has been gone for long. Sent by the host to the channel, by the channel to the tables once no table
    /// names the host, and by the tables to the host's actor, which is then removed.
    Expired(HostId),
    /// To admission control: attempts at a host that is not suspected, with their mean response time in seconds.
    Attempts { response_time: f64, attempts: f64, dropped: f64 },
    /// To the channel: the weights that a slice's table should have.
    DesiredTable { slice: SliceId, weights: PerHost },
    /// To the channel: a withdrawal or an admission level to send to the proxies.
    Send(Order),
}

/// The actor whose mailbox a message goes to. Mailboxes are emptied in this order.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Recipient {
    Host(HostId),
    Tables,
    AdmissionControl,
    DiscoveryWatch,
    Channel,
}

/// The mailboxes of all actors, and the orders given so far.
#[derive(Default)]
pub(crate) struct Outbox {
    mailboxes: BTreeMap<Recipient, VecDeque<Message>>,
    /// Orders to return to the caller, in this sequence.
    pub(crate) orders: Vec<Order>,
}

impl Outbox {
    /// Puts a message into the recipient's mailbox.
    pub(crate) fn send(&mut self, recipient: Recipient, message: Message) {
        self.mailboxes.entry(recipient).or_default().push_back(message);
    }

    /// Adds an order to log a decision that concerns these hosts.
    pub(crate) fn log(&mut self, text: String, hosts: Vec<HostId>) {
        self.orders.push(Order::Log { text, hosts });
    }

    /// Empties the first mailbox that holds any messages, in the order of [`Recipient`].
    pub(crate) fn take_next_mailbox(&mut self) -> Option<(Recipient, VecDeque<Message>)> {
        self.mailboxes.pop_first()
    }
}
