//! Periodic work: failure detection of endpoints, reconciliation of shard assignments, and the progress of
//! rollouts.
use crate::departures;
use crate::rollouts::Endpoints;
use crate::state::State;
use crate::store::KeyValue;
use coppersail_consensus::Ms;

impl State {
    /// Marks endpoints without heartbeats as suspect, forgets endpoints and followers that are long gone, and
    /// announces new members.
    pub(crate) fn detect_failures(&mut self, now: Ms) {
        self.announce_new_members(now);
        self.heartbeats.record_quorum_contact(now, !self.is_isolated(now));
        let suspects = self.heartbeats.new_suspects(now, &self.core, &self.feed, &self.timeouts);
        for suspect in &suspects {
            self.feed.put_endpoint(suspect);
        }
        self.heartbeats.record_reports_of_live_members(now, &self.core, &self.feed, &self.timeouts);
        self.forget_endpoints(now);
        self.followers.forget_silent(now);
    }

    /// Forgets endpoints without heartbeats; the leader forgets their departures too.
    fn forget_endpoints(&mut self, now: Ms) {
        let forgotten = self.heartbeats.remove_expired(now);
        for endpoint in &forgotten {
            self.feed.forget_endpoint(endpoint);
        }
        if !self.holds_leader_lease(now) {
            return;
        }
        let removals = departures::removals(self.core.state(), &forgotten);
        if !removals.is_empty() {
            self.proposals.submit(removals);
        }
    }

    /// Announces new members to all followers, whatever their position in the feed.
    fn announce_new_members(&mut self, now: Ms) {
        let new = self.members.unannounced(now, &self.core);
        if !new.is_empty() {
            let sequence = self.feed.advance();
            self.members.mark_announced(new, sequence);
        }
    }

    /// Proposes the changes that bring the assignments of sharded services closer to their targets.
    pub(crate) fn reconcile_assignments(&mut self, now: Ms) {
        if !self.holds_leader_lease(now) {
            return;
        }
        let services = self.config.iter().flat_map(|config| &config.services);
        for service in services.filter(|service| service.sharded) {
            let candidates = self.heartbeats.candidates(now, &service.name, &self.feed, &self.timeouts);
            let writes = self.assignments.reconcile(now, &service.name, &candidates, &self.timeouts);
            if let Some(writes) = writes {
                self.proposals.submit(writes);
            }
        }
    }

    /// Proposes the next steps of rollouts; returns a log line for each.
    pub(crate) fn advance_rollouts(&mut self, now: Ms) -> Vec<String> {
        if !self.holds_leader_lease(now) || !self.feed.has_active_rollout() {
            return Vec::new();
        }
        let (core, feed, heartbeats, timeouts) = (&self.core, &self.feed, &self.heartbeats, &self.timeouts);
        let all = || feed.endpoints().cloned().collect();
        let has_failed_since = |endpoint: &str, lost_at: Ms| {
            heartbeats.has_failed_since(now, endpoint, lost_at, core, feed, timeouts)
        };
        let endpoints = Endpoints { all: &all, has_failed_since: &has_failed_since };
        let changes = self.rollouts.advance(now, self.config.as_ref(), &endpoints);
        let parts = changes.into_iter().map(|change| (change.write, change.log_line));
        let (writes, lines): (Vec<KeyValue>, Vec<String>) = parts.unzip();
        if !writes.is_empty() {
            self.proposals.submit(writes);
        }
        lines
    }
}
