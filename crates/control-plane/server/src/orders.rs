//! Orders of operators to put a configuration in force. Each revision has one content. No I/O.
//!
//! The digests of committed orders are part of the replicated state, written in one batch with the
//! configuration, so they survive changes of leadership and restarts.
use crate::store::KeyValue;
use coppersail_peer_protocol::ConfigDocument;
use sha2::{Digest, Sha256};
use std::collections::BTreeMap;

/// The key of the configuration in the replicated state.
pub(crate) const CONFIG_KEY: &str = "config";
/// The prefix of the keys of orders; the revision follows it.
const ORDER_KEY_PREFIX: &str = "order/";
/// The number of revisions that are remembered; a day has hundreds of changes. The lowest are dropped first.
pub(crate) const MAX_REMEMBERED: usize = 1000;
/// The number of bytes of the SHA-256 digest that are kept.
const DIGEST_BYTES: usize = 16;

/// How to handle an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderDecision {
    /// The revision is above the one in force: propose it as the configuration.
    Propose,
    /// This content has been committed under this revision: acknowledge it again.
    AlreadyCommitted,
    /// This content is being committed: answer when the proposal with this ticket is decided.
    InProgress(u64),
    /// Another content is being committed under this revision, with this ticket: refuse it once that is
    /// committed, and give an indeterminate answer if that fails.
    ConflictInProgress(u64),
    /// Another content has been committed under this revision: refuse it.
    Conflict,
    /// The revision is not known, and not above the one in force: propose the order without the
    /// configuration, so that the revision has one content from then on, and leave the configuration in
    /// force.
    ProposeWithoutEffect,
}

#[derive(Debug)]
struct OrderInProgress {
    ticket: u64,
    revision: u64,
    digest: String,
}

/// The orders that are committed or in progress.
#[derive(Debug, Default)]
pub struct Orders {
    /// Committed: digests by revision.
    committed: BTreeMap<u64, String>,
    /// In the order of their tickets.
    in_progress: Vec<OrderInProgress>,
    /// The highest revision that this leader has proposed as the configuration.
    newest_in_progress: Option<u64>,
}

/// The digest of a content. Bodies that are equal as JSON have the same digest, whatever the order of their
/// fields.
pub fn digest(body: &str) -> String {
    let canonical = serde_json::from_str::<serde_json::Value>(body).map(|mut value| {
        // Fields are already sorted, unless a package of the build enables the feature of `serde_json` that
        // keeps their order.
        value.sort_all_objects();
        value.to_string()
    });
    let sum = Sha256::digest(canonical.as_deref().unwrap_or(body).as_bytes());
    sum.iter().take(DIGEST_BYTES).map(|byte| format!("{byte:02x}")).collect()
}

fn order_key(revision: u64) -> String {
    format!("{ORDER_KEY_PREFIX}{revision:020}")
}

fn drop_lowest(digests: &mut BTreeMap<u64, String>) {
    while digests.len() > MAX_REMEMBERED {
        digests.pop_first();
    }
}

impl Orders {
    /// Reads the orders from the replicated state. A state of an older version has no orders, only the newest
    /// configuration.
    pub fn recover<'a>(state: impl Iterator<Item = (&'a str, &'a str)>) -> Orders {
        let (mut committed, mut newest) = (BTreeMap::new(), None);
        for (key, value) in state {
            if key == CONFIG_KEY {
                newest = serde_json::from_str::<ConfigDocument>(value).ok();
            } else if let Some(revision) = key.strip_prefix(ORDER_KEY_PREFIX).and_then(|r| r.parse().ok()) {
                if !value.is_empty() {
                    committed.insert(revision, value.to_string());
                }
            }
        }
        if let Some(newest) = newest {
            committed.entry(newest.revision).or_insert_with(|| digest(&newest.body));
        }
        drop_lowest(&mut committed);
        Orders { committed, ..Orders::default() }
    }

    /// Decides how to handle an order. `in_force` is the revision of the configuration in force.
    pub fn decide(&self, revision: u64, digest: &str, in_force: Option<u64>) -> OrderDecision {
        if let Some(order) = self.in_progress.iter().find(|order| order.revision == revision) {
            return if order.digest == digest {
                OrderDecision::InProgress(order.ticket)
            } else {
                OrderDecision::ConflictInProgress(order.ticket)
            };
        }
        match self.committed.get(&revision) {
            Some(committed) if committed == digest => OrderDecision::AlreadyCommitted,
            Some(_) => OrderDecision::Conflict,
            None if in_force.is_some_and(|in_force| revision <= in_force) => {
                OrderDecision::ProposeWithoutEffect
            }
            None => OrderDecision::Propose,
        }
    }

    /// Records an order that is proposed under this ticket. Tickets increase.
    pub(crate) fn begin(&mut self, revision: u64, digest: String, ticket: u64) {
        self.in_progress.push(OrderInProgress { ticket, revision, digest });
    }

    /// Records that the configuration of this revision is proposed.
    pub(crate) fn record_newest(&mut self, revision: u64) {
        self.newest_in_progress = self.newest_in_progress.max(Some(revision));
    }

    pub(crate) fn newest_in_progress(&self) -> Option<u64> {
        self.newest_in_progress
    }

    /// The writes of the orders up to this ticket, for one batch with the configuration. An empty value
    /// removes a revision that is no longer remembered.
    pub(crate) fn writes(&self, ticket: u64) -> Vec<KeyValue> {
        let batch = || self.in_progress.iter().filter(|order| order.ticket <= ticket);
        if batch().next().is_none() {
            return Vec::new();
        }
        let mut remembered = self.committed.clone();
        remembered.extend(batch().map(|order| (order.revision, order.digest.clone())));
        drop_lowest(&mut remembered);
        let new = batch().filter(|order| remembered.contains_key(&order.revision));
        let forgotten = self.committed.keys().filter(|revision| !remembered.contains_key(revision));
        let new = new.map(|order| (order_key(order.revision), order.digest.clone()));
        let forgotten = forgotten.map(|revision| (order_key(*revision), String::new()));
        new.chain(forgotten).collect()
    }

    pub(crate) fn mark_committed(&mut self, ticket: u64) {
        if let Some(index) = self.in_progress.iter().position(|order| order.ticket == ticket) {
            let order = self.in_progress.remove(index);
            self.committed.insert(order.revision, order.digest);
            drop_lowest(&mut self.committed);
        }
    }

    /// Drops an order whose proposal failed. It may be on a disk or not; the next leader finds out.
    pub(crate) fn mark_failed(&mut self, ticket: u64) {
        self.in_progress.retain(|order| order.ticket != ticket);
    }

    /// Drops the orders in progress after this member has stepped down; none of them is acknowledged any
    /// more.
    pub(crate) fn abandon_all(&mut self) {
        self.in_progress.clear();
        self.newest_in_progress = None;
    }
}

#[cfg(test)]
#[path = "orders_tests.rs"]
mod tests;
