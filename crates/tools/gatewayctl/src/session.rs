//! Sessions that travel between edges, as an edge tells of them.
use coppersail_edge_proxy::sessions::Listed;
use eyre::{bail, eyre, WrapErr};
use serde_json::Value;
use std::fmt::Write as _;
use std::time::Duration;

pub const HELP: &str = concat!(
    "  gatewayctl session list --edge ADDR      sessions at an edge, and its counters; ADDR is its second spare port\n",
    "  gatewayctl session show ID --edge ADDR   one session, as that edge knows it\n",
);

/// A person waits for it.
const PATIENCE: Duration = Duration::from_secs(5);

pub fn run(words: &[String]) -> eyre::Result<String> {
    let (path, edge) = asked(words)?;
    let config = ureq::Agent::config_builder().timeout_global(Some(PATIENCE)).http_status_as_error(false);
    let agent: ureq::Agent = config.proxy(None).build().into();
    let mut answer = agent
        .get(format!("http://{edge}{path}"))
        .call()
        .wrap_err_with(|| format!("{edge} cannot be asked"))?;
    match answer.status().as_u16() {
        200 => told(&path, &answer.body_mut().read_to_string()?),
        404 => bail!("{edge} holds no such session"),
        other => bail!("{edge} answers {other}"),
    }
}

/// The path to ask for, and the edge.
fn asked(words: &[String]) -> eyre::Result<(String, String)> {
    let (mut plain, mut edge) = (vec![], None);
    let mut args = lexopt::Parser::from_args(words);
    while let Some(arg) = args.next()? {
        match arg {
            lexopt::Arg::Long("edge") => edge = Some(args.value()?.to_string_lossy().into_owned()),
            lexopt::Arg::Value(word) => plain.push(word.to_string_lossy().into_owned()),
            other => return Err(other.unexpected().into()),
        }
    }
    let edge = edge.ok_or_else(|| eyre!("--edge is missing"))?;
    match plain.iter().map(String::as_str).collect::<Vec<_>>()[..] {
        ["list"] => Ok(("/sessions".into(), edge)),
        ["show", id] if id.len() == 32 && id.bytes().all(|byte| byte.is_ascii_hexdigit()) => {
            Ok((format!("/sessions/{id}"), edge))
        }
        ["show", _] => bail!("an id has 32 hexadecimal digits"),
        _ => bail!("expected `list` or `show ID`"),
    }
}

fn told(path: &str, body: &str) -> eyre::Result<String> {
    let mut text = String::new();
    if path == "/sessions" {
        let listed: Listed = serde_json::from_str(body)?;
        writeln!(
            text,
            "site {}, {} sessions, {} tokens not taken",
            listed.site,
            listed.sessions.len(),
            listed.unfit
        )?;
        writeln!(text, "{} messages to other sites, {} bytes", listed.messages, listed.bytes)?;
        if let Value::Object(counts) = serde_json::to_value(&listed.counts)? {
            counts.iter().try_for_each(|(name, count)| writeln!(text, "{name:>18} {count}"))?;
        }
        listed.sessions.iter().try_for_each(|id| writeln!(text, "{id}"))?;
        return Ok(text);
    }
    let shown: Value = serde_json::from_str(body)?;
    let part = |name: &str| shown[name].as_array().cloned().unwrap_or_default();
    let word = |value: &Value| value.as_str().map_or_else(|| value.to_string(), str::to_owned);
    let owner = if shown["owner"] == true { "owned here" } else { "kept here" };
    writeln!(
        text,
        "{}, {owner}, fence {} of site {}",
        word(&shown["id"]),
        shown["fence"]["n"],
        shown["fence"]["by"]
    )?;
    part("hosts").iter().try_for_each(|host| writeln!(text, "  {} at {}", word(&host[0]), word(&host[1])))?;
    part("confirmations").iter().try_for_each(|one| {
        writeln!(text, "  confirmation {}: {}, for {} ms", word(&one[0]), word(&one[1]), one[2])
    })?;
    Ok(text)
}

#[cfg(test)]
mod tests;
