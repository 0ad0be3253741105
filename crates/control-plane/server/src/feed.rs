//! The change feed: the endpoints, shard assignments, rollouts and configuration that followers are sent. No
//! I/O.
//!
//! Each value has a version that only increases (revision, number, state, heartbeat sequence), so updates may
//! be merged more than once, in any order and from any member, and the feeds converge. Members follow each
//! other as edge proxies follow them, and forward what was new to them. `feed/updates.rs` builds the updates.
use coppersail_peer_protocol::{AssignmentRow, ConfigDocument, EndpointState, EndpointUpdate, Update};
use coppersail_rollout::{Phase, RolloutState};
use std::collections::{BTreeMap, VecDeque};

mod updates;

/// The number of departures of endpoints that are sent ahead of older changes: as many as a deployment has in
/// a few seconds, and few enough to leave most of an update to other changes.
const MAX_DEPARTURES: usize = 24;

/// A value and the sequence number with which it entered the feed.
#[derive(Debug)]
struct Versioned<T> {
    value: T,
    sequence: u64,
}

/// The owner of one shard; empty for none.
#[derive(Debug, Clone, Default, PartialEq)]
struct ShardOwner {
    endpoint: String,
    /// A later row of the same shard has a higher number.
    number: u64,
    sequence: u64,
}

#[derive(Debug, Default)]
pub(crate) struct ChangeFeed {
    /// Different after each start of the process, because sequence numbers then start again.
    pub(crate) id: u64,
    pub(crate) sequence: u64,
    config: Option<Versioned<ConfigDocument>>,
    endpoints: BTreeMap<String, Versioned<EndpointUpdate>>,
    /// The ids of the endpoints that most recently began to drain or were removed, the latest last.
    departures: VecDeque<String>,
    /// By service, the owner of each shard.
    assignments: BTreeMap<String, Vec<ShardOwner>>,
    rollouts: BTreeMap<String, Versioned<RolloutState>>,
}

impl ChangeFeed {
    pub(crate) fn new(id: u64) -> ChangeFeed {
        ChangeFeed { id, ..ChangeFeed::default() }
    }

    pub(crate) fn config(&self) -> Option<&ConfigDocument> {
        self.config.as_ref().map(|config| &config.value)
    }

    pub(crate) fn revision(&self) -> Option<u64> {
        self.config().map(|config| config.revision)
    }

    pub(crate) fn endpoints(&self) -> impl Iterator<Item = &EndpointUpdate> {
        self.endpoints.values().map(|endpoint| &endpoint.value)
    }

    pub(crate) fn endpoint(&self, id: &str) -> Option<&EndpointUpdate> {
        self.endpoints.get(id).map(|endpoint| &endpoint.value)
    }

    /// Whether any rollout is under way.
    pub(crate) fn has_active_rollout(&self) -> bool {
        self.rollouts.values().any(|rollout| rollout.value.phase != Phase::Ended)
    }

    /// Returns the sequence number of a change that is not kept in the feed itself, so that followers get an
    /// update.
    pub(crate) fn advance(&mut self) -> u64 {
        self.sequence += 1;
        self.sequence
    }

    fn versioned<T>(&mut self, value: T) -> Versioned<T> {
        Versioned { value, sequence: self.advance() }
    }

    /// Puts a committed configuration, unless the feed has the same or a newer revision. Returns whether it
    /// was new.
    pub(crate) fn put_config(&mut self, new: &ConfigDocument) -> bool {
        if self.config().is_some_and(|old| old.revision >= new.revision) {
            return false;
        }
        self.config = Some(self.versioned(new.clone()));
        true
    }

    /// Merges an endpoint. Its state never goes back; of the other fields the later heartbeat wins. Returns
    /// whether followers need an update.
    pub(crate) fn put_endpoint(&mut self, new: &EndpointUpdate) -> bool {
        let merged = match self.endpoint(&new.id) {
            Some(old) => {
                let merged = merge_endpoint(old, new);
                if differs_only_by_heartbeat(old, &merged) {
                    return false;
                }
                merged
            }
            None => new.clone(),
        };
        let previous_state = self.endpoint(&new.id).map_or(EndpointState::Ready, |old| old.state);
        if merged.state > previous_state {
            self.record_departure(&new.id);
        }
        let merged = self.versioned(merged);
        self.endpoints.insert(new.id.clone(), merged);
        true
    }

