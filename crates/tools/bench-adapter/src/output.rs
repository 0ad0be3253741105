//! Translates the orders of the decisions into the bench's.

use crate::names::Names;
use coppersail::interface as api;
use coppersail_bench_codec::{Octets, Order, Receiver, Resend, Text, ALL_SLICES};

/// The order of instance `who` as it stands on the wire; none for one that only concerns the names here.
pub(crate) fn order(instance: u64, order: api::Order, names: &mut Names) -> Option<Order> {
    let order = match order {
        api::Order::ReleaseHost(host) => {
            names.forget(host);
            return None;
        }
        api::Order::SetWeight { slice, host, weight } => {
            Order::SetWeight { instance, host: names.address(host), slice: slice.0, weight }
        }
        api::Order::ClearTable(slice) => Order::ClearTable { instance, slice: slice.0 },
        api::Order::SetWithdrawn { host, withdrawn: out } => {
            Order::SetWithdrawn { instance, host: names.address(host), set: out }
        }
        api::Order::SetAdmission { scope, routes, level, retry } => Order::Admit {
            instance,
            slice: table(scope),
            only: route_mask(&routes),
            level,
            resend: resend(retry),
        },
        api::Order::BindTable { proxy, routes, table } => {
            Order::BindTable { instance, proxy: proxy.0, only: route_mask(&routes), slice: table.0 }
        }
        api::Order::RequestAcknowledgement { round: mark, include_idle_proxies: all } => {
            Order::RequestAcknowledgement { instance, version: mark.0, set: all }
        }
        api::Order::WatchHostList(on) => Order::Follow { instance, set: on },
        api::Order::FetchHostList => Order::FetchList { instance },
        api::Order::Probe(host) => Order::HealthCheck { instance, host: names.address(host) },
        api::Order::SendToPeers { to, payload: bytes } => {
            Order::SendToPeers { instance, receiver: receiver(to), payload: Octets(bytes) }
        }
        api::Order::SetTimer { timer: wake, fires_at: at } => {
            Order::WakeAt { instance, token: wake.0, time_ns: names.clock.nanoseconds(at) }
        }
        api::Order::Log { text, hosts } => {
            Order::Log { instance, reason: Text(names.log_line(&text, &hosts)) }
        }
    };
    Some(order)
}

fn table(scope: api::Scope) -> u16 {
    match scope {
        api::Scope::Slice(slice) => slice.0,
        api::Scope::AllProxies => ALL_SLICES,
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

fn resend(retry: api::RetryPolicy) -> Resend {
    match retry {
        api::RetryPolicy::Never => Resend::None,
        api::RetryPolicy::IfNotExecuted => Resend::NeverRan,
        api::RetryPolicy::Once => Resend::One,
        api::RetryPolicy::Twice => Resend::Two,
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
