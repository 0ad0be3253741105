//! What was given to a command and cannot be used, in one line.

use std::path::{Path, PathBuf};

/// What was given to a command and cannot be used.
#[derive(Debug, thiserror::Error)]
pub(crate) enum InputError {
    /// A file or folder cannot be read or written.
    #[error("{}: {source}", path.display())]
    File {
        /// The file or folder.
        path: PathBuf,
        /// Why not.
        source: std::io::Error,
    },
    /// Not one time for each log.
    #[error("--began: expected {files} times, one for each file")]
    Began {
        /// How many logs there are.
        files: usize,
    },
    /// A line of a file of scores.
    #[error("{}:{line}: expected a name and a figure", path.display())]
    Score {
        /// The file.
        path: PathBuf,
        /// The line, from 1.
        line: usize,
    },
}

impl InputError {
    /// Names the file of an I/O error.
    pub(crate) fn file(path: &Path) -> impl FnOnce(std::io::Error) -> InputError + '_ {
        move |source| InputError::File { path: path.to_path_buf(), source }
    }
}
