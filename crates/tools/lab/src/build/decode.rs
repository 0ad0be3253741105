//! Orders of a director as they come over the simulator's wire.

use super::clock::seconds;
use coppersail::interface::{HostId, Order, RetryPolicy, RoundId, RouteId, Scope, SliceId, TimerId};
use coppersail_bench_codec as wire;

/// The order that a line of the wire names; none if it is no order, or names a host that there is not. `routes`: how
/// many routes there are.
pub(super) fn parse_order(line: &str, routes: usize) -> Option<Order> {
    let order = wire::Order::parse(line, 0).ok()?;
    Some(match order {
        wire::Order::SetWeight { host, slice: table, weight: w, .. } => {
            Order::SetWeight { slice: SliceId(table), host: parse_host(&host)?, weight: w }
        }
        wire::Order::ClearTable { slice: table, .. } => Order::ClearTable(SliceId(table)),
        wire::Order::SetWithdrawn { host, set, .. } => {
            Order::SetWithdrawn { host: parse_host(&host)?, withdrawn: set }
        }
        wire::Order::Admit { slice: table, only, level, resend, .. } => Order::SetAdmission {
            scope: scope(table),
            routes: (0..routes as u16).filter(|route| only >> route & 1 == 1).map(RouteId).collect(),
            level,
            retry: retry(resend),
        },
        wire::Order::RequestAcknowledgement { version: rev, set, .. } => {
            Order::RequestAcknowledgement { round: RoundId(rev), include_idle_proxies: set }
        }
        wire::Order::HealthCheck { host, .. } => Order::Probe(parse_host(&host)?),
        wire::Order::WakeAt { token, time_ns, .. } => {
            Order::SetTimer { timer: TimerId(token), fires_at: seconds(time_ns) }
        }
        _ => return None,
    })
}

fn parse_host(name: &str) -> Option<HostId> {
    name.strip_prefix('h')?.parse().ok().map(HostId)
}

fn scope(table: u16) -> Scope {
    if table == wire::ALL_SLICES {
        Scope::AllProxies
    } else {
        Scope::Slice(SliceId(table))
    }
}

fn retry(resend: wire::Resend) -> RetryPolicy {
    match resend {
        wire::Resend::None => RetryPolicy::Never,
        wire::Resend::NeverRan => RetryPolicy::IfNotExecuted,
        wire::Resend::One => RetryPolicy::Once,
        wire::Resend::Two => RetryPolicy::Twice,
    }
}
