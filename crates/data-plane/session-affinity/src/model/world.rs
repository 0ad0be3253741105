//! A state of the model (nodes, network and endpoints), and its successor states.
use super::scenario::Scenario;
use crate::ids::{NodeId, RequestId};
use crate::messages::Message;
use crate::node::AffinityNode;
use crate::record::{Outcome, RecordedResponse, SessionId};
use crate::request::{Decision, IdempotentRequest, Output};
use crate::settings::AffinitySettings;
use std::collections::{BTreeMap, BTreeSet};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;
use thiserror::Error;

const NODES: [NodeId; 3] = [0, 1, 2];
/// The time does not advance, so that no wait ends by timeout.
const NOW: u64 = 100;
const MAX_SESSIONS: usize = 2;
/// Distance between the incarnation numbers of two nodes. A restart adds half of it.
const INCARNATIONS_PER_NODE: u64 = 1_000;

/// A guarantee of the package that a state violates.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum Violation {
    /// The request of a session was sent to an endpoint a second time, although the first attempt was not proven not to
    /// have been executed.
    #[error("the request of session {session} was executed twice")]
    ExecutedTwice {
        /// The session.
        session: usize,
    },
    /// A client got the recorded response of a request that was not executed.
    #[error("a client of session {session} got the response of a request that was not executed")]
    ResponseWithoutExecution {
        /// The session.
        session: usize,
    },
}

/// A scenario and the settings derived from it.
pub(super) struct Model {
    pub(super) scenario: Scenario,
    settings: AffinitySettings,
}

impl Model {
    pub(super) fn new(scenario: Scenario) -> Model {
        let settings = AffinitySettings {
            max_sessions: scenario.capacity,
            max_clock_skew_ms: 0,
            peer_timeout_ms: 1_000,
            max_claim_retries: scenario.claim_retries,
            #[cfg(test)]
            injected_bug: scenario.injected_bug,
            ..AffinitySettings::default()
        };
        Model { scenario, settings }
    }

    fn session_of(&self, request: RequestId) -> usize {
        self.scenario.requests[request as usize].session as usize
    }
}

/// A value and its hash, shared between the states in which the value is the same.
#[derive(Clone)]
struct Hashed<T> {
    hash: u64,
    value: Arc<T>,
}

impl<T: Hash> Hashed<T> {
    fn new(value: T) -> Hashed<T> {
        let mut hasher = DefaultHasher::new();
        value.hash(&mut hasher);
        Hashed { hash: hasher.finish(), value: Arc::new(value) }
    }
}

impl<T> Hash for Hashed<T> {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.hash.hash(state);
    }
}

#[derive(Clone, Hash)]
struct Envelope {
    from: NodeId,
    to: NodeId,
    message: Message,
}

/// A state of the model.
#[derive(Clone, Hash)]
pub(super) struct World {
    nodes: [Hashed<AffinityNode>; 3],
    /// Messages in transit, by hash.
    network: BTreeMap<u64, Hashed<Envelope>>,
    /// The requests that have arrived, as a bit set of their indices.
    arrived: u8,
    /// Requests at an endpoint, with the node that sent them.
    running: BTreeSet<(NodeId, RequestId)>,
    /// For each session, how many times its request was sent without being proven not to have been executed.
    executions: [u8; MAX_SESSIONS],
    losses_left: u8,
    duplicates_left: u8,
}

/// The successor states of one state.
type Successors = Vec<Result<World, Violation>>;

impl World {
    pub(super) fn new(model: &Model) -> World {
        let node = |id: NodeId| {
            let incarnation = u64::from(id) * INCARNATIONS_PER_NODE;
            Hashed::new(AffinityNode::new(id, &model.settings, incarnation, 0))
        };
        World {
            nodes: NODES.map(node),
            network: BTreeMap::new(),
            arrived: 0,
            running: BTreeSet::new(),
            executions: [0; MAX_SESSIONS],
            losses_left: model.scenario.losses,
            duplicates_left: model.scenario.duplicates,
        }
    }

    pub(super) fn state_hash(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        self.hash(&mut hasher);
        hasher.finish()
    }

    pub(super) fn successors(&self, model: &Model) -> Successors {
        let mut next = vec![];
        self.requests_arrive(model, &mut next);
        self.messages_arrive(model, &mut next);
        self.attempts_end(model, &mut next);
        self.a_node_restarts(model, &mut next);
        next
    }

    fn branch(&self, next: &mut Successors, change: impl FnOnce(&mut World) -> Result<(), Violation>) {
        let mut world = self.clone();
        next.push(change(&mut world).map(|()| world));
    }

