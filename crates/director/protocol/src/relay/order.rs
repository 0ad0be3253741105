//! Orders to the relay, and the call that carries them.

/// Stands for all slices or all routes.
const ALL: &str = "*";

/// How often proxies retry a request; written as its number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryPolicy {
    /// No retry.
    Never = 0,
    /// One retry where the first attempt did not run.
    IfNotExecuted = 1,
    /// One retry.
    Once = 2,
    /// Two retries.
    Twice = 3,
}

/// One order. Hosts and routes are given by their names, which hold none of the separators `,`, `;`, `+` and space.
#[derive(Clone, Debug, PartialEq)]
pub enum Order<'a> {
    /// Sets the weight of a host in a slice's table.
    SetWeight {
        /// Number of the slice.
        slice: u16,
        /// Id of the host.
        host: &'a str,
        /// Share of the slice's requests in relation to its other hosts; 0 removes the host.
        weight: f64,
    },
    /// Removes all hosts from a slice's table.
    ClearTable {
        /// Number of the slice.
        slice: u16,
    },
    /// Withdraws a host from all tables, whose weights are kept.
    Withdraw {
        /// Id of the host.
        host: &'a str,
    },
    /// Reverses `Out`.
    Restore {
        /// Id of the host.
        host: &'a str,
    },
    /// Sets how much is admitted and how it is retried.
    SetAdmission {
        /// Number of the slice; none: all slices.
        slice: Option<u16>,
        /// Names of the routes; empty: all routes.
        routes: Vec<&'a str>,
        /// Share of the requests that is admitted, 0 to 1.
        level: f64,
        /// How the admitted ones are retried.
        retry: RetryPolicy,
    },
    /// Asks the proxies to acknowledge all orders up to here.
    RequestAcknowledgement {
        /// Number that the acknowledgements repeat.
        round: u16,
        /// All proxies acknowledge, also those that none of the orders concerns.
        include_idle_proxies: bool,
    },
}

impl Order<'_> {
    /// The order as it stands in a call.
    pub fn to_text(&self) -> String {
        match self {
            Order::SetWeight { slice, host, weight } => format!("SET,{slice},{host},{weight}"),
            Order::ClearTable { slice } => format!("DEL,{slice}"),
            Order::Withdraw { host } => format!("OUT,{host}"),
            Order::Restore { host } => format!("IN,{host}"),
            Order::SetAdmission { slice, routes, level, retry: retry_policy } => {
                let slice = slice.map_or(ALL.to_string(), |slice| slice.to_string());
                let routes = if routes.is_empty() { ALL.to_string() } else { routes.join("+") };
                let retries = *retry_policy as u8;
                format!("LIMIT,{slice},{routes},{level},{retries}")
            }
            Order::RequestAcknowledgement { round: mark, include_idle_proxies: all } => {
                format!("SYNC,{mark},{}", u8::from(*all))
            }
        }
    }
}

/// One call with these orders, given as their texts.
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
