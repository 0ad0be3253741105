//! Handling of outputs of the consensus core: commits, failed proposals, changes of leadership.
use crate::departures;
use crate::orders::{Orders, CONFIG_KEY};
use crate::rollouts;
use crate::state::State;
use coppersail_consensus::{Change, Ms};
use coppersail_peer_protocol::{ConfigDocument, EndpointState, EndpointUpdate};

impl State {
    /// Called when this member becomes the leader. A newly elected leader loads the replicated state, and
    /// publishes all of it under its term.
    pub(crate) fn became_leader(&mut self, now: Ms, newly_elected: bool) {
        if !newly_elected {
            return;
        }
        let term = self.leader_term().unwrap_or(0);
        let state = || self.core.state().iter().map(|(key, value)| (key.as_str(), value.as_str()));
        self.orders = Orders::recover(state());
        self.assignments.recover(now, term, state(), &self.timeouts, &mut self.feed);
        let config = self.core.state().get(CONFIG_KEY).and_then(|text| serde_json::from_str(text).ok());
        if let Some(config) = config {
            self.put_config(&config);
        }
        self.publish_departures(now);
        for rollout in self.rollouts.recover(now, self.core.state().iter()) {
            self.feed.put_rollout(&rollout);
        }
        self.pending_replies.check_due = true;
    }

    pub(crate) fn stepped_down(&mut self) {
        self.rollouts.step_down();
        self.orders.abandon_all();
        self.pending_replies.check_due = true;
    }

    /// Applies committed changes: they are on all disks of the leadership record, so they are in force.
    pub(crate) fn committed(&mut self, now: Ms, changes: &[Change]) {
        for change in changes {
            self.assignments.leases.apply(now, &change.writes);
            for rollout in change.writes.iter().filter_map(rollouts::state_of_entry) {
                self.feed.put_rollout(&rollout);
            }
            let config = change.writes.iter().find(|(key, _)| key == CONFIG_KEY);
            if let Some(config) = config.and_then(|(_, text)| serde_json::from_str(text).ok()) {
                self.put_config(&config);
            }
            self.orders.mark_committed(change.ticket);
            self.proposals.mark_committed(change.ticket);
        }
        self.pending_replies.check_due = true;
    }

    /// Records failed proposals. They may be on some disk or not; the next leader finds out.
    pub(crate) fn failed(&mut self, tickets: &[u64]) {
        self.proposals.mark_failed(tickets);
        for ticket in tickets {
            self.orders.mark_failed(*ticket);
        }
        self.pending_replies.check_due = true;
    }

    /// Publishes the committed departures, which this member may not have heard of.
    fn publish_departures(&mut self, now: Ms) {
        for departure in departures::recover(self.core.state()) {
            self.heartbeats.entry(now, &departure.id);
            self.feed.put_endpoint(&EndpointUpdate {
                reported_by: self.core.id.clone(),
                drain_acknowledged: departure.state == EndpointState::Draining,
                ..departure
            });
        }
    }

    fn put_config(&mut self, config: &ConfigDocument) {
        self.feed.put_config(config);
        self.load_config();
    }
}
