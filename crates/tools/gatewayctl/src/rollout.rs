//! Plans that move a share of requests onto a new version, as the centres have them.
use eyre::{bail, eyre, WrapErr};
use serde_json::Value;
use std::fmt::Write as _;
use std::time::Duration;

pub const HELP: &str = "\
  gatewayctl rollout check FILE                          says what is wrong with a plan
  gatewayctl rollout submit NAME FILE --centre ADDR      puts it in force
  gatewayctl rollout status [NAME] --centre ADDR         shares, evidence, verdict
  gatewayctl rollout pause|resume|pass|undo|end NAME --centre ADDR
                                                     ADDR is where a centre serves hosts and operators
";

/// A person waits for it.
const PATIENCE: Duration = Duration::from_secs(5);
/// As all callers of `admin` do.
const REDIRECTS: usize = 2;
const ORDERS: [&str; 5] = ["pause", "resume", "pass", "undo", "end"];

/// What is asked of a centre.
#[derive(Debug, PartialEq)]
enum Wish {
    Check(String),
    Submit(String, String),
    Status(Option<String>),
    Order(String, String),
}

pub fn run(words: &[String]) -> eyre::Result<String> {
    let (wish, centre) = asked(words)?;
    let read = |file: &str| std::fs::read_to_string(file).wrap_err_with(|| file.to_string());
    if let Wish::Check(file) = &wish {
        coppersail_config::rollout::parse(&read(file)?)?;
        return Ok("sound\n".into());
    }
    let centre = centre.ok_or_else(|| eyre!("--centre is missing"))?;
    match wish {
        Wish::Check(_) => Ok(String::new()),
        Wish::Submit(name, file) => {
            let body = read(&file)?;
            coppersail_config::rollout::parse(&body)?;
            call(&centre, &format!("/rollouts/{name}"), Some(&body))?;
            Ok(format!("{name} is in force\n"))
        }
        Wish::Order(name, order) => {
            call(&centre, &format!("/rollouts/{name}/{order}"), Some(""))?;
            Ok(format!("{name}: {order} is on two disks\n"))
        }
        Wish::Status(name) => {
            let one = name.map_or(String::new(), |name| format!("/{name}"));
            let text = call(&centre, &format!("/rollouts{one}"), None)?;
            let told: Value = serde_json::from_str(&text)?;
            match told["rollouts"].as_array() {
                Some(all) if all.is_empty() => Ok("no plans\n".into()),
                Some(all) => Ok(all.iter().map(shown).collect()),
                None => Ok(shown(&told)),
            }
        }
    }
}

/// An order that is sent twice changes nothing, so that a person may simply ask again.
fn call(centre: &str, path: &str, body: Option<&str>) -> eyre::Result<String> {
    let config = ureq::Agent::config_builder()
        .timeout_global(Some(PATIENCE))
        .http_status_as_error(false)
        .max_redirects(0)
        .max_redirects_will_error(false);
    let agent: ureq::Agent = config.proxy(None).build().into();
    let mut url = format!("http://{centre}{path}");
    for _ in 0..=REDIRECTS {
        let answer = match body {
            Some(body) => agent.post(&url).content_type("application/json").send(body),
            None => agent.get(&url).call(),
        };
        let mut answer = answer.wrap_err_with(|| format!("{url} cannot be asked"))?;
        let location = answer.headers().get("Location").and_then(|v| v.to_str().ok()).map(String::from);
        let status = answer.status().as_u16();
        if let (307, Some(location)) = (status, location) {
            url = location;
            continue;
        }
        let text = answer.body_mut().read_to_string()?;
        if status == 200 {
            return Ok(text);
        }
        let why: Value = serde_json::from_str(&text).unwrap_or_default();
        bail!("{status}: {}", why["why"].as_str().unwrap_or(&text));
    }
    bail!("{centre} sends on too often")
}

fn asked(words: &[String]) -> eyre::Result<(Wish, Option<String>)> {
    let (mut plain, mut centre) = (vec![], None);
    let mut args = lexopt::Parser::from_args(words);
    while let Some(arg) = args.next()? {
        match arg {
            lexopt::Arg::Long("centre") => centre = Some(args.value()?.to_string_lossy().into_owned()),
            lexopt::Arg::Value(word) => plain.push(word.to_string_lossy().into_owned()),
            other => return Err(other.unexpected().into()),
        }
    }
    let wish = match plain.iter().map(String::as_str).collect::<Vec<_>>()[..] {
        ["check", file] => Wish::Check(file.into()),
        ["submit", name, file] => Wish::Submit(name.into(), file.into()),
        ["status"] => Wish::Status(None),
        ["status", name] => Wish::Status(Some(name.into())),
        [order, name] if ORDERS.contains(&order) => Wish::Order(name.into(), order.into()),
        _ => bail!("expected `check FILE`, `submit NAME FILE`, `status [NAME]`, or an order and a NAME"),
    };
    Ok((wish, centre))
}

fn shown(plan: &Value) -> String {
    let mut text = String::new();
    let share = plan["share"].as_f64().map_or("-".into(), |s| format!("{}%", s * 100.0));
    let name = plan["name"].as_str().unwrap_or("");
    let phase = plan["phase"].as_str().unwrap_or("");
    let _ = writeln!(
        text,
        "{name}: {phase}, step {} of {}, share {share}, number {}",
        plan["step"], plan["steps"], plan["number"]
    );
    let _ = writeln!(text, "  because: {}", plan["why"].as_str().unwrap_or(""));
    let _ = writeln!(text, "  verdict: {}", plan["verdict"].as_str().unwrap_or(""));
    if let Some(left) = plan["next_in_ms"].as_u64() {
        let _ = writeln!(
            text,
            "  next step: not before {:.1} s, {} answers so far",
            left as f64 / 1000.0,
            plan["answers"]
        );
    }
    let columns =
        ["offered", "good", "late", "failed", "lost", "doubled", "wrong", "aside", "median_ms", "p99_ms"];
    let _ = writeln!(text, "  {:8}{}", "", columns.map(|c| format!("{c:>10}")).concat());
    for side in ["new", "old"] {
        let cell = |c: &str| plan[side][c].as_u64().map_or("-".into(), |n| n.to_string());
        let _ = writeln!(text, "  {side:8}{}", columns.map(|c| format!("{:>10}", cell(c))).concat());
    }
    if let Some(late) = plan["late_rows"].as_u64().filter(|n| *n > 0) {
        let _ = writeln!(text, "  {late} of {} rows of evidence came late", plan["rows"]);
    }
    text
}

#[cfg(test)]
mod tests;
