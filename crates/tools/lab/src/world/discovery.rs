//! Service discovery: the endpoint list, of which directors hear with a delay.

use super::host::LifecycleState;
use super::state::{Jitter, World};
use coppersail::interface::{
    CellId, HostId, HostListEntry, HostState, Input, ListScope, MachineTypeId, ZoneId,
};

/// Of the delay with which a change is heard.
const DELAY_JITTER: Jitter = Jitter { least: 0.8, spread: 0.4 };

impl World {
    /// The entry of a host in the list.
    fn endpoint_entry(&self, index: u32) -> HostListEntry {
        let host = &self.hosts[index as usize];
        let state = match host.state {
            LifecycleState::Ready => HostState::Ready,
            LifecycleState::Draining => HostState::Draining,
            LifecycleState::Gone => HostState::Removed,
        };
        HostListEntry {
            host: HostId(index),
            state,
            // Those that ran before the beginning have no known start.
            started_at: (host.started_at >= 0.0).then_some(host.started_at),
            weight: 1.0,
            zone: ZoneId(host.zone),
            cell: CellId(0),
            machine_type: MachineTypeId(0),
        }
    }

    /// The whole list, as a director has stored it when it starts.
    pub(super) fn stored_endpoints(&self) -> Input {
        let hosts = 0..self.hosts.len() as u32;
        let listed = hosts.filter(|host| self.hosts[*host as usize].state != LifecycleState::Gone);
        let entries = listed.map(|host| self.endpoint_entry(host)).collect();
        Input::HostListUpdate {
            scope: ListScope::CachedSnapshot,
            version: self.endpoint_list_version,
            entries,
        }
    }

    /// The entries of these hosts have changed; directors hear of it later.
    pub(super) fn publish_hosts(&mut self, hosts: &[u32]) {
        self.endpoint_list_version += 1;
        let version = self.endpoint_list_version;
        let entries: Vec<HostListEntry> = hosts.iter().map(|host| self.endpoint_entry(*host)).collect();
        for director in 0..self.directors.len() as u16 {
            let delay = self.jittered(self.discovery_delay, DELAY_JITTER);
            let entries = entries.clone();
            let update = Input::HostListUpdate { scope: ListScope::Delta, version, entries };
            self.send_inputs(director, delay, vec![update]);
        }
    }
}
