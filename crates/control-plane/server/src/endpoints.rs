//! Heartbeats of endpoints, and the failure detector: an endpoint without heartbeats for a timeout is
//! suspect.
//!
//! The member that an endpoint sends its heartbeats to detects its failure. If that member has failed too,
//! every other one does after twice the timeout, and the change feeds converge.
use crate::feed::ChangeFeed;
use crate::timeouts::Timeouts;
use coppersail_consensus::{Core, Ms};
use coppersail_peer_protocol::{EndpointState, EndpointUpdate};
use coppersail_shard_leases::Candidate;
use std::collections::BTreeMap;

/// An endpoint is forgotten after this time without a heartbeat, in ms.
const FORGET_AFTER: Ms = 60_000;
/// An endpoint whose heartbeat is due within this time, in ms, is treated like one whose heartbeat already
/// waits for leases.
const DUE_SOON: Ms = 150;

/// The last heartbeat of an endpoint.
#[derive(Debug, Clone, Default)]
pub(crate) struct HeartbeatRecord {
    pub(crate) received_at: Ms,
    /// The sequence number that the endpoint gave the heartbeat.
    pub(crate) sequence: u64,
    /// The position of the endpoint in the order of first heartbeats.
    registration_order: u64,
    first_seen_at: Ms,
    pub(crate) capacity: f64,
}

#[derive(Default)]
pub(crate) struct Heartbeats {
    records: BTreeMap<String, HeartbeatRecord>,
    /// Since when this member has had quorum contact without a break.
    quorum_contact_since: Option<Ms>,
}

impl Heartbeats {
    /// The record of an endpoint; an unknown endpoint gets a new one.
    pub(crate) fn entry(&mut self, now: Ms, endpoint: &str) -> &mut HeartbeatRecord {
        let registration_order = self.records.len() as u64;
        let new = HeartbeatRecord {
            received_at: now,
            registration_order,
            first_seen_at: now,
            ..HeartbeatRecord::default()
        };
        self.records.entry(endpoint.into()).or_insert(new)
    }

    /// Records whether this member has quorum contact. An isolated member must not suspect endpoints: it
    /// would take its own lost connections for failures of endpoints, and spread that once it is connected
    /// again.
    pub(crate) fn record_quorum_contact(&mut self, now: Ms, has_contact: bool) {
        self.quorum_contact_since = has_contact.then(|| self.quorum_contact_since.unwrap_or(now));
    }

    /// Updates of the endpoints that have become suspect.
    pub(crate) fn new_suspects(
        &self,
        now: Ms,
        core: &Core,
        feed: &ChangeFeed,
        timeouts: &Timeouts,
    ) -> Vec<EndpointUpdate> {
        let suspect_after = timeouts.suspect_after();
        if self.quorum_contact_since.is_none_or(|since| now < since + suspect_after) {
            return Vec::new();
        }
        let has_timed_out = |endpoint: &EndpointUpdate, last_heartbeat_at: Ms| {
            if endpoint.reported_by == core.id {
                return now > last_heartbeat_at + suspect_after;
            }
            let reporter = core.peers.get(&endpoint.reported_by);
            let reporter_is_gone = reporter.is_none_or(|p| now > p.last_heard + 2 * timeouts.core.lease);
            reporter_is_gone && now > last_heartbeat_at + 2 * suspect_after
        };
        let candidates = feed.endpoints().filter(|e| !e.suspect && e.state < EndpointState::Removed);
        let suspect = |endpoint: &EndpointUpdate| {
            let record = self.records.get(&endpoint.id)?;
            has_timed_out(endpoint, record.received_at).then(|| EndpointUpdate {
                suspect: true,
                heartbeat_sequence: record.sequence.max(endpoint.heartbeat_sequence),
                ..endpoint.clone()
            })
        };
        candidates.filter_map(suspect).collect()
    }