    /// Records that the drain of an endpoint has been acknowledged.
    pub(crate) fn mark_drain_acknowledged(&mut self, id: &str) {
        if let Some(endpoint) = self.endpoint(id).cloned() {
            self.put_endpoint(&EndpointUpdate { drain_acknowledged: true, ..endpoint });
        }
    }

    fn record_departure(&mut self, id: &str) {
        self.departures.retain(|other| other != id);
        if self.departures.len() == MAX_DEPARTURES {
            self.departures.pop_front();
        }
        self.departures.push_back(id.into());
    }

    /// Drops an endpoint that has been gone for long. Followers get no update.
    pub(crate) fn forget_endpoint(&mut self, id: &str) {
        self.endpoints.remove(id);
    }

    /// Puts the owner of a shard, unless the feed has the same or a higher number for it. Returns whether it
    /// was new.
    pub(crate) fn put_owner(
        &mut self,
        service: &str,
        shard_count: u32,
        shard: u32,
        endpoint: &str,
        number: u64,
    ) -> bool {
        let owners = self.assignments.entry(service.into()).or_default();
        if owners.len() < shard_count as usize {
            owners.resize(shard_count as usize, ShardOwner::default());
        }
        let Some(owner) = owners.get_mut(shard as usize).filter(|owner| owner.number < number) else {
            return false;
        };
        self.sequence += 1;
        *owner = ShardOwner { endpoint: endpoint.into(), number, sequence: self.sequence };
        true
    }

    /// Puts the committed state of a rollout, unless the feed has the same or a newer one. Returns whether it
    /// was new.
    pub(crate) fn put_rollout(&mut self, new: &RolloutState) -> bool {
        if self.rollouts.get(&new.name).is_some_and(|old| old.value.number >= new.number) {
            return false;
        }
        let rollout = self.versioned(new.clone());
        self.rollouts.insert(new.name.clone(), rollout);
        true
    }

    /// Merges an update of another member's feed.
    pub(crate) fn merge(&mut self, update: &Update) {
        if let Some(config) = &update.config {
            self.put_config(config);
        }
        for endpoint in &update.endpoints {
            self.put_endpoint(endpoint);
        }
        for rollout in &update.rollouts {
            self.put_rollout(rollout);
        }
        for table in &update.assignments {
            for AssignmentRow { first, last, owner: endpoint, version: number } in &table.rows {
                for shard in *first..=(*last).min(table.slice_count.saturating_sub(1)) {
                    self.put_owner(&table.service, table.slice_count, shard, endpoint, *number);
                }
            }
        }
    }
}

fn merge_endpoint(old: &EndpointUpdate, new: &EndpointUpdate) -> EndpointUpdate {
    // One heartbeat may reach two members, if the first redirects it to the second. All members have to agree
    // on one of them as the reporter: otherwise each of the two would expect the endpoint's heartbeats, and
    // the first would soon suspect the endpoint.
    let is_same_heartbeat = new.heartbeat_sequence == old.heartbeat_sequence
        && new.reported_by != old.reported_by
        && !new.suspect;
    let old_wins = old.suspect || new.reported_by < old.reported_by;
    let is_late = new.heartbeat_sequence < old.heartbeat_sequence;
    let latest = if is_late || (is_same_heartbeat && old_wins) { old } else { new };
    EndpointUpdate {
        state: old.state.max(new.state),
        drain_acknowledged: old.drain_acknowledged || new.drain_acknowledged,
        ..latest.clone()
    }
}

/// Whether only the heartbeat differs, of which followers need no update.
fn differs_only_by_heartbeat(old: &EndpointUpdate, new: &EndpointUpdate) -> bool {
    let comparable = EndpointUpdate {
        heartbeat_sequence: old.heartbeat_sequence,
        slow_start_ms: old.slow_start_ms,
        ..new.clone()
    };
    comparable == *old
}
