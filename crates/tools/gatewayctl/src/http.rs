//! How the gateway's parts are called over HTTP.
#[cfg(test)]
mod tests;

use crate::error::CommandError;
use coppersail_response_framing::ResponseHead;
use std::time::Duration;
use ureq::config::ConfigBuilder;
use ureq::http::{Method, Response};
use ureq::typestate::AgentScope;
use ureq::{Agent, Body};

/// A person waits for the answer.
const TIMEOUT: Duration = Duration::from_secs(5);

/// Calls go straight to the address, and each status is an answer.
pub(crate) fn config() -> ConfigBuilder<AgentScope> {
    Agent::config_builder().timeout_global(Some(TIMEOUT)).http_status_as_error(false).proxy(None)
}

/// The answer of `target` to a request with this method, unless none came or it is malformed.
pub(crate) fn well_formed(
    method: &Method,
    target: &str,
    result: Result<Response<Body>, ureq::Error>,
) -> Result<Response<Body>, CommandError> {
    let response = result.map_err(|source| CommandError::unreachable(target, source))?;
    match ResponseHead::from(&response).delimited_body_framing(method) {
        Ok(_) => Ok(response),
        Err(source) => Err(CommandError::MalformedResponse { target: target.into(), source }),
    }
}
