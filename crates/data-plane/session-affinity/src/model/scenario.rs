//! What may happen in a walk of the model, and the walks of docs/sessions.md.
use crate::ids::NodeId;
#[cfg(test)]
use crate::settings::InjectedBug;

/// An idempotent request of the clients. All requests of a session have the same key.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct ScenarioRequest {
    pub(super) node: NodeId,
    pub(super) session: u64,
}

/// Bounds of a walk.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Scenario {
    pub(super) requests: &'static [ScenarioRequest],
    /// How many sessions a node holds.
    pub(super) capacity: usize,
    /// How many nodes restart without their state.
    pub(super) losses: u8,
    /// How many messages arrive once more, at any time later.
    pub(super) duplicates: u8,
    /// How often a claim is retried.
    pub(super) claim_retries: u32,
    /// How many outcomes an attempt may have; with none it never ends.
    pub(super) outcomes: u8,
    /// Nobody notifies an owner that it is superseded, so that it takes itself for the owner for longer.
    pub(super) without_superseded: bool,
    pub(super) max_states: usize,
    #[cfg(test)]
    pub(super) injected_bug: Option<InjectedBug>,
}

const fn request(node: NodeId, session: u64) -> ScenarioRequest {
    ScenarioRequest { node, session }
}

pub(super) const ONE_REQUEST: &[ScenarioRequest] = &[request(0, 0)];
pub(super) const REPEAT_AT_SAME_NODE: &[ScenarioRequest] = &[request(0, 0), request(0, 0)];
const REPEAT_AT_OTHER_NODE: &[ScenarioRequest] = &[request(0, 0), request(1, 0)];
const TWO_SESSIONS: &[ScenarioRequest] = &[request(0, 0), request(1, 1)];
const REPEAT_AND_OTHER_SESSION: &[ScenarioRequest] = &[request(0, 0), request(1, 0), request(2, 1)];

/// A request that is repeated at another node while one node loses its state.
pub(super) const CROSSING: Scenario = Scenario {
    requests: REPEAT_AT_OTHER_NODE,
    capacity: 4,
    losses: 1,
    duplicates: 0,
    claim_retries: 0,
    outcomes: 1,
    without_superseded: false,
    max_states: 60_000_000,
    #[cfg(test)]
    injected_bug: None,
};

pub(super) const REDUCED_CROSSING: Scenario = Scenario { outcomes: 0, without_superseded: true, ..CROSSING };

/// Two sessions, where a node has capacity for one.
pub(super) const CROWDED: Scenario = Scenario { requests: TWO_SESSIONS, capacity: 1, losses: 0, ..CROSSING };

/// One row of the table in docs/sessions.md.
#[derive(Debug, Clone, Copy)]
pub struct DocumentedScenario {
    /// What clients do, and what is searched besides losses.
    pub title: &'static str,
    /// How many nodes lose their state, in a word.
    pub losses: &'static str,
    /// What is left out to bound the search.
    pub left_out: &'static str,
    /// The number of states that were found when the row was last written.
    pub states: usize,
    /// The bounds.
    pub scenario: Scenario,
}

const fn walk(
    title: &'static str,
    losses: &'static str,
    left_out: &'static str,
    states: usize,
    scenario: Scenario,
) -> DocumentedScenario {
    DocumentedScenario { title, losses, left_out, states, scenario }
}

const WITHOUT_LOSS: Scenario = Scenario { losses: 0, ..CROSSING };
const REDUCED: &str = "quiet, no end";
const CROWDED_TITLE: &str = "two sessions at two sites, where a site has room for one";

/// The walks of docs/sessions.md, in the order of its table. The largest two take minutes in a release build.
pub const DOCUMENTED_SCENARIOS: [DocumentedScenario; 10] = [
    walk(
        "one; all three outcomes",
        "one",
        "",
        10_943,
        Scenario { requests: ONE_REQUEST, outcomes: 3, ..CROSSING },
    ),
    walk(
        "one key twice at one site",
        "one",
        "",
        59_235,
        Scenario { requests: REPEAT_AT_SAME_NODE, ..CROSSING },
    ),
    walk(
        "one key at two sites; all three outcomes",
        "none",
        "",
        89_889,
        Scenario { outcomes: 3, ..WITHOUT_LOSS },
    ),
    walk(
        "one key at two sites; a claim is made again",
        "none",
        "",
        113_591,
        Scenario { claim_retries: 1, ..WITHOUT_LOSS },
    ),
    walk("one key at two sites", "one", REDUCED, 5_234_873, REDUCED_CROSSING),
    walk(CROWDED_TITLE, "none", "", 30_840, CROWDED),
    walk(
        "one key at two sites, and another session at the third",
        "none",
        REDUCED,
        568_356,
        Scenario { requests: REPEAT_AND_OTHER_SESSION, losses: 0, ..REDUCED_CROSSING },
    ),
    walk(
        CROWDED_TITLE,
        "one",
        REDUCED,
        15_120_178,
        Scenario { requests: TWO_SESSIONS, capacity: 1, ..REDUCED_CROSSING },
    ),
    walk(
        "one; not run or unknown; one message arrives twice",
        "one",
        "",
        148_990,
        Scenario { requests: ONE_REQUEST, duplicates: 1, outcomes: 2, ..CROSSING },
    ),
    walk(
        "one key at two sites; one message arrives twice",
        "none",
        REDUCED,
        63_627,
        Scenario { losses: 0, duplicates: 1, ..REDUCED_CROSSING },
    ),
];
