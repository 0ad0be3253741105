//! What an adapter answers.

use crate::field::{Octets, Receiver, Resend, Text};

/// The slice number that stands for all slices in [`Order::Admit`].
pub const ALL_SLICES: u16 = 65535;

/// The last line of a reply.
const END_OF_REPLY: &str = "READY\n";

messages!(
    /// An order of one director instance, whose number is `instance`. Sets of routes are bit masks: bit 0 is the
    /// first route.
    Order,
    /// Subscribes to changes of the endpoint list, or ends the subscription.
    "FOLLOW" => Follow {
        /// Number of the instance.
        instance: u64 = "who",
        /// Subscribes; else ends it.
        set: bool = "set",
    },
    /// Requests the complete endpoint list.
    "GET_LIST" => FetchList {
        /// Number of the instance.
        instance: u64 = "who",
    },
    /// A line of the log.
    "TRACE" => Log {
        /// Number of the instance.
        instance: u64 = "who",
        /// The line.
        reason: Text = "reason-text",
    },
    /// The instance has failed.
    "GIVE_IN" => Fail {
        /// Number of the instance.
        instance: u64 = "who",
        /// Why.
        reason: Text = "reason-text",
    },
    /// Sets how much is admitted and how it is retried.
    "ADMIT" => Admit {
        /// Number of the instance.
        instance: u64 = "who",
        /// Number of the slice, or [`ALL_SLICES`].
        slice: u16 = "table",
        /// The routes; 0: all.
        only: u64 = "only",
        /// Share of the requests, or requests per second, as the settings say.
        level: f64 = "level",
        /// How the admitted ones are retried.
        resend: Resend = "resend",
    },
    /// Sets a timer.
    "WAKE_AT" => WakeAt {
        /// Number of the instance.
        instance: u64 = "who",
        /// The timer's number.
        token: u64 = "ref",
        /// When it goes off, nanoseconds of the bench's clock.
        time_ns: u64 = "time-ns",
    },
    /// Sends a health check.
    "SAMPLE" => HealthCheck {
        /// Number of the instance.
        instance: u64 = "who",
        /// Address of the host.
        host: String = "host",
    },
    /// Sends a message to other instances.
    "SIGNAL" => SendToPeers {
        /// Number of the instance.
        instance: u64 = "who",
        /// Who receives it.
        receiver: Receiver = "dst",
        /// The message.
        payload: Octets = "octets",
    },
    /// Withdraws a host from all tables, or lets it back in.
    "HOLD_BACK" => SetWithdrawn {
        /// Number of the instance.
        instance: u64 = "who",
        /// Address of the host.
        host: String = "host",
        /// Withdraws it; else lets it back in.
        set: bool = "set",
    },
    /// Assigns a table to routes of a proxy.
    "USE_TABLE" => BindTable {
        /// Number of the instance.
        instance: u64 = "who",
        /// Number of the proxy.
        proxy: u16 = "proxy",
        /// The routes.
        only: u64 = "only",
        /// Number of the table.
        slice: u16 = "table",
    },
    /// Sets the weight of a host in a table.
    "SET_LINE" => SetWeight {
        /// Number of the instance.
        instance: u64 = "who",
        /// Address of the host.
        host: String = "host",
        /// Number of the slice or table.
        slice: u16 = "table",
        /// The weight; 0 removes the host.
        weight: f64 = "w",
    },
    /// Asks the proxies to acknowledge all orders up to here.
    "NONCE" => RequestAcknowledgement {
        /// Number of the instance.
        instance: u64 = "who",
        /// Number that the acknowledgements repeat.
        version: u16 = "rev",
        /// All proxies acknowledge, also those that none of the orders concerns.
        set: bool = "set",
    },
    /// Removes all hosts from a table.
    "RESET_TABLE" => ClearTable {
        /// Number of the instance.
        instance: u64 = "who",
        /// Number of the slice or table.
        slice: u16 = "table",
    },
);

/// Appends a reply: a line for each order, and the line that ends it.
pub fn write_reply(orders: &[Order], out: &mut String) {
    for order in orders {
        order.write(out);
        out.push('\n');
    }
    out.push_str(END_OF_REPLY);
}
