//! Carries out the effects of the change log.

use super::{ApplyingChange, OperatorContext, Operators, TICK_S};
use crate::reducer::effect::Effect;
use crate::reducer::outbox::Outbox;
use coppersail_admin_socket::Answer;
use coppersail_change_analysis::TrialId;
use coppersail_changes::{ChangeEffect, Record, Refusal, Version};
use std::collections::BTreeSet;
use tracing::Level;

/// Log lines of the change log with one of these prefixes are warnings.
const WARNING_PREFIXES: [&str; 3] = ["undone", "dropped", "set aside"];

impl Operators {
    pub(super) fn carry_out(
        &mut self,
        now: f64,
        effects: Vec<ChangeEffect>,
        context: &OperatorContext,
        outbox: &mut Outbox,
    ) {
        for effect in effects {
            match effect {
                ChangeEffect::Write(record) => self.write_record(now, record, context, outbox),
                ChangeEffect::ApplyDocument { by, .. } => self.apply(now, by),
                ChangeEffect::StartAnalysis(number) => {
                    let scope = self.change_scope(number, context);
                    let change = self.change_log.change(number);
                    let expected_loss = change.map_or(0.0, |change| change.submission.expected_loss);
                    self.analysis.start_trial(TrialId(number.0), scope, expected_loss);
                }
                ChangeEffect::EndAnalysis(number) => self.analysis.end_trial(TrialId(number.0)),
                ChangeEffect::SuspendAnalysis(number) => self.analysis.suspend(TrialId(number.0)),
                ChangeEffect::ResumeAnalysis(number) => self.analysis.resume(TrialId(number.0)),
                ChangeEffect::Log { about, text } => log_change(about, text, outbox),
            }
        }
    }

    /// Appends a record to the history. Without a history, an accepted change counts as stored at once.
    fn write_record(&mut self, now: f64, record: Record, context: &OperatorContext, outbox: &mut Outbox) {
        if self.is_durable {
            outbox.effects.push(Effect::AppendToChangeLog(record));
        } else if let Record::Accepted { number, .. } = record {
            self.record_written(now, number, context, outbox);
        }
    }

    /// The next `poll` gives the configuration, which this change has modified, to the decisions.
    fn apply(&mut self, now: f64, version: Version) {
        self.overrides_outdated = true;
        let slices = BTreeSet::new();
        self.applying = Some(ApplyingChange { version, since: now, last_order_at: now, slices });
        self.next_tick_at = self.next_tick_at.min(now + TICK_S);
    }

    /// The history has stored the acceptance of a change: its submitter is answered.
    pub(super) fn record_written(
        &mut self,
        now: f64,
        number: Version,
        context: &OperatorContext,
        outbox: &mut Outbox,
    ) {
        let effects = self.change_log.record_written(self.wall_time(now), number);
        self.carry_out(now, effects, context, outbox);
        if let Some(command) = self.pending_answers.remove(&number) {
            outbox.effects.push(Effect::AnswerAdminRequest(command, self.accepted(number)));
        }
    }

    /// The answer to a change that was accepted.
    pub(super) fn accepted(&self, number: Version) -> Answer {
        Answer::Accepted { number, durable: self.is_durable }
    }

    /// The history failed to store the acceptance of a change or, without a number, another record.
    pub(super) fn record_failed(
        &mut self,
        now: f64,
        number: Option<Version>,
        reason: &str,
        context: &OperatorContext,
        outbox: &mut Outbox,
    ) {
        let effects = self.change_log.write_failed(self.wall_time(now), number, reason);
        self.carry_out(now, effects, context, outbox);
        if let Some(command) = number.and_then(|number| self.pending_answers.remove(&number)) {
            let reason = Refusal::WriteFailed(reason.to_string()).to_string();
            outbox.effects.push(Effect::AnswerAdminRequest(command, Answer::Rejected { reason }));
        }
    }
}

fn log_change(about: Option<Version>, text: String, outbox: &mut Outbox) {
    let is_warning = WARNING_PREFIXES.iter().any(|prefix| text.starts_with(prefix));
    let level = if is_warning { Level::WARN } else { Level::INFO };
    let text = match about {
        Some(number) => format!("change {number}: {text}"),
        None => text,
    };
    outbox.effects.push(Effect::Log(level, about, text));
}
