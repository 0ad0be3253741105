//! A director: its actors, and the state that they share.

use super::{AdmissionControl, Channel, DiscoveryWatch, Host, Tables};
use crate::interface::{HostId, Settings};
use crate::parameters::Parameters;
use crate::random::Random;
use std::collections::BTreeMap;

/// One instance of the decision logic. It reads no clock, does no I/O, and is deterministic: the same inputs give the
/// same orders.
///
/// Created by [`Director::new`]. [`Director::handle`] is then called with every batch of inputs, and sets its own
/// timers by [`Order::SetTimer`](crate::interface::Order::SetTimer).
pub struct Director {
    pub(crate) params: Parameters,
    pub(crate) random: Random,
    pub(crate) hosts: BTreeMap<HostId, Host>,
    pub(crate) tables: Tables,
    pub(crate) admission_control: AdmissionControl,
    pub(crate) channel: Channel,
    pub(crate) discovery_watch: DiscoveryWatch,
    /// Version of the host list that was used last.
    pub(crate) list_version: Option<u64>,
    /// Number of list entries read so far, which gives each entry its position.
    pub(crate) entries_read: u64,
    pub(crate) next_tick_at: f64,
}

impl Director {
    /// A director that knows only its settings. `seed` determines when hosts are first probed.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let params = Parameters::new(&settings);
        let route_count = params.route_values.len();
        Director {
            params,
            random: Random::new(seed),
            hosts: BTreeMap::new(),
            tables: Tables::default(),
            admission_control: AdmissionControl::new(route_count),
            channel: Channel::default(),
            discovery_watch: DiscoveryWatch::default(),
            list_version: None,
            entries_read: 0,
            next_tick_at: f64::NEG_INFINITY,
        }
    }
}
