//! Other members of the control plane: the status that each sent last, and which of them were announced to
//! followers.
use coppersail_consensus::{Core, Id, Ms, PeerStatus};
use coppersail_peer_protocol::{MemberDetail, MemberStatus};
use std::collections::BTreeMap;

/// With fewer live members than this, followers are sent the addresses of all members, live or not.
const ENOUGH_LIVE_MEMBERS: usize = 2;

/// The address at which a member listens for its peers. Its port is the first of the peer ports, the same for
/// all members. `id` is the member's address for endpoints and operators, "ip:port".
pub(crate) fn peer_address(id: &str, port: u16) -> String {
    let ip = id.rsplit_once(':').map_or(id, |(ip, _)| ip);
    format!("{ip}:{port}")
}

/// The addresses of all members.
pub(crate) fn all_addresses(core: &Core, port: u16) -> Vec<String> {
    core.members.iter().map(|id| peer_address(id, port)).collect()
}

/// The addresses of the live members; of all if fewer than two are live.
pub(crate) fn live_addresses(now: Ms, core: &Core, port: u16) -> Vec<String> {
    let is_live = |id: &&Id| **id == core.id || core.is_peer_alive(now, id);
    let live: Vec<&Id> = core.members.iter().filter(is_live).collect();
    if live.len() < ENOUGH_LIVE_MEMBERS {
        return all_addresses(core, port);
    }
    live.into_iter().map(|id| peer_address(id, port)).collect()
}

#[derive(Default)]
pub(crate) struct Members {
    /// The last status of each, with its detail, which members send only when it has changed.
    statuses: BTreeMap<Id, MemberStatus>,
    /// The members that were announced to followers, each with the sequence number of its announcement in the
    /// change feed.
    announced: BTreeMap<Id, u64>,
}

impl Members {
    /// The status of this member for `peer`, without the detail if the peer has acknowledged it.
    pub(crate) fn status_for(&self, peer: &str, own: PeerStatus, edges: Vec<String>) -> MemberStatus {
        let detail = MemberDetail {
            incarnation: own.incarnation,
            last_durable_term: own.last_durable_term,
            record: own.record,
            members: own.members,
            edges,
            zone: own.zone,
        };
        let detail_checksum = detail.checksum();
        let theirs = self.statuses.get(peer);
        let is_known = theirs.is_some_and(|status| status.acknowledged_checksum == detail_checksum);
        MemberStatus {
            id: own.id,
            holds_lease: own.holds_lease,
            disk_healthy: own.disk_healthy,
            draining: own.draining,
            detail_checksum,
            acknowledged_checksum: theirs.filter(|s| s.detail.is_some()).map_or(0, |s| s.detail_checksum),
            detail: (!is_known).then_some(detail),
        }
    }

    /// Stores the status of another member, and returns its detail if that is known. If it is not, the next
    /// status that this member sends acknowledges no detail, and the other member sends it again.
    pub(crate) fn record_status(&mut self, status: &MemberStatus) -> Option<MemberDetail> {
        let kept = self.statuses.entry(status.id.clone()).or_default();
        let mut new = status.clone();
        if new.detail.is_none() {
            new.detail = kept.detail.take().filter(|_| kept.detail_checksum == new.detail_checksum);
        }
        *kept = new;
        kept.detail.clone()
    }

    /// Live members that were not announced to followers.
    pub(crate) fn unannounced(&self, now: Ms, core: &Core) -> Vec<Id> {
        let is_new = |id: &&Id| !self.announced.contains_key(*id) && core.is_peer_alive(now, id);
        core.members.iter().filter(is_new).cloned().collect()
    }

    pub(crate) fn mark_announced(&mut self, members: Vec<Id>, sequence: u64) {
        self.announced.extend(members.into_iter().map(|id| (id, sequence)));
    }

    /// Whether a member was announced after this sequence number, so that a follower at it lacks that member.
    pub(crate) fn any_announced_after(&self, sequence: u64) -> bool {
        self.announced.values().any(|announced| *announced > sequence)
    }
}

/// Converts the status of another member for the consensus core; also returns the edges that poll that
/// member.
pub(crate) fn peer_status(status: &MemberStatus, detail: MemberDetail) -> (PeerStatus, Vec<String>) {
    let peer_status = PeerStatus {
        id: status.id.clone(),
        holds_lease: status.holds_lease,
        disk_healthy: status.disk_healthy,
        draining: status.draining,
        incarnation: detail.incarnation,
        last_durable_term: detail.last_durable_term,
        zone: detail.zone,
        record: detail.record,
        members: detail.members,
    };
    (peer_status, detail.edges)
}
