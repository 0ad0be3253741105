//! Orders of a director as they come over the simulator's wire.

use super::clock::seconds;
use coppersail::interface::{HostId, MarkId, Order, Retry, RouteId, Scope, SliceId, WakeId};
use coppersail_bench_codec as wire;

/// The order that a line of the wire names; none if it is no order, or names a host that there is not. `routes`: how many
/// routes there are.
pub(super) fn parse_order(line: &str, routes: usize) -> Option<Order> {
    let order = wire::Order::parse(line, 0).ok()?;
    Some(match order {
        wire::Order::SetLine { host, table, w, .. } => {
            Order::Line { slice: SliceId(table), host: parse_host(&host)?, weight: w }
        }
        wire::Order::ResetTable { table, .. } => Order::Clear(SliceId(table)),
        wire::Order::HoldBack { host, set, .. } => Order::Withdraw { host: parse_host(&host)?, out: set },
        wire::Order::Admit { table, only, level, resend, .. } => Order::Admit {
            scope: scope(table),
            routes: (0..routes as u16).filter(|route| only >> route & 1 == 1).map(RouteId).collect(),
            level,
            retry: retry(resend),
        },
        wire::Order::Nonce { rev, set, .. } => Order::Mark { mark: MarkId(rev), all: set },
        wire::Order::Sample { host, .. } => Order::Probe(parse_host(&host)?),
        wire::Order::WakeAt { token, time_ns, .. } => {
            Order::WakeAt { wake: WakeId(token), at: seconds(time_ns) }
        }
        _ => return None,
    })
}

fn parse_host(name: &str) -> Option<HostId> {
    name.strip_prefix('h')?.parse().ok().map(HostId)
}

fn scope(table: u16) -> Scope {
    if table == wire::ALL_TABLES {
        Scope::Everywhere
    } else {
        Scope::Slice(SliceId(table))
    }
}

fn retry(resend: wire::Resend) -> Retry {
    match resend {
        wire::Resend::None => Retry::Never,
        wire::Resend::NeverRan => Retry::IfNeverRan,
        wire::Resend::One => Retry::Once,
        wire::Resend::Two => Retry::Twice,
    }
}
