//! Whether the settings file has changed since it was last read.
use std::time::SystemTime;

/// The metadata that reveal a change without reading the file; `None` if there is no file.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct SettingsFileVersion(Option<Metadata>);

#[derive(Debug, Clone, PartialEq)]
struct Metadata {
    modified: SystemTime,
    /// In bytes.
    length: u64,
}

impl SettingsFileVersion {
    /// The version of the file that `COPPERSAIL_SETTINGS` names.
    pub(crate) fn current() -> SettingsFileVersion {
        let path = std::env::var(coppersail_config::boot::SETTINGS_VARIABLE).unwrap_or_default();
        let metadata = std::fs::metadata(path)
            .and_then(|file| Ok(Metadata { modified: file.modified()?, length: file.len() }));
        SettingsFileVersion(metadata.ok())
    }

    /// Reads the metadata again; returns whether they have changed.
    pub(crate) fn refresh(&mut self) -> bool {
        let before = std::mem::replace(self, SettingsFileVersion::current());
        *self != before
    }
}
