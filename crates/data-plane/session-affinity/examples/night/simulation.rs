//! The simulation: its event queue, nodes and injected faults. The order of random draws determines the figures in
//! docs/sessions.md and must not change.
use crate::results::Results;
use crate::world::{
    Client, CopyState, Event, Micros, Request, RequestKey, Strategy, CLIENTS, DURATION, MS, NODES, SECOND,
    START_TIME, ZONES,
};
use coppersail_session_affinity::{AffinityNode, AffinitySettings, NodeId, Output, PeerSets, SessionId};
use rustc_hash::FxHashMap;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Requests that each client sends.
const REQUESTS_PER_CLIENT: u32 = 16;
/// The period of a node's ticks.
const TICK: Micros = 20 * MS;
/// How long requests may end after clients have stopped to begin new ones.
const DRAIN_TIME: Micros = 30 * SECOND;

pub(crate) struct Simulation {
    pub(crate) strategy: Strategy,
    pub(crate) injects_faults: bool,
    pub(crate) rng: fastrand::Rng,
    pub(crate) now: Micros,
    /// The number of events and requests so far, from which their ids are taken.
    pub(crate) count: u64,
    queue: BinaryHeap<Reverse<(Micros, u64)>>,
    events: FxHashMap<u64, Event>,
    pub(crate) settings: AffinitySettings,
    pub(crate) peer_sets: PeerSets,
    pub(crate) nodes: Vec<Option<AffinityNode>>,
    /// How many times each node was killed.
    pub(crate) incarnations: Vec<u32>,
    /// How far each node's clock is ahead, in milliseconds.
    clock_offsets: Vec<u64>,
    /// The zone that is partitioned from the others.
    pub(crate) partitioned_zone: Option<u16>,
    pub(crate) clients: Vec<Client>,
    pub(crate) requests: FxHashMap<u64, Request>,
    /// The copies of idempotent requests at each node, for the strategies that serve as a comparison.
    pub(crate) copies: Vec<FxHashMap<RequestKey, CopyState>>,
    /// How many times the endpoint executed each request, by client and key.
    pub(crate) ledger: FxHashMap<(usize, String), u32>,
    /// The final outcome of each request as its client was told it.
    pub(crate) told: FxHashMap<(usize, String), &'static str>,
    pub(crate) results: Results,
}

impl Simulation {
    pub(crate) fn new(strategy: Strategy, seed: u64, injects_faults: bool) -> Simulation {
        let mut rng = fastrand::Rng::with_seed(seed);
        let settings = AffinitySettings { max_sessions: 2_000, ..AffinitySettings::default() };
        let addresses = (0..NODES).map(|n| (n, format!("10.0.0.{n}:7001"))).collect();
        let nodes =
            (0..NODES).map(|id| Some(AffinityNode::new(id, &settings, u64::from(id) + 1, 0))).collect();
        let mut simulation = Simulation {
            strategy,
            injects_faults,
            now: 0,
            count: 0,
            queue: BinaryHeap::new(),
            events: FxHashMap::default(),
            settings,
            peer_sets: PeerSets([(1, addresses)].into()),
            nodes,
            incarnations: vec![0; NODES.into()],
            clock_offsets: (0..NODES).map(|_| rng.u64(0..100)).collect(),
            partitioned_zone: None,
            clients: vec![],
            requests: FxHashMap::default(),
            copies: vec![FxHashMap::default(); NODES.into()],
            ledger: FxHashMap::default(),
            told: FxHashMap::default(),
            results: Results::default(),
            rng,
        };
        (0..CLIENTS).for_each(|client| simulation.add_client(seed, client));
        for id in 0..NODES {
            simulation.schedule_at(u64::from(id) * MS, Event::Tick(id));
        }
        if injects_faults {
            simulation.schedule_kills();
            simulation.schedule_partitions();
        }
        simulation
    }

    fn add_client(&mut self, seed: u64, client: usize) {
        let node = self.rng.u16(0..NODES);
        let begin = self.rng.u64(0..DURATION / 2);
        self.clients.push(Client {
            id: SessionId([seed, client as u64]),
            created_at: START_TIME + begin / MS,
            home: node,
            node,
            last_node: None,
            steps_left: REQUESTS_PER_CLIENT,
            tries: 0,
            may_have_executed: false,
            request: 0,
            key: String::new(),
            idempotent: false,
        });
        self.schedule_at(begin, Event::ClientProceeds(client));
    }

