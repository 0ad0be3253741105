//! Tests of the module `pick`.
use super::*;
use crate::health::Sign;
use coppersail_peer_protocol::{AssignmentUpdate, EndpointState, EndpointUpdate, Update};

fn book(hosts: u32) -> Book {
    let host = |n: u32| EndpointUpdate {
        id: format!("i-{n}"),
        service: "b".into(),
        address: format!("10.0.0.{n}:80"),
        zone: "north".into(),
        capacity: 2,
        heartbeat_sequence: 1,
        ..EndpointUpdate::default()
    };
    let mut book = Book::new("north");
    book.merge(&Update { endpoints: (0..hosts).map(host).collect(), ..Update::default() }, 0);
    book
}

fn ask(repeatable: bool) -> Ask<'static> {
    Ask { service: "b", key: None, repeatable, rank: 0, left: 1_000, stays: 0, revision: None, tried: &[] }
}

#[test]
fn the_least_busy_is_picked_and_the_leaving_never() {
    let (mut book, mut chance) = (book(4), fastrand::Rng::with_seed(7));
    for n in 0..3 {
        book.host_mut(&format!("i-{n}")).unwrap().load.own = 2;
    }
    let picked = |book: &Book, chance: &mut _| pick(book, &ask(true), 0, chance);
    assert_eq!(picked(&book, &mut chance), Choice::Host("i-3".into()));
    let news = EndpointUpdate {
        id: "i-3".into(),
        address: "10.0.0.3:80".into(),
        state: EndpointState::Draining,
        ..EndpointUpdate::default()
    };
    book.merge(&Update { endpoints: vec![news], ..Update::default() }, 0);
    assert!((0..50).all(|_| picked(&book, &mut chance) != Choice::Host("i-3".into())));
}

#[test]
fn half_of_the_hosts_stay_in_whatever_is_thought_of_them() {
    let (mut book, mut chance) = (book(4), fastrand::Rng::with_seed(7));
    for n in 0..4 {
        book.host_mut(&format!("i-{n}")).unwrap().health.bad(Sign::Unreachable, n);
    }
    for _ in 0..50 {
        let choice = pick(&book, &ask(false), 10, &mut chance);
        assert!(choice == Choice::Host("i-0".into()) || choice == Choice::Host("i-1".into()), "{choice:?}");
    }
}

#[test]
fn a_key_goes_to_its_holder_alone() {
    let (mut book, mut chance) = (book(4), fastrand::Rng::with_seed(7));
    let ask = Ask { key: Some(40_000), ..ask(true) };
    let slices =
        vec![AssignmentUpdate { service: "b".into(), slice_count: 2, rows: vec![(1, 1, "i-2".into(), 1)] }];
    book.merge(&Update { assignments: slices, ..Update::default() }, 0);
    assert_eq!(pick(&book, &ask, 0, &mut chance), Choice::Host("i-2".into()));
    book.spurn("i-2", 0);
    assert_eq!(pick(&book, &ask, 0, &mut chance), Choice::Unheld);
}

#[test]
fn a_lower_rank_stands_aside_first() {
    let (mut book, mut chance) = (book(1), fastrand::Rng::with_seed(7));
    book.part_mut("b").unwrap().usual = 400.0;
    let load = &mut book.host_mut("i-0").unwrap().load;
    load.took(400, 1.0, 400.0);
    load.own = 4;
    assert_eq!(pick(&book, &ask(true), 0, &mut chance), Choice::Host("i-0".into()));
    assert_eq!(pick(&book, &Ask { rank: 3, ..ask(true) }, 0, &mut chance), Choice::Overrun);
}

#[test]
fn shares_are_kept_and_a_share_of_none_gets_none() {
    let shares = [("a".to_string(), 90.0), ("b".to_string(), 10.0), ("c".to_string(), 0.0)];
    let mut counts = [0; 3];
    for n in 0..10_000u32 {
        let id = format!("{:016x}", n.wrapping_mul(0x9e37_79b9));
        let name = service(&shares, id.as_bytes()).unwrap();
        counts[(name.as_bytes()[0] - b'a') as usize] += 1;
    }
    assert!((800..1_200).contains(&counts[1]) && counts[2] == 0, "{counts:?}");
}
