//! The relay's protocol: updates to a director, and the calls by which it orders.

use super::context::{host_id, host_name, Platform};
use coppersail::interface::{Input, Order, RetryPolicy, RoundId, RouteId, Scope, SliceId};

/// Before the orders of a call.
const CALL_PREFIX: &str = "txn ";
/// Between the orders of a call.
const ORDER_SEPARATOR: char = ';';
/// Between the fields of an order.
const FIELD_SEPARATOR: char = ',';
/// Between the routes of an order.
const ROUTE_SEPARATOR: char = '+';
/// Stands for all slices or all routes.
const ALL: &str = "*";
/// Milliseconds in a second.
const MS_PER_SECOND: f64 = 1e3;

/// A line to the relay that carries no orders, with what was found.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// The line does not begin with `txn `.
    #[error("no call: {0}")]
    NotACall(String),
    /// A part between semicolons is no order, or names a route that there is not.
    #[error("no order: {0}")]
    NotAnOrder(String),
}

impl Platform {
    /// The line by which the relay tells of an input; none if it does not.
    pub fn relay_update(&self, input: &Input) -> Option<String> {
        let line = match input {
            Input::ProxyJoined { proxy, zone, requests_per_s: calls_per_s, without_tables: fresh } => {
                format!("* hello {} {} {calls_per_s} {}", proxy.0, self.zone(*zone), u8::from(*fresh))
            }
            Input::ProxyLeft(proxy) => format!("* bye {}", proxy.0),
            Input::RoundAcknowledged { proxy, round: mark, latency: took } => {
                format!("* ack {} {} {}", proxy.0, mark.0, took * MS_PER_SECOND)
            }
            Input::SliceAssigned(slice) => format!("* lease {} 1", slice.0),
            Input::SliceRevoked(slice) => format!("* lease {} 0", slice.0),
            Input::StoredWeight { slice, host, weight } => {
                format!("* line {} {} {weight}", slice.0, host_name(*host))
            }
            _ => return None,
        };
        Some(line)
    }

    /// The orders of a call, `txn ...`.
    ///
    /// # Errors
    /// [`CallError`]: the line is no call, or a part of it is no order.
    pub fn orders(&self, call: &str) -> Result<Vec<Order>, CallError> {
        let Some(texts) = call.strip_prefix(CALL_PREFIX) else {
            return Err(CallError::NotACall(call.to_string()));
        };
        let mut orders = Vec::new();
        for text in texts.split(ORDER_SEPARATOR) {
            let order = self.parse_order(text);
            orders.push(order.ok_or_else(|| CallError::NotAnOrder(text.to_string()))?);
        }
        Ok(orders)
    }

    fn parse_order(&self, text: &str) -> Option<Order> {
        let fields: Vec<&str> = text.split(FIELD_SEPARATOR).collect();
        let order = match fields[..] {
            ["SET", slice, host, weight] => Order::SetWeight {
                slice: parse_slice(slice)?,
                host: host_id(host)?,
                weight: weight.parse().ok()?,
            },
            ["DEL", slice] => Order::ClearTable(parse_slice(slice)?),
            ["OUT", host] => Order::SetWithdrawn { host: host_id(host)?, withdrawn: true },
            ["IN", host] => Order::SetWithdrawn { host: host_id(host)?, withdrawn: false },
            ["LIMIT", scope, routes, level, retry] => Order::SetAdmission {
                scope: parse_scope(scope)?,
                routes: self.parse_routes(routes)?,
                level: level.parse().ok()?,
                retry: parse_retry(retry)?,
            },
            ["SYNC", mark, all] => Order::RequestAcknowledgement {
                round: RoundId(mark.parse().ok()?),
                include_idle_proxies: all == "1",
            },
            _ => return None,
        };
        Some(order)
    }

    /// Routes by name; an order has none if it is for all.
    fn parse_routes(&self, text: &str) -> Option<Vec<RouteId>> {
        if text == ALL {
            return Some(vec![]);
        }
        text.split(ROUTE_SEPARATOR).map(|name| self.parse_route(name)).collect()
    }

    fn parse_route(&self, name: &str) -> Option<RouteId> {
        let index = self.routes.iter().position(|known| known == name)?;
        Some(RouteId(index as u16))
    }
}

fn parse_slice(text: &str) -> Option<SliceId> {
    text.parse().ok().map(SliceId)
}

fn parse_scope(text: &str) -> Option<Scope> {
    if text == ALL {
        return Some(Scope::AllProxies);
    }
    parse_slice(text).map(Scope::Slice)
}

fn parse_retry(text: &str) -> Option<RetryPolicy> {
    match text {
        "0" => Some(RetryPolicy::Never),
        "1" => Some(RetryPolicy::IfNotExecuted),
        "2" => Some(RetryPolicy::Once),
        "3" => Some(RetryPolicy::Twice),
        _ => None,
    }
}
