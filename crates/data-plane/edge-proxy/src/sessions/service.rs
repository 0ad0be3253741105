//! Drives the `AffinityNode`, which does no I/O itself: calls it and carries out its outputs.
use super::clock::{unix_millis, unix_nanos};
use super::peer_links::{max_body_bytes, PeerLinks};
use super::settings::{self, SessionsError};
use super::tokens::SessionTokens;
use coppersail_config::{ProcessSettings, SessionSettings};
use coppersail_session_affinity::{AffinityNode, Decision, Message, Ms, NodeId, Output, PeerSets, RequestId};
use rustc_hash::FxHashMap;
use slog::{info, Logger};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver, UnboundedSender};
use tokio::task::spawn_local;

/// The progress that the node reports to the task of a waiting request.
pub(super) enum Progress {
    /// The request is to be sent to an endpoint, and its outcome to be reported to the node.
    Send,
    /// The outcome is recorded by a majority of the replicas, or the wait for the majority has timed out.
    Recorded,
    /// The request must not be sent; the decision determines the response.
    Decided(Decision),
}

/// The sessions of one edge.
pub struct Sessions {
    pub(super) log: Logger,
    pub(super) settings: SessionSettings,
    pub(super) tokens: SessionTokens,
    pub(super) peer_sets: PeerSets,
    pub(super) node_id: NodeId,
    pub(super) node: RefCell<AffinityNode>,
    pub(super) links: PeerLinks,
    /// Number of rejected tokens.
    pub(super) rejected_tokens: Cell<u64>,
    pending_requests: RefCell<FxHashMap<RequestId, UnboundedSender<Progress>>>,
    next_request_id: Cell<RequestId>,
}

impl Sessions {
    /// Creates the session state of the edge that peers reach at `address` (`ip:port`). `initial_boot` means
    /// that the whole system starts for the first time, so that this node cannot have lost sessions that its
    /// peers still have.
    ///
    /// # Errors
    /// When a key file cannot be read, keys are too short, or the newest peer set lacks the address.
    pub fn new(
        settings: SessionSettings,
        address: &str,
        initial_boot: bool,
        log: Logger,
    ) -> Result<Rc<Sessions>, SessionsError> {
        let keys = settings::signing_keys(&settings)?;
        let peer_sets = settings::peer_sets(&settings);
        let newest = &settings.peer_sets[&peer_sets.newest()];
        let node_id = settings::node_id(newest, address)?;
        let affinity = settings::affinity_settings(&settings);
        let forgotten_before = if initial_boot { 0 } else { affinity.lost_up_to(unix_millis()) };
        let node = AffinityNode::new(node_id, &affinity, unix_nanos(), forgotten_before);
        info!(log, "session: node {node_id} of {} in peer set {}", newest.len(), peer_sets.newest());
        Ok(Rc::new(Sessions {
            log,
            tokens: SessionTokens::new(&settings, keys),
            links: PeerLinks::new(
                node_id,
                settings.peer_timeout,
                settings.max_sessions,
                max_body_bytes(&settings),
            ),
            settings,
            peer_sets,
            node_id,
            node: RefCell::new(node),
            rejected_tokens: Cell::new(0),
            pending_requests: RefCell::default(),
            next_request_id: Cell::new(1),
        }))
    }

    /// Creates the session state with the settings in the file at `path`. Also returns the address at which
    /// peers reach this edge, whose port is the second of the spare ports (setting `network.sparePorts`).
    ///
    /// # Errors
    /// When there is no second spare port, the file is invalid, or [`Sessions::new`] fails.
    pub fn from_process_settings(
        path: &str,
        process_settings: &ProcessSettings,
        log: Logger,
    ) -> Result<(Rc<Sessions>, String), SessionsError> {
        let port = process_settings.peer_ports.0 + 1;
        if port > process_settings.peer_ports.1 {
            return Err(SessionsError::NoPort);
        }
        let address = format!("{}:{port}", process_settings.ip_address);
        let settings = SessionSettings::read(path)?;
        Ok((Sessions::new(settings, &address, process_settings.initial_boot, log)?, address))
    }

    /// Returns an id that is unique among the requests of this process.
    pub(super) fn new_request_id(&self) -> RequestId {
        self.next_request_id.replace(self.next_request_id.get() + 1)
    }

    /// Registers a waiting request and returns the receiver of its progress, until
    /// [`Sessions::forget_request`].
    pub(super) fn progress_of(&self, request: RequestId) -> UnboundedReceiver<Progress> {
        let (sender, progress) = unbounded_channel();
        self.pending_requests.borrow_mut().insert(request, sender);
        progress
    }

    pub(super) fn forget_request(&self, request: RequestId) {
        self.pending_requests.borrow_mut().remove(&request);
    }

    /// Calls the node and carries out the outputs of the call.
    pub(super) fn drive(self: &Rc<Self>, call: impl FnOnce(&mut AffinityNode, Ms) -> Vec<Output>) {
        let outputs = call(&mut self.node.borrow_mut(), unix_millis());
        self.carry_out(outputs);
    }

    /// Carries out outputs of the node. The messages to one peer are queued together, in the order of the
    /// outputs.
    pub(super) fn carry_out(self: &Rc<Self>, outputs: Vec<Output>) {
        let mut messages: Vec<(NodeId, Vec<Message>)> = vec![];
        for output in outputs {
            match output {
                Output::Send { to, msg } => match messages.iter_mut().find(|(peer, _)| *peer == to) {
                    Some((_, queued)) => queued.push(msg),
                    None => messages.push((to, vec![msg])),
                },
                Output::SendRequest { request_id } => self.notify(request_id, Progress::Send),
                Output::Respond { request_id } => self.notify(request_id, Progress::Recorded),
                Output::Decided { request_id, reply } => self.notify(request_id, Progress::Decided(reply)),
            }
        }
        for (to, messages) in messages {
            if self.links.enqueue(to, &messages) {
                spawn_local(self.clone().send_queued(to));
            }
        }
    }

    fn notify(&self, request: RequestId, progress: Progress) {
        if let Some(sender) = self.pending_requests.borrow().get(&request) {
            // The send fails only if the request's task has ended, which then needs no progress.
            let _ = sender.send(progress);
        }
    }

    /// Sends the messages queued for a peer until the queue is empty, and passes the peer's responses to the
    /// node.
    async fn send_queued(self: Rc<Self>, to: NodeId) {
        while let Some(batch) = self.links.next_batch(to) {
            let address = self.peer_sets.address(to).unwrap_or_default();
            // A missing response is treated as lost, since the node's waits end by timeout.
            for message in self.links.send(to, address, batch).await.unwrap_or_default() {
                self.drive(|node, now| node.receive_message(now, to, message));
            }
        }
    }
}
