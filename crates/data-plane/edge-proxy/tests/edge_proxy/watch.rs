//! Tests of the watch of the control plane when its nodes fail, and of the readiness of an edge.
use crate::stand_ins::*;
use coppersail_config::ProcessSettings;
use coppersail_peer_protocol::{ConfigDocument, EndpointState, Update, WatchRequest};
use slog::{o, Discard, Logger};
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::mpsc::{channel, Receiver};
use tokio::sync::mpsc::UnboundedReceiver;

/// Starts a watch with one counted request for its polls to report. Returns the receiver of the applied
/// updates.
fn watch_with_one_counted_request(settings: &ProcessSettings) -> UnboundedReceiver<Update> {
    let request_counts = std::sync::Arc::new(coppersail_edge_proxy::edge::RequestCounter::default());
    request_counts.count("parted", 4);
    let (sender, updates) = tokio::sync::mpsc::unbounded_channel();
    let log = Logger::root(Discard, o!());
    coppersail_edge_proxy::watch::start(settings, log, request_counts, Default::default(), sender).unwrap();
    updates
}

/// Starts a control-plane node that answers polls with these answers in order. Returns the receiver of its
/// polls.
fn control_plane_node(listener: TcpListener, answers: Vec<(u16, Update)>) -> Receiver<WatchRequest> {
    let (sender, polls) = channel();
    std::thread::spawn(move || {
        let mut answers = answers.into_iter();
        for stream in listener.incoming() {
            let mut stream = stream.unwrap();
            while let Some(poll) = read_poll(&mut stream) {
                let Some((status, update)) = answers.next() else { return };
                sender.send(poll).unwrap();
                let body = serde_json::to_string(&update).unwrap();
                write!(stream, "HTTP/1.1 {status} x\r\nContent-Length: {}\r\n\r\n{body}", body.len())
                    .unwrap();
            }
        }
    });
    polls
}

fn read_poll(stream: &mut TcpStream) -> Option<WatchRequest> {
    let (mut bytes, mut more) = (Vec::new(), [0; 4096]);
    loop {
        let text = String::from_utf8_lossy(&bytes);
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            if body.len() >= header(head, "content-length")?.parse().unwrap() {
                return serde_json::from_str(body).ok();
            }
        }
        match stream.read(&mut more) {
            Ok(count @ 1..) => bytes.extend_from_slice(&more[..count]),
            _ => return None,
        }
    }
}

#[test]
fn polls_move_on_from_a_failing_node_and_no_request_count_is_lost() {
    // Both nodes listen on the same port at different addresses, as control-plane nodes do.
    let first = TcpListener::bind("127.0.0.1:0").unwrap();
    let port = first.local_addr().unwrap().port();
    let second = TcpListener::bind(("127.0.0.2", port)).unwrap();
    let update =
        |sequence, isolated| Update { feed_id: 9, sequence, isolated, edge_count: 3, ..Update::default() };
    let failing = control_plane_node(first, vec![(500, Update::default()); 3]);
    let usable = control_plane_node(
        second,
        vec![(200, update(5, false)), (200, update(6, false)), (200, update(7, true))],
    );
    let settings = ProcessSettings {
        ip_address: "127.0.0.9".into(),
        zone: "north".into(),
        peer_ports: (port, port),
        known_peers: vec!["127.0.0.1:1".into(), "127.0.0.2:1".into()],
        ..ProcessSettings::default()
    };
    let mut updates = watch_with_one_counted_request(&settings);
    for sequence in 5..7 {
        assert_eq!(
            updates.blocking_recv().map(|update| (update.feed_id, update.sequence)),
            Some((9, sequence))
        );
    }
    let polls: Vec<WatchRequest> = usable.iter().take(3).collect();
    assert_eq!(polls.iter().map(|poll| poll.sequence).collect::<Vec<_>>(), [0, 5, 6]);
    assert_eq!((polls[0].edge.as_str(), polls[0].request_counts[0].counts[0]), ("127.0.0.9", (4, 1)));
    assert!(polls[1].request_counts.is_empty());
    // The last answer was isolated: the other node is polled again, from the last update that was applied.
    assert!(failing.iter().any(|poll| (poll.feed_id, poll.sequence) == (9, 6)));
    assert!(updates.try_recv().is_err(), "an isolated answer is not applied");
}

