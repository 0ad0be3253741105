//! The pure state machine of a member, without threads, sockets or a disk.
use coppersail_control_plane::node::{AdminRequest, Effect, Event, Node, PeerRequest, PeerResponse, Startup};
use coppersail_peer_protocol::{
    ConfigDocument, EndpointState, EndpointUpdate, MemberDetail, MemberStatus, Update, WatchRequest,
};
use serde_json::json;
use std::collections::BTreeSet;

const PEERS: [&str; 3] = ["10.1.0.1:8544", "10.2.0.1:8544", "10.3.0.1:8544"];

/// The first of three members, at the first start of the system. All writes to its disk succeed. The second
/// member answers polls while `endpoints` is set; the third answers nothing.
struct Harness {
    node: Node,
    now: u64,
    due: Vec<Event>,
    endpoints: Option<Vec<EndpointUpdate>>,
    /// The configuration that the second member reports with them.
    config: Option<ConfigDocument>,
    updates: Vec<Update>,
    /// Requests of endpoints and operators that have not been answered.
    unanswered: BTreeSet<u64>,
    /// The unanswered requests when the node let the process exit.
    unanswered_at_exit: Option<BTreeSet<u64>>,
}

impl Harness {
    fn start(endpoints: Vec<EndpointUpdate>) -> Harness {
        let settings = json!({
            "self": {"ipAddress": "10.1.0.1", "area": "a", "initialBoot": true, "dataFolder": "unused"},
            "network": {"binds": {"admin": PEERS[0]}, "sparePorts": [7540, 7555], "knownPeers": PEERS},
            "provider": {"heartbeat": "1s"},
            "terms": {"survive": {"boxes": 1}, "timeLimits": {"inContact": "3s", "keepMax": "10s"}}
        });
        let settings = coppersail_config::ProcessSettings::from_json(&settings.to_string()).unwrap();
        let (node, effects) =
            Node::start(1, Startup { settings, recovered: Default::default(), feed_and_disk_incarnation: 7 });
        let mut harness = Harness {
            node,
            now: 1,
            due: Vec::new(),
            endpoints: Some(endpoints),
            config: None,
            updates: Vec::new(),
            unanswered: BTreeSet::new(),
            unanswered_at_exit: None,
        };
        harness.carry_out(effects);
        harness
    }

    fn carry_out(&mut self, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Persist { operation_id, .. } => {
                    self.due.push(Event::WriteFinished { operation_id, ok: true })
                }
                Effect::SendToPeer { operation_id, peer, request, .. } => {
                    let response = self.answer(&peer, &request);
                    self.due.push(Event::PeerResponded { operation_id, response });
                }
                Effect::RespondToPeer { response: PeerResponse::Update(update), .. } => {
                    self.updates.push(*update)
                }
                Effect::RespondToAdmin { request_id, .. } => {
                    self.unanswered.remove(&request_id);
                }
                Effect::Exit => self.unanswered_at_exit = Some(self.unanswered.clone()),
                _ => {}
            }
        }
    }

    fn answer(&self, peer: &str, request: &PeerRequest) -> Option<PeerResponse> {
        let PeerRequest::Watch(_) = request else { return None };
        let endpoints = self.endpoints.clone().filter(|_| peer == PEERS[1])?;
        let detail = Some(MemberDetail::default());
        let status = Some(MemberStatus {
            id: peer.into(),
            disk_healthy: true,
            detail_checksum: 9,
            detail,
            ..MemberStatus::default()
        });
        Some(PeerResponse::Update(Box::new(Update {
            feed_id: 3,
            sequence: 1,
            endpoints,
            config: self.config.clone(),
            status,
            ..Update::default()
        })))
    }

    fn step(&mut self, event: Event) {
        let mut effects = Vec::new();
        self.node.step(self.now, event, &mut effects);
        self.carry_out(effects);
    }

    /// Submits a heartbeat of a draining endpoint, which is acknowledged once followers know of it.
    fn submit_drain(&mut self, request_id: u64) {
        let body = json!({"backend": "s", "address": "10.9.0.1:80", "stage": "emptying", "callCount": 1});
        let request =
            AdminRequest::Heartbeat { endpoint_id: format!("i-{request_id}"), body: body.to_string() };
        self.unanswered.insert(request_id);
        self.step(Event::Admin { request_id, request });
    }

    /// Advances the time; the node's requests are answered with the next tick.
    fn run(&mut self, ms: u64) {
        let end = self.now + ms;
        while self.now < end {
            self.now += 50;
            for event in std::mem::take(&mut self.due) {
                self.step(event);
            }
            self.step(Event::Tick);
        }
    }

    /// The update for a watch request with these fields.
    fn poll_with(&mut self, request: serde_json::Value) -> Update {
        let watch = serde_json::from_value(request).unwrap();
        self.step(Event::Peer { request_id: 1, request: PeerRequest::Watch(Box::new(watch)) });
        self.updates.pop().expect("a follower that lacks something is answered at once")
    }

    /// The update for a follower that has nothing yet: an edge, or another member.
    fn poll(&mut self, from: Option<&str>) -> Update {
        let status =
            from.map(|id| MemberStatus { id: id.into(), detail_checksum: 5, ..MemberStatus::default() });
        let watch = WatchRequest { edge: "e".into(), wait_ms: 1, status, ..WatchRequest::default() };
        self.step(Event::Peer { request_id: 1, request: PeerRequest::Watch(Box::new(watch)) });
        self.updates.pop().expect("a follower that has nothing is answered at once")
    }
}

/// The bytes that the congested link of an edge carries within the timeout of a poll.
const MAX_UPDATE_BYTES: usize = 16 * 1024;

