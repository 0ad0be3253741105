//! The director's process and the folder of its configuration and log.

use super::error::StartError;
use std::fs::{self, File};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};

/// Names the configuration file to the director.
const CONFIG_VARIABLE: &str = "EDGE_CONFIG";
/// Names the operators' configuration, which a play does not have.
const OPERATOR_VARIABLE: &str = "EDGE_OPERATOR";

/// A temporary folder, removed when this is dropped.
pub(super) struct WorkFolder {
    path: PathBuf,
}

impl WorkFolder {
    /// Makes a folder that no other play has, and writes the configuration into it.
    ///
    /// # Errors
    /// [`StartError::Folder`]: the folder or the file cannot be written.
    pub(super) fn create(config: &str) -> Result<Self, StartError> {
        static NEXT_NUMBER: AtomicU64 = AtomicU64::new(0);
        let number = NEXT_NUMBER.fetch_add(1, Ordering::Relaxed);
        let name = format!("coppersail-live-{}-{number}", std::process::id());
        let folder = WorkFolder { path: std::env::temp_dir().join(name) };
        fs::create_dir_all(&folder.path)
            .and_then(|()| fs::write(folder.config_file(), config))
            .map_err(|source| StartError::Folder { folder: folder.path.clone(), source })?;
        Ok(folder)
    }

    fn config_file(&self) -> PathBuf {
        self.path.join("config.json")
    }

    fn log_file(&self) -> PathBuf {
        self.path.join("log")
    }

    /// What the director has written to standard error so far.
    pub(super) fn log(&self) -> String {
        fs::read_to_string(self.log_file()).unwrap_or_default()
    }
}

impl Drop for WorkFolder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.path);
    }
}

/// A director's process, killed when this is dropped.
pub(super) struct DirectorProcess {
    child: Child,
}

impl DirectorProcess {
    /// Starts the program with the configuration in the folder; its log goes there too.
    ///
    /// # Errors
    /// [`StartError::Spawn`]: the program cannot be run.
    pub(super) fn spawn(program: &Path, folder: &WorkFolder) -> Result<Self, StartError> {
        let log = File::create(folder.log_file()).map_or(Stdio::null(), Stdio::from);
        let spawned = Command::new(program)
            .env(CONFIG_VARIABLE, folder.config_file())
            .env_remove(OPERATOR_VARIABLE)
            .stderr(log)
            .stdin(Stdio::null())
            .spawn();
        match spawned {
            Ok(child) => Ok(DirectorProcess { child }),
            Err(source) => Err(StartError::Spawn { program: program.to_path_buf(), source }),
        }
    }

    /// Ends the process as a crash would, and waits for its end.
    pub(super) fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for DirectorProcess {
    fn drop(&mut self) {
        self.kill();
    }
}
