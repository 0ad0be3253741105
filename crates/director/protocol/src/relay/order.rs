//! Orders to the relay, and the encoding of the call that carries them.

/// Wildcard for all slices or all routes.
const ALL: &str = "*";

/// How often proxies retry a request. Orders carry the number of the variant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryPolicy {
    /// No retry.
    Never = 0,
    /// One retry, only if the first attempt was not executed.
    IfNotExecuted = 1,
    /// One retry, even if the first attempt may have been executed.
    Once = 2,
    /// Two retries, even if earlier attempts may have been executed.
    Twice = 3,
}

/// One order. Hosts are given by id and routes by name; neither may contain the separators `,`, `;`, `+` and space.
#[derive(Clone, Debug, PartialEq)]
pub enum Order<'a> {
    /// Sets the weight of a host in a slice's table.
    SetWeight {
        /// Number of the slice.
        slice: u16,
        /// Id of the host.
        host: &'a str,
        /// Share of the slice's requests relative to its other hosts; 0 removes the host.
        weight: f64,
    },
    /// Removes all hosts from a slice's table.
    ClearTable {
        /// Number of the slice.
        slice: u16,
    },
    /// Stops requests to a host in all slices; the tables keep its weights.
    Withdraw {
        /// Id of the host.
        host: &'a str,
    },
    /// Reverses [`Order::Withdraw`].
    Restore {
        /// Id of the host.
        host: &'a str,
    },
    /// Sets the admitted share of requests and their retry policy.
    SetAdmission {
        /// Number of the slice; `None` for all slices.
        slice: Option<u16>,
        /// Names of the routes; empty for all routes.
        routes: Vec<&'a str>,
        /// Admitted share of the requests, from 0 to 1.
        level: f64,
        /// Retry policy of the admitted requests.
        retry: RetryPolicy,
    },
    /// Asks the proxies to acknowledge all orders up to this one.
    RequestAcknowledgement {
        /// Number of the round, which the acknowledgements repeat.
        round: u16,
        /// Whether proxies that none of the orders concerns acknowledge as well.
        include_idle_proxies: bool,
    },
}

impl Order<'_> {
    /// The order's text within a call.
    pub fn to_text(&self) -> String {
        match self {
            Order::SetWeight { slice, host, weight } => format!("SET,{slice},{host},{weight}"),
            Order::ClearTable { slice } => format!("DEL,{slice}"),
            Order::Withdraw { host } => format!("OUT,{host}"),
            Order::Restore { host } => format!("IN,{host}"),
            Order::SetAdmission { slice, routes, level, retry } => {
                let slice = slice.map_or(ALL.to_string(), |slice| slice.to_string());
                let routes = if routes.is_empty() { ALL.to_string() } else { routes.join("+") };
                let retry = *retry as u8;
                format!("LIMIT,{slice},{routes},{level},{retry}")
            }
            Order::RequestAcknowledgement { round, include_idle_proxies } => {
                format!("SYNC,{round},{}", u8::from(*include_idle_proxies))
            }
        }
    }
}

/// Encodes a call from the texts of its orders.
pub fn write_call<'a>(orders: impl Iterator<Item = &'a str>) -> Vec<u8> {
    let mut line = String::from("txn ");
    for (index, order) in orders.enumerate() {
        if index > 0 {
            line.push(';');
        }
        line.push_str(order);
    }
    line.push_str("\r\n");
    line.into_bytes()
}