/// Isolated nodes may describe a state that the other nodes have replaced. Such answers arrive as the first
/// one, between two usable answers, and under another feed id.
#[test]
fn no_answer_of_an_isolated_node_is_applied() {
    let isolated_node = TcpListener::bind("127.0.0.1:0").unwrap();
    let port = isolated_node.local_addr().unwrap().port();
    let bind = |ip: &str| TcpListener::bind((ip, port)).unwrap();
    let (configured, hinted) = (bind("127.0.0.2"), bind("127.0.0.3"));
    let config = Some(ConfigDocument { revision: 3, body: "old".into() });
    let outdated = Update {
        feed_id: 7,
        sequence: 70,
        isolated: true,
        is_snapshot: true,
        edge_count: 99,
        config: config.clone(),
        control_plane_addresses: vec![format!("127.0.0.3:{port}")],
        ..Update::default()
    };
    let usable = |feed_id, sequence| Update { feed_id, sequence, edge_count: 3, ..Update::default() };
    let isolated = Update { feed_id: 9, sequence: 6, isolated: true, config, ..Update::default() };
    let isolated_node = control_plane_node(isolated_node, vec![(200, outdated); 40]);
    let failure = (500, Update::default());
    let configured = control_plane_node(
        configured,
        vec![failure.clone(), failure.clone(), (200, usable(9, 5)), (200, isolated)],
    );
    let hinted = control_plane_node(
        hinted,
        vec![failure.clone(), failure.clone(), failure.clone(), failure, (200, usable(11, 1))],
    );
    let settings = ProcessSettings {
        ip_address: "127.0.0.9".into(),
        peer_ports: (port, port),
        known_peers: vec!["127.0.0.1:1".into(), "127.0.0.2:1".into()],
        ..ProcessSettings::default()
    };
    let mut updates = watch_with_one_counted_request(&settings);
    let mut applied = || Update { requested_at: None, ..updates.blocking_recv().unwrap() };
    assert_eq!(
        [applied(), applied()],
        [usable(9, 5), usable(11, 1)],
        "only answers of nodes with a quorum are applied"
    );
    let positions = |polls: &Receiver<WatchRequest>| {
        polls.try_iter().map(|poll| (poll.feed_id, poll.sequence)).collect::<Vec<_>>()
    };
    let (isolated_node, configured, hinted) =
        (isolated_node.try_iter().collect::<Vec<_>>(), positions(&configured), positions(&hinted));
    assert!(isolated_node.len() >= 2, "it has been polled");
    assert!(
        isolated_node.iter().all(|poll| (poll.feed_id, poll.sequence) != (7, 70)),
        "the feed position of an isolated answer is not used"
    );
    assert!(configured.contains(&(0, 0)) && hinted.contains(&(0, 0)), "{configured:?} {hinted:?}");
    // Request counts are kept for a node that has a quorum.
    assert!(isolated_node.iter().take(2).all(|poll| poll.request_counts.len() == 1));
}

#[test]
fn an_edge_becomes_ready_when_it_can_serve_each_service_and_stays_ready() {
    run_test(|| async {
        let host = scripted_host("i-1", |_, head| HostAction::Respond(sealed_response(head, ""))).await;
        let test_edge = start_edge(&[&host]).await;
        assert!(!test_edge.edge.ready(), "the sharded service has no endpoint yet");
        let mut sharded = host.endpoint_update(EndpointState::Ready, 1);
        (sharded.id, sharded.service, sharded.address) =
            ("i-2".into(), "parted".into(), "127.0.0.1:2".into());
        test_edge.edge.apply_update(Update { endpoints: vec![sharded], ..Update::default() });
        assert!(!test_edge.edge.ready(), "no endpoint owns a slice of the sharded service yet");
        let slices = vec![coppersail_peer_protocol::AssignmentUpdate {
            service: "parted".into(),
            slice_count: 4,
            rows: vec![(0, 0, "i-2".into(), 1).into()],
        }];
        test_edge.edge.apply_update(Update { assignments: slices, ..Update::default() });
        assert!(test_edge.edge.ready());
        test_edge.edge.apply_update(Update {
            endpoints: vec![host.endpoint_update(EndpointState::Removed, 2)],
            ..Update::default()
        });
        assert!(test_edge.edge.ready());
    });
}
