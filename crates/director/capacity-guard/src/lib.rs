//! Whether what is about to be told to proxies is safe. It stands between whoever makes tables (the decision module,
//! operators' changes, a store) and the channel. No I/O, no clock, no chance: the same pool, tables and orders give the
//! same verdict.
//!
//! What is unsafe is defined in `danger`; `Guard::judge` compares a proposal with what stands, at every moment that
//! matters: after each call, and when what is pending is complete. What is refused is answered with every reason and,
//! where there is one, with the smallest repair that was found (`repair` moves whole lines, `plan` sets weights). `drain` plans whole deploys.

mod asked;
mod danger;
mod drain;
mod guarded;
mod loads;
mod plan;
mod pool;
mod repair;
mod verdict;

pub use asked::Asked;
pub use danger::{Danger, Moment, Reason, Unsafe};
pub use drain::{drain, Drain, Step};
pub use guarded::{Counts, Guarded, Mode};
pub use loads::{Brought, Loads, Table};
pub use pool::{Bounds, Carrying, Change, Estimate, Host, Pending, Pool, Span, State};
pub use repair::{Move, Repair, STEPS_MOST};
pub use verdict::{Guard, Refused, Verdict};
