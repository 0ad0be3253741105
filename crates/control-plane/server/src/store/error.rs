//! Errors of the store: either the folder's content is corrupt, or the disk is unavailable for now.
use std::error::Error;
use std::io::{self, ErrorKind};
use std::num::ParseIntError;
use thiserror::Error;

/// Why a folder can't be opened, read or written.
#[derive(Debug, Error)]
pub enum StoreError {
    /// The content is not what was written: the folder counts as lost and has to be cleared.
    #[error(transparent)]
    Corrupt(#[from] Corruption),
    /// The disk is unavailable for now, which says nothing about its content; the operation can be retried.
    #[error(transparent)]
    Unavailable(#[from] DiskFailure),
}

/// How the content of a folder differs from what was written.
#[derive(Debug, Error)]
pub enum Corruption {
    /// The stored number of the last batch is not a number.
    #[error("{key} is {found:?}")]
    MalformedBatchNumber {
        /// The key in the database.
        key: &'static str,
        /// Its value, where an unsigned decimal was expected.
        found: String,
        /// Why it can't be parsed.
        source: ParseIntError,
    },
    /// Both keyspaces are written in every batch, but their numbers differ.
    #[error("one part has {state} batches, the other {metadata}")]
    UnequalBatchNumbers {
        /// The last batch of the keyspace of the replicated state.
        state: u64,
        /// The last batch of the keyspace of the node's metadata.
        metadata: u64,
    },
    /// The database is older than its generation file: it was reset to an earlier state.
    #[error("it had {expected} batches, and {found} are found")]
    StaleGeneration {
        /// The last batch in the database.
        found: u64,
        /// The last batch according to the generation file.
        expected: u64,
    },
    /// There is content, but no valid generation file beside it.
    #[error("no mark is found beside it")]
    MissingGeneration,
    /// The database found a missing file, a wrong length or a wrong checksum.
    #[error(transparent)]
    Database(fjall::Error),
}

/// Why the disk is unavailable.
#[derive(Debug, Error)]
pub enum DiskFailure {
    /// An operation on a file or folder failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The database got a disk error, or is locked by another process.
    #[error(transparent)]
    Database(fjall::Error),
}

impl From<io::Error> for StoreError {
    fn from(error: io::Error) -> StoreError {
        StoreError::Unavailable(DiskFailure::Io(error))
    }
}

impl From<fjall::Error> for StoreError {
    /// Missing or short files mean corruption; an error of the disk itself says nothing about its content.
    fn from(error: fjall::Error) -> StoreError {
        use ErrorKind::*;
        let io_kind = io_error_kind(&error);
        match (&error, io_kind) {
            (_, Some(NotFound | UnexpectedEof | InvalidData | InvalidInput | AlreadyExists)) => {
                Corruption::Database(error).into()
            }
            (fjall::Error::Locked | fjall::Error::Poisoned | fjall::Error::Io(_), _) | (_, Some(_)) => {
                DiskFailure::Database(error).into()
            }
            _ => Corruption::Database(error).into(),
        }
    }
}

/// The kind of the outermost I/O error in the chain of sources.
fn io_error_kind(error: &fjall::Error) -> Option<ErrorKind> {
    let mut cause: Option<&(dyn Error + 'static)> = Some(error);
    while let Some(current) = cause {
        if let Some(io_error) = current.downcast_ref::<io::Error>() {
            return Some(io_error.kind());
        }
        cause = current.source();
    }
    None
}
