//! The state of a member, composed of its parts, and the queries that several parts share. No I/O: results
//! are returned as replies and as outputs of the consensus core.
//!
//! The methods of the state are grouped in files by kind of input: `replication.rs` (commits and changes of
//! leadership), `watch.rs` (followers), `admin.rs` (endpoints and operators), `reconciliation.rs` (periodic
//! work). `due_replies.rs` answers the pending requests whose condition one of these inputs has met.
use crate::assignments::Assignments;
use crate::endpoints::Heartbeats;
use crate::feed::ChangeFeed;
use crate::followers::Followers;
use crate::invariants::Violations;
use crate::members::{self, Members};
use crate::orders::Orders;
use crate::pending_replies::PendingReplies;
use crate::proposals::Proposals;
use crate::rollouts::Rollouts;
use crate::timeouts::Timeouts;
use coppersail_config::{Config, ProcessSettings};
use coppersail_consensus::{Core, Id, Ms, Output};
use coppersail_peer_protocol::{MemberStatus, Update};

pub(crate) struct State {
    /// Leader election and replication.
    pub(crate) core: Core,
    pub(crate) timeouts: Timeouts,
    /// The port on which members listen for their peers.
    pub(crate) peer_port: u16,
    /// The configuration in force, parsed.
    pub(crate) config: Option<Config>,
    pub(crate) feed: ChangeFeed,
    pub(crate) members: Members,
    pub(crate) heartbeats: Heartbeats,
    pub(crate) assignments: Assignments,
    pub(crate) rollouts: Rollouts,
    pub(crate) followers: Followers,
    pub(crate) orders: Orders,
    pub(crate) proposals: Proposals,
    pub(crate) pending_replies: PendingReplies,
    pub(crate) violations: Violations,
    /// Lines for the log that were not written yet.
    pub(crate) log_lines: Vec<String>,
}

impl State {
    pub(crate) fn new(settings: &ProcessSettings, timeouts: Timeouts, core: Core, feed_id: u64) -> State {
        State {
            core,
            timeouts,
            peer_port: settings.peer_ports.0,
            config: None,
            feed: ChangeFeed::new(feed_id),
            members: Members::default(),
            heartbeats: Heartbeats::default(),
            assignments: Assignments::new(&timeouts),
            rollouts: Rollouts::default(),
            followers: Followers::default(),
            orders: Orders::default(),
            proposals: Proposals::default(),
            pending_replies: PendingReplies::default(),
            violations: Violations::default(),
            log_lines: Vec::new(),
        }
    }

    pub(crate) fn change_timeouts(&mut self, timeouts: Timeouts) {
        self.timeouts = timeouts.keeping_leases_of(&self.timeouts);
        self.core.timeouts = self.timeouts.core;
    }

    pub(crate) fn holds_leader_lease(&self, now: Ms) -> bool {
        self.core.holds_leader_lease(now)
    }

    /// The term in which this member leads. Its leader lease may have expired meanwhile.
    pub(crate) fn leader_term(&self) -> Option<u64> {
        self.core.leader_term()
    }

    pub(crate) fn is_leader(&self) -> bool {
        self.leader_term().is_some()
    }

    /// The member that reports that it holds the leader lease, if any.
    pub(crate) fn known_leader(&self, now: Ms) -> Option<&Id> {
        self.core.known_leader(now)
    }

    /// Whether this member has no quorum contact. Its knowledge may then be stale and must not be relied on.
    pub(crate) fn is_isolated(&self, now: Ms) -> bool {
        !self.core.has_quorum_contact(now)
    }

    /// The status that goes to a peer with each heartbeat.
    pub(crate) fn status_for(&self, now: Ms, peer: &str) -> MemberStatus {
        self.members.status_for(peer, self.core.status(now), self.followers.live_edges(now))
    }

    /// Handles the status of another member. `requested_at` is when the poll was sent that the status
    /// answers; `None` if the status came with a request.
    pub(crate) fn receive_status(
        &mut self,
        now: Ms,
        status: &MemberStatus,
        requested_at: Option<Ms>,
        outputs: &mut Vec<Output>,
    ) {
        let Some(detail) = self.members.record_status(status) else { return };
        let (peer_status, edges) = members::peer_status(status, detail);
        self.core.handle_peer_status(now, &peer_status, requested_at, outputs);
        for edge in edges {
            self.followers.record_edge(now, edge);
        }
    }

    /// Merges an update of another member's change feed.
    pub(crate) fn merge_update(&mut self, update: &Update) {
        self.feed.merge(update);
        self.load_config();
    }

    /// Parses the configuration of the change feed, if its revision has changed.
    pub(crate) fn load_config(&mut self) {
        let revision = self.feed.revision();
        if revision != self.config.as_ref().map(|config| config.revision) {
            let body = self.feed.config().map(|config| config.body.clone()).unwrap_or_default();
            self.config = coppersail_config::config::parse(body.as_bytes()).ok();
        }
    }

    /// Whether the configuration in force shards this service.
    pub(crate) fn is_sharded(&self, service: &str) -> bool {
        let service = self.config.as_ref().and_then(|config| config.service(service));
        service.is_some_and(|service| service.sharded)
    }

    /// The highest revision that is in force or being committed.
    pub(crate) fn newest_revision(&self) -> Option<u64> {
        self.feed.revision().max(self.orders.newest_in_progress())
    }
}
