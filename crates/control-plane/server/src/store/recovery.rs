//! Opening a data folder: finds its condition, clears a corrupt one, and retries while the disk is
//! unavailable.
use super::contents::{FolderCondition, RecoveredState};
use super::database::{Keyspaces, OpenDatabase, FIRST_BATCH_NUMBER};
use super::disk::{DataFolder, Disk};
use super::error::{Corruption, StoreError};
use super::folder::{self, DirectorySync};
use super::generation::{self, Generation, GenerationFile};
use std::fs;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering};

/// One log line for this many attempts, which is at most one in ten seconds.
const ATTEMPTS_PER_LOG_LINE: u64 = 50;

/// A data folder on the file system.
pub(super) struct FileSystemFolder {
    path: PathBuf,
}

impl FileSystemFolder {
    pub(super) fn new(path: &Path) -> FileSystemFolder {
        FileSystemFolder { path: path.to_path_buf() }
    }
}

impl DataFolder for FileSystemFolder {
    fn open(&mut self) -> Result<Box<dyn Disk>, StoreError> {
        fs::create_dir_all(&self.path)?;
        let mut generation = initial_generation(&self.path)?;
        let keyspaces = Keyspaces::open(&self.path)?;
        let batch_number = keyspaces.batch_number()?;
        let adopt = must_be_adopted(generation, batch_number, keyspaces.is_empty())?;
        if adopt {
            keyspaces.adopt()?;
            generation::create(&self.path, FIRST_BATCH_NUMBER)?;
            generation = Generation::Number(FIRST_BATCH_NUMBER);
        }
        let generation = if let Generation::Number(number) = generation { number } else { 0 };
        let mut database = OpenDatabase {
            keyspaces,
            generation_file: GenerationFile::open(&self.path)?,
            generation,
            batch_number: batch_number.max(generation),
            condition: if adopt { FolderCondition::Intact } else { condition(batch_number, generation) },
            directories: DirectorySync::new(&self.path)?,
        };
        database.directories.sync_changed()?;
        Ok(Box::new(database))
    }

    /// Keeps the generation file, or creates it: it records that the folder was written before.
    fn clear(&mut self) -> Result<(), StoreError> {
        if !matches!(generation::read(&self.path)?, Generation::Number(_)) {
            generation::create(&self.path, FIRST_BATCH_NUMBER)?;
        }
        Ok(folder::remove_all_except(&self.path, generation::FILE_NAME)?)
    }
}

/// The generation of the folder. In a folder without a database the generation file is created before
/// anything else, so that any database found there later was written after it.
fn initial_generation(path: &Path) -> Result<Generation, StoreError> {
    let has_no_database = folder::contains_at_most(path, generation::FILE_NAME)?;
    let generation = generation::read(path)?;
    if !has_no_database || matches!(generation, Generation::Number(_)) {
        return Ok(generation);
    }
    generation::create(path, 0)?;
    Ok(Generation::Number(0))
}

/// Whether the database is of an older version, without generations and batch numbers. An error if it is
/// corrupt.
fn must_be_adopted(generation: Generation, batch_number: u64, is_empty: bool) -> Result<bool, Corruption> {
    let unnumbered = batch_number == 0 && !is_empty;
    let cleared = batch_number == 0 && is_empty;
    match generation {
        Generation::Number(expected) if expected > batch_number && !cleared => {
            Err(Corruption::StaleGeneration { found: batch_number, expected })
        }
        Generation::Number(number) => Ok(number == 0 && unnumbered),
        Generation::Absent if unnumbered => Ok(true),
        Generation::Absent | Generation::Corrupt => Err(Corruption::MissingGeneration),
    }
}

fn condition(batch_number: u64, generation: u64) -> FolderCondition {
    match (batch_number, generation) {
        (0, 0) => FolderCondition::Fresh,
        (0, _) => FolderCondition::Lost,
        _ => FolderCondition::Intact,
    }
}

/// Opens the folder, with retries until that succeeds; clears it if it is corrupt.
pub(super) fn open_with_retries(
    folder: &mut impl DataFolder,
    log_warning: impl Fn(&str),
) -> (Box<dyn Disk>, RecoveredState) {
    let mut retries = Retries { attempts: 0, cleared: false, log_warning };
    loop {
        match open_and_read(folder) {
            Ok((disk, recovered)) => {
                if recovered.condition == FolderCondition::Lost && !retries.cleared {
                    (retries.log_warning)("The data folder was written before, but its data is lost.");
                }
                return (disk, recovered);
            }
            Err(StoreError::Unavailable(failure)) => {
                retries.back_off(folder, &format!("The data folder can't be opened: {failure}."));
            }
            Err(StoreError::Corrupt(corruption)) => retries.clear(folder, &corruption),
        }
    }
}

/// The state of the attempts to open one folder.
struct Retries<L> {
    /// Attempts that ended with a backoff.
    attempts: u64,
    /// The folder was corrupt and has been cleared.
    cleared: bool,
    log_warning: L,
}

impl<L: Fn(&str)> Retries<L> {
    /// Clears a corrupt folder, with retries until that succeeds. After the first time, the next attempt to
    /// open it follows without a delay.
    fn clear(&mut self, folder: &mut impl DataFolder, corruption: &Corruption) {
        while let Err(error) = folder.clear() {
            self.back_off(
                folder,
                &format!("The data folder is torn or stale ({corruption}) and can't be cleared: {error}."),
            );
        }
        let line = format!("The data folder was torn or stale and is cleared: {corruption}.");
        let is_first = !std::mem::replace(&mut self.cleared, true);
        if is_first {
            (self.log_warning)(&line);
        } else {
            self.back_off(folder, &line);
        }
    }

    /// Waits before the next attempt; logs the reason once in [`ATTEMPTS_PER_LOG_LINE`] attempts.
    fn back_off(&mut self, folder: &mut impl DataFolder, reason: &str) {
        if self.attempts.is_multiple_of(ATTEMPTS_PER_LOG_LINE) {
            (self.log_warning)(reason);
        }
        self.attempts += 1;
        folder.back_off();
    }
}

fn open_and_read(folder: &mut impl DataFolder) -> Result<(Box<dyn Disk>, RecoveredState), StoreError> {
    let mut disk = folder.open()?;
    let recovered = disk.read()?;
    Ok((disk, recovered))
}

/// Reads the content of a stopped node's folder without changing it. Opening a database writes to it, so a
/// copy in the temporary folder is opened.
///
/// # Errors
/// [`StoreError::Corrupt`] if the content is not what was written; [`StoreError::Unavailable`] if the folder can't be
/// copied or opened.
pub fn read_copy(folder: &Path) -> Result<RecoveredState, StoreError> {
    static COPIES: AtomicU64 = AtomicU64::new(0);
    let number = COPIES.fetch_add(1, Ordering::Relaxed);
    let copy = std::env::temp_dir().join(format!("control-plane-inspect-{}-{number}", std::process::id()));
    let found = open_copy(folder, &copy);
    fs::remove_dir_all(&copy)?;
    found
}

fn open_copy(folder: &Path, copy: &Path) -> Result<RecoveredState, StoreError> {
    folder::copy_recursively(folder, copy)?;
    let (_disk, recovered) = open_and_read(&mut FileSystemFolder::new(copy))?;
    Ok(recovered)
}
