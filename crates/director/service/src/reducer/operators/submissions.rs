//! Changes that are made in the operators' file.

use super::{OperatorContext, Operators};
use crate::reducer::event::FileError;
use crate::reducer::outbox::Outbox;
use coppersail_changes::{Refusal, Submission};
use coppersail_operator_config::{difference, OperatorFile};

impl Operators {
    /// The file was read: the differences from its last accepted content are submitted as a change.
    pub(super) fn submit_file(
        &mut self,
        now: f64,
        operator_file: Result<OperatorFile, FileError>,
        context: &OperatorContext,
        outbox: &mut Outbox,
    ) {
        let operator_file = match operator_file {
            Ok(operator_file) => operator_file,
            Err(error) => {
                outbox.counters.configurations_bad += 1;
                outbox.warn(format!("operators' file: not applied: {error}"));
                return;
            }
        };
        let edits = difference(self.change_log.file(), &operator_file.document);
        if edits.is_empty() {
            return;
        }
        let submission = Submission {
            base: self.change_log.head(),
            who: "the operators' file".to_string(),
            why: "it was read anew".to_string(),
            edits,
            file: Some(operator_file.document.into_iter().collect()),
            ..Submission::default()
        };
        if let Err(refusal) = self.submit(now, submission, context, outbox) {
            outbox.counters.configurations_bad += 1;
            outbox.warn(format!("operators' file: change refused: {refusal}"));
        }
    }

    fn submit(
        &mut self,
        now: f64,
        submission: Submission,
        context: &OperatorContext,
        outbox: &mut Outbox,
    ) -> Result<(), Refusal> {
        let pool = self.host_pool(now, context);
        let wall_time = self.wall_time(now);
        let (_, effects) = self.change_log.submit(now, wall_time, submission, &self.known, &pool)?;
        self.carry_out(now, effects, context, outbox);
        Ok(())
    }
}
