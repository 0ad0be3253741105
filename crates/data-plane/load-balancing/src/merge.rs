//! Merges updates of any control-plane node, in any order, into the endpoint registry. All that it keeps only advances:
//! endpoint states, heartbeat numbers, fencing tokens, and the ids of removed endpoints.
use crate::endpoint::Endpoint;
use crate::registry::{EndpointRegistry, WARM_UP_MS};
use crate::slices::SliceTable;
use crate::Ms;
use coppersail_peer_protocol::{AssignmentUpdate, EndpointState, EndpointUpdate, Update};
use rustc_hash::FxHashSet;
use std::net::SocketAddr;
use std::rc::Rc;

/// Removed endpoints are remembered, so that late updates cannot bring them back; no day has as many.
const MAX_REMOVED: usize = 16_384;

/// Feeds of which a snapshot has come in part; there are no more nodes than that at a time.
const MAX_SNAPSHOTS: usize = 16;

/// What an update changed, for those who hold connections to endpoints or wait for an owner.
#[derive(Debug, Default, PartialEq)]
pub struct RegistryChanges {
    /// Ids of endpoints that get no more requests.
    pub unusable: Vec<Rc<str>>,
    /// Whether a slice has another owner.
    pub owners_changed: bool,
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

    /// A snapshot may come in parts, between which the edge may follow another node: only all parts of one feed together tell
    /// which endpoints it does not list.
    fn collect_snapshot(&mut self, update: &Update, now: Ms) {
        if update.is_snapshot {
            if self.snapshots.len() >= MAX_SNAPSHOTS {
                self.snapshots.clear();
            }
            self.snapshots.insert(update.feed_id, FxHashSet::default());
        }
        let Some(listed) = self.snapshots.get_mut(&update.feed_id) else { return };
        listed.extend(update.endpoints.iter().map(|endpoint| endpoint.id.as_str().into()));
        if update.incomplete {
            return;
        }
        if let Some(listed) = self.snapshots.remove(&update.feed_id) {
            self.expire_unlisted(&listed, now + WARM_UP_MS.saturating_sub(update.uptime_ms));
        }
    }

    /// Endpoints that a snapshot does not list are dropped once the node that sent it must have learned of them, which is at
    /// `until`. A node that lists no endpoint at all is not trusted about those that it lacks.
    fn expire_unlisted(&mut self, listed: &FxHashSet<Box<str>>, until: Ms) {
        if listed.is_empty() {
            return;
        }
        for endpoint in self.endpoints.values_mut().filter(|endpoint| !listed.contains(&*endpoint.id)) {
            endpoint.unlisted_until.get_or_insert(until);
        }
    }

    fn merge_endpoint(&mut self, update: &EndpointUpdate, now: Ms, changes: &mut RegistryChanges) {
        let Ok(address) = update.address.parse::<SocketAddr>() else { return };
        if self.removed.contains(update.id.as_str()) {
            return;
        }
        if update.state == EndpointState::Removed {
            self.remove_for_good(&update.id, changes);
            return;
        }
        match self.endpoints.get_mut(update.id.as_str()) {
            Some(endpoint) => {
                if endpoint.merge(update, address, now) {
                    changes.unusable.push(endpoint.id.clone());
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
        // A suspect endpoint that had the address has ended without notice. Which of two endpoints that are not suspect
        // is the later one cannot be told, since updates arrive in any order: the response of whoever is there decides.
        if update.state == EndpointState::Ready && !update.suspect {
            let suspects = self.endpoints.values_mut();
            for endpoint in suspects.filter(|endpoint| endpoint.address == address && endpoint.suspect) {
                endpoint.lose_address();
                changes.unusable.push(endpoint.id.clone());
            }
        }
        let endpoint = Endpoint::new(update, address, &self.zone, now);
        let service = self.services.entry(endpoint.service.clone()).or_default();
        service.endpoints.push(endpoint.id.clone());
        self.endpoints.insert(endpoint.id.clone(), endpoint);
    }

    fn remove_for_good(&mut self, id: &str, changes: &mut RegistryChanges) {
        if self.removed.len() >= MAX_REMOVED {
            self.removed.clear();
        }
        let id: Rc<str> = id.into();
        self.removed.insert(id.clone());
        self.drop_endpoint(&id);
        changes.unusable.push(id);
    }

    fn drop_endpoint(&mut self, id: &str) {
        let Some(endpoint) = self.endpoints.remove(id) else { return };
        if let Some(service) = self.services.get_mut(&endpoint.service) {
            service.endpoints.retain(|other| &**other != id);
        }
    }

    /// Drops endpoints that no control-plane node lists any more, once their time is over.
    pub fn remove_expired(&mut self, now: Ms, changes: &mut RegistryChanges) {
        let is_expired = |endpoint: &&Endpoint| endpoint.unlisted_until.is_some_and(|until| until <= now);
        let expired: Vec<Rc<str>> =
            self.endpoints.values().filter(is_expired).map(|endpoint| endpoint.id.clone()).collect();
        for id in expired {
            // One that was draining must not come back as ready.
            if self.endpoints[&id].state > EndpointState::Ready {
                self.remove_for_good(&id, changes);
            } else {
                self.drop_endpoint(&id);
                changes.unusable.push(id);
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
