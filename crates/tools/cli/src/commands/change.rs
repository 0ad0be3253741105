//! `change`: submitting, looking at and ending changes.

use super::error::CommandError;
use super::session::Session;
use crate::arguments::{ChangeCommand, EditArguments};
use crate::edits::parse_edits;
use crate::output::print;
use coppersail_admin_socket::{Answer, Request};
use coppersail_changes::{Stage, Submission, Version};
use std::time::Duration;

/// An operator does not see the difference, and the director does not notice the load.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

pub(crate) fn run(session: &Session, command: ChangeCommand) -> Result<(), CommandError> {
    let request = match command {
        ChangeCommand::Submit { edits, operator, why, base, trial, expect_loss, draft, wait } => {
            let submission = Submission {
                who: operator.who,
                why,
                edits: parse_edits(&edits)?,
                trial,
                expected_loss: expect_loss,
                draft,
                ..Submission::default()
            };
            return submit(session, submission, base.map(Version), wait && !draft);
        }
        ChangeCommand::Diff { edits } => return diff(session, &edits),
        ChangeCommand::List { before } => Request::List { before: before.map(Version) },
        ChangeCommand::Show { number } => Request::Show { number: Version(number) },
        ChangeCommand::Stage { number } => Request::Stage { number: Version(number) },
        ChangeCommand::Confirm { number, operator } => {
            Request::Confirm { number: Version(number), who: operator.who }
        }
        ChangeCommand::Extend { number, by, operator } => {
            Request::Extend { number: Version(number), by, who: operator.who }
        }
        ChangeCommand::Undo { number, why, operator } => {
            Request::Undo { number: Version(number), who: operator.who, why }
        }
        ChangeCommand::Freeze { why, operator } => Request::Freeze { who: operator.who, why },
        ChangeCommand::Thaw { operator } => Request::Thaw { who: operator.who },
    };
    Ok(session.request_and_print(&request)?)
}

fn submit(
    session: &Session,
    submission: Submission,
    base: Option<Version>,
    wait: bool,
) -> Result<(), CommandError> {
    let number = session.submit(submission, base)?;
    if wait {
        wait_for_end(session, number)?;
    }
    Ok(())
}

/// Polls a change until it is kept, undone or dropped.
fn wait_for_end(session: &Session, number: Version) -> Result<(), CommandError> {
    loop {
        match session.request(&Request::Show { number })? {
            Answer::Change(change) if change.stage.ended() => {
                let stage = change.stage.clone();
                session.print(&Answer::Change(change));
                return match stage {
                    Stage::Undone(reason) | Stage::Dropped(reason) => {
                        Err(CommandError::NotKept { number, reason: reason.to_string() })
                    }
                    _ => Ok(()),
                };
            }
            _ => std::thread::sleep(POLL_INTERVAL),
        }
    }
}

/// Shows what a submission would change, and the version that was current before it was asked for.
fn diff(session: &Session, arguments: &EditArguments) -> Result<(), CommandError> {
    let version = session.status()?.version;
    let edits = parse_edits(arguments)?;
    session.request_and_print(&Request::Diff { edits })?;
    if !session.json {
        print(&format!("to submit it if nothing else changes meanwhile: --base {version}"));
    }
    Ok(())
}
