//! Witnesses against restarts, lost disks and candidates that race. The whole core is played in `tests/`.
use super::*;
use assert_matches::assert_matches;

fn group() -> Vec<Voter> {
    ["a", "b", "c"].map(|id| Voter::new(id, 0)).into()
}

fn record(n: u64, primary: &str, backup: &str) -> LeadershipRecord {
    let (epoch, backups) = (Term::new(n, primary), vec![backup.to_string()]);
    LeadershipRecord {
        term: epoch,
        leader: primary.into(),
        backups,
        voters: group(),
        outgoing_voters: vec![],
    }
}

fn genesis() -> LeadershipRecord {
    LeadershipRecord { term: Term::new(1, ""), ..record(1, "a", "b") }
}

#[test]
fn a_deposed_leader_does_not_get_its_lease_renewed() {
    let mut one = Acceptor::bootstrap(genesis());
    let old = record(2, "a", "b");
    one.prepare(0, &old.term).unwrap();
    one.accept(0, &old, 100).unwrap();
    assert_matches!(one.prepare(50, &Term::new(3, "b")), Err(Rejection { reason: why, .. }) if why == "another has the lease");
    one.prepare(100, &Term::new(3, "b")).unwrap();
    assert_matches!(one.accept(101, &old, 100), Err(Rejection { promised, .. }) if promised.number == 3);
}

#[test]
fn a_restarted_voter_still_honours_an_earlier_lease() {
    let held = VoterState {
        promised: Term::new(2, "a"),
        record: record(2, "a", "b"),
        longest_lease: 100,
        ..VoterState::default()
    };
    // The settings were others when the lease was granted.
    let mut one = Acceptor::restart(0, held, 50);
    assert_matches!(one.prepare(99, &Term::new(3, "b")), Err(_));
    let mut other = one.clone();
    assert_matches!(other.prepare(1, &Term::new(3, "a")), Ok(_), "who acted knows that it has ended");
    assert_matches!(one.prepare(100, &Term::new(3, "b")), Ok(_));
}

#[test]
fn a_released_lease_ends_at_once_and_a_release_of_an_older_term_ends_nothing() {
    let mut one = Acceptor::bootstrap(genesis());
    one.accept(0, &record(2, "a", "b"), 100).unwrap();
    one.release(&Term::new(1, ""));
    assert_matches!(one.prepare(1, &Term::new(3, "b")), Err(_), "a release of an epoch before");
    one.release(&Term::new(2, "a"));
    assert_matches!(one.prepare(1, &Term::new(3, "b")), Ok(_));
}

#[test]
fn a_lost_disk_does_not_count_as_the_voter_of_its_old_incarnation() {
    let (old, new) = (genesis(), Voter::new("c", 77));
    assert!(old.has_quorum(|w| w.id == "a" || w.id == "b"));
    assert!(!old.has_quorum(|w| w.id == "a" || *w == new));
    let replaced = vec![Voter::new("a", 0), Voter::new("b", 0), new.clone()];
    let joint = LeadershipRecord { voters: replaced, outgoing_voters: group(), ..record(2, "a", "b") };
    assert!(!joint.has_quorum(|w| w.id == "a" || *w == new), "the group before has its say");
    assert!(joint.has_quorum(|w| w.id == "a" || w.id == "b"));
}

#[test]
fn a_lease_counts_from_the_request_less_the_clock_drift() {
    let (mut leases, record) = (LeaseGrants::default(), genesis());
    leases.add(Voter::new("a", 0), 1000, 500);
    assert!(!leases.hold(&record, 1001));
    leases.add(Voter::new("c", 0), 900, 500);
    assert!(leases.hold(&record, 1388) && !leases.hold(&record, 1390));
    leases.add(Voter::new("c", 9), 5000, 500);
    assert!(!leases.hold(&record, 1390), "another disk at the same place");
}

#[test]
fn an_isolated_node_does_not_exit_before_its_shutdown_grace() {
    let spans = Timeouts {
        lease: 1200,
        heartbeat_interval: 400,
        rpc_timeout: 600,
        replace_after: 2000,
        shutdown_grace: 3000,
        max_failures: 1,
    };
    let peers: Vec<Id> = ["a", "b", "c"].map(String::from).into();
    let start = InitialState {
        id: "b".into(),
        timeouts: spans,
        peers,
        bootstrap: true,
        new_incarnation: 5,
        ..InitialState::default()
    };
    let (mut core, mut out) = (Core::start(0, start, &mut Vec::new()), Vec::new());
    core.begin_shutdown(100);
    assert!(!core.may_exit(2000) && core.may_exit(3101), "a place in the group would go with it");
    for id in ["a", "c"] {
        core.handle_peer_status(
            3000,
            &PeerStatus { id: id.into(), disk_healthy: true, draining: true, ..PeerStatus::default() },
            None,
            &mut out,
        );
    }
    assert!(core.may_exit(3050), "all of them end");
}
