//! The watch requests of an emulated edge.
use coppersail_fleet_emulator::EmulatedEdge;
use coppersail_peer_protocol::Update;

#[test]
fn the_next_watch_request_acknowledges_the_last_update() {
    let mut edge = EmulatedEdge::new(3, "north".into(), 1000);
    let first = edge.watch_request(&[]);
    assert_eq!((first.edge.as_str(), first.sequence), ("127.64.0.3", 0));
    let update = Update { feed_id: 5, sequence: 9, is_snapshot: true, ..Update::default() };
    assert!(edge.apply_update(&update));
    assert!(!edge.apply_update(&update), "nothing new the second time");
    let next = edge.watch_request(&[]);
    assert_eq!((next.feed_id, next.sequence), (5, 9));
}
