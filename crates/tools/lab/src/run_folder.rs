//! Keeps the results of a run as one folder: what was played, figures by second, latencies, tables, charts, and one
//! page of all of it. The folder appears whole or not at all.

mod charts;
mod error;
mod report;
mod tables;

use crate::experiment::{table, Outcome};
use crate::World;
pub use error::{KeepError, WriteError};
pub use report::page;
use std::fs;
use std::path::Path;

/// Keeps a run. A folder that was there before is removed only when all of the new one is there.
///
/// # Errors
/// [`KeepError`]: a file or folder cannot be written; no half of the new folder is left.
pub fn keep(folder: &Path, world: &World, outcome: &Outcome) -> Result<(), KeepError> {
    replace(folder, world, outcome).map_err(|source| KeepError { folder: folder.to_path_buf(), source })
}

/// Writes a new folder beside the old one, then renames it.
fn replace(folder: &Path, world: &World, outcome: &Outcome) -> Result<(), WriteError> {
    let name = folder.file_name().map(|name| name.to_string_lossy().into_owned()).unwrap_or_default();
    let new = folder.with_file_name(format!("{name}.new"));
    let _ = fs::remove_dir_all(&new);
    fs::create_dir_all(&new)?;
    if let Err(error) = write_files(&new, world, outcome) {
        let _ = fs::remove_dir_all(&new);
        return Err(error);
    }
    let _ = fs::remove_dir_all(folder);
    fs::rename(&new, folder)?;
    Ok(())
}

fn write_files(folder: &Path, world: &World, outcome: &Outcome) -> Result<(), WriteError> {
    let scenario = serde_json::to_string_pretty(&world.scenario)?;
    let manifest = tables::manifest(world, outcome, &scenario);
    fs::write(folder.join("manifest.json"), serde_json::to_string_pretty(&manifest)?)?;
    fs::write(folder.join("scenario.json"), &scenario)?;
    fs::write(folder.join("seconds.csv"), tables::seconds_csv(world))?;
    let outcome_table = table(std::slice::from_ref(outcome));
    let text = format!("{outcome_table}\n{}", tables::latency_table(world));
    fs::write(folder.join("table.md"), text)?;
    charts::draw_all(folder, &world.measured)?;
    fs::write(folder.join("report.html"), page(folder)?)?;
    Ok(())
}
