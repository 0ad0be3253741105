//! Exhaustive search of a small world: three nodes, up to two sessions, up to one loss of a node. Messages arrive in any
//! order, twice or never, and every state is checked against the ledger of the endpoint.
//!
//! It is compiled for tests, and with the feature `model-checking` for the example `model_walks`.
mod scenario;
mod search;
#[cfg(test)]
mod tests;
mod world;

pub use scenario::{DocumentedScenario, Scenario, DOCUMENTED_SCENARIOS};
pub use search::{search, SearchError};
pub use world::Violation;
