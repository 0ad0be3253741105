//! The interface between the disk writer and a data folder, so that tests can substitute disks that fail or
//! hang.
use super::contents::{FolderCondition, RecoveredState, WriteBatch};
use super::error::StoreError;
use std::time::Duration;

/// How long to wait before the next attempt to open a folder.
const RETRY_BACKOFF: Duration = Duration::from_millis(200);

/// An open database.
pub trait Disk: Send {
    /// How the folder was found when it was opened.
    fn condition(&self) -> FolderCondition;

    /// Everything that is stored.
    fn read(&mut self) -> Result<RecoveredState, StoreError>;

    /// When this returns, the batch is durable; after an error the disk must not be used again.
    fn write(&mut self, batch: &WriteBatch) -> Result<(), StoreError>;
}

/// The folder in which a database is opened.
pub trait DataFolder: Send + 'static {
    /// Opens the database, and creates it where there is none.
    fn open(&mut self) -> Result<Box<dyn Disk>, StoreError>;

    /// Removes everything but the generation file.
    fn clear(&mut self) -> Result<(), StoreError>;

    /// Waits between two attempts.
    fn back_off(&mut self) {
        std::thread::sleep(RETRY_BACKOFF);
    }
}
