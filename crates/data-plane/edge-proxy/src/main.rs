//! `coppersail-edge-proxy`: the edge of the gateway.
use coppersail_config::{ProcessSettings, SessionSettings};
use std::process::ExitCode;

const HELP: &str = "\
coppersail-edge-proxy: the edge of the gateway; takes requests of clients and passes them to hosts

Usage: coppersail-edge-proxy [--check] [--sessions FILE]

  --check          read the settings, say what is wrong with them, and end
  --sessions FILE  sessions travel between edges as FILE says (docs/sessions.md)

The settings file is named by COPPERSAIL_SETTINGS. SIGHUP reads it again; SIGTERM ends in order.
";

/// What the command line asks for.
enum Command {
    Help,
    Run { check_only: bool, sessions: Option<String> },
}

/// Why the command line cannot be used.
#[derive(Debug, thiserror::Error)]
enum UsageError {
    #[error("--sessions lacks a file")]
    NoSessionsFile,
    #[error(transparent)]
    Argument(#[from] lexopt::Error),
}

fn parse_arguments() -> Result<Command, UsageError> {
    use lexopt::Arg::{Long, Short};
    let (mut check_only, mut sessions) = (false, None);
    let mut arguments = lexopt::Parser::from_env();
    while let Some(argument) = arguments.next()? {
        match argument {
            Long("check") => check_only = true,
            Long("sessions") => {
                let path = arguments.value().ok().and_then(|path| path.into_string().ok());
                sessions = Some(path.ok_or(UsageError::NoSessionsFile)?);
            }
            Long("help") | Short('h') => return Ok(Command::Help),
            other => return Err(other.unexpected().into()),
        }
    }
    Ok(Command::Run { check_only, sessions })
}

fn main() -> ExitCode {
    let (check_only, sessions) = match parse_arguments() {
        Ok(Command::Run { check_only, sessions }) => (check_only, sessions),
        Ok(Command::Help) => {
            print!("{HELP}");
            return ExitCode::SUCCESS;
        }
        Err(error) => return reject(&error),
    };
    let boot = match ProcessSettings::read() {
        Ok(boot) => boot,
        Err(error) => return reject(&error),
    };
    if let Err(error) = coppersail_edge_proxy::check_settings(&boot) {
        return reject(&error);
    }
    if let Some(Err(error)) = sessions.as_deref().map(SessionSettings::read) {
        return reject(&error);
    }
    if check_only {
        return ExitCode::SUCCESS;
    }
    match coppersail_edge_proxy::run(boot, sessions, coppersail_edge_proxy::log::root()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("edge: {error:#}");
            ExitCode::FAILURE
        }
    }
}

/// One line and exit status 2: the command line or the settings are wrong.
fn reject(error: &dyn std::error::Error) -> ExitCode {
    eprintln!("edge: {error}");
    ExitCode::from(2)
}
