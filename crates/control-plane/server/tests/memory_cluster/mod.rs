//! Three members of a control plane in memory, without threads, sockets or disks.
// Each test file includes the whole module and uses a part of it.
#![allow(dead_code)]

use coppersail_control_plane::node::{AdminRequest, Effect, Event, Node, PeerRequest, PeerResponse, Startup};
use coppersail_control_plane::store::{KeyValue, WriteBatch};
use coppersail_peer_protocol::{Update, WatchRequest};
use serde::{de::DeserializeOwned, Serialize};
use std::collections::{BTreeSet, VecDeque};

const MEMBERS: [&str; 3] = ["10.1.0.1:8544", "10.2.0.1:8544", "10.3.0.1:8544"];

/// Three members. They answer each other's requests in the next time step. All writes succeed.
pub(crate) struct Cluster {
    pub(crate) nodes: Vec<Node>,
    pub(crate) now: u64,
    due: VecDeque<(usize, Event)>,
    /// The requests between members: (member, operation id).
    calls: Vec<(usize, u64)>,
    /// The writes of the replicated state by the first member.
    pub(crate) writes: Vec<WriteBatch>,
    pub(crate) answers: Vec<(u16, String)>,
    /// No message between members arrives.
    pub(crate) partitioned: bool,
    /// These members do nothing, and requests to them fail.
    pub(crate) stopped: BTreeSet<usize>,
    /// No write of the first member is finished.
    pub(crate) disk_hangs: bool,
    /// The update for the last poll of a test.
    update: Option<Update>,
}

/// The id of all requests of endpoints and operators, different from those between members.
const ADMIN_REQUEST_ID: u64 = u64::MAX;
/// The id of all polls of tests.
const POLL_REQUEST_ID: u64 = u64::MAX - 1;

impl Cluster {
    pub(crate) fn start() -> Cluster {
        let (nodes, calls, writes, answers) = (Vec::new(), Vec::new(), Vec::new(), Vec::new());
        let mut cluster = Cluster {
            nodes,
            now: 1,
            due: VecDeque::new(),
            calls,
            writes,
            answers,
            partitioned: false,
            stopped: BTreeSet::new(),
            disk_hangs: false,
            update: None,
        };
        let mut effects = Vec::new();
        for me in MEMBERS {
            let ip = me.split(':').next().unwrap();
            let settings = serde_json::json!({
                "self": {"ipAddress": ip, "area": "a", "initialBoot": true, "dataFolder": "unused"},
                "network": {"binds": {"admin": me}, "sparePorts": [7540, 7555], "knownPeers": MEMBERS},
                "provider": {"heartbeat": "1s"},
                "terms": {"survive": {"boxes": 1}, "timeLimits": {"inContact": "3s", "keepMax": "10s"}}
            });
            let settings = coppersail_config::ProcessSettings::from_json(&settings.to_string()).unwrap();
            let (node, first) = Node::start(
                1,
                Startup { settings, recovered: Default::default(), feed_and_disk_incarnation: 7 },
            );
            cluster.nodes.push(node);
            effects.push(first);
        }
        effects.into_iter().enumerate().for_each(|(at, first)| cluster.carry_out(at, first));
        cluster.run(5_000);
        assert!(cluster.nodes[0].is_leader());
        cluster.writes.clear();
        cluster
    }

