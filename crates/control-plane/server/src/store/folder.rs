//! The data folder as a directory: syncing its entries, removing and copying its files.
use std::fs::{self, DirEntry, File};
use std::io;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant, SystemTime};

/// For this long after a directory's modification time was seen to change, another change may leave the same
/// time: the clocks of file systems advance in steps of up to 10 ms.
const MODIFICATION_TIME_GRANULARITY: Duration = Duration::from_millis(20);

/// A directory, and the last observed change of its entries.
#[derive(Debug)]
struct TrackedDirectory {
    path: PathBuf,
    modified: Option<SystemTime>,
    /// When `modified` was seen to change.
    seen: Instant,
}

/// Syncs the directories of a data folder after their entries have changed.
///
/// fjall syncs the directory of each file that it creates, but not the directory in which it creates a
/// keyspace's directory, nor one from which it removes a file. It creates no directories after it is open, so
/// the list is built once.
#[derive(Debug)]
pub(super) struct DirectorySync {
    directories: Vec<TrackedDirectory>,
}

impl DirectorySync {
    /// Tracks `folder` and all directories below it; none counts as synced yet.
    pub(super) fn new(folder: &Path) -> io::Result<DirectorySync> {
        let mut directories = Vec::new();
        track_directories(folder, &mut directories)?;
        Ok(DirectorySync { directories })
    }

    /// Syncs each directory whose entries may have changed since the last call.
    pub(super) fn sync_changed(&mut self) -> io::Result<()> {
        for directory in &mut self.directories {
            let modified = fs::metadata(&directory.path)?.modified().ok();
            if modified != directory.modified {
                directory.modified = modified;
                directory.seen = Instant::now();
            } else if directory.seen.elapsed() > MODIFICATION_TIME_GRANULARITY {
                continue;
            }
            sync_directory(&directory.path)?;
        }
        Ok(())
    }
}

/// Children come before their parent: a parent that is synced first could have an entry for a child that is
/// not durable.
fn track_directories(folder: &Path, found: &mut Vec<TrackedDirectory>) -> io::Result<()> {
    for entry in fs::read_dir(folder)? {
        let entry = entry?;
        if entry.file_type()?.is_dir() {
            track_directories(&entry.path(), found)?;
        }
    }
    found.push(TrackedDirectory { path: folder.to_path_buf(), modified: None, seen: Instant::now() });
    Ok(())
}

/// Makes the entries of a directory durable.
pub(super) fn sync_directory(folder: &Path) -> io::Result<()> {
    File::open(folder)?.sync_all()
}

/// Whether the folder is empty or has only this file. An entry that can't be read counts as another file.
pub(super) fn contains_at_most(folder: &Path, file_name: &str) -> io::Result<bool> {
    let is_other = |entry: io::Result<DirEntry>| entry.map_or(true, |e| e.file_name() != file_name);
    Ok(!fs::read_dir(folder)?.any(is_other))
}

/// Removes everything but this file; the removal is durable when this returns.
pub(super) fn remove_all_except(folder: &Path, file_name: &str) -> io::Result<()> {
    for entry in fs::read_dir(folder)? {
        let entry = entry?;
        if entry.file_name() == file_name {
            continue;
        }
        if entry.file_type()?.is_dir() {
            fs::remove_dir_all(entry.path())?;
        } else {
            fs::remove_file(entry.path())?;
        }
    }
    sync_directory(folder)
}

/// Copies all files below `from`.
pub(super) fn copy_recursively(from: &Path, to: &Path) -> io::Result<()> {
    fs::create_dir_all(to)?;
    for entry in fs::read_dir(from)? {
        let entry = entry?;
        let target = to.join(entry.file_name());
        if entry.file_type()?.is_dir() {
            copy_recursively(&entry.path(), &target)?;
        } else {
            fs::copy(entry.path(), target)?;
        }
    }
    Ok(())
}
