//! A cluster of four nodes, with a network that delivers messages in order and can be partitioned.
use crate::{
    AffinityNode, AffinitySettings, Decision, IdempotentRequest, Message, Ms, NodeId, Outcome, Output,
    RecordedResponse, RequestId, SessionId,
};
use std::collections::{BTreeMap, VecDeque};

pub(super) const CREATED_AT: Ms = 1_000_000;

pub(super) struct Cluster {
    pub(super) settings: AffinitySettings,
    pub(super) now: Ms,
    pub(super) nodes: BTreeMap<NodeId, AffinityNode>,
    /// Nodes on one side of a partition; empty without a partition.
    pub(super) partition: Vec<NodeId>,
    network: VecDeque<(NodeId, NodeId, Message)>,
    /// Requests that were sent to endpoints, by the node that sent them.
    pub(super) sent: Vec<(NodeId, RequestId)>,
    /// The answer to each request; `None` if it was sent and its outcome is recorded.
    pub(super) answers: BTreeMap<RequestId, Option<Decision>>,
}

impl Cluster {
    pub(super) fn new(settings: AffinitySettings) -> Cluster {
        let node = |id| (id, AffinityNode::new(id, &settings, u64::from(id), 0));
        let nodes = (1..=4).map(node).collect();
        let (partition, network) = (vec![], VecDeque::new());
        Cluster {
            nodes,
            settings,
            now: CREATED_AT,
            partition,
            network,
            sent: vec![],
            answers: BTreeMap::new(),
        }
    }

    pub(super) fn apply(&mut self, from: NodeId, outputs: Vec<Output>) {
        for output in outputs {
            match output {
                Output::Send { to, msg } => self.network.push_back((from, to, msg)),
                Output::SendRequest { request_id } => self.sent.push((from, request_id)),
                Output::Respond { request_id } => drop(self.answers.insert(request_id, None)),
                Output::Decided { request_id, reply } => drop(self.answers.insert(request_id, Some(reply))),
            }
        }
    }

    pub(super) fn with_node(&mut self, id: NodeId, act: impl FnOnce(&mut AffinityNode, Ms) -> Vec<Output>) {
        let now = self.now;
        if let Some(node) = self.nodes.get_mut(&id) {
            let outputs = act(node, now);
            self.apply(id, outputs);
        }
    }

    pub(super) fn deliver_all(&mut self) {
        while let Some((from, to, msg)) = self.network.pop_front() {
            if self.partition.contains(&from) == self.partition.contains(&to) {
                self.with_node(to, |node, now| node.receive_message(now, from, msg));
            }
        }
    }

    pub(super) fn request(
        &self,
        session: u64,
        request_id: RequestId,
        key: &str,
        fingerprint: u64,
    ) -> IdempotentRequest {
        let (key, deadline) = (key.into(), self.now + 5_000);
        IdempotentRequest {
            request_id,
            session: SessionId([session, 0]),
            created_at: CREATED_AT,
            replicas: vec![1, 2, 3],
            key,
            fingerprint,
            deadline,
        }
    }

    pub(super) fn send(&mut self, id: NodeId, request_id: RequestId, key: &str) {
        let request = self.request(1, request_id, key, 7);
        self.with_node(id, |node, now| node.admit(now, request));
        self.deliver_all();
    }

    pub(super) fn complete(&mut self, id: NodeId, request_id: RequestId, outcome: Outcome) {
        self.with_node(id, |node, now| node.complete(now, request_id, outcome));
        self.deliver_all();
    }

    pub(super) fn advance(&mut self, time: Ms) {
        self.now += time;
        for id in 1..=4 {
            self.with_node(id, |node, now| node.tick(now));
        }
        self.deliver_all();
    }

    pub(super) fn kill(&mut self, id: NodeId) {
        self.nodes.remove(&id);
    }

    pub(super) fn restart(&mut self, id: NodeId) {
        let lost_up_to = self.settings.lost_up_to(self.now);
        self.nodes.insert(id, AffinityNode::new(id, &self.settings, self.now, lost_up_to));
    }
}

pub(super) fn response() -> RecordedResponse {
    RecordedResponse { status: 201, headers: vec![], body: b"table 4".to_vec() }
}

pub(super) fn executed() -> Outcome {
    Outcome::Completed(response())
}
