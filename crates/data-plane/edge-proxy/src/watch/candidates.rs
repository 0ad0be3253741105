//! Decides which control-plane node is polled next and which answers are used.
use coppersail_config::ProcessSettings;
use coppersail_load_balancing::backoff;
use coppersail_peer_protocol::{Update, WatchRequest};
use std::collections::BTreeMap;
use std::time::Duration;

/// Timeout of a whole poll, which bounds the time lost on an unresponsive node.
pub(crate) const POLL_TIMEOUT: Duration = Duration::from_millis(1_600);
/// Timeout of connecting to a node.
pub(crate) const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Initial timeout of the response to the first poll of a node, which requests an immediate answer. A node
/// may accept the connection and have no thread for it, for example after a restart, when all edges reconnect
/// at the same time. The edge moves on from such a node as fast as from one that does not accept the
/// connection. Since both take longer on a congested link, the timeout grows.
const FIRST_RESPONSE_TIMEOUT: Duration = CONNECT_TIMEOUT;

/// Control-plane nodes in the order in which they are polled, and the backoff between rounds.
#[derive(Debug, Default)]
pub(crate) struct Candidates {
    /// Addresses listed by a node that has a quorum.
    confirmed: Vec<String>,
    /// Addresses from the settings.
    configured: Vec<String>,
    /// Addresses listed only by an isolated node, which are used for polling only.
    hinted: Vec<String>,
    /// Index of the current node. It is taken modulo the number of nodes.
    position: usize,
    /// For nodes whose feed is only partially received, by address: the feed id and sequence number of the
    /// last answer that was applied. Since the edge's state only advances, the feed can be resumed there
    /// after other nodes were polled.
    incomplete_feeds: BTreeMap<String, (u64, u64)>,
    /// Number of failed polls since the last usable answer.
    failures: usize,
    /// The last delay between two rounds.
    backoff: Duration,
}

impl Candidates {
    /// Creates the candidates from the settings. A hash of this edge's address selects the first node, so
    /// that edges are distributed evenly over the nodes.
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

    /// The address of the node to poll now.
    pub(crate) fn current(&self) -> Option<&String> {
        self.addresses().nth(self.position % self.count().max(1))
    }

    /// Decides whether an answer is used. This is the only place that checks [`Update::isolated`];
    /// `Edge::apply_update` asserts that it never gets an isolated update.
    ///
    /// A node that has lost contact with a quorum of the voters may describe a state that the other nodes
    /// have replaced. If its answer were applied, the edge could send requests to previous owners of slices
    /// or return to an older configuration. If only its feed position were stored, the edge would acknowledge
    /// changes that it never applied, and the next node would not send them again. Therefore neither is used,
    /// and an edge that has received no other answer does not become ready. Only the listed addresses are
    /// kept, as hints for further polls.
    ///
    /// Returns the update to apply, or the delay before the next node is polled.
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

    /// Records the feed position of an incomplete update. After a complete one, the edge does not need the
    /// missing parts of other nodes' snapshots.
    fn record_position(&mut self, update: &Update) {
        if !update.incomplete {
            return self.incomplete_feeds.clear();
        }
        if let Some(address) = self.current().cloned() {
            self.incomplete_feeds.insert(address, (update.feed_id, update.sequence));
        }
    }

    /// Resumes the feed of the current node where it was interrupted, if a part of it was received, so that
    /// this part is not sent again.
    pub(crate) fn resume(&self, request: &mut WatchRequest) {
        let known = self.current().and_then(|address| self.incomplete_feeds.get(address));
        if let Some((feed_id, sequence)) = known {
            (request.feed_id, request.sequence) = (*feed_id, *sequence);
        }
    }

    /// Changes the address lists and keeps the current node, if it is still listed.
    fn keep_current(&mut self, change: impl FnOnce(&mut Candidates)) {
        let current = self.current().cloned();
        change(self);
        let position = self.addresses().position(|address| Some(address) == current.as_ref());
        self.position = position.unwrap_or(self.position);
    }

    /// Timeout of connecting, and then of the response, for the first poll of a node. It grows with each
    /// round in which all nodes failed.
    pub(crate) fn response_timeout(&self) -> Duration {
        let failed_rounds = self.failures / self.count().max(1);
        (FIRST_RESPONSE_TIMEOUT * (1 + failed_rounds as u32)).min(POLL_TIMEOUT)
    }

    fn poll_succeeded(&mut self) {
        (self.failures, self.backoff) = (0, Duration::ZERO);
    }

    /// Moves on to the next node. Returns the delay before it is polled, which is zero until all nodes have
    /// failed.
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
