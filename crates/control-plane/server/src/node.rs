//! A member of the control plane as a pure state machine: it takes events and returns effects. Threads,
//! sockets and the disk are adapters (`server.rs`, `peer_rpc.rs`, `store.rs`) that make no decisions; the
//! simulator drives the same state machine.
pub use crate::messages::{AdminRequest, Effect, Event, PeerRequest, PeerResponse, Startup};
use crate::peer_links::PeerLinks;
use crate::responses::{Rejection, Reply, SHUTS_DOWN};
use crate::state::State;
use crate::store::{FolderCondition, WriteBatch};
use crate::timeouts::Timeouts;
use coppersail_config::ProcessSettings;
use coppersail_consensus::{Core, InitialState, Ms, OperationId, Output, RequestId};
use coppersail_peer_protocol::WatchRequest;
use std::collections::VecDeque;

// Periodic work, in ticks of about 50 ms.
const RECONCILIATION_TICKS: u64 = 4;
const COUNT_DECAY_TICKS: u64 = 100;
const PEER_SELECTION_TICKS: u64 = 10;

/// The progress of a shutdown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ExitPhase {
    /// Not shutting down, or still handing over its duties: leadership and its copy of the replicated state.
    Running,
    /// The duties are handed over. Accepted requests are still answered; new ones are refused.
    Finishing,
    Exited,
}

/// One member of the control plane.
pub struct Node {
    state: State,
    peer_links: PeerLinks,
    settings: ProcessSettings,
    ticks: u64,
    had_quorum_contact: bool,
    /// The last revision that was logged as in force.
    logged_revision: Option<u64>,
    exit: ExitPhase,
}

impl Node {
    /// Starts a node at `now` (ms); returns it with its first effects.
    pub fn start(now: Ms, startup: Startup) -> (Node, Vec<Effect>) {
        let Startup { settings, recovered, feed_and_disk_incarnation: new_incarnation } = startup;
        let timeouts = Timeouts::new(&settings);
        let mut outputs = Vec::new();
        let initial_state = InitialState {
            id: settings.admin_address.clone().unwrap_or_default(),
            zone: settings.zone.clone(),
            timeouts: timeouts.core,
            peers: settings.known_peers.clone(),
            bootstrap: settings.initial_boot && recovered.condition == FolderCondition::Fresh,
            state: recovered.state,
            metadata: recovered.metadata,
            new_incarnation,
        };
        let core = Core::start(now, initial_state, &mut outputs);
        let mut node = Node {
            state: State::new(&settings, timeouts, core, new_incarnation),
            peer_links: PeerLinks::default(),
            settings,
            ticks: 0,
            had_quorum_contact: false,
            logged_revision: None,
            exit: ExitPhase::Running,
        };
        let mut effects = Vec::new();
        node.log_voters_needed(&mut effects);
        node.apply_outputs(now, outputs, &mut effects);
        (node, effects)
    }

    fn log_voters_needed(&self, effects: &mut Vec<Effect>) {
        let failures = self.settings.max_machine_failures;
        if failures > 1 {
            let voters = 2 * failures + 1;
            let line = format!("terms.survive.boxes is {failures}, which needs {voters} voters.");
            effects.push(Effect::Log(line));
        }
    }

