//! How the gateway's parts are called over HTTP.
use std::time::Duration;
use ureq::config::ConfigBuilder;
use ureq::typestate::AgentScope;
use ureq::Agent;

/// A person waits for the answer.
const TIMEOUT: Duration = Duration::from_secs(5);

/// Calls go straight to the address, and each status is an answer.
pub(crate) fn config() -> ConfigBuilder<AgentScope> {
    Agent::config_builder().timeout_global(Some(TIMEOUT)).http_status_as_error(false).proxy(None)
}
