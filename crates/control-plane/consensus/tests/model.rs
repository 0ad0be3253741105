//! Model checking of the production core: exhaustive searches within bounds (every order of messages, every
//! message loss, and other faults within a budget), and random walks with the same faults.
#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

#[path = "model/cases.rs"]
mod cases;
// The model and the scripted scenarios share this module; each uses a part of it.
#[allow(dead_code)]
#[path = "model/cluster.rs"]
mod cluster;
#[path = "model/search.rs"]
mod search;
#[path = "model/two_voters.rs"]
mod two_voters;
#[path = "model/walk.rs"]
mod walk;

use cases::{config, expected_states, search_start};
use cluster::{timeouts, ModelConfig};
use coppersail_consensus::Timeouts;
use search::search;
use walk::run_walks;

/// By how many parts in a thousand the clock of each node runs faster than true time.
const CLOCK_DRIFT: [i64; 5] = [0, 10, -10, 7, -4];

#[test]
fn invariants_hold_in_random_faults_with_two_of_five_disks_lost() {
    let timeouts = Timeouts { max_failures: 2, replace_after: 300, shutdown_grace: 1_000_000, ..timeouts() };
    run_walks(
        "five, two",
        ModelConfig {
            node_count: 5,
            initial_voters: 5,
            timeouts,
            time_step: 12,
            fault_targets: 31,
            clock_drift: CLOCK_DRIFT,
            ..config()
        },
    );
}

#[test]
fn invariants_hold_in_random_faults_with_one_of_five_disks_lost() {
    let timeouts = Timeouts { replace_after: 300, shutdown_grace: 1_000_000, ..timeouts() };
    run_walks(
        "five, one",
        ModelConfig {
            node_count: 5,
            timeouts,
            time_step: 12,
            fault_targets: 31,
            clock_drift: CLOCK_DRIFT,
            ..config()
        },
    );
}

#[test]
fn invariants_hold_in_random_faults_with_one_of_two_or_three_disks_lost() {
    let timeouts = Timeouts { replace_after: 300, shutdown_grace: 1_000_000, ..timeouts() };
    for (name, node_count) in [("two, one", 2), ("three, one", 3)] {
        run_walks(
            name,
            ModelConfig {
                node_count,
                timeouts,
                time_step: 12,
                fault_targets: 31,
                keeps_old_disks: true,
                clock_drift: CLOCK_DRIFT,
                ..two_voters::two_nodes()
            },
        );
    }
}

/// The limit of states of a search. A search that exceeds it fails, because a search that is cut off
/// proves nothing.
const MAX_STATES: usize = 2_000_000;
/// One state in this many is checked for liveness.
const LIVENESS_SAMPLING: u64 = 997;

fn assert_no_violation(name: &str) {
    let found = search(search_start(name), MAX_STATES, LIVENESS_SAMPLING, &|| ());
    println!(
        "{name}: {} states, {} steps, depth {}, {:.1} s; at most {} terms, {} memberships, {} changes; \
         {} liveness checks, the slowest {} ticks",
        found.states,
        found.steps,
        found.depth,
        found.seconds,
        found.terms,
        found.memberships,
        found.acknowledged,
        found.liveness_checks,
        found.slowest_recovery
    );
    if let Some(violation) = &found.violation {
        panic!("{name}: {}, after {} steps:\n{}", violation.reason, violation.steps, violation.trace);
    }
    assert!(found.exhausted, "{name}: more than {MAX_STATES} states");
    let expected = expected_states(name);
    assert_eq!(found.states, expected, "{name}: the number of states has changed, so has the behaviour");
}

#[test]
fn invariants_hold_in_failovers_during_appends() {
    assert_no_violation("takeovers");
    assert_no_violation("two changes");
    assert_no_violation("frozen");
}

#[test]
fn invariants_hold_in_failures_during_membership_changes() {
    assert_no_violation("lost disk");
    assert_no_violation("replaced");
    assert_no_violation("old group");
    assert_no_violation("new group");
    assert_no_violation("leaver");
}

#[test]
fn invariants_hold_if_disks_fail_a_write_or_lose_it_in_a_crash() {
    assert_no_violation("disk of the primary");
    assert_no_violation("disk of the backup");
}

#[test]
fn invariants_hold_if_messages_are_late_or_duplicated() {
    assert_no_violation("new backup");
    assert_no_violation("late copies");
    assert_no_violation("late answers");
}

/// Guards against review case 5: with two voters one lost disk ended the control plane for good.
#[test]
fn invariants_hold_if_one_of_two_voters_loses_its_disk() {
    assert_no_violation("two voters, a lost disk");
    assert_no_violation("two voters, lost again");
}

#[test]
fn invariants_hold_if_the_number_of_voters_changes_between_one_two_and_three() {
    assert_no_violation("two voters, a third joins");
    assert_no_violation("two voters, one leaves");
}

#[test]
fn invariants_hold_if_one_of_two_voters_is_cut_off_frozen_or_down() {
    assert_no_violation("two voters, cut off");
}

#[test]
fn invariants_hold_if_an_old_disk_comes_back_to_two_voters() {
    assert_no_violation("two voters, an old disk");
}

/// Each injected bug must be found by the search that is listed with it.
#[cfg(feature = "injected-bugs")]
#[test]
fn every_injected_bug_is_found() {
    use coppersail_consensus::InjectedBug::*;
    let all = [
        (CommitWithoutBackup, "takeovers"),
        (LeaseFromResponse, "late answers"),
        (LostDiskVotes, "lost disk"),
        (StaleSnapshot, "new backup"),
        (TwoVotersAtOnce, "lost disk"),
        (OutgoingMajorityOnly, "replaced"),
        (NoLease, "takeovers"),
        (UnverifiedProbe, "replaced"),
        (SilenceCountsAsLoss, "two voters, cut off"),
        (ReplacedDiskVotes, "lost disk"),
        (HalfOfOddVoters, "lost disk"),
        (EmptyDiskLeads, "two voters, a lost disk"),
        (UnknownDiskRecordIgnored, "two voters, an old disk"),
    ];
    for (bug, name) in all {
        let inject = || coppersail_consensus::inject(Some(bug));
        let found = search(search_start(name), MAX_STATES, 0, &inject);
        let violation = found.violation.unwrap_or_else(|| panic!("{bug:?} is not found by {name}"));
        println!(
            "{bug:?}, by {name}: {}; {} steps, {} states, {:.1} s\n{}",
            violation.reason, violation.steps, found.states, found.seconds, violation.trace
        );
    }
}
