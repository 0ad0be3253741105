//! Calls to a control-plane node, which redirects to the leader.
use crate::error::CommandError;
use crate::http;
use serde_json::Value;
use ureq::http::{Method, Response};
use ureq::{Agent, Body};

/// As all callers of the control plane do.
const MAX_REDIRECTS: usize = 2;
const OK: u16 = 200;
const TEMPORARY_REDIRECT: u16 = 307;

/// GETs a path, or POSTs a body to it, and returns the answer's body. A command that is sent twice changes nothing, so
/// that a person may simply send it again.
pub(super) fn call(address: &str, path: &str, body: Option<&str>) -> eyre::Result<String> {
    let config = http::config().max_redirects(0).max_redirects_will_error(false);
    let agent: Agent = config.build().into();
    let mut url = format!("http://{address}{path}");
    for _ in 0..=MAX_REDIRECTS {
        let mut response = send(&agent, &url, body)?;
        let location = response.headers().get("Location").and_then(|v| v.to_str().ok()).map(String::from);
        let status = response.status().as_u16();
        if let (TEMPORARY_REDIRECT, Some(location)) = (status, location) {
            url = location;
            continue;
        }
        let text = response.body_mut().read_to_string()?;
        return if status == OK { Ok(text) } else { Err(refusal(status, text).into()) };
    }
    Err(CommandError::TooManyRedirects { address: address.into() }.into())
}

fn send(agent: &Agent, url: &str, body: Option<&str>) -> Result<Response<Body>, CommandError> {
    let (method, result) = match body {
        Some(body) => (Method::POST, agent.post(url).content_type("application/json").send(body)),
        None => (Method::GET, agent.get(url).call()),
    };
    http::well_formed(&method, url, result)
}

fn refusal(status: u16, text: String) -> CommandError {
    let answer: Value = serde_json::from_str(&text).unwrap_or_default();
    let reason = answer["why"].as_str().map(String::from).unwrap_or(text);
    CommandError::Refused { status, reason }
}
