//! The paper's mechanism, pure: scores of slices and holders, counts per unit of weight, gaps, moves from the
//! fullest to the emptiest. `board` has the types, `mechanism` what all users share; `placement` lays slices out
//! and takes them off holders that leave; `relief` is our addition for hot slices at an even count. Why:
//! `docs/design.md`.
//!
//! A round of one who keeps slices with their holders: scores from counts, then a few moves at a time.
//!
//! ```
//! use coppersail_rebalancer::{lay, scores, units, Balance, Board, Holder};
//!
//! // Two holders that weigh 1 and 3; a third has just been listed.
//! let weights = units(&[Some(1.0), Some(3.0), Some(2.0)]);
//! assert_eq!(weights, [0.5, 1.5, 1.0]);
//! let holder = |i: usize| Holder { unit: weights[i], listed_at: Some(i as f64), ..Holder::default() };
//! let owners = lay(24, &[holder(0), holder(1)]);
//! assert_eq!(owners.iter().filter(|owner| **owner == Some(1)).count(), 18);
//!
//! // Counted requests of two classes, the second of them the heavier one.
//! let counts: Vec<[f64; 2]> = (0..24).map(|slice| [slice as f64, 1.0]).collect();
//! let holders = vec![holder(0), holder(1), Holder { young: true, ..holder(2) }];
//! let mut board = Board { holders, owners, scores: scores(&counts, Some(1), 1.5), ..Board::default() };
//! let mut balance = Balance::default();
//! let moves = balance.plan(&board, 2);
//! assert_eq!((moves.len(), moves[0].to), (2, 2));
//! // Carried out a few at a time, they end once the gap is under 2.
//! while let Some(next) = balance.plan(&board, 1).pop() {
//!     board.owners[next.slice] = Some(next.to);
//! }
//! assert!(board.gap().unwrap().slices < 2.0);
//! ```

mod board;
mod mechanism;
mod placement;
mod relief;
#[cfg(test)]
mod tests;

pub use board::{Balance, Board, CandidateRank, Gap, Holder, Move, Totals};
pub use mechanism::{scores, seat, unit};
pub use placement::{lay, units};
pub use relief::HOT;