    fn schedule_kills(&mut self) {
        let mut at = 2 * SECOND;
        while at < DURATION {
            let node = self.rng.u16(0..NODES);
            self.schedule_at(at, Event::Kill(node));
            let down = self.rng.u64(SECOND / 2..3 * SECOND);
            self.schedule_at(at + down, Event::Start(node));
            at += self.rng.u64(2 * SECOND..6 * SECOND);
        }
    }

    fn schedule_partitions(&mut self) {
        let mut at = 3 * SECOND;
        while at < DURATION {
            let zone = self.rng.u16(0..ZONES);
            self.schedule_at(at, Event::PartitionZone { zone });
            let duration = self.rng.u64(SECOND / 2..4 * SECOND);
            self.schedule_at(at + duration, Event::HealNetwork);
            at += duration + self.rng.u64(SECOND..6 * SECOND);
        }
    }

    fn schedule_at(&mut self, time: Micros, event: Event) {
        self.count += 1;
        self.queue.push(Reverse((time, self.count)));
        self.events.insert(self.count, event);
    }

    pub(crate) fn schedule_after(&mut self, delay: Micros, event: Event) {
        self.schedule_at(self.now + delay, event);
    }

    /// Unix time in milliseconds by a node's clock.
    pub(crate) fn clock(&self, node: NodeId) -> u64 {
        START_TIME + self.now / MS + self.clock_offsets[node as usize]
    }

    pub(crate) fn run(mut self) -> Results {
        while let Some(Reverse((time, number))) = self.queue.pop() {
            if time > DURATION + DRAIN_TIME {
                break;
            }
            self.now = time;
            let event = self.events.remove(&number).expect("queued");
            self.step(event);
        }
        self.compare_with_ledger();
        if matches!(self.strategy, Strategy::Affinity | Strategy::UnknownAsNotExecuted) {
            self.add_counters();
        }
        self.results
    }

    fn step(&mut self, event: Event) {
        match event {
            Event::ClientProceeds(client) => self.begin_step(client),
            Event::RequestArrives { client, request, node } => self.request_arrives(client, request, node),
            Event::PacketArrives { from, to, packet } => {
                if self.nodes[to as usize].is_some() {
                    self.receive_packet(from, to, packet);
                }
            }
            Event::AttemptEnds(end) => self.attempt_ends(end),
            Event::ResponseArrives { client, request, response } => {
                self.response_arrives(client, request, response)
            }
            Event::ClientTimeout { client, request } => self.client_timeout(client, request),
            Event::Tick(id) => {
                self.with_node(id, |node, now| node.tick(now));
                if matches!(self.strategy, Strategy::Pinned | Strategy::FullReplication) {
                    self.end_waits(id);
                }
                self.schedule_after(TICK, Event::Tick(id));
            }
            Event::Kill(id) => self.kill(id),
            Event::Start(id) => self.start(id),
            Event::PartitionZone { zone } => self.partitioned_zone = Some(zone),
            Event::HealNetwork => self.partitioned_zone = None,
        }
    }

    fn kill(&mut self, id: NodeId) {
        self.nodes[id as usize] = None;
        self.copies[id as usize].clear();
        self.incarnations[id as usize] += 1;
    }

    fn start(&mut self, id: NodeId) {
        if self.nodes[id as usize].is_none() {
            let lost_up_to = self.settings.lost_up_to(self.clock(id));
            let incarnation = self.now + u64::from(NODES);
            self.nodes[id as usize] = Some(AffinityNode::new(id, &self.settings, incarnation, lost_up_to));
        }
    }

    pub(crate) fn with_node(&mut self, id: NodeId, act: impl FnOnce(&mut AffinityNode, u64) -> Vec<Output>) {
        let clock = self.clock(id);
        if let Some(node) = &mut self.nodes[id as usize] {
            let outputs = act(node, clock);
            self.apply(id, outputs);
        }
    }
}