    /// Treats endpoints that live members report as if their heartbeats had come to this member, and notes
    /// when it first learned of removed ones, which are forgotten like those without heartbeats.
    pub(crate) fn record_reports_of_live_members(
        &mut self,
        now: Ms,
        core: &Core,
        feed: &ChangeFeed,
        timeouts: &Timeouts,
    ) {
        let is_live =
            |member: &str| core.peers.get(member).is_some_and(|p| now < p.last_heard + timeouts.core.lease);
        let reported = |e: &EndpointUpdate| e.reported_by != core.id && !e.suspect && is_live(&e.reported_by);
        for endpoint in feed.endpoints() {
            if endpoint.state == EndpointState::Removed {
                self.entry(now, &endpoint.id);
            } else if reported(endpoint) {
                let record = self.entry(now, &endpoint.id);
                (record.received_at, record.capacity) = (now, f64::from(endpoint.capacity));
            }
        }
    }

    /// Drops the records of endpoints without a heartbeat for [`FORGET_AFTER`]; returns their ids.
    pub(crate) fn remove_expired(&mut self, now: Ms) -> Vec<String> {
        let expired = |record: &HeartbeatRecord| now > record.received_at + FORGET_AFTER;
        let ids: Vec<String> =
            self.records.iter().filter(|(_, r)| expired(r)).map(|(id, _)| id.clone()).collect();
        for id in &ids {
            self.records.remove(id);
        }
        ids
    }

    /// Whether the next heartbeat of an endpoint is due by `deadline`.
    pub(crate) fn is_due_by(&self, endpoint: &str, deadline: Ms, timeouts: &Timeouts) -> bool {
        let record = self.records.get(endpoint);
        record.is_some_and(|r| r.received_at + timeouts.heartbeat_interval <= deadline)
    }

    /// Endpoints whose heartbeat is due within [`DUE_SOON`], or late by less than an interval.
    pub(crate) fn due_soon(&self, now: Ms, timeouts: &Timeouts) -> impl Iterator<Item = &String> {
        let interval = timeouts.heartbeat_interval;
        let is_due = move |r: &HeartbeatRecord| {
            r.received_at + interval <= now + DUE_SOON && now < r.received_at + 2 * interval
        };
        self.records.iter().filter(move |(_, record)| is_due(record)).map(|(id, _)| id)
    }

    /// The endpoints of a sharded service, as candidates for its shards.
    pub(crate) fn candidates(
        &self,
        now: Ms,
        service: &str,
        feed: &ChangeFeed,
        timeouts: &Timeouts,
    ) -> Vec<Candidate> {
        let candidate = |endpoint: &EndpointUpdate| {
            let record = self.records.get(&endpoint.id)?;
            let suspect = endpoint.suspect || now > record.received_at + timeouts.suspect_after();
            Some(Candidate {
                id: endpoint.id.clone(),
                registration_order: record.registration_order,
                capacity: record.capacity.max(1.0),
                is_new: now < record.first_seen_at + 2 * timeouts.lease_duration,
                draining: endpoint.state > EndpointState::Ready || suspect,
                suspect,
                next_heartbeat_at: record.received_at + timeouts.heartbeat_interval,
            })
        };
        let endpoints = feed.endpoints().filter(|e| e.service == service && e.state < EndpointState::Removed);
        endpoints.filter_map(candidate).collect()
    }

    /// Whether an endpoint has failed since a request to it was lost at `lost_at`; `None` while that is not
    /// known.
    pub(crate) fn has_failed_since(
        &self,
        now: Ms,
        endpoint: &str,
        lost_at: Ms,
        core: &Core,
        feed: &ChangeFeed,
        timeouts: &Timeouts,
    ) -> Option<bool> {
        let Some(update) = feed.endpoint(endpoint) else { return Some(true) };
        if update.suspect || update.state == EndpointState::Removed {
            return Some(true);
        }
        // An endpoint that reports to another member is known to be alive after the time in which that member
        // would have suspected it.
        let has_sent_heartbeat = update.reported_by == core.id
            && self.records.get(endpoint).is_some_and(|r| r.received_at > lost_at);
        let is_alive = has_sent_heartbeat || now > lost_at + 3 * timeouts.heartbeat_interval;
        is_alive.then_some(false)
    }
}
