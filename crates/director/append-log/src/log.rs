//! The log's file: opening, locking and appending.

use crate::{encode, read, OpenError, Prefix};
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::fs::{File, OpenOptions, TryLockError};
use std::io::{self, Read, Seek, SeekFrom, Write};
use std::marker::PhantomData;
use std::path::Path;

/// Maximum length of a line, in bytes. Longer records are rejected; those of the director are far shorter.
const MAX_LINE_BYTES: usize = 16 << 20;

/// A log that is open for writing, locked by this process.
pub struct Log<T> {
    pub(crate) file: File,
    /// Length of the synced records, in bytes.
    pub(crate) synced_bytes: u64,
    /// A write failed and the file could not be truncated afterwards, so its content is unknown.
    pub(crate) failed: bool,
    pub(crate) record: PhantomData<T>,
}

/// A log that has just been opened, and its records.
pub struct Opened<T> {
    /// The log, ready for further records.
    pub log: Log<T>,
    /// All records, in the order in which they were written.
    pub records: Vec<T>,
    /// Number of bytes of an interrupted write that were truncated.
    pub torn: usize,
}

impl<T: Serialize + DeserializeOwned> Log<T> {
    /// Opens or creates the log, locks it, and truncates an incomplete record that an interrupted write left at its
    /// end.
    ///
    /// # Errors
    /// [`OpenError`]; the file's content is then unchanged.
    pub fn open(path: &Path) -> Result<Opened<T>, OpenError> {
        let io_error = |source: io::Error| OpenError::Io { path: path.to_path_buf(), source };
        let is_new = !path.exists();
        let mut file = open_and_lock(path)?;
        if is_new {
            sync_parent(path).map_err(io_error)?;
        }
        let mut bytes = Vec::new();
        file.read_to_end(&mut bytes).map_err(io_error)?;
        let corrupt = |corruption| OpenError::Corrupt { path: path.to_path_buf(), corruption };
        let Prefix { records, bytes, torn } = read(&bytes).map_err(corrupt)?;
        if torn > 0 {
            file.set_len(bytes as u64).and_then(|()| file.sync_all()).map_err(io_error)?;
        }
        let log = Log { file, synced_bytes: bytes as u64, failed: false, record: PhantomData };
        Ok(Opened { log, records, torn })
    }

    /// Appends records in one write and syncs them to disk before it returns.
    ///
    /// # Errors
    /// The write or the sync fails. The partial write is then truncated; if that fails too, every later append returns
    /// an error.
    pub fn append(&mut self, records: &[T]) -> io::Result<()> {
        if self.failed {
            return Err(io::Error::other("an earlier write failed and could not be taken back"));
        }
        let bytes = encode_all(records)?;
        let written = self.file.write_all(&bytes).and_then(|()| self.file.sync_data());
        if let Err(error) = written {
            self.failed = !self.truncate_partial_write();
            return Err(error);
        }
        self.synced_bytes += bytes.len() as u64;
        Ok(())
    }

    /// Truncates the file to its synced records and returns whether this succeeded. Without it, an incomplete line
    /// followed by further records would count as corruption.
    fn truncate_partial_write(&mut self) -> bool {
        let truncated = self.file.set_len(self.synced_bytes).and_then(|()| self.file.sync_data());
        truncated.is_ok() && self.file.seek(SeekFrom::End(0)).is_ok()
    }
}

fn open_and_lock(path: &Path) -> Result<File, OpenError> {
    let io_error = |source: io::Error| OpenError::Io { path: path.to_path_buf(), source };
    let options = OpenOptions::new().read(true).append(true).create(true).open(path);
    let file = options.map_err(io_error)?;
    match file.try_lock() {
        Ok(()) => Ok(file),
        Err(TryLockError::WouldBlock) => Err(OpenError::Locked { path: path.to_path_buf() }),
        Err(TryLockError::Error(error)) => Err(io_error(error)),
    }
}

/// Syncs the directory of a new file, without which the file itself may be missing after a crash.
fn sync_parent(path: &Path) -> io::Result<()> {
    let parent = path.parent().filter(|directory| !directory.as_os_str().is_empty());
    File::open(parent.unwrap_or(Path::new("."))).and_then(|directory| directory.sync_all())
}

fn encode_all<T: Serialize>(records: &[T]) -> io::Result<Vec<u8>> {
    let mut bytes = Vec::new();
    for record in records {
        let line = encode(record)?;
        if line.len() > MAX_LINE_BYTES {
            return Err(io::Error::other("a record that is too long"));
        }
        bytes.extend(line);
    }
    Ok(bytes)
}

#[cfg(test)]
mod tests;
