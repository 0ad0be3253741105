//! Capacity guard: checks that tables are safe before they are sent to the proxies. It sits between the
//! sources of tables (the decision module, operators' changes, a store) and the channel to the proxies.
//!
//! [`Guard::judge`] compares a proposal with the state in force at each relevant time: after each of its
//! calls, and when pending events complete. A refusal lists the violations and, if one was found, a repair.
//! [`drain`] plans the draining of hosts, for example for a deployment. `docs/guard.md` has the definitions,
//! the design and the measurements.
//!
//! | module | concern |
//! | --- | --- |
//! | `pool` | hosts, their capacity, pending events |
//! | `demand`, `capacity` | estimates of demand and of capacity from reports |
//! | `load_index` | load that the tables bring to hosts and zones |
//! | `bound` | upper bounds of the load of hosts and zones |
//! | `reason`, `inspection` | why a state is unsafe |
//! | `violation` | violations that a proposal causes |
//! | `guard`, `judgement` | the state in force, and the verdict on a proposal |
//! | `repair` | greedy search, and linear programming |
//! | `drain` | drain plans |
//! | `guarded_director`, `host_reports`, `refusals` | the decision module with its orders screened |
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
