//! Why a director's binary cannot be played.

use std::path::PathBuf;

/// A director's binary that cannot be started, or does not answer.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// No port on loopback.
    #[error("listen: {0}")]
    Listen(#[source] std::io::Error),
    /// The configuration cannot be written.
    #[error("{}: {source}", folder.display())]
    Folder {
        /// The folder of the configuration and the log.
        folder: PathBuf,
        /// Why not.
        source: std::io::Error,
    },
    /// The binary cannot be run.
    #[error("{}: {source}", program.display())]
    Spawn {
        /// The binary's path.
        program: PathBuf,
        /// Why not.
        source: std::io::Error,
    },
    /// The director listened on its port at no time in the first seconds.
    #[error("{}: it takes no connection", program.display())]
    NoConnection {
        /// The binary's path.
        program: PathBuf,
    },
}
