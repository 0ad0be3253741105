//! A director that commands send requests to, and the form in which its answers are printed.

use crate::admin_client::{AdminClient, RequestError};
use crate::output;
use coppersail_admin_socket::{Answer, Request, Status};
use coppersail_changes::{Submission, Version};
use std::path::PathBuf;

pub(crate) struct Session {
    client: AdminClient,
    /// Answers are printed as JSON.
    pub(crate) json: bool,
}

impl Session {
    pub(crate) fn new(socket: PathBuf, json: bool) -> Self {
        Session { client: AdminClient::new(socket), json }
    }

    pub(crate) fn request(&self, request: &Request) -> Result<Answer, RequestError> {
        self.client.request(request)
    }

    pub(crate) fn status(&self) -> Result<Status, RequestError> {
        self.client.status()
    }

    pub(crate) fn print(&self, answer: &Answer) {
        output::print_answer(answer, self.json);
    }

    pub(crate) fn request_and_print(&self, request: &Request) -> Result<(), RequestError> {
        self.print(&self.request(request)?);
        Ok(())
    }

    /// Submits a change, based on the director's newest version unless `base` is given; gives the change's number.
    ///
    /// A submission whose answer was lost is sent again: the token makes it idempotent.
    pub(crate) fn submit(
        &self,
        mut submission: Submission,
        base: Option<Version>,
    ) -> Result<Version, RequestError> {
        submission.base = match base {
            Some(base) => base,
            None => self.status()?.version,
        };
        submission.token = format!("{:016x}{:016x}", fastrand::u64(..), fastrand::u64(..));
        let request = Request::Submit { submission };
        let answer = match self.request(&request) {
            Err(rejected @ RequestError::Rejected { .. }) => return Err(rejected),
            Err(_) => self.request(&request)?,
            Ok(answer) => answer,
        };
        self.print(&answer);
        match answer {
            Answer::Accepted { number, .. } => Ok(number),
            other => Err(RequestError::UnexpectedAnswer { expected: "a number", answer: Box::new(other) }),
        }
    }
}