    fn carry_out(&mut self, at: usize, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Persist { operation_id, write } => {
                    if at == 0 && !write.state.is_empty() {
                        self.writes.push(write);
                    }
                    if at > 0 || !self.disk_hangs {
                        self.due.push_back((at, Event::WriteFinished { operation_id, ok: true }));
                    }
                }
                Effect::SendToPeer { operation_id, peer, .. } if self.partitioned => {
                    assert!(MEMBERS.contains(&peer.as_str()));
                    self.due.push_back((at, Event::PeerResponded { operation_id, response: None }));
                }
                Effect::SendToPeer { operation_id, peer, request, .. } => {
                    let other = MEMBERS.iter().position(|member| *member == peer).unwrap();
                    if self.stopped.contains(&other) {
                        self.due.push_back((at, Event::PeerResponded { operation_id, response: None }));
                        continue;
                    }
                    self.calls.push((at, operation_id));
                    let request_id = self.calls.len() as u64;
                    self.due.push_back((other, Event::Peer { request_id, request: over_the_wire(request) }));
                }
                Effect::RespondToPeer {
                    request_id: POLL_REQUEST_ID,
                    response: PeerResponse::Update(update),
                } => {
                    self.update = Some(*update);
                }
                Effect::RespondToPeer { request_id, response } => {
                    let (sender, operation_id) = self.calls[request_id as usize - 1];
                    let response = Some(response_over_the_wire(response)).filter(|_| !self.partitioned);
                    self.due.push_back((sender, Event::PeerResponded { operation_id, response }));
                }
                Effect::RespondToAdmin { request_id, status, body } => {
                    assert_eq!(request_id, ADMIN_REQUEST_ID);
                    self.answers.push((status, body));
                }
                Effect::Log(_) | Effect::Exit => {}
            }
        }
    }

    pub(crate) fn step(&mut self, at: usize, event: Event) {
        if self.stopped.contains(&at) {
            return;
        }
        let mut effects = Vec::new();
        self.nodes[at].step(self.now, event, &mut effects);
        self.carry_out(at, effects);
    }

    pub(crate) fn run(&mut self, ms: u64) {
        let end = self.now + ms;
        while self.now < end {
            self.now += 50;
            for (at, event) in std::mem::take(&mut self.due) {
                self.step(at, event);
            }
            (0..3).for_each(|at| self.step(at, Event::Tick));
        }
    }

    /// Sends a request and advances the time until it is answered.
    pub(crate) fn request(&mut self, at: usize, request: AdminRequest) -> (u16, String) {
        self.step(at, Event::Admin { request_id: ADMIN_REQUEST_ID, request });
        for _ in 0..100 {
            if let Some(answer) = self.answers.pop() {
                return answer;
            }
            self.run(50);
        }
        panic!("no answer");
    }

    /// The snapshot of a member for an edge that has nothing yet.
    pub(crate) fn snapshot(&mut self, at: usize) -> Update {
        let watch = WatchRequest { edge: "e".into(), wait_ms: 1, ..WatchRequest::default() };
        let request = PeerRequest::Watch(Box::new(watch));
        self.step(at, Event::Peer { request_id: POLL_REQUEST_ID, request });
        self.update.take().expect("a follower that has nothing is answered at once")
    }

    #[track_caller]
    pub(crate) fn assert_answer(&mut self, at: usize, request: AdminRequest, status: u16, body: &str) {
        assert_eq!(self.request(at, request), (status, body.to_string()));
    }

    /// Checks the batches that the first member has written since the last check, each with the sequence
    /// number of its change.
    #[track_caller]
    pub(crate) fn assert_writes(&mut self, expected: &[(&str, &[KeyValue])]) {
        let batch = |(seq, state): &(&str, &[KeyValue])| WriteBatch {
            state: state.to_vec(),
            replace_state: false,
            metadata: vec![("seq".into(), seq.to_string())],
        };
        assert_eq!(std::mem::take(&mut self.writes), expected.iter().map(batch).collect::<Vec<_>>());
    }
}

/// Converts a message to JSON and back, as between processes.
fn through_text<T: Serialize + DeserializeOwned>(value: &T) -> T {
    serde_json::from_str(&serde_json::to_string(value).unwrap()).unwrap()
}

fn over_the_wire(request: PeerRequest) -> PeerRequest {
    match request {
        PeerRequest::Watch(watch) => PeerRequest::Watch(through_text(&watch)),
        PeerRequest::Consensus(request) => PeerRequest::Consensus(through_text(&request)),
    }
}

fn response_over_the_wire(response: PeerResponse) -> PeerResponse {
    match response {
        PeerResponse::Update(update) => PeerResponse::Update(through_text(&update)),
        PeerResponse::Consensus(response) => PeerResponse::Consensus(through_text(&response)),
    }
}
