//! The follower among centres that fail, and when an edge calls itself ready.
use crate::stand_ins::*;
use coppersail_config::Boot;
use coppersail_peer_protocol::{Follow, News, Settings, Stage};
use slog::{o, Discard, Logger};
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::mpsc::{channel, Receiver};

/// A centre that answers polls one after the other as told, and hands out what it was asked.
fn centre(listener: TcpListener, answers: Vec<(u16, News)>) -> Receiver<Follow> {
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

fn read_poll(stream: &mut TcpStream) -> Option<Follow> {
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
    let news = |seq, alone| News { feed: 9, seq, alone, edges: 3, ..News::default() };
    let failing = centre(first, vec![(500, News::default()); 3]);
    let sound = centre(second, vec![(200, news(5, false)), (200, news(6, false)), (200, news(7, true))]);
    let boot = Boot {
        ip: "127.0.0.9".into(),
        area: "north".into(),
        spare_ports: (port, port),
        known_peers: vec!["127.0.0.1:1".into(), "127.0.0.2:1".into()],
        ..Boot::default()
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
        assert_eq!(taken.blocking_recv().map(|news| (news.feed, news.seq)), Some((9, seq)));
    }
    let polls: Vec<Follow> = sound.iter().take(3).collect();
    assert_eq!(polls.iter().map(|poll| poll.seq).collect::<Vec<_>>(), [0, 5, 6]);
    assert_eq!((polls[0].edge.as_str(), polls[0].asked[0].counts[0]), ("127.0.0.9", (4, 1)));
    assert!(polls[1].asked.is_empty());
    // The last one said that it is alone: the other has its turn again, and goes on from what was taken.
    assert!(failing.iter().any(|poll| (poll.feed, poll.seq) == (9, 6)));
    assert!(taken.try_recv().is_err(), "nothing is taken of a centre without a majority");
}

/// A centre that is cut off speaks of what others have left behind: at first, between two sound answers, and in another life.
#[test]
fn a_cut_off_centre_hands_out_nothing() {
    let cut_off = TcpListener::bind("127.0.0.1:0").unwrap();
    let port = cut_off.local_addr().unwrap().port();
    let bind = |ip: &str| TcpListener::bind((ip, port)).unwrap();
    let (named, hinted) = (bind("127.0.0.2"), bind("127.0.0.3"));
    let settings = Some(Settings { revision: 3, body: "old".into() });
    let old = News {
        feed: 7,
        seq: 70,
        alone: true,
        whole: true,
        edges: 99,
        settings: settings.clone(),
        centres: vec![format!("127.0.0.3:{port}")],
        ..News::default()
    };
    let sound = |feed, seq| News { feed, seq, edges: 3, ..News::default() };
    let alone = News { feed: 9, seq: 6, alone: true, settings, ..News::default() };
    let cut_off = centre(cut_off, vec![(200, old); 40]);
    let no = (500, News::default());
    let named = centre(named, vec![no.clone(), no.clone(), (200, sound(9, 5)), (200, alone)]);
    let hinted = centre(hinted, vec![no.clone(), no.clone(), no.clone(), no, (200, sound(11, 1))]);
    let boot = Boot {
        ip: "127.0.0.9".into(),
        spare_ports: (port, port),
        known_peers: vec!["127.0.0.1:1".into(), "127.0.0.2:1".into()],
        ..Boot::default()
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
    let mut heard = || News { asked_at: None, ..taken.blocking_recv().unwrap() };
    assert_eq!(
        [heard(), heard()],
        [sound(9, 5), sound(11, 1)],
        "only what has a majority behind it is taken"
    );
    let at = |polls: &Receiver<Follow>| polls.try_iter().map(|p| (p.feed, p.seq)).collect::<Vec<_>>();
    let (cut_off, named, hinted) = (cut_off.try_iter().collect::<Vec<_>>(), at(&named), at(&hinted));
    assert!(cut_off.len() >= 2, "it has had its turns");
    assert!(cut_off.iter().all(|poll| (poll.feed, poll.seq) != (7, 70)), "nor is its place in the feed");
    assert!(named.contains(&(0, 0)) && hinted.contains(&(0, 0)), "{named:?} {hinted:?}");
    // What was counted waits for one that has a majority.
    assert!(cut_off.iter().take(2).all(|poll| poll.asked.len() == 1));
}

#[test]
fn an_edge_is_ready_once_it_would_do_right_and_stays_so() {
    play(|| async {
        let host = host("i-1", |_, head| Act::Send(good(head, ""))).await;
        let rig = rig(&[&host]).await;
        assert!(!rig.edge.ready(), "the divided service has no host yet");
        let mut parted = host.news(Stage::Ready, 1);
        (parted.ident, parted.backend, parted.address) =
            ("i-2".into(), "parted".into(), "127.0.0.1:2".into());
        rig.edge.take(News { hosts: vec![parted], ..News::default() });
        assert!(!rig.edge.ready(), "and nobody holds its keys");
        let slices = vec![coppersail_peer_protocol::SliceNews {
            backend: "parted".into(),
            slices: 4,
            rows: vec![(0, 0, "i-2".into(), 1)],
        }];
        rig.edge.take(News { slices, ..News::default() });
        assert!(rig.edge.ready());
        rig.edge.take(News { hosts: vec![host.news(Stage::Gone, 2)], ..News::default() });
        assert!(rig.edge.ready());
    });
}
