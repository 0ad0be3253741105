//! Scenarios, which bound a search of the model, and the documented ones of docs/sessions.md.
use crate::ids::NodeId;
#[cfg(test)]
use crate::settings::InjectedBug;

/// An idempotent request by a client to a node. All requests of a session have the same key.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct ScenarioRequest {
    pub(super) node: NodeId,
    pub(super) session: u64,
}

/// The bounds of a search.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Scenario {
    pub(super) requests: &'static [ScenarioRequest],
    /// How many sessions a node can hold.
    pub(super) capacity: usize,
    /// How many nodes restart without their state.
    pub(super) losses: u8,
    /// How many messages are delivered a second time, at any later time.
    pub(super) duplicates: u8,
    /// How many times a claim is retried.
    pub(super) claim_retries: u32,
    /// How many of the possible outcomes an attempt may have, in the order not executed, unknown, completed. With 0, no
    /// attempt ends.
    pub(super) outcomes: u8,
    /// Messages that tell an owner that it is superseded are dropped, so that it acts as the owner for longer.
    pub(super) without_superseded: bool,
    /// The search fails if it finds more states than this.
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

/// A request is repeated at another node, and one node loses its state.
pub(super) const TAKEOVER: Scenario = Scenario {
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

/// As [`TAKEOVER`], without the end of attempts and without messages to superseded owners, which reduces the states.
pub(super) const REDUCED_TAKEOVER: Scenario = Scenario { outcomes: 0, without_superseded: true, ..TAKEOVER };

/// Two sessions at nodes that can hold only one each, so that sessions are evicted.
pub(super) const LIMITED_CAPACITY: Scenario =
    Scenario { requests: TWO_SESSIONS, capacity: 1, losses: 0, ..TAKEOVER };

/// One row of the table in docs/sessions.md.
#[derive(Debug, Clone, Copy)]
pub struct DocumentedScenario {
    /// What the clients do, and which events besides losses are searched.
    pub title: &'static str,
    /// How many nodes lose their state, as the word in the table.
    pub losses: &'static str,
    /// What is left out to reduce the number of states.
    pub left_out: &'static str,
    /// The expected number of states, as in the table.
    pub states: usize,
    /// The bounds of the search.
    pub scenario: Scenario,
}

const fn documented(
    title: &'static str,
    losses: &'static str,
    left_out: &'static str,
    states: usize,
    scenario: Scenario,
) -> DocumentedScenario {
    DocumentedScenario { title, losses, left_out, states, scenario }
}

const WITHOUT_LOSS: Scenario = Scenario { losses: 0, ..TAKEOVER };
const REDUCED: &str = "quiet, no end";
const LIMITED_CAPACITY_TITLE: &str = "two sessions at two sites, where a site has room for one";

/// The scenarios of docs/sessions.md, in the order of its table. The largest two take minutes in a release build.
pub const DOCUMENTED_SCENARIOS: [DocumentedScenario; 10] = [
    documented(
        "one; all three outcomes",
        "one",
        "",
        10_943,
        Scenario { requests: ONE_REQUEST, outcomes: 3, ..TAKEOVER },
    ),
    documented(
        "one key twice at one site",
        "one",
        "",
        59_235,
        Scenario { requests: REPEAT_AT_SAME_NODE, ..TAKEOVER },
    ),
    documented(
        "one key at two sites; all three outcomes",
        "none",
        "",
        89_889,
        Scenario { outcomes: 3, ..WITHOUT_LOSS },
    ),
    documented(
        "one key at two sites; a claim is made again",
        "none",
        "",
        113_591,
        Scenario { claim_retries: 1, ..WITHOUT_LOSS },
    ),
    documented("one key at two sites", "one", REDUCED, 5_234_873, REDUCED_TAKEOVER),
    documented(LIMITED_CAPACITY_TITLE, "none", "", 30_840, LIMITED_CAPACITY),
    documented(
        "one key at two sites, and another session at the third",
        "none",
        REDUCED,
        568_356,
        Scenario { requests: REPEAT_AND_OTHER_SESSION, losses: 0, ..REDUCED_TAKEOVER },
    ),
    documented(
        LIMITED_CAPACITY_TITLE,
        "one",
        REDUCED,
        15_120_178,
        Scenario { requests: TWO_SESSIONS, capacity: 1, ..REDUCED_TAKEOVER },
    ),
    documented(
        "one; not run or unknown; one message arrives twice",
        "one",
        "",
        148_990,
        Scenario { requests: ONE_REQUEST, duplicates: 1, outcomes: 2, ..TAKEOVER },
    ),
    documented(
        "one key at two sites; one message arrives twice",
        "none",
        REDUCED,
        63_627,
        Scenario { losses: 0, duplicates: 1, ..REDUCED_TAKEOVER },
    ),
];