    /// Handles one event at `now` (ms) and appends the effects in the order in which they have to be carried
    /// out.
    pub fn step(&mut self, now: Ms, event: Event, effects: &mut Vec<Effect>) {
        let (mut outputs, mut replies) = (Vec::new(), Vec::new());
        let is_tick = matches!(event, Event::Tick);
        match event {
            Event::Tick => self.tick(now, &mut replies, &mut outputs, effects),
            Event::Admin { request_id, .. } if self.exit != ExitPhase::Running => {
                replies.push(Reply::Admin(request_id, Rejection::unavailable(SHUTS_DOWN).into()))
            }
            Event::Admin { request_id, request } => {
                self.state.handle_admin_request(now, request_id, request, &mut replies, effects)
            }
            Event::Peer { request_id, request: PeerRequest::Watch(request) } => {
                self.watch(now, request_id, &request, &mut replies, &mut outputs)
            }
            Event::Peer { request_id, request: PeerRequest::Consensus(request) } => {
                self.state.core.handle_request(now, request_id, request, &mut outputs)
            }
            Event::PeerResponded { operation_id, response } => {
                self.handle_peer_response(now, operation_id, response, &mut replies, &mut outputs, effects)
            }
            Event::WriteFinished { operation_id, ok } => {
                self.state.core.handle_write_result(now, operation_id, ok, &mut outputs)
            }
            Event::Shutdown => self.begin_shutdown(now, &mut replies, effects),
            Event::SettingsChanged(settings) => self.change_settings(now, *settings, &mut outputs, effects),
        }
        self.apply_outputs(now, outputs, effects);
        self.log_new_revision(effects);
        let lines = std::mem::take(&mut self.state.log_lines);
        effects.extend(lines.into_iter().chain(self.state.violations.take_lines()).map(Effect::Log));
        let exits = is_tick && self.advance_exit(now, &mut replies);
        effects.extend(replies.into_iter().map(Effect::from));
        if exits {
            effects.push(Effect::Log("Shutdown is complete.".into()));
            effects.push(Effect::Exit);
        }
    }

    /// Logs a new revision. Edges log the same line, so the logs show where a configuration arrives late.
    fn log_new_revision(&mut self, effects: &mut Vec<Effect>) {
        let revision = self.state.feed.revision();
        if revision == self.logged_revision {
            return;
        }
        self.logged_revision = revision;
        if let Some(revision) = revision {
            effects.push(Effect::Log(format!("Configuration r{revision} is in force.")));
        }
    }

    fn tick(
        &mut self,
        now: Ms,
        replies: &mut Vec<Reply>,
        outputs: &mut Vec<Output>,
        effects: &mut Vec<Effect>,
    ) {
        self.ticks += 1;
        self.state.core.tick(now, outputs);
        if self.ticks.is_multiple_of(RECONCILIATION_TICKS) {
            self.state.detect_failures(now);
            self.state.reconcile_assignments(now);
            effects.extend(self.state.advance_rollouts(now).into_iter().map(Effect::Log));
        }
        if self.ticks.is_multiple_of(COUNT_DECAY_TICKS) {
            self.state.assignments.leases.decay_counts();
        }
        self.answer_edges_if_isolated(now, replies);
        self.state.send_due_replies(now, replies);
        if self.ticks % PEER_SELECTION_TICKS == 1 {
            self.peer_links.select_peers(now, &self.state);
        }
        self.peer_links.start_due_polls(now, &mut self.state, effects);
    }

    /// When quorum contact is lost, answers the polls of edges at once, so that they move to other members.
    fn answer_edges_if_isolated(&mut self, now: Ms, replies: &mut Vec<Reply>) {
        let has_quorum_contact = self.state.core.has_quorum_contact(now);
        if self.had_quorum_contact && !has_quorum_contact {
            self.state.answer_polls_of_edges(now, replies);
        }
        self.had_quorum_contact = has_quorum_contact;
    }

    /// Advances the shutdown; returns whether the process may exit now. Once its duties are handed over, the
    /// node refuses new requests of endpoints and operators, and answers the accepted ones before it exits.
    fn advance_exit(&mut self, now: Ms, replies: &mut Vec<Reply>) -> bool {
        if self.exit == ExitPhase::Running && self.state.core.may_exit(now) {
            self.exit = ExitPhase::Finishing;
        }
        if self.exit != ExitPhase::Finishing || !self.state.pending_replies.is_empty() {
            return false;
        }
        self.exit = ExitPhase::Exited;
        self.state.answer_all_polls(now, replies);
        true
    }

    fn watch(
        &mut self,
        now: Ms,
        request_id: RequestId,
        request: &WatchRequest,
        replies: &mut Vec<Reply>,
        outputs: &mut Vec<Output>,
    ) {
        self.state.watch(now, request, request_id, replies, outputs);
        // A poll acknowledges the previous update.
        if self.state.pending_replies.any_awaits_followers() {
            self.state.send_due_replies(now, replies);
        }
    }

