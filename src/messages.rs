//! Messages that the actors of a director send each other, and the mailboxes in which they wait. Holds no decision.

use crate::interface::{HostId, HostListEntry, Input, Order, SliceId, ZoneId};
use crate::placement::PerHost;
use std::collections::{BTreeMap, VecDeque};

/// A host as the tables see it.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct HostView {
    /// Listed, and neither draining nor gone.
    pub(crate) ready: bool,
    /// When it was listed, in seconds, and its position among those listed then: lower is longer listed.
    pub(crate) seniority: (f64, u64),
    /// Weight as listed.
    pub(crate) weight: f64,
    pub(crate) zone: ZoneId,
    /// Share of its capacity that may be counted on at its age; 1 once it is warm.
    pub(crate) slow_start: f64,
    /// Share of its weight that its response times let it keep; 1 unless it is slow.
    pub(crate) derating: f64,
    /// Calls that it answers in a second of full work; none: not reported.
    pub(crate) speed: Option<f64>,
    /// It has answered a call or a health check, or was there from the start and has not failed one.
    pub(crate) verified: bool,
    /// When it was noticed to have restarted while tables named it.
    pub(crate) restarted_at: Option<f64>,
    /// It seems dead or stuck, though listed.
    pub(crate) suspect: bool,
    /// Mean of its recent response times, in seconds.
    pub(crate) response_time: f64,
    /// Attempts that it answered recently.
    pub(crate) answered: f64,
    /// Share of its cores that is busy, as last reported.
    pub(crate) utilisation: Option<f64>,
}

impl HostView {
    /// Whether the host may serve: it is ready, and known to be one of ours.
    pub(crate) fn is_usable(&self) -> bool {
        self.ready && self.verified
    }
}

/// A message to an actor.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Message {
    /// To all, ten times a second.
    Tick,
    /// To the actors that it concerns: what came in.
    Input(Input),
    /// To a host: its entry in the host list, and a number that rises with each entry that is read.
    Listed { entry: HostListEntry, position: u64 },
    /// To a host: the list has dropped it.
    Unlisted,
    /// To a host: it is withdrawn as a suspect.
    WithdrawnAsSuspect,
    /// To hosts and admission control: medians over the fleet of response times, in seconds, and of busy cores.
    FleetMedians { response_time: f64, utilisation: f64 },
    /// To the tables: what a host is now.
    HostView(HostId, HostView),
    /// To the tables: the proxies have been told to use the host again.
    Readmitted(HostId),
    /// The host is long gone. Sent by the host to the channel, by the channel to the tables once no table names the
    /// host, and by the tables to the host's actor once nothing refers to it any more.
    Expired(HostId),
    /// To admission control: outcome of the attempts at a sound host, with their mean response time in seconds.
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

/// The mailboxes of all actors, and the orders that they have given.
#[derive(Default)]
pub(crate) struct Outbox {
    mailboxes: BTreeMap<Recipient, VecDeque<Message>>,
    /// Orders to return to the caller, in the order in which they were given.
    pub(crate) orders: Vec<Order>,
}

impl Outbox {
    /// Puts a message into the recipient's mailbox.
    pub(crate) fn send(&mut self, recipient: Recipient, message: Message) {
        self.mailboxes.entry(recipient).or_default().push_back(message);
    }

    /// Gives an order to log a decision that concerns these hosts.
    pub(crate) fn log(&mut self, text: String, hosts: Vec<HostId>) {
        self.orders.push(Order::Log { text, hosts });
    }

    /// Empties the first mailbox that holds any messages, in the order of [`Recipient`].
    pub(crate) fn take_next_mailbox(&mut self) -> Option<(Recipient, VecDeque<Message>)> {
        self.mailboxes.pop_first()
    }
}
