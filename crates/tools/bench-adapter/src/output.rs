//! Translates the orders of the decisions into the bench's.

use crate::names::Names;
use coppersail::interface as api;
use coppersail_bench_codec::{Octets, Order, Receiver, Resend, Text, ALL_TABLES};

/// The order of instance `who` as it stands on the wire; none for one that only concerns the names here.
pub(crate) fn order(who: u64, order: api::Order, names: &mut Names) -> Option<Order> {
    let order = match order {
        api::Order::Forget(host) => {
            names.forget(host);
            return None;
        }
        api::Order::Line { slice, host, weight } => {
            Order::SetLine { who, host: names.address(host), table: slice.0, w: weight }
        }
        api::Order::Clear(slice) => Order::ResetTable { who, table: slice.0 },
        api::Order::Withdraw { host, out } => Order::HoldBack { who, host: names.address(host), set: out },
        api::Order::Admit { scope, routes, level, retry } => {
            Order::Admit { who, table: table(scope), only: route_mask(&routes), level, resend: resend(retry) }
        }
        api::Order::Bind { proxy, routes, table } => {
            Order::UseTable { who, proxy: proxy.0, only: route_mask(&routes), table: table.0 }
        }
        api::Order::Mark { mark, all } => Order::Nonce { who, rev: mark.0, set: all },
        api::Order::Follow(on) => Order::Follow { who, set: on },
        api::Order::FetchList => Order::GetList { who },
        api::Order::Probe(host) => Order::Sample { who, host: names.address(host) },
        api::Order::Tell { to, bytes } => Order::Signal { who, dst: receiver(to), octets: Octets(bytes) },
        api::Order::WakeAt { wake, at } => {
            Order::WakeAt { who, token: wake.0, time_ns: names.clock.nanoseconds(at) }
        }
        api::Order::Log { text, hosts } => Order::Trace { who, reason: Text(names.log_line(&text, &hosts)) },
    };
    Some(order)
}

fn table(scope: api::Scope) -> u16 {
    match scope {
        api::Scope::Slice(slice) => slice.0,
        api::Scope::Everywhere => ALL_TABLES,
    }
}

/// Bit 0 is the first route; no bits: all routes.
fn route_mask(routes: &[api::RouteId]) -> u64 {
    let mut mask = 0;
    for route in routes {
        mask |= 1 << route.0;
    }
    mask
}

fn resend(retry: api::Retry) -> Resend {
    match retry {
        api::Retry::Never => Resend::None,
        api::Retry::IfNeverRan => Resend::NeverRan,
        api::Retry::Once => Resend::One,
        api::Retry::Twice => Resend::Two,
    }
}

fn receiver(peer: Option<api::PeerId>) -> Receiver {
    match peer {
        Some(peer) => Receiver::One(peer.0),
        None => Receiver::Others,
    }
}

#[cfg(test)]
mod tests;
