//! Whether the settings file is another one than when it was last looked at.
use std::time::SystemTime;

/// What shows a change without reading it: when it was written, how long it is.
#[derive(Debug, Clone, PartialEq)]
pub struct File(Option<(SystemTime, u64)>);

impl File {
    pub fn now() -> File {
        let path = std::env::var(coppersail_config::boot::VARIABLE).unwrap_or_default();
        let seen = std::fs::metadata(path).and_then(|file| Ok((file.modified()?, file.len())));
        File(seen.ok())
    }

    /// Since it was last looked at.
    pub fn changed(&mut self) -> bool {
        let before = std::mem::replace(self, File::now());
        *self != before
    }
}
