//! The follower among centres that fail, and when an edge calls itself ready.
use crate::stand_ins::*;
use coppersail_config::ProcessSettings;
use coppersail_peer_protocol::{ConfigDocument, EndpointState, Update, WatchRequest};
use slog::{o, Discard, Logger};
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::mpsc::{channel, Receiver};

/// A centre that answers polls one after the other as told, and hands out what it was asked.
fn centre(listener: TcpListener, answers: Vec<(u16, Update)>) -> Receiver<WatchRequest> {
    let (told, asked) = channel();
    std::thread::spawn(move || {
        let mut answers = answers.into_iter();
        for stream in listener.incoming() {
            let mut stream = stream.unwrap();
            while let Some(poll) = read_poll(&mut stream) {
                let Some((status, news)) = answers.next() else { return };
                told.send(poll).unwrap();
                let body = serde_json::to_string(&news).unwrap();
                write!(stream, "HTTP/1.1 {status} x\r\nContent-Length: {}\r\n\r\n{body}", body.len())
                    .unwrap();
            }
        }
    });
    asked
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
fn a_failing_centre_is_left_and_nothing_counted_is_lost() {
    // Both listen at the same port of different addresses, as centres do.
    let first = TcpListener::bind("127.0.0.1:0").unwrap();
    let port = first.local_addr().unwrap().port();
    let second = TcpListener::bind(("127.0.0.2", port)).unwrap();
    let news = |seq, alone| Update {
        feed_id: 9,
        sequence: seq,
        isolated: alone,
        edge_count: 3,
        ..Update::default()
    };
    let failing = centre(first, vec![(500, Update::default()); 3]);
    let sound = centre(second, vec![(200, news(5, false)), (200, news(6, false)), (200, news(7, true))]);
    let boot = ProcessSettings {
        ip: "127.0.0.9".into(),
        area: "north".into(),
        spare_ports: (port, port),
        known_peers: vec!["127.0.0.1:1".into(), "127.0.0.2:1".into()],
        ..ProcessSettings::default()
    };
    let tallies = std::sync::Arc::new(coppersail_edge_proxy::edge::Tallies::default());
    tallies.count("parted", 4);
    let (send, mut taken) = tokio::sync::mpsc::unbounded_channel();
    coppersail_edge_proxy::follow::start(
        &boot,
        Logger::root(Discard, o!()),
        tallies,
        Default::default(),
        send,
    )
    .unwrap();
    for seq in 5..7 {
        assert_eq!(taken.blocking_recv().map(|news| (news.feed_id, news.sequence)), Some((9, seq)));
    }
    let polls: Vec<WatchRequest> = sound.iter().take(3).collect();
    assert_eq!(polls.iter().map(|poll| poll.sequence).collect::<Vec<_>>(), [0, 5, 6]);
    assert_eq!((polls[0].edge.as_str(), polls[0].request_counts[0].counts[0]), ("127.0.0.9", (4, 1)));
    assert!(polls[1].request_counts.is_empty());
    // The last one said that it is alone: the other has its turn again, and goes on from what was taken.
    assert!(failing.iter().any(|poll| (poll.feed_id, poll.sequence) == (9, 6)));
    assert!(taken.try_recv().is_err(), "nothing is taken of a centre without a majority");
}

/// A centre that is cut off speaks of what others have left behind: at first, between two sound answers, and in another life.
#[test]
fn a_cut_off_centre_hands_out_nothing() {
    let cut_off = TcpListener::bind("127.0.0.1:0").unwrap();
    let port = cut_off.local_addr().unwrap().port();
    let bind = |ip: &str| TcpListener::bind((ip, port)).unwrap();
    let (named, hinted) = (bind("127.0.0.2"), bind("127.0.0.3"));
    let settings = Some(ConfigDocument { revision: 3, body: "old".into() });
    let old = Update {
        feed_id: 7,
        sequence: 70,
        isolated: true,
        is_snapshot: true,
        edge_count: 99,
        config: settings.clone(),
        control_plane_addresses: vec![format!("127.0.0.3:{port}")],
        ..Update::default()
    };
    let sound = |feed, seq| Update { feed_id: feed, sequence: seq, edge_count: 3, ..Update::default() };
    let alone = Update { feed_id: 9, sequence: 6, isolated: true, config: settings, ..Update::default() };
    let cut_off = centre(cut_off, vec![(200, old); 40]);
    let no = (500, Update::default());
    let named = centre(named, vec![no.clone(), no.clone(), (200, sound(9, 5)), (200, alone)]);
    let hinted = centre(hinted, vec![no.clone(), no.clone(), no.clone(), no, (200, sound(11, 1))]);
    let boot = ProcessSettings {
        ip: "127.0.0.9".into(),
        spare_ports: (port, port),
        known_peers: vec!["127.0.0.1:1".into(), "127.0.0.2:1".into()],
        ..ProcessSettings::default()
    };
    let tallies = std::sync::Arc::new(coppersail_edge_proxy::edge::Tallies::default());
    tallies.count("parted", 4);
    let (send, mut taken) = tokio::sync::mpsc::unbounded_channel();
    coppersail_edge_proxy::follow::start(
        &boot,
        Logger::root(Discard, o!()),
        tallies,
        Default::default(),
        send,
    )
    .unwrap();
    let mut heard = || Update { requested_at: None, ..taken.blocking_recv().unwrap() };
    assert_eq!(
        [heard(), heard()],
        [sound(9, 5), sound(11, 1)],
        "only what has a majority behind it is taken"
    );
    let at = |polls: &Receiver<WatchRequest>| {
        polls.try_iter().map(|p| (p.feed_id, p.sequence)).collect::<Vec<_>>()
    };
    let (cut_off, named, hinted) = (cut_off.try_iter().collect::<Vec<_>>(), at(&named), at(&hinted));
    assert!(cut_off.len() >= 2, "it has had its turns");
    assert!(
        cut_off.iter().all(|poll| (poll.feed_id, poll.sequence) != (7, 70)),
        "nor is its place in the feed"
    );
    assert!(named.contains(&(0, 0)) && hinted.contains(&(0, 0)), "{named:?} {hinted:?}");
    // What was counted waits for one that has a majority.
    assert!(cut_off.iter().take(2).all(|poll| poll.request_counts.len() == 1));
}

#[test]
fn an_edge_is_ready_once_it_would_do_right_and_stays_so() {
    play(|| async {
        let host = host("i-1", |_, head| Act::Send(good(head, ""))).await;
        let rig = rig(&[&host]).await;
        assert!(!rig.edge.ready(), "the divided service has no host yet");
        let mut parted = host.news(EndpointState::Ready, 1);
        (parted.id, parted.service, parted.address) = ("i-2".into(), "parted".into(), "127.0.0.1:2".into());
        rig.edge.take(Update { endpoints: vec![parted], ..Update::default() });
        assert!(!rig.edge.ready(), "and nobody holds its keys");
        let slices = vec![coppersail_peer_protocol::AssignmentUpdate {
            service: "parted".into(),
            slice_count: 4,
            rows: vec![(0, 0, "i-2".into(), 1).into()],
        }];
        rig.edge.take(Update { assignments: slices, ..Update::default() });
        assert!(rig.edge.ready());
        rig.edge.take(Update { endpoints: vec![host.news(EndpointState::Removed, 2)], ..Update::default() });
        assert!(rig.edge.ready());
    });
}
