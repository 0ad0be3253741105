//! Repairs of an unsafe proposal, from the cheapest search to the dearest: `greedy` moves single weights,
//! `linear_program` computes all weights of the tables concerned, with the limits of `forecast` and for the tables of
//! `program_tables`. `search` chooses among what they find.

mod forecast;
mod greedy;
mod linear_program;
mod moves;
mod program_tables;
mod search;

pub(crate) use search::{find_repair, FoundRepair};

pub use greedy::MAX_STEPS;
pub use moves::{Move, Repair};
