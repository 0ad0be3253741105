//! The state that a relay keeps, and sends to a director that subscribes.

use super::context::Platform;
use coppersail::interface::{HostId, Input, Order, ProxyId, SliceId};
use std::collections::BTreeMap;

/// The answer to a subscription.
const ACCEPTED: &str = "OK";
/// The relay's heartbeat, which also ends the state.
const HEARTBEAT: &str = "*";

/// The proxies that are connected to a relay, and the tables that it stores.
#[derive(Default)]
pub struct RelayTables {
    /// Each proxy as the relay has announced it.
    proxies: BTreeMap<ProxyId, Input>,
    tables: BTreeMap<SliceId, BTreeMap<HostId, f64>>,
}

impl RelayTables {
    /// Applies what the world tells.
    pub fn apply_input(&mut self, input: &Input) {
        match input {
            Input::ProxyJoined { proxy, .. } => {
                self.proxies.insert(*proxy, input.clone());
            }
            Input::ProxyLeft(proxy) => {
                self.proxies.remove(proxy);
            }
            Input::SliceAssigned(slice) => {
                self.tables.insert(*slice, BTreeMap::new());
            }
            Input::SliceRevoked(slice) => {
                self.tables.remove(slice);
            }
            Input::StoredWeight { slice, host, weight } => {
                self.tables.entry(*slice).or_default().insert(*host, *weight);
            }
            _ => {}
        }
    }

    /// Applies a director's orders; those for slices that it does not have are ignored.
    pub fn apply_orders(&mut self, orders: &[Order]) {
        for order in orders {
            match order {
                Order::SetWeight { slice, host, weight } => self.set_weight(*slice, *host, *weight),
                Order::ClearTable(slice) => {
                    if let Some(table) = self.tables.get_mut(slice) {
                        table.clear();
                    }
                }
                _ => {}
            }
        }
    }

    fn set_weight(&mut self, slice: SliceId, host: HostId, weight: f64) {
        let Some(table) = self.tables.get_mut(&slice) else { return };
        if weight > 0.0 {
            table.insert(host, weight);
        } else {
            table.remove(&host);
        }
    }

    /// The lines that answer a subscription: the state, and a heartbeat that ends it.
    pub fn snapshot_lines(&self, platform: &Platform) -> Vec<String> {
        let mut lines = vec![ACCEPTED.to_string()];
        lines.extend(self.proxies.values().filter_map(|joined| platform.relay_update(joined)));
        for (slice, table) in &self.tables {
            lines.extend(platform.relay_update(&Input::SliceAssigned(*slice)));
            for (host, weight) in table {
                let stored = Input::StoredWeight { slice: *slice, host: *host, weight: *weight };
                lines.extend(platform.relay_update(&stored));
            }
        }
        lines.push(HEARTBEAT.to_string());
        lines
    }
}
