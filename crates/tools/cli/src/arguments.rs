//! The command line's arguments. Doc comments on commands and fields are the help that operators read, and the names of
//! the fields are the flags' value names: both are printed, so they change only with the printed text.

use clap::{Args, Parser, Subcommand};
use std::path::PathBuf;

#[derive(Parser)]
#[command(
    name = "coppersail",
    version,
    about = "Changes what coppersail directors do, checked, on trial, and undone by themselves when they do harm",
    after_help = "On a bad night:\n  \
        coppersail status                                    what is set, what is on trial\n  \
        coppersail change submit --set hosts.h-7.drained=true --why 'h-7 loses calls' --wait\n  \
        coppersail change undo 41 --why 'made it worse'\n  \
        coppersail change freeze --why 'until Monday'\n\n\
        Exit status: 0 done, 1 refused, 2 unreadable input or no director to ask."
)]
pub(crate) struct Cli {
    /// Answers as JSON, one object a line
    #[arg(long, global = true)]
    pub(crate) json: bool,
    /// The director's socket, as `control.socket` of its operators' file names it
    #[arg(long, global = true, env = "COPPERSAIL_SOCKET")]
    pub(crate) socket: Option<PathBuf>,
    #[command(subcommand)]
    pub(crate) command: Command,
}

#[derive(Subcommand)]
pub(crate) enum Command {
    /// Checks an operators' file and tells every fault of it, with file, line and field
    Check {
        file: PathBuf,
        /// A director's configuration, whose zones, routes and slices the file must fit
        #[arg(long)]
        config: Option<PathBuf>,
    },
    /// Changes: submitted, looked at, confirmed, undone
    #[command(subcommand)]
    Change(ChangeCommand),
    /// Judges tables as a director's guard does: 0 accepted, 1 refused with every reason and the smallest repair found
    Guard {
        /// Hosts, and what they can do
        #[arg(long)]
        pool: PathBuf,
        /// Slices: what is asked of them, and their lines as they stand
        #[arg(long)]
        tables: PathBuf,
        /// What is to be told, call by call; without it the tables are judged as they stand
        #[arg(long)]
        orders: Option<PathBuf>,
        /// What is known to happen to hosts
        #[arg(long)]
        pending: Option<PathBuf>,
    },
    /// Tells the director when hosts will leave, so that what they serve has moved by then
    Announce {
        /// Hosts in the order in which they leave, with commas between them
        #[arg(long, value_delimiter = ',', required = true)]
        hosts: Vec<String>,
        /// Seconds until the first ones leave
        #[arg(long = "in", value_name = "LEAD", default_value_t = 20.0)]
        lead_seconds: f64,
        /// Seconds between one and the next
        #[arg(long = "every", value_name = "EVERY", default_value_t = 0.0)]
        interval_seconds: f64,
        /// They do not leave after all
        #[arg(long)]
        cancel: bool,
        #[command(flatten)]
        operator: Operator,
        /// Why, for whoever reads the history
        #[arg(long)]
        why: String,
    },
    /// Plans what takes several steps
    #[command(subcommand)]
    Plan(PlanCommand),
    /// What is in force, what is on trial, and what the director has heard
    Status,
    /// Prints a shell's completions
    Completions { shell: clap_complete::Shell },
    /// Prints what a template evaluates to, as JSON
    #[command(hide = true)]
    Evaluate { file: PathBuf },
}

#[derive(Subcommand)]
pub(crate) enum PlanCommand {
    /// How many hosts at a time, in which order, and how long to wait: 0, or 1 if a step is taken by force
    Drain {
        #[arg(long)]
        pool: PathBuf,
        #[arg(long)]
        tables: PathBuf,
        /// Hosts to drain, with commas between them; `all` for all
        #[arg(long, value_delimiter = ',', required = true)]
        hosts: Vec<String>,
        /// Seconds after which each is back, cold; without it they stay away
        #[arg(long)]
        back_after: Option<f64>,
        /// At most so many at a time
        #[arg(long = "most", value_name = "MOST")]
        max_at_once: Option<usize>,
        /// Tells the director's socket when each step will be, if no step is taken by force
        #[arg(long)]
        announce: bool,
        /// With --announce: seconds until the first step
        #[arg(long = "in", value_name = "LEAD", default_value_t = 20.0)]
        lead_seconds: f64,
        #[command(flatten)]
        operator: Operator,
    },
}

// No doc comment on the flattened structs: clap would print it in place of the command's help.
#[derive(Args)]
pub(crate) struct EditArguments {
    /// Sets a field: hosts.NAME.weight=0.5, hosts.NAME.drained=true, zones.NAME.weight=2, routes.NAME.ceiling=0.8,
    /// routes.NAME.again=once, apart.SLICE.HOST=true
    #[arg(long = "set", value_name = "FIELD=VALUE")]
    pub(crate) set: Vec<String>,
    /// Gives a field back to the director
    #[arg(long = "unset", value_name = "FIELD")]
    pub(crate) unset: Vec<String>,
}

#[derive(Args)]
pub(crate) struct Operator {
    /// Who does this
    #[arg(long, env = "USER", default_value = "operator")]
    pub(crate) who: String,
}

#[derive(Subcommand)]
pub(crate) enum ChangeCommand {
    /// Submits a change: checked, applied at once, on trial, then kept or undone
    Submit {
        #[command(flatten)]
        edits: EditArguments,
        #[command(flatten)]
        operator: Operator,
        /// Why, for whoever reads the history
        #[arg(long)]
        why: String,
        /// The version that you have looked at; what others changed since then is not overwritten
        #[arg(long)]
        base: Option<u64>,
        /// Seconds on trial; 0 keeps it at once and nobody judges it
        #[arg(long)]
        trial: Option<f64>,
        /// Points of service, of 100, that you know it to cost what it touches
        #[arg(long, default_value_t = 0.0)]
        expect_loss: f64,
        /// Only drafts it; `change stage` applies it
        #[arg(long)]
        draft: bool,
        /// Waits until it is kept or undone: exit status 1 if undone
        #[arg(long)]
        wait: bool,
    },
    /// Shows what a submission would change now, and the version to base it on
    Diff {
        #[command(flatten)]
        edits: EditArguments,
    },
    /// Lists changes from the newest back
    List {
        /// Only those before this one
        #[arg(long)]
        before: Option<u64>,
    },
    /// Shows one change whole
    Show { number: u64 },
    /// Applies a draft, if what it is based on still holds
    Stage { number: u64 },
    /// Ends a trial well, whatever the judge has heard
    Confirm {
        number: u64,
        #[command(flatten)]
        operator: Operator,
    },
    /// Makes a trial longer
    Extend {
        number: u64,
        /// Seconds more
        #[arg(long)]
        by: f64,
        #[command(flatten)]
        operator: Operator,
    },
    /// Undoes a change by a new one, made of what is true now; drops a draft
    Undo {
        number: u64,
        #[arg(long, default_value = "")]
        why: String,
        #[command(flatten)]
        operator: Operator,
    },
    /// Takes no changes until they are thawed; trials go on and may still be undone
    Freeze {
        #[arg(long)]
        why: String,
        #[command(flatten)]
        operator: Operator,
    },
    /// Takes changes again
    Thaw {
        #[command(flatten)]
        operator: Operator,
    },
}
