//! Builds the updates for followers, in parts of at most the length that they ask for.
//!
//! A part has the oldest changes that a follower lacks, so that its sequence number acknowledges all changes
//! up to it, and a failed poll costs only one part. Two kinds of changes are sent out of order: the
//! configuration comes with the first answer to a follower that does not have it, and the latest departures
//! of endpoints come with every part up to the one that they belong to. An edge without the new configuration
//! serves what is no longer allowed; an edge without the departures sends requests to endpoints that shut
//! down.
use super::{ChangeFeed, ShardOwner, Versioned};
use crate::followers::{AnswerOptions, FeedPosition};
use coppersail_peer_protocol::{AssignmentRow, AssignmentUpdate, ConfigDocument, EndpointUpdate, Update};

/// The size of an update without its changes, in bytes of JSON; the addresses of members are included.
const ENVELOPE_BYTES: usize = 1024;
/// The size of an endpoint without its texts, in bytes of JSON.
const ENDPOINT_BYTES: usize = 210;
/// The size of an assignment without the name of its service and its rows, in bytes of JSON.
const ASSIGNMENT_BYTES: usize = 50;
/// The size of a row of an assignment without the id of its owner, in bytes of JSON.
const ROW_BYTES: usize = 40;

/// A change that a follower lacks.
struct Change {
    sequence: u64,
    /// The most that it adds to the length of the update.
    bytes: usize,
}

impl ChangeFeed {
    /// The update for a follower at this position; a snapshot if the position is in another feed or in none.
    pub(crate) fn updates_since(&self, position: FeedPosition, options: AnswerOptions) -> Update {
        let is_snapshot = position.feed_id != self.id || position.sequence > self.sequence;
        let since = if is_snapshot { 0 } else { position.sequence };
        let config = self.config_for(since, options.known_revision);
        let end = match options.max_bytes {
            Some(max_bytes) => self.end_of_part(since, max_bytes as usize, config),
            None => self.sequence,
        };
        let is_due = |sequence: u64| since < sequence && sequence <= end;
        let endpoints = self.endpoints.values().filter(|endpoint| is_due(endpoint.sequence));
        let endpoints = endpoints.chain(self.departures_after(end));
        let rollouts = self.rollouts.values().filter(|rollout| is_due(rollout.sequence));
        Update {
            feed_id: self.id,
            sequence: end,
            is_snapshot,
            incomplete: end < self.sequence,
            config: config.cloned(),
            endpoints: endpoints.map(|endpoint| endpoint.value.clone()).collect(),
            assignments: self.assignments_where(is_due),
            rollouts: rollouts.map(|rollout| rollout.value.clone()).collect(),
            ..Update::default()
        }
    }

    fn config_for(&self, since: u64, known_revision: Option<u64>) -> Option<&ConfigDocument> {
        let config = self.config.as_ref()?;
        let is_new = match known_revision {
            Some(known) => config.value.revision > known,
            None => config.sequence > since,
        };
        is_new.then_some(&config.value)
    }

    /// The latest departures with a higher sequence number.
    fn departures_after(&self, sequence: u64) -> impl Iterator<Item = &Versioned<EndpointUpdate>> {
        let endpoints = self.departures.iter().filter_map(|id| self.endpoints.get(id));
        endpoints.filter(move |endpoint| endpoint.sequence > sequence)
    }

    /// The sequence number up to which the changes after `since` fit into a part. Each part has at least one
    /// change, so that it advances the follower.
    fn end_of_part(&self, since: u64, max_bytes: usize, config: Option<&ConfigDocument>) -> u64 {
        let mut changes = self.changes_since(since);
        changes.sort_unstable_by_key(|change| change.sequence);
        let service_names: usize = self.assignments.keys().map(|name| ASSIGNMENT_BYTES + name.len()).sum();
        let departures: usize =
            self.departures_after(since).map(|endpoint| endpoint_length(&endpoint.value)).sum();
        let mut length = ENVELOPE_BYTES + service_names + departures + config.map_or(0, json_length);
        let mut end = since;
        for change in &changes {
            length += change.bytes;
            if length > max_bytes && end > since {
                return end;
            }
            end = change.sequence;
        }
        // All changes fit. Higher sequence numbers have nothing to send.
        self.sequence
    }

    fn changes_since(&self, since: u64) -> Vec<Change> {
        let endpoints = self
            .endpoints
            .values()
            .map(|endpoint| Change { sequence: endpoint.sequence, bytes: endpoint_length(&endpoint.value) });
        let rollouts = self
            .rollouts
            .values()
            .map(|rollout| Change { sequence: rollout.sequence, bytes: json_length(&rollout.value) });
        let owners = self.assignments.values().flat_map(|owners| owner_changes(owners));
        endpoints.chain(rollouts).chain(owners).filter(|change| change.sequence > since).collect()
    }

    fn assignments_where(&self, is_due: impl Fn(u64) -> bool) -> Vec<AssignmentUpdate> {
        let updates = self.assignments.iter().map(|(service, owners)| AssignmentUpdate {
            service: service.clone(),
            slice_count: owners.len() as u32,
            rows: rows_where(owners, &is_due),
        });
        updates.filter(|update| !update.rows.is_empty()).collect()
    }
}

/// Joins runs of neighbouring shards with the same owner and number into rows.
fn rows_where(owners: &[ShardOwner], is_due: impl Fn(u64) -> bool) -> Vec<AssignmentRow> {
    let mut rows: Vec<AssignmentRow> = Vec::new();
    for (shard, owner) in owners.iter().enumerate().filter(|(_, owner)| is_due(owner.sequence)) {
        let shard = shard as u32;
        let continues = |row: &AssignmentRow| {
            row.last + 1 == shard && row.owner == owner.endpoint && row.version == owner.number
        };
        match rows.last_mut().filter(|row| continues(row)) {
            Some(row) => row.last = shard,
            None => rows.push((shard, shard, owner.endpoint.clone(), owner.number).into()),
        }
    }
    rows
}

/// The changes of a service's owners. A shard with the owner and number of its neighbour and the next
/// sequence number is sent in the neighbour's row, so it adds no bytes.
fn owner_changes(owners: &[ShardOwner]) -> impl Iterator<Item = Change> + '_ {
    let mut previous: Option<&ShardOwner> = None;
    owners.iter().map(move |owner| {
        let continues = previous.is_some_and(|before| {
            before.sequence + 1 == owner.sequence
                && before.number == owner.number
                && before.endpoint == owner.endpoint
        });
        previous = Some(owner);
        let bytes = if continues { 0 } else { ROW_BYTES + owner.endpoint.len() };
        Change { sequence: owner.sequence, bytes }
    })
}

fn endpoint_length(endpoint: &EndpointUpdate) -> usize {
    let EndpointUpdate { id, service, address, zone, version, reported_by, .. } = endpoint;
    ENDPOINT_BYTES
        + [id, service, address, zone, version, reported_by].map(|text| text.len()).iter().sum::<usize>()
}

fn json_length(value: &impl serde::Serialize) -> usize {
    serde_json::to_string(value).map_or(0, |text| text.len())
}
