//! `check`: an operators' file against its form, and against a director's configuration.

use crate::output::print;
use coppersail_jsonnet::EvaluateError;
use coppersail_operator_config::{read_operator_file, Fault, SettingsNames};
use coppersail_protocol::config::Config;
use coppersail_protocol::ParseError as ConfigFault;
use coppersail_settings::DirectorSettings;
use std::path::{Path, PathBuf};

/// What is wrong with the operators' file, or with the configuration that it is checked against.
#[derive(Debug, thiserror::Error)]
pub(crate) enum CheckError {
    #[error("{}: {source}", .path.display())]
    ReadConfig { path: PathBuf, source: std::io::Error },
    #[error("{}: {fault}", .path.display())]
    ParseConfig { path: PathBuf, fault: ConfigFault },
    #[error("{}: field settings.{field}: expected {expected}", .path.display())]
    InvalidSetting { path: PathBuf, field: String, expected: String },
    #[error("{}: the file: expected a text ({source})", .path.display())]
    ReadFile { path: PathBuf, source: std::io::Error },
    #[error(transparent)]
    Evaluate(#[from] EvaluateError),
    /// All faults of the file, a line each.
    #[error("{}", join_lines(.0))]
    Faults(Vec<Fault>),
}

fn join_lines(faults: &[Fault]) -> String {
    faults.iter().map(Fault::to_string).collect::<Vec<_>>().join("\n")
}

/// Checks a file, which is a template unless its name ends in `.json`.
pub(crate) fn run(path: &Path, config: Option<&Path>, json: bool) -> Result<(), CheckError> {
    let known = config.map(read_known).transpose()?;
    let source = std::fs::read_to_string(path)
        .map_err(|source| CheckError::ReadFile { path: path.to_path_buf(), source })?;
    let is_plain_json = path.extension().is_some_and(|extension| extension == "json");
    let text = if is_plain_json { source.clone() } else { coppersail_jsonnet::evaluate(path)? };
    let name = path.display().to_string();
    let sheet = read_operator_file(&name, &source, &text, known.as_ref()).map_err(CheckError::Faults)?;
    let fields = sheet.document.len();
    if json {
        print(&serde_json::json!({"is": "sound", "fields": fields}).to_string());
    } else {
        print(&format!("{name}: sound, {fields} fields"));
    }
    Ok(())
}

/// What a director's configuration names, read by the code that the director reads it with.
fn read_known(path: &Path) -> Result<SettingsNames, CheckError> {
    let owned_path = || path.to_path_buf();
    let bytes =
        std::fs::read(path).map_err(|source| CheckError::ReadConfig { path: owned_path(), source })?;
    let config =
        Config::parse(&bytes).map_err(|fault| CheckError::ParseConfig { path: owned_path(), fault })?;
    let settings = config.settings.iter().map(|(path, value)| (path.as_str(), value.as_str())).collect();
    let boot = DirectorSettings::read(&settings).map_err(|invalid| CheckError::InvalidSetting {
        path: owned_path(),
        field: invalid.field,
        expected: invalid.expected.to_string(),
    })?;
    Ok(coppersail_settings::known_names(&boot))
}
