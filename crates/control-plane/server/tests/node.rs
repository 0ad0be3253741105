//! The pure machine of a centre, without threads, sockets or a disk.
use coppersail_control_plane::node::{Effect, Event, Node, PeerRequest, PeerResponse, Startup};
use coppersail_peer_protocol::{EndpointUpdate, MemberDetail, MemberStatus, Update, WatchRequest};
use serde_json::json;

const PEERS: [&str; 3] = ["10.1.0.1:8544", "10.2.0.1:8544", "10.3.0.1:8544"];

/// The first of three, at the first start of the system. Its disk takes all; the second of the three answers polls while
/// it has `hosts` to tell of; nobody answers else.
struct One {
    node: Node,
    now: u64,
    due: Vec<Event>,
    hosts: Option<Vec<EndpointUpdate>>,
    news: Vec<Update>,
}

impl One {
    fn start(hosts: Vec<EndpointUpdate>) -> One {
        let boot = json!({
            "self": {"ipAddress": "10.1.0.1", "area": "a", "initialBoot": true, "dataFolder": "unused"},
            "network": {"binds": {"admin": PEERS[0]}, "sparePorts": [7540, 7555], "knownPeers": PEERS},
            "provider": {"heartbeat": "1s"},
            "terms": {"survive": {"boxes": 1}, "timeLimits": {"inContact": "3s", "keepMax": "10s"}}
        });
        let boot = coppersail_config::ProcessSettings::from_json(&boot.to_string()).unwrap();
        let (node, effects) =
            Node::start(1, Startup { settings: boot, recovered: Default::default(), new_incarnation: 7 });
        let mut one = One { node, now: 1, due: Vec::new(), hosts: Some(hosts), news: Vec::new() };
        one.carry(effects);
        one
    }

    fn carry(&mut self, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Persist { token, .. } => self.due.push(Event::WriteFinished { token, ok: true }),
                Effect::SendToPeer { token, peer: to, call, .. } => {
                    let say = self.answer(&to, &call);
                    self.due.push(Event::PeerResponded { operation_id: token, response: say });
                }
                Effect::RespondToPeer { response: PeerResponse::Update(news), .. } => self.news.push(*news),
                _ => {}
            }
        }
    }

    fn answer(&self, to: &str, call: &PeerRequest) -> Option<PeerResponse> {
        let PeerRequest::Watch(_) = call else { return None };
        let hosts = self.hosts.clone().filter(|_| to == PEERS[1])?;
        let detail = Some(MemberDetail::default());
        let standing = Some(MemberStatus {
            id: to.into(),
            disk_healthy: true,
            detail_sum: 9,
            detail,
            ..MemberStatus::default()
        });
        Some(PeerResponse::Update(Box::new(Update {
            feed_id: 3,
            sequence: 1,
            endpoints: hosts,
            status: standing,
            ..Update::default()
        })))
    }

    fn step(&mut self, event: Event) {
        let mut out = Vec::new();
        self.node.step(self.now, event, &mut out);
        self.carry(out);
    }

    /// Lets time pass; what it called is answered with the next tick.
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

    /// What it tells who has nothing yet: an edge, or another centre.
    fn ask(&mut self, from: Option<&str>) -> Update {
        let standing =
            from.map(|id| MemberStatus { id: id.into(), detail_sum: 5, ..MemberStatus::default() });
        let follow =
            WatchRequest { edge: "e".into(), wait_ms: 1, status: standing, ..WatchRequest::default() };
        self.step(Event::Peer { caller: 1, call: PeerRequest::Watch(Box::new(follow)) });
        self.news.pop().expect("who has nothing is answered at once")
    }
}

fn host() -> EndpointUpdate {
    let (ident, backend, via) = ("i-1".into(), "s".into(), PEERS[1].into());
    EndpointUpdate {
        id: ident,
        service: backend,
        reported_by: via,
        address: "10.9.0.1:80".into(),
        heartbeat_sequence: 4,
        ..EndpointUpdate::default()
    }
}

#[test]
fn an_isolated_member_suspects_no_endpoint() {
    let mut one = One::start(vec![host()]);
    one.run(5_000);
    assert!(!one.ask(None).isolated, "itself and one other are two of three");
    one.hosts = None;
    one.run(20_000);
    let told = one.ask(Some(PEERS[2])).endpoints;
    assert!(!told[0].suspect, "its own deafness would be news to who hears it again");
}

#[test]
fn lost_quorum_contact_sends_edges_to_other_members_and_nothing_else() {
    let mut one = One::start(vec![host()]);
    one.run(5_000);
    let follow = |news: &Update| WatchRequest {
        edge: "e".into(),
        feed_id: news.feed_id,
        sequence: news.sequence,
        wait_ms: 60_000,
        ..WatchRequest::default()
    };
    let before = one.ask(None);
    assert_eq!(before.endpoints.len(), 1);
    one.step(Event::Peer { caller: 2, call: PeerRequest::Watch(Box::new(follow(&before))) });
    one.run(1_000);
    assert!(one.news.is_empty(), "nothing is new");
    one.hosts = None;
    one.run(2_000);
    let after = one.news.pop().expect("a held poll is answered once touch is lost");
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
    assert!(one.ask(None).isolated);
}
