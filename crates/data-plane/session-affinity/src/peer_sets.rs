//! Peer sets, which determine the replicas of a session.
use crate::ids::NodeId;
use crate::record::SessionId;
use std::collections::BTreeMap;

/// Numbered lists of nodes with their addresses. A session keeps the peer set under which it was created, so that its
/// replicas never change.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct PeerSets(pub BTreeMap<u16, Vec<(NodeId, String)>>);

/// With three replicas, two are a quorum, so that one may fail.
const REPLICAS: usize = 3;

impl PeerSets {
    /// The number of the peer set for new sessions.
    pub fn newest(&self) -> u16 {
        self.0.keys().next_back().copied().unwrap_or_default()
    }

    /// The replicas of a session: the first nodes after its id on the hash ring. `None` for an unknown peer set.
    ///
    /// ```
    /// use coppersail_session_affinity::{PeerSets, SessionId};
    /// let nodes = (1..=8).map(|n| (n, format!("10.0.0.{n}:7001"))).collect();
    /// let peer_sets = PeerSets([(4, nodes)].into());
    /// let replicas = peer_sets.replicas(4, SessionId([3, 9])).unwrap();
    /// assert_eq!(replicas.len(), 3);
    /// assert_eq!(peer_sets.replicas(5, SessionId([3, 9])), None);
    /// ```
    pub fn replicas(&self, peer_set: u16, id: SessionId) -> Option<Vec<NodeId>> {
        let nodes = self.0.get(&peer_set)?;
        let addresses: Vec<String> = nodes.iter().map(|(_, address)| address.clone()).collect();
        let replicas = coppersail_consensus::ring_successors(&id.to_string(), &addresses, REPLICAS);
        let node_at =
            |address: &String| nodes.iter().find(|(_, other)| other == address).map(|(node, _)| *node);
        Some(replicas.iter().filter_map(node_at).collect())
    }

    /// The address of a node, from the newest peer set that contains it.
    pub fn address(&self, node: NodeId) -> Option<&str> {
        let mut newest_first = self.0.values().rev().flatten();
        newest_first.find(|(other, _)| *other == node).map(|(_, address)| address.as_str())
    }
}

/// The endpoint for a request of a session: the one that served the session before if it is usable (healthy and not
/// yet tried for this request), otherwise the selected one.
pub fn preferred_endpoint<'a>(
    previous: Option<&'a str>,
    selected: &'a str,
    is_usable: impl Fn(&str) -> bool,
) -> &'a str {
    previous.filter(|endpoint| is_usable(endpoint)).unwrap_or(selected)
}
