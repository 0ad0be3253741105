//! Merges updates from any control-plane node, in any order, into the endpoint registry. The merged state is
//! monotonic: endpoint states, heartbeat sequence numbers and fencing tokens only advance, and removed
//! endpoints stay removed.
use crate::endpoint::Endpoint;
use crate::registry::{EndpointRegistry, WARM_UP_MS};
use crate::slices::SliceTable;
use crate::Ms;
use coppersail_peer_protocol::{AssignmentUpdate, EndpointState, EndpointUpdate, Update};
use rustc_hash::FxHashSet;
use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;

/// Maximum number of remembered removed endpoints; the set is cleared when it is full. They are remembered so
/// that late updates cannot restore them. The limit is above the number of removals in a day.
const MAX_REMOVED: usize = 16_384;

/// Maximum number of feeds whose snapshots are partially received; more than the number of control-plane
/// nodes.
const MAX_SNAPSHOTS: usize = 16;

/// Why an endpoint became unusable.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UnusableCause {
    /// The control plane reports that it drains.
    Draining,
    /// The control plane reports that it is removed.
    Removed,
    /// A snapshot does not list it, and the time to learn of it has passed.
    Unlisted,
    /// Another endpoint has its address.
    AddressTaken,
}

impl fmt::Display for UnusableCause {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.write_str(match self {
            UnusableCause::Draining => "it drains",
            UnusableCause::Removed => "it is removed",
            UnusableCause::Unlisted => "a snapshot does not list it",
            UnusableCause::AddressTaken => "another endpoint has its address",
        })
    }
}

/// An endpoint that became unusable.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UnusableEndpoint {
    /// Its id.
    pub id: Rc<str>,
    /// Why.
    pub cause: UnusableCause,
}

/// The changes of an update that matter to connection pools and to requests that wait for an owner.
#[derive(Debug, Default, PartialEq)]
pub struct RegistryChanges {
    /// Endpoints that became unusable.
    pub unusable: Vec<UnusableEndpoint>,
    /// Whether the owner of any slice changed.
    pub owners_changed: bool,
}

impl RegistryChanges {
    fn add_unusable(&mut self, id: Rc<str>, cause: UnusableCause) {
        self.unusable.push(UnusableEndpoint { id, cause });
    }
}

impl EndpointRegistry {
    /// Merges an update that arrived at `now`.
    pub fn merge(&mut self, update: &Update, now: Ms) -> RegistryChanges {
        let mut changes = RegistryChanges::default();
        self.collect_snapshot(update, now);
        for endpoint in &update.endpoints {
            self.merge_endpoint(endpoint, now, &mut changes);
        }
        for assignment in &update.assignments {
            changes.owners_changed |= self.merge_assignment(assignment);
        }
        self.edge_count = self.edge_count.max(update.edge_count);
        self.remove_expired(now, &mut changes);
        changes
    }

    /// Collects the endpoint ids of snapshots by feed. A snapshot may arrive in parts, and the edge may
    /// follow another node between two parts, so the endpoints that a snapshot does not list are known only
    /// after all parts of its feed.
    fn collect_snapshot(&mut self, update: &Update, now: Ms) {
        if update.is_snapshot {
            if self.snapshots.len() >= MAX_SNAPSHOTS {
                self.snapshots.clear();
            }
            self.snapshots.insert(update.feed_id, FxHashSet::default());
        }
        let Some(listed) = self.snapshots.get_mut(&update.feed_id) else { return };
        let present = update.endpoints.iter().filter(|endpoint| endpoint.state < EndpointState::Removed);
        listed.extend(present.map(|endpoint| endpoint.id.as_str().into()));
        if update.incomplete {
            return;
        }
        if let Some(listed) = self.snapshots.remove(&update.feed_id) {
            self.expire_unlisted(&listed, now + WARM_UP_MS.saturating_sub(update.uptime_ms));
        }
    }