    fn requests_arrive(&self, model: &Model, next: &mut Successors) {
        for (index, request) in model.scenario.requests.iter().enumerate() {
            if self.arrived & (1 << index) != 0 {
                continue;
            }
            self.branch(next, |world| {
                world.arrived |= 1 << index;
                let idempotent_request = IdempotentRequest {
                    request_id: index as RequestId,
                    session: SessionId([request.session, 0]),
                    created_at: request.session + 1,
                    replicas: NODES.to_vec(),
                    key: "k".into(),
                    fingerprint: 1,
                    deadline: NOW + 5_000,
                };
                world.step(model, request.node, |node| node.admit(NOW, idempotent_request))
            });
        }
    }

    fn messages_arrive(&self, model: &Model, next: &mut Successors) {
        for (hash, envelope) in &self.network {
            let deliver = |world: &mut World| {
                let Envelope { from, to, message } = Envelope::clone(&envelope.value);
                world.step(model, to, |node| node.receive_message(NOW, from, message))
            };
            self.branch(next, |world| {
                world.network.remove(hash);
                deliver(world)
            });
            if self.duplicates_left > 0 {
                self.branch(next, |world| {
                    world.duplicates_left -= 1;
                    deliver(world)
                });
            }
        }
    }

    fn attempts_end(&self, model: &Model, next: &mut Successors) {
        for &(node, request) in &self.running {
            let outcomes = [
                Outcome::NotExecuted,
                Outcome::Unknown,
                Outcome::Completed(RecordedResponse { status: 200, headers: vec![], body: vec![] }),
            ];
            for outcome in outcomes.into_iter().take(model.scenario.outcomes.into()) {
                self.branch(next, |world| {
                    world.running.remove(&(node, request));
                    if outcome == Outcome::NotExecuted {
                        world.executions[model.session_of(request)] -= 1;
                    }
                    world.step(model, node, |node| node.complete(NOW, request, outcome))
                });
            }
        }
    }

    fn a_node_restarts(&self, model: &Model, next: &mut Successors) {
        if self.losses_left == 0 || self.arrived == 0 {
            return;
        }
        for id in NODES {
            self.branch(next, |world| {
                world.losses_left -= 1;
                // Its requests at endpoints may have been executed, but no node remains that reports their outcomes.
                world.running.retain(|(node, _)| *node != id);
                let incarnation = u64::from(id) * INCARNATIONS_PER_NODE + INCARNATIONS_PER_NODE / 2;
                let settings = &model.settings;
                world.step(model, id, |node| {
                    *node = AffinityNode::new(id, settings, incarnation, settings.lost_up_to(NOW));
                    vec![]
                })
            });
        }
    }

    /// Performs one step of a node and applies its effects.
    fn step(
        &mut self,
        model: &Model,
        id: NodeId,
        act: impl FnOnce(&mut AffinityNode) -> Vec<Output>,
    ) -> Result<(), Violation> {
        let mut node = AffinityNode::clone(&self.nodes[id as usize].value);
        let outputs = act(&mut node);
        node.normalize();
        self.nodes[id as usize] = Hashed::new(node);
        for output in outputs {
            self.apply(model, id, output)?;
        }
        self.drop_obsolete_messages();
        Ok(())
    }

    fn apply(&mut self, model: &Model, from: NodeId, output: Output) -> Result<(), Violation> {
        match output {
            // These only end the wait of a client.
            Output::Send { msg: Message::CompletionAck { .. }, .. } | Output::Respond { .. } => {}
            Output::Send { msg: Message::Superseded { .. }, .. } if model.scenario.without_superseded => {}
            Output::Send { to, msg } => {
                let envelope = Hashed::new(Envelope { from, to, message: msg });
                self.network.insert(envelope.hash, envelope);
            }
            Output::SendRequest { request_id } => {
                let session = model.session_of(request_id);
                self.running.insert((from, request_id));
                self.executions[session] += 1;
                if self.executions[session] > 1 {
                    return Err(Violation::ExecutedTwice { session });
                }
            }
            Output::Decided { request_id, reply } => {
                let session = model.session_of(request_id);
                let executed = self.executions[session] == 1;
                if matches!(reply, Decision::Replay(_) | Decision::ResponseExpired) && !executed {
                    return Err(Violation::ResponseWithoutExecution { session });
                }
            }
        }
        Ok(())
    }

    /// Removes messages without further effect, to reduce the number of states. This equals their loss.
    fn drop_obsolete_messages(&mut self) {
        let World { nodes, network, .. } = self;
        network.retain(|_, envelope| {
            let Envelope { from, to, message } = &*envelope.value;
            let (sender, receiver) = (&nodes[*from as usize].value, &nodes[*to as usize].value);
            !receiver.is_obsolete(sender, message)
        });
    }
}
