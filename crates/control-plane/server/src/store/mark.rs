//! How far the disk has come, kept beside the database: a folder that opens but says less has gone back, whatever
//! the reason. A file of fixed size with four slots, each a number with its sum, far enough apart that a torn write
//! spoils one only. Two are written by turns and synced, two by turns without: these cost no sync, and say more
//! than the others after the end of a process, and at times after a loss of power.
use std::fs::{File, OpenOptions};
use std::io::{self, Read, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};

pub const NAME: &str = "mark";
const APART: usize = 4096;
const SLOTS: usize = 4;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Said {
    Absent,
    /// No slot holds.
    Torn,
    Number(u64),
}

#[derive(Debug)]
pub struct Mark {
    file: File,
    /// The slot to be written next, of the two with a sync and of the two without.
    next: [usize; 2],
}

fn slot(number: u64) -> [u8; 12] {
    let (number, mut slot) = (number.to_le_bytes(), [0; 12]);
    slot[..8].copy_from_slice(&number);
    slot[8..].copy_from_slice(&crc32fast::hash(&number).to_le_bytes());
    slot
}

fn number(file: &[u8], at: usize) -> Option<u64> {
    let held = file.get(at * APART..at * APART + 12)?;
    let number = u64::from_le_bytes(held[..8].try_into().ok()?);
    (slot(number) == held).then_some(number)
}

fn path(folder: &Path) -> PathBuf {
    folder.join(NAME)
}

fn all(folder: &Path) -> io::Result<Option<Vec<u8>>> {
    let mut text = Vec::new();
    match File::open(path(folder)) {
        Ok(file) => file.take((SLOTS * APART) as u64).read_to_end(&mut text).map(|_| Some(text)),
        Err(e) if e.kind() == io::ErrorKind::NotFound => Ok(None),
        Err(e) => Err(e),
    }
}

/// The most that any slot says.
pub fn read(folder: &Path) -> io::Result<Said> {
    let Some(text) = all(folder)? else { return Ok(Said::Absent) };
    Ok((0..SLOTS).filter_map(|at| number(&text, at)).max().map_or(Said::Torn, Said::Number))
}

/// Makes the file anew; it and its name are synced.
pub fn make(folder: &Path, number: u64) -> io::Result<()> {
    let mut text = vec![0; SLOTS * APART];
    text[..12].copy_from_slice(&slot(number));
    let mut file = OpenOptions::new().write(true).create(true).truncate(false).open(path(folder))?;
    file.write_all(&text)?;
    file.set_len(text.len() as u64)?;
    file.sync_all()?;
    File::open(folder)?.sync_all()
}

impl Mark {
    pub fn open(folder: &Path) -> io::Result<Mark> {
        let text = all(folder)?.unwrap_or_default();
        // Never over the one that says the most.
        let next = |first: usize| first + (number(&text, first) > number(&text, first + 1)) as usize;
        let next = [next(0), next(2)];
        Ok(Mark { file: OpenOptions::new().write(true).open(path(folder))?, next })
    }

    pub fn write(&mut self, number: u64, synced: bool) -> io::Result<()> {
        let next = &mut self.next[!synced as usize];
        self.file.seek(SeekFrom::Start((*next * APART) as u64))?;
        self.file.write_all(&slot(number))?;
        *next ^= 1;
        if synced {
            self.file.sync_data()?;
        }
        Ok(())
    }
}
