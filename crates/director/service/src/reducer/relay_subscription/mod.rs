//! The subscription to the relay's updates, on two streams: one leads, the other stands by with the same knowledge, so
//! that a break of the first costs nothing. What the leading stream tells goes to the decisions as inputs.

mod state;
mod updates;

pub(super) use state::{RelayState, RelayUpdate};

use super::effect::Effect;
use super::ids::LinkId;
use super::outbox::Outbox;
use coppersail::interface::{HostId, Input, RelayCallEvent, SliceId};
use coppersail_protocol::relay::WATCH_REQUEST;
use state::{same_weights, ProxyState, SliceState, Weights};
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// A keep-alive comes each second; a stream that is silent for so long is given up.
const IDLE_TIMEOUT_S: f64 = 1.7;
/// The timeout is looked at so much later, so that it is certainly over.
const TIMER_MARGIN_S: f64 = 1e-3;
/// Between connections that came to nothing.
const RECONNECT_DELAY_S: f64 = 0.2;
/// One that leads and one that stands by; the relay accepts 32 of them.
const MAX_STREAMS: usize = 2;
/// Two streams tell the same update within this time.
const MAX_STREAM_SKEW_S: f64 = 0.5;

struct UpdateStream {
    link: LinkId,
    address: SocketAddr,
    is_connected: bool,
    last_activity: f64,
    /// The snapshot at its start is complete.
    is_synchronized: bool,
    state: RelayState,
    /// Slices that were held before and stand in the snapshot: to be compared once it is complete.
    to_compare: BTreeSet<SliceId>,
}

/// The streams of updates, and what the decisions know by them.
pub(super) struct RelaySubscription {
    /// The relay's current address; streams elsewhere serve until one here is synchronized.
    address: SocketAddr,
    /// The first one leads.
    streams: Vec<UpdateStream>,
    /// What the decisions have been told, and the weights that the relay has accepted from this director.
    pub(super) reported: RelayState,
    /// Slices whose weights are in a call that is not acknowledged: their tables may be old or new.
    pub(super) slices_in_flight: BTreeSet<SliceId>,
    connect_at: f64,
    /// An outage was logged, and no stream was synchronized since.
    outage_logged: bool,
}

impl RelaySubscription {
    pub(super) fn new(address: SocketAddr) -> Self {
        RelaySubscription {
            address,
            streams: Vec::new(),
            reported: RelayState::default(),
            slices_in_flight: BTreeSet::new(),
            connect_at: 0.0,
            outage_logged: false,
        }
    }

    /// The relay has another address from now on. Streams that are synchronized serve until one there is.
    pub(super) fn set_address(&mut self, now: f64, address: SocketAddr, outbox: &mut Outbox) {
        if self.address == address {
            return;
        }
        self.address = address;
        self.connect_at = now;
        self.close_streams(|stream| stream.address != address && !stream.is_synchronized, outbox);
    }

    /// The only place where streams are closed.
    fn close_streams(&mut self, is_closed: impl Fn(&UpdateStream) -> bool, outbox: &mut Outbox) {
        for stream in self.streams.iter().filter(|stream| is_closed(stream)) {
            outbox.effects.push(Effect::CloseRelay(stream.link));
        }
        self.streams.retain(|stream| !is_closed(stream));
    }

    /// Whether another stream to the relay's address may be opened. The second one waits until the first is
    /// synchronized, so that the snapshot is not sent twice at a time.
    fn may_open_stream(&self) -> bool {
        let here = || self.streams.iter().filter(|stream| stream.address == self.address);
        here().count() < MAX_STREAMS && here().all(|stream| stream.is_synchronized)
    }

    pub(super) fn owns(&self, link: LinkId) -> bool {
        self.position(link).is_some()
    }

    fn position(&self, link: LinkId) -> Option<usize> {
        self.streams.iter().position(|stream| stream.link == link)
    }

    /// Gives up silent streams, and opens one that is missing.
    pub(super) fn poll(&mut self, now: f64, outbox: &mut Outbox) {
        let timed_out: Vec<LinkId> = self
            .streams
            .iter()
            .filter(|stream| now - stream.last_activity > IDLE_TIMEOUT_S)
            .map(|stream| stream.link)
            .collect();
        for link in timed_out {
            self.connection_down(now, link, "silent", outbox);
        }
        if self.may_open_stream() && now >= self.connect_at {
            let link = outbox.allocate_link();
            self.streams.push(UpdateStream {
                link,
                address: self.address,
                is_connected: false,
                last_activity: now,
                is_synchronized: false,
                state: RelayState::default(),
                to_compare: BTreeSet::new(),
            });
            outbox.effects.push(Effect::ConnectRelay(link, self.address));
        }
    }

    /// A connection is established: subscribes on it.
    pub(super) fn connected(&mut self, now: f64, link: LinkId, outbox: &mut Outbox) {
        outbox.counters.news_opened += 1;
        outbox.effects.push(Effect::SendToRelay(link, WATCH_REQUEST.to_vec()));
        if let Some(index) = self.position(link) {
            self.streams[index].is_connected = true;
            self.streams[index].last_activity = now;
        }
    }

