//! The model of a cluster of cores: nodes with disks, messages in flight, a clock, faults within a budget,
//! and the invariants that must hold in every state.
mod apply;
mod config;
mod disk;
mod enabled;
mod fingerprint;
mod invariants;
mod liveness;
mod network;
mod reference;
mod state;
mod step;

pub(crate) use config::{timeouts, FaultBudget, ModelConfig};
pub(crate) use step::{Delivery, Isolation, Step, TraceStep};

use coppersail_consensus::{Change, Core, Output, Voter};
use fingerprint::fingerprint_of;
use reference::ReferenceState;
use state::{CallOrigin, Message, Node, Payload, QueuedWrite, NAMES};
use std::collections::BTreeMap;
use std::sync::Arc;

/// A state of the model. Nodes and the reference state are shared with preceding states until they change.
#[derive(Clone)]
pub(crate) struct Cluster {
    /// True time in ms; see [`Cluster::clock`].
    pub(crate) now: u64,
    pub(crate) config: Arc<ModelConfig>,
    pub(crate) nodes: Vec<Arc<Node>>,
    /// The fingerprint of each node; 0 if it was not computed since the node changed.
    node_fingerprints: Vec<u64>,
    /// Messages in flight with their fingerprints, sorted by fingerprint.
    network: Vec<(u64, Arc<Message>)>,
    /// Whether nothing has happened since the last advance of the time, except for steps that are enabled
    /// only then.
    time_just_advanced: bool,
    /// The end of the last lease that each voter granted.
    lease_ends: BTreeMap<usize, u64>,
    /// Whether responses sent in this step are lost.
    drops_responses: bool,
    pub(crate) budget: FaultBudget,
    /// The number of the last proposed change; they are numbered from 1.
    pub(crate) last_proposal: u64,
    pub(crate) reference: Arc<ReferenceState>,
    pub(crate) trace: Option<Arc<TraceStep>>,
}

impl Cluster {
    /// A cluster in which all nodes have just started with empty disks.
    pub(crate) fn new(config: ModelConfig) -> Cluster {
        let mut cluster = Cluster {
            now: 1_000,
            config: Arc::new(config),
            nodes: (0..config.node_count).map(|_| Arc::new(Node::default())).collect(),
            node_fingerprints: vec![0; config.node_count],
            network: Vec::new(),
            time_just_advanced: true,
            lease_ends: BTreeMap::new(),
            drops_responses: false,
            budget: FaultBudget::default(),
            last_proposal: 0,
            reference: Arc::default(),
            trace: None,
        };
        let is_present = |node: &usize| config.absent_nodes >> node & 1 == 0;
        for node in (0..config.node_count).filter(is_present) {
            cluster.start_node(node, node < config.initial_voters).unwrap();
        }
        cluster
    }

    /// The time on a node's clock.
    pub(crate) fn clock(&self, node: usize) -> u64 {
        (self.now as i64 * (1_000 + self.config.clock_drift[node]) / 1_000) as u64
    }

    fn node_mut(&mut self, node: usize) -> &mut Node {
        self.node_fingerprints[node] = 0;
        Arc::make_mut(&mut self.nodes[node])
    }

    pub(crate) fn core(&self, node: usize) -> Option<&Core> {
        self.nodes[node].core.as_ref()
    }

    /// The nodes whose process runs.
    pub(crate) fn running(&self) -> Vec<usize> {
        (0..self.nodes.len()).filter(|node| self.nodes[*node].core.is_some()).collect()
    }

    /// The nodes that hold the leader lease by their own clock. The invariant is that there is one at most.
    pub(crate) fn lease_holders(&self) -> Vec<usize> {
        let holds_lease = |node: &usize| self.core(*node).unwrap().holds_leader_lease(self.clock(*node));
        self.running().into_iter().filter(holds_lease).collect()
    }

    /// The fingerprint of the state; equal states have equal ones, whatever steps led to them.
    pub(crate) fn fingerprint(&mut self) -> u64 {
        for node in 0..self.nodes.len() {
            if self.node_fingerprints[node] == 0 {
                self.node_fingerprints[node] = fingerprint_of(&*self.nodes[node]) | 1;
            }
        }
        let network = self
            .network
            .iter()
            .fold(0u64, |sum, (fingerprint, _)| sum.wrapping_add(fingerprint.wrapping_mul(fingerprint | 1)));
        fingerprint_of(&(
            self.now,
            &self.node_fingerprints,
            network,
            self.time_just_advanced,
            &self.lease_ends,
            self.budget,
            self.last_proposal,
            &*self.reference,
        ))
    }