    fn handle_peer_response(
        &mut self,
        now: Ms,
        operation_id: OperationId,
        response: Option<PeerResponse>,
        replies: &mut Vec<Reply>,
        outputs: &mut Vec<Output>,
        effects: &mut Vec<Effect>,
    ) {
        if let Some(peer) = self.peer_links.peer_of_poll(operation_id) {
            let update = match response {
                Some(PeerResponse::Update(update)) => Some(update),
                _ => None,
            };
            self.peer_links.finish_poll(now, &mut self.state, &peer, update, replies, outputs);
            self.peer_links.start_poll_if_due(now, &mut self.state, &peer, effects);
        } else {
            let response = match response {
                Some(PeerResponse::Consensus(response)) => Some(response),
                _ => None,
            };
            self.state.core.handle_response(now, operation_id, response, outputs);
        }
    }

    fn begin_shutdown(&mut self, now: Ms, replies: &mut Vec<Reply>, effects: &mut Vec<Effect>) {
        if !self.state.core.is_shutting_down() {
            effects
                .push(Effect::Log("Shutting down: handing over leadership and the replicated state.".into()));
            self.state.core.begin_shutdown(now);
            // The answers carry this member's status, by which the other members learn of the shutdown.
            self.state.answer_all_polls(now, replies);
        }
    }

    /// Applies the settings that can change without a restart. Logs a line for each changed field, also for
    /// those that need a restart.
    fn change_settings(
        &mut self,
        now: Ms,
        settings: ProcessSettings,
        outputs: &mut Vec<Output>,
        effects: &mut Vec<Effect>,
    ) {
        let reloaded = coppersail_config::reload(&self.settings, settings);
        let lines = reloaded.applied.iter().chain(&reloaded.restart);
        effects.extend(lines.map(|line| Effect::Log(format!("Settings: {line}."))));
        self.settings = reloaded.settings;
        self.state.change_timeouts(Timeouts::new(&self.settings));
        self.state.core.add_members(now, self.settings.known_peers.iter(), outputs);
    }

    /// Applies the outputs of the consensus core and the further outputs that they cause, until no change is
    /// left to propose.
    fn apply_outputs(&mut self, now: Ms, outputs: Vec<Output>, effects: &mut Vec<Effect>) {
        let (mut queue, mut replies): (VecDeque<Output>, Vec<Reply>) = (outputs.into(), Vec::new());
        loop {
            for change in self.state.proposals.take_unproposed() {
                let mut outputs = Vec::new();
                self.state.core.propose(now, change, &mut outputs);
                queue.extend(outputs);
            }
            let Some(output) = queue.pop_front() else { break };
            self.apply_output(now, output, effects);
            if queue.is_empty() {
                self.state.send_replies_if_check_due(now, &mut replies);
            }
        }
        effects.extend(replies.into_iter().map(Effect::from));
    }

    fn apply_output(&mut self, now: Ms, output: Output, effects: &mut Vec<Effect>) {
        match output {
            Output::Send { operation_id, to, request, timeout } => effects.push(Effect::SendToPeer {
                operation_id,
                peer: to,
                request: PeerRequest::Consensus(request),
                timeout,
            }),
            Output::Respond { request_id, response } => effects
                .push(Effect::RespondToPeer { request_id, response: PeerResponse::Consensus(response) }),
            Output::Persist { operation_id, state, replace, metadata } => {
                let write = WriteBatch { state, replace_state: replace, metadata };
                effects.push(Effect::Persist { operation_id, write });
            }
            Output::Log(line) => effects.push(Effect::Log(line)),
            Output::BecameLeader { newly_elected } => self.state.became_leader(now, newly_elected),
            Output::SteppedDown => self.state.stepped_down(),
            Output::Committed(changes) => self.state.committed(now, &changes),
            Output::Failed(tickets) => self.state.failed(&tickets),
        }
    }

    /// The number of invariant violations since the start; each is logged.
    pub fn violations(&self) -> u64 {
        self.state.violations.count()
    }

    /// Whether this member considers itself the leader. Its leader lease may have expired meanwhile.
    pub fn is_leader(&self) -> bool {
        self.state.is_leader()
    }
}
