//! Tests of the module `orders`.
use super::*;
use std::collections::BTreeMap;

type Disk = BTreeMap<String, String>;

fn recovered(disk: &Disk) -> Orders {
    Orders::recover(disk.iter().map(|(n, v)| (n.as_str(), v.as_str())))
}

/// Writes the orders with these tickets to the disk as one batch, and marks them as committed.
fn write(orders: &mut Orders, disk: &mut Disk, tickets: std::ops::RangeInclusive<u64>) {
    disk.extend(orders.writes(*tickets.end()));
    tickets.for_each(|ticket| orders.mark_committed(ticket));
}

fn begun(revision: u64, content: &str, ticket: u64) -> Orders {
    let mut orders = Orders::default();
    assert_eq!(orders.decide(revision, &digest(content), None), OrderDecision::Propose);
    orders.begin(revision, digest(content), ticket);
    orders
}

#[test]
fn an_order_submitted_again_is_acknowledged_also_after_a_failover() {
    let (mut orders, mut disk, a) = (begun(50, "a", 1), Disk::new(), digest("a"));
    assert_eq!(orders.decide(50, &a, None), OrderDecision::InProgress(1));
    write(&mut orders, &mut disk, 1..=1);
    for orders in [&orders, &recovered(&disk)] {
        assert_eq!(orders.decide(50, &a, Some(50)), OrderDecision::AlreadyCommitted);
        assert_eq!(
            orders.decide(50, &a, Some(60)),
            OrderDecision::AlreadyCommitted,
            "also once it is not the newest"
        );
    }
}

#[test]
fn another_content_under_a_committed_revision_is_refused() {
    let (mut orders, mut disk) = (begun(50, "a", 1), Disk::new());
    write(&mut orders, &mut disk, 1..=1);
    for orders in [&orders, &recovered(&disk)] {
        assert_eq!(orders.decide(50, &digest("b"), Some(50)), OrderDecision::Conflict);
        assert_eq!(orders.decide(50, &digest("b"), Some(60)), OrderDecision::Conflict);
    }
}

#[test]
fn a_conflicting_order_is_decided_by_what_becomes_of_the_first() {
    let (a, b) = (digest("a"), digest("b"));
    let mut orders = begun(50, "a", 1);
    assert_eq!(orders.decide(50, &b, Some(49)), OrderDecision::ConflictInProgress(1));
    orders.mark_committed(1);
    assert_eq!(orders.decide(50, &b, Some(50)), OrderDecision::Conflict);

    let mut orders = begun(50, "a", 1);
    orders.mark_failed(1);
    assert_eq!(orders.decide(50, &b, Some(49)), OrderDecision::Propose, "nobody has that number");
    orders.begin(50, b, 2);
    assert_eq!(orders.decide(50, &a, Some(49)), OrderDecision::ConflictInProgress(2));
    orders.abandon_all();
    assert_eq!(orders.decide(50, &a, Some(49)), OrderDecision::Propose);
}

#[test]
fn an_unknown_lower_revision_is_acknowledged_and_then_has_one_content() {
    let (mut orders, mut disk) = (begun(50, "a", 1), Disk::new());
    write(&mut orders, &mut disk, 1..=1);
    assert_eq!(orders.decide(40, &digest("c"), Some(50)), OrderDecision::ProposeWithoutEffect);
    orders.begin(40, digest("c"), 2);
    assert_eq!(orders.decide(40, &digest("d"), Some(50)), OrderDecision::ConflictInProgress(2));
    write(&mut orders, &mut disk, 2..=2);
    for orders in [&orders, &recovered(&disk)] {
        assert_eq!(orders.decide(40, &digest("c"), Some(50)), OrderDecision::AlreadyCommitted);
        assert_eq!(orders.decide(40, &digest("d"), Some(50)), OrderDecision::Conflict);
    }
}