    /// Passes an input to a node's core and executes its outputs.
    fn run_core(
        &mut self,
        node: usize,
        input: impl FnOnce(&mut Core, u64, &mut Vec<Output>),
    ) -> Result<(), String> {
        let now = self.clock(node);
        let mut out = Vec::new();
        if let Some(core) = self.node_mut(node).core.as_mut() {
            input(core, now, &mut out);
        }
        self.carry_out(node, out)
    }

    fn carry_out(&mut self, node: usize, outputs: Vec<Output>) -> Result<(), String> {
        for output in outputs {
            match output {
                Output::Send { operation_id, to, request, timeout } => {
                    let deadline = self.now + timeout;
                    let caller = self.node_mut(node);
                    caller.call_deadlines.insert(operation_id, deadline);
                    let boot = caller.boot_count;
                    let (to, payload) = (state::index_of(&to), Payload::Request(request));
                    self.send(Message { from: node, boot, operation_id, to, late: false, payload });
                }
                Output::Respond { request_id, response } => {
                    if let Some(origin) = CallOrigin::of(request_id) {
                        self.respond(node, origin, response)?;
                    }
                }
                Output::Persist { operation_id, state, replace, metadata } => {
                    let write = QueuedWrite { operation_id, state, replace, metadata };
                    self.node_mut(node).queued_writes.push_back(write);
                    self.complete_implicit_writes(node)?;
                }
                Output::Committed(changes) => self.note_acknowledged(node, &changes)?,
                _ => {}
            }
        }
        Ok(())
    }

    /// Proposes the next change, which writes an entry of its own and its number into the entry `last`.
    pub(crate) fn propose(&mut self, node: usize) -> Result<(), String> {
        self.last_proposal += 1;
        let number = self.last_proposal;
        let writes = vec![(format!("k{number}"), number.to_string()), ("last".into(), number.to_string())];
        self.run_core(node, |core, now, out| core.propose(now, Change { ticket: number, writes }, out))
    }

    /// The node at which a step happens, if it is a single one.
    pub(crate) fn node_of(&self, step: &Step) -> Option<usize> {
        match step {
            Step::Deliver(index, _) => Some(self.network[*index].1.receiver()),
            Step::CompleteWrite(node) | Step::FailWrite(node) | Step::Propose(node) => Some(*node),
            _ => None,
        }
    }

    /// Whether the leader's record names this node as a replica or a voter.
    pub(crate) fn is_in_leaders_record(&self, node: usize) -> bool {
        let leader = self.lease_holders().first().and_then(|leader| self.core(*leader));
        leader.is_some_and(|core| core.record.is_replica(NAMES[node]) || core.record.is_voter(NAMES[node]))
    }

    /// The number of messages in flight whose debug text contains `text`.
    pub(crate) fn messages_containing(&self, text: &str) -> usize {
        self.network.iter().filter(|(_, message)| format!("{:?}", message.payload).contains(text)).count()
    }

    /// A node as a line of text, for the report of a failed test.
    pub(crate) fn describe_node(&self, index: usize) -> String {
        let (node, name) = (&self.nodes[index], NAMES[index]);
        let Some(core) = &node.core else {
            return format!("{name}: down, removed {}, {:?}", node.removed, node.metadata);
        };
        let record = &core.record;
        let describe = |voters: &[Voter]| {
            voters.iter().map(|voter| format!("{}{}", voter.id, voter.incarnation)).collect::<Vec<_>>()
        };
        let last_durable_term = core.last_durable_term();
        format!(
            "{name}: incarnation {}, last durable term {}{}, disk healthy {}, shutting down {}, knows term {} of {} \
             with backups {:?}, voters {:?}, outgoing {:?}",
            core.incarnation(),
            last_durable_term.number,
            last_durable_term.candidate,
            core.disk_healthy,
            core.is_shutting_down(),
            record.term.number,
            record.leader,
            record.backups,
            describe(&record.voters),
            describe(&record.outgoing_voters),
        )
    }
}
