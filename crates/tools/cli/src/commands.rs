//! The commands: each has a module, and this one chooses between them.

mod announce;
mod change;
mod check;
mod drain;
mod error;
mod guard;
mod session;

use crate::arguments::{Cli, Command, PlanCommand};
use crate::edits::ArgumentError;
use crate::output::print;
use clap::CommandFactory;
use coppersail_admin_socket::Request;
use error::CommandError;
use session::Session;

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
