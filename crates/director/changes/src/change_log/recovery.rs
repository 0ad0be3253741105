//! Creation of a log at the first start, and recovery from the records of earlier runs.

use super::undo::Undo;
use super::ChangeLog;
use crate::change::Version;
use crate::effect::ChangeEffect;
use crate::host_pool::HostPool;
use crate::record::Record;
use crate::record_error::RecordError;
use crate::stage::{EndReason, Keep, Stage};
use coppersail_operator_config::{Document, Edits};

/// The version of the operators' file's content at the first start. No change has this number, so the content
/// cannot be undone.
const INITIAL_VERSION: Version = Version(0);

impl ChangeLog {
    /// Creates a log at the first start, with the content of the operators' file in force. Returns the record
    /// to write.
    pub fn create(document: Document, wall: f64) -> (Self, Record) {
        let record = Record::Founded { wall, document: document.clone().into_iter().collect() };
        let mut log = ChangeLog::default();
        log.set_initial_document(document);
        (log, record)
    }

    fn set_initial_document(&mut self, document: Document) {
        let edits: Edits = document.iter().map(|(field, value)| (field.clone(), Some(*value))).collect();
        self.histories.claim(INITIAL_VERSION, &edits);
        self.histories.enforce(INITIAL_VERSION, &edits);
        self.file = document.clone();
        self.document = document;
    }

    /// Rebuilds the state at the time when the last of these records was written. [`ChangeLog::resume`] must
    /// be called next.
    ///
    /// # Errors
    ///
    /// A record contradicts those before it.
    pub fn recover(records: impl IntoIterator<Item = Record>) -> Result<Self, RecordError> {
        let mut log = ChangeLog::default();
        for record in records {
            log.replay(record)?;
        }
        Ok(log)
    }

    fn replay(&mut self, record: Record) -> Result<(), RecordError> {
        match record {
            Record::Founded { document, .. } => self.set_initial_document(document.into_iter().collect()),
            Record::Accepted { number, .. } if number <= self.newest => {
                return Err(RecordError::AcceptedTwice(number));
            }
            Record::Accepted { number, wall, submission } => self.insert(number, wall, submission),
            Record::Moved { number, stage, .. } => self.transition(number, stage)?,
            Record::Undo { number, of, wall, why, lost } => {
                self.insert_undo(Undo { number, of, wall, why: &why, lost: &lost })?;
            }
            Record::Frozen { who, why, .. } => self.frozen = Some((who, why)),
            Record::Thawed { .. } => self.frozen = None,
        }
        Ok(())
    }

    /// Resumes operation after [`ChangeLog::recover`]. Staged changes stay staged. Changes on trial are
    /// undone: their baseline is lost, and they may be the reason why the director stopped.
    pub fn resume(&mut self, now: f64, wall: f64, pool: &HostPool) -> Vec<ChangeEffect> {
        let all: Vec<(Version, Stage)> =
            self.changes.values().map(|change| (change.number, change.stage.clone())).collect();
        let mut effects = Vec::new();
        for (number, stage) in all {
            effects.extend(self.resume_change(now, wall, number, &stage, pool));
        }
        effects
    }

    fn resume_change(
        &mut self,
        now: f64,
        wall: f64,
        number: Version,
        stage: &Stage,
        pool: &HostPool,
    ) -> Vec<ChangeEffect> {
        match stage {
            Stage::Checked => {
                self.activate(number, now);
                self.transition_and_record(wall, number, Stage::Staged)
            }
            Stage::Staged => {
                self.activate(number, now);
                Vec::new()
            }
            // The director gets the whole document at startup, so the undo has taken effect.
            Stage::Applied if self.is_undo(number) => {
                self.transition_and_record(wall, number, Stage::Kept(Keep::IsUndo))
            }
            Stage::Applied | Stage::Trial => {
                self.undo_by_new_change(now, wall, number, EndReason::Restarted, pool)
            }
            Stage::Suspended { .. } => self.end_suspended(wall, number, EndReason::Restarted),
            Stage::Drafted | Stage::Kept(_) | Stage::Undone(_) | Stage::Dropped(_) => Vec::new(),
        }
    }
}
