//! Voters under restarts, lost disks and competing candidates. The tests of the whole core are in `tests/`.
use super::*;
use assert_matches::assert_matches;

fn voters() -> Vec<Voter> {
    ["a", "b", "c"].map(|id| Voter::new(id, 0)).into()
}

fn record(number: u64, leader: &str, backup: &str) -> LeadershipRecord {
    LeadershipRecord {
        term: Term::new(number, leader),
        leader: leader.into(),
        backups: vec![backup.into()],
        voters: voters(),
        outgoing_voters: vec![],
    }
}

fn first_record() -> LeadershipRecord {
    LeadershipRecord { term: Term::new(1, ""), ..record(1, "a", "b") }
}

#[test]
fn a_deposed_leader_does_not_get_its_lease_renewed() {
    let mut acceptor = Acceptor::bootstrap(first_record());
    let old = record(2, "a", "b");
    acceptor.prepare(0, &old.term).unwrap();
    acceptor.accept(0, &old, 100).unwrap();
    assert_matches!(acceptor.prepare(50, &Term::new(3, "b")), Err(Rejection { reason, .. }) if reason == "another has the lease");
    acceptor.prepare(100, &Term::new(3, "b")).unwrap();
    assert_matches!(acceptor.accept(101, &old, 100), Err(Rejection { promised, .. }) if promised.number == 3);
}

#[test]
fn a_restarted_voter_still_honours_an_earlier_lease() {
    let voter_state = VoterState {
        promised: Term::new(2, "a"),
        record: record(2, "a", "b"),
        longest_lease: 100,
        ..VoterState::default()
    };
    // The configured lease is 50 ms now, and was 100 ms when the lease was granted.
    let mut acceptor = Acceptor::restart(0, voter_state, 50);
    assert_matches!(acceptor.prepare(99, &Term::new(3, "b")), Err(_));
    let mut other = acceptor.clone();
    assert_matches!(other.prepare(1, &Term::new(3, "a")), Ok(_), "the earlier lease is the candidate's own");
    assert_matches!(acceptor.prepare(100, &Term::new(3, "b")), Ok(_));
}

#[test]
fn a_release_ends_the_lease_of_its_own_term_only() {
    let mut acceptor = Acceptor::bootstrap(first_record());
    acceptor.accept(0, &record(2, "a", "b"), 100).unwrap();
    acceptor.release(&Term::new(1, ""));
    assert_matches!(
        acceptor.prepare(1, &Term::new(3, "b")),
        Err(_),
        "a release of an earlier term does not end the lease"
    );
    acceptor.release(&Term::new(2, "a"));
    assert_matches!(acceptor.prepare(1, &Term::new(3, "b")), Ok(_));
}

/// The answers of voters of which some grant the request and the others do not answer.
fn granted_if(grants: impl Fn(&Voter) -> bool) -> impl Fn(&Voter) -> VoterAnswer {
    move |voter| if grants(voter) { VoterAnswer::Granted } else { VoterAnswer::Missing }
}

/// Whether a record with voters `0..count` has a quorum if the first `granted` of them grant it and the nodes of
/// the next `lost` grant it with other disks.
fn has_quorum_of(count: usize, granted: usize, lost: usize) -> bool {
    let voters: Vec<Voter> = (0..count).map(|index| Voter::new(&index.to_string(), 0)).collect();
    let answers: Vec<Voter> = (0..granted + lost)
        .map(|index| Voter::new(&index.to_string(), u64::from(index >= granted)))
        .collect();
    let record = LeadershipRecord { voters, ..first_record() };
    record.has_quorum(|voter| VoterAnswer::find(voter, answers.iter()))
}

/// Guards against review case 5: with two voters one lost disk ended the control plane for good.
#[test]
fn half_of_an_even_number_of_voters_is_a_quorum_only_if_another_has_lost_its_disk() {
    for count in 1..=6 {
        for granted in 0..=count {
            for lost in 0..=count - granted {
                let is_majority = 2 * granted > count;
                let is_half = 2 * granted == count && lost > 0;
                let found = has_quorum_of(count, granted, lost);
                assert_eq!(found, is_majority || is_half, "{granted} of {count}, {lost} lost");
            }
        }
    }
}

#[test]
fn a_lost_disk_does_not_count_as_the_voter_of_its_old_incarnation() {
    let (old, new) = (first_record(), Voter::new("c", 77));
    assert!(old.has_quorum(granted_if(|voter| voter.id == "a" || voter.id == "b")));
    assert!(!old.has_quorum(granted_if(|voter| voter.id == "a" || *voter == new)));
    let replaced = vec![Voter::new("a", 0), Voter::new("b", 0), new.clone()];
    let joint = LeadershipRecord { voters: replaced, outgoing_voters: voters(), ..record(2, "a", "b") };
    assert!(
        !joint.has_quorum(granted_if(|voter| voter.id == "a" || *voter == new)),
        "a majority of the outgoing voters is needed as well"
    );
    assert!(joint.has_quorum(granted_if(|voter| voter.id == "a" || voter.id == "b")));
}

#[test]
fn a_lease_counts_from_the_request_less_the_clock_drift() {
    let (mut leases, record) = (LeaseGrants::default(), first_record());
    leases.add(Voter::new("a", 0), 1000, 500);
    assert!(!leases.is_held(&record, 1001));
    leases.add(Voter::new("c", 0), 900, 500);
    assert!(leases.is_held(&record, 1388) && !leases.is_held(&record, 1390));
    leases.add(Voter::new("c", 9), 5000, 500);
    assert!(!leases.is_held(&record, 1390), "a grant of another disk of the same node does not count");
}

#[test]
fn an_isolated_node_does_not_exit_before_its_shutdown_grace() {
    let timeouts = Timeouts {
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
        timeouts,
        peers,
        bootstrap: true,
        new_incarnation: 5,
        ..InitialState::default()
    };
    let (mut core, mut out) = (Core::start(0, start, &mut Vec::new()), Vec::new());
    core.begin_shutdown(100);
    assert!(
        !core.may_exit(2000) && core.may_exit(3101),
        "the vote of an isolated node would be lost with it"
    );
    for id in ["a", "c"] {
        core.handle_peer_status(
            3000,
            &PeerStatus { id: id.into(), disk_healthy: true, draining: true, ..PeerStatus::default() },
            None,
            &mut out,
        );
    }
    assert!(core.may_exit(3050), "all nodes are shutting down");
}
