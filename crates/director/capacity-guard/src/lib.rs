//! Capacity guard: whether tables are safe before they are sent to the proxies. It stands between whoever makes tables
//! (the decision module, operators' changes, a store) and the channel.
//!
//! [`Guard::judge`] compares a proposal with the state in force, at every moment that matters: after each of its calls,
//! and when pending events are complete. A refusal names every reason and, where one was found, the smallest repair.
//! [`drain`] plans deploys. `docs/guard.md` has the definitions, the design and the measurements.
//!
//! | module | concern |
//! | --- | --- |
//! | `pool` | hosts, their capacity, pending events |
//! | `demand`, `capacity` | estimates of demand and of capacity from reports |
//! | `load_index` | load of hosts and zones by the tables |
//! | `bound` | the load that hosts and zones may have |
//! | `reason`, `inspection` | why a state is unsafe |
//! | `violation` | what a proposal makes unsafe |
//! | `guard`, `judgement` | the state in force, and the verdict on a proposal |
//! | `repair` | greedy search, and linear programming |
//! | `drain` | drain plans |
//! | `guarded_director`, `host_reports`, `refusals` | the decision module behind its guard |
//!
//! The package is pure: no clock, no I/O, no random draws. The same hosts, tables and orders always give the same
//! verdict.

mod bound;
mod capacity;
mod demand;
mod drain;
mod guard;
mod guarded_director;
mod host_reports;
mod inspection;
mod judgement;
mod load_index;
mod pool;
mod reason;
mod refusals;
mod repair;
mod violation;

pub use capacity::{CapacityEstimator, HostObservation};
pub use demand::DemandEstimator;
pub use drain::{drain, DrainPlanStep, DrainRequest};
pub use guard::Guard;
pub use guarded_director::{Counts, GuardedDirector, Mode};
pub use judgement::{Findings, Verdict};
pub use load_index::{HostLoad, LoadIndex, Table};
pub use pool::{CapacityModel, Estimate, Host, HostEvent, ListedState, PendingEvent, Pool};
pub use reason::{Moment, Reason, ReasonKind, Severity, Subject};
pub use repair::{Move, Repair, MAX_STEPS};
pub use violation::Violation;
