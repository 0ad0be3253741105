//! What each actor of a director remembers, what can be read off it, and the bookkeeping that needs no decision. What
//! is made of it is decided in `logic`; some helpers here sum up what those methods give for each slice or host.

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

/// Keeps the host list up to date, where it has to be asked for.
#[derive(Default)]
pub(crate) struct DiscoveryWatch {
    /// The list is followed, as far as is known.
    pub(crate) following: bool,
    /// When the list was last asked for or followed, in seconds.
    pub(crate) asked_at: Option<f64>,
}
