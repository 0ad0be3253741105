//! The commands, and how they end: done, rejected (exit status 1) or with input that cannot be used (exit status 2).

mod announce;
mod change;
mod check;
mod drain;
mod guard;
mod session;

use crate::admin_client::RequestError;
use crate::arguments::{Cli, Command, PlanCommand};
use crate::edits::ArgumentError;
use crate::fleet_files::FleetFileError;
use crate::host_names::UnknownHost;
use crate::output::print;
use check::CheckError;
use clap::CommandFactory;
use coppersail_admin_socket::Request;
use coppersail_changes::Version;
use coppersail_jsonnet::EvaluateError;
use session::Session;

/// Why a command was not carried out; its text is what the operator sees, one line a fault.
#[derive(Debug, thiserror::Error)]
pub(crate) enum CommandError {
    #[error(transparent)]
    Argument(#[from] ArgumentError),
    #[error(transparent)]
    Check(#[from] CheckError),
    #[error(transparent)]
    Evaluate(#[from] EvaluateError),
    #[error(transparent)]
    FleetFile(#[from] FleetFileError),
    #[error(transparent)]
    UnknownHost(#[from] UnknownHost),
    #[error(transparent)]
    Request(#[from] RequestError),
    /// A change that was waited for was undone, or dropped before it was applied.
    #[error("change {number}: {reason}")]
    NotKept { number: Version, reason: String },
    /// The guard does not accept the tables.
    #[error("{judgement}, {reasons} reasons")]
    TablesRejected { judgement: &'static str, reasons: usize },
    /// A drain that cannot be carried out safely.
    #[error("{forced} steps by force, {remaining} hosts left")]
    PlanRejected { forced: usize, remaining: usize },
}

impl CommandError {
    /// Whether the input was read and refused, as opposed to input that cannot be used or a director that does not answer.
    pub(crate) fn is_rejection(&self) -> bool {
        match self {
            CommandError::Request(error) => matches!(error, RequestError::Rejected { .. }),
            CommandError::NotKept { .. }
            | CommandError::TablesRejected { .. }
            | CommandError::PlanRejected { .. } => true,
            CommandError::Argument(_)
            | CommandError::Check(_)
            | CommandError::Evaluate(_)
            | CommandError::FleetFile(_)
            | CommandError::UnknownHost(_) => false,
        }
    }
}

/// Carries a command out. A director is connected to only by the commands that need one.
pub(crate) fn run(cli: Cli) -> Result<(), CommandError> {
    let json = cli.json;
    let socket = cli.socket;
    let session = || match socket {
        Some(socket) => Ok(Session::new(socket, json)),
        None => Err(ArgumentError::MissingSocket),
    };
    match cli.command {
        Command::Check { file, config } => Ok(check::run(&file, config.as_deref(), json)?),
        Command::Evaluate { file } => {
            print(&coppersail_jsonnet::evaluate(&file)?);
            Ok(())
        }
        Command::Guard { pool, tables, orders, pending } => {
            guard::run(&pool, &tables, orders.as_deref(), pending.as_deref(), json)
        }
        Command::Announce { hosts, lead_seconds, interval_seconds, cancel, operator, why } => {
            let departures = announce::departures(hosts, lead_seconds, interval_seconds, cancel);
            announce::run(&session()?, &departures, &operator.who, &why)
        }
        Command::Plan(PlanCommand::Drain {
            pool,
            tables,
            hosts,
            back_after,
            max_at_once,
            announce,
            lead_seconds,
            operator,
        }) => {
            let plan = drain::run(&pool, &tables, &hosts, back_after, max_at_once, json)?;
            if announce {
                let departures = plan.departures(lead_seconds);
                announce::run(&session()?, &departures, &operator.who, "a planned drain")?;
            }
            Ok(())
        }
        Command::Completions { shell } => {
            clap_complete::generate(shell, &mut Cli::command(), "coppersail", &mut std::io::stdout());
            Ok(())
        }
        Command::Status => Ok(session()?.request_and_print(&Request::Status)?),
        Command::Change(command) => change::run(&session()?, command),
    }
}
