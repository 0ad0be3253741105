//! An append-only, checksummed log of records on one disk.
//!
//! A record is one line: the CRC-32 of its JSON in eight hex digits, a space, and the JSON. When [`Log::append`]
//! returns without an error, its records are synced to disk. A crash in the middle of a write leaves an incomplete
//! last line, which is truncated when the log is next opened; all records before it are kept. A corrupt line before
//! the last cannot come from a crash: the file is then left untouched, and opening the log fails until an operator has
//! repaired or removed the file.

mod log;
mod record;

pub use log::{Log, Opened};
pub use record::{encode, read, Corruption, CorruptionKind, Prefix};

use std::io;
use std::path::PathBuf;

/// Why a log could not be opened. Its text is one line: path, line number if any, and the cause.
#[derive(Debug, thiserror::Error)]
pub enum OpenError {
    /// The file or its directory cannot be read, created, truncated or synced.
    #[error("{}: {source}", path.display())]
    Io {
        /// The log's file.
        path: PathBuf,
        /// The operating system's error.
        source: io::Error,
    },
    /// Another process holds the file's lock; two writers would interleave their records.
    #[error("{}: another process has it open", path.display())]
    Locked {
        /// The log's file.
        path: PathBuf,
    },
    /// The file holds a line that an interrupted write cannot have caused.
    #[error("{}:{}: {}", path.display(), corruption.line, corruption.kind)]
    Corrupt {
        /// The log's file.
        path: PathBuf,
        /// The number of the line, and what is wrong with it.
        corruption: Corruption,
    },
}
