//! What goes to the disk in one batch, and what is recovered from it.
use std::collections::BTreeMap;

/// A key and its value, as they are stored.
pub type KeyValue = (String, String);

/// Changes that become durable together or not at all.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct WriteBatch {
    /// Entries of the replicated state.
    pub state: Vec<KeyValue>,
    /// `state` replaces everything that is stored of the state, as a snapshot does.
    pub replace_state: bool,
    /// Entries that the node keeps about itself: its state as a voter, its terms, its sequence number.
    pub metadata: Vec<KeyValue>,
}

/// How the folder was found when it was opened.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum FolderCondition {
    /// Nothing was ever written here.
    #[default]
    Fresh,
    /// Every acknowledged batch is here.
    Intact,
    /// It was corrupt or stale and has been cleared, now or at an earlier start, and was not written since.
    /// Its data is lost.
    Lost,
}

/// What was recovered from the disk.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct RecoveredState {
    /// The replicated state.
    pub state: BTreeMap<String, String>,
    /// What the node keeps about itself.
    pub metadata: BTreeMap<String, String>,
    /// How the folder was found.
    pub condition: FolderCondition,
    /// The number of the last batch; 0 before the first.
    pub batch_number: u64,
}
