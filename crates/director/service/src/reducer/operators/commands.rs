//! Operators' commands and their answers.

use super::{OperatorContext, Operators};
use crate::reducer::effect::Effect;
use crate::reducer::ids::AdminRequestId;
use crate::reducer::outbox::Outbox;
use coppersail_admin_socket::{Answer, Difference, Request, Status, Trial, MAX_CHANGES_PER_ANSWER};
use coppersail_change_analysis::TrialId;
use coppersail_changes::{ChangeEffect, Refusal, Submission, Version};

/// The result of a command: its answer, and the change log's effects to carry out before it.
struct Outcome {
    /// `None` if the answer is sent once the history has stored a record.
    answer: Option<Answer>,
    effects: Vec<ChangeEffect>,
}

impl Outcome {
    fn answer(answer: Answer) -> Self {
        Outcome { answer: Some(answer), effects: Vec::new() }
    }

    fn done(effects: Vec<ChangeEffect>) -> Self {
        Outcome { answer: Some(Answer::Done), effects }
    }
}

impl Operators {
    /// Carries out a command and answers it.
    pub(super) fn handle_command(
        &mut self,
        now: f64,
        command: AdminRequestId,
        request: Request,
        context: &OperatorContext,
        outbox: &mut Outbox,
    ) {
        outbox.counters.commands += 1;
        let outcome = self.execute(now, command, request, context).unwrap_or_else(|refusal| {
            outbox.counters.commands_refused += 1;
            Outcome::answer(Answer::Rejected { reason: refusal.to_string() })
        });
        self.carry_out(now, outcome.effects, context, outbox);
        if let Some(answer) = outcome.answer {
            outbox.effects.push(Effect::AnswerAdminRequest(command, answer));
        }
    }

    fn execute(
        &mut self,
        now: f64,
        command: AdminRequestId,
        request: Request,
        context: &OperatorContext,
    ) -> Result<Outcome, Refusal> {
        let wall_time = self.wall_time(now);
        let pool = self.host_pool(now, context);
        let log = &mut self.change_log;
        let effects = match request {
            Request::Status => return Ok(Outcome::answer(self.status(now, context))),
            Request::Submit { submission } => return self.submit_command(now, command, submission, context),
            Request::Diff { edits } => {
                let preview = log.preview(&edits).into_iter();
                let differs = preview
                    .map(|(field, current, proposed)| Difference { field, current, proposed })
                    .collect();
                return Ok(Outcome::answer(Answer::Diff { differs }));
            }
            Request::List { before } => return Ok(Outcome::answer(self.list_changes(before))),
            Request::Show { number } => {
                let change = log.change(number).cloned().ok_or(Refusal::UnknownChange(number))?;
                return Ok(Outcome::answer(Answer::Change(Box::new(change))));
            }
            Request::Stage { number } => log.stage_draft(now, wall_time, number, &self.known, &pool)?,
            Request::Confirm { number, who } => log.confirm(wall_time, number, who)?,
            Request::Extend { number, by, who } => log.extend(number, by, &who)?,
            Request::Undo { number, who, why } => log.undo(now, wall_time, number, (who, why), &pool)?,
            Request::Freeze { who, why } => log.freeze(wall_time, who, why),
            Request::Thaw { who } => log.thaw(wall_time, who),
        };
        Ok(Outcome::done(effects))
    }

    /// Submits a change. It is answered once the history has stored it, or at once if it was submitted before.
    fn submit_command(
        &mut self,
        now: f64,
        command: AdminRequestId,
        submission: Submission,
        context: &OperatorContext,
    ) -> Result<Outcome, Refusal> {
        let token = submission.token.clone();
        let is_repeated =
            !token.is_empty() && self.change_log.changes().any(|change| change.submission.token == token);
        let pool = self.host_pool(now, context);
        let wall_time = self.wall_time(now);
        let (number, effects) = self.change_log.submit(now, wall_time, submission, &self.known, &pool)?;
        if is_repeated {
            return Ok(Outcome { answer: Some(self.accepted(number)), effects });
        }
        self.pending_answers.insert(number, command);
        Ok(Outcome { answer: None, effects })
    }

    /// A page of the changes that are older than `before`, the newest first.
    fn list_changes(&self, before: Option<Version>) -> Answer {
        let is_older = |number: Version| before.is_none_or(|before| number < before);
        let mut older = self.change_log.changes().filter(|change| is_older(change.number));
        let changes = older.by_ref().take(MAX_CHANGES_PER_ANSWER).cloned().collect();
        Answer::Changes { changes, more: older.next().is_some() }
    }

    fn status(&self, now: f64, context: &OperatorContext) -> Answer {
        let mut trials = Vec::new();
        for (number, trial_s) in self.change_log.trials() {
            trials.push(Trial {
                number,
                remaining_seconds: self.change_log.trial_left(now, number).unwrap_or(0.0),
                reports: self.analysis.observed_periods(TrialId(number.0)),
                sufficient: self.analysis.has_sufficient_reports(TrialId(number.0), trial_s),
            });
        }
        let in_force = self.change_log.document().iter();
        Answer::Status(Box::new(Status {
            name: self.director_name.clone(),
            version: self.change_log.head(),
            durable: self.is_durable,
            frozen: self.change_log.frozen().cloned(),
            baseline: self.analysis.has_baseline(),
            trials,
            in_force: in_force.map(|(field, value)| (field.clone(), *value)).collect(),
            hosts: self.hosts.len(),
            slices: context.relay_state.slices.len(),
            proxies: context.relay_state.proxies.len(),
        }))
    }
}
