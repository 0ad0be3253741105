//! The subscription to the relay's updates on two streams, a primary and a standby. The updates of the primary stream
//! become inputs of the decisions. The standby tracks the same state, so that no update is lost if the primary
//! breaks.

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

/// A stream without a line for this long is closed; the relay sends a keep-alive every second.
const IDLE_TIMEOUT_S: f64 = 1.7;
/// Added to the time of the wake-up for a timeout, so that the timeout has certainly passed by then.
const TIMER_MARGIN_S: f64 = 1e-3;
/// Delay before connecting again after a stream that was never synchronized.
const RECONNECT_DELAY_S: f64 = 0.2;
/// A primary and a standby; the relay accepts 32 of them.
const MAX_STREAMS: usize = 2;
/// Maximum time between the arrivals of the same update on two streams.
const MAX_STREAM_SKEW_S: f64 = 0.5;

struct UpdateStream {
    link: LinkId,
    address: SocketAddr,
    is_connected: bool,
    last_activity: f64,
    /// The initial snapshot is complete.
    is_synchronized: bool,
    state: RelayState,
    /// Slices of the snapshot that were already assigned to this director; their tables are compared with the known
    /// ones once the snapshot is complete.
    to_compare: BTreeSet<SliceId>,
}

/// The update streams, and the state that was reported to the decisions.
pub(super) struct RelaySubscription {
    /// The relay's current address. Streams to old addresses stay in use until one to this address is synchronized.
    address: SocketAddr,
    /// The first one is the primary.
    streams: Vec<UpdateStream>,
    /// The state that was reported to the decisions, with the weights that the relay has accepted from this director.
    pub(super) reported: RelayState,
    /// Slices whose tables an unacknowledged call changes: the relay may have the old or the new tables.
    pub(super) slices_in_flight: BTreeSet<SliceId>,
    connect_at: f64,
    /// An outage was logged, and no stream has been synchronized since.
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

    /// Sets a new address of the relay. Synchronized streams stay in use until one to the new address is
    /// synchronized.
    pub(super) fn set_address(&mut self, now: f64, address: SocketAddr, outbox: &mut Outbox) {
        if self.address == address {
            return;
        }
        self.address = address;
        self.connect_at = now;
        self.close_streams(|stream| stream.address != address && !stream.is_synchronized, outbox);
    }

    /// Closes the selected streams; no other function closes any.
    fn close_streams(&mut self, is_closed: impl Fn(&UpdateStream) -> bool, outbox: &mut Outbox) {
        for stream in self.streams.iter().filter(|stream| is_closed(stream)) {
            outbox.effects.push(Effect::CloseRelay(stream.link));
        }
        self.streams.retain(|stream| !is_closed(stream));
    }

    /// Whether another stream to the relay's address may be opened. The second one waits until the first is
    /// synchronized, so that the relay does not send two snapshots at the same time.
    fn may_open_stream(&self) -> bool {
        let at_address = || self.streams.iter().filter(|stream| stream.address == self.address);
        at_address().count() < MAX_STREAMS && at_address().all(|stream| stream.is_synchronized)
    }

    pub(super) fn owns(&self, link: LinkId) -> bool {
        self.position(link).is_some()
    }

    fn position(&self, link: LinkId) -> Option<usize> {
        self.streams.iter().position(|stream| stream.link == link)
    }

