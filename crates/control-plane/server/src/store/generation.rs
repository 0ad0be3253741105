//! The generation file beside the database: the number of the last batch that was written.
//!
//! A database that opens but has fewer batches is stale: it was reset to an older state, for example by a
//! restored backup or a lost write. The file has a fixed size and four slots, each with a number and its
//! checksum, far enough apart that a torn write damages only one. Two slots are written alternately and
//! synced, the other two alternately without a sync. Unsynced writes are cheap, and their numbers are newer
//! than the synced ones after a crash of the process, and sometimes after a power loss.
use super::folder::sync_directory;
use std::fs::{File, OpenOptions};
use std::io::{self, Read, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};

/// The name of the file in the data folder.
pub const FILE_NAME: &str = "mark";

/// The distance between slots, in bytes: the largest unit that a disk writes at once.
const SLOT_DISTANCE: usize = 4096;
const SLOT_COUNT: usize = 4;
const FILE_LENGTH: usize = SLOT_COUNT * SLOT_DISTANCE;

/// A slot is a number of eight bytes and its CRC-32, both little-endian.
const NUMBER_LENGTH: usize = 8;
const SLOT_LENGTH: usize = NUMBER_LENGTH + 4;

/// The first of the two slots that are written with a sync, and of the two without.
const FIRST_SYNCED_SLOT: usize = 0;
const FIRST_UNSYNCED_SLOT: usize = 2;

/// What the generation file holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Generation {
    /// There is no file.
    Absent,
    /// No slot is valid.
    Corrupt,
    /// The highest number in a valid slot.
    Number(u64),
}

/// The generation file, open for writing.
#[derive(Debug)]
pub struct GenerationFile {
    file: File,
    next_synced: usize,
    next_unsynced: usize,
}

fn encode_slot(number: u64) -> [u8; SLOT_LENGTH] {
    let number = number.to_le_bytes();
    let mut slot = [0; SLOT_LENGTH];
    slot[..NUMBER_LENGTH].copy_from_slice(&number);
    slot[NUMBER_LENGTH..].copy_from_slice(&crc32fast::hash(&number).to_le_bytes());
    slot
}

/// The number in a slot, if the slot is there and its checksum is right.
fn decode_slot(file: &[u8], index: usize) -> Option<u64> {
    let start = index * SLOT_DISTANCE;
    let slot = file.get(start..start + SLOT_LENGTH)?;
    let number = u64::from_le_bytes(slot[..NUMBER_LENGTH].try_into().ok()?);
    (encode_slot(number) == slot).then_some(number)
}

fn file_path(folder: &Path) -> PathBuf {
    folder.join(FILE_NAME)
}

/// The bytes of the file; `None` where there is no file.
fn read_bytes(folder: &Path) -> io::Result<Option<Vec<u8>>> {
    let file = match File::open(file_path(folder)) {
        Ok(file) => file,
        Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(None),
        Err(error) => return Err(error),
    };
    let mut bytes = Vec::new();
    file.take(FILE_LENGTH as u64).read_to_end(&mut bytes)?;
    Ok(Some(bytes))
}

/// Reads the generation of the folder: the highest number of any valid slot.
///
/// # Errors
/// An I/O error; a missing file is not an error.
pub fn read(folder: &Path) -> io::Result<Generation> {
    let Some(bytes) = read_bytes(folder)? else { return Ok(Generation::Absent) };
    let newest = (0..SLOT_COUNT).filter_map(|index| decode_slot(&bytes, index)).max();
    Ok(newest.map_or(Generation::Corrupt, Generation::Number))
}

/// Creates or overwrites the file with this number; the file and its directory entry are durable when this
/// returns.
///
/// # Errors
/// An I/O error.
pub fn create(folder: &Path, number: u64) -> io::Result<()> {
    let mut bytes = vec![0; FILE_LENGTH];
    bytes[..SLOT_LENGTH].copy_from_slice(&encode_slot(number));
    let mut file = OpenOptions::new().write(true).create(true).truncate(false).open(file_path(folder))?;
    file.write_all(&bytes)?;
    file.set_len(bytes.len() as u64)?;
    file.sync_all()?;
    sync_directory(folder)
}

impl GenerationFile {
    /// Opens the generation file of a folder; the file must exist.
    ///
    /// # Errors
    /// An I/O error.
    pub fn open(folder: &Path) -> io::Result<GenerationFile> {
        let bytes = read_bytes(folder)?.unwrap_or_default();
        Ok(GenerationFile {
            file: OpenOptions::new().write(true).open(file_path(folder))?,
            next_synced: older_slot(&bytes, FIRST_SYNCED_SLOT),
            next_unsynced: older_slot(&bytes, FIRST_UNSYNCED_SLOT),
        })
    }

    /// Writes the number over the older slot of its kind; with `synced`, it is durable when this returns.
    ///
    /// # Errors
    /// An I/O error.
    pub fn write(&mut self, number: u64, synced: bool) -> io::Result<()> {
        let next = if synced { &mut self.next_synced } else { &mut self.next_unsynced };
        self.file.seek(SeekFrom::Start((*next * SLOT_DISTANCE) as u64))?;
        self.file.write_all(&encode_slot(number))?;
        // Selects the other slot of the pair; the first slot of each pair has an even index.
        *next ^= 1;
        if synced {
            self.file.sync_data()?;
        }
        Ok(())
    }
}

/// Which slot of the pair that begins at `first` is written next: never the one with the higher number.
fn older_slot(bytes: &[u8], first: usize) -> usize {
    let first_is_newer = decode_slot(bytes, first) > decode_slot(bytes, first + 1);
    if first_is_newer {
        first + 1
    } else {
        first
    }
}