/// Guards against an edge that gets no update at all: over a congested link a whole snapshot takes longer
/// than the timeout of a poll, and the edge would start again at the next node each time.
#[test]
fn a_follower_behind_a_full_link_gets_the_configuration_first_and_everything_in_parts() {
    let endpoints: Vec<EndpointUpdate> =
        (0..300).map(|n| EndpointUpdate { id: format!("i-{n:08}"), ..endpoint() }).collect();
    let mut harness = Harness::start(endpoints);
    harness.config = Some(ConfigDocument { revision: 7, body: "{}".into() });
    harness.run(5_000);
    let mut request = json!({"edge": "e", "feed": 0, "seq": 0, "wait_ms": 1, "max_bytes": MAX_UPDATE_BYTES});
    let mut listed = BTreeSet::new();
    for part in 0.. {
        let update = harness.poll_with(request.clone());
        let length = serde_json::to_string(&update).unwrap().len();
        assert!(length <= MAX_UPDATE_BYTES, "part {part} has {length} bytes");
        assert_eq!(update.config.is_some(), part == 0, "the first part has the configuration, and only that");
        listed.extend(update.endpoints.into_iter().map(|endpoint| endpoint.id));
        if listed.len() == 300 {
            break;
        }
        request["feed"] = update.feed_id.into();
        request["seq"] = update.sequence.into();
        request["revision"] = 7.into();
    }
}

#[test]
fn a_follower_without_the_configuration_that_it_acknowledges_is_counted_as_a_violation() {
    let mut harness = Harness::start(vec![endpoint()]);
    harness.config = Some(ConfigDocument { revision: 7, body: "{}".into() });
    harness.run(5_000);
    let answer = harness.poll_with(json!({"edge": "e", "revision": 6, "max_bytes": MAX_UPDATE_BYTES}));
    let position = |revision: u64| json!({"edge": "e", "feed": answer.feed_id, "seq": answer.sequence, "revision": revision, "wait_ms": 1});
    let mut poll = |request| {
        let watch = serde_json::from_value(request).unwrap();
        harness.step(Event::Peer { request_id: 2, request: PeerRequest::Watch(Box::new(watch)) });
        harness.node.violations()
    };
    assert_eq!(poll(position(7)), 0);
    assert_eq!(poll(position(6)), 1, "it took over an answer that had r7");
}

fn endpoint() -> EndpointUpdate {
    EndpointUpdate {
        id: "i-1".into(),
        service: "s".into(),
        reported_by: PEERS[1].into(),
        address: "10.9.0.1:80".into(),
        heartbeat_sequence: 4,
        ..EndpointUpdate::default()
    }
}

#[test]
fn an_isolated_member_suspects_no_endpoint() {
    let mut harness = Harness::start(vec![endpoint()]);
    harness.run(5_000);
    assert!(!harness.poll(None).isolated, "itself and one other are two of three");
    harness.endpoints = None;
    harness.run(20_000);
    let reported = harness.poll(Some(PEERS[2])).endpoints;
    assert!(!reported[0].suspect, "its own lost connections would spread as failures of endpoints");
}

/// Guards against snapshots that grow with every endpoint that ever left.
#[test]
fn a_removed_endpoint_that_another_member_reported_is_forgotten() {
    let removed = EndpointUpdate { state: EndpointState::Removed, ..endpoint() };
    let mut harness = Harness::start(vec![removed]);
    harness.run(5_000);
    assert_eq!(harness.poll(None).endpoints.len(), 1);
    harness.endpoints = Some(Vec::new());
    harness.run(70_000);
    assert_eq!(harness.poll(None).endpoints, []);
}

#[test]
fn lost_quorum_contact_sends_edges_to_other_members_and_nothing_else() {
    let mut harness = Harness::start(vec![endpoint()]);
    harness.run(5_000);
    let watch = |update: &Update| WatchRequest {
        edge: "e".into(),
        feed_id: update.feed_id,
        sequence: update.sequence,
        wait_ms: 60_000,
        ..WatchRequest::default()
    };
    let before = harness.poll(None);
    assert_eq!(before.endpoints.len(), 1);
    harness.step(Event::Peer { request_id: 2, request: PeerRequest::Watch(Box::new(watch(&before))) });
    harness.run(1_000);
    assert!(harness.updates.is_empty(), "nothing is new");
    harness.endpoints = None;
    harness.run(2_000);
    let after = harness.updates.pop().expect("a long poll is answered once quorum contact is lost");
    let nothing = Update {
        isolated: true,
        uptime_ms: after.uptime_ms,
        control_plane_addresses: after.control_plane_addresses.clone(),
        feed_id: before.feed_id,
        sequence: before.sequence,
        ..Update::default()
    };
    assert_eq!(after, nothing);
    assert_eq!(after.control_plane_addresses.len(), 3);
    assert!(harness.poll(None).isolated);
}

/// Guards against connections that a shutdown closes without an answer. Requests may still wait when the
/// duties are handed over: a draining endpoint for followers to acknowledge, an operator for the commit of a
/// change.
#[test]
fn a_member_that_shuts_down_answers_every_request_that_it_has_taken() {
    let mut harness = Harness::start(Vec::new());
    harness.run(5_000);
    harness.step(Event::Shutdown);
    for request_id in 0.. {
        // A follower that acknowledges nothing.
        harness.poll(None);
        harness.submit_drain(request_id);
        harness.run(50);
        if harness.unanswered_at_exit.is_some() {
            break;
        }
        assert!(harness.now < 60_000, "it never ends");
    }
    assert_eq!(harness.unanswered_at_exit, Some(BTreeSet::new()), "requests without an answer");
}
