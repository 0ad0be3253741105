//! Orders of the decisions in the form that the relay takes.

use super::relay_calls::{OrderTarget, RelayOrder};
use super::Reducer;
use coppersail::interface::{HostId, Order, Retry, RouteId, Scope, SliceId};
use coppersail_protocol::relay;

impl Reducer {
    /// The order as it stands in a call; none if it is not for the relay.
    pub(super) fn relay_order(&self, order: Order) -> Option<RelayOrder> {
        match order {
            Order::Line { slice, host, weight } => Some(self.weight_order(slice, host, weight)),
            Order::Clear(slice) => {
                let text = relay::Order::Clear { slice: slice.0 }.text();
                Some(RelayOrder { target: OrderTarget::Clear(slice), weight: 0.0, text })
            }
            Order::Withdraw { host, out } => Some(self.withdraw_order(host, out)),
            Order::Admit { scope, routes, level, retry } => {
                Some(self.admit_order(scope, routes, level, retry))
            }
            Order::Mark { mark, all } => {
                let text = relay::Order::Mark { mark: mark.0, all }.text();
                Some(RelayOrder { target: OrderTarget::Mark(mark), weight: 0.0, text })
            }
            _ => None,
        }
    }

    fn weight_order(&self, slice: SliceId, host: HostId, weight: f64) -> RelayOrder {
        let order = relay::Order::Line { slice: slice.0, host: self.names.host_name(host), weight };
        RelayOrder { target: OrderTarget::Weight(slice, host), weight, text: order.text() }
    }

    fn withdraw_order(&self, host: HostId, out: bool) -> RelayOrder {
        let name = self.names.host_name(host);
        let order = if out { relay::Order::Out { host: name } } else { relay::Order::In { host: name } };
        RelayOrder { target: OrderTarget::Withdraw(host), weight: 0.0, text: order.text() }
    }

    fn admit_order(&self, scope: Scope, routes: Vec<RouteId>, level: f64, retry: Retry) -> RelayOrder {
        let slice = match scope {
            Scope::Slice(slice) => Some(slice),
            Scope::Everywhere => None,
        };
        let order = relay::Order::Admit {
            slice: slice.map(|slice| slice.0),
            routes: routes.iter().map(|route| self.names.route_name(*route)).collect(),
            level,
            again: wire_retry(retry),
        };
        let text = order.text();
        RelayOrder { target: OrderTarget::Admit(slice, routes), weight: 0.0, text }
    }
}

fn wire_retry(retry: Retry) -> relay::Again {
    match retry {
        Retry::Never => relay::Again::Never,
        Retry::IfNeverRan => relay::Again::IfNeverRan,
        Retry::Once => relay::Again::Once,
        Retry::Twice => relay::Again::Twice,
    }
}
