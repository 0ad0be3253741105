//! The log's file: opening, locking, appending.

use crate::{encode, read, OpenError, Prefix};
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::fs::{File, OpenOptions, TryLockError};
use std::io::{self, Read, Seek, SeekFrom, Write};
use std::marker::PhantomData;
use std::path::Path;

/// A longer line is refused, in bytes: no record of the director comes near it.
const MAX_LINE_BYTES: usize = 16 << 20;

/// A log that is open for writing, by this process alone.
pub struct Log<T> {
    pub(crate) file: File,
    /// Length of what is synced, in bytes.
    pub(crate) bytes: u64,
    /// A write failed and could not be taken back: what the file holds is not known any more.
    pub(crate) failed: bool,
    pub(crate) record: PhantomData<T>,
}

/// A log just opened, and what it holds.
pub struct Opened<T> {
    /// Ready for further records.
    pub log: Log<T>,
    /// All records, in the order of their writes.
    pub records: Vec<T>,
    /// Bytes of an interrupted write that were truncated.
    pub torn: usize,
}

impl<T: Serialize + DeserializeOwned> Log<T> {
    /// Opens or creates the log, locks it, and truncates what an interrupted write left at its end.
    ///
    /// # Errors
    /// [`OpenError`]; the file is then as it was.
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
        let log = Log { file, bytes: bytes as u64, failed: false, record: PhantomData };
        Ok(Opened { log, records, torn })
    }

    /// Appends records in one write; they are synced when it returns.
    ///
    /// # Errors
    /// If the disk refuses. The log is then as it was before or, if the partial write could not be taken back,
    /// refuses every later append.
    pub fn append(&mut self, records: &[T]) -> io::Result<()> {
        if self.failed {
            return Err(io::Error::other("an earlier write failed and could not be taken back"));
        }
        let bytes = encode_all(records)?;
        let written = self.file.write_all(&bytes).and_then(|()| self.file.sync_data());
        if let Err(error) = written {
            self.failed = !self.take_back();
            return Err(error);
        }
        self.bytes += bytes.len() as u64;
        Ok(())
    }

    /// Truncates a partial write: an incomplete line before further ones would be corruption.
    fn take_back(&mut self) -> bool {
        let truncated = self.file.set_len(self.bytes).and_then(|()| self.file.sync_data());
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

/// The name of a new file is durable only once its folder is synced.
fn sync_parent(path: &Path) -> io::Result<()> {
    let parent = path.parent().filter(|folder| !folder.as_os_str().is_empty());
    File::open(parent.unwrap_or(Path::new("."))).and_then(|folder| folder.sync_all())
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
