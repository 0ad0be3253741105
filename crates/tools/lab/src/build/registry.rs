//! The programs that policies name, by number: a policy's kind is a small value that is copied.

use std::path::{Path, PathBuf};
use std::sync::{Mutex, MutexGuard, PoisonError};

static PROGRAMS: Mutex<Vec<PathBuf>> = Mutex::new(Vec::new());

fn programs() -> MutexGuard<'static, Vec<PathBuf>> {
    PROGRAMS.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The number of a build, in this process; the same program has the same one.
pub fn register_program(path: &Path) -> u8 {
    let mut programs = programs();
    let known = programs.iter().position(|program| program == path);
    let index = known.unwrap_or_else(|| {
        programs.push(path.to_path_buf());
        programs.len() - 1
    });
    index as u8
}

/// The path of the build with that number; empty if there is none.
pub fn program_path(number: u8) -> PathBuf {
    programs().get(usize::from(number)).cloned().unwrap_or_default()
}
