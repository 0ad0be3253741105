//! Searches that are short enough for a debug build, and mutations that the search has to find.
use super::scenario::{
    Scenario, DOCUMENTED_SCENARIOS, LIMITED_CAPACITY, ONE_REQUEST, REDUCED_TAKEOVER, REPEAT_AT_SAME_NODE,
    TAKEOVER,
};
use super::search::{search, search_in_fixed_order, search_within, SearchError};
use super::world::Violation;
use crate::settings::InjectedBug;

#[test]
fn every_order_of_events_executes_a_request_at_most_once() {
    let table = [
        (10_943, Scenario { requests: ONE_REQUEST, outcomes: 3, ..TAKEOVER }),
        (344, Scenario { requests: REPEAT_AT_SAME_NODE, losses: 0, outcomes: 2, ..TAKEOVER }),
        (30_840, LIMITED_CAPACITY),
        (148_990, Scenario { requests: ONE_REQUEST, duplicates: 1, outcomes: 2, ..TAKEOVER }),
        (63_627, Scenario { losses: 0, duplicates: 1, ..REDUCED_TAKEOVER }),
    ];
    for (states, scenario) in table {
        assert_eq!(search(scenario), Ok(states), "{scenario:?}");
    }
}

/// The example `model_walks` searches each of these completely.
#[test]
fn every_order_of_ten_events_executes_a_request_at_most_once_in_each_documented_scenario() {
    let states = [848, 3_305, 3_821, 4_580, 21_822, 4_183, 22_649, 30_569, 5_245, 14_152];
    assert_eq!(DOCUMENTED_SCENARIOS.len(), states.len());
    for (documented, states) in DOCUMENTED_SCENARIOS.into_iter().zip(states) {
        assert_eq!(search_within(documented.scenario, 10), Ok(states), "{documented:?}");
    }
}

/// Uses one thread: with several, it would depend on their timing whether a bug is found before the limit of states.
#[test]
fn the_search_finds_each_injected_bug() {
    let without_loss = Scenario { losses: 0, ..TAKEOVER };
    for (bug, scenario) in [
        (InjectedBug::StaleWrites, without_loss),
        (InjectedBug::NoQuorum, without_loss),
        (InjectedBug::LossIgnored, TAKEOVER),
        (InjectedBug::RetryOfUnknown, without_loss),
        (InjectedBug::DuplicatesCounted, Scenario { duplicates: 2, ..without_loss }),
    ] {
        let bugged = Scenario { injected_bug: Some(bug), max_states: 3_000_000, ..scenario };
        let found = search_in_fixed_order(bugged);
        let twice =
            matches!(found, Err(SearchError::Violated { violation: Violation::ExecutedTwice { .. }, .. }));
        assert!(twice, "{bug:?} is not found: {found:?}");
    }
}
