//! Many plays: grids over scenarios, policies and seeds, comparisons in pairs, agreement of simulated with real time,
//! the smallest scenario that still fails, and the search for a bad one.

mod agreement;
mod comparison;
mod grid;
mod hunt;
mod outcome;
mod shrink;

pub use agreement::{agreement, Agreement};
pub use comparison::{compared, ranked, table, Difference};
pub use grid::{grid, GridError};
pub use hunt::{hunt, HuntObjective, WorstScenario};
pub use outcome::{play, Outcome};
pub use shrink::shrunk;
