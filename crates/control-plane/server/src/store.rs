//! The disk of a control-plane node.
//!
//! One thread writes, synced, in the order in which it was asked ([`DiskWriter`]). `fjall` verifies checksums of its
//! journal and makes a batch atomic; the generation file beside it reveals a folder that went back to an older state.
//!
//! A folder that is corrupt or stale is emptied and counts as lost. The generation file outlives that, so that a
//! folder which was emptied and not written since is found lost again, and never fresh.
mod contents;
mod database;
mod disk;
mod error;
mod folder;
pub mod generation;
mod recovery;
mod writer;

pub use contents::{FolderCondition, KeyValue, RecoveredState, WriteBatch};
pub use disk::{DataFolder, Disk};
pub use error::{Corruption, DiskFailure, StoreError};
pub use recovery::read_copy;
pub use writer::{DiskWriter, WriteCompletion};
