//! The disk of a control-plane node.
//!
//! One thread ([`DiskWriter`]) writes and syncs batches in the order in which they were submitted. `fjall`
//! verifies checksums of its journal and makes a batch atomic; the generation file beside the database
//! reveals a folder that was reset to an older state.
//!
//! A corrupt or stale folder is cleared and counts as lost. The generation file is kept, so that a folder
//! that was cleared and not written since counts as lost again, and never as fresh.
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
