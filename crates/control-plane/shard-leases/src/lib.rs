//! Shard leases: which endpoint of a sharded service owns which slices of the key space, and until when.
//!
//! This crate does no I/O and reads no clock; all times are in milliseconds and passed in by the caller.
//!
//! The durable state is one row for each slice: fencing token, owner, and the handover state of the previous
//! owner. A change of a row is a [`Write`], which the caller replicates and then passes to
//! [`LeaseTable::apply`]; only after that is the lease granted to its owner. Renewals are not durable.
//! Instead, the table keeps for each slice the latest time until which an owner may believe that it holds the
//! lease, by any grant ever sent to it.
//!
//! The invariant: a slice changes its owner only after the previous owner has released it, or after this
//! time.
//!
//! ```
//! use coppersail_shard_leases::{Candidate, LeaseTable};
//! let mut leases = LeaseTable::new(4000);
//! let endpoints = [Candidate::new("i-1", 0), Candidate::new("i-2", 1)];
//! let writes = leases.assign_initially(0, "shelf", 4, 4, &endpoints);
//! leases.apply(0, &writes);
//! let grants = leases.renew(10, "shelf", "i-1", &[], 500);
//! assert_eq!(grants[0].from..=grants[0].to, 0..=16383);
//! assert_eq!(grants.len(), 2, "neighbouring slices go to different endpoints");
//! ```
mod candidate;
mod grant;
mod initial_assignment;
mod lease;
mod ranges;
mod rebalance;
mod renewal;
mod sizing;
mod stored;
mod table;
#[cfg(test)]
mod tests;
mod transfer;

pub use candidate::Candidate;
pub use grant::LeaseGrant;
pub use lease::{Ms, OwnerChange, ReleasedRange};
pub use sizing::{initial_range_count, slice_count_for, KEY_SPACE};
pub use stored::Write;
pub use table::LeaseTable;
