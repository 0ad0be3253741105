//! `coppersail-control-plane --inspect FOLDER`: what the disk of a stopped node holds.
use crate::failure::{Failure, UsageError};
use coppersail_control_plane::store::{self, FolderCondition, RecoveredState, StoreError};
use coppersail_peer_protocol::ConfigDocument;
use std::path::Path;
use std::process::ExitCode;

/// Prints one line for each fact. Succeeds if every acknowledged batch is there.
pub(crate) fn run(folder: &Path) -> Result<ExitCode, Failure> {
    if !folder.is_dir() {
        return Err(Failure::usage(UsageError::NotADataFolder(folder.to_path_buf())));
    }
    match store::read_copy(folder) {
        Ok(recovered) => {
            report_lines(&recovered).iter().for_each(|line| println!("{line}"));
            if recovered.condition == FolderCondition::Intact {
                return Ok(ExitCode::SUCCESS);
            }
        }
        Err(StoreError::Corrupt(corruption)) => println!("kept: torn, {corruption}"),
        Err(StoreError::Unavailable(failure)) => println!("kept: not known, {failure}"),
    }
    Ok(ExitCode::FAILURE)
}

fn report_lines(recovered: &RecoveredState) -> Vec<String> {
    let condition = match recovered.condition {
        FolderCondition::Fresh => "fresh, nothing was ever written",
        FolderCondition::Intact => "whole",
        FolderCondition::Lost => "lost, nothing of its batches is left",
    };
    let bytes: usize = recovered.state.iter().map(|(key, value)| key.len() + value.len()).sum();
    let mut lines = vec![format!("kept: {condition}"), format!("batches: {}", recovered.batch_number)];
    lines.extend(recovered.metadata.iter().map(|(key, value)| format!("own {key}: {value}")));
    lines.push(format!("state: {} entries, {bytes} bytes", recovered.state.len()));
    lines.push(format!("configuration: revision {}", config_revision(recovered)));
    lines
}

fn config_revision(recovered: &RecoveredState) -> String {
    let config = recovered.state.get("config");
    let document = config.and_then(|text| serde_json::from_str::<ConfigDocument>(text).ok());
    document.map_or("none".into(), |document| document.revision.to_string())
}