    /// Schedules the endpoints that a snapshot does not list to be dropped at `until`, the time by which the
    /// sending node must have learned of them if they are alive. A snapshot that lists none but removed
    /// endpoints is not trusted and drops none.
    fn expire_unlisted(&mut self, listed: &FxHashSet<Box<str>>, until: Ms) {
        if listed.is_empty() {
            return;
        }
        for endpoint in self.endpoints.values_mut().filter(|endpoint| !listed.contains(&*endpoint.id)) {
            endpoint.unlisted_until.get_or_insert(until);
        }
    }

    fn merge_endpoint(&mut self, update: &EndpointUpdate, now: Ms, changes: &mut RegistryChanges) {
        if self.removed.contains(update.id.as_str()) {
            return;
        }
        // An endpoint that signed off at a node which had no heartbeat of it has no usable address.
        if update.state == EndpointState::Removed {
            self.remove_for_good(&update.id, UnusableCause::Removed, changes);
            return;
        }
        let Ok(address) = update.address.parse::<SocketAddr>() else { return };
        match self.endpoints.get_mut(update.id.as_str()) {
            Some(endpoint) => {
                if endpoint.merge(update, address, now) {
                    changes.add_unusable(endpoint.id.clone(), UnusableCause::Draining);
                }
            }
            None => self.add_endpoint(update, address, now, changes),
        }
    }

    fn add_endpoint(
        &mut self,
        update: &EndpointUpdate,
        address: SocketAddr,
        now: Ms,
        changes: &mut RegistryChanges,
    ) {
        // A suspect endpoint at the same address has exited without deregistering. If the other endpoint is
        // not suspect, it is unknown which of the two is newer, since updates arrive in any order; the
        // `Server-Id` of a response from the address decides then.
        if update.state == EndpointState::Ready && !update.suspect {
            let suspects = self.endpoints.values_mut();
            for endpoint in suspects.filter(|endpoint| endpoint.address == address && endpoint.suspect) {
                endpoint.mark_address_taken();
                changes.add_unusable(endpoint.id.clone(), UnusableCause::AddressTaken);
            }
        }
        let endpoint = Endpoint::new(update, address, &self.zone, now);
        let service = self.services.entry(endpoint.service.clone()).or_default();
        service.endpoints.push(endpoint.id.clone());
        self.endpoints.insert(endpoint.id.clone(), endpoint);
    }

    fn remove_for_good(&mut self, id: &str, cause: UnusableCause, changes: &mut RegistryChanges) {
        if self.removed.len() >= MAX_REMOVED {
            self.removed.clear();
        }
        self.removed.insert(id.into());
        self.drop_endpoint(id, cause, changes);
    }

    fn drop_endpoint(&mut self, id: &str, cause: UnusableCause, changes: &mut RegistryChanges) {
        let Some(endpoint) = self.endpoints.remove(id) else { return };
        if let Some(service) = self.services.get_mut(&endpoint.service) {
            service.endpoints.retain(|other| &**other != id);
        }
        changes.add_unusable(endpoint.id, cause);
    }

    /// Drops endpoints that snapshots no longer list and whose `unlisted_until` has passed.
    pub fn remove_expired(&mut self, now: Ms, changes: &mut RegistryChanges) {
        let is_expired = |endpoint: &&Endpoint| endpoint.unlisted_until.is_some_and(|until| until <= now);
        let expired: Vec<Rc<str>> =
            self.endpoints.values().filter(is_expired).map(|endpoint| endpoint.id.clone()).collect();
        for id in expired {
            // A late update must not restore a draining endpoint as ready.
            if self.endpoints[&id].state > EndpointState::Ready {
                self.remove_for_good(&id, UnusableCause::Unlisted, changes);
            } else {
                self.drop_endpoint(&id, UnusableCause::Unlisted, changes);
            }
        }
    }

    fn merge_assignment(&mut self, update: &AssignmentUpdate) -> bool {
        if !SliceTable::is_valid(update) {
            return false;
        }
        let service = self.services.entry(update.service.as_str().into()).or_default();
        let slices = service.slices.get_or_insert_with(SliceTable::default);
        let endpoints = &self.endpoints;
        slices.merge(update, |id| match endpoints.get_key_value(id) {
            Some((known, _)) => known.clone(),
            None => id.into(),
        })
    }
}

#[cfg(test)]
mod tests;
