//! Model checking: an exhaustive search of the states of three nodes with up to two sessions, where up to one node
//! loses its state. Messages may arrive in any order, more than once or never. Each state is checked against the number
//! of times that the endpoints were sent each request.
//!
//! The model is compiled for tests, and with the feature `model-checking` for the example `model_walks`.
mod scenario;
mod search;
#[cfg(test)]
mod tests;
mod world;

pub use scenario::{DocumentedScenario, Scenario, DOCUMENTED_SCENARIOS};
pub use search::{search, SearchError};
pub use world::Violation;
