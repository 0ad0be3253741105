//! Commands about rollouts, as the control plane has them.
mod client;
mod status;
#[cfg(test)]
mod tests;

use crate::arguments::Arguments;
use crate::error::CommandError;
use eyre::WrapErr;

/// Lines of the usage.
pub(crate) const HELP: &str = "\
  gatewayctl rollout check FILE                          says what is wrong with a plan
  gatewayctl rollout submit NAME FILE --centre ADDR      puts it in force
  gatewayctl rollout status [NAME] --centre ADDR         shares, evidence, verdict
  gatewayctl rollout pause|resume|pass|undo|end NAME --centre ADDR
                                                     ADDR is where a centre serves hosts and operators
";

const ADDRESS_OPTION: &str = "centre";
const ADDRESS_OPTION_WITH_DASHES: &str = "--centre";
const EXPECTED: &str = "`check FILE`, `submit NAME FILE`, `status [NAME]`, or an order and a NAME";
/// Commands that change a rollout in force; the words are those of the path.
const CHANGES: [&str; 5] = ["pause", "resume", "pass", "undo", "end"];

#[derive(Debug, PartialEq)]
enum RolloutCommand {
    /// Checks the plan in a file, without a call.
    Check { file: String },
    /// Puts a plan in force.
    Submit { name: String, file: String },
    /// Shows one rollout, or all.
    Status { name: Option<String> },
    /// Changes a rollout in force.
    Change { name: String, change: String },
}

impl RolloutCommand {
    fn parse(words: &[&str]) -> Result<RolloutCommand, CommandError> {
        Ok(match *words {
            ["check", file] => RolloutCommand::Check { file: file.into() },
            ["submit", name, file] => RolloutCommand::Submit { name: name.into(), file: file.into() },
            ["status"] => RolloutCommand::Status { name: None },
            ["status", name] => RolloutCommand::Status { name: Some(name.into()) },
            [change, name] if CHANGES.contains(&change) => {
                RolloutCommand::Change { name: name.into(), change: change.into() }
            }
            _ => return Err(CommandError::UnknownCommand { expected: EXPECTED }),
        })
    }
}

/// Runs a command, and returns what is to be printed.
pub(crate) fn run(words: &[String]) -> eyre::Result<String> {
    let arguments = Arguments::parse(words, ADDRESS_OPTION)?;
    let command = RolloutCommand::parse(&arguments.words())?;
    if let RolloutCommand::Check { file } = &command {
        read_plan(file)?;
        return Ok("sound\n".into());
    }
    let missing = CommandError::MissingOption { option: ADDRESS_OPTION_WITH_DASHES };
    let address = arguments.address.ok_or(missing)?;
    match command {
        RolloutCommand::Check { .. } => Ok(String::new()),
        RolloutCommand::Submit { name, file } => {
            client::call(&address, &format!("/rollouts/{name}"), Some(&read_plan(&file)?))?;
            Ok(format!("{name} is in force\n"))
        }
        RolloutCommand::Change { name, change } => {
            client::call(&address, &format!("/rollouts/{name}/{change}"), Some(""))?;
            Ok(format!("{name}: {change} is on two disks\n"))
        }
        RolloutCommand::Status { name } => {
            let path = name.map_or_else(|| "/rollouts".into(), |name| format!("/rollouts/{name}"));
            status::render(&client::call(&address, &path, None)?)
        }
    }
}

/// The text of a file that holds a valid plan.
fn read_plan(file: &str) -> eyre::Result<String> {
    let body = std::fs::read_to_string(file).wrap_err_with(|| file.to_string())?;
    coppersail_config::rollout::parse(&body)?;
    Ok(body)
}
