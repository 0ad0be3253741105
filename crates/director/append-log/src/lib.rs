//! An append-only log: a record a line, JSON behind its CRC-32 in eight hex digits. What `append` has returned from is
//! on the disk. A crash in the middle of a write leaves a last line that is not whole; it is cut off at the next
//! opening, and all before it stands. A line that is wrong further up is no crash: nothing is touched, and the log is
//! not used until somebody has looked at it.

use serde::de::DeserializeOwned;
use serde::Serialize;
use std::fmt;
use std::fs::{File, OpenOptions, TryLockError};
use std::io::{self, Read, Seek, SeekFrom, Write};
use std::marker::PhantomData;
use std::path::{Path, PathBuf};

/// A line longer than this was never written here.
const LINE_MOST: usize = 16 << 20;

/// What is wrong with a log, and where.
#[derive(Debug, PartialEq, Eq)]
pub struct Damage {
    pub path: PathBuf,
    /// From 1; 0: the file as a whole.
    pub line: usize,
    pub what: String,
}

impl fmt::Display for Damage {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.line {
            0 => write!(out, "{}: {}", self.path.display(), self.what),
            line => write!(out, "{}:{line}: {}", self.path.display(), self.what),
        }
    }
}

/// One record as it stands in a log, with its end of line.
pub fn line<T: Serialize>(record: &T) -> io::Result<Vec<u8>> {
    let json = serde_json::to_vec(record)?;
    let mut line = format!("{:08x} ", crc32fast::hash(&json)).into_bytes();
    line.extend(json);
    line.push(b'\n');
    Ok(line)
}

/// Where whole records end, and what they are. The rest is what a crash left of a write.
#[derive(Debug, PartialEq)]
pub struct Whole<T> {
    pub records: Vec<T>,
    pub bytes: usize,
    /// What was cut off, if anything.
    pub torn: usize,
}

fn record<T: DeserializeOwned>(line: &[u8]) -> Result<T, String> {
    let text = |what: &str| what.to_string();
    let (sum, json) = line.split_at_checked(9).ok_or(text("too short for a checksum"))?;
    let sum = std::str::from_utf8(sum).ok().and_then(|sum| sum.strip_suffix(' '));
    let sum = sum
        .and_then(|sum| u32::from_str_radix(sum, 16).ok())
        .ok_or(text("expected a checksum of 8 hex digits"))?;
    if crc32fast::hash(json) != sum {
        return Err(text("its checksum does not fit; the file was damaged or changed by hand"));
    }
    serde_json::from_slice(json).map_err(|wrong| format!("no record of this version ({wrong})"))
}

/// Reads all that is whole. Wrong is only what no torn write can explain: a bad line that others follow.
pub fn read<T: DeserializeOwned>(bytes: &[u8]) -> Result<Whole<T>, (usize, String)> {
    let (mut records, mut at, mut number) = (Vec::new(), 0, 0);
    while at < bytes.len() {
        number += 1;
        let end = bytes[at..].iter().position(|byte| *byte == b'\n').map(|end| at + end);
        let found = end.ok_or("it has no end".to_string()).and_then(|end| record(&bytes[at..end]));
        match (found, end) {
            (Ok(found), Some(end)) => {
                records.push(found);
                at = end + 1;
            }
            (Err(what), Some(end)) if end + 1 < bytes.len() => return Err((number, what)),
            // A whole last line of another version is no torn write either.
            (Err(what), Some(_)) if what.starts_with("no record") => return Err((number, what)),
            _ => break,
        }
    }
    Ok(Whole { records, bytes: at, torn: bytes.len() - at })
}

/// A log that is open for writing, by this process alone.
pub struct Log<T> {
    file: File,
    bytes: u64,
    /// A write failed and could not be taken back: what the file holds is not known any more.
    failed: bool,
    kind: PhantomData<T>,
}

/// A log just opened, and what it holds.
pub struct Opened<T> {
    pub log: Log<T>,
    pub records: Vec<T>,
    /// Bytes of a torn write that were cut off.
    pub torn: usize,
}

impl<T: Serialize + DeserializeOwned> Log<T> {
    pub fn open(path: &Path) -> Result<Opened<T>, Damage> {
        let damage = |line, what: String| Damage { path: path.to_path_buf(), line, what };
        let failed = |wrong: io::Error| damage(0, wrong.to_string());
        let new = !path.exists();
        let options = OpenOptions::new().read(true).append(true).create(true).open(path);
        let mut file = options.map_err(failed)?;
        match file.try_lock() {
            Ok(()) => {}
            Err(TryLockError::WouldBlock) => {
                return Err(damage(0, "another process has it open".to_string()))
            }
            Err(TryLockError::Error(wrong)) => return Err(failed(wrong)),
        }
        if new {
            // Else a crash may leave the name behind, or not.
            let folder = path.parent().filter(|folder| !folder.as_os_str().is_empty());
            File::open(folder.unwrap_or(Path::new(".")))
                .and_then(|folder| folder.sync_all())
                .map_err(failed)?;
        }
        let mut bytes = Vec::new();
        file.read_to_end(&mut bytes).map_err(failed)?;
        let whole = read(&bytes).map_err(|(line, what)| damage(line, what))?;
        if whole.torn > 0 {
            file.set_len(whole.bytes as u64).and_then(|()| file.sync_all()).map_err(failed)?;
        }
        let log = Log { file, bytes: whole.bytes as u64, failed: false, kind: PhantomData };
        Ok(Opened { log, records: whole.records, torn: whole.torn })
    }

    /// On the disk when it returns; on an error the log is as it was, or takes nothing more.
    pub fn append(&mut self, records: &[T]) -> io::Result<()> {
        if self.failed {
            return Err(io::Error::other("an earlier write failed and could not be taken back"));
        }
        let mut bytes = Vec::new();
        for record in records {
            let line = line(record)?;
            if line.len() > LINE_MOST {
                return Err(io::Error::other("a record that is too long"));
            }
            bytes.extend(line);
        }
        let written = self.file.write_all(&bytes).and_then(|()| self.file.sync_data());
        if let Err(wrong) = written {
            // Half a line before further ones would be damage: it is taken back, or nothing follows it.
            let back = self.file.set_len(self.bytes).and_then(|()| self.file.sync_data());
            self.failed = back.is_err() || self.file.seek(SeekFrom::End(0)).is_err();
            return Err(wrong);
        }
        self.bytes += bytes.len() as u64;
        Ok(())
    }
}

#[cfg(test)]
mod tests;
