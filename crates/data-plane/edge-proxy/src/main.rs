//! `coppersail-edge-proxy`: the edge proxy of the gateway.
use coppersail_config::{ProcessSettings, SessionSettings};
use std::process::ExitCode;

const HELP: &str = "\
coppersail-edge-proxy: the edge proxy of the gateway; forwards client requests to endpoints

Usage: coppersail-edge-proxy [--check] [--sessions FILE]

  --check          validate the settings and exit
  --sessions FILE  enable session affinity between edges with the settings in FILE (docs/sessions.md)

COPPERSAIL_SETTINGS names the settings file. SIGHUP reloads it; SIGTERM shuts down gracefully.
";

/// The command selected by the command line.
enum Command {
    Help,
    Run { check_only: bool, sessions: Option<String> },
}

/// Why the command line is invalid.
#[derive(Debug, thiserror::Error)]
enum UsageError {
    #[error("--sessions requires a file path")]
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
    let settings = match ProcessSettings::read() {
        Ok(settings) => settings,
        Err(error) => return reject(&error),
    };
    if let Err(error) = coppersail_edge_proxy::check_settings(&settings) {
        return reject(&error);
    }
    if let Some(Err(error)) = sessions.as_deref().map(SessionSettings::read) {
        return reject(&error);
    }
    if check_only {
        return ExitCode::SUCCESS;
    }
    match coppersail_edge_proxy::run(settings, sessions, coppersail_edge_proxy::log::root()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("edge: {error:#}");
            ExitCode::FAILURE
        }
    }
}

/// Prints one line and returns exit status 2, for an invalid command line or invalid settings.
fn reject(error: &dyn std::error::Error) -> ExitCode {
    eprintln!("edge: {error}");
    ExitCode::from(2)
}
