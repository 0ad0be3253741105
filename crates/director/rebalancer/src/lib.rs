//! The paper's mechanism, pure: scores of slices and holders, counts per unit of weight, gaps, moves from the
//! fullest to the emptiest. `assignment` has the types, `mechanism` what all users share; `placement` lays slices out
//! and takes them off holders that leave; `relief` is our addition for hot slices at an even count. Why:
//! `docs/design.md`.
//!
//! A round of one who keeps slices with their holders: scores from counts, then a few moves at a time.
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
//! let mut board = Assignment { holders, owners, scores: scores(&counts, Some(1), 1.5), ..Assignment::default() };
//! let mut rebalancer = Rebalancer::default();
//! let moves = rebalancer.plan_moves(&board, 2);
//! assert_eq!((moves.len(), moves[0].to), (2, 2));
//! // Carried out a few at a time, they end once the gap is under 2.
//! while let Some(next) = rebalancer.plan_moves(&board, 1).pop() {
//!     board.owners[next.slice] = Some(next.to);
//! }
//! assert!(board.gap().unwrap().slices < 2.0);
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
