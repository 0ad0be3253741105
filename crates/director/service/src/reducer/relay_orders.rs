//! Encodes orders of the decisions for calls to the relay.

use super::relay_calls::{OrderTarget, RelayOrder};
use super::Reducer;
use coppersail::interface::{HostId, Order, RetryPolicy, RouteId, Scope, SliceId};
use coppersail_protocol::relay;

impl Reducer {
    /// Encodes an order; `None` if it is not for the relay.
    pub(super) fn relay_order(&self, order: Order) -> Option<RelayOrder> {
        match order {
            Order::SetWeight { slice, host, weight } => Some(self.weight_order(slice, host, weight)),
            Order::ClearTable(slice) => {
                let text = relay::Order::ClearTable { slice: slice.0 }.to_text();
                Some(RelayOrder { target: OrderTarget::Clear(slice), weight: 0.0, text })
            }
            Order::SetWithdrawn { host, withdrawn } => Some(self.withdraw_order(host, withdrawn)),
            Order::SetAdmission { scope, routes, level, retry } => {
                Some(self.admit_order(scope, routes, level, retry))
            }
            Order::RequestAcknowledgement { round, include_idle_proxies } => {
                let text =
                    relay::Order::RequestAcknowledgement { round: round.0, include_idle_proxies }.to_text();
                Some(RelayOrder { target: OrderTarget::Round(round), weight: 0.0, text })
            }
            _ => None,
        }
    }

    fn weight_order(&self, slice: SliceId, host: HostId, weight: f64) -> RelayOrder {
        let order = relay::Order::SetWeight { slice: slice.0, host: self.names.host_name(host), weight };
        RelayOrder { target: OrderTarget::Weight(slice, host), weight, text: order.to_text() }
    }

    fn withdraw_order(&self, host: HostId, withdrawn: bool) -> RelayOrder {
        let name = self.names.host_name(host);
        let order = if withdrawn {
            relay::Order::Withdraw { host: name }
        } else {
            relay::Order::Restore { host: name }
        };
        RelayOrder { target: OrderTarget::Withdraw(host), weight: 0.0, text: order.to_text() }
    }

    fn admit_order(&self, scope: Scope, routes: Vec<RouteId>, level: f64, retry: RetryPolicy) -> RelayOrder {
        let slice = match scope {
            Scope::Slice(slice) => Some(slice),
            Scope::AllProxies => None,
        };
        let order = relay::Order::SetAdmission {
            slice: slice.map(|slice| slice.0),
            routes: routes.iter().map(|route| self.names.route_name(*route)).collect(),
            level,
            retry: wire_retry(retry),
        };
        let text = order.to_text();
        RelayOrder { target: OrderTarget::Admit(slice, routes), weight: 0.0, text }
    }
}

fn wire_retry(retry: RetryPolicy) -> relay::RetryPolicy {
    match retry {
        RetryPolicy::Never => relay::RetryPolicy::Never,
        RetryPolicy::IfNotExecuted => relay::RetryPolicy::IfNotExecuted,
        RetryPolicy::Once => relay::RetryPolicy::Once,
        RetryPolicy::Twice => relay::RetryPolicy::Twice,
    }
}