    /// A stream has ended, could not be established, or is given up.
    pub(super) fn connection_down(&mut self, now: f64, link: LinkId, reason: &str, outbox: &mut Outbox) {
        let Some(index) = self.position(link) else { return };
        let was_synchronized = self.streams[index].is_synchronized;
        if self.streams[index].is_connected {
            outbox.counters.news_lost += 1;
        }
        self.close_streams(|stream| stream.link == link, outbox);
        // One log line for an outage, however often the relay is dialled in vain.
        if !std::mem::replace(&mut self.outage_logged, true) {
            outbox.warn(format!("relay: news lost, {reason}"));
        }
        // A relay that accepts connections only to reset them must not be dialled in a tight loop.
        if !was_synchronized {
            self.connect_at = now + RECONNECT_DELAY_S;
        }
        if index == 0 {
            // The next stream may have told already of receipts that this one would have told next.
            outbox.inputs.push(Input::RelayCall(RelayCallEvent::AcknowledgementsLost));
            self.promote_first(now, outbox);
        }
    }

    /// The first stream leads from now on: reports what only it has told.
    fn promote_first(&mut self, now: f64, outbox: &mut Outbox) {
        let Some(stream) = self.streams.first_mut() else { return };
        let reported = &mut self.reported;
        for (proxy, told) in &stream.state.proxies {
            let known = reported.proxies.get(proxy);
            if known.is_none_or(|known| told.joined_at > known.joined_at + MAX_STREAM_SKEW_S) {
                let input = told.input.clone();
                reported.proxies.insert(*proxy, ProxyState { joined_at: now, input: input.clone() });
                outbox.inputs.push(input);
            }
        }
        for (slice, told) in &stream.state.slices {
            let known = reported.slices.get(slice);
            if known.is_none_or(|known| told.assigned_at > known.assigned_at + MAX_STREAM_SKEW_S) {
                stream.to_compare.insert(*slice);
            }
        }
        if stream.is_synchronized {
            self.reconcile(now, outbox);
        }
    }

    /// The leading stream is synchronized: what is not in its state is gone, and slices that were changed elsewhere
    /// are reported as assigned anew.
    fn reconcile(&mut self, now: f64, outbox: &mut Outbox) {
        let Some(stream) = self.streams.first_mut() else { return };
        let state = &stream.state;
        let reported = &mut self.reported;
        reported.proxies.retain(|proxy, _| {
            let is_joined = state.proxies.contains_key(proxy);
            if !is_joined {
                outbox.inputs.push(Input::ProxyLeft(*proxy));
            }
            is_joined
        });
        reported.slices.retain(|slice, _| {
            let is_assigned = state.slices.contains_key(slice);
            if !is_assigned {
                outbox.inputs.push(Input::SliceRevoked(*slice));
            }
            is_assigned
        });
        for slice in std::mem::take(&mut stream.to_compare) {
            let Some(SliceState { weights, .. }) = state.slices.get(&slice) else { continue };
            let is_in_flight = self.slices_in_flight.contains(&slice);
            let is_unchanged = |held: &SliceState| is_in_flight || same_weights(&held.weights, weights);
            if reported.slices.get(&slice).is_some_and(is_unchanged) {
                continue;
            }
            outbox.inputs.push(Input::SliceAssigned(slice));
            for (host, weight) in weights {
                outbox.inputs.push(weight_input(slice, *host, *weight));
            }
            reported.slices.insert(slice, SliceState { assigned_at: now, weights: weights.clone() });
        }
    }

    /// The relay has accepted this weight: so it stands, whether or not a snapshot has told it.
    pub(super) fn weight_written(&mut self, slice: SliceId, host: HostId, weight: f64) {
        for weights in self.tables(slice) {
            if weight > 0.0 {
                weights.insert(host, weight);
            } else {
                weights.remove(&host);
            }
        }
    }

    /// The relay has cleared the slice's table.
    pub(super) fn weights_cleared(&mut self, slice: SliceId) {
        for weights in self.tables(slice) {
            weights.clear();
        }
    }

    /// The slice's table in each state that knows it.
    fn tables(&mut self, slice: SliceId) -> impl Iterator<Item = &mut Weights> {
        let states = self.streams.iter_mut().map(|stream| &mut stream.state).chain([&mut self.reported]);
        states.filter_map(move |state| Some(&mut state.slices.get_mut(&slice)?.weights))
    }

    /// Whether a table names the host, as far as it was told.
    pub(super) fn mentions(&self, host: HostId) -> bool {
        let states = self.streams.iter().map(|stream| &stream.state).chain([&self.reported]);
        states.flat_map(|state| state.slices.values()).any(|slice| slice.weights.contains_key(&host))
    }

    /// The relay's state is known, and updates come in.
    pub(super) fn is_synchronized(&self) -> bool {
        self.streams.first().is_some_and(|stream| stream.is_synchronized)
    }

    /// The inputs that have told the decisions of the proxies that are joined now.
    pub(super) fn joined_proxies(&self) -> impl Iterator<Item = &Input> {
        self.reported.proxies.values().map(|proxy| &proxy.input)
    }

    /// When a slice was assigned, as far as the decisions know.
    pub(super) fn assigned_at(&self, slice: SliceId) -> Option<f64> {
        self.reported.slices.get(&slice).map(|slice| slice.assigned_at)
    }

    /// When `poll` may have something to do by itself; infinity if never.
    pub(super) fn next_timeout(&self) -> f64 {
        let connect = if self.may_open_stream() { self.connect_at } else { f64::INFINITY };
        let idle = self.streams.iter().map(|stream| stream.last_activity + IDLE_TIMEOUT_S + TIMER_MARGIN_S);
        idle.fold(connect, f64::min)
    }
}

/// Tells the decisions of a weight that stands at the relay.
pub(super) fn weight_input(slice: SliceId, host: HostId, weight: f64) -> Input {
    Input::StoredWeight { slice, host, weight }
}
