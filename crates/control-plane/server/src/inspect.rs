//! `council --inspect FOLDER`: what the disk of a stopped centre holds. Opening writes, so it is done on a copy in the
//! temporary folder.
use coppersail_control_plane::store::{self, FolderCondition, RecoveredState, StoreError};
use std::path::Path;

/// Prints one line a fact; the exit status.
pub fn run(folder: &Path) -> i32 {
    if !folder.is_dir() {
        eprintln!(
            "control-plane! --inspect: {}, expected the data folder of a stopped centre",
            folder.display()
        );
        return 2;
    }
    match store::read_copy(folder) {
        Ok(found) => {
            lines(&found).iter().for_each(|line| println!("{line}"));
            (found.kept != FolderCondition::Whole) as i32
        }
        Err(StoreError::Corrupt(why)) => {
            println!("kept: torn, {why}");
            1
        }
        Err(StoreError::Unavailable(why)) => {
            println!("kept: not known, {why}");
            1
        }
    }
}

fn lines(found: &RecoveredState) -> Vec<String> {
    let kept = match found.kept {
        FolderCondition::Fresh => "fresh, nothing was ever written",
        FolderCondition::Whole => "whole",
        FolderCondition::Lost => "lost, nothing of its batches is left",
    };
    let bytes: usize = found.state.iter().map(|(name, value)| name.len() + value.len()).sum();
    let config = found.state.get("config").and_then(|text| serde_json::from_str(text).ok());
    let revision =
        config.map_or("none".into(), |c: coppersail_peer_protocol::ConfigDocument| c.revision.to_string());
    let mut lines = vec![format!("kept: {kept}"), format!("batches: {}", found.number)];
    lines.extend(found.own.iter().map(|(name, value)| format!("own {name}: {value}")));
    lines.push(format!("state: {} entries, {bytes} bytes", found.state.len()));
    lines.push(format!("configuration: revision {revision}"));
    lines
}