    /// Closes streams that have timed out, and opens a missing one.
    pub(super) fn poll(&mut self, now: f64, outbox: &mut Outbox) {
        let timed_out: Vec<LinkId> = self
            .streams
            .iter()
            .filter(|stream| now - stream.last_activity > IDLE_TIMEOUT_S)
            .map(|stream| stream.link)
            .collect();
        for link in timed_out {
            self.connection_down(now, link, "no line within the timeout", outbox);
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

    /// A stream has ended, could not be established, or is to be closed.
    pub(super) fn connection_down(&mut self, now: f64, link: LinkId, reason: &str, outbox: &mut Outbox) {
        let Some(index) = self.position(link) else { return };
        let was_synchronized = self.streams[index].is_synchronized;
        if self.streams[index].is_connected {
            outbox.counters.news_lost += 1;
        }
        self.close_streams(|stream| stream.link == link, outbox);
        // Only one log line per outage, however often connecting fails.
        if !std::mem::replace(&mut self.outage_logged, true) {
            outbox.warn(format!("relay: update stream lost: {reason}"));
        }
        // A relay that accepts connections only to reset them must not be dialled in a tight loop.
        if !was_synchronized {
            self.connect_at = now + RECONNECT_DELAY_S;
        }
        if index == 0 {
            // The other stream may already have received acknowledgements that this one had not; they were ignored
            // there.
            outbox.inputs.push(Input::RelayCall(RelayCallEvent::AcknowledgementsLost));
            self.promote_first(now, outbox);
        }
    }

    /// The first stream becomes the primary: reports what the previous primary has not.
    fn promote_first(&mut self, now: f64, outbox: &mut Outbox) {
        let Some(stream) = self.streams.first_mut() else { return };
        let reported = &mut self.reported;
        for (proxy, announced) in &stream.state.proxies {
            let known = reported.proxies.get(proxy);
            if known.is_none_or(|known| announced.joined_at > known.joined_at + MAX_STREAM_SKEW_S) {
                let input = announced.input.clone();
                reported.proxies.insert(*proxy, ProxyState { joined_at: now, input: input.clone() });
                outbox.inputs.push(input);
            }
        }
        for (slice, announced) in &stream.state.slices {
            let known = reported.slices.get(slice);
            if known.is_none_or(|known| announced.assigned_at > known.assigned_at + MAX_STREAM_SKEW_S) {
                stream.to_compare.insert(*slice);
            }
        }
        if stream.is_synchronized {
            self.reconcile(now, outbox);
        }
    }

    /// The primary stream is synchronized: reports proxies and slices that are missing in its state as gone, and
    /// slices whose tables were changed by somebody else as newly assigned.
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

    /// The relay has accepted this weight, so it is in the table even if a snapshot does not contain it.
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

    /// The slice's table in each state that contains the slice.
    fn tables(&mut self, slice: SliceId) -> impl Iterator<Item = &mut Weights> {
        let states = self.streams.iter_mut().map(|stream| &mut stream.state).chain([&mut self.reported]);
        states.filter_map(move |state| Some(&mut state.slices.get_mut(&slice)?.weights))
    }

    /// Whether a known table names the host.
    pub(super) fn mentions(&self, host: HostId) -> bool {
        let states = self.streams.iter().map(|stream| &stream.state).chain([&self.reported]);
        states.flat_map(|state| state.slices.values()).any(|slice| slice.weights.contains_key(&host))
    }

    /// Whether the relay's state is known and updates are received.
    pub(super) fn is_synchronized(&self) -> bool {
        self.streams.first().is_some_and(|stream| stream.is_synchronized)
    }

    /// The `ProxyJoined` inputs of the proxies that are joined now.
    pub(super) fn joined_proxies(&self) -> impl Iterator<Item = &Input> {
        self.reported.proxies.values().map(|proxy| &proxy.input)
    }

    /// When a slice was assigned, according to what was reported to the decisions.
    pub(super) fn assigned_at(&self, slice: SliceId) -> Option<f64> {
        self.reported.slices.get(&slice).map(|slice| slice.assigned_at)
    }

    /// When `poll` next has something to do without a further event; infinity if never.
    pub(super) fn next_timeout(&self) -> f64 {
        let connect = if self.may_open_stream() { self.connect_at } else { f64::INFINITY };
        let idle = self.streams.iter().map(|stream| stream.last_activity + IDLE_TIMEOUT_S + TIMER_MARGIN_S);
        idle.fold(connect, f64::min)
    }
}

/// Tells the decisions of a weight in a table of the relay.
pub(super) fn weight_input(slice: SliceId, host: HostId, weight: f64) -> Input {
    Input::StoredWeight { slice, host, weight }
}
