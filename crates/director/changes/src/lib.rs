//! The lifecycle of operators' changes, as a pure state machine: it reads no clock and does no I/O. Actions
//! for the caller are returned as [`ChangeEffect`]s, some of which store [`Record`]s, from which the state is
//! rebuilt at startup.
//!
//! A change is drafted, checked, staged, applied, on trial, and finally kept or undone ([`Stage`]). Changes
//! are numbered, and the number of the newest one is the version of the configuration ([`Version`]). An undo
//! is itself a change. For each field it restores the value of the preceding change that is still in force,
//! not a copy taken before the undone change.

mod change;
mod change_log;
mod effect;
mod field_history;
mod host_pool;
mod planned_shutdown;
mod record;
mod record_error;
mod refusal;
mod stage;

pub use change::{Change, Submission, Version};
pub use change_log::ChangeLog;
pub use effect::{AnalysisState, ChangeEffect};
pub use host_pool::{HostPool, PoolHost};
pub use planned_shutdown::{planned_shutdowns, ShutdownPhase, ANNOUNCEMENT_LIFETIME_S, DRAIN_LEAD_S};
pub use record::Record;
pub use record_error::RecordError;
pub use refusal::Refusal;
pub use stage::{EndReason, Keep, Stage};
