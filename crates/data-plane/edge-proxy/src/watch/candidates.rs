//! Which control-plane node is polled next, and whose answers are used.
use coppersail_config::ProcessSettings;
use coppersail_load_balancing::backoff;
use coppersail_peer_protocol::{Update, WatchRequest};
use std::collections::BTreeMap;
use std::time::Duration;

/// Timeout of a whole poll; a frozen node costs no more than this.
pub(crate) const POLL_TIMEOUT: Duration = Duration::from_millis(1_600);
/// Timeout of connecting to a node.
pub(crate) const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// The first poll of a node asks for an answer at once. The node may have accepted the connection and have no thread
/// for it, as after a restart, when all edges reconnect together; so the next node is polled as soon as one that
/// does not accept the connection. On a full link both take longer: the timeout grows.
const FIRST_RESPONSE_TIMEOUT: Duration = CONNECT_TIMEOUT;

/// Control-plane nodes in the order in which they are polled, and the backoff between rounds.
#[derive(Debug, Default)]
pub(crate) struct Candidates {
    /// As listed by a node with a quorum behind it.
    confirmed: Vec<String>,
    /// As the settings list them.
    configured: Vec<String>,
    /// Further ones that only an isolated node listed: good enough to be polled.
    hinted: Vec<String>,
    /// Index of the current node; it only rises and is taken modulo the number of nodes.
    position: usize,
    /// By address, the feed id and sequence number of the last answer that was applied, of nodes of which the edge lacks
    /// the rest. All that an edge has only advances, so that it may go on from there after it has polled another node.
    incomplete_feeds: BTreeMap<String, (u64, u64)>,
    /// Polls that failed since the last usable answer.
    failures: usize,
    /// The last pause between two rounds.
    backoff: Duration,
}

impl Candidates {
    /// The nodes of the settings. The first is chosen by a hash of this edge's address, so that edges spread evenly.
    pub(crate) fn new(settings: &ProcessSettings) -> Candidates {
        let position =
            settings.ip_address.bytes().fold(0, |sum: usize, byte| sum * 31 % 65_521 + usize::from(byte));
        let port = settings.peer_ports.0;
        let ip = |peer: &String| peer.rsplit_once(':').map_or(peer.clone(), |(ip, _)| ip.into());
        let configured = settings.known_peers.iter().map(|peer| format!("{}:{port}", ip(peer))).collect();
        Candidates { configured, position, ..Candidates::default() }
    }

    /// All addresses without duplicates: confirmed, then configured, then hinted.
    fn addresses(&self) -> impl Iterator<Item = &String> {
        let configured = self.configured.iter().filter(|address| !self.confirmed.contains(address));
        let is_new =
            |address: &&String| !self.confirmed.contains(address) && !self.configured.contains(address);
        self.confirmed.iter().chain(configured).chain(self.hinted.iter().filter(is_new))
    }

    fn count(&self) -> usize {
        self.addresses().count()
    }

    /// The node to poll now.
    pub(crate) fn current(&self) -> Option<&String> {
        self.addresses().nth(self.position % self.count().max(1))
    }

    /// Decides whether an answer is used. This is the only place that does: nothing behind it looks at
    /// [`Update::isolated`] again, and `Edge::apply_update` asserts that it never sees such an update.
    ///
    /// A node that has lost contact to a quorum of the voters may describe a state that the others have replaced
    /// since. Were its answer applied, an edge would send requests to past owners of slices, or go back to an older
    /// configuration; were only its feed position stored, the edge would acknowledge changes that it never applied,
    /// and the next node would not send them again. So neither is used, and an edge that has had no other answer
    /// does not become ready. Only the addresses it lists are kept, as hints whom to poll.
    ///
    /// Returns the update that may be applied, or the pause before the next node is polled.
    pub(crate) fn accept(&mut self, request: &mut WatchRequest, update: Update) -> Result<Update, Duration> {
        if update.isolated {
            if !update.control_plane_addresses.is_empty() {
                self.keep_current(|candidates| candidates.hinted = update.control_plane_addresses);
            }
            return Err(self.poll_failed());
        }
        if !update.control_plane_addresses.is_empty() && update.control_plane_addresses != self.confirmed {
            self.keep_current(|candidates| candidates.confirmed = update.control_plane_addresses.clone());
        }
        (request.feed_id, request.sequence) = (update.feed_id, update.sequence);
        self.record_position(&update);
        let revision = update.config.as_ref().map(|config| config.revision);
        request.known_revision = request.known_revision.max(revision);
        self.poll_succeeded();
        Ok(update)
    }

    /// An edge that has all of one node needs no rest of another one's snapshot.
    fn record_position(&mut self, update: &Update) {
        if !update.incomplete {
            return self.incomplete_feeds.clear();
        }
        if let Some(address) = self.current().cloned() {
            self.incomplete_feeds.insert(address, (update.feed_id, update.sequence));
        }
    }

    /// Goes on where the edge was with the current node, if it has a part of its feed: that is not sent again.
    pub(crate) fn resume(&self, request: &mut WatchRequest) {
        let known = self.current().and_then(|address| self.incomplete_feeds.get(address));
        if let Some((feed_id, sequence)) = known {
            (request.feed_id, request.sequence) = (*feed_id, *sequence);
        }
    }

    /// Changes the lists; the current node stays the current one as long as it is in them.
    fn keep_current(&mut self, change: impl FnOnce(&mut Candidates)) {
        let current = self.current().cloned();
        change(self);
        let position = self.addresses().position(|address| Some(address) == current.as_ref());
        self.position = position.unwrap_or(self.position);
    }

    /// Timeout of the connection, and then of the response, of the first poll of a node. It grows with each round in which all nodes were too slow.
    pub(crate) fn response_timeout(&self) -> Duration {
        let failed_rounds = self.failures / self.count().max(1);
        (FIRST_RESPONSE_TIMEOUT * (1 + failed_rounds as u32)).min(POLL_TIMEOUT)
    }

    fn poll_succeeded(&mut self) {
        (self.failures, self.backoff) = (0, Duration::ZERO);
    }

    /// Goes on to the next node. Returns the pause before it is polled: none until all of them have failed.
    pub(crate) fn poll_failed(&mut self) -> Duration {
        self.position = self.position.wrapping_add(1);
        self.failures += 1;
        if !self.failures.is_multiple_of(self.count().max(1)) {
            return Duration::ZERO;
        }
        self.backoff = backoff::next_poll_backoff(self.backoff);
        self.backoff
    }
}

#[cfg(test)]
#[path = "candidates_tests.rs"]
mod tests;
