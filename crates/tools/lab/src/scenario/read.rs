//! Reads scenario files.

use super::defaults::UNNAMED;
use super::errors::ReadError;
use super::model::Scenario;
use std::path::Path;

impl Scenario {
    /// Reads and validates a scenario: JSON if the file's name ends so, else Jsonnet.
    ///
    /// # Errors
    /// [`ReadError`], in one line.
    pub fn read(path: &Path) -> Result<Scenario, ReadError> {
        let json = read_json(path)?;
        let mut scenario: Scenario = serde_json::from_str(&json)
            .map_err(|source| ReadError::Syntax { path: path.to_path_buf(), source })?;
        if scenario.name == UNNAMED {
            let stem = path.file_stem();
            scenario.name = stem.map_or_else(String::new, |stem| stem.to_string_lossy().into_owned());
        }
        scenario.validate().map_err(|source| ReadError::Invalid { path: path.to_path_buf(), source })?;
        Ok(scenario)
    }
}

/// The JSON that a file holds, or that its template evaluates to.
fn read_json(path: &Path) -> Result<String, ReadError> {
    if path.extension().is_some_and(|ending| ending == "json") {
        std::fs::read_to_string(path)
            .map_err(|source| ReadError::Unreadable { path: path.to_path_buf(), source })
    } else {
        Ok(coppersail_jsonnet::evaluate(path)?)
    }
}
