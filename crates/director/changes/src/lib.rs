//! The life of an operators' change, as a pure state machine: it reads no clock and does no I/O. What is to be done is
//! returned as [`ChangeEffect`]s; what is to be stored as [`Record`]s, from which the same state is rebuilt.
//!
//! A change is drafted, checked, staged, applied, on trial, and in the end kept or undone ([`Stage`]). Changes are
//! numbered, and the number of the newest one is the version of the configuration ([`Version`]). An undo is a change of
//! its own: for each field it restores the value below, as it is at that time, never a copy from before.

mod act;
mod change;
mod change_log;
mod field_history;
mod host_pool;
mod planned_shutdown;
mod record;
mod record_error;
mod refusal;
mod stage;

pub use act::{AnalysisState, ChangeEffect};
pub use change::{Change, Submission, Version};
pub use change_log::ChangeLog;
pub use host_pool::{HostPool, PoolHost};
pub use planned_shutdown::{planned_shutdowns, ShutdownPhase, ANNOUNCEMENT_LIFETIME_S, DRAIN_LEAD_S};
pub use record::Record;
pub use record_error::RecordError;
pub use refusal::Refusal;
pub use stage::{EndReason, Keep, Stage};
