//! Repairs of an unsafe proposal, from the cheapest strategy to the most expensive: `greedy` moves single
//! weights; `linear_program` computes all weights of the tables from `program_tables`, within the bounds from
//! `forecast`. `search` selects the best result.

mod forecast;
mod greedy;
mod linear_program;
mod moves;
mod program_tables;
mod search;

pub(crate) use search::{find_repair, FoundRepair};

pub use greedy::MAX_STEPS;
pub use moves::{Move, Repair};
