//! Commands about sessions that travel between edges, as one edge knows them.
#[cfg(test)]
mod tests;

use crate::arguments::Arguments;
use crate::error::CommandError;
use crate::http;
use coppersail_edge_proxy::sessions::SessionListing;
use serde_json::Value;
use std::fmt::Write as _;
use ureq::http::Method;
use ureq::Agent;

/// Lines of the usage.
pub(crate) const HELP: &str = concat!(
    "  gatewayctl session list --edge ADDR      sessions at an edge, and its counters; ADDR is its second spare port\n",
    "  gatewayctl session show ID --edge ADDR   one session, as that edge knows it\n",
);

const ADDRESS_OPTION: &str = "edge";
const ADDRESS_OPTION_WITH_DASHES: &str = "--edge";
const EXPECTED: &str = "`list` or `show ID`";
/// Hexadecimal digits of a session's id.
const ID_DIGITS: usize = 32;
const OK: u16 = 200;
const NOT_FOUND: u16 = 404;

#[derive(Debug, PartialEq)]
enum SessionCommand {
    List,
    Show { id: String },
}

impl SessionCommand {
    fn parse(words: &[&str]) -> Result<SessionCommand, CommandError> {
        match *words {
            ["list"] => Ok(SessionCommand::List),
            ["show", id] if is_session_id(id) => Ok(SessionCommand::Show { id: id.into() }),
            ["show", id] => Err(CommandError::InvalidSessionId { found: id.into() }),
            _ => Err(CommandError::UnknownCommand { expected: EXPECTED }),
        }
    }

    fn path(&self) -> String {
        match self {
            SessionCommand::List => "/sessions".into(),
            SessionCommand::Show { id } => format!("/sessions/{id}"),
        }
    }

    /// The text for an edge's answer.
    fn render(&self, answer: &str) -> eyre::Result<String> {
        match self {
            SessionCommand::List => render_list(answer),
            SessionCommand::Show { .. } => render_session(answer),
        }
    }
}

fn is_session_id(id: &str) -> bool {
    id.len() == ID_DIGITS && id.bytes().all(|byte| byte.is_ascii_hexdigit())
}

/// Runs a command, and returns what is to be printed.
pub(crate) fn run(words: &[String]) -> eyre::Result<String> {
    let (command, edge) = parse(words)?;
    let agent: Agent = http::config().build().into();
    let result = agent.get(format!("http://{edge}{}", command.path())).call();
    let mut response = http::well_formed(&Method::GET, &edge, result)?;
    match response.status().as_u16() {
        OK => command.render(&response.body_mut().read_to_string()?),
        NOT_FOUND => Err(CommandError::NoSuchSession { edge }.into()),
        status => Err(CommandError::UnexpectedStatus { edge, status }.into()),
    }
}

/// The command, and the edge's address.
fn parse(words: &[String]) -> eyre::Result<(SessionCommand, String)> {
    let arguments = Arguments::parse(words, ADDRESS_OPTION)?;
    let missing = CommandError::MissingOption { option: ADDRESS_OPTION_WITH_DASHES };
    let edge = arguments.address.clone().ok_or(missing)?;
    Ok((SessionCommand::parse(&arguments.words())?, edge))
}

fn render_list(answer: &str) -> eyre::Result<String> {
    let SessionListing { node_id, sessions, counts, rejected_tokens, messages, bytes } =
        serde_json::from_str(answer)?;
    let mut text = String::new();
    writeln!(text, "site {node_id}, {} sessions, {rejected_tokens} tokens not taken", sessions.len())?;
    writeln!(text, "{messages} messages to other sites, {bytes} bytes")?;
    if let Value::Object(counts) = serde_json::to_value(&counts)? {
        counts.iter().try_for_each(|(name, count)| writeln!(text, "{name:>18} {count}"))?;
    }
    sessions.iter().try_for_each(|id| writeln!(text, "{id}"))?;
    Ok(text)
}

fn render_session(answer: &str) -> eyre::Result<String> {
    let session: Value = serde_json::from_str(answer)?;
    let list = |field: &str| session[field].as_array().cloned().unwrap_or_default();
    let plain = |value: &Value| value.as_str().map_or_else(|| value.to_string(), str::to_owned);
    let owner = if session["owner"] == true { "owned here" } else { "kept here" };
    let (id, fence) = (plain(&session["id"]), &session["fence"]);
    let mut text = String::new();
    writeln!(text, "{id}, {owner}, fence {} of site {}", fence["n"], fence["by"])?;
    for host in list("hosts") {
        writeln!(text, "  {} at {}", plain(&host[0]), plain(&host[1]))?;
    }
    for confirmation in list("confirmations") {
        let (key, answer, age) = (plain(&confirmation[0]), plain(&confirmation[1]), &confirmation[2]);
        writeln!(text, "  confirmation {key}: {answer}, for {age} ms")?;
    }
    Ok(text)
}