#[test]
fn the_state_of_an_older_build_knows_the_newest_order_by_its_body() {
    let settings = ConfigDocument { revision: 7, body: r#"{"revision": "r7"}"#.into() };
    let disk = Disk::from([("config".into(), serde_json::to_string(&settings).unwrap())]);
    let orders = recovered(&disk);
    assert_eq!(orders.decide(7, &digest(&settings.body), Some(7)), OrderDecision::AlreadyCommitted);
    assert_eq!(orders.decide(7, &digest("{}"), Some(7)), OrderDecision::Conflict);
}

#[test]
fn orders_committed_in_batches_are_all_remembered() {
    let (mut orders, mut disk) = (Orders::default(), Disk::new());
    for ticket in 1..=7 {
        let (revision, digest) = (20 - ticket, digest(&format!("content {ticket}")));
        assert_eq!(orders.decide(revision, &digest, Some(3)), OrderDecision::Propose);
        orders.begin(revision, digest, ticket);
    }
    assert_eq!(orders.decide(15, &digest("another"), Some(3)), OrderDecision::ConflictInProgress(5));
    assert_eq!(orders.writes(4).len(), 4, "the others come with a later batch");
    write(&mut orders, &mut disk, 1..=4);
    assert_eq!(orders.decide(15, &digest("content 5"), Some(19)), OrderDecision::InProgress(5));
    write(&mut orders, &mut disk, 5..=7);
    for ticket in 1..=7 {
        let found = recovered(&disk).decide(20 - ticket, &digest(&format!("content {ticket}")), Some(19));
        assert_eq!(found, OrderDecision::AlreadyCommitted);
    }
    assert_eq!(recovered(&disk).decide(15, &digest("another"), Some(19)), OrderDecision::Conflict);
}

#[test]
fn revisions_above_the_limit_drop_the_lowest() {
    let (mut orders, mut disk) = (Orders::default(), Disk::new());
    let limit = MAX_REMEMBERED as u64;
    for revision in 1..=limit + 10 {
        orders.begin(revision, digest("x"), revision);
        write(&mut orders, &mut disk, revision..=revision);
    }
    // Lower than all revisions that are kept: it is acknowledged, and not remembered.
    orders.begin(2, digest("y"), limit + 11);
    assert_eq!(orders.writes(limit + 11), []);
    orders.mark_committed(limit + 11);
    for orders in [&orders, &recovered(&disk)] {
        assert_eq!(orders.committed.len(), MAX_REMEMBERED);
        assert_eq!(orders.decide(10, &digest("x"), Some(limit + 10)), OrderDecision::ProposeWithoutEffect);
        assert_eq!(orders.decide(11, &digest("x"), Some(limit + 10)), OrderDecision::AlreadyCommitted);
    }
    assert_eq!(disk.values().filter(|value| !value.is_empty()).count(), MAX_REMEMBERED);
    let names: Vec<&String> = disk.keys().collect();
    assert_eq!(names[0], "order/00000000000000000001", "names are in the order of numbers");
}

#[test]
fn bodies_equal_as_json_have_one_digest() {
    let same = [r#"{"a":1,"b":{"c":[1,2],"d":null}}"#, "{ \"b\": {\"d\":null, \"c\":[1, 2]},\n\"a\": 1 }"];
    assert_eq!(digest(same[0]), digest(same[1]));
    let other = [
        r#"{"a":1,"b":{"c":[2,1],"d":null}}"#,
        r#"{"a":"1","b":{"c":[1,2],"d":null}}"#,
        r#"{"a":1,"b":{"c":[1,2]}}"#,
        "not JSON",
        "",
    ];
    let all: std::collections::BTreeSet<String> = other.iter().chain(&same).map(|b| digest(b)).collect();
    assert_eq!(all.len(), 6);
    assert!(all.iter().all(|d| d.len() == 32), "128 bits");
}

/// Operators resend orders at random, over failovers that keep or lose the batch in progress. A revision has
/// the same content in every acknowledgement, and an acknowledged order is never refused.
#[test]
fn random_failovers_leave_one_content_per_revision() {
    for seed in 0..500 {
        let mut random = fastrand::Rng::with_seed(seed);
        let (mut orders, mut disk) = (Orders::default(), Disk::new());
        let (mut acknowledged, mut ticket): (BTreeMap<u64, String>, u64) = Default::default();
        // The orders that wait for an answer: (ticket, revision, content).
        let mut waiting: Vec<(u64, u64, String)> = Vec::new();
        for _ in 0..200 {
            let in_force =
                || disk.keys().filter_map(|n| n.strip_prefix(ORDER_KEY_PREFIX)?.parse::<u64>().ok()).max();
            match random.u8(0..10) {
                0 => {
                    // A failover. The batch in progress is on the disk, or not.
                    if random.bool() {
                        disk.extend(orders.writes(ticket));
                    }
                    waiting.clear();
                    orders = recovered(&disk);
                }
                1..=3 => {
                    write(&mut orders, &mut disk, 0..=ticket);
                    for (_, revision, content) in waiting.drain(..) {
                        let first = acknowledged.entry(revision).or_insert(content.clone());
                        assert_eq!(*first, content, "seed {seed}: both were acknowledged");
                    }
                }
                _ => {
                    let (revision, content) = (random.u64(1..9), random.u8(0..3).to_string());
                    let known = acknowledged.get(&revision).is_some_and(|first| *first == content);
                    match orders.decide(revision, &digest(&content), in_force()) {
                        OrderDecision::Propose | OrderDecision::ProposeWithoutEffect => {
                            ticket += 1;
                            orders.begin(revision, digest(&content), ticket);
                            waiting.push((ticket, revision, content));
                        }
                        OrderDecision::InProgress(ticket) => waiting.push((ticket, revision, content)),
                        OrderDecision::ConflictInProgress(_) | OrderDecision::Conflict => {
                            assert!(!known, "seed {seed}: refused")
                        }
                        OrderDecision::AlreadyCommitted => {
                            let first = acknowledged.entry(revision).or_insert(content.clone());
                            assert_eq!(*first, content, "seed {seed}");
                        }
                    }
                }
            }
        }
    }
}
