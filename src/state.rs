//! The state of each actor of a director, queries on it, and the bookkeeping that needs no decision. Decisions are made
//! in `logic`; some helpers here add up for all slices or hosts what those methods return for one.

mod admission_control;
mod channel;
mod director;
mod host;
mod slice;
mod tables;

pub(crate) use admission_control::{level_log_text, AdmissionControl};
#[cfg(test)]
pub(crate) use channel::DesiredTable;
pub(crate) use channel::{Channel, PendingChange, TableDiff};
pub use director::Director;
pub(crate) use host::Host;
pub(crate) use slice::Slice;
pub(crate) use tables::{index_of, Tables};

/// Keeps the host list up to date where it is not pushed but has to be requested.
#[derive(Default)]
pub(crate) struct DiscoveryWatch {
    /// The list is being watched, as far as is known.
    pub(crate) watching: bool,
    /// When a watch or fetch of the list was last ordered, in seconds.
    pub(crate) requested_at: Option<f64>,
}
