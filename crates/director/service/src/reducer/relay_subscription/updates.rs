//! Applies an update to the state of its stream and, if that is the primary stream, reports it to the decisions.

use super::state::{ProxyState, RelayUpdate, SliceState};
use super::{weight_input, RelaySubscription};
use crate::reducer::ids::LinkId;
use crate::reducer::outbox::Outbox;
use coppersail::interface::{HostId, Input, ProxyId, SliceId};

impl RelaySubscription {
    /// Applies one update of a stream.
    pub(crate) fn apply(&mut self, now: f64, link: LinkId, update: RelayUpdate, outbox: &mut Outbox) {
        let Some(index) = self.position(link) else { return };
        let is_primary = index == 0;
        self.streams[index].last_activity = now;
        match update {
            RelayUpdate::SnapshotStart => {}
            RelayUpdate::KeepAlive => self.keep_alive(now, index, outbox),
            RelayUpdate::ProxyJoined { proxy, zone, requests_per_s, without_tables } => {
                let input = Input::ProxyJoined { proxy, zone, requests_per_s, without_tables };
                self.proxy_joined(now, index, proxy, input, outbox);
            }
            RelayUpdate::ProxyLeft(proxy) => {
                self.streams[index].state.proxies.remove(&proxy);
                if is_primary && self.reported.proxies.remove(&proxy).is_some() {
                    outbox.inputs.push(Input::ProxyLeft(proxy));
                }
            }
            RelayUpdate::RoundAcknowledged { proxy, round, latency } => {
                if is_primary && self.reported.proxies.contains_key(&proxy) {
                    outbox.inputs.push(Input::RoundAcknowledged { proxy, round, latency });
                }
            }
            RelayUpdate::SliceAssigned(slice) => self.slice_assigned(now, index, slice, outbox),
            RelayUpdate::SliceRevoked(slice) => {
                self.streams[index].state.slices.remove(&slice);
                self.streams[index].to_compare.remove(&slice);
                if is_primary && self.reported.slices.remove(&slice).is_some() {
                    outbox.inputs.push(Input::SliceRevoked(slice));
                }
            }
            RelayUpdate::WeightStored { slice, host, weight } => {
                self.weight_stored(index, slice, host, weight, outbox);
            }
        }
    }

    /// The first keep-alive of a stream completes its snapshot.
    fn keep_alive(&mut self, now: f64, index: usize, outbox: &mut Outbox) {
        let stream = &mut self.streams[index];
        if stream.is_synchronized {
            return;
        }
        stream.is_synchronized = true;
        let proxies = stream.state.proxies.len();
        let slices = stream.state.slices.len();
        let is_at_address = stream.address == self.address;
        outbox.info(format!("relay: update stream open, {proxies} proxies, {slices} slices"));
        self.outage_logged = false;
        if index == 0 {
            self.reconcile(now, outbox);
        } else if is_at_address && self.streams[0].address != self.address {
            // The first synchronized stream to the relay's new address replaces those to the old one.
            let address = self.address;
            self.close_streams(|stream| stream.address != address, outbox);
            self.promote_first(now, outbox);
        }
    }

    fn proxy_joined(&mut self, now: f64, index: usize, proxy: ProxyId, input: Input, outbox: &mut Outbox) {
        let stream = &mut self.streams[index];
        let is_primary = index == 0;
        // A known proxy in the snapshot of a standby stream has not joined again.
        let known = self.reported.proxies.get(&proxy).filter(|_| !stream.is_synchronized && !is_primary);
        let joined_at = known.map_or(now, |known| known.joined_at);
        stream.state.proxies.insert(proxy, ProxyState { joined_at, input: input.clone() });
        if is_primary {
            self.reported.proxies.insert(proxy, ProxyState { joined_at: now, input: input.clone() });
            outbox.inputs.push(input);
        }
    }

    fn slice_assigned(&mut self, now: f64, index: usize, slice: SliceId, outbox: &mut Outbox) {
        let stream = &mut self.streams[index];
        stream.state.slices.insert(slice, SliceState::assigned(now));
        if index != 0 {
            return;
        }
        if !stream.is_synchronized && self.reported.slices.contains_key(&slice) {
            stream.to_compare.insert(slice);
        } else {
            self.reported.slices.insert(slice, SliceState::assigned(now));
            outbox.inputs.push(Input::SliceAssigned(slice));
        }
    }

    fn weight_stored(
        &mut self,
        index: usize,
        slice: SliceId,
        host: HostId,
        weight: f64,
        outbox: &mut Outbox,
    ) {
        let stream = &mut self.streams[index];
        if let Some(state) = stream.state.slices.get_mut(&slice) {
            state.weights.insert(host, weight);
        }
        if index != 0 || stream.to_compare.contains(&slice) {
            return;
        }
        if let Some(state) = self.reported.slices.get_mut(&slice) {
            // A weight that is already known must not be reported twice.
            if state.weights.insert(host, weight).is_none() {
                outbox.inputs.push(weight_input(slice, host, weight));
            }
        }
    }
}
