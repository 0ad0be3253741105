//! Balancing of slices (shards) over holders (hosts) without I/O: scores, slice counts per unit of weight, gaps, and
//! moves from the fullest to the emptiest holder. It implements sections III A and III B of the paper: Liu, Wang, Jin,
//! "Research on The Improvement of MongoDB Auto-Sharding in Cloud Environment" (Beijing Jiaotong University).
//!
//! `assignment` has the types, `mechanism` the rules of the paper. `placement` assigns slices initially and moves them
//! off holders that leave; `relief` extends the paper for hot slices at even counts. `docs/design.md` has the reasons.
//!
//! An example that scores slices by their requests and then balances them by a few moves at a time:
//!
//! ```
//! use coppersail_rebalancer::{initial_assignment, normalized_weights, scores, Assignment, Holder, Rebalancer};
//!
//! // Two holders that weigh 1 and 3; a third has just been listed.
//! let weights = normalized_weights(&[Some(1.0), Some(3.0), Some(2.0)]);
//! assert_eq!(weights, [0.5, 1.5, 1.0]);
//! let holder = |i: usize| Holder { weight: weights[i], listed_at: Some(i as f64), ..Holder::default() };
//! let owners = initial_assignment(24, &[holder(0), holder(1)]);
//! assert_eq!(owners.iter().filter(|owner| **owner == Some(1)).count(), 18);
//!
//! // Counted requests of two classes, the second of them the heavier one.
//! let counts: Vec<[f64; 2]> = (0..24).map(|slice| [slice as f64, 1.0]).collect();
//! let holders = vec![holder(0), holder(1), Holder { is_new: true, ..holder(2) }];
//! let mut assignment = Assignment { holders, owners, scores: scores(&counts, Some(1), 1.5), ..Assignment::default() };
//! let mut rebalancer = Rebalancer::default();
//! let moves = rebalancer.plan_moves(&assignment, 2);
//! assert_eq!((moves.len(), moves[0].to), (2, 2));
//! // Balancing ends once the gap is under 2.
//! while let Some(next) = rebalancer.plan_moves(&assignment, 1).pop() {
//!     assignment.owners[next.slice] = Some(next.to);
//! }
//! assert!(assignment.gap().unwrap().slices < 2.0);
//! ```

mod assignment;
mod mechanism;
mod placement;
mod relief;
#[cfg(test)]
mod tests;

pub use assignment::{Assignment, CandidateRank, Gap, Holder, Move, Rebalancer, Totals};
pub use mechanism::{normalized_weight, scores, select_holder};
pub use placement::{initial_assignment, normalized_weights};
pub use relief::HOT_LOAD_RATIO;
