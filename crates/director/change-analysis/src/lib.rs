//! Change analysis: detects whether a change has made service worse.
//!
//! A trial of a change compares the calls that the change touches with two measures: the same calls in the
//! minute before the change (the baseline), and the calls that it does not touch at the same time (the
//! control group). So a fault of the whole fleet is neither attributed to the change nor hides the change's
//! harm.
//!
//! The test is sequential (Wald): it can be evaluated each time reports arrive. However often it is
//! evaluated, it rejects a harmless change with a probability of at most [`MAX_FALSE_POSITIVE_RATE`], as long
//! as its model of the noise holds (Ville's inequality). `docs/changes.md` has the design and the measured
//! rates.
//!
//! | module | concern |
//! | --- | --- |
//! | `scope` | what a change touches, and the parts of service that are compared |
//! | `history` | reported calls by period |
//! | `sums` | weighted sums of calls on the touched and the untouched side |
//! | `sides` | assignment of a period's calls to the two sides |
//! | `baseline` | loss rates and noise before the change |
//! | `comparison` | comparison of a period with the baseline |
//! | `evidence` | the sequential test |
//! | `trial` | all parts of one change under trial |
//! | `analysis` | all trials in progress |
//!
//! The package is pure: no clock, no I/O, and the same reports always give the same findings.

mod analysis;
mod baseline;
mod comparison;
mod evidence;
mod finding;
mod history;
mod scope;
mod sides;
mod sums;
mod trial;

pub use analysis::{ChangeAnalysis, MAX_FALSE_POSITIVE_RATE};
pub use finding::{HarmFinding, UntouchedLoss};
pub use scope::{ChangeScope, ServicePart, TrialId};
