//! An append-only, checksummed log of records on one disk.
//!
//! A record is one line: the CRC-32 of its JSON in eight hex digits, a space, the JSON. What [`Log::append`] has
//! returned from is synced. A crash in the middle of a write leaves an incomplete last line, which is truncated when
//! the log is opened again; all records before it stand. A corrupt line further up cannot come from a crash: the file
//! is then left untouched and the log refuses to open until somebody has looked at it.

mod log;
mod record;

pub use log::{Log, Opened};
pub use record::{encode, read, Corruption, CorruptionKind, Prefix};

use std::io;
use std::path::PathBuf;

/// Why a log could not be opened. Its text is one line: path, line number if any, and the cause.
#[derive(Debug, thiserror::Error)]
pub enum OpenError {
    /// The file or its folder cannot be read, created, truncated or synced.
    #[error("{}: {source}", path.display())]
    Io {
        /// The log's file.
        path: PathBuf,
        /// What the operating system answered.
        source: io::Error,
    },
    /// Another process holds the file's lock; two writers would interleave their records.
    #[error("{}: another process has it open", path.display())]
    Locked {
        /// The log's file.
        path: PathBuf,
    },
    /// A line that no interrupted write can explain.
    #[error("{}:{}: {}", path.display(), corruption.line, corruption.kind)]
    Corrupt {
        /// The log's file.
        path: PathBuf,
        /// Which line, and what is wrong with it.
        corruption: Corruption,
    },
}
